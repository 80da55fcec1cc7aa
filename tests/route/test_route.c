/* Scripted tests of routers with simulated engines, peers and faults. */
#include <check.h>
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "explore/p_route_env.h"

/* Prefill must not start before a decode slot is reserved. */
START_TEST(decode_slot_comes_before_prefill)
{
    struct fw_route_env *s = Fw_RouteEnv_New(1, FW_POLICY_FULL);

    Fw_RouteEnv_FindEngine(s, "d0")->busy = 2;
    Fw_RouteEnv_FindEngine(s, "d1")->busy = 2;
    Fw_RouteEnv_Advance(s, 2 * FW_SEC);
    Fw_RouteEnv_SubmitRequest(s, 0, 1, "a", 100, NULL);
    Fw_RouteEnv_Advance(s, 200 * FW_MSEC);
    Fw_RouteEnv_ExpectAnswers(s, "");
    Fw_RouteEnv_FindEngine(s, "d1")->busy = 1;
    Fw_RouteEnv_Advance(s, 200 * FW_MSEC);
    Fw_RouteEnv_ExpectAnswers(s, "");
    Fw_RouteEnv_Advance(s, 900 * FW_MSEC);
    ck_assert(strstr(s->answers->str, "> d1\n"));
    g_string_truncate(s->answers, 0);
    /* That was the last slot, though reports still count it as free. */
    Fw_RouteEnv_SubmitRequest(s, 0, 2, "a", 100, NULL);
    Fw_RouteEnv_Advance(s, 200 * FW_MSEC);
    Fw_RouteEnv_ExpectAnswers(s, "");
    Fw_RouteEnv_ReportStep(s, 0, 1, FW_STEP_PREFILLED, NULL);
    Fw_RouteEnv_ReportStep(s, 0, 1, FW_STEP_CANCELLED, NULL);
    Fw_RouteEnv_Advance(s, 200 * FW_MSEC);
    ck_assert(strstr(s->answers->str, "> d1\n"));
    Fw_RouteEnv_Free(s);
}
END_TEST

/* With all slots taken, a request must be refused as soon as its target cannot
 * be met, not when the caller gives up. */
START_TEST(overload_is_refused_early)
{
    struct fw_route_env *s = Fw_RouteEnv_New(1, FW_POLICY_FULL);

    Fw_RouteEnv_FindEngine(s, "d0")->busy = 2;
    Fw_RouteEnv_FindEngine(s, "d1")->busy = 2;
    Fw_RouteEnv_Advance(s, 2 * FW_SEC);
    Fw_RouteEnv_SubmitRequest(s, 0, 1, "a", 1000, NULL);
    Fw_RouteEnv_Advance(s, 1300 * FW_MSEC);
    Fw_RouteEnv_ExpectAnswers(s, "");
    /* 1500 ms less 100 ms of prefill, transfer and the first token. */
    Fw_RouteEnv_Advance(s, 60 * FW_MSEC);
    Fw_RouteEnv_ExpectAnswers(s, "1 503 overloaded after 250 ms\n");
    ck_assert_int_eq(s->router[0]->m.grants.value, 0);
    Fw_RouteEnv_Free(s);
}
END_TEST

/* A team that fills the queue must not delay another: free slots go to the
 * teams in turn. */
