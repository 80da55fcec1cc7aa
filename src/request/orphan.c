/*
 * Orphans: requests held by an engine whose owner, the instance that started
 * them, no longer runs them. They occupy KV memory and slots until cancelled.
 *
 * The coordinator of an engine, chosen by rendezvous hash, polls it for the
 * requests it holds, asks each live owner which of its requests it no
 * longer runs, and cancels those. Since a member can be declared dead while it
 * is alive, requests of an owner that is dead, restarted or unknown are
 * cancelled only after they were listed for FW_ORPHAN_GRACE_US, or for
 * FW_ORPHAN_ATTACHED_GRACE_US while the engine still has a connection of the
 * owner. An owner that is alive after all retries the request on another
 * engine.
 */
#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <syslog.h>

#include "base/fault.h"
#include "base/hash.h"
#include "request/request_internal.h"

/* Interval of polls, times the number of engines coordinated here. */
#define FW_ORPHAN_POLL_INTERVAL_US (10 * FW_SEC)
/* Interval of polls for a while after a member failed. */
#define FW_ORPHAN_FAST_POLL_INTERVAL_US FW_SEC
#define FW_ORPHAN_FAST_POLL_PERIOD_US (15 * FW_SEC)
#define FW_ORPHAN_CANDIDATE_TTL_US (120 * FW_SEC)
#define FW_ORPHAN_GRACE_US (2 * FW_SEC)
#define FW_ORPHAN_ATTACHED_GRACE_US (30 * FW_SEC)
#define FW_ORPHAN_CALL_TIMEOUT_US (3 * FW_SEC)

/** struct engine_id - parsed engine-side id, see Fw_Request_EngineId. */
struct engine_id {
    char owner[FW_NAME_MAX];
    uint64_t boot;
    uint64_t seq;
};

static int
parse_engine_id(const char *id, struct engine_id *out)
{
    const char *seq = strrchr(id, '.');
    const char *boot = seq ? g_strrstr_len(id, seq - id, ".") : NULL;
    char *end = NULL;

    if (!boot || boot == id || (size_t)(boot - id) >= sizeof(out->owner)) {
        return -EINVAL;
    }
    memcpy(out->owner, id, (size_t)(boot - id));
    out->owner[boot - id] = '\0';
    out->boot = g_ascii_strtoull(boot + 1, &end, 16);
    if (end != seq) {
        return -EINVAL;
    }
    out->seq = g_ascii_strtoull(seq + 1, &end, 10);
    return *end ? -EINVAL : 0;
}

static void
poll_engine(struct fw_requests *rs, const struct fw_upstream *up,
            struct fw_actions *out)
{
    struct fw_up_start *s;
    guint64 *op = g_new(guint64, 1);

    s = Fw_Request_StartUpstreamCall(
        out, Fw_Owner_MakeId(FW_OWNER_REAP, ++rs->next_op),
        FW_UP_LIST_REQUESTS, up, FW_ORPHAN_CALL_TIMEOUT_US);
    *op = s->op;
    g_hash_table_replace(rs->orphans.pending_polls, op, g_strdup(up->name));
}

/* Polls the engines coordinated here. Return: their number. */
static int
poll_all(struct fw_requests *rs, struct fw_actions *out)
{
    const struct fw_config *cfg = Fw_ConfigReplica_Config(rs->deps.replica);
    GHashTableIter it;
    gpointer value;
    int n = 0;

    if (FW_FAULT("orphans-not-polled")) {
        return 0;
    }
    g_hash_table_iter_init(&it, cfg->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct fw_upstream *up = value;
        const struct fw_member *m =
            Fw_Fleet_Pick(rs->deps.fleet, Fw_Hash_Str(up->name), 0);
        if (up->role != FW_ROLE_SERVICE && m &&
            Fw_Fleet_IsSelf(rs->deps.fleet, m)) {
            poll_engine(rs, up, out);
            n++;
        }
    }
    return n;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer now)
{
    const struct fw_orphan_candidate *candidate = value;

    (void)key;
    return *(int64_t *)now - candidate->last_seen_us >
           FW_ORPHAN_CANDIDATE_TTL_US;
}

