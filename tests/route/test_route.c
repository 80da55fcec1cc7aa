/* Routers under faults, by scripted runs. */
#include <check.h>
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "explore/p_route_env.h"

#define FW_AHEAD_TOKENS 1000 /* a tenth of a second of prefill */

START_TEST(decode_slot_comes_before_prefill)
{
    struct route_env *s = stage_new(1, FW_POLICY_FULL);

    route_env_engine(s, "d0")->busy = 2;
    route_env_engine(s, "d1")->busy = 2;
    stage_run(s, 2 * FW_SEC);
    stage_ask(s, 0, 1, "a", 100, NULL);
    stage_run(s, 200 * FW_MSEC);
    stage_expect(s, "");
    route_env_engine(s, "d1")->busy = 1;
    stage_run(s, 200 * FW_MSEC);
    stage_expect(s, "");
    stage_run(s, 900 * FW_MSEC);
    ck_assert(strstr(s->seen->str, "> d1\n"));
    g_string_truncate(s->seen, 0);
    /* That was the last slot, whatever the reports still say. */
    stage_ask(s, 0, 2, "a", 100, NULL);
    stage_run(s, 200 * FW_MSEC);
    stage_expect(s, "");
    stage_step(s, 0, 1, FW_STEP_PREFILLED, NULL);
    stage_step(s, 0, 1, FW_STEP_CANCELLED, NULL);
    stage_run(s, 200 * FW_MSEC);
    ck_assert(strstr(s->seen->str, "> d1\n"));
    stage_free(s);
}
END_TEST

/*
 * All slots stay taken. Callers would hang until their patience ends; they
 * are told as soon as the target is out of reach, and the wait that is named
 * holds.
 */
START_TEST(refusal_is_early_and_honest)
{
    struct route_env *s = stage_new(1, FW_POLICY_FULL);

    route_env_engine(s, "d0")->busy = 2;
    route_env_engine(s, "d1")->busy = 2;
    stage_run(s, 2 * FW_SEC);
    stage_ask(s, 0, 1, "a", 1000, NULL);
    stage_run(s, 1300 * FW_MSEC);
    stage_expect(s, "");
    /* 1500 ms less 100 ms of prefill, transfer and the first token. */
    stage_run(s, 60 * FW_MSEC);
    stage_expect(s, "1 503 overloaded after 250 ms\n");
    ck_assert_int_eq(s->router[0]->m.grants.value, 0);
    stage_free(s);
}
END_TEST

/*
 * A tenant at five times its share fills the queue. With both decode engines
 * full, the slots that come free go to the teams in turn.
 */
START_TEST(slots_go_round_the_teams)
{
    struct route_env *s = stage_new(1, FW_POLICY_FULL);
    GString *order = g_string_new(NULL);

    route_env_engine(s, "d0")->busy = 2;
    route_env_engine(s, "d1")->busy = 2;
    stage_run(s, 2 * FW_SEC);
    for (uint64_t i = 0; i < 10; i++) {
        stage_ask(s, 0, 100 + i, "noisy", 1000, NULL);
    }
    stage_ask(s, 0, 1, "quiet", 1000, NULL);
    stage_ask(s, 0, 2, "quiet", 1000, NULL);
    route_env_engine(s, "d0")->busy = 0;
    route_env_engine(s, "d1")->busy = 0;
    stage_run(s, 1200 * FW_MSEC);
    stage_step(s, 0, 100, FW_STEP_DONE, NULL);
    stage_run(s, 200 * FW_MSEC);
    for (const char *c = s->seen->str; *c; c = strchr(c, '\n') + 1) {
        g_string_append_len(order, c, strchr(c, ' ') - c + 1);
    }
    ck_assert_str_eq(order->str,
                     "100 101 1 102 2 103 104 105 106 107 108 109 ");
    g_string_free(order, TRUE);
    stage_free(s);
}
END_TEST

/*
 * The coordinator of an engine dies. Whoever asks it hears nothing; the
 * request must still be served, a little later, from the engine's own word.
 */
