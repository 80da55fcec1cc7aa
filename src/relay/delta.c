/*
 * Deltas, sent between hubs between two digests: the totals of tokens spent
 * and of load that have changed since the last message.
 *
 * Until instances learn of each other's decisions they grant the same tokens
 * and choose the same engine. A team's allowance is then overdrawn and its
 * later requests rejected, and an engine's KV cache is overcommitted, so that
 * it preempts streams while others have room.
 */
#include <errno.h>

#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_DELTA 4

/* Tokens spent here and by this hub's leaves. */
static int64_t
total_spent(const struct fw_rl_allowance *p)
{
    return p->spent + p->leaf_spent;
}

static int
should_send(const struct fw_rl_allowance *p, int only_unsent)
{
    return !only_unsent || total_spent(p) != p->digest_spent;
}

void
Fw_Delta_PackSpent(struct fw_relay *r, msgpack_packer *pk, int only_unsent)
{
    GHashTableIter it;
    gpointer v;
    size_t n = 0;

    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        n += (size_t)should_send(v, only_unsent);
    }
    msgpack_pack_array(pk, n);
    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct fw_rl_allowance *p = v;

        if (!should_send(p, only_unsent)) {
            continue;
        }
        msgpack_pack_array(pk, 3);
        msgpack_pack_uint64(pk, p->hash);
        msgpack_pack_int64(pk, total_spent(p));
        msgpack_pack_int64(pk, (int64_t)p->level);
        p->digest_spent = total_spent(p);
        p->acknowledged = p->spent;
    }
}

void
Fw_Delta_NotePlacement(struct fw_relay *r, struct fw_rl_server *s)
{
    s->is_unsent = 1;
    Fw_Servers_Activate(r, s);
    r->exchange.delta_pending = 1;
}

void
Fw_Delta_Write(struct fw_relay *r, int64_t now_us, GByteArray *out)
{
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, 6);
    msgpack_pack_int(&pk, FW_MSG_TYPE_DELTA);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_uint64(&pk, r->opts.boot);
    msgpack_pack_uint64(&pk, ++r->digest_seq);
    Fw_Delta_PackSpent(r, &pk, 1);
    Fw_Message_PackLoad(r, &pk, NULL, 1, now_us);
}

/*
 * The first total of an instance that is new or wasn't live is the base for
 * later ones: what it spent before came out of its own share of the allowance.
 * The base of an instance that has restarted is 0.
 */
void
Fw_Delta_ApplySpent(struct fw_relay *r, struct fw_rl_member *m, int is_first,
                    const msgpack_object_array *rows, int64_t now_us)
{
    if (!m->spent) {
        m->spent = Fw_Rows_NewTable();
    }
    for (uint32_t i = 0; i < rows->size; i++) {
        uint64_t hash = (uint64_t)Fw_Rows_Cell(rows, i, 0);
        int64_t *previous = Fw_Rows_LookupOrAdd(m->spent, hash, 0);
        int64_t spent = Fw_Rows_Cell(rows, i, 1);

        Fw_Allowance_NoteHubSpending(r, hash, is_first ? 0 : spent - *previous,
                                     Fw_Rows_Cell(rows, i, 2), now_us);
        *previous = spent;
    }
}

/*
 * A delta is applied only after a digest of the same process lifetime within
 * the timeout, as only digests set the base of the totals.
 */
int
Fw_Delta_Read(struct fw_relay *r, const msgpack_object *o, int64_t now_us)
{
    const msgpack_object_array *spent;
    const msgpack_object_array *load;
    struct fw_rl_member *m;
    char name[FW_NAME_MAX];
    uint64_t type;
    uint64_t boot;
    uint64_t seq;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 6 ||
        Fw_Unpack_U64(o, 0, &type) || type != FW_MSG_TYPE_DELTA ||
        Fw_Unpack_Str(o, 1, name, sizeof(name)) ||
        Fw_Unpack_U64(o, 2, &boot) || Fw_Unpack_U64(o, 3, &seq)) {
        return -EBADMSG;
    }
    spent = Fw_Rows_Unpack(o, 4, 3);
    load = Fw_Rows_Unpack(o, 5, 6);
    if (!spent || !load) {
        return -EBADMSG;
    }
    m = Fw_Members_Find(r, name);
    if (!r->exchange.is_hub || !m || boot != m->boot || seq <= m->digest_seq ||
        !m->last_digest_us ||
        now_us - m->last_digest_us >= Fw_Members_TimeoutUs(r)) {
        return 0;
    }
    m->digest_seq = seq;
    Fw_Delta_ApplySpent(r, m, 0, spent, now_us);
    Fw_Load_Merge(r, m, load, now_us);
    return 0;
}
