/* Folds around a log in memory, for the seeded runs of the configuration. */
#ifndef FW_EXPLORE_CONFIG_ENV_H
#define FW_EXPLORE_CONFIG_ENV_H

#include "config/replica.h"
#include "explore/explore.h"

#define FW_CONFIG_ENV_REPLICAS 4
#define FW_CONFIG_ENV_READS_MAX 4

/** struct fw_config_env_stream - offsets start at 1; @expired have aged out.
 */
struct fw_config_env_stream {
    GPtrArray *records;
    uint64_t expired;
};

/** struct fw_config_env_read - a read that the log holds back. */
struct fw_config_env_read {
    struct fw_log_read read;
    int64_t sent_us;
    int open;
};

/** struct fw_config_env_replica - one instance; @last_offset: highest offset
 * in force. */
struct fw_config_env_replica {
    struct fw_config_replica *replica;
    struct fw_config_env_read reads[FW_CONFIG_ENV_READS_MAX];
    int isolated;
    uint64_t last_offset;
};

/**
 * struct fw_config_env - the folds, their log, and what is right.
 * @log_down: the log answers nobody
 * @loss_pct: messages and answers lost, in a hundred
 * @reference: folds each record as it is appended, never fails
 * @digests: of the configuration before each offset, uint64_t
 */
struct fw_config_env {
    struct fw_run *run;
    struct fw_config_env_replica replicas[FW_CONFIG_ENV_REPLICAS];
    struct fw_config_env_stream config;
    struct fw_config_env_stream snapshot;
    int log_down;
    int loss_pct;
    int64_t now_us;
    unsigned starts;
    struct fw_config_state *reference;
    GArray *digests;
};

void
Fw_ConfigEnv_Init(struct fw_config_env *env, struct fw_run *run);
void
Fw_ConfigEnv_Clear(struct fw_config_env *env);
int
Fw_ConfigEnv_RandBelow(struct fw_config_env *env, int n);
void
Fw_ConfigEnv_Start(struct fw_config_env *env, int i);
/* Appends to stream "config"; the verdict goes to @res. */
void
Fw_ConfigEnv_Append(struct fw_config_env *env, const char *text,
                    struct fw_change_result *res);
/* Time goes on, in small steps. */
void
Fw_ConfigEnv_Advance(struct fw_config_env *env, int64_t us);

#endif
