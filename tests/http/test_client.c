/* Calls to upstreams over real sockets, with all that upstreams do wrong. */
#include <errno.h>
#include <string.h>

#include "http/client.h"
#include "http/conn.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

/** struct call - an exchange and what was heard of it. */
struct call {
    struct fw_exchange *x;
    GString *body;
    int status;
    int ended;
    int err;
    int sent;
};

static enum fw_take
on_head(void *ctx, const struct fw_http_head *h)
{
    struct call *c = ctx;
    const struct fw_http_field *id = Fw_Http_Find(h, "Request-Id");

    if (id && strncmp(id->value, "mine", 4) != 0) {
        return FW_TAKE_SKIP;
    }
    c->status = h->status;
    return FW_TAKE_IT;
}

static void
on_body(void *ctx, const char *data, size_t len)
{
    g_string_append_len(((struct call *)ctx)->body, data, (gssize)len);
}

static void
on_end(void *ctx)
{
    ((struct call *)ctx)->ended = 1;
}

static void
on_fail(void *ctx, int err, enum fw_sent sent)
{
    struct call *c = ctx;

    c->err = err;
    c->sent = (int)sent;
}

static const struct fw_exchange_ops ops = {
    .head = on_head, .body = on_body, .end = on_end, .fail = on_fail};

static const struct fw_exchange_opts kept = {.reuse_us = 60 * FW_SEC,
                                             .connect_us = FW_SEC};

static void
begin(struct fw_pool *p, const char *url, struct call *c,
      const struct fw_exchange_opts *how)
{
    GString *head = g_string_new(
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n");
    GBytes *body = g_bytes_new_static("hi", 2);
    int err = 0;

    *c = (struct call){.body = g_string_new(NULL)};
    c->x = Fw_Exchange_Start(p, url + strlen("http://"), head, body, how, &ops,
                             c, &err);
    ck_assert_ptr_nonnull(c->x);
    g_bytes_unref(body);
    g_string_free(head, TRUE);
}

static int
is_over(void *ctx)
{
    struct call *c = ctx;

    return c->ended || c->err;
}

static void
call_free(struct call *c)
{
    g_string_free(c->body, TRUE);
}

/*
 * What an upstream answers, and what comes of it: the body, or the error.
 * @close: it then ends the connection
 */
static const struct {
    const char *answer;
    int close;
    const char *want; /* NULL: the call fails */
    int err;
} answers[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 0, "ok", 0},
    {"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
     "2\r\n\r\nok",
     0, "ok", 0},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
     "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     0, "ok", 0},
    {"HTTP/1.1 200 OK\r\n\r\nok", 1, "ok", 0},
    {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nbad"
     "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 2\r\n\r\nok",
     0, "ok", 0},
    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", 1, NULL, -EPIPE},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", 1,
     NULL, -EPIPE},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n", 0,
     NULL, -EBADMSG},
    {"rubbish that is no answer\r\n\r\n", 0, NULL, -EBADMSG},
    {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nbad", 1,
     NULL, -EPIPE},
    {"", 1, NULL, -EPIPE},
};

START_TEST(an_answer_is_whole_or_the_call_fails)
{
    struct fw_pool *p = Fw_Pool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct rig_conn *up;
    struct call c;

    begin(p, s->url, &c, &kept);
    up = Fw_RigServer_Conn(s, 0);
    Fw_RigConn_Expect(up, "\r\n\r\nhi");
    Fw_RigConn_Send(up, answers[_i].answer, -1);
    if (answers[_i].close) {
        g_socket_shutdown(up->sock, FALSE, TRUE, NULL);
    }
    Fw_Rig_Until(is_over, &c);
    ck_assert_int_eq(c.err, answers[_i].err);
    if (answers[_i].want) {
        ck_assert_int_eq(c.status, 200);
        ck_assert_str_eq(c.body->str, answers[_i].want);
    }
    else {
        ck_assert_int_eq(c.sent, FW_SENT_SOME);
    }
    call_free(&c);
    Fw_Pool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

/*
 * What must not stay behind on a connection that is used again: a second
 * answer, an answer that came before the request was out, an upstream that
 * said it closes. The next caller would be given another's answer.
 */
static const struct {
    const char *answer;
    int kept;
} endings[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok",
     1},
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok",
     0},
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", 0},
    {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 0},
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
     "Content-Length: 2\r\n\r\nno",
     0},
};

