/*
 * Three-way comparison of sheet rows: sheet, value in force, value at export.
 *
 * Operators may change items between export and import. Comparing only with
 * the value in force would revert those changes, such as a drain or a lowered
 * rate, in rows nobody edited. Values at export come from the audit log.
 */
#include <errno.h>
#include <string.h>

#include "operate/sheet_internal.h"

/**
 * struct fw_sheet_baseline - item values at the base version.
 * @complete: the audit log holds every item changed since then
 * @before: items changed since then: "kind name" to the value at the base
 */
struct fw_sheet_baseline {
    int complete;
    GHashTable *before;
};

static char *
item_key(enum fw_item_kind kind, const char *name)
{
    return g_strdup_printf("%s %s", Fw_Item_KindName(kind), name);
}

/* Records the old values of one audit entry. Called from the newest entry to
 * the oldest, so that the value closest to the base replaces later ones. */
static void
add_old_values(struct fw_sheet_baseline *baseline, const char *text)
{
    JsonNode *node = json_from_string(text, NULL);
    JsonObject *entry = json_node_get_object(node);
    JsonArray *items = json_object_get_array_member(entry, "items");

    if (strcmp(json_object_get_string_member(entry, "verdict"), "accepted") ==
        0) {
        if (json_object_get_int_member(entry, "more") > 0) {
            baseline->complete = 0;
        }
        for (unsigned i = 0; i < json_array_get_length(items); i++) {
            JsonObject *o = json_array_get_object_element(items, i);
            const char *kind = json_object_get_string_member(o, "kind");
            const char *name = json_object_get_string_member(o, "name");

            g_hash_table_replace(baseline->before,
                                 g_strdup_printf("%s %s", kind, name),
                                 json_object_dup_member(o, "before"));
        }
    }
    json_node_unref(node);
}

static void
load_baseline(struct fw_sheet_baseline *baseline,
              const struct fw_config_replica *replica, uint64_t base_version)
{
    const struct fw_audit *audit = Fw_ConfigReplica_Audit(replica);
    const struct fw_list *pos;
    uint64_t reached = Fw_ConfigReplica_Config(replica)->next_offset;

    baseline->complete = 1;
    baseline->before =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                              (GDestroyNotify)(void (*)(void))json_node_unref);
    for (pos = audit->entries.prev; pos != &audit->entries; pos = pos->prev) {
        const struct fw_audit_entry *e =
            FW_LIST_ENTRY(pos, struct fw_audit_entry, link);

        if (e->offset <= base_version) {
            reached = base_version + 1;
            break;
        }
        reached = e->offset;
        add_old_values(baseline, e->text);
    }
    baseline->complete = baseline->complete && reached <= base_version + 1;
}

/* A new node: the members of @value, replaced by those of @overrides. */
static JsonNode *
overlay(JsonNode *value, JsonObject *overrides)
{
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);
    JsonObject *obj = json_object_new();
    JsonObjectIter it;
    const char *name;
    JsonNode *member;

    if (value && JSON_NODE_HOLDS_OBJECT(value)) {
        json_object_iter_init(&it, json_node_get_object(value));
        while (json_object_iter_next(&it, &name, &member)) {
            json_object_set_member(obj, name, json_node_copy(member));
        }
    }
    json_object_iter_init(&it, overrides);
    while (json_object_iter_next(&it, &name, &member)) {
        json_object_set_member(obj, name, json_node_copy(member));
    }
    json_node_take_object(node, obj);
    return node;
}

/* Nonzero if the row equals the exported value. */
static int
unedited(const struct fw_sheet_row *row, JsonNode *exported)
{
    JsonNode *overlaid;
    int same;

    if (!exported || !JSON_NODE_HOLDS_OBJECT(exported)) {
        return 0;
    }
    overlaid = overlay(exported, row->overrides);
    same = json_node_equal(overlaid, exported);
    json_node_unref(overlaid);
    return same;
}

static void
report_conflict(struct fw_sheet_plan *plan, const struct fw_sheet_row *row,
                const struct fw_config_replica *replica)
{
    const struct fw_audit_entry *e =
        Fw_Audit_Find(Fw_ConfigReplica_Audit(replica), row->current_version);
    char found[48];

    g_snprintf(found, sizeof(found), "%.20s, changed at %" G_GUINT64_FORMAT,
               row->name, row->current_version);
    if (e) {
        g_snprintf(found, sizeof(found), "%.20s, by %.16s since", row->name,
                   e->author);
    }
    Fw_Sheet_AddError(plan, row->row_number, "name", found,
                      "the value in force, or a sheet exported after that");
}

/**
 * struct item_values - the two values that a row is about.
 * @before: value in force, NULL if the item does not exist
 * @after: the value with the row's cells applied
 */
struct item_values {
    JsonNode *before;
    JsonNode *after;
};

/* Sets the row's action, or adds an error if the item has also changed since
 * the export, or the audit log doesn't reach back far enough to tell. */
