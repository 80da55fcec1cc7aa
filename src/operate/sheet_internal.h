/* Private to the sheet_*.c files. */
#ifndef FW_OPERATE_SHEET_INTERNAL_H
#define FW_OPERATE_SHEET_INTERNAL_H

#include "operate/sheet.h"

/* Adds an error; @found and @column are truncated, but stay valid UTF-8. */
void
Fw_Sheet_AddError(struct fw_sheet_plan *plan, unsigned row_number,
                  const char *column, const char *found, const char *allowed);

/**
 * struct fw_sheet_cells - the cells of one row.
 * @row_number: row number as the spreadsheet shows it
 * @cells: by column; NULL or empty if the sheet has no value
 */
struct fw_sheet_cells {
    unsigned row_number;
    char *cells[FW_COLUMNS];
};

/* Parses CSV, calling Fw_Sheet_AddRow() for each row after the header. */
void
Fw_Sheet_ReadCsv(struct fw_sheet_plan *plan, const char *data, size_t len);
/*
 * Parses @cells and adds the row to the plan, compared with the value in
 * force. While the plan has no baseline, handles only the row that gives the
 * base version.
 */
void
Fw_Sheet_AddRow(struct fw_sheet_plan *plan,
                const struct fw_sheet_cells *cells);
/*
 * Sets @plan->baseline from the audit log. Returns 0, or -EINVAL if the base
 * version is newer than the version in force.
 */
int
Fw_Sheet_LoadBaseline(struct fw_sheet_plan *plan);
void
Fw_Sheet_FreeBaseline(struct fw_sheet_baseline *baseline);
/* Sets the row's action by comparing it with the value in force. */
void
Fw_Sheet_CompareRow(struct fw_sheet_plan *plan, struct fw_sheet_row *row);
/* Checks that the replica would accept the plan's changes as one record. */
void
Fw_Sheet_Validate(struct fw_sheet_plan *plan);

#endif
