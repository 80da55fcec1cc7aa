/* Orders to engines: planning, role checks, and lost or delayed orders. */
#include <check.h>
#include <string.h>

#include "explore/p_order_env.h"
#include "order/order_internal.h"
#include "tests/base/suite.h"

struct plan_case {
    const char *role; /* configured */
    const char *reported_role;
    const char *reported_models; /* separated by blanks */
    int busy;
    int drained;
    struct fw_order_counts counts;
    const char *expected; /* part of the order, or of the reason for none */
};

/* The pool serves m@2 and m@2+a, with a minimum of one engine per role. */
static const struct plan_case plans[] = {
    {"decode", "decode", "m@2 m@2+a", 9, 0, {2, 2, 0}, "as configured"},
    {"decode", "decode", "", 9, 0, {2, 2, 0}, "load_model m@2"},
    {"decode", "decode", "m@2", 9, 0, {2, 2, 0}, "load_adapter m@2+a"},
    {"decode", "decode", "m@2", 0, 0, {2, 2, 1}, "waits for a load"},
    {"decode", "decode", "m@1 m@2 m@2+a", 0, 0, {2, 2, 0}, "unload_model m@1"},
    {"decode", "decode", "m@1 m@2 m@2+a", 3, 0, {2, 2, 0}, "idle to unload"},
    {"decode",
     "decode",
     "m@1+b m@2 m@2+a m@1",
     0,
     0,
     {2, 2, 0},
     "unload_adapter m@1+b"},
    {"decode", "prefill", "m@2 m@2+a", 0, 0, {2, 2, 0}, "set_role decode"},
    {"decode", "prefill", "m@2 m@2+a", 1, 0, {2, 2, 0}, "idle to change"},
    {"decode", "prefill", "m@2 m@2+a", 0, 0, {1, 2, 0}, "kept: one of"},
    {"prefill", "decode", "m@2 m@2+a", 0, 0, {2, 1, 0}, "kept: one of"},
    {"decode", "prefill", "m@2 m@2+a", 0, 1, {1, 2, 0}, "set_role decode"},
    {"decode", "prefill", "m@2 m@2+a", 0, 1, {0, 2, 0}, "kept: one of"},
};

static void
fill_engine(struct fw_order_engine *e, const struct plan_case *c)
{
    char **names = g_strsplit(c->reported_models, " ", -1);

    g_strlcpy(e->report.role, c->reported_role, sizeof(e->report.role));
    e->report.busy_slots = c->busy;
    e->drained = c->drained;
    for (int i = 0; names[i]; i++) {
        if (names[i][0]) {
            g_strlcpy(e->report.models[e->report.n_models++], names[i],
                      FW_MODELREF_MAX);
        }
    }
    g_strfreev(names);
}

/* A busy engine must not unload models or change role, and the last engine of
 * a role must keep it: requests would be aborted, or find no engine. */
START_TEST(plan_chooses_next_order)
{
    const struct fw_pool pool = {.prefill_min = 1,
                                 .decode_min = 1,
                                 .n_serves = 1,
                                 .serves = {{"m", "2", "a"}}};

    for (size_t i = 0; i < G_N_ELEMENTS(plans); i++) {
        const struct plan_case *c = &plans[i];
        struct fw_upstream up = {.role = strcmp(c->role, "decode") == 0
                                             ? FW_ROLE_DECODE
                                             : FW_ROLE_PREFILL};
        struct fw_order_engine e = {.op = 0};
        struct fw_up_order o = {.fence = 0};
        char why[96] = "";
        char *got;

        fill_engine(&e, c);
        if (Fw_Order_Plan(&pool, &up, &e, &c->counts, &o, why, sizeof(why))) {
            got = g_strdup_printf("%s %s%s%s%s%s%s", Fw_Order_OpName(o.op),
                                  o.model, o.version[0] ? "@" : "", o.version,
                                  o.adapter[0] ? "+" : "", o.adapter, o.role);
        }
        else {
            got = g_strdup(why);
        }
        ck_assert_msg(strstr(got, c->expected) != NULL, "plan %zu: %s", i,
                      got);
        g_free(got);
    }
}
END_TEST

