/* Follows the events of a text/event-stream body. */
#ifndef FW_DECIDE_SSE_H
#define FW_DECIDE_SSE_H

#include <stddef.h>
#include <stdint.h>

/** enum fw_sse_line - the current line of a stream. */
enum fw_sse_line {
    FW_SSE_LINE_EMPTY,
    FW_SSE_LINE_COMMENT,
    FW_SSE_LINE_FIELD,
};

/**
 * struct fw_sse_counter - to be zeroed before the first call.
 * @events: number of events
 * @line: what the current line is so far
 * @in_event: a field has begun since the last event ended
 * @after_cr: a line feed as the next byte belongs to the last line end
 */
struct fw_sse_counter {
    int64_t events;
    enum fw_sse_line line;
    int in_event;
    int after_cr;
};

/* Counts the events that end in @data, the next part of the stream. */
void
Fw_SseCounter_Add(struct fw_sse_counter *c, const char *data, size_t len);

#endif
