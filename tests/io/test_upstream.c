/* HTTP client for engines and plain services, with a raw server. */
#include <check.h>
#include <string.h>

#include "base/fault.h"
#include "io/upstream_client.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

/** struct harness - a client, its server and a log of its events. */
struct harness {
    struct rig_core core;
    struct rig_server *server;
    struct fw_upstream_client *client;
};

static void
begin(struct harness *h)
{
    struct fw_sink sink;

    Fw_RigCore_Init(&h->core);
    sink = Fw_RigCore_Sink(&h->core);
    h->server = Fw_RigServer_New();
    h->client = Fw_UpstreamClient_New(&sink, &h->core.metrics, 16, 16, 4096);
}

static void
end(struct harness *h)
{
    Fw_UpstreamClient_Free(h->client);
    Fw_RigServer_Free(h->server);
    Fw_RigCore_Clear(&h->core);
}

static struct fw_up_start
new_call(const struct harness *h, enum fw_up_kind kind)
{
    struct fw_up_start s = {
        .op = 1, .kind = kind, .idle_timeout_us = 20 * FW_SEC};

    g_strlcpy(s.url, h->server->url, sizeof(s.url));
    return s;
}

static void
start_prefill(struct harness *h, int64_t timeout_us)
{
    struct fw_up_start s = new_call(h, FW_UP_PREFILL);

    s.idle_timeout_us = timeout_us;
    s.u.prefill = (struct fw_up_prefill){.request = "one.7.1",
                                         .team = "skippers",
                                         .model = "tides",
                                         .prompt = g_bytes_new("a \"b", 4),
                                         .priority = 3};
    Fw_UpstreamClient_Start(h->client, &s);
    g_bytes_unref(s.u.prefill.prompt);
}

static void
start_decode(struct harness *h, int64_t timeout_us)
{
    struct fw_up_start s = new_call(h, FW_UP_DECODE);

    s.idle_timeout_us = timeout_us;
    s.u.decode = (struct fw_up_decode){
        .request = "one.7.1", .kv = "kv-1", .max_tokens = 9, .from_index = 2};
    Fw_UpstreamClient_Start(h->client, &s);
}

static void
start_service(struct harness *h, const char *method, int once)
{
    struct fw_up_start s = new_call(h, FW_UP_SERVICE);

    s.u.service = (struct fw_up_service){.request = "r-1",
                                         .team = "skippers",
                                         .idem_key = "k-1",
                                         .path = "/orders?x=1",
                                         .content_type = "text/plain",
                                         .body = g_bytes_new("abc", 3),
                                         .at_most_once = once};
    g_strlcpy(s.u.service.method, method, sizeof(s.u.service.method));
    Fw_UpstreamClient_Start(h->client, &s);
    g_bytes_unref(s.u.service.body);
}

/* Sends @text on connection @i after the request head was received. */
static void
answer(struct harness *h, guint i, const char *text)
{
    struct rig_conn *c = Fw_RigServer_Conn(h->server, i);

    Fw_RigConn_Expect(c, "\r\n\r\n");
    Fw_RigConn_Send(c, text, -1);
}

static void
disconnect(struct harness *h, guint i)
{
    struct rig_conn *c = Fw_RigServer_Conn(h->server, i);

    g_socket_shutdown(c->sock, TRUE, TRUE, NULL);
}

#define FW_OK "HTTP/1.1 200 OK\r\nContent-Length: "
#define FW_OPEN "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

/*
 * The verdict decides whether a request is retried, so it may be "no" only if
 * the engine has certainly not started the prefill.
 */