START_TEST(slots_are_shared_between_teams)
{
    struct fw_route_env *s = Fw_RouteEnv_New(1, FW_POLICY_FULL);
    GString *order = g_string_new(NULL);

    Fw_RouteEnv_FindEngine(s, "d0")->busy = 2;
    Fw_RouteEnv_FindEngine(s, "d1")->busy = 2;
    Fw_RouteEnv_Advance(s, 2 * FW_SEC);
    for (uint64_t i = 0; i < 10; i++) {
        Fw_RouteEnv_SubmitRequest(s, 0, 100 + i, "noisy", 1000, NULL);
    }
    Fw_RouteEnv_SubmitRequest(s, 0, 1, "quiet", 1000, NULL);
    Fw_RouteEnv_SubmitRequest(s, 0, 2, "quiet", 1000, NULL);
    Fw_RouteEnv_FindEngine(s, "d0")->busy = 0;
    Fw_RouteEnv_FindEngine(s, "d1")->busy = 0;
    Fw_RouteEnv_Advance(s, 1200 * FW_MSEC);
    Fw_RouteEnv_ReportStep(s, 0, 100, FW_STEP_DONE, NULL);
    Fw_RouteEnv_Advance(s, 200 * FW_MSEC);
    for (const char *c = s->answers->str; *c; c = strchr(c, '\n') + 1) {
        g_string_append_len(order, c, strchr(c, ' ') - c + 1);
    }
    ck_assert_str_eq(order->str,
                     "100 101 1 102 2 103 104 105 106 107 108 109 ");
    g_string_free(order, TRUE);
    Fw_RouteEnv_Free(s);
}
END_TEST

/* A request must be served, if later, when the engine's coordinator is dead:
 * the instance polls the engine itself. */
START_TEST(dead_coordinator_only_delays_requests)
{
    struct fw_route_env *s = Fw_RouteEnv_New(3, FW_POLICY_FULL);
    const struct fw_member *m = Fw_Fleet_Pick(
        s->fleet[0], Fw_RouteEnv_FindEngine(s, "d0") ? Fw_Hash_Str("d0") : 0,
        0);
    int dead = m->name[1] - '0';
    int requester = (dead + 1) % 3;

    s->paused[dead] = 1;
    Fw_RouteEnv_FindEngine(s, "d1")->unreachable = 1;
    Fw_RouteEnv_Advance(s, 1500 * FW_MSEC);
    Fw_RouteEnv_SubmitRequest(s, requester, 1, "a", 100, NULL);
    Fw_RouteEnv_Advance(s, 400 * FW_MSEC);
    ck_assert_msg(strstr(s->answers->str, "> d0\n"), "%s", s->answers->str);
    ck_assert_int_gt(s->router[requester]->m.reply_timeouts.value, 0);
    Fw_RouteEnv_Free(s);
}
END_TEST

/* Requests must not be refused because a restarted coordinator has no load
 * reports yet. */
START_TEST(restarted_coordinator_refuses_no_request)
{
    struct fw_route_env *s = Fw_RouteEnv_New(2, FW_POLICY_FULL);

    Fw_RouteEnv_Restart(s, 1);
    for (uint64_t i = 1; i <= 40; i++) {
        Fw_RouteEnv_SubmitRequest(s, 0, i, "a", 100, NULL);
        Fw_RouteEnv_Advance(s, 50 * FW_MSEC);
        Fw_RouteEnv_ReportStep(s, 0, i, FW_STEP_PREFILLED, NULL);
        Fw_RouteEnv_ReportStep(s, 0, i, FW_STEP_DONE, NULL);
    }
    Fw_RouteEnv_Advance(s, 2 * FW_SEC);
    ck_assert_msg(!strstr(s->answers->str, " 503 "), "%s", s->answers->str);
    Fw_RouteEnv_Free(s);
}
END_TEST

/* A reservation whose reply was lost must not leak a slot. */
START_TEST(reservation_with_lost_reply_is_released)
{
    struct fw_route_env *s = Fw_RouteEnv_New(2, FW_POLICY_FULL);
    int held = 0;

    s->lose_replies = 1;
    for (uint64_t i = 0; i < 4; i++) {
        Fw_RouteEnv_SubmitRequest(s, 0, i, "a", 100, NULL);
        Fw_RouteEnv_SubmitRequest(s, 1, 10 + i, "a", 100, NULL);
    }
    Fw_RouteEnv_Advance(s, 300 * FW_MSEC);
    for (uint64_t i = 0; i < 4; i++) {
        Fw_RouteEnv_ReportStep(s, 0, i, FW_STEP_CANCELLED, NULL);
        Fw_RouteEnv_ReportStep(s, 1, 10 + i, FW_STEP_CANCELLED, NULL);
    }
    s->lose_replies = 0;
    Fw_RouteEnv_Advance(s, 2 * FW_SEC);
    for (int i = 0; i < 2; i++) {
        for (guint k = 0; k < s->router[i]->engine_list->len; k++) {
            const struct fw_engine *e = s->router[i]->engine_list->pdata[k];

            held +=
                e->coordinated && e->coord && Fw_Slots_Busy(&e->coord->slots);
        }
    }
    ck_assert_int_eq(held, 0);
    Fw_RouteEnv_Free(s);
}
END_TEST

