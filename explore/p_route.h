/* Property of the router, src/route. */
#ifndef FW_EXPLORE_P_ROUTE_H
#define FW_EXPLORE_P_ROUTE_H

#include "explore/explore.h"

void
Fw_Explore_Leaving(struct fw_run *run);

#endif
