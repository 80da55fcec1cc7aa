/* Readers of JSON members; errors name the member and its value. */
#include <errno.h>
#include <string.h>

#include "config/config_internal.h"

/* Sets the error for member @name, which has value @node or is missing. */
static int
reject(const struct fw_field_reader *r, const char *name, JsonNode *node,
       const char *allowed)
{
    char *found = node ? json_to_string(node, FALSE) : g_strdup("nothing");

    Fw_ConfigError_Set(r->err, "%s: %s is %.40s, allowed: %s", r->where, name,
                       found, allowed);
    g_strlcpy(r->err->member, name, sizeof(r->err->member));
    g_strlcpy(r->err->found, found, sizeof(r->err->found));
    g_strlcpy(r->err->allowed, allowed, sizeof(r->err->allowed));
    Fw_ConfigError_Sanitize(r->err->found);
    g_free(found);
    return -EINVAL;
}

static int
holds_type(JsonNode *node, GType type)
{
    return JSON_NODE_HOLDS_VALUE(node) &&
           json_node_get_value_type(node) == type;
}

int
Fw_Field_RejectUnknown(const struct fw_field_reader *r,
                       const char *const *known)
{
    JsonObjectIter it;
    const char *name;

    json_object_iter_init(&it, r->obj);
    while (json_object_iter_next(&it, &name, NULL)) {
        if (!g_strv_contains(known, name)) {
            Fw_ConfigError_Set(r->err, "%s: unknown member %.40s", r->where,
                               name);
            return -EINVAL;
        }
    }
    return 0;
}

int
Fw_Field_Int(const struct fw_field_reader *r, const char *name, int64_t min,
             int64_t max, int64_t dflt, int64_t *out)
{
    JsonNode *node = json_object_get_member(r->obj, name);
    char allowed[64];

    g_snprintf(allowed, sizeof(allowed),
               "whole number %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min,
               max);
    if (!node && dflt >= 0) {
        *out = dflt;
        return 0;
    }
    if (!node || !holds_type(node, G_TYPE_INT64)) {
        return reject(r, name, node, allowed);
    }
    *out = json_node_get_int(node);
    if (*out < min || *out > max) {
        return reject(r, name, node, allowed);
    }
    return 0;
}

int
Fw_Field_Bool(const struct fw_field_reader *r, const char *name, int *out)
{
    JsonNode *node = json_object_get_member(r->obj, name);

    *out = 0;
    if (!node) {
        return 0;
    }
    if (!holds_type(node, G_TYPE_BOOLEAN)) {
        return reject(r, name, node, "true, false");
    }
    *out = json_node_get_boolean(node);
    return 0;
}

int
Fw_Field_Name(const struct fw_field_reader *r, const char *name,
              const char *dflt, char *out)
{
    JsonNode *node = json_object_get_member(r->obj, name);
    const char *s = dflt;

    if (node) {
        s = holds_type(node, G_TYPE_STRING) ? json_node_get_string(node)
                                            : NULL;
    }
    /* Optional names may be empty. */
    if (!s || (!Fw_Name_IsValid(s) && !(dflt && s[0] == '\0'))) {
        return reject(r, name, node,
                      "1 to 47 of letters, digits and . _ - : /");
    }
    g_strlcpy(out, s, FW_NAME_MAX);
    return 0;
}

int
Fw_Field_Text(const struct fw_field_reader *r, const char *name, char *out,
              size_t size)
{
    JsonNode *node = json_object_get_member(r->obj, name);
    const char *s;

    if (!node || !holds_type(node, G_TYPE_STRING)) {
        return reject(r, name, node, "a text");
    }
    s = json_node_get_string(node);
    if (s[0] == '\0' || strlen(s) >= size) {
        return reject(r, name, node, "a text of fitting length");
    }
    for (const char *p = s; *p; p++) {
        if (!g_ascii_isgraph(*p)) {
            return reject(r, name, node, "ASCII without blanks");
        }
    }
    g_strlcpy(out, s, size);
    return 0;
}

int
Fw_Field_Digest(const struct fw_field_reader *r, const char *name, char *out)
{
    JsonNode *node = json_object_get_member(r->obj, name);
    const char *s;

    if (!node || !holds_type(node, G_TYPE_STRING)) {
        return reject(r, name, node, "64 hex digits");
    }
    s = json_node_get_string(node);
    if (!Fw_Digest_IsValid(s)) {
        return reject(r, name, node, "64 hex digits in lower case");
    }
    g_strlcpy(out, s, FW_DIGEST_HEX_SIZE);
    return 0;
}

int
Fw_Field_Enum(const struct fw_field_reader *r, const char *name,
              const char *const *words, int dflt, int *out)
{
    JsonNode *node = json_object_get_member(r->obj, name);
    char *allowed;
    int rc;

    if (!node && dflt >= 0) {
        *out = dflt;
        return 0;
    }
    if (node && holds_type(node, G_TYPE_STRING)) {
        const char *s = json_node_get_string(node);

        for (int i = 0; words[i]; i++) {
            if (strcmp(words[i], s) == 0) {
                *out = i;
                return 0;
            }
        }
    }
    allowed = g_strjoinv(", ", (char **)words);
    rc = reject(r, name, node, allowed);
    g_free(allowed);
    return rc;
}

int
Fw_Field_Array(const struct fw_field_reader *r, const char *name, unsigned max,
               JsonArray **out)
{
    JsonNode *node = json_object_get_member(r->obj, name);
    char allowed[48];

    *out = NULL;
    if (!node) {
        return 0;
    }
    g_snprintf(allowed, sizeof(allowed), "a list of at most %u", max);
    if (!JSON_NODE_HOLDS_ARRAY(node) ||
        json_array_get_length(json_node_get_array(node)) > max) {
        return reject(r, name, node, allowed);
    }
    *out = json_node_get_array(node);
    return 0;
}

JsonObject *
Fw_Field_Element(const struct fw_field_reader *r, JsonArray *arr, unsigned i,
                 const char *name)
{
    JsonNode *node = json_array_get_element(arr, i);

    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        reject(r, name, node, "a list of objects");
        return NULL;
    }
    return json_node_get_object(node);
}
