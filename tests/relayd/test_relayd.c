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

/*
 * An engine fails in the middle of a stream. Guards against a truncated
 * response that looks complete, and against leaked reservations.
 */
START_TEST(a_truncated_stream_is_not_ended_as_complete)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_WireServer_SetFault(env.d1, FW_WIRE_FAULT_TRUNCATE, 1);
    Fw_WireServer_SetFault(env.d2, FW_WIRE_FAULT_TRUNCATE, 1);
    c = Fw_RouterEnv_SendRequest(&env, "POST /outlook/x", FW_TOKENS);
    Fw_RigConn_Expect(c, "piece 2");
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

static int
is_rejected(void *ctx)
{
    struct router_env *env = ctx;
    struct rig_conn *c = Fw_RouterEnv_SendRequest(env, "GET /read/x", "");
    int refused;

    Fw_RigConn_Expect(c, "HTTP/1.1 ");
    refused =
        strstr(c->received->str, " 401 ") || strstr(c->received->str, " 503 ");
    Fw_RigConn_Close(c);
    return refused;
}

START_TEST(a_revoked_key_is_rejected)
{
    struct router_env env;

    Fw_RouterEnv_InitAndStart(&env);
    ck_assert(!is_rejected(&env));
    Fw_RouterEnv_PutConfig(&env, 2, "\"k2\"");
    Fw_Rig_RunUntil(is_rejected, &env);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/*
 * The store becomes unreachable. Guards against keys that are rejected at once
 * or accepted for ever, and against a router that does not recover.
 */
START_TEST(keys_expire_while_the_store_is_unreachable)
{
    static const enum fw_wire_store_mode modes[] = {FW_WIRE_STORE_UNAVAILABLE,
                                                    FW_WIRE_STORE_UNRESPONSIVE,
                                                    FW_WIRE_STORE_UNAVAILABLE};
    struct rig_conn *c;
    struct router_env env;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_WireStore_SetMode(env.store, modes[_i]);
    ck_assert(!is_rejected(&env));
    Fw_Rig_RunUntil(is_rejected, &env);
    ck_assert(!Fw_RouterEnv_IsReady(&env));
    c = Fw_RouterEnv_SendRequest(&env, "GET /public/x", "");
    Fw_RigConn_Expect(c, "Connection: close");
    Fw_RigConn_Expect(c, "the answer");
    Fw_RigConn_Close(c);
    if (_i == 2) {
        Fw_WireStore_Truncate(env.store, "keyed.op");
        Fw_WireStore_Truncate(env.store, "keyed.servers");
    }
    Fw_WireStore_SetMode(env.store, FW_WIRE_STORE_NORMAL);
    Fw_Rig_RunUntil(Fw_RouterEnv_IsReady, &env);
    ck_assert(!is_rejected(&env));
    Fw_RouterEnv_Free(&env);
}
END_TEST

/*
 * The store executes appends but their responses are lost. Guards against
 * registrations repeated without end, and against reads that wait for them.
 */
START_TEST(lost_store_responses_block_no_request)
{
    struct router_env env;
    int before;

    Fw_RouterEnv_Init(&env);
    Fw_WireStore_SetMode(env.store, FW_WIRE_STORE_LOST_REPLIES);
    Fw_RouterEnv_StartRouter(&env);
    ck_assert(!is_rejected(&env));
    while (Fw_WireStore_RecordCount(env.store, "keyed.fuchsiaward") < 2) {
        g_main_context_iteration(NULL, TRUE);
    }
    Fw_WireStore_SetMode(env.store, FW_WIRE_STORE_NORMAL);
    before = Fw_WireStore_RequestCount(env.store);
    while (Fw_WireStore_RequestCount(env.store) < before + 20) {
        g_main_context_iteration(NULL, TRUE);
    }
    ck_assert_int_le(Fw_WireStore_RecordCount(env.store, "keyed.fuchsiaward"),
                     4);
    ck_assert(!is_rejected(&env));
    Fw_RouterEnv_Free(&env);
}
END_TEST

/*
 * Guards against registrations of all instances that are restarted at once,
 * which the store appends one at a time.
 */
START_TEST(a_restarted_instance_is_still_registered)
{
    struct router_env env;
    int before;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_Rig_Settle();
    before = Fw_WireStore_RecordCount(env.store, "keyed.fuchsiaward");
    ck_assert_int_eq(before, 1);
    Fw_Relayd_Free(env.router);
    Fw_RouterEnv_StartRouter(&env);
    Fw_Rig_Settle();
    ck_assert_int_eq(Fw_WireStore_RecordCount(env.store, "keyed.fuchsiaward"),
                     before);
    Fw_Relayd_Free(env.router);
    env.opts.relay.cpu_ppm = 500000;
    Fw_RouterEnv_StartRouter(&env);
    Fw_Rig_Settle();
    ck_assert_int_eq(Fw_WireStore_RecordCount(env.store, "keyed.fuchsiaward"),
                     before + 1);
    Fw_RouterEnv_Free(&env);
}
END_TEST

START_TEST(published_instances_are_parsed)
{
    static const char *const bad[] = {"x",
                                      "{}",
                                      "{\"seen\":1}",
                                      "{\"seen\":[1]}",
                                      "{\"seen\":[\"12\"]}",
                                      "{\"seen\":[\"000000000000000g\"]}"};
    const uint64_t hashes[] = {1, UINT64_MAX, 0xfedcba9876543210};
    GArray *seen = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GArray *parsed;
    char key[FW_ID_MAX];
    char *json;

    g_array_append_vals(seen, hashes, G_N_ELEMENTS(hashes));
    json = Fw_Presence_ToJson(seen);
    parsed = Fw_Presence_Parse(json, strlen(json));
    ck_assert_ptr_nonnull(parsed);
    ck_assert_uint_eq(parsed->len, G_N_ELEMENTS(hashes));
    ck_assert_mem_eq(parsed->data, hashes, sizeof(hashes));
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        ck_assert_ptr_null(Fw_Presence_Parse(bad[i], strlen(bad[i])));
    }
    Fw_Presence_Key("n1", key, sizeof(key));
    ck_assert_str_eq(Fw_Presence_Publisher(key), "n1");
    ck_assert_ptr_null(Fw_Presence_Publisher("n1"));
    g_free(json);
    g_array_unref(parsed);
    g_array_unref(seen);
}
END_TEST

