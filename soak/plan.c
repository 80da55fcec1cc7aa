/* The faults of a run, drawn from its seed. */
#include <signal.h>

#include "soak/plan_internal.h"

/* Time before the first fault, and after the last one. */
#define FW_FIRST_MS 4000
#define FW_QUIET_MS 12000
#define FW_GAP_MIN_MS 100
#define FW_GAP_MAX_MS 1500
#define FW_SHORTEST_MS 200
#define FW_LONGEST_MS 5000
/* Between two servers that refuse without a mark, or whose entry goes. */
#define FW_REFUSAL_GAP_MIN_MS 500
#define FW_REFUSAL_GAP_MAX_MS 4000
/* All instances but one pause, from just before an entry goes. */
#define FW_PAUSE_BEFORE_MS 100
#define FW_MOST_PAUSE_MS 3500
/* Time that a server serves on after it has said that it leaves. */
#define FW_LEAVING_MS 4500
/* Instances that a series stops one after the other. */
#define FW_SERIES 3
#define FW_SERIES_GAP_MS 700
/*
 * Beside a crashing part all instances are killed, one after the other, once
 * it is in quarantine. One is back when the next is killed, so that another
 * one always knows of it. The part then stays for longer, so that requests
 * with it reach all instances after these have been calm again.
 */
#define FW_ROLL_AFTER_MS 4000
#define FW_ROLL_GAP_MS 900
#define FW_ROLL_LONGER_MS 9000

static const char *const names[FW_FAULTS] = {"stop",
                                             "series of stops",
                                             "kill",
                                             "pause",
                                             "reload",
                                             "most pause",
                                             "store silent",
                                             "store one way",
                                             "store delayed",
                                             "store reset",
                                             "store down",
                                             "store mute",
                                             "store loses answers",
                                             "store forgets",
                                             "server killed",
                                             "server drains",
                                             "server silent",
                                             "server one way",
                                             "server delayed",
                                             "server resets",
                                             "server full",
                                             "server errors",
                                             "server stalls",
                                             "server partial",
                                             "server empty",
                                             "server breaks",
                                             "server limit",
                                             "server rest",
                                             "server leaves",
                                             "server unmarked",
                                             "server removed",
                                             "key withdrawn",
                                             "crashing part",
                                             "crowd"};

static int busy_servers[FW_SOAK_SERVERS];
static int store_busy;

static gboolean
stop_once(gpointer data)
{
    Fw_SoakRelay_Signal(data, SIGTERM);
    return G_SOURCE_REMOVE;
}

static gboolean
kill_once(gpointer data)
{
    struct soak_relay *r = data;

    /* A stop that has begun must end as planned. */
    if (!r->term_us) {
        Fw_SoakRelay_Signal(r, SIGKILL);
    }
    return G_SOURCE_REMOVE;
}

static void
roll(struct soak *s)
{
    for (int i = 0; i < s->n_relays; i++) {
        g_timeout_add(FW_ROLL_AFTER_MS + (guint)i * FW_ROLL_GAP_MS, kill_once,
                      &s->relays[i]);
    }
}

/* Pauses, or continues, all instances but the target. */
static void
signal_all_but(struct entry *e, int signal)
{
    struct soak *s = e->soak;
    int64_t now = Fw_Soak_NowUs();

    for (int i = 0; i < s->n_relays; i++) {
        struct soak_relay *r = &s->relays[i];

        if (i == e->target % s->n_relays) {
            continue;
        }
        r->n_faults += signal == SIGSTOP ? 1 : -1;
        r->disturbed_us = now;
        Fw_SoakRelay_Signal(r, signal);
        if (signal == SIGCONT && r->term_us) {
            r->term_us = now; /* it gets the signal now */
        }
    }
}