START_TEST(a_connection_is_used_again_only_when_it_is_clean)
{
    struct fw_pool *p = Fw_Pool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct call a;
    struct call b;

    begin(p, s->url, &a, &kept);
    Fw_RigConn_Expect(Fw_RigServer_Conn(s, 0), "\r\n\r\nhi");
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0), endings[_i].answer, -1);
    Fw_Rig_Until(is_over, &a);
    ck_assert_str_eq(a.body->str, "ok");
    begin(p, s->url, &b, &kept);
    Fw_Rig_Settle();
    if (!endings[_i].kept) {
        Fw_RigServer_Conn(s, 1);
    }
    ck_assert_uint_eq(s->conns->len, endings[_i].kept ? 1 : 2);
    Fw_Exchange_Stop(b.x);
    call_free(&a);
    call_free(&b);
    Fw_Pool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

/*
 * An upstream sends a late second answer after its connection was put aside.
 * The connection must be closed, or the next request's caller would get it.
 */
START_TEST(bytes_on_an_idle_connection_close_it)
{
    struct fw_pool *p = Fw_Pool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct call a;

    begin(p, s->url, &a, &kept);
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0),
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", -1);
    Fw_Rig_Until(is_over, &a);
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0), "HTTP/1.1 200 OK\r\n", -1);
    Fw_RigConn_ExpectEof(Fw_RigServer_Conn(s, 0));
    call_free(&a);
    Fw_Pool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

/*
 * A request that must not run twice goes out on a connection that was idle
 * too long to trust.
 */
START_TEST(a_connection_idle_too_long_is_not_used)
{
    struct fw_exchange_opts fresh = {.reuse_us = 0, .connect_us = FW_SEC};
    struct fw_pool *p = Fw_Pool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct call a;
    struct call b;

    begin(p, s->url, &a, &kept);
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0),
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", -1);
    Fw_Rig_Until(is_over, &a);
    begin(p, s->url, &b, &fresh);
    Fw_RigServer_Conn(s, 1);
    Fw_Exchange_Stop(b.x);
    Fw_Pool_Tick(p, Fw_Conn_Now() + 61 * FW_SEC);
    Fw_RigConn_ExpectEof(Fw_RigServer_Conn(s, 0));
    call_free(&a);
    call_free(&b);
    Fw_Pool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

START_TEST(a_refused_connection_means_that_nothing_was_sent)
{
    struct fw_pool *p = Fw_Pool_New();
    struct rig_server *s = Fw_RigServer_New();
    char *url = g_strdup(s->url);
    struct call c;

    Fw_RigServer_Free(s);
    begin(p, url, &c, &kept);
    Fw_Rig_Until(is_over, &c);
    ck_assert_int_eq(c.err, -ECONNREFUSED);
    ck_assert_int_eq(c.sent, FW_SENT_NONE);
    call_free(&c);
    Fw_Pool_Free(p);
    g_free(url);
}
END_TEST

START_TEST(a_stopped_call_closes_its_connection)
{
    struct fw_pool *p = Fw_Pool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct call c;

    begin(p, s->url, &c, &kept);
    Fw_RigConn_Expect(Fw_RigServer_Conn(s, 0), "hi");
    Fw_Exchange_Stop(c.x);
    Fw_RigConn_ExpectEof(Fw_RigServer_Conn(s, 0));
    call_free(&c);
    Fw_Pool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("client");

    tcase_add_loop_test(tc, an_answer_is_whole_or_the_call_fails, 0,
                        G_N_ELEMENTS(answers));
    tcase_add_loop_test(tc, a_connection_is_used_again_only_when_it_is_clean,
                        0, G_N_ELEMENTS(endings));
    tcase_add_test(tc, bytes_on_an_idle_connection_close_it);
    tcase_add_test(tc, a_connection_idle_too_long_is_not_used);
    tcase_add_test(tc, a_refused_connection_means_that_nothing_was_sent);
    tcase_add_test(tc, a_stopped_call_closes_its_connection);
    return Fw_Suite_Run(tc);
}
