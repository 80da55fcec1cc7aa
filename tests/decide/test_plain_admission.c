/* Admission of plain calls by instances that decide alone. */
#include <check.h>
#include <glib.h>

#include "base/limits.h"
#include "decide/plain_admission.h"
#include "tests/base/suite.h"
#include "tests/decide/plain_play.h"

#define FW_SEEDS 3
#define FW_PLAY_TIMEOUT_S 60

static const struct fw_play_calls kinds[] = {
    {.work_ms = 30, .objective_ms = 150, .deadline_ms = 2500},
    {.work_ms = 15, .objective_ms = 120, .deadline_ms = 600},
};

/**
 * struct burst_case - a play and what the rule must do for its callers.
 * @gain_permille: callers answered in time, at least, relative to a bound on
 *     the queues
 * @twice_permille: callers rejected twice, at most, relative to it
 * @idle_permille: slots free, at most, while calls are rejected
 */
struct burst_case {
    struct fw_plain_play play;
    int gain_permille;
    int twice_permille;
    int idle_permille;
};

#define FW_BURST .burst = 2.3, .burst_ms = 3000

static const struct burst_case bursts[] = {
    {{"5", .instances = 5, .age_ms = 75, FW_BURST}, 1080, 1000, 20},
    {{"75", .instances = 75, .age_ms = 150, FW_BURST}, 1040, 1150, 20},
    {{"300", .instances = 300, .age_ms = 150, FW_BURST}, 1060, 1150, 20},
    {{"300 late", .instances = 300, .age_ms = 600, FW_BURST}, 1050, 1050, 120},
    {{"3.5 times", .instances = 75, .age_ms = 150, .burst = 3.5,
      .burst_ms = 3000},
     1120,
     1000,
     20},
    {{"slow server", .instances = 75, .age_ms = 150, FW_BURST, .slow = 4},
     1010,
     1050,
     20},
    {{"slow server known", .instances = 75, .age_ms = 150, FW_BURST, .slow = 4,
      .knows_speed = 1},
     1030,
     1050,
     60},
    {{"slow server, late", .instances = 300, .age_ms = 600, FW_BURST,
      .slow = 4},
     1050,
     1000,
     60},
    {{"half are killed", .instances = 75, .age_ms = 150, FW_BURST, .kills = 1},
     1040,
     1150,
     20},
    {{"crowd", .instances = 75, .age_ms = 150, FW_BURST, .crowd = 0.6},
     1060,
     1000,
     20},
    {{"after an outage", .instances = 75, .age_ms = 150, .burst = 2.3,
      .burst_ms = 1000, .outage_ms = 1000},
     1010,
     1100,
     20},
    {{"chosen by load", .instances = 75, .age_ms = 150, FW_BURST,
      .by_load = 1},
     1050,
     1300,
     60},
    {{"undeclared", .instances = 75, .age_ms = 150, FW_BURST,
      .is_undeclared = 1},
     1000,
     950,
     20},
    {{"undeclared, slow server", .instances = 75, .age_ms = 150, FW_BURST,
      .is_undeclared = 1, .slow = 4},
     950,
     1000,
     20},
    {{"lost, 5", .instances = 5, FW_BURST}, 990, 1050, 20},
    {{"lost, 75", .instances = 75, FW_BURST}, 960, 1200, 20},
};

static void
play(const struct fw_plain_play *p, int forecast,
     const struct fw_play_calls *k, struct fw_play_result *sum)
{
    int idle = 0;

    *sum = (struct fw_play_result){0};
    for (uint32_t seed = 1; seed <= FW_SEEDS; seed++) {
        struct fw_plain_play run = *p;

        run.forecast = forecast;
        run.seed = seed;
        Fw_PlainPlay_Run(&run, k, sum);
        idle += sum->idle_permille;
    }
    sum->idle_permille = idle / FW_SEEDS;
}

/*
 * Guards against queues that make calls late, slots that stay free while
 * calls are rejected, and callers who are rejected again.
 */
