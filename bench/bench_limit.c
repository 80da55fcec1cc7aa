/*
 * Compares schemes for distributed rate limits under the same faults.
 *
 * static    each instance enforces an equal share of rate and burst
 * log       a leader, recorded in the log, decides on each request
 * majority  a leader, elected in each network partition, decides on each
 *           request
 * leases    the implementation in src/limit, on a simulated network and log
 *
 * A central token bucket per team is the reference: it shows overspending,
 * and wrongful refusals, which are those of requests that it would grant.
 */
#include <stdio.h>
#include <string.h>

#include "bench/limit_scripts.h"
#include "explore/p_limit.h"

#define STEP_US (50 * FW_MSEC)
#define LEADER_TERM_US (900 * FW_SEC)
#define FAILURE_DETECTION_US (8 * FW_SEC)
#define LEASE_US (5 * FW_SEC)

/**
 * struct result - totals of both teams.
 * @failover_s: from the loss of the leader until another acts, -1 if none
 * @bytes_per_s: sent per instance, as is @msgs_per_s
 */
struct result {
    int requests;
    int refused;
    int wrongful_refusals;
    int64_t overspent_tokens;
    int64_t spent_tokens;
    double failover_s;
    double bytes_per_s;
    double msgs_per_s;
};

/**
 * struct baseline - state of the schemes other than leases. Arrays of size 2
 * are indexed by partition; scheme log uses only the first element.
 * @partition: 0 or 1, the side of the network that each instance is on
 * @detected_partition: the same, as the instances know it after a delay
 * @leads_from_us: when a new leader may start to grant
 * @lease_renewed_us: last proof of leadership
 * @leader_seen_us: when the leader was last reachable
 */
struct baseline {
    int up[INSTANCES];
    int partition[INSTANCES];
    int detected_partition[INSTANCES];
    int64_t partition_changed_us;
    int64_t paused_until_us[INSTANCES];
    int log_down;
    int leader[2]; /* -1 for none */
    int64_t leads_from_us[2];
    int64_t lease_renewed_us[2];
    int64_t leader_seen_us[2];
    struct fw_account buckets[INSTANCES][FW_LIMIT_CHECK_TEAMS];
};

static const struct event *
next_event(const struct script *s, int *i, int64_t at_us)
{
    const struct event *e = &s->events[*i];

    if (*i >= EVENTS_MAX || e->op == FW_OP_END || e->time_s * FW_SEC > at_us) {
        return NULL;
    }
    (*i)++;
    return e;
}

static int
try_take(struct fw_account *b, int64_t tokens, int64_t now_us)
{
    Fw_Account_Refill(b, now_us);
    if (b->level < (double)tokens) {
        return 0;
    }
    b->level -= (double)tokens;
    return 1;
}

static int
is_running(const struct baseline *p, int i, int64_t now_us)
{
    return p->up[i] && now_us >= p->paused_until_us[i];
}

static void
baseline_apply_event(struct baseline *p, const struct event *e, int64_t now_us)
{
    int leader = p->leader[0];

    switch (e->op) {
    case FW_OP_KILL_LEADER:
        p->up[leader] = 0;
        break;
    case FW_OP_PAUSE_LEADER:
        p->paused_until_us[leader] = now_us + e->arg * FW_SEC;
        break;
    case FW_OP_PARTITION:
    case FW_OP_HEAL:
        for (int i = 0; i < INSTANCES; i++) {
            p->partition[i] = e->op == FW_OP_PARTITION && i >= e->arg;
        }
        p->partition_changed_us = now_us;
        break;
    case FW_OP_LOG_DOWN:
    case FW_OP_LOG_UP:
        p->log_down = e->op == FW_OP_LOG_DOWN;
        break;
    case FW_OP_DRAIN:
        break;
    case FW_OP_KILL:
    case FW_OP_START:
        p->up[e->arg] = e->op == FW_OP_START;
        break;
    case FW_OP_END:
        break;
    }
}

static int
find_running(const struct baseline *p, int partition, int64_t now_us)
{
    for (int i = 0; i < INSTANCES; i++) {
        if (is_running(p, i, now_us) && p->partition[i] == partition) {
            return i;
        }
    }
    return -1;
}

