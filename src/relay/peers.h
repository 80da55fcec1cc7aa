/*
 * Other instances: who they are, what is known of them, and what is exchanged
 * with them.
 *
 * A few instances of each failure domain are hubs. Each other one, a leaf,
 * reports to one hub and gets what the rest of the fleet does in the reply;
 * hubs send digests of themselves and their leaves to each other. In a small
 * fleet all are hubs. Messages per instance thus stay the same however many
 * there are, and those between hubs grow with the square of a small number.
 */
#ifndef FW_RELAY_PEERS_H
#define FW_RELAY_PEERS_H

#include <msgpack.h>

#include "relay/relay.h"

/* Periods without a message after which a peer is out of touch. */
#define FW_RL_PEER_TIMEOUT_PERIODS 4
/* Between two messages to the same peers, per peer. */
#define FW_RL_SEND_INTERVAL_PER_PEER_US 2500

struct fw_rl_server;

/**
 * struct fw_rl_load - what other instances have at a server.
 * @to_stage: the stage that it is being changed to, or NONE
 * @unreachable: instances that could not reach it lately
 */
struct fw_rl_load {
    enum fw_rl_stage to_stage;
    int unreachable;
    int running;
    int64_t reserved;
    int64_t reading;
};

/** struct fw_rl_load_row - load at the server with the id's @hash. */
struct fw_rl_load_row {
    uint64_t hash;
    struct fw_rl_load load;
};

/** enum fw_rl_scope - whose load a peer's rows are. */
enum fw_rl_scope {
    FW_RL_SCOPE_LEAF,  /* the peer's own; it reports to this instance */
    FW_RL_SCOPE_OTHER, /* a hub's with its leaves, or all others' */
    FW_RL_SCOPES,
};

/**
 * struct fw_rl_member - another instance.
 * @hash: of its name
 * @domain: hash of its failure domain, 0 when not known yet
 * @cpu_ppm: part of a core that it has
 * @heard_us: when its last message came, 0 for never
 * @digest_us, @last_report_us: the same of its last digest and its last report
 * @awaiting_since_us: since when it owes an answer, 0 for not
 * @unreachable_since_us: since when it is taken as unreachable, 0 for not
 * @last_retry_us: when it was last sent something although unreachable
 * @is_ranked_hub, @is_nominal_hub: is it a hub by its rank; the second also
 * where it is unreachable
 * @report_session, @report_seq: of its last report
 * @spent: team's hash to its tokens since the start there; NULL for none
 * @load_rows: its load, of struct fw_rl_load_row; NULL for none
 * @load_us: when they came
 * @strikes: request's digest to servers lost with it; NULL for none
 * @reading: service's hash to its prompts there, tokens a second; or NULL
 * @reads_store: it reads the platform's store itself
 * @store_lost: it can't reach the store
 * @rules_end, @list_offset, @list_hash: how far it has read, and what it
 *     knows of the servers
 */
struct fw_rl_member {
    struct fw_list link;
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    uint64_t hash;
    uint64_t domain;
    int64_t cpu_ppm;
    uint64_t boot;
    uint64_t digest_seq;
    int64_t added_us;
    int64_t heard_us;
    int64_t digest_us;
    int64_t last_report_us;
    int64_t awaiting_since_us;
    int64_t unreachable_since_us;
    int64_t last_retry_us;
    int is_ranked_hub;
    int is_nominal_hub;
    uint64_t report_session;
    uint64_t report_seq;
    GHashTable *spent;
    GArray *load_rows;
    enum fw_rl_scope load_scope;
    int64_t load_us;
    GHashTable *strikes;
    GHashTable *reading;
    int reads_store;
    int store_lost;
    uint64_t rules_end;
    uint64_t list_offset;
    uint64_t list_hash;
};

