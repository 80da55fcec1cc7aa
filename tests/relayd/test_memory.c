/*
 * Memory of the smallest instance, with slow callers and servers beside sound
 * calls.
 */
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "relayd/relayd_internal.h"
#include "tests/relayd/slow_env.h"

/* Memory of the load, and what is held for no connection. */
#define FW_LOAD_BYTES (6 * FW_SLOW_MB)

static void
check_within_budget(const struct slow_env *env)
{
    const struct sound_calls *s = &env->sound;
    int finished = s->n_sent;
    const struct fw_list *pos;

    FW_LIST_EACH (pos, &s->open) {
        finished--;
    }
    printf("held %zu, heap grew by %zu, sound calls %d of %d in time, longest "
           "%" G_GINT64_FORMAT " us\n",
           env->peak_held, env->peak_heap - env->heap_before, s->n_in_time,
           finished, s->longest_us);
    fflush(stdout);
    ck_assert_uint_le(env->peak_heap - env->heap_before,
                      FW_SLOW_BUDGET_BYTES + FW_LOAD_BYTES);
    ck_assert_uint_gt(env->peak_held, 0);
    ck_assert_uint_le(env->peak_held, FW_SLOW_BUDGET_BYTES);
    ck_assert_int_ge(finished, 40);
    ck_assert_int_ge(s->n_in_time * 100, finished * 99);
}

static int
count_status(const struct slow_env *env, int status)
{
    const struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &env->callers) {
        const struct slow_caller *c =
            FW_LIST_ENTRY(pos, struct slow_caller, link);

        n += Fw_SlowCaller_Status(c) == status;
    }
    return n;
}

static void
add_posts(struct slow_env *env, int n, size_t withheld)
{
    for (int i = 0; i < n; i++) {
        Fw_SlowEnv_Post(env, FW_SLOW_MB, withheld);
        Fw_SlowEnv_Run(env, 2 * FW_MSEC);
    }
}

static void
add_deaf_callers(struct slow_env *env, int n)
{
    for (int i = 0; i < n; i++) {
        Fw_SlowEnv_Get(env, 0, 3600 * FW_SEC);
        Fw_SlowEnv_Run(env, 2 * FW_MSEC);
    }
}

/* Guards against bodies that are held without a bound, or twice. */
START_TEST(bodies_for_slow_servers_stay_within_the_budget)
{
    struct slow_env env;

    Fw_SlowEnv_Init(&env, 4 * FW_SLOW_MB);
    add_posts(&env, 200, 0);
    Fw_SlowEnv_Run(&env, 3 * FW_SEC);
    check_within_budget(&env);
    /* The kernel ends connections whose server makes no room for 2 s. */
    ck_assert_int_gt(count_status(&env, 0) + count_status(&env, 502), 10);
    ck_assert_int_gt(count_status(&env, 503), 100);
    Fw_SlowEnv_Free(&env);
}
END_TEST

/* Guards against bodies that are begun and never complete. */
START_TEST(incomplete_bodies_stay_within_the_budget)
{
    struct slow_env env;

    Fw_SlowEnv_Init(&env, 4 * FW_SLOW_MB);
    add_posts(&env, 300, 1);
    Fw_SlowEnv_Run(&env, 3 * FW_SEC);
    check_within_budget(&env);
    ck_assert_int_gt(count_status(&env, 503), 200);
    ck_assert_int_gt(count_status(&env, 0), 10);
    Fw_SlowEnv_Free(&env);
}
END_TEST

/* Guards against responses that nobody reads and that fill the memory. */
START_TEST(unread_responses_stay_within_the_budget)
{
    struct slow_env env;

    Fw_SlowEnv_Init(&env, 4 * FW_SLOW_MB);
    env.response_bytes = 16 * FW_SLOW_MB;
    add_deaf_callers(&env, 400);
    Fw_SlowEnv_Run(&env, 3 * FW_SEC);
    check_within_budget(&env);
    ck_assert_uint_gt(env.peak_held, FW_SLOW_BUDGET_BYTES / 2);
    Fw_SlowEnv_Free(&env);
}
END_TEST

/* Guards against a sum of slow callers and servers that exceeds the budget. */
START_TEST(slow_callers_and_servers_at_once_stay_within_the_budget)
{
    struct slow_env env;

    Fw_SlowEnv_Init(&env, 4 * FW_SLOW_MB);
    env.response_bytes = 16 * FW_SLOW_MB;
    for (int i = 0; i < 100; i++) {
        add_posts(&env, 2, 0);
        add_posts(&env, 3, 1);
        add_deaf_callers(&env, 4);
    }
    Fw_SlowEnv_Run(&env, 2 * FW_SEC);
    check_within_budget(&env);
    Fw_SlowEnv_Free(&env);
}
END_TEST

