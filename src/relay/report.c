/*
 * Reports, sent by a leaf to its hub: tokens spent per team and load per
 * server.
 *
 * A report holds the total spent and the part of it that hubs are known to
 * have counted. A new hub counts the difference, so that tokens are counted
 * once when a leaf changes its hub.
 */
#include <errno.h>

#include "base/fault.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_REPORT 8
#define FW_REPORT_ELEMENTS 12

static void
pack_spent(struct fw_relay *r, msgpack_packer *pk)
{
    GHashTableIter it;
    gpointer v;
    size_t n = 0;

    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        n += ((struct fw_rl_allowance *)v)->spent != 0;
    }
    msgpack_pack_array(pk, n);
    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct fw_rl_allowance *p = v;

        p->report_spent = p->spent;
        if (p->spent) {
            msgpack_pack_array(pk, 3);
            msgpack_pack_uint64(pk, p->hash);
            msgpack_pack_int64(pk, p->spent);
            msgpack_pack_int64(pk, p->acknowledged);
        }
    }
}

void
Fw_Report_Write(struct fw_relay *r, int64_t now_us, GByteArray *out)
{
    msgpack_packer pk;

    r->exchange.report_sent_us = now_us;
    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, FW_REPORT_ELEMENTS);
    msgpack_pack_int(&pk, FW_MSG_TYPE_REPORT);
    Fw_Message_PackSender(r, &pk);
    msgpack_pack_uint64(&pk, r->exchange.report_session);
    msgpack_pack_uint64(&pk, ++r->exchange.report_seq);
    r->exchange.reports_sent_us[r->exchange.report_seq % FW_RL_REPORTS_MAX] =
        now_us;
    Fw_Message_PackPrefillRates(r, &pk, now_us);
    pack_spent(r, &pk);
    Fw_Message_PackLoad(r, &pk, NULL, 0, now_us);
    msgpack_pack_array(&pk, 0); /* reserved */
    Fw_Message_PackStoreState(r, &pk, now_us);
}

/** struct report - a report whose format is valid. */
struct report {
    struct fw_rl_sender from;
    uint64_t session;
    uint64_t seq;
    struct fw_rl_common_rows common;
};

static int
read_report(const msgpack_object *o, struct report *p)
{
    uint64_t type;

    if (o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size != FW_REPORT_ELEMENTS ||
        Fw_Unpack_U64(o, 0, &type) || type != FW_MSG_TYPE_REPORT ||
        Fw_Message_ReadSender(o, &p->from) ||
        Fw_Unpack_U64(o, 5, &p->session) || Fw_Unpack_U64(o, 6, &p->seq)) {
        return -EBADMSG;
    }
    return Fw_Message_ReadCommonRows(o, 7, &p->common);
}

static void
apply_spent(struct fw_relay *r, struct fw_rl_member *m,
            const msgpack_object_array *rows, int64_t now_us)
{
    for (uint32_t i = 0; i < rows->size; i++) {
        uint64_t hash = (uint64_t)Fw_Rows_Cell(rows, i, 0);
        int64_t spent = Fw_Rows_Cell(rows, i, 1);
        int64_t counted =
            FW_FAULT("leaf-uncounted") ? spent : Fw_Rows_Cell(rows, i, 2);
        int64_t *previous = Fw_Rows_LookupOrAdd(m->spent, hash, counted);

        Fw_Allowance_NoteLeafSpending(r, hash, spent - *previous, now_us);
        *previous = spent;
    }
}

static void
begin_session(struct fw_rl_member *m, const struct report *p)
{
    m->report_session = p->session;
    g_clear_pointer(&m->spent, g_hash_table_destroy);
    m->spent = Fw_Rows_NewTable();
}

static int
is_stale(const struct fw_rl_member *m, const struct report *p, int64_t now_us)
{
    return Fw_Message_IsFromFormerProcess(m, p->from.boot, now_us) ||
           (p->from.boot == m->boot &&
            (p->session < m->report_session ||
             (p->session == m->report_session && m->last_report_us &&
              p->seq <= m->report_seq)));
}

static int
apply_report(struct fw_relay *r, struct fw_rl_member *m,
             const struct report *p, const char *addr, int64_t now_us)
{
    int is_new = !Fw_Hubs_IsLeaf(r, m, now_us);

    if (p->from.boot != m->boot || p->session != m->report_session ||
        !m->spent) {
        begin_session(m, p);
        is_new = 1;
    }
    m->report_seq = p->seq;
    Fw_Message_ApplySender(r, m, &p->from, addr, now_us);
    m->last_report_us = now_us;
    m->last_digest_us = 0;
    Fw_Rows_ReplaceTable(&m->prefill_rates, p->common.prefill_rates);
    apply_spent(r, m, p->common.spent, now_us);
    Fw_Load_Replace(r, m, p->common.load, FW_RL_SCOPE_LEAF, now_us);
    Fw_Message_ApplyStoreState(r, m, p->common.store_state, now_us);
    return is_new;
}

int
Fw_Report_Read(struct fw_relay *r, const msgpack_object *o, const char *addr,
               int64_t now_us, GByteArray *reply)
{
    struct fw_rl_member *m;
    struct report p;
    int is_new;

    if (read_report(o, &p)) {
        return -EBADMSG;
    }
    m = Fw_Message_FindOrAddSender(r, &p.from, now_us);
    if (!m || is_stale(m, &p, now_us)) {
        return 0;
    }
    is_new = apply_report(r, m, &p, addr, now_us);
    if (!r->exchange.is_hub) {
        Fw_Hubs_UpdateRoles(r, now_us);
    }
    Fw_Reply_Write(r, m, p.seq, now_us, reply);
    return is_new;
}
