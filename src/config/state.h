/*
 * Replicated state: the current configuration, the ids of recent changes and
 * the audit trail. It depends on nothing but the log up to an offset.
 */
#ifndef FW_CONFIG_STATE_H
#define FW_CONFIG_STATE_H

#include "config/audit.h"
#include "config/change.h"

/*
 * Number of change ids kept to detect duplicates. A record is sent again
 * within minutes if at all; 4,096 ids cover more than a day at 3,400 changes a
 * day.
 */
#define FW_CHANGE_OUTCOMES_MAX 4096
/*
 * A change whose base version is more than this many records old is rejected.
 * Withdrawn keys are kept as long, so that a change made from an old
 * configuration can't restore them.
 */
#define FW_BASE_AGE_MAX_RECORDS 100000
#define FW_KEY_PRUNE_INTERVAL_RECORDS 4096

/**
 * enum fw_change_verdict - result of applying a record; stored in snapshots.
 * @FW_CHANGE_ACCEPTED: applied
 * @FW_CHANGE_CONFLICT: an item has another version than the change expects
 * @FW_CHANGE_INVALID: malformed, or not allowed in the current state
 * @FW_CHANGE_DUPLICATE: the id was used by an earlier record
 */
enum fw_change_verdict {
    FW_CHANGE_ACCEPTED,
    FW_CHANGE_CONFLICT,
    FW_CHANGE_INVALID,
    FW_CHANGE_DUPLICATE,
};

const char *
Fw_Change_VerdictName(enum fw_change_verdict v);

/** struct fw_change_outcome - id and verdict of the first record with it. */
struct fw_change_outcome {
    char id[FW_CHANGE_ID_MAX];
    uint64_t offset;
    enum fw_change_verdict verdict;
};

/**
 * struct fw_config_state - replicated state.
 * @outcomes: ring buffer of FW_CHANGE_OUTCOMES_MAX outcomes
 * @n_outcomes: number of outcomes in the ring
 * @next_outcome: index at which the next one is written
 * @outcomes_by_id: the same by id
 */
struct fw_config_state {
    struct fw_config *cfg;
    struct fw_audit audit;
    struct fw_change_outcome *outcomes;
    unsigned n_outcomes;
    unsigned next_outcome;
    GHashTable *outcomes_by_id;
};

/**
 * struct fw_change_result - result of applying one record.
 * @id, @author: empty if they could not be parsed
 * @error: why the change was not accepted
 */
struct fw_change_result {
    char id[FW_CHANGE_ID_MAX];
    char author[FW_NAME_MAX];
    enum fw_change_verdict verdict;
    struct fw_config_error error;
};

struct fw_config_state *
Fw_ConfigState_New(void);
void
Fw_ConfigState_Free(struct fw_config_state *st);

/**
 * Fw_ConfigState_Apply - applies the next record of the log.
 * @text: the record at offset st->cfg->next_offset
 *
 * Advances the offset by one also when the record is not accepted.
 */
void
Fw_ConfigState_Apply(struct fw_config_state *st, const char *text,
                     struct fw_change_result *res);
/* The verdict that @ch would get as the next record; changes nothing. */
enum fw_change_verdict
Fw_ConfigState_Evaluate(const struct fw_config_state *st,
                        const struct fw_change *ch,
                        struct fw_config_error *err);
/* Stores the verdict on a change, overwriting the oldest when full. */
void
Fw_ConfigState_RecordOutcome(struct fw_config_state *st, const char *id,
                             uint64_t offset, enum fw_change_verdict verdict);
const struct fw_change_outcome *
Fw_ConfigState_FindOutcome(const struct fw_config_state *st, const char *id);
/* Digest of configuration, change ids and audit trail. */
uint64_t
Fw_ConfigState_Digest(const struct fw_config_state *st);

#endif
