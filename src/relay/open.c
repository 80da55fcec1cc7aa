/* Arrival of a caller's request: routing, admission, immediate rejection. */
#include <string.h>

#include "base/hash.h"
#include "relay/relay_internal.h"

/* Retry-After of a rejection for lack of a current configuration. */
#define FW_RETRY_NO_CONFIG_US (1 * FW_SEC)
/*
 * The same shortly after the start, when the configuration is about to be
 * received, and how long that is.
 */
#define FW_RETRY_STARTING_US (150 * FW_MSEC)
#define FW_STARTING_US (1 * FW_SEC)
/* Time limit for routes that set none. */
#define FW_DEFAULT_TIMEOUT_US (60 * FW_SEC)
/*
 * Age of the configuration above which callers' connections are closed after a
 * response, so that they reconnect to another instance before their keys are
 * rejected as stale. Half as long again as the usual age: a read of 0.75 s,
 * which other instances ask about every 0.7 s.
 */
#define FW_CONFIG_AGE_SHED_US (2200 * FW_MSEC)

/* Weighted choice by a hash of the request's id: retries get the same one. */
static const char *
choose_service(const struct fw_rl_route_rule *route, const char *id)
{
    uint64_t total = 0;
    uint64_t point;

    for (int i = 0; i < route->n_targets; i++) {
        total += (uint64_t)route->targets[i].weight;
    }
    if (!total) {
        return route->targets[0].service;
    }
    point = Fw_Hash_Str(id) % total;
    for (int i = 0; i < route->n_targets; i++) {
        if (point < (uint64_t)route->targets[i].weight) {
            return route->targets[i].service;
        }
        point -= (uint64_t)route->targets[i].weight;
    }
    return route->targets[0].service;
}

static int64_t
allowance_cost(const struct fw_rl_team_rule *t,
               const struct fw_rl_request_info *info)
{
    if (t->by_request) {
        return 1;
    }
    return info->tokens_in >= 0 ? info->tokens_in + info->tokens_out_max
                                : t->plain_cost;
}

/*
 * A copy without the characters that would let a caller's id inject members
 * into JSON log lines.
 */
static char *
sanitized_id(const char *id)
{
    char *copy = g_strdup(id ? id : "");

    for (char *p = copy; *p; p++) {
        if (*p < ' ' || *p > '~' || *p == '"' || *p == '\\') {
            *p = '_';
        }
    }
    return copy;
}

/* Of a request that is not routed yet. */
static const struct fw_rl_route_rule no_route = {
    .name = "", .host = "", .prefix = ""};

static struct fw_rl_call *
call_new(struct fw_relay *r, uint64_t id,
         const struct fw_rl_request_info *info, int64_t now_us)
{
    struct fw_rl_call *c = g_new0(struct fw_rl_call, 1);

    c->id = id;
    c->info = *info;
    Fw_RequestInfo_Own(&c->info);
    c->info.id = sanitized_id(info->id);
    c->route = &no_route;
    c->service = "";
    c->team = "";
    c->opened_us = now_us;
    c->deadline_us = INT64_MAX;
    Fw_List_Append(&r->call_list, &c->link);
    g_hash_table_insert(r->calls, &c->id, c);
    r->relay_metrics.requests.value++;
    return c;
}

static void
set_deadline(struct fw_rl_call *c)
{
    int64_t left =
        c->route->timeout_us ? c->route->timeout_us : FW_DEFAULT_TIMEOUT_US;

    if (c->info.timeout_us > 0) {
        left = MIN(left, c->info.timeout_us);
    }
    c->deadline_us = c->opened_us + left;
}

/*
 * A revoked key must stop working even where this instance is partitioned
 * from the store. Keys are accepted only while the configuration in force is
 * known to have been the newest within the configured staleness limit.
 */
int
Fw_Relay_AreKeysFresh(const struct fw_relay *r, int64_t now_us)
{
    return r->rules && now_us - r->rules_fresh_us < r->opts.key_stale_us;
}

/*
 * When this instance is partitioned from most others, or one of them has a
 * newer configuration, the suggested retry delay is short, since others can
 * serve the callers. Otherwise the others are likely to be stale as well.
 */
int64_t
Fw_Relay_StaleRetryUs(struct fw_relay *r, int64_t now_us)
{
    int n_live;
    int count = Fw_Members_Count(r, now_us, &n_live);

    if (now_us - r->start_us < FW_STARTING_US) {
        return FW_RETRY_STARTING_US;
    }
    return n_live * 2 < count || Fw_StoreSync_IsBehind(r, now_us)
               ? FW_RL_RETRY_ELSEWHERE_US
               : FW_RETRY_NO_CONFIG_US;
}

int
Fw_Relay_ShedsConnections(const struct fw_relay *r, int64_t now_us)
{
    return !Fw_Relay_IsReady(r, now_us) ||
           now_us - r->rules_fresh_us > FW_CONFIG_AGE_SHED_US;
}

