/*
 * Messages about the speeds of servers: samples from a leaf to its hub and
 * from a hub to the other hubs, estimates from a hub to its leaves. They carry
 * only what is new. A message that is lost costs its samples; estimates are
 * repeated when a leaf is new to its hub, and confirmed at an interval.
 */
#include <errno.h>
#include <math.h>
#include <string.h>

#include "base/hash.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_SPEEDS 14
#define FW_MSG_ELEMENTS 5
/* Server, use, mean logarithm of the rates, weight. */
#define FW_SAMPLE_COLUMNS 4
/* Server, use, logarithm of the rate. */
#define FW_ESTIMATE_COLUMNS 3
/* Service, use, mean logarithm of the rates, spread. */
#define FW_GROUP_COLUMNS 4
/* Logarithms are sent in thousandths, weights in eighths. */
#define FW_LOG_SCALE 1000.0
#define FW_WEIGHT_SCALE 8.0
/* Larger values are malformed. */
#define FW_LOG_MAX 64000
#define FW_ROW_WEIGHT_MAX 4096
/* Minimum interval of messages of one kind. */
#define FW_SAMPLES_INTERVAL_US (150 * FW_MSEC)
#define FW_ESTIMATES_INTERVAL_US (200 * FW_MSEC)
/* Interval in which leaves are sent the groups, changed or not. */
#define FW_GROUPS_INTERVAL_US (600 * FW_MSEC)
/*
 * Rows of a message: one for so many servers, within these bounds. Samples
 * that don't fit are summed up until the next one.
 */
#define FW_SERVERS_PER_ROW 50
#define FW_ROWS_MIN 10
#define FW_ROWS_MAX 24

/** struct contents - rows to send, of the types in speed.h. */
struct contents {
    GArray *samples;
    GArray *estimates;
    GArray *groups;
};

static void
contents_init(struct contents *c)
{
    c->samples = g_array_new(FALSE, FALSE, sizeof(struct fw_speed_row));
    c->estimates = g_array_new(FALSE, FALSE, sizeof(struct fw_speed_row));
    c->groups = g_array_new(FALSE, FALSE, sizeof(struct fw_speed_group_row));
}

static void
contents_clear(struct contents *c)
{
    g_array_unref(c->samples);
    g_array_unref(c->estimates);
    g_array_unref(c->groups);
}

static int
rows_max(const struct fw_relay *r)
{
    int servers = (int)g_hash_table_size(r->servers_by_hash);

    return CLAMP(servers / FW_SERVERS_PER_ROW, FW_ROWS_MIN, FW_ROWS_MAX);
}

static void
pack_scaled(msgpack_packer *pk, double value, double scale)
{
    msgpack_pack_int64(pk, (int64_t)lround(value * scale));
}

/* Half of a hash is enough to distinguish the servers of a fleet. */
static void
pack_name(msgpack_packer *pk, uint64_t hash, enum fw_speed_use use)
{
    msgpack_pack_uint32(pk, (uint32_t)hash);
    msgpack_pack_int(pk, (int)use);
}

static void
pack_samples(msgpack_packer *pk, const GArray *rows)
{
    msgpack_pack_array(pk, rows->len);
    for (guint i = 0; i < rows->len; i++) {
        const struct fw_speed_row *row =
            &g_array_index(rows, struct fw_speed_row, i);

        msgpack_pack_array(pk, FW_SAMPLE_COLUMNS);
        pack_name(pk, row->key.server, row->key.use);
        pack_scaled(pk, row->log / row->weight, FW_LOG_SCALE);
        pack_scaled(pk, MAX(row->weight, 1 / FW_WEIGHT_SCALE),
                    FW_WEIGHT_SCALE);
    }
}

static void
pack_estimates(msgpack_packer *pk, const GArray *rows)
{
    msgpack_pack_array(pk, rows->len);
    for (guint i = 0; i < rows->len; i++) {
        const struct fw_speed_row *row =
            &g_array_index(rows, struct fw_speed_row, i);

        msgpack_pack_array(pk, FW_ESTIMATE_COLUMNS);
        pack_name(pk, row->key.server, row->key.use);
        pack_scaled(pk, row->log, FW_LOG_SCALE);
    }
}

