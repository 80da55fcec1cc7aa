/*
 * Stages of engines: how many prefill, set by orders of one instance at a
 * time.
 *
 * The instance that would order claims the role by a record that the
 * platform's log takes only where the claimant saw its end; the record's
 * offset is the fencing token. The role lasts for one lease from when the
 * claim was sent, and a new claim follows the last one only after that has
 * surely run out for its holder. So two instances never order at once, and
 * an order that is late bears an old token. Orders are rare, so no lease is
 * kept up: a claim is made when there is something to order.
 */
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "relay/relay_internal.h"

/* A peer's rate of prompts counts for so long. */
#define FW_RATE_LIFE_US (5 * FW_SEC)
/* Engines are looked at so often. */
#define FW_LOOK_US (1 * FW_SEC)
/* An order or report that has no answer by then. */
#define FW_ORDER_WAIT_US (800 * FW_MSEC)
/* An order that was not answered may be carried out this much later. */
#define FW_ORDER_LATE_US (13 * FW_SEC)
/* After a change, until the list shows it: two heartbeats and a read. */
#define FW_LISTED_US (4 * FW_SEC)
/* Of the lease's end, for the way of an order and for clocks' drift. */
#define FW_LEASE_MARGIN_US (900 * FW_MSEC)
/* Within this the engines' reports are there. */
#define FW_SURVEY_US (300 * FW_MSEC)
/*
 * A stage must be short for so long before engines are moved: one that
 * crashed is mostly back sooner, and a change takes an engine out of
 * service for longer.
 */
#define FW_SHORT_US (3 * FW_SEC)
/* Before the first look: entries and other instances become known. */
#define FW_SETTLE_US (700 * FW_MSEC)

static int
engine_of(const struct fw_relay *r, const struct fw_rl_server *s,
          const struct fw_rl_service_rule **rule)
{
    if (s->gone || s->e.draining || s->e.stage == FW_RL_STAGE_NONE) {
        return 0;
    }
    *rule = Fw_Rules_Service(r->rules, s->e.service);
    return *rule && (*rule)->engines;
}

/* The instance that orders: of the hubs in touch the one of the lowest name.
 */
static int
is_mine(const struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;

    if (!r->x.is_hub) {
        return 0;
    }
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->digest_us && now_us - m->digest_us < FW_SEC &&
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

/* Has the last claim surely run out, as seen from here? */
static int
role_is_free(const struct fw_relay *r, int64_t now_us)
{
    return !r->order_lease.claim_pending &&
           (!r->order_lease.last_claim_us ||
            now_us - r->order_lease.last_claim_us > r->opts.lease_us + FW_SEC);
}

/* Prompts of @service that all instances in touch are sent, tokens a second.
 */
static double
reading_rate(const struct fw_relay *r, const struct fw_learned *known,
             int64_t now_us)
{
    uint64_t hash = Fw_Hash_Str(known->service);
    double sum = Fw_Reading_Rate(&known->reading, now_us);
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);
        if (now_us - m->heard_us < FW_RATE_LIFE_US) {
            sum += (double)Fw_Rows_Lookup(m->reading, hash);
        }
    }
    return sum;
}

static int
wanted_readers(const struct fw_relay *r, const char *service, int engines,
               int readers, int64_t now_us)
{
    const struct fw_learned *known = Fw_Learned_Of(r, service);
    double guess = engines * r->opts.prefill_permille / 1000.0;
    double busy = Fw_PrefillPool_BusyEngines(
        &known->reading, reading_rate(r, known, now_us),
        known->prefill_us_per_token.mean, guess, now_us);

    /* At the start there is nothing yet that a change would disturb. */
    return Fw_PrefillPool_TargetSize(busy, engines,
                                     r->stages_settled ? readers : 0);
}

static enum fw_rl_stage
stage_to_be(const struct fw_rl_server *s, int64_t now_us)
{
    return Fw_Servers_Switching(s, now_us) ? s->to_stage : s->e.stage;
}

static enum fw_rl_stage
other_stage(enum fw_rl_stage stage)
{
    return stage == FW_RL_STAGE_PREFILL ? FW_RL_STAGE_DECODE
                                        : FW_RL_STAGE_PREFILL;
}

/*
 * The next engine of @service whose stage should change, or NULL. Those with
 * the highest hash of their id go first: all instances agree without a
 * message.
 */