/**
 * struct fw_rl_exchange - this instance's part in the exchange.
 * @is_hub: others report to it, or it is one by its rank
 * @hub: the one that it reports to otherwise; NULL for none yet
 * @report_session: number of the row of reports to @hub
 * @digest_seq, @last_retry_us: of the last report
 * @next_send_us: when the next digest or report goes out
 * @earliest_send_us: when one that is wanted soon may
 * @next_delta_us, @next_push_us: the same of messages between digests, to hubs
 * and to leaves
 * @next_hub_list_us, @next_announce_us: when hubs are listed to leaves, and to
 * instances that no hub has seen
 * @wants: a digest or report should go out soon
 * @wants_delta, @wants_push: what was taken should be known at once
 * @count, @in_touch: instances, as of @counted_us; from @hub for a leaf
 * @recount: they have changed since
 * @load_as_of_us: as of when a leaf knows the others' load
 */
struct fw_rl_exchange {
    int is_hub;
    struct fw_rl_member *hub;
    uint64_t report_session;
    uint64_t report_seq;
    int64_t report_sent_us;
    int64_t next_send_us;
    int64_t earliest_send_us;
    int64_t next_delta_us;
    int64_t next_push_us;
    int64_t next_hub_list_us;
    int64_t next_announce_us;
    int wants;
    int wants_delta;
    int wants_push;
    int count;
    int in_touch;
    int64_t counted_us;
    int recount;
    int64_t load_as_of_us;
};

/* members.c */
struct fw_rl_member *
Fw_Members_Find(const struct fw_relay *r, const char *name);
struct fw_rl_member *
Fw_Members_Add(struct fw_relay *r, const char *name, int64_t now_us);
/* A message came from @m. */
void
Fw_Members_NoteMessage(struct fw_relay *r, struct fw_rl_member *m,
                       int64_t now_us);
/* An instance with the name's @hash was in touch with some hub. */
void
Fw_Members_NoteSeen(struct fw_relay *r, uint64_t hash, int64_t seen_us);
/* The same of one that reported to another hub. */
void
Fw_Members_NoteRemoteLeaf(struct fw_relay *r, uint64_t hash, int64_t seen_us);
/* How long a peer that is silent still counts as in touch. */
int64_t
Fw_Members_TimeoutUs(const struct fw_relay *r);
/* Was @m in touch with this instance or some hub lately? */
int
Fw_Members_SeenRecently(struct fw_relay *r, const struct fw_rl_member *m,
                        int64_t now_us);
/* Instances that count, this one included; @in_touch: those in touch now. */
int
Fw_Members_Count(struct fw_relay *r, int64_t now_us, int *in_touch);
void
Fw_Members_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out);
void
Fw_Members_Clear(struct fw_relay *r);

/* hubs.c */
/* Decides anew which members are hubs, and whether this instance is. */
void
Fw_Hubs_UpdateRoles(struct fw_relay *r, int64_t now_us);
/* The hub that this leaf should report to, or NULL. */
struct fw_rl_member *
Fw_Hubs_ChooseHub(const struct fw_relay *r);
/* Does @m act as a hub? */
int
Fw_Hubs_IsActing(const struct fw_relay *r, const struct fw_rl_member *m,
                 int64_t now_us);
/* Does @m report to this instance? */
int
Fw_Hubs_IsLeaf(const struct fw_relay *r, const struct fw_rl_member *m,
               int64_t now_us);

/* hub_list.c */
void
Fw_HubList_Write(const struct fw_relay *r, int64_t now_us, GByteArray *out);
/* -EBADMSG for another message. */
int
Fw_HubList_Read(struct fw_relay *r, const msgpack_object *o, const char *addr,
                int64_t now_us);

/* load.c */
/* Replaces all that is known of @m's load by @load_rows. */
void
Fw_Load_Replace(struct fw_relay *r, struct fw_rl_member *m,
                const msgpack_object_array *rows, enum fw_rl_scope scope,
                int64_t now_us);
/* Replaces what is known of the servers in @load_rows. */
void
Fw_Load_Merge(struct fw_relay *r, struct fw_rl_member *m,
              const msgpack_object_array *rows, int64_t now_us);
