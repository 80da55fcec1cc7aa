/* Snapshots, retention, outages at the start, state from a peer. */
#include <check.h>
#include <errno.h>
#include <string.h>

#include "config/snapshot.h"
#include "rig.h"
#include "tests/base/suite.h"

static uint64_t
digest(const struct fw_rig *rig, int i)
{
    return Fw_Config_Digest(Fw_Fold_Config(rig->folds[i]));
}

/* Teams "t0" ... with keys, enough for several parts. */
static struct fw_state *
filled(int teams)
{
    struct fw_state *st = Fw_State_New();
    struct fw_change_result res;

    for (int i = 0; i < teams; i++) {
        char *text = g_strdup_printf(
            "{\"v\":1,\"id\":\"c%d\",\"who\":\"anna\",\"at\":\"t\",\"items\":["
            "{\"kind\":\"team\",\"name\":\"t%d\",\"was\":0,\"value\":"
            "{\"rate\":%d,\"burst\":1,\"models\":[\"m\",\"n+a\"]}},"
            "{\"kind\":\"key\",\"name\":\"%064d\",\"was\":0,\"value\":"
            "{\"team\":\"t%d\"}}]}",
            i, i, i, i, i);

        Fw_State_Apply(st, text, &res);
        ck_assert_int_eq(res.verdict, FW_CHANGE_ACCEPTED);
        g_free(text);
    }
    return st;
}

enum damage {
    FW_WHOLE,
    FW_TWICE,
    FW_CUT,
    FW_FLIPPED,
    FW_MISSING,
    FW_SWAPPED,
    FW_OTHER_OFFSET,
    FW_NO_HEAD,
    FW_LAST_MISSING,
};

struct damage_case {
    enum damage damage;
    int whole; /* comes out as a state */
};

static const struct damage_case damages[] = {
    {FW_WHOLE, 1},        {FW_TWICE, 1},   {FW_CUT, 0},
    {FW_FLIPPED, 0},      {FW_MISSING, 0}, {FW_SWAPPED, 0},
    {FW_OTHER_OFFSET, 0}, {FW_NO_HEAD, 0}, {FW_LAST_MISSING, 0},
};

static void
feed(struct fw_snap_collector *c, const char *part, struct fw_state **st)
{
    struct fw_state *got = NULL;

    if (Fw_Snap_Feed(c, part, &got, NULL) == 1) {
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

static struct fw_state *
read_damaged(const struct fw_snap_text *text, enum damage damage)
{
    struct fw_snap_collector c = {.feeds = 0};
    struct fw_state *st = NULL;
    unsigned n = text->parts->len;

    for (unsigned k = 0; k < n; k++) {
        unsigned at = damage == FW_SWAPPED && k > 0 && k < 3 ? 3 - k : k;
        char *part = g_strdup(g_ptr_array_index(text->parts, at));

        if (k == 1 && damage == FW_CUT) {
            part[strlen(part) / 2] = '\0';
        }
        if (k == 1 && damage == FW_FLIPPED) {
            char *rate = strstr(part, "\"rate\":");

            rate[7] = rate[7] == '1' ? '2' : '1';
        }
        if (k == 1 && damage == FW_NO_HEAD) {
            strchr(part, '\n')[-1] = ' ';
        }
        if (damage == FW_OTHER_OFFSET) {
            char *changed = with_other_offset(part);

            g_free(part);
            part = changed;
        }
        if (!(k == 1 && damage == FW_MISSING) &&
            !(k == n - 1 && damage == FW_LAST_MISSING)) {
            feed(&c, part, &st);
        }
        if (k == 1 && damage == FW_TWICE) {
            feed(&c, part, &st);
        }
        g_free(part);
    }
    Fw_Snapshot_Reset(&c);
    return st;
}

/*
 * A writer dies halfway, an answer is lost and a part is appended twice, a
 * record comes back cut. Operators would notice a wrong state as teams that
 * are missing on the instances started last.
 */
START_TEST(only_a_whole_snapshot_counts)
{
    struct fw_state *st = filled(600);
    struct fw_snap_text *text = Fw_Snap_Write(st, "s-1");

    ck_assert_uint_ge(text->parts->len, 4);
    for (size_t i = 0; i < G_N_ELEMENTS(damages); i++) {
        struct fw_state *got = read_damaged(text, damages[i].damage);

        ck_assert_msg(!got == !damages[i].whole, "damage %zu", i);
        if (got) {
            ck_assert(Fw_State_Digest(got) == Fw_State_Digest(st));
        }
        Fw_State_Free(got);
    }
    Fw_Snap_FreeText(text);
    Fw_State_Free(st);
}
END_TEST

/* Two instances may both think that it is theirs to write: their parts stand
 * one between the other in the log. */
START_TEST(two_writers_at_once_are_kept_apart)
{
    struct fw_state *st = filled(300);
    struct fw_snap_text *a = Fw_Snap_Write(st, "s-a");
    struct fw_snap_text *b = Fw_Snap_Write(st, "s-b");
    struct fw_snap_collector c = {.feeds = 0};
    int whole = 0;

    for (unsigned k = 0; k < a->parts->len; k++) {
        struct fw_state *got = NULL;

        whole += Fw_Snap_Feed(&c, g_ptr_array_index(a->parts, k), &got, NULL);
        Fw_State_Free(got);
        got = NULL;
        whole += Fw_Snap_Feed(&c, g_ptr_array_index(b->parts, k), &got, NULL);
        Fw_State_Free(got);
    }
    ck_assert_int_eq(whole, 2);
    Fw_Snapshot_Reset(&c);
    Fw_Snap_FreeText(a);
    Fw_Snap_FreeText(b);
    Fw_State_Free(st);
}
END_TEST

/*
 * The log drops old records. Without a snapshot an instance started later
 * would know nothing of the teams set up last month: their callers get 401.
 */
START_TEST(a_snapshot_outlives_the_records)
{
    struct fw_rig *rig = Fw_Rig_New(2);

    Fw_Rig_SetRate(rig, "c1", "a", 1, 0);
    Fw_Rig_SetRate(rig, "c2", "b", 2, 0);
    Fw_Fold_SetWriter(rig->folds[0], 1);
    Fw_Rig_Run(rig, 30 * FW_SEC);
    ck_assert_uint_eq(rig->snapshot.records->len, 1);
    Fw_Rig_SetRate(rig, "c3", "a", 3, 1);
    Fw_Rig_Expire(&rig->config, 1);
    Fw_Rig_Restart(rig, 1);
    Fw_Rig_Run(rig, 5 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "a"), 3);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "b"), 2);
    ck_assert(digest(rig, 0) == digest(rig, 1));
    /* An id that only the snapshot remembers still counts as seen. */
    Fw_Rig_SetRate(rig, "c2", "b", 9, 2);
    Fw_Rig_Run(rig, 3 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "b"), 2);
    ck_assert(digest(rig, 0) == digest(rig, 1));
    Fw_Rig_Free(rig);
}
END_TEST

