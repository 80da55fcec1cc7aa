/*
 * Test fixture: configuration replicas with a simulated log and clock. Reads
 * wait for records as in the real log. Tests can make the log unreachable,
 * expire its records and lose the results of appends.
 */
#ifndef FW_TESTS_CONFIG_RIG_H
#define FW_TESTS_CONFIG_RIG_H

#include "config/replica.h"
#include "operate/operate.h"

#define FW_RIG_MAX 9
#define FW_RIG_STEP_US (50 * FW_MSEC)

/**
 * struct fw_rig_stream - stream of the log.
 * @records: all records (char *), the first at offset 1
 * @n_expired: number of records, from the first, that can't be read any more
 */
struct fw_rig_stream {
    GPtrArray *records;
    uint64_t n_expired;
};

/** struct fw_rig_read - pending read, if @open. */
struct fw_rig_read {
    struct fw_log_read read;
    int64_t sent_us;
    int open;
};

/** struct fw_rig_answer - HTTP response to an operator's call. */
struct fw_rig_answer {
    uint64_t call;
    int status;
    char *body;
};

/**
 * struct fw_rig - @n replicas and their log.
 * @partitioned: nonzero if the replica reaches neither the log nor its peers
 * @log_down: nonzero if the log is unreachable for all replicas
 * @lose_appends: number of next appends that succeed but report an error
 * @drop_appends: number of next appends that fail
 * @operates: operator API of each replica
 * @answers: responses to operators' calls (struct fw_rig_answer *)
 * @now: simulated time in microseconds
 * @notes: number of log events by name
 */
struct fw_rig {
    int n;
    struct fw_config_replica *replicas[FW_RIG_MAX];
    struct fw_rig_read reads[FW_RIG_MAX][4];
    int partitioned[FW_RIG_MAX];
    int log_down;
    int lose_appends;
    int drop_appends;
    struct fw_self selves[FW_RIG_MAX];
    struct fw_operate *operates[FW_RIG_MAX];
    GPtrArray *answers;
    int64_t now;
    struct fw_rig_stream config;
    struct fw_rig_stream snapshot;
    GHashTable *notes;
};

struct fw_rig *
Fw_Rig_New(int n);
void
Fw_Rig_Free(struct fw_rig *rig);
/* Replaces replica @i by a new, empty one. */
void
Fw_Rig_Restart(struct fw_rig *rig, int i);
/* Appends a record and returns its offset. */
uint64_t
Fw_Rig_Append(struct fw_rig_stream *s, const char *text);
/*
 * Appends a change that sets the rate of team @name, expecting version @was.
 * Returns its offset.
 */
uint64_t
Fw_Rig_SetRate(struct fw_rig *rig, const char *id, const char *name, int rate,
               uint64_t was);
/* Expires all but the last @keep records of @s. */
void
Fw_Rig_Expire(struct fw_rig_stream *s, uint64_t keep);
/* Runs all replicas for @us microseconds of simulated time. */
void
Fw_Rig_Run(struct fw_rig *rig, int64_t us);
/* Executes one action of replica @i and frees it. */
void
Fw_Rig_Execute(struct fw_rig *rig, int i, struct fw_action *a);
/*
 * Calls the operator API of replica @i with API key @key; @body may be NULL.
 * @call is the number by which the response is found.
 */
void
Fw_Rig_Call(struct fw_rig *rig, int i, uint64_t call, const char *method,
            const char *path, const char *key, const char *body);
/* The response to @call, NULL until there is one. */
const struct fw_rig_answer *
Fw_Rig_FindAnswer(const struct fw_rig *rig, uint64_t call);
/* Rate of team @name at replica @i, -1 when there is no such team. */
int64_t
Fw_Rig_Rate(const struct fw_rig *rig, int i, const char *name);
/* Number of log events named @event. */
int
Fw_Rig_CountNotes(const struct fw_rig *rig, const char *event);

#endif
