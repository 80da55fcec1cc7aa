/* Identity of the instance, and identifiers shared by all subsystems. */
#ifndef FW_CORE_TYPES_H
#define FW_CORE_TYPES_H

#include <stdint.h>

#include "base/limits.h"

/**
 * struct fw_self - identity of this instance.
 * @name: unique among instances, from the settings
 * @boot: boot id, which distinguishes restarts under one name: wall clock time
 *        of the start in milliseconds, as an instance stores no state
 * @addr: "ip:port" that peers connect to
 * @domain: failure domain
 * @region: region; consists of one or more failure domains
 * @regions: number of regions, 0 counts as 1; each gets an equal share of
 *           every team's rate limit
 */
struct fw_self {
    char name[FW_NAME_MAX];
    uint64_t boot;
    char addr[FW_URL_MAX];
    char domain[FW_NAME_MAX];
    char region[FW_NAME_MAX];
    int regions;
};

/*
 * Each subsystem numbers its own upstream calls and log tickets. The top byte
 * identifies the subsystem, so that node/step.c can dispatch the result to it.
 */
#define FW_OWNER_SHIFT 56
#define FW_OWNER_CONFIG 1ULL
#define FW_OWNER_ROLES 2ULL
#define FW_OWNER_IDEM 3ULL
#define FW_OWNER_ROUTE 4ULL
#define FW_OWNER_REQUEST 5ULL
#define FW_OWNER_REAP 6ULL
#define FW_OWNER_ORDER 7ULL
#define FW_OWNER_OPERATE 8ULL

static inline uint64_t
Fw_Owner_MakeId(uint64_t owner, uint64_t n)
{
    return owner << FW_OWNER_SHIFT | n;
}

static inline uint64_t
Fw_Owner_Of(uint64_t number)
{
    return number >> FW_OWNER_SHIFT;
}

/**
 * enum fw_role_kind - roles elected through the log, see fleet/role.h.
 * @FW_ROLE_BUDGET: grants token leases to the teams of one partition
 * @FW_ROLE_ORDER: sends orders to the engines of one partition
 * @FW_ROLE_KINDS: number of kinds
 */
enum fw_role_kind {
    FW_ROLE_BUDGET,
    FW_ROLE_ORDER,
    FW_ROLE_KINDS,
};

#endif
