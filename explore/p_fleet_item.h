/* What is under way between the sites and the log. */
#ifndef FW_P_FLEET_ITEM_H
#define FW_P_FLEET_ITEM_H

#include "explore/p_fleet_env.h"

/** enum fw_fleet_env_delivery_kind - a message, or one leg of a call to the
 * log. */
enum fw_fleet_env_delivery_kind {
    FW_FLEET_ENV_MSG,
    FW_FLEET_ENV_APPEND,   /* on its way to the log */
    FW_FLEET_ENV_APPENDED, /* the answer */
    FW_FLEET_ENV_READ,
    FW_FLEET_ENV_RECORDS,
};

/**
 * struct fw_fleet_env_delivery - due at real time @at_us.
 * @instance: whom a message goes to, or whose call it is
 * @boot: of the process that called the log
 * @until_us: how long the log may hold a read back
 */
struct fw_fleet_env_delivery {
    enum fw_fleet_env_delivery_kind kind;
    int64_t at_us;
    int instance;
    int from;
    uint64_t boot;
    uint64_t ticket;
    uint64_t offset;
    int err;
    int64_t sent_us;
    int64_t until_us;
    GBytes *msg;
    GPtrArray *records;
};

/* The item due first, or NULL; the earlier made wins a tie. */
struct fw_fleet_env_delivery *
Fw_FleetEnv_NextDelivery(const struct fw_fleet_env *env);
/* Takes @item off and does it. */
void
Fw_FleetEnv_PerformDelivery(struct fw_fleet_env *env,
                            struct fw_fleet_env_delivery *d);
void
Fw_FleetEnv_FreeDelivery(struct fw_fleet_env_delivery *d);

#endif
