#include "decide/sse.h"

/* An empty line ends an event; a comment is not part of one. */
static void
end_line(struct fw_sse_counter *c)
{
    if (c->line == FW_SSE_LINE_EMPTY) {
        c->events += c->in_event;
        c->in_event = 0;
    }
    c->line = FW_SSE_LINE_EMPTY;
}

static void
add_byte(struct fw_sse_counter *c, char byte)
{
    int ends_crlf = byte == '\n' && c->after_cr;

    c->after_cr = byte == '\r';
    if (ends_crlf) {
        return;
    }
    if (byte == '\n' || byte == '\r') {
        end_line(c);
    }
    else if (c->line == FW_SSE_LINE_EMPTY) {
        c->line = byte == ':' ? FW_SSE_LINE_COMMENT : FW_SSE_LINE_FIELD;
        c->in_event |= c->line == FW_SSE_LINE_FIELD;
    }
}

void
Fw_SseCounter_Add(struct fw_sse_counter *c, const char *data, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        add_byte(c, data[i]);
    }
}
