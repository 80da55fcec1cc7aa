/*
 * Failure detection as in SWIM. Each period one member, in shuffled order, is
 * pinged. If it doesn't answer, others are asked to ping it, since only the
 * path to it may be bad. If that fails it becomes suspect, and dead unless it
 * refutes the suspicion within FW_SUSPECT_TIMEOUT_US.
 */
#include <string.h>
#include <syslog.h>

#include "base/hash.h"
#include "fleet/fleet_internal.h"

#define FW_DEAD_PINGS_PER_TICK 16

static void
send_msg(struct fw_fleet *f, const char *to, const char *addr,
         struct fw_fleet_msg *msg, struct fw_actions *out)
{
    struct fw_msg m = {.area = FW_AREA_FLEET, .u.fleet = *msg};

    f->sent.value++;
    Fw_Actions_SendPeer(out, to, addr, &m);
}

void
Fw_Probe_Ping(struct fw_fleet *f, const struct fw_member_entry *e,
              uint64_t seq, struct fw_actions *out)
{
    struct fw_fleet_msg msg = {
        .kind = FW_FLEET_PING,
        .seq = seq,
        .boot = e->m.boot,
        .incarnation = e->m.incarnation,
        .state = (int)e->m.state,
    };

    Fw_Gossip_Attach(f, &msg, 1);
    send_msg(f, e->m.name, e->m.addr, &msg, out);
}

static void
send_indirect_probes(struct fw_fleet *f, const struct fw_member_entry *e,
                     struct fw_actions *out)
{
    guint n = f->candidates->len;
    guint start = n ? (guint)g_rand_int_range(f->rand, 0, (gint32)n) : 0;
    int asked = 0;

    for (guint i = 0; i < n && asked < FW_PROBE_INDIRECT_MAX; i++) {
        const struct fw_member *m =
            g_ptr_array_index(f->candidates, (start + i) % n);
        struct fw_fleet_msg msg = {
            .kind = FW_FLEET_PING_REQ,
            .seq = f->probe.seq,
        };
        if (m == &f->self_entry->m || m == &e->m ||
            m->state != FW_MEMBER_ALIVE) {
            continue;
        }
        g_strlcpy(msg.target, e->m.name, sizeof(msg.target));
        g_strlcpy(msg.target_addr, e->m.addr, sizeof(msg.target_addr));
        Fw_Gossip_Attach(f, &msg, 0);
        send_msg(f, m->name, m->addr, &msg, out);
        asked++;
    }
}

/* The open probe wasn't answered, neither directly nor through others. */
static void
probe_failed(struct fw_fleet *f, struct fw_member_entry *e, int64_t now_us,
             struct fw_actions *out)
{
    if (e->m.state == FW_MEMBER_ALIVE) {
        Fw_Member_SetState(f, e, FW_MEMBER_SUSPECT, now_us, out);
        Fw_Gossip_Queue(f, e);
    }
    else if (e->m.state == FW_MEMBER_LEAVING && !e->suspect_until_us) {
        /* Stays leaving: suspect members are candidates for new requests. */
        e->suspect_until_us = now_us + FW_SUSPECT_TIMEOUT_US;
    }
}

static void
advance_probe(struct fw_fleet *f, int64_t now_us, struct fw_actions *out)
{
    struct fw_member_entry *e;

    if (!f->probe.target[0]) {
        return;
    }
    e = Fw_Member_Find(f, f->probe.target);
    if (!e || e->m.state == FW_MEMBER_DEAD) {
        f->probe.target[0] = '\0';
        return;
    }
    if (now_us >= f->next_probe_us) {
        probe_failed(f, e, now_us, out);
        f->probe.target[0] = '\0';
    }
    else if (!f->probe.indirect_sent &&
             now_us >= f->probe.sent_us + FW_PROBE_DIRECT_TIMEOUT_US) {
        f->probe.indirect_sent = 1;
        send_indirect_probes(f, e, out);
    }
}

