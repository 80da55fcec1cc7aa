/* Membership and roles: instances that die, stall, leave and are cut off. */
#include <check.h>
#include <errno.h>
#include <glib.h>
#include <string.h>

#include "core/msg.h"
#include "tests/base/suite.h"
#include "tests/fleet/play.h"

#define TRIO "start 1\nstart 2\nstart 3\nrun 5000\n"

static const struct fleet_script members[] = {
    /* A process dies. Requests would go on being sent to it; the others
     * suspect it first and hold it dead some seconds later. Its next run
     * under the same name is taken for a new one. */
    {"dies and is started again", 3,
     TRIO "kill 3\nrun 3000\nview 1\nrun 12000\nview 1\nview 2\n"
          "start 3\nrun 3000\nview 1\nview 2\n",
     "n1: n1 alive n2 alive n3 suspect\n"
     "n1: n1 alive n2 alive n3 dead\n"
     "n2: n1 alive n2 alive n3 dead\n"
     "n1: n1 alive n2 alive n3 alive\n"
     "n2: n1 alive n2 alive n3 alive\n"},
    /* A bad path lies between two instances only. Each would condemn the
     * other, but a third one still reaches both and says so. */
    {"one bad path", 3, TRIO "cut 1 2\nrun 30000\nview 1\nview 2\n",
     "n1: n1 alive n2 alive n3 alive\n"
     "n2: n1 alive n2 alive n3 alive\n"},
    /* A process is stopped for twenty seconds. The others hold it dead;
     * when it goes on it refutes that, and condemns nobody for its own
     * silence. */
    {"stalls", 3,
     TRIO "pause 2 20000\nrun 15000\nview 1\nview 3\nrun 20000\nview 1\n"
          "view 2\nview 3\n",
     "n1: n1 alive n2 dead n3 alive\n"
     "n3: n1 alive n2 dead n3 alive\n"
     "n1: n1 alive n2 alive n3 alive\n"
     "n2: n1 alive n2 alive n3 alive\n"
     "n3: n1 alive n2 alive n3 alive\n"},
    /* A switch fails and one instance is alone. Both sides hold the other
     * dead; when the switch is back they find each other by themselves. */
    {"cut off and back", 3,
     TRIO "cut 1 2\ncut 1 3\nrun 20000\nview 1\nview 2\njoin 1 2\njoin 1 3\n"
          "run 20000\nview 1\nview 2\nview 3\n",
     "n1: n1 alive n2 dead n3 dead\n"
     "n2: n1 dead n2 alive n3 alive\n"
     "n1: n1 alive n2 alive n3 alive\n"
     "n2: n1 alive n2 alive n3 alive\n"
     "n3: n1 alive n2 alive n3 alive\n"},
    /* An instance is stopped gracefully. Work sent to it in its last
     * seconds would be refused, so it tells all at once. */
    {"leaves", 3, TRIO "drain 1\nrun 100\nview 2\nview 3\n",
     "n2: n1 leaving n2 alive n3 alive\n"
     "n3: n1 leaving n2 alive n3 alive\n"},
    /* A tenth of all messages is lost. Nobody is held dead for that. */
    {"lossy network", 3,
     TRIO "lose 10\nrun 120000\nlose 0\nrun 5000\nview 1\n",
     "n1: n1 alive n2 alive n3 alive\n"},
};

static const struct fleet_script roles[] = {
    /* A new fleet has no old holder to wait for: the first record acts. */
    {"fresh fleet", 3, TRIO "role\n", "role: n2 acts\n"},
    {"alone", 1, "start 1\nrun 4000\nrole\n", "role: n1 acts\n"},
    /* The holder is killed. What it gave out may be spent for twenty more
     * seconds, so the next one takes the role but waits. */
    {"holder killed", 3,
     TRIO "kill 2\nrun 13000\nrole\nrun 14000\nrole\nrun 15000\nrole\n",
     "role: n1 waits\nrole: n1 waits\nrole: n1 acts\n"},
    /* The holder is stopped for a minute and does not know that another
     * took its role. When it goes on it must not act for one moment: its
     * read of the log is too old. */
    {"holder stalls", 3,
     TRIO "pause 2 60000\nrun 59990\nrole\nrun 15\nrole\nrun 5000\nrole\n",
     "role: n1 acts\nrole: n1 acts n2 is stale\nrole: n1 acts\n"},
    /* The log is down. Whoever holds the role can't know whether it still
     * does, and stops within five seconds; it goes on when it can read. */
    {"log down", 3,
     TRIO "log down\nrun 6000\nrole\nrun 600000\nrole\nlog up\nrun 5000\n"
          "role\n",
     "role: n2 is stale\nrole: n2 is stale\nrole: n2 acts\n"},
    /* The holder leaves and names its successor. */
    {"holder leaves", 3, TRIO "drain 2\nrun 2000\nrole\n", "role: n1 waits\n"},
    /* Someone writes garbage into the stream. It is noted and skipped. */
    {"garbage in the log", 3,
     "record {\nrecord {\"k\":9}\nrecord [1,2]\n"
     "record {\"k\":0,\"p\":7,\"i\":\"x\",\"b\":1,\"was\":0}\n" TRIO "role\n",
     "role: n2 acts\n"},
    /* Answers of the log get lost after the append took effect. Reading
     * settles who holds the role. */
    {"answers lost", 3, "lose 30\n" TRIO "run 20000\nlose 0\nrun 5000\nrole\n",
     "role: n2 acts\n"},
};

START_TEST(members_follow_the_script)
{
    Fw_FleetScript_Check(&members[_i]);
}
END_TEST

START_TEST(roles_follow_the_script)
{
    Fw_FleetScript_Check(&roles[_i]);
}
END_TEST

/* msgpack-c asks for the memory that a header speaks of before it looks for
 * the elements; the allocator says no, as it does outside of the tests. */
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

/* A peer of another version, or a broken one, sends what no codec made. It
 * must be refused as a whole, whatever bytes are changed. */
START_TEST(damaged_messages_are_refused_or_read)
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
    tcase_add_loop_test(tc, members_follow_the_script, 0,
                        G_N_ELEMENTS(members));
    tcase_add_loop_test(tc, roles_follow_the_script, 0, G_N_ELEMENTS(roles));
    tcase_add_test(tc, damaged_messages_are_refused_or_read);
    return Fw_Suite_Run(tc);
}
