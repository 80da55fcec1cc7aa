/*
 * leaving-gets-no-new-work: an engine that says itself that it leaves, or
 * that the platform'env list says leaves, is given no new request a few
 * seconds later, by no instance, whatever becomes of messages and
 * coordinators.
 */
#include "explore/p_route.h"

#include <string.h>

#include "explore/p_route_env.h"

#define NODES 3
#define TICKETS 1000000
/* An engine'env word counts for three seconds and is polled each second. */
#define FEW_SECONDS (6 * FW_SEC)
/* The list is read every five seconds, and lags. */
#define LIST_EVERY_US (5 * FW_SEC)

/** struct leaving - what the check knows. */
struct leaving {
    struct fw_run *run;
    int64_t said_us[FW_ROUTE_ENV_ENGINES_MAX]; /* by the engine, 0: stays */
    int64_t
        listed_us[FW_ROUTE_ENV_ENGINES_MAX]; /* read by the last instance */
    int list[FW_ROUTE_ENV_ENGINES_MAX];      /* what the list says */
    int64_t read_us[NODES];
    uint64_t ticket;
};

static void
check_name(struct route_env *env, struct leaving *l, int node,
           const char *name)
{
    for (int i = 0; i < env->n_engines; i++) {
        if (strcmp(env->engine[i].name, name) != 0) {
            continue;
        }
        if (l->said_us[i] && env->now_us - l->said_us[i] > FEW_SECONDS) {
            Fw_Run_Breach(l->run, "n%d gives %s work %d ms after its word",
                          node, name,
                          (int)((env->now_us - l->said_us[i]) / FW_MSEC));
        }
        if (l->listed_us[i] &&
            env->now_us - l->listed_us[i] > FEW_SECONDS + LIST_EVERY_US) {
            Fw_Run_Breach(l->run, "n%d gives %s work long after the list",
                          node, name);
        }
    }
}

static void
on_answer(struct route_env *env, int node, const struct fw_route_answer *a)
{
    struct leaving *l = env->ctx;

    if (a->status == 0) {
        Fw_Run_Trace(l->run, "%d n%d %s > %s", (int)(env->now_us / FW_MSEC),
                     node, a->prefill, a->decode);
        check_name(env, l, node, a->prefill);
        check_name(env, l, node, a->decode);
    }
}

static void
read_list(struct route_env *env, struct leaving *l, int node)
{
    struct fw_list_entry e[FW_ROUTE_ENV_ENGINES_MAX] = {0};
    struct fw_listed listed = {.n = env->n_engines, .entries = e};

    for (int i = 0; i < env->n_engines; i++) {
        e[i].kind = FW_LIST_UPSTREAM;
        e[i].leaving = l->list[i];
        g_strlcpy(e[i].name, env->engine[i].name, sizeof(e[i].name));
    }
    Fw_Router_OnListed(env->router[node], &listed, env->now_us);
    l->read_us[node] = env->now_us;
}

static void
turn_engine(struct route_env *env, struct leaving *l)
{
    int i = g_rand_int_range(l->run->rand, 0, env->n_engines);
    int by_list = g_rand_boolean(l->run->rand);

    if (by_list) {
        l->list[i] = !l->list[i];
        l->listed_us[i] = l->list[i] ? env->now_us : 0;
    }
    else {
        env->engine[i].leaving = !env->engine[i].leaving;
        l->said_us[i] = env->engine[i].leaving ? env->now_us : 0;
    }
    Fw_Run_Trace(l->run, "%d %s %s%s", (int)(env->now_us / FW_MSEC),
                 env->engine[i].name, by_list ? "list " : "says ",
                 (by_list ? l->list[i] : env->engine[i].leaving) ? "leaving"
                                                                 : "stays");
}

static void
turn_node(struct route_env *env, struct leaving *l)
{
    int i = g_rand_int_range(l->run->rand, 0, env->n);

    env->dead[i] = !env->dead[i];
    if (!env->dead[i]) {
        env->wake_us[i] = env->now_us;
    }
    Fw_Run_Trace(l->run, "%d n%d %s", (int)(env->now_us / FW_MSEC), i,
                 env->dead[i] ? "pauses" : "goes on");
}

static void
ask(struct route_env *env, struct leaving *l)
{
    int node = g_rand_int_range(l->run->rand, 0, env->n);

    if (env->dead[node]) {
        return;
    }
    l->ticket++;
    stage_ask(env, node, l->ticket, "a", 100, NULL);
    stage_run(env, 30 * FW_MSEC);
    for (int i = 0; i < env->n; i++) {
        if (!env->dead[i]) {
            stage_step(env, i, l->ticket, FW_STEP_CANCELLED, NULL);
        }
    }
}

void
Fw_Explore_Leaving(struct fw_run *run)
{
    struct leaving l = {.run = run};
    struct route_env *env = stage_new(NODES, FW_POLICY_FULL);

    env->ctx = &l;
    env->on_answer = on_answer;
    env->rand = run->rand;
    for (int i = 0; i < run->steps && !run->breach[0]; i++) {
        int x = g_rand_int_range(run->rand, 0, 100);

        for (int n = 0; n < env->n; n++) {
            if (!env->dead[n] && env->now_us - l.read_us[n] >= LIST_EVERY_US) {
                read_list(env, &l, n);
            }
        }
        if (x < 4) {
            turn_engine(env, &l);
        }
        else if (x < 6) {
            turn_node(env, &l);
        }
        else if (x < 8) {
            env->lose_permille = g_rand_int_range(run->rand, 0, 500);
        }
        else if (x < 50) {
            ask(env, &l);
        }
        else {
            stage_run(env, g_rand_int_range(run->rand, 1, 300) * FW_MSEC);
        }
    }
    stage_free(env);
}
