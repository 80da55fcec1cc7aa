/* Encoding of requests to engines and decoding of their responses. */
#include <check.h>
#include <string.h>

#include "io/engine_wire.h"
#include "tests/base/suite.h"

static GBytes *
bytes(const char *text)
{
    return g_bytes_new_static(text, strlen(text));
}

START_TEST(load_report_is_decoded)
{
    GBytes *body = bytes("{\"lag_ms\":95.5,\"slots\":20,\"busy\":3,"
                         "\"queued_tokens\":7,\"kv_used\":5,\"kv_total\":9,"
                         "\"leaving\":true,\"role\":\"decode\",\"models\":["
                         "\"m@1\",\"m@1+a\"],\"more\":{}}");
    struct fw_up_event ev = {.kind = FW_UP_LOAD_REPORT};
    struct fw_engine_response resp;

    ck_assert_int_eq(Fw_Engine_DecodeResponse(body, &ev, &resp), 0);
    ck_assert_int_eq(ev.u.report.age_us, 95500);
    ck_assert_int_eq(ev.u.report.slots, 20);
    ck_assert_int_eq(ev.u.report.busy_slots, 3);
    ck_assert_int_eq(ev.u.report.queued_tokens, 7);
    ck_assert_int_eq(ev.u.report.kv_total, 9);
    ck_assert_int_eq(ev.u.report.draining, 1);
    ck_assert_str_eq(ev.u.report.role, "decode");
    ck_assert_int_eq(ev.u.report.n_models, 2);
    ck_assert_str_eq(ev.u.report.models[1], "m@1+a");
    Fw_Engine_ClearResponse(&resp);
    g_bytes_unref(body);
}
END_TEST

START_TEST(held_requests_and_cache_events_are_decoded)
{
    GBytes *held = bytes("{\"requests\":[{\"id\":\"one.7.1\",\"stage\":\"kv\","
                         "\"tokens\":4},{\"id\":\"x\"}]}");
    GBytes *cache = bytes("{\"next\":9,\"events\":[{\"seq\":7,\"prefix\":"
                          "\"00ff00ff00ff00ff\",\"tokens\":256,\"evicted\":"
                          "false},{\"seq\":8,\"prefix\":\"1\",\"tokens\":0,"
                          "\"evicted\":true}]}");
    struct fw_up_event ev = {.kind = FW_UP_LIST_REQUESTS};
    struct fw_engine_response resp;

    ck_assert_int_eq(Fw_Engine_DecodeResponse(held, &ev, &resp), 0);
    ck_assert_int_eq(ev.u.held.n, 2);
    ck_assert_str_eq(ev.u.held.requests[0], "one.7.1");
    Fw_Engine_ClearResponse(&resp);
    ev = (struct fw_up_event){.kind = FW_UP_CACHE_EVENTS};
    ck_assert_int_eq(Fw_Engine_DecodeResponse(cache, &ev, &resp), 0);
    ck_assert_int_eq(ev.u.cache.n, 2);
    ck_assert_uint_eq(ev.u.cache.next_seq, 9);
    ck_assert_uint_eq(ev.u.cache.events[0].prefix_hash, 0x00ff00ff00ff00ffULL);
    ck_assert_int_eq(ev.u.cache.events[1].evicted, 1);
    Fw_Engine_ClearResponse(&resp);
    g_bytes_unref(held);
    g_bytes_unref(cache);
}
END_TEST

