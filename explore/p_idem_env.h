/*
 * Simulated environment of at-most-once execution: up to three instances, a
 * log whose appends can be lost, delayed or refused, and a service that counts
 * the effects of the calls it is sent. Used by seeded runs and scripted tests.
 */
#ifndef FW_P_IDEM_ENV_H
#define FW_P_IDEM_ENV_H

#include "fleet/fleet.h"
#include "idem/idem.h"

#define FW_IDEM_ENV_INSTANCES 3
#define FW_IDEM_ENV_PARTITIONS 2

/** enum fw_idem_env_service - how the service treats calls. */
enum fw_idem_env_service {
    FW_IDEM_ENV_SERVICE_ANSWERS,
    FW_IDEM_ENV_SERVICE_LOSES_ANSWER, /* takes effect, the answer is lost */
    FW_IDEM_ENV_SERVICE_REFUSES,      /* the connection is never made */
};

/**
 * struct fw_idem_env_instance - one instance.
 * @up: the process runs
 * @isolated: messages from and to its peers are lost; the log is reached
 * @paused_until_us: the process neither runs nor receives before this time
 * @wake_us: when it wants its next tick
 */
struct fw_idem_env_instance {
    struct fw_self self;
    struct fw_fleet *fleet;
    struct fw_idem *idem;
    struct fw_metrics metrics;
    int up;
    int isolated;
    int64_t paused_until_us;
    int64_t wake_us;
};

/**
 * struct fw_idem_env_call - one call by a caller.
 * @ticket: number of the call, from 1
 * @boot: boot of the instance that received it
 * @key: idempotency key
 * @answered: the claim was answered
 * @told_not_run: the caller was told that the call did not run
 * @sends: how often it was sent to the service; must not exceed 1
 * @finish_us: when the service's response arrives, 0 for none pending
 * @ran: result to report with the response
 */
struct fw_idem_env_call {
    uint64_t ticket;
    int instance;
    uint64_t boot;
    char key[FW_ID_MAX];
    int answered;
    int told_not_run;
    int sends;
    int64_t finish_us;
    enum fw_ran ran;
};

/**
 * struct fw_idem_env_log - the log, one stream per partition, and its faults.
 * @oldest: offset of the first record still stored
 * @down: appends and reads are refused
 * @lose_answers: number of next appends that take effect but time out
 * @drop_appends: number of next appends that fail without effect
 * @delay_appends: number of next appends that fail but take effect later
 * @retain_records: number of records that a stream keeps
 * @latency_us: additional latency of appends and reads
 * @appends: number of appends received
 */
struct fw_idem_env_log {
    GPtrArray *records[FW_IDEM_ENV_PARTITIONS];
    uint64_t oldest[FW_IDEM_ENV_PARTITIONS];
    int down;
    int lose_answers;
    int drop_appends;
    int delay_appends;
    int retain_records;
    int64_t latency_us;
    int appends;
};

/**
 * struct fw_idem_env - instances, log and service.
 * @n: number of instances
 * @deliveries: messages and log calls in flight, fw_idem_env_delivery
 * @calls: calls received, struct fw_idem_env_call
 * @effects: maps an idempotency key to the number of its effects
 * @keys_by_name: maps names of the form "KEY@SECONDS" to idempotency keys
 * @service: how the service treats calls that are sent from now on
 * @trace: borrowed; gets a line for each result of a call
 * @failure: description of the first violation, or empty
 */
struct fw_idem_env {
    int n;
    struct fw_idem_env_instance instances[FW_IDEM_ENV_INSTANCES];
    struct fw_idem_env_log log;
    GPtrArray *deliveries;
    GPtrArray *calls;
    GHashTable *effects;
    GHashTable *keys_by_name;
    enum fw_idem_env_service service;
    int64_t now_us;
    GString *trace;
    char failure[200];
};

/* Starts @n instances. */
void
Fw_IdemEnv_Init(struct fw_idem_env *env, int n, GString *trace);
void
Fw_IdemEnv_Clear(struct fw_idem_env *env);
/* Starts a killed instance, which has lost its state. */
void
Fw_IdemEnv_Start(struct fw_idem_env *env, int instance);
/* Kills the process; does nothing when it is down. */
void
Fw_IdemEnv_Kill(struct fw_idem_env *env, int instance);
/*
 * Submits a call; does nothing when the instance is down or paused. @name is
 * an idempotency key, or "KEY@SECONDS" for a key that was issued that many
 * seconds ago and carries its time of issue.
 */
void
Fw_IdemEnv_SubmitCall(struct fw_idem_env *env, int instance, const char *name,
                      const char *body);
void
Fw_IdemEnv_Advance(struct fw_idem_env *env, int64_t us);

#endif
