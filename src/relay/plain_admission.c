#include "relay/plain_admission.h"

#include <string.h>

#include "base/hash.h"
#include "decide/plain_admission.h"
#include "relay/relay_internal.h"

/*
 * Age up to which the sums over a service's servers are used again. Loads of
 * other instances change less often.
 */
#define FW_VIEW_AGE_MAX_US (20 * FW_MSEC)
/* A rate without calls for this long is no longer shown. */
#define FW_GAUGE_AGE_MAX_US (2 * FW_SEC)

/**
 * struct plain_service - one service with plain servers.
 * @all: its servers, as of @all_us
 * @asked: first attempts a second by rank, of all instances, as of then
 * @shown_us: time of the last call
 */
struct plain_service {
    uint64_t hash;
    struct fw_plain_admission admission;
    struct fw_plain_servers all;
    double asked[FW_RANKS];
    int64_t all_us;
    int64_t shown_us;
};

static const char *const reasons[] = {
    [FW_PLAIN_ADMIT] = NULL,
    [FW_PLAIN_NO_TIME] = "no_time",
    [FW_PLAIN_LATE] = "servers_busy_late",
    [FW_PLAIN_OVER_RATE] = "servers_over_rate",
    [FW_PLAIN_CROWDED] = "servers_crowded",
    [FW_PLAIN_OVER_SHARE] = "servers_over_share",
};

void
Fw_PlainCalls_Init(struct fw_relay *r)
{
    r->plain_admission.services =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    r->plain_admission.declared =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void
Fw_PlainCalls_Clear(struct fw_relay *r)
{
    g_hash_table_destroy(r->plain_admission.services);
    g_hash_table_destroy(r->plain_admission.declared);
}

/* Returns the element of @size bytes for @hash, zeroed if it is new. */
static void *
find_or_add(GHashTable *table, uint64_t hash, size_t size)
{
    void *p = g_hash_table_lookup(table, &hash);

    if (!p) {
        p = g_malloc0(size);
        g_hash_table_insert(table, Fw_Rows_NewKey(hash), p);
    }
    return p;
}

static struct plain_service *
service_of(struct fw_relay *r, const struct fw_rl_call *c)
{
    uint64_t hash = Fw_Hash_Str(c->service);
    struct plain_service *s =
        find_or_add(r->plain_admission.services, hash, sizeof(*s));

    s->hash = hash;
    return s;
}

int
Fw_PlainCalls_IsForecast(const struct fw_relay *r, const struct fw_rl_call *c)
{
    const struct fw_rl_service_rule *s =
        r->rules ? Fw_Rules_Service(r->rules, c->service) : NULL;

    return r->opts.admission_forecast && r->opts.policy == FW_RL_POLICY_FULL &&
           c->route->objective_us > 0 && c->route->kind != FW_RL_STREAM &&
           !(s && s->has_engines);
}

/* Whether a request with the id of @c was asked to retry here. */
static int
was_rejected(const struct fw_relay *r, const struct fw_rl_call *c)
{
    const struct fw_rl_plain_admission *p = &r->plain_admission;
    uint64_t id = Fw_Hash_Str(c->info.id);

    for (uint64_t i = 0;
         c->info.id[0] && i < MIN(p->n_rejected_calls, FW_RL_REJECTED_CALLS);
         i++) {
        if (p->rejected_calls[i] == id) {
            return 1;
        }
    }
    return 0;
}

/*
 * Repeats mostly reach another instance than first attempts. They show by the
 * time that they declare, which is shorter than their route's usual one.
 */
static void
mark_repeat(struct fw_relay *r, struct fw_rl_call *c)
{
    struct fw_declared_time *d = find_or_add(
        r->plain_admission.declared, Fw_Hash_Str(c->route->name), sizeof(*d));

    c->is_repeat = was_rejected(r, c);
    if (!c->info.is_handed_over &&
        Fw_DeclaredTime_Note(d, c->info.timeout_us)) {
        c->is_repeat = 1;
        c->spent_before_us = d->usual_us - c->info.timeout_us;
    }
}

void
Fw_PlainCalls_NoteArrival(struct fw_relay *r, struct fw_rl_call *c,
                          int64_t now_us)
{
    if (!Fw_PlainCalls_IsForecast(r, c)) {
        Fw_ServiceDemand_NotePlain(r, c, now_us);
        return;
    }
    mark_repeat(r, c);
    if (!c->is_repeat) {
        Fw_ServiceDemand_NotePlain(r, c, now_us);
        Fw_PlainAdmission_NoteCall(&service_of(r, c)->admission, now_us);
    }
}

/*
 * Age of the other instances' loads: a leaf gets them from its hub, a hub from
 * all others, of which the latest shows whether messages arrive.
 */
static int64_t
load_age_us(const struct fw_relay *r, int64_t now_us)
{
    int64_t latest_us = 0;
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->load_rows) {
            latest_us = MAX(latest_us, m->load_us);
        }
    }
    return r->opts.digest_period_us + (latest_us ? now_us - latest_us : 0);
}

static void
update_demand(const struct fw_relay *r, struct plain_service *p,
              int64_t now_us)
{
    for (int i = 0; i < FW_RANKS; i++) {
        struct fw_demand_sum sum;

        Fw_Demand_GetTotal(r->service_demand.demand, p->hash, i, now_us, &sum);
        p->asked[i] = sum.asked;
        p->all.asked += sum.asked;
    }
}

