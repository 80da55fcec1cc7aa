/*
 * Parser of configuration changes: each record of stream "config" holds one
 * change as JSON. docs/design/config-log.md describes the format.
 */
#ifndef FW_CONFIG_CHANGE_H
#define FW_CONFIG_CHANGE_H

#include <json-glib/json-glib.h>

#include "config/config.h"

#define FW_CHANGE_ID_MAX 40
#define FW_CHANGE_AT_MAX 32
#define FW_ITEM_NAME_MAX FW_DIGEST_HEX_SIZE
/*
 * Limits of one record. They have to be the same on all instances, which
 * would otherwise reach different verdicts.
 */
#define FW_CHANGE_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define FW_CHANGE_ITEMS_MAX 20000

/**
 * struct fw_config_error - why a change was rejected.
 * @text: message for the operator, printable ASCII
 * @member: name of the offending JSON member, empty if no single one is
 * @found: its value as JSON, truncated
 * @allowed: the values it accepts
 */
struct fw_config_error {
    char text[200];
    char member[24];
    char found[48];
    char allowed[112];
};

void
Fw_ConfigError_Set(struct fw_config_error *err, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** enum fw_item_kind - kinds of items, in the order of listings. */
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
/* Returns FW_ITEM_KINDS when @name is not the name of a kind. */
enum fw_item_kind
Fw_Item_ParseKind(const char *name);
/* 1 to 47 characters of A-Z a-z 0-9 . _ - : / with a letter or digit first. */
int
Fw_Name_IsValid(const char *name);
/* "model" or "model+adapter", both of them valid names. */
int
Fw_ModelName_IsValid(const char *name);
/* A SHA-256 digest as 64 lower-case hex digits. */
int
Fw_Digest_IsValid(const char *digest);

/**
 * struct fw_item - new value of one item, or its removal.
 * @name: name of the item; of a key, its digest
 * @expected_version: version that the change replaces, 0 if the item is new
 * @removed: nonzero to remove the item; it then has no value
 * @u: the value, owned by the item until Fw_Config_PutItem moves it
 */
struct fw_item {
    enum fw_item_kind kind;
    char name[FW_ITEM_NAME_MAX];
    uint64_t expected_version;
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
 * struct fw_change - one change of the configuration.
 * @id: unique id, by which a record that was sent twice is recognized
 * @author: operator who made the change
 * @timestamp: time as given by the author, not interpreted
 * @base_version: version of the configuration that the change was made from,
 *                0 if not given
 * @n: number of items
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
 * Fw_Change_Parse - parses and checks the text of a record.
 *
 * On error @ch holds those of id, author and timestamp that could be parsed,
 * for the audit trail. The caller calls Fw_Change_Clear in either case.
 *
 * Return: 0, or -EINVAL with the reason in @err.
 */
int
Fw_Change_Parse(const char *text, struct fw_change *ch,
                struct fw_config_error *err);
/*
 * Parses one object {"kind","name","was","value"}. Returns 0, or -EINVAL with
 * the reason in @err. @item has to be zeroed before; the caller calls
 * Fw_Item_Clear in either case.
 */
int
Fw_Item_Parse(JsonObject *obj, struct fw_item *item,
              struct fw_config_error *err);
void
Fw_Item_Clear(struct fw_item *item);
void
Fw_Change_Clear(struct fw_change *ch);

/* Offset of the record that last set the item, 0 if there is no such item. */
uint64_t
Fw_Config_ItemVersion(const struct fw_config *cfg, enum fw_item_kind kind,
                      const char *name);
/*
 * The item's value as in a record, NULL if there is no such item. The caller
 * owns the node.
 */
JsonNode *
Fw_Config_ItemValue(const struct fw_config *cfg, enum fw_item_kind kind,
                    const char *name);
/*
 * Sorted names of all items of a kind. The caller owns the array, @cfg the
 * strings.
 */
GPtrArray *
Fw_Config_ItemNames(const struct fw_config *cfg, enum fw_item_kind kind);
unsigned
Fw_Config_ItemCount(const struct fw_config *cfg, enum fw_item_kind kind);
/* Moves the value of @item into @cfg, or removes the item from it. */
void
Fw_Config_PutItem(struct fw_config *cfg, struct fw_item *item,
                  uint64_t version);
/* Digest of all items and their versions, to compare configurations. */
uint64_t
Fw_Config_Digest(const struct fw_config *cfg);

#endif
