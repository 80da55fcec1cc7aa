/*
 * Messages between instances: those that break the form, which anyone who
 * reaches the port can send, and what a hub learns between digests.
 */
#include <check.h>
#include <errno.h>

#include "relay/relay_internal.h"
#include "tests/base/suite.h"

/*
 * A peer of another version, or something that isn't one, sends bytes that
 * claim more than they hold. The library would allocate what they claim: the
 * operator sees an instance killed for its memory.
 */
static const struct {
    const char *name;
    const char *bytes;
    size_t len;
} broken[] = {
    {"nothing", "", 0},
    {"an array that claims gigabytes", "\xdd\xff\xff\xff\xff", 5},
    {"a map that claims gigabytes", "\xdf\xff\xff\xff\xff", 5},
    {"such an array within a digest", "\x99\x01\xdd\xff\xff\xff\xff", 7},
    {"a text longer than the datagram", "\x99\x01\xdb\xff\xff\xff\xff", 7},
    {"an array that is cut off", "\x99\x01", 2},
    {"no array", "\x01", 1},
    {"a digest of another form", "\x99\x09\xa1n\x01\x01\x00\x90\x90\x90\x90",
     11},
    {"a digest without a name", "\x99\x01\xa0\x01\x01\x00\x90\x90\x90\x90",
     10},
    {"a digest whose rows are too short",
     "\x99\x01\xa1n\x01\x01\x00\x91\x91\x01\x90\x90\x91\x94\x01\x00\x00\x00",
     18},
    {"a delta of another form", "\x96\x09\xa1n\x01\x01\x90\x90", 8},
    {"a delta whose rows are too short",
     "\x96\x04\xa1n\x01\x01\x91\x91\x01\x90", 10},
    {"a report whose rows are too short",
     "\x9c\x08\xa1n\x01\x01\x01\x01\x01\x90\x91\x91\x01\x90\x90\x90", 16},
    {"a report without a name",
     "\x9c\x08\xa0\x01\x01\x01\x01\x01\x90\x90\x90\x90\x90", 13},
    {"a reply without its counts",
     "\x9b\x09\xa1n\x01\x01\x01\x01\x90\x90\x90\x90\x90", 13},
    {"a list of hubs with a short row", "\x95\x0a\xa1n\x01\x01\x91\x91\xa1m",
     9},
    {"a list of hubs from nobody", "\x95\x0a\xa0\x01\x01\x90", 6},
    {"a question without its number", "\x92\x02\x01", 3},
    {"an answer with a text in it", "\x95\x03\x01\x01\xa1n\x00", 7},
};

START_TEST(a_broken_datagram_costs_nothing)
{
    struct fw_relay_opts opts = {
        .name = "n1", .boot = 1, .retry_window_us = 1};
    struct fw_relay *r = Fw_Relay_New(&opts, FW_SEC);
    struct fw_rl_mail mail;

    Fw_Mail_Init(&mail);
    ck_assert_msg(Fw_Relay_ReadMessage(r, "127.0.0.9:1", broken[_i].bytes,
                                       broken[_i].len, FW_SEC,
                                       &mail) == -EBADMSG,
                  "%s is taken", broken[_i].name);
    ck_assert(Fw_List_Empty(&r->members));
    ck_assert_uint_eq(mail.all->len, 0);
    g_ptr_array_unref(mail.all);
    Fw_Relay_Free(r);
}
END_TEST

/** struct pair - two instances that know each other, and a tight team. */
struct pair {
    struct fw_relay *from;
    struct fw_relay *to;
    struct fw_rl_rules *rules;
    const struct fw_rl_team_rule *team;
    GByteArray *msg;
    struct fw_rl_mail mail;
};

#define FW_NOW_US (10 * FW_SEC)
#define FW_COST 6000

static struct fw_relay *
instance(const char *name, struct fw_rl_rules *rules)
{
    struct fw_relay_opts opts = {
        .boot = 1, .retry_window_us = 1, .key_stale_us = 4 * FW_SEC};
    struct fw_rl_acts acts;
    struct fw_relay *r;

    g_strlcpy(opts.name, name, sizeof(opts.name));
    r = Fw_Relay_New(&opts, FW_SEC);
    Fw_Acts_Init(&acts);
    Fw_Relay_Rules(r, rules, 1, FW_SEC, &acts);
    Fw_Acts_Clear(&acts);
    return r;
}

static void
tell(struct pair *p)
{
    ck_assert_int_ge(Fw_Relay_ReadMessage(p->to, "127.0.0.9:1", p->msg->data,
                                          p->msg->len, FW_NOW_US, &p->mail),
                     0);
    Fw_Mail_Clear(&p->mail);
}

static int
takes(struct fw_relay *r, const struct pair *p)
{
    int64_t retry_us;

    return Fw_Allowance_Take(r, p->team, FW_COST, FW_NOW_US, &retry_us);
}

static void
pair_init(struct pair *p)
{
    struct fw_rl_team_rule *t;

    p->rules = Fw_Rules_New();
    p->rules->version = 1;
    t = Fw_Rules_AddTeam(p->rules);
    g_strlcpy(t->name, "t", sizeof(t->name));
    t->rate = 1000;
    t->burst = 10000;
    p->team = t;
    p->from = instance("n1", p->rules);
    p->to = instance("n2", p->rules);
    p->msg = g_byte_array_new();
    Fw_Mail_Init(&p->mail);
    Fw_Digest_Write(p->from, FW_NOW_US, p->msg);
    tell(p);
    g_byte_array_set_size(p->msg, 0);
}

