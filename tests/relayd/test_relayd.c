/* The whole router over real sockets, against stand-ins of the platform. */
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "relayd/store_internal.h"
#include "tests/relayd/router_env.h"

static int
all_released(void *ctx)
{
    struct router_env *env = ctx;

    return !Fw_WireServer_UsedKvTokens(env->d1) &&
           !Fw_WireServer_UsedKvTokens(env->d2) &&
           !Fw_WireServer_KvHandleCount(env->p1) &&
           !Fw_WireServer_ActiveCount(env->d1) &&
           !Fw_WireServer_ActiveCount(env->d2) &&
           !Fw_WireServer_ActiveCount(env->p1);
}

START_TEST(a_stream_goes_through_prefill_and_decode)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    c = Fw_RouterEnv_SendRequest(&env, "POST /outlook/%7eebb?q=%zz",
                                 FW_TOKENS);
    Fw_RigConn_Expect(c, "HTTP/1.1 200 OK");
    Fw_RigConn_Expect(c, "id: 9\ndata: piece 9\n\n");
    Fw_RigConn_Expect(c, "\r\n0\r\n\r\n");
    ck_assert_ptr_nonnull(strstr(c->received->str, "Server-Stamp: d"));
    ck_assert_int_eq(Fw_WireServer_StartedCount(env.p1), 1);
    ck_assert_ptr_nonnull(strstr(Fw_WireServer_LastRequestHead(env.p1),
                                 "POST /outlook/%7eebb?q=%zz HTTP/1.1\r\n"));
    ck_assert_ptr_nonnull(
        strstr(Fw_WireServer_LastRequestHead(env.p1), "Tenant: skippers\r\n"));
    ck_assert_ptr_null(
        strstr(Fw_WireServer_LastRequestHead(env.p1), "Bearer"));
    ck_assert_ptr_nonnull(strstr(Fw_WireServer_LastRequestHead(env.p1),
                                 "Request-Priority: 1\r\n"));
    Fw_Rig_RunUntil(all_released, &env);
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/*
 * Guards against callers who set reserved fields to act as another team or to
 * use memory reserved for others.
 */
START_TEST(reserved_fields_of_callers_are_dropped)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    c = Fw_RouterEnv_SendRequest(
        &env, "GET /read/x",
        "Tenant: others\r\nKv-Hold: h\r\nExpect-Instance: x\r\n"
        "Stage: prefill\r\nRequest-Priority: 0\r\nX-Mine: y\r\n"
        "Connection: X-Hop\r\nX-Hop: z\r\n");
    Fw_RigConn_Expect(c, "the answer");
    const char *seen = Fw_WireServer_LastRequestHead(
        Fw_WireServer_StartedCount(env.s1) ? env.s1 : env.s2);
    ck_assert_ptr_nonnull(strstr(seen, "Tenant: skippers\r\n"));
    ck_assert_ptr_nonnull(strstr(seen, "X-Mine: y\r\n"));
    ck_assert_ptr_null(strstr(seen, "others"));
    ck_assert_ptr_null(strstr(seen, "Kv-Hold"));
    ck_assert_ptr_null(strstr(seen, "Stage: prefill"));
    ck_assert_ptr_null(strstr(seen, "X-Hop"));
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/*
 * Faults of a server, the response that the caller gets, and how many times
 * the request ran.
 */
static const struct {
    const char *line;
    enum fw_wire_fault fault;
    const char *want;
    int runs;
} fault_cases[] = {
    {"GET /read/x", FW_WIRE_FAULT_NONE, "HTTP/1.1 200 ", 1},
    {"GET /read/x", FW_WIRE_FAULT_FULL, "HTTP/1.1 200 ", 1},
    {"GET /read/x", FW_WIRE_FAULT_MOVED, "HTTP/1.1 200 ", 1},
    {"GET /read/x", FW_WIRE_FAULT_ERROR, "HTTP/1.1 200 ", 2},
    {"GET /read/x", FW_WIRE_FAULT_RESET, "HTTP/1.1 200 ", 2},
    {"GET /read/x", FW_WIRE_FAULT_STALL, "HTTP/1.1 200 ", 2},
    {"POST /order/x", FW_WIRE_FAULT_NONE, "HTTP/1.1 200 ", 1},
    {"POST /order/x", FW_WIRE_FAULT_FULL, "HTTP/1.1 200 ", 1},
    {"POST /order/x", FW_WIRE_FAULT_MOVED, "HTTP/1.1 200 ", 1},
    {"POST /order/x", FW_WIRE_FAULT_ERROR, "HTTP/1.1 500 ", 1},
    {"POST /order/x", FW_WIRE_FAULT_RESET, "HTTP/1.1 502 ", 1},
};

