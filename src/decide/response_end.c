#include "decide/response_end.h"

#include <glib.h>

#include "base/fault.h"

static int
is_space(char c)
{
    return c == ' ' || c == '\t';
}

/* Length of the media type at the start of a Content-Type. */
static size_t
media_type_len(const char *type, size_t len)
{
    size_t n = 0;

    while (n < len && type[n] != ';' && !is_space(type[n])) {
        n++;
    }
    return n;
}

/*
 * A type that is named decides. Without one the route does, but not for
 * errors, which may have any body.
 */
static int
is_event_stream(const struct fw_response_form *form)
{
    static const char event_stream[] = "text/event-stream";
    size_t len = form->type ? media_type_len(form->type, form->type_len) : 0;

    if (len == 0) {
        return form->is_route_streaming && form->status / 100 == 2 &&
               !FW_FAULT("untyped-not-followed");
    }
    return len == sizeof(event_stream) - 1 &&
           g_ascii_strncasecmp(form->type, event_stream, len) == 0;
}

void
Fw_ResponseBody_Begin(struct fw_response_body *b,
                      const struct fw_response_form *form)
{
    b->is_event_stream = is_event_stream(form);
    b->ends_at_close = form->ends_at_close && form->status / 100 == 2;
}

void
Fw_ResponseBody_Add(struct fw_response_body *b, const char *data, size_t len)
{
    if (b->is_event_stream) {
        Fw_SseCounter_Add(&b->events, data, len);
    }
}

/*
 * A stream that ends inside an event is broken off whatever its framing says.
 * Otherwise a length or chunks show that it is whole. The end of a connection
 * does not: a crash of the server causes it as well.
 */
enum fw_response_end
Fw_ResponseBody_End(const struct fw_response_body *b)
{
    if (!b->is_event_stream || FW_FAULT("partial-events-pass")) {
        return FW_RESPONSE_WHOLE;
    }
    if (b->events.in_event) {
        return FW_RESPONSE_IN_EVENT;
    }
    if (!b->ends_at_close || FW_FAULT("close-ends-streams")) {
        return FW_RESPONSE_WHOLE;
    }
    if (b->events.line == FW_SSE_LINE_COMMENT) {
        return FW_RESPONSE_IN_COMMENT;
    }
    return b->events.events ? FW_RESPONSE_WHOLE : FW_RESPONSE_BEFORE_EVENTS;
}

const char *
Fw_ResponseEnd_Name(enum fw_response_end end)
{
    static const char *const names[] = {
        [FW_RESPONSE_WHOLE] = "whole",
        [FW_RESPONSE_IN_EVENT] = "in_event",
        [FW_RESPONSE_IN_COMMENT] = "in_comment",
        [FW_RESPONSE_BEFORE_EVENTS] = "before_events"};

    return names[end];
}
