#include "explore/relay_fleet.h"

#include <string.h>

#define FW_STEP_US (20 * FW_MSEC)
#define FW_DIGEST_US (150 * FW_MSEC)
#define FW_DOMAINS 3

/** struct fleet_msg - a datagram; @to, @from: sites. */
struct fleet_msg {
    int from;
    int to;
    int64_t at_us;
    GByteArray *data;
};

static void
msg_free(gpointer data)
{
    struct fleet_msg *m = data;

    g_byte_array_unref(m->data);
    g_free(m);
}

int
Fw_RelayFleet_Below(struct fleet *f, int n)
{
    return g_rand_int_range(f->run->rand, 0, n);
}

int64_t
Fw_RelayFleet_Now(const struct fleet *f, int i)
{
    return f->now_us + f->sites[i].skew_us;
}

int
Fw_RelayFleet_Runs(const struct fleet *f, int i)
{
    return f->now_us >= f->sites[i].frozen_until_us;
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
                              .queue_us = 650 * FW_MSEC,
                              .read_here_us = 600 * FW_MSEC,
                              .reserve_permille = 1000,
                              .prefill_permille = 250,
                              .overage_ppm = 100000,
                              .tolerance = 72000,
                              .lease_us = 3 * FW_SEC,
                              .grace_us = 8 * FW_SEC,
                              .log_level = 0};
    int64_t now = Fw_RelayFleet_Now(f, i);

    g_strlcpy(o.name, s->name, sizeof(o.name));
    g_snprintf(o.domain, sizeof(o.domain), "d%d", i % FW_DOMAINS);
    s->relay = Fw_Relay_New(&o, now);
    Fw_Acts_Init(&s->acts);
    Fw_Relay_Rules(s->relay, f->rules, 1, now, &s->acts);
    Fw_Relay_Fresh(s->relay, now);
    Fw_Relay_ListEnd(s->relay, now, &s->acts);
    for (int k = 0; k < f->n; k++) {
        Fw_Relay_AddMember(s->relay, f->sites[k].name, f->sites[k].addr, now);
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
                        .lose_pct = 3,
                        .late_pct = 3,
                        .late_max_us = 5 * FW_SEC};
    f->late = g_ptr_array_new_with_free_func(msg_free);
    for (int i = 0; i < n; i++) {
        struct fleet_site *s = &f->sites[i];

        g_snprintf(s->name, sizeof(s->name), "n%02d", i);
        g_snprintf(s->addr, sizeof(s->addr), "10.0.0.%d:1", i + 1);
        s->skew_us = Fw_RelayFleet_Below(f, 1000) * FW_SEC;
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
        Fw_Acts_Clear(&f->sites[i].acts);
        Fw_Relay_Free(f->sites[i].relay);
    }
    g_ptr_array_unref(f->late);
}

void
Fw_RelayFleet_Restart(struct fleet *f, int i)
{
    Fw_Acts_Clear(&f->sites[i].acts);
    Fw_Relay_Free(f->sites[i].relay);
    f->sites[i].boot++;
    f->sites[i].frozen_until_us = 0;
    start(f, i);
}