/* Guards against a caller who is told to retry what can never be held. */
START_TEST(a_body_larger_than_the_budget_is_rejected_for_good)
{
    struct slow_env env;
    struct slow_caller *by_length;
    struct slow_caller *by_chunks;

    Fw_SlowEnv_Init(&env, 256 * FW_SLOW_MB);
    by_length = Fw_SlowEnv_Post(&env, 64 * FW_SLOW_MB, 0);
    by_chunks = Fw_SlowEnv_Post(&env, -1, 0);
    env.heap_before = 0; /* the load holds the chunks */
    env.peak_heap = 0;
    Fw_SlowEnv_Run(&env, 2500 * FW_MSEC);
    ck_assert_int_eq(Fw_SlowCaller_Status(by_length), 413);
    ck_assert_int_eq(Fw_SlowCaller_Status(by_chunks), 413);
    env.peak_heap = 0;
    check_within_budget(&env);
    Fw_SlowEnv_Free(&env);
}
END_TEST

/* Guards against a rejection that doesn't say when to retry, or that it ran.
 */
START_TEST(a_request_that_cannot_be_held_is_rejected_as_not_run)
{
    struct slow_env env;
    int n = 0;
    struct fw_list *pos;

    Fw_SlowEnv_Init(&env, 4 * FW_SLOW_MB);
    add_posts(&env, 60, 1);
    Fw_SlowEnv_Run(&env, 500 * FW_MSEC);
    FW_LIST_EACH (pos, &env.callers) {
        const struct slow_caller *c =
            FW_LIST_ENTRY(pos, struct slow_caller, link);

        if (Fw_SlowCaller_Status(c) == 503) {
            ck_assert_ptr_nonnull(strstr(c->head, "\r\nRetry-After: "));
            ck_assert_ptr_nonnull(strstr(c->head, "\"Ran\":\"no\""));
            n++;
        }
    }
    ck_assert_int_gt(n, 10);
    Fw_SlowEnv_Free(&env);
}
END_TEST

/* Guards against a response that its server cuts off as its caller pauses. */
START_TEST(callers_that_pause_get_the_whole_response)
{
    struct slow_env env;
    int whole = 0;
    struct fw_list *pos;

    Fw_SlowEnv_Init(&env, 4 * FW_SLOW_MB);
    env.response_bytes = 2 * FW_SLOW_MB;
    env.cut_off_us = 2 * FW_SEC;
    for (int i = 0; i < 10; i++) {
        Fw_SlowEnv_Get(&env, 200 * 1024, 5 * FW_SEC);
    }
    Fw_SlowEnv_Run(&env, 7 * FW_SEC);
    FW_LIST_EACH (pos, &env.callers) {
        const struct slow_caller *c =
            FW_LIST_ENTRY(pos, struct slow_caller, link);

        whole += c->received > env.response_bytes && !c->is_closed;
    }
    ck_assert_int_eq(whole, 10);
    check_within_budget(&env);
    Fw_SlowEnv_Free(&env);
}
END_TEST

/* Has the router believe that @bytes wait for each of the first @n servers. */
static void
set_waiting(struct slow_env *env, int n, size_t *counted, size_t bytes)
{
    for (int i = 0; i < n; i++) {
        Fw_Held_SetWaiting(env->router.router->held, env->addrs[i],
                           &counted[i], bytes);
    }
}

/*
 * Guards against a server that reads slowly and holds up requests that other
 * servers could serve, and against a request that is lost when none can.
 */
START_TEST(requests_pass_servers_that_do_not_read)
{
    size_t counted[FW_SLOW_SERVERS] = {0};
    struct slow_env env;

    Fw_SlowEnv_Init(&env, 4 * FW_SLOW_MB);
    env.n_slow = _i;
    set_waiting(&env, _i, counted, 15 * FW_SLOW_MB);
    for (int i = 0; i < 20; i++) {
        Fw_SlowEnv_Post(&env, FW_SLOW_MB / 8, 0);
        Fw_SlowEnv_Run(&env, 50 * FW_MSEC);
    }
    Fw_SlowEnv_Run(&env, 500 * FW_MSEC);
    ck_assert_int_eq(count_status(&env, _i < FW_SLOW_SERVERS ? 200 : 503), 20);
    set_waiting(&env, _i, counted, 0);
    Fw_SlowEnv_Free(&env);
}
END_TEST

/* Guards against a server that crashes of the bodies that it holds. */
START_TEST(a_server_is_given_no_more_bodies_than_it_may_hold)
{
    struct slow_env env;

    Fw_SlowEnv_Init(&env, 4 * FW_SLOW_MB);
    env.router.router->opts.server_request_bytes = FW_SLOW_MB;
    for (int i = 0; i < 20; i++) {
        Fw_SlowEnv_Post(&env, FW_SLOW_MB / 3, 0);
        Fw_SlowEnv_Run(&env, 20 * FW_MSEC);
    }
    Fw_SlowEnv_Run(&env, 200 * FW_MSEC);
    ck_assert_int_eq(count_status(&env, 0), 3 * FW_SLOW_SERVERS);
    ck_assert_int_eq(count_status(&env, 503), 20 - 3 * FW_SLOW_SERVERS);
    Fw_SlowEnv_Free(&env);
}
END_TEST

