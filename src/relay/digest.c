/*
 * Digests that instances send each other: what each has spent of the teams'
 * allowances, what it has at the engines, and requests that took servers
 * down. A digest repeats the whole, so a lost one costs only time.
 */
#include <errno.h>
#include <msgpack.h>
#include <string.h>

#include "base/hash.h"
#include "core/pack.h"
#include "core/pack_scan.h"
#include "relay/relay_internal.h"

#define FW_DIGEST_FORM 6
#define FW_DIGEST_SIZE 10

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

static void
pack_reading(struct fw_relay *r, int64_t now_us, msgpack_packer *pk)
{
    msgpack_pack_array(pk, r->learned->len);
    for (guint i = 0; i < r->learned->len; i++) {
        const struct fw_learned *l = g_ptr_array_index(r->learned, i);

        msgpack_pack_array(pk, 2);
        msgpack_pack_uint64(pk, Fw_Hash_Str(l->service));
        msgpack_pack_int64(pk, (int64_t)Fw_Reading_Rate(&l->reading, now_us));
    }
}

void
Fw_Relay_WriteDigest(struct fw_relay *r, int64_t now_us, GByteArray *out)
{
    msgpack_packer pk;

    r->digest_wanted = 0;
    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, FW_DIGEST_SIZE);
    msgpack_pack_int(&pk, FW_DIGEST_FORM);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_uint64(&pk, Fw_Hash_Str(r->opts.domain));
    msgpack_pack_uint64(&pk, r->opts.boot);
    msgpack_pack_uint64(&pk, ++r->digest_seq);
    pack_reading(r, now_us, &pk);
    Fw_Delta_PackSpent(r, &pk, 0);
    Fw_Delta_PackLoad(r, &pk, 0, now_us);
    pack_strikes(r, &pk);
    pack_watch(r, now_us, &pk);
}

int
Fw_Relay_DigestWanted(const struct fw_relay *r)
{
    return r->digest_wanted;
}

static void
take_strikes(struct fw_rl_member *m, const msgpack_object_array *rows)
{
    g_hash_table_remove_all(m->strikes);
    for (uint32_t i = 0; i < rows->size; i++) {
        g_hash_table_insert(m->strikes,
                            Fw_Rows_Key((uint64_t)Fw_Rows_Cell(rows, i, 0)),
                            GINT_TO_POINTER((int)Fw_Rows_Cell(rows, i, 1)));
    }
}

static void
take_reading(struct fw_rl_member *m, const msgpack_object_array *rows)
{
    g_hash_table_remove_all(m->reading);
    for (uint32_t i = 0; i < rows->size; i++) {
        int64_t *rate = g_new(int64_t, 1);

        *rate = MAX(Fw_Rows_Cell(rows, i, 1), 0);
        g_hash_table_insert(
            m->reading, Fw_Rows_Key((uint64_t)Fw_Rows_Cell(rows, i, 0)), rate);
    }
}

/** struct digest - a message, checked. */
struct digest {
    char name[FW_NAME_MAX];
    uint64_t domain;
    uint64_t boot;
    uint64_t seq;
    const msgpack_object_array *reading;
    const msgpack_object_array *spent;
    const msgpack_object_array *load;
    const msgpack_object_array *strikes;
    const msgpack_object_array *watch;
};

static int
read_digest(const msgpack_object *o, struct digest *d)
{
    uint64_t form;

    if (o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size != FW_DIGEST_SIZE || Fw_Unpack_U64(o, 0, &form) ||
        form != FW_DIGEST_FORM ||
        Fw_Unpack_Str(o, 1, d->name, sizeof(d->name)) || !d->name[0] ||
        Fw_Unpack_U64(o, 2, &d->domain) || Fw_Unpack_U64(o, 3, &d->boot) ||
        Fw_Unpack_U64(o, 4, &d->seq)) {
        return -EBADMSG;
    }
    d->reading = Fw_Rows_Of(o, 5, 2);
    d->spent = Fw_Rows_Of(o, 6, 3);
    d->load = Fw_Rows_Of(o, 7, 6);
    d->strikes = Fw_Rows_Of(o, 8, 2);
    d->watch = Fw_Rows_Of(o, 9, 4);
    return d->reading && d->spent && d->load && d->strikes && d->watch &&
                   d->watch->size == 1
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
    take_reading(m, d->reading);
    m->domain = d->domain;
    g_strlcpy(m->addr, addr, sizeof(m->addr));
    Fw_Delta_TakeSpent(r, m, first, d->spent, now_us);
    g_hash_table_remove_all(m->load);
    Fw_Delta_TakeLoad(m, d->load);
    take_strikes(m, d->strikes);
    m->reads = (int)Fw_Rows_Cell(d->watch, 0, 0);
    m->rules_offset = (uint64_t)Fw_Rows_Cell(d->watch, 0, 1);
    m->list_offset = (uint64_t)Fw_Rows_Cell(d->watch, 0, 2);
    m->list_hash = (uint64_t)Fw_Rows_Cell(d->watch, 0, 3);
    Fw_Watch_Heard(r, m);
    return !known;
}

static int
read_message(struct fw_relay *r, const msgpack_object *o, const char *addr,
             int64_t now_us, GByteArray *reply)
{
    struct digest d;

    if (read_digest(o, &d) == 0) {
        return take(r, &d, addr, now_us);
    }
    if (Fw_Delta_Read(r, o, now_us) == 0 || Fw_Learned_Read(r, o) == 0) {
        return 0;
    }
    return Fw_Watch_Read(r, o, now_us, reply);
}

int
Fw_Relay_ReadMessage(struct fw_relay *r, const char *addr, const void *data,
                     size_t len, int64_t now_us, GByteArray *reply)
{
    msgpack_unpacked u;
    int rc = -EBADMSG;

    if (!Fw_PackScan_IsSane(data, len)) {
        return -EBADMSG;
    }
    msgpack_unpacked_init(&u);
    if (msgpack_unpack_next(&u, data, len, NULL) == MSGPACK_UNPACK_SUCCESS) {
        rc = read_message(r, &u.data, addr, now_us, reply);
    }
    msgpack_unpacked_destroy(&u);
    return rc;
}