/* Guards against a malformed record that affects valid ones. */
START_TEST(malformed_store_records_are_ignored)
{
    static const char *const bad[] = {
        "not json",
        "{}",
        "[1]",
        "{\"Service\":\"desk\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"a\","
        "\"Slots\":\"4\",\"State\":\"ready\"}",
        "{\"Service\":\"desk\",\"Address\":\"nowhere\",\"Zone\":\"a\","
        "\"Slots\":4,\"State\":\"ready\"}",
        "{\"Service\":\"desk\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"a\","
        "\"Slots\":4,\"State\":\"dancing\"}",
    };
    struct router_env env;

    Fw_RouterEnv_InitAndStart(&env);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        Fw_WireStore_Put(env.store, "keyed.servers", "i-bad", bad[i]);
    }
    Fw_WireStore_Put(env.store, "keyed.op", "config", "{\"Version\":\"x\"}");
    Fw_WireStore_Put(env.store, "keyed.op", "other", "x");
    Fw_Rig_Settle();
    for (int i = 0; i < 8; i++) {
        ck_assert(!is_rejected(&env));
    }
    Fw_RouterEnv_Free(&env);
}
END_TEST

static int
is_s1_usable(void *ctx)
{
    return Fw_Relayd_IsServerUsable(((struct router_env *)ctx)->router, "s1");
}

static int
is_s1_unusable(void *ctx)
{
    return !is_s1_usable(ctx);
}

/* Sends requests and checks that s1 gets none of them. */
static void
check_s1_gets_nothing(struct router_env *env)
{
    int before = Fw_WireServer_StartedCount(env->s1);

    for (int i = 0; i < 8; i++) {
        ck_assert(!is_rejected(env));
    }
    ck_assert_int_eq(Fw_WireServer_StartedCount(env->s1), before);
}

/*
 * The operator evacuates a failure domain and takes that back, also while the
 * store has lost its history. Guards against requests to an evacuated domain,
 * and against one that is never used again.
 */
START_TEST(an_evacuated_domain_gets_no_requests)
{
    struct router_env env;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_Rig_RunUntil(is_s1_usable, &env);
    Fw_WireStore_Put(env.store, "keyed.op", "evacuate/a", "{}");
    Fw_Rig_RunUntil(is_s1_unusable, &env);
    check_s1_gets_nothing(&env);
    Fw_WireStore_Put(env.store, "keyed.op", "evacuate/nowhere", "{}");
    Fw_WireStore_Put(env.store, "keyed.op", "evacuate/a", "not json");
    Fw_WireStore_Put(env.store, "keyed.op", "evacuate/a", "{}");
    Fw_WireStore_Truncate(env.store, "keyed.op");
    Fw_Rig_Settle();
    check_s1_gets_nothing(&env);
    Fw_WireStore_SetMode(env.store, FW_WIRE_STORE_UNAVAILABLE);
    Fw_WireStore_Put(env.store, "keyed.op", "evacuate/a", NULL);
    if (_i) {
        Fw_WireStore_Truncate(env.store, "keyed.op");
    }
    Fw_WireStore_SetMode(env.store, FW_WIRE_STORE_NORMAL);
    Fw_Rig_RunUntil(is_s1_usable, &env);
    ck_assert(!is_rejected(&env));
    Fw_RouterEnv_Free(&env);
}
END_TEST

/*
 * Guards against an instance that takes its first request before it knows of
 * an evacuation.
 */
START_TEST(an_instance_starts_with_the_evacuations_in_force)
{
    struct router_env env;

    Fw_RouterEnv_Init(&env);
    Fw_WireStore_Put(env.store, "keyed.op", "evacuate/a", "{}");
    Fw_RouterEnv_StartRouter(&env);
    check_s1_gets_nothing(&env);
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
        ck_assert(!is_rejected(&env));
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
        ck_assert(!is_rejected(&env));
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
    tcase_add_test(tc, a_truncated_stream_is_not_ended_as_complete);
    tcase_add_loop_test(tc, a_disconnected_caller_releases_the_engines, 0, 2);
    tcase_add_test(tc, a_revoked_key_is_rejected);
    tcase_add_loop_test(tc, keys_expire_while_the_store_is_unreachable, 0, 3);
    tcase_add_test(tc, lost_store_responses_block_no_request);
    tcase_add_test(tc, published_instances_are_parsed);
    tcase_add_test(tc, a_restarted_instance_is_still_registered);
    tcase_add_test(tc, malformed_store_records_are_ignored);
    tcase_add_loop_test(tc, an_evacuated_domain_gets_no_requests, 0, 2);
    tcase_add_test(tc, an_instance_starts_with_the_evacuations_in_force);
    tcase_add_test(tc, a_draining_server_gets_no_new_requests);
    tcase_add_test(tc, shutdown_completes_running_streams);
    tcase_add_test(tc, an_unsent_digest_is_logged);
    tcase_add_test(tc, a_stalled_log_reader_blocks_no_request);
    return Fw_Suite_Run(tc);
}
