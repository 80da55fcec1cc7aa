/*
 * Synchronization with the platform's store. The store limits the request rate
 * of all instances together, so only two hubs poll it. The other hubs query
 * these for their offsets, leaves get them in their hub's replies, and an
 * instance that is behind reads the store once.
 *
 * An age in an answer counts from when the query was sent, so that time in
 * transit can't make data seem newer than it is. An instance that gets no
 * answers polls the store itself.
 */
#include <errno.h>
#include <msgpack.h>
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_QUERY 2
#define FW_MSG_TYPE_ANSWER 3

/*
 * Number of hubs that poll the store: of those that sent a digest recently and
 * can reach the store, the ones with the lowest hashes of their names.
 */
#define FW_STORE_POLLERS 2
/* Interval of a hub's queries; the next one replaces an unanswered one. */
#define FW_QUERY_INTERVAL_HUB_US (300 * FW_MSEC)
/* Interval of a leaf's queries, sent only while its data is stale. */
#define FW_QUERY_INTERVAL_LEAF_US (1 * FW_SEC)
/* Age of its data at which a hub polls the store. */
#define FW_STORE_STALE_US (3 * FW_SEC)
/*
 * Age of its data at which a leaf, or an instance that polls the store, sends
 * queries as well: the store may reject some instances while it serves others,
 * and an instance must have newer data before callers' keys expire after
 * 4.8 s. A poll without errors takes 1.5 s.
 */
#define FW_QUERY_WHEN_STALE_US (2 * FW_SEC)
/* Time after the start to wait for the list of members, and for a hub. */
#define FW_MEMBER_LIST_WAIT_US (300 * FW_MSEC)
#define FW_HUB_WAIT_US (1 * FW_SEC)
/* A member that sent no message for this long isn't queried. */
#define FW_QUERY_SILENCE_US (2500 * FW_MSEC)
/*
 * A hub that sent no digest for this long isn't counted among those that poll.
 * A server that leaves gets no new requests after two seconds, in which the
 * hubs have to notice this silence and to read the store.
 */
#define FW_POLLER_SILENCE_US (700 * FW_MSEC)

static int
sent_recently(const struct fw_rl_member *m, int64_t now_us)
{
    return m->last_message_us &&
           now_us - m->last_message_us < FW_QUERY_SILENCE_US;
}

/*
 * After its start a hub waits for the list of members, and a leaf for its hub,
 * before it polls the store. Otherwise all of many instances that start at
 * once would poll it.
 */
static int
waits_after_start(const struct fw_relay *r, int64_t now_us)
{
    int64_t wait_us =
        r->exchange.is_hub ? FW_MEMBER_LIST_WAIT_US : FW_HUB_WAIT_US;

    return !(r->store_sync.members_known && r->exchange.is_hub) &&
           now_us - r->start_us < wait_us;
}

/* Hubs that reach the store and poll it before this one does. */
static int
count_pollers_before(const struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        n += m->last_digest_us &&
             now_us - m->last_digest_us < FW_POLLER_SILENCE_US &&
             !m->store_unreachable && m->hash < r->hash;
    }
    return n;
}

int
Fw_Relay_ReadsStore(const struct fw_relay *r, int64_t now_us)
{
    if (!r->rules || !r->has_server_list) {
        return !waits_after_start(r, now_us);
    }
    if (!r->exchange.is_hub) {
        return Fw_Relay_IsIsolated(r, now_us);
    }
    if (now_us - r->rules_fresh_us > FW_STORE_STALE_US) {
        return 1;
    }
    return count_pollers_before(r, now_us) < FW_STORE_POLLERS;
}

int
Fw_StoreSync_IsWriter(const struct fw_relay *r, int64_t now_us)
{
    if (!r->rules || !r->store_sync.members_known ||
        r->store_sync.store_lost) {
        return 0;
    }
    return r->exchange.is_hub ? !count_pollers_before(r, now_us)
                              : Fw_Relay_IsIsolated(r, now_us);
}

