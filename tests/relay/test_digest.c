/* Messages between instances: invalid ones, deltas, and store queries. */
#include <check.h>
#include <errno.h>

#include "relay/relay_internal.h"
#include "tests/base/suite.h"

/*
 * Guards against memory allocated for the length that a message claims, and
 * against invalid messages of any sender that are applied in part.
 */
static const struct {
    const char *name;
    const char *bytes;
    size_t len;
} invalid_messages[] = {
    {"an empty message", "", 0},
    {"an array that claims gigabytes", "\xdd\xff\xff\xff\xff", 5},
    {"a map that claims gigabytes", "\xdf\xff\xff\xff\xff", 5},
    {"a digest with an array that claims gigabytes",
     "\x99\x01\xdd\xff\xff\xff\xff", 7},
    {"a string longer than the datagram", "\x99\x01\xdb\xff\xff\xff\xff", 7},
    {"a truncated array", "\x99\x01", 2},
    {"an integer instead of an array", "\x01", 1},
    {"a digest of another type", "\x99\x09\xa1n\x01\x01\x00\x90\x90\x90\x90",
     11},
    {"a digest without a name", "\x99\x01\xa0\x01\x01\x00\x90\x90\x90\x90",
     10},
    {"a digest whose rows are too short",
     "\x99\x01\xa1n\x01\x01\x00\x91\x91\x01\x90\x90\x91\x94\x01\x00\x00\x00",
     18},
    {"a delta of another type", "\x96\x09\xa1n\x01\x01\x90\x90", 8},
    {"a delta whose rows are too short",
     "\x96\x04\xa1n\x01\x01\x91\x91\x01\x90", 10},
    {"a report whose rows are too short",
     "\x9c\x08\xa1n\x01\x01\x01\x01\x01\x90\x91\x91\x01\x90\x90\x90", 16},
    {"a report without a name",
     "\x9c\x08\xa0\x01\x01\x01\x01\x01\x90\x90\x90\x90\x90", 13},
    {"a reply without the fleet's counts",
     "\x9b\x09\xa1n\x01\x01\x01\x01\x90\x90\x90\x90\x90", 13},
    {"a list of hubs with a short row", "\x95\x0a\xa1n\x01\x01\x91\x91\xa1m",
     9},
    {"a list of hubs without a sender", "\x95\x0a\xa0\x01\x01\x90", 6},
    {"limits without a sender", "\x93\x0b\x01\x90", 4},
    {"limits whose rows are too short",
     "\x93\x0b\xa1n\x91\x94\x01\x01\x01\x01", 10},
    {"crashes without a sender", "\x95\x0c\x01\x90\x90\x90", 6},
    {"a crash whose row is too short", "\x95\x0c\xa1n\x91\x92\x01\x01\x90\x90",
     10},
    {"a crash with part of a key",
     "\x95\x0c\xa1n\x91\x94\x01\x01\x00\x07\x90\x90", 12},
    {"a crash in the future", "\x95\x0c\xa1n\x91\x93\x01\xff\x00\x90\x90", 11},
    {"a quarantine whose row is too short",
     "\x95\x0c\xa1n\x90\x90\x91\x92\x01\x01", 10},
    {"a query without its nonce", "\x92\x02\x01", 3},
    {"an answer with a string in it", "\x95\x03\x01\x01\xa1n\x00", 7},
};

START_TEST(an_invalid_message_is_rejected)
{
    struct fw_relay_opts opts = {
        .name = "n1", .boot = 1, .retry_window_us = 1};
    struct fw_relay *r = Fw_Relay_New(&opts, FW_SEC);
    struct fw_rl_outbox outbox;

    Fw_Outbox_Init(&outbox);
    ck_assert_msg(Fw_Relay_ReadMessage(
                      r, "127.0.0.9:1", invalid_messages[_i].bytes,
                      invalid_messages[_i].len, FW_SEC, &outbox) == -EBADMSG,
                  "%s is accepted", invalid_messages[_i].name);
    ck_assert(Fw_List_Empty(&r->members));
    ck_assert_uint_eq(outbox.all->len, 0);
    g_ptr_array_unref(outbox.all);
    Fw_Relay_Free(r);
}
END_TEST

