/* Load balancing under peak load, against simulated upstreams. */
#include <check.h>
#include <math.h>
#include <string.h>

#include "explore/explore.h"
#include "relay/relay_internal.h"
#include "tests/base/suite.h"
#include "tests/relay/engines.h"
#include "tests/relay/plain_servers.h"

#define FW_SEEDS 10
/* Minimum advantage over a baseline, in requests of some 2,500. */
#define FW_MIN_ADVANTAGE 25
/* Requests per second; three servers have a capacity of 272. */
#define FW_OVERLOAD_PER_S 408
#define FW_LIGHT_LOAD_PER_S 200
#define FW_SHED_LOAD_PER_S 100
#define FW_PLAIN_LOAD_MS 5000
#define FW_MIN_ON_TIME_PERMILLE 930
#define FW_MAX_PREEMPTED_PERMILLE 2

static struct fw_load_result
play_peak(enum fw_rl_policy policy)
{
    struct fw_load_plan plan = {.prefill_engines = 3,
                                .decode_engines = 6,
                                .shape = {.slots = 48,
                                          .kv_tokens = 107196,
                                          .prefill_tokens_per_ms = 55,
                                          .decode_tokens_per_ms = 1.3,
                                          .mean_prompt = 5000,
                                          .mean_answer = 5000,
                                          .max_answer = 9360,
                                          .spread = 0.5,
                                          .hint_spread = 0.5},
                                .requests_per_s = 10.4,
                                .burst_factor = 1.8,
                                .burst_start_ms = 5000,
                                .burst_end_ms = 10000,
                                .end_ms = 20000,
                                .reserve_permille = 100,
                                .policy = policy};
    struct fw_load_result sum = {0};

    for (plan.seed = 1; plan.seed <= FW_SEEDS; plan.seed++) {
        struct fw_load_result got;

        Fw_Load_Play(&plan, &got);
        ck_assert_int_eq(got.on_time + got.late + got.rejected, got.requests);
        sum.requests += got.requests;
        sum.on_time += got.on_time;
        sum.rejected += got.rejected;
        sum.preempted += got.preempted;
    }
    return sum;
}

/*
 * A burst must not be rejected while engine memory is unused, nor fill engines
 * until they preempt streams.
 */
START_TEST(a_peak_is_served_on_time)
{
    struct fw_load_result sum = play_peak(FW_RL_POLICY_FULL);

    ck_assert_int_gt(sum.requests, 2000);
    ck_assert_msg(sum.on_time * 1000 >= sum.requests * FW_MIN_ON_TIME_PERMILLE,
                  "%d of %d on time, %d refused, %d preempted", sum.on_time,
                  sum.requests, sum.rejected, sum.preempted);
    ck_assert_int_le(sum.preempted * 1000,
                     sum.requests * FW_MAX_PREEMPTED_PERMILLE);
}
END_TEST

/* The full policy must serve more requests in time than either baseline. */
START_TEST(full_policy_beats_its_baselines)
{
    struct fw_load_result full = play_peak(FW_RL_POLICY_FULL);
    struct fw_load_result least = play_peak(FW_RL_POLICY_LEAST_LOADED);
    struct fw_load_result random = play_peak(FW_RL_POLICY_RANDOM);

    ck_assert_msg(full.on_time > least.on_time + FW_MIN_ADVANTAGE &&
                      full.on_time > random.on_time + FW_MIN_ADVANTAGE,
                  "%d on time; least loaded %d, random %d", full.on_time,
                  least.on_time, random.on_time);
}
END_TEST

/* Minimum advantage of speeds on uneven engines, of some 5,100 requests. */
#define FW_MIN_SPEED_ADVANTAGE 100

