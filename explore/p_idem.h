/* Properties of at-most-once execution, src/idem. */
#ifndef FW_P_IDEM_H
#define FW_P_IDEM_H

#include "explore/explore.h"

void
Fw_Explore_AtMostOnce(struct fw_run *run);
void
Fw_Explore_NotRun(struct fw_run *run);

#endif
