/*
 * Precedence of ranks among many instances that know each other's requests
 * late, compared with a rule that ignores ranks.
 */
#include <check.h>
#include <glib.h>
#include <math.h>

#include "base/limits.h"
#include "decide/precedence.h"
#include "tests/base/suite.h"

/* Plays of each case. */
#define FW_SEEDS 1
#define FW_STEP_US (10 * FW_MSEC)
#define FW_STEPS 2900
/* Steps of the burst, whose requests are counted, and of the loss. */
#define FW_BURST_FROM 500
#define FW_BURST_TO 2100
#define FW_LOST_FROM 700
#define FW_LOST_TO 1500
#define FW_ENGINES 24
#define FW_ENGINE_TOKENS 75917
#define FW_MEAN_TOKENS 5200
#define FW_STREAM_US (2600 * FW_MSEC)
/* Prefill and the first event; taken off the objective. */
#define FW_FIRST_EVENT_US (250 * FW_MSEC)
#define FW_DEADLINE_US (14 * FW_SEC)
/* Age of the views in steps, and how often a message about them is lost. */
#define FW_VIEW_MIN_STEPS 8
#define FW_VIEW_MAX_STEPS 15
#define FW_LOST_PERCENT 10
/* Messages arrive at least once in this time, which is remembered. */
#define FW_HISTORY 48
#define FW_INTERVAL_STEPS 15
#define FW_INTERVAL_S 0.15
/* Steps until an engine that rejected a request is asked again. */
#define FW_RETRY_STEPS 3
#define FW_RANKS_MAX 4
#define FW_REQUESTS_MAX 8192
#define FW_INSTANCES_MAX 300

/** struct load - requests of one rank; @burst: factor within the burst. */
struct load {
    double per_s;
    double burst;
    int64_t objective_us;
};

/**
 * struct play_case - a fleet, its load, and what is required.
 * @lost: engines that are lost for 8 s within the burst
 * @in_time: part of the most urgent rank that must be in time
 * @in_time_without: most of it that is in time when ranks are ignored
 * @served: part of the least urgent rank that must be served, also late
 */
struct play_case {
    const char *name;
    int instances;
    int lost;
    int n_ranks;
    struct load loads[FW_RANKS_MAX];
    double in_time;
    double in_time_without;
    double served;
};

enum state {
    FW_WAITS,
    FW_RUNS,
    FW_ENDED,
    FW_REJECTED
};

struct request {
    int rank;
    int instance;
    double tokens;
    int64_t at_us;
    int64_t until_us;
    int64_t placed_us;
    int64_t ends_us;
    int engine;
    int retry_step;
    double chance;
    int is_late;
    enum state state;
};

/** struct known - what is known of all instances at one step, in tokens. */
struct known {
    double used[FW_ENGINES];
    double waiting[FW_RANKS_MAX];
    double late[FW_RANKS_MAX];
    double asked[FW_RANKS_MAX];
};

/**
 * struct play - a fleet as it plays.
 * @ranked: by the rule under test; otherwise ranks are ignored
 * @all: in the order of their arrival
 * @placed: in the order of their placement
 * @view_step: the step that each instance knows the others at
 */
struct play {
    const struct play_case *t;
    int ranked;
    GRand *rand;
    struct request all[FW_REQUESTS_MAX];
    int n;
    struct request *placed[FW_REQUESTS_MAX];
    int n_placed;
    struct known history[FW_HISTORY];
    struct known now;
    int view_step[FW_INSTANCES_MAX];
    int step;
    int inversions;
};

/** struct result - of a play, by rank; @inversions: see count_inversion(). */
struct result {
    int n[FW_RANKS_MAX];
    int in_time[FW_RANKS_MAX];
    int served[FW_RANKS_MAX];
    int inversions;
};

static int64_t
now_us(const struct play *p)
{
    return p->step * FW_STEP_US;
}

static int
is_lost(const struct play *p, int engine)
{
    return engine < p->t->lost && p->step >= FW_LOST_FROM &&
           p->step < FW_LOST_TO;
}

static double
free_at(const struct play *p, const struct known *k, int engine)
{
    return is_lost(p, engine) ? 0 : FW_ENGINE_TOKENS - k->used[engine];
}

/* Random time between two arrivals, 1 on average. */
static double
interval(struct play *p)
{
    return -log(1 - g_rand_double(p->rand));
}

