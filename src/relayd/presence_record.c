#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "io/json.h"
#include "relayd/store_internal.h"

#define FW_KEY_PREFIX "seen/"
/* Hexadecimal digits of a hash. */
#define FW_HASH_DIGITS 16

char *
Fw_Presence_ToJson(const GArray *seen)
{
    JsonBuilder *b = json_builder_new();
    char text[FW_HASH_DIGITS + 1];

    json_builder_begin_object(b);
    json_builder_set_member_name(b, "seen");
    json_builder_begin_array(b);
    for (guint i = 0; i < seen->len; i++) {
        g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
                   (guint64)g_array_index(seen, uint64_t, i));
        json_builder_add_string_value(b, text);
    }
    json_builder_end_array(b);
    json_builder_end_object(b);
    return Fw_Json_FinishBuilder(b);
}

void
Fw_Presence_Key(const char *name, char *key, size_t size)
{
    g_snprintf(key, size, FW_KEY_PREFIX "%s", name);
}

const char *
Fw_Presence_Publisher(const char *key)
{
    return g_str_has_prefix(key, FW_KEY_PREFIX) ? key + strlen(FW_KEY_PREFIX)
                                                : NULL;
}

static int
parse_hash(JsonNode *node, uint64_t *out)
{
    const char *text;
    char *end;

    if (!JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_STRING) {
        return -EBADMSG;
    }
    text = json_node_get_string(node);
    *out = g_ascii_strtoull(text, &end, 16);
    return strlen(text) == FW_HASH_DIGITS && !*end ? 0 : -EBADMSG;
}

GArray *
Fw_Presence_Parse(const void *data, size_t len)
{
    JsonNode *root = Fw_Json_Parse(data, len);
    GArray *seen = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    JsonArray *all;
    int rc = root ? Fw_Json_Array(json_node_get_object(root), "seen", &all)
                  : -EBADMSG;

    for (guint i = 0; !rc && i < json_array_get_length(all); i++) {
        uint64_t hash;

        rc = parse_hash(json_array_get_element(all, i), &hash);
        if (!rc) {
            g_array_append_val(seen, hash);
        }
    }
    if (root) {
        json_node_unref(root);
    }
    if (rc) {
        g_array_unref(seen);
        return NULL;
    }
    return seen;
}
