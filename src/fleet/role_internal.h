/* Internal declarations of the roles: their state, reads and appends. */
#ifndef FW_FLEET_ROLE_INTERNAL_H
#define FW_FLEET_ROLE_INTERNAL_H

#include "fleet/role.h"

/* Delay of the first claim after the start, for the peers to become known. */
#define FW_ROLE_START_DELAY_US (1500 * FW_MSEC)
/* How long a role is vacant before it is claimed: after the death or restart
 * of its holder, and if the holder leaves or isn't known. */
#define FW_ROLE_DEAD_DELAY_US (2 * FW_SEC)
#define FW_ROLE_UNSURE_DELAY_US (10 * FW_SEC)
/* Between checks for roles to claim. */
#define FW_ROLE_CHECK_INTERVAL_US (500 * FW_MSEC)
/* A held role's record is written again, as the log drops old records. */
#define FW_ROLE_REFRESH_INTERVAL_US (600 * FW_SEC)
/* The log holds a read this long if there are no new records. */
#define FW_ROLE_LONG_POLL_US (2 * FW_SEC)
#define FW_ROLE_READ_RECORDS_MAX 1000
#define FW_ROLE_BACKOFF_MIN_US (200 * FW_MSEC)
#define FW_ROLE_BACKOFF_MAX_US (2 * FW_SEC)
/* Reads and appends that take longer count as lost. */
#define FW_ROLE_READ_TIMEOUT_US (4 * FW_SEC)
#define FW_ROLE_APPEND_TIMEOUT_US (10 * FW_SEC)

/* The record replaces the one in force, whichever that is. */
#define FW_ROLE_REPLACES_ANY (-1)

/**
 * struct fw_role_record - one record of the stream.
 * @replaces: offset of the record that it replaces, 0 for none, or
 *            FW_ROLE_REPLACES_ANY
 * @wait_us: in a handover, how long the new holder has to wait; else -1
 */
struct fw_role_record {
    enum fw_role_kind kind;
    int partition;
    char holder[FW_NAME_MAX];
    uint64_t boot;
    int64_t replaces;
    int64_t wait_us;
};

/**
 * struct fw_role_slot - one role.
 * @known: the record in force is known; not so after records were missed
 * @offset: of the record in force, 0 for none
 * @tenure: offset of the record by which the holder first got the role
 * @predecessor_tenure: tenure of the last holder after a handover, else 0
 * @acts_from_us: earliest time to act, if held here
 * @applied_us: when the record in force was read
 * @vacant_since_us: when the role was first seen without a live holder, 0 if
 *                   it has one
 * @claimed_us: when a record for it was last appended here
 * @is_first: the record in force replaces none
 * @stopped: handed over; never acted on again under the record in force
 */
struct fw_role_slot {
    int known;
    uint64_t offset;
    char holder[FW_NAME_MAX];
    uint64_t boot;
    uint64_t predecessor_tenure;
    uint64_t tenure;
    int64_t acts_from_us;
    int64_t applied_us;
    int64_t vacant_since_us;
    int64_t claimed_us;
    int is_first;
    int stopped;
};

struct fw_roles {
    struct fw_self self;
    GRand *rand;
    int n_partitions;
    int64_t wait_us[FW_ROLE_KINDS];
    struct fw_role_slot *slots; /* by kind, then partition */
    char stream[FW_NAME_MAX];
    uint64_t next_offset; /* of the next record to read */
    uint64_t ticket;
    uint64_t read_ticket; /* 0 for no open read */
    int64_t read_sent_us;
    int64_t next_read_us;
    int64_t read_backoff_us;
    int64_t view_us; /* send time of the last read that reached the end */
    int has_read;
    uint64_t append_ticket; /* 0 for no open append */
    int64_t append_sent_us;
    int64_t next_append_us;
    int64_t start_us;
    int64_t next_check_us;
    int draining;
};

struct fw_role_slot *
Fw_Role_Slot(const struct fw_roles *r, enum fw_role_kind kind, int partition);
/* Nonzero when the record in force names this process. */
int
Fw_Role_IsHeldHere(const struct fw_roles *r, const struct fw_role_slot *slot);
/* Return: local time in which @us have surely passed by any clock. */
int64_t
Fw_Role_WithDrift(int64_t us);

/* Return: the record as JSON text, to be freed with g_free. */
char *
Fw_Role_Format(const struct fw_role_record *rec);
/* Return: 0 or -EBADMSG. */
int
Fw_Role_Parse(const char *text, int n_partitions, struct fw_role_record *rec);
/* Applies a record of the stream; ignored if void. */
void
Fw_Role_Apply(struct fw_roles *r, const struct fw_role_record *rec,
              uint64_t offset, int64_t now_us, struct fw_actions *out);

#endif