static void
arrive(struct play *p)
{
    for (int rank = 0; rank < p->t->n_ranks; rank++) {
        const struct load *l = &p->t->loads[rank];
        int in_burst = p->step >= FW_BURST_FROM && p->step < FW_BURST_TO;
        double mean =
            l->per_s * (in_burst ? l->burst : 1) * FW_STEP_US / (double)FW_SEC;

        p->now.asked[rank] *= exp(-(double)FW_STEP_US / FW_SEC);
        while ((mean -= interval(p)) > 0) {
            struct request *r = &p->all[p->n++];

            g_assert_cmpint(p->n, <, FW_REQUESTS_MAX);
            r->rank = rank;
            r->instance = g_rand_int_range(p->rand, 0, p->t->instances);
            r->tokens =
                g_rand_double_range(p->rand, 0.3, 1.7) * FW_MEAN_TOKENS;
            r->at_us = now_us(p);
            r->until_us =
                r->at_us + (p->ranked && rank
                                ? FW_DEADLINE_US - 2 * FW_STREAM_US
                                : l->objective_us - FW_FIRST_EVENT_US);
            r->chance = g_rand_double(p->rand);
            p->now.waiting[rank] += r->tokens;
            p->now.asked[rank] += r->tokens;
        }
    }
}

/*
 * The view of an instance: of the others as they were, and of itself as it is.
 */
static struct known
view(const struct play *p, int instance)
{
    struct known k = p->history[p->view_step[instance] % FW_HISTORY];
    int64_t since_us = p->view_step[instance] * FW_STEP_US;

    for (int i = p->n_placed - 1; i >= 0 && p->placed[i]->placed_us > since_us;
         i--) {
        if (p->placed[i]->instance == instance) {
            k.used[p->placed[i]->engine] += p->placed[i]->tokens;
        }
    }
    return k;
}

static void
fill_memory(const struct play *p, const struct request *r,
            const struct known *k, struct fw_precedence_capacity *c)
{
    double used = 0;

    for (int i = 0; i < FW_ENGINES; i++) {
        c->free +=
            floor(MAX(free_at(p, k, i), 0) / FW_MEAN_TOKENS) * FW_MEAN_TOKENS;
        used += is_lost(p, i) ? 0 : k->used[i];
    }
    c->need = r->tokens;
    c->held_s = (double)FW_STREAM_US / FW_SEC;
    c->freed = used / c->held_s;
    c->unseen_s = FW_INTERVAL_S;
    for (int rank = 0; rank < r->rank; rank++) {
        c->urgent_waiting += k->waiting[rank];
        c->urgent_asked += k->asked[rank];
    }
    c->urgent_squares = c->urgent_asked * FW_MEAN_TOKENS * 1.2;
    if (r->is_late) {
        c->urgent_waiting += k->waiting[r->rank] - k->late[r->rank];
        c->urgent_asked += Fw_Precedence_SurelyAsked(
            k->asked[r->rank], k->asked[r->rank] * FW_MEAN_TOKENS * 1.2);
        c->peers = MAX(k->late[r->rank], r->tokens);
    }
    else {
        c->peers = MAX(k->waiting[r->rank] - k->late[r->rank], r->tokens) +
                   k->asked[r->rank] * FW_INTERVAL_S;
    }
}

static int
may_place(struct play *p, const struct request *r, const struct known *k)
{
    struct fw_precedence_request q = {.waited =
                                          (double)(now_us(p) - r->at_us) /
                                          (double)(r->until_us - r->at_us),
                                      .chance = r->chance,
                                      .interval_s = FW_INTERVAL_S};
    struct fw_precedence_decision d;

    if (!p->ranked || !r->rank) {
        return 1;
    }
    fill_memory(p, r, k, &q.capacity[FW_PRECEDENCE_MEMORY]);
    Fw_Precedence_Decide(&q, &d);
    return d.place;
}

/* Of two random engines with room the one with more, or -1. */
static int
choose_engine(struct play *p, const struct request *r, const struct known *k)
{
    int drawn[2] = {-1, -1};
    int n = 0;

    for (int i = 0; i < FW_ENGINES; i++) {
        if (free_at(p, k, i) >= r->tokens) {
            int at = n < 2 ? n : g_rand_int_range(p->rand, 0, n + 1);

            n++;
            if (at < 2) {
                drawn[at] = i;
            }
        }
    }
    return n > 1 && free_at(p, k, drawn[1]) > free_at(p, k, drawn[0])
               ? drawn[1]
               : drawn[0];
}