START_TEST(a_request_to_a_faulty_server_is_retried_when_safe)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_WireServer_SetFault(env.s1, fault_cases[_i].fault, 1);
    Fw_WireServer_SetFault(env.s2, fault_cases[_i].fault, 1);
    /* The fault is cleared on both once the first attempt has met it. */
    c = Fw_RouterEnv_SendRequest(&env, fault_cases[_i].line, "");
    while (!Fw_WireServer_FaultTriggered(env.s1) &&
           !Fw_WireServer_FaultTriggered(env.s2) &&
           fault_cases[_i].fault != FW_WIRE_FAULT_NONE) {
        g_main_context_iteration(NULL, TRUE);
    }
    Fw_WireServer_SetFault(env.s1, FW_WIRE_FAULT_NONE, 0);
    Fw_WireServer_SetFault(env.s2, FW_WIRE_FAULT_NONE, 0);
    Fw_RigConn_Expect(c, fault_cases[_i].want);
    ck_assert_int_eq(Fw_WireServer_StartedCount(env.s1) +
                         Fw_WireServer_StartedCount(env.s2),
                     fault_cases[_i].runs);
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* How an engine breaks a stream off, and the last that its caller gets. */
static const struct {
    enum fw_wire_fault fault;
    const char *last;
} broken_streams[] = {
    {FW_WIRE_FAULT_TRUNCATE, "piece 2"},
    {FW_WIRE_FAULT_PARTIAL, "data: pie"},
};

/*
 * An engine fails in the middle of a stream, or ends it properly inside an
 * event. Guards against a truncated response that looks complete, and against
 * leaked reservations.
 */
START_TEST(a_truncated_stream_is_not_ended_as_complete)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_WireServer_SetFault(env.d1, broken_streams[_i].fault, 1);
    Fw_WireServer_SetFault(env.d2, broken_streams[_i].fault, 1);
    c = Fw_RouterEnv_SendRequest(&env, "POST /outlook/x", FW_TOKENS);
    Fw_RigConn_Expect(c, broken_streams[_i].last);
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_null(strstr(c->received->str, "piece 3"));
    ck_assert_ptr_null(strstr(c->received->str, "\r\n0\r\n"));
    Fw_Rig_RunUntil(all_released, &env);
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* Guards against engines that run on after the caller has disconnected. */
START_TEST(a_disconnected_caller_releases_the_engines)
{
    static const char *const until[] = {"", "piece 1"};
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    c = Fw_RouterEnv_SendRequest(&env, "POST /outlook/x", FW_TOKENS);
    while (!Fw_WireServer_ActiveCount(env.p1)) {
        g_main_context_iteration(NULL, TRUE);
    }
    Fw_RigConn_Expect(c, until[_i]);
    Fw_RigConn_Close(c);
    Fw_Rig_RunUntil(all_released, &env);
    Fw_RouterEnv_Free(&env);
}
END_TEST

START_TEST(a_draining_server_gets_no_new_requests)
{
    struct router_env env;
    int before;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_WireServer_SetDraining(env.s1);
    while (Fw_Relayd_IsServerUsable(env.router, "s1")) {
        g_main_context_iteration(NULL, TRUE);
    }
    before = Fw_WireServer_StartedCount(env.s1);
    for (int i = 0; i < 8; i++) {
        ck_assert(!Fw_RouterEnv_IsRejected(&env));
    }
    ck_assert_int_eq(Fw_WireServer_StartedCount(env.s1), before);
    Fw_RouterEnv_Free(&env);
}
END_TEST