static void
begin_relay_fault(struct entry *e)
{
    struct soak *s = e->soak;
    struct soak_relay *r = &s->relays[e->target % s->n_relays];

    switch (e->fault) {
    case FW_RELAY_TERM:
        Fw_SoakRelay_Signal(r, SIGTERM);
        break;
    case FW_RELAY_SERIES:
        for (int i = 0; i < FW_SERIES; i++) {
            g_timeout_add((guint)i * FW_SERIES_GAP_MS, stop_once,
                          &s->relays[(e->target + i) % s->n_relays]);
        }
        break;
    case FW_RELAY_KILL:
        Fw_SoakRelay_Signal(r, SIGKILL);
        break;
    case FW_RELAY_PAUSE:
        r->n_faults++;
        Fw_SoakRelay_Signal(r, SIGSTOP);
        break;
    case FW_RELAYS_PAUSE:
        signal_all_but(e, SIGSTOP);
        break;
    case FW_RELAY_RELOAD:
        Fw_SoakRelay_WriteSettings(r, e->for_ms % 2 ? "debug" : "info");
        Fw_SoakRelay_Signal(r, SIGHUP);
        break;
    case FW_RELAY_STORE_RESET:
        r->disturbed_us = Fw_Soak_NowUs();
        Fw_Proxy_ResetAll(r->store_proxy);
        break;
    default:
        r->n_faults++;
        Fw_Proxy_SetMode(r->store_proxy, Fw_SoakPlan_ProxyMode(e->fault));
        break;
    }
}

/* Whether the fault affects its instance until it ends. */
static int
lasts(enum fault f)
{
    return f == FW_RELAY_PAUSE ||
           (f >= FW_RELAY_STORE_SILENT && f <= FW_RELAY_STORE_DELAY);
}

static void
end_relay_fault(struct entry *e)
{
    struct soak_relay *r = &e->soak->relays[e->target % e->soak->n_relays];

    if (e->fault == FW_RELAYS_PAUSE) {
        signal_all_but(e, SIGCONT);
        return;
    }
    if (lasts(e->fault)) {
        r->n_faults--;
        r->disturbed_us = Fw_Soak_NowUs();
    }
    if (e->fault == FW_RELAY_PAUSE) {
        Fw_SoakRelay_Signal(r, SIGCONT);
        if (r->term_us) {
            r->term_us = Fw_Soak_NowUs(); /* it gets the signal now */
        }
    }
    else if (e->fault >= FW_RELAY_STORE_SILENT &&
             e->fault <= FW_RELAY_STORE_DELAY) {
        Fw_Proxy_SetMode(r->store_proxy, FW_PROXY_PASS);
    }
}

static void
begin_store_fault(struct entry *e)
{
    struct soak *s = e->soak;

    s->store_disturbed_us = FW_SOAK_ONGOING;
    switch (e->fault) {
    case FW_STORE_DOWN:
        Fw_WireStore_SetMode(s->store, FW_WIRE_STORE_UNAVAILABLE);
        break;
    case FW_STORE_MUTE:
        Fw_WireStore_SetMode(s->store, FW_WIRE_STORE_UNRESPONSIVE);
        break;
    case FW_STORE_LOSES:
        Fw_WireStore_SetMode(s->store, FW_WIRE_STORE_LOST_REPLIES);
        break;
    default:
        Fw_WireStore_Truncate(s->store, "keyed.op");
        Fw_WireStore_Truncate(s->store, "keyed.servers");
        break;
    }
}

static int
is_store_fault(enum fault f)
{
    return f >= FW_STORE_DOWN && f <= FW_STORE_FORGETS;
}

static int
is_server_fault(enum fault f)
{
    return f >= FW_SERVER_KILL && f <= FW_SERVER_REMOVED;
}

