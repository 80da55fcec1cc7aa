#include "io/json.h"

#include <errno.h>
#include <string.h>

/* Length of an escaped code unit, as in "\\u0000". */
#define FW_ESCAPE_BYTES 6

/*
 * Returns the index of the closing quote of the string that opens at @i, at
 * least @len when it is not closed, or 0 when it has an escaped NUL.
 */
static size_t
skip_string(const char *s, size_t len, size_t i)
{
    for (i++; i < len && s[i] != '"'; i++) {
        if (s[i] != '\\') {
            continue;
        }
        if (i + 5 < len && memcmp(s + i, "\\u0000", 6) == 0) {
            return 0;
        }
        i++;
    }
    return i;
}

static int
is_safe_to_parse(const char *s, size_t len)
{
    int depth = 0;

    for (size_t i = 0; i < len; i++) {
        if (s[i] == '"') {
            i = skip_string(s, len, i);
            if (!i) {
                return 0;
            }
        }
        else if (s[i] == '{' || s[i] == '[') {
            if (++depth > FW_JSON_DEPTH_MAX) {
                return 0;
            }
        }
        else if (s[i] == '}' || s[i] == ']') {
            depth--;
        }
    }
    return depth == 0;
}

JsonNode *
Fw_Json_Parse(const char *data, size_t len)
{
    JsonParser *parser;
    JsonNode *root = NULL;

    if (!data || len == 0 || !g_utf8_validate_len(data, len, NULL) ||
        !is_safe_to_parse(data, len)) {
        return NULL;
    }
    parser = json_parser_new_immutable();
    if (json_parser_load_from_data(parser, data, (gssize)len, NULL)) {
        root = json_parser_steal_root(parser);
    }
    g_object_unref(parser);
    if (root && !JSON_NODE_HOLDS_OBJECT(root)) {
        json_node_unref(root);
        root = NULL;
    }
    return root;
}

/* Return: code unit of the escape at @p, or -1 if there is none. */
static int
escaped_unit(const char *p, const char *end)
{
    int unit = 0;

    if (end - p < FW_ESCAPE_BYTES || p[0] != '\\' || p[1] != 'u') {
        return -1;
    }
    for (int i = 2; i < FW_ESCAPE_BYTES; i++) {
        int digit = g_ascii_xdigit_value(p[i]);

        if (digit < 0) {
            return -1;
        }
        unit = unit * 16 + digit;
    }
    return unit;
}

/* Appends the escape at @p, marked if it can't be kept. Return: its bytes. */
static size_t
append_escape(GString *out, const char *p, const char *end)
{
    int unit = escaped_unit(p, end);
    size_t n = unit < 0 ? (size_t)MIN(end - p, 2) : FW_ESCAPE_BYTES;
    int is_high = unit >= 0xd800 && unit < 0xdc00;
    int next = is_high ? escaped_unit(p + n, end) : -1;

    if (is_high && next >= 0xdc00 && next < 0xe000) {
        n += FW_ESCAPE_BYTES;
    }
    else if (unit == 0 || (unit >= 0xd800 && unit < 0xe000)) {
        g_string_append(out, FW_JSON_DAMAGED);
        return n;
    }
    g_string_append_len(out, p, (gssize)n);
    return n;
}

/* Appends the character at @p, marked if it is none. Return: its bytes. */
static size_t
append_char(GString *out, const char *p, const char *end)
{
    gunichar c = g_utf8_get_char_validated(p, end - p);
    size_t n = 1;

    if (!*p || c == (gunichar)-1 || c == (gunichar)-2) {
        g_string_append(out, FW_JSON_DAMAGED);
        return n;
    }
    n = (size_t)(g_utf8_next_char(p) - p);
    g_string_append_len(out, p, (gssize)n);
    return n;
}

/* Bytes at @p that need no look: most of a document. */
static size_t
count_plain(const char *p, const char *end)
{
    const char *from = p;

    while (p < end && *p >= ' ' && *p < 0x7f && *p != '\\') {
        p++;
    }
    return (size_t)(p - from);
}

