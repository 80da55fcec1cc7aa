/*
 * The other instances of the fleet and the messages exchanged with them.
 *
 * In each failure domain a few instances are hubs. Every other instance, a
 * leaf, sends reports to one hub, whose replies describe the rest of the
 * fleet. Hubs send each other digests that cover themselves and their leaves.
 * In a small fleet all instances are hubs. A leaf's message rate thus doesn't
 * depend on the size of the fleet, and the messages between hubs grow with
 * the square of the number of hubs only.
 *
 * An instance is live while it was seen, by this instance or by a hub, within
 * the timeout of FW_RL_PEER_TIMEOUT_PERIODS. It is unreachable while it leaves
 * the messages of this instance unanswered.
 */
#ifndef FW_RELAY_PEERS_H
#define FW_RELAY_PEERS_H

#include <msgpack.h>

#include "relay/relay.h"

/* Digest periods without a message after which a peer isn't live. */
#define FW_RL_PEER_TIMEOUT_PERIODS 4
/*
 * Limits the rate of messages between digests: after one to n peers, the next
 * is delayed by n times this.
 */
#define FW_RL_SEND_INTERVAL_PER_PEER_US 2500

/* Reports whose time of sending is remembered. */
#define FW_RL_REPORTS_MAX 16

struct fw_rl_server;

/**
 * struct fw_rl_load - load that instances have placed on a server.
 * @target_stage: stage that the server is switching to, or FW_RL_STAGE_NONE
 * @n_unreachable: number of instances that recently failed to connect to it
 * @running: requests
 * @kv_tokens: KV cache that these are expected to need
 * @prefill_tokens: prompts that it is processing or has queued
 */
struct fw_rl_load {
    enum fw_rl_stage target_stage;
    int n_unreachable;
    int running;
    int64_t kv_tokens;
    int64_t prefill_tokens;
};

/** struct fw_rl_load_row - load of one server; @hash: of its id. */
struct fw_rl_load_row {
    uint64_t hash;
    struct fw_rl_load load;
};

/** enum fw_rl_scope - which instances a peer's load rows cover. */
enum fw_rl_scope {
    FW_RL_SCOPE_LEAF,  /* a leaf of this hub */
    FW_RL_SCOPE_OTHER, /* another hub and its leaves; in a reply, all others */
    FW_RL_SCOPES,
};

/**
 * struct fw_rl_member - another instance.
 * @hash: of its name
 * @domain: hash of its failure domain, 0 while unknown
 * @cpu_ppm: CPU it may use, in millionths of a core
 * @boot: number of its process: the time of day at its start
 * @boot_heard_us: when the last digest or report of that process came
 * @digest_seq: sequence number of its last digest or delta
 * @last_message_us, @last_digest_us, @last_report_us: when the last message of
 *     any kind, digest and report was received, 0 for never; of a digest and a
 *     report, the time of the kind that it no longer sends is cleared
 * @awaiting_since_us: when the oldest unanswered message was sent to it, 0 for
 *     none
 * @unreachable_since_us: when it was found unreachable, 0 while reachable
 * @last_retry_us: when a message was last sent to it while unreachable
 * @no_handover_until_us: it is handed no requests until then
 * @has_answered_crashes: it has answered what this instance asked about
 * crashes
 * @took_over_us: when it last served a request that it was handed, 0 for never
 * @refused_service: hash of the service of the request that it last refused
 *     to take over, 0 for all services
 * @refused_until_us: it is handed requests for these only if no other instance
 *     is left until then
 * @is_ranked_hub: is a hub by rank among reachable instances
 * @is_nominal_hub: is a hub by rank among all known instances
 * @report_session, @report_seq: of its last report
 * @spent: hash of a team to the tokens that it has spent there, by its last
 *     message; NULL for none
 * @load_rows: load of servers in its last message, of struct fw_rl_load_row;
 *     NULL for none
 * @load_us: when @load_rows was last updated
 * @prefill_rates: hash of a service to prompt tokens a second; NULL for none
 * @demand_boot, @demand_seq: of its last message about demand
 * @reads_store: reads the platform's store itself
 * @store_unreachable: it gets no answer from the store
 * @store_lost_us: when it first reported that
 * @rules_end: offset after the configuration that it uses, 0 for none
 * @list_offset: offset up to which it has read the list of servers
 * @list_hash: hash of the servers that it knows
 */
