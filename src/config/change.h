/*
 * One change of the configuration: a record of stream "config", read and
 * checked. docs/design/config-log.md describes the form.
 */
#ifndef FW_CONFIG_CHANGE_H
#define FW_CONFIG_CHANGE_H

#include <json-glib/json-glib.h>

#include "config/config.h"

#define FW_CHANGE_ID_MAX 40
#define FW_CHANGE_AT_MAX 32
#define FW_ITEM_NAME_MAX FW_DIGEST_HEX
/* Bounds of one record: larger ones are invalid on every instance alike. */
#define FW_CHANGE_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define FW_CHANGE_ITEMS_MAX 20000

/**
 * struct fw_why - reason of a refusal, for people.
 * @member, @found, @allowed: where one member of a value is at fault
 */
struct fw_why {
    char text[200];
    char member[24];
    char found[48];
    char allowed[112];
};

void
Fw_ConfigError_Set(struct fw_why *err, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** enum fw_item_kind - kinds of items; the order is that of the listings. */
enum fw_item_kind {
    FW_ITEM_TEAM,
    FW_ITEM_KEY,
    FW_ITEM_UPSTREAM,
    FW_ITEM_POOL,
    FW_ITEM_SERVICE,
    FW_ITEM_OPERATOR,
    FW_ITEM_SETTING,
    FW_ITEM_KINDS,
};

const char *
Fw_Item_KindName(enum fw_item_kind kind);
/* Return: the kind or FW_ITEM_KINDS. */
enum fw_item_kind
Fw_Item_KindOf(const char *name);
/* 1 to 47 of A-Z a-z 0-9 . _ - : / and beginning with no punctuation. */
int
Fw_Name_Valid(const char *name);
/* A model, or a model and adapter as "model+adapter". */
int
Fw_ModelName_Valid(const char *name);
/* 64 lower-case hex digits. */
int
Fw_Digest_Valid(const char *digest);

/**
 * struct fw_item - new value of one item.
 * @was: offset of the record that last changed it, 0 for none
 * @removed: nonzero: no value, the item goes
 *
 * The value belongs to the item until it is moved into a configuration.
 */
struct fw_item {
    enum fw_item_kind kind;
    char name[FW_ITEM_NAME_MAX];
    uint64_t was;
    int removed;
    union {
        struct fw_team *team;
        struct fw_key *key;
        struct fw_upstream *upstream;
        struct fw_pool *pool;
        struct fw_service *service;
        struct fw_operator *oper;
        enum fw_on_withdraw setting;
        void *any;
    } u;
};

/**
 * struct fw_change - one record.
 * @base_version: version that it was made on as a whole, 0 for none
 */
struct fw_change {
    char id[FW_CHANGE_ID_MAX];
    char author[FW_NAME_MAX];
    char timestamp[FW_CHANGE_AT_MAX];
    uint64_t base_version;
    int n;
    struct fw_item *items;
};

/**
 * Fw_Change_Parse - reads a record's text.
 *
 * Return: 0 or -EINVAL with @err; then @ch still holds id, who and at where
 * these could be read, for the audit trail. Fw_Change_Clear in both cases.
 */
int
Fw_Change_Parse(const char *text, struct fw_change *ch, struct fw_why *err);
/* Reads one {"kind","name","was","value"}; the same on error. */
int
Fw_Item_Parse(JsonObject *obj, struct fw_item *item, struct fw_why *err);
void
Fw_Item_Clear(struct fw_item *item);
void
Fw_Change_Clear(struct fw_change *ch);

/* Version of an item in force, 0 when there is none. */
uint64_t
Fw_Config_ItemVersion(const struct fw_config *cfg, enum fw_item_kind kind,
                      const char *name);
/* Its value as in a record, a new node; NULL when there is none. */
JsonNode *
Fw_Config_ItemValue(const struct fw_config *cfg, enum fw_item_kind kind,
                    const char *name);
/* Names of all items of a kind, sorted; borrowed strings. */
GPtrArray *
Fw_Config_ItemNames(const struct fw_config *cfg, enum fw_item_kind kind);
unsigned
Fw_Config_ItemCount(const struct fw_config *cfg, enum fw_item_kind kind);
/* Moves the value of @item into @cfg under @version. */
void
Fw_Config_Put(struct fw_config *cfg, struct fw_item *item, uint64_t version);
/* Digest of everything in force: equal states, equal digests. */
uint64_t
Fw_Config_Digest(const struct fw_config *cfg);

#endif