static void
expect(struct fw_order_env *y, const char *want)
{
    char *got = Fw_OrderEnv_TakeJournal(y);

    ck_assert_str_eq(got, want);
    g_free(got);
}

START_TEST(engines_converge_to_pool_configuration)
{
    struct fw_order_env *y = Fw_OrderEnv_New();

    Fw_OrderEnv_AddEngine(y, "e1", "prefill", "prefill", "m@0");
    Fw_OrderEnv_AddEngine(y, "e2", "decode", "decode", "m@1");
    Fw_OrderEnv_AddEngine(y, "e3", "decode", "prefill", "m@1");
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Advance(y, 60 * FW_SEC);
    expect(y, "holder0 e1 load m@1 -> done\n"
              "holder0 e1 unload m@0 -> done\n"
              "holder0 e3 role decode -> done\n");
    Fw_OrderEnv_Advance(y, 300 * FW_SEC);
    expect(y, "");
    Fw_OrderEnv_Free(y);
}
END_TEST

/* Concurrent loads share the bandwidth of the weight store, and would take all
 * their engines out of service for longer. */
START_TEST(a_pool_loads_one_model_at_a_time)
{
    struct fw_order_env *y = Fw_OrderEnv_New();
    int max_under_way = 0;

    Fw_OrderEnv_AddEngine(y, "e1", "decode", "decode", "");
    Fw_OrderEnv_AddEngine(y, "e2", "decode", "decode", "");
    Fw_OrderEnv_AddEngine(y, "e3", "decode", "decode", "");
    y->order_delay_us = 7 * FW_SEC;
    Fw_OrderEnv_Start(y, 0);
    for (int i = 0; i < 600; i++) {
        Fw_OrderEnv_Advance(y, 100 * FW_MSEC);
        max_under_way = MAX(max_under_way, Fw_OrderEnv_CountPendingOrders(y));
    }
    ck_assert_int_eq(max_under_way, 1);
    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(y->engines[i].n_models, 1);
    }
    Fw_OrderEnv_Free(y);
}
END_TEST

/* A holder that resumes after its lease has expired must send no order: an
 * engine without fencing would execute it. */
START_TEST(paused_holder_sends_no_order_after_lease)
{
    struct fw_order_env *y = Fw_OrderEnv_New();
    struct fw_order_env_engine *e =
        Fw_OrderEnv_AddEngine(y, "e1", "decode", "decode", "m@1");

    e->checks_fence = 0;
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Advance(y, 60 * FW_SEC);
    expect(y, "");
    y->holders[0].paused = 1;
    Fw_OrderEnv_Start(y, 1);
    Fw_OrderEnv_Advance(y, 60 * FW_SEC);
    e->n_models = 0;
    y->holders[1].paused = 1;
    y->holders[0].paused = 0;
    Fw_OrderEnv_Advance(y, 3 * FW_SEC);
    expect(y, "");
    y->holders[0].paused = 1;
    y->holders[1].paused = 0;
    Fw_OrderEnv_Advance(y, 120 * FW_SEC);
    expect(y, "holder1 e1 load m@1 -> done\n");
    Fw_OrderEnv_Free(y);
}
END_TEST

/* Two instances take the role at once: only the one whose record is first in
 * the log may send orders. */
START_TEST(one_of_two_candidates_sends_orders)
{
    struct fw_order_env *y = Fw_OrderEnv_New();
    char *text;

    Fw_OrderEnv_AddEngine(y, "e1", "decode", "decode", "");
    Fw_OrderEnv_AddEngine(y, "e2", "decode", "decode", "");
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Start(y, 1);
    Fw_OrderEnv_Advance(y, 120 * FW_SEC);
    text = Fw_OrderEnv_TakeJournal(y);
    ck_assert_int_eq(y->engines[0].n_models, 1);
    ck_assert_int_eq(y->engines[1].n_models, 1);
    ck_assert(!strstr(text, "holder0") || !strstr(text, "holder1"));
    g_free(text);
    Fw_OrderEnv_Free(y);
}
END_TEST

/* An order of the previous holder that arrives after one of the new holder is
 * rejected by its fencing number, or dropped by its time to live. */
