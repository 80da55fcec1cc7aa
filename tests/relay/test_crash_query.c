/* What an instance that has started asks others about crashes. */
#include <check.h>

#include "relay/relay_internal.h"
#include "tests/base/suite.h"

#define FW_START_US (1000 * FW_SEC)
#define FW_ADDR_A "10.0.0.1:1"
#define FW_ADDR_B "10.0.0.2:1"
#define FW_KEY 7

/* An instance that knows @peer, unless that is NULL, as the only other one. */
static struct fw_relay *
new_relay(const char *name, const char *peer, const char *peer_addr,
          int64_t start_us)
{
    struct fw_relay_opts o = {.boot = 1,
                              .seed = 1,
                              .key_stale_us = FW_SEC,
                              .digest_period_us = 3600 * FW_SEC};
    struct fw_rl_peer p = {0};
    struct fw_relay *r;

    g_strlcpy(o.name, name, sizeof(o.name));
    r = Fw_Relay_New(&o, start_us);
    if (peer) {
        g_strlcpy(p.name, peer, sizeof(p.name));
        g_strlcpy(p.addr, peer_addr, sizeof(p.addr));
        Fw_Relay_AddMember(r, &p, FW_START_US);
    }
    Fw_Relay_EndMemberList(r, FW_START_US);
    return r;
}

/* The question that @r sends, NULL if it sends none. */
static GBytes *
take_question(struct fw_relay *r, int64_t now_us)
{
    struct fw_rl_outbox out;
    GBytes *data = NULL;

    Fw_Outbox_Init(&out);
    Fw_CrashQuery_SendDue(r, now_us, &out);
    if (out.all->len) {
        const struct fw_rl_datagram *d = g_ptr_array_index(out.all, 0);

        data = g_bytes_ref(d->data);
    }
    Fw_Outbox_Clear(&out);
    g_ptr_array_unref(out.all);
    return data;
}

/* Return: what @r sends in response to @data, NULL for nothing. */
static GBytes *
receive(struct fw_relay *r, const char *from, GBytes *data, int64_t now_us)
{
    struct fw_rl_outbox out;
    GBytes *response = NULL;
    gsize len;
    const void *bytes = g_bytes_get_data(data, &len);

    Fw_Outbox_Init(&out);
    Fw_Relay_ReadMessage(r, from, bytes, len, now_us, &out);
    if (out.all->len) {
        const struct fw_rl_datagram *d = g_ptr_array_index(out.all, 0);

        response = g_bytes_ref(d->data);
    }
    Fw_Outbox_Clear(&out);
    g_ptr_array_unref(out.all);
    return response;
}

/* @b asks @a, which answers. */
static void
ask(struct fw_relay *b, struct fw_relay *a, int64_t now_us)
{
    GBytes *question = take_question(b, now_us);
    GBytes *answer;

    ck_assert_ptr_nonnull(question);
    answer = receive(a, FW_ADDR_B, question, now_us);
    ck_assert_ptr_nonnull(answer);
    receive(b, FW_ADDR_A, answer, now_us);
    g_bytes_unref(question);
    g_bytes_unref(answer);
}

static void
update(struct fw_relay *r)
{
    struct fw_rl_actions acts;

    Fw_RelayActions_Init(&acts);
    Fw_Crashes_Update(r, FW_START_US, &acts);
    Fw_RelayActions_Clear(&acts);
}

static int
is_quarantined(const struct fw_relay *r)
{
    return Fw_Blame_FindQuarantine(&r->crashes.blame, FW_KEY,
                                   FW_START_US + FW_SEC) != NULL;
}

/* Guards against an instance that lets through what others keep away. */
START_TEST(an_instance_that_has_started_learns_what_is_in_quarantine)
{
    struct fw_relay *a =
        new_relay("a", "b", FW_ADDR_B, FW_START_US - 60 * FW_SEC);
    struct fw_relay *b = new_relay("b", "a", FW_ADDR_A, FW_START_US);

    Fw_Blame_MergeQuarantine(&a->crashes.blame, FW_KEY, FW_START_US - FW_SEC,
                             5, FW_START_US);
    update(a);
    ck_assert(Fw_CrashQuery_IsAnswered(a, FW_START_US));
    ck_assert(!Fw_CrashQuery_IsAnswered(b, FW_START_US));
    ask(b, a, FW_START_US + FW_MSEC);
    ck_assert(Fw_CrashQuery_IsAnswered(b, FW_START_US + FW_MSEC));
    update(b);
    ck_assert(is_quarantined(b));
    ck_assert_ptr_null(take_question(b, FW_START_US + FW_SEC));
    Fw_Relay_Free(a);
    Fw_Relay_Free(b);
}
END_TEST

