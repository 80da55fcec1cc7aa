/* The callers' and operators' ports over TCP, with a scripted core. */
#include <check.h>
#include <string.h>

#include "tests/base/suite.h"
#include "tests/io/rig.h"

static void
add_start(struct fw_actions *out, uint64_t call)
{
    struct fw_call_start *s = &Fw_Actions_Add(out, FW_ACT_CALL_START)->u.start;

    s->call = call;
    g_strlcpy(s->request_id, "r-1", sizeof(s->request_id));
    g_strlcpy(s->model, "tides", sizeof(s->model));
}

static void
add_piece(struct fw_actions *out, uint64_t call, const char *text)
{
    struct fw_call_token *p = &Fw_Actions_Add(out, FW_ACT_CALL_TOKEN)->u.piece;

    p->call = call;
    p->text = g_strdup(text);
}

static void
add_end(struct fw_actions *out, uint64_t call)
{
    struct fw_call_end *e = &Fw_Actions_Add(out, FW_ACT_CALL_END)->u.end;

    *e = (struct fw_call_end){.call = call,
                              .reason = "stop",
                              .prompt_tokens = 3,
                              .output_tokens = 2,
                              .cached_tokens = 1,
                              .transfer_us = 5000,
                              .prefill = "p-0",
                              .decode = "d-0"};
}

static void
add_fail(struct fw_actions *out, uint64_t call, int64_t retry_after_us)
{
    struct fw_call_fail *f = &Fw_Actions_Add(out, FW_ACT_CALL_FAIL)->u.fail;

    *f = (struct fw_call_fail){.call = call,
                               .request_id = "r-1",
                               .status = 429,
                               .code = "rate_limited",
                               .message = "over the \"rate\"",
                               .ran = FW_RAN_MAYBE,
                               .retry_after_us = retry_after_us};
}

static void
complete_immediately(struct rig_core *core, const struct fw_event *ev,
                     struct fw_actions *out)
{
    if (ev->kind == FW_EV_CALL_OPEN) {
        add_start(out, core->last_call);
        add_piece(out, core->last_call, "low ");
        add_piece(out, core->last_call, "water \"\n");
        add_end(out, core->last_call);
    }
}

static void
fail_immediately(struct rig_core *core, const struct fw_event *ev,
                 struct fw_actions *out)
{
    if (ev->kind == FW_EV_CALL_OPEN) {
        add_fail(out, core->last_call, 1100 * FW_MSEC);
    }
}

static void
start_then_fail(struct rig_core *core, const struct fw_event *ev,
                struct fw_actions *out)
{
    if (ev->kind == FW_EV_CALL_OPEN) {
        add_start(out, core->last_call);
        add_fail(out, core->last_call, 0);
    }
}

static void
start_only(struct rig_core *core, const struct fw_event *ev,
           struct fw_actions *out)
{
    if (ev->kind == FW_EV_CALL_OPEN) {
        add_start(out, core->last_call);
        add_piece(out, core->last_call, "low ");
    }
}

static char *
request(const char *path, const char *fields, const char *body)
{
    return g_strdup_printf("POST %s HTTP/1.1\r\nHost: x\r\n%s"
                           "Content-Length: %zu\r\n\r\n%s",
                           path, fields, strlen(body), body);
}

static struct rig_conn *
call(struct rig *rig, const char *path, const char *fields, const char *body)
{
    struct rig_conn *c = Fw_RigConn_Open(Fw_Shell_CallersUrl(rig->shell));
    char *text = request(path, fields, body);

    Fw_RigConn_Send(c, text, -1);
    g_free(text);
    return c;
}