static struct fw_load_result
play_uneven(const double *speeds, int64_t speed_spread_ppm)
{
    struct fw_load_plan plan = {.prefill_engines = 6,
                                .decode_engines = 10,
                                .shape = {.slots = 16,
                                          .kv_tokens = 69582,
                                          .prefill_tokens_per_ms = 55.6,
                                          .decode_tokens_per_ms = 0.4,
                                          .mean_prompt = 5200,
                                          .mean_answer = 900,
                                          .max_answer = 2000,
                                          .spread = 0.4,
                                          .hint_spread = 0.5},
                                .requests_per_s = 50,
                                .burst_factor = 1.2,
                                .burst_start_ms = 8000,
                                .burst_end_ms = 12000,
                                .end_ms = 20000,
                                .reserve_permille = 100,
                                .speed_spread_ppm = speed_spread_ppm};
    struct fw_load_result sum = {0};

    memcpy(plan.speeds, speeds, sizeof(plan.speeds));
    for (plan.seed = 1; plan.seed <= FW_SEEDS / 2; plan.seed++) {
        struct fw_load_result got;

        Fw_Load_Play(&plan, &got);
        sum.requests += got.requests;
        sum.on_time += got.on_time;
        sum.late += got.late;
        sum.rejected += got.rejected;
        sum.preempted += got.preempted;
    }
    return sum;
}

/* Guards against prompts that wait for slow engines while fast ones idle. */
START_TEST(uneven_engines_are_used_by_their_speeds)
{
    static const double uneven[] = {0.7, 0.7, 1.7};
    struct fw_load_result without = play_uneven(uneven, 0);
    struct fw_load_result with = play_uneven(uneven, 1500000);

    ck_assert_msg(with.on_time > without.on_time + FW_MIN_SPEED_ADVANTAGE,
                  "%d of %d on time, %d refused, %d preempted; %d, %d, %d "
                  "without speeds",
                  with.on_time, with.requests, with.rejected, with.preempted,
                  without.on_time, without.rejected, without.preempted);
}
END_TEST

/* Guards against estimates that disturb engines of one speed. */
START_TEST(equal_engines_are_used_as_without_speeds)
{
    static const double even[] = {1, 1, 1};
    struct fw_load_result without = play_uneven(even, 0);
    struct fw_load_result with = play_uneven(even, 1500000);

    ck_assert_msg(with.on_time * 1000 >= without.on_time * 995,
                  "%d of %d on time; %d without speeds", with.on_time,
                  with.requests, without.on_time);
}
END_TEST

/*
 * At one and a half times the servers' capacity, the excess must be rejected
 * at once; otherwise full queues make every response late.
 */
START_TEST(overloaded_servers_answer_in_time)
{
    struct fw_plain_load got;

    Fw_PlainLoad_Play(FW_OVERLOAD_PER_S, FW_PLAIN_LOAD_MS, (uint32_t)_i + 1,
                      &got);
    ck_assert_int_eq(got.on_time + got.late + got.rejected, got.requests);
    ck_assert_msg(got.on_time * 1000 >= got.requests * 640,
                  "%d of %d on time, %d late, %d refused", got.on_time,
                  got.requests, got.late, got.rejected);
    ck_assert_int_le(got.late * 1000, got.requests * 30);
}
END_TEST

/* Below the servers' capacity no request may be rejected or late. */
START_TEST(servers_below_capacity_reject_nothing)
{
    struct fw_plain_load got;

    Fw_PlainLoad_Play(FW_LIGHT_LOAD_PER_S, FW_PLAIN_LOAD_MS, (uint32_t)_i + 1,
                      &got);
    ck_assert_int_eq(got.rejected, 0);
    ck_assert_int_eq(got.late, 0);
}
END_TEST

/* Guards against a server that is preferred because it rejects quickly. */
START_TEST(a_server_that_rejects_all_is_avoided)
{
    struct fw_plain_load got;

    Fw_PlainLoad_PlayShedding(FW_SHED_LOAD_PER_S, FW_PLAIN_LOAD_MS,
                              (uint32_t)_i + 1, &got);
    ck_assert_msg(got.shed * 10 <= got.requests, "%d of %d sent there",
                  got.shed, got.requests);
    ck_assert_int_eq(got.rejected, 0);
}
END_TEST

