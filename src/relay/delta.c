/*
 * What an instance has spent of the teams' allowances and what it has at the
 * engines, told to the others: all of it in each digest, and between digests
 * by a message of its own what has just been taken.
 *
 * Without the second, instances that see the same figures take the same until
 * the next digest, up to 150 ms later. The level of a team's allowance then
 * falls far below zero, and a team that keeps to its rate is refused for it;
 * one engine gets several streams more than it has memory for and preempts
 * them, while the one beside it is half empty.
 */
#include <errno.h>

#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_FORM_DELTA 4
/*
 * Fleets up to this size tell placements at once. Where there are more
 * instances there are more engines too, and the same one is rarely taken by
 * two of them at once, while each message goes to all.
 */
#define FW_TELL_PLACED_MAX 100

static int
is_told(const struct fw_rl_allowance *p, int only_untold)
{
    return !only_untold || p->untold > 0;
}

void
Fw_Delta_PackSpent(struct fw_relay *r, msgpack_packer *pk, int only_untold)
{
    GHashTableIter it;
    gpointer v;
    size_t n = 0;

    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        n += (size_t)is_told(v, only_untold);
    }
    msgpack_pack_array(pk, n);
    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct fw_rl_allowance *p = v;

        if (!is_told(p, only_untold)) {
            continue;
        }
        msgpack_pack_array(pk, 3);
        msgpack_pack_uint64(pk, p->hash);
        msgpack_pack_int64(pk, p->spent);
        msgpack_pack_int64(pk, (int64_t)p->level);
        p->untold = 0;
    }
}

static int
has_load(const struct fw_rl_server *s, int64_t now_us, int only_untold)
{
    if (only_untold) {
        return s->untold;
    }
    return s->running || s->reserved || s->reading || now_us < s->suspect_us ||
           Fw_Servers_Switching(s, now_us);
}

static void
pack_one(struct fw_rl_server *s, int64_t now_us, msgpack_packer *pk)
{
    msgpack_pack_array(pk, 6);
    msgpack_pack_uint64(pk, s->hash);
    msgpack_pack_int64(pk, s->running);
    msgpack_pack_int64(pk, s->reserved);
    msgpack_pack_int64(pk, s->reading);
    msgpack_pack_int(pk, Fw_Servers_Switching(s, now_us)
                             ? (int)s->to_stage
                             : (int)FW_RL_STAGE_NONE);
    msgpack_pack_int(pk, now_us < s->suspect_us);
    s->untold = 0;
}

void
Fw_Delta_PackLoad(struct fw_relay *r, msgpack_packer *pk, int only_untold,
                  int64_t now_us)
{
    struct fw_list *pos;
    size_t n = 0;

    FW_LIST_EACH (pos, &r->servers) {
        n += (size_t)has_load(FW_LIST_ENTRY(pos, struct fw_rl_server, link),
                              now_us, only_untold);
    }
    msgpack_pack_array(pk, n);
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (has_load(s, now_us, only_untold)) {
            pack_one(s, now_us, pk);
        }
    }
}

void
Fw_Delta_Placed(struct fw_relay *r, struct fw_rl_server *s, int64_t now_us)
{
    if (Fw_Members_Count(r, now_us, NULL) <= FW_TELL_PLACED_MAX) {
        s->untold = 1;
        r->delta_wanted = 1;
    }
}

enum fw_rl_tell
Fw_Relay_WriteDelta(struct fw_relay *r, int64_t now_us, GByteArray *out)
{
    GHashTableIter it;
    gpointer v;
    msgpack_packer pk;

    int spent = 0;

    if (!r->delta_wanted) {
        return FW_RL_TELL_NOTHING;
    }
    r->delta_wanted = 0;
    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        spent |= is_told(v, 1);
    }
    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, 6);
    msgpack_pack_int(&pk, FW_FORM_DELTA);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_uint64(&pk, r->opts.boot);
    msgpack_pack_uint64(&pk, ++r->digest_seq);
    Fw_Delta_PackSpent(r, &pk, 1);
    Fw_Delta_PackLoad(r, &pk, 1, now_us);
    return spent ? FW_RL_TELL_DIRECTLY : FW_RL_TELL;
}

/*
 * The first figure of an instance that was met anew, or was out of touch, is
 * where counting starts: what it spent meanwhile was its own part. One that
 * has started anew starts from nothing.
 */
void
Fw_Delta_TakeSpent(struct fw_relay *r, struct fw_rl_member *m, int first,
                   const msgpack_object_array *rows, int64_t now_us)
{
    for (uint32_t i = 0; i < rows->size; i++) {
        uint64_t hash = (uint64_t)Fw_Rows_Cell(rows, i, 0);
        int64_t *before = g_hash_table_lookup(m->spent, &hash);
        int64_t spent = Fw_Rows_Cell(rows, i, 1);

        if (!before) {
            before = g_new0(int64_t, 1);
            g_hash_table_insert(m->spent, Fw_Rows_Key(hash), before);
        }
        Fw_Allowance_Others(r, hash, first ? 0 : spent - *before,
                            Fw_Rows_Cell(rows, i, 2), now_us);
        *before = spent;
    }
}

void
Fw_Delta_TakeLoad(struct fw_rl_member *m, const msgpack_object_array *rows)
{
    for (uint32_t i = 0; i < rows->size; i++) {
        struct fw_rl_load *l = g_new(struct fw_rl_load, 1);

        l->running = (int)Fw_Rows_Cell(rows, i, 1);
        l->reserved = Fw_Rows_Cell(rows, i, 2);
        l->reading = Fw_Rows_Cell(rows, i, 3);
        l->to_stage = (enum fw_rl_stage)Fw_Rows_Cell(rows, i, 4);
        l->unreachable = Fw_Rows_Cell(rows, i, 5) != 0;
        g_hash_table_replace(
            m->load, Fw_Rows_Key((uint64_t)Fw_Rows_Cell(rows, i, 0)), l);
    }
}

/*
 * Only from an instance that is in touch in this lifetime: where counting
 * starts is the business of whole digests.
 */
int
Fw_Delta_Read(struct fw_relay *r, const msgpack_object *o, int64_t now_us)
{
    const msgpack_object_array *spent;
    const msgpack_object_array *load;
    struct fw_rl_member *m;
    char name[FW_NAME_MAX];
    uint64_t form;
    uint64_t boot;
    uint64_t seq;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 6 ||
        Fw_Unpack_U64(o, 0, &form) || form != FW_FORM_DELTA ||
        Fw_Unpack_Str(o, 1, name, sizeof(name)) ||
        Fw_Unpack_U64(o, 2, &boot) || Fw_Unpack_U64(o, 3, &seq)) {
        return -EBADMSG;
    }
    spent = Fw_Rows_Of(o, 4, 3);
    load = Fw_Rows_Of(o, 5, 6);
    if (!spent || !load) {
        return -EBADMSG;
    }
    m = Fw_Members_Find(r, name);
    if (!m || boot != m->boot || seq <= m->seq ||
        now_us - m->heard_us >= FW_RL_TOUCH_US) {
        return 0;
    }
    m->seq = seq;
    Fw_Delta_TakeSpent(r, m, 0, spent, now_us);
    Fw_Delta_TakeLoad(m, load);
    return 0;
}