/*
 * Renews the lease of the leader of partition @g, or replaces it when it has
 * been unreachable for FAILURE_DETECTION_US. The new leader's buckets start
 * empty. Scheme log has a single leader, with @g 0.
 */
static void
update_leader(struct baseline *p, int by_log, int g, int64_t now_us)
{
    int l = p->leader[g];
    int renews = l >= 0 && is_running(p, l, now_us) &&
                 (by_log ? !p->log_down : p->partition[l] == g);
    int present =
        l >= 0 && is_running(p, l, now_us) && (by_log || p->partition[l] == g);
    int next;

    if (renews) {
        p->lease_renewed_us[g] = now_us;
    }
    if (present) {
        p->leader_seen_us[g] = now_us;
    }
    if (present || now_us < p->leader_seen_us[g] + FAILURE_DETECTION_US ||
        (by_log && p->log_down)) {
        return;
    }
    next = find_running(p, by_log ? p->partition[0] : g, now_us);
    if (next < 0) {
        return;
    }
    p->leader[g] = next;
    p->leads_from_us[g] = now_us + LEASE_US;
    p->leader_seen_us[g] = now_us;
    for (int t = 0; t < FW_LIMIT_CHECK_TEAMS; t++) {
        p->buckets[next][t].level = 0;
        p->buckets[next][t].refilled_us = p->leads_from_us[g];
    }
}

static void
baseline_tick(struct baseline *p, int by_log, int64_t now_us)
{
    update_leader(p, by_log, 0, now_us);
    if (!by_log && now_us >= p->partition_changed_us + FAILURE_DETECTION_US) {
        memcpy(p->detected_partition, p->partition, sizeof(p->partition));
    }
    if (!by_log && p->detected_partition[INSTANCES - 1] != 0) {
        update_leader(p, by_log, 1, now_us);
    }
}

static int
baseline_request(struct baseline *p, int by_log, int instance, int team,
                 int64_t tokens, int64_t now_us)
{
    int g = by_log ? 0 : p->detected_partition[instance];
    int l = p->leader[g];

    if (l < 0 || !is_running(p, l, now_us) ||
        p->partition[l] != p->partition[instance] ||
        now_us < p->leads_from_us[g] ||
        now_us >= p->lease_renewed_us[g] + LEASE_US) {
        return 0;
    }
    return try_take(&p->buckets[l][team], tokens, now_us);
}

static void
baseline_init(struct baseline *p, const struct script *s,
              const struct fw_account *accounts, int parts)
{
    memset(p, 0, sizeof(*p));
    p->leader[1] = -1;
    for (int i = 0; i < INSTANCES; i++) {
        p->up[i] = i < s->initial_instances;
        for (int t = 0; t < FW_LIMIT_CHECK_TEAMS; t++) {
            p->buckets[i][t] = accounts[t];
            p->buckets[i][t].team.rate /= parts;
            p->buckets[i][t].team.burst /= parts;
            p->buckets[i][t].level /= parts;
        }
    }
}

/*
 * Draws the instance that receives a request, and its tokens: on average a
 * fifth of what the team's rate allows per second.
 */
static int
draw_request(GRand *rand, const int *up, const struct fw_account *a,
             int64_t *tokens)
{
    int instance = g_rand_int_range(rand, 0, INSTANCES);

    *tokens = 1 + g_rand_int_range(rand, 0, (gint32)(a->team.rate * 2 / 5));
    for (int i = 0; i < INSTANCES && !up[instance]; i++) {
        instance = (instance + 1) % INSTANCES;
    }
    return instance;
}

/* At a demand of 1 a team sends 5 requests per second on average. */
static int
is_request_due(GRand *rand, const struct script *s)
{
    return g_rand_double(rand) < s->demand * 5 * STEP_US / FW_SEC;
}