START_TEST(a_burst_is_answered_in_time)
{
    const struct burst_case *t = &bursts[_i];

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct fw_play_result old;
        struct fw_play_result now;

        play(&t->play, 0, &kinds[i], &old);
        play(&t->play, 1, &kinds[i], &now);
        ck_assert_msg(
            now.in_time * 1000 >= old.in_time * t->gain_permille &&
                now.rejected_twice * 1000 <=
                    old.rejected_twice * t->twice_permille &&
                now.idle_permille <= t->idle_permille,
            "%s, %d ms: %d asked, in time %d (%d), late %d (%d), rejected %d "
            "(%d), twice %d (%d), idle %d",
            t->play.name, kinds[i].work_ms, now.asked, now.in_time,
            old.in_time, now.late, old.late, now.rejected, old.rejected,
            now.rejected_twice, old.rejected_twice, now.idle_permille);
    }
}
END_TEST

/* Over all plays fewer callers are rejected twice than by bounded queues. */
START_TEST(fewer_callers_are_rejected_twice)
{
    int twice[2] = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(bursts); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++) {
            for (int forecast = 0; forecast < 2; forecast++) {
                struct fw_play_result got;

                play(&bursts[i].play, forecast, &kinds[k], &got);
                twice[forecast] += got.rejected_twice;
            }
        }
    }
    ck_assert_int_lt(twice[1], twice[0]);
}
END_TEST

static const struct fw_plain_play normal[] = {
    {"5", .instances = 5, .age_ms = 75, .burst = 1, .burst_ms = 3000},
    {"75", .instances = 75, .age_ms = 150, .burst = 1, .burst_ms = 3000},
    {"300", .instances = 300, .age_ms = 600, .burst = 1, .burst_ms = 3000},
    {"lost", .instances = 75, .burst = 1, .burst_ms = 3000},
};

/* At half of the servers' capacity nobody must notice the rule. */
START_TEST(normal_load_is_not_rejected)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct fw_play_result old;
        struct fw_play_result now;

        play(&normal[_i], 0, &kinds[i], &old);
        play(&normal[_i], 1, &kinds[i], &now);
        ck_assert_msg(now.rejected * 1000 <= now.asked &&
                          now.rejected_twice == 0 &&
                          now.in_time * 1000 >= old.in_time * 998,
                      "%s: %d asked, in time %d (%d), rejected %d, twice %d",
                      normal[_i].name, now.asked, now.in_time, old.in_time,
                      now.rejected, now.rejected_twice);
    }
}
END_TEST

/* Ages of the views; twelve seconds show whether the backlog settles. */
static const int ages_ms[] = {75, 150, 600};

/* Guards against a fleet that in turn admits all calls and none. */
START_TEST(the_backlog_does_not_oscillate)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct fw_plain_play p = {.forecast = 1,
                                  .instances = 300,
                                  .age_ms = ages_ms[_i],
                                  .burst = 2.3,
                                  .burst_ms = 12000,
                                  .seed = 3};
        struct fw_play_result got = {0};

        Fw_PlainPlay_Run(&p, &kinds[i], &got);
        ck_assert_msg(
            got.low_permille >= 120 && got.high_permille <= 950 &&
                got.idle_permille <= (ages_ms[_i] > 150 ? 150 : 25),
            "%d ms, views of %d ms: between %d and %d of 1000 places, idle "
            "%d",
            kinds[i].work_ms, p.age_ms, got.low_permille, got.high_permille,
            got.idle_permille);
    }
}
END_TEST

static const struct fw_plain_servers full = {.running = 60,
                                             .slots = 18,
                                             .completions = 600,
                                             .asked = 900,
                                             .age_us = 150 * FW_MSEC,
                                             .instances = 75};
static const struct fw_plain_server full_server = {
    .running = 20, .slots = 6, .service_us = 30 * FW_MSEC, .speed = 1};
static const struct fw_plain_call call = {
    .objective_us = 150 * FW_MSEC, .left_us = 2500 * FW_MSEC, .asked = 900};

/** struct decide_case - one decision. */
struct decide_case {
    const char *name;
    int running;
    int64_t left_us;
    int64_t spent_us;
    int is_repeat;
    double asked;
    double asked_before;
    double chance;
    enum fw_plain_verdict verdict;
};

