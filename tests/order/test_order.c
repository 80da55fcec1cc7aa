/* Orders to engines: what they lack, who may give it, and what goes wrong on
 * the way. */
#include <check.h>
#include <string.h>

#include "explore/p_order_env.h"
#include "order/order_internal.h"
#include "tests/base/suite.h"

struct plan_case {
    const char *role;   /* configured */
    const char *has;    /* role it has */
    const char *models; /* it has */
    int busy;
    int drained;
    struct fw_order_counts counts;
    const char *order; /* or why there is none */
};

/* The pool wants m@2 and m@2+a, of each role one engine at least. */
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
    char **names = g_strsplit(c->models, " ", -1);

    g_strlcpy(e->report.role, c->has, sizeof(e->report.role));
    e->report.busy = c->busy;
    e->drained = c->drained;
    for (int i = 0; names[i]; i++) {
        if (names[i][0]) {
            g_strlcpy(e->report.models[e->report.n_models++], names[i],
                      FW_MODELREF_MAX);
        }
    }
    g_strfreev(names);
}

/* An engine that runs requests, or is the last of its role, must stay as it
 * is: callers would see cut answers, or no engine at all. */
START_TEST(each_engine_gets_the_order_it_lacks)
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
        ck_assert_msg(strstr(got, c->order) != NULL, "plan %zu: %s", i, got);
        g_free(got);
    }
}
END_TEST

static void
expect(struct fw_order_env *y, const char *want)
{
    char *got = Fw_OrderEnv_Journal(y);

    ck_assert_str_eq(got, want);
    g_free(got);
}

START_TEST(engines_are_brought_to_what_the_pool_says)
{
    struct fw_order_env *y = Fw_OrderEnv_New();

    Fw_OrderEnv_Engine(y, "e1", "prefill", "prefill", "m@0");
    Fw_OrderEnv_Engine(y, "e2", "decode", "decode", "m@1");
    Fw_OrderEnv_Engine(y, "e3", "decode", "prefill", "m@1");
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Run(y, 60 * FW_SEC);
    expect(y, "holder0 e1 load m@1 -> done\n"
              "holder0 e1 unload m@0 -> done\n"
              "holder0 e3 role decode -> done\n");
    Fw_OrderEnv_Run(y, 300 * FW_SEC);
    expect(y, "");
    Fw_OrderEnv_Free(y);
}
END_TEST

/* The weight store's rate is shared: three loads at once take three times as
 * long each, and the pool has none of the three for all that while. */
START_TEST(a_pool_loads_one_model_at_a_time)
{
    struct fw_order_env *y = Fw_OrderEnv_New();
    int most = 0;

    Fw_OrderEnv_Engine(y, "e1", "decode", "decode", "");
    Fw_OrderEnv_Engine(y, "e2", "decode", "decode", "");
    Fw_OrderEnv_Engine(y, "e3", "decode", "decode", "");
    y->order_delay_us = 7 * FW_SEC;
    Fw_OrderEnv_Start(y, 0);
    for (int i = 0; i < 600; i++) {
        Fw_OrderEnv_Run(y, 100 * FW_MSEC);
        most = MAX(most, Fw_OrderEnv_OrdersUnderWay(y));
    }
    ck_assert_int_eq(most, 1);
    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(y->engines[i].n_models, 1);
    }
    Fw_OrderEnv_Free(y);
}
END_TEST

/*
 * A holder is paused past its lease while it has work to give; another takes
 * the role. The first must not give its order when it goes on: an engine that
 * checks nothing would carry it out over the newer one.
 */
START_TEST(a_holder_paused_past_its_lease_gives_no_order)
{
    struct fw_order_env *y = Fw_OrderEnv_New();
    struct fw_order_env_engine *e =
        Fw_OrderEnv_Engine(y, "e1", "decode", "decode", "m@1");

    e->checks = 0;
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Run(y, 60 * FW_SEC);
    expect(y, "");
    y->holders[0].paused = 1;
    Fw_OrderEnv_Start(y, 1);
    Fw_OrderEnv_Run(y, 60 * FW_SEC);
    e->n_models = 0;
    y->holders[1].paused = 1;
    y->holders[0].paused = 0;
    Fw_OrderEnv_Run(y, 3 * FW_SEC);
    expect(y, "");
    y->holders[0].paused = 1;
    y->holders[1].paused = 0;
    Fw_OrderEnv_Run(y, 120 * FW_SEC);
    expect(y, "holder1 e1 load m@1 -> done\n");
    Fw_OrderEnv_Free(y);
}
END_TEST

/* Two instances each believe to be alone and both want the role. The log's
 * order names one, and only that one gives orders. */
