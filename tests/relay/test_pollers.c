/* Which instances read the store themselves. */
#include "relay/relay_internal.h"
#include "tests/base/suite.h"

#define FW_START_US (100 * FW_SEC)
/* By when an instance must have noticed that nobody reads the store for it. */
#define FW_SILENCE_US (1 * FW_SEC)

/* A hub that leaves the store to two others, heard of at @heard_us. */
static struct fw_relay *
hub_behind_pollers(int64_t heard_us)
{
    struct fw_relay_opts opts = {.name = "n9", .retry_window_us = 1};
    struct fw_relay *r = Fw_Relay_New(&opts, FW_START_US);
    static const char *const names[] = {"n1", "n2"};

    r->rules = Fw_Rules_New();
    r->has_server_list = 1;
    r->hash = UINT64_MAX;
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct fw_rl_member *m = Fw_Members_Add(r, names[i], FW_START_US);

        m->last_digest_us = heard_us;
    }
    return r;
}

START_TEST(a_hub_leaves_the_store_to_two_others)
{
    struct fw_relay *r = hub_behind_pollers(FW_START_US);

    Fw_Relay_SetFreshAsOf(r, FW_START_US);
    ck_assert(!Fw_Relay_ReadsStore(r, FW_START_US + 300 * FW_MSEC));
    Fw_Relay_Free(r);
}
END_TEST

/* Guards against a server's leaving that nobody reads for seconds. */
START_TEST(a_hub_reads_the_store_soon_after_those_that_did_fell_silent)
{
    struct fw_relay *r = hub_behind_pollers(FW_START_US);

    Fw_Relay_SetFreshAsOf(r, FW_START_US);
    ck_assert(Fw_Relay_ReadsStore(r, FW_START_US + FW_SILENCE_US));
    Fw_Relay_Free(r);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("readers of the store");

    tcase_add_test(tc, a_hub_leaves_the_store_to_two_others);
    tcase_add_test(
        tc, a_hub_reads_the_store_soon_after_those_that_did_fell_silent);
    return Fw_Suite_Run(tc);
}
