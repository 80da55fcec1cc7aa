/*
 * Callers' connections: requests in, answers out, one at a time on each.
 *
 * A request is handed over when it is whole, so one that broke off on the
 * way has surely reached nobody.
 */
#ifndef FW_HTTP_SERVER_H
#define FW_HTTP_SERVER_H

#include <glib.h>

#include "base/metrics.h"
#include "http/head.h"

struct fw_http_server;
/** struct fw_http_caller - one connection. */
struct fw_http_caller;

/**
 * struct fw_http_limits - what a caller may send.
 * @header_bytes, @body_bytes: of one request
 * @held_bytes: bodies of all requests together; memory that callers can fill
 * @head_us: from a head's first byte to its last
 * @body_us: without a byte of a body
 * @whole_us: from the first byte of a request to its last; 0 for no limit
 * @idle_us: between two requests
 * @stall_us: without a byte taken of an answer that is whole; 0 for no limit
 */
struct fw_http_limits {
    size_t header_bytes;
    size_t body_bytes;
    size_t held_bytes;
    int64_t head_us;
    int64_t body_us;
    int64_t whole_us;
    int64_t idle_us;
    int64_t stall_us;
};

/**
 * struct fw_http_ops - the owner of the requests.
 * @request: @head and @body stay valid until the answer's end or @gone
 * @gone: the caller left before its answer was whole; the handle is void.
 *        May be NULL where answers are given at once.
 * @refused: a request that broke a limit or the protocol was answered
 *           @status; nobody else has seen it
 */
struct fw_http_ops {
    void (*request)(void *ctx, struct fw_http_caller *c,
                    const struct fw_http_head *head, GBytes *body);
    void (*gone)(void *ctx, struct fw_http_caller *c);
    void (*refused)(void *ctx, int status, const char *why);
    /*
     * Writes the answer to a refused request into @fields and @body; @head
     * is empty when it was not read. NULL for a plain text.
     */
    void (*refusal)(void *ctx, const struct fw_http_head *head, int status,
                    const char *why, GString *fields, GString *body);
    /* What was written to @c is with the kernel; may be NULL. */
    void (*drained)(void *ctx, struct fw_http_caller *c);
};

/**
 * Fw_Server_New - listens on @addr ("ip:port", port 0 for any).
 *
 * Return: the server, or NULL with a negative errno in @err.
 */
struct fw_http_server *
Fw_Server_New(const char *addr, const struct fw_http_ops *ops, void *ctx,
              int *err);
void
Fw_Server_Free(struct fw_http_server *s);
void
Fw_Server_SetLimits(struct fw_http_server *s, const struct fw_http_limits *l);
/* From now on each answer is the last one of its connection. */
void
Fw_Server_Drain(struct fw_http_server *s);
/*
 * While @on each answer is the last one of its connection: callers whose
 * requests can't be served here open their next one elsewhere.
 */
void
Fw_Server_SendAway(struct fw_http_server *s, int on);
/* Closes the connections on which no request has begun. */
void
Fw_Server_CloseIdle(struct fw_http_server *s);
/* Connections with a request that isn't answered whole yet. */
int
Fw_Server_Busy(const struct fw_http_server *s);
int
Fw_Server_Port(const struct fw_http_server *s);
/* "http://ip:port" as bound; @url: at least FW_URL_MAX bytes. */
void
Fw_Server_Url(const struct fw_http_server *s, char *url);
/* Enforces the times of the limits; to be called every 100 ms or so. */
void
Fw_Server_Tick(struct fw_http_server *s, int64_t now_us);

/**
 * Fw_Caller_Start - begins the answer.
 * @fields: header lines, each with its CRLF; no framing, no Connection
 * @length: bytes of the body, or -1 when not known
 */
void
Fw_Caller_Start(struct fw_http_caller *c, int status, const char *fields,
                int64_t length);
void
Fw_Caller_Data(struct fw_http_caller *c, const void *data, size_t len);
/* Ends the answer as complete; the handle is void afterwards. */
void
Fw_Caller_End(struct fw_http_caller *c);
/* Ends it as incomplete: the connection is reset. The handle is void. */
void
Fw_Caller_Cut(struct fw_http_caller *c);
/* Start, data and end in one. */
void
Fw_Caller_Answer(struct fw_http_caller *c, int status, const char *fields,
                 const char *body);
/* The body is needed no more: frees its memory before the answer's end. */
void
Fw_Caller_ForgetBody(struct fw_http_caller *c);
size_t
Fw_Caller_Pending(const struct fw_http_caller *c);

#endif