/*
 * The configuration is known to be current as of the start of the last
 * answered long poll, which may be two poll timeouts ago. In a fleet where
 * some instances query those that poll, which makes their data older still,
 * the timeout is halved.
 */
int64_t
Fw_Relay_RulesPollUs(struct fw_relay *r, int64_t base_us, int64_t now_us)
{
    return Fw_Members_Count(r, now_us, NULL) <= FW_STORE_POLLERS ? base_us
                                                                 : base_us / 2;
}

uint64_t
Fw_StoreSync_RulesEnd(const struct fw_relay *r)
{
    return r->rules ? MAX(r->rules_offset + 1, r->store_sync.rules_offset) : 0;
}

void
Fw_Relay_SetRulesOffset(struct fw_relay *r, uint64_t offset)
{
    r->store_sync.rules_offset = MAX(r->store_sync.rules_offset, offset);
}

uint64_t
Fw_StoreSync_EntryHash(const struct fw_rl_server_entry *e)
{
    uint64_t seed = (uint64_t)e->born_ms * 16 +
                    (uint64_t)(e->cold_us > 0) * 8 +
                    (uint64_t)e->draining * 4 + (uint64_t)e->stage;

    return Fw_Hash_Bytes(e->id, strlen(e->id), seed);
}

/* A sum of the entries' hashes, so that their order doesn't matter. */
uint64_t
Fw_StoreSync_ServerListHash(const struct fw_relay *r)
{
    return r->list_hash;
}

/* Leaves have slow links, which many that start at once would congest. */
void
Fw_StoreSync_NoteMember(struct fw_relay *r, const struct fw_rl_member *m)
{
    if (r->store_sync.members_known && !m->is_ranked_hub) {
        return;
    }
    if (m->rules_end > Fw_StoreSync_RulesEnd(r)) {
        g_strlcpy(r->store_sync.rules_source, m->addr, FW_URL_MAX);
    }
    if (m->list_offset > r->store_sync.list_offset &&
        m->list_hash != Fw_StoreSync_ServerListHash(r)) {
        g_strlcpy(r->store_sync.list_source, m->addr, FW_URL_MAX);
    }
}

int
Fw_StoreSync_IsBehind(const struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (sent_recently(m, now_us) &&
            m->rules_end > Fw_StoreSync_RulesEnd(r)) {
            return 1;
        }
    }
    return 0;
}

static int
take_addr(char from[FW_URL_MAX], char addr[FW_URL_MAX])
{
    if (!from[0]) {
        return 0;
    }
    g_strlcpy(addr, from, FW_URL_MAX);
    from[0] = 0;
    return 1;
}

int
Fw_Relay_TakeRulesSource(struct fw_relay *r, char addr[FW_URL_MAX])
{
    return take_addr(r->store_sync.rules_source, addr);
}

int
Fw_Relay_TakeServerListSource(struct fw_relay *r, char addr[FW_URL_MAX])
{
    return take_addr(r->store_sync.list_source, addr);
}

void
Fw_Relay_EndMemberList(struct fw_relay *r, int64_t now_us)
{
    int is_first = !r->store_sync.members_known;

    Fw_CrashStore_EndList(r, now_us);
    r->store_sync.members_known = 1;
    Fw_Presence_NoteRead(r, now_us);
    Fw_Hubs_UpdateRoles(r, now_us);
    if (is_first) {
        Fw_Exchange_ReportProgress(r);
    }
}

void
Fw_Relay_SetServerListOffset(struct fw_relay *r, uint64_t offset)
{
    r->store_sync.list_offset = offset;
}

/* A random live member that polls the store, or NULL. */
static struct fw_rl_member *
pick_reader(struct fw_relay *r, int64_t now_us)
{
    struct fw_rl_member *picked = NULL;
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->reads_store && sent_recently(m, now_us) &&
            g_rand_int_range(r->rand, 0, ++n) == 0) {
            picked = m;
        }
    }
    return picked;
}

void
Fw_StoreSync_SendQuery(struct fw_relay *r, int64_t now_us,
                       struct fw_rl_outbox *out)
{
    struct fw_rl_member *m;
    GByteArray *msg;
    msgpack_packer pk;

