/* Parsing and validation of completion requests. */
#include <check.h>
#include <string.h>

#include "io/api.h"
#include "tests/base/suite.h"

static const struct fw_api_limits limits = {.prompt_tokens_max = 10,
                                            .max_tokens_default = 16};

#define FW_CHAT(content)                                                      \
    "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"," content "}]}"

static const struct {
    enum fw_api api;
    const char *body;
    const char *prompt;
    int64_t tokens;
    int64_t max_tokens;
    int stream;
    int usage;
} valid_bodies[] = {
    {FW_API_COMPLETION, "{\"model\":\"m\",\"prompt\":\"abcde\"}", "abcde", 2,
     16, 0, 0},
    {FW_API_COMPLETION,
     "{\"model\":\"m\",\"prompt\":[\"abcd\"],\"max_tokens\":3,\"stream\":true,"
     "\"temperature\":0.2,\"stop\":null,\"n\":1,\"unheard-of\":{\"a\":[]}}",
     "abcd", 1, 3, 1, 0},
    {FW_API_COMPLETION,
     "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":null,"
     "\"max_completion_tokens\":4,\"stream_options\":{\"include_usage\":true}"
     "}",
     "x", 1, 4, 0, 1},
    {FW_API_CHAT, FW_CHAT("\"content\":\"hi\""), "user: hi\nassistant:", 5, 16,
     0, 0},
    {FW_API_CHAT, FW_CHAT("\"content\":null"), "user: \nassistant:", 5, 16, 0,
     0},
    {FW_API_CHAT,
     FW_CHAT("\"content\":[{\"type\":\"text\",\"text\":\"h\"},{\"type\":"
             "\"text\",\"text\":\"i\"}]"),
     "user: hi\nassistant:", 5, 16, 0, 0},
    {FW_API_COMPLETION,
     "{\"model\":\"m\",\"prompt\":\"\\u00e9\\ud83d\\ude00\"}",
     "\xc3\xa9\xf0\x9f\x98\x80", 2, 16, 0, 0},
};

START_TEST(valid_bodies_are_parsed)
{
    struct fw_api_request req;
    struct fw_api_error err = {0};
    gsize len;
    const char *data;

    ck_assert_msg(Fw_Api_Parse(valid_bodies[_i].api, valid_bodies[_i].body,
                               strlen(valid_bodies[_i].body), &limits, &req,
                               &err) == 0,
                  "%s", err.message);
    data = g_bytes_get_data(req.prompt, &len);
    ck_assert_uint_eq(len, strlen(valid_bodies[_i].prompt));
    ck_assert_mem_eq(data, valid_bodies[_i].prompt, len);
    ck_assert_str_eq(req.model, "m");
    ck_assert_int_eq(req.prompt_tokens, valid_bodies[_i].tokens);
    ck_assert_int_eq(req.max_tokens, valid_bodies[_i].max_tokens);
    ck_assert_int_eq(req.stream, valid_bodies[_i].stream);
    ck_assert_int_eq(req.include_usage, valid_bodies[_i].usage);
    g_bytes_unref(req.prompt);
}
END_TEST

#define FW_COMPLETION_WITH(more) "{\"model\":\"m\",\"prompt\":\"x\"," more "}"

