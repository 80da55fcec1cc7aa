/* Requests that involve several instances, and outages of the log. */
#include <check.h>

#include "script.h"
#include "tests/base/suite.h"

/*
 * A caller that reconnects with its request id, also through another instance,
 * must get the answer of its request from the start: no second run, and never
 * the answer of another team's request.
 */
static const struct script joins[] = {
    {"joined while running: answer from the first piece", 2,
     "post 0 1 mine doc 4\nrun 100\ndone prefill\ndone import\n"
     "piece decode 0 a\nclose 0 1\npost 1 2 mine doc 4\nrun 100\n"
     "piece decode 1 b\nrun 100\ndone decode 2\nrun 100",
     "P1 prefill instance-0.1.1\n"
     "D1 import instance-0.1.1\n"
     "D1 decode instance-0.1.1 from 0\n"
     "caller 1 start\ncaller 1 piece 0 a\n"
     "caller 2 start\ncaller 2 piece 0 a\ncaller 2 piece 1 b\n"
     "caller 2 end stop 2\n"},
    {"joined after the end: the retained answer", 2,
     "post 0 1 mine doc 4\nrun 100\ndone prefill\ndone import\n"
     "piece decode 0 a\ndone decode 1\nrun 100\npost 1 2 mine doc 4\n"
     "run 100\npost 0 3 mine doc 4\nrun 100",
     "P1 prefill instance-0.1.1\n"
     "D1 import instance-0.1.1\n"
     "D1 decode instance-0.1.1 from 0\n"
     "caller 1 start\ncaller 1 piece 0 a\ncaller 1 end stop 1\n"
     "caller 2 start\ncaller 2 piece 0 a\ncaller 2 end stop 1\n"
     "caller 3 start\ncaller 3 piece 0 a\ncaller 3 end stop 1\n"},
    {"same id of another team: a separate run", 2,
     "post 0 1 mine doc 4\nrun 100\ndone prefill\ndone import\n"
     "piece decode 0 a\npost 1 2 mine doc 4 key-b\nrun 100",
     "P1 prefill instance-0.1.1\n"
     "D1 import instance-0.1.1\n"
     "D1 decode instance-0.1.1 from 0\n"
     "caller 1 start\ncaller 1 piece 0 a\n"
     "P? prefill instance-1.1.1\n"},
    {"the owner dies: run again from the last piece", 3,
     "post 0 1 mine doc 4\nrun 100\ndone prefill\ndone import\n"
     "piece decode 0 a\nrun 100\npost 1 2 mine doc 4\nrun 100\nkill 0\n"
     "run 12000\ndone prefill\ndone import\nrun 10\n",
     "P1 prefill instance-0.1.1\n"
     "D1 import instance-0.1.1\n"
     "D1 decode instance-0.1.1 from 0\n"
     "caller 1 start\ncaller 1 piece 0 a\n"
     "caller 2 start\ncaller 2 piece 0 a\n"
     "P? prefill instance-1.1.1\n"
     "D? import instance-1.1.1\n"
     "D? decode instance-1.1.1 from 1\n"},
    {"the owner dies, no engine reachable: may have run", 3,
     "post 0 1 mine doc 4\nrun 100\ndone prefill\ndone import\n"
     "piece decode 0 a\nrun 100\npost 1 2 mine doc 4\nrun 100\nkill 0\n"
     "run 12000\nfail prefill no 0 refused\nrun 1000\n"
     "fail prefill no 0 refused\nrun 2000",
     "P1 prefill instance-0.1.1\n"
     "D1 import instance-0.1.1\n"
     "D1 decode instance-0.1.1 from 0\n"
     "caller 1 start\ncaller 1 piece 0 a\n"
     "caller 2 start\ncaller 2 piece 0 a\n"
     "P? prefill instance-1.1.1\n"
     "P? cancel instance-1.1.1\n"
     "P? prefill instance-1.1.2\n"
     "P? cancel instance-1.1.2\n"
     "caller 2 fail 503 ????????* ran maybe\n"},
    {"the joined caller disconnects: cancelled after the grace period", 2,
     "post 0 1 mine doc 4\nrun 100\ndone prefill\ndone import\n"
     "piece decode 0 a\nclose 0 1\npost 1 2 mine doc 4\nrun 100\n"
     "close 1 2\nrun 1900\nrun 200",
     "P1 prefill instance-0.1.1\n"
     "D1 import instance-0.1.1\n"
     "D1 decode instance-0.1.1 from 0\n"
     "caller 1 start\ncaller 1 piece 0 a\n"
     "caller 2 start\ncaller 2 piece 0 a\n"
     "D1 decode stopped\n"
     "D1 cancel instance-0.1.1\n"},
};

