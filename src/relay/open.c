/* A caller's request comes in: what is refused at once, and why. */
#include <string.h>

#include "base/hash.h"
#include "relay/relay_internal.h"

/* Nobody has a configuration that counts: reads of it come this often. */
#define FW_RETRY_UNREADY_US (1 * FW_SEC)
/*
 * Servers lost with one request after which it is refused: one or two can
 * be chance (the request was just there), three in a row are not.
 */
#define FW_POISON_STRIKES 3
/*
 * What a request needs of the grace period that is left: a stream the
 * longest usual one (5.5 s for 99 in 100), a plain one its time limit.
 */
#define FW_DRAIN_STREAM_US (5500 * FW_MSEC)
#define FW_DRAIN_PLAIN_US (1800 * FW_MSEC)
/* A route without a time limit: beyond any caller's own. */
#define FW_TIMEOUT_DEFAULT_US (60 * FW_SEC)
/* Another instance takes it at once. */
#define FW_RETRY_ELSEWHERE_US (50 * FW_MSEC)
/*
 * With news of the store older than this keys may soon not count: callers
 * with kept connections go to others before that. Half as old again as news
 * usually are (a read of 0.75 s that another asks about each 0.7 s).
 */
#define FW_DOUBT_US (2200 * FW_MSEC)
/* A request that crashes its servers should not be back soon. */
#define FW_RETRY_POISON_US (60 * FW_SEC)

/* By the request's id, so that one that is sent again goes the same way. */
static const char *
pick_service(const struct fw_rl_route_rule *route, const char *id)
{
    uint64_t sum = 0;
    uint64_t at;

    for (int i = 0; i < route->n_targets; i++) {
        sum += (uint64_t)route->targets[i].weight;
    }
    if (!sum) {
        return route->targets[0].service;
    }
    at = Fw_Hash_Str(id) % sum;
    for (int i = 0; i < route->n_targets; i++) {
        if (at < (uint64_t)route->targets[i].weight) {
            return route->targets[i].service;
        }
        at -= (uint64_t)route->targets[i].weight;
    }
    return route->targets[0].service;
}

static int64_t
cost_of(const struct fw_rl_team_rule *t, const struct fw_rl_ask *ask)
{
    if (t->by_request) {
        return 1;
    }
    return ask->tokens_in >= 0 ? ask->tokens_in + ask->tokens_out
                               : t->plain_cost;
}

/*
 * The id stands in log lines. A caller could end its member there and add
 * others, and who reads the log would believe them.
 */
static void
make_printable(char *id)
{
    for (char *p = id; *p; p++) {
        if (*p < ' ' || *p > '~' || *p == '"' || *p == '\\') {
            *p = '_';
        }
    }
}

static struct fw_rl_call *
call_new(struct fw_relay *r, uint64_t id, const struct fw_rl_ask *ask,
         int64_t now_us)
{
    struct fw_rl_call *c = g_new0(struct fw_rl_call, 1);

    c->id = id;
    c->ask = *ask;
    make_printable(c->ask.id);
    c->opened_us = now_us;
    c->deadline_us = INT64_MAX;
    Fw_List_Append(&r->call_list, &c->link);
    g_hash_table_insert(r->calls, &c->id, c);
    r->n.requests.value++;
    return c;
}

static void
set_limits(struct fw_rl_call *c, int64_t now_us)
{
    int64_t left =
        c->route.timeout_us ? c->route.timeout_us : FW_TIMEOUT_DEFAULT_US;

    if (c->ask.left_us > 0) {
        left = MIN(left, c->ask.left_us);
    }
    c->deadline_us = now_us + left;
}

/*
 * A key that was taken away must stop working although this instance may be
 * cut off from the store: keys count only while the configuration in force
 * is known to be the newest as of a short while ago.
 */
int
Fw_Relay_KeysFresh(const struct fw_relay *r, int64_t now_us)
{
    return r->rules && now_us - r->fresh_us < r->opts.key_stale_us;
}

/*
 * An instance that is cut off refuses what others could serve at once, so its
 * callers are sent to them without a pause. Where the others are no better
 * off a quick return would only be refused again.
 */
int64_t
Fw_Relay_UnreadyRetry(struct fw_relay *r, int64_t now_us)
{
    int heard;
    int count = Fw_Members_Count(r, now_us, &heard);

    return heard * 2 < count || Fw_Watch_IsBehind(r, now_us)
               ? FW_RETRY_ELSEWHERE_US
               : FW_RETRY_UNREADY_US;
}

int
Fw_Relay_SendsAway(const struct fw_relay *r, int64_t now_us)
{
    return !Fw_Relay_Ready(r, now_us) || now_us - r->fresh_us > FW_DOUBT_US;
}

int
Fw_Relay_MayServe(const struct fw_relay *r, const struct fw_rl_call *c,
                  int64_t now_us)
{
    return c->route.anonymous || Fw_Relay_KeysFresh(r, now_us);
}

