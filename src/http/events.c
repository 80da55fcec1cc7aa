#include "http/events.h"

/* An empty line ends an event; CR is ignored. */
void
Fw_EventCount_Add(struct fw_event_count *c, const char *data, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (data[i] == '\r') {
            continue;
        }
        c->n += data[i] == '\n' && c->at_line;
        c->at_line = data[i] == '\n' && !c->at_line;
    }
}
