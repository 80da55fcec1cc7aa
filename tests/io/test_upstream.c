/* The client to engines and plain services, against a raw server. */
#include <check.h>
#include <string.h>

#include "base/fault.h"
#include "io/up_client.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

/** struct harness - a client, a server, and what the core would see. */
struct harness {
    struct rig_core core;
    struct rig_server *server;
    struct fw_upstream_client *client;
};

static void
begin(struct harness *b)
{
    struct fw_sink sink;

    Fw_RigCore_Init(&b->core);
    sink = Fw_RigCore_Sink(&b->core);
    b->server = Fw_RigServer_New();
    b->client = Fw_UpstreamClient_New(&sink, &b->core.metrics, 16, 16, 4096);
}

static void
end(struct harness *b)
{
    Fw_UpstreamClient_Free(b->client);
    Fw_RigServer_Free(b->server);
    Fw_RigCore_Clear(&b->core);
}

static struct fw_up_start
up(const struct harness *b, enum fw_up_kind kind)
{
    struct fw_up_start s = {.op = 1, .kind = kind, .timeout_us = 20 * FW_SEC};

    g_strlcpy(s.url, b->server->url, sizeof(s.url));
    return s;
}

static void
start_prefill(struct harness *b, int64_t timeout_us)
{
    struct fw_up_start s = up(b, FW_UP_PREFILL);

    s.timeout_us = timeout_us;
    s.u.prefill = (struct fw_up_prefill){.request = "one.7.1",
                                         .team = "skippers",
                                         .model = "tides",
                                         .prompt = g_bytes_new("a \"b", 4),
                                         .priority = 3};
    Fw_UpstreamClient_Start(b->client, &s);
    g_bytes_unref(s.u.prefill.prompt);
}

static void
start_decode(struct harness *b, int64_t timeout_us)
{
    struct fw_up_start s = up(b, FW_UP_DECODE);

    s.timeout_us = timeout_us;
    s.u.decode = (struct fw_up_decode){
        .request = "one.7.1", .kv = "kv-1", .max_tokens = 9, .from_index = 2};
    Fw_UpstreamClient_Start(b->client, &s);
}

static void
start_service(struct harness *b, const char *method, int once)
{
    struct fw_up_start s = up(b, FW_UP_SERVICE);

    s.u.service = (struct fw_up_service){.request = "r-1",
                                         .team = "skippers",
                                         .idem_key = "k-1",
                                         .path = "/orders?x=1",
                                         .content_type = "text/plain",
                                         .body = g_bytes_new("abc", 3),
                                         .once = once};
    g_strlcpy(s.u.service.method, method, sizeof(s.u.service.method));
    Fw_UpstreamClient_Start(b->client, &s);
    g_bytes_unref(s.u.service.body);
}

/* Answers on the @i-th connection once the head is there. */
static void
answer(struct harness *b, guint i, const char *text)
{
    struct rig_conn *c = Fw_RigServer_Conn(b->server, i);

    Fw_RigConn_Expect(c, "\r\n\r\n");
    Fw_RigConn_Send(c, text, -1);
}

static void
hang_up(struct harness *b, guint i)
{
    struct rig_conn *c = Fw_RigServer_Conn(b->server, i);

    g_socket_shutdown(c->sock, TRUE, TRUE, NULL);
}

#define FW_OK "HTTP/1.1 200 OK\r\nContent-Length: "
#define FW_OPEN "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

/*
 * An engine fails in every way it can while it prefills. What the core is
 * told decides whether the request runs again, so "no" may only be said where
 * the engine has surely not begun.
 */
