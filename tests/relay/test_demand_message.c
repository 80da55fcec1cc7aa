/* Messages about demand between instances. */
#include <check.h>
#include <string.h>

#include "base/hash.h"
#include "relay/relay_internal.h"
#include "tests/base/suite.h"

#define FW_START_US (1000 * FW_SEC)
#define FW_TOKENS 5200
/* The clinic's rows of one message: streams of two ranks, two plain services,
 * one of them with two ranks. */
#define FW_BYTES_MAX 260

/* A service with engines and two routes, and a plain one. */
static struct fw_rl_rules *
new_rules(int rank, int other_rank)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_service_rule *s = Fw_Rules_AddService(rules);

    rules->version = 1;
    s->name = "model";
    s->has_engines = 1;
    s = Fw_Rules_AddService(rules);
    s->name = "plain";
    for (int i = 0; i < 2; i++) {
        struct fw_rl_route_rule *route = Fw_Rules_AddRoute(rules);

        route->generates = 1;
        route->priority = i ? other_rank : rank;
        Fw_Rules_SetTarget(rules, route, "model");
    }
    Fw_Rules_Index(rules);
    return rules;
}

static struct fw_relay *
new_relay(const char *name, const char *peer, struct fw_rl_rules *rules,
          int forecast)
{
    struct fw_relay_opts o = {
        .boot = 1, .seed = 1, .precedence = 1, .admission_forecast = forecast};
    struct fw_rl_peer p = {0};
    struct fw_rl_actions acts;
    struct fw_relay *r;

    g_strlcpy(o.name, name, sizeof(o.name));
    r = Fw_Relay_New(&o, FW_START_US);
    g_strlcpy(p.name, peer, sizeof(p.name));
    g_strlcpy(p.addr, peer, sizeof(p.addr));
    Fw_Relay_AddMember(r, &p, FW_START_US);
    Fw_Relay_EndMemberList(r, FW_START_US);
    Fw_Hubs_UpdateRoles(r, FW_START_US);
    Fw_RelayActions_Init(&acts);
    Fw_Relay_SetRules(r, rules, 1, FW_START_US, &acts);
    Fw_RelayActions_Clear(&acts);
    Fw_Rules_Unref(rules);
    return r;
}

/* The message about demand that @r sends, NULL for none. */
static GBytes *
take_message(struct fw_relay *r, int64_t now_us)
{
    struct fw_rl_outbox out;
    GBytes *data = NULL;

    Fw_Outbox_Init(&out);
    Fw_DemandMessage_SendDue(r, now_us, &out);
    if (out.all->len) {
        const struct fw_rl_datagram *d = g_ptr_array_index(out.all, 0);

        data = g_bytes_ref(d->data);
    }
    Fw_Outbox_Clear(&out);
    g_ptr_array_unref(out.all);
    return data;
}

static void
receive(struct fw_relay *r, GBytes *msg, int64_t now_us)
{
    struct fw_rl_outbox out;
    gsize len;
    const void *data = g_bytes_get_data(msg, &len);

    Fw_Outbox_Init(&out);
    ck_assert_int_eq(
        Fw_Relay_ReadMessage(r, "10.0.0.1:1", data, len, now_us, &out), 0);
    Fw_Outbox_Clear(&out);
    g_ptr_array_unref(out.all);
}

static void
add_waiting(struct fw_relay *r, const char *service, int rank, int n)
{
    Fw_Demand_AddWaiting(r->service_demand.demand, Fw_Hash_Str(service), rank,
                         n, (int64_t)n * FW_TOKENS);
}

static int64_t
waiting_at(const struct fw_relay *r, int rank, int64_t now_us)
{
    struct fw_demand_sum sum;

    Fw_Demand_GetTotal(r->service_demand.demand, Fw_Hash_Str("model"), rank,
                       now_us, &sum);
    return sum.waiting;
}

/* Guards against demand of others that is unknown, or counted twice. */
START_TEST(another_instance_learns_the_demand)
{
    struct fw_relay *a = new_relay("a", "b", new_rules(0, 2), 1);
    struct fw_relay *b = new_relay("b", "a", new_rules(0, 2), 1);
    int64_t now_us = FW_START_US + FW_SEC;
    GBytes *msg;
    GBytes *next;

    for (int i = 0; i < 200; i++) {
        Fw_Demand_NoteAsked(a->service_demand.demand, Fw_Hash_Str("model"),
                            i % 2 * 2, FW_TOKENS, now_us);
        Fw_Demand_NoteAsked(a->service_demand.demand, Fw_Hash_Str("plain"),
                            i % 2, 0, now_us);
    }
    add_waiting(a, "model", 2, 3);
    add_waiting(b, "model", 2, 4);
    msg = take_message(a, now_us);
    ck_assert_ptr_nonnull(msg);
    ck_assert_uint_le(g_bytes_get_size(msg), FW_BYTES_MAX);
    receive(b, msg, now_us);
    receive(b, msg, now_us);
    ck_assert_int_eq(waiting_at(b, 2, now_us), 7);
    ck_assert_int_eq(waiting_at(b, 2, now_us + FW_SEC), 4);
    add_waiting(a, "model", 2, -3);
    ck_assert_ptr_null(take_message(a, now_us + 149 * FW_MSEC));
    next = take_message(a, now_us + 150 * FW_MSEC);
    receive(b, next, now_us + 150 * FW_MSEC);
    receive(b, msg, now_us + 150 * FW_MSEC);
    ck_assert_int_eq(waiting_at(b, 2, now_us + 150 * FW_MSEC), 4);
    g_bytes_unref(msg);
    g_bytes_unref(next);
    Fw_Relay_Free(a);
    Fw_Relay_Free(b);
}
END_TEST

/**
 * struct sent_case - whether demand is sent.
 * @rank, @other_rank: of the routes of the service with engines
 */
struct sent_case {
    int rank;
    int other_rank;
    int forecast;
    const char *service;
    int is_sent;
};

static const struct sent_case sent_cases[] = {
    {0, 2, 0, "model", 1}, {1, 1, 0, "model", 0}, {1, 1, 1, "model", 0},
    {0, 2, 0, "plain", 0}, {1, 1, 1, "plain", 1},
};

/* Guards against messages that no decision needs. */
START_TEST(demand_is_sent_where_it_decides)
{
    const struct sent_case *t = &sent_cases[_i];
    struct fw_relay *a =
        new_relay("a", "b", new_rules(t->rank, t->other_rank), t->forecast);
    int64_t now_us = FW_START_US + FW_SEC;
    GBytes *msg;

    ck_assert_ptr_null(take_message(a, now_us));
    add_waiting(a, t->service, t->rank, 1);
    msg = take_message(a, now_us);
    ck_assert_int_eq(msg != NULL, t->is_sent);
    add_waiting(a, t->service, t->rank, -1);
    g_clear_pointer(&msg, g_bytes_unref);
    msg = take_message(a, now_us + FW_SEC);
    ck_assert_int_eq(msg != NULL, t->is_sent);
    g_clear_pointer(&msg, g_bytes_unref);
    ck_assert_ptr_null(take_message(a, now_us + 2 * FW_SEC));
    Fw_Relay_Free(a);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("demand messages");

    tcase_add_test(tc, another_instance_learns_the_demand);
    tcase_add_loop_test(tc, demand_is_sent_where_it_decides, 0,
                        G_N_ELEMENTS(sent_cases));
    return Fw_Suite_Run(tc);
}
