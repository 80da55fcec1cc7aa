/*
 * rate-and-burst: the tokens that all instances together grant a team in any
 * interval never exceed its burst plus its rate times the interval.
 */
#include "explore/p_limit.h"

#include "explore/p_fleet.h"

#define INSTANCES 3
#define LEASE_US (20 * FW_SEC)
#define DRIFT_PPM (FW_ROLE_DRIFT_PPM / 2)

void
Fw_Explore_Limit(struct fw_run *run)
{
    struct fw_fleet_env env;
    struct fw_limit_check checker;
    int refunds;
    int has_bursts; /* of small requests, so that instances obtain leases */

    Fw_FleetEnv_Init(&env, run, INSTANCES);
    Fw_LimitCheck_Init(&checker, &env, LEASE_US);
    checker.fail_on_overspend = 1;
    has_bursts = Fw_FleetEnv_RandBelow(&env, 2);
    refunds =
        Fw_FleetEnv_RandBelow(&env, 2); /* the check is stricter without */
    env.loss_pct = 3;
    env.duplicate_pct = 8;
    env.delay_pct = 4;
    env.delay_max_us = 40 * FW_SEC; /* longer than a lease */
    for (int i = 0; i < INSTANCES; i++) {
        env.instances[i].drift_ppm =
            Fw_FleetEnv_RandBelow(&env, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
        Fw_FleetEnv_Start(&env, i);
    }
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        int team = Fw_FleetEnv_RandBelow(&env, FW_LIMIT_CHECK_TEAMS);
        int in_burst = has_bursts && s % 200 < 100;
        int n_requests = Fw_FleetEnv_RandBelow(&env, in_burst ? 40 : 4);
        Fw_FleetEnv_Advance(&env, Fw_FleetEnv_RandBelow(&env, 800) * FW_MSEC);
        for (int i = 0; i < n_requests; i++) {
            int64_t max_tokens =
                checker.accounts[team].team.burst / (in_burst ? 100 : 4);
            int64_t tokens =
                1 + Fw_FleetEnv_RandBelow(&env, (gint32)max_tokens);

            Fw_LimitCheck_Request(&checker, &env,
                                  Fw_FleetEnv_RandBelow(&env, INSTANCES), team,
                                  tokens);
        }
        if (refunds && Fw_FleetEnv_RandBelow(&env, 100) < 20) {
            Fw_LimitCheck_RefundRandom(&checker, &env);
        }
        if (Fw_FleetEnv_RandBelow(&env, 100) < 3) {
            Fw_FleetEnv_InjectFault(&env);
        }
        if (Fw_FleetEnv_RandBelow(&env, 100) < 2) {
            Fw_FleetEnv_ClearFaults(&env);
        }
    }
    Fw_Run_Trace(run, "large: granted %d refused %d wrongful %d",
                 checker.accounts[0].granted, checker.accounts[0].refused,
                 checker.accounts[0].wrongful);
    Fw_LimitCheck_Clear(&checker, &env);
}
