/* A store that answers some instances and not others. */
#include <string.h>

#include "relay/relay_internal.h"
#include "relayd/store_internal.h"
#include "tests/relayd/router_env.h"

/** struct mute_env - @mute: a store without answers; @peer: an instance */
struct mute_env {
    struct router_env router;
    struct rig_server *mute;
    struct rig_server *peer;
};

static int
has_received(const struct rig_server *s, const char *text)
{
    for (guint i = 0; i < s->conns->len; i++) {
        const struct rig_conn *c = g_ptr_array_index(s->conns, i);

        if (strstr(c->received->str, text)) {
            return 1;
        }
    }
    return 0;
}

static int
waits_for_the_store(void *ctx)
{
    const struct mute_env *env = ctx;

    return has_received(env->mute, "keyed.op");
}

static int
has_asked_the_peer(void *ctx)
{
    const struct mute_env *env = ctx;

    return has_received(env->peer, "GET /newest/configuration");
}

/* Guards against configurations that wait for a request to time out. */
START_TEST(a_request_that_is_not_answered_delays_no_configuration)
{
    struct mute_env env = {.mute = Fw_RigServer_New(),
                           .peer = Fw_RigServer_New()};
    struct fw_relayd *d;

    Fw_RouterEnv_InitAndStart(&env.router);
    d = env.router.router;
    g_strlcpy(d->opts.store_addr, env.mute->url + strlen("http://"),
              sizeof(d->opts.store_addr));
    Fw_Rig_RunUntil(waits_for_the_store, &env);
    g_strlcpy(d->relay->store_sync.rules_source,
              env.peer->url + strlen("http://"), FW_URL_MAX);
    Fw_Rig_RunUntil(has_asked_the_peer, &env);
    /* The request to the store has not timed out yet. */
    ck_assert_int_eq(d->store->unreachable_since_us, 0);
    Fw_RouterEnv_Free(&env.router);
    Fw_RigServer_Free(env.mute);
    Fw_RigServer_Free(env.peer);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("overdue store");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, a_request_that_is_not_answered_delays_no_configuration);
    return Fw_Suite_Run(tc);
}