static const struct {
    const char *reply; /* NULL: none */
    int disconnect;
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

START_TEST(prefill_results_have_the_right_verdict)
{
    struct harness h;

    begin(&h);
    start_prefill(&h, 20 * FW_SEC);
    if (prefills[_i].reply) {
        answer(&h, 0, prefills[_i].reply);
    }
    else {
        Fw_RigConn_Expect(Fw_RigServer_Conn(h.server, 0), "\r\n\r\n");
    }
    if (prefills[_i].disconnect) {
        disconnect(&h, 0);
    }
    Fw_Rig_ExpectEvent(&h.core, "\n");
    ck_assert_msg(g_str_has_prefix(h.core.events->str, prefills[_i].seen),
                  "%s", h.core.events->str);
    end(&h);
}
END_TEST

START_TEST(refused_connection_means_not_run)
{
    struct harness h;

    begin(&h);
    g_socket_service_stop(h.server->service);
    g_socket_listener_close(G_SOCKET_LISTENER(h.server->service));
    Fw_Rig_Settle();
    start_prefill(&h, 20 * FW_SEC);
    Fw_Rig_ExpectEvent(&h.core,
                       "up failed ran=no status=0 err=Connection refused\n");
    end(&h);
}
END_TEST

/* The engine hangs before its response or within a stream. */
START_TEST(idle_calls_time_out)
{
    struct harness h;

    begin(&h);
    if (_i == 0) {
        start_prefill(&h, 50 * FW_MSEC);
    }
    else {
        start_decode(&h, 50 * FW_MSEC);
        answer(&h, 0, FW_OPEN "{\"i\":2,\"t\":\"low \"}\n");
        Fw_Rig_ExpectEvent(&h.core, "up piece ran=yes status=200 err=0 2=low");
    }
    Fw_Rig_ExpectEvent(&h.core, "err=Connection timed out\n");
    Fw_RigConn_ExpectEof(Fw_RigServer_Conn(h.server, 0));
    end(&h);
}
END_TEST

START_TEST(engine_requests_have_the_expected_format)
{
    struct harness h;
    struct rig_conn *c;

    begin(&h);
    start_prefill(&h, 20 * FW_SEC);
    c = Fw_RigServer_Conn(h.server, 0);
    Fw_RigConn_Expect(c, "POST /v1/prefill HTTP/1.1\r\n");
    Fw_RigConn_Expect(c, "X-Fuchsiaward-Team: skippers\r\n");
    Fw_RigConn_Expect(c, "X-Request-Id: one.7.1\r\n");
    Fw_RigConn_Expect(c,
                      "{\"request\":\"one.7.1\",\"model\":\"tides\","
                      "\"adapter\":\"\",\"prompt\":\"a \\\"b\",\"priority\":"
                      "3}");
    start_decode(&h, 20 * FW_SEC);
    c = Fw_RigServer_Conn(h.server, 1);
    Fw_RigConn_Expect(c, "POST /v1/decode HTTP/1.1\r\n");
    Fw_RigConn_Expect(c, "{\"request\":\"one.7.1\",\"kv\":\"kv-1\","
                         "\"max_tokens\":9,\"from_index\":2}");
    end(&h);
}
END_TEST

/* Complete, truncated and invalid decode streams. */
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

START_TEST(streams_are_decoded_line_by_line)
{
    struct harness h;

    begin(&h);
    start_decode(&h, 20 * FW_SEC);
    answer(&h, 0, FW_OPEN);
    Fw_RigConn_Send(Fw_RigServer_Conn(h.server, 0), streams[_i].lines, -1);
    disconnect(&h, 0);
    Fw_Rig_ExpectEvent(&h.core, streams[_i].seen);
    Fw_Rig_Settle();
    ck_assert_str_eq(h.core.events->str, streams[_i].seen);
    end(&h);
}
END_TEST

/* Guards against unbounded memory for a line that never ends. */
START_TEST(overlong_line_ends_the_call)
{
    struct harness h;
    char *text = g_strnfill(200000, 'x');

    begin(&h);
    start_decode(&h, 20 * FW_SEC);
    answer(&h, 0, FW_OPEN);
    Fw_RigConn_Send(Fw_RigServer_Conn(h.server, 0), text, -1);
    Fw_Rig_ExpectEvent(
        &h.core, "up failed ran=maybe status=200 err=Message too long\n");
    g_free(text);
    end(&h);
}
END_TEST

/*
 * The engine must notice a stopped call by the closed connection, and no event
 * may follow.
 */
START_TEST(stopping_a_call_closes_its_connection)
{
    struct harness h;
    struct rig_conn *c;

    begin(&h);
    if (_i == 0) {
        start_prefill(&h, 20 * FW_SEC);
        c = Fw_RigServer_Conn(h.server, 0);
        Fw_RigConn_Expect(c, "priority");
    }
    else {
        start_decode(&h, 20 * FW_SEC);
        answer(&h, 0, FW_OPEN "{\"i\":2,\"t\":\"low \"}\n");
        Fw_Rig_ExpectEvent(&h.core, "2=low");
        g_string_truncate(h.core.events, 0);
    }
    Fw_UpstreamClient_Stop(h.client, 1);
    Fw_UpstreamClient_Stop(h.client, 1);
    Fw_RigConn_ExpectEof(Fw_RigServer_Conn(h.server, 0));
    ck_assert_str_eq(h.core.events->str, "");
    end(&h);
}
END_TEST

/*
 * libsoup resends a PUT when a persistent connection closes without a
 * response, which could run it twice. A call marked "once" must use a new
 * connection and not be resent (_i == 1); others (0), or with the fault
 * injected (2), are.
 */
START_TEST(once_calls_are_not_resent)
{
    struct harness h;
    struct rig_conn *c;
    int once = _i == 1;

    begin(&h);
    Fw_Fault_Active = _i == 2 ? "once-ignored" : NULL;
    start_service(&h, "PUT", 0);
    answer(&h, 0, FW_OK "2\r\nContent-Type: text/x\r\n\r\nok");
    Fw_Rig_ExpectEvent(&h.core, "up done ran=yes status=200 err=0\n");
    Fw_Rig_Settle();
    g_string_truncate(h.core.events, 0);
    c = Fw_RigServer_Conn(h.server, 0);
    g_string_truncate(c->received, 0);
    start_service(&h, "PUT", _i > 0);
    if (once) {
        c = Fw_RigServer_Conn(h.server, 1);
    }
    Fw_RigConn_Expect(c, "abc");
    g_socket_shutdown(c->sock, TRUE, TRUE, NULL);
    if (once) {
        Fw_Rig_ExpectEvent(&h.core, "up failed ran=maybe status=0 err=");
        Fw_Rig_Settle();
        ck_assert_uint_eq(h.server->conns->len, 2);
    }
    else {
        Fw_RigConn_Expect(Fw_RigServer_Conn(h.server, 1), "abc");
    }
    end(&h);
}
END_TEST

START_TEST(services_receive_only_allowed_headers)
{
    struct harness h;
    struct rig_conn *c;

    begin(&h);
    start_service(&h, "POST", 1);
    c = Fw_RigServer_Conn(h.server, 0);
    Fw_RigConn_Expect(c, "abc");
    ck_assert_msg(
        g_str_has_prefix(c->received->str, "POST /orders?x=1 HTTP/1.1\r\n"),
        "%s", c->received->str);
    Fw_RigConn_Expect(c, "X-Fuchsiaward-Team: skippers\r\n");
    Fw_RigConn_Expect(c, "X-Request-Id: r-1\r\n");
    Fw_RigConn_Expect(c, "Idempotency-Key: k-1\r\n");
    Fw_RigConn_Expect(c, "Content-Type: text/plain\r\n");
    ck_assert_ptr_null(strstr(c->received->str, "Authorization"));
    Fw_RigConn_Send(c, "HTTP/1.1 422 No\r\nContent-Length: 0\r\n\r\n", -1);
    Fw_Rig_ExpectEvent(&h.core, "up done ran=yes status=422 err=0\n");
    end(&h);
}
END_TEST

START_TEST(oversized_response_fails)
{
    struct harness h;
    char *text = g_strnfill(9000, 'x');

    begin(&h);
    start_service(&h, "POST", 1);
    answer(&h, 0, FW_OK "9000\r\n\r\n");
    Fw_RigConn_Send(Fw_RigServer_Conn(h.server, 0), text, -1);
    Fw_Rig_ExpectEvent(
        &h.core, "up failed ran=maybe status=200 err=Message too long\n");
    g_free(text);
    end(&h);
}
END_TEST

START_TEST(invalid_url_fails_asynchronously)
{
    struct harness h;
    struct fw_up_start s;

    begin(&h);
    s = new_call(&h, FW_UP_LOAD_REPORT);
    g_strlcpy(s.url, "not a url", sizeof(s.url));
    Fw_UpstreamClient_Start(h.client, &s);
    ck_assert_str_eq(h.core.events->str, "");
    Fw_Rig_ExpectEvent(&h.core,
                       "up failed ran=no status=0 err=Invalid argument\n");
    end(&h);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("upstream");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, prefill_results_have_the_right_verdict, 0,
                        G_N_ELEMENTS(prefills));
    tcase_add_test(tc, refused_connection_means_not_run);
    tcase_add_loop_test(tc, idle_calls_time_out, 0, 2);
    tcase_add_test(tc, engine_requests_have_the_expected_format);
    tcase_add_loop_test(tc, streams_are_decoded_line_by_line, 0,
                        G_N_ELEMENTS(streams));
    tcase_add_test(tc, overlong_line_ends_the_call);
    tcase_add_loop_test(tc, stopping_a_call_closes_its_connection, 0, 2);
    tcase_add_loop_test(tc, once_calls_are_not_resent, 0, 3);
    tcase_add_test(tc, services_receive_only_allowed_headers);
    tcase_add_test(tc, oversized_response_fails);
    tcase_add_test(tc, invalid_url_fails_asynchronously);
    return Fw_Suite_Run(tc);
}
