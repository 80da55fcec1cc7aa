/*
 * State of the fold: the configuration in force, the change ids seen and the
 * audit trail. Everything here is a function of the log up to an offset.
 */
#ifndef FW_CONFIG_STATE_H
#define FW_CONFIG_STATE_H

#include "config/audit.h"
#include "config/change.h"

/*
 * Ids kept: a record sent again after a lost answer comes within minutes, and
 * 4,096 changes are more than a day's at 3,400 changes a day.
 */
#define FW_CHANGE_OUTCOMES_MAX 4096
/* A change made on a version older than this many records is refused, and a
 * withdrawn key is kept for as long: so none comes back by an old sheet. */
#define FW_BASE_AGE_MAX_RECORDS 100000
#define FW_KEY_PRUNE_INTERVAL_RECORDS 4096

/** enum fw_change_verdict - what the fold made of a record. */
enum fw_change_verdict {
    FW_CHANGE_ACCEPTED,
    FW_CHANGE_CONFLICT,
    FW_CHANGE_INVALID,
    FW_CHANGE_DUPLICATE,
};

const char *
Fw_Change_VerdictName(enum fw_change_verdict v);

/** struct fw_seen - an id and what became of the first record with it. */
struct fw_seen {
    char id[FW_CHANGE_ID_MAX];
    uint64_t offset;
    enum fw_change_verdict verdict;
};

/**
 * struct fw_state - @outcomes is a ring of FW_CHANGE_OUTCOMES_MAX.
 * @next_outcome: place of the next id in the ring
 */
struct fw_state {
    struct fw_config *cfg;
    struct fw_audit audit;
    struct fw_seen *outcomes;
    unsigned n_outcomes;
    unsigned next_outcome;
    GHashTable *outcomes_by_id;
};

/** struct fw_change_result - verdict on one record. */
struct fw_change_result {
    char id[FW_CHANGE_ID_MAX];
    char author[FW_NAME_MAX];
    enum fw_change_verdict verdict;
    struct fw_why why;
};

struct fw_state *
Fw_State_New(void);
void
Fw_State_Free(struct fw_state *st);

/**
 * Fw_State_Apply - folds the record at @st->cfg->offset and moves on by one.
 *
 * Whatever the text is, one offset is consumed and the same verdict comes out
 * on every instance.
 */
void
Fw_State_Apply(struct fw_state *st, const char *text,
               struct fw_change_result *res);
/* The verdict that @ch would get now; nothing is changed. */
enum fw_change_verdict
Fw_ConfigState_Evaluate(const struct fw_state *st, const struct fw_change *ch,
                        struct fw_why *err);
/* Remembers an id, dropping the oldest when the ring is full. */
void
Fw_ConfigState_RecordOutcome(struct fw_state *st, const char *id,
                             uint64_t offset, enum fw_change_verdict verdict);
const struct fw_seen *
Fw_ConfigState_FindOutcome(const struct fw_state *st, const char *id);
/* Equal for equal states: configuration, ids and audit trail. */
uint64_t
Fw_State_Digest(const struct fw_state *st);

#endif
