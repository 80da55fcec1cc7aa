/* Application of a record to the state: checks, verdict, audit trail. */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "config/state.h"

static const unsigned items_max[FW_ITEM_KINDS] = {
    [FW_ITEM_TEAM] = 50000,     [FW_ITEM_KEY] = 200000,
    [FW_ITEM_UPSTREAM] = 10000, [FW_ITEM_POOL] = 1000,
    [FW_ITEM_SERVICE] = 1000,   [FW_ITEM_OPERATOR] = 1000,
    [FW_ITEM_SETTING] = 1,
};

/*
 * Optimistic locking: a change is rejected when an item has another version
 * than its author saw, so that concurrent changes don't overwrite each other.
 */
static int
check_versions(const struct fw_config_state *st, const struct fw_change *ch,
               struct fw_config_error *err)
{
    for (int i = 0; i < ch->n; i++) {
        const struct fw_item *item = &ch->items[i];
        uint64_t now = Fw_Config_ItemVersion(st->cfg, item->kind, item->name);
        const struct fw_audit_entry *by = Fw_Audit_Find(&st->audit, now);

        if (now == item->expected_version || FW_FAULT("config-no-compare")) {
            continue;
        }
        Fw_ConfigError_Set(err,
                           "%s %.64s: made on version %" G_GUINT64_FORMAT
                           ", in force is %" G_GUINT64_FORMAT "%s%s",
                           Fw_Item_KindName(item->kind), item->name,
                           item->expected_version, now, by ? " by " : "",
                           by ? by->author : "");
        return -ESTALE;
    }
    return 0;
}

/* Nonzero if team @name exists once @ch is applied. */
static int
team_exists_after(const struct fw_config *cfg, const struct fw_change *ch,
                  const char *name)
{
    for (int i = 0; i < ch->n; i++) {
        if (ch->items[i].kind == FW_ITEM_TEAM &&
            strcmp(ch->items[i].name, name) == 0) {
            return !ch->items[i].removed;
        }
    }
    return Fw_Config_FindTeam(cfg, name) != NULL;
}

static int
check_key(const struct fw_config_state *st, const struct fw_change *ch,
          const struct fw_key *key, struct fw_config_error *err)
{
    const struct fw_key *old = g_hash_table_lookup(st->cfg->keys, key->digest);

    if (old && old->withdrawn && !key->withdrawn &&
        !FW_FAULT("config-key-comes-back")) {
        Fw_ConfigError_Set(
            err,
            "key %.12s...: withdrawn at version %" G_GUINT64_FORMAT
            " for good; give a new key",
            key->digest, old->version);
        return -EINVAL;
    }
    if (old && strcmp(old->team, key->team) != 0) {
        Fw_ConfigError_Set(err, "key %.12s...: is of team %s; give a new key",
                           key->digest, old->team);
        return -EINVAL;
    }
    if (!key->withdrawn && !team_exists_after(st->cfg, ch, key->team)) {
        Fw_ConfigError_Set(err, "key %.12s...: no team %s", key->digest,
                           key->team);
        return -EINVAL;
    }
    return 0;
}

static unsigned
count_operators(const struct fw_config *cfg)
{
    GHashTableIter it;
    void *value;
    unsigned n = 0;

    g_hash_table_iter_init(&it, cfg->operators);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        n += !((const struct fw_operator *)value)->withdrawn;
    }
    return n;
}

/* Without an operator nobody could change the configuration any more. */
static int
check_operators(const struct fw_config_state *st, const struct fw_change *ch,
                struct fw_config_error *err)
{
    unsigned before = count_operators(st->cfg);
    unsigned after = before;

    for (int i = 0; i < ch->n; i++) {
        const struct fw_item *item = &ch->items[i];
        const struct fw_operator *old;

        if (item->kind != FW_ITEM_OPERATOR) {
            continue;
        }
        old = g_hash_table_lookup(st->cfg->operators, item->name);
        after -= old && !old->withdrawn;
        after += !item->removed && !item->u.oper->withdrawn;
    }
    if (before > 0 && after == 0) {
        Fw_ConfigError_Set(err, "no operator would be left");
        return -EINVAL;
    }
    return 0;
}

static int
check_counts(const struct fw_config_state *st, const struct fw_change *ch,
             struct fw_config_error *err)
{
    unsigned added[FW_ITEM_KINDS] = {0};

    for (int i = 0; i < ch->n; i++) {
        const struct fw_item *item = &ch->items[i];

        added[item->kind] += item->expected_version == 0;
        if (Fw_Config_ItemCount(st->cfg, item->kind) + added[item->kind] >
            items_max[item->kind]) {
            Fw_ConfigError_Set(err, "more than %u of kind %s",
                               items_max[item->kind],
                               Fw_Item_KindName(item->kind));
            return -EINVAL;
        }
    }
    return 0;
}

static int
check_change(const struct fw_config_state *st, const struct fw_change *ch,
             struct fw_config_error *err)
{
    if (ch->base_version &&
        ch->base_version + FW_BASE_AGE_MAX_RECORDS < st->cfg->next_offset) {
        Fw_ConfigError_Set(err,
                           "made on version %" G_GUINT64_FORMAT ": too old",
                           ch->base_version);
        return -EINVAL;
    }
    for (int i = 0; i < ch->n; i++) {
        if (ch->items[i].kind == FW_ITEM_KEY &&
            check_key(st, ch, ch->items[i].u.key, err)) {
            return -EINVAL;
        }
    }
    if (check_operators(st, ch, err)) {
        return -EINVAL;
    }
    return check_counts(st, ch, err);
}