#define FW_LEFT (2500 * FW_MSEC)

static const struct decide_case decisions[] = {
    {"a free slot", 5, FW_LEFT, 0, 0, 9000, 0, 0.99, FW_PLAIN_ADMIT},
    {"a repeat, free slot", 5, FW_LEFT, 0, 1, 9000, 0, 0.99, FW_PLAIN_ADMIT},
    {"below capacity", 12, FW_LEFT, 0, 0, 500, 0, 0.99, FW_PLAIN_ADMIT},
    {"above capacity", 20, FW_LEFT, 0, 0, 900, 0, 0.9, FW_PLAIN_OVER_RATE},
    {"part of them", 20, FW_LEFT, 0, 0, 900, 0, 0.3, FW_PLAIN_ADMIT},
    {"more urgent ones", 20, FW_LEFT, 0, 0, 900, 700, 0.0, FW_PLAIN_OVER_RATE},
    {"a repeat, queue", 20, FW_LEFT, 0, 1, 900, 0, 0.0, FW_PLAIN_LATE},
    {"late anyway", 20, FW_LEFT, 140 * FW_MSEC, 0, 900, 0, 0.0, FW_PLAIN_LATE},
    {"past its deadline", 20, 90 * FW_MSEC, 0, 0, 100, 0, 0.0,
     FW_PLAIN_NO_TIME},
    {"demand of others unknown", 26, FW_LEFT, 0, 0, 10, 0, 0.95,
     FW_PLAIN_OVER_RATE},
    {"beyond the objective", 60, FW_LEFT, 0, 0, 10, 0, 0.0, FW_PLAIN_CROWDED},
};

START_TEST(calls_are_decided)
{
    const struct decide_case *t = &decisions[_i];
    struct fw_plain_admission a = {0};
    struct fw_plain_servers all = full;
    struct fw_plain_server s = full_server;
    struct fw_plain_call c = call;
    struct fw_plain_decision got;

    all.asked = t->asked + t->asked_before;
    s.running = t->running;
    c.left_us = t->left_us;
    c.spent_us = t->spent_us;
    c.is_repeat = t->is_repeat;
    c.asked = t->asked;
    c.asked_before = t->asked_before;
    Fw_PlainAdmission_Decide(&a, &all, &s, &c, t->chance, &got);
    ck_assert_msg(got.verdict == t->verdict, "%s: %d, probability %f", t->name,
                  got.verdict, got.probability);
}
END_TEST

/* An isolated instance must not send more than its share into full queues. */
START_TEST(an_isolated_instance_uses_its_share)
{
    struct fw_plain_admission a = {0};
    struct fw_plain_servers all = full;
    struct fw_plain_server s = full_server;
    struct fw_plain_decision got;
    int admitted = 0;

    all.is_isolated = 1;
    s.response_us = 200 * FW_MSEC;
    for (int64_t now = FW_SEC; now < 11 * FW_SEC; now += 10 * FW_MSEC) {
        Fw_PlainAdmission_Refill(&a, &all, now);
        Fw_PlainAdmission_Decide(&a, &all, &s, &call, 0, &got);
        if (got.verdict == FW_PLAIN_ADMIT) {
            Fw_PlainAdmission_NoteAdmitted(&a);
            admitted++;
        }
    }
    ck_assert_int_ge(admitted, 78); /* 600 a second by 75 instances */
    ck_assert_int_le(admitted, 85);
}
END_TEST

/* A caller must keep time for its retry, and retries must not coincide. */
START_TEST(retries_leave_time_and_are_spread)
{
    struct fw_plain_admission a = {0};
    struct fw_plain_call c = call;
    int64_t first = 0;

    for (int i = 0; i < 100; i++) {
        int64_t us =
            Fw_PlainAdmission_RetryUs(&a, &full, &c, i / 100.0, FW_SEC);

        ck_assert_int_gt(us, 0);
        ck_assert_int_le(us * 3, c.left_us);
        first = i ? first : us;
        ck_assert_int_ge(us, first);
    }
    ck_assert_int_lt(first * 3, c.left_us * 3 / 4);
    c.left_us = 30 * FW_MSEC;
    ck_assert_int_eq(Fw_PlainAdmission_RetryUs(&a, &full, &c, 0, FW_SEC), 0);
}
END_TEST