static void
leave_queue(struct play *p, const struct request *r)
{
    p->now.waiting[r->rank] -= r->tokens;
    p->now.late[r->rank] -= r->is_late ? r->tokens : 0;
}

/* An engine that has less room than was known rejects the request. */
static void
place(struct play *p, struct request *r, int engine)
{
    if (free_at(p, &p->now, engine) < r->tokens) {
        r->retry_step = p->step + FW_RETRY_STEPS;
        return;
    }
    p->placed[p->n_placed++] = r;
    r->state = FW_RUNS;
    r->engine = engine;
    r->placed_us = now_us(p);
    r->ends_us = r->placed_us + FW_FIRST_EVENT_US +
                 (int64_t)(g_rand_double_range(p->rand, 0.6, 1.4) *
                           (FW_STREAM_US - FW_FIRST_EVENT_US));
    p->now.used[engine] += r->tokens;
    leave_queue(p, r);
}

/*
 * A request of the most urgent rank is rejected although a less urgent one
 * runs that came when all others had to know that the first one waits.
 */
static void
count_inversion(struct play *p, const struct request *rejected)
{
    int64_t known_us = rejected->at_us + FW_VIEW_MAX_STEPS * FW_STEP_US;

    for (int i = p->n - 1; i >= 0 && p->all[i].at_us > known_us; i--) {
        const struct request *r = &p->all[i];

        if (r->rank > rejected->rank && r->state == FW_RUNS) {
            p->inversions += !rejected->rank;
            return;
        }
    }
}

static void
note_late(struct play *p, struct request *r)
{
    if (!r->is_late && now_us(p) - r->at_us + FW_FIRST_EVENT_US >
                           p->t->loads[r->rank].objective_us) {
        r->is_late = 1;
        p->now.late[r->rank] += r->tokens;
    }
}

static void
serve(struct play *p, struct request *r)
{
    struct known k;
    int engine;

    if (r->state == FW_RUNS &&
        (now_us(p) >= r->ends_us || is_lost(p, r->engine))) {
        r->state = FW_ENDED;
        p->now.used[r->engine] -= r->tokens;
    }
    if (r->state != FW_WAITS || p->step < r->retry_step) {
        return;
    }
    if (now_us(p) >= r->until_us) {
        r->state = FW_REJECTED;
        leave_queue(p, r);
        count_inversion(p, r);
        return;
    }
    if ((now_us(p) - r->at_us) / FW_STEP_US % FW_INTERVAL_STEPS == 0) {
        r->chance = g_rand_double(p->rand);
    }
    note_late(p, r);
    k = view(p, r->instance);
    engine = choose_engine(p, r, &k);
    if (engine >= 0 && may_place(p, r, &k)) {
        place(p, r, engine);
    }
}

static void
update_views(struct play *p)
{
    p->history[p->step % FW_HISTORY] = p->now;
    for (int i = 0; i < p->t->instances; i++) {
        int age = g_rand_int_range(p->rand, FW_VIEW_MIN_STEPS,
                                   FW_VIEW_MAX_STEPS + 1);
        int is_kept = g_rand_int_range(p->rand, 0, 100) < FW_LOST_PERCENT &&
                      p->step - p->view_step[i] < FW_HISTORY - 1;

        if (!is_kept) {
            p->view_step[i] = MAX(MAX(p->step - age, 0), p->view_step[i]);
        }
    }
}

static void
run(struct play *p, struct result *out)
{
    int first = 0;

    for (p->step = 0; p->step < FW_STEPS; p->step++) {
        arrive(p);
        update_views(p);
        while (first < p->n && p->all[first].state >= FW_ENDED) {
            first++;
        }
        for (int rank = 0; rank < (p->ranked ? p->t->n_ranks : 1); rank++) {
            for (int i = first; i < p->n; i++) {
                if (!p->ranked || p->all[i].rank == rank) {
                    serve(p, &p->all[i]);
                }
            }
        }
    }
    for (int i = 0; i < p->n; i++) {
        const struct request *r = &p->all[i];
        int64_t waited = r->placed_us - r->at_us;

        if (r->at_us < FW_BURST_FROM * FW_STEP_US ||
            r->at_us >= FW_BURST_TO * FW_STEP_US) {
            continue;
        }
        out->n[r->rank]++;
        if (r->state == FW_RUNS || r->state == FW_ENDED) {
            out->served[r->rank]++;
            out->in_time[r->rank] += waited + FW_FIRST_EVENT_US <=
                                     p->t->loads[r->rank].objective_us;
        }
    }
    out->inversions = p->inversions;
}

