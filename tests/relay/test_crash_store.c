/* What is in quarantine outlasts the instances that know it. */
#include <errno.h>

#include "base/hash.h"
#include "relay/relay_internal.h"
#include "tests/base/suite.h"

#define FW_NOW_US (1000 * FW_SEC)
#define FW_KEY 7

/* An instance that has run for a minute and has read the registrations. */
static struct fw_relay *
new_relay(const char *name)
{
    struct fw_relay_opts o = {
        .boot = 1, .seed = 1, .key_stale_us = FW_SEC, .retry_window_us = 1};
    struct fw_relay *r;

    g_strlcpy(o.name, name, sizeof(o.name));
    r = Fw_Relay_New(&o, FW_NOW_US - 60 * FW_SEC);
    r->rules = Fw_Rules_New();
    r->has_server_list = 1;
    Fw_Relay_BeginCrashRecords(r);
    Fw_Relay_EndMemberList(r, FW_NOW_US);
    return r;
}

static void
update(struct fw_relay *r, int64_t now_us)
{
    struct fw_rl_actions acts;

    Fw_RelayActions_Init(&acts);
    Fw_Crashes_Update(r, now_us, &acts);
    Fw_RelayActions_Clear(&acts);
}

static void
quarantine(struct fw_relay *r, int64_t crash_us, int64_t now_us)
{
    Fw_Blame_MergeQuarantine(&r->crashes.blame, FW_KEY, crash_us, 3, now_us);
    update(r, now_us);
}

static void
read_records(struct fw_relay *r, const struct fw_rl_crash_record *records,
             size_t n, int64_t now_us)
{
    Fw_Relay_BeginCrashRecords(r);
    for (size_t i = 0; i < n; i++) {
        Fw_Relay_NoteCrashRecord(r, &records[i]);
    }
    Fw_Relay_EndMemberList(r, now_us);
    update(r, now_us);
}

static int
is_quarantined(const struct fw_relay *r, int64_t now_us)
{
    return Fw_Blame_FindQuarantine(&r->crashes.blame, FW_KEY, now_us) != NULL;
}

/* Guards against a request that crashes servers anew after each kill of all.
 */
START_TEST(a_quarantine_outlasts_all_instances)
{
    struct fw_relay *before = new_relay("a");
    struct fw_relay *after = new_relay("a");
    struct fw_rl_crash_record rec;

    ck_assert_int_eq(Fw_Relay_DueCrashRecord(before, FW_NOW_US, &rec), 0);
    quarantine(before, FW_NOW_US - FW_SEC, FW_NOW_US);
    ck_assert_int_eq(Fw_Relay_DueCrashRecord(before, FW_NOW_US, &rec), 1);
    read_records(before, &rec, 1, FW_NOW_US);
    read_records(after, &rec, 1, FW_NOW_US + FW_SEC);
    ck_assert(is_quarantined(after, FW_NOW_US + FW_SEC));
    /* One write for each quarantine, not one for each crash or instance. */
    ck_assert_int_eq(Fw_Relay_DueCrashRecord(before, FW_NOW_US, &rec), 0);
    ck_assert_int_eq(Fw_Relay_DueCrashRecord(after, FW_NOW_US + FW_SEC, &rec),
                     0);
    Fw_Relay_Free(before);
    Fw_Relay_Free(after);
}
END_TEST

/* Guards against as many writes as there are instances. */
START_TEST(one_instance_writes_for_all)
{
    struct fw_relay *r = new_relay("a");
    struct fw_rl_crash_record rec;
    struct fw_rl_member *m = Fw_Members_Add(r, "b", FW_NOW_US);

    r->hash = UINT64_MAX;
    m->last_digest_us = FW_NOW_US;
    quarantine(r, FW_NOW_US - FW_SEC, FW_NOW_US);
    ck_assert_int_eq(Fw_Relay_DueCrashRecord(r, FW_NOW_US, &rec), 0);
    /* The other one is silent: it may have written, which has to be read. */
    ck_assert_int_eq(Fw_Relay_DueCrashRecord(r, FW_NOW_US + FW_SEC, &rec),
                     -EAGAIN);
    read_records(r, NULL, 0, FW_NOW_US + FW_SEC);
    ck_assert_int_eq(Fw_Relay_DueCrashRecord(r, FW_NOW_US + FW_SEC, &rec), 1);
    Fw_Relay_Free(r);
}
END_TEST

