/* What callers get at a peak, played against upstreams in memory. */
#include <check.h>
#include <math.h>

#include "relay/relay_internal.h"
#include "tests/base/suite.h"
#include "tests/relay/engines.h"
#include "tests/relay/plain_servers.h"

#define FW_SEEDS 10
/* Of some 2,500 requests: one in a hundred. */
#define FW_GAIN 25
/* Of 272 a second that three servers bear. */
#define FW_CROWD_PER_S 408
#define FW_CALM_PER_S 200
#define FW_CROWD_MS 5000
#define FW_ON_TIME_PERMILLE 930
#define FW_PREEMPTED_PERMILLE 2

static struct fw_load_result
play_peak(enum fw_rl_policy policy)
{
    struct fw_load_plan plan = {.readers = 3,
                                .decoders = 6,
                                .shape = {.slots = 48,
                                          .kv_tokens = 107196,
                                          .read_speed = 55,
                                          .speed = 1.3,
                                          .in = 5000,
                                          .out = 5000,
                                          .most_out = 9360,
                                          .spread = 0.5,
                                          .hint_spread = 0.5},
                                .per_s = 10.4,
                                .burst = 1.8,
                                .burst_ms = 5000,
                                .calm_ms = 10000,
                                .until_ms = 20000,
                                .reserve_permille = 100,
                                .policy = policy};
    struct fw_load_result sum = {0};

    for (plan.seed = 1; plan.seed <= FW_SEEDS; plan.seed++) {
        struct fw_load_result got;

        Fw_Load_Play(&plan, &got);
        ck_assert_int_eq(got.on_time + got.late + got.refused, got.asked);
        sum.asked += got.asked;
        sum.on_time += got.on_time;
        sum.refused += got.refused;
        sum.preempted += got.preempted;
    }
    return sum;
}

/*
 * For five seconds twice as many callers come as usual. Their answers may be
 * 9,360 tokens long and are 5,000 on the whole. When the whole of what each
 * may take is set aside, engines are half empty while callers are sent away;
 * when too little is kept, engines preempt streams, which stop for a while.
 */
START_TEST(a_peak_is_served_on_time)
{
    struct fw_load_result sum = play_peak(FW_RL_POLICY_FULL);

    ck_assert_int_gt(sum.asked, 2000);
    ck_assert_msg(sum.on_time * 1000 >= sum.asked * FW_ON_TIME_PERMILLE,
                  "%d of %d on time, %d refused, %d preempted", sum.on_time,
                  sum.asked, sum.refused, sum.preempted);
    ck_assert_int_le(sum.preempted * 1000, sum.asked * FW_PREEMPTED_PERMILLE);
}
END_TEST

/*
 * What the policy gains: with engines chosen by their requests alone, or by
 * chance, memory runs out and engines preempt.
 */
START_TEST(the_policy_beats_its_baselines)
{
    struct fw_load_result full = play_peak(FW_RL_POLICY_FULL);
    struct fw_load_result least = play_peak(FW_RL_POLICY_LEAST_LOADED);
    struct fw_load_result chance = play_peak(FW_RL_POLICY_RANDOM);

    ck_assert_msg(full.on_time > least.on_time + FW_GAIN &&
                      full.on_time > chance.on_time + FW_GAIN,
                  "%d on time; by requests %d, by chance %d", full.on_time,
                  least.on_time, chance.on_time);
}
END_TEST

/*
 * A team sends one and a half times what the plain servers bear. They queue,
 * and when each queue is full every caller waits for the whole of it: all
 * answers come, and all of them late. Sent away at once, a third of the
 * callers can come back, and the others are served in time.
 */
START_TEST(crowded_servers_answer_in_time)
{
    struct fw_plain_load got;

    Fw_PlainLoad_Play(FW_CROWD_PER_S, FW_CROWD_MS, (uint32_t)_i + 1, &got);
    ck_assert_int_eq(got.on_time + got.late + got.refused, got.asked);
    /* Over five seeds, of 1,000: 98 on time without a bound, 682 with it. */
    ck_assert_msg(got.on_time * 1000 >= got.asked * 640,
                  "%d of %d on time, %d late, %d refused", got.on_time,
                  got.asked, got.late, got.refused);
    ck_assert_int_le(got.late * 1000, got.asked * 30);
}
END_TEST

/* Below what the servers bear nobody is sent away. */
START_TEST(servers_with_room_refuse_nobody)
{
    struct fw_plain_load got;

    Fw_PlainLoad_Play(FW_CALM_PER_S, FW_CROWD_MS, (uint32_t)_i + 1, &got);
    ck_assert_int_eq(got.refused, 0);
    ck_assert_int_eq(got.late, 0);
}
END_TEST

#define FW_SHAPES 8
#define FW_SHAPE_SEEDS 1
#define FW_PLAY_S 60
/* Times that a mean stream takes, before the burst. */
#define FW_CALM_STREAMS 2
/* Constants that are tried: parts of the most that may be generated. */
static const double parts[] = {0.15, 0.3, 0.5, 0.75, 1.0};
/* On time, of what the best of them reaches. */
#define FW_OF_BEST_PERMILLE 900
/* A constant knows of each answer that it is within a quarter of the most. */
#define FW_PART_DEVIATION 0.25
#define FW_EVENT_TOKENS 13.0

static double
between(GRand *rand, double low, double high)
{
    return low * exp(g_rand_double(rand) * log(high / low));
}

