/*
 * Assignment of engines to the prefill and decode stages, by orders that only
 * one instance at a time may give.
 *
 * An instance claims the order role by appending a record to the platform's
 * log, on condition that the log still ends where the instance last saw its
 * end. The record's offset gives the fencing token. A lease starts when the
 * claim is sent, and the next claim is made only after the lease has certainly
 * expired for its holder. So two instances never give orders at once, and a
 * delayed order has an old token. Orders are rare, so leases are not renewed:
 * the role is claimed when an order is needed.
 */
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "relay/relay_internal.h"

/* A peer's prefill load is used for this long after its last message. */
#define FW_PEER_LOAD_TTL_US (5 * FW_SEC)
/* Interval between checks of the pool sizes. */
#define FW_STAGE_CHECK_PERIOD_US (1 * FW_SEC)
/* Timeout of an order or of a request for a report. */
#define FW_ORDER_TIMEOUT_US (800 * FW_MSEC)
/* An engine may carry out an unanswered order until this much later. */
#define FW_ORDER_LATE_US (13 * FW_SEC)
/* Time for the server list to show a change: two heartbeats and a read. */
#define FW_LIST_DELAY_US (4 * FW_SEC)
/* Unused end of a lease, for the latency of an order and clock drift. */
#define FW_LEASE_MARGIN_US (900 * FW_MSEC)
/* Time allowed for the engines' reports. */
#define FW_REPORTS_TIMEOUT_US (300 * FW_MSEC)
/*
 * A pool must differ from its target size for this long before a change. A
 * crashed engine is usually back sooner, and a change takes longer.
 */
#define FW_IMBALANCE_MIN_US (3 * FW_SEC)
/* A report and the order that follows it. */
#define FW_REQUESTS_PER_CHANGE 2
/* Delay of the first check, for servers and instances to become known. */
#define FW_FIRST_CHECK_DELAY_US (700 * FW_MSEC)

/* Whether @s is an engine in service; @rule receives its service. */
static int
find_engine_rule(const struct fw_relay *r, const struct fw_rl_server *s,
                 const struct fw_rl_service_rule **rule)
{
    if (!Fw_Servers_IsInService(s) || s->entry.stage == FW_RL_STAGE_NONE) {
        return 0;
    }
    *rule = Fw_Rules_Service(r->rules, s->entry.service);
    return *rule && (*rule)->has_engines;
}

/*
 * Whether this instance should give the orders: it is a hub, and no hub with a
 * lower name sent a digest within the last second.
 */
static int
should_give_orders(const struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;

    if (!r->exchange.is_hub) {
        return 0;
    }
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->last_digest_us && now_us - m->last_digest_us < FW_SEC &&
            strcmp(m->name, r->opts.name) < 0) {
            return 0;
        }
    }
    return 1;
}

static int
holds_role(const struct fw_relay *r, int64_t now_us)
{
    if (FW_FAULT("lead-without-lease")) {
        return r->order_lease.fence != 0;
    }
    return r->order_lease.fence &&
           now_us < r->order_lease.expires_us - FW_LEASE_MARGIN_US;
}

/* Whether the lease of the last known claim has certainly expired. */
static int
is_role_free(const struct fw_relay *r, int64_t now_us)
{
    return !r->order_lease.claim_pending &&
           (!r->order_lease.last_claim_us ||
            now_us - r->order_lease.last_claim_us > r->opts.lease_us + FW_SEC);
}

/*
 * Prompt tokens per second received by this instance and by all members that
 * sent a message within FW_PEER_LOAD_TTL_US.
 */
static double
total_prefill_rate(const struct fw_relay *r,
                   const struct fw_service_stats *stats, int64_t now_us)
{
    uint64_t hash = Fw_Hash_Str(stats->service);
    double sum = Fw_PrefillLoad_Rate(&stats->prefill_load, now_us);
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);
        if (now_us - m->last_message_us < FW_PEER_LOAD_TTL_US) {
            sum += (double)Fw_Rows_Lookup(m->prefill_rates, hash);
        }
    }
    return sum;
}