/* Guards against taking the answer of one that knows nothing for knowledge. */
START_TEST(an_answer_of_one_that_has_just_started_is_not_enough)
{
    struct fw_relay *a = new_relay("a", "b", FW_ADDR_B, FW_START_US);
    struct fw_relay *b = new_relay("b", "a", FW_ADDR_A, FW_START_US);
    struct fw_rl_peer c = {.name = "c", .addr = "10.0.0.3:1"};

    Fw_Relay_AddMember(b, &c, FW_START_US);
    ask(b, a, FW_START_US + FW_MSEC);
    ck_assert(!Fw_CrashQuery_IsAnswered(b, FW_START_US + FW_MSEC));
    Fw_Relay_Free(a);
    Fw_Relay_Free(b);
}
END_TEST

/* Guards against a fleet that waits in vain when all of it starts. */
START_TEST(instances_that_start_together_do_not_wait_for_each_other)
{
    struct fw_relay *a = new_relay("a", "b", FW_ADDR_B, FW_START_US);
    struct fw_relay *b = new_relay("b", "a", FW_ADDR_A, FW_START_US);

    ask(b, a, FW_START_US + FW_MSEC);
    ck_assert(Fw_CrashQuery_IsAnswered(b, FW_START_US + FW_MSEC));
    Fw_Relay_Free(a);
    Fw_Relay_Free(b);
}
END_TEST

/* Guards against an instance that never gets ready. */
START_TEST(the_wait_for_an_answer_is_bounded)
{
    struct fw_relay *b = new_relay("b", "a", FW_ADDR_A, FW_START_US);
    GBytes *question = take_question(b, FW_START_US + FW_MSEC);

    ck_assert_ptr_nonnull(question);
    g_bytes_unref(question);
    ck_assert(!Fw_CrashQuery_IsAnswered(b, FW_START_US + 900 * FW_MSEC));
    question = take_question(b, FW_START_US + 900 * FW_MSEC);
    ck_assert_ptr_nonnull(question);
    g_bytes_unref(question);
    ck_assert(Fw_CrashQuery_IsAnswered(b, FW_START_US + 1100 * FW_MSEC));
    Fw_Relay_Free(b);
}
END_TEST

START_TEST(an_instance_without_others_does_not_wait)
{
    struct fw_relay *b = new_relay("b", NULL, NULL, FW_START_US);

    ck_assert(Fw_CrashQuery_IsAnswered(b, FW_START_US));
    Fw_Relay_Free(b);
}
END_TEST

/* Guards against an instance that a damaged answer ends or misleads. */
START_TEST(damaged_answers_are_harmless)
{
    struct fw_relay *a =
        new_relay("a", "b", FW_ADDR_B, FW_START_US - 60 * FW_SEC);
    struct fw_relay *b = new_relay("b", "a", FW_ADDR_A, FW_START_US);
    GBytes *question = take_question(b, FW_START_US + FW_MSEC);
    GBytes *answer;
    gsize len;

    Fw_Blame_MergeQuarantine(&a->crashes.blame, FW_KEY, FW_START_US - FW_SEC,
                             5, FW_START_US);
    update(a);
    answer = receive(a, FW_ADDR_B, question, FW_START_US + FW_MSEC);
    const char *data = g_bytes_get_data(answer, &len);
    for (gsize n = 0; n < len; n++) {
        GBytes *part = g_bytes_new(data, n);

        ck_assert_ptr_null(receive(b, FW_ADDR_A, part, FW_START_US));
        ck_assert(!Fw_CrashQuery_IsAnswered(b, FW_START_US));
        update(b);
        ck_assert(!is_quarantined(b));
        g_bytes_unref(part);
    }
    g_bytes_unref(question);
    g_bytes_unref(answer);
    Fw_Relay_Free(a);
    Fw_Relay_Free(b);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("crash query");

    tcase_add_test(tc,
                   an_instance_that_has_started_learns_what_is_in_quarantine);
    tcase_add_test(tc, an_answer_of_one_that_has_just_started_is_not_enough);
    tcase_add_test(tc,
                   instances_that_start_together_do_not_wait_for_each_other);
    tcase_add_test(tc, the_wait_for_an_answer_is_bounded);
    tcase_add_test(tc, an_instance_without_others_does_not_wait);
    tcase_add_test(tc, damaged_answers_are_harmless);
    return Fw_Suite_Run(tc);
}
