/*
 * leaving-gets-no-new-work: no instance routes a request to an engine that has
 * been leaving for some seconds, by its own report or by the platform's list,
 * even when messages are lost and instances pause.
 */
#include "explore/p_route.h"

#include <string.h>

#include "explore/p_route_env.h"

#define INSTANCES 3
/* Time for the instances to learn of a report and act on it. */
#define NOTICE_US (6 * FW_SEC)
#define LIST_INTERVAL_US (5 * FW_SEC)

/**
 * struct leaving - state of the check.
 * @reported_us: when an engine began to report that it leaves, 0 if it stays
 * @listed_us: when the list began to say so, 0 if the engine stays
 * @list: the list says that the engine leaves
 * @read_us: when each instance last read the list
 * @ticket: ticket of the last request
 */
struct leaving {
    struct fw_run *run;
    int64_t reported_us[FW_ROUTE_ENV_ENGINES_MAX];
    int64_t listed_us[FW_ROUTE_ENV_ENGINES_MAX];
    int list[FW_ROUTE_ENV_ENGINES_MAX];
    int64_t read_us[INSTANCES];
    uint64_t ticket;
};

static void
check_engine(struct fw_route_env *env, struct leaving *l, int instance,
             const char *name)
{
    for (int i = 0; i < env->n_engines; i++) {
        if (strcmp(env->engines[i].name, name) != 0) {
            continue;
        }
        if (l->reported_us[i] && env->now_us - l->reported_us[i] > NOTICE_US) {
            Fw_Run_Fail(l->run, "n%d routes to %s %d ms after its report",
                        instance, name,
                        (int)((env->now_us - l->reported_us[i]) / FW_MSEC));
        }
        if (l->listed_us[i] &&
            env->now_us - l->listed_us[i] > NOTICE_US + LIST_INTERVAL_US) {
            Fw_Run_Fail(l->run, "n%d routes to %s long after the list",
                        instance, name);
        }
    }
}

static void
on_answer(struct fw_route_env *env, int instance,
          const struct fw_route_answer *a)
{
    struct leaving *l = env->ctx;

    if (a->status == 0) {
        Fw_Run_Trace(l->run, "%d n%d %s > %s", (int)(env->now_us / FW_MSEC),
                     instance, a->prefill, a->decode);
        check_engine(env, l, instance, a->prefill);
        check_engine(env, l, instance, a->decode);
    }
}

static void
read_list(struct fw_route_env *env, struct leaving *l, int instance)
{
    struct fw_registry_entry e[FW_ROUTE_ENV_ENGINES_MAX] = {0};
    struct fw_registry_snapshot listed = {.n = env->n_engines, .entries = e};

    for (int i = 0; i < env->n_engines; i++) {
        e[i].kind = FW_REGISTRY_UPSTREAM;
        e[i].draining = l->list[i];
        g_strlcpy(e[i].name, env->engines[i].name, sizeof(e[i].name));
    }
    Fw_Router_OnListed(env->router[instance], &listed, env->now_us);
    l->read_us[instance] = env->now_us;
}

static void
toggle_leaving(struct fw_route_env *env, struct leaving *l)
{
    int i = g_rand_int_range(l->run->rand, 0, env->n_engines);
    int by_list = g_rand_boolean(l->run->rand);

    if (by_list) {
        l->list[i] = !l->list[i];
        l->listed_us[i] = l->list[i] ? env->now_us : 0;
    }
    else {
        env->engines[i].leaving = !env->engines[i].leaving;
        l->reported_us[i] = env->engines[i].leaving ? env->now_us : 0;
    }
    Fw_Run_Trace(l->run, "%d %s %s%s", (int)(env->now_us / FW_MSEC),
                 env->engines[i].name, by_list ? "listed as " : "reports ",
                 (by_list ? l->list[i] : env->engines[i].leaving) ? "leaving"
                                                                  : "stays");
}

static void
toggle_pause(struct fw_route_env *env, struct leaving *l)
{
    int i = g_rand_int_range(l->run->rand, 0, env->n);

    env->paused[i] = !env->paused[i];
    if (!env->paused[i]) {
        env->wake_us[i] = env->now_us;
    }
    Fw_Run_Trace(l->run, "%d n%d %s", (int)(env->now_us / FW_MSEC), i,
                 env->paused[i] ? "pauses" : "resumes");
}

/* Submits a request and cancels it on all instances. */
static void
submit_request(struct fw_route_env *env, struct leaving *l)
{
    int instance = g_rand_int_range(l->run->rand, 0, env->n);

    if (env->paused[instance]) {
        return;
    }
    l->ticket++;
    Fw_RouteEnv_SubmitRequest(env, instance, l->ticket, "a", 100, NULL);
    Fw_RouteEnv_Advance(env, 30 * FW_MSEC);
    for (int i = 0; i < env->n; i++) {
        if (!env->paused[i]) {
            Fw_RouteEnv_ReportStep(env, i, l->ticket, FW_STEP_CANCELLED, NULL);
        }
    }
}

void
Fw_Explore_Leaving(struct fw_run *run)
{
    struct leaving l = {.run = run};
    struct fw_route_env *env = Fw_RouteEnv_New(INSTANCES, FW_POLICY_FULL);

    env->ctx = &l;
    env->on_answer = on_answer;
    env->rand = run->rand;
    for (int i = 0; i < run->steps && !run->failure[0]; i++) {
        int x = g_rand_int_range(run->rand, 0, 100);

        for (int n = 0; n < env->n; n++) {
            if (!env->paused[n] &&
                env->now_us - l.read_us[n] >= LIST_INTERVAL_US) {
                read_list(env, &l, n);
            }
        }
        if (x < 4) {
            toggle_leaving(env, &l);
        }
        else if (x < 6) {
            toggle_pause(env, &l);
        }
        else if (x < 8) {
            env->loss_permille = g_rand_int_range(run->rand, 0, 500);
        }
        else if (x < 50) {
            submit_request(env, &l);
        }
        else {
            Fw_RouteEnv_Advance(env,
                                g_rand_int_range(run->rand, 1, 300) * FW_MSEC);
        }
    }
    Fw_RouteEnv_Free(env);
}
