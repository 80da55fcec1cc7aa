/* Callers and engines of the properties about crashes. */
#ifndef FW_EXPLORE_RELAY_CRASH_ENV_H
#define FW_EXPLORE_RELAY_CRASH_ENV_H

#include "explore/relay_crashes.h"

#define FW_STABLE_US (3 * FW_SEC)
/* Requests that were sent so late may not have begun when the run ends. */
#define FW_UNFINISHED_US (2 * FW_SEC)
#define FW_DOCUMENTS 8
#define FW_CULPRITS_MAX 2
/* Fewest sound requests that are compared. */
#define FW_COMPARED_MIN 20
#define FW_NO_CULPRIT (-1)

/** enum culprit_kind - what the requests that crash engines have in common. */
enum culprit_kind {
    FW_MIDDLE_PART,
    FW_FIRST_PART,
    FW_WHOLE_REQUEST,
    FW_CULPRIT_KINDS,
};

/** enum phase - when a sound request was sent. */
enum phase {
    FW_PHASE_NONE,
    FW_PHASE_BEFORE,
    FW_PHASE_AFTER,
    FW_PHASES,
};

/**
 * struct request - a caller's request.
 * @culprit: index of what crashes engines in it, or FW_NO_CULPRIT
 * @has_reached: it reached an engine after the bound
 */
struct request {
    int culprit;
    enum phase phase;
    int64_t sent_us;
    int has_reached;
};

/**
 * struct culprit - what crashes engines.
 * @per_s: requests with it a second
 * @n_crashes: engines that have ended under it
 * @bound_us: from when on it may reach only a few engines, 0 if not yet
 * @n_reached: requests that reached engines after that
 */
struct culprit {
    enum culprit_kind kind;
    double per_s;
    int n_crashes;
    int64_t bound_us;
    int n_reached;
};

/**
 * struct crash_env - the fleet, its engines and its callers.
 * @start_us: time of the run at its begin
 * @onset_us: time after that from which on engines crash
 * @disturbed_us: when each instance last started or thawed
 * @favoured: instance that most requests reach until @favoured_until_us
 * @crash_per_s: crashes for other reasons
 * @same_body: requests differ in nothing but the parts of their prompts
 * @restarts_all: whether all instances are killed and started at once
 * @all_restart_us: when, 0 for no more
 * @store: the platform's store, NULL if no instance reaches it
 */
struct crash_env {
    struct fleet fleet;
    struct crash_engines engines;
    GArray *requests;
    int64_t start_us;
    int64_t onset_us;
    int64_t disturbed_us[FW_FLEET_MAX];
    int n_culprits;
    struct culprit culprits[FW_CULPRITS_MAX];
    int favoured;
    int64_t favoured_until_us;
    double crash_per_s;
    int same_body;
    int restarts_all;
    int64_t all_restart_us;
    struct crash_store *store;
    int sent[FW_PHASES];
    int served[FW_PHASES];
};

/* relay_crash_store.c */
struct crash_store *
Fw_CrashRecords_New(void);
void
Fw_CrashRecords_Free(struct crash_store *s);
/* Instances read and write; the store goes away and returns. */
void
Fw_CrashRecords_Advance(struct crash_env *env);
/* The instance @i has started, and reads the records if the store is there. */
void
Fw_CrashRecords_Start(struct crash_env *env, int i);
/*
 * Kills instances some time after the bound of a culprit, at once or one after
 * the other, each of which starts anew.
 */
void
Fw_CrashRecords_KillInstances(struct crash_env *env,
                              void (*restart)(struct crash_env *, int));

/* Whether the instance has run without a disturbance for the stable window. */
int
Fw_CrashEnv_IsInTouch(const struct crash_env *env, int i);
/* A caller sends a request to some instance; it has the culprit if there is
 * one. */
void
Fw_CrashEnv_SendRequest(struct crash_env *env, int culprit);
/* Carries out what the instance wants done. */
void
Fw_CrashEnv_ApplyActions(struct crash_env *env, int i);

#endif