static void
pack_groups(msgpack_packer *pk, const GArray *rows)
{
    msgpack_pack_array(pk, rows->len);
    for (guint i = 0; i < rows->len; i++) {
        const struct fw_speed_group_row *row =
            &g_array_index(rows, struct fw_speed_group_row, i);

        msgpack_pack_array(pk, FW_GROUP_COLUMNS);
        pack_name(pk, row->service, row->use);
        pack_scaled(pk, row->mean, FW_LOG_SCALE);
        pack_scaled(pk, row->spread, FW_LOG_SCALE);
    }
}

static GBytes *
write_message(struct fw_relay *r, const struct contents *contents)
{
    GByteArray *msg = g_byte_array_new();
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, msg);
    msgpack_pack_array(&pk, FW_MSG_ELEMENTS);
    msgpack_pack_int(&pk, FW_MSG_TYPE_SPEEDS);
    Fw_Pack_Str(&pk, r->opts.name);
    pack_samples(&pk, contents->samples);
    pack_estimates(&pk, contents->estimates);
    pack_groups(&pk, contents->groups);
    return g_byte_array_free_to_bytes(msg);
}

static void
send_to_hubs(struct fw_relay *r, GBytes *data, int64_t now_us,
             struct fw_rl_outbox *out)
{
    struct fw_list *pos;

    if (!r->exchange.is_hub) {
        Fw_Outbox_AddShared(out, r->exchange.hub->addr, data);
        return;
    }
    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (!Fw_Hubs_IsLeaf(r, m, now_us) && Fw_Hubs_IsActing(r, m, now_us) &&
            !m->unreachable_since_us) {
            Fw_Outbox_AddShared(out, m->addr, data);
        }
    }
}

static void
send_samples(struct fw_relay *r, int64_t now_us, struct fw_rl_outbox *out)
{
    struct contents contents;

    if (now_us - r->speeds.samples_sent_us < FW_SAMPLES_INTERVAL_US ||
        (!r->exchange.is_hub && !r->exchange.hub)) {
        return;
    }
    contents_init(&contents);
    Fw_Speed_TakeSamples(r->speeds.table, rows_max(r), contents.samples);
    if (contents.samples->len) {
        GBytes *data = write_message(r, &contents);

        r->speeds.samples_sent_us = now_us;
        send_to_hubs(r, data, now_us, out);
        g_bytes_unref(data);
    }
    contents_clear(&contents);
}

static void
send_to_leaves(struct fw_relay *r, GBytes *data, int64_t now_us,
               struct fw_rl_outbox *out)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (Fw_Hubs_IsLeaf(r, m, now_us)) {
            Fw_Outbox_AddShared(out, m->addr, data);
        }
    }
}

static void
send_estimates(struct fw_relay *r, int64_t now_us, struct fw_rl_outbox *out)
{
    struct contents contents;
    int with_groups =
        now_us - r->speeds.groups_sent_us >= FW_GROUPS_INTERVAL_US;

    if (now_us - r->speeds.estimates_sent_us < FW_ESTIMATES_INTERVAL_US) {
        return;
    }
    contents_init(&contents);
    Fw_Speed_TakeEstimates(r->speeds.table, rows_max(r), now_us,
                           contents.estimates);
    if (with_groups) {
        Fw_Speed_AppendGroups(r->speeds.table, contents.groups);
        r->speeds.groups_sent_us = now_us;
    }
    if (contents.estimates->len || contents.groups->len) {
        GBytes *data = write_message(r, &contents);

        r->speeds.estimates_sent_us = now_us;
        send_to_leaves(r, data, now_us, out);
        g_bytes_unref(data);
    }
    contents_clear(&contents);
}

void
Fw_SpeedMessage_SendDue(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_outbox *out)
{
    if (r->opts.speed_spread_ppm <= 0) {
        return;
    }
    send_samples(r, now_us, out);
    if (r->exchange.is_hub) {
        send_estimates(r, now_us, out);
    }
}

/* Return: 0, or -ENOENT if the row names a server or a use not known here. */
static int
read_key(const struct fw_relay *r, const msgpack_object_array *rows,
         uint32_t i, struct fw_speed_key *out)
{
    const struct fw_rl_server *s =
        Fw_Servers_FindByShortHash(r, (uint32_t)Fw_Rows_Cell(rows, i, 0));
    int64_t use = Fw_Rows_Cell(rows, i, 1);

    if (!s || use < 0 || use >= FW_SPEED_USES) {
        return -ENOENT;
    }
    *out = (struct fw_speed_key){.server = s->hash,
                                 .service = Fw_Hash_Str(s->entry.service),
                                 .use = (enum fw_speed_use)use};
    return 0;
}