struct fw_rl_member {
    struct fw_list link;
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    uint64_t hash;
    uint64_t domain;
    int64_t cpu_ppm;
    uint64_t boot;
    int64_t boot_heard_us;
    uint64_t digest_seq;
    int64_t added_us;
    int64_t last_message_us;
    int64_t last_digest_us;
    int64_t last_report_us;
    int64_t awaiting_since_us;
    int64_t unreachable_since_us;
    int64_t last_retry_us;
    int64_t no_handover_until_us;
    int has_answered_crashes;
    int64_t took_over_us;
    uint64_t refused_service;
    int64_t refused_until_us;
    int is_ranked_hub;
    int is_nominal_hub;
    uint64_t report_session;
    uint64_t report_seq;
    GHashTable *spent;
    GArray *load_rows;
    enum fw_rl_scope load_scope;
    int64_t load_us;
    GHashTable *prefill_rates;
    uint64_t demand_boot;
    uint64_t demand_seq;
    int reads_store;
    int store_unreachable;
    int64_t store_lost_us;
    uint64_t rules_end;
    uint64_t list_offset;
    uint64_t list_hash;
};

/**
 * struct fw_rl_exchange - state of this instance's exchange with its peers.
 * @is_hub: acts as a hub, by rank or because it has leaves
 * @hub: the hub that a leaf reports to, NULL while it has none
 * @report_session: incremented when @hub changes
 * @report_seq, @report_sent_us: of the last report sent
 * @reports_sent_us: when the last reports were sent, by @report_seq modulo the
 *     size
 * @next_send_us: when the next digest or report is due
 * @earliest_send_us: when it may be sent if @send_soon is set
 * @next_delta_us: when the next delta may be sent to hubs
 * @next_push_us: when the next reply that answers no report may be sent to
 *     leaves
 * @next_hub_list_us: when leaves are sent the next list of hubs
 * @next_announce_us: when instances that no hub has seen are sent one
 * @send_soon: send the next digest or report before it is due
 * @delta_pending: send a delta, or a report if this is a leaf
 * @push_pending: send leaves the levels of allowances before they report
 * @n_instances, @n_live: size of the fleet and live instances, both including
 *     this one, as of @counted_us; a leaf takes them from @hub
 * @recount: a hub's counts are out of date
 * @load_as_of_us: when the report was sent whose reply gave a leaf the load of
 *     other instances
 */
struct fw_rl_exchange {
    int is_hub;
    struct fw_rl_member *hub;
    uint64_t report_session;
    uint64_t report_seq;
    int64_t report_sent_us;
    int64_t reports_sent_us[FW_RL_REPORTS_MAX];
    int64_t next_send_us;
    int64_t earliest_send_us;
    int64_t next_delta_us;
    int64_t next_push_us;
    int64_t next_hub_list_us;
    int64_t next_announce_us;
    int send_soon;
    int delta_pending;
    int push_pending;
    int n_instances;
    int n_live;
    int64_t counted_us;
    int recount;
    int64_t load_as_of_us;
};

/**
 * struct fw_rl_presence - what the store says about missing instances.
 * @any_missing: an instance has been missing for a while
 * @read_since_us: since when the store is read without interruption, 0 if not
 * @read_us: when it was last read
 * @published_us: when this instance last published which ones it sees
 * @record_ends: hash of a publisher's name to the offset after its last record
 */
