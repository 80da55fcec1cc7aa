#include "tests/relay/plain_fleet.h"
#include "explore/explore.h"

#include <check.h>
#include <string.h>

#include "relay/relay_internal.h"

#define FW_INSTANCES_MAX 16
#define FW_SERVERS 3
#define FW_SLOTS 6
#define FW_PLACES (FW_SLOTS + 24)
#define FW_START_US (1000 * FW_SEC)
#define FW_STEP_US (1 * FW_MSEC)
/* Between instances, and between instances and servers or callers. */
#define FW_MESSAGE_US (2 * FW_MSEC)
#define FW_BURST_START_MS 4000
#define FW_BURST_END_MS 7000
#define FW_END_MS 11000
#define FW_TICK_US (50 * FW_MSEC)

/** struct letter - a message on its way. */
struct letter {
    int to;
    int64_t at_us;
    GBytes *data;
    char from[FW_URL_MAX];
};

/** struct caller - one caller; its calls have ids 2i and 2i + 1. */
struct caller {
    int64_t first_us;
    int64_t next_us;
    int attempts;
    int urgent;
    int runs;
};

/** struct job - a call at a server. */
struct job {
    int instance;
    uint64_t xid;
    uint64_t call;
    int64_t ends_us;
};

struct fleet {
    const struct fw_fleet_plan *plan;
    struct fw_fleet_result *res;
    struct fw_relay *relays[FW_INSTANCES_MAX];
    struct fw_rl_actions acts;
    GRand *rand;
    GRand *arrivals;
    GArray *letters;
    GArray *callers;
    GArray *waiting;
    struct job jobs[FW_SERVERS][FW_PLACES];
    int n_jobs[FW_SERVERS];
    int64_t now_us;
};

static int
in_burst(const struct fleet *f)
{
    int64_t ms = (f->now_us - FW_START_US) / FW_MSEC;

    return ms >= FW_BURST_START_MS && ms < FW_BURST_END_MS;
}

static struct fw_rl_rules *
new_rules(const struct fw_fleet_plan *plan)
{
    struct fw_rl_rules *rules = Fw_Rules_New();

    rules->version = 1;
    Fw_Rules_AddService(rules)->name = "server";
    for (int urgent = 0; urgent < 2; urgent++) {
        struct fw_rl_route_rule *route = Fw_Rules_AddRoute(rules);

        *route = (struct fw_rl_route_rule){.kind = FW_RL_NON_IDEMPOTENT,
                                           .timeout_us = 30 * FW_SEC,
                                           .objective_us =
                                               plan->objective_ms * FW_MSEC,
                                           .attempts = 2,
                                           .priority = urgent ? 0 : 5,
                                           .anonymous = 1};
        route->name = urgent ? "urgent" : "usual";
        route->host = "h";
        route->prefix = urgent ? "/u/" : "/p/";
        Fw_Rules_SetTarget(rules, route, "server");
    }
    Fw_Rules_Index(rules);
    return rules;
}

static void
name_instance(int i, struct fw_rl_peer *p)
{
    *p = (struct fw_rl_peer){.cpu_ppm = 100000};
    g_snprintf(p->name, sizeof(p->name), "n%d", i);
    g_snprintf(p->addr, sizeof(p->addr), "10.0.0.%d:1", i);
}

static void
start_relay(struct fleet *f, int i, struct fw_rl_rules *rules)
{
    struct fw_relay_opts o = {.boot = 1,
                              .seed = f->plan->seed * 100 + (uint32_t)i,
                              .retry_window_us = 10 * FW_SEC,
                              .retry_extra = 200,
                              .key_stale_us = 60 * FW_SEC,
                              .cpu_ppm = 100000,
                              .log_level = -1,
                              .admission_forecast = f->plan->forecast};
    struct fw_rl_peer p;

    name_instance(i, &p);
    g_strlcpy(o.name, p.name, sizeof(o.name));
    f->relays[i] = Fw_Relay_New(&o, f->now_us - 60 * FW_SEC);
    for (int k = 0; k < f->plan->instances; k++) {
        if (k != i) {
            name_instance(k, &p);
            Fw_Relay_AddMember(f->relays[i], &p, f->now_us);
        }
    }
    Fw_Relay_EndMemberList(f->relays[i], f->now_us);
    Fw_Relay_SetRules(f->relays[i], rules, 1, f->now_us, &f->acts);
    for (int k = 0; k < FW_SERVERS; k++) {
        struct fw_rl_server_entry e = {.slots = FW_SLOTS, .born_ms = 1};

        e.id = Fw_Run_Name("s%d", k);
        g_snprintf(e.addr, sizeof(e.addr), "s%d:1", k);
        e.service = "server";
        Fw_Relay_UpdateServer(f->relays[i], e.id, &e, f->now_us, &f->acts);
    }
    g_array_set_size(f->acts.all, 0);
}

