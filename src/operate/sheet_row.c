/* Converts the cells of a row to members of an item's value. */
#include <errno.h>
#include <string.h>

#include "operate/sheet_internal.h"

#define FW_COL_BIT(col) (1U << (col))

/* Columns allowed for each kind, in addition to kind and name. */
static const unsigned kind_columns[FW_ITEM_KINDS] = {
    [FW_ITEM_TEAM] = FW_COL_BIT(FW_COL_RATE) | FW_COL_BIT(FW_COL_BURST) |
                     FW_COL_BIT(FW_COL_PRIORITY) | FW_COL_BIT(FW_COL_MODELS),
    [FW_ITEM_POOL] = FW_COL_BIT(FW_COL_PREFILL_MIN) |
                     FW_COL_BIT(FW_COL_DECODE_MIN) |
                     FW_COL_BIT(FW_COL_KV_BYTES) | FW_COL_BIT(FW_COL_SERVES),
    [FW_ITEM_UPSTREAM] = FW_COL_BIT(FW_COL_POOL) | FW_COL_BIT(FW_COL_ROLE) |
                         FW_COL_BIT(FW_COL_DRAINED),
    [FW_ITEM_KEY] = FW_COL_BIT(FW_COL_TEAM) | FW_COL_BIT(FW_COL_WITHDRAWN),
};

static int
add_cell_error(struct fw_sheet_plan *plan, const struct fw_sheet_cells *cells,
               enum fw_sheet_column col, const char *allowed)
{
    const char *found = cells->cells[col];

    Fw_Sheet_AddError(plan, cells->row_number, Fw_Sheet_ColumnName(col),
                      found && found[0] ? found : "nothing", allowed);
    return -EINVAL;
}

/*
 * Accepts one or two zero decimals after a comma or point ("1500,00",
 * "1500.00"), which spreadsheets add depending on locale and cell format.
 * Rejects thousands separators, since "1.500" is ambiguous.
 */
static int
parse_integer(const char *text, int64_t *out)
{
    char *end;
    gint64 n;

    if (!g_ascii_isdigit(text[0])) {
        return -EINVAL;
    }
    errno = 0;
    n = g_ascii_strtoll(text, &end, 10);
    if (errno) {
        return -EINVAL;
    }
    if (*end == ',' || *end == '.') {
        size_t zeros = strspn(end + 1, "0");

        if (zeros == 0 || zeros > 2 || end[1 + zeros] != '\0') {
            return -EINVAL;
        }
        end += 1 + zeros;
    }
    *out = n;
    return *end == '\0' ? 0 : -EINVAL;
}

static int
set_number(struct fw_sheet_plan *plan, const struct fw_sheet_cells *cells,
           enum fw_sheet_column col, JsonObject *overrides)
{
    int64_t n;

    if (parse_integer(cells->cells[col], &n)) {
        return add_cell_error(
            plan, cells, col,
            "whole number without group marks, as 1500 or 1500,00");
    }
    json_object_set_int_member(overrides, Fw_Sheet_ColumnName(col), n);
    return 0;
}

static int
set_flag(struct fw_sheet_plan *plan, const struct fw_sheet_cells *cells,
         enum fw_sheet_column col, JsonObject *overrides)
{
    const char *text = cells->cells[col];
    int yes = g_ascii_strcasecmp(text, "yes") == 0 ||
              g_ascii_strcasecmp(text, "true") == 0;

    if (!yes && g_ascii_strcasecmp(text, "no") != 0 &&
        g_ascii_strcasecmp(text, "false") != 0) {
        return add_cell_error(plan, cells, col, "yes, no");
    }
    json_object_set_boolean_member(overrides, Fw_Sheet_ColumnName(col), yes);
    return 0;
}

/* Names separated by whitespace; "all" gives an empty list, which allows
 * every model. */
static int
set_models(struct fw_sheet_plan *plan, const struct fw_sheet_cells *cells,
           JsonObject *overrides)
{
    char **names = g_strsplit_set(cells->cells[FW_COL_MODELS], " \t\n", -1);
    JsonArray *arr = json_array_new();
    int rc = 0;

    for (int i = 0; names[i] && rc == 0; i++) {
        if (names[i][0] == '\0' || strcmp(names[i], "all") == 0) {
            continue;
        }
        if (!Fw_ModelName_IsValid(names[i])) {
            rc = add_cell_error(
                plan, cells, FW_COL_MODELS,
                "all, or names apart by blanks, as m1 m2+adapter");
        }
        json_array_add_string_element(arr, names[i]);
    }
    json_object_set_array_member(overrides, "models", arr);
    g_strfreev(names);
    return rc;
}

/* Parses "model@version" or "model@version+adapter"; NULL if malformed. */
static JsonObject *
parse_serving(const char *text)
{
    char **at = g_strsplit(text, "@", 2);
    char **plus = at[0] && at[1] ? g_strsplit(at[1], "+", 2) : NULL;
    JsonObject *o = NULL;

    if (plus && Fw_Name_IsValid(at[0]) && plus[0] &&
        Fw_Name_IsValid(plus[0]) && (!plus[1] || Fw_Name_IsValid(plus[1]))) {
        o = json_object_new();
        json_object_set_string_member(o, "model", at[0]);
        json_object_set_string_member(o, "version", plus[0]);
        json_object_set_string_member(o, "adapter", plus[1] ? plus[1] : "");
    }
    g_strfreev(at);
    g_strfreev(plus);
    return o;
}