/** struct instance_pair - two instances and a team with a low limit. */
struct instance_pair {
    struct fw_relay *from;
    struct fw_relay *to;
    struct fw_rl_rules *rules;
    const struct fw_rl_team_rule *team;
    GByteArray *msg;
    struct fw_rl_outbox outbox;
};

#define FW_NOW_US (10 * FW_SEC)
#define FW_COST 6000

static struct fw_relay *
make_relay(const char *name, struct fw_rl_rules *rules)
{
    struct fw_relay_opts opts = {
        .boot = 1, .retry_window_us = 1, .key_stale_us = 4 * FW_SEC};
    struct fw_rl_actions acts;
    struct fw_relay *r;

    g_strlcpy(opts.name, name, sizeof(opts.name));
    r = Fw_Relay_New(&opts, FW_SEC);
    Fw_RelayActions_Init(&acts);
    Fw_Relay_SetRules(r, rules, 1, FW_SEC, &acts);
    Fw_RelayActions_Clear(&acts);
    return r;
}

static void
deliver(struct instance_pair *p)
{
    ck_assert_int_ge(Fw_Relay_ReadMessage(p->to, "127.0.0.9:1", p->msg->data,
                                          p->msg->len, FW_NOW_US, &p->outbox),
                     0);
    Fw_Outbox_Clear(&p->outbox);
}

static int
try_spend(struct fw_relay *r, const struct instance_pair *p)
{
    int64_t retry_us;

    return Fw_Allowance_Take(r, p->team, FW_COST, FW_NOW_US, &retry_us);
}

static void
pair_init(struct instance_pair *p)
{
    struct fw_rl_team_rule *t;

    p->rules = Fw_Rules_New();
    p->rules->version = 1;
    t = Fw_Rules_AddTeam(p->rules);
    t->name = "t";
    t->rate = 1000;
    t->burst = 10000;
    p->team = t;
    p->from = make_relay("n1", p->rules);
    p->to = make_relay("n2", p->rules);
    p->msg = g_byte_array_new();
    Fw_Outbox_Init(&p->outbox);
    Fw_Digest_Write(p->from, FW_NOW_US, p->msg);
    deliver(p);
    g_byte_array_set_size(p->msg, 0);
}

static void
pair_clear(struct instance_pair *p)
{
    g_byte_array_unref(p->msg);
    Fw_Outbox_Clear(&p->outbox);
    g_ptr_array_unref(p->outbox.all);
    Fw_Relay_Free(p->from);
    Fw_Relay_Free(p->to);
    Fw_Rules_Unref(p->rules);
}

/* Guards against two instances that grant the same tokens between digests. */
START_TEST(large_spending_is_sent_before_the_next_digest)
{
    struct instance_pair p;

    pair_init(&p);
    ck_assert(try_spend(p.from, &p));
    ck_assert(p.from->exchange.delta_pending);
    Fw_Delta_Write(p.from, FW_NOW_US, p.msg);
    deliver(&p);
    ck_assert(!try_spend(p.to, &p));
    pair_clear(&p);
}
END_TEST

/* Guards against tokens counted twice when a datagram is duplicated. */
START_TEST(a_duplicate_delta_is_counted_once)
{
    struct instance_pair p;
    GByteArray *first = g_byte_array_new();

    pair_init(&p);
    ck_assert(try_spend(p.from, &p));
    Fw_Delta_Write(p.from, FW_NOW_US, first);
    g_byte_array_append(p.msg, first->data, first->len);
    deliver(&p);
    deliver(&p);
    Fw_Allowance_Refund(p.to, "t", 2000);
    ck_assert(try_spend(p.to, &p));
    g_byte_array_unref(first);
    pair_clear(&p);
}
END_TEST

