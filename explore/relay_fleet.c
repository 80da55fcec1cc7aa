#include "explore/relay_fleet.h"

#include <string.h>

#define FW_STEP_US (20 * FW_MSEC)
/* Interval at which an instance reads what others have published. */
#define FW_STORE_READ_INTERVAL_US (3 * FW_SEC)
#define FW_DOMAIN_COUNT 3

/** struct datagram - a message in flight between two instances. */
struct datagram {
    int from;
    int to;
    int64_t due_us;
    GBytes *data;
};

/** struct presence_record - instances that @publisher sees. */
struct presence_record {
    int publisher;
    GArray *seen;
};

static void
presence_record_free(gpointer p)
{
    struct presence_record *rec = p;

    g_array_unref(rec->seen);
    g_free(rec);
}

static void
msg_free(gpointer data)
{
    struct datagram *m = data;

    g_bytes_unref(m->data);
    g_free(m);
}

int
Fw_RelayFleet_RandBelow(struct fleet *fleet, int n)
{
    return g_rand_int_range(fleet->run->rand, 0, n);
}

int64_t
Fw_RelayFleet_Now(const struct fleet *fleet, int i)
{
    return fleet->now_us + fleet->instances[i].skew_us;
}

int
Fw_RelayFleet_IsRunning(const struct fleet *fleet, int i)
{
    return fleet->now_us >= fleet->instances[i].frozen_until_us;
}

static void
domain_name(int i, char out[FW_NAME_MAX])
{
    g_snprintf(out, FW_NAME_MAX, "d%d", i % FW_DOMAIN_COUNT);
}

static void
start(struct fleet *fleet, int i)
{
    struct fleet_instance *inst = &fleet->instances[i];
    struct fw_relay_opts o = {.boot = inst->boot,
                              .seed = g_rand_int(fleet->run->rand),
                              .retry_ratio_ppm = 200000,
                              .retry_extra = fleet->retry_extra,
                              .retry_window_us = 10 * FW_SEC,
                              .key_stale_us = 4800 * FW_MSEC,
                              .queue_limit_us = 650 * FW_MSEC,
                              .local_prefill_us = 600 * FW_MSEC,
                              .reserve_permille = 1000,
                              .prefill_permille = 250,
                              .overage_ppm = 100000,
                              .tolerance_tokens = 72000,
                              .lease_us = 3 * FW_SEC,
                              .grace_us = 8 * FW_SEC,
                              .log_level = 0};
    int64_t now = Fw_RelayFleet_Now(fleet, i);

    g_strlcpy(o.name, inst->name, sizeof(o.name));
    domain_name(i, o.domain);
    inst->relay = Fw_Relay_New(&o, now);
    Fw_RelayActions_Init(&inst->acts);
    Fw_Relay_SetRules(inst->relay, fleet->rules, 1, now, &inst->acts);
    Fw_Relay_SetFreshAsOf(inst->relay, now);
    Fw_Relay_EndServerList(inst->relay, now, &inst->acts);
    for (int k = 0; k < fleet->n; k++) {
        struct fw_rl_peer peer = {0};

        g_strlcpy(peer.name, fleet->instances[k].name, sizeof(peer.name));
        g_strlcpy(peer.addr, fleet->instances[k].addr, sizeof(peer.addr));
        domain_name(k, peer.domain);
        Fw_Relay_AddMember(inst->relay, &peer, now);
    }
    Fw_Relay_EndMemberList(inst->relay, now);
}

void
Fw_RelayFleet_Init(struct fleet *fleet, struct fw_run *run, int n,
                   struct fw_rl_rules *rules)
{
    *fleet = (struct fleet){.run = run,
                            .n = n,
                            .rules = rules,
                            .now_us = 1000 * FW_SEC,
                            .loss_pct = 3,
                            .delay_pct = 3,
                            .delay_max_us = 5 * FW_SEC,
                            .retry_extra = 100};
    fleet->in_flight = g_ptr_array_new_with_free_func(msg_free);
    fleet->published = g_ptr_array_new_with_free_func(presence_record_free);
    Fw_Outbox_Init(&fleet->outbox);
    for (int i = 0; i < n; i++) {
        struct fleet_instance *inst = &fleet->instances[i];

        g_snprintf(inst->name, sizeof(inst->name), "n%02d", i);
        g_snprintf(inst->addr, sizeof(inst->addr), "10.0.0.%d:1", i + 1);
        inst->skew_us = Fw_RelayFleet_RandBelow(fleet, 1000) * FW_SEC;
        inst->boot = 1;
    }
    for (int i = 0; i < n; i++) {
        start(fleet, i);
    }
}

void
Fw_RelayFleet_Clear(struct fleet *fleet)
{
    for (int i = 0; i < fleet->n; i++) {
        Fw_RelayActions_Clear(&fleet->instances[i].acts);
        Fw_Relay_Free(fleet->instances[i].relay);
    }
    g_ptr_array_unref(fleet->in_flight);
    g_ptr_array_unref(fleet->published);
    Fw_Outbox_Clear(&fleet->outbox);
    g_ptr_array_unref(fleet->outbox.all);
}

void
Fw_RelayFleet_Restart(struct fleet *fleet, int i)
{
    Fw_RelayActions_Clear(&fleet->instances[i].acts);
    Fw_Relay_Free(fleet->instances[i].relay);
    fleet->instances[i].boot++;
    fleet->instances[i].frozen_until_us = 0;
    start(fleet, i);
}

