/* Internal interface of src/config. */
#ifndef FW_CONFIG_INTERNAL_H
#define FW_CONFIG_INTERNAL_H

#include <json-glib/json-glib.h>

#include "config/change.h"
#include "config/config.h"

/* Replaces all bytes except printable ASCII by '?'. */
void
Fw_ConfigError_Sanitize(char *text);
void
Fw_Team_Free(struct fw_team *team);

/*
 * Parse the JSON value of an item. Return the item, owned by the caller, or
 * NULL with the reason in @err.
 */
struct fw_team *
Fw_Team_Parse(const char *name, JsonObject *value,
              struct fw_config_error *err);
struct fw_key *
Fw_Key_Parse(const char *name, JsonObject *value, struct fw_config_error *err);
struct fw_upstream *
Fw_Upstream_Parse(const char *name, JsonObject *value,
                  struct fw_config_error *err);
struct fw_pool *
Fw_Pool_Parse(const char *name, JsonObject *value,
              struct fw_config_error *err);
struct fw_service *
Fw_Service_Parse(const char *name, JsonObject *value,
                 struct fw_config_error *err);
struct fw_operator *
Fw_Operator_Parse(const char *name, JsonObject *value,
                  struct fw_config_error *err);

/**
 * struct fw_field_reader - reads and checks the members of a JSON object.
 * @obj: the object
 * @err: set when a member is rejected
 * @where: what the object is, prefix of the error message
 *
 * Fw_Field_Element aside, the Fw_Field_* functions return 0, or -EINVAL with
 * the reason in @err.
 */
struct fw_field_reader {
    JsonObject *obj;
    struct fw_config_error *err;
    const char *where;
};

/* Rejects members that are not in the NULL-terminated list @known. */
int
Fw_Field_RejectUnknown(const struct fw_field_reader *r,
                       const char *const *known);
/* @dflt is used when the member is missing; -1 makes the member required. */
int
Fw_Field_Int(const struct fw_field_reader *r, const char *name, int64_t min,
             int64_t max, int64_t dflt, int64_t *out);
/* A missing member counts as false. */
int
Fw_Field_Bool(const struct fw_field_reader *r, const char *name, int *out);
/*
 * Reads a name (see Fw_Name_IsValid) into @out of FW_NAME_MAX bytes. A NULL
 * @dflt makes the member required; otherwise it may be an empty string too.
 */
int
Fw_Field_Name(const struct fw_field_reader *r, const char *name,
              const char *dflt, char *out);
/* Reads a non-empty string of ASCII without blanks that fits @size bytes. */
int
Fw_Field_Text(const struct fw_field_reader *r, const char *name, char *out,
              size_t size);
/* Reads a digest into @out of FW_DIGEST_HEX_SIZE bytes. */
int
Fw_Field_Digest(const struct fw_field_reader *r, const char *name, char *out);
/*
 * Reads one of the strings of the NULL-terminated list @words and stores its
 * index in @out; @dflt as in Fw_Field_Int.
 */
int
Fw_Field_Enum(const struct fw_field_reader *r, const char *name,
              const char *const *words, int dflt, int *out);
/*
 * Reads an array of at most @max elements. Stores NULL in @out when the member
 * is missing.
 */
int
Fw_Field_Array(const struct fw_field_reader *r, const char *name, unsigned max,
               JsonArray **out);
/* Returns element @i of @arr, NULL with the reason in @err if no object. */
JsonObject *
Fw_Field_Element(const struct fw_field_reader *r, JsonArray *arr, unsigned i,
                 const char *name);

/* The table of the items of @kind, NULL for settings, which have no table. */
GHashTable *
Fw_Config_Table(const struct fw_config *cfg, enum fw_item_kind kind);

#endif
