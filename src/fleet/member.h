/* Inside of the fleet: the table of members and the state of the probes. */
#ifndef FW_FLEET_INTERNAL_H
#define FW_FLEET_INTERNAL_H

#include "fleet/fleet.h"

/* Others are asked to ping after FW_PROBE_DIRECT_TIMEOUT_US of silence. */
#define FW_PROBE_PERIOD_US (1 * FW_SEC)
#define FW_PROBE_DIRECT_TIMEOUT_US (300 * FW_MSEC)
#define FW_PROBE_INDIRECT_MAX 3
/* Silence after a suspicion until death. */
#define FW_SUSPECT_TIMEOUT_US (5 * FW_SEC)
#define FW_DEAD_PROBE_INTERVAL_MAX_US (10 * FW_SEC)
#define FW_DEAD_RETENTION_US (600 * FW_SEC)
/* A tick later than this: this process was paused. */
#define FW_PAUSE_THRESHOLD_US (2 * FW_SEC)
/* Known of each other region. */
#define FW_REMOTE_MEMBERS_MAX 3
#define FW_PING_RELAYS_MAX 16

/**
 * struct fw_member_entry - one known instance.
 * @retransmits: messages that shall still carry its rumour
 * @suspect_until_us: when a suspicion, or the silence of a leaving one,
 *                    becomes a death; 0 for none
 * @probe_us: when a dead or only listed one is pinged next
 * @backoff_us: pause before the ping after that
 * @listed: named by the platform's last list
 */
struct fw_member_entry {
    struct fw_member m;
    int retransmits;
    int64_t suspect_until_us;
    int64_t probe_us;
    int64_t backoff_us;
    int listed;
};

/** struct fw_ping_relay - a ping sent on behalf of another instance. */
struct fw_ping_relay {
    uint64_t seq;
    uint64_t origin_seq;
    char origin[FW_NAME_MAX];
    int64_t expires_us;
};

/** struct fw_probe - the ping under way; @target is empty for none. */
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
    GHashTable
        *entries; /* name to struct fw_member_entry, @self_entry included */
    GPtrArray *candidates;  /* of this region, alive or suspect */
    GPtrArray *probe_order; /* names to probe, shuffled, taken from the end */
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
struct fw_member_entry *
Fw_Member_Add(struct fw_fleet *f, const char *name, const char *addr,
              const char *domain, const char *region);
/* After any change of a state: rebuilds what Fw_Fleet_Pick looks at. */
void
Fw_Member_RebuildCandidates(struct fw_fleet *f);
void
Fw_Member_SetState(struct fw_fleet *f, struct fw_member_entry *e,
                   enum fw_member_state state, int64_t now_us,
                   struct fw_actions *out);

/* Rumours: takes those of a message in, and adds ours to one. */
void
Fw_Gossip_Merge(struct fw_fleet *f, const char *from,
                const struct fw_fleet_update *u, int64_t now_us,
                struct fw_actions *out);
/* Puts the state of @e on the messages to come. */
void
Fw_Gossip_Queue(struct fw_fleet *f, struct fw_member_entry *e);
void
Fw_Gossip_Refute(struct fw_fleet *f, uint64_t boot, uint32_t incarnation,
                 int state);
void
Fw_Gossip_Attach(struct fw_fleet *f, struct fw_fleet_msg *msg, int self);

void
Fw_Probe_Ping(struct fw_fleet *f, const struct fw_member_entry *e,
              uint64_t seq, struct fw_actions *out);

#endif
