/* Whether the response of a server is whole when it has ended. */
#ifndef FW_DECIDE_RESPONSE_END_H
#define FW_DECIDE_RESPONSE_END_H

#include "decide/sse.h"

/**
 * enum fw_response_end - where a response has ended. Unless it is whole, the
 * server has broken it off.
 */
enum fw_response_end {
    FW_RESPONSE_WHOLE,
    FW_RESPONSE_IN_EVENT,
    FW_RESPONSE_IN_COMMENT,
    FW_RESPONSE_BEFORE_EVENTS,
};

/**
 * struct fw_response_form - what is known of a response from its head.
 * @status: HTTP status
 * @ends_at_close: the end of the connection ends the body
 * @is_route_streaming: responses to requests of its route are event streams
 * @type: Content-Type, NULL if it has none; not null-terminated
 * @type_len: bytes of @type
 */
struct fw_response_form {
    int status;
    int ends_at_close;
    int is_route_streaming;
    const char *type;
    size_t type_len;
};

/**
 * struct fw_response_body - the body received so far; to be zeroed.
 * @is_event_stream: its events are followed in @events
 * @ends_at_close: as in struct fw_response_form, unless it is an error
 */
struct fw_response_body {
    int is_event_stream;
    int ends_at_close;
    struct fw_sse_counter events;
};

/* A response has begun. */
void
Fw_ResponseBody_Begin(struct fw_response_body *b,
                      const struct fw_response_form *form);
/* @data is the next part of the body. */
void
Fw_ResponseBody_Add(struct fw_response_body *b, const char *data, size_t len);
/* Where the body ends if nothing more is received. */
enum fw_response_end
Fw_ResponseBody_End(const struct fw_response_body *b);
/* The name of @end in log lines. */
const char *
Fw_ResponseEnd_Name(enum fw_response_end end);

#endif
