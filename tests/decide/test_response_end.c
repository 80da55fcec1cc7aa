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

int
main(void)
{
    TCase *tc = Fw_Suite_New("response end");

    tcase_add_loop_test(tc, the_type_decides_and_without_one_the_route, 0,
                        G_N_ELEMENTS(forms));
    return Fw_Suite_Run(tc);
}
