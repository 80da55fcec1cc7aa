/* Shared by the files of src/http. */
#ifndef FW_HTTP_INTERNAL_H
#define FW_HTTP_INTERNAL_H

#include <gio/gio.h>

#include "base/list.h"
#include "http/conn.h"
#include "http/frame.h"
#include "http/server.h"

enum fw_http_state {
    FW_CALLER_IDLE,   /* no byte of a request yet */
    FW_CALLER_HEAD,   /* a head has begun */
    FW_CALLER_BODY,   /* a body has begun */
    FW_CALLER_ANSWER, /* the request is with its owner */
    FW_CALLER_CLOSE,  /* answered; what comes is dropped until the end */
};

struct fw_http_server {
    const struct fw_http_ops *ops;
    void *ctx;
    struct fw_http_limits limits;
    GSocket *listener;
    GSource *source;
    struct fw_list callers;
    size_t held; /* bytes of bodies in memory */
    int draining;
    int sends_away;
};

/**
 * struct fw_http_caller - a connection and its request, if it has one.
 * @since_us: when @state was entered; with FW_CALLER_BODY the last byte
 * @begun_us: when the request's first byte came
 * @sent, @moved_us: bytes of the connection's answers that the kernel has
 *     taken, and when that last grew
 * @chunked: the answer goes out in chunks
 * @last: the connection ends with this answer
 */
struct fw_http_caller {
    struct fw_http_server *server;
    struct fw_list link;
    struct fw_conn *conn;
    enum fw_http_state state;
    int64_t since_us;
    int64_t begun_us;
    uint64_t sent;
    int64_t moved_us;
    struct fw_http_head head;
    struct fw_http_frame frame;
    GByteArray *body;
    GBytes *whole;
    int chunked;
    int bodyless;
    int last;
    guint resume; /* idle source that looks at pipelined bytes */
};

void
Fw_Caller_New(struct fw_http_server *s, GSocket *sock);
void
Fw_Caller_Free(struct fw_http_caller *c, int reset);
/* The answer is out: the next request, or the connection's end. */
void
Fw_Caller_Done(struct fw_http_caller *c);
/* Answers a request that nobody has seen, and ends the connection. */
void
Fw_Caller_Refuse(struct fw_http_caller *c, int status, const char *why);
const char *
Fw_Http_Reason(int status);

#endif
