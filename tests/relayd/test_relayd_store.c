/* What the router takes from the platform's store, over real sockets. */
#include <string.h>

#include "http/conn.h"
#include "relayd/store_internal.h"
#include "tests/relayd/router_env.h"

START_TEST(a_revoked_key_Fw_RouterEnv_IsRejected)
{
    struct router_env env;

    Fw_RouterEnv_InitAndStart(&env);
    ck_assert(!Fw_RouterEnv_IsRejected(&env));
    Fw_RouterEnv_PutConfig(&env, 2, "\"k2\"");
    Fw_Rig_RunUntil(Fw_RouterEnv_IsRejected, &env);
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
    ck_assert(!Fw_RouterEnv_IsRejected(&env));
    Fw_Rig_RunUntil(Fw_RouterEnv_IsRejected, &env);
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
    ck_assert(!Fw_RouterEnv_IsRejected(&env));
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* Whether no read is held open by the store. */
static int
is_refused(void *ctx)
{
    const struct router_env *env = ctx;
    const struct fw_store_client *s = env->router->store;

    return s->unreachable_since_us && !s->config.exchange;
}

static int
has_read_one_record(void *ctx)
{
    const struct router_env *env = ctx;
    const struct fw_topic_client *tc = &env->router->store->config;

    return tc->next_offset ==
           (uint64_t)Fw_WireStore_RecordCount(env->store, "keyed.op") - 1;
}

/* Guards against keys that are trusted though their withdrawal is unread. */
START_TEST(a_part_of_the_records_is_not_the_newest_configuration)
{
    struct router_env env;
    int64_t put_us;
    int64_t now;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_WireStore_SetMode(env.store, FW_WIRE_STORE_UNAVAILABLE);
    Fw_Rig_RunUntil(is_refused, &env);
    Fw_RouterEnv_PutConfig(&env, 2, FW_KEYS);
    Fw_RouterEnv_PutConfig(&env, 3, "\"k2\"");
    put_us = Fw_Conn_NowUs();
    Fw_WireStore_SetMode(env.store, FW_WIRE_STORE_PARTIAL_READ);
    Fw_Rig_RunUntil(has_read_one_record, &env);
    now = Fw_Conn_NowUs();
    ck_assert_int_gt(Fw_Relay_RulesAgeUs(env.router->relay, now),
                     now - put_us);
    Fw_WireStore_SetMode(env.store, FW_WIRE_STORE_NORMAL);
    Fw_Rig_RunUntil(Fw_RouterEnv_IsRejected, &env);
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
    ck_assert(!Fw_RouterEnv_IsRejected(&env));
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
    ck_assert(!Fw_RouterEnv_IsRejected(&env));
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
        ck_assert(!Fw_RouterEnv_IsRejected(&env));
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
        ck_assert(!Fw_RouterEnv_IsRejected(env));
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
    ck_assert(!Fw_RouterEnv_IsRejected(&env));
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

int
main(void)
{
    TCase *tc = Fw_Suite_New("relayd store");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, a_revoked_key_Fw_RouterEnv_IsRejected);
    tcase_add_loop_test(tc, keys_expire_while_the_store_is_unreachable, 0, 3);
    tcase_add_test(tc, a_part_of_the_records_is_not_the_newest_configuration);
    tcase_add_test(tc, lost_store_responses_block_no_request);
    tcase_add_test(tc, published_instances_are_parsed);
    tcase_add_test(tc, a_restarted_instance_is_still_registered);
    tcase_add_test(tc, malformed_store_records_are_ignored);
    tcase_add_loop_test(tc, an_evacuated_domain_gets_no_requests, 0, 2);
    tcase_add_test(tc, an_instance_starts_with_the_evacuations_in_force);
    return Fw_Suite_Run(tc);
}
