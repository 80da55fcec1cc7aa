/* Which responses are event streams, and where they end. */
#include <check.h>
#include <string.h>

#include "decide/response_end.h"
#include "tests/base/suite.h"

static const struct {
    int status;
    int is_route_streaming;
    const char *type;
    int is_event_stream;
} forms[] = {
    {200, 0, "text/event-stream", 1},
    {200, 1, "text/event-stream", 1},
    {500, 1, "text/event-stream", 1},
    {200, 0, "Text/Event-Stream; charset=utf-8", 1},
    {200, 0, "text/event-stream\t", 1},
    {200, 0, "text/event-streams", 0},
    {200, 1, "text/event", 0},
    {200, 1, "application/json", 0},
    {200, 1, ";text/event-stream", 1},
    {200, 1, NULL, 1},
    {206, 1, NULL, 1},
    {200, 1, "", 1},
    {200, 1, " ", 1},
    {200, 0, NULL, 0},
    {404, 1, NULL, 0},
    {500, 1, NULL, 0},
};

/* Guards against streams that are not followed, and texts that are. */
START_TEST(the_type_decides_and_without_one_the_route)
{
    struct fw_response_form form = {
        .status = forms[_i].status,
        .is_route_streaming = forms[_i].is_route_streaming,
        .type = forms[_i].type,
        .type_len = forms[_i].type ? strlen(forms[_i].type) : 0};
    struct fw_response_body body = {0};

    Fw_ResponseBody_Begin(&body, &form);
    ck_assert_int_eq(body.is_event_stream, forms[_i].is_event_stream);
    Fw_ResponseBody_Add(&body, "data: a\n", 8);
    ck_assert_int_eq(Fw_ResponseBody_End(&body), forms[_i].is_event_stream
                                                     ? FW_RESPONSE_IN_EVENT
                                                     : FW_RESPONSE_WHOLE);
}
END_TEST

static const struct {
    const char *body;
    enum fw_response_end by_framing;
    enum fw_response_end by_close;
} ends[] = {
    {"", FW_RESPONSE_WHOLE, FW_RESPONSE_BEFORE_EVENTS},
    {"\n\n", FW_RESPONSE_WHOLE, FW_RESPONSE_BEFORE_EVENTS},
    {": wait\n\n", FW_RESPONSE_WHOLE, FW_RESPONSE_BEFORE_EVENTS},
    {": wa", FW_RESPONSE_WHOLE, FW_RESPONSE_IN_COMMENT},
    {"data: a", FW_RESPONSE_IN_EVENT, FW_RESPONSE_IN_EVENT},
    {"data: a\n", FW_RESPONSE_IN_EVENT, FW_RESPONSE_IN_EVENT},
    {"data: a\n: no", FW_RESPONSE_IN_EVENT, FW_RESPONSE_IN_EVENT},
    {"data: a\n\n", FW_RESPONSE_WHOLE, FW_RESPONSE_WHOLE},
    {"data: a\r\n\r", FW_RESPONSE_WHOLE, FW_RESPONSE_WHOLE},
    {"data: a\n\n: no", FW_RESPONSE_WHOLE, FW_RESPONSE_IN_COMMENT},
    {"data: a\n\n: note\n", FW_RESPONSE_WHOLE, FW_RESPONSE_WHOLE},
    {"data: a\n\n: note\n\n", FW_RESPONSE_WHOLE, FW_RESPONSE_WHOLE},
};

static enum fw_response_end
end_of(int status, int ends_at_close, const char *body)
{
    struct fw_response_form form = {.status = status,
                                    .ends_at_close = ends_at_close,
                                    .type = "text/event-stream",
                                    .type_len = 17};
    struct fw_response_body b = {0};

    Fw_ResponseBody_Begin(&b, &form);
    Fw_ResponseBody_Add(&b, body, strlen(body));
    return Fw_ResponseBody_End(&b);
}

/* Guards against a closed connection that is taken for the end of a stream. */
START_TEST(a_stream_is_whole_by_its_events_and_its_framing)
{
    ck_assert_int_eq(end_of(200, 0, ends[_i].body), ends[_i].by_framing);
    ck_assert_int_eq(end_of(200, 1, ends[_i].body), ends[_i].by_close);
    ck_assert_int_eq(end_of(500, 1, ends[_i].body), ends[_i].by_framing);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("response end");

    tcase_add_loop_test(tc, the_type_decides_and_without_one_the_route, 0,
                        G_N_ELEMENTS(forms));
    tcase_add_loop_test(tc, a_stream_is_whole_by_its_events_and_its_framing, 0,
                        G_N_ELEMENTS(ends));
    return Fw_Suite_Run(tc);
}