static gboolean
end_fault(gpointer data)
{
    struct entry *e = data;
    struct soak *s = e->soak;

    Fw_Soak_Log(s, "%s %d ends", names[e->fault], e->target);
    if (is_store_fault(e->fault)) {
        Fw_WireStore_SetMode(s->store, FW_WIRE_STORE_NORMAL);
        s->store_disturbed_us = Fw_Soak_NowUs();
        store_busy = 0;
    }
    else if (is_server_fault(e->fault)) {
        Fw_SoakPlan_EndServerFault(e);
        busy_servers[e->target % FW_SOAK_SERVERS] = 0;
    }
    else if (e->fault == FW_KEY_WITHDRAWN) {
        Fw_SoakWorld_PutConfig(s, 1);
        s->revoked_us = 0;
        s->restored_us = Fw_Soak_NowUs();
    }
    else if (e->fault == FW_CRASHING_PART) {
        s->culprit.on = 0;
    }
    else if (e->fault == FW_CROWD) {
        s->crowded_relay = FW_SOAK_NOBODY;
    }
    else {
        end_relay_fault(e);
    }
    g_free(e);
    return G_SOURCE_REMOVE;
}

/* One fault at a time of a server, and of the store and its records. */
static int
reserve_target(const struct entry *e)
{
    int *busy = &store_busy;

    if (is_server_fault(e->fault)) {
        busy = &busy_servers[e->target % FW_SOAK_SERVERS];
    }
    else if (!is_store_fault(e->fault) && e->fault != FW_KEY_WITHDRAWN) {
        return 1;
    }
    if (*busy) {
        return 0;
    }
    *busy = e->fault != FW_KEY_WITHDRAWN;
    return 1;
}

static gboolean
begin_fault(gpointer data)
{
    struct entry *e = data;
    struct soak *s = e->soak;

    if (!reserve_target(e) ||
        (e->fault == FW_KEY_WITHDRAWN && s->revoked_us) ||
        (e->fault == FW_CRASHING_PART && s->culprit.on) ||
        (e->fault == FW_CROWD && s->crowded_relay != FW_SOAK_NOBODY)) {
        g_free(e);
        return G_SOURCE_REMOVE;
    }
    Fw_Soak_Log(s, "%s %d for %u ms", names[e->fault], e->target, e->for_ms);
    if (is_store_fault(e->fault)) {
        begin_store_fault(e);
    }
    else if (is_server_fault(e->fault)) {
        Fw_SoakPlan_BeginServerFault(e);
    }
    else if (e->fault == FW_KEY_WITHDRAWN) {
        Fw_SoakWorld_PutConfig(s, 0);
        s->revoked_us = Fw_Soak_NowUs();
    }
    else if (e->fault == FW_CRASHING_PART) {
        Fw_SoakCrashes_Begin(s);
        if (e->rolls) {
            roll(s);
        }
    }
    else if (e->fault == FW_CROWD) {
        s->crowded_relay = e->target % s->n_relays;
    }
    else {
        begin_relay_fault(e);
    }
    g_timeout_add(e->for_ms, end_fault, e);
    return G_SOURCE_REMOVE;
}

static guint
draw_duration(struct soak *s, enum fault f)
{
    switch (f) {
    case FW_SERVER_LIMIT:
    case FW_SERVER_REST:
    case FW_KEY_WITHDRAWN:
    case FW_CRASHING_PART:
    case FW_CROWD:
        return (guint)g_rand_int_range(s->rand, 6000, 9000);
    case FW_SERVER_DRAIN:
    case FW_SERVER_REMOVED:
    case FW_SERVER_LEAVES:
        return FW_LEAVING_MS;
    default:
        return (guint)g_rand_int_range(s->rand, FW_SHORTEST_MS, FW_LONGEST_MS);
    }
}