static gint
compare_strings(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
shuffle_probe_order(struct fw_fleet *f)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, f->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_member_entry *e = value;
        if (e != f->self_entry && e->m.state != FW_MEMBER_DEAD) {
            g_ptr_array_add(f->probe_order, g_strdup(e->m.name));
        }
    }
    g_ptr_array_sort(f->probe_order, compare_strings);
    for (guint i = f->probe_order->len; i > 1; i--) {
        guint j = (guint)g_rand_int_range(f->rand, 0, (gint32)i);
        gpointer t = f->probe_order->pdata[i - 1];
        f->probe_order->pdata[i - 1] = f->probe_order->pdata[j];
        f->probe_order->pdata[j] = t;
    }
}

static void
start_next_probe(struct fw_fleet *f, int64_t now_us, struct fw_actions *out)
{
    struct fw_member_entry *e = NULL;

    if (f->probe_order->len == 0) {
        shuffle_probe_order(f);
    }
    while (!e && f->probe_order->len > 0) {
        char *name =
            g_ptr_array_steal_index(f->probe_order, f->probe_order->len - 1);
        e = Fw_Member_Find(f, name);
        if (e && e->m.state == FW_MEMBER_DEAD) {
            e = NULL;
        }
        g_free(name);
    }
    f->next_probe_us = now_us + FW_PROBE_PERIOD_US -
                       g_rand_int_range(f->rand, 0, 100) * FW_MSEC;
    if (!e) {
        return;
    }
    f->probe = (struct fw_probe){.seq = ++f->seq, .sent_us = now_us};
    g_strlcpy(f->probe.target, e->m.name, sizeof(f->probe.target));
    Fw_Probe_Ping(f, e, f->probe.seq, out);
}

/* Ends suspicions, and pings dead members and those known only from the list,
 * so that both sides of a healed network partition rediscover each other. */
static void
tick_entries(struct fw_fleet *f, int64_t now_us, struct fw_actions *out)
{
    GHashTableIter it;
    gpointer value;
    int pings = 0;

    g_hash_table_iter_init(&it, f->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_member_entry *e = value;
        if (e == f->self_entry) {
            continue;
        }
        if (e->m.state != FW_MEMBER_DEAD && e->suspect_until_us &&
            now_us >= e->suspect_until_us) {
            Fw_Member_SetState(f, e, FW_MEMBER_DEAD, now_us, out);
            Fw_Gossip_Queue(f, e);
        }
        if (e->m.state != FW_MEMBER_DEAD) {
            continue;
        }
        if (!e->listed && now_us > e->m.changed_us + FW_DEAD_RETENTION_US) {
            g_hash_table_iter_remove(&it);
        }
        else if (now_us >= e->next_ping_us && pings < FW_DEAD_PINGS_PER_TICK) {
            pings++;
            e->next_ping_us = now_us + e->backoff_us +
                              g_rand_int_range(f->rand, 0, 500) * FW_MSEC;
            e->backoff_us =
                MIN(2 * e->backoff_us, FW_DEAD_PROBE_INTERVAL_MAX_US);
            Fw_Probe_Ping(f, e, ++f->seq, out);
        }
    }
}

/* A pause of this process must not count as silence of the others. */
static void
compensate_for_pause(struct fw_fleet *f, int64_t now_us)
{
    GHashTableIter it;
    gpointer value;
    int64_t late = f->wake_us ? now_us - f->wake_us : 0;

    if (late < FW_PAUSE_THRESHOLD_US) {
        return;
    }
    f->probe.target[0] = '\0';
    g_hash_table_iter_init(&it, f->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_member_entry *e = value;
        e->suspect_until_us += e->suspect_until_us ? late : 0;
    }
}

void
Fw_Fleet_Tick(struct fw_fleet *f, int64_t now_us, struct fw_actions *out)
{
    int64_t wake;

    compensate_for_pause(f, now_us);
    advance_probe(f, now_us, out);
    tick_entries(f, now_us, out);
    if (now_us >= f->next_probe_us) {
        start_next_probe(f, now_us, out);
    }
    wake = f->next_probe_us;
    if (f->probe.target[0] && !f->probe.indirect_sent) {
        wake = MIN(wake, f->probe.sent_us + FW_PROBE_DIRECT_TIMEOUT_US);
    }
    f->wake_us = wake;
    Fw_Actions_Wake(out, wake);
}