static struct fw_rl_server *
next_of_service(struct fw_relay *r, const char *service, int64_t now_us,
                enum fw_rl_stage *to)
{
    const struct fw_rl_service_rule *rule;
    struct fw_rl_server *best = NULL;
    struct fw_list *pos;
    int readers = 0;
    int engines = 0;
    int want;

    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (engine_of(r, s, &rule) && strcmp(s->e.service, service) == 0) {
            engines++;
            readers += stage_to_be(s, now_us) == FW_RL_STAGE_PREFILL;
        }
    }
    want = wanted_readers(r, service, engines, readers, now_us);
    if (engines < 2 || readers == want) {
        return NULL;
    }
    *to = readers > want ? FW_RL_STAGE_DECODE : FW_RL_STAGE_PREFILL;
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (engine_of(r, s, &rule) && strcmp(s->e.service, service) == 0 &&
            s->e.stage != *to && !Fw_Servers_Switching(s, now_us) &&
            Fw_Servers_Usable(s, now_us) && (!best || s->hash > best->hash)) {
            best = s;
        }
    }
    return best;
}

/* Each model has engines of its own, and a load of its own. */
static struct fw_rl_server *
next_change(struct fw_relay *r, int64_t now_us, enum fw_rl_stage *to)
{
    for (guint i = 0; i < r->rules->services->len; i++) {
        const struct fw_rl_service_rule *rule =
            g_ptr_array_index(r->rules->services, i);
        struct fw_rl_server *s =
            rule->engines ? next_of_service(r, rule->name, now_us, to) : NULL;

        if (s) {
            return s;
        }
    }
    return NULL;
}

static void
ask_report(struct fw_relay *r, struct fw_rl_server *s, int64_t now_us,
           struct fw_rl_acts *out)
{
    struct fw_rl_up_call up = {.kind = FW_RL_UP_REPORT,
                               .urgency = -1,
                               .whole = 1,
                               .reuse_us = FW_RL_REUSE_US,
                               .connect_us = FW_RL_CONNECT_US};

    Fw_Call_Ask(r, NULL, s, &up, now_us + FW_ORDER_WAIT_US, now_us, out);
}

/* The role is looked at again right before the order goes out. */
static void
order(struct fw_relay *r, struct fw_rl_server *s, enum fw_rl_stage to,
      int64_t orders, int64_t now_us, struct fw_rl_acts *out)
{
    struct fw_rl_up_call up = {.kind = FW_RL_UP_STAGE,
                               .urgency = -1,
                               .whole = 1,
                               .connect_us = FW_RL_CONNECT_US,
                               .stage = to,
                               .fence = r->order_lease.fence,
                               .expected = orders};

    if (!holds_role(r, now_us)) {
        return;
    }
    Fw_Acts_Log(out, r, LOG_NOTICE, "order",
                "\"server\":\"%s\",\"stage\":%d,\"fence\":%" G_GUINT64_FORMAT
                ",\"expected\":%" G_GINT64_FORMAT,
                s->e.id, (int)to, up.fence, orders);
    Fw_Call_Ask(r, NULL, s, &up, now_us + FW_ORDER_WAIT_US, now_us, out);
    /* Until its outcome is known nothing else is ordered there. */
    s->to_stage = to;
    s->stage_change_until_us = now_us + FW_ORDER_LATE_US;
}

/*
 * A change that the last holder ordered may be under way: engines that say
 * so count as having the stage that they change to.
 */
static void
survey(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out)
{
    const struct fw_rl_service_rule *rule;
    struct fw_list *pos;

    r->order_lease.reports_requested = 1;
    r->order_lease.reports_until_us = now_us + FW_SURVEY_US;
    r->stage_check_us = r->order_lease.reports_until_us;
    FW_LIST_EACH (pos, &r->servers) {
        struct fw_rl_server *s = FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (engine_of(r, s, &rule)) {
            ask_report(r, s, now_us, out);
        }
    }
}

