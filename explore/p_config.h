/* Properties of the replicated configuration. */
#ifndef FW_EXPLORE_CONFIG_H
#define FW_EXPLORE_CONFIG_H

#include "explore/explore.h"

void
Fw_Explore_ConfigConverges(struct fw_run *run);
void
Fw_Explore_ConfigReverts(struct fw_run *run);
void
Fw_Explore_LostUpdate(struct fw_run *run);
void
Fw_Explore_WithdrawnKey(struct fw_run *run);

#endif
