/* Parsing of what responses say about their servers. */
#include <string.h>

#include "platform/platform.h"
#include "tests/base/suite.h"

/** struct limit_case - fields of a response, and the limit they name. */
struct limit_case {
    const char *fields;
    int64_t want_milli;
    int invalid;
};

static const struct limit_case limit_cases[] = {
    {"", FW_NO_LIMIT, 0},
    {"Server-Limit: 3.1\r\n", 3100, 0},
    {"server-limit: 12\r\n", 12000, 0},
    {"Server-Limit: 0\r\n", 0, 0},
    {"Server-Limit: .5\r\n", 500, 0},
    {"Server-Limit: 99999999999999999999\r\n", FW_RL_LIMIT_MILLI_MAX, 0},
    {"Server-Limit: 8\r\nServer-Limit: 2\r\n", 2000, 0},
    {"Server-Limit: 8\r\nServer-Limit: x\r\n", 8000, 1},
    {"Server-Limit: -1\r\n", FW_NO_LIMIT, 1},
    {"Server-Limit: 1e3\r\n", FW_NO_LIMIT, 1},
    {"Server-Limit: nan\r\n", FW_NO_LIMIT, 1},
    {"Server-Limit: inf\r\n", FW_NO_LIMIT, 1},
    {"Server-Limit: 1.2.3\r\n", FW_NO_LIMIT, 1},
    {"Server-Limit: 3, 4\r\n", FW_NO_LIMIT, 1},
    {"Server-Limit: .\r\n", FW_NO_LIMIT, 1},
    {"Server-Limit:\r\n", FW_NO_LIMIT, 1},
    {"Server-Limit: 000000000000000000000000000000000001\r\n", FW_NO_LIMIT, 1},
};

/* Guards against a malformed limit that is taken for one, or for none. */
START_TEST(limits_of_servers_are_parsed)
{
    const struct limit_case *t = &limit_cases[_i];
    char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n%s\r\n", t->fields);
    struct fw_rl_upstream_response ans;
    struct fw_http_head h;

    ck_assert_int_gt(
        Fw_Http_ParseHead(FW_HTTP_RESPONSE, text, strlen(text), &h), 0);
    Fw_Platform_ParseResponseHead(&h, "", "", &ans);
    ck_assert_int_eq(ans.limit_milli, t->want_milli);
    ck_assert_int_eq(ans.invalid_limit, t->invalid);
    Fw_Http_ClearHead(&h);
    g_free(text);
}
END_TEST

/** struct rest_case - a response, and what it says about its server. */
struct rest_case {
    int status;
    const char *fields;
    int64_t want_ms;
    int invalid;
};

static const struct rest_case rest_cases[] = {
    {503, "", 0, 0},
    {503, "Retry-After: 3\r\n", 3000, 0},
    {503, "retry-after: 0.25\r\n", 250, 0},
    {503, "Retry-After: 0\r\n", 0, 0},
    {200, "Retry-After: 3\r\n", 0, 0},
    {429, "Retry-After: 3\r\n", 0, 0},
    {503, "Retry-After: 1\r\nRetry-After: 4\r\n", 4000, 0},
    {503, "Retry-After: 4\r\nRetry-After: x\r\n", 4000, 1},
    {503, "Retry-After: 88888888888888888888\r\n", 3600000, 0},
    {503, "Retry-After: -1\r\n", 0, 1},
    {503, "Retry-After: nan\r\n", 0, 1},
    {503, "Retry-After: 1e3\r\n", 0, 1},
    {503, "Retry-After: Thu, 03 Dec 2026 14:00:00 GMT\r\n", 0, 1},
};

/* Guards against a malformed time of rest that is taken for one. */
START_TEST(times_of_rest_are_parsed)
{
    const struct rest_case *t = &rest_cases[_i];
    char *text =
        g_strdup_printf("HTTP/1.1 %d X\r\n%s\r\n", t->status, t->fields);
    struct fw_rl_upstream_response ans;
    struct fw_http_head h;

    ck_assert_int_gt(
        Fw_Http_ParseHead(FW_HTTP_RESPONSE, text, strlen(text), &h), 0);
    Fw_Platform_ParseResponseHead(&h, "", "", &ans);
    ck_assert_int_eq(ans.rest_us, t->want_ms * FW_MSEC);
    ck_assert_int_eq(ans.invalid_rest, t->invalid);
    Fw_Http_ClearHead(&h);
    g_free(text);
}
END_TEST

/** struct leaving_case - fields of a response, and what they say. */
struct leaving_case {
    const char *fields;
    int want;
    int invalid;
};

static const struct leaving_case leaving_cases[] = {
    {"", 0, 0},
    {"Server-Leaving: 1\r\n", 1, 0},
    {"server-leaving: 0\r\n", 0, 0},
    {"Server-Leaving: yes\r\n", 0, 1},
    {"Server-Leaving:\r\n", 0, 1},
};