void
Fw_StageOrder_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out)
{
    enum fw_rl_stage to;
    struct fw_rl_server *s;

    if (!r->rules || !r->list_known || r->draining ||
        now_us < r->stage_check_us) {
        return;
    }
    if (!r->stage_check_us) {
        r->stage_check_us = now_us + FW_SETTLE_US;
        return;
    }
    r->stage_check_us = now_us + FW_LOOK_US;
    if (!is_mine(r, now_us) || !Fw_Relay_KeysFresh(r, now_us)) {
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
    if (r->stages_settled && now_us - r->imbalance_since_us < FW_SHORT_US) {
        return;
    }
    if (holds_role(r, now_us) && !r->order_lease.reports_requested) {
        survey(r, now_us, out);
    }
    else if (holds_role(r, now_us)) {
        ask_report(r, s, now_us, out);
    }
    else if (role_is_free(r, now_us)) {
        r->order_lease.claim_pending = 1;
        Fw_Acts_Add(out, FW_RL_DO_LEAD)->u.lead_end = r->order_lease.log_end;
    }
}

void
Fw_Relay_Lead(struct fw_relay *r, enum fw_rl_claim claim, uint64_t offset,
              int64_t sent_us, int64_t now_us)
{
    r->order_lease.claim_pending = 0;
    switch (claim) {
    case FW_RL_CLAIM_MADE:
        r->order_lease.fence = offset + 1;
        r->order_lease.log_end = offset + 1;
        r->order_lease.expires_us = sent_us + r->opts.lease_us;
        r->order_lease.reports_requested = 0;
        r->stage_check_us = now_us;
        break;
    case FW_RL_CLAIM_TAKEN:
        r->order_lease.fence = 0;
        r->order_lease.log_end = offset;
        break;
    case FW_RL_CLAIM_UNKNOWN:
        return;
    }
    r->order_lease.last_claim_us = now_us;
}

static void
report_answered(struct fw_relay *r, struct fw_rl_server *s,
                const struct fw_rl_up_answer *ans, int64_t now_us,
                struct fw_rl_acts *out)
{
    enum fw_rl_stage to = FW_RL_STAGE_NONE;
    struct fw_rl_server *next;

    if (ans->status == 200 && ans->busy && !Fw_Servers_Switching(s, now_us)) {
        s->to_stage = other_stage(s->e.stage);
        s->stage_change_until_us = now_us + FW_ORDER_LATE_US;
    }
    if (ans->status != 200 || ans->busy || ans->orders < 0 ||
        now_us < r->order_lease.reports_until_us) {
        return;
    }
    next = next_change(r, now_us, &to);
    if (next && next == s && ans->stage != to) {
        order(r, next, to, ans->orders, now_us, out);
    }
}

static void
stage_answered(struct fw_relay *r, struct fw_rl_server *s,
               const struct fw_rl_up_answer *ans, int64_t now_us,
               struct fw_rl_acts *out)
{
    const struct fw_rl_service_rule *rule =
        r->rules ? Fw_Rules_Service(r->rules, s->e.service) : NULL;

    Fw_Acts_Log(out, r, LOG_NOTICE, "ordered",
                "\"server\":\"%s\",\"status\":%d", s->e.id, ans->status);
    if (ans->status == 202 || ans->status == 200) {
        s->stage_change_until_us =
            now_us + (rule ? rule->engine.switch_us : 0) + FW_LISTED_US;
        r->stage_check_us = now_us;
        return;
    }
    s->stage_change_until_us = 0;
    r->stage_check_us = now_us + FW_LOOK_US;
    if (ans->status == 412) {
        /* Another holds a newer token: this one must not be used again. */
        r->order_lease.fence = 0;
        r->order_lease.last_claim_us = now_us;
    }
}

void
Fw_StageOrder_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                             const struct fw_rl_up_answer *ans, int64_t now_us,
                             struct fw_rl_acts *out)
{
    struct fw_rl_server *s = Fw_Servers_Ref(op->server);
    enum fw_rl_up_kind kind = op->kind;
    int about_runs = op->is_calibration;

    Fw_Op_End(r, op);
    if (kind == FW_RL_UP_REPORT) {
        Fw_Learned_TakeRuns(r, s->e.service, ans);
    }
    if (kind == FW_RL_UP_REPORT && !about_runs) {
        report_answered(r, s, ans, now_us, out);
    }
    else if (kind == FW_RL_UP_STAGE) {
        stage_answered(r, s, ans, now_us, out);
    }
    Fw_Servers_Unref(s);
}

void
Fw_StageOrder_HandleFailure(struct fw_relay *r, struct fw_rl_op *op,
                            struct fw_rl_acts *out)
{
    if (op->kind == FW_RL_UP_STAGE) {
        Fw_Acts_Log(out, r, LOG_WARNING, "order_unanswered",
                    "\"server\":\"%s\"", op->server->e.id);
    }
    Fw_Op_End(r, op);
}
