/* Internal declarations of the membership: member table, probes, gossip. */
#ifndef FW_FLEET_INTERNAL_H
#define FW_FLEET_INTERNAL_H

#include "fleet/fleet.h"

/* A probe unanswered for FW_PROBE_DIRECT_TIMEOUT_US is repeated through up to
 * FW_PROBE_INDIRECT_MAX other members. */
#define FW_PROBE_PERIOD_US (1 * FW_SEC)
#define FW_PROBE_DIRECT_TIMEOUT_US (300 * FW_MSEC)
#define FW_PROBE_INDIRECT_MAX 3
/* A suspect that doesn't refute the suspicion in time is taken for dead. */
#define FW_SUSPECT_TIMEOUT_US (5 * FW_SEC)
/* Dead members are pinged with backoff, and removed in the end. */
#define FW_DEAD_PROBE_INTERVAL_MAX_US (10 * FW_SEC)
#define FW_DEAD_RETENTION_US (600 * FW_SEC)
/* A tick that is this late means that the process was paused. */
#define FW_PAUSE_THRESHOLD_US (2 * FW_SEC)
/* Members of each other region that an instance keeps track of. */
#define FW_REMOTE_MEMBERS_MAX 3
/* Pings on behalf of others that may be open at once. */
#define FW_PING_RELAYS_MAX 16

/**
 * struct fw_member_entry - an entry of the member table.
 * @retransmits: number of messages that shall still carry the member's state
 * @suspect_until_us: when a suspect or silent leaving member is taken for
 *                    dead, 0 for never
 * @next_ping_us: when the member, while dead, is pinged next
 * @backoff_us: interval to the ping after that
 * @listed: in the platform's last list
 */
struct fw_member_entry {
    struct fw_member m;
    int retransmits;
    int64_t suspect_until_us;
    int64_t next_ping_us;
    int64_t backoff_us;
    int listed;
};

/**
 * struct fw_ping_relay - a ping sent on behalf of another instance.
 * @seq: of that ping
 * @origin: instance that asked for it, with @origin_seq
 */
struct fw_ping_relay {
    uint64_t seq;
    uint64_t origin_seq;
    char origin[FW_NAME_MAX];
    int64_t expires_us;
};

/**
 * struct fw_probe - the open probe.
 * @target: probed member, empty for no open probe
 * @indirect_sent: other members were asked to ping it
 */
struct fw_probe {
    char target[FW_NAME_MAX];
    uint64_t seq;
    int64_t sent_us;
    int indirect_sent;
};

struct fw_fleet {
    struct fw_self self;
    GRand *rand;
    struct fw_member_entry *self_entry;
    GHashTable *entries;    /* name to struct fw_member_entry */
    GPtrArray *candidates;  /* of this region, alive or suspect */
    GPtrArray *probe_order; /* names, shuffled; taken from the end */
    struct fw_probe probe;
    struct fw_ping_relay relays[FW_PING_RELAYS_MAX];
    int next_relay;
    uint64_t seq;
    int64_t next_probe_us;
    int64_t wake_us;
    struct fw_metric alive;
    struct fw_metric suspicions;
    struct fw_metric deaths;
    struct fw_metric refutations;
    struct fw_metric sent;
};

struct fw_member_entry *
Fw_Member_Find(const struct fw_fleet *f, const char *name);
/* Adds a member in the state dead, until an update about it is received. */
struct fw_member_entry *
Fw_Member_Add(struct fw_fleet *f, const char *name, const char *addr,
              const char *domain, const char *region);
/* Rebuilds the candidates of Fw_Fleet_Pick, after a change of any state. */
void
Fw_Member_RebuildCandidates(struct fw_fleet *f);
void
Fw_Member_SetState(struct fw_fleet *f, struct fw_member_entry *e,
                   enum fw_member_state state, int64_t now_us,
                   struct fw_actions *out);

/* Applies an update received from @from if it is newer than what is known. */
void
Fw_Gossip_Merge(struct fw_fleet *f, const char *from,
                const struct fw_fleet_update *u, int64_t now_us,
                struct fw_actions *out);
/* Queues the state of @e for the messages sent next. */
void
Fw_Gossip_Queue(struct fw_fleet *f, struct fw_member_entry *e);
/* Raises this instance's incarnation if a peer sees it in a wrong state. */
void
Fw_Gossip_Refute(struct fw_fleet *f, uint64_t boot, uint32_t incarnation,
                 int state);
/* Adds queued updates to @msg; @self: this instance's state first. */
void
Fw_Gossip_Attach(struct fw_fleet *f, struct fw_fleet_msg *msg, int self);

void
Fw_Probe_Ping(struct fw_fleet *f, const struct fw_member_entry *e,
              uint64_t seq, struct fw_actions *out);

#endif