START_TEST(servers_that_leave_are_recognized)
{
    const struct leaving_case *t = &leaving_cases[_i];
    char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n%s\r\n", t->fields);
    struct fw_rl_upstream_response ans;
    struct fw_http_head h;

    ck_assert_int_gt(
        Fw_Http_ParseHead(FW_HTTP_RESPONSE, text, strlen(text), &h), 0);
    Fw_Platform_ParseResponseHead(&h, "", "", &ans);
    ck_assert_int_eq(ans.leaving, t->want);
    ck_assert_int_eq(ans.invalid_leaving, t->invalid);
    Fw_Http_ClearHead(&h);
    g_free(text);
}
END_TEST

/** struct refusal_case - a response to request "r1" for server "s1". */
struct refusal_case {
    int status;
    const char *fields;
    int want;
};

static const struct refusal_case refusal_cases[] = {
    {503, "Request-Id: r1\r\nNot-Executed: 1\r\n", 1},
    {429, "request-id: r1\r\nnot-executed: 1\r\n", 1},
    {421, "Request-Id: r1\r\nInstance-Id: s2\r\n", 1},
    {421, "Request-Id: r1\r\nInstance-Id: s1\r\n", 0},
    {421, "Request-Id: r1\r\nInstance-Id:\r\n", 0},
    {421, "Request-Id: r1\r\n", 0},
    {503, "Request-Id: r1\r\nInstance-Id: s2\r\n", 0},
    {503, "Request-Id: r1\r\nRetry-After: 1\r\n", 0},
    {503, "Request-Id: r2\r\nNot-Executed: 1\r\n", 0},
    {503, "Not-Executed: 1\r\n", 0},
    {200, "Request-Id: r1\r\nNot-Executed: 1\r\n", 0},
};

/* Guards against a request that is sent again although it has run. */
START_TEST(only_a_server_that_states_it_has_not_run_a_request)
{
    const struct refusal_case *t = &refusal_cases[_i];
    char *text =
        g_strdup_printf("HTTP/1.1 %d X\r\n%s\r\n", t->status, t->fields);
    struct fw_rl_upstream_response ans;
    struct fw_http_head h;

    ck_assert_int_gt(
        Fw_Http_ParseHead(FW_HTTP_RESPONSE, text, strlen(text), &h), 0);
    Fw_Platform_ParseResponseHead(&h, "r1", "s1", &ans);
    ck_assert_int_eq(ans.not_run, t->want);
    Fw_Http_ClearHead(&h);
    g_free(text);
}
END_TEST

/* Answers by their id, NULL for none, to a request with an id or without. */
static const struct {
    const char *asked;
    const char *id;
    enum fw_answer_match match;
} match_cases[] = {
    {"r1", "r1", FW_ANSWER_OURS},       {"r1", "r12", FW_ANSWER_OF_OTHER},
    {"r1", "r", FW_ANSWER_OF_OTHER},    {"r1", NULL, FW_ANSWER_UNIDENTIFIED},
    {"r1", "", FW_ANSWER_UNIDENTIFIED}, {"", NULL, FW_ANSWER_OURS},
    {"", "r1", FW_ANSWER_OF_OTHER},     {"", "", FW_ANSWER_OURS},
};

/* Guards against an answer that is taken for that to another request. */
START_TEST(an_answer_matches_only_the_request_with_its_id)
{
    g_autofree char *text =
        match_cases[_i].id
            ? g_strdup_printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n",
                              match_cases[_i].id)
            : g_strdup("HTTP/1.1 200 OK\r\n\r\n");
    struct fw_http_head h;

    ck_assert_int_gt(
        Fw_Http_ParseHead(FW_HTTP_RESPONSE, text, strlen(text), &h), 0);
    ck_assert_int_eq(Fw_Platform_MatchResponse(&h, match_cases[_i].asked),
                     match_cases[_i].match);
    Fw_Http_ClearHead(&h);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("server fields");

    tcase_add_loop_test(tc, limits_of_servers_are_parsed, 0,
                        G_N_ELEMENTS(limit_cases));
    tcase_add_loop_test(tc, times_of_rest_are_parsed, 0,
                        G_N_ELEMENTS(rest_cases));
    tcase_add_loop_test(tc, only_a_server_that_states_it_has_not_run_a_request,
                        0, G_N_ELEMENTS(refusal_cases));
    tcase_add_loop_test(tc, an_answer_matches_only_the_request_with_its_id, 0,
                        G_N_ELEMENTS(match_cases));
    tcase_add_loop_test(tc, servers_that_leave_are_recognized, 0,
                        G_N_ELEMENTS(leaving_cases));
    return Fw_Suite_Run(tc);
}