static void
send_ack(struct fw_fleet *f, const char *to, const char *addr, uint64_t seq,
         int self, struct fw_actions *out)
{
    struct fw_fleet_msg msg = {.kind = FW_FLEET_ACK, .seq = seq};

    Fw_Gossip_Attach(f, &msg, self);
    send_msg(f, to, addr, &msg, out);
}

static void
on_ping(struct fw_fleet *f, const char *from, const struct fw_fleet_msg *msg,
        struct fw_actions *out)
{
    const struct fw_member_entry *e = Fw_Member_Find(f, from);
    const char *addr = e ? e->m.addr : NULL;
    int differs;

    for (int i = 0; i < msg->n_updates && !addr; i++) {
        if (strcmp(msg->updates[i].name, from) == 0) {
            addr = msg->updates[i].addr; /* unknown: of another region */
        }
    }
    if (!addr || !addr[0]) {
        return;
    }
    Fw_Gossip_Refute(f, msg->boot, msg->incarnation, msg->state);
    differs = msg->boot != f->self_entry->m.boot ||
              msg->incarnation != f->self_entry->m.incarnation ||
              msg->state != (int)f->self_entry->m.state;
    send_ack(f, from, addr, msg->seq, differs, out);
}

static void
on_ping_req(struct fw_fleet *f, const char *from,
            const struct fw_fleet_msg *msg, int64_t now_us,
            struct fw_actions *out)
{
    const struct fw_member_entry *e = Fw_Member_Find(f, msg->target);
    struct fw_ping_relay *r = &f->relays[f->next_relay];

    if (!e || e == f->self_entry) {
        return;
    }
    f->next_relay = (f->next_relay + 1) % FW_PING_RELAYS_MAX;
    r->seq = ++f->seq;
    r->origin_seq = msg->seq;
    r->expires_us = now_us + FW_PROBE_PERIOD_US;
    g_strlcpy(r->origin, from, sizeof(r->origin));
    Fw_Probe_Ping(f, e, r->seq, out);
}

static void
on_ack(struct fw_fleet *f, const struct fw_fleet_msg *msg, int64_t now_us,
       struct fw_actions *out)
{
    if (f->probe.target[0] && msg->seq == f->probe.seq) {
        struct fw_member_entry *e = Fw_Member_Find(f, f->probe.target);
        if (e && e->m.state == FW_MEMBER_LEAVING) {
            e->suspect_until_us = 0;
        }
        f->probe.target[0] = '\0';
        return;
    }
    for (int i = 0; i < FW_PING_RELAYS_MAX; i++) {
        struct fw_ping_relay *r = &f->relays[i];
        const struct fw_member_entry *e;
        if (r->seq != msg->seq || now_us > r->expires_us) {
            continue;
        }
        e = Fw_Member_Find(f, r->origin);
        if (e) {
            send_ack(f, r->origin, e->m.addr, r->origin_seq, 0, out);
        }
        r->expires_us = 0;
        return;
    }
}

void
Fw_Fleet_OnMsg(struct fw_fleet *f, const char *from,
               const struct fw_fleet_msg *msg, int64_t now_us,
               struct fw_actions *out)
{
    for (int i = 0; i < msg->n_updates; i++) {
        Fw_Gossip_Merge(f, from, &msg->updates[i], now_us, out);
    }
    switch (msg->kind) {
    case FW_FLEET_PING:
        on_ping(f, from, msg, out);
        break;
    case FW_FLEET_ACK:
        on_ack(f, msg, now_us, out);
        break;
    case FW_FLEET_PING_REQ:
        on_ping_req(f, from, msg, now_us, out);
        break;
    case FW_FLEET_NONE:
        break;
    }
}