struct fw_rl_presence {
    int any_missing;
    int64_t read_since_us;
    int64_t read_us;
    int64_t published_us;
    GHashTable *record_ends;
};

/* presence.c */
void
Fw_Presence_SetMissing(struct fw_relay *r, int any_missing);
/* Time without being seen after which an instance is missing. */
int64_t
Fw_Presence_MissingUs(void);
/*
 * Whether an instance that no other side has published meanwhile is certainly
 * gone.
 */
int
Fw_Presence_IsProven(const struct fw_relay *r, int64_t now_us);
/* The published records were read. */
void
Fw_Presence_NoteRead(struct fw_relay *r, int64_t now_us);

/* members.c */
struct fw_rl_member *
Fw_Members_Find(const struct fw_relay *r, const char *name);
struct fw_rl_member *
Fw_Members_Add(struct fw_relay *r, const char *name, int64_t now_us);
/* Records a message from @m, which makes it live and reachable. */
void
Fw_Members_NoteMessage(struct fw_relay *r, struct fw_rl_member *m,
                       int64_t now_us);
/* Records that the instance whose name has @hash was live at @seen_us. */
void
Fw_Members_NoteSeen(struct fw_relay *r, uint64_t hash, int64_t seen_us);
/* Another side of a partition has published the instance as seen there. */
void
Fw_Members_NotePublished(struct fw_relay *r, uint64_t hash, int64_t now_us);
/* Appends the hashes of the instances seen recently, of uint64_t. */
void
Fw_Members_AppendSeen(struct fw_relay *r, int64_t now_us, GArray *out);
/*
 * Records that the instance whose name has @hash reported to another hub at
 * @seen_us. What it sent here before that is dropped.
 */
void
Fw_Members_NoteRemoteLeaf(struct fw_relay *r, uint64_t hash, int64_t seen_us);
/* Time without a message after which a peer isn't live. */
int64_t
Fw_Members_TimeoutUs(const struct fw_relay *r);
/* Whether this instance or a hub saw @m within FW_RL_ISOLATION_TIMEOUT_US. */
int
Fw_Members_SeenRecently(struct fw_relay *r, const struct fw_rl_member *m,
                        int64_t now_us);
/* Size of the fleet; @n_live may be NULL. Both include this instance. */
int
Fw_Members_Count(struct fw_relay *r, int64_t now_us, int *n_live);
/*
 * Number of instances that come before the one whose name has the hash
 * @instance, in an order by rendezvous weights for @key. @n: receives the size
 * of the fleet as this instance knows it. A leaf knows only a part of it.
 */
int
Fw_Members_Rank(const struct fw_relay *r, uint64_t key, uint64_t instance,
                int *n);
/* Drops load that is out of date and members that have expired. */
void
Fw_Members_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out);
void
Fw_Members_Clear(struct fw_relay *r);

/* exchange.c */
/*
 * An instance that has started has learned the members, the configuration or
 * the servers: sends messages without delay, as its hub or its leaves may wait
 * for them.
 */
void
Fw_Exchange_ReportProgress(struct fw_relay *r);

/* hubs.c */
/* Updates which members are hubs, and whether this instance is one. */
void
Fw_Hubs_UpdateRoles(struct fw_relay *r, int64_t now_us);
/* The hub that this instance reports to as a leaf, or NULL for none. */
struct fw_rl_member *
Fw_Hubs_ChooseHub(const struct fw_relay *r);
/* Whether @m is a hub by its rank, or sent a digest recently. */
int
Fw_Hubs_IsActing(const struct fw_relay *r, const struct fw_rl_member *m,
                 int64_t now_us);
/* Whether @m reports to this instance. */
int
Fw_Hubs_IsLeaf(const struct fw_relay *r, const struct fw_rl_member *m,
               int64_t now_us);