static const struct {
    const char *reply; /* NULL: none */
    int hang_up;
    const char *seen;
} prefills[] = {
    {FW_OK "55\r\n\r\n{\"kv\":\"kv-1\",\"tokens\":7,\"cached\":2,\"lapse_ms\":"
           "900.5}   ",
     0, "up done ran=yes status=200 err=0\n"},
    {NULL, 1, "up failed ran=maybe status=0 err="},
    {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 0,
     "up failed ran=no status=503 err=0\n"},
    {"HTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n", 0,
     "up failed ran=no status=409 err=0\n"},
    {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", 0,
     "up failed ran=no status=410 err=0\n"},
    {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", 0,
     "up failed ran=maybe status=500 err=0\n"},
    {"HTTP/1.1 307 Go\r\nLocation: http://127.0.0.1:1/\r\n"
     "Content-Length: 0\r\n\r\n",
     0, "up failed ran=maybe status=307 err=0\n"},
    {FW_OK "50\r\n\r\n{\"kv\":\"kv", 1,
     "up failed ran=maybe status=200 err=Broken pipe\n"},
    {FW_OK "2\r\n\r\n{}", 0, "up failed ran=maybe status=200 err=Bad message"},
    {FW_OK "2\r\n\r\n\xff\xfe", 0,
     "up failed ran=maybe status=200 err=Bad message"},
    {FW_OK "46\r\n\r\n{\"kv\":5,\"tokens\":7,\"cached\":2,\"lapse_ms\":900}  ",
     0, "up failed ran=maybe status=200 err=Bad message"},
    {FW_OK "49\r\n\r\n{\"kv\":\"k\",\"tokens\":-7,\"cached\":2,\"lapse_ms\":"
           "900} ",
     0, "up failed ran=maybe status=200 err=Bad message"},
    {"SSH-2.0-x\r\n\r\n", 1, "up failed ran=maybe status=0 err="},
    {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", 1,
     "up failed ran=maybe status=200 err=Broken pipe"},
};

START_TEST(failures_of_a_prefill_carry_the_right_verdict)
{
    struct harness b;

    begin(&b);
    start_prefill(&b, 20 * FW_SEC);
    if (prefills[_i].reply) {
        answer(&b, 0, prefills[_i].reply);
    }
    else {
        Fw_RigConn_Expect(Fw_RigServer_Conn(b.server, 0), "\r\n\r\n");
    }
    if (prefills[_i].hang_up) {
        hang_up(&b, 0);
    }
    Fw_Rig_ExpectSeen(&b.core, "\n");
    ck_assert_msg(g_str_has_prefix(b.core.seen->str, prefills[_i].seen), "%s",
                  b.core.seen->str);
    end(&b);
}
END_TEST

/* The engine's process is gone: nothing listens, so nothing was begun. */
START_TEST(a_refused_connection_is_surely_not_run)
{
    struct harness b;

    begin(&b);
    g_socket_service_stop(b.server->service);
    g_socket_listener_close(G_SOCKET_LISTENER(b.server->service));
    Fw_Rig_Settle();
    start_prefill(&b, 20 * FW_SEC);
    Fw_Rig_ExpectSeen(&b.core,
                      "up failed ran=no status=0 err=Connection refused\n");
    end(&b);
}
END_TEST

/* The engine hangs, before its answer or between two pieces. */
START_TEST(silence_ends_a_call)
{
    struct harness b;

    begin(&b);
    if (_i == 0) {
        start_prefill(&b, 50 * FW_MSEC);
    }
    else {
        start_decode(&b, 50 * FW_MSEC);
        answer(&b, 0, FW_OPEN "{\"i\":2,\"t\":\"low \"}\n");
        Fw_Rig_ExpectSeen(&b.core, "up piece ran=yes status=200 err=0 2=low");
    }
    Fw_Rig_ExpectSeen(&b.core, "err=Connection timed out\n");
    Fw_RigConn_ExpectEof(Fw_RigServer_Conn(b.server, 0));
    end(&b);
}
END_TEST

START_TEST(engine_calls_have_the_agreed_form)
{
    struct harness b;
    struct rig_conn *c;

    begin(&b);
    start_prefill(&b, 20 * FW_SEC);
    c = Fw_RigServer_Conn(b.server, 0);
    Fw_RigConn_Expect(c, "POST /v1/prefill HTTP/1.1\r\n");
    Fw_RigConn_Expect(c, "X-Fuchsiaward-Team: skippers\r\n");
    Fw_RigConn_Expect(c, "X-Request-Id: one.7.1\r\n");
    Fw_RigConn_Expect(c,
                      "{\"request\":\"one.7.1\",\"model\":\"tides\","
                      "\"adapter\":\"\",\"prompt\":\"a \\\"b\",\"priority\":"
                      "3}");
    start_decode(&b, 20 * FW_SEC);
    c = Fw_RigServer_Conn(b.server, 1);
    Fw_RigConn_Expect(c, "POST /v1/decode HTTP/1.1\r\n");
    Fw_RigConn_Expect(c, "{\"request\":\"one.7.1\",\"kv\":\"kv-1\","
                         "\"max_tokens\":9,\"from_index\":2}");
    end(&b);
}
END_TEST

