/*
 * Small fakes at the interfaces of two or three instances: a network that
 * loses, doubles, delays and reorders, a log whose answers get lost, clocks
 * that drift. Used by the seeded runs and by the scripted tests.
 */
#ifndef FW_P_FLEET_ENV_H
#define FW_P_FLEET_ENV_H

#include "config/config.h"
#include "explore/explore.h"
#include "fleet/fleet.h"
#include "fleet/role.h"
#include "limit/limit.h"

#define FW_FLEET_ENV_INSTANCES_MAX 64

/**
 * struct fw_fleet_env_instance - one instance under test.
 * @drift_ppm: how much faster than real time its clock runs
 * @up: the process lives; @pause_until_us: in real time
 */
struct fw_fleet_env_instance {
    struct fw_self self;
    struct fw_fleet *fleet;
    struct fw_roles *roles;
    struct fw_limit *limit;
    struct fw_metrics metrics;
    int64_t offset_us;
    int64_t drift_ppm;
    int64_t wake_us; /* by its own clock */
    int64_t pause_until_us;
    int up;
    int draining;
    int link_down[FW_FLEET_ENV_INSTANCES_MAX]; /* messages to that instance are
                                                  lost */
};

/** struct fw_fleet_env - @n sites and what lies between them. */
struct fw_fleet_env {
    struct fw_run *run;
    int64_t real_us;
    int n;
    int partitions;
    int64_t wait_us[FW_ROLE_KINDS];
    struct fw_fleet_env_instance sites[FW_FLEET_ENV_INSTANCES_MAX];
    GPtrArray
        *deliveries;     /* what is under way, struct fw_fleet_env_delivery */
    GPtrArray *records;  /* of the log, char * */
    uint64_t log_oldest; /* oldest offset still kept */
    int log_down;
    int lose_pct;
    int double_pct;
    int delay_pct; /* of messages and log answers */
    int64_t delay_max_us;
    int use_roles;
    const struct fw_config *cfg; /* NULL: no budgets */
    uint64_t n_sent;
    uint64_t n_bytes;
    uint64_t area_bytes[FW_AREA_CONFIG + 1];
    uint64_t area_msgs[FW_AREA_CONFIG + 1];
    /* After every event; @arg is the caller's. */
    void (*check)(struct fw_fleet_env *env, void *arg);
    void *arg;
};

/* Clears @env, makes @n sites that are not up; the caller sets the rest. */
void
Fw_FleetEnv_Init(struct fw_fleet_env *env, struct fw_run *run, int n);
void
Fw_FleetEnv_Clear(struct fw_fleet_env *env);
void
Fw_FleetEnv_Start(struct fw_fleet_env *env, int i);
void
Fw_FleetEnv_Kill(struct fw_fleet_env *env, int i);
void
Fw_FleetEnv_Pause(struct fw_fleet_env *env, int i, int64_t us);
void
Fw_FleetEnv_Drain(struct fw_fleet_env *env, int i);
/* Both ways. */
void
Fw_FleetEnv_Cut(struct fw_fleet_env *env, int i, int j, int cut);
/* Each instance hears the platform's list: all that are up. */
void
Fw_FleetEnv_PublishInstances(struct fw_fleet_env *env);
void
Fw_FleetEnv_Advance(struct fw_fleet_env *env, int64_t us);
int64_t
Fw_FleetEnv_Local(const struct fw_fleet_env *env, int i);
int
Fw_FleetEnv_Runs(const struct fw_fleet_env *env, int i);
/* Carries out what a step of instance @i put out, and clears it. */
void
Fw_FleetEnv_Carry(struct fw_fleet_env *env, int i, struct fw_actions *out);
gint32
Fw_FleetEnv_Below(struct fw_fleet_env *env, gint32 n);

#endif