#define FW_SHAPES 8
#define FW_SHAPE_SEEDS 1
/* Time before the burst, in durations of a mean stream. */
#define FW_STREAMS_BEFORE_BURST 2
/* Constant predictions to compare with, as fractions of the maximum. */
static const double fractions[] = {0.15, 0.3, 0.5, 0.75, 1.0};
/* Minimum on time, relative to the best constant prediction. */
#define FW_MIN_OF_BEST_PERMILLE 900
/* Standard deviation of a constant prediction, as such a fraction. */
#define FW_CONSTANT_DEVIATION 0.25
#define FW_EVENT_TOKENS 13.0

/* Draws from a log-uniform distribution. */
static double
between(GRand *rand, double low, double high)
{
    return low * exp(g_rand_double(rand) * log(high / low));
}

/* Draws engines, lengths, estimates and a burst beyond their capacity. */
static void
draw_plan(uint32_t seed, struct fw_load_plan *p)
{
    GRand *rand = g_rand_new_with_seed(seed);
    struct fw_load_shape *h = &p->shape;
    double stream_s = between(rand, 2, 8);
    double capacity_per_s;

    *p = (struct fw_load_plan){.prefill_engines = g_rand_int_range(rand, 2, 5),
                               .decode_engines = g_rand_int_range(rand, 2, 5),
                               .reserve_permille = 100};
    h->mean_prompt = between(rand, 500, 8000);
    h->mean_answer = between(rand, 200, 5000);
    h->max_answer = (int64_t)(h->mean_answer * between(rand, 1.5, 5));
    h->spread = between(rand, 0.2, 0.6);
    h->hint_spread = seed % 4 == 0 ? -1 : between(rand, 0.1, 1.5);
    h->decode_tokens_per_ms = h->mean_answer / stream_s / 1000;
    h->kv_tokens = (int64_t)((h->mean_prompt + h->mean_answer / 2) *
                             between(rand, 6, 16)) +
                   h->max_answer;
    h->slots = g_rand_int_range(rand, 12, 96);
    capacity_per_s =
        MIN((double)h->kv_tokens / (h->mean_prompt + h->mean_answer / 2),
            h->slots) *
        p->decode_engines / stream_s;
    p->burst_factor = between(rand, 1.5, 2.5);
    p->requests_per_s =
        capacity_per_s * between(rand, 0.9, 1.3) / p->burst_factor;
    /* Prefill is not the bottleneck. */
    h->prefill_tokens_per_ms =
        capacity_per_s * h->mean_prompt / (0.4 * p->prefill_engines * 1000);
    /* Some streams have ended before the burst begins. */
    p->burst_start_ms =
        5000 + (int64_t)(FW_STREAMS_BEFORE_BURST * stream_s * 1000);
    p->burst_end_ms = p->burst_start_ms + 6000;
    p->end_ms = p->burst_end_ms + 4000;
    g_rand_free(rand);
}

/* Requests on time, over all seeds. */
static int
on_time(struct fw_load_plan *p)
{
    int sum = 0;

    for (p->seed = 1; p->seed <= FW_SHAPE_SEEDS; p->seed++) {
        struct fw_load_result got;

        Fw_Load_Play(p, &got);
        sum += got.on_time;
    }
    return sum;
}

/* Requests on time with the best constant prediction. */
static int
best_constant(struct fw_load_plan *p)
{
    int best = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(fractions); i++) {
        double most = (double)p->shape.max_answer / FW_EVENT_TOKENS;
        struct fw_length_model fixed = {.n = 1e6,
                                        .mean_events = most * fractions[i],
                                        .tokens_per_event = FW_EVENT_TOKENS};

        fixed.events_variance = pow(most * FW_CONSTANT_DEVIATION, 2);
        p->fixed_model = &fixed;
        best = MAX(best, on_time(p));
        p->fixed_model = NULL;
    }
    return best;
}

