/* Parser of untrusted JSON. */
#ifndef FW_CONFIG_JSON_H
#define FW_CONFIG_JSON_H

#include <json-glib/json-glib.h>

#define FW_JSON_DEPTH_MAX 16

/**
 * Fw_Json_LoadObject - parses @len bytes that hold one JSON object.
 * @obj: the object, owned by the parser
 *
 * Return: the parser, which the caller unrefs, or NULL when the text is not a
 * JSON object in UTF-8 or nests deeper than FW_JSON_DEPTH_MAX.
 */
JsonParser *
Fw_Json_LoadObject(const char *text, size_t len, JsonObject **obj);

#endif
