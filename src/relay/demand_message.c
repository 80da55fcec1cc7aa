/*
 * Messages about the demand for services: a leaf sends its own to its hub, a
 * hub sends other hubs the sums of itself and its leaves, and each leaf the
 * sums of all other instances. A message holds all that its sender knows, so
 * the next one makes up for one that is lost.
 */
#include <errno.h>
#include <string.h>

#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_DEMAND 13
#define FW_DEMAND_ELEMENTS 6
/* Hash of the service's name, rank, values. */
#define FW_DEMAND_COLUMNS (2 + FW_DEMAND_VALUES)

/* The demand that @scope covers; @to: hash of the leaf that it is for. */
static GArray *
collect_rows(const struct fw_relay *r, enum fw_demand_scope scope, uint64_t to,
             int64_t now_us)
{
    const struct fw_rl_service_demand *d = &r->service_demand;
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct fw_demand_row));

    for (guint i = 0; i < d->shared->len; i++) {
        Fw_Demand_AppendRows(d->demand, g_array_index(d->shared, uint64_t, i),
                             scope != FW_DEMAND_LEAF, to, now_us, rows);
    }
    return rows;
}

static void
write_message(const struct fw_relay *r, enum fw_demand_scope scope,
              const GArray *rows, GByteArray *out)
{
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, FW_DEMAND_ELEMENTS);
    msgpack_pack_int(&pk, FW_MSG_TYPE_DEMAND);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_uint64(&pk, r->opts.boot);
    msgpack_pack_uint64(&pk, r->service_demand.seq);
    msgpack_pack_int(&pk, (int)scope);
    msgpack_pack_array(&pk, rows->len);
    for (guint i = 0; i < rows->len; i++) {
        const struct fw_demand_row *row =
            &g_array_index(rows, struct fw_demand_row, i);

        msgpack_pack_array(&pk, FW_DEMAND_COLUMNS);
        msgpack_pack_uint64(&pk, row->service);
        msgpack_pack_int(&pk, row->rank);
        for (int k = 0; k < FW_DEMAND_VALUES; k++) {
            msgpack_pack_int64(&pk, row->value[k]);
        }
    }
}

static void
send_rows(struct fw_relay *r, const struct fw_rl_member *to,
          enum fw_demand_scope scope, const GArray *rows,
          struct fw_rl_outbox *out)
{
    GByteArray *msg = g_byte_array_new();

    write_message(r, scope, rows, msg);
    Fw_Outbox_Add(out, to->addr, msg);
    g_byte_array_unref(msg);
}

static void
send_as_hub(struct fw_relay *r, const GArray *sums, int64_t now_us,
            struct fw_rl_outbox *out)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (Fw_Hubs_IsLeaf(r, m, now_us)) {
            GArray *rows = collect_rows(r, FW_DEMAND_REST, m->hash, now_us);

            send_rows(r, m, FW_DEMAND_REST, rows, out);
            g_array_unref(rows);
        }
        else if (Fw_Hubs_IsActing(r, m, now_us) && !m->unreachable_since_us) {
            send_rows(r, m, FW_DEMAND_HUB, sums, out);
        }
    }
}

/* Whether any instance that this one sends for has demand to report. */
static int
any_demand(const struct fw_relay *r, int64_t now_us)
{
    GArray *rows =
        collect_rows(r, r->exchange.is_hub ? FW_DEMAND_REST : FW_DEMAND_LEAF,
                     r->exchange.is_hub ? r->hash : 0, now_us);
    int any = rows->len > 0;

    g_array_unref(rows);
    return any;
}

/* The end of demand is sent once; lost, it shows by the age of the rows. */
void
Fw_DemandMessage_SendDue(struct fw_relay *r, int64_t now_us,
                         struct fw_rl_outbox *out)
{
    struct fw_rl_service_demand *d = &r->service_demand;
    enum fw_demand_scope scope =
        r->exchange.is_hub ? FW_DEMAND_HUB : FW_DEMAND_LEAF;
    int any;
    GArray *rows;

    if (now_us - d->sent_us < r->opts.digest_period_us) {
        return;
    }
    any = any_demand(r, now_us);
    if (!any && !d->sent_rows) {
        return;
    }
    d->sent_rows = any;
    d->sent_us = now_us;
    d->seq++;
    rows = collect_rows(r, scope, 0, now_us);
    if (r->exchange.is_hub) {
        send_as_hub(r, rows, now_us, out);
    }
    else if (r->exchange.hub) {
        send_rows(r, r->exchange.hub, scope, rows, out);
    }
    g_array_unref(rows);
}

/* Rows of services that this instance doesn't share are left out. */
static GArray *
read_rows(const struct fw_relay *r, const msgpack_object_array *from)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct fw_demand_row));

    for (uint32_t i = 0; i < from->size; i++) {
        int64_t rank = Fw_Rows_Cell(from, i, 1);
        struct fw_demand_row row = {
            .service = (uint64_t)Fw_Rows_Cell(from, i, 0), .rank = (int)rank};

        if (rank < 0 || rank >= FW_RANKS ||
            !Fw_ServiceDemand_IsShared(r, row.service)) {
            continue;
        }
        for (int k = 0; k < FW_DEMAND_VALUES; k++) {
            row.value[k] = MAX(Fw_Rows_Cell(from, i, 2 + k), 0);
        }
        g_array_append_val(rows, row);
    }
    return rows;
}

/* Whether the message is for the role that this instance has. */
static int
is_for_role(const struct fw_relay *r, const struct fw_rl_member *from,
            uint64_t scope)
{
    if (r->exchange.is_hub) {
        return scope == FW_DEMAND_LEAF || scope == FW_DEMAND_HUB;
    }
    return scope == FW_DEMAND_REST && from == r->exchange.hub;
}

/*
 * Datagrams may be reordered or duplicated. The number of a new process may be
 * lower than that of the one before.
 */
static int
is_newer(const struct fw_rl_member *m, uint64_t boot, uint64_t seq)
{
    return boot > m->demand_boot ||
           (boot == m->boot && boot != m->demand_boot) ||
           (boot == m->demand_boot && seq > m->demand_seq);
}

int
Fw_DemandMessage_Read(struct fw_relay *r, const msgpack_object *o,
                      int64_t now_us)
{
    const msgpack_object_array *rows;
    struct fw_rl_member *m;
    char name[FW_NAME_MAX];
    uint64_t type;
    uint64_t boot;
    uint64_t seq;
    uint64_t scope;

    if (o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size != FW_DEMAND_ELEMENTS ||
        Fw_Unpack_U64(o, 0, &type) || type != FW_MSG_TYPE_DEMAND ||
        Fw_Unpack_Str(o, 1, name, sizeof(name)) ||
        Fw_Unpack_U64(o, 2, &boot) || Fw_Unpack_U64(o, 3, &seq) ||
        Fw_Unpack_U64(o, 4, &scope)) {
        return -EBADMSG;
    }
    rows = Fw_Rows_Unpack(o, 5, FW_DEMAND_COLUMNS);
    if (!rows) {
        return -EBADMSG;
    }
    m = Fw_Members_Find(r, name);
    if (m && is_for_role(r, m, scope) && is_newer(m, boot, seq)) {
        GArray *read = read_rows(r, rows);

        m->demand_boot = boot;
        m->demand_seq = seq;
        Fw_Demand_SetRows(r->service_demand.demand, m->hash,
                          (enum fw_demand_scope)scope, read, now_us);
        g_array_unref(read);
    }
    return 0;
}
