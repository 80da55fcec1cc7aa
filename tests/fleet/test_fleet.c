/* Membership and roles when instances die, pause, leave or are cut off. */
#include <check.h>
#include <errno.h>
#include <glib.h>
#include <string.h>

#include "core/msg.h"
#include "tests/base/suite.h"
#include "tests/fleet/fleet_script.h"

#define START_THREE "start 1\nstart 2\nstart 3\nrun 5000\n"

static const struct fleet_script member_scripts[] = {
    /* A dead process must be suspected, then taken for dead, and its restart
     * under the same name recognised as a new process. */
    {"dies and is started again", 3,
     START_THREE "kill 3\nrun 3000\nview 1\nrun 12000\nview 1\nview 2\n"
                 "start 3\nrun 3000\nview 1\nview 2\n",
     "n1: n1 alive n2 alive n3 suspect\n"
     "n1: n1 alive n2 alive n3 dead\n"
     "n2: n1 alive n2 alive n3 dead\n"
     "n1: n1 alive n2 alive n3 alive\n"
     "n2: n1 alive n2 alive n3 alive\n"},
    /* Two instances without a path to each other must not be taken for dead
     * while a third one reaches both. */
    {"one bad path", 3, START_THREE "cut 1 2\nrun 30000\nview 1\nview 2\n",
     "n1: n1 alive n2 alive n3 alive\n"
     "n2: n1 alive n2 alive n3 alive\n"},
    /* A paused process must refute its death when it continues, and not
     * suspect the others because of its own pause. */
    {"stalls", 3,
     START_THREE
     "pause 2 20000\nrun 15000\nview 1\nview 3\nrun 20000\nview 1\n"
     "view 2\nview 3\n",
     "n1: n1 alive n2 dead n3 alive\n"
     "n3: n1 alive n2 dead n3 alive\n"
     "n1: n1 alive n2 alive n3 alive\n"
     "n2: n1 alive n2 alive n3 alive\n"
     "n3: n1 alive n2 alive n3 alive\n"},
    /* Both sides of a healed network partition must rediscover each other. */
    {"cut off and back", 3,
     START_THREE
     "cut 1 2\ncut 1 3\nrun 20000\nview 1\nview 2\njoin 1 2\njoin 1 3\n"
     "run 20000\nview 1\nview 2\nview 3\n",
     "n1: n1 alive n2 dead n3 dead\n"
     "n2: n1 dead n2 alive n3 alive\n"
     "n1: n1 alive n2 alive n3 alive\n"
     "n2: n1 alive n2 alive n3 alive\n"
     "n3: n1 alive n2 alive n3 alive\n"},
    /* A draining instance must be known as leaving at once, since it refuses
     * new requests. */
    {"leaves", 3, START_THREE "drain 1\nrun 100\nview 2\nview 3\n",
     "n2: n1 leaving n2 alive n3 alive\n"
     "n3: n1 leaving n2 alive n3 alive\n"},
    /* Loss of a tenth of the messages must not make members dead. */
    {"lossy network", 3,
     START_THREE "lose 10\nrun 120000\nlose 0\nrun 5000\nview 1\n",
     "n1: n1 alive n2 alive n3 alive\n"},
};

