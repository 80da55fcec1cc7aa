/*
 * Trace of the decisions this instance made for each request.
 *
 * A fixed-size ring buffer: the oldest rows are overwritten first, whichever
 * request they belong to. A request may pass through several instances, so a
 * client has to query all of them for the whole trace.
 */
#ifndef FW_OPERATE_EXPLAIN_H
#define FW_OPERATE_EXPLAIN_H

#include <stdint.h>

#include "base/limits.h"

#define FW_EXPLAIN_ROWS 4096
#define FW_EXPLAIN_STAGE_MAX 16
#define FW_EXPLAIN_TEXT_MAX 144

/**
 * struct fw_explain_row - one decision.
 * @id: request id
 * @at_us: monotonic time of the decision
 * @stage: step of request handling, e.g. "admission", "pair", "retry", "end"
 * @text: human-readable description, truncated to fit
 */
struct fw_explain_row {
    char id[FW_ID_MAX];
    int64_t at_us;
    char stage[FW_EXPLAIN_STAGE_MAX];
    char text[FW_EXPLAIN_TEXT_MAX];
};

/** struct fw_explain - the ring buffer; opaque. */
struct fw_explain;

struct fw_explain *
Fw_Explain_New(void);
void
Fw_Explain_Free(struct fw_explain *ex);
/* Records a decision for request @id. Does nothing if @ex is NULL. */
void
Fw_Explain_Add(struct fw_explain *ex, const char *id, int64_t now_us,
               const char *stage, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
/**
 * Fw_Explain_Next - iterates over the rows of request @id, oldest first.
 * @ex: may be NULL, which has no rows
 * @pos: iterator, set to 0 by the caller before the first call
 *
 * Return: the next row, valid until the next Fw_Explain_Add(), or NULL at the
 * end.
 */
const struct fw_explain_row *
Fw_Explain_Next(const struct fw_explain *ex, const char *id, unsigned *pos);

#endif
