/*
 * Import and export of the configuration as CSV for spreadsheets.
 *
 * An import becomes one change. Each row is compared with both the value in
 * force and the value at the version the sheet was exported from. If an item
 * has changed since the export, an unedited row keeps the value in force and
 * an edited row is an error.
 *
 * docs/operations/sheet.md documents the columns.
 */
#ifndef FW_OPERATE_SHEET_H
#define FW_OPERATE_SHEET_H

#include <json-glib/json-glib.h>

#include "config/replica.h"

#define FW_SHEET_BYTES_MAX ((size_t)4 * 1024 * 1024)
/* Limits of a report; errors and rows beyond them are only counted. */
#define FW_SHEET_REPORTED_ERRORS_MAX 50
#define FW_SHEET_REPORTED_ROWS_MAX 500

/** enum fw_sheet_column - the supported columns, in export order. */
enum fw_sheet_column {
    FW_COL_KIND,
    FW_COL_NAME,
    FW_COL_RATE,
    FW_COL_BURST,
    FW_COL_PRIORITY,
    FW_COL_MODELS,
    FW_COL_PREFILL_MIN,
    FW_COL_DECODE_MIN,
    FW_COL_KV_BYTES,
    FW_COL_SERVES,
    FW_COL_POOL,
    FW_COL_ROLE,
    FW_COL_DRAINED,
    FW_COL_TEAM,
    FW_COL_WITHDRAWN,
    FW_COLUMNS,
};

const char *
Fw_Sheet_ColumnName(enum fw_sheet_column col);

/**
 * struct fw_sheet_error - an invalid cell or row.
 * @row_number: row number as the spreadsheet shows it, the header being 1; 0
 *              for an error that belongs to no row
 * @column: column name, or a description in parentheses such as "(file)"
 * @found: the offending text, truncated to fit
 * @allowed: what is accepted instead
 */
struct fw_sheet_error {
    unsigned row_number;
    char column[24];
    char found[48];
    char allowed[112];
};

/** enum fw_sheet_action - what applying the sheet does for a row. */
enum fw_sheet_action {
    FW_ROW_UNCHANGED,    /* the value is already in force */
    FW_ROW_ADD,          /* the item does not exist */
    FW_ROW_UPDATE,       /* the item gets a new value */
    FW_ROW_KEEP_CURRENT, /* not edited, but changed since the export */
};

/**
 * struct fw_sheet_row - one item of the sheet.
 * @row_number: row number as the spreadsheet shows it
 * @overrides: members set by the row's cells; NULL once the row is compared
 * @current_version: version that last changed the item, 0 if it does not
 *                   exist
 * @before: value in force as JSON, NULL if the item does not exist
 * @after: value with the overrides applied, as JSON
 *
 * @before and @after are NULL for unchanged rows. They are serialized because
 * a JsonNode tree takes several times as much memory, which matters for sheets
 * of thousands of rows.
 */
struct fw_sheet_row {
    unsigned row_number;
    enum fw_item_kind kind;
    char name[FW_ITEM_NAME_MAX];
    JsonObject *overrides;
    enum fw_sheet_action action;
    uint64_t current_version;
    char *before;
    char *after;
};

/* Item values at the version the sheet was exported from. */
struct fw_sheet_baseline;

/**
 * struct fw_sheet_plan - the result of reading a sheet.
 * @base_version: version the sheet was exported from, if @has_base
 * @n_errors: errors found, including those beyond the limit of @errors
 * @n_changes: rows that add or update an item
 * @errors: struct fw_sheet_error
 * @rows: struct fw_sheet_row *, without rows that could not be parsed
 * @item_keys: set of "kind name" of the rows read so far, to find duplicates
 * @replica: configuration that the sheet is compared with; borrowed
 * @baseline: NULL during the first pass, which looks for the base version
 */
struct fw_sheet_plan {
    uint64_t base_version;
    int has_base;
    unsigned n_errors;
    unsigned n_changes;
    GArray *errors;
    GPtrArray *rows;
    GHashTable *item_keys;
    const struct fw_config_replica *replica;
    struct fw_sheet_baseline *baseline;
};

/**
 * Fw_Sheet_Plan - parses and validates a sheet without applying it.
 * @replica: must outlive the plan
 *
 * Return: a new plan; if its @n_errors is nonzero it must not be applied.
 */
struct fw_sheet_plan *
Fw_Sheet_Plan(const struct fw_config_replica *replica, const char *data,
              size_t len);
void
Fw_Sheet_FreePlan(struct fw_sheet_plan *plan);
/* The "items" array of a change record that applies the plan; a new string. */
char *
Fw_Sheet_ItemsJson(const struct fw_sheet_plan *plan);
/*
 * The plan for the API: an object with "base", "errors", "error_count",
 * "changes", "kept", "same" and "more". Returns a new node.
 */
JsonNode *
Fw_Sheet_Report(const struct fw_sheet_plan *plan);
/* The configuration as CSV; a new string. */
char *
Fw_Sheet_Export(const struct fw_config *cfg);

#endif
