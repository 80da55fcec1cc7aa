/* Shared inside src/config only. */
#ifndef FW_CONFIG_INTERNAL_H
#define FW_CONFIG_INTERNAL_H

#include <json-glib/json-glib.h>

#include "config/change.h"
#include "config/config.h"

void
Fw_ConfigError_Sanitize(char *text);
void
Fw_Team_Free(struct fw_team *team);

/* Reads a JSON value into a new item; on error nothing is allocated. */
struct fw_team *
Fw_Team_Parse(const char *name, JsonObject *value, struct fw_why *err);
struct fw_key *
Fw_Key_Parse(const char *name, JsonObject *value, struct fw_why *err);
struct fw_upstream *
Fw_Upstream_Parse(const char *name, JsonObject *value, struct fw_why *err);
struct fw_pool *
Fw_Pool_Parse(const char *name, JsonObject *value, struct fw_why *err);
struct fw_service *
Fw_Service_Parse(const char *name, JsonObject *value, struct fw_why *err);
struct fw_operator *
Fw_Operator_Parse(const char *name, JsonObject *value, struct fw_why *err);

/* Checked readers of one member; see field.c. */
struct fw_field_reader {
    JsonObject *obj;
    struct fw_why *err;
    const char *where;
};

/* Refuses a member that is not in @known (NULL-terminated). */
int
Fw_Field_RejectUnknown(const struct fw_field_reader *r,
                       const char *const *known);
/* @dflt is taken when the member is missing; -1 there makes it required. */
int
Fw_Field_Int(const struct fw_field_reader *r, const char *name, int64_t min,
             int64_t max, int64_t dflt, int64_t *out);
int
Fw_Field_Bool(const struct fw_field_reader *r, const char *name, int *out);
/* A name (see Fw_Name_Valid); NULL @dflt makes it required. */
int
Fw_Field_Name(const struct fw_field_reader *r, const char *name,
              const char *dflt, char *out);
/* Any printable ASCII text that fits @size. */
int
Fw_Field_Text(const struct fw_field_reader *r, const char *name, char *out,
              size_t size);
int
Fw_Field_Digest(const struct fw_field_reader *r, const char *name, char *out);
/* One of @words (NULL-terminated); the index goes to @out. */
int
Fw_Field_Enum(const struct fw_field_reader *r, const char *name,
              const char *const *words, int dflt, int *out);
/* The array or NULL when missing; -EINVAL when it is no array or too long. */
int
Fw_Field_Array(const struct fw_field_reader *r, const char *name, unsigned max,
               JsonArray **out);
/* Element @i of @arr as an object. */
JsonObject *
Fw_Field_Element(const struct fw_field_reader *r, JsonArray *arr, unsigned i,
                 const char *name);

/* The table that holds items of @kind; NULL for settings, which have none. */
GHashTable *
Fw_Config_Table(const struct fw_config *cfg, enum fw_item_kind kind);

#endif