static guint
count_alive(const struct fw_requests *rs)
{
    GPtrArray *members = Fw_Fleet_Members(rs->deps.fleet);
    guint n = 0;

    for (guint i = 0; i < members->len; i++) {
        const struct fw_member *m = g_ptr_array_index(members, i);
        n += m->state == FW_MEMBER_ALIVE;
    }
    g_ptr_array_unref(members);
    return n;
}

/* Polls at once, and more often for a while, when the number of alive members
 * has fallen, so that a failed owner's requests are freed within seconds. */
static void
check_members(struct fw_requests *rs, int64_t now_us)
{
    guint alive = count_alive(rs);

    if (alive < rs->orphans.alive_members) {
        rs->orphans.fast_poll_until_us =
            now_us + FW_ORPHAN_FAST_POLL_PERIOD_US;
        rs->orphans.next_poll_us = now_us;
    }
    rs->orphans.alive_members = alive;
}

void
Fw_Orphans_Tick(struct fw_requests *rs, int64_t now_us, struct fw_actions *out)
{
    struct fw_orphans *o = &rs->orphans;
    int n;

    check_members(rs, now_us);
    if (now_us >= o->next_poll_us) {
        g_hash_table_foreach_remove(o->candidates, is_expired, &now_us);
        Fw_Directory_Expire(&rs->directory, now_us);
        n = poll_all(rs, out);
        o->next_poll_us =
            now_us + (now_us < o->fast_poll_until_us
                          ? FW_ORPHAN_FAST_POLL_INTERVAL_US
                          : FW_ORPHAN_POLL_INTERVAL_US * MAX(n, 1));
    }
    Fw_Actions_Wake(out, o->next_poll_us);
}

static void
cancel_orphan(struct fw_requests *rs, const char *engine, const char *id,
              struct fw_actions *out)
{
    const struct fw_upstream *up = Fw_Config_FindUpstream(
        Fw_ConfigReplica_Config(rs->deps.replica), engine);
    struct fw_up_start *s;

    if (!up) {
        return;
    }
    rs->counters.orphans.value++;
    s = Fw_Request_StartUpstreamCall(
        out, Fw_Owner_MakeId(FW_OWNER_REAP, ++rs->next_op), FW_UP_CANCEL, up,
        FW_ORPHAN_CALL_TIMEOUT_US);
    g_strlcpy(s->u.cancel.request, id, sizeof(s->u.cancel.request));
    Fw_Actions_Note(out, LOG_NOTICE, "orphan_cancelled", "upstream", engine,
                    "request", id, NULL);
}

/* Records a request without a live owner. Cancels it after the grace period,
 * unless the owner is only suspected dead (@dead is 0). */
static void
handle_ownerless(struct fw_requests *rs, const char *engine, const char *id,
                 int attached, int dead, int64_t now_us,
                 struct fw_actions *out)
{
    struct fw_orphan_candidate *candidate =
        g_hash_table_lookup(rs->orphans.candidates, id);
    int64_t grace_us =
        attached ? FW_ORPHAN_ATTACHED_GRACE_US : FW_ORPHAN_GRACE_US;

    if (!candidate) {
        candidate = g_new0(struct fw_orphan_candidate, 1);
        candidate->first_seen_us = now_us;
        g_hash_table_replace(rs->orphans.candidates, g_strdup(id), candidate);
    }
    candidate->last_seen_us = now_us;
    if (FW_FAULT("orphan-on-suspicion")) {
        grace_us = 0;
    }
    if (dead && now_us - candidate->first_seen_us >= grace_us) {
        cancel_orphan(rs, engine, id, out);
    }
}

/* Adds @id to the HELD message for its owner in @queries; a full message is
 * sent. */