enum fw_change_verdict
Fw_ConfigState_Evaluate(const struct fw_config_state *st,
                        const struct fw_change *ch,
                        struct fw_config_error *err)
{
    const struct fw_change_outcome *seen =
        Fw_ConfigState_FindOutcome(st, ch->id);

    if (seen && !FW_FAULT("config-no-ids")) {
        Fw_ConfigError_Set(err, "id seen at version %" G_GUINT64_FORMAT ": %s",
                           seen->offset, Fw_Change_VerdictName(seen->verdict));
        return FW_CHANGE_DUPLICATE;
    }
    if (check_versions(st, ch, err)) {
        return FW_CHANGE_CONFLICT;
    }
    if (check_change(st, ch, err)) {
        return FW_CHANGE_INVALID;
    }
    return FW_CHANGE_ACCEPTED;
}

static JsonArray *
values_before(const struct fw_config_state *st, const struct fw_change *ch)
{
    JsonArray *arr = json_array_new();
    int n = MIN(ch->n, FW_AUDIT_CHANGE_ITEMS_MAX);

    for (int i = 0; i < n; i++) {
        const struct fw_item *item = &ch->items[i];
        JsonNode *value = Fw_Config_ItemValue(st->cfg, item->kind, item->name);
        JsonObject *o = json_object_new();

        json_object_set_string_member(o, "kind", Fw_Item_KindName(item->kind));
        json_object_set_string_member(o, "name", item->name);
        if (value) {
            json_object_set_member(o, "before", value);
        }
        else {
            json_object_set_null_member(o, "before");
        }
        json_array_add_object_element(arr, o);
    }
    return arr;
}

/* Adds the current value to each item of @arr. */
static void
values_after(const struct fw_config_state *st, JsonArray *arr)
{
    unsigned n = json_array_get_length(arr);

    for (unsigned i = 0; i < n; i++) {
        JsonObject *o = json_array_get_object_element(arr, i);
        enum fw_item_kind kind =
            Fw_Item_ParseKind(json_object_get_string_member(o, "kind"));
        JsonNode *value = Fw_Config_ItemValue(
            st->cfg, kind, json_object_get_string_member(o, "name"));

        if (value) {
            json_object_set_member(o, "after", value);
        }
        else {
            json_object_set_null_member(o, "after");
        }
    }
}

static void
record_audit(struct fw_config_state *st, uint64_t offset,
             const struct fw_change *ch, const struct fw_change_result *res,
             JsonArray *items)
{
    JsonObject *o = json_object_new();
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);

    json_object_set_int_member(o, "offset", (int64_t)offset);
    json_object_set_string_member(o, "id", ch->id);
    json_object_set_string_member(o, "who", ch->author);
    json_object_set_string_member(o, "at", ch->timestamp);
    json_object_set_string_member(o, "verdict",
                                  Fw_Change_VerdictName(res->verdict));
    json_object_set_string_member(o, "why", res->error.text);
    json_object_set_array_member(o, "items", items);
    json_object_set_int_member(o, "more",
                               MAX(0, ch->n - FW_AUDIT_CHANGE_ITEMS_MAX));
    json_node_take_object(node, o);
    Fw_Audit_Add(&st->audit, offset, ch->author, json_to_string(node, FALSE));
    json_node_unref(node);
}

/*
 * Removes withdrawn keys once no accepted change can have a base version from
 * before the withdrawal. It happens at fixed offsets, so that all instances
 * remove the same keys.
 */
static void
prune_withdrawn_keys(struct fw_config *cfg)
{
    GHashTableIter it;
    void *value;

    if (cfg->next_offset % FW_KEY_PRUNE_INTERVAL_RECORDS != 0) {
        return;
    }
    g_hash_table_iter_init(&it, cfg->keys);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct fw_key *key = value;

        if (key->withdrawn &&
            key->version + FW_BASE_AGE_MAX_RECORDS < cfg->next_offset) {
            g_hash_table_iter_remove(&it);
        }
    }
}

void
Fw_ConfigState_Apply(struct fw_config_state *st, const char *text,
                     struct fw_change_result *res)
{
    uint64_t offset = st->cfg->next_offset;
    struct fw_change ch;
    JsonArray *items;

    *res = (struct fw_change_result){.verdict = FW_CHANGE_INVALID};
    if (Fw_Change_Parse(text, &ch, &res->error) == 0) {
        res->verdict = Fw_ConfigState_Evaluate(st, &ch, &res->error);
    }
    else if (ch.id[0] && Fw_ConfigState_FindOutcome(st, ch.id)) {
        res->verdict = FW_CHANGE_DUPLICATE;
    }
    items = res->verdict == FW_CHANGE_INVALID && ch.n == 0
                ? json_array_new()
                : values_before(st, &ch);
    if (res->verdict == FW_CHANGE_ACCEPTED) {
        for (int i = 0; i < ch.n; i++) {
            Fw_Config_PutItem(st->cfg, &ch.items[i], offset);
        }
    }
    values_after(st, items);
    record_audit(st, offset, &ch, res, items);
    if (ch.id[0] && res->verdict != FW_CHANGE_DUPLICATE) {
        Fw_ConfigState_RecordOutcome(st, ch.id, offset, res->verdict);
    }
    st->cfg->next_offset = offset + 1;
    prune_withdrawn_keys(st->cfg);
    g_strlcpy(res->id, ch.id, sizeof(res->id));
    g_strlcpy(res->author, ch.author, sizeof(res->author));
    Fw_Change_Clear(&ch);
}
