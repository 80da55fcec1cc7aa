/* Parser of change records, which are untrusted. */
#include <errno.h>
#include <stdarg.h>
#include <string.h>

#include "config/config_internal.h"
#include "config/json.h"

static const char *const kind_names[] = {
    "team", "key", "upstream", "pool", "service", "operator", "setting"};

/* Formatting may truncate text inside a UTF-8 sequence. */
void
Fw_ConfigError_Sanitize(char *text)
{
    for (char *p = text; *p; p++) {
        if (!g_ascii_isprint(*p)) {
            *p = '?';
        }
    }
}

void
Fw_ConfigError_Set(struct fw_config_error *err, const char *fmt, ...)
{
    va_list ap;

    va_start(ap, fmt);
    g_vsnprintf(err->text, sizeof(err->text), fmt, ap);
    va_end(ap);
    Fw_ConfigError_Sanitize(err->text);
}

const char *
Fw_Item_KindName(enum fw_item_kind kind)
{
    return kind < FW_ITEM_KINDS ? kind_names[kind] : "unknown";
}

enum fw_item_kind
Fw_Item_ParseKind(const char *name)
{
    int kind = 0;

    while (kind < FW_ITEM_KINDS && strcmp(kind_names[kind], name) != 0) {
        kind++;
    }
    return (enum fw_item_kind)kind;
}

static int
name_is_valid(const char *name, size_t len)
{
    if (len == 0 || len >= FW_NAME_MAX || !g_ascii_isalnum(name[0])) {
        return 0;
    }
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_isalnum(name[i]) && !strchr("._-:/", name[i])) {
            return 0;
        }
    }
    return 1;
}

int
Fw_Name_IsValid(const char *name)
{
    return name_is_valid(name, strlen(name));
}

int
Fw_ModelName_IsValid(const char *name)
{
    const char *plus = strchr(name, '+');

    if (!plus) {
        return Fw_Name_IsValid(name);
    }
    return name_is_valid(name, (size_t)(plus - name)) &&
           Fw_Name_IsValid(plus + 1);
}

int
Fw_Digest_IsValid(const char *digest)
{
    return strlen(digest) == FW_DIGEST_HEX_SIZE - 1 &&
           strspn(digest, "0123456789abcdef") == FW_DIGEST_HEX_SIZE - 1;
}

static int
parse_item_name(struct fw_item *item, const char *name,
                struct fw_config_error *err)
{
    int ok = item->kind == FW_ITEM_KEY ? Fw_Digest_IsValid(name)
                                       : Fw_Name_IsValid(name);

    if (item->kind == FW_ITEM_SETTING) {
        ok = strcmp(name, "on-withdraw") == 0;
    }
    if (!ok) {
        Fw_ConfigError_Set(err, "%s: name is %.64s, allowed: %s",
                           Fw_Item_KindName(item->kind), name,
                           item->kind == FW_ITEM_KEY
                               ? "SHA-256 in lower-case hex"
                           : item->kind == FW_ITEM_SETTING
                               ? "on-withdraw"
                               : "1 to 47 of letters, digits and . _ - : /");
        return -EINVAL;
    }
    g_strlcpy(item->name, name, sizeof(item->name));
    return 0;
}

static int
parse_setting(struct fw_item *item, JsonObject *value,
              struct fw_config_error *err)
{
    static const char *const known[] = {"value", NULL};
    static const char *const words[] = {"cut", "finish", NULL};
    struct fw_field_reader r = {.obj = value, .err = err, .where = item->name};
    int word = 0;

    if (Fw_Field_RejectUnknown(&r, known) ||
        Fw_Field_Enum(&r, "value", words, -1, &word)) {
        return -EINVAL;
    }
    item->u.setting = (enum fw_on_withdraw)word;
    return 0;
}

static int
parse_value(struct fw_item *item, JsonObject *value,
            struct fw_config_error *err)
{
    switch (item->kind) {
    case FW_ITEM_TEAM:
        item->u.team = Fw_Team_Parse(item->name, value, err);
        break;
    case FW_ITEM_KEY:
        item->u.key = Fw_Key_Parse(item->name, value, err);
        break;
    case FW_ITEM_UPSTREAM:
        item->u.upstream = Fw_Upstream_Parse(item->name, value, err);
        break;
    case FW_ITEM_POOL:
        item->u.pool = Fw_Pool_Parse(item->name, value, err);
        break;
    case FW_ITEM_SERVICE:
        item->u.service = Fw_Service_Parse(item->name, value, err);
        break;
    case FW_ITEM_OPERATOR:
        item->u.oper = Fw_Operator_Parse(item->name, value, err);
        break;
    case FW_ITEM_SETTING:
        return parse_setting(item, value, err);
    case FW_ITEM_KINDS:
        return -EINVAL;
    }
    return item->u.any ? 0 : -EINVAL;
}

/*
 * Keys can only be withdrawn: if a key were removed, a change made from an old
 * configuration could add it again.
 */
static int
parse_removal(struct fw_item *item, struct fw_config_error *err)
{
    if (item->kind == FW_ITEM_KEY || item->kind == FW_ITEM_SETTING) {
        Fw_ConfigError_Set(err, "%s: a %s can't be removed", item->name,
                           Fw_Item_KindName(item->kind));
        return -EINVAL;
    }
    item->removed = 1;
    return 0;
}