static void
choose_action(struct fw_sheet_plan *plan, struct fw_sheet_row *row,
              const struct item_values *v,
              const struct fw_config_replica *replica,
              const struct fw_sheet_baseline *baseline)
{
    char *key = item_key(row->kind, row->name);
    JsonNode *exported = g_hash_table_lookup(baseline->before, key);

    g_free(key);
    if (v->before && json_node_equal(v->before, v->after)) {
        row->action = FW_ROW_UNCHANGED;
    }
    else if (v->before && row->current_version <= plan->base_version) {
        row->action = FW_ROW_UPDATE;
    }
    else if (baseline->complete && unedited(row, exported)) {
        row->action = FW_ROW_KEEP_CURRENT;
    }
    else if (!v->before && baseline->complete &&
             (!exported || JSON_NODE_HOLDS_NULL(exported))) {
        row->action = FW_ROW_ADD;
    }
    else if (!v->before && !baseline->complete) {
        Fw_Sheet_AddError(plan, row->row_number, "name", row->name,
                          "an item in force; or a sheet exported lately");
    }
    else {
        report_conflict(plan, row, replica);
    }
}

/* Validates the new value by the rules for change records. */
static void
check_value(struct fw_sheet_plan *plan, const struct fw_sheet_row *row,
            const struct item_values *v)
{
    JsonObject *obj = json_object_new();
    struct fw_item item = {.kind = FW_ITEM_TEAM};
    struct fw_config_error why = {.text = ""};

    json_object_set_string_member(obj, "kind", Fw_Item_KindName(row->kind));
    json_object_set_string_member(obj, "name", row->name);
    json_object_set_int_member(obj, "was", (int64_t)row->current_version);
    json_object_set_member(obj, "value", json_node_ref(v->after));
    if (Fw_Item_Parse(obj, &item, &why)) {
        Fw_Sheet_AddError(plan, row->row_number,
                          why.member[0] ? why.member : "name",
                          why.member[0] ? why.found : why.text, why.allowed);
    }
    Fw_Item_Clear(&item);
    json_object_unref(obj);
}

static int
is_withdrawn(JsonNode *key)
{
    return key && json_object_get_boolean_member_with_default(
                      json_node_get_object(key), "withdrawn", FALSE);
}

static void
compare_values(struct fw_sheet_plan *plan, struct fw_sheet_row *row,
               const struct item_values *v)
{
    if (row->kind == FW_ITEM_UPSTREAM && !v->before) {
        Fw_Sheet_AddError(plan, row->row_number, "name", row->name,
                          "an upstream in force; a sheet adds none");
        return;
    }
    choose_action(plan, row, v, plan->replica, plan->baseline);
    if (row->action != FW_ROW_ADD && row->action != FW_ROW_UPDATE) {
        return;
    }
    if (row->kind == FW_ITEM_KEY && is_withdrawn(v->before) &&
        !is_withdrawn(v->after)) {
        Fw_Sheet_AddError(plan, row->row_number, "withdrawn", "no",
                          "yes: the key was withdrawn for good");
    }
    check_value(plan, row, v);
    plan->n_changes++;
}

void
Fw_Sheet_CompareRow(struct fw_sheet_plan *plan, struct fw_sheet_row *row)
{
    const struct fw_config *cfg = Fw_ConfigReplica_Config(plan->replica);
    struct item_values v;

    v.before = Fw_Config_ItemValue(cfg, row->kind, row->name);
    row->current_version = Fw_Config_ItemVersion(cfg, row->kind, row->name);
    v.after = overlay(v.before, row->overrides);
    compare_values(plan, row, &v);
    g_clear_pointer(&row->overrides, json_object_unref);
    if (row->action != FW_ROW_UNCHANGED) {
        row->before = v.before ? json_to_string(v.before, FALSE) : NULL;
        row->after = json_to_string(v.after, FALSE);
    }
    g_clear_pointer(&v.before, json_node_unref);
    json_node_unref(v.after);
}

void
Fw_Sheet_Validate(struct fw_sheet_plan *plan)
{
    struct fw_config_error why = {.text = ""};
    struct fw_change ch;
    char *items;
    char *text;

    if (plan->n_errors > 0 || plan->n_changes == 0) {
        return;
    }
    items = Fw_Sheet_ItemsJson(plan);
    text = g_strdup_printf("{\"v\":1,\"id\":\"check\",\"who\":\"check\","
                           "\"at\":\"check\",\"base\":%" G_GUINT64_FORMAT
                           ",\"items\":%s}",
                           plan->base_version, items);

    if (Fw_Change_Parse(text, &ch, &why) ||
        Fw_ConfigReplica_Evaluate(plan->replica, &ch, &why) !=
            FW_CHANGE_ACCEPTED) {
        Fw_Sheet_AddError(plan, 0, "(sheet)", why.text,
                          "a change that is valid as a whole");
    }
    Fw_Change_Clear(&ch);
    g_free(text);
    g_free(items);
}

int
Fw_Sheet_LoadBaseline(struct fw_sheet_plan *plan)
{
    char found[24];

    if (plan->base_version >=
        Fw_ConfigReplica_Config(plan->replica)->next_offset) {
        g_snprintf(found, sizeof(found), "%" G_GUINT64_FORMAT,
                   plan->base_version);
        Fw_Sheet_AddError(plan, 0, "name", found,
                          "a version that is in force here already");
        return -EINVAL;
    }
    plan->baseline = g_new0(struct fw_sheet_baseline, 1);
    load_baseline(plan->baseline, plan->replica, plan->base_version);
    return 0;
}

void
Fw_Sheet_FreeBaseline(struct fw_sheet_baseline *baseline)
{
    if (baseline) {
        g_hash_table_unref(baseline->before);
        g_free(baseline);
    }
}
