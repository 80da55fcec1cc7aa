/*
 * Two or three idempotency subsystems stepped side by side, with a small log
 * whose answers can be lost, late or refused, and a service that counts what
 * it was sent. Used by the seeded runs and by the scripted tests.
 */
#ifndef FW_P_IDEM_ENV_H
#define FW_P_IDEM_ENV_H

#include "fleet/fleet.h"
#include "idem/idem.h"

#define FW_IDEM_ENV_INSTANCES 3
#define FW_IDEM_ENV_PARTITIONS 2

/** enum fw_idem_env_service - what becomes of a call that is sent. */
enum fw_idem_env_service {
    FW_IDEM_ENV_SERVICE_ANSWERS,
    FW_IDEM_ENV_SERVICE_LOSES_ANSWER, /* takes effect, the answer is lost */
    FW_IDEM_ENV_SERVICE_REFUSES,      /* the connection is never made */
};

/**
 * struct fw_idem_env_instance - one instance.
 * @paused_us: until then nothing reaches it and it does nothing
 * @cut: peers and this one do not hear each other
 */
struct fw_idem_env_instance {
    struct fw_self self;
    struct fw_fleet *fleet;
    struct fw_idem *idem;
    struct fw_metrics metrics;
    int up;
    int cut;
    int64_t paused_us;
    int64_t wake_us;
};

/**
 * struct fw_idem_env_try - one call by a caller.
 * @told_not_run: its caller was told "not run"
 * @sends: how often it was sent; more than one is a breach
 */
struct fw_idem_env_try {
    uint64_t ticket;
    int instance;
    uint64_t boot;
    char key[FW_ID_MAX];
    int answered;
    int told_not_run;
    int sends;
    int64_t finish_us; /* 0: nothing to finish */
    enum fw_ran ran;
};

/**
 * struct fw_idem_env_log - the streams and their faults.
 * @lose: so many appends take effect and are not answered
 * @drop: so many appends neither take effect nor are answered
 * @late: so many appends take effect long after their answer was given up
 * @retain: records kept a stream
 */
struct fw_idem_env_log {
    GPtrArray *records[FW_IDEM_ENV_PARTITIONS];
    uint64_t oldest[FW_IDEM_ENV_PARTITIONS];
    int down;
    int lose;
    int drop;
    int late;
    int retain;
    int64_t slow_us;
    int appends;
};

/** struct fw_idem_env - everything; @trace gets a line for what a user sees.
 */
struct fw_idem_env {
    int n;
    struct fw_idem_env_instance sites[FW_IDEM_ENV_INSTANCES];
    struct fw_idem_env_log log;
    GPtrArray *deliveries;
    GPtrArray *tries;
    GHashTable *effects;      /* key to count */
    GHashTable *keys_by_name; /* name of the script to key */
    enum fw_idem_env_service service;
    int64_t now_us;
    GString *trace;
    char breach[200];
};

void
Fw_IdemEnv_Init(struct fw_idem_env *env, int n, GString *trace);
void
Fw_IdemEnv_Clear(struct fw_idem_env *env);
void
Fw_IdemEnv_Start(struct fw_idem_env *env, int instance);
/* SIGKILL: all it held is gone. */
void
Fw_IdemEnv_Kill(struct fw_idem_env *env, int instance);
/*
 * A caller's order. @name is a key, or "KEY@SECONDS" for one that carries
 * the time of its making, so many seconds before now.
 */
void
Fw_IdemEnv_Open(struct fw_idem_env *env, int instance, const char *name,
                const char *body);
void
Fw_IdemEnv_Advance(struct fw_idem_env *env, int64_t us);

#endif
