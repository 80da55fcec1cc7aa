/*
 * Simulated environment of a fleet: a network that loses, duplicates, delays
 * and reorders messages, a log that can be down or lose answers, and clocks
 * that drift. Used by seeded runs, scripted tests and benchmarks.
 *
 * Real time is the time of the simulation; an instance sees only its own
 * clock, called local time.
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
 * struct fw_fleet_env_instance - one instance.
 * @roles: NULL unless the environment uses roles
 * @limit: NULL unless the environment has a configuration
 * @offset_us: lead of its clock over real time, without the drift
 * @drift_ppm: how much faster than real time its clock runs
 * @wake_us: when it wants its next tick, in local time
 * @pause_until_us: real time before which it neither runs nor receives
 * @up: the process runs
 * @draining: it was told to drain
 * @link_down: messages from it to the instance of that index are lost
 */
struct fw_fleet_env_instance {
    struct fw_self self;
    struct fw_fleet *fleet;
    struct fw_roles *roles;
    struct fw_limit *limit;
    struct fw_metrics metrics;
    int64_t offset_us;
    int64_t drift_ppm;
    int64_t wake_us;
    int64_t pause_until_us;
    int up;
    int draining;
    int link_down[FW_FLEET_ENV_INSTANCES_MAX];
};

/**
 * struct fw_fleet_env - instances, network and log.
 * @real_us: current real time
 * @n: number of instances
 * @partitions, @role_wait_us: arguments of Fw_Roles_New
 * @deliveries: messages and log calls in flight, fw_fleet_env_delivery
 * @records: records of the log, strings; entry i has the offset i + 1
 * @log_oldest: offset of the oldest record that can be read
 * @log_down: the log refuses appends and fails reads
 * @loss_pct: percentage of messages, appends and log answers that are lost
 * @duplicate_pct: percentage of messages that are delivered twice
 * @delay_pct: percentage of messages and log calls that take up to
 *             @delay_max_us
 * @use_roles: instances get roles when they start
 * @cfg: configuration of the rate limiters, borrowed; NULL for no limiters
 * @msgs_sent, @bytes_sent: number and packed size of messages sent, with those
 *                          that were lost
 * @area_bytes, @area_msgs: the same by area of the message
 * @check: called with @arg before and after each event; may be NULL
 */
struct fw_fleet_env {
    struct fw_run *run;
    int64_t real_us;
    int n;
    int partitions;
    int64_t role_wait_us[FW_ROLE_KINDS];
    struct fw_fleet_env_instance instances[FW_FLEET_ENV_INSTANCES_MAX];
    GPtrArray *deliveries;
    GPtrArray *records;
    uint64_t log_oldest;
    int log_down;
    int loss_pct;
    int duplicate_pct;
    int delay_pct;
    int64_t delay_max_us;
    int use_roles;
    const struct fw_config *cfg;
    uint64_t msgs_sent;
    uint64_t bytes_sent;
    uint64_t area_bytes[FW_AREA_CONFIG + 1];
    uint64_t area_msgs[FW_AREA_CONFIG + 1];
    void (*check)(struct fw_fleet_env *env, void *arg);
    void *arg;
};

/* Initialises @env with @n instances that are not started and without faults;
 * the caller may set other fields before it starts them. */
void
Fw_FleetEnv_Init(struct fw_fleet_env *env, struct fw_run *run, int n);
void
Fw_FleetEnv_Clear(struct fw_fleet_env *env);
/* Starts instance @i as a new process with empty state. */
void
Fw_FleetEnv_Start(struct fw_fleet_env *env, int i);
void
Fw_FleetEnv_Kill(struct fw_fleet_env *env, int i);
/* Pauses instance @i for @us of real time. */
void
Fw_FleetEnv_Pause(struct fw_fleet_env *env, int i, int64_t us);
/* Instance @i must be running. */
void
Fw_FleetEnv_Drain(struct fw_fleet_env *env, int i);
/* Cuts the link between two instances in both directions, or restores it. */
void
Fw_FleetEnv_SetLinkDown(struct fw_fleet_env *env, int i, int j, int down);
/* Passes the platform's list, of the instances that are up, to those that are
 * not paused. */
void
Fw_FleetEnv_PublishInstances(struct fw_fleet_env *env);
/* Advances real time by @us; events end once the run has failed. */
void
Fw_FleetEnv_Advance(struct fw_fleet_env *env, int64_t us);
/* Return: local time of instance @i. */
int64_t
Fw_FleetEnv_LocalTime(const struct fw_fleet_env *env, int i);
/* Return: nonzero when instance @i is up and not paused. */
int
Fw_FleetEnv_IsRunning(const struct fw_fleet_env *env, int i);
/* Performs the actions that instance @i asked for and clears @out. */
void
Fw_FleetEnv_PerformActions(struct fw_fleet_env *env, int i,
                           struct fw_actions *out);
/* Return: random number from 0 to @n - 1. */
gint32
Fw_FleetEnv_RandBelow(struct fw_fleet_env *env, gint32 n);

#endif