/* Streams as engines send them, whole and broken. */
static const struct {
    const char *lines;
    const char *seen;
} streams[] = {
    {"{\"i\":1,\"t\":\"b\"}\n{\"i\":0,\"t\":\"a\"}\r\n\n{\"i\":0,\"t\":\"a\"}"
     "\n{\"done\":true,\"reason\":\"stop\",\"tokens\":2}\n",
     "up piece ran=yes status=200 err=0 1=b\n"
     "up piece ran=yes status=200 err=0 0=a\n"
     "up piece ran=yes status=200 err=0 0=a\n"
     "up done ran=yes status=200 err=0\n"},
    {"{\"i\":0,\"t\":\"a\"}\n{\"done\":true,\"reason\":\"stop\",\"tokens\":1}",
     "up piece ran=yes status=200 err=0 0=a\n"
     "up done ran=yes status=200 err=0\n"},
    {"{\"i\":0,\"t\":\"a\"}\n{\"i\":1",
     "up piece ran=yes status=200 err=0 0=a\n"
     "up failed ran=maybe status=200 err=Bad message\n"},
    {"{\"i\":0,\"t\":\"a\"}\n",
     "up piece ran=yes status=200 err=0 0=a\n"
     "up failed ran=maybe status=200 err=Broken pipe\n"},
    {"{\"i\":-1,\"t\":\"a\"}\n{\"i\":1,\"t\":\"b\"}\n",
     "up failed ran=maybe status=200 err=Bad message\n"},
    {"{\"i\":0,\"t\":5}\n",
     "up failed ran=maybe status=200 err=Bad message\n"},
    {"{\"i\":0,\"t\":\"a\\u0000b\"}\n",
     "up failed ran=maybe status=200 err=Bad message\n"},
    {"{\"done\":true,\"reason\":\"a reason longer than any\",\"tokens\":1}\n",
     "up failed ran=maybe status=200 err=Bad message\n"},
    {"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
     "["
     "\n",
     "up failed ran=maybe status=200 err=Bad message\n"},
};

START_TEST(streams_are_read_line_by_line)
{
    struct harness b;

    begin(&b);
    start_decode(&b, 20 * FW_SEC);
    answer(&b, 0, FW_OPEN);
    Fw_RigConn_Send(Fw_RigServer_Conn(b.server, 0), streams[_i].lines, -1);
    hang_up(&b, 0);
    Fw_Rig_ExpectSeen(&b.core, streams[_i].seen);
    Fw_Rig_Settle();
    ck_assert_str_eq(b.core.seen->str, streams[_i].seen);
    end(&b);
}
END_TEST

/* An engine gone mad sends a line without end: memory must stay bounded. */
START_TEST(a_line_without_end_ends_the_call)
{
    struct harness b;
    char *text = g_strnfill(200000, 'x');

    begin(&b);
    start_decode(&b, 20 * FW_SEC);
    answer(&b, 0, FW_OPEN);
    Fw_RigConn_Send(Fw_RigServer_Conn(b.server, 0), text, -1);
    Fw_Rig_ExpectSeen(&b.core,
                      "up failed ran=maybe status=200 err=Message too long\n");
    g_free(text);
    end(&b);
}
END_TEST

/*
 * The caller has closed and the core stops the call. The engine learns of it
 * by the closed connection, and no further event may come.
 */
START_TEST(a_stopped_call_closes_its_connection)
{
    struct harness b;
    struct rig_conn *c;

    begin(&b);
    if (_i == 0) {
        start_prefill(&b, 20 * FW_SEC);
        c = Fw_RigServer_Conn(b.server, 0);
        Fw_RigConn_Expect(c, "priority");
    }
    else {
        start_decode(&b, 20 * FW_SEC);
        answer(&b, 0, FW_OPEN "{\"i\":2,\"t\":\"low \"}\n");
        Fw_Rig_ExpectSeen(&b.core, "2=low");
        g_string_truncate(b.core.seen, 0);
    }
    Fw_UpstreamClient_Stop(b.client, 1);
    Fw_UpstreamClient_Stop(b.client, 1);
    Fw_RigConn_ExpectEof(Fw_RigServer_Conn(b.server, 0));
    ck_assert_str_eq(b.core.seen->str, "");
    end(&b);
}
END_TEST

/*
 * A plain service closes a kept connection just as the next order goes out on
 * it. The library then sends a PUT again by itself, and the order is in twice
 * if the first one had been read. A call that may run once must be sent once,
 * on a connection of its own. One that may be repeated is sent again, and so
 * is this one when the protection is taken away.
 */
