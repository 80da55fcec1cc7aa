/* What callers of plain services get from a fleet in overload. */
#include <check.h>
#include <glib.h>

#include "tests/base/suite.h"
#include "tests/relay/plain_fleet.h"
#include "tests/relay/script.h"

#define FW_SEEDS 2
#define FW_PLAY_TIMEOUT_S 60

static void
play(const struct fw_fleet_plan *plan, int forecast,
     struct fw_fleet_result *sum)
{
    *sum = (struct fw_fleet_result){0};
    for (uint32_t seed = 1; seed <= FW_SEEDS; seed++) {
        struct fw_fleet_plan p = *plan;

        p.forecast = forecast;
        p.seed = seed;
        Fw_PlainFleet_Play(&p, sum);
    }
}

#define FW_TILLS .work_ms = 30, .objective_ms = 150, .deadline_ms = 2500
#define FW_CLINIC .work_ms = 15, .objective_ms = 120, .deadline_ms = 600

/**
 * struct burst_case - a play, and what the forecast must do for its callers
 * relative to a bound on the queues.
 * @gain_permille: answers in time, at least
 * @late_permille: late answers, at most
 * @twice_permille: callers rejected twice, at most
 */
struct burst_case {
    struct fw_fleet_plan plan;
    int gain_permille;
    int late_permille;
    int twice_permille;
};

static const struct burst_case bursts[] = {
    {{.instances = 12, FW_TILLS, .burst = 2.3}, 1100, 500, 1050},
    {{.instances = 12, FW_CLINIC, .burst = 2.3}, 1100, 200, 1200},
    {{.instances = 5, FW_TILLS, .burst = 3}, 1150, 700, 1000},
    {{.instances = 5, FW_CLINIC, .burst = 3}, 1100, 400, 1100},
    {{.instances = 12, FW_TILLS, .burst = 2.3, .slow = 4}, 1000, 1050, 1050},
    {{.instances = 12, FW_CLINIC, .burst = 2.3, .slow = 4}, 1100, 500, 1150},
    {{.instances = 12, FW_TILLS, .burst = 2.3, .cut_off = 1}, 950, 1000, 1250},
    {{.instances = 12, FW_CLINIC, .burst = 2.3, .cut_off = 1},
     950,
     1100,
     1250},
};

/*
 * Guards against queues that make calls late, a Retry-After that leaves the
 * caller no time, and a call that runs though it was rejected.
 */
START_TEST(a_burst_is_answered_in_time)
{
    const struct burst_case *t = &bursts[_i];
    struct fw_fleet_result old;
    struct fw_fleet_result now;

    play(&t->plan, 0, &old);
    play(&t->plan, 1, &now);
    ck_assert_msg(
        now.in_time[0] * 1000 >= old.in_time[0] * t->gain_permille &&
            now.late[0] * 1000 <= old.late[0] * t->late_permille &&
            now.rejected_twice[0] * 1000 <=
                old.rejected_twice[0] * t->twice_permille,
        "asked %d, in time %d (%d), late %d (%d), rejected %d (%d), twice %d "
        "(%d)",
        now.asked[0], now.in_time[0], old.in_time[0], now.late[0], old.late[0],
        now.rejected[0], old.rejected[0], now.rejected_twice[0],
        old.rejected_twice[0]);
    ck_assert_int_eq(now.too_late, 0);
    ck_assert_int_eq(now.ran_twice, 0);
}
END_TEST

/* At half of the servers' capacity nothing may be rejected, and next to
 * nothing late. */
START_TEST(normal_load_is_served)
{
    struct fw_fleet_plan p = {.instances = 12, FW_TILLS, .burst = 1};
    struct fw_fleet_result got;

    p.cut_off = _i;
    play(&p, 1, &got);
    ck_assert_int_eq(got.rejected[0], 0);
    ck_assert_int_ge(got.in_time[0] * 1000, got.asked[0] * 999);
}
END_TEST

