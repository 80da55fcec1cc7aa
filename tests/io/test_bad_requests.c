/* Requests that must be rejected, and connections that must be closed. */
#include <check.h>
#include <string.h>

#include "tests/base/suite.h"
#include "tests/http/bad_heads.h"
#include "tests/io/rig.h"

static const struct {
    const char *text;
    int body; /* number of 'x' bytes sent after @text */
    const char *want[3];
} bad_requests[] = {
    {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n{",
     0,
     {"HTTP/1.1 400 ", "\"code\":\"invalid_json\",\"ran\":\"no\"",
      "Fuchsiaward-Ran: no"}},
    {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: "
     "99999\r\n\r\n",
     0,
     {"HTTP/1.1 413 ", "body_too_large", "Fuchsiaward-Ran: no"}},
    {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
     "chunked\r\n\r\n3a98\r\n",
     15000,
     {"HTTP/1.1 413 ", "body_too_large", "Fuchsiaward-Ran: no"}},
    {"GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: ",
     3000,
     {"HTTP/1.1 431 ", "header_too_large", "Fuchsiaward-Ran: no"}},
    {"GET /v1/completions HTTP/1.1\r\nHost: x\r\n\r\n",
     0,
     {"HTTP/1.1 405 ", "Allow: POST", "method_not_allowed"}},
    {"GET /v2/none HTTP/1.1\r\nHost: x\r\n\r\n",
     0,
     {"HTTP/1.1 404 ", "not_found", "X-Request-Id: r-"}},
    {"GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\"b\r\n\r\n",
     0,
     {"HTTP/1.1 400 ", "invalid_header", "X-Request-Id must be"}},
    {"GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Request-Id: "
     "0123456789012345678901234567890123456789012345678901234567890123456789"
     "0123456789\r\n\r\n",
     0,
     {"HTTP/1.1 400 ", "invalid_header", "Fuchsiaward-Ran: no"}},
    {"GET /v1/models HTTP/1.1\r\nHost: x\r\nFuchsiaward-Deadline: "
     "tomorrow\r\n\r\n",
     0,
     {"HTTP/1.1 400 ", "RFC 3339", "Fuchsiaward-Ran: no"}},
    {"GET /v1/services/ HTTP/1.1\r\nHost: x\r\n\r\n",
     0,
     {"HTTP/1.1 404 ", "unknown_service", "Fuchsiaward-Ran: no"}},
    {"GET /v1/services/0123456789012345678901234567890123456789012345678/a "
     "HTTP/1.1\r\nHost: x\r\n\r\n",
     0,
     {"HTTP/1.1 404 ", "unknown_service", "Fuchsiaward-Ran: no"}},
    {"ABCDEFGHIJKLMNOPQRSTUVWXYZ /v1/services/a/b HTTP/1.1\r\nHost: x\r\n"
     "\r\n",
     0,
     {"HTTP/1.1 400 ", "malformed_request", "Fuchsiaward-Ran: no"}},
};

START_TEST(bad_requests_are_rejected_as_not_run)
{
    struct rig rig;
    struct rig_conn *c;
    char *filler = g_strnfill((gsize)bad_requests[_i].body, 'x');

    Fw_Rig_Init(&rig);
    Fw_Rig_Start(&rig);
    c = Fw_RigConn_Open(Fw_Shell_CallersUrl(rig.shell));
    Fw_RigConn_Send(c, bad_requests[_i].text, -1);
    Fw_RigConn_Send(c, filler, -1);
    if (bad_requests[_i].body) {
        Fw_RigConn_Send(c, "\r\n0\r\n\r\n", -1);
    }
    for (int i = 0; i < 3; i++) {
        Fw_RigConn_Expect(c, bad_requests[_i].want[i]);
    }
    ck_assert_ptr_null(strstr(rig.core.events->str, "open"));
    Fw_RigConn_Close(c);
    g_free(filler);
    Fw_Rig_Stop(&rig);
}
END_TEST

/*
 * Request smuggling: a head that a proxy and the router parse differently is
 * rejected, and what follows it on the connection is not parsed.
 */
START_TEST(ambiguous_heads_are_rejected_on_both_ports)
{
    struct rig rig;

    Fw_Rig_Init(&rig);
    Fw_Rig_Start(&rig);
    for (int port = 0; port < 2; port++) {
        struct rig_conn *c =
            Fw_RigConn_Open(port ? Fw_Shell_OperatorsUrl(rig.shell)
                                 : Fw_Shell_CallersUrl(rig.shell));

        Fw_RigConn_Send(c, fw_bad_heads[_i], -1);
        Fw_RigConn_Send(c, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n", -1);
        Fw_RigConn_Expect(c, "HTTP/1.1 400 ");
        Fw_RigConn_ExpectEof(c);
        ck_assert_ptr_null(strstr(c->received->str + 1, "HTTP/1.1 "));
        Fw_RigConn_Close(c);
    }
    ck_assert_str_eq(rig.core.events->str, "");
    Fw_Rig_Stop(&rig);
}
END_TEST

/* Input that is not valid HTTP. */
static const char *const invalid_http[] = {
    "\r\n\r\n\r\n\r\n",
    "GET\r\n\r\n",
    "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 \r\n\r\n",
    "POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n{}",
    ("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
     "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
    "POST /v1/completions HTTP/9.9\r\nHost: x\r\n\r\n",
    "GET /%zz%00 HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET http://[::1 HTTP/1.1\r\nHost: \xff\xfe\r\n\r\n",
};

/* Guards against unbounded memory for a header that never ends. */
START_TEST(endless_header_closes_the_connection)
{
    struct rig rig;
    struct rig_conn *c;
    char *line = g_strnfill(1000, 'x');

    Fw_Rig_Init(&rig);
    Fw_Rig_Start(&rig);
    c = Fw_RigConn_Open(Fw_Shell_CallersUrl(rig.shell));
    Fw_RigConn_Send(c, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: ", -1);
    for (int i = 0; i < 3000; i++) {
        Fw_RigConn_Send(c, line, -1);
    }
    Fw_RigConn_ExpectEof(c);
    Fw_RigConn_Close(c);
    g_free(line);
    Fw_Rig_Stop(&rig);
}
END_TEST

START_TEST(invalid_http_affects_no_other_connection)
{
    struct rig rig;
    struct rig_conn *bad;
    struct rig_conn *good;

    Fw_Rig_Init(&rig);
    Fw_Rig_Start(&rig);
    bad = Fw_RigConn_Open(Fw_Shell_CallersUrl(rig.shell));
    Fw_RigConn_Send(bad, invalid_http[_i], -1);
    good = Fw_RigConn_Open(Fw_Shell_CallersUrl(rig.shell));
    Fw_RigConn_Send(good, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", -1);
    Fw_RigConn_Expect(good, "HTTP/1.1 200 OK");
    ck_assert_ptr_null(strstr(rig.core.events->str, "open"));
    Fw_RigConn_Close(bad);
    Fw_RigConn_Close(good);
    Fw_Rig_Stop(&rig);
}
END_TEST

/* Guards against connections held open by requests that never complete. */
static const char *const incomplete_requests[] = {
    "POST /v1/comple",
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{",
};

START_TEST(incomplete_requests_time_out)
{
    struct rig rig;
    struct rig_conn *c;

    Fw_Rig_Init(&rig);
    rig.opts.read_timeout_us = 50 * FW_MSEC;
    Fw_Rig_Start(&rig);
    c = Fw_RigConn_Open(Fw_Shell_CallersUrl(rig.shell));
    Fw_RigConn_Send(c, incomplete_requests[_i], -1);
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_nonnull(strstr(c->received->str, "HTTP/1.1 408 "));
    ck_assert_ptr_nonnull(strstr(c->received->str, "Fuchsiaward-Ran: no\r\n"));
    ck_assert_ptr_nonnull(strstr(c->received->str, "\"ran\":\"no\"}}"));
    Fw_RigConn_Close(c);
    Fw_Rig_Stop(&rig);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("bad_requests");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, bad_requests_are_rejected_as_not_run, 0,
                        G_N_ELEMENTS(bad_requests));
    tcase_add_loop_test(tc, ambiguous_heads_are_rejected_on_both_ports, 0,
                        FW_BAD_HEADS_COUNT);
    tcase_add_test(tc, endless_header_closes_the_connection);
    tcase_add_loop_test(tc, invalid_http_affects_no_other_connection, 0,
                        G_N_ELEMENTS(invalid_http));
    tcase_add_loop_test(tc, incomplete_requests_time_out, 0,
                        G_N_ELEMENTS(incomplete_requests));
    return Fw_Suite_Run(tc);
}
