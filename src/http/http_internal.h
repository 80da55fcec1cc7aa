/* Internals of the HTTP server. */
#ifndef FW_HTTP_INTERNAL_H
#define FW_HTTP_INTERNAL_H

#include <gio/gio.h>

#include "base/list.h"
#include "http/body.h"
#include "http/body_buffer.h"
#include "http/conn.h"
#include "http/server.h"

/** enum fw_caller_state - state of a connection. */
enum fw_caller_state {
    FW_CALLER_IDLE,     /* waiting for the first byte of a request */
    FW_CALLER_HEAD,     /* receiving a head */
    FW_CALLER_BODY,     /* receiving a body */
    FW_CALLER_RESPONSE, /* delivered, response not complete */
    FW_CALLER_LINGER,   /* response sent, discarding input */
};

/**
 * struct fw_http_server - @unframed: see Fw_Server_SetUnframed.
 * @held, @is_bounded: see Fw_Server_SetHeld
 */
struct fw_http_server {
    const struct fw_http_ops *ops;
    void *ctx;
    struct fw_http_limits limits;
    GSocket *listener;
    GSource *source;
    struct fw_list callers;
    size_t buffered_bytes; /* size of all request bodies */
    int draining;
    int close_after_response;
    int unframed;
    struct fw_held *held;
    int is_bounded;
};

/**
 * struct fw_http_caller - a connection and its current request, if any.
 * @timer_start_us: when @state was entered, or in FW_CALLER_BODY when the last
 *                  data was received
 * @request_start_us: when the first byte of the request was received
 * @sent_bytes: bytes that the kernel had accepted at the last tick
 * @progress_us: time of the last tick at which @sent_bytes had grown or no
 *               complete response was left to send
 * @is_served: the request is counted as one that is served
 * @charged_self, @charged_head: charges of this struct and of @head
 * @body_buffer: body while it is received
 * @request_body: complete body
 * @chunked: the response uses chunked transfer coding
 * @omit_body: the response must not have a body
 * @close_after: close the connection after the response
 * @resume_source_id: idle source that parses pipelined requests, or 0
 */
struct fw_http_caller {
    struct fw_http_server *server;
    struct fw_list link;
    struct fw_conn *conn;
    enum fw_caller_state state;
    int64_t timer_start_us;
    int64_t request_start_us;
    uint64_t sent_bytes;
    int64_t progress_us;
    struct fw_http_head head;
    struct fw_http_body_decoder body_decoder;
    size_t charged_self;
    size_t charged_head;
    struct fw_body_buffer body_buffer;
    GBytes *request_body;
    int chunked;
    int omit_body;
    int close_after;
    int is_served;
    guint resume_source_id;
};

void
Fw_Caller_New(struct fw_http_server *s, GSocket *sock);
void
Fw_Caller_Free(struct fw_http_caller *c, int reset);
/* After a complete response: awaits the next request or closes. */
void
Fw_Caller_FinishResponse(struct fw_http_caller *c);
/* Responds with an error to a request not delivered, and closes. */
void
Fw_Caller_Reject(struct fw_http_caller *c, int status, const char *why);
const char *
Fw_Http_ReasonPhrase(int status);

#endif
