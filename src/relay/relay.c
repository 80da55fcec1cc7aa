/* Entry points of the relay core: dispatch of events, time limits. */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "decide/refusal.h"
#include "relay/relay_internal.h"

/* Default interval between digests, and between reports. */
#define FW_DIGEST_PERIOD_US (150 * FW_MSEC)
/* Deficit round robin quantum of a team in tokens, about one request. */
#define FW_QUEUE_QUANTUM_TOKENS 16384
/* Tick interval with and without queued requests, and until it is ready. */
#define FW_TICK_BUSY_US (20 * FW_MSEC)
#define FW_TICK_IDLE_US (100 * FW_MSEC)
#define FW_TICK_STARTING_US (10 * FW_MSEC)
/* Time after the start for which the last of these applies. */
#define FW_STARTING_MAX_US (3 * FW_SEC)

struct fw_relay *
Fw_Relay_New(const struct fw_relay_opts *opts, int64_t now_us)
{
    struct fw_relay *r = g_new0(struct fw_relay, 1);

    Fw_Relay_SetOpts(r, opts);
    r->hash = Fw_Hash_Str(opts->name);
    r->start_us = now_us;
    r->exchange.is_hub = 1;
    r->exchange.n_instances = 1;
    r->exchange.n_live = 1;
    r->rand = g_rand_new_with_seed(opts->seed);
    r->rules_fresh_us = now_us - opts->key_stale_us;
    r->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    r->ops = g_hash_table_new(g_int64_hash, g_int64_equal);
    r->allowances =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    r->known_instances =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    r->loads =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    r->retry_budgets = g_ptr_array_new_with_free_func(g_free);
    r->service_stats = g_ptr_array_new_with_free_func(g_free);
    r->evacuations = g_ptr_array_new_with_free_func(Fw_Evacuation_Free);
    r->stage_links = g_ptr_array_new_with_free_func(g_free);
    r->servers_by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    r->servers_by_short_hash = g_hash_table_new(NULL, NULL);
    r->speeds.table = Fw_Speed_New();
    Fw_List_Init(&r->servers);
    Fw_List_Init(&r->active_servers);
    Fw_List_Init(&r->limited_servers);
    r->presence.record_ends = Fw_Rows_NewTable();
    Fw_Crashes_Init(r);
    Fw_ServiceDemand_Init(r);
    Fw_Ranks_Init(r);
    Fw_PlainCalls_Init(r);
    Fw_KindTimes_Init(r);
    Fw_List_Init(&r->call_list);
    Fw_List_Init(&r->op_list);
    Fw_List_Init(&r->members);
    Fw_Queue_Init(&r->queue, FW_QUEUE_QUANTUM_TOKENS);
    Fw_Metrics_Init(&r->metrics);
    Fw_Relay_RegisterMetrics(r);
    return r;
}

void
Fw_Relay_Free(struct fw_relay *r)
{
    struct fw_rl_actions out;

    if (!r) {
        return;
    }
    Fw_RelayActions_Init(&out);
    Fw_Rules_Unref(r->rules);
    r->rules = NULL;
    while (!Fw_List_Empty(&r->call_list)) {
        Fw_Call_End(r,
                    FW_LIST_ENTRY(r->call_list.next, struct fw_rl_call, link),
                    0, &out);
    }
    while (!Fw_List_Empty(&r->op_list)) {
        Fw_Op_End(r, FW_LIST_ENTRY(r->op_list.next, struct fw_rl_op, link));
    }
    Fw_RelayActions_Clear(&out);
    Fw_Servers_Clear(r);
    Fw_Members_Clear(r);
    Fw_Queue_Clear(&r->queue);
    Fw_Crashes_Clear(r);
    Fw_Ranks_Clear(r);
    Fw_ServiceDemand_Clear(r);
    Fw_PlainCalls_Clear(r);
    Fw_KindTimes_Clear(r);
    g_hash_table_destroy(r->calls);
    g_hash_table_destroy(r->ops);
    g_hash_table_destroy(r->allowances);
    g_hash_table_destroy(r->known_instances);
    g_hash_table_destroy(r->loads);
    g_ptr_array_unref(r->retry_budgets);
    g_ptr_array_unref(r->service_stats);
    g_ptr_array_unref(r->evacuations);
    g_ptr_array_unref(r->stage_links);
    g_hash_table_destroy(r->servers_by_hash);
    g_hash_table_destroy(r->servers_by_short_hash);
    Fw_Speed_Free(r->speeds.table);
    g_hash_table_destroy(r->presence.record_ends);
    g_rand_free(r->rand);
    g_free(r);
}

void
Fw_Relay_SetOpts(struct fw_relay *r, const struct fw_relay_opts *opts)
{
    r->opts = *opts;
    if (r->opts.digest_period_us <= 0) {
        r->opts.digest_period_us = FW_DIGEST_PERIOD_US;
    }
    if (r->service_demand.demand) {
        Fw_ServiceDemand_ApplyOpts(r);
    }
}