static struct result
play(const struct play_case *t, int ranked, uint32_t seed)
{
    struct play *p = g_new0(struct play, 1);
    struct result out = {0};

    p->t = t;
    p->ranked = ranked;
    p->rand = g_rand_new_with_seed(seed);
    run(p, &out);
    g_rand_free(p->rand);
    g_free(p);
    return out;
}

#define FW_URGENT (800 * FW_MSEC)
#define FW_LATER (2000 * FW_MSEC)

static const struct play_case cases[] = {
    {"three instances",
     3,
     6,
     2,
     {{86, 1, FW_URGENT}, {24, 4, FW_LATER}},
     0.95,
     0.65,
     0.25},
    {"75 instances",
     75,
     6,
     2,
     {{86, 1, FW_URGENT}, {24, 4, FW_LATER}},
     0.95,
     0.65,
     0.25},
    {"300 instances",
     300,
     6,
     2,
     {{86, 1, FW_URGENT}, {24, 4, FW_LATER}},
     0.95,
     0.65,
     0.25},
    {"three ranks",
     75,
     6,
     3,
     {{50, 1, FW_URGENT}, {36, 1, FW_LATER}, {24, 4, FW_LATER}},
     0.95,
     0.85,
     0.25},
    {"four ranks",
     75,
     6,
     4,
     {{50, 1, FW_URGENT},
      {33, 1, FW_URGENT},
      {12, 4, FW_LATER},
      {6, 4, FW_LATER}},
     0.95,
     0.80,
     0.10},
    /* The most urgent alone need more than there is. */
    {"too many urgent requests",
     75,
     0,
     2,
     {{170, 1, FW_URGENT}, {18, 1, FW_LATER}},
     0.75,
     1,
     0.1},
    {"room for all",
     75,
     0,
     2,
     {{86, 1, FW_URGENT}, {18, 1, FW_LATER}},
     0.99,
     1,
     0.99},
};

static double
part(int n, int all)
{
    return (double)n / MAX(all, 1);
}

/*
 * Guards against less urgent requests that take the engines from more urgent
 * ones, and against engines that are kept for these and left idle.
 */
START_TEST(urgent_requests_come_first)
{
    const struct play_case *t = &cases[_i / FW_SEEDS];
    struct result without = play(t, 0, 1 + _i % FW_SEEDS);
    struct result with = play(t, 1, 1 + _i % FW_SEEDS);
    int last = t->n_ranks - 1;
    int placed = 0;

    for (int rank = 0; rank <= last; rank++) {
        placed += with.served[rank];
        g_debug("%s: rank %d of %d: in time %.3f, served %.3f; "
                "without ranks %.3f",
                t->name, rank, with.n[rank],
                part(with.in_time[rank], with.n[rank]),
                part(with.served[rank], with.n[rank]),
                part(without.in_time[rank], without.n[rank]));
    }
    ck_assert_double_le(part(without.in_time[0], without.n[0]),
                        t->in_time_without);
    ck_assert_double_ge(part(with.in_time[0], with.n[0]), t->in_time);
    ck_assert_double_ge(part(with.served[last], with.n[last]), t->served);
    ck_assert_int_eq(with.inversions, 0);
    /* None is aged at first, and not each that may be placed finds room. */
    ck_assert_int_ge(with.served[last] * 3 * FW_PRECEDENCE_AGED_SHARE, placed);
}
END_TEST

/**
 * struct decision_case - one decision.
 * @c: memory, in requests of one unit
 */
struct decision_case {
    struct fw_precedence_capacity c;
    double waited;
    double chance;
    enum fw_precedence_reason reason;
};