/* Guards against an append that is executed late, after the release. */
START_TEST(a_release_wins_over_an_older_quarantine)
{
    struct fw_relay *r = new_relay("a");
    struct fw_relay *started = new_relay("b");
    struct fw_rl_crash_record records[2];
    int64_t crash_us = FW_NOW_US - FW_SEC;

    quarantine(r, crash_us, FW_NOW_US);
    ck_assert_int_eq(Fw_Relay_DueCrashRecord(r, FW_NOW_US, &records[1]), 1);
    read_records(r, &records[1], 1, FW_NOW_US);
    Fw_Blame_NoteSound(&r->crashes.blame, FW_KEY, FW_NOW_US, 0, 1, FW_NOW_US);
    update(r, FW_NOW_US);
    ck_assert(!is_quarantined(r, FW_NOW_US));
    ck_assert_int_eq(Fw_Relay_DueCrashRecord(r, FW_NOW_US, &records[0]), 1);
    ck_assert_int_eq(records[0].kind, FW_RL_RECORD_RELEASE);
    read_records(started, records, 2, FW_NOW_US);
    ck_assert(!is_quarantined(started, FW_NOW_US));
    /* A later crash puts it in quarantine again, and is written. */
    read_records(r, records, 2, FW_NOW_US);
    ck_assert_int_eq(Fw_Relay_DueCrashRecord(r, FW_NOW_US, &records[1]), 0);
    quarantine(r, FW_NOW_US + 20 * FW_SEC, FW_NOW_US + 20 * FW_SEC);
    ck_assert(is_quarantined(r, FW_NOW_US + 20 * FW_SEC));
    ck_assert_int_eq(
        Fw_Relay_DueCrashRecord(r, FW_NOW_US + 20 * FW_SEC, &records[1]), 1);
    read_records(started, records, 2, FW_NOW_US + 20 * FW_SEC);
    ck_assert(is_quarantined(started, FW_NOW_US + 20 * FW_SEC));
    Fw_Relay_Free(r);
    Fw_Relay_Free(started);
}
END_TEST

/* Guards against requests that are rejected for a record of long ago. */
START_TEST(an_old_record_says_nothing_and_is_deleted)
{
    struct fw_relay *r = new_relay("a");
    struct fw_rl_crash_record old = {.kind = FW_RL_RECORD_CRASH,
                                     .key = FW_KEY,
                                     .at_us = FW_NOW_US - 700 * FW_SEC,
                                     .n_crashes = 3};
    struct fw_rl_crash_record rec;

    read_records(r, &old, 1, FW_NOW_US);
    ck_assert(!is_quarantined(r, FW_NOW_US));
    ck_assert_int_eq(Fw_Relay_DueCrashRecord(r, FW_NOW_US, &rec), 1);
    ck_assert(rec.is_deleted);
    ck_assert_uint_eq(rec.key, FW_KEY);
    Fw_Relay_Free(r);
}
END_TEST

/* Guards against an instance that is ready before it has read the records. */
START_TEST(an_instance_waits_for_the_records_as_for_the_others)
{
    struct fw_relay_opts o = {.name = "a", .boot = 1, .seed = 1};
    struct fw_relay *r = Fw_Relay_New(&o, FW_NOW_US);

    Fw_Members_Add(r, "b", FW_NOW_US);
    r->crashes.asking_since_us = FW_NOW_US;
    r->crashes.nobody_knows = 1;
    ck_assert(!Fw_CrashQuery_IsAnswered(r, FW_NOW_US + 100 * FW_MSEC));
    ck_assert(Fw_CrashQuery_IsAnswered(r, FW_NOW_US + FW_SEC));
    Fw_Relay_BeginCrashRecords(r);
    Fw_Relay_EndMemberList(r, FW_NOW_US + 100 * FW_MSEC);
    ck_assert(Fw_CrashQuery_IsAnswered(r, FW_NOW_US + 100 * FW_MSEC));
    Fw_Relay_Free(r);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("crash store");

    tcase_add_test(tc, a_quarantine_outlasts_all_instances);
    tcase_add_test(tc, one_instance_writes_for_all);
    tcase_add_test(tc, a_release_wins_over_an_older_quarantine);
    tcase_add_test(tc, an_old_record_says_nothing_and_is_deleted);
    tcase_add_test(tc, an_instance_waits_for_the_records_as_for_the_others);
    return Fw_Suite_Run(tc);
}
