/* Parsing of untrusted JSON, and helpers to write JSON. */
#ifndef FW_IO_JSON_H
#define FW_IO_JSON_H

#include <json-glib/json-glib.h>
#include <stdint.h>

#define FW_JSON_DEPTH_MAX 64

/**
 * Fw_Json_Parse - parses a JSON object.
 *
 * json-glib recurses for each nesting level and truncates strings at a NUL,
 * so input nested deeper than FW_JSON_DEPTH_MAX or with an escaped NUL is
 * rejected before it is parsed.
 *
 * Return: the root node, which holds an object, or NULL.
 */
JsonNode *
Fw_Json_Parse(const char *data, size_t len);

/* Stands for what a string has that is no character: U+FFFD. */
#define FW_JSON_DAMAGED "\xef\xbf\xbd"

/*
 * As above for a document whose strings come from different writers: a NUL,
 * half a surrogate pair, or bytes that are no UTF-8 are replaced by
 * FW_JSON_DAMAGED, and the other strings are kept.
 */
JsonNode *
Fw_Json_ParseMarked(const char *data, size_t len);

/*
 * Read member @name. Return 0, -ENOENT when it is missing or null, or -EBADMSG
 * when it has another type or does not fit; @out is unchanged on -ENOENT.
 * Strings, arrays and objects are borrowed from @obj.
 */
int
Fw_Json_Str(JsonObject *obj, const char *name, const char **out);
int
Fw_Json_CopyStr(JsonObject *obj, const char *name, char *out, size_t size);
int
Fw_Json_Int(JsonObject *obj, const char *name, int64_t *out);
/* Accepts integers and fractions. */
int
Fw_Json_Double(JsonObject *obj, const char *name, double *out);
int
Fw_Json_Bool(JsonObject *obj, const char *name, int *out);
int
Fw_Json_Array(JsonObject *obj, const char *name, JsonArray **out);
int
Fw_Json_Object(JsonObject *obj, const char *name, JsonObject **out);
/* Element @i of @arr, or NULL when it is not an object. */
JsonObject *
Fw_Json_ObjectAt(JsonArray *arr, guint i);

/*
 * Appends @s as a quoted and escaped JSON string; invalid UTF-8 is replaced.
 */
void
Fw_Json_AppendStr(GString *out, const char *s);
/* Returns the JSON text as a new string and frees @builder. */
char *
Fw_Json_FinishBuilder(JsonBuilder *builder);
/* Add a member to the open object. */
void
Fw_Json_SetStr(JsonBuilder *b, const char *name, const char *value);
void
Fw_Json_SetInt(JsonBuilder *b, const char *name, int64_t value);

#endif