int
Fw_Relay_MayServe(const struct fw_relay *r, const struct fw_rl_call *c,
                  int64_t now_us)
{
    return c->route->anonymous || Fw_Relay_AreKeysFresh(r, now_us);
}

static void
log_allowance(const struct fw_relay *r, const struct fw_rl_call *c,
              struct fw_rl_actions *out)
{
    int64_t level;
    int part;

    Fw_Allowance_Describe(r, c->team, &level, &part);
    Fw_RelayActions_Log(
        out, r, LOG_NOTICE, "allowance_short",
        "\"id\":\"%s\",\"team\":\"%s\",\"cost\":%" G_GINT64_FORMAT
        ",\"level\":%" G_GINT64_FORMAT ",\"part_permille\":%d",
        c->info.id, c->team, c->cost, level, part);
}

/* Return: nonzero if charged, 0 if the request was rejected and freed. */
static int
charge_team(struct fw_relay *r, struct fw_rl_call *c,
            const struct fw_rl_team_rule *t, int64_t now_us,
            struct fw_rl_actions *out)
{
    int64_t retry_us;

    c->cost = allowance_cost(t, &c->info);
    if (!Fw_Allowance_Take(r, t, c->cost, now_us, &retry_us)) {
        log_allowance(r, c, out);
        Fw_Call_Reject(r, c, 429, retry_us, "over_allowance", now_us, out);
        return 0;
    }
    c->is_charged = 1;
    return 1;
}

/* Return: nonzero if admitted, 0 if the request was rejected and freed. */
static int
admit_team(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
           struct fw_rl_actions *out)
{
    const struct fw_rl_team_rule *t = Fw_Rules_Team(r->rules, c->info.key);

    Fw_RequestInfo_Forget(&c->info);
    if (!Fw_Relay_AreKeysFresh(r, now_us)) {
        Fw_Call_Reject(r, c, 503, Fw_Relay_StaleRetryUs(r, now_us),
                       "configuration_stale", now_us, out);
        return 0;
    }
    if (!t) {
        Fw_Call_Reject(r, c, 401, 0, "unknown_key", now_us, out);
        return 0;
    }
    if (t->is_unusable) {
        Fw_Call_Reject(r, c, 503, FW_RETRY_NO_CONFIG_US, "team_unusable",
                       now_us, out);
        return 0;
    }
    c->team_rules = Fw_Rules_Ref(r->rules);
    c->team = t->name;
    c->team_regions = t->regions;
    if (t->priority >= 0) {
        c->priority = t->priority;
    }
    return charge_team(r, c, t, now_us, out);
}

int
Fw_Relay_NeedsEngines(const struct fw_relay *r, const struct fw_rl_call *c)
{
    const struct fw_rl_service_rule *s =
        Fw_Rules_Service(r->rules, c->service);

    return c->route->generates && s && s->has_engines &&
           c->info.tokens_in >= 0;
}

static void
count_request(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us)
{
    c->counted_us = now_us;
    c->sent_by_us = Fw_Pause_EarliestSentUs(r, now_us);
    Fw_RetryBudget_NoteRequest(r, c->service, c->sent_by_us, now_us);
}

void
Fw_Relay_Uncount(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us)
{
    if (c->is_charged) {
        Fw_Allowance_Refund(r, c->team, c->cost);
        c->is_charged = 0;
    }
    if (!c->counted_us) {
        return;
    }
    Fw_RetryBudget_TakeBack(r, c->service, c->sent_by_us,
                            c->is_declined ? 0 : c->retries_charged, now_us);
    if (c->kv_tokens) {
        Fw_PrefillLoad_TakeBack(
            &Fw_ServiceStats_Get(r, c->service)->prefill_load,
            c->info.tokens_in, c->counted_us, now_us);
    }
    c->counted_us = 0;
    c->retries_charged = 0;
}

int
Fw_Relay_Recount(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                 struct fw_rl_actions *out)
{
    const struct fw_rl_team_rule *t =
        c->team[0] ? Fw_Rules_TeamNamed(r->rules, c->team) : NULL;

    if (!Fw_Relay_MayServe(r, c, now_us)) {
        Fw_Call_Reject(r, c, 503, Fw_Relay_StaleRetryUs(r, now_us),
                       "configuration_stale", now_us, out);
        return 0;
    }
    if (t && !charge_team(r, c, t, now_us, out)) {
        return 0;
    }
    count_request(r, c, now_us);
    if (c->kv_tokens) {
        Fw_PrefillLoad_Add(&Fw_ServiceStats_Get(r, c->service)->prefill_load,
                           c->info.tokens_in, now_us);
    }
    return 1;
}

