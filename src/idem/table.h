/* State of each idempotency key, built from the records of one log stream. */
#ifndef FW_IDEM_TABLE_H
#define FW_IDEM_TABLE_H

#include <glib.h>

#include "idem/record.h"

/** enum fw_idem_state - state of the first attempt of a key. */
enum fw_idem_state {
    FW_IDEM_ST_FREE,    /* no attempt, or all were recorded as not run */
    FW_IDEM_ST_BEGUN,   /* intent recorded, no outcome */
    FW_IDEM_ST_DONE,    /* ran; the outcome is at @outcome_offset */
    FW_IDEM_ST_UNKNOWN, /* recorded by its owner as possibly run */
};

/**
 * struct fw_idem_entry - state of one key.
 * @body_hash: of the first intent seen; 0 while there is none
 * @first_owner: hash of the owner of the first attempt, 0 for none
 * @voided_owner: hash of the last owner whose attempt was recorded as not
 *                run; an intent of that owner that arrives later is ignored
 * @last_offset: offset of the newest record of the key
 * @last_ms: time of the newest record of the key
 */
struct fw_idem_entry {
    char digest[FW_IDEM_DIGEST_MAX];
    enum fw_idem_state state;
    uint64_t body_hash;
    uint64_t first_owner;
    uint64_t voided_owner;
    uint64_t outcome_offset;
    uint64_t last_offset;
    int64_t last_ms;
};

/**
 * struct fw_idem_table - state of the keys of one stream.
 * @keys: struct fw_idem_entry by digest
 * @first_offset: offset of the oldest record in the stream, as last read
 * @next_offset: offset of the next record to be applied
 * @horizon_ms: upper bound of the times of records that were deleted and are
 *              not in the table; 0 when there are none, -1 when not known
 *              until a record is applied
 * @newest_ms: largest time in a record
 */
struct fw_idem_table {
    GHashTable *keys;
    uint64_t first_offset;
    uint64_t next_offset;
    int64_t horizon_ms;
    int64_t newest_ms;
};

void
Fw_Idem_InitTable(struct fw_idem_table *t);
void
Fw_Idem_ClearTable(struct fw_idem_table *t);
/* Clears the table; the next record to be applied is at @offset. */
void
Fw_Idem_ResetTable(struct fw_idem_table *t, uint64_t offset);
/* Applies the record at offset @t->next_offset. */
void
Fw_Idem_ApplyRecord(struct fw_idem_table *t, const struct fw_idem_record *rec);

/* Removes keys whose records are all before offset @oldest. */
void
Fw_Idem_TrimTable(struct fw_idem_table *t, uint64_t oldest);

/* Return: the entry of a key, or NULL. */
const struct fw_idem_entry *
Fw_Idem_FindEntry(const struct fw_idem_table *t, const char *digest);
/* Nonzero when the key was first used with another body. */
int
Fw_Idem_BodyDiffers(const struct fw_idem_entry *e, uint64_t body_hash);
/* Nonzero when the attempt of @owner is the first and has no outcome; @e may
 * be NULL. */
int
Fw_Idem_IsFirstOwner(const struct fw_idem_entry *e, const char *owner);

#endif
