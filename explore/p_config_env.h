/*
 * Simulated environment of configuration replicas: an in-memory log that can
 * be down and lose answers, and messages between replicas that can be lost.
 * Replicas are named "node0" and so on.
 */
#ifndef FW_EXPLORE_CONFIG_ENV_H
#define FW_EXPLORE_CONFIG_ENV_H

#include "config/replica.h"
#include "explore/explore.h"

#define FW_CONFIG_ENV_REPLICAS 4
#define FW_CONFIG_ENV_READS_MAX 4

/**
 * struct fw_config_env_stream - a stream of the log; offsets start at 1.
 * @expired: number of oldest records that can no longer be read
 */
struct fw_config_env_stream {
    GPtrArray *records;
    uint64_t expired;
};

/**
 * struct fw_config_env_read - a long-polling read of the log.
 * @open: the read is not answered yet; else the entry is free
 */
struct fw_config_env_read {
    struct fw_log_read read;
    int64_t sent_us;
    int open;
};

/**
 * struct fw_config_env_replica - a replica and its unanswered reads.
 * @isolated: it reaches neither the log nor other replicas
 * @last_offset: next offset of its configuration at the last check
 */
struct fw_config_env_replica {
    struct fw_config_replica *replica;
    struct fw_config_env_read reads[FW_CONFIG_ENV_READS_MAX];
    int isolated;
    uint64_t last_offset;
};

/**
 * struct fw_config_env - the replicas, their log and a reference state.
 * @config: stream of changes
 * @snapshot: stream of snapshots, in parts
 * @log_down: the log fails all reads and appends
 * @loss_pct: percentage of messages and log answers that are lost
 * @starts: number of replicas started, the seed of each one
 * @reference: state with every change of @config applied
 * @digests: entry i is the uint64_t digest of the configuration whose next
 *           offset is i + 1
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
/* Return: random number from 0 to @n - 1. */
int
Fw_ConfigEnv_RandBelow(struct fw_config_env *env, int n);
/* Starts replica @i, or restarts it with an empty state. */
void
Fw_ConfigEnv_Start(struct fw_config_env *env, int i);
/* Appends a change to the configuration stream and applies it to the reference
 * state, whose verdict is stored in @res. */
void
Fw_ConfigEnv_Append(struct fw_config_env *env, const char *text,
                    struct fw_change_result *res);
/* Advances the time by @us, rounded up to 100 ms. */
void
Fw_ConfigEnv_Advance(struct fw_config_env *env, int64_t us);

#endif