/* hub_list.c */
/* Appends a message with the live hubs to @out. */
void
Fw_HubList_Write(const struct fw_relay *r, int64_t now_us, GByteArray *out);
/* Return: 0, or -EBADMSG if @o isn't a valid list of hubs. */
int
Fw_HubList_Read(struct fw_relay *r, const msgpack_object *o, const char *addr,
                int64_t now_us);

/* limit_message.c */
/* Sends other instances the limits that are known here, if that is due. */
void
Fw_LimitMessage_SendDue(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_outbox *out);
/* Return: 0, or -EBADMSG if @o isn't a valid message about limits. */
int
Fw_LimitMessage_Read(struct fw_relay *r, const msgpack_object *o,
                     int64_t now_us);

/* load.c */
/* Replaces the load rows of @m; @scope: which instances @rows cover. */
void
Fw_Load_Replace(struct fw_relay *r, struct fw_rl_member *m,
                const msgpack_object_array *rows, enum fw_rl_scope scope,
                int64_t now_us);
/* Replaces the load rows of @m for the servers in @rows only. */
void
Fw_Load_Merge(struct fw_relay *r, struct fw_rl_member *m,
              const msgpack_object_array *rows, int64_t now_us);
/* Removes the load rows of @m. */
void
Fw_Load_Drop(struct fw_relay *r, struct fw_rl_member *m);
/* Sum of the peers' load in @scope of the server whose id has @hash. */
void
Fw_Load_GetTotal(const struct fw_relay *r, uint64_t hash,
                 enum fw_rl_scope scope, struct fw_rl_load *out);
/* Load in the rows of @m of the server whose id has @hash. */
void
Fw_Load_GetMember(const struct fw_rl_member *m, uint64_t hash,
                  struct fw_rl_load *out);
/* Adds @more to @to, or subtracts it if @sign is -1. */
void
Fw_Load_Add(struct fw_rl_load *to, const struct fw_rl_load *more, int sign);
/* Frees the totals of servers without load. */
void
Fw_Load_Prune(struct fw_relay *r);
/*
 * Has the leaves' load of the server whose id has @hash changed since the last
 * call?
 */
int
Fw_Load_TestAndClearChanged(struct fw_relay *r, uint64_t hash);

/* rows.c */
/* Most rows of one kind in a valid message. */
#define FW_RL_ROWS_MAX 20000
/* Allocates a key for a hash table that owns its keys. */
gint64 *
Fw_Rows_NewKey(uint64_t hash);
/*
 * Element @i of @o if it is an array of rows of @width integers each, or NULL.
 */
const msgpack_object_array *
Fw_Rows_Unpack(const msgpack_object *o, uint32_t i, uint32_t width);
/* Column @k of row @i; @rows was checked by Fw_Rows_Unpack. */
int64_t
Fw_Rows_Cell(const msgpack_object_array *rows, uint32_t i, int k);
/* A hash table of uint64_t to int64_t; the caller owns it. */
GHashTable *
Fw_Rows_NewTable(void);
/* The value at @hash, inserted as @initial if missing. */
int64_t *
Fw_Rows_LookupOrAdd(GHashTable *table, uint64_t hash, int64_t initial);
/*
 * Replaces *@table by a table of the first column of @rows to the second, or
 * by NULL if there are no rows. Negative values become 0.
 */
void
Fw_Rows_ReplaceTable(GHashTable **table, const msgpack_object_array *rows);
/* The value at @hash, or 0 if it is missing or @table is NULL. */
int64_t
Fw_Rows_Lookup(GHashTable *table, uint64_t hash);

/**
 * struct fw_rl_sender - sender of a message.
 * @domain: hash of its failure domain
 * @cpu_ppm: CPU it may use, in millionths of a core
 * @boot: number of its process: the time of day at its start
 */
struct fw_rl_sender {
    char name[FW_NAME_MAX];
    uint64_t domain;
    int64_t cpu_ppm;
    uint64_t boot;
};

