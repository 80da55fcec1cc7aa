/* Deliveries within the environment of p_fleet_env.h, internal to it. */
#ifndef FW_P_FLEET_DELIVERY_H
#define FW_P_FLEET_DELIVERY_H

#include "explore/p_fleet_env.h"

/** enum fw_fleet_env_delivery_kind - a message, or a call or answer of the
 * log. */
enum fw_fleet_env_delivery_kind {
    FW_FLEET_ENV_MSG,
    FW_FLEET_ENV_APPEND,   /* to the log */
    FW_FLEET_ENV_APPENDED, /* answer to an append */
    FW_FLEET_ENV_READ,     /* to the log */
    FW_FLEET_ENV_RECORDS,  /* answer to a read */
};

/**
 * struct fw_fleet_env_delivery - a message or log call in flight.
 * @at_us: real time of arrival
 * @instance: receiver of a message, or the instance that called the log
 * @from: sender of a message
 * @boot: boot of the process that called the log
 * @offset: first offset to read, or offset of the first record of an answer
 * @err: negative errno of an answer
 * @sent_us: local time at which a read was sent
 * @until_us: of a read, real time until which the log may wait for records; of
 *            its answer, offset of the next append
 * @msg: packed message
 * @records: strings to append, or read
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

/* Return: the delivery that is due first, the older one of equals, or NULL. */
struct fw_fleet_env_delivery *
Fw_FleetEnv_NextDelivery(const struct fw_fleet_env *env);
/* Removes @d from the queue, performs and frees it; or postpones it when its
 * receiver is paused. */
void
Fw_FleetEnv_PerformDelivery(struct fw_fleet_env *env,
                            struct fw_fleet_env_delivery *d);
void
Fw_FleetEnv_FreeDelivery(struct fw_fleet_env_delivery *d);

#endif
