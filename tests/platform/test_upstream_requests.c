/* Requests to upstreams and to other instances, in the platform's format. */
#include <string.h>

#include "platform/platform.h"
#include "tests/base/suite.h"
#include "tests/platform/heads.h"

START_TEST(forwarded_requests_carry_the_routers_fields)
{
    struct fw_rl_upstream_call c = {.kind = FW_RL_UP_RUN,
                                    .addr = "10.0.0.1:80",
                                    .server = "i-1",
                                    .team = "t",
                                    .timeout_us = 1234567,
                                    .priority = 3,
                                    .reservation = "H",
                                    .kv_addr = "10.0.0.2:80",
                                    .kv_handle = "K"};
    GString *out = g_string_new(NULL);
    struct fw_http_head h;
    GBytes *body;
    GBytes *sent = g_bytes_new_static("hi", 2);

    Fw_Heads_Parse(FW_HEAD "Content-Length: 2\r\nAuthorization: Bearer k\r\n"
                           "Tenant: x\r\nKv-Hold: x\r\nDeadline-Ms: 9\r\n"
                           "Connection: X\r\nX: y\r\nAccept: z\r\n\r\n",
                   &h);
    Fw_Platform_WriteUpstreamRequest(&c, &h, sent, "me", out, &body);
    ck_assert_str_eq(out->str, "POST /a/b?c=d HTTP/1.1\r\n"
                               "Host: H.Example:80\r\n"
                               "Accept: z\r\n"
                               "Deadline-Ms: 1234\r\n"
                               "Tenant: t\r\n"
                               "Request-Priority: 3\r\n"
                               "Kv-Hold: H\r\n"
                               "Kv-Source: 10.0.0.2:80/K\r\n"
                               "Content-Length: 2\r\n"
                               "Expect-Instance: i-1\r\n\r\n");
    ck_assert_uint_eq(g_bytes_get_size(body), 2);
    g_bytes_unref(body);
    g_bytes_unref(sent);
    g_string_free(out, TRUE);
    Fw_Http_ClearHead(&h);
}
END_TEST

/* Guards against another instance that gets less than the caller sent. */
START_TEST(a_request_that_is_handed_over_keeps_the_callers_fields)
{
    struct fw_rl_upstream_call c = {.kind = FW_RL_UP_HANDOVER,
                                    .addr = "10.0.0.1:80",
                                    .timeout_us = 1234567,
                                    .priority = -1};
    GString *out = g_string_new(NULL);
    struct fw_http_head h;
    GBytes *body;
    GBytes *sent = g_bytes_new_static("hi", 2);

    Fw_Heads_Parse(FW_HEAD "Content-Length: 2\r\nAuthorization: Bearer k\r\n"
                           "Fw-Handover: 0\r\nDeadline-Ms: 9999\r\n"
                           "Connection: X\r\nX: y\r\nAccept: z\r\n\r\n",
                   &h);
    Fw_Platform_WriteUpstreamRequest(&c, &h, sent, "me", out, &body);
    ck_assert_str_eq(out->str, "POST /a/b?c=d HTTP/1.1\r\n"
                               "Host: H.Example:80\r\n"
                               "Authorization: Bearer k\r\n"
                               "Accept: z\r\n"
                               "Deadline-Ms: 1234\r\n"
                               "Fw-Handover: 1\r\n"
                               "Content-Length: 2\r\n\r\n");
    ck_assert_uint_eq(g_bytes_get_size(body), 2);
    g_bytes_unref(body);
    g_bytes_unref(sent);
    g_string_free(out, TRUE);
    Fw_Http_ClearHead(&h);
}
END_TEST

/* Requests that the router sends on its own behalf. */
static const struct {
    struct fw_rl_upstream_call call;
    const char *head;
    const char *body;
} calls[] = {
    {{.kind = FW_RL_UP_RESERVE,
      .addr = "a:1",
      .server = "i",
      .tokens = 32,
      .ttl_us = 2000000},
     "POST /-/hold-take HTTP/1.1\r\nHost: a:1\r\n"
     "Content-Type: application/json\r\nContent-Length: 26\r\n"
     "Expect-Instance: i\r\n\r\n",
     "{\"Tokens\":32,\"TtlMs\":2000}"},
    {{.kind = FW_RL_UP_RELEASE,
      .addr = "a:1",
      .server = "i",
      .reservation = "H"},
     "DELETE /-/hold-drop/H HTTP/1.1\r\nHost: a:1\r\n"
     "Expect-Instance: i\r\n\r\n",
     NULL},
    {{.kind = FW_RL_UP_FREE_KV,
      .addr = "a:1",
      .server = "i",
      .kv_handle = "K"},
     "DELETE /-/kv-handle/K HTTP/1.1\r\nHost: a:1\r\n"
     "Expect-Instance: i\r\n\r\n",
     NULL},
    {{.kind = FW_RL_UP_REPORT, .addr = "a:1", .server = "i"},
     "GET /-/report HTTP/1.1\r\nHost: a:1\r\nExpect-Instance: i\r\n\r\n",
     NULL},
    {{.kind = FW_RL_UP_PROBE, .addr = "a:1", .server = "i", .path = "/up"},
     "GET /up HTTP/1.1\r\nHost: a:1\r\nExpect-Instance: i\r\n\r\n",
     NULL},
    {{.kind = FW_RL_UP_SET_STAGE,
      .addr = "a:1",
      .server = "i",
      .stage = FW_RL_STAGE_PREFILL,
      .fence = 41,
      .expected_orders = 2},
     "POST /-/order HTTP/1.1\r\nHost: a:1\r\n"
     "Content-Type: application/json\r\nContent-Length: 84\r\n"
     "Expect-Instance: i\r\n\r\n",
     "{\"Operation\":\"Stage\",\"Stage\":\"prefill\",\"Holder\":\"me\","
     "\"FencingToken\":41,\"Expected\":2}"},
};

START_TEST(requests_of_the_routers_own_are_written)
{
    GString *out = g_string_new(NULL);
    GBytes *body = NULL;

    Fw_Platform_WriteUpstreamRequest(&calls[_i].call, NULL, NULL, "me", out,
                                     &body);
    if (calls[_i].body) {
        gsize len;
        const char *data = g_bytes_get_data(body, &len);
        char *text = g_strndup(data, len);

        ck_assert_str_eq(text, calls[_i].body);
        g_free(text);
        g_bytes_unref(body);
    }
    else {
        ck_assert_ptr_null(body);
    }
    ck_assert_str_eq(out->str, calls[_i].head);
    g_string_free(out, TRUE);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("upstream requests");

    tcase_add_test(tc, forwarded_requests_carry_the_routers_fields);
    tcase_add_test(tc, a_request_that_is_handed_over_keeps_the_callers_fields);
    tcase_add_loop_test(tc, requests_of_the_routers_own_are_written, 0,
                        G_N_ELEMENTS(calls));
    return Fw_Suite_Run(tc);
}