/* Ways in which an engine becomes unusable; it must get no requests then. */
static const struct {
    const char *what;
    const char *engine;
    int leaving;
    int dead;
    const char *model;
    int is_prefill;
    int drained;
    int listed;
} unusable_rows[] = {
    {"leaving by its report only", "d0", 1, 0, "m@1", 0, 0, 0},
    {"does not answer polls", "d0", 0, 1, "m@1", 0, 0, 0},
    {"reports another model version", "d0", 0, 0, "m@2", 0, 0, 0},
    {"reports another role", "d0", 0, 0, "m@1", 1, 0, 0},
    {"drained by the operator", "d0", 0, 0, "m@1", 0, 1, 0},
    {"leaving by the list only", "d0", 0, 0, "m@1", 0, 0, 1},
    {"prefill engine leaving by its report", "p0", 1, 0, "m@1", 1, 0, 0},
};

START_TEST(unusable_engine_gets_no_requests)
{
    struct fw_route_env *s = Fw_RouteEnv_New(2, FW_POLICY_FULL);
    struct fw_route_env_engine *e =
        Fw_RouteEnv_FindEngine(s, unusable_rows[_i].engine);
    struct fw_upstream *u =
        g_hash_table_lookup(s->cfg->upstreams, unusable_rows[_i].engine);
    struct fw_registry_entry entry = {.kind = FW_REGISTRY_UPSTREAM,
                                      .draining = unusable_rows[_i].listed};
    struct fw_registry_snapshot listed = {.n = 1, .entries = &entry};

    g_strlcpy(entry.name, e->name, sizeof(entry.name));
    Fw_Router_OnListed(s->router[0], &listed, s->now_us);
    e->leaving = unusable_rows[_i].leaving;
    e->unreachable = unusable_rows[_i].dead;
    e->model = unusable_rows[_i].model;
    e->is_prefill = unusable_rows[_i].is_prefill;
    u->drained = unusable_rows[_i].drained;
    Fw_RouteEnv_Advance(s, 2 * FW_SEC);
    for (uint64_t i = 0; i < 6; i++) {
        Fw_RouteEnv_SubmitRequest(s, (int)(i % 2), i, "a", 100, NULL);
        Fw_RouteEnv_Advance(s, 100 * FW_MSEC);
        Fw_RouteEnv_ReportStep(s, (int)(i % 2), i, FW_STEP_CANCELLED, NULL);
        if (i == 0 && unusable_rows[_i].listed) {
            g_string_truncate(s->answers, 0); /* n1 knows from n0 by now */
        }
    }
    ck_assert_msg(strstr(s->answers->str, " > "), "%s: none served",
                  unusable_rows[_i].what);
    ck_assert_msg(!strstr(s->answers->str, unusable_rows[_i].engine),
                  "%s:\n%s", unusable_rows[_i].what, s->answers->str);
    Fw_RouteEnv_Free(s);
}
END_TEST

/* A gap in the cache events may hide an eviction: prompts must not be sent to
 * an engine that no longer has them cached. */