static void
log_allowance(const struct fw_relay *r, const struct fw_rl_call *c,
              struct fw_rl_acts *out)
{
    int64_t level;
    int part;

    Fw_Allowance_Explain(r, c->team, &level, &part);
    Fw_Acts_Log(out, r, LOG_NOTICE, "allowance_short",
                "\"id\":\"%s\",\"team\":\"%s\",\"cost\":%" G_GINT64_FORMAT
                ",\"level\":%" G_GINT64_FORMAT ",\"part_permille\":%d",
                c->ask.id, c->team, c->cost, level, part);
}

/* Nonzero when the request goes on; else it was answered. */
static int
admit_team(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
           struct fw_rl_acts *out)
{
    const struct fw_rl_team_rule *t = Fw_Rules_Team(r->rules, c->ask.key);
    int64_t retry_us;

    memset(c->ask.key, 0, sizeof(c->ask.key));
    if (!Fw_Relay_KeysFresh(r, now_us)) {
        Fw_Call_Refuse(r, c, 503, Fw_Relay_UnreadyRetry(r, now_us),
                       "configuration_stale", now_us, out);
        return 0;
    }
    if (!t) {
        Fw_Call_Refuse(r, c, 401, 0, "unknown_key", now_us, out);
        return 0;
    }
    g_strlcpy(c->team, t->name, sizeof(c->team));
    if (t->priority >= 0) {
        c->urgency = t->priority;
    }
    c->cost = cost_of(t, &c->ask);
    if (!Fw_Allowance_Take(r, t, c->cost, now_us, &retry_us)) {
        log_allowance(r, c, out);
        Fw_Call_Refuse(r, c, 429, retry_us, "over_allowance", now_us, out);
        return 0;
    }
    c->paid = 1;
    return 1;
}

/*
 * A request that a stopping instance could not finish is sent to another
 * one at once: cut at the end it would be lost. Until a balancer has noticed
 * the stop requests still come, and most of them end in time.
 */
static int
too_late(const struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us)
{
    int64_t left = r->drain_us + r->opts.grace_us - now_us;

    return r->draining && left < (c->route.generates ? FW_DRAIN_STREAM_US
                                                     : FW_DRAIN_PLAIN_US);
}

static void
start(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
      struct fw_rl_acts *out)
{
    const struct fw_rl_service_rule *s =
        Fw_Rules_Service(r->rules, c->service);

    Fw_Budget_Request(r, c->service, now_us);
    if (c->route.generates && s && s->engines && c->ask.tokens_in >= 0) {
        Fw_Stream_Open(r, c, now_us, out);
    }
    else {
        Fw_Plain_Send(r, c, now_us, out);
    }
}

void
Fw_Relay_Open(struct fw_relay *r, uint64_t call, const struct fw_rl_ask *ask,
              int64_t now_us, struct fw_rl_acts *out)
{
    struct fw_rl_call *c = call_new(r, call, ask, now_us);
    const struct fw_rl_route_rule *route;

    if (!r->rules) {
        Fw_Call_Refuse(r, c, 503, FW_RETRY_UNREADY_US, "no_configuration",
                       now_us, out);
        return;
    }
    route = Fw_Rules_Route(r->rules, ask->host, ask->path);
    if (!route) {
        Fw_Call_Refuse(r, c, 404, 0, "no_route", now_us, out);
        return;
    }
    c->route = *route;
    c->urgency = route->priority;
    g_strlcpy(c->service, pick_service(route, ask->id), sizeof(c->service));
    set_limits(c, now_us);
    if (too_late(r, c, now_us)) {
        Fw_Call_Refuse(r, c, 503, FW_RETRY_ELSEWHERE_US, "stopping", now_us,
                       out);
        return;
    }
    if (route->anonymous) {
        memset(c->ask.key, 0, sizeof(c->ask.key));
    }
    else if (!admit_team(r, c, now_us, out)) {
        return;
    }
    if (Fw_Poison_Count(r, ask->digest, now_us) >= FW_POISON_STRIKES) {
        Fw_Call_Refuse(r, c, 503, FW_RETRY_POISON_US, "poison", now_us, out);
        return;
    }
    start(r, c, now_us, out);
}

void
Fw_Relay_Gone(struct fw_relay *r, uint64_t call, int64_t now_us,
              struct fw_rl_acts *out)
{
    struct fw_rl_call *c = g_hash_table_lookup(r->calls, &call);

    if (!c) {
        return;
    }
    r->n.left.value++;
    Fw_Acts_Log(out, r, LOG_NOTICE, "caller_left",
                "\"id\":\"%s\",\"route\":\"%s\",\"state\":%d,"
                "\"after_ms\":%" G_GINT64_FORMAT,
                c->ask.id, c->route.name, (int)c->state,
                Fw_Relay_Ms(now_us - c->opened_us));
    Fw_Call_End(r, c, now_us, out);
}