/**
 * struct pool_state - engines of a service.
 * @prefill_engines: those that prefill, or will
 * @prefill_speeds: sum of the speeds of those that prefill already
 * @known_speeds: number of these
 */
struct pool_state {
    int engines;
    int prefill_engines;
    double prefill_speeds;
    int known_speeds;
};

static int
target_pool_size(const struct fw_relay *r, const char *service,
                 const struct pool_state *pool, int64_t now_us)
{
    const struct fw_service_stats *stats = Fw_ServiceStats_Get(r, service);
    double prior_engines = pool->engines * r->opts.prefill_permille / 1000.0;
    double busy_engines = Fw_PrefillPool_BusyEngines(
        &stats->prefill_load, total_prefill_rate(r, stats, now_us),
        stats->prefill_us_per_token.mean, prior_engines, now_us);

    /* No hysteresis before the first assignment. */
    return Fw_PrefillPool_TargetSize(
        Fw_PrefillPool_EnginesFor(busy_engines, pool->prefill_speeds,
                                  pool->known_speeds),
        pool->engines, r->stages_settled ? pool->prefill_engines : 0);
}

/* Stage of @s once a pending change is complete. */
static enum fw_rl_stage
future_stage(const struct fw_rl_server *s, int64_t now_us)
{
    return Fw_Servers_IsChangingStage(s, now_us) ? s->target_stage
                                                 : s->entry.stage;
}

static enum fw_rl_stage
other_stage(enum fw_rl_stage stage)
{
    return stage == FW_RL_STAGE_PREFILL ? FW_RL_STAGE_DECODE
                                        : FW_RL_STAGE_PREFILL;
}

static void
add_to_pool(struct pool_state *pool, const struct fw_rl_server *s,
            int64_t now_us)
{
    pool->engines++;
    pool->prefill_engines += future_stage(s, now_us) == FW_RL_STAGE_PREFILL;
    if (s->entry.stage == FW_RL_STAGE_PREFILL) {
        pool->prefill_speeds += s->speed;
        pool->known_speeds++;
    }
}

/*
 * Returns the next engine of @service whose stage should change, or NULL. The
 * one with the highest hash goes first, so that all instances choose the same.
 */
static struct fw_rl_server *
next_change_of_service(struct fw_relay *r, const char *service, int64_t now_us,
                       enum fw_rl_stage *to)
{
    const struct fw_rl_service_rule *rule;
    struct fw_rl_server *best = NULL;
    struct fw_list *pos;
    struct pool_state pool = {0};
    int target;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (find_engine_rule(r, s, &rule) &&
            strcmp(s->entry.service, service) == 0) {
            add_to_pool(&pool, s, now_us);
        }
    }
    target = target_pool_size(r, service, &pool, now_us);
    if (pool.engines < 2 || pool.prefill_engines == target) {
        return NULL;
    }
    *to = pool.prefill_engines > target ? FW_RL_STAGE_DECODE
                                        : FW_RL_STAGE_PREFILL;
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (find_engine_rule(r, s, &rule) &&
            strcmp(s->entry.service, service) == 0 && s->entry.stage != *to &&
            !Fw_Servers_IsChangingStage(s, now_us) &&
            Fw_Servers_IsUsable(s, now_us) &&
            Fw_Admission_MaySend(r, s, FW_REQUESTS_PER_CHANGE, now_us) &&
            (!best || s->hash > best->hash)) {
            best = s;
        }
    }
    return best;
}

/* Each service has its own engines and its own load. */
static struct fw_rl_server *
next_change(struct fw_relay *r, int64_t now_us, enum fw_rl_stage *to)
{
    for (guint i = 0; i < r->rules->services->len; i++) {
        const struct fw_rl_service_rule *rule =
            g_ptr_array_index(r->rules->services, i);
        struct fw_rl_server *s =
            rule->has_engines
                ? next_change_of_service(r, rule->name, now_us, to)
                : NULL;

        if (s) {
            return s;
        }
    }
    return NULL;
}