START_TEST(late_order_of_old_holder_has_no_effect)
{
    for (int checks = 0; checks < 2; checks++) {
        struct fw_order_env *y = Fw_OrderEnv_New();
        struct fw_order_env_engine *e =
            Fw_OrderEnv_AddEngine(y, "e1", "decode", "decode", "m@1");

        e->checks_fence = checks;
        Fw_OrderEnv_Start(y, 0);
        Fw_OrderEnv_Advance(y, 60 * FW_SEC);
        e->n_models = 0;
        y->order_delay_us = 90 * FW_SEC;
        while (y->calls->len == 0 || e->n_models > 0 ||
               y->holders[0].orders->sent.value == 0) {
            Fw_OrderEnv_Advance(y, FW_SEC);
        }
        y->holders[0].paused = 1;
        y->order_delay_us = 0;
        Fw_OrderEnv_Start(y, 1);
        Fw_OrderEnv_Advance(y, 60 * FW_SEC);
        expect(y, "holder1 e1 load m@1 -> done\n");
        Fw_OrderEnv_Advance(y, 60 * FW_SEC);
        expect(y, checks ? "holder0 e1 load m@1 -> old fence\n"
                         : "holder0 e1 load m@1 -> too late\n");
        ck_assert_int_eq(e->n_models, 1);
        Fw_OrderEnv_Free(y);
    }
}
END_TEST

/* While the log is down a holder can't confirm its role, so it must not send
 * orders. */
START_TEST(no_orders_while_log_is_down)
{
    struct fw_order_env *y = Fw_OrderEnv_New();
    struct fw_order_env_engine *e =
        Fw_OrderEnv_AddEngine(y, "e1", "decode", "decode", "m@1");

    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Advance(y, 60 * FW_SEC);
    y->log_down = 1;
    Fw_OrderEnv_Advance(y, 10 * FW_SEC);
    e->n_models = 0;
    Fw_OrderEnv_Advance(y, 120 * FW_SEC);
    expect(y, "");
    y->log_down = 0;
    Fw_OrderEnv_Advance(y, 120 * FW_SEC);
    expect(y, "holder0 e1 load m@1 -> done\n");
    Fw_OrderEnv_Free(y);
}
END_TEST

/* When the answer to an order is lost, the holder must learn the result by
 * polling and not repeat the order. */
START_TEST(lost_answer_is_resolved_by_poll)
{
    struct fw_order_env *y = Fw_OrderEnv_New();

    Fw_OrderEnv_AddEngine(y, "e1", "decode", "decode", "m@0");
    y->lose_answers = 2;
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Advance(y, 120 * FW_SEC);
    expect(y, "holder0 e1 load m@1 -> done\n"
              "holder0 e1 unload m@0 -> done\n");
    Fw_OrderEnv_Free(y);
}
END_TEST

/* The configuration puts all engines in one role: the last reachable one of
 * the other role must stay, or the pool could serve no requests. */
START_TEST(last_engine_of_a_role_stays)
{
    struct fw_order_env *y = Fw_OrderEnv_New();
    struct fw_order_env_engine *silent;

    Fw_OrderEnv_AddEngine(y, "e1", "decode", "prefill", "m@1");
    Fw_OrderEnv_AddEngine(y, "e2", "decode", "prefill", "m@1");
    silent = Fw_OrderEnv_AddEngine(y, "e3", "decode", "prefill", "m@1");
    silent->down = 1;
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Advance(y, 120 * FW_SEC);
    ck_assert_int_eq(!strcmp(y->engines[0].role, "prefill") +
                         !strcmp(y->engines[1].role, "prefill"),
                     1);
    Fw_OrderEnv_Free(y);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("order");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, plan_chooses_next_order);
    tcase_add_test(tc, engines_converge_to_pool_configuration);
    tcase_add_test(tc, a_pool_loads_one_model_at_a_time);
    tcase_add_test(tc, paused_holder_sends_no_order_after_lease);
    tcase_add_test(tc, one_of_two_candidates_sends_orders);
    tcase_add_test(tc, late_order_of_old_holder_has_no_effect);
    tcase_add_test(tc, no_orders_while_log_is_down);
    tcase_add_test(tc, lost_answer_is_resolved_by_poll);
    tcase_add_test(tc, last_engine_of_a_role_stays);
    return Fw_Suite_Run(tc);
}