static void
post(struct fleet *f, int from, struct fw_rl_outbox *out)
{
    for (guint i = 0; i < out->all->len; i++) {
        const struct fw_rl_datagram *d = g_ptr_array_index(out->all, i);
        struct fw_rl_peer p;
        struct letter l = {.at_us = f->now_us + FW_MESSAGE_US,
                           .data = g_bytes_ref(d->data)};

        name_instance(from, &p);
        g_strlcpy(l.from, p.addr, sizeof(l.from));
        ck_assert_int_eq(sscanf(d->addr, "10.0.0.%d:1", &l.to), 1);
        g_array_append_val(f->letters, l);
    }
    Fw_Outbox_Clear(out);
    g_ptr_array_unref(out->all);
}

static void
deliver_letters(struct fleet *f)
{
    while (f->letters->len &&
           g_array_index(f->letters, struct letter, 0).at_us <= f->now_us) {
        struct letter l = g_array_index(f->letters, struct letter, 0);
        struct fw_rl_outbox out;
        gsize len;
        const void *data = g_bytes_get_data(l.data, &len);

        g_array_remove_index(f->letters, 0);
        if (!f->plan->cut_off) {
            Fw_Outbox_Init(&out);
            Fw_Relay_ReadMessage(f->relays[l.to], l.from, data, len, f->now_us,
                                 &out);
            post(f, l.to, &out);
        }
        g_bytes_unref(l.data);
    }
}

static struct caller *
caller_of(struct fleet *f, uint64_t call)
{
    return &g_array_index(f->callers, struct caller, call / 2);
}

static void
handle_rejection(struct fleet *f, const struct fw_rl_rejection *rej)
{
    struct caller *who = caller_of(f, rej->call);
    int at = (int)(rej->call / 2);
    int64_t left_us =
        who->first_us + f->plan->deadline_ms * FW_MSEC - f->now_us;

    ck_assert(rej->status != 503 || !who->runs);
    if (f->plan->forecast && rej->status == 503 &&
        rej->retry_us * 3 > left_us) {
        f->res->too_late++;
    }
    if (who->attempts > 1 || !rej->retry_us || rej->retry_us > left_us) {
        f->res->rejected_twice[who->urgent]++;
        return;
    }
    f->res->rejected[who->urgent]++;
    who->next_us = f->now_us + rej->retry_us + 2 * FW_MESSAGE_US;
    g_array_append_val(f->waiting, at);
}

static void
start_jobs(struct fleet *f, int server)
{
    double us = f->plan->work_ms * FW_MSEC;

    if (server == 0 && f->plan->slow > 1 && in_burst(f)) {
        us *= f->plan->slow;
    }
    for (int i = 0; i < MIN(f->n_jobs[server], FW_SLOTS); i++) {
        struct job *j = &f->jobs[server][i];

        if (!j->ends_us) {
            caller_of(f, j->call)->runs++;
            j->ends_us =
                f->now_us +
                (int64_t)(us * g_rand_double_range(f->rand, 0.5, 1.5));
        }
    }
}

static void
handle_call(struct fleet *f, int instance, const struct fw_rl_upstream_call *u)
{
    struct fw_rl_upstream_response full = {.status = 503, .not_run = 1};
    int server = u->server[1] - '0';

    if (f->n_jobs[server] == FW_PLACES) {
        Fw_Relay_ResponseEnded(f->relays[instance], u->xid, &full, f->now_us,
                               &f->acts);
        return;
    }
    f->jobs[server][f->n_jobs[server]++] =
        (struct job){.instance = instance, .xid = u->xid, .call = u->call};
    start_jobs(f, server);
}

static void
record_end(struct fleet *f, uint64_t call)
{
    struct caller *who = caller_of(f, call);
    int late = f->now_us + 2 * FW_MESSAGE_US - who->first_us >
               f->plan->objective_ms * FW_MSEC;

    f->res->late[who->urgent] += late;
    f->res->in_time[who->urgent] += !late;
    f->res->ran_twice += who->runs > 1;
}

/* Actions may cause others, which are appended. */
static void
carry_out(struct fleet *f, int instance)
{
    for (guint i = 0; i < f->acts.all->len; i++) {
        struct fw_rl_action a =
            g_array_index(f->acts.all, struct fw_rl_action, i);

        if (a.kind == FW_RL_DO_CALL && a.u.upstream_call.call) {
            handle_call(f, instance, &a.u.upstream_call);
        }
        else if (a.kind == FW_RL_DO_REJECT) {
            handle_rejection(f, &a.u.rejection);
        }
        else if (a.kind == FW_RL_DO_FINISH) {
            record_end(f, a.u.call);
        }
    }
    g_array_set_size(f->acts.all, 0);
}