static void
request_report(struct fw_relay *r, struct fw_rl_server *s, int64_t now_us,
               struct fw_rl_actions *out)
{
    struct fw_rl_upstream_call up = {.kind = FW_RL_UP_REPORT,
                                     .priority = -1,
                                     .buffer_response = 1,
                                     .reuse_us = FW_RL_REUSE_US,
                                     .connect_us = FW_RL_CONNECT_TIMEOUT_US};

    if (!Fw_Admission_MaySend(r, s, 1, now_us)) {
        return;
    }
    Fw_Call_Upstream(r, NULL, s, &up, now_us + FW_ORDER_TIMEOUT_US, now_us,
                     out);
}

/* Orders a change if this instance still holds the order role. */
static void
send_order(struct fw_relay *r, struct fw_rl_server *s, enum fw_rl_stage to,
           int64_t orders, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_upstream_call up = {.kind = FW_RL_UP_SET_STAGE,
                                     .priority = -1,
                                     .buffer_response = 1,
                                     .connect_us = FW_RL_CONNECT_TIMEOUT_US,
                                     .stage = to,
                                     .fence = r->order_lease.fence,
                                     .expected_orders = orders};

    if (!holds_role(r, now_us) || !Fw_Admission_MayFollow(r, s, now_us)) {
        return;
    }
    Fw_RelayActions_Log(
        out, r, LOG_NOTICE, "order",
        "\"server\":\"%s\",\"stage\":%d,\"fence\":%" G_GUINT64_FORMAT
        ",\"expected\":%" G_GINT64_FORMAT,
        s->entry.id, (int)to, up.fence, orders);
    Fw_Call_Upstream(r, NULL, s, &up, now_us + FW_ORDER_TIMEOUT_US, now_us,
                     out);
    /* No further order for this engine until the outcome is known. */
    s->target_stage = to;
    s->stage_change_until_us = now_us + FW_ORDER_LATE_US;
}

/*
 * Requests reports from all engines, because a previous holder of the role may
 * have ordered changes that are not complete.
 */
static void
request_all_reports(struct fw_relay *r, int64_t now_us,
                    struct fw_rl_actions *out)
{
    const struct fw_rl_service_rule *rule;
    struct fw_list *pos;

    r->order_lease.reports_requested = 1;
    r->order_lease.reports_until_us = now_us + FW_REPORTS_TIMEOUT_US;
    r->stage_check_us = r->order_lease.reports_until_us;
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (find_engine_rule(r, s, &rule)) {
            request_report(r, s, now_us, out);
        }
    }
}

void
Fw_StageOrder_Tick(struct fw_relay *r, int64_t now_us,
                   struct fw_rl_actions *out)
{
    enum fw_rl_stage to;
    struct fw_rl_server *s;

    if (!r->rules || !r->has_server_list || r->draining ||
        now_us < r->stage_check_us) {
        return;
    }
    if (!r->stage_check_us) {
        r->stage_check_us = now_us + FW_FIRST_CHECK_DELAY_US;
        return;
    }
    r->stage_check_us = now_us + FW_STAGE_CHECK_PERIOD_US;
    if (!should_give_orders(r, now_us) || !Fw_Relay_AreKeysFresh(r, now_us)) {
        return;
    }
    s = next_change(r, now_us, &to);
    if (!s) {
        r->imbalance_since_us = 0;
        r->stages_settled = 1;
        return;
    }
    if (!r->imbalance_since_us) {
        r->imbalance_since_us = now_us;
    }
    if (r->stages_settled &&
        now_us - r->imbalance_since_us < FW_IMBALANCE_MIN_US) {
        return;
    }
    if (holds_role(r, now_us) && !r->order_lease.reports_requested) {
        request_all_reports(r, now_us, out);
    }
    else if (holds_role(r, now_us)) {
        request_report(r, s, now_us, out);
    }
    else if (is_role_free(r, now_us)) {
        r->order_lease.claim_pending = 1;
        Fw_RelayActions_Add(out, FW_RL_DO_CLAIM_ROLE)->u.claim_offset =
            r->order_lease.log_end;
    }
}

