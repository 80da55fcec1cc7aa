/* Messages about crashes between two instances. */
#include <check.h>
#include <string.h>

#include "relay/relay_internal.h"
#include "tests/base/suite.h"

#define FW_START_US (1000 * FW_SEC)
#define FW_FROM "10.0.0.1:1"
#define FW_TO "10.0.0.2:1"
/* One key in quarantine, and the most that a message may have. */
#define FW_SMALL_BYTES_MAX 64
#define FW_LARGE_BYTES_MAX (12 * 1024)

static struct fw_relay *
new_relay(const char *name, const char *peer, const char *peer_addr)
{
    struct fw_relay_opts o = {.boot = 1,
                              .seed = 1,
                              .key_stale_us = FW_SEC,
                              .digest_period_us = 3600 * FW_SEC};
    struct fw_rl_peer p = {0};
    struct fw_relay *r;

    g_strlcpy(o.name, name, sizeof(o.name));
    r = Fw_Relay_New(&o, FW_START_US);
    g_strlcpy(p.name, peer, sizeof(p.name));
    g_strlcpy(p.addr, peer_addr, sizeof(p.addr));
    Fw_Relay_AddMember(r, &p, FW_START_US);
    Fw_Relay_EndMemberList(r, FW_START_US);
    Fw_Hubs_UpdateRoles(r, FW_START_US);
    return r;
}

/* The message about crashes that @r sends, NULL for none. */
static GBytes *
take_message(struct fw_relay *r, int64_t now_us)
{
    struct fw_rl_outbox out;
    GBytes *data = NULL;

    Fw_Outbox_Init(&out);
    Fw_CrashMessage_SendDue(r, now_us, &out);
    if (out.all->len) {
        const struct fw_rl_datagram *d = g_ptr_array_index(out.all, 0);

        data = g_bytes_ref(d->data);
    }
    Fw_Outbox_Clear(&out);
    g_ptr_array_unref(out.all);
    return data;
}

static int
receive(struct fw_relay *r, const void *data, size_t len, int64_t now_us)
{
    struct fw_rl_outbox out;
    int rc;

    Fw_Outbox_Init(&out);
    rc = Fw_Relay_ReadMessage(r, FW_FROM, data, len, now_us, &out);
    Fw_Outbox_Clear(&out);
    g_ptr_array_unref(out.all);
    return rc;
}

static void
update(struct fw_relay *r, int64_t now_us)
{
    struct fw_rl_actions acts;

    Fw_RelayActions_Init(&acts);
    Fw_Crashes_Update(r, now_us, &acts);
    Fw_RelayActions_Clear(&acts);
}

/* Three engines end under the key 7, one after the other. */
static void
add_crashes(struct fw_relay *r)
{
    for (uint64_t n = 1; n <= 3; n++) {
        int64_t at_us = FW_START_US + (int64_t)n * FW_SEC;
        struct fw_blame_key keys[2] = {
            {.hash = 7, .depth = 1, .sent_us = at_us},
            {.hash = 100 + n, .depth = 2, .sent_us = at_us}};

        Fw_Blame_NoteCrash(&r->crashes.blame, n, at_us, keys, 2, at_us)
            ->is_unsent = 1;
    }
    r->crashes.changed = 1;
    update(r, FW_START_US + 4 * FW_SEC);
}

static int
is_quarantined(const struct fw_relay *r, uint64_t key, int64_t now_us)
{
    return Fw_Blame_FindQuarantine(&r->crashes.blame, key, now_us) != NULL;
}

/* Guards against instances that do not learn what others have found out. */
START_TEST(another_instance_learns_the_quarantine)
{
    struct fw_relay *a = new_relay("a", "b", FW_TO);
    struct fw_relay *b = new_relay("b", "a", FW_FROM);
    int64_t now_us = FW_START_US + 5 * FW_SEC;
    GBytes *msg;
    gsize len;

    add_crashes(a);
    msg = take_message(a, now_us);
    ck_assert_ptr_nonnull(msg);
    const void *data = g_bytes_get_data(msg, &len);
    ck_assert_int_eq(receive(b, data, len, now_us), 0);
    update(b, now_us);
    ck_assert_int_eq(b->crashes.blame.n_crashes, 3);
    ck_assert(is_quarantined(b, 7, now_us));
    ck_assert(!is_quarantined(b, 101, now_us));
    g_bytes_unref(msg);
    Fw_Relay_Free(a);
    Fw_Relay_Free(b);
}
END_TEST

/* Guards against a quarantine that an instance that starts is never sent. */
START_TEST(the_quarantine_is_repeated_in_a_few_bytes)
{
    struct fw_relay *a = new_relay("a", "b", FW_TO);
    struct fw_relay *b = new_relay("b", "a", FW_FROM);
    int64_t now_us = FW_START_US + 5 * FW_SEC;
    GBytes *msg;
    gsize len;

    add_crashes(a);
    g_bytes_unref(take_message(a, now_us));
    ck_assert_ptr_null(take_message(a, now_us + 500 * FW_MSEC));
    now_us += 60 * FW_SEC;
    msg = take_message(a, now_us);
    ck_assert_ptr_nonnull(msg);
    const void *data = g_bytes_get_data(msg, &len);
    ck_assert_uint_le(len, FW_SMALL_BYTES_MAX);
    ck_assert_int_eq(receive(b, data, len, now_us), 0);
    update(b, now_us);
    ck_assert(is_quarantined(b, 7, now_us));
    g_bytes_unref(msg);
    Fw_Relay_Free(a);
    Fw_Relay_Free(b);
}
END_TEST