/**
 * struct fw_rl_common_rows - rows that digests and reports have in common.
 * @prefill_rates: service and its prompt tokens a second
 * @spent: team, tokens spent, and in a digest the level of its allowance or in
 *     a report the tokens that hubs have counted
 * @load: server and its load
 * @reserved: instances of earlier versions count crashes here; not used
 * @store_state: one row of how far the sender has read the store
 */
struct fw_rl_common_rows {
    const msgpack_object_array *prefill_rates;
    const msgpack_object_array *spent;
    const msgpack_object_array *load;
    const msgpack_object_array *reserved;
    const msgpack_object_array *store_state;
};

/* message.c: parts that digests, deltas, reports and replies share */
/* Packs four elements, which must begin at element 1 of the message. */
void
Fw_Message_PackSender(const struct fw_relay *r, msgpack_packer *pk);
/* Return: 0, or -EBADMSG if elements 1 to 4 aren't a valid sender. */
int
Fw_Message_ReadSender(const msgpack_object *o, struct fw_rl_sender *out);
/*
 * Whether a message of the process with the number @boot comes from one that
 * ran before the one whose messages came last.
 */
int
Fw_Message_IsFromFormerProcess(const struct fw_rl_member *m, uint64_t boot,
                               int64_t now_us);
/* The member named by @from, added if new; NULL for this instance. */
struct fw_rl_member *
Fw_Message_FindOrAddSender(struct fw_relay *r, const struct fw_rl_sender *from,
                           int64_t now_us);
/* Updates @m from a message that isn't stale and came from @addr. */
void
Fw_Message_ApplySender(struct fw_relay *r, struct fw_rl_member *m,
                       const struct fw_rl_sender *from, const char *addr,
                       int64_t now_us);
/* Return: 0, or -EBADMSG if the rows from element @i on aren't valid. */
int
Fw_Message_ReadCommonRows(const msgpack_object *o, uint32_t i,
                          struct fw_rl_common_rows *out);
/*
 * Packs a row for each server with its load: of this instance and, if it is a
 * hub, of its leaves. With @to, all other instances' load is included but that
 * of the leaf @to. With @only_changed, only servers are packed whose load has
 * changed since the last call without @to; otherwise those without load are
 * left out.
 */
void
Fw_Message_PackLoad(struct fw_relay *r, msgpack_packer *pk,
                    const struct fw_rl_member *to, int only_changed,
                    int64_t now_us);
/*
 * Packs a row for each service with the prompt tokens a second of this
 * instance and, if it is a hub, of its leaves.
 */
void
Fw_Message_PackPrefillRates(struct fw_relay *r, msgpack_packer *pk,
                            int64_t now_us);
/* Packs one row of how far this instance has read the store. */
void
Fw_Message_PackStoreState(struct fw_relay *r, msgpack_packer *pk,
                          int64_t now_us);
/* Columns of the row that Fw_Message_PackStoreState packs. */
#define FW_RL_STORE_STATE_COLUMNS 7
/* Updates how far @m has read the store. */
void
Fw_Message_ApplyStoreState(struct fw_relay *r, struct fw_rl_member *m,
                           const msgpack_object_array *rows, int64_t now_us);

/* digest.c */
void
Fw_Digest_Write(struct fw_relay *r, int64_t now_us, GByteArray *out);
/*
 * Return: 1 if no digest of its sender was received within the timeout before,
 * or it has started anew, 0 if one was or the digest is stale, or -EBADMSG if
 * @o isn't a valid digest.
 */
int
Fw_Digest_Read(struct fw_relay *r, const msgpack_object *o, const char *addr,
               int64_t now_us);

/* delta.c */
void
Fw_Delta_Write(struct fw_relay *r, int64_t now_us, GByteArray *out);
/* Return: 0, or -EBADMSG if @o isn't a valid delta. */
int
Fw_Delta_Read(struct fw_relay *r, const msgpack_object *o, int64_t now_us);
/*
 * Packs a row for each team with the tokens spent here and by leaves, and the
 * level of its allowance. With @only_unsent, only teams that have spent tokens
 * since the last call are packed.
 */