static const struct {
    enum fw_api api;
    const char *body;
    const char *code;
    int status;
} invalid_bodies[] = {
    {FW_API_COMPLETION, "", "invalid_json", 400},
    {FW_API_COMPLETION, "[]", "invalid_json", 400},
    {FW_API_COMPLETION, "{\"model\":\"m\",\"prompt\":\"x\"", "invalid_json",
     400},
    {FW_API_COMPLETION, "{\"model\":\"m\",\"prompt\":\"\xff\"}",
     "invalid_json", 400},
    {FW_API_COMPLETION, "{\"model\":\"m\",\"prompt\":\"a\\u0000b\"}",
     "invalid_json", 400},
    {FW_API_COMPLETION,
     "{\"a\":[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
     "[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]"
     "}",
     "invalid_json", 400},
    {FW_API_COMPLETION, "{\"prompt\":\"x\"}", "model_missing", 400},
    {FW_API_COMPLETION, "{\"model\":\"\",\"prompt\":\"x\"}", "model_missing",
     400},
    {FW_API_COMPLETION, "{\"model\":7,\"prompt\":\"x\"}", "invalid_request",
     400},
    {FW_API_COMPLETION,
     "{\"model\":\"0123456789012345678901234567890123456789012345678\","
     "\"prompt\":\"x\"}",
     "invalid_request", 400},
    {FW_API_COMPLETION, "{\"model\":\"m\"}", "invalid_request", 400},
    {FW_API_COMPLETION, "{\"model\":\"m\",\"prompt\":\"\"}", "invalid_request",
     400},
    {FW_API_COMPLETION, "{\"model\":\"m\",\"prompt\":5}", "invalid_request",
     400},
    {FW_API_COMPLETION, "{\"model\":\"m\",\"prompt\":[1,2]}",
     "invalid_request", 400},
    {FW_API_COMPLETION, "{\"model\":\"m\",\"prompt\":[]}", "invalid_request",
     400},
    {FW_API_COMPLETION,
     "{\"model\":\"m\",\"prompt\":\"01234567890123456789012345678901234567890"
     "\"}",
     "prompt_too_long", 413},
    {FW_API_COMPLETION, FW_COMPLETION_WITH("\"max_tokens\":0"),
     "invalid_request", 400},
    {FW_API_COMPLETION, FW_COMPLETION_WITH("\"max_tokens\":-3"),
     "invalid_request", 400},
    {FW_API_COMPLETION, FW_COMPLETION_WITH("\"max_tokens\":1.5"),
     "invalid_request", 400},
    {FW_API_COMPLETION, FW_COMPLETION_WITH("\"max_tokens\":\"3\""),
     "invalid_request", 400},
    {FW_API_COMPLETION,
     FW_COMPLETION_WITH("\"max_tokens\":9223372036854775807"),
     "invalid_request", 400},
    {FW_API_COMPLETION, FW_COMPLETION_WITH("\"stream\":\"yes\""),
     "invalid_request", 400},
    {FW_API_COMPLETION, FW_COMPLETION_WITH("\"stream_options\":[]"),
     "invalid_request", 400},
    {FW_API_COMPLETION, FW_COMPLETION_WITH("\"n\":2"), "invalid_request", 400},
    {FW_API_CHAT, "{\"model\":\"m\"}", "invalid_request", 400},
    {FW_API_CHAT, "{\"model\":\"m\",\"messages\":[]}", "invalid_request", 400},
    {FW_API_CHAT, "{\"model\":\"m\",\"messages\":[5]}", "invalid_request",
     400},
    {FW_API_CHAT, "{\"model\":\"m\",\"messages\":[{\"content\":\"x\"}]}",
     "invalid_request", 400},
    {FW_API_CHAT, FW_CHAT("\"content\":{}"), "invalid_request", 400},
    {FW_API_CHAT, FW_CHAT("\"content\":[{\"type\":\"image_url\"}]"),
     "invalid_request", 400},
    {FW_API_CHAT, FW_CHAT("\"content\":[\"x\"]"), "invalid_request", 400},
};

START_TEST(invalid_bodies_are_rejected)
{
    struct fw_api_request req;
    struct fw_api_error err = {0};

    ck_assert_int_ne(
        Fw_Api_Parse(invalid_bodies[_i].api, invalid_bodies[_i].body,
                     strlen(invalid_bodies[_i].body), &limits, &req, &err),
        0);
    ck_assert_str_eq(err.code, invalid_bodies[_i].code);
    ck_assert_int_eq(err.status, invalid_bodies[_i].status);
}
END_TEST

/* Every proper prefix of a valid body is rejected without a crash. */
START_TEST(truncated_bodies_are_rejected)
{
    size_t len = strlen(valid_bodies[_i].body);

    for (size_t i = 0; i < len; i++) {
        char *truncated = g_memdup2(valid_bodies[_i].body, i + 1);
        struct fw_api_request req;
        struct fw_api_error err;

        ck_assert_int_ne(Fw_Api_Parse(valid_bodies[_i].api, truncated, i,
                                      &limits, &req, &err),
                         0);
        g_free(truncated);
    }
}
END_TEST

START_TEST(deadlines_require_time_and_offset)
{
    static const char *const invalid[] = {"",
                                          "tomorrow",
                                          "12:00",
                                          "2026-12-02",
                                          "2026-12-02T09:00:00",
                                          "2026-13-02T09:00:00Z"};

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        ck_assert_int_eq(Fw_Api_ParseDeadline(invalid[i], 5), 0);
    }
    ck_assert_int_eq(Fw_Api_ParseDeadline("1999-12-02T09:00:00Z", 5), 1);
    ck_assert_int_gt(Fw_Api_ParseDeadline("2199-12-02T09:00:00+01:00", 5),
                     FW_SEC * 86400);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("api");

    tcase_add_loop_test(tc, valid_bodies_are_parsed, 0,
                        G_N_ELEMENTS(valid_bodies));
    tcase_add_loop_test(tc, invalid_bodies_are_rejected, 0,
                        G_N_ELEMENTS(invalid_bodies));
    tcase_add_loop_test(tc, truncated_bodies_are_rejected, 0,
                        G_N_ELEMENTS(valid_bodies));
    tcase_add_test(tc, deadlines_require_time_and_offset);
    return Fw_Suite_Run(tc);
}