static void
send_datagram(struct fleet *fleet, int from, int to, GBytes *data)
{
    struct datagram *m;
    int64_t delay = FW_MSEC;

    if (fleet->instances[from].isolated || fleet->instances[to].isolated ||
        fleet->instances[from].partition != fleet->instances[to].partition ||
        Fw_RelayFleet_RandBelow(fleet, 100) < fleet->loss_pct) {
        return;
    }
    if (Fw_RelayFleet_RandBelow(fleet, 100) < fleet->delay_pct) {
        delay = Fw_RelayFleet_RandBelow(fleet, (int)fleet->delay_max_us);
    }
    m = g_new0(struct datagram, 1);
    m->from = from;
    m->to = to;
    m->due_us = fleet->now_us + delay;
    m->data = g_bytes_ref(data);
    g_ptr_array_add(fleet->in_flight, m);
}

static int
find_instance(const struct fleet *fleet, const char *addr)
{
    for (int i = 0; i < fleet->n; i++) {
        if (strcmp(fleet->instances[i].addr, addr) == 0) {
            return i;
        }
    }
    return -1;
}

static void
send_outbox(struct fleet *fleet, int from, struct fw_rl_outbox *outbox)
{
    for (guint i = 0; i < outbox->all->len; i++) {
        const struct fw_rl_datagram *d = g_ptr_array_index(outbox->all, i);
        int to = find_instance(fleet, d->addr);

        if (to >= 0) {
            send_datagram(fleet, from, to, d->data);
        }
    }
    Fw_Outbox_Clear(outbox);
}

static void
receive(struct fleet *fleet, const struct datagram *m)
{
    gsize len;
    const void *data = g_bytes_get_data(m->data, &len);

    fleet->n_cross_domain +=
        m->from % FW_DOMAIN_COUNT != m->to % FW_DOMAIN_COUNT;
    fleet->instances[m->to].n_received++;
    Fw_Relay_ReadMessage(fleet->instances[m->to].relay,
                         fleet->instances[m->from].addr, data, len,
                         Fw_RelayFleet_Now(fleet, m->to), &fleet->outbox);
    send_outbox(fleet, m->to, &fleet->outbox);
}

static void
deliver_due(struct fleet *fleet)
{
    for (guint i = 0; i < fleet->in_flight->len;) {
        struct datagram *m = g_ptr_array_index(fleet->in_flight, i);

        if (m->due_us > fleet->now_us ||
            !Fw_RelayFleet_IsRunning(fleet, m->to)) {
            i++;
            continue;
        }
        receive(fleet, m);
        g_ptr_array_remove_index(fleet->in_flight, i);
    }
}

/* Instance @i publishes what it sees, and reads what others have published. */
static void
sync_presence(struct fleet *fleet, int i)
{
    struct fw_relay *r = fleet->instances[i].relay;
    int64_t now = Fw_RelayFleet_Now(fleet, i);
    GArray *seen = Fw_Relay_TakePresence(r, now);

    if (seen) {
        struct presence_record *rec = g_new(struct presence_record, 1);

        *rec = (struct presence_record){.publisher = i, .seen = seen};
        g_ptr_array_add(fleet->published, rec);
    }
    if (!Fw_Relay_WatchesPresence(r) ||
        now - r->presence.read_us < FW_STORE_READ_INTERVAL_US) {
        return;
    }
    for (guint k = 0; k < fleet->published->len; k++) {
        const struct presence_record *rec =
            g_ptr_array_index(fleet->published, k);

        Fw_Relay_NotePresence(r, fleet->instances[rec->publisher].name, k,
                              rec->seen, now);
    }
    Fw_Presence_NoteRead(r, now);
}

void
Fw_RelayFleet_Send(struct fleet *fleet, int i)
{
    if (Fw_RelayFleet_IsRunning(fleet, i)) {
        if (fleet->expires_members) {
            Fw_Members_Tick(fleet->instances[i].relay,
                            Fw_RelayFleet_Now(fleet, i),
                            &fleet->instances[i].acts);
            g_array_set_size(fleet->instances[i].acts.all, 0);
            sync_presence(fleet, i);
        }
        Fw_Relay_WriteMessages(fleet->instances[i].relay,
                               Fw_RelayFleet_Now(fleet, i), &fleet->outbox);
        send_outbox(fleet, i, &fleet->outbox);
    }
}

void
Fw_RelayFleet_Partition(struct fleet *fleet)
{
    int domain = Fw_RelayFleet_RandBelow(fleet, FW_DOMAIN_COUNT);

    for (int i = domain; i < fleet->n; i += FW_DOMAIN_COUNT) {
        fleet->instances[i].partition = 1;
    }
}

void
Fw_RelayFleet_Heal(struct fleet *fleet)
{
    for (int i = 0; i < fleet->n; i++) {
        fleet->instances[i].isolated = 0;
        fleet->instances[i].partition = 0;
    }
}

void
Fw_RelayFleet_Advance(struct fleet *fleet, int64_t us)
{
    int64_t end = fleet->now_us + us;

    while (fleet->now_us < end) {
        fleet->now_us += MIN(FW_STEP_US, end - fleet->now_us);
        deliver_due(fleet);
        for (int i = 0; i < fleet->n; i++) {
            Fw_RelayFleet_Send(fleet, i);
        }
    }
}