JsonNode *
Fw_Json_ParseMarked(const char *data, size_t len)
{
    GString *marked = g_string_sized_new(len);
    const char *end = data + len;
    JsonNode *root;

    for (const char *p = data; p && p < end;) {
        size_t n = count_plain(p, end);

        if (n) {
            g_string_append_len(marked, p, (gssize)n);
        }
        else {
            n = *p == '\\' ? append_escape(marked, p, end)
                           : append_char(marked, p, end);
        }
        p += n;
    }
    root = Fw_Json_Parse(marked->str, marked->len);
    g_string_free(marked, TRUE);
    return root;
}

/* Returns the member, or NULL when it is missing or null. */
static JsonNode *
member(JsonObject *obj, const char *name)
{
    JsonNode *node = json_object_get_member(obj, name);

    return node && !JSON_NODE_HOLDS_NULL(node) ? node : NULL;
}

int
Fw_Json_Str(JsonObject *obj, const char *name, const char **out)
{
    JsonNode *node = member(obj, name);

    if (!node) {
        return -ENOENT;
    }
    if (json_node_get_value_type(node) != G_TYPE_STRING) {
        return -EBADMSG;
    }
    *out = json_node_get_string(node);
    return 0;
}

int
Fw_Json_CopyStr(JsonObject *obj, const char *name, char *out, size_t size)
{
    const char *s;
    int rc = Fw_Json_Str(obj, name, &s);

    if (rc) {
        return rc;
    }
    return g_strlcpy(out, s, size) < size ? 0 : -EBADMSG;
}

int
Fw_Json_Int(JsonObject *obj, const char *name, int64_t *out)
{
    JsonNode *node = member(obj, name);

    if (!node) {
        return -ENOENT;
    }
    if (json_node_get_value_type(node) != G_TYPE_INT64) {
        return -EBADMSG;
    }
    *out = json_node_get_int(node);
    return 0;
}

int
Fw_Json_Double(JsonObject *obj, const char *name, double *out)
{
    JsonNode *node = member(obj, name);

    if (!node) {
        return -ENOENT;
    }
    if (json_node_get_value_type(node) != G_TYPE_INT64 &&
        json_node_get_value_type(node) != G_TYPE_DOUBLE) {
        return -EBADMSG;
    }
    *out = json_node_get_double(node);
    return 0;
}

int
Fw_Json_Bool(JsonObject *obj, const char *name, int *out)
{
    JsonNode *node = member(obj, name);

    if (!node) {
        return -ENOENT;
    }
    if (json_node_get_value_type(node) != G_TYPE_BOOLEAN) {
        return -EBADMSG;
    }
    *out = json_node_get_boolean(node);
    return 0;
}

int
Fw_Json_Array(JsonObject *obj, const char *name, JsonArray **out)
{
    JsonNode *node = member(obj, name);

    if (!node) {
        return -ENOENT;
    }
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        return -EBADMSG;
    }
    *out = json_node_get_array(node);
    return 0;
}

int
Fw_Json_Object(JsonObject *obj, const char *name, JsonObject **out)
{
    JsonNode *node = member(obj, name);

    if (!node) {
        return -ENOENT;
    }
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return -EBADMSG;
    }
    *out = json_node_get_object(node);
    return 0;
}

JsonObject *
Fw_Json_ObjectAt(JsonArray *arr, guint i)
{
    JsonNode *node = json_array_get_element(arr, i);

    return JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}

void
Fw_Json_AppendStr(GString *out, const char *s)
{
    char *valid = g_utf8_make_valid(s, -1);
    JsonNode *node = json_node_new(JSON_NODE_VALUE);
    char *text;

    json_node_set_string(node, valid);
    text = json_to_string(node, FALSE);
    g_string_append(out, text);
    g_free(text);
    json_node_unref(node);
    g_free(valid);
}

char *
Fw_Json_FinishBuilder(JsonBuilder *builder)
{
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);

    json_node_unref(root);
    g_object_unref(builder);
    return text;
}

void
Fw_Json_SetStr(JsonBuilder *b, const char *name, const char *value)
{
    json_builder_set_member_name(b, name);
    json_builder_add_string_value(b, value);
}

void
Fw_Json_SetInt(JsonBuilder *b, const char *name, int64_t value)
{
    json_builder_set_member_name(b, name);
    json_builder_add_int_value(b, value);
}