static void
query_owner(struct fw_requests *rs, GHashTable *queries, const char *engine,
            const struct engine_id *id, struct fw_actions *out)
{
    struct fw_request_msg *msg = g_hash_table_lookup(queries, id->owner);
    struct fw_request_ids *ids;

    if (!msg || msg->u.ids.n == FW_REQUEST_IDS_MAX) {
        if (msg) {
            Fw_Request_Send(rs, id->owner, msg, out);
        }
        msg = g_new0(struct fw_request_msg, 1);
        msg->kind = FW_REQUEST_HELD;
        g_strlcpy(msg->u.ids.engine, engine, FW_NAME_MAX);
        msg->u.ids.boot = id->boot;
        g_hash_table_replace(queries, g_strdup(id->owner), msg);
    }
    ids = &msg->u.ids;
    ids->seqs[ids->n++] = id->seq;
}

static void
check_held(struct fw_requests *rs, GHashTable *queries, const char *engine,
           const char *text, int attached, int64_t now_us,
           struct fw_actions *out)
{
    const struct fw_self *self = rs->deps.self;
    const struct fw_member *m;
    struct engine_id id;
    int suspected;

    if (parse_engine_id(text, &id)) {
        return; /* not an id of this system */
    }
    if (strcmp(id.owner, self->name) == 0 && id.boot == self->boot) {
        if (!Fw_Requests_HasAttempt(rs, id.seq)) {
            cancel_orphan(rs, engine, text, out);
        }
        return;
    }
    m = Fw_Fleet_Find(rs->deps.fleet, id.owner);
    suspected = m && m->boot == id.boot && m->state == FW_MEMBER_SUSPECT;
    if (m && m->boot == id.boot && !suspected && m->state != FW_MEMBER_DEAD) {
        query_owner(rs, queries, engine, &id, out);
        return;
    }
    handle_ownerless(rs, engine, text, attached, !suspected, now_us, out);
}

void
Fw_Orphans_OnUp(struct fw_requests *rs, const struct fw_up_event *ev,
                int64_t now_us, struct fw_actions *out)
{
    char *engine = NULL;
    gpointer key = NULL;
    GHashTable *queries;
    GHashTableIter it;
    gpointer owner;
    gpointer msg;

    if (!g_hash_table_steal_extended(rs->orphans.pending_polls, &ev->op, &key,
                                     (gpointer *)&engine)) {
        return;
    }
    g_free(key);
    queries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (ev->phase == FW_UP_DONE) {
        for (int i = 0; i < ev->u.held.n; i++) {
            check_held(rs, queries, engine, ev->u.held.requests[i],
                       ev->u.held.attached && ev->u.held.attached[i], now_us,
                       out);
        }
    }
    g_hash_table_iter_init(&it, queries);
    while (g_hash_table_iter_next(&it, &owner, &msg)) {
        Fw_Request_Send(rs, owner, msg, out);
    }
    g_hash_table_unref(queries);
    g_free(engine);
}

/* Replies with the attempts in @held that this process no longer runs. */
static void
on_held(struct fw_requests *rs, const char *from,
        const struct fw_request_ids *held, struct fw_actions *out)
{
    struct fw_request_msg msg = {.kind = FW_REQUEST_DISOWN};
    struct fw_request_ids *ids = &msg.u.ids;

    if (held->boot != rs->deps.self->boot) {
        return;
    }
    g_strlcpy(ids->engine, held->engine, FW_NAME_MAX);
    ids->boot = held->boot;
    for (int i = 0; i < held->n; i++) {
        if (!Fw_Requests_HasAttempt(rs, held->seqs[i])) {
            ids->seqs[ids->n++] = held->seqs[i];
        }
    }
    if (ids->n > 0) {
        Fw_Request_Send(rs, from, &msg, out);
    }
}

void
Fw_Orphans_OnMsg(struct fw_requests *rs, const char *from,
                 const struct fw_request_msg *msg, int64_t now_us,
                 struct fw_actions *out)
{
    const struct fw_request_ids *ids = &msg->u.ids;
    char id[FW_ID_MAX];

    (void)now_us;
    if (msg->kind == FW_REQUEST_HELD) {
        on_held(rs, from, ids, out);
        return;
    }
    for (int i = 0; i < ids->n; i++) {
        g_snprintf(id, sizeof(id), "%s.%" PRIx64 ".%" PRIu64, from, ids->boot,
                   ids->seqs[i]);
        cancel_orphan(rs, ids->engine, id, out);
    }
}