START_TEST(dead_coordinator_costs_time_only)
{
    struct route_env *s = stage_new(3, FW_POLICY_FULL);
    const struct fw_member *m = Fw_Fleet_Pick(
        s->fleet[0], route_env_engine(s, "d0") ? Fw_Hash_Str("d0") : 0, 0);
    int dead = m->name[1] - '0';
    int asker = (dead + 1) % 3;

    s->dead[dead] = 1;
    route_env_engine(s, "d1")->dead = 1;
    stage_run(s, 1500 * FW_MSEC);
    stage_ask(s, asker, 1, "a", 100, NULL);
    stage_run(s, 400 * FW_MSEC);
    ck_assert_msg(strstr(s->seen->str, "> d0\n"), "%s", s->seen->str);
    ck_assert_int_gt(s->router[asker]->m.reply_timeouts.value, 0);
    stage_free(s);
}
END_TEST

/*
 * A coordinator is replaced, as happens a hundred times a day. It knows
 * nothing of its engines yet; callers elsewhere must not be refused for that.
 */
START_TEST(restarted_coordinator_costs_no_request)
{
    struct route_env *s = stage_new(2, FW_POLICY_FULL);

    stage_restart(s, 1);
    for (uint64_t i = 1; i <= 40; i++) {
        stage_ask(s, 0, i, "a", 100, NULL);
        stage_run(s, 50 * FW_MSEC);
        stage_step(s, 0, i, FW_STEP_PREFILLED, NULL);
        stage_step(s, 0, i, FW_STEP_DONE, NULL);
    }
    stage_run(s, 2 * FW_SEC);
    ck_assert_msg(!strstr(s->seen->str, " 503 "), "%s", s->seen->str);
    stage_free(s);
}
END_TEST

/* Answers are lost: the reservation made for nobody must not stay. */
START_TEST(lost_reservation_lapses)
{
    struct route_env *s = stage_new(2, FW_POLICY_FULL);
    int held = 0;

    s->lose_replies = 1;
    for (uint64_t i = 0; i < 4; i++) {
        stage_ask(s, 0, i, "a", 100, NULL);
        stage_ask(s, 1, 10 + i, "a", 100, NULL);
    }
    stage_run(s, 300 * FW_MSEC);
    for (uint64_t i = 0; i < 4; i++) {
        stage_step(s, 0, i, FW_STEP_CANCELLED, NULL);
        stage_step(s, 1, 10 + i, FW_STEP_CANCELLED, NULL);
    }
    s->lose_replies = 0;
    stage_run(s, 2 * FW_SEC);
    for (int i = 0; i < 2; i++) {
        for (guint k = 0; k < s->router[i]->engine_list->len; k++) {
            const struct fw_engine *e = s->router[i]->engine_list->pdata[k];

            held +=
                e->coordinated && e->coord && Fw_Slots_Busy(&e->coord->slots);
        }
    }
    ck_assert_int_eq(held, 0);
    stage_free(s);
}
END_TEST

/* What an engine may say of itself, and whether it is still given work. */
static const struct {
    const char *what;
    const char *engine;
    int leaving;
    int dead;
    const char *model;
    int is_prefill;
    int drained;
    int listed;
} word_rows[] = {
    {"it leaves, the list lags", "d0", 1, 0, "m@1", 0, 0, 0},
    {"it answers no more", "d0", 0, 1, "m@1", 0, 0, 0},
    {"it holds another version", "d0", 0, 0, "m@2", 0, 0, 0},
    {"its role was changed", "d0", 0, 0, "m@1", 1, 0, 0},
    {"an operator took it out", "d0", 0, 0, "m@1", 0, 1, 0},
    {"only the list says so", "d0", 0, 0, "m@1", 0, 0, 1},
    {"a prefill engine leaves", "p0", 1, 0, "m@1", 1, 0, 0},
};