/* Guards against two instances that overcommit an engine between digests. */
START_TEST(a_placement_is_sent_before_the_next_digest)
{
    struct fw_rl_server_entry e = {.id = "e1",
                                   .service = "llm",
                                   .addr = "e1:1",
                                   .stage = FW_RL_STAGE_DECODE};
    struct fw_rl_server *s;
    struct fw_rl_actions acts;
    struct fw_rl_load load;
    struct instance_pair p;

    pair_init(&p);
    Fw_RelayActions_Init(&acts);
    Fw_Relay_UpdateServer(p.from, e.id, &e, FW_NOW_US, &acts);
    Fw_Relay_UpdateServer(p.to, e.id, &e, FW_NOW_US, &acts);
    s = Fw_Servers_Find(p.from, "e1");
    s->running = 1;
    s->kv_tokens = 7000;
    Fw_Delta_NotePlacement(p.from, s);
    ck_assert(p.from->exchange.delta_pending);
    Fw_Delta_Write(p.from, FW_NOW_US, p.msg);
    deliver(&p);
    Fw_Place_Load(p.to, Fw_Servers_Find(p.to, "e1"), FW_NOW_US, &load);
    ck_assert_int_eq(load.running, 1);
    ck_assert_int_eq(load.kv_tokens, 7000);
    Fw_RelayActions_Clear(&acts);
    pair_clear(&p);
}
END_TEST

/*
 * Guards against keys that expire on an instance that the store rejects while
 * another instance could confirm them.
 */
START_TEST(an_instance_without_store_access_queries_another)
{
    int64_t later_us = FW_NOW_US + 4500 * FW_MSEC;
    const struct fw_rl_datagram *d;
    gsize len;
    const void *data;
    struct instance_pair p;

    pair_init(&p);
    Fw_Relay_SetFreshAsOf(p.to, FW_NOW_US);
    Fw_StoreSync_SendQuery(p.to, FW_NOW_US + FW_SEC, &p.outbox);
    ck_assert_uint_eq(p.outbox.all->len, 0);
    Fw_Digest_Write(p.from, later_us, p.msg);
    Fw_Relay_ReadMessage(p.to, "127.0.0.9:1", p.msg->data, p.msg->len,
                         later_us, &p.outbox);
    Fw_Outbox_Clear(&p.outbox);
    Fw_StoreSync_SendQuery(p.to, later_us, &p.outbox);
    ck_assert_uint_eq(p.outbox.all->len, 1);
    d = g_ptr_array_index(p.outbox.all, 0);
    ck_assert_str_eq(d->addr, "127.0.0.9:1");
    data = g_bytes_get_data(d->data, &len);
    Fw_Relay_SetFreshAsOf(p.from, later_us - FW_SEC);
    Fw_Relay_ReadMessage(p.from, "127.0.0.8:1", data, len, later_us,
                         &p.outbox);
    ck_assert_uint_eq(p.outbox.all->len, 2);
    d = g_ptr_array_index(p.outbox.all, 1);
    ck_assert_str_eq(d->addr, "127.0.0.8:1");
    data = g_bytes_get_data(d->data, &len);
    Fw_Relay_ReadMessage(p.to, "127.0.0.9:1", data, len, later_us, &p.outbox);
    ck_assert(Fw_Relay_AreKeysFresh(p.to, later_us + 2 * FW_SEC));
    ck_assert(!Fw_Relay_AreKeysFresh(p.to, later_us + 3 * FW_SEC));
    pair_clear(&p);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay digests");

    tcase_add_loop_test(tc, an_invalid_message_is_rejected, 0,
                        G_N_ELEMENTS(invalid_messages));
    tcase_add_test(tc, large_spending_is_sent_before_the_next_digest);
    tcase_add_test(tc, a_duplicate_delta_is_counted_once);
    tcase_add_test(tc, an_instance_without_store_access_queries_another);
    tcase_add_test(tc, a_placement_is_sent_before_the_next_digest);
    return Fw_Suite_Run(tc);
}