/* Substrings of the expected responses, without the value of "created". */
static const struct {
    const char *path;
    const char *body;
    const char *parts[6];
} responses[] = {
    {"/v1/completions",
     "{\"model\":\"tides\",\"prompt\":\"x\"}",
     {"{\"id\":\"cmpl-r-1\",\"object\":\"text_completion\",\"created\":",
      ",\"model\":\"tides\",\"choices\":[{\"index\":0,\"text\":\"low water "
      "\\\"\\n\",\"logprobs\":null,\"finish_reason\":\"stop\"}],\"usage\":{"
      "\"prompt_tokens\":3,\"completion_tokens\":2,\"total_tokens\":5},"
      "\"fuchsiaward\":{\"prefill\":\"p-0\",\"decode\":\"d-0\","
      "\"transfer_ms\":5,\"cached_tokens\":1}}"}},
    {"/v1/chat/completions",
     "{\"model\":\"tides\",\"messages\":[{\"role\":\"user\",\"content\":"
     "\"x\"}]}",
     {"{\"id\":\"chatcmpl-r-1\",\"object\":\"chat.completion\",\"created\":",
      "\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
      "\"content\":\"low water \\\"\\n\"},\"logprobs\":null,"
      "\"finish_reason\":\"stop\"}],\"usage\":{"}},
    {"/v1/completions",
     "{\"model\":\"tides\",\"prompt\":\"x\",\"stream\":true}",
     {"Content-Type: text/event-stream",
      "data: {\"id\":\"cmpl-r-1\",\"object\":\"text_completion\"",
      ("\"choices\":[{\"index\":0,\"text\":\"low \",\"logprobs\":null,"
       "\"finish_reason\":null}]}\n\n"),
      "\"finish_reason\":\"stop\"}],\"fuchsiaward\":{\"prefill\":\"p-0\"",
      "data: [DONE]\n\n"}},
    {"/v1/chat/completions",
     "{\"model\":\"tides\",\"stream\":true,\"stream_options\":{"
     "\"include_usage\":true},\"messages\":[{\"role\":\"user\",\"content\":"
     "\"x\"}]}",
     {"\"object\":\"chat.completion.chunk\"",
      "\"delta\":{\"role\":\"assistant\",\"content\":\"\"}",
      "\"delta\":{\"content\":\"low \"},\"logprobs\":null,"
      "\"finish_reason\":null}],\"usage\":null}",
      "\"delta\":{},\"logprobs\":null,\"finish_reason\":\"stop\"}],"
      "\"usage\":null}",
      "\"choices\":[],\"usage\":{\"prompt_tokens\":3", "data: [DONE]\n\n"}},
};

START_TEST(responses_match_the_api)
{
    struct rig rig;
    struct rig_conn *c;

    Fw_Rig_Init(&rig);
    rig.core.react = complete_immediately;
    Fw_Rig_Start(&rig);
    c = call(&rig, responses[_i].path, "Authorization: Bearer k\r\n",
             responses[_i].body);
    Fw_RigConn_Expect(c, "X-Request-Id: r-1");
    for (int i = 0; i < 6 && responses[_i].parts[i]; i++) {
        Fw_RigConn_Expect(c, responses[_i].parts[i]);
    }
    ck_assert_ptr_null(strstr(c->received->str, "Fuchsiaward-Ran"));
    Fw_RigConn_Close(c);
    Fw_Rig_Stop(&rig);
}
END_TEST

START_TEST(errors_carry_verdict_and_retry_after)
{
    struct rig rig;
    struct rig_conn *c;

    Fw_Rig_Init(&rig);
    rig.core.react = fail_immediately;
    Fw_Rig_Start(&rig);
    c = call(&rig, "/v1/completions", "",
             "{\"model\":\"tides\",\"prompt\":\"x\",\"stream\":true}");
    Fw_RigConn_Expect(c, "\"ran\":\"maybe\"}}");
    ck_assert_ptr_nonnull(strstr(c->received->str, "HTTP/1.1 429 "));
    ck_assert_ptr_nonnull(
        strstr(c->received->str, "Fuchsiaward-Ran: maybe\r\n"));
    ck_assert_ptr_nonnull(strstr(c->received->str, "Retry-After: 2\r\n"));
    ck_assert_ptr_nonnull(strstr(
        c->received->str, "{\"error\":{\"message\":\"over the \\\"rate\\\"\""
                          ",\"type\":\"rate_limit_error\",\"code\":"
                          "\"rate_limited\",\"ran\":\"maybe\"}}"));
    Fw_RigConn_Close(c);
    Fw_Rig_Stop(&rig);
}
END_TEST

/*
 * A failure after the 200 was sent must end the stream with an error and its
 * verdict, without "[DONE]".
 */
