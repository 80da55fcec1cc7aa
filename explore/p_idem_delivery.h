/* Deliveries within the environment of p_idem_env.h, internal to it. */
#ifndef FW_EXPLORE_P_IDEM_DELIVERY_H
#define FW_EXPLORE_P_IDEM_DELIVERY_H

#include "explore/p_idem_env.h"

/* Latency between instances, and between an instance and the log. */
#define FW_IDEM_ENV_HOP_US (1 * FW_MSEC)

enum fw_idem_env_delivery_kind {
    FW_IDEM_ENV_APPEND, /* to the log */
    FW_IDEM_ENV_READ,
    FW_IDEM_ENV_APPENDED, /* to an instance */
    FW_IDEM_ENV_RECORDS,
    FW_IDEM_ENV_MSG,
};

/**
 * struct fw_idem_env_delivery - a message, or a call or answer of the log.
 * @at_us: time of arrival
 * @instance: instance that receives it or that sent the call
 * @boot: boot of that instance; what is for an earlier process is dropped
 * @partition: selects the stream of the log
 * @from, @max_records: first offset and number of records to read
 * @records: NULL-terminated, owned; appended or read
 * @err: negative errno of an answer; nonzero in an append whose sender has
 *       been told that it failed
 * @first: offset of the first record
 * @oldest, @end: offsets of the oldest record and of the next append
 * @sent_us: when the read was sent
 * @sender, @msg: sender and content of a message
 */
struct fw_idem_env_delivery {
    enum fw_idem_env_delivery_kind kind;
    int64_t at_us;
    int instance;
    uint64_t boot;
    uint64_t ticket;
    int partition;
    uint64_t from;
    int max_records;
    char **records;
    int n;
    int err;
    uint64_t first;
    uint64_t oldest;
    uint64_t end;
    int64_t sent_us;
    char sender[FW_NAME_MAX];
    struct fw_msg msg;
};

/* Return: a new delivery to fill in, owned by @env. */
struct fw_idem_env_delivery *
Fw_IdemEnv_Schedule(struct fw_idem_env *env,
                    enum fw_idem_env_delivery_kind kind, int instance,
                    int64_t delay_us);
/* p_idem_log.c: the log's side of calls. */
void
Fw_IdemEnv_HandleAppend(struct fw_idem_env *env,
                        struct fw_idem_env_delivery *d);
void
Fw_IdemEnv_HandleRead(struct fw_idem_env *env,
                      const struct fw_idem_env_delivery *d);

#endif