/* Adds up the servers of the service, and the demand for it. */
static void
update_service(struct fw_relay *r, struct plain_service *p,
               const struct fw_rl_call *c, int64_t now_us)
{
    double slot_us = Fw_PlainAdmission_SlotUs(&p->admission);
    struct fw_list *pos;
    int n_live;

    if (p->all_us && now_us - p->all_us < FW_VIEW_AGE_MAX_US) {
        return;
    }
    p->all = (struct fw_plain_servers){
        .age_us = MIN(load_age_us(r, now_us), Fw_Members_TimeoutUs(r))};
    p->all_us = now_us;
    FW_LIST_EACH (pos, &r->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        struct fw_rl_load l;

        if (strcmp(s->entry.service, c->service) != 0 ||
            !Fw_Servers_IsUsable(s, now_us)) {
            continue;
        }
        Fw_Place_Load(r, s, now_us, &l);
        p->all.running += l.running;
        p->all.slots += s->entry.slots;
        p->all.completions += s->entry.slots * s->speed * FW_SEC / slot_us;
    }
    p->all.instances = Fw_Members_Count(r, now_us, &n_live);
    p->all.is_isolated = p->all.instances > 1 && n_live <= 1;
    update_demand(r, p, now_us);
}

static void
add_demand(const struct plain_service *p, int rank, struct fw_plain_call *call)
{
    int own = CLAMP(rank, 0, FW_RANKS - 1);

    call->asked = p->asked[own];
    for (int i = 0; i < own; i++) {
        call->asked_before += p->asked[i];
    }
}

static struct fw_plain_call
describe_call(const struct fw_rl_call *c, int64_t now_us)
{
    return (struct fw_plain_call){.objective_us = c->route->objective_us,
                                  .left_us = c->deadline_us - now_us,
                                  .spent_us = c->spent_before_us + now_us -
                                              c->opened_us,
                                  .is_repeat = c->is_repeat};
}

const char *
Fw_PlainCalls_Admit(struct fw_relay *r, struct fw_rl_call *c,
                    const struct fw_rl_server *s, int64_t now_us)
{
    struct plain_service *p = service_of(r, c);
    struct fw_plain_call call = describe_call(c, now_us);
    struct fw_plain_server one = {.slots = s->entry.slots,
                                  .speed = s->speed,
                                  .response_us = s->latency_us};
    struct fw_plain_decision got;
    struct fw_rl_load l;

    if (s->entry.slots <= 0) {
        return NULL;
    }
    update_service(r, p, c, now_us);
    add_demand(p, c->priority, &call);
    Fw_Place_Load(r, s, now_us, &l);
    one.running = l.running;
    one.service_us = Fw_PlainAdmission_SlotUs(&p->admission);
    Fw_PlainAdmission_Refill(&p->admission, &p->all, now_us);
    Fw_PlainAdmission_Decide(&p->admission, &p->all, &one, &call,
                             g_rand_double(r->rand), &got);
    c->expected_wait_us = got.wait_us;
    c->is_wait_known = 1;
    p->shown_us = now_us;
    if (got.verdict == FW_PLAIN_ADMIT) {
        Fw_PlainAdmission_NoteAdmitted(&p->admission);
        r->relay_metrics.plain_admitted.value++;
    }
    return reasons[got.verdict];
}

int64_t
Fw_PlainCalls_RetryUs(struct fw_relay *r, struct fw_rl_call *c,
                      int64_t least_us, int64_t now_us)
{
    struct fw_rl_plain_admission *a = &r->plain_admission;
    struct plain_service *p = service_of(r, c);
    struct fw_plain_call call = describe_call(c, now_us);
    int64_t retry_us;

    call.left_us = Fw_Call_LeftUs(c, now_us);
    update_service(r, p, c, now_us);
    add_demand(p, c->priority, &call);
    retry_us = Fw_PlainAdmission_RetryUs(&p->admission, &p->all, &call,
                                         g_rand_double(r->rand), now_us);
    if (!retry_us) {
        return 0;
    }
    retry_us = MIN(MAX(retry_us, least_us),
                   Fw_PlainAdmission_LongestRetryUs(call.left_us));
    Fw_PlainAdmission_NoteRetry(&p->admission, retry_us, now_us);
    a->rejected_calls[a->n_rejected_calls++ % FW_RL_REJECTED_CALLS] =
        Fw_Hash_Str(c->info.id);
    return retry_us;
}

void
Fw_PlainCalls_NoteResponse(struct fw_relay *r, const struct fw_rl_op *op,
                           int64_t took_us)
{
    if (op->had_idle_server && Fw_PlainCalls_IsForecast(r, op->call)) {
        Fw_PlainAdmission_NoteSlotTime(
            &service_of(r, op->call)->admission,
            (int64_t)((double)took_us * op->server->speed));
    }
}

void
Fw_PlainCalls_UpdateGauges(struct fw_relay *r, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;

    r->relay_metrics.plain_asked.value = 0;
    r->relay_metrics.plain_completions.value = 0;
    g_hash_table_iter_init(&it, r->plain_admission.services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct plain_service *p = v;

        if (now_us - p->shown_us < FW_GAUGE_AGE_MAX_US) {
            r->relay_metrics.plain_asked.value += (int64_t)p->all.asked;
            r->relay_metrics.plain_completions.value +=
                (int64_t)p->all.completions;
        }
    }
}
