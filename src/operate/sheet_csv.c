/* CSV parsing: assigns cells to columns by the header row. */
#include <csv.h>
#include <string.h>

#include "operate/sheet_internal.h"

static const char *const column_names[FW_COLUMNS] = {
    "kind",        "name",       "rate",
    "burst",       "priority",   "models",
    "prefill_min", "decode_min", "kv_bytes_per_token",
    "serves",      "pool",       "role",
    "drained",     "team",       "withdrawn",
};

const char *
Fw_Sheet_ColumnName(enum fw_sheet_column col)
{
    return column_names[col];
}

/**
 * struct csv_reader - parser state.
 * @row_number: number of the current row, the header being 1
 * @col: index of the next cell in the row
 * @columns: column of each cell, by index; @n_columns are in use
 * @after_cr: the last row ended with CR, so an immediate LF is part of CRLF
 * @has_value: the current row has a nonempty cell
 */
struct csv_reader {
    struct fw_sheet_plan *plan;
    unsigned row_number;
    unsigned col;
    int has_header;
    unsigned n_columns;
    enum fw_sheet_column columns[FW_COLUMNS];
    struct fw_sheet_cells cells;
    int after_cr;
    int has_value;
};

static char *
copy_trimmed(const void *data, size_t len)
{
    return g_strstrip(g_strndup(data ? data : "", len));
}

static void
add_header_cell(struct csv_reader *r, const char *text)
{
    enum fw_sheet_column col = FW_COL_KIND;
    char *allowed;

    while (col < FW_COLUMNS && strcmp(column_names[col], text) != 0) {
        col++;
    }
    for (unsigned i = 0; i < r->n_columns; i++) {
        if (col < FW_COLUMNS && r->columns[i] == col) {
            Fw_Sheet_AddError(r->plan, r->row_number, text, "the column twice",
                              "each column once");
            return;
        }
    }
    if (col < FW_COLUMNS) {
        r->columns[r->n_columns++] = col;
        return;
    }
    allowed = g_strjoinv(" ", (char **)column_names);
    Fw_Sheet_AddError(r->plan, r->row_number, text[0] ? text : "(empty)",
                      "an unknown column", allowed);
    g_free(allowed);
}

static void
on_cell(void *data, size_t len, void *ctx)
{
    struct csv_reader *r = ctx;
    char *text = copy_trimmed(data, len);

    r->after_cr = 0;
    r->has_value |= text[0] != '\0';
    if (!r->has_header) {
        add_header_cell(r, text);
        g_free(text);
    }
    else if (r->col < r->n_columns) {
        r->cells.cells[r->columns[r->col]] = text;
    }
    else {
        if (text[0]) {
            Fw_Sheet_AddError(r->plan, r->row_number, "(beyond the header)",
                              text, "no more cells than the header has");
        }
        g_free(text);
    }
    r->col++;
}

static void
clear_cells(struct csv_reader *r)
{
    for (int i = 0; i < FW_COLUMNS; i++) {
        g_free(r->cells.cells[i]);
        r->cells.cells[i] = NULL;
    }
}

static void
end_row(struct csv_reader *r)
{
    if (!r->has_header && r->col > 0) {
        r->has_header = 1;
    }
    else if (r->has_value) {
        r->cells.row_number = r->row_number;
        Fw_Sheet_AddRow(r->plan, &r->cells);
    }
    clear_cells(r);
    r->row_number++;
    r->col = 0;
    r->has_value = 0;
}

/*
 * End of a row, or of the file if @c is -1. libcsv calls this for a blank line
 * too, and for CR and LF separately. CRLF is counted once, so that row numbers
 * match those of the spreadsheet.
 */
static void
on_row(int c, void *ctx)
{
    struct csv_reader *r = ctx;

    if (c == '\n' && r->after_cr && r->col == 0) {
        r->after_cr = 0;
        return;
    }
    r->after_cr = c == '\r';
    if (c >= 0 || r->col > 0) {
        end_row(r);
    }
}

/* Returns ';' if the header row has more semicolons than commas, else ','. */
static char
find_delimiter(const char *data, size_t len)
{
    unsigned commas = 0;
    unsigned semicolons = 0;

    for (size_t i = 0; i < len && data[i] != '\n' && data[i] != '\r'; i++) {
        commas += data[i] == ',';
        semicolons += data[i] == ';';
    }
    return semicolons > commas ? ';' : ',';
}

static void
parse_csv(struct csv_reader *r, const char *data, size_t len)
{
    struct csv_parser csv;

    if (csv_init(&csv, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL)) {
        Fw_Sheet_AddError(r->plan, 0, "", "no memory", "");
        return;
    }
    csv_set_delim(&csv, (unsigned char)find_delimiter(data, len));
    if (csv_parse(&csv, data, len, on_cell, on_row, r) != len ||
        csv_fini(&csv, on_cell, on_row, r)) {
        Fw_Sheet_AddError(r->plan, r->row_number, "(row)",
                          "a quote that does not fit",
                          "quotes around a whole cell, doubled inside");
    }
    clear_cells(r);
    csv_free(&csv);
}

void
Fw_Sheet_ReadCsv(struct fw_sheet_plan *plan, const char *data, size_t len)
{
    static const char bom[] = "\xef\xbb\xbf";
    struct csv_reader r = {.plan = plan, .row_number = 1};

    if (len >= 3 && memcmp(data, bom, 3) == 0) {
        data += 3;
        len -= 3;
    }
    if (len > FW_SHEET_BYTES_MAX) {
        Fw_Sheet_AddError(plan, 0, "(file)", "too large", "at most 4 MiB");
        return;
    }
    if (!g_utf8_validate(data, (gssize)len, NULL)) {
        Fw_Sheet_AddError(plan, 0, "(file)", "not UTF-8",
                          "CSV saved as UTF-8");
        return;
    }
    parse_csv(&r, data, len);
    if (!r.has_header) {
        Fw_Sheet_AddError(plan, 1, "(row)", "nothing", "a header row");
    }
}
