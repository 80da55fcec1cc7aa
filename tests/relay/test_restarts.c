/* Instances whose new process has a lower start number than the one before. */
#include "relay/relay_internal.h"
#include "tests/base/suite.h"

#define FW_START_US (100 * FW_SEC)
/* Time that a platform takes at least to start a process again. */
#define FW_RESTART_US (1200 * FW_MSEC)

static struct fw_relay *
instance_new(const char *name, uint64_t boot, int64_t now_us)
{
    struct fw_relay_opts opts = {.boot = boot, .retry_window_us = 1};

    g_strlcpy(opts.name, name, sizeof(opts.name));
    return Fw_Relay_New(&opts, now_us);
}

/* @to receives a digest of a process of "n2" that has just started. */
static void
send_digest(struct fw_relay *to, uint64_t boot, int64_t now_us)
{
    struct fw_relay *from = instance_new("n2", boot, now_us);
    GByteArray *msg = g_byte_array_new();
    struct fw_rl_outbox out;

    Fw_Outbox_Init(&out);
    Fw_Digest_Write(from, now_us, msg);
    ck_assert_int_ge(Fw_Relay_ReadMessage(to, "127.0.0.9:1", msg->data,
                                          msg->len, now_us, &out),
                     0);
    Fw_Outbox_Clear(&out);
    g_ptr_array_unref(out.all);
    g_byte_array_unref(msg);
    Fw_Relay_Free(from);
}

/* Guards against an instance that nobody listens to until its clock is right.
 */
START_TEST(a_process_started_while_the_time_of_day_was_moved_back_is_heard)
{
    struct fw_relay *r = instance_new("n1", 1, FW_START_US);

    send_digest(r, 5000, FW_START_US);
    ck_assert_uint_eq(Fw_Members_Find(r, "n2")->boot, 5000);
    send_digest(r, 3000, FW_START_US + FW_RESTART_US);
    ck_assert_uint_eq(Fw_Members_Find(r, "n2")->boot, 3000);
    Fw_Relay_Free(r);
}
END_TEST

START_TEST(a_late_message_of_the_process_before_changes_nothing)
{
    struct fw_relay *r = instance_new("n1", 1, FW_START_US);

    send_digest(r, 3000, FW_START_US);
    send_digest(r, 5000, FW_START_US + FW_RESTART_US);
    send_digest(r, 3000, FW_START_US + FW_RESTART_US + 100 * FW_MSEC);
    ck_assert_uint_eq(Fw_Members_Find(r, "n2")->boot, 5000);
    Fw_Relay_Free(r);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("restarts");

    tcase_add_test(
        tc, a_process_started_while_the_time_of_day_was_moved_back_is_heard);
    tcase_add_test(tc, a_late_message_of_the_process_before_changes_nothing);
    return Fw_Suite_Run(tc);
}
