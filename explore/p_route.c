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
 * struct leaving_check - state of the check.
 * @reported_us: when an engine began to report that it leaves, 0 if it stays
 * @listed_us: when the list began to say so, 0 if the engine stays
 * @listed_leaving: the list says that the engine leaves
 * @read_us: when each instance last read the list
 * @ticket: ticket of the last request
 */
struct leaving_check {
    struct fw_run *run;
    int64_t reported_us[FW_ROUTE_ENV_ENGINES_MAX];
    int64_t listed_us[FW_ROUTE_ENV_ENGINES_MAX];
    int listed_leaving[FW_ROUTE_ENV_ENGINES_MAX];
    int64_t read_us[INSTANCES];
    uint64_t ticket;
};

static void
check_engine(struct fw_route_env *env, struct leaving_check *check,
             int instance, const char *name)
{
    for (int i = 0; i < env->n_engines; i++) {
        if (strcmp(env->engines[i].name, name) != 0) {
            continue;
        }
        if (check->reported_us[i] &&
            env->now_us - check->reported_us[i] > NOTICE_US) {
            Fw_Run_Fail(
                check->run, "n%d routes to %s %d ms after its report",
                instance, name,
                (int)((env->now_us - check->reported_us[i]) / FW_MSEC));
        }
        if (check->listed_us[i] &&
            env->now_us - check->listed_us[i] > NOTICE_US + LIST_INTERVAL_US) {
            Fw_Run_Fail(check->run, "n%d routes to %s long after the list",
                        instance, name);
        }
    }
}

static void
on_answer(struct fw_route_env *env, int instance,
          const struct fw_route_answer *a)
{
    struct leaving_check *check = env->ctx;

    if (a->status == 0) {
        Fw_Run_Trace(check->run, "%d n%d %s > %s",
                     (int)(env->now_us / FW_MSEC), instance, a->prefill,
                     a->decode);
        check_engine(env, check, instance, a->prefill);
        check_engine(env, check, instance, a->decode);
    }
}

static void
read_list(struct fw_route_env *env, struct leaving_check *check, int instance)
{
    struct fw_registry_entry entries[FW_ROUTE_ENV_ENGINES_MAX] = {0};
    struct fw_registry_snapshot listed = {.n = env->n_engines,
                                          .entries = entries};

    for (int i = 0; i < env->n_engines; i++) {
        entries[i].kind = FW_REGISTRY_UPSTREAM;
        entries[i].draining = check->listed_leaving[i];
        g_strlcpy(entries[i].name, env->engines[i].name,
                  sizeof(entries[i].name));
    }
    Fw_Router_OnListed(env->router[instance], &listed, env->now_us);
    check->read_us[instance] = env->now_us;
}

static void
toggle_leaving(struct fw_route_env *env, struct leaving_check *check)
{
    int i = g_rand_int_range(check->run->rand, 0, env->n_engines);
    int by_list = g_rand_boolean(check->run->rand);

    if (by_list) {
        check->listed_leaving[i] = !check->listed_leaving[i];
        check->listed_us[i] = check->listed_leaving[i] ? env->now_us : 0;
    }
    else {
        env->engines[i].leaving = !env->engines[i].leaving;
        check->reported_us[i] = env->engines[i].leaving ? env->now_us : 0;
    }
    Fw_Run_Trace(check->run, "%d %s %s%s", (int)(env->now_us / FW_MSEC),
                 env->engines[i].name, by_list ? "listed as " : "reports ",
                 (by_list ? check->listed_leaving[i] : env->engines[i].leaving)
                     ? "leaving"
                     : "stays");
}

static void
toggle_pause(struct fw_route_env *env, struct leaving_check *check)
{
    int i = g_rand_int_range(check->run->rand, 0, env->n);

    env->paused[i] = !env->paused[i];
    if (!env->paused[i]) {
        env->wake_us[i] = env->now_us;
    }
    Fw_Run_Trace(check->run, "%d n%d %s", (int)(env->now_us / FW_MSEC), i,
                 env->paused[i] ? "pauses" : "resumes");
}

/* Submits a request and cancels it on all instances. */
static void
submit_request(struct fw_route_env *env, struct leaving_check *check)
{
    int instance = g_rand_int_range(check->run->rand, 0, env->n);

    if (env->paused[instance]) {
        return;
    }
    check->ticket++;
    Fw_RouteEnv_SubmitRequest(env, instance, check->ticket, "a", 100, NULL);
    Fw_RouteEnv_Advance(env, 30 * FW_MSEC);
    for (int i = 0; i < env->n; i++) {
        if (!env->paused[i]) {
            Fw_RouteEnv_ReportStep(env, i, check->ticket, FW_STEP_CANCELLED,
                                   NULL);
        }
    }
}

void
Fw_Explore_Leaving(struct fw_run *run)
{
    struct leaving_check check = {.run = run};
    struct fw_route_env *env = Fw_RouteEnv_New(INSTANCES, FW_POLICY_FULL);

    env->ctx = &check;
    env->on_answer = on_answer;
    env->rand = run->rand;
    for (int i = 0; i < run->steps && !run->failure[0]; i++) {
        int event = g_rand_int_range(run->rand, 0, 100);

        for (int n = 0; n < env->n; n++) {
            if (!env->paused[n] &&
                env->now_us - check.read_us[n] >= LIST_INTERVAL_US) {
                read_list(env, &check, n);
            }
        }
        if (event < 4) {
            toggle_leaving(env, &check);
        }
        else if (event < 6) {
            toggle_pause(env, &check);
        }
        else if (event < 8) {
            env->loss_permille = g_rand_int_range(run->rand, 0, 500);
        }
        else if (event < 50) {
            submit_request(env, &check);
        }
        else {
            Fw_RouteEnv_Advance(env,
                                g_rand_int_range(run->rand, 1, 300) * FW_MSEC);
        }
    }
    Fw_RouteEnv_Free(env);
}
