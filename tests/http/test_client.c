/* HTTP client over real sockets, with correct and faulty upstreams. */
#include <errno.h>
#include <string.h>

#include "http/client.h"
#include "http/conn.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

/** struct call - an exchange and its outcome. @needs_id: its answer has one */
struct call {
    struct fw_exchange *x;
    int needs_id;
    GString *body;
    int status;
    int ended;
    int err;
    int sent;
};

static enum fw_head_action
on_head(void *ctx, const struct fw_http_head *h)
{
    struct call *c = ctx;
    const struct fw_http_field *id = Fw_Http_FindField(h, "Request-Id");

    if (id && strncmp(id->value, "mine", 4) != 0) {
        return FW_HEAD_DISCARD;
    }
    if (!id && c->needs_id) {
        return FW_HEAD_UNIDENTIFIED;
    }
    c->status = h->status;
    return FW_HEAD_ACCEPT;
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

static const struct fw_exchange_opts reuse_opts = {
    .reuse_idle_max_us = 60 * FW_SEC, .connect_timeout_us = FW_SEC};

static void
start_call(struct fw_conn_pool *p, const char *url, struct call *c,
           const struct fw_exchange_opts *opts)
{
    GString *head = g_string_new(
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n");
    GBytes *body = g_bytes_new_static("hi", 2);
    int err = 0;

    *c = (struct call){.body = g_string_new(NULL), .needs_id = opts->tag != 0};
    c->x = Fw_Exchange_Start(p, url + strlen("http://"), head, body, opts,
                             &ops, c, &err);
    ck_assert_ptr_nonnull(c->x);
    g_bytes_unref(body);
    g_string_free(head, TRUE);
}

static int
has_ended(void *ctx)
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
 * Responses of an upstream, with the expected body or error.
 * @close: the upstream shuts down its sending side afterwards
 */
static const struct {
    const char *response;
    int close;
    const char *expected_body; /* NULL: the call fails */
    int err;
} responses[] = {
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
    {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", 0, NULL, -EBADMSG},
    {"HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok", 0, NULL, -EBADMSG},
    {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nbad", 1,
     NULL, -EPIPE},
    {"", 1, NULL, -EPIPE},
};

START_TEST(response_is_complete_or_call_fails)
{
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct rig_conn *up;
    struct call c;

    start_call(p, s->url, &c, &reuse_opts);
    up = Fw_RigServer_Conn(s, 0);
    Fw_RigConn_Expect(up, "\r\n\r\nhi");
    Fw_RigConn_Send(up, responses[_i].response, -1);
    if (responses[_i].close) {
        g_socket_shutdown(up->sock, FALSE, TRUE, NULL);
    }
    Fw_Rig_RunUntil(has_ended, &c);
    ck_assert_int_eq(c.err, responses[_i].err);
    if (responses[_i].expected_body) {
        ck_assert_int_eq(c.status, 200);
        ck_assert_str_eq(c.body->str, responses[_i].expected_body);
    }
    else {
        ck_assert_int_eq(c.sent, FW_SENT_SOME);
    }
    call_free(&c);
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

/*
 * Whether the connection may be reused after a response. Reusing one with
 * leftover data would give a caller the response to another request.
 */
static const struct {
    const char *response;
    int reused;
} reuse_cases[] = {
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

START_TEST(connection_with_leftover_data_is_not_reused)
{
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct call a;
    struct call b;

    start_call(p, s->url, &a, &reuse_opts);
    Fw_RigConn_Expect(Fw_RigServer_Conn(s, 0), "\r\n\r\nhi");
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0), reuse_cases[_i].response, -1);
    Fw_Rig_RunUntil(has_ended, &a);
    ck_assert_str_eq(a.body->str, "ok");
    start_call(p, s->url, &b, &reuse_opts);
    Fw_Rig_Settle();
    if (!reuse_cases[_i].reused) {
        Fw_RigServer_Conn(s, 1);
    }
    ck_assert_uint_eq(s->conns->len, reuse_cases[_i].reused ? 1 : 2);
    Fw_Exchange_Abort(b.x);
    call_free(&a);
    call_free(&b);
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

/*
 * Guards against giving the next caller an unsolicited response that an
 * upstream sent on an idle connection.
 */
START_TEST(data_on_idle_connection_closes_it)
{
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct call a;

    start_call(p, s->url, &a, &reuse_opts);
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0),
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", -1);
    Fw_Rig_RunUntil(has_ended, &a);
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0), "HTTP/1.1 200 OK\r\n", -1);
    Fw_RigConn_ExpectEof(Fw_RigServer_Conn(s, 0));
    call_free(&a);
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

/* What an upstream has done to a kept connection, as yet unseen. */
static const char *const unseen[] = {
    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "x", "", /* closed it */
};

/* Guards against a response that was there before its request. */
START_TEST(a_kept_connection_that_was_written_to_is_not_reused)
{
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct rig_conn *first;
    struct call a;
    struct call b;

    start_call(p, s->url, &a, &reuse_opts);
    first = Fw_RigServer_Conn(s, 0);
    Fw_RigConn_Send(first, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    -1);
    Fw_Rig_RunUntil(has_ended, &a);
    if (unseen[_i][0]) {
        g_socket_send(first->sock, unseen[_i], strlen(unseen[_i]), NULL, NULL);
    }
    else {
        g_socket_shutdown(first->sock, FALSE, TRUE, NULL);
    }
    start_call(p, s->url, &b, &reuse_opts);
    Fw_RigConn_Expect(Fw_RigServer_Conn(s, 1), "\r\n\r\nhi");
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 1),
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nme", -1);
    Fw_Rig_RunUntil(has_ended, &b);
    ck_assert_str_eq(b.body->str, "me");
    call_free(&a);
    call_free(&b);
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

static const char whole_response[] =
    "HTTP/1.1 200 OK\r\nServer-Stamp: s.1\r\nContent-Type: text/plain\r\n"
    "Content-Length: 2\r\n\r\nok";

/* Guards against a response cut within its head that looks complete. */
START_TEST(a_response_cut_in_its_head_fails)
{
    for (size_t n = 0; n < strlen(whole_response); n++) {
        struct fw_conn_pool *p = Fw_ConnPool_New();
        struct rig_server *s = Fw_RigServer_New();
        struct rig_conn *up;
        struct call c;

        start_call(p, s->url, &c, &reuse_opts);
        up = Fw_RigServer_Conn(s, 0);
        Fw_RigConn_Expect(up, "\r\n\r\nhi");
        if (n) {
            g_socket_send(up->sock, whole_response, n, NULL, NULL);
        }
        g_socket_shutdown(up->sock, FALSE, TRUE, NULL);
        Fw_Rig_RunUntil(has_ended, &c);
        ck_assert_int_eq(c.err, -EPIPE);
        ck_assert_int_eq(c.sent, FW_SENT_SOME);
        call_free(&c);
        Fw_ConnPool_Free(p);
        Fw_RigServer_Free(s);
    }
}
END_TEST

/*
 * Requests by their tags, 0 for one without an id, to an upstream that may
 * answer twice, and the connections that they go out on.
 */
static const struct {
    uint64_t tags[4];
    guint conns[4];
    int n;
} tag_cases[] = {
    {{1, 2, 3, 4}, {0, 0, 0, 0}, 4},
    {{1, 1}, {0, 1}, 2},
    {{1, 2, 1}, {0, 0, 1}, 3},
    {{1, 0, 2, 0}, {0, 0, 0, 0}, 4},
    {{0, 0}, {0, 1}, 2},
    {{1, 0, 0}, {0, 0, 1}, 3},
    {{0, 1, 0, 1}, {0, 0, 0, 1}, 4},
};

static struct fw_exchange_opts
tagged_opts(uint64_t tag)
{
    struct fw_exchange_opts opts = reuse_opts;

    opts.tag = tag;
    opts.may_answer_twice = 1;
    return opts;
}

/* Runs a call and answers it. Return: the number of its connection. */
static guint
run_tagged(struct fw_conn_pool *p, struct rig_server *s, gsize *seen,
           uint64_t tag)
{
    struct fw_exchange_opts opts = tagged_opts(tag);
    struct call c;
    guint at = 0;

    start_call(p, s->url, &c, &opts);
    Fw_Rig_Settle();
    while (at < s->conns->len) {
        struct rig_conn *up = Fw_RigServer_Conn(s, at);

        if (up->received->len > seen[at]) {
            Fw_RigConn_Send(up,
                            tag ? "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
                                  "Content-Length: 2\r\n\r\nok"
                                : "HTTP/1.1 200 OK\r\n"
                                  "Content-Length: 2\r\n\r\nok",
                            -1);
            seen[at] = up->received->len;
            break;
        }
        at++;
    }
    Fw_Rig_RunUntil(has_ended, &c);
    ck_assert_int_eq(c.err, 0);
    call_free(&c);
    return at;
}

/* Guards against a copy of an answer that passes for the next one. */
START_TEST(a_connection_carries_only_answers_that_can_be_told_apart)
{
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    gsize seen[4] = {0};

    for (int i = 0; i < tag_cases[_i].n; i++) {
        ck_assert_uint_eq(run_tagged(p, s, seen, tag_cases[_i].tags[i]),
                          tag_cases[_i].conns[i]);
    }
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

/* Guards against idle connections that take all that may be open. */
START_TEST(requests_without_an_id_leave_no_connections_behind)
{
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    gsize seen[8] = {0};
    guint open = 0;

    run_tagged(p, s, seen, 1);
    for (int i = 0; i < 6; i++) {
        run_tagged(p, s, seen, 0);
    }
    Fw_Rig_Settle();
    for (guint i = 0; i < s->conns->len; i++) {
        open += !Fw_RigServer_Conn(s, i)->eof;
    }
    ck_assert_uint_eq(open, 1);
    ck_assert_uint_eq(run_tagged(p, s, seen, 2), s->conns->len - 1);
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

/* Guards against an answer to a call without an id that reaches a caller. */
START_TEST(an_answer_without_an_id_is_dropped_or_fails_its_request)
{
    static const char answers[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
        "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 2\r\n\r\nok";
    struct fw_exchange_opts opts = tagged_opts(7);
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    gsize seen[4] = {0};
    struct call c;

    if (_i) {
        run_tagged(p, s, seen, 0);
    }
    start_call(p, s->url, &c, &opts);
    Fw_RigConn_Expect(Fw_RigServer_Conn(s, 0), "\r\n\r\nhi");
    Fw_Rig_Settle();
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0), answers, -1);
    Fw_Rig_RunUntil(has_ended, &c);
    ck_assert_int_eq(c.err, _i ? 0 : -EBADMSG);
    ck_assert_str_eq(c.body->str, _i ? "ok" : "");
    call_free(&c);
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

/*
 * Guards against sending a request that must not be retried on an idle
 * connection that the upstream may have dropped.
 */
START_TEST(connection_idle_too_long_is_not_reused)
{
    struct fw_exchange_opts fresh = {.reuse_idle_max_us = 0,
                                     .connect_timeout_us = FW_SEC};
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct call a;
    struct call b;

    start_call(p, s->url, &a, &reuse_opts);
    Fw_RigConn_Send(Fw_RigServer_Conn(s, 0),
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", -1);
    Fw_Rig_RunUntil(has_ended, &a);
    start_call(p, s->url, &b, &fresh);
    Fw_RigServer_Conn(s, 1);
    Fw_Exchange_Abort(b.x);
    Fw_ConnPool_Tick(p, Fw_Conn_NowUs() + 61 * FW_SEC);
    Fw_RigConn_ExpectEof(Fw_RigServer_Conn(s, 0));
    call_free(&a);
    call_free(&b);
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

START_TEST(refused_connection_reports_nothing_sent)
{
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    char *url = g_strdup(s->url);
    struct call c;

    Fw_RigServer_Free(s);
    start_call(p, url, &c, &reuse_opts);
    Fw_Rig_RunUntil(has_ended, &c);
    ck_assert_int_eq(c.err, -ECONNREFUSED);
    ck_assert_int_eq(c.sent, FW_SENT_NONE);
    call_free(&c);
    Fw_ConnPool_Free(p);
    g_free(url);
}
END_TEST

START_TEST(aborted_exchange_closes_its_connection)
{
    struct fw_conn_pool *p = Fw_ConnPool_New();
    struct rig_server *s = Fw_RigServer_New();
    struct call c;

    start_call(p, s->url, &c, &reuse_opts);
    Fw_RigConn_Expect(Fw_RigServer_Conn(s, 0), "hi");
    Fw_Exchange_Abort(c.x);
    Fw_RigConn_ExpectEof(Fw_RigServer_Conn(s, 0));
    call_free(&c);
    Fw_ConnPool_Free(p);
    Fw_RigServer_Free(s);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("client");

    tcase_add_loop_test(tc, response_is_complete_or_call_fails, 0,
                        G_N_ELEMENTS(responses));
    tcase_add_loop_test(tc, connection_with_leftover_data_is_not_reused, 0,
                        G_N_ELEMENTS(reuse_cases));
    tcase_add_test(tc, data_on_idle_connection_closes_it);
    tcase_add_loop_test(tc,
                        a_kept_connection_that_was_written_to_is_not_reused, 0,
                        G_N_ELEMENTS(unseen));
    tcase_add_test(tc, a_response_cut_in_its_head_fails);
    tcase_add_loop_test(
        tc, a_connection_carries_only_answers_that_can_be_told_apart, 0,
        G_N_ELEMENTS(tag_cases));
    tcase_add_test(tc, requests_without_an_id_leave_no_connections_behind);
    tcase_add_loop_test(
        tc, an_answer_without_an_id_is_dropped_or_fails_its_request, 0, 2);
    tcase_add_test(tc, connection_idle_too_long_is_not_reused);
    tcase_add_test(tc, refused_connection_reports_nothing_sent);
    tcase_add_test(tc, aborted_exchange_closes_its_connection);
    return Fw_Suite_Run(tc);
}
