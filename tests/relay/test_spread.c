/* How messages reach all instances. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "relay/relay_internal.h"
#include "relay/spread.h"
#include "tests/base/suite.h"

#define FW_DOMAINS 3
#define FW_EACH 4
#define FW_ALL (FW_DOMAINS * FW_EACH)
#define FW_NOW_US (100 * FW_SEC)

/** struct fleet - instances 0 to FW_ALL - 1; @i % FW_DOMAINS is the domain. */
struct fleet {
    struct fw_relay *r[FW_ALL];
    int got[FW_ALL];
    int crossed;
};

static void
address(int i, char out[FW_URL_MAX])
{
    g_snprintf(out, FW_URL_MAX, "10.0.0.%d:1", i);
}

static void
know(struct fw_relay *r, int i, int64_t heard_us)
{
    struct fw_rl_member *m;
    char name[FW_NAME_MAX];
    char domain[FW_NAME_MAX];

    g_snprintf(name, sizeof(name), "n%d", i);
    g_snprintf(domain, sizeof(domain), "d%d", i % FW_DOMAINS);
    m = Fw_Members_Add(r, name, heard_us);
    m->heard_us = heard_us;
    m->domain = heard_us ? Fw_Hash_Str(domain) : 0;
    address(i, m->addr);
}

static void
fleet_init(struct fleet *f)
{
    *f = (struct fleet){0};
    for (int i = 0; i < FW_ALL; i++) {
        struct fw_relay_opts o = {.retry_window_us = 1};

        g_snprintf(o.name, sizeof(o.name), "n%d", i);
        g_snprintf(o.domain, sizeof(o.domain), "d%d", i % FW_DOMAINS);
        f->r[i] = Fw_Relay_New(&o, FW_NOW_US);
        for (int k = 0; k < FW_ALL; k++) {
            if (k != i) {
                know(f->r[i], k, FW_NOW_US);
            }
        }
    }
}

static void
fleet_clear(struct fleet *f)
{
    for (int i = 0; i < FW_ALL; i++) {
        Fw_Relay_Free(f->r[i]);
    }
}

static int
at(const GPtrArray *addrs, guint k)
{
    return atoi(strrchr(g_ptr_array_index(addrs, k), '.') + 1);
}

static void
give(struct fleet *f, int from, int to)
{
    f->got[to]++;
    f->crossed += from % FW_DOMAINS != to % FW_DOMAINS;
}

/* @from tells all; @dead is down, and receives nothing. */
static void
tell_all(struct fleet *f, int from, int dead)
{
    GPtrArray *direct = g_ptr_array_new();
    GPtrArray *through = g_ptr_array_new();
    char addr[FW_URL_MAX];

    address(from, addr);
    Fw_Relay_Routes(f->r[from], FW_NOW_US, direct, through);
    for (guint k = 0; k < direct->len; k++) {
        give(f, from, at(direct, k));
    }
    for (guint k = 0; k < through->len; k++) {
        int by = at(through, k);
        GPtrArray *to = g_ptr_array_new();

        give(f, from, by);
        if (by != dead) {
            Fw_Relay_PassOn(f->r[by], addr, to);
        }
        for (guint n = 0; n < to->len; n++) {
            give(f, by, at(to, n));
        }
        g_ptr_array_unref(to);
    }
    g_ptr_array_unref(direct);
    g_ptr_array_unref(through);
}

/*
 * A dozen instances in three domains. What one says reaches each of the
 * others once, and crosses to each other domain once.
 */
START_TEST(all_are_told_with_one_copy_a_domain)
{
    struct fleet f;

    fleet_init(&f);
    for (int from = 0; from < FW_ALL; from++) {
        memset(f.got, 0, sizeof(f.got));
        f.crossed = 0;
        tell_all(&f, from, -1);
        for (int i = 0; i < FW_ALL; i++) {
            ck_assert_int_eq(f.got[i], i != from);
        }
        ck_assert_int_eq(f.crossed, FW_DOMAINS - 1);
    }
    fleet_clear(&f);
}
END_TEST

/*
 * The instance that passed messages on has died, and nobody has noticed yet.
 * Its whole domain would hear nothing until then, and count the others as out
 * of touch; so they take turns, and most messages get through.
 */
START_TEST(one_that_died_costs_its_turn_only)
{
    struct fleet f;

    fleet_init(&f);
    for (int k = 0; k < FW_EACH * 5; k++) {
        tell_all(&f, 0, 1);
    }
    for (int i = 0; i < FW_ALL; i++) {
        if (i != 0 && i != 1) {
            ck_assert_int_ge(f.got[i], (FW_EACH - 1) * 5);
        }
    }
    fleet_clear(&f);
}
END_TEST

/*
 * A domain has lost power and its instances start again. None of them was
 * heard since: all are told directly, or none might hear of the others.
 */
