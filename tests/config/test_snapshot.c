/* Snapshots, retention, state transfer from peers while the log is down. */
#include <check.h>
#include <errno.h>
#include <string.h>

#include "config/snapshot.h"
#include "rig.h"
#include "tests/base/suite.h"

static uint64_t
digest(const struct fw_rig *rig, int i)
{
    return Fw_Config_Digest(Fw_ConfigReplica_Config(rig->replicas[i]));
}

/* Returns a state with teams "t0" and so on, each with a key. */
static struct fw_config_state *
new_state(int teams)
{
    struct fw_config_state *st = Fw_ConfigState_New();
    struct fw_change_result res;

    for (int i = 0; i < teams; i++) {
        char *text = g_strdup_printf(
            "{\"v\":1,\"id\":\"c%d\",\"who\":\"anna\",\"at\":\"t\",\"items\":["
            "{\"kind\":\"team\",\"name\":\"t%d\",\"was\":0,\"value\":"
            "{\"rate\":%d,\"burst\":1,\"models\":[\"m\",\"n+a\"]}},"
            "{\"kind\":\"key\",\"name\":\"%064d\",\"was\":0,\"value\":"
            "{\"team\":\"t%d\"}}]}",
            i, i, i, i, i);

        Fw_ConfigState_Apply(st, text, &res);
        ck_assert_int_eq(res.verdict, FW_CHANGE_ACCEPTED);
        g_free(text);
    }
    return st;
}

enum damage {
    FW_DAMAGE_NONE,
    FW_DAMAGE_REPEATED,
    FW_DAMAGE_TRUNCATED,
    FW_DAMAGE_CHANGED_ROW,
    FW_DAMAGE_MISSING,
    FW_DAMAGE_REORDERED,
    FW_DAMAGE_OTHER_OFFSET,
    FW_DAMAGE_BAD_HEADER,
    FW_DAMAGE_LAST_MISSING,
};

struct damage_case {
    enum damage damage;
    int complete; /* a state is expected */
};

static const struct damage_case damages[] = {
    {FW_DAMAGE_NONE, 1},         {FW_DAMAGE_REPEATED, 1},
    {FW_DAMAGE_TRUNCATED, 0},    {FW_DAMAGE_CHANGED_ROW, 0},
    {FW_DAMAGE_MISSING, 0},      {FW_DAMAGE_REORDERED, 0},
    {FW_DAMAGE_OTHER_OFFSET, 0}, {FW_DAMAGE_BAD_HEADER, 0},
    {FW_DAMAGE_LAST_MISSING, 0},
};

static void
feed_part(struct fw_snapshot_assembler *c, const char *part,
          struct fw_config_state **st)
{
    struct fw_config_state *got = NULL;

    if (Fw_Snapshot_Feed(c, part, &got, NULL) == 1) {
        ck_assert_ptr_null(*st);
        *st = got;
    }
}

static char *
with_other_offset(const char *part)
{
    char **pieces = g_strsplit(part, "\"offset\":", 2);
    char *text = g_strconcat(pieces[0], "\"offset\":9", pieces[1], NULL);

    g_strfreev(pieces);
    return text;
}

static struct fw_config_state *
read_damaged(const struct fw_snapshot *text, enum damage damage)
{
    struct fw_snapshot_assembler c = {.feeds = 0};
    struct fw_config_state *st = NULL;
    unsigned n = text->parts->len;

    for (unsigned k = 0; k < n; k++) {
        unsigned at =
            damage == FW_DAMAGE_REORDERED && k > 0 && k < 3 ? 3 - k : k;
        char *part = g_strdup(g_ptr_array_index(text->parts, at));

        if (k == 1 && damage == FW_DAMAGE_TRUNCATED) {
            part[strlen(part) / 2] = '\0';
        }
        if (k == 1 && damage == FW_DAMAGE_CHANGED_ROW) {
            char *rate = strstr(part, "\"rate\":");

            rate[7] = rate[7] == '1' ? '2' : '1';
        }
        if (k == 1 && damage == FW_DAMAGE_BAD_HEADER) {
            strchr(part, '\n')[-1] = ' ';
        }
        if (damage == FW_DAMAGE_OTHER_OFFSET) {
            char *changed = with_other_offset(part);

            g_free(part);
            part = changed;
        }
        if (!(k == 1 && damage == FW_DAMAGE_MISSING) &&
            !(k == n - 1 && damage == FW_DAMAGE_LAST_MISSING)) {
            feed_part(&c, part, &st);
        }
        if (k == 1 && damage == FW_DAMAGE_REPEATED) {
            feed_part(&c, part, &st);
        }
        g_free(part);
    }
    Fw_Snapshot_Reset(&c);
    return st;
}

/*
 * Guards against states from snapshots with missing, corrupt or reordered
 * parts. A repeated part does no harm.
 */
