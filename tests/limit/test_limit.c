/* Limits of teams, also under failures. Team large has 1000 tokens per second
 * and a burst of 5000, team small 40 and 400. */
#include <check.h>
#include <glib.h>

#include "limit/bucket.h"
#include "tests/base/suite.h"
#include "tests/fleet/fleet_script.h"

#define START_SIX                                                             \
    "start 1\nstart 2\nstart 3\nstart 4\nstart 5\nstart 6\nrun 15000\n"

static const struct fleet_script scripts[] = {
    /* A request must wait for the first leader instead of being refused. */
    {"fresh fleet", 6, "start 1\nstart 2\nrun 50\nask 1 large 300\n",
     "1 large 300 granted\n"},
    {"alone", 1, "start 1\nask 1 large 5000\nrun 1000\nask 1 large 900\n",
     "1 large 5000 granted\n1 large 900 granted\n"},
    /* A request above the burst must get no retry time, one of the whole burst
     * must be granted, and after it the retry time must be exact. */
    {"burst and wait", 6,
     START_SIX
     "ask 5 large 5001\nask 5 large 5000\nask 6 large 1000\nrun 1000\n"
     "ask 6 large 1000\n",
     "5 large 5001 refused, retry after 0.0 s\n"
     "5 large 5000 granted\n"
     "6 large 1000 refused, retry after 1.0 s\n"
     "6 large 1000 granted\n"},
    /* A duplicated return must count once. */
    {"refund once", 6,
     START_SIX "ask 1 small 400\nrun 1000\ndouble 100\nrefund 1 small 100\n"
               "run 2000\nask 3 small 230\nrun 100\nask 3 small 200\n",
     "1 small 400 granted\n"
     "3 small 230 refused, retry after 0.2 s\n"
     "3 small 200 granted\n"},
    /* After the leader's death the followers must still grant three quarters
     * of the team's tokens until a new leader may act. */
    {"leader killed", 6,
     START_SIX
     "kill 6\nask 5 large 500\nask 1 large 500\nrun 3000\n"
     "ask 5 large 500\nrun 10000\nask 1 large 500\nask 5 large 3500\n"
     "run 25000\nrole\nask 1 large 100\nrun 10000\nrole\nask 1 large 5000\n",
     "5 large 500 granted\n"
     "1 large 500 granted\n"
     "5 large 500 granted\n"
     "1 large 500 granted\n"
     "5 large 3500 refused, retry after 0.2 s\n"
     "role: n2 acts\n"
     "1 large 100 granted\n"
     "role: n2 acts\n"
     "1 large 5000 granted\n"},
    /* Without the log no leases are granted, but those in use must still be
     * spent, also by grants to peers. */
    {"log down", 6,
     START_SIX
     "log down\nrun 10000\nask 5 large 2000\nask 6 large 3000\nrun 2000\n"
     "ask 5 large 1900\n",
     "5 large 2000 granted\n6 large 3000 granted\n5 large 1900 granted\n"},
    /* Once the leases have expired requests must be refused, and granted again
     * when the log is back. */
    {"log down past the term", 6,
     START_SIX "log down\nrun 60000\nask 5 large 100\nask 6 small 1\nlog up\n"
               "run 8000\nask 5 large 100\nask 6 small 1\n",
     "5 large 100 refused, retry after 0.1 s\n"
     "6 small 1 refused, retry after 0.0 s\n"
     "5 large 100 granted\n"
     "6 small 1 granted\n"},
    /* After a handover the successor must grant the whole burst without a
     * wait. */
    {"leader leaves", 6,
     START_SIX "drain 6\nrun 300\nask 5 large 400\nrun 3000\nkill 6\n"
               "ask 1 large 5000\nrun 5100\nask 5 large 5000\n",
     "5 large 400 granted\n1 large 5000 granted\n5 large 5000 granted\n"},
    /* A leader paused for longer than its leases last must not spend its
     * unleased tokens when it continues. */
    {"leader stalls", 6,
     START_SIX "pause 6 50000\nrun 49995\nask 5 large 5000\nrun 10\n"
               "ask 6 large 2000\nrun 3000\nask 6 large 2000\n",
     "5 large 5000 refused, retry after 2.2 s\n"
     "6 large 2000 granted\n"
     "6 large 2000 granted\n"},
    /* A lowered rate must reduce full buckets everywhere within a second. */
    {"rate lowered", 6,
     START_SIX
     "rate large 100 500\nrun 1500\nask 5 large 501\nask 5 large 500\n"
     "ask 6 large 100\nrun 30000\nask 6 large 500\n",
     "5 large 501 refused, retry after 0.0 s\n"
     "5 large 500 refused, retry after 1.2 s\n"
     "6 large 100 granted\n"
     "6 large 500 granted\n"},
    {"rate raised", 6,
     START_SIX
     "rate large 2000 20000\nrun 30000\nask 5 large 20000\nrun 1000\n"
     "ask 5 large 1900\n",
     "5 large 20000 granted\n5 large 1900 granted\n"},
    /* Two halves of a network partition must not spend the same tokens. */
    {"split", 4,
     "start 1\nstart 2\nstart 3\nstart 4\nrun 15000\ncut 1 3\ncut 1 4\n"
     "cut 2 3\ncut 2 4\nrun 10000\nask 1 large 2500\nask 3 large 2500\n"
     "ask 1 large 2500\nask 3 large 2500\n",
     "1 large 2500 granted\n"
     "3 large 2500 granted\n"
     "1 large 2500 refused, retry after 2.5 s\n"
     "3 large 2500 refused, retry after 2.5 s\n"},
};

START_TEST(limit_script_prints_expected_output)
{
    Fw_FleetScript_Check(&scripts[_i]);
}
END_TEST

/* The capacity of tokens granted to a peer must not refill before the peer has
 * spent them, else it could be spent twice. */
START_TEST(reserved_capacity_is_not_refilled)
{
    struct fw_bucket b = {.rate = 1000, .burst = 1000};

    Fw_Bucket_Put(&b, 1000 * FW_MICROTOKENS_PER_TOKEN, 0);
    ck_assert_int_eq(Fw_Bucket_Take(&b, 400, 1, 0), 400);
    Fw_Bucket_Refill(&b, FW_RESERVATION_US - 1);
    ck_assert_int_eq(b.level / FW_MICROTOKENS_PER_TOKEN, 600);
    Fw_Bucket_Refill(&b, 3 * FW_RESERVATION_US);
    ck_assert_int_eq(b.level / FW_MICROTOKENS_PER_TOKEN, 1000);
}
END_TEST

START_TEST(cancelled_reservation_refills_the_bucket)
{
    struct fw_bucket b = {.rate = 0, .burst = 100};

    Fw_Bucket_Put(&b, 100 * FW_MICROTOKENS_PER_TOKEN, 0);
    ck_assert_int_eq(Fw_Bucket_Take(&b, 70, 1, 0), 70);
    Fw_Bucket_Cancel(&b, 70, 1);
    ck_assert_int_eq(b.level / FW_MICROTOKENS_PER_TOKEN, 100);
    ck_assert_int_eq(Fw_Bucket_Put(&b, FW_MICROTOKENS_PER_TOKEN, 2), 0);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("limit");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, limit_script_prints_expected_output, 0,
                        G_N_ELEMENTS(scripts));
    tcase_add_test(tc, reserved_capacity_is_not_refilled);
    tcase_add_test(tc, cancelled_reservation_refills_the_bucket);
    return Fw_Suite_Run(tc);
}
