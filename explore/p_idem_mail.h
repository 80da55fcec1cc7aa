/* Shared by the files of the idempotency environment. */
#ifndef FW_EXPLORE_P_IDEM_MAIL_H
#define FW_EXPLORE_P_IDEM_MAIL_H

#include "explore/p_idem_env.h"

/* From one instance to another, or to the log. */
#define FW_IDEM_ENV_HOP_US (1 * FW_MSEC)

enum fw_idem_env_delivery_kind {
    FW_IDEM_ENV_APPEND, /* reaches the log */
    FW_IDEM_ENV_READ,
    FW_IDEM_ENV_APPENDED, /* reaches an instance */
    FW_IDEM_ENV_RECORDS,
    FW_IDEM_ENV_MSG,
};

/** struct fw_idem_env_delivery - something under way. */
struct fw_idem_env_delivery {
    enum fw_idem_env_delivery_kind kind;
    int64_t at_us;
    int instance;
    uint64_t boot;
    uint64_t ticket;
    int part;
    uint64_t from;
    int max;
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

struct fw_idem_env_delivery *
Fw_IdemEnv_Schedule(struct fw_idem_env *env,
                    enum fw_idem_env_delivery_kind kind, int instance,
                    int64_t delay_us);
/* p_idem_log.c: what reaches the log. */
void
Fw_IdemEnv_HandleAppend(struct fw_idem_env *env,
                        struct fw_idem_env_delivery *d);
void
Fw_IdemEnv_HandleRead(struct fw_idem_env *env,
                      const struct fw_idem_env_delivery *d);

#endif