static void
end_jobs(struct fleet *f)
{
    struct fw_rl_upstream_response ok = {.status = 200,
                                         .limit_milli = FW_NO_LIMIT};

    for (int s = 0; s < FW_SERVERS; s++) {
        for (int i = 0; i < MIN(f->n_jobs[s], FW_SLOTS);) {
            struct job j = f->jobs[s][i];

            if (j.ends_us > f->now_us) {
                i++;
                continue;
            }
            memmove(&f->jobs[s][i], &f->jobs[s][i + 1],
                    (size_t)(--f->n_jobs[s] - i) * sizeof(j));
            Fw_Relay_ResponseEnded(f->relays[j.instance], j.xid, &ok,
                                   f->now_us, &f->acts);
            carry_out(f, j.instance);
            start_jobs(f, s);
        }
    }
}

static void
attempt(struct fleet *f, int at)
{
    struct caller *who = &g_array_index(f->callers, struct caller, at);
    int instance = g_rand_int_range(f->rand, 0, f->plan->instances);
    uint64_t call = (uint64_t)at * 2 + (uint64_t)who->attempts++;
    char text[24];
    struct fw_rl_request_info q = {
        .host = "h", .tokens_in = -1, .last_event_id = -1};

    q.path = who->urgent ? "/u/x" : "/p/x";
    g_snprintf(text, sizeof(text), "c%d", (int)call);
    q.id = text;
    q.timeout_us = who->first_us + f->plan->deadline_ms * FW_MSEC - f->now_us;
    q.timeout_us -= q.timeout_us % FW_MSEC;
    Fw_Relay_Open(f->relays[instance], call, &q, f->now_us, &f->acts);
    carry_out(f, instance);
}

static void
arrive(struct fleet *f)
{
    double per_s = 500.0 * FW_SERVERS * FW_SLOTS / f->plan->work_ms *
                   (in_burst(f) ? f->plan->burst : 1.0);
    double n = per_s * FW_STEP_US / FW_SEC;

    while (n > 0) {
        int comes = g_rand_double(f->arrivals) < n;
        struct caller who = {.first_us = f->now_us,
                             .urgent = g_rand_int_range(f->arrivals, 0, 1000) <
                                       f->plan->urgent_permille};

        n -= 1;
        if (comes) {
            f->res->asked[who.urgent]++;
            g_array_append_val(f->callers, who);
            attempt(f, (int)f->callers->len - 1);
        }
    }
    for (guint i = 0; i < f->waiting->len;) {
        int at = g_array_index(f->waiting, int, i);

        if (g_array_index(f->callers, struct caller, at).next_us > f->now_us) {
            i++;
            continue;
        }
        g_array_remove_index_fast(f->waiting, i);
        attempt(f, at);
    }
}

static void
run_relays(struct fleet *f)
{
    for (int i = 0; i < f->plan->instances; i++) {
        struct fw_rl_outbox out;

        if (f->now_us >= Fw_Relay_NextMessageUs(f->relays[i])) {
            Fw_Outbox_Init(&out);
            Fw_Relay_WriteMessages(f->relays[i], f->now_us, &out);
            post(f, i, &out);
        }
        if ((f->now_us + i * FW_MSEC) % FW_TICK_US == 0) {
            Fw_Relay_Tick(f->relays[i], f->now_us, &f->acts);
            carry_out(f, i);
        }
    }
}

static void
set_up(struct fleet *f)
{
    struct fw_rl_rules *rules = new_rules(f->plan);

    f->rand = g_rand_new_with_seed(f->plan->seed);
    f->arrivals = g_rand_new_with_seed(f->plan->seed + 1000);
    f->letters = g_array_new(FALSE, TRUE, sizeof(struct letter));
    f->callers = g_array_new(FALSE, TRUE, sizeof(struct caller));
    f->waiting = g_array_new(FALSE, TRUE, sizeof(int));
    f->now_us = FW_START_US;
    Fw_RelayActions_Init(&f->acts);
    ck_assert_int_le(f->plan->instances, FW_INSTANCES_MAX);
    for (int i = 0; i < f->plan->instances; i++) {
        start_relay(f, i, rules);
    }
    Fw_Rules_Unref(rules);
}

static void
tear_down(struct fleet *f)
{
    for (int i = 0; i < f->plan->instances; i++) {
        Fw_Relay_Free(f->relays[i]);
    }
    for (guint i = 0; i < f->letters->len; i++) {
        g_bytes_unref(g_array_index(f->letters, struct letter, i).data);
    }
    Fw_RelayActions_Clear(&f->acts);
    g_array_unref(f->letters);
    g_array_unref(f->callers);
    g_array_unref(f->waiting);
    g_rand_free(f->rand);
    g_rand_free(f->arrivals);
}

void
Fw_PlainFleet_Play(const struct fw_fleet_plan *plan,
                   struct fw_fleet_result *out)
{
    struct fleet *f = g_new0(struct fleet, 1);

    f->plan = plan;
    f->res = out;
    set_up(f);
    for (; f->now_us < FW_START_US + FW_END_MS * FW_MSEC;
         f->now_us += FW_STEP_US) {
        deliver_letters(f);
        end_jobs(f);
        if (f->now_us < FW_START_US + (FW_END_MS - 3000) * FW_MSEC) {
            arrive(f);
        }
        run_relays(f);
    }
    tear_down(f);
    g_free(f);
}