struct fw_metrics *
Fw_Relay_Metrics(struct fw_relay *r)
{
    return &r->metrics;
}

/*
 * With a newer configuration that can't be used, the one in force is known to
 * be outdated: what the newer one revokes must not go on to count as fresh.
 */
static void
note_newest(struct fw_relay *r, int is_usable, uint64_t offset)
{
    if (offset + 1 < r->unusable_end ||
        (r->rules && offset < r->rules_offset)) {
        return;
    }
    r->unusable_end = is_usable ? 0 : offset + 1;
    r->relay_metrics.unusable.value = !is_usable;
}

void
Fw_Relay_SetRules(struct fw_relay *r, struct fw_rl_rules *rules,
                  uint64_t offset, int64_t now_us, struct fw_rl_actions *out)
{
    note_newest(r, rules != NULL, offset);
    if (!rules) {
        Fw_RelayActions_Log(out, r, LOG_ERR, "configuration_unreadable",
                            "\"offset\":%" G_GUINT64_FORMAT, offset);
        return;
    }
    /* Never go back to an older configuration. */
    if (r->rules &&
        (offset <= r->rules_offset || rules->version <= r->rules->version ||
         FW_FAULT("configuration-kept"))) {
        return;
    }
    if (!r->rules) {
        Fw_Exchange_ReportProgress(r);
    }
    Fw_Rules_Unref(r->rules);
    r->rules = Fw_Rules_Ref(rules);
    r->rules_offset = offset;
    r->relay_metrics.version.value = rules->version;
    Fw_RelayActions_Log(out, r, LOG_NOTICE, "configuration",
                        "\"version\":%" G_GINT64_FORMAT
                        ",\"offset\":%" G_GUINT64_FORMAT
                        ",\"routes\":%u,\"services\":%u,\"teams\":%u",
                        rules->version, offset, rules->routes->len,
                        rules->services->len, rules->teams->len);
    Fw_ServiceDemand_ApplyRules(r);
    Fw_Ranks_ApplyRules(r);
    Fw_Allowance_ApplyRules(r, now_us, out);
    Fw_Stream_PlaceQueued(r, now_us, out);
}

void
Fw_Relay_SetFreshAsOf(struct fw_relay *r, int64_t as_of_us)
{
    if (!r->unusable_end) {
        r->rules_fresh_us = MAX(r->rules_fresh_us, as_of_us);
    }
}

int64_t
Fw_Relay_RulesAgeUs(const struct fw_relay *r, int64_t now_us)
{
    return Fw_Relay_AreKeysFresh(r, now_us)
               ? MAX(now_us - r->rules_fresh_us, 0)
               : -1;
}

struct fw_rl_op *
Fw_Relay_FindOp(const struct fw_relay *r, uint64_t xid)
{
    return g_hash_table_lookup(r->ops, &xid);
}

static int
is_stream(const struct fw_rl_op *op)
{
    return op->call->kv_tokens > 0;
}

/*
 * A server's response whose status promises that the request has not run,
 * which the server doesn't state. Passed on, it would be taken for a promise.
 */
static int
is_unstated_refusal(const struct fw_rl_op *op,
                    const struct fw_rl_upstream_response *ans)
{
    return op->kind == FW_RL_UP_RUN && op->call && !op->call->is_forwarded &&
           !ans->not_run && Fw_Refusal_IsPromise(ans->status) &&
           !FW_FAULT("refusals-believed");
}

static void
handle_unstated_refusal(struct fw_relay *r, struct fw_rl_op *op,
                        const struct fw_rl_upstream_response *ans,
                        int64_t now_us, struct fw_rl_actions *out)
{
    op->call->status = ans->status;
    Fw_Servers_NoteResponse(op->server, 1, -1);
    if (ans->wrong_server) {
        Fw_Servers_NoteUnreachable(op->server, now_us);
    }
    Fw_RelayActions_Add(out, FW_RL_DO_CANCEL_CALL)->u.xid = op->xid;
    if (is_stream(op)) {
        Fw_Stream_HandleRefusal(r, op, now_us, out);
    }
    else {
        Fw_Plain_HandleRefusal(r, op, now_us, out);
    }
}

void
Fw_Relay_ResponseBegan(struct fw_relay *r, uint64_t xid,
                       const struct fw_rl_upstream_response *ans,
                       int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_op *op = Fw_Relay_FindOp(r, xid);

    if (op && op->kind == FW_RL_UP_HANDOVER) {
        Fw_Handover_BeginResponse(r, op, ans, now_us, out);
        return;
    }
    if (!op || !op->call || op->kind != FW_RL_UP_RUN || ans->not_run) {
        return;
    }
    if (is_unstated_refusal(op, ans)) {
        handle_unstated_refusal(r, op, ans, now_us, out);
        return;
    }
    op->call->status = ans->status;
    op->call->is_response_good = ans->status / 100 == 2;
    /* The server has consumed the reservation and the KV cache. */
    op->call->reservation[0] = 0;
    op->call->kv_handle[0] = 0;
    op->server->rejected_runs = 0;
    Fw_Servers_NoteResponse(op->server, ans->status >= 500,
                            is_stream(op) ? -1 : now_us - op->sent_us);
    if (is_stream(op) && op->call->reserved_us) {
        Fw_Mean_Update(
            &Fw_ServiceStats_Get(r, op->call->service)->first_event_us,
            (double)(now_us - op->call->reserved_us));
    }
    Fw_Call_Forward(r, op->call, now_us, out);
}

