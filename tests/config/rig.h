/*
 * Folds around a log in memory, stepped side by side. Reads are held back as
 * the log's answers are; the script takes the log away, lets records age out
 * and loses answers.
 */
#ifndef FW_TESTS_CONFIG_RIG_H
#define FW_TESTS_CONFIG_RIG_H

#include "config/fold.h"
#include "operate/operate.h"

#define FW_RIG_MAX 9
#define FW_RIG_STEP_US (50 * FW_MSEC)

/** struct fw_rig_stream - offsets start at 1; @n_expired have aged out. */
struct fw_rig_stream {
    GPtrArray *records;
    uint64_t n_expired;
};

/** struct fw_rig_read - a read that waits for records. */
struct fw_rig_read {
    struct fw_log_read read;
    int64_t sent_us;
    int open;
};

/** struct fw_rig_answer - what the call @call got. */
struct fw_rig_answer {
    uint64_t call;
    int status;
    char *body;
};

/**
 * struct fw_rig - @n folds and their log.
 * @partitioned: the fold at this index reaches neither log nor peers
 * @down: nobody reaches the log
 * @lose_appends: so many appends take effect without an answer
 * @drop_appends: so many have no effect and no answer
 * @operates: the operators' interface beside each fold
 * @answers: what operators were answered
 * @notes: events of the notes put out, counted by name
 */
struct fw_rig {
    int n;
    struct fw_fold *folds[FW_RIG_MAX];
    struct fw_rig_read reads[FW_RIG_MAX][4];
    int partitioned[FW_RIG_MAX];
    int down;
    int lose_appends;
    int drop_appends;
    struct fw_self selves[FW_RIG_MAX];
    struct fw_operate *operates[FW_RIG_MAX];
    GPtrArray *answers; /* struct fw_rig_answer * */
    int64_t now;
    struct fw_rig_stream config;
    struct fw_rig_stream snapshot;
    GHashTable *notes;
};

struct fw_rig *
Fw_Rig_New(int n);
void
Fw_Rig_Free(struct fw_rig *rig);
/* Starts the fold at @i afresh, as a replaced instance does. */
void
Fw_Rig_Restart(struct fw_rig *rig, int i);
/* Return: the record's offset. */
uint64_t
Fw_Rig_Append(struct fw_rig_stream *s, const char *text);
/* A change that gives team @name the rate @rate, made on version @was. */
uint64_t
Fw_Rig_SetRate(struct fw_rig *rig, const char *id, const char *name, int rate,
               uint64_t was);
/* Drops all but the last @keep records of @s. */
void
Fw_Rig_Expire(struct fw_rig_stream *s, uint64_t keep);
void
Fw_Rig_Run(struct fw_rig *rig, int64_t us);
/* Hands one action of fold @i to the log or a peer; frees it. */
void
Fw_Rig_Execute(struct fw_rig *rig, int i, struct fw_action *a);
/* A call of an operator at instance @i, with @key; @body may be NULL. */
void
Fw_Rig_Call(struct fw_rig *rig, int i, uint64_t call, const char *method,
            const char *path, const char *key, const char *body);
/* What it was answered, or NULL so far. */
const struct fw_rig_answer *
Fw_Rig_Answer(const struct fw_rig *rig, uint64_t call);
/* Rate of team @name at fold @i, -1 when there is none. */
int64_t
Fw_Rig_Rate(const struct fw_rig *rig, int i, const char *name);
int
Fw_Rig_CountNotes(const struct fw_rig *rig, const char *event);

#endif