/* Callers come back soon when servers have room, later behind others. */
START_TEST(retries_follow_the_room)
{
    struct fw_plain_admission a = {0};
    struct fw_plain_servers all = full;
    int64_t soon;
    int64_t later;

    all.asked = 300;
    Fw_PlainAdmission_NoteCall(&a, FW_SEC);
    soon = Fw_PlainAdmission_RetryUs(&a, &all, &call, 0.5, FW_SEC);
    ck_assert_int_lt(soon, 200 * FW_MSEC);
    Fw_PlainAdmission_NoteRetry(&a, 300 * FW_MSEC, FW_SEC);
    later = Fw_PlainAdmission_RetryUs(&a, &all, &call, 0.5, FW_SEC);
    ck_assert_int_gt(later, soon);
    ck_assert_int_eq(
        Fw_PlainAdmission_RetryUs(&a, &all, &call, 0.5, 3 * FW_SEC), soon);
}
END_TEST

/* A minority with other times must not pass for repeats' first attempts. */
START_TEST(a_shorter_time_shows_a_repeat)
{
    struct fw_declared_time d = {0};

    for (int i = 0; i < 20; i++) {
        ck_assert_int_eq(Fw_DeclaredTime_Note(&d, 600 * FW_MSEC), 0);
    }
    ck_assert_int_ne(Fw_DeclaredTime_Note(&d, 430 * FW_MSEC), 0);
    ck_assert_int_eq(Fw_DeclaredTime_Note(&d, 900 * FW_MSEC), 0);
    ck_assert_int_eq(Fw_DeclaredTime_Note(&d, 0), 0);
    for (int i = 0; i < 40; i++) { /* no time is usual */
        Fw_DeclaredTime_Note(&d, (100 + i) * FW_MSEC);
    }
    ck_assert_int_eq(Fw_DeclaredTime_Note(&d, 50 * FW_MSEC), 0);
}
END_TEST

/* A few long calls must not make the servers look slow. */
START_TEST(a_long_call_hardly_changes_the_slot_time)
{
    struct fw_plain_admission a = {0};

    ck_assert(Fw_PlainAdmission_SlotUs(&a) > 0);
    for (int i = 0; i < 40; i++) {
        Fw_PlainAdmission_NoteSlotTime(&a, 30 * FW_MSEC);
    }
    Fw_PlainAdmission_NoteSlotTime(&a, 3000 * FW_MSEC);
    ck_assert(Fw_PlainAdmission_SlotUs(&a) < 32.0 * FW_MSEC);
    for (int i = 0; i < 150; i++) {
        Fw_PlainAdmission_NoteSlotTime(&a, 120 * FW_MSEC);
    }
    ck_assert(Fw_PlainAdmission_SlotUs(&a) > 110.0 * FW_MSEC);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("admission of plain calls");

    tcase_set_timeout(tc, FW_PLAY_TIMEOUT_S);
    tcase_add_loop_test(tc, a_burst_is_answered_in_time, 0,
                        G_N_ELEMENTS(bursts));
    tcase_add_test(tc, fewer_callers_are_rejected_twice);
    tcase_add_loop_test(tc, normal_load_is_not_rejected, 0,
                        G_N_ELEMENTS(normal));
    tcase_add_loop_test(tc, the_backlog_does_not_oscillate, 0,
                        G_N_ELEMENTS(ages_ms));
    tcase_add_loop_test(tc, calls_are_decided, 0, G_N_ELEMENTS(decisions));
    tcase_add_test(tc, an_isolated_instance_uses_its_share);
    tcase_add_test(tc, retries_leave_time_and_are_spread);
    tcase_add_test(tc, retries_follow_the_room);
    tcase_add_test(tc, a_shorter_time_shows_a_repeat);
    tcase_add_test(tc, a_long_call_hardly_changes_the_slot_time);
    return Fw_Suite_Run(tc);
}
