/* Counts the events of a stream (text/event-stream) as its bytes pass. */
#ifndef FW_HTTP_EVENTS_H
#define FW_HTTP_EVENTS_H

#include <stddef.h>
#include <stdint.h>

/** struct fw_event_count - zeroed at the start; @at_line: a line has ended. */
struct fw_event_count {
    int64_t n;
    int at_line;
};

void
Fw_EventCount_Add(struct fw_event_count *c, const char *data, size_t len);

#endif
