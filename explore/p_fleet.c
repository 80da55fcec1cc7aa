/*
 * members-converge: once messages flow again, each living instance is known
 * to the others as living, under its present boot.
 * one-role-holder: never do two instances act on one role at one instant.
 */
#include "explore/p_fleet.h"

#include "explore/p_fleet_env.h"

#define SITES 3
#define QUIET_US (40 * FW_SEC)
#define DRIFT_PPM (FW_ROLE_DRIFT_PPM / 2) /* two clocks differ by twice it */

static void
start_all(struct fw_fleet_env *w)
{
    for (int i = 0; i < w->n; i++) {
        w->sites[i].drift_ppm =
            Fw_FleetEnv_Below(w, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
        Fw_FleetEnv_Start(w, i);
        Fw_FleetEnv_Advance(w, Fw_FleetEnv_Below(w, 300) * FW_MSEC);
    }
}

void
Fw_FleetEnv_InjectFault(struct fw_fleet_env *w)
{
    int i = Fw_FleetEnv_Below(w, w->n);
    int j = (i + 1 + Fw_FleetEnv_Below(w, w->n - 1)) % w->n;
    double at = (double)w->real_us / FW_SEC;
    const char *name = w->sites[i].self.name;

    switch (Fw_FleetEnv_Below(w, 6)) {
    case 0:
        if (w->sites[i].up) {
            Fw_Run_Trace(w->run, "%8.3f kill %s", at, name);
            Fw_FleetEnv_Kill(w, i);
            break;
        }
        Fw_Run_Trace(w->run, "%8.3f start %s", at, name);
        Fw_FleetEnv_Start(w, i);
        break;
    case 1:
        Fw_Run_Trace(w->run, "%8.3f pause %s", at, name);
        Fw_FleetEnv_Pause(w, i, Fw_FleetEnv_Below(w, 30) * FW_SEC);
        break;
    case 2:
    case 3:
        Fw_Run_Trace(w->run, "%8.3f %s %s %s", at,
                     w->sites[i].link_down[j] ? "join" : "cut", name,
                     w->sites[j].self.name);
        Fw_FleetEnv_Cut(w, i, j, !w->sites[i].link_down[j]);
        break;
    case 4:
        w->log_down = !w->log_down;
        Fw_Run_Trace(w->run, "%8.3f log %s", at, w->log_down ? "down" : "up");
        break;
    case 5:
        if (Fw_FleetEnv_Runs(w, i) && !w->sites[i].draining) {
            Fw_Run_Trace(w->run, "%8.3f drain %s", at, name);
            Fw_FleetEnv_Drain(w, i);
        }
        break;
    }
}

void
Fw_FleetEnv_ClearFaults(struct fw_fleet_env *w)
{
    w->log_down = 0;
    for (int i = 0; i < w->n; i++) {
        w->sites[i].pause_until_us = 0;
        for (int j = 0; j < w->n; j++) {
            w->sites[i].link_down[j] = 0;
        }
    }
    Fw_Run_Trace(w->run, "%8.3f heal", (double)w->real_us / FW_SEC);
}

/* A suspect one is still chosen and asked, so it is not held for gone. */
static int
is_right(const struct fw_fleet_env_instance *them, const struct fw_member *m)
{
    if (!them->up) {
        return !m || m->state == FW_MEMBER_DEAD;
    }
    if (!m || m->boot != them->self.boot) {
        return 0;
    }
    return them->draining ? m->state == FW_MEMBER_LEAVING
                          : m->state <= FW_MEMBER_SUSPECT;
}

static void
check_converged(struct fw_fleet_env *w)
{
    for (int i = 0; i < w->n; i++) {
        for (int j = 0; j < w->n; j++) {
            const struct fw_fleet_env_instance *them = &w->sites[j];
            const struct fw_member *m;
            if (!w->sites[i].up) {
                continue;
            }
            m = Fw_Fleet_Find(w->sites[i].fleet, them->self.name);
            if (!is_right(them, m)) {
                Fw_Run_Breach(w->run, "%s holds %s (%s) for state %d",
                              w->sites[i].self.name, them->self.name,
                              them->up ? "up" : "gone",
                              m ? (int)m->state : -1);
            }
        }
    }
}

void
Fw_Explore_Members(struct fw_run *run)
{
    struct fw_fleet_env w;

    Fw_FleetEnv_Init(&w, run, SITES);
    w.lose_pct = 5;
    w.double_pct = 5;
    w.delay_pct = 5;
    w.delay_max_us = 5 * FW_SEC;
    start_all(&w);
    for (int s = 0; s < run->steps && !run->breach[0]; s++) {
        Fw_FleetEnv_Advance(&w, Fw_FleetEnv_Below(&w, 1000) * FW_MSEC);
        if (Fw_FleetEnv_Below(&w, 100) < 10) {
            Fw_FleetEnv_InjectFault(&w);
        }
        if (Fw_FleetEnv_Below(&w, 100) < 2) {
            Fw_FleetEnv_ClearFaults(&w);
            Fw_FleetEnv_PublishInstances(&w);
            w.lose_pct = 0; /* "messages flow again" */
            Fw_FleetEnv_Advance(&w, QUIET_US);
            check_converged(&w);
            w.lose_pct = 5;
        }
    }
    Fw_FleetEnv_Clear(&w);
}

static void
check_holders(struct fw_fleet_env *w, void *arg)
{
    (void)arg;
    for (int k = 0; k < (int)FW_ROLE_KINDS; k++) {
        const char *holder = NULL;
        for (int i = 0; i < w->n; i++) {
            const struct fw_fleet_env_instance *s = &w->sites[i];
            if (!Fw_FleetEnv_Runs(w, i) ||
                Fw_Roles_MayAct(s->roles, (enum fw_role_kind)k, 0,
                                Fw_FleetEnv_Local(w, i), NULL)) {
                continue;
            }
            if (holder) {
                Fw_Run_Breach(w->run, "at %.3f both %s and %s act on role %d",
                              (double)w->real_us / FW_SEC, holder,
                              s->self.name, k);
            }
            holder = s->self.name;
        }
    }
}

void
Fw_Explore_Roles(struct fw_run *run)
{
    struct fw_fleet_env w;

    Fw_FleetEnv_Init(&w, run, SITES);
    w.use_roles = 1;
    w.wait_us[FW_ROLE_BUDGET] = 3 * FW_SEC;
    w.lose_pct = 5;
    w.double_pct = 5;
    w.delay_pct = 5;
    w.delay_max_us = 20 * FW_SEC;
    w.check = check_holders;
    start_all(&w);
    for (int s = 0; s < run->steps && !run->breach[0]; s++) {
        Fw_FleetEnv_Advance(&w, Fw_FleetEnv_Below(&w, 1000) * FW_MSEC);
        if (Fw_FleetEnv_Below(&w, 100) < 8) {
            Fw_FleetEnv_InjectFault(&w);
        }
        if (Fw_FleetEnv_Below(&w, 100) < 4) {
            Fw_FleetEnv_ClearFaults(&w);
        }
        if (Fw_FleetEnv_Below(&w, 200) < 1 && w.records->len > 3) {
            w.log_oldest = w.records->len - 2; /* older ones age out */
        }
    }
    Fw_FleetEnv_Clear(&w);
}