/*
 * Engines must not hold KV and slots of a dead instance's requests, and
 * requests of a live instance must not be cancelled, even while a network
 * partition makes it look dead.
 */
static const struct script orphans[] = {
    {"the owner is dead: cancelled", 3,
     "kill 0\nheld instance-0.1.9\nrun 15000", "D1 cancel instance-0.1.9\n*"},
    {"the owner is alive but no longer runs it: cancelled", 3,
     "held instance-0.1.9\nrun 11000", "*? cancel instance-0.1.9\n*"},
    {"an id of another system: not cancelled", 3,
     "held somebody-else\nrun 15000", ""},
    {"the owner runs it: not cancelled", 3,
     "post 0 1 - doc 4\nrun 100\ndone prefill\ndone import\n"
     "piece decode 0 a\nheld instance-0.1.1\nrun 25000\npiece decode 1 b\n"
     "done decode 2",
     "P1 prefill instance-0.1.1\n"
     "D1 import instance-0.1.1\n"
     "D1 decode instance-0.1.1 from 0\n"
     "caller 1 start\ncaller 1 piece 0 a\n"
     "caller 1 piece 1 b\ncaller 1 end stop 2\n"},
    {"the owner is partitioned but connected to the engine: not cancelled", 3,
     "post 0 1 - doc 4\nrun 100\ndone prefill\ndone import\n"
     "piece decode 0 a\nheld instance-0.1.1\nattached\ncut 0\nrun 25000\n"
     "heal 0\nrun 5000\npiece decode 1 b\ndone decode 2",
     "P1 prefill instance-0.1.1\n"
     "D1 import instance-0.1.1\n"
     "D1 decode instance-0.1.1 from 0\n"
     "caller 1 start\ncaller 1 piece 0 a\n"
     "caller 1 piece 1 b\ncaller 1 end stop 2\n"},
};

/*
 * While the log is down, completions must work, and calls that need the log
 * must be refused with the verdict that they did not run.
 */
static const struct script outages[] = {
    {"completions work, orders are refused until the log is back", 3,
     "log down\nrun 600000\npost 0 1 - doc 4\npost 2 2 - doc 4 key-b\n"
     "run 100\ndone prefill\ndone prefill\nrun 10\ndone import\n"
     "done import\nrun 10\npiece decode 0 a\ndone decode 1\n"
     "piece decode 0 a\ndone decode 1\norder 1 3 k1 buy\nrun 6000\n"
     "log up\nrun 60000\norder 1 4 k2 buy\nrun 500\ndone service\nrun 500",
     "P? prefill instance-?.1.1\nP? prefill instance-?.1.1\n"
     "D? import instance-?.1.1\nD? import instance-?.1.1\n"
     "D? decode instance-?.1.1 from 0\nD? decode instance-?.1.1 from 0\n"
     "caller ? start\ncaller ? piece 0 a\ncaller ? end stop 1\n"
     "caller ? start\ncaller ? piece 0 a\ncaller ? end stop 1\n"
     "caller 3 fail 503 log_unavailable ran no\n"
     "S1 POST /orders once\ncaller 4 answer 200 \n"},
    {"a key withdrawn meanwhile is valid until the log is read", 1,
     "log down\nrun 2500\nwithdraw key-a\nrun 60000\npost 0 1 - doc 4\n"
     "run 100\ndone prefill\nrun 10\ndone import\nrun 10\nlog up\n"
     "run 30000\npost 0 2 - doc 4",
     "P1 prefill instance-0.1.1\nD1 import instance-0.1.1\n"
     "D1 decode instance-0.1.1 from 0\n"
     "D1 decode stopped\nD1 cancel instance-0.1.1\n"
     "caller 1 fail 401 key_withdrawn ran yes\n"
     "caller 2 fail 401 unauthorized ran no\n"},
};

START_TEST(outage)
{
    Fw_Script_Check(&outages[_i]);
}
END_TEST

START_TEST(join)
{
    Fw_Script_Check(&joins[_i]);
}
END_TEST

START_TEST(orphan)
{
    Fw_Script_Check(&orphans[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("nodes");

    tcase_add_loop_test(tc, join, 0, G_N_ELEMENTS(joins));
    tcase_add_loop_test(tc, orphan, 0, G_N_ELEMENTS(orphans));
    tcase_add_loop_test(tc, outage, 0, G_N_ELEMENTS(outages));
    return Fw_Suite_Run(tc);
}