static void
record_outcome(struct fw_account *a, struct result *r, int granted,
               int64_t tokens, int64_t now_us)
{
    Fw_Account_Refill(a, now_us);
    r->requests++;
    if (!granted) {
        r->refused++;
        r->wrongful_refusals += a->level >= (double)tokens;
        return;
    }
    r->spent_tokens += tokens;
    a->level -= (double)tokens;
    if (a->level < -1) {
        r->overspent_tokens += (int64_t)-a->level;
        a->level = 0;
    }
}

enum scheme {
    FW_SCHEME_STATIC,
    FW_SCHEME_LOG,
    FW_SCHEME_MAJORITY,
    FW_SCHEME_LEASES,
    FW_SCHEMES,
};

static void
run_baseline(const struct script *s, enum scheme scheme, struct result *r)
{
    struct fw_limit_check c;
    struct fw_fleet_env w;
    struct baseline p;
    GRand *rand = g_rand_new_with_seed(1);
    int by_log = scheme == FW_SCHEME_LOG;
    int next = 0;

    Fw_FleetEnv_Init(&w, NULL, 0);
    Fw_LimitCheck_Init(&c, &w, LEADER_TERM_US); /* defines the teams */
    baseline_init(&p, s, c.accounts,
                  scheme == FW_SCHEME_STATIC ? INSTANCES : 1);
    for (int64_t t = 0; t < s->duration_s * FW_SEC; t += STEP_US) {
        const struct event *e;
        while ((e = next_event(s, &next, t))) {
            baseline_apply_event(&p, e, t);
        }
        baseline_tick(&p, by_log, t);
        for (int k = 0; k < FW_LIMIT_CHECK_TEAMS; k++) {
            int64_t tokens;
            int instance;
            int granted;
            if (!is_request_due(rand, s)) {
                continue;
            }
            instance = draw_request(rand, p.up, &c.accounts[k], &tokens);
            granted =
                scheme == FW_SCHEME_STATIC
                    ? is_running(&p, instance, t) &&
                          try_take(&p.buckets[instance][k], tokens, t)
                    : baseline_request(&p, by_log, instance, k, tokens, t);
            if (is_running(&p, instance, t)) {
                record_outcome(&c.accounts[k], r, granted, tokens, t);
            }
        }
    }
    r->failover_s = -1;
    g_rand_free(rand);
    Fw_LimitCheck_Clear(&c, &w);
}

static int
find_acting_leader(const struct fw_fleet_env *w)
{
    for (int i = 0; i < w->n; i++) {
        if (Fw_FleetEnv_IsRunning(w, i) &&
            Fw_Roles_MayAct(w->instances[i].roles, FW_ROLE_BUDGET, 0,
                            Fw_FleetEnv_LocalTime(w, i), NULL) == 0) {
            return i;
        }
    }
    return -1;
}

/* Returns the leader by the log, which may not be allowed to act now. */
static int
find_recorded_leader(const struct fw_fleet_env *w)
{
    for (int i = 0; i < w->n; i++) {
        const char *name =
            w->instances[i].up
                ? Fw_Roles_Holder(w->instances[i].roles, FW_ROLE_BUDGET, 0)
                : NULL;
        for (int j = 0; name && j < w->n; j++) {
            if (strcmp(w->instances[j].self.name, name) == 0) {
                return j;
            }
        }
    }
    return 0;
}

static void
env_apply_event(struct fw_fleet_env *w, const struct event *e)
{
    int leader = find_recorded_leader(w);

    switch (e->op) {
    case FW_OP_KILL_LEADER:
    case FW_OP_KILL:
        Fw_FleetEnv_Kill(w, e->op == FW_OP_KILL ? e->arg : leader);
        break;
    case FW_OP_PAUSE_LEADER:
        Fw_FleetEnv_Pause(w, leader, e->arg * FW_SEC);
        break;
    case FW_OP_PARTITION:
    case FW_OP_HEAL:
        for (int i = 0; i < INSTANCES; i++) {
            for (int j = 0; j < i; j++) {
                Fw_FleetEnv_SetLinkDown(w, i, j,
                                        e->op == FW_OP_PARTITION &&
                                            (i < e->arg) != (j < e->arg));
            }
        }
        break;
    case FW_OP_LOG_DOWN:
    case FW_OP_LOG_UP:
        w->log_down = e->op == FW_OP_LOG_DOWN;
        break;
    case FW_OP_DRAIN:
        Fw_FleetEnv_Drain(w, e->arg);
        break;
    case FW_OP_START:
        Fw_FleetEnv_Start(w, e->arg);
        break;
    case FW_OP_END:
        break;
    }
}