void
Fw_Relay_ClaimEnded(struct fw_relay *r, enum fw_rl_claim_result claim,
                    uint64_t offset, int64_t sent_us, int64_t now_us)
{
    r->order_lease.claim_pending = 0;
    switch (claim) {
    case FW_RL_CLAIM_WON:
        r->order_lease.fence = offset + 1;
        r->order_lease.log_end = offset + 1;
        r->order_lease.expires_us = sent_us + r->opts.lease_us;
        r->order_lease.reports_requested = 0;
        r->stage_check_us = now_us;
        break;
    case FW_RL_CLAIM_LOST:
        r->order_lease.fence = 0;
        r->order_lease.log_end = offset;
        break;
    case FW_RL_CLAIM_UNKNOWN:
        return;
    }
    r->order_lease.last_claim_us = now_us;
}

static void
handle_report(struct fw_relay *r, struct fw_rl_server *s,
              const struct fw_rl_upstream_response *ans, int64_t now_us,
              struct fw_rl_actions *out)
{
    enum fw_rl_stage to = FW_RL_STAGE_NONE;
    struct fw_rl_server *next;

    if (ans->status == 200 && ans->changing_stage &&
        !Fw_Servers_IsChangingStage(s, now_us)) {
        s->target_stage = other_stage(s->entry.stage);
        s->stage_change_until_us = now_us + FW_ORDER_LATE_US;
    }
    if (ans->status != 200 || ans->changing_stage || ans->orders < 0 ||
        now_us < r->order_lease.reports_until_us) {
        return;
    }
    next = next_change(r, now_us, &to);
    if (next && next == s && ans->stage != to) {
        send_order(r, next, to, ans->orders, now_us, out);
    }
}

static void
handle_order_response(struct fw_relay *r, struct fw_rl_server *s,
                      const struct fw_rl_upstream_response *ans,
                      int64_t now_us, struct fw_rl_actions *out)
{
    const struct fw_rl_service_rule *rule =
        r->rules ? Fw_Rules_Service(r->rules, s->entry.service) : NULL;

    Fw_RelayActions_Log(out, r, LOG_NOTICE, "ordered",
                        "\"server\":\"%s\",\"status\":%d", s->entry.id,
                        ans->status);
    if (ans->status == 202 || ans->status == 200) {
        s->stage_change_until_us = now_us +
                                   (rule ? rule->engine.stage_change_us : 0) +
                                   FW_LIST_DELAY_US;
        r->stage_check_us = now_us;
        return;
    }
    s->stage_change_until_us = 0;
    r->stage_check_us = now_us + FW_STAGE_CHECK_PERIOD_US;
    if (ans->status == 412) {
        /* The engine has seen a newer token: the lease is lost. */
        r->order_lease.fence = 0;
        r->order_lease.last_claim_us = now_us;
    }
}

void
Fw_StageOrder_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                             const struct fw_rl_upstream_response *ans,
                             int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_server *s = Fw_Servers_Ref(op->server);
    enum fw_rl_upstream_kind kind = op->kind;
    int is_calibration = op->is_calibration;

    Fw_Op_End(r, op);
    if (kind == FW_RL_UP_REPORT) {
        Fw_ServiceStats_ApplyReport(r, s->entry.service, ans);
    }
    if (kind == FW_RL_UP_REPORT && !is_calibration) {
        handle_report(r, s, ans, now_us, out);
    }
    else if (kind == FW_RL_UP_SET_STAGE) {
        handle_order_response(r, s, ans, now_us, out);
    }
    Fw_Servers_Unref(s);
}

void
Fw_StageOrder_HandleFailure(struct fw_relay *r, struct fw_rl_op *op,
                            struct fw_rl_actions *out)
{
    if (op->kind == FW_RL_UP_SET_STAGE) {
        Fw_RelayActions_Log(out, r, LOG_WARNING, "order_unanswered",
                            "\"server\":\"%s\"", op->server->entry.id);
    }
    Fw_Op_End(r, op);
}
