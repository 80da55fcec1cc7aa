/*
 * members-converge: some time after faults end, each instance knows of each
 * other whether it is up, its boot and whether it drains.
 * one-role-holder: no two instances may act in one role at the same time.
 */
#include "explore/p_fleet.h"

#include "explore/p_fleet_env.h"

#define INSTANCES 3
#define CONVERGENCE_US (40 * FW_SEC)
/* Two clocks differ by at most twice this. */
#define DRIFT_PPM (FW_ROLE_DRIFT_PPM / 2)

static void
start_all(struct fw_fleet_env *env)
{
    for (int i = 0; i < env->n; i++) {
        env->instances[i].drift_ppm =
            Fw_FleetEnv_RandBelow(env, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
        Fw_FleetEnv_Start(env, i);
        Fw_FleetEnv_Advance(env, Fw_FleetEnv_RandBelow(env, 300) * FW_MSEC);
    }
}

void
Fw_FleetEnv_InjectFault(struct fw_fleet_env *env)
{
    int i = Fw_FleetEnv_RandBelow(env, env->n);
    int j = (i + 1 + Fw_FleetEnv_RandBelow(env, env->n - 1)) % env->n;
    double at = (double)env->real_us / FW_SEC;
    const char *name = env->instances[i].self.name;

    switch (Fw_FleetEnv_RandBelow(env, 6)) {
    case 0:
        if (env->instances[i].up) {
            Fw_Run_Trace(env->run, "%8.3f kill %s", at, name);
            Fw_FleetEnv_Kill(env, i);
            break;
        }
        Fw_Run_Trace(env->run, "%8.3f start %s", at, name);
        Fw_FleetEnv_Start(env, i);
        break;
    case 1:
        Fw_Run_Trace(env->run, "%8.3f pause %s", at, name);
        Fw_FleetEnv_Pause(env, i, Fw_FleetEnv_RandBelow(env, 30) * FW_SEC);
        break;
    case 2:
    case 3:
        Fw_Run_Trace(env->run, "%8.3f %s %s %s", at,
                     env->instances[i].link_down[j] ? "join" : "cut", name,
                     env->instances[j].self.name);
        Fw_FleetEnv_SetLinkDown(env, i, j, !env->instances[i].link_down[j]);
        break;
    case 4:
        env->log_down = !env->log_down;
        Fw_Run_Trace(env->run, "%8.3f log %s", at,
                     env->log_down ? "down" : "up");
        break;
    case 5:
        if (Fw_FleetEnv_IsRunning(env, i) && !env->instances[i].draining) {
            Fw_Run_Trace(env->run, "%8.3f drain %s", at, name);
            Fw_FleetEnv_Drain(env, i);
        }
        break;
    }
}

void
Fw_FleetEnv_ClearFaults(struct fw_fleet_env *env)
{
    env->log_down = 0;
    for (int i = 0; i < env->n; i++) {
        env->instances[i].pause_until_us = 0;
        for (int j = 0; j < env->n; j++) {
            env->instances[i].link_down[j] = 0;
        }
    }
    Fw_Run_Trace(env->run, "%8.3f clear faults",
                 (double)env->real_us / FW_SEC);
}

/* Return: nonzero when member @m describes the instance @peer. Suspect is as
 * good as alive, since suspect members are still used. */
static int
matches_instance(const struct fw_fleet_env_instance *peer,
                 const struct fw_member *m)
{
    if (!peer->up) {
        return !m || m->state == FW_MEMBER_DEAD;
    }
    if (!m || m->boot != peer->self.boot) {
        return 0;
    }
    return peer->draining ? m->state == FW_MEMBER_LEAVING
                          : m->state <= FW_MEMBER_SUSPECT;
}

static void
check_converged(struct fw_fleet_env *env)
{
    for (int i = 0; i < env->n; i++) {
        for (int j = 0; j < env->n; j++) {
            const struct fw_fleet_env_instance *peer = &env->instances[j];
            const struct fw_member *m;
            if (!env->instances[i].up) {
                continue;
            }
            m = Fw_Fleet_Find(env->instances[i].fleet, peer->self.name);
            if (!matches_instance(peer, m)) {
                Fw_Run_Fail(env->run, "%s has %s, which is %s, in state %d",
                            env->instances[i].self.name, peer->self.name,
                            peer->up ? "up" : "down", m ? (int)m->state : -1);
            }
        }
    }
}

void
Fw_Explore_Members(struct fw_run *run)
{
    struct fw_fleet_env env;

    Fw_FleetEnv_Init(&env, run, INSTANCES);
    env.loss_pct = 5;
    env.duplicate_pct = 5;
    env.delay_pct = 5;
    env.delay_max_us = 5 * FW_SEC;
    start_all(&env);
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        Fw_FleetEnv_Advance(&env, Fw_FleetEnv_RandBelow(&env, 1000) * FW_MSEC);
        if (Fw_FleetEnv_RandBelow(&env, 100) < 10) {
            Fw_FleetEnv_InjectFault(&env);
        }
        if (Fw_FleetEnv_RandBelow(&env, 100) < 2) {
            Fw_FleetEnv_ClearFaults(&env);
            Fw_FleetEnv_PublishInstances(&env);
            env.loss_pct = 0;
            Fw_FleetEnv_Advance(&env, CONVERGENCE_US);
            check_converged(&env);
            env.loss_pct = 5;
        }
    }
    Fw_FleetEnv_Clear(&env);
}

static void
check_holders(struct fw_fleet_env *env, void *arg)
{
    (void)arg;
    for (int k = 0; k < (int)FW_ROLE_KINDS; k++) {
        const char *holder = NULL;
        for (int i = 0; i < env->n; i++) {
            const struct fw_fleet_env_instance *inst = &env->instances[i];
            if (!Fw_FleetEnv_IsRunning(env, i) ||
                Fw_Roles_MayAct(inst->roles, (enum fw_role_kind)k, 0,
                                Fw_FleetEnv_LocalTime(env, i), NULL)) {
                continue;
            }
            if (holder) {
                Fw_Run_Fail(env->run, "at %.3f both %s and %s act on role %d",
                            (double)env->real_us / FW_SEC, holder,
                            inst->self.name, k);
            }
            holder = inst->self.name;
        }
    }
}

void
Fw_Explore_Roles(struct fw_run *run)
{
    struct fw_fleet_env env;

    Fw_FleetEnv_Init(&env, run, INSTANCES);
    env.use_roles = 1;
    env.role_wait_us[FW_ROLE_BUDGET] = 3 * FW_SEC;
    env.loss_pct = 5;
    env.duplicate_pct = 5;
    env.delay_pct = 5;
    env.delay_max_us = 20 * FW_SEC;
    env.check = check_holders;
    start_all(&env);
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        Fw_FleetEnv_Advance(&env, Fw_FleetEnv_RandBelow(&env, 1000) * FW_MSEC);
        if (Fw_FleetEnv_RandBelow(&env, 100) < 8) {
            Fw_FleetEnv_InjectFault(&env);
        }
        if (Fw_FleetEnv_RandBelow(&env, 100) < 4) {
            Fw_FleetEnv_ClearFaults(&env);
        }
        if (Fw_FleetEnv_RandBelow(&env, 200) < 1 && env.records->len > 3) {
            env.log_oldest = env.records->len - 2; /* older ones expire */
        }
    }
    Fw_FleetEnv_Clear(&env);
}