static int
count_open(const struct slow_env *env)
{
    return Fw_Held_Connections(env->router.router->held)->open;
}

#define FW_MOST_CONNECTIONS 80
/* Connections of this instance itself may use the reserve. */
#define FW_CONTROL_CONNECTIONS 8

/*
 * Guards against a process without descriptors, which can neither accept
 * callers nor reach servers. The callers of the second case await responses.
 */
START_TEST(connections_stay_within_the_limit)
{
    struct slow_env env;
    int most = 0;

    Fw_SlowEnv_Init(&env, 4 * FW_SLOW_MB);
    env.response_bytes = 16 * FW_SLOW_MB;
    Fw_Held_SetMostConnections(env.router.router->held, FW_MOST_CONNECTIONS);
    for (int i = 0; i < 100; i++) {
        if (_i) {
            Fw_SlowEnv_Get(&env, 1000, 3600 * FW_SEC);
        }
        else {
            Fw_SlowEnv_Connect(&env);
        }
        Fw_SlowEnv_Run(&env, 15 * FW_MSEC);
        most = MAX(most, count_open(&env));
    }
    env.sound.n_sent = 0; /* counted from here on */
    env.sound.n_in_time = 0;
    Fw_SlowEnv_Run(&env, 1500 * FW_MSEC);
    ck_assert_int_le(most, FW_MOST_CONNECTIONS + FW_CONTROL_CONNECTIONS);
    ck_assert_int_ge(most, FW_MOST_CONNECTIONS / 2);
    if (_i) {
        ck_assert_int_gt(count_status(&env, 200), 20);
        ck_assert_int_gt(count_status(&env, 503), 40);
    }
    else {
        ck_assert_int_ge(env.sound.n_in_time, 20);
        ck_assert_int_ge(env.sound.n_in_time, env.sound.n_sent - 2);
    }
    Fw_SlowEnv_Free(&env);
}
END_TEST

/* Ends some callers in the middle of what they do. */
static void
end_some(struct slow_env *env, GRand *rand)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &env->callers) {
        if (g_rand_int_range(rand, 0, 10) == 0) {
            Fw_SlowCaller_End(FW_LIST_ENTRY(pos, struct slow_caller, link));
        }
    }
}

/* Guards against bytes that stay charged, or are released twice. */
START_TEST(nothing_is_held_after_random_calls)
{
    struct slow_env env;
    GRand *rand = g_rand_new_with_seed((guint32)_i);

    Fw_SlowEnv_Init(&env, 4 * FW_SLOW_MB);
    env.n_slow = 2;
    env.response_bytes = 3 * FW_SLOW_MB;
    env.cut_off_us = 300 * FW_MSEC;
    for (int i = 0; i < 300; i++) {
        int length = g_rand_int_range(rand, 1, 3 * FW_SLOW_MB);

        if (g_rand_boolean(rand)) {
            Fw_SlowEnv_Post(&env, length,
                            (size_t)g_rand_int_range(rand, 0, length));
        }
        else {
            Fw_SlowEnv_Get(&env, (size_t)length,
                           g_rand_int_range(rand, 0, 2 * FW_SEC));
        }
        Fw_SlowEnv_Run(&env, 8 * FW_MSEC);
        if (i % 10 == 0) {
            end_some(&env, rand);
        }
    }
    check_within_budget(&env);
    Fw_SlowEnv_Free(&env); /* warns of bytes that are still held */
    g_rand_free(rand);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("memory");
    struct rlimit files;

    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
    }
    g_log_set_always_fatal(G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING);
    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, bodies_for_slow_servers_stay_within_the_budget);
    tcase_add_test(tc, incomplete_bodies_stay_within_the_budget);
    tcase_add_test(tc, unread_responses_stay_within_the_budget);
    tcase_add_test(tc,
                   slow_callers_and_servers_at_once_stay_within_the_budget);
    tcase_add_test(tc, a_body_larger_than_the_budget_is_rejected_for_good);
    tcase_add_test(tc, a_request_that_cannot_be_held_is_rejected_as_not_run);
    tcase_add_test(tc, callers_that_pause_get_the_whole_response);
    tcase_add_loop_test(tc, requests_pass_servers_that_do_not_read, 0,
                        FW_SLOW_SERVERS + 1);
    tcase_add_test(tc, a_server_is_given_no_more_bodies_than_it_may_hold);
    tcase_add_loop_test(tc, connections_stay_within_the_limit, 0, 2);
    tcase_add_loop_test(tc, nothing_is_held_after_random_calls, 0, 3);
    return Fw_Suite_Run(tc);
}