int
Fw_Item_Parse(JsonObject *obj, struct fw_item *item,
              struct fw_config_error *err)
{
    static const char *const known[] = {"kind", "name", "was", "value", NULL};
    struct fw_field_reader r = {.obj = obj, .err = err, .where = "item"};
    char name[FW_ITEM_NAME_MAX];
    int64_t was = 0;
    int kind = 0;
    static const char *const kinds[] = {"team",    "key",     "upstream",
                                        "pool",    "service", "operator",
                                        "setting", NULL};
    JsonNode *value = json_object_get_member(obj, "value");

    if (Fw_Field_RejectUnknown(&r, known) ||
        Fw_Field_Enum(&r, "kind", kinds, -1, &kind) ||
        Fw_Field_Text(&r, "name", name, sizeof(name)) ||
        Fw_Field_Int(&r, "was", 0, INT64_MAX, -1, &was)) {
        return -EINVAL;
    }
    item->kind = (enum fw_item_kind)kind;
    item->expected_version = (uint64_t)was;
    if (parse_item_name(item, name, err)) {
        return -EINVAL;
    }
    if (value && JSON_NODE_HOLDS_NULL(value)) {
        return parse_removal(item, err);
    }
    if (!value || !JSON_NODE_HOLDS_OBJECT(value)) {
        Fw_ConfigError_Set(err, "%s %.64s: value is no object",
                           Fw_Item_KindName(item->kind), item->name);
        return -EINVAL;
    }
    return parse_value(item, json_node_get_object(value), err);
}

static int
parse_items(JsonArray *arr, struct fw_change *ch, struct fw_config_error *err)
{
    unsigned n = json_array_get_length(arr);
    GHashTable *seen;
    int rc = 0;

    ch->items = g_new0(struct fw_item, n);
    seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (unsigned i = 0; i < n && rc == 0; i++) {
        JsonNode *node = json_array_get_element(arr, i);
        struct fw_item *item = &ch->items[i];

        if (!JSON_NODE_HOLDS_OBJECT(node)) {
            Fw_ConfigError_Set(err, "item %u is no object", i + 1);
            rc = -EINVAL;
            break;
        }
        rc = Fw_Item_Parse(json_node_get_object(node), item, err);
        if (rc == 0 &&
            !g_hash_table_add(
                seen, g_strdup_printf("%d %s", item->kind, item->name))) {
            Fw_ConfigError_Set(err, "%s %.64s is listed twice",
                               Fw_Item_KindName(item->kind), item->name);
            rc = -EINVAL;
        }
        ch->n++;
    }
    g_hash_table_unref(seen);
    return rc;
}

static int
parse_record(JsonObject *obj, struct fw_change *ch,
             struct fw_config_error *err)
{
    static const char *const known[] = {"v",    "id",    "who", "at",
                                        "base", "items", NULL};
    struct fw_field_reader r = {.obj = obj, .err = err, .where = "record"};
    JsonArray *items;
    int64_t v;
    int64_t base = 0;

    if (Fw_Field_Text(&r, "id", ch->id, sizeof(ch->id)) ||
        Fw_Field_Name(&r, "who", NULL, ch->author) ||
        Fw_Field_Text(&r, "at", ch->timestamp, sizeof(ch->timestamp)) ||
        Fw_Field_RejectUnknown(&r, known) ||
        Fw_Field_Int(&r, "v", 1, 1, -1, &v) ||
        Fw_Field_Int(&r, "base", 0, INT64_MAX, 0, &base) ||
        Fw_Field_Array(&r, "items", FW_CHANGE_ITEMS_MAX, &items)) {
        return -EINVAL;
    }
    ch->base_version = (uint64_t)base;
    if (!items || json_array_get_length(items) == 0) {
        Fw_ConfigError_Set(err, "record: no items");
        return -EINVAL;
    }
    return parse_items(items, ch, err);
}

int
Fw_Change_Parse(const char *text, struct fw_change *ch,
                struct fw_config_error *err)
{
    JsonParser *parser = NULL;
    JsonObject *obj;
    size_t len = strlen(text);
    int rc;

    *ch = (struct fw_change){.n = 0};
    if (len <= FW_CHANGE_BYTES_MAX) {
        parser = Fw_Json_LoadObject(text, len, &obj);
    }
    if (!parser) {
        Fw_ConfigError_Set(err,
                           "record: not a JSON object of at most %zu bytes",
                           FW_CHANGE_BYTES_MAX);
        return -EINVAL;
    }
    rc = parse_record(obj, ch, err);
    g_object_unref(parser);
    return rc;
}

void
Fw_Item_Clear(struct fw_item *item)
{
    switch (item->kind) {
    case FW_ITEM_TEAM:
        Fw_Team_Free(item->u.team);
        break;
    case FW_ITEM_KEY:
    case FW_ITEM_UPSTREAM:
    case FW_ITEM_POOL:
    case FW_ITEM_SERVICE:
    case FW_ITEM_OPERATOR:
        g_free(item->u.any);
        break;
    case FW_ITEM_SETTING:
    case FW_ITEM_KINDS:
        break;
    }
    item->u.any = NULL;
}

void
Fw_Change_Clear(struct fw_change *ch)
{
    for (int i = 0; i < ch->n; i++) {
        Fw_Item_Clear(&ch->items[i]);
    }
    g_free(ch->items);
    ch->items = NULL;
    ch->n = 0;
}