void
Fw_Load_Drop(struct fw_relay *r, struct fw_rl_member *m);
/* What peers have at the server with the id's @hash, in one scope. */
void
Fw_Load_Of(const struct fw_relay *r, uint64_t hash, enum fw_rl_scope scope,
           struct fw_rl_load *out);
/* What @m has there by its rows. */
void
Fw_Load_GetMember(const struct fw_rl_member *m, uint64_t hash,
                  struct fw_rl_load *out);
/* Adds @more to @to, or takes it off with @sign -1. */
void
Fw_Load_Add(struct fw_rl_load *to, const struct fw_rl_load *more, int sign);
/* Servers whose load of leaves changed since this was last asked. */
int
Fw_Load_TestAndClearChanged(struct fw_relay *r, uint64_t hash);

/* rows.c */
/* Rows of one kind in a message that are taken in. */
#define FW_RL_ROWS_MAX 20000
/* A key of a hash table of hashes, to be freed by the table. */
gint64 *
Fw_Rows_NewKey(uint64_t hash);
/* Element @i: rows of @width whole numbers; NULL if it is not that. */
const msgpack_object_array *
Fw_Rows_Of(const msgpack_object *o, uint32_t i, uint32_t width);
int64_t
Fw_Rows_Cell(const msgpack_object_array *rows, uint32_t i, int k);
/* A table of hash to int64_t. */
GHashTable *
Fw_Rows_NewTable(void);
/* The number at @hash of such a table, made with @initial where missing. */
int64_t *
Fw_Rows_LookupOrAdd(GHashTable *table, uint64_t hash, int64_t initial);
/* Replaces @table, hash to int64_t, by the first two columns of @load_rows. */
void
Fw_Rows_ReplaceTable(GHashTable **table, const msgpack_object_array *rows);
/* The number at @hash in such a table, or 0. */
int64_t
Fw_Rows_Lookup(GHashTable *table, uint64_t hash);

/**
 * struct fw_rl_sender - who sent a message.
 * @domain: hash of its failure domain
 */
struct fw_rl_sender {
    char name[FW_NAME_MAX];
    uint64_t domain;
    int64_t cpu_ppm;
    uint64_t boot;
};

/**
 * struct fw_rl_common_rows - the rows that digests and reports have in common.
 * @spent: rows of three columns, of which the last differs
 */
struct fw_rl_common_rows {
    const msgpack_object_array *reading;
    const msgpack_object_array *spent;
    const msgpack_object_array *load;
    const msgpack_object_array *strikes;
    const msgpack_object_array *watch;
};

/* share.c: parts of messages that digests, deltas, reports, replies share */
/* Four elements; they are read from element 1 on. */
void
Fw_Message_PackSender(const struct fw_relay *r, msgpack_packer *pk);
/* Return: 0 or -EBADMSG. */
int
Fw_Message_ReadSender(const msgpack_object *o, struct fw_rl_sender *out);
/* The member that @from is, added where it is new; NULL for this instance. */
struct fw_rl_member *
Fw_Message_FindOrAddSender(struct fw_relay *r, const struct fw_rl_sender *from,
                           int64_t now_us);
/* @m has sent a message that is not old, from @addr. */
void
Fw_Message_ApplySender(struct fw_relay *r, struct fw_rl_member *m,
                       const struct fw_rl_sender *from, const char *addr,
                       int64_t now_us);
/* Reads them from element @i on. Return: 0 or -EBADMSG. */
int
Fw_Message_ReadCommonRows(const msgpack_object *o, uint32_t i,
                          struct fw_rl_common_rows *out);
/* Rows of a server and its load; none for a load of nothing. */
void
Fw_Message_PackLoad(struct fw_relay *r, msgpack_packer *pk,
                    const struct fw_rl_member *to, int only_changed,
                    int64_t now_us);
/* Rows of a request's digest and the servers lost with it. */
void
Fw_Message_PackStrikes(struct fw_relay *r, msgpack_packer *pk,
                       const struct fw_rl_member *to);
