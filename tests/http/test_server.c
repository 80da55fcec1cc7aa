/* Callers' connections over real sockets. */
#include <string.h>

#include "http/conn.h"
#include "http/server.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

/** struct shop - an owner of requests that notes them. */
struct shop {
    struct fw_http_server *server;
    char addr[FW_URL_MAX];
    GString *seen; /* a line for each request */
    struct fw_http_caller *open;
    int gone;
    int refused;
    int hold; /* don't answer yet */
};

static void
on_request(void *ctx, struct fw_http_caller *c, const struct fw_http_head *h,
           GBytes *body)
{
    struct shop *s = ctx;

    g_string_append_printf(s->seen, "%.*s %.*s %zu\n", (int)h->method_len,
                           h->method, (int)h->target_len, h->target,
                           g_bytes_get_size(body));
    s->open = c;
    if (!s->hold) {
        s->open = NULL;
        Fw_Caller_Answer(c, 200, "X-A: b\r\n", "fine");
    }
}

static void
on_gone(void *ctx, struct fw_http_caller *c)
{
    struct shop *s = ctx;

    ck_assert_ptr_eq(s->open, c);
    s->open = NULL;
    s->gone++;
}

static void
on_refused(void *ctx, int status, const char *why)
{
    struct shop *s = ctx;

    ck_assert_int_ge(status, 400);
    ck_assert(why[0]);
    s->refused++;
}

static const struct fw_http_ops ops = {
    .request = on_request, .gone = on_gone, .refused = on_refused};

static void
shop_open(struct shop *s)
{
    struct fw_http_limits l = {.header_bytes = 1000,
                               .body_bytes = 2000,
                               .held_bytes = 3000,
                               .head_us = 2 * FW_SEC,
                               .body_us = 3 * FW_SEC,
                               .idle_us = 9 * FW_SEC};
    int err;

    *s = (struct shop){.seen = g_string_new(NULL)};
    s->server = Fw_Server_New("127.0.0.1:0", &ops, s, &err);
    ck_assert_ptr_nonnull(s->server);
    Fw_Server_SetLimits(s->server, &l);
    g_snprintf(s->addr, sizeof(s->addr), "127.0.0.1:%d",
               Fw_Server_Port(s->server));
}

static void
shop_close(struct shop *s)
{
    Fw_Server_Free(s->server);
    g_string_free(s->seen, TRUE);
}

