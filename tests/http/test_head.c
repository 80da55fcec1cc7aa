/* Parsing of heads and decoding of bodies. */
#include <errno.h>
#include <string.h>

#include "http/body.h"
#include "tests/base/suite.h"
#include "tests/http/bad_heads.h"

START_TEST(ambiguous_head_is_rejected)
{
    struct fw_http_head h;
    const char *t = fw_bad_heads[_i];
    int n = Fw_Http_ParseHead(FW_HTTP_REQUEST, t, strlen(t), &h);

    ck_assert_msg(n == -EBADMSG, "%d for %s", n, t);
}
END_TEST

/* Targets that must be forwarded byte by byte, without normalisation. */
static const char *const targets[] = {
    "/",
    "/%7euser/%c3%a9",
    "/%zz",
    "/a?q=%zz&r=%",
    "//double//slash",
    "/a/../b/./c",
    "/a;p=1/b;q",
    "/a?",
    "/?",
    "/a?b?c",
    "/a%2Fb%00",
    "/[x]{y}|z\"<>\\^`",
};

START_TEST(target_is_not_normalised)
{
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\n" FW_HOST_FIELD "\r\n",
                                 targets[_i]);
    struct fw_http_head h;

    ck_assert_int_eq(
        Fw_Http_ParseHead(FW_HTTP_REQUEST, text, strlen(text), &h),
        (int)strlen(text));
    ck_assert_uint_eq(h.target_len, strlen(targets[_i]));
    ck_assert_int_eq(memcmp(h.target, targets[_i], h.target_len), 0);
    Fw_Http_ClearHead(&h);
    g_free(text);
}
END_TEST

START_TEST(head_may_arrive_in_parts)
{
    static const char text[] = "POST /x HTTP/1.1\r\nhOST:  a.example \r\n"
                               "Content-Length: 12\r\n"
                               "Connection: Keep-Alive, X-Own\r\n"
                               "X-Own: 1\r\nX-Empty:\r\n\r\nrest";
    size_t whole = strlen(text) - 4;
    struct fw_http_head h;

    for (size_t n = 0; n < whole; n++) {
        ck_assert_int_eq(Fw_Http_ParseHead(FW_HTTP_REQUEST, text, n, &h), 0);
    }
    ck_assert_int_eq(
        Fw_Http_ParseHead(FW_HTTP_REQUEST, text, strlen(text), &h),
        (int)whole);
    ck_assert_int_eq(h.framing, FW_HTTP_CONTENT_LENGTH);
    ck_assert_uint_eq(h.length, 12);
    ck_assert_int_eq(h.n_fields, 5);
    ck_assert_uint_eq(h.fields[0].value_len, strlen("a.example"));
    ck_assert_int_eq(h.keep_alive, 1);
    ck_assert_int_ne(Fw_Http_IsHopByHop(&h, Fw_Http_FindField(&h, "x-own")),
                     0);
    ck_assert_int_eq(Fw_Http_IsHopByHop(&h, Fw_Http_FindField(&h, "x-empty")),
                     0);
    Fw_Http_ClearHead(&h);
}
END_TEST

/* Framing of responses, and whether their connection can be reused. */
static const struct {
    const char *text;
    int framing;
    int keep_alive;
} responses[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", FW_HTTP_CONTENT_LENGTH,
     1},
    {"HTTP/1.1 200 OK\r\n\r\n", FW_HTTP_UNTIL_CLOSE, 1},
    {"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n", FW_HTTP_CHUNKED, 1},
    {"HTTP/1.1 204 No\r\nContent-Length: 3\r\n\r\n", FW_HTTP_NO_BODY, 1},
    {"HTTP/1.1 304 Not\r\n\r\n", FW_HTTP_NO_BODY, 1},
    {"HTTP/1.1 100 Go\r\n\r\n", FW_HTTP_NO_BODY, 1},
    {"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n", FW_HTTP_CONTENT_LENGTH,
     0},
    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", FW_HTTP_UNTIL_CLOSE, 0},
    {"HTTP/1.1 0200 OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 00200 OK\r\n\r\n", -1, 0},
    {"HTTP/1.1  200 OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 200OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 000 OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 20 OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 2000 OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 4294967496 OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 600 OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 +200 OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 2OO OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 OK\r\n\r\n", -1, 0},
    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", -1,
     0},
    {"HTTP/1.1 999 No\r\n\r\n", -1, 0},
    {"garbage\r\n\r\n", -1, 0},
};

