/* Records about crashes in the store, good and damaged, and over a restart. */
#include <string.h>

#include "http/conn.h"
#include "relay/relay_internal.h"
#include "relayd/store_internal.h"
#include "tests/relayd/router_env.h"

#define FW_NOW_US (1000 * FW_SEC)
#define FW_WALL_US (1800000000 * (int64_t)FW_SEC)
#define FW_KEY_HASH 0xcd
#define FW_KEY "quarantine/00000000000000ab"

/* Records that say nothing; of each, a key and a value. */
static const char *const damaged[][2] = {
    {"quarantine/", "{\"at_ms\":1,\"crashes\":3}"},
    {"quarantine/ab", "{\"at_ms\":1,\"crashes\":3}"},
    {"quarantine/0000000000000000", "{\"at_ms\":1,\"crashes\":3}"},
    {"quarantine/00000000000000aB", "{\"at_ms\":1,\"crashes\":3}"},
    {"quarantine/00000000000000ab0", "{\"at_ms\":1,\"crashes\":3}"},
    {FW_KEY, ""},
    {FW_KEY, "{"},
    {FW_KEY, "[]"},
    {FW_KEY, "\xff\xfe"},
    {FW_KEY, "{\"at_ms\":1}"},
    {FW_KEY, "{\"crashes\":3}"},
    {FW_KEY, "{\"at_ms\":\"1\",\"crashes\":3}"},
    {FW_KEY, "{\"at_ms\":-1,\"crashes\":3}"},
    {FW_KEY, "{\"at_ms\":1,\"crashes\":0}"},
    {FW_KEY, "{\"at_ms\":1,\"crashes\":99999999999}"},
    {FW_KEY, "{\"at_ms\":9000000000000000000,\"crashes\":3}"},
    {FW_KEY, "{\"at_ms\":1800000061000,\"crashes\":3}"},
    {"released/00000000000000ab", "{\"at_ms\":null}"},
};

START_TEST(a_damaged_record_is_left_out)
{
    struct fw_store_record rec = {.value = damaged[_i][1],
                                  .len = strlen(damaged[_i][1])};
    struct fw_rl_crash_record out;

    g_strlcpy(rec.key, damaged[_i][0], sizeof(rec.key));
    ck_assert(Fw_CrashRecord_IsKey(rec.key));
    ck_assert_int_ne(Fw_CrashRecord_Parse(&rec, FW_NOW_US, FW_WALL_US, &out),
                     0);
}
END_TEST

/* Guards against a quarantine that never ends, or at once, by wrong clocks. */
START_TEST(a_record_keeps_its_age)
{
    struct fw_rl_crash_record in = {.kind = FW_RL_RECORD_CRASH,
                                    .key = 0xab,
                                    .at_us = FW_NOW_US - 30 * FW_SEC,
                                    .n_crashes = 4};
    struct fw_store_record rec;
    struct fw_rl_crash_record out;
    char *value = Fw_CrashRecord_Value(&in, FW_NOW_US, FW_WALL_US);

    Fw_CrashRecord_Key(&in, rec.key, sizeof(rec.key));
    ck_assert_str_eq(rec.key, FW_KEY);
    rec.value = value;
    rec.len = strlen(value);
    ck_assert_int_eq(Fw_CrashRecord_Parse(&rec, 50 * FW_SEC,
                                          FW_WALL_US + 10 * FW_SEC, &out),
                     0);
    ck_assert_int_eq(out.at_us, 10 * FW_SEC);
    ck_assert_int_eq(out.n_crashes, 4);
    ck_assert_int_eq(out.kind, FW_RL_RECORD_CRASH);
    ck_assert_int_eq(
        Fw_CrashRecord_Parse(&rec, FW_NOW_US, FW_WALL_US - 31 * FW_SEC, &out),
        0);
    ck_assert_int_eq(out.at_us, FW_NOW_US);
    g_free(value);
}
END_TEST

/* Whether the router keeps one part away, and that it is the right one. */
static int
is_kept_away(void *ctx)
{
    const struct router_env *env = ctx;
    const struct fw_blame *b = &env->router->relay->crashes.blame;

    return b->n_quarantines == 1 &&
           Fw_Blame_FindQuarantine(b, FW_KEY_HASH, Fw_Conn_NowUs());
}

static int
is_stored(void *ctx)
{
    const struct router_env *env = ctx;

    return env->router->relay->crashes.stored->len == 1;
}

/* Guards against servers that crash again after a restart of all instances. */
START_TEST(a_router_that_starts_knows_what_the_one_before_has_stored)
{
    struct router_env env;
    struct fw_relay *r;

    Fw_RouterEnv_Init(&env);
    for (size_t i = 0; i < G_N_ELEMENTS(damaged); i++) {
        if (strcmp(damaged[i][1], "\xff\xfe") != 0) {
            Fw_WireStore_Put(env.store, "keyed.fuchsiaward", damaged[i][0],
                             damaged[i][1]);
        }
    }
    Fw_RouterEnv_StartRouter(&env);
    r = env.router->relay;
    ck_assert_int_eq(r->crashes.blame.n_quarantines, 0);
    Fw_Blame_MergeQuarantine(&r->crashes.blame, FW_KEY_HASH, Fw_Conn_NowUs(),
                             3, Fw_Conn_NowUs());
    Fw_Rig_RunUntil(is_stored, &env);
    Fw_Relayd_Free(env.router);
    Fw_RouterEnv_StartRouter(&env);
    Fw_Rig_RunUntil(is_kept_away, &env);
    ck_assert(!Fw_RouterEnv_IsRejected(&env));
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("crash records");

    tcase_set_timeout(tc, 30);
    tcase_add_loop_test(tc, a_damaged_record_is_left_out, 0,
                        G_N_ELEMENTS(damaged));
    tcase_add_test(tc, a_record_keeps_its_age);
    tcase_add_test(tc,
                   a_router_that_starts_knows_what_the_one_before_has_stored);
    return Fw_Suite_Run(tc);
}