/* Requests that get one refusal and a close; nothing behind them is run. */
static const struct {
    const char *text;
    int filler; /* bytes of 'x' behind it */
    const char *want;
} bad[] = {
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

START_TEST(a_bad_request_gets_one_refusal_and_a_close)
{
    char *filler = g_strnfill((gsize)bad[_i].filler, 'x');
    struct rig_conn *c;
    struct shop s;

    shop_open(&s);
    c = Fw_RigConn_Open(s.addr);
    Fw_RigConn_Send(c, bad[_i].text, -1);
    Fw_RigConn_Send(c, filler, -1);
    Fw_RigConn_Expect(c, bad[_i].want);
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_null(strstr(c->got->str + 1, "HTTP/1.1"));
    ck_assert_str_eq(s.seen->str, "");
    ck_assert_int_eq(s.refused, 1);
    Fw_RigConn_Close(c);
    shop_close(&s);
    g_free(filler);
}
END_TEST

START_TEST(requests_of_one_connection_are_answered_in_turn)
{
    struct rig_conn *c;
    struct shop s;

    shop_open(&s);
    c = Fw_RigConn_Open(s.addr);
    Fw_RigConn_Send(c,
                    "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
                    "abcGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                    "POST /3 HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
                    "GET /4 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                    -1);
    Fw_RigConn_ExpectEof(c);
    ck_assert_str_eq(s.seen->str,
                     "POST /1 3\nGET /2 0\nPOST /3 2\nGET /4 0\n");
    Fw_RigConn_Close(c);
    shop_close(&s);
}
END_TEST

/*
 * A caller sends a head or a body slower than the limits allow. It holds a
 * connection and memory meanwhile; it is told 408 and must not be able to
 * stay.
 */
START_TEST(a_slow_request_is_told_408)
{
    static const char *const parts[] = {
        "GET /a HT",
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx"};
    struct rig_conn *c;
    struct shop s;

    shop_open(&s);
    c = Fw_RigConn_Open(s.addr);
    Fw_RigConn_Send(c, parts[_i], -1);
    Fw_Rig_Settle();
    Fw_Server_Tick(s.server, Fw_Conn_Now() + 1 * FW_SEC);
    Fw_Rig_Settle();
    ck_assert_uint_eq(c->got->len, 0);
    Fw_Server_Tick(s.server, Fw_Conn_Now() + 3 * FW_SEC);
    Fw_RigConn_Expect(c, "HTTP/1.1 408 ");
    Fw_RigConn_ExpectEof(c);
    ck_assert_str_eq(s.seen->str, "");
    Fw_RigConn_Close(c);
    shop_close(&s);
}
END_TEST

static int
is_gone(void *ctx)
{
    return ((struct shop *)ctx)->gone;
}

static int
is_open(void *ctx)
{
    return ((struct shop *)ctx)->open != NULL;
}

/* A request that waits for its answer. */
static struct rig_conn *
open_request(struct shop *s)
{
    struct rig_conn *c;

    shop_open(s);
    s->hold = 1;
    c = Fw_RigConn_Open(s->addr);
    Fw_RigConn_Send(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_Rig_Until(is_open, s);
    return c;
}

/*
 * A caller leaves while its request is being worked on. Its upstream would
 * go on for nobody; the owner must hear of it at once.
 */
START_TEST(a_caller_who_leaves_is_noticed)
{
    struct shop s;
    struct rig_conn *c = open_request(&s);

    Fw_RigConn_Close(c);
    Fw_Rig_Until(is_gone, &s);
    shop_close(&s);
}
END_TEST

START_TEST(an_answer_of_unknown_length_goes_out_in_chunks)
{
    struct shop s;
    struct rig_conn *c = open_request(&s);

    Fw_Caller_Start(s.open, 200, "", -1);
    Fw_Caller_Data(s.open, "hello", 5);
    Fw_RigConn_Expect(c, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    Fw_Caller_End(s.open);
    Fw_RigConn_Expect(c, "0\r\n\r\n");
    Fw_RigConn_Close(c);
    shop_close(&s);
}
END_TEST

/*
 * An answer breaks off in the middle because its upstream is lost. The
 * caller must not take what it has for the whole.
 */
START_TEST(a_cut_answer_does_not_look_complete)
{
    struct shop s;
    struct rig_conn *c = open_request(&s);

    Fw_Caller_Start(s.open, 200, "", -1);
    Fw_Caller_Data(s.open, "hello", 5);
    Fw_RigConn_Expect(c, "hello");
    Fw_Caller_Cut(s.open);
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_null(strstr(c->got->str, "0\r\n\r\n"));
    Fw_RigConn_Close(c);
    shop_close(&s);
}
END_TEST

START_TEST(a_stopping_server_says_close_and_drops_idle_connections)
{
    struct rig_conn *idle;
    struct rig_conn *c;
    struct shop s;

    shop_open(&s);
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
    shop_close(&s);
}
END_TEST

/*
 * An instance can't serve its callers for a while, and those with an open
 * connection would go on asking it. Each answer ends its connection as long
 * as that lasts, and no longer.
 */
START_TEST(a_server_that_sends_callers_away_closes_after_each_answer)
{
    struct rig_conn *kept;
    struct rig_conn *c;
    struct shop s;

    shop_open(&s);
    c = Fw_RigConn_Open(s.addr);
    Fw_Server_SendAway(s.server, 1);
    Fw_RigConn_Send(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_RigConn_Expect(c, "Connection: close\r\n");
    Fw_RigConn_Expect(c, "fine");
    Fw_RigConn_ExpectEof(c);
    Fw_Server_SendAway(s.server, 0);
    kept = Fw_RigConn_Open(s.addr);
    Fw_RigConn_Send(kept, "GET /b HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_RigConn_Expect(kept, "fine");
    Fw_RigConn_Send(kept, "GET /c HTTP/1.1\r\nHost: a\r\n\r\n", -1);
    Fw_RigConn_Expect(kept, "fine");
    ck_assert(!kept->eof);
    Fw_RigConn_Close(kept);
    Fw_RigConn_Close(c);
    shop_close(&s);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("server");

    tcase_add_loop_test(tc, a_bad_request_gets_one_refusal_and_a_close, 0,
                        G_N_ELEMENTS(bad));
    tcase_add_test(tc, requests_of_one_connection_are_answered_in_turn);
    tcase_add_loop_test(tc, a_slow_request_is_told_408, 0, 2);
    tcase_add_test(tc, a_caller_who_leaves_is_noticed);
    tcase_add_test(tc, an_answer_of_unknown_length_goes_out_in_chunks);
    tcase_add_test(tc, a_cut_answer_does_not_look_complete);
    tcase_add_test(tc,
                   a_stopping_server_says_close_and_drops_idle_connections);
    tcase_add_test(tc,
                   a_server_that_sends_callers_away_closes_after_each_answer);
    return Fw_Suite_Run(tc);
}