void
Fw_Relay_ResponseEnded(struct fw_relay *r, uint64_t xid,
                       const struct fw_rl_upstream_response *ans,
                       int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_op *op = Fw_Relay_FindOp(r, xid);

    if (!op) {
        return;
    }
    if (op->kind == FW_RL_UP_HANDOVER) {
        Fw_Handover_HandleResponse(r, op, ans, now_us, out);
        return;
    }
    Fw_Servers_Activate(r, op->server);
    if (!op->call) {
        Fw_StageOrder_HandleResponse(r, op, ans, now_us, out);
    }
    else if (is_unstated_refusal(op, ans)) {
        handle_unstated_refusal(r, op, ans, now_us, out);
    }
    else if (is_stream(op)) {
        Fw_Stream_HandleResponse(r, op, ans, now_us, out);
    }
    else {
        Fw_Plain_HandleResponse(r, op, ans, now_us, out);
    }
}

void
Fw_Relay_UpstreamFailed(struct fw_relay *r, uint64_t xid, int err, int sent,
                        int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_op *op = Fw_Relay_FindOp(r, xid);
    enum fw_rl_upstream_kind kind;
    struct fw_rl_server *s;

    if (!op) {
        return;
    }
    kind = op->kind;
    Fw_RelayActions_Log(
        out, r, LOG_NOTICE, "upstream_failed",
        "\"id\":\"%s\",\"server\":\"%s\",\"kind\":%d,\"error\":%d,"
        "\"sent\":%d,\"after_ms\":%" G_GINT64_FORMAT,
        op->call ? op->call->info.id : "",
        op->server ? op->server->entry.id : "", (int)op->kind, err, sent,
        Fw_Relay_UsToMs(now_us - op->sent_us));
    if (kind == FW_RL_UP_HANDOVER) {
        Fw_Handover_HandleFailure(r, op, sent, now_us, out);
        return;
    }
    s = Fw_Servers_Ref(op->server);
    Fw_Servers_Activate(r, s);
    Fw_Links_NoteFailure(r, op, sent, now_us);
    if (!op->call) {
        Fw_StageOrder_HandleFailure(r, op, out);
    }
    else if (is_stream(op)) {
        Fw_Stream_HandleFailure(r, op, err, sent, now_us, out);
    }
    else {
        Fw_Plain_HandleFailure(r, op, err, sent, now_us, out);
    }
    if (err == -ECONNREFUSED && Fw_Crashes_ServerLost(r, s, now_us, out) &&
        kind == FW_RL_UP_PROBE) {
        Fw_Servers_NoteUnreachable(s, now_us);
    }
    if (now_us < s->backoff_until_us) {
        Fw_Cold_Assume(r, s, now_us); /* it may have been restarted */
    }
    Fw_Servers_Unref(s);
    Fw_Crashes_Update(r, now_us, out);
}

void
Fw_Relay_PlaceQueued(struct fw_relay *r, int64_t now_us,
                     struct fw_rl_actions *out)
{
    if (r->queue.n) {
        Fw_Stream_PlaceQueued(r, now_us, out);
    }
}

static int64_t
tick_interval_us(const struct fw_relay *r, int64_t now_us)
{
    if (!Fw_Relay_IsReady(r, now_us) && !r->draining &&
        now_us - r->start_us < FW_STARTING_MAX_US) {
        return FW_TICK_STARTING_US;
    }
    return r->queue.n ? FW_TICK_BUSY_US : FW_TICK_IDLE_US;
}

int64_t
Fw_Relay_NextTickUs(const struct fw_relay *r, int64_t now_us)
{
    return CLAMP(Fw_Relay_NextMessageUs(r), now_us + FW_MSEC,
                 now_us + tick_interval_us(r, now_us));
}

void
Fw_Relay_Drain(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    if (r->draining) {
        return;
    }
    r->draining = 1;
    r->drain_start_us = now_us;
    Fw_RelayActions_Log(out, r, LOG_NOTICE, "draining", "\"open\":%u",
                        g_hash_table_size(r->calls));
}

int
Fw_Relay_CountInstances(struct fw_relay *r, int64_t now_us)
{
    return MAX(Fw_Members_Count(r, now_us, NULL), 1);
}

int
Fw_Relay_IsReady(const struct fw_relay *r, int64_t now_us)
{
    return !r->draining && r->has_server_list &&
           Fw_Relay_AreKeysFresh(r, now_us) &&
           Fw_CrashQuery_IsAnswered(r, now_us);
}

const struct fw_rl_rules *
Fw_Relay_CurrentRules(const struct fw_relay *r)
{
    return r->rules;
}