START_TEST(only_complete_snapshots_are_used)
{
    struct fw_config_state *st = new_state(600);
    struct fw_snapshot *text = Fw_Snapshot_Write(st, "s-1");

    ck_assert_uint_ge(text->parts->len, 4);
    for (size_t i = 0; i < G_N_ELEMENTS(damages); i++) {
        struct fw_config_state *got = read_damaged(text, damages[i].damage);

        ck_assert_msg(!got == !damages[i].complete, "damage %zu", i);
        if (got) {
            ck_assert(Fw_ConfigState_Digest(got) == Fw_ConfigState_Digest(st));
        }
        Fw_ConfigState_Free(got);
    }
    Fw_Snapshot_Free(text);
    Fw_ConfigState_Free(st);
}
END_TEST

/* Interleaved parts of two writers yield both snapshots. */
START_TEST(interleaved_snapshots_are_separated)
{
    struct fw_config_state *st = new_state(300);
    struct fw_snapshot *a = Fw_Snapshot_Write(st, "s-a");
    struct fw_snapshot *b = Fw_Snapshot_Write(st, "s-b");
    struct fw_snapshot_assembler c = {.feeds = 0};
    int n_complete = 0;

    for (unsigned k = 0; k < a->parts->len; k++) {
        struct fw_config_state *got = NULL;

        n_complete +=
            Fw_Snapshot_Feed(&c, g_ptr_array_index(a->parts, k), &got, NULL);
        Fw_ConfigState_Free(got);
        got = NULL;
        n_complete +=
            Fw_Snapshot_Feed(&c, g_ptr_array_index(b->parts, k), &got, NULL);
        Fw_ConfigState_Free(got);
    }
    ck_assert_int_eq(n_complete, 2);
    Fw_Snapshot_Reset(&c);
    Fw_Snapshot_Free(a);
    Fw_Snapshot_Free(b);
    Fw_ConfigState_Free(st);
}
END_TEST

/* Guards against losing the configuration when its records expire. */
START_TEST(snapshots_restore_expired_records)
{
    struct fw_rig *rig = Fw_Rig_New(2);

    Fw_Rig_SetRate(rig, "c1", "a", 1, 0);
    Fw_Rig_SetRate(rig, "c2", "b", 2, 0);
    Fw_ConfigReplica_SetSnapshotWriter(rig->replicas[0], 1);
    Fw_Rig_Run(rig, 30 * FW_SEC);
    ck_assert_uint_eq(rig->snapshot.records->len, 1);
    Fw_Rig_SetRate(rig, "c3", "a", 3, 1);
    Fw_Rig_Expire(&rig->config, 1);
    Fw_Rig_Restart(rig, 1);
    Fw_Rig_Run(rig, 5 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "a"), 3);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "b"), 2);
    ck_assert(digest(rig, 0) == digest(rig, 1));
    /* An id that only the snapshot contains is still a duplicate. */
    Fw_Rig_SetRate(rig, "c2", "b", 9, 2);
    Fw_Rig_Run(rig, 3 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "b"), 2);
    ck_assert(digest(rig, 0) == digest(rig, 1));
    Fw_Rig_Free(rig);
}
END_TEST

/* The writer retries failed appends and replaces a snapshot that expired. */
START_TEST(writer_recovers_from_losses)
{
    struct fw_rig *rig = Fw_Rig_New(2);

    Fw_Rig_SetRate(rig, "c1", "a", 1, 0);
    Fw_ConfigReplica_SetSnapshotWriter(rig->replicas[0], 1);
    rig->lose_appends = 2;
    Fw_Rig_Run(rig, 40 * FW_SEC);
    ck_assert_uint_eq(rig->snapshot.records->len, 3);
    Fw_Rig_Expire(&rig->snapshot, 0);
    Fw_Rig_Expire(&rig->config, 0);
    Fw_Rig_Run(rig, 700 * FW_SEC);
    ck_assert_uint_ge(rig->snapshot.records->len, 4);
    Fw_Rig_Restart(rig, 1);
    Fw_Rig_Run(rig, 5 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "a"), 1);
    Fw_Rig_Free(rig);
}
END_TEST

/*
 * After a writer failed, readers skip its incomplete snapshot and use the
 * complete one before it.
 */
START_TEST(incomplete_snapshots_are_skipped)
{
    struct fw_rig *rig = Fw_Rig_New(2);
    struct fw_config_state *st = new_state(600);
    struct fw_snapshot *half = Fw_Snapshot_Write(st, "s-half");

    Fw_Rig_SetRate(rig, "c1", "a", 1, 0);
    Fw_ConfigReplica_SetSnapshotWriter(rig->replicas[0], 1);
    Fw_Rig_Run(rig, 30 * FW_SEC);
    for (unsigned k = 0; k + 1 < half->parts->len; k++) {
        Fw_Rig_Append(&rig->snapshot, g_ptr_array_index(half->parts, k));
    }
    Fw_Rig_SetRate(rig, "c2", "a", 2, 1);
    Fw_Rig_Expire(&rig->config, 1);
    Fw_Rig_Restart(rig, 1);
    Fw_Rig_Run(rig, 5 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "a"), 2);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "t1"), -1);
    /* The writer appends a complete snapshot. */
    Fw_Rig_Run(rig, 700 * FW_SEC);
    ck_assert_uint_eq(rig->snapshot.records->len, half->parts->len + 1);
    Fw_Snapshot_Free(half);
    Fw_ConfigState_Free(st);
    Fw_Rig_Free(rig);
}
END_TEST