START_TEST(engine_and_configuration_must_agree)
{
    struct route_env *s = stage_new(2, FW_POLICY_FULL);
    struct route_env_engine *e = route_env_engine(s, word_rows[_i].engine);
    struct fw_upstream *u =
        g_hash_table_lookup(s->cfg->upstreams, word_rows[_i].engine);
    struct fw_list_entry entry = {.kind = FW_LIST_UPSTREAM,
                                  .leaving = word_rows[_i].listed};
    struct fw_listed listed = {.n = 1, .entries = &entry};

    g_strlcpy(entry.name, e->name, sizeof(entry.name));
    Fw_Router_OnListed(s->router[0], &listed, s->now_us);
    e->leaving = word_rows[_i].leaving;
    e->dead = word_rows[_i].dead;
    e->model = word_rows[_i].model;
    e->is_prefill = word_rows[_i].is_prefill;
    u->drained = word_rows[_i].drained;
    stage_run(s, 2 * FW_SEC);
    for (uint64_t i = 0; i < 6; i++) {
        stage_ask(s, (int)(i % 2), i, "a", 100, NULL);
        stage_run(s, 100 * FW_MSEC);
        stage_step(s, (int)(i % 2), i, FW_STEP_CANCELLED, NULL);
        if (i == 0 && word_rows[_i].listed) {
            g_string_truncate(s->seen, 0); /* n1 has heard of it by now */
        }
    }
    ck_assert_msg(strstr(s->seen->str, " > "), "%s: none served",
                  word_rows[_i].what);
    ck_assert_msg(!strstr(s->seen->str, word_rows[_i].engine), "%s:\n%s",
                  word_rows[_i].what, s->seen->str);
    stage_free(s);
}
END_TEST

/*
 * Cache events were lost; one of them said that a prompt is no longer cached.
 * Believing on would queue its callers behind an engine that has to compute
 * all of it.
 */
START_TEST(gap_in_cache_events_voids_the_belief)
{
    static const struct fw_up_cache_event first[] = {{.seq = 1, .prefix = 7}};
    static const struct fw_up_cache_event later[] = {{.seq = 4, .prefix = 9}};
    struct fw_prefixes seven = {.n = 1, .hash = {7}};
    struct fw_prefixes nine = {.n = 1, .hash = {9}};
    struct route_env *s = stage_new(1, FW_POLICY_FULL);
    struct fw_router *r = s->router[0];
    const struct fw_engine *e = Fw_Engine_Find(r, Fw_Hash_Str("p0"));

    /* The first batch starts the account; what comes next must follow it. */
    route_env_engine(s, "p0")->cache =
        (struct fw_up_cache_batch){.n = 1, .next_seq = 2, .events = first};
    stage_run(s, 5 * FW_SEC);
    ck_assert_int_gt(
        Fw_Prefix_CachedTokens(&r->prefixes, Fw_Engine_CacheKey(e), &seven),
        0);
    route_env_engine(s, "p0")->cache =
        (struct fw_up_cache_batch){.n = 1, .next_seq = 5, .events = later};
    stage_run(s, 5 * FW_SEC);
    ck_assert_int_eq(
        Fw_Prefix_CachedTokens(&r->prefixes, Fw_Engine_CacheKey(e), &seven),
        0);
    ck_assert_int_gt(
        Fw_Prefix_CachedTokens(&r->prefixes, Fw_Engine_CacheKey(e), &nine), 0);
    stage_free(s);
}
END_TEST

START_TEST(same_prompt_goes_where_it_is_cached)
{
    struct route_env *s = stage_new(2, FW_POLICY_FULL);
    char first[8];

    stage_ask(s, 0, 1, "a", 2000, NULL);
    stage_run(s, 300 * FW_MSEC);
    memcpy(first, s->seen->str, 7);
    first[7] = '\0'; /* "1 pX > " */
    stage_step(s, 0, 1, FW_STEP_PREFILLED, NULL);
    stage_step(s, 0, 1, FW_STEP_DONE, NULL);
    g_string_truncate(s->seen, 0);
    for (uint64_t i = 2; i < 6; i++) {
        stage_ask(s, (int)(i % 2), i, "a", 2000, NULL);
        stage_run(s, 300 * FW_MSEC);
        stage_step(s, (int)(i % 2), i, FW_STEP_PREFILLED, NULL);
        stage_step(s, (int)(i % 2), i, FW_STEP_DONE, NULL);
        ck_assert_msg(strncmp(s->seen->str + 1, first + 1, 6) == 0, "%s",
                      s->seen->str);
        g_string_truncate(s->seen, 0);
    }
    stage_free(s);
}
END_TEST

/* An engine is lost: the next attempt avoids it and its failure domain. */
START_TEST(retry_goes_to_another_domain)
{
    struct route_env *s = stage_new(1, FW_POLICY_FULL);

    stage_ask(s, 0, 1, "a", 100, "p0");
    stage_run(s, 100 * FW_MSEC);
    stage_expect(s, "1 p1 > d1\n");
    stage_free(s);
}
END_TEST

