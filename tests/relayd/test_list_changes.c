/* Changes of the server list that follow each other closely. */
#include "http/conn.h"
#include "relay/relay_internal.h"
#include "relayd/store_internal.h"
#include "tests/relayd/router_env.h"

/* Longer than a test may take. */
#define FW_POLL_INTERVAL_US (600 * FW_SEC)

static int
is_source_taken(void *ctx)
{
    const struct router_env *env = ctx;
    const struct fw_topic_client *tc = &env->router->store->servers;

    return !env->router->relay->store_sync.list_source[0] && !tc->exchange;
}

/* An instance, here this one, announces a list that differs. */
static void
announce(struct router_env *env)
{
    g_snprintf(env->router->relay->store_sync.list_source, FW_URL_MAX,
               "127.0.0.1:%d", Fw_Server_Port(env->router->peer_server));
}

/*
 * Guards against requests to a server that left just after another one, from
 * an instance that waits for the interval of the store's polls in between.
 */
START_TEST(a_second_change_of_the_list_does_not_wait_for_a_poll)
{
    struct router_env env;
    struct fw_topic_client *tc;

    Fw_RouterEnv_InitAndStart(&env);
    tc = &env.router->store->servers;
    Fw_Rig_RunUntil(is_source_taken, &env);
    env.router->opts.servers_interval_us = FW_POLL_INTERVAL_US;
    tc->next_request_us = 0;
    for (int i = 0; i < 2; i++) {
        announce(&env);
        Fw_Rig_RunUntil(is_source_taken, &env);
    }
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* Entries of a server that can't be used as they are. */
static const char *const unreadable[] = {
    "not JSON",
    "{\"State\":\"draining\"}",
    "{\"Service\":7,\"Address\":\"127.0.0.1:1\",\"Zone\":\"a\",\"Slots\":4,"
    "\"State\":\"draining\"}",
    "{\"Service\":\"desk\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"a\","
    "\"Slots\":0,\"State\":\"draining\"}",
    "{\"Service\":\"desk\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"a\","
    "\"Slots\":4,\"State\":\"leaving\"}",
};

static int
is_out_of_use(void *ctx)
{
    const struct router_env *env = ctx;

    return !Fw_Relay_IsServerUsable(env->router->relay, "s1", Fw_Conn_NowUs());
}

/* Guards against a server in use whose entry does not name it any more. */
START_TEST(an_entry_that_cannot_be_read_ends_the_use_of_its_server)
{
    struct router_env env;

    Fw_RouterEnv_InitAndStart(&env);
    ck_assert(!is_out_of_use(&env));
    Fw_WireStore_Put(env.store, "keyed.servers", "s1", unreadable[_i]);
    Fw_Rig_RunUntil(is_out_of_use, &env);
    ck_assert(
        Fw_Relay_IsServerUsable(env.router->relay, "s2", Fw_Conn_NowUs()));
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("list changes");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, a_second_change_of_the_list_does_not_wait_for_a_poll);
    tcase_add_loop_test(
        tc, an_entry_that_cannot_be_read_ends_the_use_of_its_server, 0,
        G_N_ELEMENTS(unreadable));
    return Fw_Suite_Run(tc);
}
