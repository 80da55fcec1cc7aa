#include "http/sse.h"

/* An empty line ends an event; CR is ignored. */
void
Fw_SseCounter_Add(struct fw_sse_counter *c, const char *data, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (data[i] == '\r') {
            continue;
        }
        c->events += data[i] == '\n' && c->line_ended;
        c->line_ended = data[i] == '\n' && !c->line_ended;
    }
}
