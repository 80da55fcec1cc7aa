/*
 * Replies of a hub to a leaf's reports: levels of the teams' allowances, all
 * other instances' load per server, and how far the store was read. When an
 * allowance is nearly empty, replies without load are sent between reports.
 */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_REPLY 9
#define FW_REPLY_ELEMENTS 11

static void
pack_levels(struct fw_relay *r, const struct fw_rl_member *m, int64_t now_us,
            msgpack_packer *pk)
{
    GHashTableIter it;
    gpointer v;
    size_t n = 0;

    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        n += (size_t)!Fw_Allowance_IsFull(r, v, now_us);
    }
    msgpack_pack_array(pk, n);
    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct fw_rl_allowance *p = v;

        if (!Fw_Allowance_IsFull(r, v, now_us)) {
            msgpack_pack_array(pk, 3);
            msgpack_pack_uint64(pk, p->hash);
            msgpack_pack_int64(pk, (int64_t)p->level);
            msgpack_pack_int64(pk, Fw_Rows_Lookup(m->spent, p->hash));
        }
    }
}

void
Fw_Reply_Write(struct fw_relay *r, struct fw_rl_member *m, uint64_t report_seq,
               int64_t now_us, GByteArray *out)
{
    int n_live;
    int n_instances = Fw_Members_Count(r, now_us, &n_live);
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, FW_REPLY_ELEMENTS);
    msgpack_pack_int(&pk, FW_MSG_TYPE_REPLY);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_uint64(&pk, r->opts.boot);
    msgpack_pack_uint64(&pk, m->boot);
    msgpack_pack_uint64(&pk, m->report_session);
    msgpack_pack_uint64(&pk, report_seq);
    msgpack_pack_array(&pk, 1);
    msgpack_pack_array(&pk, 2);
    msgpack_pack_int(&pk, r->draining ? 0 : n_instances);
    msgpack_pack_int(&pk, n_live);
    pack_levels(r, m, now_us, &pk);
    if (report_seq) {
        Fw_Message_PackLoad(r, &pk, m, 0, now_us);
    }
    else {
        msgpack_pack_array(&pk, 0);
    }
    msgpack_pack_array(&pk, 0); /* reserved */
    Fw_Message_PackStoreState(r, &pk, now_us);
}

/**
 * struct reply - a reply whose format is valid.
 * @leaf_boot, @session, @report_seq: of the report that it answers;
 *     @report_seq 0 for none
 * @counts: one row with the size of the fleet, 0 if the hub is draining, and
 *     the number of live instances
 */
struct reply {
    char name[FW_NAME_MAX];
    uint64_t boot;
    uint64_t leaf_boot;
    uint64_t session;
    uint64_t report_seq;
    const msgpack_object_array *counts;
    const msgpack_object_array *levels;
    const msgpack_object_array *load;
    const msgpack_object_array *reserved;
    const msgpack_object_array *store_state;
};

static int
read_reply(const msgpack_object *o, struct reply *p)
{
    uint64_t type;

    if (o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size != FW_REPLY_ELEMENTS || Fw_Unpack_U64(o, 0, &type) ||
        type != FW_MSG_TYPE_REPLY ||
        Fw_Unpack_Str(o, 1, p->name, sizeof(p->name)) || !p->name[0] ||
        Fw_Unpack_U64(o, 2, &p->boot) || Fw_Unpack_U64(o, 3, &p->leaf_boot) ||
        Fw_Unpack_U64(o, 4, &p->session) ||
        Fw_Unpack_U64(o, 5, &p->report_seq)) {
        return -EBADMSG;
    }
    p->counts = Fw_Rows_Unpack(o, 6, 2);
    p->levels = Fw_Rows_Unpack(o, 7, 3);
    p->load = Fw_Rows_Unpack(o, 8, 6);
    p->reserved = Fw_Rows_Unpack(o, 9, 2);
    p->store_state = Fw_Rows_Unpack(o, 10, FW_RL_STORE_STATE_COLUMNS);
    return p->counts && p->levels && p->load && p->reserved &&
                   p->store_state && p->counts->size == 1 &&
                   p->store_state->size == 1
               ? 0
               : -EBADMSG;
}

/*
 * The hub leaves out allowances that are full, so those not in an answer to a
 * report are full.
 */
