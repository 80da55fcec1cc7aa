/*
 * Properties of request handling, checked on one instance with simulated
 * engines, callers and log.
 */
#ifndef FW_EXPLORE_P_REQUEST_H
#define FW_EXPLORE_P_REQUEST_H

#include "explore/explore.h"

void
Fw_Explore_Requests(struct fw_run *run);
void
Fw_Explore_PlannedStop(struct fw_run *run);

#endif