static void
dispatch(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
         struct fw_rl_actions *out)
{
    count_request(r, c, now_us);
    if (Fw_Relay_NeedsEngines(r, c)) {
        Fw_Stream_Open(r, c, now_us, out);
    }
    else {
        Fw_PlainCalls_NoteArrival(r, c, now_us);
        Fw_Plain_Send(r, c, now_us, out);
    }
}

void
Fw_Relay_Admit(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
               struct fw_rl_actions *out)
{
    int64_t retry_us;

    if (c->route->anonymous) {
        Fw_RequestInfo_Forget(&c->info);
    }
    else if (!admit_team(r, c, now_us, out)) {
        return;
    }
    if (Fw_Crashes_IsQuarantined(r, c, now_us, &retry_us)) {
        Fw_Call_Reject(r, c, 503, retry_us, "poison", now_us, out);
        return;
    }
    dispatch(r, c, now_us, out);
}

static int
is_service_unusable(const struct fw_relay *r, const struct fw_rl_call *c)
{
    const struct fw_rl_service_rule *s =
        Fw_Rules_Service(r->rules, c->service);

    return s && s->is_unusable;
}

void
Fw_Relay_Serve(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
               struct fw_rl_actions *out)
{
    const struct fw_rl_route_rule *route;

    if (!r->rules) {
        Fw_Call_Reject(r, c, 503, Fw_Relay_StaleRetryUs(r, now_us),
                       "no_configuration", now_us, out);
        return;
    }
    route = Fw_Rules_Route(r->rules, c->info.host, c->info.path);
    if (!route) {
        Fw_Call_Reject(r, c, 404, 0, "no_route", now_us, out);
        return;
    }
    if (route->is_unusable) {
        Fw_Call_Reject(r, c, 503, FW_RETRY_NO_CONFIG_US, "route_unusable",
                       now_us, out);
        return;
    }
    c->rules = Fw_Rules_Ref(r->rules);
    c->route = route;
    c->priority = route->priority;
    c->service = choose_service(route, c->info.id);
    if (is_service_unusable(r, c)) {
        Fw_Call_Reject(r, c, 503, FW_RETRY_NO_CONFIG_US, "service_unusable",
                       now_us, out);
        return;
    }
    Fw_Crashes_BindParts(c);
    set_deadline(c);
    if (Fw_Stopping_RejectIfLate(r, c, 0, now_us, out)) {
        return;
    }
    if (Fw_Links_AreLostFor(r, c, now_us)) {
        if (c->info.is_handed_over) {
            Fw_Call_Reject(r, c, 503, FW_RL_RETRY_ELSEWHERE_US, "links_lost",
                           now_us, out);
            return;
        }
        if (Fw_Handover_Start(r, c, now_us, out)) {
            return;
        }
    }
    Fw_Relay_Admit(r, c, now_us, out);
}

void
Fw_Relay_Open(struct fw_relay *r, uint64_t call,
              const struct fw_rl_request_info *info, int64_t now_us,
              struct fw_rl_actions *out)
{
    struct fw_rl_call *c;

    Fw_Crashes_Update(r, now_us, out);
    c = call_new(r, call, info, now_us);
    if (!Fw_Starting_Hold(r, c, now_us)) {
        Fw_Relay_Serve(r, c, now_us, out);
    }
}

/* The next request to end: those that wait first, as they may get room else.
 */
static struct fw_rl_call *
next_open(const struct fw_relay *r)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->call_list) {
        struct fw_rl_call *c = FW_LIST_ENTRY(pos, struct fw_rl_call, link);

        if (!c->op && !c->is_forwarded) {
            return c;
        }
    }
    return Fw_List_Empty(&r->call_list)
               ? NULL
               : FW_LIST_ENTRY(r->call_list.next, struct fw_rl_call, link);
}

void
Fw_Relay_EndRequests(struct fw_relay *r, int64_t now_us,
                     struct fw_rl_actions *out)
{
    struct fw_rl_call *c;

    while ((c = next_open(r))) {
        if (c->is_forwarded) {
            Fw_Call_Finish(r, c, 0, now_us, out);
        }
        else {
            Fw_Call_Reject(r, c, 503, FW_RL_RETRY_ELSEWHERE_US, "stopping",
                           now_us, out);
        }
    }
}

void
Fw_Relay_CallerLeft(struct fw_relay *r, uint64_t call, int64_t now_us,
                    struct fw_rl_actions *out)
{
    struct fw_rl_call *c = g_hash_table_lookup(r->calls, &call);

    if (!c) {
        return;
    }
    r->relay_metrics.abandoned.value++;
    Fw_RelayActions_Log(out, r, LOG_NOTICE, "caller_left",
                        "\"id\":\"%s\",\"route\":\"%s\",\"state\":%d,"
                        "\"after_ms\":%" G_GINT64_FORMAT,
                        c->info.id, c->route->name, (int)c->state,
                        Fw_Relay_UsToMs(now_us - c->opened_us));
    Fw_Call_End(r, c, now_us, out);
}