    int64_t interval_us = r->exchange.is_hub ? FW_QUERY_INTERVAL_HUB_US
                                             : FW_QUERY_INTERVAL_LEAF_US;

    if (now_us - r->store_sync.query_us < interval_us ||
        (!r->exchange.is_hub &&
         now_us - r->rules_fresh_us < FW_QUERY_WHEN_STALE_US) ||
        (Fw_Relay_ReadsStore(r, now_us) &&
         now_us - r->rules_fresh_us < FW_QUERY_WHEN_STALE_US)) {
        return;
    }
    m = pick_reader(r, now_us);
    if (!m) {
        return;
    }
    r->store_sync.query_us = now_us;
    r->store_sync.nonce = ++r->store_sync.last_nonce;
    msg = g_byte_array_new();
    Fw_Pack_Begin(&pk, msg);
    msgpack_pack_array(&pk, 3);
    msgpack_pack_int(&pk, FW_MSG_TYPE_QUERY);
    msgpack_pack_uint64(&pk, r->opts.boot);
    msgpack_pack_uint64(&pk, r->store_sync.nonce);
    Fw_Outbox_Add(out, m->addr, msg);
    g_byte_array_unref(msg);
}

static void
send_answer(struct fw_relay *r, const msgpack_object *f, const char *addr,
            int64_t now_us, struct fw_rl_outbox *out)
{
    GByteArray *reply;
    msgpack_packer pk;

    if (!r->rules) {
        return;
    }
    reply = g_byte_array_new();
    Fw_Pack_Begin(&pk, reply);
    msgpack_pack_array(&pk, 5);
    msgpack_pack_int(&pk, FW_MSG_TYPE_ANSWER);
    msgpack_pack_uint64(&pk, f[1].via.u64);
    msgpack_pack_uint64(&pk, f[2].via.u64);
    msgpack_pack_uint64(&pk, Fw_StoreSync_RulesEnd(r));
    msgpack_pack_uint64(&pk, (uint64_t)MAX(now_us - r->rules_fresh_us, 0));
    Fw_Outbox_Add(out, addr, reply);
    g_byte_array_unref(reply);
}

static void
apply_answer(struct fw_relay *r, const msgpack_object *f, const char *addr,
             int64_t now_us)
{
    int64_t from_us = r->store_sync.query_us;

    if (f[1].via.u64 != r->opts.boot || f[2].via.u64 != r->store_sync.nonce) {
        return; /* not to the last query */
    }
    r->store_sync.nonce = 0;
    if (f[3].via.u64 > Fw_StoreSync_RulesEnd(r)) {
        g_strlcpy(r->store_sync.rules_source, addr, FW_URL_MAX);
    }
    else if (f[3].via.u64 == Fw_StoreSync_RulesEnd(r)) {
        if (FW_FAULT("fresh-from-arrival")) {
            from_us = now_us;
        }
        Fw_Relay_SetFreshAsOf(r, from_us - (int64_t)f[4].via.u64);
    }
}

static int
all_unsigned(const msgpack_object_array *a)
{
    for (uint32_t i = 0; i < a->size; i++) {
        if (a->ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return 0;
        }
    }
    return 1;
}

int
Fw_StoreSync_Read(struct fw_relay *r, const msgpack_object *o,
                  const char *addr, int64_t now_us, struct fw_rl_outbox *out)
{
    const msgpack_object_array *a = &o->via.array;

    if (o->type != MSGPACK_OBJECT_ARRAY || !all_unsigned(a)) {
        return -EBADMSG;
    }
    if (a->size == 3 && a->ptr[0].via.u64 == FW_MSG_TYPE_QUERY) {
        send_answer(r, a->ptr, addr, now_us, out);
        return 0;
    }
    if (a->size == 5 && a->ptr[0].via.u64 == FW_MSG_TYPE_ANSWER) {
        apply_answer(r, a->ptr, addr, now_us);
        return 0;
    }
    return -EBADMSG;
}