START_TEST(gap_in_cache_events_invalidates_prefixes)
{
    static const struct fw_up_cache_event first[] = {
        {.seq = 1, .prefix_hash = 7}};
    static const struct fw_up_cache_event later[] = {
        {.seq = 4, .prefix_hash = 9}};
    struct fw_prefixes seven = {.n = 1, .hash = {7}};
    struct fw_prefixes nine = {.n = 1, .hash = {9}};
    struct fw_route_env *s = Fw_RouteEnv_New(1, FW_POLICY_FULL);
    struct fw_router *r = s->router[0];
    const struct fw_engine *e = Fw_Engine_Find(r, Fw_Hash_Str("p0"));

    /* The first batch sets the sequence; the next one has a gap. */
    Fw_RouteEnv_FindEngine(s, "p0")->cache =
        (struct fw_up_cache_batch){.n = 1, .next_seq = 2, .events = first};
    Fw_RouteEnv_Advance(s, 5 * FW_SEC);
    ck_assert_int_gt(
        Fw_Prefix_CachedTokens(&r->prefixes, Fw_Engine_CacheKey(e), &seven),
        0);
    Fw_RouteEnv_FindEngine(s, "p0")->cache =
        (struct fw_up_cache_batch){.n = 1, .next_seq = 5, .events = later};
    Fw_RouteEnv_Advance(s, 5 * FW_SEC);
    ck_assert_int_eq(
        Fw_Prefix_CachedTokens(&r->prefixes, Fw_Engine_CacheKey(e), &seven),
        0);
    ck_assert_int_gt(
        Fw_Prefix_CachedTokens(&r->prefixes, Fw_Engine_CacheKey(e), &nine), 0);
    Fw_RouteEnv_Free(s);
}
END_TEST

/* Repeated prompts must go to the engine that has them cached. */
START_TEST(same_prompt_goes_where_it_is_cached)
{
    struct fw_route_env *s = Fw_RouteEnv_New(2, FW_POLICY_FULL);
    char first[8];

    Fw_RouteEnv_SubmitRequest(s, 0, 1, "a", 2000, NULL);
    Fw_RouteEnv_Advance(s, 300 * FW_MSEC);
    memcpy(first, s->answers->str, 7);
    first[7] = '\0'; /* "1 pX > " */
    Fw_RouteEnv_ReportStep(s, 0, 1, FW_STEP_PREFILLED, NULL);
    Fw_RouteEnv_ReportStep(s, 0, 1, FW_STEP_DONE, NULL);
    g_string_truncate(s->answers, 0);
    for (uint64_t i = 2; i < 6; i++) {
        Fw_RouteEnv_SubmitRequest(s, (int)(i % 2), i, "a", 2000, NULL);
        Fw_RouteEnv_Advance(s, 300 * FW_MSEC);
        Fw_RouteEnv_ReportStep(s, (int)(i % 2), i, FW_STEP_PREFILLED, NULL);
        Fw_RouteEnv_ReportStep(s, (int)(i % 2), i, FW_STEP_DONE, NULL);
        ck_assert_msg(strncmp(s->answers->str + 1, first + 1, 6) == 0, "%s",
                      s->answers->str);
        g_string_truncate(s->answers, 0);
    }
    Fw_RouteEnv_Free(s);
}
END_TEST

/* A retry must avoid the engine that failed, and its failure domain. */
START_TEST(retry_goes_to_another_domain)
{
    struct fw_route_env *s = Fw_RouteEnv_New(1, FW_POLICY_FULL);

    Fw_RouteEnv_SubmitRequest(s, 0, 1, "a", 100, "p0");
    Fw_RouteEnv_Advance(s, 100 * FW_MSEC);
    Fw_RouteEnv_ExpectAnswers(s, "1 p1 > d1\n");
    Fw_RouteEnv_Free(s);
}
END_TEST

/* Neither a server with an open breaker nor one to avoid must be picked. */
START_TEST(failing_server_is_not_picked)
{
    struct fw_route_env *s = Fw_RouteEnv_New(1, FW_POLICY_FULL);
    const char *avoid[] = {"s1", NULL};
    int n_wrong = 0;

    for (int i = 0; i < 3; i++) {
        Fw_Route_ReportServerResult(s->router[0], "s0", 0, 0, s->now_us);
    }
    for (int i = 0; i < 50; i++) {
        const struct fw_upstream *u = Fw_Route_PickServer(
            s->router[0], s->cfg, "desk", avoid, s->now_us);

        n_wrong += strcmp(u->name, "s2") != 0;
    }
    ck_assert_int_eq(n_wrong, 0);
    ck_assert_ptr_null(
        Fw_Route_PickServer(s->router[0], s->cfg, "none", NULL, s->now_us));
    Fw_RouteEnv_Free(s);
}
END_TEST

