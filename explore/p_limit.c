/*
 * rate-and-burst: what all instances together grant of a team's tokens never
 * exceeds its burst and its rate over any stretch of time.
 */
#include "explore/p_limit.h"

#include "explore/p_fleet.h"

#define SITES 3
#define TERM_US (20 * FW_SEC)
#define DRIFT_PPM (FW_ROLE_DRIFT_PPM / 2)

void
Fw_Explore_Limit(struct fw_run *run)
{
    struct fw_fleet_env w;
    struct fw_limit_check c;
    int refunds;
    int busy; /* many small requests, for which instances get own leases */

    Fw_FleetEnv_Init(&w, run, SITES);
    Fw_LimitCheck_Init(&c, &w, TERM_US);
    c.strict = 1;
    busy = Fw_FleetEnv_Below(&w, 2);
    refunds = Fw_FleetEnv_Below(&w, 2); /* without them the check is sharper */
    w.lose_pct = 3;
    w.double_pct = 8;
    w.delay_pct = 4;
    w.delay_max_us = 40 * FW_SEC; /* longer than a lease lives */
    for (int i = 0; i < SITES; i++) {
        w.sites[i].drift_ppm =
            Fw_FleetEnv_Below(&w, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
        Fw_FleetEnv_Start(&w, i);
    }
    for (int s = 0; s < run->steps && !run->breach[0]; s++) {
        int team = Fw_FleetEnv_Below(&w, FW_ACCOUNT_TEAMS);
        int hot = busy && s % 200 < 100;
        int asks = Fw_FleetEnv_Below(&w, hot ? 40 : 4);
        Fw_FleetEnv_Advance(&w, Fw_FleetEnv_Below(&w, 800) * FW_MSEC);
        for (int i = 0; i < asks; i++) {
            int64_t most = c.accounts[team].team.burst / (hot ? 100 : 4);
            Fw_LimitCheck_Ask(&c, &w, Fw_FleetEnv_Below(&w, SITES), team,
                              1 + Fw_FleetEnv_Below(&w, (gint32)most));
        }
        if (refunds && Fw_FleetEnv_Below(&w, 100) < 20) {
            Fw_LimitCheck_RefundRandom(&c, &w);
        }
        if (Fw_FleetEnv_Below(&w, 100) < 3) {
            Fw_FleetEnv_InjectFault(&w);
        }
        if (Fw_FleetEnv_Below(&w, 100) < 2) {
            Fw_FleetEnv_ClearFaults(&w);
        }
    }
    Fw_Run_Trace(run, "large: granted %d refused %d wrongful %d",
                 c.accounts[0].granted, c.accounts[0].refused,
                 c.accounts[0].wrongful);
    Fw_LimitCheck_Clear(&c, &w);
}