static void
pair_clear(struct pair *p)
{
    g_byte_array_unref(p->msg);
    Fw_Mail_Clear(&p->mail);
    g_ptr_array_unref(p->mail.all);
    Fw_Relay_Free(p->from);
    Fw_Relay_Free(p->to);
    Fw_Rules_Unref(p->rules);
}

/*
 * A team sends large requests through two instances within the time between
 * two digests. The second would let through what the first has let through
 * already, and the team would get more than its rate, or be refused later for
 * what it got too much.
 */
START_TEST(what_a_tight_team_spends_is_known_before_the_next_digest)
{
    struct pair p;

    pair_init(&p);
    ck_assert(takes(p.from, &p));
    ck_assert(p.from->x.wants_delta);
    Fw_Delta_Write(p.from, FW_NOW_US, p.msg);
    tell(&p);
    ck_assert(!takes(p.to, &p));
    pair_clear(&p);
}
END_TEST

/*
 * Datagrams overtake each other and come twice. Counted twice, a team would
 * be refused for what it has not spent.
 */
START_TEST(a_delta_that_comes_twice_counts_once)
{
    struct pair p;
    GByteArray *first = g_byte_array_new();

    pair_init(&p);
    ck_assert(takes(p.from, &p));
    Fw_Delta_Write(p.from, FW_NOW_US, first);
    g_byte_array_append(p.msg, first->data, first->len);
    tell(&p);
    tell(&p);
    Fw_Allowance_Return(p.to, "t", 2000);
    ck_assert(takes(p.to, &p));
    g_byte_array_unref(first);
    pair_clear(&p);
}
END_TEST

/*
 * Two instances choose an engine within the time between two digests. Each
 * sees its memory free, both send a stream there, and the engine preempts.
 */
START_TEST(a_placement_is_known_before_the_next_digest)
{
    struct fw_rl_server_entry e = {.id = "e1",
                                   .service = "llm",
                                   .addr = "e1:1",
                                   .stage = FW_RL_STAGE_DECODE};
    struct fw_rl_server *s;
    struct fw_rl_acts acts;
    struct fw_rl_load load;
    struct pair p;

    pair_init(&p);
    Fw_Acts_Init(&acts);
    Fw_Relay_Server(p.from, e.id, &e, FW_NOW_US, &acts);
    Fw_Relay_Server(p.to, e.id, &e, FW_NOW_US, &acts);
    s = Fw_Servers_Find(p.from, "e1");
    s->running = 1;
    s->reserved = 7000;
    Fw_Delta_Placed(p.from, s);
    ck_assert(p.from->x.wants_delta);
    Fw_Delta_Write(p.from, FW_NOW_US, p.msg);
    tell(&p);
    Fw_Place_Load(p.to, Fw_Servers_Find(p.to, "e1"), FW_NOW_US, &load);
    ck_assert_int_eq(load.running, 1);
    ck_assert_int_eq(load.reserved, 7000);
    Fw_Acts_Clear(&acts);
    pair_clear(&p);
}
END_TEST

/*
 * The store turns one instance away and serves the others, as it does at
 * times for many seconds. That instance refused each request with a key
 * though the one beside it knew that nothing had changed.
 */
START_TEST(an_instance_that_the_store_turns_away_asks_another)
{
    int64_t later_us = FW_NOW_US + 4500 * FW_MSEC;
    const struct fw_rl_datagram *d;
    gsize len;
    const void *data;
    struct pair p;

    pair_init(&p);
    Fw_Relay_Fresh(p.to, FW_NOW_US);
    Fw_StoreSync_SendQuery(p.to, FW_NOW_US + FW_SEC, &p.mail);
    ck_assert_uint_eq(p.mail.all->len, 0);
    Fw_Digest_Write(p.from, later_us, p.msg);
    Fw_Relay_ReadMessage(p.to, "127.0.0.9:1", p.msg->data, p.msg->len,
                         later_us, &p.mail);
    Fw_Mail_Clear(&p.mail);
    Fw_StoreSync_SendQuery(p.to, later_us, &p.mail);
    ck_assert_uint_eq(p.mail.all->len, 1);
    d = g_ptr_array_index(p.mail.all, 0);
    ck_assert_str_eq(d->addr, "127.0.0.9:1");
    data = g_bytes_get_data(d->data, &len);
    Fw_Relay_Fresh(p.from, later_us - FW_SEC);
    Fw_Relay_ReadMessage(p.from, "127.0.0.8:1", data, len, later_us, &p.mail);
    ck_assert_uint_eq(p.mail.all->len, 2);
    d = g_ptr_array_index(p.mail.all, 1);
    ck_assert_str_eq(d->addr, "127.0.0.8:1");
    data = g_bytes_get_data(d->data, &len);
    Fw_Relay_ReadMessage(p.to, "127.0.0.9:1", data, len, later_us, &p.mail);
    ck_assert(Fw_Relay_KeysFresh(p.to, later_us + 2 * FW_SEC));
    ck_assert(!Fw_Relay_KeysFresh(p.to, later_us + 3 * FW_SEC));
    pair_clear(&p);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay digests");

    tcase_add_loop_test(tc, a_broken_datagram_costs_nothing, 0,
                        G_N_ELEMENTS(broken));
    tcase_add_test(tc,
                   what_a_tight_team_spends_is_known_before_the_next_digest);
    tcase_add_test(tc, a_delta_that_comes_twice_counts_once);
    tcase_add_test(tc, an_instance_that_the_store_turns_away_asks_another);
    tcase_add_test(tc, a_placement_is_known_before_the_next_digest);
    return Fw_Suite_Run(tc);
}