/* Engines, lengths, estimates and a peak beyond what engines bear. */
static void
draw_plan(uint32_t seed, struct fw_load_plan *p)
{
    GRand *rand = g_rand_new_with_seed(seed);
    struct fw_load_shape *h = &p->shape;
    double stream_s = between(rand, 2, 8);
    double bears;

    *p = (struct fw_load_plan){.readers = g_rand_int_range(rand, 2, 5),
                               .decoders = g_rand_int_range(rand, 2, 5),
                               .reserve_permille = 100};
    h->in = between(rand, 500, 8000);
    h->out = between(rand, 200, 5000);
    h->most_out = (int64_t)(h->out * between(rand, 1.5, 5));
    h->spread = between(rand, 0.2, 0.6);
    h->hint_spread = seed % 4 == 0 ? -1 : between(rand, 0.1, 1.5);
    h->speed = h->out / stream_s / 1000;
    h->kv_tokens =
        (int64_t)((h->in + h->out / 2) * between(rand, 6, 16)) + h->most_out;
    h->slots = g_rand_int_range(rand, 12, 96);
    bears = MIN((double)h->kv_tokens / (h->in + h->out / 2), h->slots) *
            p->decoders / stream_s;
    p->burst = between(rand, 1.5, 2.5);
    p->per_s = bears * between(rand, 0.9, 1.3) / p->burst;
    /* Reading is not what is short. */
    h->read_speed = bears * h->in / (0.4 * p->readers * 1000);
    /* Some answers have ended when the burst comes. */
    p->burst_ms = 5000 + (int64_t)(FW_CALM_STREAMS * stream_s * 1000);
    p->calm_ms = p->burst_ms + 6000;
    p->until_ms = p->calm_ms + 4000;
    g_rand_free(rand);
}

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

/* As if answers were a fixed part of the most, whatever was seen. */
static int
best_constant(struct fw_load_plan *p)
{
    int best = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        double most = (double)p->shape.most_out / FW_EVENT_TOKENS;
        struct fw_length_model fixed = {.n = 1e6,
                                        .mean_events = most * parts[i],
                                        .tokens_per_event = FW_EVENT_TOKENS};

        fixed.events_variance = pow(most * FW_PART_DEVIATION, 2);
        p->fixed = &fixed;
        best = MAX(best, on_time(p));
        p->fixed = NULL;
    }
    return best;
}

/*
 * A new customer's prompts, answers, estimates and engines are like nobody's
 * before. Figures that suit one load leave the engines of another half empty
 * or make them preempt what they run; callers are sent away or wait.
 */
START_TEST(a_load_like_no_other_is_served_as_by_its_best_constant)
{
    struct fw_load_plan plan;
    int learned;
    int best;

    draw_plan((uint32_t)_i + 1, &plan);
    learned = on_time(&plan);
    best = best_constant(&plan);
    ck_assert_int_gt(best, 0);
    ck_assert_msg(learned * 1000 >= best * FW_OF_BEST_PERMILLE,
                  "%d on time, %d with the best constant; in %g, out %g of "
                  "%d, memory %d, estimates %g",
                  learned, best, plan.shape.in, plan.shape.out,
                  (int)plan.shape.most_out, (int)plan.shape.kv_tokens,
                  plan.shape.hint_spread);
}
END_TEST

#define FW_MANY 200

static struct fw_relay *
large_fleet(void)
{
    struct fw_relay_opts opts = {.name = "n1", .retry_window_us = 1};
    struct fw_relay *r = Fw_Relay_New(&opts, FW_SEC);
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_service_rule *service = Fw_Rules_AddService(rules);
    struct fw_rl_acts acts;

    rules->version = 1;
    g_strlcpy(service->name, "llm", sizeof(service->name));
    service->engines = 1;
    service->engine =
        (struct fw_rl_engine_spec){.slots = 48, .kv_tokens = 100000};
    Fw_Acts_Init(&acts);
    Fw_Relay_Rules(r, rules, 1, FW_SEC, &acts);
    Fw_Rules_Unref(rules);
    for (int i = 0; i < FW_MANY; i++) {
        struct fw_rl_server_entry e = {.slots = 48,
                                       .stage = FW_RL_STAGE_DECODE};

        g_snprintf(e.id, sizeof(e.id), "e%d", i);
        g_snprintf(e.addr, sizeof(e.addr), "e%d:1", i);
        g_strlcpy(e.service, "llm", sizeof(e.service));
        Fw_Relay_Server(r, e.id, &e, FW_SEC, &acts);
    }
    Fw_Acts_Clear(&acts);
    return r;
}

/*
 * A fleet has more engines than a list of them that was once long enough.
 * With the first of them only, those are overloaded and the others idle.
 */
START_TEST(all_engines_of_a_large_fleet_are_used)
{
    struct fw_rl_call c = {.service = "llm", .need = 1000};
    struct fw_relay *r = large_fleet();
    GHashTable *used = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (int i = 0; i < FW_MANY * 20; i++) {
        g_hash_table_add(used, Fw_Place_Decode(r, &c, FW_SEC));
    }
    ck_assert_uint_eq(g_hash_table_size(used), FW_MANY);
    g_hash_table_destroy(used);
    Fw_Relay_Free(r);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay load");

    tcase_add_test(tc, a_peak_is_served_on_time);
    tcase_add_test(tc, the_policy_beats_its_baselines);
    tcase_add_loop_test(tc,
                        a_load_like_no_other_is_served_as_by_its_best_constant,
                        0, FW_SHAPES);
    tcase_add_test(tc, all_engines_of_a_large_fleet_are_used);
    tcase_add_loop_test(tc, crowded_servers_answer_in_time, 0, 5);
    tcase_add_loop_test(tc, servers_with_room_refuse_nobody, 0, 5);
    return Fw_Suite_Run(tc);
}
