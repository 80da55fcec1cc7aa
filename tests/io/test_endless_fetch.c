/* Upstreams of the project's own interface that send bytes without end. */
#include <string.h>

#include "io/fetch.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

/* More than a call and the kernel's buffers may take of one response. */
#define FW_MOST_BYTES (32 * 1024 * 1024)
#define FW_PART_BYTES 65536
#define FW_BODY_MAX_BYTES (1024 * 1024)
#define FW_IDLE_TIMEOUT_US (20 * FW_SEC)

static int
on_line(void *ctx, const char *line, size_t len)
{
    (void)ctx;
    (void)line;
    (void)len;
    return 0;
}

static void
on_done(void *ctx, const struct fw_fetch_result *r)
{
    *(int *)ctx = r->err ? r->err : 1;
}

/*
 * What an upstream sends first, and then over and over.
 * @in_lines: the call reads lines
 * @is_whole: the call ends well, as the body has ended before
 */
static const struct {
    const char *first;
    const char *again;
    int in_lines;
    int is_whole;
} responses[] = {
    {"", "x", 0, 0},
    {"HTTP/1.1 200 OK\r\nX: ", "x", 0, 0},
    {"HTTP/1.1 200 OK\r\n", "X: x\r\n", 0, 0},
    {"HTTP/1.1 200 ", "x", 0, 0},
    {"HTTP/1.1 200 OK\r\n\r\n", "x", 0, 0},
    {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "x", 0, 0},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1", 0, 0},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", 0, 0},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0,
     0},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n",
     0, 1},
    {"HTTP/1.1 200 OK\r\n\r\n", "x", 1, 0},
    {"HTTP/1.1 500 No\r\n\r\n", "x\n", 1, 0},
};

/* Writes to @c until it is closed. Return: bytes written. */
static size_t
write_endlessly(struct rig_conn *c, const char *again, const int *done)
{
    GString *part = g_string_new(NULL);
    size_t sent = 0;
    size_t at = 0;

    while (part->len < FW_PART_BYTES) {
        g_string_append(part, again);
    }
    g_socket_set_blocking(c->sock, FALSE);
    while (!c->eof && !*done && sent < FW_MOST_BYTES) {
        gssize n =
            g_socket_send(c->sock, part->str + at, part->len - at, NULL, NULL);

        at = (at + (n > 0 ? (size_t)n : 0)) % part->len;
        sent += n > 0 ? (size_t)n : 0;
        g_main_context_iteration(NULL, FALSE);
    }
    g_string_free(part, TRUE);
    return sent;
}

/* Guards against an upstream whose bytes use up the instance's memory. */
START_TEST(a_response_without_end_is_given_up)
{
    struct rig_server *s = Fw_RigServer_New();
    SoupSession *session = Fw_Fetch_NewSession(1, 1);
    int done = 0;
    struct rig_conn *up;

    Fw_Fetch_Start(&(struct fw_fetch_opts){
        .session = session,
        .msg = Fw_Fetch_NewMessage("POST", s->url, "{}"),
        .idle_timeout_us = FW_IDLE_TIMEOUT_US,
        .body_max = FW_BODY_MAX_BYTES,
        .on_line = responses[_i].in_lines ? on_line : NULL,
        .on_done = on_done,
        .ctx = &done});
    up = Fw_RigServer_Conn(s, 0);
    Fw_RigConn_Expect(up, "{}");
    Fw_RigConn_Send(up, responses[_i].first, -1);
    ck_assert_uint_lt(write_endlessly(up, responses[_i].again, &done),
                      FW_MOST_BYTES);
    while (!done) {
        g_main_context_iteration(NULL, TRUE);
    }
    ck_assert_int_eq(done > 0, responses[_i].is_whole);
    g_object_unref(session);
    Fw_RigServer_Free(s);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("endless fetches");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, a_response_without_end_is_given_up, 0,
                        G_N_ELEMENTS(responses));
    return Fw_Suite_Run(tc);
}