START_TEST(server_that_fails_is_left_alone)
{
    struct route_env *s = stage_new(1, FW_POLICY_FULL);
    const char *avoid[] = {"s1", NULL};
    int met = 0;

    for (int i = 0; i < 3; i++) {
        Fw_Route_ServerResult(s->router[0], "s0", 0, 0, s->now_us);
    }
    for (int i = 0; i < 50; i++) {
        const struct fw_upstream *u = Fw_Route_PickServer(
            s->router[0], s->cfg, "desk", avoid, s->now_us);

        met += strcmp(u->name, "s2") != 0;
    }
    ck_assert_int_eq(met, 0);
    ck_assert_ptr_null(
        Fw_Route_PickServer(s->router[0], s->cfg, "none", NULL, s->now_us));
    stage_free(s);
}
END_TEST

/* Nothing else may run beside a request that may crash its engine. */
START_TEST(suspect_runs_alone)
{
    struct route_env *s = stage_new(1, FW_POLICY_FULL);
    struct fw_route_ask ask = {.ticket = 1,
                               .prompt_tokens = 100,
                               .max_tokens = 10,
                               .arrived_us = s->now_us,
                               .alone = 1};
    struct fw_actions out;

    route_env_engine(s, "d0")->busy = 1;
    stage_run(s, 2 * FW_SEC);
    ask.arrived_us = s->now_us;
    g_strlcpy(ask.team, "a", sizeof(ask.team));
    g_strlcpy(ask.model, "m", sizeof(ask.model));
    Fw_Actions_Init(&out);
    Fw_Route_Ask(s->router[0], s->cfg, &ask, s->now_us, &out);
    Fw_Actions_Clear(&out);
    stage_run(s, 50 * FW_MSEC);
    ck_assert_msg(strstr(s->seen->str, "> d1\n"), "%s", s->seen->str);
    g_string_truncate(s->seen, 0);
    for (uint64_t i = 2; i < 5; i++) {
        stage_ask(s, 0, i, "a", 100, NULL);
    }
    stage_run(s, 200 * FW_MSEC);
    ck_assert_msg(!strstr(s->seen->str, "> d1\n"), "%s", s->seen->str);
    stage_free(s);
}
END_TEST

START_TEST(baselines_answer_at_once)
{
    enum fw_policy policy = _i ? FW_POLICY_RANDOM : FW_POLICY_LEAST_LOADED;
    struct route_env *s = stage_new(1, policy);

    route_env_engine(s, "p0")->queued = 5000;
    route_env_engine(s, "d0")->busy = 1;
    stage_run(s, 300 * FW_MSEC);
    stage_ask(s, 0, 1, "a", 100, NULL);
    if (policy == FW_POLICY_LEAST_LOADED) {
        stage_expect(s, "1 p1 > d1\n");
    }
    ck_assert_int_eq(s->router[0]->m.grants.value, 1);
    stage_free(s);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("route");
    TCase *tc = tcase_create("route");
    SRunner *sr;
    int failed;

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, decode_slot_comes_before_prefill);
    tcase_add_test(tc, refusal_is_early_and_honest);
    tcase_add_test(tc, slots_go_round_the_teams);
    tcase_add_test(tc, dead_coordinator_costs_time_only);
    tcase_add_test(tc, restarted_coordinator_costs_no_request);
    tcase_add_test(tc, lost_reservation_lapses);
    tcase_add_loop_test(tc, engine_and_configuration_must_agree, 0,
                        (int)G_N_ELEMENTS(word_rows));
    tcase_add_test(tc, gap_in_cache_events_voids_the_belief);
    tcase_add_test(tc, same_prompt_goes_where_it_is_cached);
    tcase_add_test(tc, retry_goes_to_another_domain);
    tcase_add_test(tc, server_that_fails_is_left_alone);
    tcase_add_test(tc, suspect_runs_alone);
    tcase_add_loop_test(tc, baselines_answer_at_once, 0, 2);
    suite_add_tcase(suite, tc);
    sr = srunner_create(suite);
    srunner_run_all(sr, CK_ENV);
    failed = srunner_ntests_failed(sr);
    srunner_free(sr);
    return failed != 0;
}
