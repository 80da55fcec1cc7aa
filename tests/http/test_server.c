/* HTTP server over real sockets. */
#include <string.h>

#include "http/conn.h"
#include "http/server.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

/** struct fixture - a server that records its requests. */
struct fixture {
    struct fw_http_server *server;
    char addr[FW_URL_MAX];
    GString *requests; /* a line per request: method, target, body length */
    struct fw_http_caller *pending;
    int disconnected;
    int rejected;
    int hold_response; /* don't respond in on_request */
};

static void
on_request(void *ctx, struct fw_http_caller *c, const struct fw_http_head *h,
           GBytes *body)
{
    struct fixture *s = ctx;

    g_string_append_printf(s->requests, "%.*s %.*s %zu\n", (int)h->method_len,
                           h->method, (int)h->target_len, h->target,
                           g_bytes_get_size(body));
    s->pending = c;
    if (!s->hold_response) {
        s->pending = NULL;
        Fw_Caller_Respond(c, 200, "X-A: b\r\n", "fine");
    }
}

static void
on_disconnected(void *ctx, struct fw_http_caller *c)
{
    struct fixture *s = ctx;

    ck_assert_ptr_eq(s->pending, c);
    s->pending = NULL;
    s->disconnected++;
}

static void
on_rejected(void *ctx, int status, const char *why)
{
    struct fixture *s = ctx;

    ck_assert_int_ge(status, 400);
    ck_assert(why[0]);
    s->rejected++;
}

static const struct fw_http_ops ops = {.request = on_request,
                                       .disconnected = on_disconnected,
                                       .rejected = on_rejected};

static void
fixture_open(struct fixture *s)
{
    struct fw_http_limits l = {.header_bytes = 1000,
                               .body_bytes = 2000,
                               .buffered_bytes = 3000,
                               .head_timeout_us = 2 * FW_SEC,
                               .body_idle_timeout_us = 3 * FW_SEC,
                               .keep_alive_timeout_us = 9 * FW_SEC};
    int err;

    *s = (struct fixture){.requests = g_string_new(NULL)};
    s->server = Fw_Server_New("127.0.0.1:0", &ops, s, &err);
    ck_assert_ptr_nonnull(s->server);
    Fw_Server_SetLimits(s->server, &l);
    g_snprintf(s->addr, sizeof(s->addr), "127.0.0.1:%d",
               Fw_Server_Port(s->server));
}

static void
fixture_close(struct fixture *s)
{
    Fw_Server_Free(s->server);
    g_string_free(s->requests, TRUE);
}

