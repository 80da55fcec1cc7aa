/* The promises of the fleet. */
#ifndef FW_P_FLEET_H
#define FW_P_FLEET_H

#include "explore/explore.h"
#include "explore/p_fleet_env.h"

void
Fw_Explore_Members(struct fw_run *run);
void
Fw_Explore_Roles(struct fw_run *run);

/* A fault drawn from the seed; and the end of all that can end. */
void
Fw_FleetEnv_InjectFault(struct fw_fleet_env *env);
void
Fw_FleetEnv_ClearFaults(struct fw_fleet_env *env);

#endif
