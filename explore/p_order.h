/* Properties of the orders sent to engines, src/order. */
#ifndef FW_EXPLORE_ORDER_H
#define FW_EXPLORE_ORDER_H

#include "explore/explore.h"

void
Fw_Explore_PoolRoles(struct fw_run *run);
void
Fw_Explore_OrderFences(struct fw_run *run);

#endif