/* Guards against one crash that makes all later messages unreadable. */
START_TEST(a_request_sent_after_the_crash_does_not_spoil_the_message)
{
    struct fw_relay *a = new_relay("a", "b", FW_TO);
    struct fw_relay *b = new_relay("b", "a", FW_FROM);
    int64_t at_us = FW_START_US + FW_SEC;
    int64_t now_us = FW_START_US + 5 * FW_SEC;
    struct fw_blame_key early = {.hash = 7, .depth = 1, .sent_us = at_us};
    struct fw_blame_key late = {
        .hash = 8, .depth = 1, .sent_us = at_us + 2 * FW_SEC};
    GBytes *msg;
    gsize len;

    Fw_Blame_NoteCrash(&a->crashes.blame, 1, at_us, &early, 1, at_us);
    Fw_Blame_NoteCrash(&a->crashes.blame, 1, at_us + 2 * FW_SEC, &late, 1,
                       at_us + 2 * FW_SEC)
        ->is_unsent = 1;
    a->crashes.changed = 1;
    msg = take_message(a, now_us);
    const void *data = g_bytes_get_data(msg, &len);
    ck_assert_int_eq(receive(b, data, len, now_us), 0);
    ck_assert_int_eq(b->crashes.blame.n_crashes, 1);
    ck_assert_int_eq(b->crashes.blame.crashes[0].n_keys, 2);
    g_bytes_unref(msg);
    Fw_Relay_Free(a);
    Fw_Relay_Free(b);
}
END_TEST

START_TEST(nothing_is_sent_before_the_first_crash)
{
    struct fw_relay *a = new_relay("a", "b", FW_TO);

    ck_assert_ptr_null(take_message(a, FW_START_US + 5 * FW_SEC));
    Fw_Relay_Free(a);
}
END_TEST

/* Guards against messages that no datagram can hold. */
START_TEST(a_message_with_all_tables_full_is_bounded)
{
    struct fw_relay *a = new_relay("a", "b", FW_TO);
    GBytes *msg;

    for (uint64_t n = 1; n <= FW_CRASHES_MAX; n++) {
        int64_t at_us = FW_START_US + (int64_t)n * FW_MSEC;
        struct fw_blame_key keys[FW_CRASH_KEYS_MAX];

        for (uint64_t k = 0; k < FW_CRASH_KEYS_MAX; k++) {
            keys[k] = (struct fw_blame_key){.hash = UINT64_MAX -
                                                    n * FW_CRASH_KEYS_MAX - k,
                                            .depth = 5,
                                            .sent_us = at_us - FW_SEC};
            Fw_Blame_NoteSound(&a->crashes.blame, keys[k].hash, FW_START_US, 0,
                               1, at_us);
        }
        Fw_Blame_NoteCrash(&a->crashes.blame, n, at_us, keys,
                           FW_CRASH_KEYS_MAX, at_us)
            ->is_unsent = 1;
    }
    for (uint64_t n = 0; n < FW_QUARANTINES_MAX; n++) {
        Fw_Blame_MergeQuarantine(&a->crashes.blame, UINT64_MAX / 2 + n,
                                 FW_START_US, 9, FW_START_US);
    }
    a->crashes.changed = 1;
    update(a, FW_START_US + FW_SEC);
    msg = take_message(a, FW_START_US + FW_SEC);
    ck_assert_ptr_nonnull(msg);
    ck_assert_uint_le(g_bytes_get_size(msg), FW_LARGE_BYTES_MAX);
    g_bytes_unref(msg);
    Fw_Relay_Free(a);
}
END_TEST

/* Guards against an instance that a damaged message ends or misleads. */
START_TEST(damaged_messages_are_harmless)
{
    struct fw_relay *a = new_relay("a", "b", FW_TO);
    struct fw_relay *b = new_relay("b", "a", FW_FROM);
    int64_t now_us = FW_START_US + 5 * FW_SEC;
    GBytes *msg;
    gsize len;

    add_crashes(a);
    msg = take_message(a, now_us);
    const char *data = g_bytes_get_data(msg, &len);
    for (gsize n = 0; n < len; n++) {
        ck_assert_int_ne(receive(b, data, n, now_us), 0);
        ck_assert_int_eq(b->crashes.blame.n_crashes, 0);
    }
    for (gsize n = 0; n < len; n++) {
        char *damaged = g_memdup2(data, len);

        for (int bit = 0; bit < 8; bit++) {
            damaged[n] = (char)(data[n] ^ (1 << bit));
            receive(b, damaged, len, now_us);
            update(b, now_us);
        }
        g_free(damaged);
    }
    g_bytes_unref(msg);
    Fw_Relay_Free(a);
    Fw_Relay_Free(b);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("crash messages");

    tcase_add_test(tc, another_instance_learns_the_quarantine);
    tcase_add_test(tc, the_quarantine_is_repeated_in_a_few_bytes);
    tcase_add_test(tc,
                   a_request_sent_after_the_crash_does_not_spoil_the_message);
    tcase_add_test(tc, nothing_is_sent_before_the_first_crash);
    tcase_add_test(tc, a_message_with_all_tables_full_is_bounded);
    tcase_add_test(tc, damaged_messages_are_harmless);
    return Fw_Suite_Run(tc);
}