static double
read_log(const msgpack_object_array *rows, uint32_t i, int column)
{
    return (double)CLAMP(Fw_Rows_Cell(rows, i, column), -FW_LOG_MAX,
                         FW_LOG_MAX) /
           FW_LOG_SCALE;
}

/* A leaf uses no samples of others: its hub's estimates contain them. */
static void
apply_samples(struct fw_relay *r, const struct fw_rl_member *from,
              const msgpack_object_array *rows, int64_t now_us)
{
    int is_leaf = Fw_Hubs_IsLeaf(r, from, now_us);

    for (uint32_t i = 0; r->exchange.is_hub && i < rows->size; i++) {
        int64_t weight = CLAMP(Fw_Rows_Cell(rows, i, 3), 0, FW_ROW_WEIGHT_MAX);
        struct fw_speed_row row = {.weight = (double)weight / FW_WEIGHT_SCALE};

        if (read_key(r, rows, i, &row.key) == 0) {
            row.log = read_log(rows, i, 2) * row.weight;
            Fw_Speed_MergeSamples(r->speeds.table, &row, is_leaf, now_us);
        }
    }
}

static void
apply_estimates(struct fw_relay *r, const msgpack_object_array *rows,
                int64_t now_us)
{
    for (uint32_t i = 0; i < rows->size; i++) {
        struct fw_speed_row row = {.log = read_log(rows, i, 2)};

        if (read_key(r, rows, i, &row.key) == 0) {
            Fw_Speed_SetEstimate(r->speeds.table, &row, now_us);
        }
    }
}

static void
apply_group(struct fw_relay *r, const msgpack_object_array *rows, uint32_t i)
{
    uint32_t hash = (uint32_t)Fw_Rows_Cell(rows, i, 0);
    int64_t use = Fw_Rows_Cell(rows, i, 1);

    for (guint k = 0; r->rules && k < r->rules->services->len; k++) {
        const struct fw_rl_service_rule *s =
            g_ptr_array_index(r->rules->services, k);
        struct fw_speed_group_row row = {.service = Fw_Hash_Str(s->name),
                                         .mean = read_log(rows, i, 2),
                                         .spread = read_log(rows, i, 3)};

        if ((uint32_t)row.service == hash && use >= 0 && use < FW_SPEED_USES) {
            row.use = (enum fw_speed_use)use;
            Fw_Speed_SetGroup(r->speeds.table, &row);
        }
    }
}

/** struct speed_message - a message whose format is valid. */
struct speed_message {
    char from[FW_NAME_MAX];
    const msgpack_object_array *samples;
    const msgpack_object_array *estimates;
    const msgpack_object_array *groups;
};

static int
read_message(const msgpack_object *o, struct speed_message *m)
{
    uint64_t type;

    if (o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size != FW_MSG_ELEMENTS || Fw_Unpack_U64(o, 0, &type) ||
        type != FW_MSG_TYPE_SPEEDS ||
        Fw_Unpack_Str(o, 1, m->from, sizeof(m->from))) {
        return -EBADMSG;
    }
    m->samples = Fw_Rows_Unpack(o, 2, FW_SAMPLE_COLUMNS);
    m->estimates = Fw_Rows_Unpack(o, 3, FW_ESTIMATE_COLUMNS);
    m->groups = Fw_Rows_Unpack(o, 4, FW_GROUP_COLUMNS);
    return m->samples && m->estimates && m->groups ? 0 : -EBADMSG;
}

int
Fw_SpeedMessage_Read(struct fw_relay *r, const msgpack_object *o,
                     int64_t now_us)
{
    struct speed_message m;
    const struct fw_rl_member *from;

    if (read_message(o, &m)) {
        return -EBADMSG;
    }
    from = Fw_Members_Find(r, m.from);
    if (!from || r->opts.speed_spread_ppm <= 0) {
        return 0;
    }
    apply_samples(r, from, m.samples, now_us);
    if (r->exchange.is_hub || from != r->exchange.hub) {
        return 0;
    }
    apply_estimates(r, m.estimates, now_us);
    for (uint32_t i = 0; i < m.groups->size; i++) {
        apply_group(r, m.groups, i);
    }
    if (m.groups->size) {
        Fw_Speed_NoteConfirmed(r->speeds.table, now_us);
    }
    Fw_Speeds_Refresh(r, now_us);
    return 0;
}
