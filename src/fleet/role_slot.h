/* Inside of the roles: what was read of the log, and what is asked of it. */
#ifndef FW_FLEET_ROLE_INTERNAL_H
#define FW_FLEET_ROLE_INTERNAL_H

#include "fleet/role.h"

/* Start until the first take, so that the peers are known by then. */
#define FW_ROLE_START_DELAY_US (1500 * FW_MSEC)
#define FW_ROLE_DEAD_DELAY_US (2 * FW_SEC)
#define FW_ROLE_UNSURE_DELAY_US (10 * FW_SEC)
#define FW_ROLE_CHECK_INTERVAL_US (500 * FW_MSEC)
#define FW_ROLE_REFRESH_INTERVAL_US (600 * FW_SEC)
#define FW_ROLE_LONG_POLL_US (2 * FW_SEC)
#define FW_ROLE_READ_RECORDS_MAX 1000
#define FW_ROLE_BACKOFF_MIN_US (200 * FW_MSEC)
#define FW_ROLE_BACKOFF_MAX_US (2 * FW_SEC)
/* An answer later than this counts as lost. */
#define FW_ROLE_READ_TIMEOUT_US (4 * FW_SEC)
#define FW_ROLE_APPEND_TIMEOUT_US (10 * FW_SEC)

/* A record that replaces whatever is in force. */
#define FW_ROLE_REPLACES_ANY (-1)

/**
 * struct fw_role_record - one record of the stream.
 * @replaces: offset of the record it replaces, 0 for none, or
 * FW_ROLE_REPLACES_ANY
 * @wait_us: of a handover, what its receiver still has to wait; else -1
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
 * @known: the record in force is certain; not so when older ones aged out
 * @offset: of the record in force, 0 for none yet
 * @acts_from_us: when held here, acts begin no earlier
 * @applied_us: when the record was read
 * @vacant_since_us: since when it has had no living holder, 0 when it has one
 * @claimed_us: when it was last taken or handed over by an append from here
 * @tenure: offset by which its holder came to hold it
 * @predecessor_tenure: of a handover, the tenure of the last holder
 * @is_first: its record replaced none
 * @stopped: handed over, so never acted on again under this record
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
    int partitions;
    int64_t wait_us[FW_ROLE_KINDS];
    struct fw_role_slot *slots; /* kind times partitions */
    char stream[FW_NAME_MAX];
    uint64_t next_offset; /* offset to read from */
    uint64_t ticket;
    uint64_t read_ticket; /* 0: no read under way */
    int64_t read_sent_us;
    int64_t next_read_us;
    int64_t read_backoff_us;
    int64_t view_us; /* when the last whole read was sent */
    int has_read;
    uint64_t append_ticket;
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
Fw_Role_IsHeldHere(const struct fw_roles *r, const struct fw_role_slot *s);
int64_t
Fw_Role_WithDrift(int64_t us);

/* Record as text, to be freed; and back, 0 or -EBADMSG. */
char *
Fw_Role_Format(const struct fw_role_record *rec);
int
Fw_Role_Parse(const char *text, int partitions, struct fw_role_record *rec);
void
Fw_Role_Apply(struct fw_roles *r, const struct fw_role_record *rec,
              uint64_t offset, int64_t now_us, struct fw_actions *out);

#endif
