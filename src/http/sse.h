/* Counts server-sent events in a text/event-stream body. */
#ifndef FW_HTTP_SSE_H
#define FW_HTTP_SSE_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct fw_sse_counter - to be zeroed before the first call.
 * @events: number of events
 * @line_ended: nonzero when a line feed as the next byte ends an event
 */
struct fw_sse_counter {
    int64_t events;
    int line_ended;
};

/* Counts the events that end in @data, the next part of the stream. */
void
Fw_SseCounter_Add(struct fw_sse_counter *c, const char *data, size_t len);

#endif
