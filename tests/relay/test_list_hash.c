/* The hash of the list of servers, by which instances see that it differs. */
#include "relay/relay_internal.h"
#include "tests/base/suite.h"

#define FW_START_US (100 * FW_SEC)

/** struct lister - an instance and the actions that it asks for. */
struct lister {
    struct fw_relay *r;
    struct fw_rl_actions acts;
};

static void
lister_init(struct lister *l)
{
    struct fw_relay_opts o = {.name = "n1", .retry_window_us = 1};

    l->r = Fw_Relay_New(&o, FW_START_US);
    Fw_RelayActions_Init(&l->acts);
}

static void
lister_clear(struct lister *l)
{
    Fw_RelayActions_Clear(&l->acts);
    Fw_Relay_Free(l->r);
}

static void
list(struct lister *l, const char *id, int is_listed, int64_t now_us)
{
    struct fw_rl_server_entry e = {.id = id,
                                   .service = "llm",
                                   .domain = "a",
                                   .addr = "10.0.0.1:1",
                                   .slots = 8,
                                   .born_ms = 1,
                                   .stage = FW_RL_STAGE_PREFILL};

    Fw_Relay_UpdateServer(l->r, id, is_listed ? &e : NULL, now_us, &l->acts);
}

static void
end_outage(struct lister *l)
{
    Fw_Relay_StoreUnreachable(l->r, FW_START_US);
    Fw_Relay_StoreRecovered(l->r, FW_START_US + 5 * FW_SEC);
}

/*
 * Guards against a server that the instance which reads the store no longer
 * uses, as its entry is gone after an outage, while the others go on.
 */
START_TEST(an_unlisted_server_changes_the_hash_before_it_is_removed)
{
    int64_t now_us = FW_START_US + 6 * FW_SEC;
    struct lister without;
    struct lister with;

    lister_init(&without);
    lister_init(&with);
    list(&without, "s1", 1, FW_START_US);
    list(&with, "s1", 1, FW_START_US);
    list(&with, "s2", 1, FW_START_US);
    end_outage(&with);
    list(&with, "s2", 0, now_us);
    ck_assert_ptr_nonnull(Fw_Servers_Find(with.r, "s2"));
    ck_assert_uint_eq(Fw_StoreSync_ServerListHash(with.r),
                      Fw_StoreSync_ServerListHash(without.r));
    Fw_Servers_Tick(with.r, now_us + 3 * FW_SEC, &with.acts);
    ck_assert_ptr_null(Fw_Servers_Find(with.r, "s2"));
    ck_assert_uint_eq(Fw_StoreSync_ServerListHash(with.r),
                      Fw_StoreSync_ServerListHash(without.r));
    lister_clear(&without);
    lister_clear(&with);
}
END_TEST

/* Guards against a hash that differs for good once a server was away. */
START_TEST(a_server_that_is_listed_again_restores_the_hash)
{
    int64_t now_us = FW_START_US + 6 * FW_SEC;
    struct lister l;
    uint64_t before;

    lister_init(&l);
    list(&l, "s1", 1, FW_START_US);
    list(&l, "s2", 1, FW_START_US);
    before = Fw_StoreSync_ServerListHash(l.r);
    end_outage(&l);
    for (int i = 0; i < 3; i++) {
        list(&l, "s2", 0, now_us);
        list(&l, "s2", 0, now_us);
        ck_assert_uint_ne(Fw_StoreSync_ServerListHash(l.r), before);
        list(&l, "s2", 1, now_us);
        list(&l, "s2", 1, now_us);
        ck_assert_uint_eq(Fw_StoreSync_ServerListHash(l.r), before);
    }
    lister_clear(&l);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("hash of the server list");

    tcase_add_test(tc,
                   an_unlisted_server_changes_the_hash_before_it_is_removed);
    tcase_add_test(tc, a_server_that_is_listed_again_restores_the_hash);
    return Fw_Suite_Run(tc);
}
