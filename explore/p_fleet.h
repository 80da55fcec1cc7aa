/* Properties of fleet membership and roles. */
#ifndef FW_P_FLEET_H
#define FW_P_FLEET_H

#include "explore/explore.h"
#include "explore/p_fleet_env.h"

void
Fw_Explore_Members(struct fw_run *run);
void
Fw_Explore_Roles(struct fw_run *run);

/* Injects a random fault: kills, starts, pauses or drains an instance, cuts or
 * restores a link, or makes the log fail or recover. */
void
Fw_FleetEnv_InjectFault(struct fw_fleet_env *env);
/* Restores the log and all links and resumes paused instances; killed ones
 * stay down. */
void
Fw_FleetEnv_ClearFaults(struct fw_fleet_env *env);

#endif
