/*
 * Digests, sent between hubs: tokens spent per team and load per server of a
 * hub and its leaves. A digest holds totals, so the next one makes up for one
 * that is lost.
 */
#include <errno.h>

#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_DIGEST 7
#define FW_DIGEST_ELEMENTS 12

static int
is_current_leaf(const struct fw_rl_member *m)
{
    return m->last_report_us && m->last_report_us >= m->last_digest_us;
}

/* Packs each leaf with the time since its last message. */
static void
pack_leaves(const struct fw_relay *r, int64_t now_us, msgpack_packer *pk)
{
    struct fw_list *pos;
    size_t n = 0;

    FW_LIST_EACH (pos, &r->members) {
        n += (size_t)is_current_leaf(
            FW_LIST_ENTRY(pos, struct fw_rl_member, link));
    }
    msgpack_pack_array(pk, n);
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (is_current_leaf(m)) {
            msgpack_pack_array(pk, 2);
            msgpack_pack_uint64(pk, m->hash);
            msgpack_pack_int64(pk, MAX(now_us - m->last_message_us, 0));
        }
    }
}

void
Fw_Digest_Write(struct fw_relay *r, int64_t now_us, GByteArray *out)
{
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, FW_DIGEST_ELEMENTS);
    msgpack_pack_int(&pk, FW_MSG_TYPE_DIGEST);
    Fw_Message_PackSender(r, &pk);
    msgpack_pack_uint64(&pk, ++r->digest_seq);
    Fw_Message_PackPrefillRates(r, &pk, now_us);
    Fw_Delta_PackSpent(r, &pk, 0);
    Fw_Message_PackLoad(r, &pk, NULL, 0, now_us);
    msgpack_pack_array(&pk, 0); /* reserved */
    Fw_Message_PackStoreState(r, &pk, now_us);
    pack_leaves(r, now_us, &pk);
}

/** struct digest - a digest whose format is valid. */
struct digest {
    struct fw_rl_sender from;
    uint64_t seq;
    struct fw_rl_common_rows common;
    const msgpack_object_array *leaves;
};

static int
read_digest(const msgpack_object *o, struct digest *d)
{
    uint64_t type;

    if (o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size != FW_DIGEST_ELEMENTS ||
        Fw_Unpack_U64(o, 0, &type) || type != FW_MSG_TYPE_DIGEST ||
        Fw_Message_ReadSender(o, &d->from) || Fw_Unpack_U64(o, 5, &d->seq)) {
        return -EBADMSG;
    }
    d->leaves = Fw_Rows_Unpack(o, 11, 2);
    return d->leaves ? Fw_Message_ReadCommonRows(o, 6, &d->common) : -EBADMSG;
}

/* Datagrams may be reordered or duplicated. */
static int
is_stale(const struct fw_rl_member *m, const struct digest *d, int64_t now_us)
{
    return Fw_Message_IsFromFormerProcess(m, d->from.boot, now_us) ||
           (d->from.boot == m->boot && d->seq <= m->digest_seq);
}

static void
apply_leaves(struct fw_relay *r, const msgpack_object_array *rows,
             int64_t now_us)
{
    for (uint32_t i = 0; i < rows->size; i++) {
        Fw_Members_NoteRemoteLeaf(r, (uint64_t)Fw_Rows_Cell(rows, i, 0),
                                  now_us - MAX(Fw_Rows_Cell(rows, i, 1), 0));
    }
}

/* A leaf gets these values from its hub and would count them twice. */
static void
apply_common_rows(struct fw_relay *r, struct fw_rl_member *m,
                  const struct digest *d, int is_first, int64_t now_us)
{
    if (!r->exchange.is_hub) {
        return;
    }
    Fw_Rows_ReplaceTable(&m->prefill_rates, d->common.prefill_rates);
    Fw_Delta_ApplySpent(r, m, is_first, d->common.spent, now_us);
    Fw_Load_Replace(r, m, d->common.load, FW_RL_SCOPE_OTHER, now_us);
    apply_leaves(r, d->leaves, now_us);
}

/*
 * Return: nonzero if the sender wasn't a live hub before, or has been started
 * anew, so that it knows nothing. It is then sent a
 * digest at once: while only one of the two counts the other as live, their
 * shares of an allowance add up to more than the whole.
 */
static int
apply_digest(struct fw_relay *r, const struct digest *d, const char *addr,
             int64_t now_us)
{
    struct fw_rl_member *m = Fw_Message_FindOrAddSender(r, &d->from, now_us);
    int is_first;
    int is_new;

    if (!m || (m->last_message_us && is_stale(m, d, now_us))) {
        return 0;
    }
    is_first = !m->last_digest_us ||
               now_us - m->last_digest_us >= Fw_Members_TimeoutUs(r);
    is_new = is_first || d->from.boot != m->boot;
    if (d->from.boot != m->boot && m->spent) {
        g_hash_table_remove_all(m->spent);
    }
    m->digest_seq = d->seq;
    Fw_Message_ApplySender(r, m, &d->from, addr, now_us);
    m->last_digest_us = now_us;
    m->last_report_us = 0;
    apply_common_rows(r, m, d, is_first, now_us);
    Fw_Message_ApplyStoreState(r, m, d->common.store_state, now_us);
    return is_new;
}

int
Fw_Digest_Read(struct fw_relay *r, const msgpack_object *o, const char *addr,
               int64_t now_us)
{
    struct digest d;
    int rc = read_digest(o, &d);

    return rc ? rc : apply_digest(r, &d, addr, now_us);
}
