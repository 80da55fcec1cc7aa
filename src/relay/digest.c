/*
 * Digests that instances send each other: what each has spent of the teams'
 * allowances, what it has at the engines, and requests that took servers
 * down. A digest repeats the whole, so a lost one costs only time.
 */
#include <errno.h>
#include <msgpack.h>
#include <string.h>

#include "core/pack.h"
#include "core/pack_scan.h"
#include "relay/relay_internal.h"

#define FW_DIGEST_FORM 1
/* Entries of one kind in a digest that are taken in. */
#define FW_ENTRIES_MAX 20000

static gint64 *
key_of(uint64_t hash)
{
    gint64 *k = g_new(gint64, 1);

    *k = (gint64)hash;
    return k;
}

static void
pack_spent(struct fw_relay *r, msgpack_packer *pk)
{
    GHashTableIter it;
    gpointer v;

    msgpack_pack_array(pk, g_hash_table_size(r->purses));
    g_hash_table_iter_init(&it, r->purses);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct fw_rl_purse *p = v;

        msgpack_pack_array(pk, 3);
        msgpack_pack_uint64(pk, p->hash);
        msgpack_pack_int64(pk, p->spent);
        msgpack_pack_int64(pk, (int64_t)p->level);
    }
}

static int
has_load(const struct fw_rl_server *s, int64_t now_us)
{
    return s->running || s->reserved || s->reading || now_us < s->suspect_us ||
           Fw_Servers_Switching(s, now_us);
}

static void
pack_load(struct fw_relay *r, int64_t now_us, msgpack_packer *pk)
{
    struct fw_list *pos;
    size_t n = 0;

    FW_LIST_EACH (pos, &r->servers) {
        n += (size_t)has_load(FW_LIST_ENTRY(pos, struct fw_rl_server, link),
                              now_us);
    }
    msgpack_pack_array(pk, n);
    FW_LIST_EACH (pos, &r->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (has_load(s, now_us)) {
            msgpack_pack_array(pk, 6);
            msgpack_pack_uint64(pk, s->hash);
            msgpack_pack_int64(pk, s->running);
            msgpack_pack_int64(pk, s->reserved);
            msgpack_pack_int64(pk, s->reading);
            msgpack_pack_int(pk, Fw_Servers_Switching(s, now_us)
                                     ? (int)s->to_stage
                                     : (int)FW_RL_STAGE_NONE);
            msgpack_pack_int(pk, now_us < s->suspect_us);
        }
    }
}

static void
pack_strikes(struct fw_relay *r, msgpack_packer *pk)
{
    msgpack_pack_array(pk, (size_t)r->n_strikes);
    for (int i = 0; i < r->n_strikes; i++) {
        msgpack_pack_array(pk, 2);
        msgpack_pack_uint64(pk, r->strikes[i].digest);
        msgpack_pack_int64(pk, r->strikes[i].count);
    }
}

static void
pack_watch(struct fw_relay *r, int64_t now_us, msgpack_packer *pk)
{
    msgpack_pack_array(pk, 1);
    msgpack_pack_array(pk, 4);
    msgpack_pack_int(pk, Fw_Relay_ReadsStore(r, now_us));
    msgpack_pack_uint64(pk, r->rules_offset);
    msgpack_pack_uint64(pk, r->watch.list_offset);
    msgpack_pack_uint64(pk, Fw_Watch_ListHash(r));
}

void
Fw_Relay_WriteDigest(struct fw_relay *r, int64_t now_us, GByteArray *out)
{
    msgpack_packer pk;

    r->digest_wanted = 0;
    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, 9);
    msgpack_pack_int(&pk, FW_DIGEST_FORM);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_uint64(&pk, r->opts.boot);
    msgpack_pack_uint64(&pk, ++r->digest_seq);
    msgpack_pack_int(&pk, r->queue.n);
    pack_spent(r, &pk);
    pack_load(r, now_us, &pk);
    pack_strikes(r, &pk);
    pack_watch(r, now_us, &pk);
}

int
Fw_Relay_DigestWanted(const struct fw_relay *r)
{
    return r->digest_wanted;
}

/* Element @i: rows of @width whole numbers; NULL if it is not that. */
static const msgpack_object_array *
rows_of(const msgpack_object *o, uint32_t i, uint32_t width)
{
    const msgpack_object *rows = Fw_Unpack_Array(o, i);
    int64_t ignored;
    uint64_t large;

    if (!rows || rows->via.array.size > FW_ENTRIES_MAX) {
        return NULL;
    }
    for (uint32_t k = 0; k < rows->via.array.size; k++) {
        const msgpack_object *row = Fw_Unpack_Array(rows, k);

        if (!row || row->via.array.size != width) {
            return NULL;
        }
        for (uint32_t n = 0; n < width; n++) {
            if (Fw_Unpack_I64(row, n, &ignored) &&
                Fw_Unpack_U64(row, n, &large)) {
                return NULL;
            }
        }
    }
    return &rows->via.array;
}

static int64_t
cell(const msgpack_object_array *rows, uint32_t i, int k)
{
    return rows->ptr[i].via.array.ptr[k].via.i64;
}

/*
 * The first figure of an instance that was met anew, or was out of touch, is
 * where counting starts: what it spent meanwhile was its own part. One that
 * has started anew starts from nothing.
 */