/* In overload the calls of the more urgent rank go first. */
START_TEST(urgent_calls_go_first)
{
    struct fw_fleet_plan p = {
        .instances = 12, FW_TILLS, .burst = 3, .urgent_permille = 300};
    struct fw_fleet_result old;
    struct fw_fleet_result got;

    play(&p, 0, &old);
    play(&p, 1, &got);
    ck_assert_msg(got.in_time[1] * 100 >= old.in_time[1] * 140 &&
                      got.in_time[1] * 100 >= got.asked[1] * 85 &&
                      got.rejected[1] * 100 <= got.asked[1] * 6,
                  "urgent: asked %d, in time %d (%d), rejected %d (%d)",
                  got.asked[1], got.in_time[1], old.in_time[1],
                  got.rejected[1], old.rejected[1]);
    ck_assert_int_gt(got.rejected[0] * 100, got.asked[0] * 20);
}
END_TEST

static const struct fw_relay_script scripts[] = {
    /* Guards against callers turned away while nothing is known. */
    {.name = "the first calls are sent though no load is known",
     .text = "options forecast=1\n"
             "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "open 2 /order/x key=ka left_ms=400\n"
             "  ask 2 run s1 for 2 team=a left=400\n"
             "answer 2 200\n"
             "  pass 2 from 2\n"
             "  finish 2\n"
             "  stop 2\n"},
    {.name = "a call that its server rejects goes elsewhere",
     .text = "options forecast=1\n"
             "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "server s2 plain none\n"
             "answer 1 503 not-run\n"
             "  ask 2 run s2 for 1 team=a left=10000\n"
             "answer 2 200\n"
             "  pass 1 from 2\n"
             "  finish 1\n"
             "  stop 2\n"},
    /* Guards against "not run" for a call that may have run. */
    {.name = "a call that may have run is not said not to have",
     .text = "options forecast=1\n"
             "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 104 sent\n"
             "  refuse 1 502 upstream_lost ran=maybe\n"},
    /* Guards against a stream's caller who is asked to retry too late. */
    {.name = "a stream's Retry-After is a third of its time at most",
     .text = "options forecast=1 queue_ms=1\n"
             "rules 1\n"
             "fresh 0\n"
             "open 1 /gen/x key=ka in=100 out=50 left_ms=120\n"
             "at 2\n"
             "tick\n"
             "  refuse 1 503 no_room ran=no at-once\n"
             "open 2 /gen/x key=ka in=100 out=50 left_ms=5000\n"
             "at 4\n"
             "tick\n"
             "  refuse 2 503 no_room ran=no later\n"},
    /* Eight calls at four slots: five would be before it, 30 ms each. */
    {.name = "a call that can't be answered in time is rejected at once",
     .text = "options forecast=1\n"
             "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "open 2 /order/x key=ka\n"
             "  ask 2 run s1 for 2 team=a left=10000\n"
             "open 3 /order/x key=ka\n"
             "  ask 3 run s1 for 3 team=a left=10000\n"
             "open 4 /order/x key=ka\n"
             "  ask 4 run s1 for 4 team=a left=10000\n"
             "open 5 /order/x key=ka\n"
             "  ask 5 run s1 for 5 team=a left=10000\n"
             "open 6 /order/x key=ka\n"
             "  ask 6 run s1 for 6 team=a left=10000\n"
             "open 7 /order/x key=ka\n"
             "  ask 7 run s1 for 7 team=a left=10000\n"
             "open 8 /order/x key=ka\n"
             "  ask 8 run s1 for 8 team=a left=10000\n"
             "logs\n"
             "open 9 /order/x key=ka left_ms=20\n"
             "  4 refused \"id\":\"9\",\"route\":\"plain\","
             "\"team\":\"a\",\"status\":503,\"reason\":\"no_time\","
             "\"ran\":\"no\",\"cost\":200,\"tries\":0,"
             "\"after_ms\":0,\"retry_ms\":0,\"wait_ms\":37\n"
             "  refuse 9 503 no_time ran=no\n"},
};

START_TEST(scripts_match)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("admission of plain calls by a fleet");

    tcase_set_timeout(tc, FW_PLAY_TIMEOUT_S);
    tcase_add_loop_test(tc, a_burst_is_answered_in_time, 0,
                        G_N_ELEMENTS(bursts));
    tcase_add_loop_test(tc, normal_load_is_served, 0, 2);
    tcase_add_test(tc, urgent_calls_go_first);
    tcase_add_loop_test(tc, scripts_match, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