static const struct decision_case decisions[] = {
    /* Nobody else asks for anything. */
    {{.free = 10, .need = 1, .held_s = 2, .peers = 1},
     0,
     0.99,
     FW_PRECEDENCE_PLACED},
    /* More urgent ones wait for all that is free. */
    {{.free = 10,
      .need = 1,
      .held_s = 2,
      .peers = 1,
      .freed = 100,
      .urgent_waiting = 10},
     0,
     0,
     FW_PRECEDENCE_RESERVED},
    /* More arrive than becomes free. */
    {{.free = 30,
      .need = 1,
      .held_s = 2,
      .peers = 1,
      .freed = 50,
      .urgent_asked = 60,
      .urgent_squares = 60},
     0,
     0,
     FW_PRECEDENCE_RESERVED},
    /* As much arrives, but the pool has room for the time of a stream. */
    {{.free = 200,
      .need = 1,
      .held_s = 2,
      .peers = 1,
      .freed = 50,
      .urgent_asked = 60,
      .urgent_squares = 60},
     0,
     0.99,
     FW_PRECEDENCE_PLACED},
    /* Ten compete for five. */
    {{.free = 5, .need = 1, .held_s = 2, .peers = 10, .freed = 100},
     0,
     0.49,
     FW_PRECEDENCE_PLACED},
    {{.free = 5, .need = 1, .held_s = 2, .peers = 10, .freed = 100},
     0,
     0.51,
     FW_PRECEDENCE_SHARED},
    /* A few of those that have waited for long are placed all the same. */
    {{.free = 5,
      .need = 1,
      .held_s = 2,
      .peers = 10,
      .freed = 100,
      .urgent_waiting = 50},
     0.6,
     0.1,
     FW_PRECEDENCE_AGED},
    {{.free = 5,
      .need = 1,
      .held_s = 2,
      .peers = 10,
      .freed = 100,
      .urgent_waiting = 50},
     0.6,
     0.9,
     FW_PRECEDENCE_RESERVED},
    {{.free = 5,
      .need = 1,
      .held_s = 2,
      .peers = 10,
      .freed = 100,
      .urgent_waiting = 50},
     0.4,
     0.1,
     FW_PRECEDENCE_RESERVED},
};

START_TEST(decision_follows_the_capacity)
{
    const struct decision_case *t = &decisions[_i];
    struct fw_precedence_request q = {
        .waited = t->waited, .chance = t->chance, .interval_s = 0.15};
    struct fw_precedence_decision d;

    q.capacity[FW_PRECEDENCE_MEMORY] = t->c;
    Fw_Precedence_Decide(&q, &d);
    ck_assert_int_eq(d.reason, t->reason);
    ck_assert_int_eq(d.place, t->reason == FW_PRECEDENCE_PLACED ||
                                  t->reason == FW_PRECEDENCE_AGED);
    ck_assert_int_eq(d.resource, FW_PRECEDENCE_MEMORY);
}
END_TEST

/** struct wait_case - @c: memory, in requests of one unit; @ms: the wait. */
struct wait_case {
    struct fw_precedence_capacity c;
    int64_t ms;
};

static const struct wait_case waits[] = {
    /* There is room, or nothing is known of what becomes free. */
    {{.free = 10, .freed = 50, .peers = 5}, 0},
    {{.free = 0, .freed = 0, .peers = 50}, 0},
    {{.free = 0, .freed = 50, .peers = 50}, 1000},
    {{.free = 0, .freed = 50, .peers = 50, .urgent_waiting = 50}, 2000},
    /* One request in the last second says little about the next ones. */
    {{.free = 0,
      .freed = 50,
      .peers = 50,
      .urgent_asked = 1,
      .urgent_squares = 1},
     1000},
    {{.free = 0,
      .freed = 50,
      .peers = 50,
      .urgent_asked = 32,
      .urgent_squares = 32},
     1923},
    /* The share of those that have waited for long is left. */
    {{.free = 0,
      .freed = 50,
      .peers = 50,
      .urgent_asked = 200,
      .urgent_squares = 200},
     16000},
};

/* Guards against rejections of requests that could be served. */
START_TEST(wait_follows_the_backlog)
{
    ck_assert_int_eq(Fw_Precedence_ExpectedWait(&waits[_i].c) / FW_MSEC,
                     waits[_i].ms);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("precedence");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, urgent_requests_come_first, 0,
                        FW_SEEDS * G_N_ELEMENTS(cases));
    tcase_add_loop_test(tc, decision_follows_the_capacity, 0,
                        G_N_ELEMENTS(decisions));
    tcase_add_loop_test(tc, wait_follows_the_backlog, 0, G_N_ELEMENTS(waits));
    return Fw_Suite_Run(tc);
}