static void
run_leases(const struct script *s, struct result *r)
{
    struct fw_run run = {.trace = g_string_new(NULL),
                         .rand = g_rand_new_with_seed(2)};
    struct fw_limit_check c;
    struct fw_fleet_env w;
    GRand *rand = g_rand_new_with_seed(1);
    int64_t lost_us = -1;
    int next = 0;

    Fw_FleetEnv_Init(&w, &run, INSTANCES);
    Fw_LimitCheck_Init(&c, &w, LEADER_TERM_US);
    for (int i = 0; i < s->initial_instances; i++) {
        Fw_FleetEnv_Start(&w, i);
    }
    Fw_FleetEnv_Advance(&w, 5 * FW_SEC);
    w.loss_pct = s->message_loss_pct;
    w.bytes_sent = 0;
    w.msgs_sent = 0;
    r->failover_s = -1;
    for (int64_t t = 0; t < s->duration_s * FW_SEC; t += STEP_US) {
        const struct event *e;
        int up[INSTANCES];
        while ((e = next_event(s, &next, t))) {
            env_apply_event(&w, e);
            if (e->op == FW_OP_KILL_LEADER) {
                lost_us = t;
            }
        }
        if (lost_us >= 0 && r->failover_s < 0 && find_acting_leader(&w) >= 0) {
            r->failover_s = (double)(t - lost_us) / FW_SEC;
        }
        for (int i = 0; i < INSTANCES; i++) {
            up[i] = w.instances[i].up && !w.instances[i].draining;
        }
        for (int k = 0; k < FW_LIMIT_CHECK_TEAMS; k++) {
            int64_t tokens;
            int instance;
            if (is_request_due(rand, s)) {
                instance = draw_request(rand, up, &c.accounts[k], &tokens);
                Fw_LimitCheck_Request(&c, &w, instance, k, tokens);
            }
        }
        g_string_set_size(run.trace, 0);
        Fw_FleetEnv_Advance(&w, STEP_US);
    }
    for (int k = 0; k < FW_LIMIT_CHECK_TEAMS; k++) {
        r->requests += c.accounts[k].granted + c.accounts[k].refused;
        r->refused += c.accounts[k].refused;
        r->spent_tokens += c.accounts[k].spent;
        r->wrongful_refusals += c.accounts[k].wrongful;
    }
    r->overspent_tokens = c.overspent_tokens;
    r->msgs_per_s = (double)w.msgs_sent / s->duration_s / INSTANCES;
    r->bytes_per_s = (double)w.bytes_sent / s->duration_s / INSTANCES;
    Fw_LimitCheck_Clear(&c, &w);
    g_rand_free(rand);
    g_rand_free(run.rand);
    g_string_free(run.trace, TRUE);
}

int
main(void)
{
    static const char *const names[] = {"static", "log", "majority", "leases"};

    printf("%-24s %-9s %7s %7s %8s %7s %9s %7s %7s %6s\n", "script", "scheme",
           "asked", "refused", "wrongful", "over", "spent", "next s",
           "bytes/s", "msgs/s");
    for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
        for (int k = 0; k < FW_SCHEMES; k++) {
            struct result r = {0};
            if (k == FW_SCHEME_LEASES) {
                run_leases(&scripts[i], &r);
            }
            else {
                run_baseline(&scripts[i], (enum scheme)k, &r);
            }
            printf("%-24s %-9s %7d %7d %8d %7" G_GINT64_FORMAT
                   " %9" G_GINT64_FORMAT " %7.1f %7.0f %6.1f\n",
                   scripts[i].name, names[k], r.requests, r.refused,
                   r.wrongful_refusals, r.overspent_tokens, r.spent_tokens,
                   r.failover_s, r.bytes_per_s, r.msgs_per_s);
        }
    }
    return 0;
}