static const struct fleet_script role_scripts[] = {
    /* In a new fleet there is no old holder to wait for. */
    {"fresh fleet", 3, START_THREE "role\n", "role: n2 acts\n"},
    {"alone", 1, "start 1\nrun 4000\nrole\n", "role: n1 acts\n"},
    /* Grants of a dead holder are valid for 20 s, so the next holder must wait
     * before it acts. */
    {"holder killed", 3,
     START_THREE "kill 2\nrun 13000\nrole\nrun 14000\nrole\nrun 15000\nrole\n",
     "role: n1 waits\nrole: n1 waits\nrole: n1 acts\n"},
    /* A paused holder must not act when it continues, as its role was taken
     * over and its view of the log is stale. */
    {"holder stalls", 3,
     START_THREE
     "pause 2 60000\nrun 59990\nrole\nrun 15\nrole\nrun 5000\nrole\n",
     "role: n1 acts\nrole: n1 acts n2 is stale\nrole: n1 acts\n"},
    /* A holder that can't read the log must stop within
     * FW_ROLE_VIEW_MAX_AGE_US and act again when it can. */
    {"log down", 3,
     START_THREE
     "log down\nrun 6000\nrole\nrun 600000\nrole\nlog up\nrun 5000\n"
     "role\n",
     "role: n2 is stale\nrole: n2 is stale\nrole: n2 acts\n"},
    /* A draining holder must hand the role over. */
    {"holder leaves", 3, START_THREE "drain 2\nrun 2000\nrole\n",
     "role: n1 waits\n"},
    /* Malformed records must be skipped. */
    {"garbage in the log", 3,
     "record {\nrecord {\"k\":9}\nrecord [1,2]\n"
     "record {\"k\":0,\"p\":7,\"i\":\"x\",\"b\":1,\"was\":0}\n" START_THREE
     "role\n",
     "role: n2 acts\n"},
    /* If answers to effective appends are lost, reading the log must still
     * yield a single holder. */
    {"answers lost", 3,
     "lose 30\n" START_THREE "run 20000\nlose 0\nrun 5000\nrole\n",
     "role: n2 acts\n"},
};

START_TEST(member_script_prints_expected_output)
{
    Fw_FleetScript_Check(&member_scripts[_i]);
}
END_TEST

START_TEST(role_script_prints_expected_output)
{
    Fw_FleetScript_Check(&role_scripts[_i]);
}
END_TEST

/* msgpack-c allocates by the length in a header before it checks the data. The
 * sanitizer's allocator has to return NULL then, as malloc does. */
/* NOLINTBEGIN(readability-identifier-naming): the sanitizer's name */
const char *
__asan_default_options(void);
const char *
__asan_default_options(void)
/* NOLINTEND(readability-identifier-naming) */
{
    return "allocator_may_return_null=1";
}

static int
unpack(const char *bytes, size_t n, struct fw_msg *msg)
{
    msgpack_unpacked u;
    size_t off = 0;
    int rc = -EBADMSG;

    msgpack_unpacked_init(&u);
    if (msgpack_unpack_next(&u, bytes, n, &off) == MSGPACK_UNPACK_SUCCESS) {
        rc = Fw_Msg_Unpack(&u.data, msg);
    }
    msgpack_unpacked_destroy(&u);
    return rc;
}

/* Corrupted messages must not crash the codec, and truncated ones must be
 * rejected. */
START_TEST(corrupted_messages_are_rejected_or_read)
{
    struct fw_fleet_update up = {.name = "a", .addr = "1:1", .boot = 5};
    struct fw_limit_entry entry = {.team = "t", .rate = 3, .burst = 4};
    struct fw_msg msgs[2] = {
        {.area = FW_AREA_FLEET,
         .u.fleet = {.kind = FW_FLEET_PING, .n_updates = 1, .updates = &up}},
        {.area = FW_AREA_LIMIT,
         .u.limit = {.kind = FW_LIMIT_LEASE_RENEW,
                     .n_entries = 1,
                     .entries = &entry}},
    };

    for (int m = 0; m < 2; m++) {
        msgpack_sbuffer buf;
        msgpack_packer pk;
        struct fw_msg got;
        msgpack_sbuffer_init(&buf);
        msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
        Fw_Msg_Pack(&pk, &msgs[m]);
        ck_assert_int_eq(unpack(buf.data, buf.size, &got), 0);
        Fw_Msg_Clear(&got);
        for (size_t i = 0; i < buf.size; i++) {
            char old = buf.data[i];
            for (int v = 0; v < 256; v++) {
                buf.data[i] = (char)v;
                if (unpack(buf.data, buf.size, &got) == 0) {
                    Fw_Msg_Clear(&got);
                }
            }
            buf.data[i] = old;
            ck_assert_int_eq(unpack(buf.data, i, &got), -EBADMSG);
        }
        msgpack_sbuffer_destroy(&buf);
    }
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("fleet");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, member_script_prints_expected_output, 0,
                        G_N_ELEMENTS(member_scripts));
    tcase_add_loop_test(tc, role_script_prints_expected_output, 0,
                        G_N_ELEMENTS(role_scripts));
    tcase_add_test(tc, corrupted_messages_are_rejected_or_read);
    return Fw_Suite_Run(tc);
}