static void
apply_levels(struct fw_relay *r, const struct reply *p, int64_t now_us)
{
    if (p->report_seq) {
        Fw_Allowance_AcknowledgeReport(r, now_us);
    }
    for (uint32_t i = 0; i < p->levels->size; i++) {
        struct fw_rl_hub_level level = {
            .hash = (uint64_t)Fw_Rows_Cell(p->levels, i, 0),
            .level = Fw_Rows_Cell(p->levels, i, 1),
            .acknowledged = Fw_Rows_Cell(p->levels, i, 2),
            .is_current = p->report_seq != 0};

        Fw_Allowance_ApplyHubLevel(r, &level, now_us);
    }
}

/* The hub's rows include the load of all other members. */
static void
apply_load(struct fw_relay *r, struct fw_rl_member *hub, const struct reply *p,
           int64_t now_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m != hub) {
            Fw_Load_Drop(r, m);
        }
    }
    r->exchange.load_as_of_us = r->exchange.report_sent_us;
    Fw_Load_Replace(r, hub, p->load, FW_RL_SCOPE_OTHER, now_us);
}

/*
 * With the same configuration as the hub, this instance is as up to date as
 * the hub. The hub's age counts from when the report was sent, as the time of
 * the reply in transit is unknown.
 */
static void
apply_freshness(struct fw_relay *r, const struct reply *p, int64_t now_us)
{
    int64_t age_us = MAX(Fw_Rows_Cell(p->store_state, 0, 5), 0);
    int64_t from_us =
        r->exchange.reports_sent_us[p->report_seq % FW_RL_REPORTS_MAX];

    if (FW_FAULT("fresh-from-arrival")) {
        from_us = now_us;
    }
    if (r->rules && (uint64_t)Fw_Rows_Cell(p->store_state, 0, 2) ==
                        Fw_StoreSync_RulesEnd(r)) {
        Fw_Relay_SetFreshAsOf(r, from_us - age_us);
    }
}

/* The hub is draining: reports go to another one from now on. */
static void
leave_hub(struct fw_relay *r, struct fw_rl_member *hub, int64_t now_us)
{
    hub->unreachable_since_us = now_us;
    Fw_Hubs_UpdateRoles(r, now_us);
    r->exchange.send_soon = 1;
}

/*
 * A reply that isn't to the last report: later ones were sent meanwhile, so
 * that its levels and load are out of date.
 */
static void
apply_late_reply(struct fw_relay *r, struct fw_rl_member *hub,
                 const struct reply *p, int64_t now_us)
{
    if (p->report_seq < r->exchange.report_seq &&
        r->exchange.report_seq - p->report_seq < FW_RL_REPORTS_MAX) {
        apply_freshness(r, p, now_us);
        Fw_Message_ApplyStoreState(r, hub, p->store_state, now_us);
    }
}

int
Fw_Reply_Read(struct fw_relay *r, const msgpack_object *o, int64_t now_us)
{
    struct fw_rl_member *hub;
    struct reply p;

    if (read_reply(o, &p)) {
        return -EBADMSG;
    }
    hub = r->exchange.hub;
    if (!hub || r->exchange.is_hub || strcmp(hub->name, p.name) != 0 ||
        p.leaf_boot != r->opts.boot ||
        p.session != r->exchange.report_session) {
        return 0; /* to a report of an earlier session or to another hub */
    }
    Fw_Members_NoteMessage(r, hub, now_us);
    if (p.report_seq && p.report_seq != r->exchange.report_seq) {
        apply_late_reply(r, hub, &p, now_us);
        return 0;
    }
    if (Fw_Rows_Cell(p.counts, 0, 0) <= 0) {
        leave_hub(r, hub, now_us);
        return 0;
    }
    r->exchange.n_instances = (int)Fw_Rows_Cell(p.counts, 0, 0);
    r->exchange.n_live =
        (int)CLAMP(Fw_Rows_Cell(p.counts, 0, 1), 1, r->exchange.n_instances);
    r->exchange.counted_us = now_us;
    apply_levels(r, &p, now_us);
    if (p.report_seq) {
        apply_load(r, hub, &p, now_us);
        apply_freshness(r, &p, now_us);
    }
    Fw_Message_ApplyStoreState(r, hub, p.store_state, now_us);
    return 0;
}