START_TEST(failed_streams_end_with_the_error)
{
    struct rig rig;
    struct rig_conn *c;

    Fw_Rig_Init(&rig);
    rig.core.react = start_then_fail;
    Fw_Rig_Start(&rig);
    c = call(&rig, "/v1/completions", "Connection: close\r\n",
             "{\"model\":\"tides\",\"prompt\":\"x\",\"stream\":true}");
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_nonnull(strstr(c->received->str, "HTTP/1.1 200 "));
    ck_assert_ptr_nonnull(strstr(c->received->str, "data: {\"error\":{"));
    ck_assert_ptr_nonnull(strstr(c->received->str, "\"ran\":\"maybe\"}}\n\n"));
    ck_assert_ptr_null(strstr(c->received->str, "[DONE]"));
    Fw_RigConn_Close(c);
    Fw_Rig_Stop(&rig);
}
END_TEST

/*
 * Guards against applying the key of one request to the next one on a
 * persistent connection, which a proxy may share between callers.
 */
START_TEST(key_is_read_from_each_request)
{
    struct rig rig;
    struct rig_conn *c;
    char *text;

    Fw_Rig_Init(&rig);
    rig.core.react = complete_immediately;
    Fw_Rig_Start(&rig);
    c = call(&rig, "/v1/completions", "Authorization: Bearer first\r\n",
             "{\"model\":\"tides\",\"prompt\":\"abcde\"}");
    Fw_RigConn_Expect(c, "\"fuchsiaward\"");
    text = request("/v1/completions", "authorization: bearer second\r\n",
                   "{\"model\":\"tides\",\"prompt\":\"x\"}");
    Fw_RigConn_Send(c, text, -1);
    g_free(text);
    Fw_Rig_ExpectEvent(&rig.core, "key=second");
    text = request("/v1/completions", "",
                   "{\"model\":\"tides\",\"prompt\":\"x\"}");
    Fw_RigConn_Send(c, text, -1);
    g_free(text);
    Fw_Rig_ExpectEvent(&rig.core, "key=-");
    ck_assert_ptr_nonnull(strstr(rig.core.events->str,
                                 "open completion key=first model=tides "
                                 "prompt=abcde tokens=2 max=16 stream=0\n"));
    Fw_RigConn_Close(c);
    Fw_Rig_Stop(&rig);
}
END_TEST

/*
 * The core must learn of a disconnect before the response, during it or with a
 * pipelined request, or the engine's slot would stay in use.
 */
