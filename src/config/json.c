#include "config/json.h"

/*
 * json-glib's parser is recursive: deep nesting would overflow the stack, so
 * it is rejected before parsing.
 */
static int
is_too_deep(const char *text, size_t len)
{
    int depth = 0;
    int quoted = 0;

    for (size_t i = 0; i < len; i++) {
        char c = text[i];

        if (quoted) {
            if (c == '\\') {
                i++;
            }
            else if (c == '"') {
                quoted = 0;
            }
            continue;
        }
        quoted = c == '"';
        depth += (c == '{' || c == '[') - (c == '}' || c == ']');
        if (depth > FW_JSON_DEPTH_MAX) {
            return 1;
        }
    }
    return 0;
}

JsonParser *
Fw_Json_LoadObject(const char *text, size_t len, JsonObject **obj)
{
    JsonParser *parser;
    JsonNode *root;

    if (!g_utf8_validate(text, (gssize)len, NULL) || is_too_deep(text, len)) {
        return NULL;
    }
    parser = json_parser_new();
    if (json_parser_load_from_data(parser, text, (gssize)len, NULL)) {
        root = json_parser_get_root(parser);
        if (root && JSON_NODE_HOLDS_OBJECT(root)) {
            *obj = json_node_get_object(root);
            return parser;
        }
    }
    g_object_unref(parser);
    return NULL;
}