/* A writer appends again when its answer is lost, and after a time when the
 * log has dropped the snapshot itself. */
START_TEST(the_writer_comes_through_losses)
{
    struct fw_rig *rig = Fw_Rig_New(2);

    Fw_Rig_SetRate(rig, "c1", "a", 1, 0);
    Fw_Fold_SetWriter(rig->folds[0], 1);
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
 * The writer dies after half a snapshot, and the whole one before it is old.
 * An instance that took the half would lack teams; one that stopped there
 * would never start.
 */
START_TEST(a_half_written_snapshot_is_passed_over)
{
    struct fw_rig *rig = Fw_Rig_New(2);
    struct fw_state *st = filled(600);
    struct fw_snap_text *half = Fw_Snap_Write(st, "s-half");

    Fw_Rig_SetRate(rig, "c1", "a", 1, 0);
    Fw_Fold_SetWriter(rig->folds[0], 1);
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
    /* And the writer makes good for it. */
    Fw_Rig_Run(rig, 700 * FW_SEC);
    ck_assert_uint_eq(rig->snapshot.records->len, half->parts->len + 1);
    Fw_Snap_FreeText(half);
    Fw_State_Free(st);
    Fw_Rig_Free(rig);
}
END_TEST

/*
 * An instance is cut off from the log while records age out. What it has in
 * force stays so until it gets a newer state, and an old snapshot at the end
 * of the stream doesn't take it back.
 */
START_TEST(a_gap_never_takes_the_version_back)
{
    struct fw_rig *rig = Fw_Rig_New(2);
    char *old;

    Fw_Rig_SetRate(rig, "c1", "a", 1, 0);
    Fw_Fold_SetWriter(rig->folds[0], 1);
    Fw_Rig_Run(rig, 30 * FW_SEC);
    old = g_strdup(g_ptr_array_index(rig->snapshot.records, 0));
    Fw_Rig_SetRate(rig, "c2", "a", 2, 1);
    Fw_Rig_Run(rig, 3 * FW_SEC);
    Fw_Fold_SetWriter(rig->folds[0], 0);
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
    Fw_Fold_SetWriter(rig->folds[0], 1);
    Fw_Rig_Run(rig, 400 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "a"), 4);
    ck_assert(digest(rig, 0) == digest(rig, 1));
    g_free(old);
    Fw_Rig_Free(rig);
}
END_TEST

static void
ask(struct fw_rig *rig, int i, const char *peer)
{
    struct fw_actions out;
    struct fw_action *a;

    Fw_Actions_Init(&out);
    Fw_Fold_AskPeer(rig->folds[i], peer, "addr", rig->now, &out);
    while ((a = Fw_Actions_Take(&out))) {
        Fw_Rig_Execute(rig, i, a);
    }
}

/*
 * Instances are replaced while the log is down. Without a peer's word each
 * new one would refuse all callers until the log is back. A peer that is
 * behind must not take anyone back to a withdrawn key.
 */
START_TEST(log_down_at_the_start_state_from_a_peer)
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
    rig->down = 1;
    rig->partitioned[2] = 0;
    Fw_Rig_Restart(rig, 1);
    Fw_Rig_Run(rig, 6 * FW_SEC);
    ck_assert(!Fw_Fold_Ready(rig->folds[1]));
    ask(rig, 1, "fold2");
    Fw_Rig_Run(rig, 3 * FW_SEC);
    ck_assert(Fw_Fold_Ready(rig->folds[1]));
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "t0"), 0);
    Fw_Rig_Run(rig, 30 * FW_SEC);
    ask(rig, 1, "fold0");
    Fw_Rig_Run(rig, 3 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "t0"), 99);
    Fw_Rig_Run(rig, 30 * FW_SEC);
    ask(rig, 1, "fold2");
    Fw_Rig_Run(rig, 3 * FW_SEC);
    ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "t0"), 99);
    rig->down = 0;
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
    tcase_add_test(tc, only_a_whole_snapshot_counts);
    tcase_add_test(tc, two_writers_at_once_are_kept_apart);
    tcase_add_test(tc, a_snapshot_outlives_the_records);
    tcase_add_test(tc, the_writer_comes_through_losses);
    tcase_add_test(tc, a_half_written_snapshot_is_passed_over);
    tcase_add_test(tc, a_gap_never_takes_the_version_back);
    tcase_add_test(tc, log_down_at_the_start_state_from_a_peer);
    return Fw_Suite_Run(tc);
}