static void
take_spent(struct fw_relay *r, struct fw_rl_member *m, int first,
           const msgpack_object_array *rows, int64_t now_us)
{
    for (uint32_t i = 0; i < rows->size; i++) {
        uint64_t hash = (uint64_t)cell(rows, i, 0);
        int64_t *before = g_hash_table_lookup(m->spent, &hash);
        int64_t spent = cell(rows, i, 1);

        if (!before) {
            before = g_new0(int64_t, 1);
            g_hash_table_insert(m->spent, key_of(hash), before);
        }
        Fw_Purse_Others(r, hash, first ? 0 : spent - *before, cell(rows, i, 2),
                        now_us);
        *before = spent;
    }
}

static void
take_load(struct fw_rl_member *m, const msgpack_object_array *rows)
{
    g_hash_table_remove_all(m->load);
    for (uint32_t i = 0; i < rows->size; i++) {
        struct fw_rl_load *l = g_new(struct fw_rl_load, 1);

        l->running = (int)cell(rows, i, 1);
        l->reserved = cell(rows, i, 2);
        l->reading = cell(rows, i, 3);
        l->to_stage = (enum fw_rl_stage)cell(rows, i, 4);
        l->unreachable = cell(rows, i, 5) != 0;
        g_hash_table_insert(m->load, key_of((uint64_t)cell(rows, i, 0)), l);
    }
}

static void
take_strikes(struct fw_rl_member *m, const msgpack_object_array *rows)
{
    g_hash_table_remove_all(m->strikes);
    for (uint32_t i = 0; i < rows->size; i++) {
        g_hash_table_insert(m->strikes, key_of((uint64_t)cell(rows, i, 0)),
                            GINT_TO_POINTER((int)cell(rows, i, 1)));
    }
}

/** struct digest - a message, checked. */
struct digest {
    char name[FW_NAME_MAX];
    uint64_t boot;
    uint64_t seq;
    int waiting;
    const msgpack_object_array *spent;
    const msgpack_object_array *load;
    const msgpack_object_array *strikes;
    const msgpack_object_array *watch;
};

static int
read_digest(const msgpack_object *o, struct digest *d)
{
    uint64_t form;
    uint64_t waiting;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 9 ||
        Fw_Unpack_U64(o, 0, &form) || form != FW_DIGEST_FORM ||
        Fw_Unpack_Str(o, 1, d->name, sizeof(d->name)) || !d->name[0] ||
        Fw_Unpack_U64(o, 2, &d->boot) || Fw_Unpack_U64(o, 3, &d->seq) ||
        Fw_Unpack_U64(o, 4, &waiting)) {
        return -EBADMSG;
    }
    d->waiting = (int)MIN(waiting, FW_ENTRIES_MAX);
    d->spent = rows_of(o, 5, 3);
    d->load = rows_of(o, 6, 6);
    d->strikes = rows_of(o, 7, 2);
    d->watch = rows_of(o, 8, 4);
    return d->spent && d->load && d->strikes && d->watch && d->watch->size == 1
               ? 0
               : -EBADMSG;
}

/* Datagrams overtake each other: an older one says nothing new. */
static int
is_old(const struct fw_rl_member *m, const struct digest *d)
{
    return d->boot < m->boot || (d->boot == m->boot && d->seq <= m->seq);
}

static int
take(struct fw_relay *r, const struct digest *d, const char *addr,
     int64_t now_us)
{
    struct fw_rl_member *m = Fw_Members_Find(r, d->name);
    int known = m && m->heard_us;
    int first;

    if (strcmp(d->name, r->opts.name) == 0) {
        return 0;
    }
    if (!m) {
        m = Fw_Members_Add(r, d->name, now_us);
    }
    if (known && is_old(m, d)) {
        return 0;
    }
    first = !known || now_us - m->heard_us >= FW_RL_TOUCH_US;
    if (d->boot != m->boot) {
        g_hash_table_remove_all(m->spent);
    }
    m->boot = d->boot;
    m->seq = d->seq;
    m->heard_us = now_us;
    m->waiting = d->waiting;
    g_strlcpy(m->addr, addr, sizeof(m->addr));
    take_spent(r, m, first, d->spent, now_us);
    take_load(m, d->load);
    take_strikes(m, d->strikes);
    m->reads = (int)cell(d->watch, 0, 0);
    m->rules_offset = (uint64_t)cell(d->watch, 0, 1);
    m->list_offset = (uint64_t)cell(d->watch, 0, 2);
    m->list_hash = (uint64_t)cell(d->watch, 0, 3);
    Fw_Watch_Heard(r, m);
    return !known;
}

int
Fw_Relay_ReadMessage(struct fw_relay *r, const char *addr, const void *data,
                     size_t len, int64_t now_us, GByteArray *reply)
{
    msgpack_unpacked u;
    struct digest d;
    int rc = -EBADMSG;

    if (!Fw_PackScan_IsSane(data, len)) {
        return -EBADMSG;
    }
    msgpack_unpacked_init(&u);
    if (msgpack_unpack_next(&u, data, len, NULL) == MSGPACK_UNPACK_SUCCESS) {
        rc = read_digest(&u.data, &d) == 0
                 ? take(r, &d, addr, now_us)
                 : Fw_Watch_Read(r, &u.data, now_us, reply);
    }
    msgpack_unpacked_destroy(&u);
    return rc;
}