/* Rows of a service's hash and prompts a second, of leaves too. */
void
Fw_Message_PackPrefillRates(struct fw_relay *r, msgpack_packer *pk,
                            int64_t now_us);
/* One row of how far the store was read here. */
void
Fw_Message_PackStoreState(struct fw_relay *r, msgpack_packer *pk,
                          int64_t now_us);
/* Columns of that row. */
#define FW_RL_WATCH_WIDTH 6
void
Fw_Message_ApplyStoreState(struct fw_relay *r, struct fw_rl_member *m,
                           const msgpack_object_array *rows, int64_t now_us);

/* digest.c */
void
Fw_Digest_Write(struct fw_relay *r, int64_t now_us, GByteArray *out);
/* Return: 1 when its sender was out of touch until now, 0, or -EBADMSG. */
int
Fw_Digest_Read(struct fw_relay *r, const msgpack_object *o, const char *addr,
               int64_t now_us);

/* delta.c */
void
Fw_Delta_Write(struct fw_relay *r, int64_t now_us, GByteArray *out);
/* -EBADMSG for another message. */
int
Fw_Delta_Read(struct fw_relay *r, const msgpack_object *o, int64_t now_us);
/* Rows of team, tokens and level, all or those not sent yet. */
void
Fw_Delta_PackSpent(struct fw_relay *r, msgpack_packer *pk, int only_unsent);
void
Fw_Delta_ApplySpent(struct fw_relay *r, struct fw_rl_member *m, int first,
                    const msgpack_object_array *rows, int64_t now_us);
/* More of @s was just taken here: the others should know. */
void
Fw_Delta_Placed(struct fw_relay *r, struct fw_rl_server *s);

/* report.c */
void
Fw_Report_Write(struct fw_relay *r, int64_t now_us, GByteArray *out);
/*
 * A leaf's report; @reply is what goes back. Return: 1 when the leaf is new
 * here, 0, or -EBADMSG for another message.
 */
int
Fw_Report_Read(struct fw_relay *r, const msgpack_object *o, const char *addr,
               int64_t now_us, GByteArray *reply);

/* reply.c */
/* For the leaf @m; @echo: number of the report that is answered, 0 for none.
 */
void
Fw_Reply_Write(struct fw_relay *r, struct fw_rl_member *m, uint64_t echo,
               int64_t now_us, GByteArray *out);
/* -EBADMSG for another message. */
int
Fw_Reply_Read(struct fw_relay *r, const msgpack_object *o, int64_t now_us);

/* mail.c */
/* A message that several get. */
void
Fw_Outbox_AddShared(struct fw_rl_mail *mail, const char *addr, GBytes *data);
void
Fw_Outbox_Add(struct fw_rl_mail *mail, const char *addr,
              const GByteArray *msg);

/* exchange.c */
/*
 * Should a placement wait for the reply to a report that is under way, or
 * goes out now? What waits began to at @since_us.
 */
int
Fw_Exchange_Awaits(struct fw_relay *r, int64_t since_us, int64_t now_us);

/* watch.c */
/* A member has sent how far it has read. */
void
Fw_StoreSync_NoteMember(struct fw_relay *r, const struct fw_rl_member *m);
/* Offset behind the configuration in force, 0 for none. */
uint64_t
Fw_StoreSync_RulesEnd(const struct fw_relay *r);
/* What this instance knows of the servers, in one figure. */
uint64_t
Fw_StoreSync_ServerListHash(const struct fw_relay *r);
/* Does an instance in touch know a newer configuration? */
int
Fw_Watch_IsBehind(const struct fw_relay *r, int64_t now_us);
/* A question to one that reads the store, when one is due. */
void
Fw_StoreSync_SendQuery(struct fw_relay *r, int64_t now_us,
                       struct fw_rl_mail *out);
/* A question or an answer; -EBADMSG for neither. */
int
Fw_StoreSync_Read(struct fw_relay *r, const msgpack_object *o,
                  const char *addr, int64_t now_us, struct fw_rl_mail *out);

#endif
