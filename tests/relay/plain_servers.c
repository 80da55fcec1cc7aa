#include "tests/relay/plain_servers.h"
#include "explore/explore.h"

#include <string.h>

/* Age of the relay's process when the load begins. */
#define FW_PROCESS_AGE_US (60 * FW_SEC)

/** struct work - a request that a server runs or has queued. */
struct work {
    uint64_t xid;
    int64_t ends_ms;
    int server;
};

/**
 * struct plain_world - state of the simulation.
 * @asked_ms: when a request was sent, by request id
 * @sheds: the first server rejects all requests
 * @free_ms: when each slot has finished its queued requests
 */
struct plain_world {
    struct fw_relay *r;
    struct fw_rl_actions acts;
    struct fw_plain_load *res;
    GRand *rand;
    GArray *works;
    int64_t now_ms;
    int64_t *asked_ms;
    int sheds;
    int64_t free_ms[FW_PLAIN_SERVERS][FW_PLAIN_SLOTS];
};

static int64_t
now_us(const struct plain_world *f)
{
    return (f->now_ms + 1000) * FW_MSEC;
}

/* Requests queued at a server; negative if it has free slots. */
static int
queue_length(const struct plain_world *f, int server)
{
    int n = 0;

    for (guint i = 0; i < f->works->len; i++) {
        n += g_array_index(f->works, struct work, i).server == server;
    }
    return n - FW_PLAIN_SLOTS;
}

static void
handle_call(struct plain_world *f, const struct fw_rl_upstream_call *u)
{
    int server = u->server[1] - '0';
    int64_t *slot = &f->free_ms[server][0];
    struct fw_rl_upstream_response full = {.status = 503, .not_run = 1};
    struct work w = {.xid = u->xid, .server = server};

    if (f->sheds && server == 0) {
        f->res->shed++;
        Fw_Relay_ResponseEnded(f->r, u->xid, &full, now_us(f), &f->acts);
        return;
    }
    if (queue_length(f, server) >= FW_PLAIN_QUEUE) {
        Fw_Relay_ResponseEnded(f->r, u->xid, &full, now_us(f), &f->acts);
        return;
    }
    for (int i = 1; i < FW_PLAIN_SLOTS; i++) {
        if (f->free_ms[server][i] < *slot) {
            slot = &f->free_ms[server][i];
        }
    }
    *slot = MAX(*slot, f->now_ms) + FW_PLAIN_WORK_MS;
    w.ends_ms = *slot;
    g_array_append_val(f->works, w);
}

static void
record_end(struct plain_world *f, uint64_t call)
{
    int late = f->now_ms - f->asked_ms[call] > FW_PLAIN_OBJECTIVE_MS;

    f->res->late += late;
    f->res->on_time += !late;
}

static void
carry_out_actions(struct plain_world *f)
{
    for (guint i = 0; i < f->acts.all->len; i++) {
        struct fw_rl_action a =
            g_array_index(f->acts.all, struct fw_rl_action, i);

        if (a.kind == FW_RL_DO_CALL) {
            handle_call(f, &a.u.upstream_call);
        }
        else if (a.kind == FW_RL_DO_REJECT) {
            f->res->rejected++;
        }
        else if (a.kind == FW_RL_DO_FINISH) {
            record_end(f, a.u.call);
        }
    }
    g_array_set_size(f->acts.all, 0);
}

static void
send_request(struct plain_world *f)
{
    struct fw_rl_request_info q = {
        .host = "h", .path = "/p/x", .tokens_in = -1};
    uint64_t call = (uint64_t)f->res->requests++;

    f->asked_ms[call] = f->now_ms;
    Fw_Relay_Open(f->r, call, &q, now_us(f), &f->acts);
    carry_out_actions(f);
}

static void
deliver(struct plain_world *f)
{
    struct fw_rl_upstream_response ok = {.status = 200};

    for (guint i = 0; i < f->works->len;) {
        struct work w = g_array_index(f->works, struct work, i);

        if (w.ends_ms > f->now_ms) {
            i++;
            continue;
        }
        g_array_remove_index(f->works, i);
        Fw_Relay_ResponseEnded(f->r, w.xid, &ok, now_us(f), &f->acts);
        carry_out_actions(f);
    }
}

static void
set_up_relay(struct plain_world *f)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_route_rule *route = Fw_Rules_AddRoute(rules);

    rules->version = 1;
    *route = (struct fw_rl_route_rule){.kind = FW_RL_NON_IDEMPOTENT,
                                       .timeout_us = 4 * FW_SEC,
                                       .objective_us =
                                           FW_PLAIN_OBJECTIVE_MS * FW_MSEC,
                                       .attempts = 1,
                                       .anonymous = 1,
                                       .name = "r"};
    route->host = "h";
    route->prefix = "/p/";
    Fw_Rules_SetTarget(rules, route, "server");
    Fw_Rules_AddService(rules)->name = "server";
    Fw_Rules_Index(rules);
    Fw_Relay_SetRules(f->r, rules, 1, now_us(f), &f->acts);
    Fw_Rules_Unref(rules);
    for (int i = 0; i < FW_PLAIN_SERVERS; i++) {
        struct fw_rl_server_entry e = {.slots = FW_PLAIN_SLOTS, .born_ms = 1};

        e.id = Fw_Run_Name("s%d", i);
        g_snprintf(e.addr, sizeof(e.addr), "s%d:1", i);
        e.service = "server";
        Fw_Relay_UpdateServer(f->r, e.id, &e, now_us(f), &f->acts);
    }
    g_array_set_size(f->acts.all, 0);
}

static void
play(double per_s, int64_t ms, uint32_t seed, int sheds,
     struct fw_plain_load *out)
{
    struct fw_relay_opts opts = {.name = "n1",
                                 .seed = seed,
                                 .retry_window_us = 10 * FW_SEC,
                                 .retry_extra = 100,
                                 .key_stale_us = 4 * FW_SEC};
    struct plain_world f = {.res = out, .sheds = sheds};

    *out = (struct fw_plain_load){0};
    f.rand = g_rand_new_with_seed(seed);
    f.works = g_array_new(FALSE, TRUE, sizeof(struct work));
    f.asked_ms = g_new0(int64_t, ms + 1);
    f.r = Fw_Relay_New(&opts, now_us(&f) - FW_PROCESS_AGE_US);
    Fw_RelayActions_Init(&f.acts);
    set_up_relay(&f);
    for (; f.now_ms < ms + 5000; f.now_ms++) {
        if (f.now_ms < ms && g_rand_double(f.rand) < per_s / 1000) {
            send_request(&f);
        }
        deliver(&f);
    }
    Fw_RelayActions_Clear(&f.acts);
    Fw_Relay_Free(f.r);
    g_array_unref(f.works);
    g_free(f.asked_ms);
    g_rand_free(f.rand);
}

void
Fw_PlainLoad_Play(double per_s, int64_t ms, uint32_t seed,
                  struct fw_plain_load *out)
{
    play(per_s, ms, seed, 0, out);
}

void
Fw_PlainLoad_PlayShedding(double per_s, int64_t ms, uint32_t seed,
                          struct fw_plain_load *out)
{
    play(per_s, ms, seed, 1, out);
}
