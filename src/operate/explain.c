#include "operate/explain.h"

#include <glib.h>
#include <string.h>

/** struct fw_explain - @n rows are in use; the next is written at @next. */
struct fw_explain {
    unsigned n;
    unsigned next;
    struct fw_explain_row rows[FW_EXPLAIN_ROWS];
};

struct fw_explain *
Fw_Explain_New(void)
{
    return g_new0(struct fw_explain, 1);
}

void
Fw_Explain_Free(struct fw_explain *ex)
{
    g_free(ex);
}

void
Fw_Explain_Add(struct fw_explain *ex, const char *id, int64_t now_us,
               const char *stage, const char *fmt, ...)
{
    struct fw_explain_row *row;
    va_list ap;

    if (!ex) {
        return;
    }
    row = &ex->rows[ex->next];
    g_strlcpy(row->id, id, sizeof(row->id));
    row->at_us = now_us;
    g_strlcpy(row->stage, stage, sizeof(row->stage));
    va_start(ap, fmt);
    g_vsnprintf(row->text, sizeof(row->text), fmt, ap);
    va_end(ap);
    ex->next = (ex->next + 1) % FW_EXPLAIN_ROWS;
    ex->n = MIN(ex->n + 1, FW_EXPLAIN_ROWS);
}

const struct fw_explain_row *
Fw_Explain_Next(const struct fw_explain *ex, const char *id, unsigned *pos)
{
    unsigned first;

    if (!ex) {
        return NULL;
    }
    first = (ex->next + FW_EXPLAIN_ROWS - ex->n) % FW_EXPLAIN_ROWS;
    while (*pos < ex->n) {
        const struct fw_explain_row *row =
            &ex->rows[(first + *pos) % FW_EXPLAIN_ROWS];

        (*pos)++;
        if (strcmp(row->id, id) == 0) {
            return row;
        }
    }
    return NULL;
}