START_TEST(a_call_that_may_run_once_is_sent_once)
{
    struct harness b;
    struct rig_conn *c;
    int once = _i == 1;

    begin(&b);
    Fw_Fault_Active = _i == 2 ? "once-ignored" : NULL;
    start_service(&b, "PUT", 0);
    answer(&b, 0, FW_OK "2\r\nContent-Type: text/x\r\n\r\nok");
    Fw_Rig_ExpectSeen(&b.core, "up done ran=yes status=200 err=0\n");
    Fw_Rig_Settle();
    g_string_truncate(b.core.seen, 0);
    c = Fw_RigServer_Conn(b.server, 0);
    g_string_truncate(c->got, 0);
    start_service(&b, "PUT", _i > 0);
    if (once) {
        c = Fw_RigServer_Conn(b.server, 1);
    }
    Fw_RigConn_Expect(c, "abc");
    g_socket_shutdown(c->sock, TRUE, TRUE, NULL);
    if (once) {
        Fw_Rig_ExpectSeen(&b.core, "up failed ran=maybe status=0 err=");
        Fw_Rig_Settle();
        ck_assert_uint_eq(b.server->conns->len, 2);
    }
    else {
        Fw_RigConn_Expect(Fw_RigServer_Conn(b.server, 1), "abc");
    }
    end(&b);
}
END_TEST

START_TEST(a_service_sees_the_agreed_headers_only)
{
    struct harness b;
    struct rig_conn *c;

    begin(&b);
    start_service(&b, "POST", 1);
    c = Fw_RigServer_Conn(b.server, 0);
    Fw_RigConn_Expect(c, "abc");
    ck_assert_msg(
        g_str_has_prefix(c->got->str, "POST /orders?x=1 HTTP/1.1\r\n"), "%s",
        c->got->str);
    Fw_RigConn_Expect(c, "X-Fuchsiaward-Team: skippers\r\n");
    Fw_RigConn_Expect(c, "X-Request-Id: r-1\r\n");
    Fw_RigConn_Expect(c, "Idempotency-Key: k-1\r\n");
    Fw_RigConn_Expect(c, "Content-Type: text/plain\r\n");
    ck_assert_ptr_null(strstr(c->got->str, "Authorization"));
    Fw_RigConn_Send(c, "HTTP/1.1 422 No\r\nContent-Length: 0\r\n\r\n", -1);
    Fw_Rig_ExpectSeen(&b.core, "up done ran=yes status=422 err=0\n");
    end(&b);
}
END_TEST

START_TEST(an_answer_beyond_the_bound_fails)
{
    struct harness b;
    char *text = g_strnfill(9000, 'x');

    begin(&b);
    start_service(&b, "POST", 1);
    answer(&b, 0, FW_OK "9000\r\n\r\n");
    Fw_RigConn_Send(Fw_RigServer_Conn(b.server, 0), text, -1);
    Fw_Rig_ExpectSeen(&b.core,
                      "up failed ran=maybe status=200 err=Message too long\n");
    g_free(text);
    end(&b);
}
END_TEST

START_TEST(a_bad_address_fails_from_the_loop)
{
    struct harness b;
    struct fw_up_start s;

    begin(&b);
    s = up(&b, FW_UP_LOAD);
    g_strlcpy(s.url, "not a url", sizeof(s.url));
    Fw_UpstreamClient_Start(b.client, &s);
    ck_assert_str_eq(b.core.seen->str, "");
    Fw_Rig_ExpectSeen(&b.core,
                      "up failed ran=no status=0 err=Invalid argument\n");
    end(&b);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("upstream");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, failures_of_a_prefill_carry_the_right_verdict, 0,
                        G_N_ELEMENTS(prefills));
    tcase_add_test(tc, a_refused_connection_is_surely_not_run);
    tcase_add_loop_test(tc, silence_ends_a_call, 0, 2);
    tcase_add_test(tc, engine_calls_have_the_agreed_form);
    tcase_add_loop_test(tc, streams_are_read_line_by_line, 0,
                        G_N_ELEMENTS(streams));
    tcase_add_test(tc, a_line_without_end_ends_the_call);
    tcase_add_loop_test(tc, a_stopped_call_closes_its_connection, 0, 2);
    tcase_add_loop_test(tc, a_call_that_may_run_once_is_sent_once, 0, 3);
    tcase_add_test(tc, a_service_sees_the_agreed_headers_only);
    tcase_add_test(tc, an_answer_beyond_the_bound_fails);
    tcase_add_test(tc, a_bad_address_fails_from_the_loop);
    return Fw_Suite_Run(tc);
}
