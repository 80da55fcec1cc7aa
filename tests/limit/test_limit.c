/* Budgets: what is granted in sum, and what still is when things fail. Team
 * large has 1000 tokens a second and a burst of 5000, small 40 and 400. */
#include <check.h>
#include <glib.h>

#include "limit/bucket.h"
#include "tests/base/suite.h"
#include "tests/fleet/play.h"

#define ALL "start 1\nstart 2\nstart 3\nstart 4\nstart 5\nstart 6\nrun 15000\n"

static const struct fleet_script plays[] = {
    /* The first request comes before the fleet has a leader. It waits for
     * one instead of being refused. */
    {"fresh fleet", 6, "start 1\nstart 2\nrun 50\nask 1 large 300\n",
     "1 large 300 granted\n"},
    {"alone", 1, "start 1\nask 1 large 5000\nrun 1000\nask 1 large 900\n",
     "1 large 5000 granted\n1 large 900 granted\n"},
    /* A request larger than the burst can never pass, so the caller is not
     * told to come back. One as large as the burst is put together from all
     * places. Then the team is empty, and the wait that is told is true. */
    {"burst and wait", 6,
     ALL "ask 5 large 5001\nask 5 large 5000\nask 6 large 1000\nrun 1000\n"
         "ask 6 large 1000\n",
     "5 large 5001 refused, retry after 0.0 s\n"
     "5 large 5000 granted\n"
     "6 large 1000 refused, retry after 1.0 s\n"
     "6 large 1000 granted\n"},
    /* A request ended early and gives back what it did not use. The network
     * doubles each message; the tokens come back once all the same. */
    {"refund once", 6,
     ALL "ask 1 small 400\nrun 1000\ndouble 100\nrefund 1 small 100\n"
         "run 2000\nask 3 small 230\nrun 100\nask 3 small 200\n",
     "1 small 400 granted\n"
     "3 small 230 refused, retry after 0.2 s\n"
     "3 small 200 granted\n"},
    /* The leader is killed. Until another may lead, the others spend their
     * parts, and the team notices nothing below three quarters. */
    {"leader killed", 6,
     ALL
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
    /* The log is down for longer than a read stays fresh. Nobody may grant
     * leases; those that live are spent, also from one to the other. */
    {"log down", 6,
     ALL "log down\nrun 10000\nask 5 large 2000\nask 6 large 3000\nrun 2000\n"
         "ask 5 large 1900\n",
     "5 large 2000 granted\n6 large 3000 granted\n5 large 1900 granted\n"},
    /* The log stays down until the leases have lapsed. The team is refused
     * then, and again granted to when the log is back. */
    {"log down past the term", 6,
     ALL "log down\nrun 60000\nask 5 large 100\nask 6 small 1\nlog up\n"
         "run 8000\nask 5 large 100\nask 6 small 1\n",
     "5 large 100 refused, retry after 0.1 s\n"
     "6 small 1 refused, retry after 0.0 s\n"
     "5 large 100 granted\n"
     "6 small 1 granted\n"},
    /* The leader leaves and hands over what it has and what it gave out. Its
     * successor need not wait, and the whole burst is there at once. */
    {"leader leaves", 6,
     ALL "drain 6\nrun 300\nask 5 large 400\nrun 3000\nkill 6\n"
         "ask 1 large 5000\nrun 5100\nask 5 large 5000\n",
     "5 large 400 granted\n1 large 5000 granted\n5 large 5000 granted\n"},
    /* The leader stalls for longer than its leases live and asks for itself
     * as soon as it goes on. Its own tokens are void by then. */
    {"leader stalls", 6,
     ALL "pause 6 50000\nrun 49995\nask 5 large 5000\nrun 10\n"
         "ask 6 large 2000\nrun 3000\nask 6 large 2000\n",
     "5 large 5000 refused, retry after 2.2 s\n"
     "6 large 2000 granted\n"
     "6 large 2000 granted\n"},
    /* The rate is lowered while the team is full. What is held everywhere
     * is cut within a second of the change. */
    {"rate lowered", 6,
     ALL "rate large 100 500\nrun 1500\nask 5 large 501\nask 5 large 500\n"
         "ask 6 large 100\nrun 30000\nask 6 large 500\n",
     "5 large 501 refused, retry after 0.0 s\n"
     "5 large 500 refused, retry after 1.2 s\n"
     "6 large 100 granted\n"
     "6 large 500 granted\n"},
    {"rate raised", 6,
     ALL "rate large 2000 20000\nrun 30000\nask 5 large 20000\nrun 1000\n"
         "ask 5 large 1900\n",
     "5 large 20000 granted\n5 large 1900 granted\n"},
    /* Half of the instances are cut off from the others for a while. Neither
     * half spends what the other may spend. */
    {"split", 4,
     "start 1\nstart 2\nstart 3\nstart 4\nrun 15000\ncut 1 3\ncut 1 4\n"
     "cut 2 3\ncut 2 4\nrun 10000\nask 1 large 2500\nask 3 large 2500\n"
     "ask 1 large 2500\nask 3 large 2500\n",
     "1 large 2500 granted\n"
     "3 large 2500 granted\n"
     "1 large 2500 refused, retry after 2.5 s\n"
     "3 large 2500 refused, retry after 2.5 s\n"},
};

START_TEST(budgets_follow_the_script)
{
    Fw_FleetScript_Check(&plays[_i]);
}
END_TEST

/* Tokens granted to a peer arrive there a little later. Were their place
 * refilled meanwhile, a full bucket and the tokens could be spent at once. */
START_TEST(place_of_tokens_in_flight_stays_empty)
{
    struct fw_bucket b = {.rate = 1000, .burst = 1000};

    Fw_Bucket_Put(&b, 1000 * FW_MICROTOKENS, 0);
    ck_assert_int_eq(Fw_Bucket_Take(&b, 400, 1, 0), 400);
    Fw_Bucket_Refill(&b, FW_RESERVATION_US - 1);
    ck_assert_int_eq(b.level / FW_MICROTOKENS, 600);
    Fw_Bucket_Refill(&b, 3 * FW_RESERVATION_US);
    ck_assert_int_eq(b.level / FW_MICROTOKENS, 1000);
}
END_TEST

START_TEST(tokens_back_from_flight_find_their_place)
{
    struct fw_bucket b = {.rate = 0, .burst = 100};

    Fw_Bucket_Put(&b, 100 * FW_MICROTOKENS, 0);
    ck_assert_int_eq(Fw_Bucket_Take(&b, 70, 1, 0), 70);
    Fw_Bucket_Cancel(&b, 70, 1);
    ck_assert_int_eq(b.level / FW_MICROTOKENS, 100);
    ck_assert_int_eq(Fw_Bucket_Put(&b, FW_MICROTOKENS, 2), 0);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("limit");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, budgets_follow_the_script, 0, G_N_ELEMENTS(plays));
    tcase_add_test(tc, place_of_tokens_in_flight_stays_empty);
    tcase_add_test(tc, tokens_back_from_flight_find_their_place);
    return Fw_Suite_Run(tc);
}