/* Faults are drawn by groups, so that each promise meets its own ones. */
static enum fault
draw_fault(struct soak *s)
{
    static const struct {
        enum fault first;
        enum fault last;
        int weight;
    } groups[] = {{FW_RELAY_TERM, FW_RELAY_RELOAD, 20},
                  {FW_RELAY_STORE_SILENT, FW_RELAY_STORE_RESET, 10},
                  {FW_STORE_DOWN, FW_STORE_FORGETS, 8},
                  {FW_SERVER_KILL, FW_SERVER_STALL, 18},
                  {FW_SERVER_PARTIAL, FW_SERVER_BREAKS, 14},
                  {FW_SERVER_LIMIT, FW_SERVER_LEAVES, 16},
                  {FW_KEY_WITHDRAWN, FW_KEY_WITHDRAWN, 6},
                  {FW_CRASHING_PART, FW_CROWD, 8}};
    int at = g_rand_int_range(s->rand, 0, 100);
    size_t i = 0;

    while (at >= groups[i].weight) {
        at -= groups[i++].weight;
    }
    return (enum fault)g_rand_int_range(s->rand, (int)groups[i].first,
                                        (int)groups[i].last + 1);
}

/* Only decode engines have streams to break off. */
static int
draw_target(struct soak *s, enum fault f)
{
    if (f >= FW_SERVER_PARTIAL && f <= FW_SERVER_BREAKS) {
        return g_rand_int_range(s->rand, FW_SOAK_PREFILL, FW_SOAK_ENGINES);
    }
    return g_rand_int_range(
        s->rand, 0, is_server_fault(f) ? FW_SOAK_SERVERS : s->n_relays);
}

static void
add_entry(struct soak *s, enum fault fault, int target, guint at, guint for_ms)
{
    struct entry *e = g_new0(struct entry, 1);

    e->soak = s;
    e->fault = fault;
    e->target = target;
    e->for_ms = for_ms;
    g_timeout_add(at, begin_fault, e);
}

/*
 * A series of its own, so that the faults above are those that a seed has
 * always had.
 */
static void
plan_refusals_and_removals(struct soak *s, int64_t ms)
{
    GRand *rand = g_rand_new_with_seed(s->seed);
    int64_t at = FW_FIRST_MS;

    while (at < ms - FW_QUIET_MS) {
        enum fault f =
            g_rand_boolean(rand) ? FW_SERVER_UNMARKED : FW_SERVER_REMOVED;
        int target = g_rand_int_range(rand, FW_SOAK_PREFILL, FW_SOAK_SERVERS);
        guint for_ms =
            f == FW_SERVER_REMOVED
                ? FW_LEAVING_MS
                : (guint)g_rand_int_range(rand, FW_SHORTEST_MS, FW_LONGEST_MS);

        add_entry(s, f, target, (guint)at, for_ms);
        if (f == FW_SERVER_REMOVED && g_rand_int_range(rand, 0, 3) == 0) {
            add_entry(s, FW_RELAYS_PAUSE, g_rand_int_range(rand, 0, 1000),
                      (guint)at - FW_PAUSE_BEFORE_MS, FW_MOST_PAUSE_MS);
        }
        at += g_rand_int_range(rand, FW_REFUSAL_GAP_MIN_MS,
                               FW_REFUSAL_GAP_MAX_MS);
    }
    g_rand_free(rand);
}

void
Fw_SoakPlan_Start(struct soak *s, int64_t ms)
{
    int64_t at = FW_FIRST_MS;

    plan_refusals_and_removals(s, ms);
    Fw_SoakAnswers_Plan(s, ms);
    while (at < ms - FW_QUIET_MS) {
        struct entry *e = g_new0(struct entry, 1);

        e->soak = s;
        e->fault = draw_fault(s);
        e->target = draw_target(s, e->fault);
        e->for_ms = draw_duration(s, e->fault);
        e->rolls = e->fault == FW_CRASHING_PART &&
                   at + e->for_ms + FW_ROLL_LONGER_MS < ms - FW_QUIET_MS;
        e->for_ms += e->rolls ? FW_ROLL_LONGER_MS : 0;
        g_timeout_add((guint)at, begin_fault, e);
        at += g_rand_int_range(s->rand, FW_GAP_MIN_MS, FW_GAP_MAX_MS);
    }
}