static int
is_stopped(void *ctx)
{
    return Fw_Relayd_IsStopped(((struct router_env *)ctx)->router);
}

/*
 * Guards against a shutdown that truncates a running stream, or that leaves
 * the readiness check successful.
 */
START_TEST(shutdown_completes_running_streams)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    c = Fw_RouterEnv_SendRequest(&env, "POST /outlook/x", FW_TOKENS);
    Fw_RigConn_Expect(c, "piece 1");
    Fw_Relayd_Drain(env.router);
    ck_assert(!Fw_RouterEnv_IsReady(&env));
    Fw_RigConn_Expect(c, "\r\n0\r\n\r\n");
    Fw_Rig_RunUntil(is_stopped, &env);
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/*
 * The reader of the log stops reading. Guards against requests that wait for
 * it; log lines are dropped and counted instead.
 */
START_TEST(a_stalled_log_reader_blocks_no_request)
{
    struct router_env env;
    int fds[2];

    ck_assert_int_eq(pipe(fds), 0);
    Fw_RouterEnv_InitAndStart(&env);
    Fw_Logger_SetupNonblocking("n1", fds[1], 4096);
    for (int i = 0; i < 600; i++) {
        ck_assert(!Fw_RouterEnv_IsRejected(&env));
    }
    ck_assert_int_gt(Fw_Logger_DroppedLines(), 0);
    Fw_Logger_SetupNonblocking("n1", env.null_fd, 65536);
    Fw_RouterEnv_Free(&env);
    close(fds[0]);
    close(fds[1]);
}
END_TEST

/** struct log_reader - @len: bytes of the log in @text. */
struct log_reader {
    int fd;
    size_t len;
    char text[65536];
};

static int
has_unsent_digest(void *ctx)
{
    struct log_reader *reader = ctx;
    ssize_t n = read(reader->fd, reader->text + reader->len,
                     sizeof(reader->text) - 1 - reader->len);

    reader->len += n > 0 ? (size_t)n : 0;
    return strstr(reader->text, "\"digest_unsent\"") != NULL;
}

/*
 * An instance has registered an invalid address. The log must name it, since
 * rate limits are divided wrongly while digests do not reach it.
 */
START_TEST(an_unsent_digest_is_logged)
{
    struct log_reader reader = {0};
    struct router_env env;
    int fds[2];

    ck_assert_int_eq(pipe(fds), 0);
    ck_assert_int_eq(fcntl(fds[0], F_SETFL, O_NONBLOCK), 0);
    Fw_RouterEnv_Init(&env);
    env.opts.relay.digest_period_us = 20 * FW_MSEC;
    Fw_RouterEnv_StartRouter(&env);
    Fw_Logger_SetupNonblocking("n1", fds[1], 65536);
    reader.fd = fds[0];
    Fw_WireStore_Put(env.store, "keyed.fuchsiaward", "n9",
                     "{\"addr\":\"nowhere\",\"boot\":1}");
    Fw_Rig_RunUntil(has_unsent_digest, &reader);
    ck_assert_ptr_nonnull(strstr(reader.text, "nowhere"));
    Fw_Logger_SetupNonblocking("n1", env.null_fd, 65536);
    Fw_RouterEnv_Free(&env);
    close(fds[0]);
    close(fds[1]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relayd");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, a_stream_goes_through_prefill_and_decode);
    tcase_add_test(tc, reserved_fields_of_callers_are_dropped);
    tcase_add_loop_test(tc, a_request_to_a_faulty_server_is_retried_when_safe,
                        0, G_N_ELEMENTS(fault_cases));
    tcase_add_loop_test(tc, a_truncated_stream_is_not_ended_as_complete, 0,
                        G_N_ELEMENTS(broken_streams));
    tcase_add_loop_test(tc, a_disconnected_caller_releases_the_engines, 0, 2);
    tcase_add_test(tc, a_draining_server_gets_no_new_requests);
    tcase_add_test(tc, shutdown_completes_running_streams);
    tcase_add_test(tc, an_unsent_digest_is_logged);
    tcase_add_test(tc, a_stalled_log_reader_blocks_no_request);
    return Fw_Suite_Run(tc);
}