static void
post(struct fleet *f, int from, int to, const GByteArray *data)
{
    struct fleet_msg *m;
    int64_t delay = FW_MSEC;

    if (f->sites[from].cut || f->sites[to].cut ||
        Fw_RelayFleet_Below(f, 100) < f->lose_pct) {
        return;
    }
    if (Fw_RelayFleet_Below(f, 100) < f->late_pct) {
        delay = Fw_RelayFleet_Below(f, (int)f->late_max_us);
    }
    m = g_new0(struct fleet_msg, 1);
    m->from = from;
    m->to = to;
    m->at_us = f->now_us + delay;
    m->data = g_byte_array_new();
    g_byte_array_append(m->data, data->data, data->len);
    g_ptr_array_add(f->late, m);
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
post_each(struct fleet *f, int from, const GPtrArray *addrs,
          const GByteArray *msg)
{
    for (guint i = 0; i < addrs->len; i++) {
        int to = site_at(f, g_ptr_array_index(addrs, i));

        if (to >= 0) {
            post(f, from, to, msg);
        }
    }
}

static void
pass_on(struct fleet *f, int by, const struct fw_rl_envelope *e)
{
    GPtrArray *to = g_ptr_array_new();
    GByteArray *envelope = g_byte_array_new();

    Fw_Envelope_Write(0, e->addr, e->data, e->len, envelope);
    Fw_Relay_PassOn(f->sites[by].relay, e->addr, to);
    post_each(f, by, to, envelope);
    g_byte_array_unref(envelope);
    g_ptr_array_unref(to);
}

static void
arrive(struct fleet *f, const struct fleet_msg *m)
{
    struct fw_rl_envelope e = {.data = m->data->data, .len = m->data->len};
    GByteArray *reply = g_byte_array_new();

    g_strlcpy(e.addr, f->sites[m->from].addr, sizeof(e.addr));

    if (Fw_Envelope_Open(m->data->data, m->data->len, &e)) {
        if (e.pass_on) {
            g_strlcpy(e.addr, f->sites[m->from].addr, sizeof(e.addr));
            pass_on(f, m->to, &e);
        }
    }
    Fw_Relay_ReadMessage(f->sites[m->to].relay, e.addr, e.data, e.len,
                         Fw_RelayFleet_Now(f, m->to), reply);
    if (reply->len) {
        post(f, m->to, site_at(f, e.addr), reply);
    }
    g_byte_array_unref(reply);
}

static void
deliver(struct fleet *f)
{
    for (guint i = 0; i < f->late->len;) {
        struct fleet_msg *m = g_ptr_array_index(f->late, i);

        if (m->at_us > f->now_us || !Fw_RelayFleet_Runs(f, m->to)) {
            i++;
            continue;
        }
        arrive(f, m);
        g_ptr_array_remove_index(f->late, i);
    }
}

static void
ask(struct fleet *f, int i)
{
    GByteArray *msg = g_byte_array_new();
    const char *addr;

    if (Fw_Relay_WriteQuestion(f->sites[i].relay, Fw_RelayFleet_Now(f, i), msg,
                               &addr)) {
        int to = site_at(f, addr);

        if (to >= 0) {
            post(f, i, to, msg);
        }
    }
    g_byte_array_unref(msg);
}

static void
post_to_all(struct fleet *f, int from, const GByteArray *msg)
{
    GPtrArray *direct = g_ptr_array_new();
    GPtrArray *through = g_ptr_array_new();
    GByteArray *envelope = g_byte_array_new();

    Fw_Relay_Routes(f->sites[from].relay, Fw_RelayFleet_Now(f, from), direct,
                    through);
    post_each(f, from, direct, msg);
    Fw_Envelope_Write(1, "", msg->data, msg->len, envelope);
    post_each(f, from, through, envelope);
    g_byte_array_unref(envelope);
    g_ptr_array_unref(direct);
    g_ptr_array_unref(through);
}

void
Fw_RelayFleet_TellDelta(struct fleet *f, int i)
{
    GByteArray *msg = g_byte_array_new();
    GPtrArray *addrs = g_ptr_array_new();

    switch (
        Fw_Relay_WriteDelta(f->sites[i].relay, Fw_RelayFleet_Now(f, i), msg)) {
    case FW_RL_TELL_NOTHING:
        break;
    case FW_RL_TELL:
        post_to_all(f, i, msg);
        break;
    case FW_RL_TELL_DIRECTLY:
        Fw_Relay_Members(f->sites[i].relay, addrs);
        post_each(f, i, addrs, msg);
        break;
    }
    g_ptr_array_unref(addrs);
    g_byte_array_unref(msg);
}

static void
tell(struct fleet *f, int i)
{
    struct fleet_site *s = &f->sites[i];
    GByteArray *msg;

    if (!Fw_RelayFleet_Runs(f, i)) {
        return;
    }
    ask(f, i);
    if (f->now_us < s->digest_us) {
        return;
    }
    s->digest_us = f->now_us + FW_DIGEST_US;
    msg = g_byte_array_new();
    Fw_Relay_WriteDigest(s->relay, Fw_RelayFleet_Now(f, i), msg);
    post_to_all(f, i, msg);
    g_byte_array_unref(msg);
}

void
Fw_RelayFleet_Advance(struct fleet *f, int64_t us)
{
    int64_t end = f->now_us + us;

    while (f->now_us < end) {
        f->now_us += MIN(FW_STEP_US, end - f->now_us);
        deliver(f);
        for (int i = 0; i < f->n; i++) {
            tell(f, i);
        }
    }
}