static int
set_serves(struct fw_sheet_plan *plan, const struct fw_sheet_cells *cells,
           JsonObject *overrides)
{
    char **texts = g_strsplit_set(cells->cells[FW_COL_SERVES], " \t\n", -1);
    JsonArray *arr = json_array_new();
    int rc = 0;

    for (int i = 0; texts[i] && rc == 0; i++) {
        JsonObject *o = texts[i][0] ? parse_serving(texts[i]) : NULL;

        if (o) {
            json_array_add_object_element(arr, o);
        }
        else if (texts[i][0]) {
            rc = add_cell_error(
                plan, cells, FW_COL_SERVES,
                "model@version or model@version+adapter, apart by "
                "blanks");
        }
    }
    json_object_set_array_member(overrides, "serves", arr);
    g_strfreev(texts);
    return rc;
}

static int
set_cell(struct fw_sheet_plan *plan, const struct fw_sheet_cells *cells,
         enum fw_sheet_column col, JsonObject *overrides)
{
    switch (col) {
    case FW_COL_RATE:
    case FW_COL_BURST:
    case FW_COL_PRIORITY:
    case FW_COL_PREFILL_MIN:
    case FW_COL_DECODE_MIN:
    case FW_COL_KV_BYTES:
        return set_number(plan, cells, col, overrides);
    case FW_COL_DRAINED:
    case FW_COL_WITHDRAWN:
        return set_flag(plan, cells, col, overrides);
    case FW_COL_MODELS:
        return set_models(plan, cells, overrides);
    case FW_COL_SERVES:
        return set_serves(plan, cells, overrides);
    case FW_COL_POOL:
    case FW_COL_ROLE:
    case FW_COL_TEAM:
        json_object_set_string_member(overrides, Fw_Sheet_ColumnName(col),
                                      cells->cells[col]);
        return 0;
    case FW_COL_KIND:
    case FW_COL_NAME:
    case FW_COLUMNS:
        break;
    }
    return 0;
}

static int
set_cells(struct fw_sheet_plan *plan, const struct fw_sheet_cells *cells,
          enum fw_item_kind kind, JsonObject *overrides)
{
    int rc = 0;

    for (int c = FW_COL_RATE; c < FW_COLUMNS; c++) {
        enum fw_sheet_column col = (enum fw_sheet_column)c;

        if (!cells->cells[c] || !cells->cells[c][0]) {
            continue;
        }
        if (!(kind_columns[kind] & FW_COL_BIT(c))) {
            rc = add_cell_error(plan, cells, col,
                                "nothing in a row of this kind");
        }
        else if (set_cell(plan, cells, col, overrides)) {
            rc = -EINVAL;
        }
    }
    return rc;
}

static void
set_base_version(struct fw_sheet_plan *plan,
                 const struct fw_sheet_cells *cells)
{
    const char *name = cells->cells[FW_COL_NAME];
    guint64 base_version;

    if (!name || plan->has_base ||
        !g_ascii_string_to_unsigned(name, 10, 0, G_MAXINT64, &base_version,
                                    NULL)) {
        add_cell_error(plan, cells, FW_COL_NAME,
                       "once in a sheet: the version it was exported on");
        return;
    }
    plan->base_version = base_version;
    plan->has_base = 1;
}

void
Fw_Sheet_AddRow(struct fw_sheet_plan *plan, const struct fw_sheet_cells *cells)
{
    const char *kind_name = cells->cells[FW_COL_KIND];
    const char *name = cells->cells[FW_COL_NAME];
    enum fw_item_kind kind = Fw_Item_ParseKind(kind_name ? kind_name : "");
    struct fw_sheet_row *row;
    JsonObject *overrides;

    if (kind_name && strcmp(kind_name, "sheet") == 0) {
        if (!plan->baseline) {
            set_base_version(plan, cells);
        }
        return;
    }
    if (!plan->baseline) {
        return;
    }
    if (kind == FW_ITEM_KINDS || kind_columns[kind] == 0) {
        add_cell_error(plan, cells, FW_COL_KIND,
                       "sheet, team, pool, upstream, key");
        return;
    }
    if (!name || (kind == FW_ITEM_KEY ? !Fw_Digest_IsValid(name)
                                      : !Fw_Name_IsValid(name))) {
        add_cell_error(plan, cells, FW_COL_NAME,
                       kind == FW_ITEM_KEY
                           ? "the key's digest: 64 hex digits in lower case"
                           : "1 to 47 of letters, digits and . _ - : /");
        return;
    }
    if (!g_hash_table_add(plan->item_keys,
                          g_strdup_printf("%s %s", kind_name, name))) {
        add_cell_error(plan, cells, FW_COL_NAME, "each item in one row");
        return;
    }
    overrides = json_object_new();
    if (set_cells(plan, cells, kind, overrides)) {
        json_object_unref(overrides);
        return;
    }
    row = g_new0(struct fw_sheet_row, 1);
    row->row_number = cells->row_number;
    row->kind = kind;
    row->overrides = overrides;
    g_strlcpy(row->name, name, sizeof(row->name));
    g_ptr_array_add(plan->rows, row);
    Fw_Sheet_CompareRow(plan, row);
}
