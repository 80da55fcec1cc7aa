#include "decide/response_end.h"

#include <glib.h>

#include "base/fault.h"

static int
names_event_stream(const struct fw_response_form *form)
{
    static const char type[] = "text/event-stream";

    return form->type && form->type_len >= sizeof(type) - 1 &&
           g_ascii_strncasecmp(form->type, type, sizeof(type) - 1) == 0;
}

void
Fw_ResponseBody_Begin(struct fw_response_body *b,
                      const struct fw_response_form *form)
{
    b->is_event_stream = names_event_stream(form);
}

void
Fw_ResponseBody_Add(struct fw_response_body *b, const char *data, size_t len)
{
    if (b->is_event_stream) {
        Fw_SseCounter_Add(&b->events, data, len);
    }
}

enum fw_response_end
Fw_ResponseBody_End(const struct fw_response_body *b)
{
    return b->events.in_event && !FW_FAULT("partial-events-pass")
               ? FW_RESPONSE_IN_EVENT
               : FW_RESPONSE_WHOLE;
}

const char *
Fw_ResponseEnd_Name(enum fw_response_end end)
{
    static const char *const names[] = {
        [FW_RESPONSE_WHOLE] = "whole", [FW_RESPONSE_IN_EVENT] = "in_event"};

    return names[end];
}
