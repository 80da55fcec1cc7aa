#include "explore/relay_fleet.h"

#include <string.h>

#define FW_STEP_US (20 * FW_MSEC)
#define FW_DOMAINS 3

/** struct datagram - a message in flight between two sites. */
struct datagram {
    int from;
    int to;
    int64_t due_us;
    GBytes *data;
};

static void
msg_free(gpointer data)
{
    struct datagram *m = data;

    g_bytes_unref(m->data);
    g_free(m);
}

int
Fw_RelayFleet_RandBelow(struct fleet *f, int n)
{
    return g_rand_int_range(f->run->rand, 0, n);
}

int64_t
Fw_RelayFleet_Now(const struct fleet *f, int i)
{
    return f->now_us + f->sites[i].skew_us;
}

int
Fw_RelayFleet_IsRunning(const struct fleet *f, int i)
{
    return f->now_us >= f->sites[i].frozen_until_us;
}

static void
domain_name(int i, char out[FW_NAME_MAX])
{
    g_snprintf(out, FW_NAME_MAX, "d%d", i % FW_DOMAINS);
}

static void
start(struct fleet *f, int i)
{
    struct fleet_site *s = &f->sites[i];
    struct fw_relay_opts o = {.boot = s->boot,
                              .seed = g_rand_int(f->run->rand),
                              .retry_ratio_ppm = 200000,
                              .retry_extra = 100,
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
    int64_t now = Fw_RelayFleet_Now(f, i);

    g_strlcpy(o.name, s->name, sizeof(o.name));
    domain_name(i, o.domain);
    s->relay = Fw_Relay_New(&o, now);
    Fw_RelayActions_Init(&s->acts);
    Fw_Relay_SetRules(s->relay, f->rules, 1, now, &s->acts);
    Fw_Relay_SetFreshAsOf(s->relay, now);
    Fw_Relay_EndServerList(s->relay, now, &s->acts);
    for (int k = 0; k < f->n; k++) {
        struct fw_rl_peer peer = {0};

        g_strlcpy(peer.name, f->sites[k].name, sizeof(peer.name));
        g_strlcpy(peer.addr, f->sites[k].addr, sizeof(peer.addr));
        domain_name(k, peer.domain);
        Fw_Relay_AddMember(s->relay, &peer, now);
    }
}

void
Fw_RelayFleet_Init(struct fleet *f, struct fw_run *run, int n,
                   struct fw_rl_rules *rules)
{
    *f = (struct fleet){.run = run,
                        .n = n,
                        .rules = rules,
                        .now_us = 1000 * FW_SEC,
                        .loss_pct = 3,
                        .delay_pct = 3,
                        .delay_max_us = 5 * FW_SEC};
    f->in_flight = g_ptr_array_new_with_free_func(msg_free);
    Fw_Outbox_Init(&f->outbox);
    for (int i = 0; i < n; i++) {
        struct fleet_site *s = &f->sites[i];

        g_snprintf(s->name, sizeof(s->name), "n%02d", i);
        g_snprintf(s->addr, sizeof(s->addr), "10.0.0.%d:1", i + 1);
        s->skew_us = Fw_RelayFleet_RandBelow(f, 1000) * FW_SEC;
        s->boot = 1;
    }
    for (int i = 0; i < n; i++) {
        start(f, i);
    }
}

void
Fw_RelayFleet_Clear(struct fleet *f)
{
    for (int i = 0; i < f->n; i++) {
        Fw_RelayActions_Clear(&f->sites[i].acts);
        Fw_Relay_Free(f->sites[i].relay);
    }
    g_ptr_array_unref(f->in_flight);
    Fw_Outbox_Clear(&f->outbox);
    g_ptr_array_unref(f->outbox.all);
}

void
Fw_RelayFleet_Restart(struct fleet *f, int i)
{
    Fw_RelayActions_Clear(&f->sites[i].acts);
    Fw_Relay_Free(f->sites[i].relay);
    f->sites[i].boot++;
    f->sites[i].frozen_until_us = 0;
    start(f, i);
}

static void
send_datagram(struct fleet *f, int from, int to, GBytes *data)
{
    struct datagram *m;
    int64_t delay = FW_MSEC;

    if (f->sites[from].isolated || f->sites[to].isolated ||
        f->sites[from].partition != f->sites[to].partition ||
        Fw_RelayFleet_RandBelow(f, 100) < f->loss_pct) {
        return;
    }
    if (Fw_RelayFleet_RandBelow(f, 100) < f->delay_pct) {
        delay = Fw_RelayFleet_RandBelow(f, (int)f->delay_max_us);
    }
    m = g_new0(struct datagram, 1);
    m->from = from;
    m->to = to;
    m->due_us = f->now_us + delay;
    m->data = g_bytes_ref(data);
    g_ptr_array_add(f->in_flight, m);
}

static int
site_at(const struct fleet *f, const char *addr)
{
    for (int i = 0; i < f->n; i++) {
        if (strcmp(f->sites[i].addr, addr) == 0) {
            return i;
        }
    }
    return -1;
}

static void
send_outbox(struct fleet *f, int from, struct fw_rl_outbox *outbox)
{
    for (guint i = 0; i < outbox->all->len; i++) {
        const struct fw_rl_datagram *d = g_ptr_array_index(outbox->all, i);
        int to = site_at(f, d->addr);

        if (to >= 0) {
            send_datagram(f, from, to, d->data);
        }
    }
    Fw_Outbox_Clear(outbox);
}

static void
receive(struct fleet *f, const struct datagram *m)
{
    gsize len;
    const void *data = g_bytes_get_data(m->data, &len);

    f->n_cross_domain += m->from % FW_DOMAINS != m->to % FW_DOMAINS;
    f->sites[m->to].n_received++;
    Fw_Relay_ReadMessage(f->sites[m->to].relay, f->sites[m->from].addr, data,
                         len, Fw_RelayFleet_Now(f, m->to), &f->outbox);
    send_outbox(f, m->to, &f->outbox);
}

static void
deliver_due(struct fleet *f)
{
    for (guint i = 0; i < f->in_flight->len;) {
        struct datagram *m = g_ptr_array_index(f->in_flight, i);

        if (m->due_us > f->now_us || !Fw_RelayFleet_IsRunning(f, m->to)) {
            i++;
            continue;
        }
        receive(f, m);
        g_ptr_array_remove_index(f->in_flight, i);
    }
}

void
Fw_RelayFleet_Send(struct fleet *f, int i)
{
    if (Fw_RelayFleet_IsRunning(f, i)) {
        if (f->expires_members) {
            Fw_Members_Tick(f->sites[i].relay, Fw_RelayFleet_Now(f, i),
                            &f->sites[i].acts);
            g_array_set_size(f->sites[i].acts.all, 0);
        }
        Fw_Relay_WriteMessages(f->sites[i].relay, Fw_RelayFleet_Now(f, i),
                               &f->outbox);
        send_outbox(f, i, &f->outbox);
    }
}

void
Fw_RelayFleet_Partition(struct fleet *f)
{
    int domain = Fw_RelayFleet_RandBelow(f, FW_DOMAINS);

    for (int i = domain; i < f->n; i += FW_DOMAINS) {
        f->sites[i].partition = 1;
    }
}

void
Fw_RelayFleet_Heal(struct fleet *f)
{
    for (int i = 0; i < f->n; i++) {
        f->sites[i].isolated = 0;
        f->sites[i].partition = 0;
    }
}

void
Fw_RelayFleet_Advance(struct fleet *f, int64_t us)
{
    int64_t end = f->now_us + us;

    while (f->now_us < end) {
        f->now_us += MIN(FW_STEP_US, end - f->now_us);
        deliver_due(f);
        for (int i = 0; i < f->n; i++) {
            Fw_RelayFleet_Send(f, i);
        }
    }
}