START_TEST(a_silent_domain_is_told_directly)
{
    struct fleet f;

    fleet_init(&f);
    for (int i = 1; i < FW_ALL; i += FW_DOMAINS) {
        char name[FW_NAME_MAX];

        g_snprintf(name, sizeof(name), "n%d", i);
        Fw_Members_Find(f.r[0], name)->heard_us = FW_NOW_US - 5 * FW_SEC;
    }
    tell_all(&f, 0, -1);
    for (int i = 1; i < FW_ALL; i++) {
        ck_assert_int_eq(f.got[i], 1);
    }
    ck_assert_int_eq(f.crossed, FW_EACH + 1);
    fleet_clear(&f);
}
END_TEST

/* Bytes that are no envelope, or a broken one, are left as they are. */
START_TEST(an_envelope_is_opened_only_when_whole)
{
    static const uint8_t broken[] = {0xc1, 1, 9, 'a', 'b'};
    static const uint8_t odd[] = {0xc1, 7, 0, 1};
    GByteArray *msg = g_byte_array_new();
    struct fw_rl_envelope e;

    ck_assert(!Fw_Envelope_Open(broken, sizeof(broken), &e));
    ck_assert(!Fw_Envelope_Open(odd, sizeof(odd), &e));
    ck_assert(!Fw_Envelope_Open("\x9a", 1, &e));
    Fw_Envelope_Write(1, "10.0.0.1:1", "hello", 5, msg);
    ck_assert(Fw_Envelope_Open(msg->data, msg->len, &e));
    ck_assert_int_eq(e.pass_on, 1);
    ck_assert_str_eq(e.addr, "10.0.0.1:1");
    ck_assert_uint_eq(e.len, 5);
    ck_assert_mem_eq(e.data, "hello", 5);
    g_byte_array_unref(msg);
}
END_TEST

static struct fw_relay *
with_model(const char *name)
{
    struct fw_relay_opts o = {.retry_window_us = 1};
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_service_rule *s = Fw_Rules_AddService(rules);
    struct fw_rl_acts acts;
    struct fw_relay *r;

    g_strlcpy(o.name, name, sizeof(o.name));
    r = Fw_Relay_New(&o, FW_NOW_US);
    rules->version = 1;
    g_strlcpy(s->name, "llm", sizeof(s->name));
    s->engines = 1;
    Fw_Acts_Init(&acts);
    Fw_Relay_Rules(r, rules, 1, FW_NOW_US, &acts);
    Fw_Acts_Clear(&acts);
    Fw_Rules_Unref(rules);
    return r;
}

/*
 * An instance is replaced in the middle of a burst. Filling engines by a
 * blind guess it would take too little or too much; the others tell it what
 * they know. A message that is cut short changes nothing.
 */
START_TEST(a_new_instance_is_told_what_was_learned)
{
    struct fw_relay *old = with_model("n1");
    struct fw_relay *fresh = with_model("n2");
    GByteArray *msg = g_byte_array_new();
    struct fw_length_guess a;
    struct fw_length_guess b;

    ck_assert(!Fw_Relay_WriteLearned(old, msg));
    for (int i = 0; i < 30; i++) {
        Fw_Length_Note(&Fw_Learned_Of(old, "llm")->length, 300 + i, 2000,
                       23 + i % 4);
    }
    ck_assert(Fw_Relay_WriteLearned(old, msg));
    ck_assert_int_lt(Fw_Relay_ReadMessage(fresh, "10.0.0.1:1", msg->data,
                                          msg->len - 1, FW_NOW_US, NULL),
                     0);
    ck_assert_double_eq(Fw_Learned_Of(fresh, "llm")->length.n, 0);
    ck_assert_int_eq(Fw_Relay_ReadMessage(fresh, "10.0.0.1:1", msg->data,
                                          msg->len, FW_NOW_US, NULL),
                     0);
    Fw_Length_Guess(&Fw_Learned_Of(old, "llm")->length, 310, 2000, &a);
    Fw_Length_Guess(&Fw_Learned_Of(fresh, "llm")->length, 310, 2000, &b);
    ck_assert_double_eq_tol(a.mean, b.mean, 0.5);
    ck_assert_double_eq_tol(a.dev, b.dev, 0.5);
    g_byte_array_unref(msg);
    Fw_Relay_Free(old);
    Fw_Relay_Free(fresh);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay spread");

    tcase_add_test(tc, all_are_told_with_one_copy_a_domain);
    tcase_add_test(tc, one_that_died_costs_its_turn_only);
    tcase_add_test(tc, a_silent_domain_is_told_directly);
    tcase_add_test(tc, an_envelope_is_opened_only_when_whole);
    tcase_add_test(tc, a_new_instance_is_told_what_was_learned);
    return Fw_Suite_Run(tc);
}