/* Responses of an incompatible or faulty engine. */
static const struct {
    enum fw_up_kind kind;
    const char *body;
} invalid[] = {
    {FW_UP_IMPORT, "{}"},
    {FW_UP_IMPORT, "{\"transfer_ms\":-1}"},
    {FW_UP_IMPORT, "{\"transfer_ms\":1e300}"},
    {FW_UP_IMPORT, "{\"transfer_ms\":\"5\"}"},
    {FW_UP_LOAD_REPORT, "{\"lag_ms\":5}"},
    {FW_UP_LOAD_REPORT,
     "{\"lag_ms\":5,\"slots\":99999999999,\"busy\":0,\"queued_tokens\":0,"
     "\"kv_used\":0,\"kv_total\":0}"},
    {FW_UP_LOAD_REPORT,
     "{\"lag_ms\":5,\"slots\":1,\"busy\":0,\"queued_tokens\":0,\"kv_used\":0,"
     "\"kv_total\":0,\"models\":[5]}"},
    {FW_UP_LOAD_REPORT,
     "{\"lag_ms\":5,\"slots\":1,\"busy\":0,\"queued_tokens\":0,\"kv_used\":0,"
     "\"kv_total\":0,\"role\":\"a role longer than any\"}"},
    {FW_UP_LIST_REQUESTS, "{\"requests\":[5]}"},
    {FW_UP_LIST_REQUESTS, "{\"requests\":[{\"id\":5}]}"},
    {FW_UP_LIST_REQUESTS, "{\"requests\":{}}"},
    {FW_UP_CACHE_EVENTS, "{\"next\":1,\"events\":[{\"seq\":1}]}"},
    {FW_UP_CACHE_EVENTS,
     "{\"next\":1,\"events\":[{\"seq\":1,\"prefix\":\"zz\"}]}"},
    {FW_UP_CACHE_EVENTS, "{\"next\":-1,\"events\":[]}"},
    {FW_UP_PREFILL, "[]"},
    {FW_UP_PREFILL, ""},
    {FW_UP_PREFILL,
     "{\"kv\":\"01234567890123456789012345678901234567890123456789012345678901"
     "2345678901234567890\",\"tokens\":1,\"lapse_ms\":1}"},
};

START_TEST(invalid_responses_are_rejected)
{
    GBytes *body = bytes(invalid[_i].body);
    struct fw_up_event ev = {.kind = invalid[_i].kind};
    struct fw_engine_response resp;

    ck_assert_int_ne(Fw_Engine_DecodeResponse(body, &ev, &resp), 0);
    Fw_Engine_ClearResponse(&resp);
    g_bytes_unref(body);
}
END_TEST

static const struct {
    struct fw_up_start up;
    const char *method;
    const char *path;
    SoupMessageFlags flags;
} requests[] = {
    {{.kind = FW_UP_IMPORT}, "POST", "/v1/kv/import", SOUP_MESSAGE_IDEMPOTENT},
    {{.kind = FW_UP_RESUME}, "POST", "/v1/resume", SOUP_MESSAGE_IDEMPOTENT},
    {{.kind = FW_UP_CANCEL, .u.cancel.request = "a/b?c"},
     "DELETE",
     "/v1/requests/a%2Fb%3Fc",
     0},
    {{.kind = FW_UP_LOAD_REPORT}, "GET", "/v1/load", 0},
    {{.kind = FW_UP_LIST_REQUESTS}, "GET", "/v1/requests", 0},
    {{.kind = FW_UP_CACHE_EVENTS, .u.cache.from_seq = 7},
     "GET",
     "/v1/cache-events",
     0},
    {{.kind = FW_UP_ORDER, .u.order = {.op = FW_ORDER_SET_ROLE}},
     "POST",
     "/v1/order",
     SOUP_MESSAGE_NEW_CONNECTION},
};

START_TEST(requests_have_method_path_and_flags)
{
    struct fw_up_start up = requests[_i].up;
    SoupMessage *msg;

    g_strlcpy(up.url, "http://127.0.0.1:9/base", sizeof(up.url));
    msg = Fw_Engine_EncodeRequest(&up);
    ck_assert_str_eq(soup_message_get_method(msg), requests[_i].method);
    ck_assert_str_eq(g_uri_get_path(soup_message_get_uri(msg)) + 5,
                     requests[_i].path);
    ck_assert_int_eq(soup_message_get_flags(msg),
                     requests[_i].flags | SOUP_MESSAGE_NO_REDIRECT);
    g_object_unref(msg);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("engine_wire");

    tcase_add_test(tc, load_report_is_decoded);
    tcase_add_test(tc, held_requests_and_cache_events_are_decoded);
    tcase_add_loop_test(tc, invalid_responses_are_rejected, 0,
                        G_N_ELEMENTS(invalid));
    tcase_add_loop_test(tc, requests_have_method_path_and_flags, 0,
                        G_N_ELEMENTS(requests));
    return Fw_Suite_Run(tc);
}