/* A request that may crash its engine must not share it with others. */
START_TEST(exclusive_request_shares_no_engine)
{
    struct fw_route_env *s = Fw_RouteEnv_New(1, FW_POLICY_FULL);
    struct fw_route_request req = {.ticket = 1,
                                   .prompt_tokens = 100,
                                   .max_tokens = 10,
                                   .arrived_us = s->now_us,
                                   .exclusive = 1};
    struct fw_actions out;

    Fw_RouteEnv_FindEngine(s, "d0")->busy = 1;
    Fw_RouteEnv_Advance(s, 2 * FW_SEC);
    req.arrived_us = s->now_us;
    g_strlcpy(req.team, "a", sizeof(req.team));
    g_strlcpy(req.model, "m", sizeof(req.model));
    Fw_Actions_Init(&out);
    Fw_Route_Submit(s->router[0], s->cfg, &req, s->now_us, &out);
    Fw_Actions_Clear(&out);
    Fw_RouteEnv_Advance(s, 50 * FW_MSEC);
    ck_assert_msg(strstr(s->answers->str, "> d1\n"), "%s", s->answers->str);
    g_string_truncate(s->answers, 0);
    for (uint64_t i = 2; i < 5; i++) {
        Fw_RouteEnv_SubmitRequest(s, 0, i, "a", 100, NULL);
    }
    Fw_RouteEnv_Advance(s, 200 * FW_MSEC);
    ck_assert_msg(!strstr(s->answers->str, "> d1\n"), "%s", s->answers->str);
    Fw_RouteEnv_Free(s);
}
END_TEST

/* The baseline policies must answer without queueing. */
START_TEST(baselines_answer_at_once)
{
    enum fw_policy policy = _i ? FW_POLICY_RANDOM : FW_POLICY_LEAST_LOADED;
    struct fw_route_env *s = Fw_RouteEnv_New(1, policy);

    Fw_RouteEnv_FindEngine(s, "p0")->queued_tokens = 5000;
    Fw_RouteEnv_FindEngine(s, "d0")->busy = 1;
    Fw_RouteEnv_Advance(s, 300 * FW_MSEC);
    Fw_RouteEnv_SubmitRequest(s, 0, 1, "a", 100, NULL);
    if (policy == FW_POLICY_LEAST_LOADED) {
        Fw_RouteEnv_ExpectAnswers(s, "1 p1 > d1\n");
    }
    ck_assert_int_eq(s->router[0]->m.grants.value, 1);
    Fw_RouteEnv_Free(s);
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
    tcase_add_test(tc, overload_is_refused_early);
    tcase_add_test(tc, slots_are_shared_between_teams);
    tcase_add_test(tc, dead_coordinator_only_delays_requests);
    tcase_add_test(tc, restarted_coordinator_refuses_no_request);
    tcase_add_test(tc, reservation_with_lost_reply_is_released);
    tcase_add_loop_test(tc, unusable_engine_gets_no_requests, 0,
                        (int)G_N_ELEMENTS(unusable_rows));
    tcase_add_test(tc, gap_in_cache_events_invalidates_prefixes);
    tcase_add_test(tc, same_prompt_goes_where_it_is_cached);
    tcase_add_test(tc, retry_goes_to_another_domain);
    tcase_add_test(tc, failing_server_is_not_picked);
    tcase_add_test(tc, exclusive_request_shares_no_engine);
    tcase_add_loop_test(tc, baselines_answer_at_once, 0, 2);
    suite_add_tcase(suite, tc);
    sr = srunner_create(suite);
    srunner_run_all(sr, CK_ENV);
    failed = srunner_ntests_failed(sr);
    srunner_free(sr);
    return failed != 0;
}