/*
 * With any workload, learned predictions must serve nearly as many requests in
 * time as the constant prediction that suits the workload best.
 */
START_TEST(learned_prediction_matches_best_constant)
{
    struct fw_load_plan plan;
    int learned;
    int best;

    draw_plan((uint32_t)_i + 1, &plan);
    learned = on_time(&plan);
    best = best_constant(&plan);
    ck_assert_int_gt(best, 0);
    ck_assert_msg(learned * 1000 >= best * FW_MIN_OF_BEST_PERMILLE,
                  "%d on time, %d with the best constant; in %g, out %g of "
                  "%d, memory %d, estimates %g",
                  learned, best, plan.shape.mean_prompt,
                  plan.shape.mean_answer, (int)plan.shape.max_answer,
                  (int)plan.shape.kv_tokens, plan.shape.hint_spread);
}
END_TEST

#define FW_FLEET_ENGINES 200

static struct fw_relay *
large_fleet(void)
{
    struct fw_relay_opts opts = {.name = "n1", .retry_window_us = 1};
    struct fw_relay *r = Fw_Relay_New(&opts, FW_SEC);
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_service_rule *service = Fw_Rules_AddService(rules);
    struct fw_rl_actions acts;

    rules->version = 1;
    service->name = "llm";
    service->has_engines = 1;
    service->engine =
        (struct fw_rl_engine_spec){.slots = 48, .kv_tokens = 100000};
    Fw_RelayActions_Init(&acts);
    Fw_Relay_SetRules(r, rules, 1, FW_SEC, &acts);
    Fw_Rules_Unref(rules);
    for (int i = 0; i < FW_FLEET_ENGINES; i++) {
        struct fw_rl_server_entry e = {.slots = 48,
                                       .stage = FW_RL_STAGE_DECODE};

        e.id = Fw_Run_Name("e%d", i);
        g_snprintf(e.addr, sizeof(e.addr), "e%d:1", i);
        e.service = "llm";
        Fw_Relay_UpdateServer(r, e.id, &e, FW_SEC, &acts);
    }
    Fw_RelayActions_Clear(&acts);
    return r;
}

/* Guards against choosing only among a fixed number of engines. */
START_TEST(all_engines_of_a_large_fleet_are_used)
{
    struct fw_rl_route_rule route = {.name = "r"};
    struct fw_rl_call c = {
        .route = &route, .service = "llm", .kv_tokens = 1000};
    struct fw_relay *r = large_fleet();
    GHashTable *used = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (int i = 0; i < FW_FLEET_ENGINES * 20; i++) {
        g_hash_table_add(used, Fw_Place_Decode(r, &c, FW_SEC));
    }
    ck_assert_uint_eq(g_hash_table_size(used), FW_FLEET_ENGINES);
    g_hash_table_destroy(used);
    Fw_Relay_Free(r);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay load");

    tcase_add_test(tc, a_peak_is_served_on_time);
    tcase_add_test(tc, full_policy_beats_its_baselines);
    tcase_add_test(tc, uneven_engines_are_used_by_their_speeds);
    tcase_add_test(tc, equal_engines_are_used_as_without_speeds);
    tcase_add_loop_test(tc, learned_prediction_matches_best_constant, 0,
                        FW_SHAPES);
    tcase_add_test(tc, all_engines_of_a_large_fleet_are_used);
    tcase_add_loop_test(tc, overloaded_servers_answer_in_time, 0, 5);
    tcase_add_loop_test(tc, servers_below_capacity_reject_nothing, 0, 5);
    tcase_add_loop_test(tc, a_server_that_rejects_all_is_avoided, 0, 5);
    return Fw_Suite_Run(tc);
}