/* Invalid requests; data after them must not be parsed as a request. */
static const struct {
    const char *text;
    int filler; /* number of 'x' bytes sent after it */
    const char *expected;
} invalid[] = {
    {"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 0, "HTTP/1.1 400 "},
    {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n"
     "Host: a\r\n\r\n",
     0, "HTTP/1.1 400 "},
    {"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "-5\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
     0, "HTTP/1.1 400 "},
    {"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabcGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
     0, "HTTP/1.1 400 "},
    {"GET /a HTTP/1.1\r\nHost: a\r\nX: ", 1000, "HTTP/1.1 431 "},
    {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2001\r\n\r\n", 0,
     "HTTP/1.1 413 "},
    {"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "7d1\r\n",
     2001, "HTTP/1.1 413 "},
    {"nonsense\r\n\r\n", 0, "HTTP/1.1 400 "},
};

START_TEST(invalid_request_is_rejected_once_and_closed)
{
    char *filler = g_strnfill((gsize)invalid[_i].filler, 'x');
    struct rig_conn *c;
    struct fixture s;

    fixture_open(&s);
    c = Fw_RigConn_Open(s.addr);
    Fw_RigConn_Send(c, invalid[_i].text, -1);
    Fw_RigConn_Send(c, filler, -1);
    Fw_RigConn_Expect(c, invalid[_i].expected);
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_null(strstr(c->received->str + 1, "HTTP/1.1"));
    ck_assert_str_eq(s.requests->str, "");
    ck_assert_int_eq(s.rejected, 1);
    Fw_RigConn_Close(c);
    fixture_close(&s);
    g_free(filler);
}
END_TEST

START_TEST(pipelined_requests_are_answered_in_order)
{
    struct rig_conn *c;
    struct fixture s;

    fixture_open(&s);
    c = Fw_RigConn_Open(s.addr);
    Fw_RigConn_Send(c,
                    "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
                    "abcGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                    "POST /3 HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
                    "GET /4 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                    -1);
    Fw_RigConn_ExpectEof(c);
    ck_assert_str_eq(s.requests->str,
                     "POST /1 3\nGET /2 0\nPOST /3 2\nGET /4 0\n");
    Fw_RigConn_Close(c);
    fixture_close(&s);
}
END_TEST

/*
 * Guards against slow callers that occupy a connection and memory: a head or
 * body that exceeds its timeout gets 408 and a close.
 */
START_TEST(slow_request_gets_408)
{
    static const char *const parts[] = {
        "GET /a HT",
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"};
    struct rig_conn *c;
    struct fixture s;

    fixture_open(&s);
    c = Fw_RigConn_Open(s.addr);
    Fw_RigConn_Send(c, parts[_i], -1);
    Fw_Rig_Settle();
    Fw_Server_Tick(s.server, Fw_Conn_NowUs() + 1 * FW_SEC);
    Fw_Rig_Settle();
    ck_assert_uint_eq(c->received->len, 0);
    Fw_Server_Tick(s.server, Fw_Conn_NowUs() + 3 * FW_SEC);
    Fw_RigConn_Expect(c, "HTTP/1.1 408 ");
    Fw_RigConn_ExpectEof(c);
    ck_assert_str_eq(s.requests->str, "");
    Fw_RigConn_Close(c);
    fixture_close(&s);
}
END_TEST

static int
has_disconnected(void *ctx)
{
    return ((struct fixture *)ctx)->disconnected;
}

static int
has_request(void *ctx)
{
    return ((struct fixture *)ctx)->pending != NULL;
}

/* Sends a request that is left without a response. */
static struct rig_conn *
open_request(struct fixture *s)
{
    struct rig_conn *c;

    fixture_open(s);
    s->hold_response = 1;
    c = Fw_RigConn_Open(s->addr);
    Fw_RigConn_Send(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_Rig_RunUntil(has_request, s);
    return c;
}

/*
 * Guards against upstreams that keep working for a caller that has
 * disconnected.
 */
START_TEST(disconnect_is_reported)
{
    struct fixture s;
    struct rig_conn *c = open_request(&s);

    Fw_RigConn_Close(c);
    Fw_Rig_RunUntil(has_disconnected, &s);
    fixture_close(&s);
}
END_TEST

START_TEST(response_of_unknown_length_is_chunked)
{
    struct fixture s;
    struct rig_conn *c = open_request(&s);

    Fw_Caller_Start(s.pending, 200, "", -1);
    Fw_Caller_Data(s.pending, "hello", 5);
    Fw_RigConn_Expect(c, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    Fw_Caller_End(s.pending);
    Fw_RigConn_Expect(c, "0\r\n\r\n");
    Fw_RigConn_Close(c);
    fixture_close(&s);
}
END_TEST

/*
 * Guards against a caller mistaking a truncated response for a complete one,
 * e.g. when the upstream was lost.
 */
START_TEST(aborted_response_does_not_look_complete)
{
    struct fixture s;
    struct rig_conn *c = open_request(&s);

    Fw_Caller_Start(s.pending, 200, "", -1);
    Fw_Caller_Data(s.pending, "hello", 5);
    Fw_RigConn_Expect(c, "hello");
    Fw_Caller_Abort(s.pending);
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_null(strstr(c->received->str, "0\r\n\r\n"));
    Fw_RigConn_Close(c);
    fixture_close(&s);
}
END_TEST

START_TEST(draining_server_closes_connections)
{
    struct rig_conn *idle;
    struct rig_conn *c;
    struct fixture s;

    fixture_open(&s);
    idle = Fw_RigConn_Open(s.addr);
    c = Fw_RigConn_Open(s.addr);
    Fw_RigConn_Send(idle, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_RigConn_Expect(idle, "fine");
    Fw_Server_Drain(s.server);
    Fw_RigConn_Send(c, "GET /b HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_RigConn_Expect(c, "Connection: close\r\n");
    Fw_RigConn_Expect(c, "fine");
    Fw_RigConn_ExpectEof(c);
    ck_assert(!idle->eof);
    Fw_Server_CloseIdle(s.server);
    Fw_RigConn_ExpectEof(idle);
    Fw_RigConn_Close(idle);
    Fw_RigConn_Close(c);
    fixture_close(&s);
}
END_TEST

/*
 * Guards against callers staying connected to an instance that can't serve
 * them, and against closing connections for longer than that.
 */
START_TEST(close_after_response_can_be_switched_off)
{
    struct rig_conn *reused;
    struct rig_conn *c;
    struct fixture s;

    fixture_open(&s);
    c = Fw_RigConn_Open(s.addr);
    Fw_Server_SetCloseAfterResponse(s.server, 1);
    Fw_RigConn_Send(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_RigConn_Expect(c, "Connection: close\r\n");
    Fw_RigConn_Expect(c, "fine");
    Fw_RigConn_ExpectEof(c);
    Fw_Server_SetCloseAfterResponse(s.server, 0);
    reused = Fw_RigConn_Open(s.addr);
    Fw_RigConn_Send(reused, "GET /b HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_RigConn_Expect(reused, "fine");
    Fw_RigConn_Send(reused, "GET /c HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_RigConn_Expect(reused, "fine");
    ck_assert(!reused->eof);
    Fw_RigConn_Close(reused);
    Fw_RigConn_Close(c);
    fixture_close(&s);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("server");

    tcase_add_loop_test(tc, invalid_request_is_rejected_once_and_closed, 0,
                        G_N_ELEMENTS(invalid));
    tcase_add_test(tc, pipelined_requests_are_answered_in_order);
    tcase_add_loop_test(tc, slow_request_gets_408, 0, 2);
    tcase_add_test(tc, disconnect_is_reported);
    tcase_add_test(tc, response_of_unknown_length_is_chunked);
    tcase_add_test(tc, aborted_response_does_not_look_complete);
    tcase_add_test(tc, draining_server_closes_connections);
    tcase_add_test(tc, close_after_response_can_be_switched_off);
    return Fw_Suite_Run(tc);
}