START_TEST(of_two_holders_one_gives_orders)
{
    struct fw_order_env *y = Fw_OrderEnv_New();
    char *text;

    Fw_OrderEnv_Engine(y, "e1", "decode", "decode", "");
    Fw_OrderEnv_Engine(y, "e2", "decode", "decode", "");
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Start(y, 1);
    Fw_OrderEnv_Run(y, 120 * FW_SEC);
    text = Fw_OrderEnv_Journal(y);
    ck_assert_int_eq(y->engines[0].n_models, 1);
    ck_assert_int_eq(y->engines[1].n_models, 1);
    ck_assert(!strstr(text, "holder0") || !strstr(text, "holder1"));
    g_free(text);
    Fw_OrderEnv_Free(y);
}
END_TEST

/*
 * An order is stuck on its way while its sender is replaced. It reaches the
 * engine after the next holder's: an engine that checks fencing numbers
 * refuses it, one that does not drops it by its time to live.
 */
START_TEST(an_old_order_that_comes_late_has_no_effect)
{
    for (int checks = 0; checks < 2; checks++) {
        struct fw_order_env *y = Fw_OrderEnv_New();
        struct fw_order_env_engine *e =
            Fw_OrderEnv_Engine(y, "e1", "decode", "decode", "m@1");

        e->checks = checks;
        Fw_OrderEnv_Start(y, 0);
        Fw_OrderEnv_Run(y, 60 * FW_SEC);
        e->n_models = 0;
        y->order_delay_us = 90 * FW_SEC;
        while (y->calls->len == 0 || e->n_models > 0 ||
               y->holders[0].orders->sent.value == 0) {
            Fw_OrderEnv_Run(y, FW_SEC);
        }
        y->holders[0].paused = 1;
        y->order_delay_us = 0;
        Fw_OrderEnv_Start(y, 1);
        Fw_OrderEnv_Run(y, 60 * FW_SEC);
        expect(y, "holder1 e1 load m@1 -> done\n");
        Fw_OrderEnv_Run(y, 60 * FW_SEC);
        expect(y, checks ? "holder0 e1 load m@1 -> old fence\n"
                         : "holder0 e1 load m@1 -> too late\n");
        ck_assert_int_eq(e->n_models, 1);
        Fw_OrderEnv_Free(y);
    }
}
END_TEST

/* Without the log a holder can't know whether it still is one. Engines stay
 * as they are, which serves callers better than two who give orders. */
START_TEST(with_the_log_down_no_orders_are_given)
{
    struct fw_order_env *y = Fw_OrderEnv_New();
    struct fw_order_env_engine *e =
        Fw_OrderEnv_Engine(y, "e1", "decode", "decode", "m@1");

    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Run(y, 60 * FW_SEC);
    y->log_down = 1;
    Fw_OrderEnv_Run(y, 10 * FW_SEC);
    e->n_models = 0;
    Fw_OrderEnv_Run(y, 120 * FW_SEC);
    expect(y, "");
    y->log_down = 0;
    Fw_OrderEnv_Run(y, 120 * FW_SEC);
    expect(y, "holder0 e1 load m@1 -> done\n");
    Fw_OrderEnv_Free(y);
}
END_TEST

/* The engine loads, and its answer is lost. The holder must find out by
 * looking, and not load again or give up on the engine. */
START_TEST(a_lost_answer_is_settled_by_looking)
{
    struct fw_order_env *y = Fw_OrderEnv_New();

    Fw_OrderEnv_Engine(y, "e1", "decode", "decode", "m@0");
    y->lose_answers = 2;
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Run(y, 120 * FW_SEC);
    expect(y, "holder0 e1 load m@1 -> done\n"
              "holder0 e1 unload m@0 -> done\n");
    Fw_OrderEnv_Free(y);
}
END_TEST

/* The configuration wants all engines in one role. The last of the other
 * stays, or the pool would answer nobody; a silent engine is no help. */
START_TEST(the_last_engine_of_a_role_stays)
{
    struct fw_order_env *y = Fw_OrderEnv_New();
    struct fw_order_env_engine *silent;

    Fw_OrderEnv_Engine(y, "e1", "decode", "prefill", "m@1");
    Fw_OrderEnv_Engine(y, "e2", "decode", "prefill", "m@1");
    silent = Fw_OrderEnv_Engine(y, "e3", "decode", "prefill", "m@1");
    silent->down = 1;
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Run(y, 120 * FW_SEC);
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
    tcase_add_test(tc, each_engine_gets_the_order_it_lacks);
    tcase_add_test(tc, engines_are_brought_to_what_the_pool_says);
    tcase_add_test(tc, a_pool_loads_one_model_at_a_time);
    tcase_add_test(tc, a_holder_paused_past_its_lease_gives_no_order);
    tcase_add_test(tc, of_two_holders_one_gives_orders);
    tcase_add_test(tc, an_old_order_that_comes_late_has_no_effect);
    tcase_add_test(tc, with_the_log_down_no_orders_are_given);
    tcase_add_test(tc, a_lost_answer_is_settled_by_looking);
    tcase_add_test(tc, the_last_engine_of_a_role_stays);
    return Fw_Suite_Run(tc);
}
