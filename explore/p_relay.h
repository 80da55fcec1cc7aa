/* Seeded runs that check the relay's core. */
#ifndef FW_EXPLORE_RELAY_H
#define FW_EXPLORE_RELAY_H

#include "explore/explore.h"

/* relay_allowance.c */
void
Fw_Explore_RelayAllowance(struct fw_run *run);
void
Fw_Explore_RelayAllowanceLapse(struct fw_run *run);
void
Fw_Explore_RelayAllowanceHubs(struct fw_run *run);
/* relay_hubs.c */
void
Fw_Explore_RelayHubs(struct fw_run *run);
/* relay_requests.c */
void
Fw_Explore_RelayRequests(struct fw_run *run);
/* relay_orders.c */
void
Fw_Explore_RelayOrders(struct fw_run *run);
/* relay_evacuation.c */
void
Fw_Explore_RelayEvacuation(struct fw_run *run);
/* relay_partition.c */
void
Fw_Explore_RelayPartition(struct fw_run *run);
/* relay_retries.c */
void
Fw_Explore_RelayRetries(struct fw_run *run);
/* relay_ranks.c */
void
Fw_Explore_RelayRanks(struct fw_run *run);
/* relay_limits.c */
void
Fw_Explore_RelayLimits(struct fw_run *run);
/* relay_crashing_parts.c */
void
Fw_Explore_RelayCrashingParts(struct fw_run *run);
void
Fw_Explore_RelayKills(struct fw_run *run);
void
Fw_Explore_RelayCrashes(struct fw_run *run);
/* response_ends.c */
void
Fw_Explore_ResponseEnds(struct fw_run *run);
/* relay_freshness.c */
void
Fw_Explore_RelayFreshness(struct fw_run *run);
void
Fw_Explore_RelayFreshnessHubs(struct fw_run *run);

#endif
