/* Creates, reports and frees a sheet's plan. */
#include "operate/sheet.h"

#include <string.h>

#include "operate/sheet_internal.h"

static void
free_row(void *data)
{
    struct fw_sheet_row *row = data;

    g_clear_pointer(&row->overrides, json_object_unref);
    g_free(row->before);
    g_free(row->after);
    g_free(row);
}

void
Fw_Sheet_AddError(struct fw_sheet_plan *plan, unsigned row_number,
                  const char *column, const char *found, const char *allowed)
{
    struct fw_sheet_error e = {.row_number = row_number};
    char *valid;

    plan->n_errors++;
    if (plan->errors->len >= FW_SHEET_REPORTED_ERRORS_MAX) {
        return;
    }
    /* Truncation may split a UTF-8 character, which JSON can't represent. */
    valid = g_utf8_make_valid(found, (gssize)strnlen(found, 40));
    g_strlcpy(e.found, valid, sizeof(e.found));
    g_free(valid);
    valid = g_utf8_make_valid(column, (gssize)strnlen(column, 20));
    g_strlcpy(e.column, valid, sizeof(e.column));
    g_free(valid);
    g_strlcpy(e.allowed, allowed, sizeof(e.allowed));
    g_array_append_val(plan->errors, e);
}

struct fw_sheet_plan *
Fw_Sheet_Plan(const struct fw_config_replica *replica, const char *data,
              size_t len)
{
    struct fw_sheet_plan *plan = g_new0(struct fw_sheet_plan, 1);

    plan->errors = g_array_new(FALSE, FALSE, sizeof(struct fw_sheet_error));
    plan->rows = g_ptr_array_new_with_free_func(free_row);
    plan->item_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    plan->replica = replica;
    /* Two passes: rows are compared as they are read, to avoid holding a
     * JSON tree for each, but the row with the base version may be last. */
    Fw_Sheet_ReadCsv(plan, data, len);
    if (!plan->has_base && plan->n_errors == 0) {
        Fw_Sheet_AddError(plan, 0, "kind", "no row of kind sheet",
                          "one row: kind sheet, name the version it was "
                          "exported on");
    }
    if (plan->n_errors == 0 && Fw_Sheet_LoadBaseline(plan) == 0) {
        Fw_Sheet_ReadCsv(plan, data, len);
        Fw_Sheet_Validate(plan);
    }
    return plan;
}

void
Fw_Sheet_FreePlan(struct fw_sheet_plan *plan)
{
    g_array_unref(plan->errors);
    g_ptr_array_unref(plan->rows);
    g_hash_table_unref(plan->item_keys);
    Fw_Sheet_FreeBaseline(plan->baseline);
    g_free(plan);
}

static int
is_change(const struct fw_sheet_row *row)
{
    return row->action == FW_ROW_ADD || row->action == FW_ROW_UPDATE;
}

char *
Fw_Sheet_ItemsJson(const struct fw_sheet_plan *plan)
{
    GString *out = g_string_new("[");

    for (unsigned i = 0; i < plan->rows->len; i++) {
        const struct fw_sheet_row *row = g_ptr_array_index(plan->rows, i);

        if (is_change(row)) {
            /* Valid kinds and names need no JSON escapes. */
            g_string_append_printf(
                out,
                "%s{\"kind\":\"%s\",\"name\":\"%s\",\"was\":%" G_GUINT64_FORMAT
                ",\"value\":%s}",
                out->len > 1 ? "," : "", Fw_Item_KindName(row->kind),
                row->name, row->current_version, row->after);
        }
    }
    g_string_append_c(out, ']');
    return g_string_free(out, FALSE);
}

static JsonObject *
row_report(const struct fw_sheet_row *row)
{
    JsonObject *o = json_object_new();

    json_object_set_int_member(o, "row", row->row_number);
    json_object_set_string_member(o, "kind", Fw_Item_KindName(row->kind));
    json_object_set_string_member(o, "name", row->name);
    if (row->before) {
        json_object_set_member(o, "before",
                               json_from_string(row->before, NULL));
    }
    else {
        json_object_set_null_member(o, "before");
    }
    if (is_change(row)) {
        json_object_set_member(o, "after", json_from_string(row->after, NULL));
    }
    return o;
}

static JsonArray *
errors_report(const struct fw_sheet_plan *plan)
{
    JsonArray *arr = json_array_new();

    for (unsigned i = 0; i < plan->errors->len; i++) {
        const struct fw_sheet_error *e =
            &g_array_index(plan->errors, struct fw_sheet_error, i);
        JsonObject *o = json_object_new();

        json_object_set_int_member(o, "row", e->row_number);
        json_object_set_string_member(o, "column", e->column);
        json_object_set_string_member(o, "found", e->found);
        json_object_set_string_member(o, "allowed", e->allowed);
        json_array_add_object_element(arr, o);
    }
    return arr;
}

JsonNode *
Fw_Sheet_Report(const struct fw_sheet_plan *plan)
{
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);
    JsonObject *obj = json_object_new();
    JsonArray *changes = json_array_new();
    JsonArray *kept = json_array_new();
    int64_t same = 0;
    int64_t more = 0;

    for (unsigned i = 0; i < plan->rows->len && plan->n_errors == 0; i++) {
        const struct fw_sheet_row *row = g_ptr_array_index(plan->rows, i);

        if (row->action == FW_ROW_UNCHANGED) {
            same++;
        }
        else if (json_array_get_length(changes) + json_array_get_length(kept) <
                 FW_SHEET_REPORTED_ROWS_MAX) {
            json_array_add_object_element(is_change(row) ? changes : kept,
                                          row_report(row));
        }
        else {
            more++;
        }
    }
    json_object_set_int_member(obj, "base", (int64_t)plan->base_version);
    json_object_set_int_member(obj, "error_count", plan->n_errors);
    json_object_set_array_member(obj, "errors", errors_report(plan));
    json_object_set_array_member(obj, "changes", changes);
    json_object_set_array_member(obj, "kept", kept);
    json_object_set_int_member(obj, "same", same);
    json_object_set_int_member(obj, "more", more);
    json_node_take_object(node, obj);
    return node;
}
