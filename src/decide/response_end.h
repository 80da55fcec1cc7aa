/* Whether the response of a server is whole when it has ended. */
#ifndef FW_DECIDE_RESPONSE_END_H
#define FW_DECIDE_RESPONSE_END_H

#include "decide/sse.h"

/** enum fw_response_end - where a response has ended. */
enum fw_response_end {
    FW_RESPONSE_WHOLE,
    FW_RESPONSE_IN_EVENT, /* inside an event: the server broke it off */
};

/**
 * struct fw_response_form - what is known of a response from its head.
 * @status: HTTP status
 * @is_route_streaming: responses to requests of its route are event streams
 * @type: Content-Type, NULL if it has none; not null-terminated
 * @type_len: bytes of @type
 */
struct fw_response_form {
    int status;
    int is_route_streaming;
    const char *type;
    size_t type_len;
};

/**
 * struct fw_response_body - the body received so far; to be zeroed.
 * @is_event_stream: its events are followed in @events
 */
struct fw_response_body {
    int is_event_stream;
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