START_TEST(response_framing)
{
    const char *t = responses[_i].text;
    struct fw_http_head h;
    int n = Fw_Http_ParseHead(FW_HTTP_RESPONSE, t, strlen(t), &h);

    if (responses[_i].framing < 0) {
        ck_assert_int_eq(n, -EBADMSG);
        return;
    }
    ck_assert_int_eq(n, (int)strlen(t));
    ck_assert_int_eq((int)h.framing, responses[_i].framing);
    ck_assert_int_eq(h.keep_alive, responses[_i].keep_alive);
    Fw_Http_ClearHead(&h);
}
END_TEST

/* Chunked bodies; @expected is NULL for malformed ones. */
static const struct {
    const char *text;
    const char *expected;
} chunked[] = {
    {"0\r\n\r\n", ""},
    {"3\r\nabc\r\n0\r\n\r\n", "abc"},
    {"3\r\nabc\r\nA;x=\"y\"\r\n0123456789\r\n0\r\n\r\n", "abc0123456789"},
    {"1\r\na\r\n0\r\nTrailer: x\r\nB: y\r\n\r\n", "a"},
    {"003\r\nabc\r\n0\r\n\r\n", "abc"},
    {"-5\r\nabc\r\n0\r\n\r\n", NULL},
    {"+3\r\nabc\r\n0\r\n\r\n", NULL},
    {"0x3\r\nabc\r\n0\r\n\r\n", NULL},
    {" 3\r\nabc\r\n0\r\n\r\n", NULL},
    {"3 \r\nabc\r\n0\r\n\r\n", NULL},
    {"\r\nabc\r\n0\r\n\r\n", NULL},
    {"3\nabc\n0\n\n", NULL},
    {"3\r\nabcd\r\n0\r\n\r\n", NULL},
    {"3\r\nabc0\r\n\r\n", NULL},
    {"3\r\nabc\r0\r\n\r\n", NULL},
    {"fffffffff\r\nabc\r\n", NULL},
    {"3;a\nb\r\nabc\r\n0\r\n\r\n", NULL},
    {"g\r\n", NULL},
};

/* Decodes @text in parts of @step bytes. Return: the body, or NULL. */
static GString *
decode_chunks(const char *text, size_t step)
{
    struct fw_http_head h = {.framing = FW_HTTP_CHUNKED};
    GString *got = g_string_new(NULL);
    struct fw_http_body_decoder f;
    size_t at = 0;

    Fw_Http_BodyInit(&f, &h);
    while (!f.done && text[at]) {
        size_t part = MIN(step, strlen(text + at));
        const char *body;
        size_t len;
        int n = Fw_Http_BodyRead(&f, text + at, part, &body, &len);

        if (n < 0) {
            g_string_free(got, TRUE);
            return NULL;
        }
        g_string_append_len(got, body, (gssize)len);
        at += (size_t)n;
    }
    ck_assert(f.done || !text[at]);
    return got;
}

START_TEST(chunked_body_is_decoded_strictly)
{
    for (size_t step = 1; step < 40; step++) {
        GString *got = decode_chunks(chunked[_i].text, step);

        if (!chunked[_i].expected) {
            ck_assert_msg(got == NULL, "%s", chunked[_i].text);
            continue;
        }
        ck_assert_msg(got != NULL, "%s", chunked[_i].text);
        ck_assert_str_eq(got->str, chunked[_i].expected);
        g_string_free(got, TRUE);
    }
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("head");

    tcase_add_loop_test(tc, ambiguous_head_is_rejected, 0, FW_BAD_HEADS_COUNT);
    tcase_add_loop_test(tc, target_is_not_normalised, 0,
                        G_N_ELEMENTS(targets));
    tcase_add_test(tc, head_may_arrive_in_parts);
    tcase_add_loop_test(tc, response_framing, 0, G_N_ELEMENTS(responses));
    tcase_add_loop_test(tc, chunked_body_is_decoded_strictly, 0,
                        G_N_ELEMENTS(chunked));
    return Fw_Suite_Run(tc);
}
