/* Responses without end to requests that the router makes for itself. */
#include <check.h>
#include <string.h>

#include "relayd/store_internal.h"
#include "tests/relayd/raw_server.h"

/* More than the router and the kernel's buffers may take of one response. */
#define FW_MOST_BYTES (32 * 1024 * 1024)
#define FW_PART_BYTES 65536

static const char endless_head[] = "HTTP/1.1 200 OK\r\n"
                                   "Content-Type: application/json\r\n\r\n";

/* What an engine sends before bytes without end: in a body, or in a head. */
static const char *const starts[] = {
    endless_head,
    "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Long: ",
    "HTTP/1.1 200 ",
    "",
};

/* Writes to @c until it is closed. Return: bytes written. */
static size_t
write_endlessly(struct rig_conn *c)
{
    static char part[FW_PART_BYTES];
    size_t sent = 0;

    memset(part, ' ', sizeof(part));
    g_socket_set_blocking(c->sock, FALSE);
    while (!c->eof && sent < FW_MOST_BYTES) {
        gssize n = g_socket_send(c->sock, part, sizeof(part), NULL, NULL);

        sent += n > 0 ? (size_t)n : 0;
        g_main_context_iteration(NULL, FALSE);
    }
    return sent;
}

/* The connection that carries the request with @text in its head. */
static struct rig_conn *
request_with(struct raw_server *s, const char *text)
{
    for (;;) {
        struct rig_conn *c = Fw_RigServer_Conn(s->rig, s->n_seen++);

        Fw_RigConn_Expect(c, "\r\n\r\n");
        if (strstr(c->received->str, text)) {
            return c;
        }
    }
}

/* Guards against an engine whose bytes use up the router's memory. */
START_TEST(a_reservation_without_end_is_given_up)
{
    struct router_env env;
    struct raw_server raw;
    struct rig_conn *caller;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_RawServer_Init(&raw, &env);
    caller = Fw_RouterEnv_SendRequest(&env, "POST /outlook/x", FW_TOKENS);
    c = request_with(&raw, "hold-take");
    Fw_RigConn_Send(c, starts[_i], -1);
    ck_assert_uint_lt(write_endlessly(c), FW_MOST_BYTES);
    Fw_RigConn_Close(caller);
    Fw_RawServer_Free(&raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* Guards against a store whose bytes use up the router's memory. */
START_TEST(a_response_of_the_store_without_end_is_given_up)
{
    struct router_env env;
    struct raw_server raw = {.rig = Fw_RigServer_New()};
    struct rig_conn *c;
    int err = 0;

    Fw_RouterEnv_Init(&env);
    g_strlcpy(env.opts.store_addr, raw.rig->url + strlen("http://"),
              sizeof(env.opts.store_addr));
    env.router = Fw_Relayd_New(&env.opts, NULL, &err);
    ck_assert_ptr_nonnull(env.router);
    c = request_with(&raw, "log-newest");
    Fw_RigConn_Send(c, endless_head, -1);
    ck_assert_uint_lt(write_endlessly(c), FW_MOST_BYTES);
    Fw_RawServer_Free(&raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("responses without end");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, a_reservation_without_end_is_given_up, 0,
                        G_N_ELEMENTS(starts));
    tcase_add_test(tc, a_response_of_the_store_without_end_is_given_up);
    return Fw_Suite_Run(tc);
}
