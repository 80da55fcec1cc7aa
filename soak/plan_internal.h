/* Shared by the files of the soak's plan of faults. */
#ifndef FW_SOAK_PLAN_INTERNAL_H
#define FW_SOAK_PLAN_INTERNAL_H

#include "soak/soak.h"

enum fault {
    FW_RELAY_TERM,
    FW_RELAY_SERIES,
    FW_RELAY_KILL,
    FW_RELAY_PAUSE,
    FW_RELAY_RELOAD,
    FW_RELAYS_PAUSE,
    FW_RELAY_STORE_SILENT,
    FW_RELAY_STORE_ONE_WAY,
    FW_RELAY_STORE_DELAY,
    FW_RELAY_STORE_RESET,
    FW_STORE_DOWN,
    FW_STORE_MUTE,
    FW_STORE_LOSES,
    FW_STORE_FORGETS,
    FW_SERVER_KILL,
    FW_SERVER_DRAIN,
    FW_SERVER_SILENT,
    FW_SERVER_ONE_WAY,
    FW_SERVER_DELAY,
    FW_SERVER_RESET,
    FW_SERVER_FULL,
    FW_SERVER_ERROR,
    FW_SERVER_STALL,
    FW_SERVER_PARTIAL,
    FW_SERVER_EMPTY,
    FW_SERVER_BREAKS,
    FW_SERVER_LIMIT,
    FW_SERVER_REST,
    FW_SERVER_LEAVES,
    FW_SERVER_UNMARKED,
    FW_SERVER_REMOVED,
    FW_KEY_WITHDRAWN,
    FW_CRASHING_PART,
    FW_CROWD,
    FW_FAULTS,
};

/**
 * struct entry - a fault.
 * @target: of the instances, or of the servers
 * @rolls: all instances are killed, one after the other
 */
struct entry {
    struct soak *soak;
    enum fault fault;
    int target;
    guint for_ms;
    int rolls;
};

/* What a proxy does while the fault lasts. */
enum fw_proxy_mode
Fw_SoakPlan_ProxyMode(enum fault f);
void
Fw_SoakPlan_BeginServerFault(struct entry *e);
void
Fw_SoakPlan_EndServerFault(struct entry *e);

#endif