/*
 * Guards against reverting to an older configuration: a replica that missed
 * expired records keeps its state until a newer snapshot appears.
 */
START_TEST(gap_does_not_revert_the_version)
{
    struct fw_rig *rig = Fw_Rig_New(2);
    char *old;

    Fw_Rig_SetRate(rig, "c1", "a", 1, 0);
    Fw_ConfigReplica_SetSnapshotWriter(rig->replicas[0], 1);
    Fw_Rig_Run(rig, 30 * FW_SEC);
    old = g_strdup(g_ptr_array_index(rig->snapshot.records, 0));
    Fw_Rig_SetRate(rig, "c2", "a", 2, 1);
    Fw_Rig_Run(rig, 3 * FW_SEC);
    Fw_ConfigReplica_SetSnapshotWriter(rig->replicas[0], 0);
    rig->partitioned[1] = 1;
    Fw_Rig_SetRate(rig, "c3", "a", 3, 2);
    Fw_Rig_SetRate(rig, "c4", "a", 4, 3);
    Fw_Rig_Run(rig, 10 * FW_SEC);
    Fw_Rig_Expire(&rig->config, 1);
    Fw_Rig_Append(&rig->snapshot, old);
    rig->partitioned[1] = 0;
    Fw_Rig_Run(rig, 20 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "a"), 2);
    ck_assert_int_eq(Fw_Rig_CountNotes(rig, "config_gap"), 1);
    Fw_ConfigReplica_SetSnapshotWriter(rig->replicas[0], 1);
    Fw_Rig_Run(rig, 400 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "a"), 4);
    ck_assert(digest(rig, 0) == digest(rig, 1));
    g_free(old);
    Fw_Rig_Free(rig);
}
END_TEST

static void
request_from_peer(struct fw_rig *rig, int i, const char *peer)
{
    struct fw_actions out;
    struct fw_action *a;

    Fw_Actions_Init(&out);
    Fw_ConfigReplica_RequestFromPeer(rig->replicas[i], peer, "addr", rig->now,
                                     &out);
    while ((a = Fw_Actions_Pop(&out))) {
        Fw_Rig_Execute(rig, i, a);
    }
}

/*
 * A new replica becomes ready by a peer's state while the log is down, and
 * doesn't revert to the older state of another peer.
 */
START_TEST(new_replica_takes_state_from_a_peer)
{
    struct fw_rig *rig = Fw_Rig_New(3);

    for (int i = 0; i < 700; i++) {
        char id[16];
        char team[16];

        g_snprintf(id, sizeof(id), "c%d", i);
        g_snprintf(team, sizeof(team), "t%d", i);
        Fw_Rig_SetRate(rig, id, team, i, 0);
    }
    Fw_Rig_Run(rig, 5 * FW_SEC);
    rig->partitioned[2] = 1;
    Fw_Rig_SetRate(rig, "c-last", "t0", 99, 1);
    Fw_Rig_Run(rig, 3 * FW_SEC);
    rig->log_down = 1;
    rig->partitioned[2] = 0;
    Fw_Rig_Restart(rig, 1);
    Fw_Rig_Run(rig, 6 * FW_SEC);
    ck_assert(!Fw_ConfigReplica_IsReady(rig->replicas[1]));
    request_from_peer(rig, 1, "node2");
    Fw_Rig_Run(rig, 3 * FW_SEC);
    ck_assert(Fw_ConfigReplica_IsReady(rig->replicas[1]));
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "t0"), 0);
    Fw_Rig_Run(rig, 30 * FW_SEC);
    request_from_peer(rig, 1, "node0");
    Fw_Rig_Run(rig, 3 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "t0"), 99);
    Fw_Rig_Run(rig, 30 * FW_SEC);
    request_from_peer(rig, 1, "node2");
    Fw_Rig_Run(rig, 3 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "t0"), 99);
    rig->log_down = 0;
    Fw_Rig_SetRate(rig, "c-back", "t0", 100, 701);
    Fw_Rig_Run(rig, 10 * FW_SEC);
    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(Fw_Rig_Rate(rig, i, "t0"), 100);
    }
    Fw_Rig_Free(rig);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("snapshot");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, only_complete_snapshots_are_used);
    tcase_add_test(tc, interleaved_snapshots_are_separated);
    tcase_add_test(tc, snapshots_restore_expired_records);
    tcase_add_test(tc, writer_recovers_from_losses);
    tcase_add_test(tc, incomplete_snapshots_are_skipped);
    tcase_add_test(tc, gap_does_not_revert_the_version);
    tcase_add_test(tc, new_replica_takes_state_from_a_peer);
    return Fw_Suite_Run(tc);
}