void
Fw_Delta_PackSpent(struct fw_relay *r, msgpack_packer *pk, int only_unsent);
/*
 * Deducts from the allowances what @m has spent since its last message. With
 * @is_first its totals are only recorded, as a base for later messages.
 */
void
Fw_Delta_ApplySpent(struct fw_relay *r, struct fw_rl_member *m, int is_first,
                    const msgpack_object_array *rows, int64_t now_us);
/* Records that work was placed on @s, to be sent in the next delta. */
void
Fw_Delta_NotePlacement(struct fw_relay *r, struct fw_rl_server *s);

/* report.c */
void
Fw_Report_Write(struct fw_relay *r, int64_t now_us, GByteArray *out);
/*
 * Applies a leaf's report and appends the answer to @reply, nothing if the
 * report is stale. Return: 1 if the leaf or its session is new to this hub, 0
 * if not, or -EBADMSG if @o isn't a valid report.
 */
int
Fw_Report_Read(struct fw_relay *r, const msgpack_object *o, const char *addr,
               int64_t now_us, GByteArray *reply);

/* reply.c */
/*
 * Writes a reply for the leaf @m; @report_seq: number of the report that it
 * answers, or 0 if it is sent without one and holds no load.
 */
void
Fw_Reply_Write(struct fw_relay *r, struct fw_rl_member *m, uint64_t report_seq,
               int64_t now_us, GByteArray *out);
/* Return: 0, or -EBADMSG if @o isn't a valid reply. */
int
Fw_Reply_Read(struct fw_relay *r, const msgpack_object *o, int64_t now_us);

/* outbox.c */
/* Adds a message whose @data several recipients share. */
void
Fw_Outbox_AddShared(struct fw_rl_outbox *outbox, const char *addr,
                    GBytes *data);
/* Adds a copy of @msg. */
void
Fw_Outbox_Add(struct fw_rl_outbox *outbox, const char *addr,
              const GByteArray *msg);

/* exchange.c */
/*
 * Whether the placement of a request that arrived at @since_us should wait
 * until the hub has sent newer load. If so, a report is sent to the hub, whose
 * reply contains that load.
 */
int
Fw_Exchange_ShouldWait(struct fw_relay *r, int64_t since_us, int64_t now_us);

/* store_sync.c */
/* Records @m as a source if its configuration or server list is newer. */
void
Fw_StoreSync_NoteMember(struct fw_relay *r, const struct fw_rl_member *m);
/* Offset after the configuration in use, 0 for none. */
uint64_t
Fw_StoreSync_RulesEnd(const struct fw_relay *r);
/* Hash of the parts of a server's entry that others must learn of. */
uint64_t
Fw_StoreSync_EntryHash(const struct fw_rl_server_entry *e);
/* Hash of the servers known here, independent of their order. */
uint64_t
Fw_StoreSync_ServerListHash(const struct fw_relay *r);
/* Whether a member that sent a message recently has a newer configuration. */
int
Fw_StoreSync_IsBehind(const struct fw_relay *r, int64_t now_us);
/* Whether this instance writes to the store for all that know the same. */
int
Fw_StoreSync_IsWriter(const struct fw_relay *r, int64_t now_us);
/* Sends a query to an instance that reads the store, if one is due. */
void
Fw_StoreSync_SendQuery(struct fw_relay *r, int64_t now_us,
                       struct fw_rl_outbox *out);
/* Return: 0, or -EBADMSG if @o is neither a valid query nor an answer. */
int
Fw_StoreSync_Read(struct fw_relay *r, const msgpack_object *o,
                  const char *addr, int64_t now_us, struct fw_rl_outbox *out);

#endif