static const struct {
    void (*react)(struct rig_core *, const struct fw_event *,
                  struct fw_actions *);
    const char *wait_for;
    const char *extra;
} disconnects[] = {
    {NULL, NULL, ""},
    {start_only, "low ", ""},
    {NULL, NULL, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n\r\n"},
};

START_TEST(disconnects_are_reported)
{
    struct rig rig;
    struct rig_conn *c;

    Fw_Rig_Init(&rig);
    rig.core.react = disconnects[_i].react;
    Fw_Rig_Start(&rig);
    c = call(&rig, "/v1/completions", "",
             "{\"model\":\"tides\",\"prompt\":\"x\",\"stream\":true}");
    Fw_Rig_ExpectEvent(&rig.core, "open completion");
    if (disconnects[_i].wait_for) {
        Fw_RigConn_Expect(c, disconnects[_i].wait_for);
    }
    Fw_RigConn_Send(c, disconnects[_i].extra, -1);
    Fw_Rig_Settle();
    ck_assert_ptr_null(strstr(rig.core.events->str, "closed"));
    Fw_RigConn_Close(c);
    Fw_Rig_ExpectEvent(&rig.core, "closed\n");
    Fw_Rig_Stop(&rig);
}
END_TEST

static void
send_large_stream(struct rig_core *core, const struct fw_event *ev,
                  struct fw_actions *out)
{
    char *text;

    if (ev->kind != FW_EV_CALL_OPEN) {
        return;
    }
    text = g_strnfill(10000, 'x');
    add_start(out, core->last_call);
    for (int i = 0; i < 2000; i++) {
        add_piece(out, core->last_call, text);
    }
    g_free(text);
}

/* Guards against unbounded memory for a caller that stops reading. */
START_TEST(stalled_readers_are_disconnected)
{
    struct rig rig;
    struct rig_conn *c;

    Fw_Rig_Init(&rig);
    rig.core.react = send_large_stream;
    Fw_Rig_Start(&rig);
    c = Fw_RigConn_Open(Fw_Shell_CallersUrl(rig.shell));
    Fw_RigConn_StopReading(c);
    Fw_RigConn_Send(c,
                    "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                    "Content-Length: 44\r\n\r\n"
                    "{\"model\":\"tides\",\"prompt\":\"x\",\"stream\":true}",
                    -1);
    Fw_Rig_ExpectEvent(&rig.core, "closed\n");
    Fw_RigConn_Close(c);
    Fw_Rig_Stop(&rig);
}
END_TEST

static void
answer_with_body(struct rig_core *core, const struct fw_event *ev,
                 struct fw_actions *out)
{
    struct fw_call_response *a;

    if (ev->kind != FW_EV_CALL_OPEN && ev->kind != FW_EV_OPERATOR) {
        return;
    }
    a = &Fw_Actions_Add(out, FW_ACT_CALL_RESPONSE)->u.answer;
    *a = (struct fw_call_response){.call = core->last_call,
                                   .request_id = "r-9",
                                   .status = 409,
                                   .content_type = "application/json",
                                   .body = g_bytes_new("{}", 2),
                                   .ran = FW_RAN_YES};
}

START_TEST(services_and_operators_reach_the_core)
{
    struct rig rig;
    struct rig_conn *c;

    Fw_Rig_Init(&rig);
    rig.core.react = answer_with_body;
    Fw_Rig_Start(&rig);
    c = Fw_RigConn_Open(Fw_Shell_CallersUrl(rig.shell));
    Fw_RigConn_Send(c,
                    "PUT /v1/services/grid-desk/orders/a%20b?x=1 HTTP/1.1\r\n"
                    "Host: x\r\nIdempotency-Key: k-1\r\n"
                    "Content-Length: 3\r\n\r\nabc",
                    -1);
    Fw_RigConn_Expect(c, "Fuchsiaward-Ran: yes\r\n");
    Fw_RigConn_Expect(c, "HTTP/1.1 409 ");
    Fw_RigConn_Close(c);
    c = Fw_RigConn_Open(Fw_Shell_OperatorsUrl(rig.shell));
    Fw_RigConn_Send(c,
                    "GET /v1/show/teams?name=a HTTP/1.1\r\nHost: x\r\n"
                    "Authorization: Bearer op\r\n\r\n",
                    -1);
    Fw_RigConn_Expect(c, "X-Request-Id: r-9\r\n");
    ck_assert_str_eq(rig.core.events->str,
                     "open service key=- PUT grid-desk/orders/a%20b?x=1 "
                     "idem=k-1 body=3\n"
                     "operator GET /v1/show/teams?name=a key=op\n");
    Fw_RigConn_Close(c);
    Fw_Rig_Stop(&rig);
}
END_TEST

START_TEST(probes_are_served_on_both_ports)
{
    static const struct {
        const char *path;
        int ready;
        const char *want;
    } probes[] = {{"/healthz", 0, "200 OK"},
                  {"/readyz", 1, "200 OK"},
                  {"/readyz", 0, "503 Service Unavailable"},
                  {"/metrics", 0, "fw_http_requests_total 1"}};
    struct rig rig;

    Fw_Rig_Init(&rig);
    Fw_Rig_Start(&rig);
    for (int i = 0; i < 2 * 4; i++) {
        struct rig_conn *c =
            Fw_RigConn_Open(i % 2 ? Fw_Shell_OperatorsUrl(rig.shell)
                                  : Fw_Shell_CallersUrl(rig.shell));
        char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n",
                                     probes[i / 2].path);

        rig.core.is_ready = probes[i / 2].ready;
        Fw_RigConn_Send(c, text, -1);
        Fw_RigConn_Expect(c, i == 7   ? "fw_http_requests_total 8"
                             : i == 6 ? "fw_http_requests_total 7"
                                      : probes[i / 2].want);
        g_free(text);
        Fw_RigConn_Close(c);
    }
    Fw_Rig_Stop(&rig);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("callers");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, responses_match_the_api, 0,
                        G_N_ELEMENTS(responses));
    tcase_add_test(tc, errors_carry_verdict_and_retry_after);
    tcase_add_test(tc, failed_streams_end_with_the_error);
    tcase_add_test(tc, key_is_read_from_each_request);
    tcase_add_loop_test(tc, disconnects_are_reported, 0,
                        G_N_ELEMENTS(disconnects));
    tcase_add_test(tc, stalled_readers_are_disconnected);
    tcase_add_test(tc, services_and_operators_reach_the_core);
    tcase_add_test(tc, probes_are_served_on_both_ports);
    return Fw_Suite_Run(tc);
}
