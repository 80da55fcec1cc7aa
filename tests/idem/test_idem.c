/* At-most-once execution of calls that are not idempotent. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "base/fault.h"
#include "explore/p_idem_env.h"
#include "idem/idem_internal.h"
#include "tests/base/suite.h"

/** struct script - @run: one command per line; @seen: the expected trace. */
struct script {
    const char *name;
    int n_instances;
    const char *run;
    const char *seen;
};

static void
log_command(struct fw_idem_env *env, const char *what, const char *arg)
{
    int n = arg ? atoi(arg) : 1;

    if (strcmp(what, "down") == 0) {
        env->log.down = 1;
    }
    else if (strcmp(what, "up") == 0) {
        env->log.down = 0;
    }
    else if (strcmp(what, "lose") == 0) {
        env->log.lose_answers = n;
    }
    else if (strcmp(what, "drop") == 0) {
        env->log.drop_appends = n;
    }
    else if (strcmp(what, "late") == 0) {
        env->log.delay_appends = n;
    }
    else if (strcmp(what, "slow") == 0) {
        env->log.latency_us = n * FW_MSEC;
    }
    else if (strcmp(what, "retain") == 0) {
        env->log.retain_records = n;
    }
    else {
        ck_abort_msg("no such command: log %s", what);
    }
}

static void
service_command(struct fw_idem_env *env, const char *what)
{
    static const char *const names[] = {"answers", "loses", "refuses"};

    for (int i = 0; i < 3; i++) {
        if (strcmp(names[i], what) == 0) {
            env->service = (enum fw_idem_env_service)i;
            return;
        }
    }
    ck_abort_msg("no such command: service %s", what);
}

static void
instance_command(struct fw_idem_env *env, char **w)
{
    int instance = atoi(w[1]);

    if (strcmp(w[0], "call") == 0) {
        Fw_IdemEnv_SubmitCall(env, instance, w[2], w[3]);
    }
    else if (strcmp(w[0], "kill") == 0) {
        Fw_IdemEnv_Kill(env, instance);
    }
    else if (strcmp(w[0], "start") == 0) {
        Fw_IdemEnv_Start(env, instance);
    }
    else if (strcmp(w[0], "cut") == 0) {
        env->instances[instance].isolated = 1;
    }
    else if (strcmp(w[0], "pause") == 0) {
        env->instances[instance].paused_until_us =
            env->now_us + atoi(w[2]) * FW_MSEC;
    }
    else {
        ck_abort_msg("no such command: %s", w[0]);
    }
}

static void
command(struct fw_idem_env *env, const char *line)
{
    char **w = g_strsplit(line, " ", -1);

    if (strcmp(w[0], "run") == 0) {
        Fw_IdemEnv_Advance(env, atoi(w[1]) * FW_MSEC);
    }
    else if (strcmp(w[0], "log") == 0) {
        log_command(env, w[1], w[2]);
    }
    else if (strcmp(w[0], "service") == 0) {
        service_command(env, w[1]);
    }
    else {
        instance_command(env, w);
    }
    g_strfreev(w);
}

/* Return: the violation found or an empty string, to be freed. */
static char *
play(const struct script *s, GString *trace)
{
    struct fw_idem_env env;
    char **lines = g_strsplit(s->run, "\n", -1);
    char *violation;

    Fw_IdemEnv_Init(&env, s->n_instances, trace);
    for (int i = 0; lines[i]; i++) {
        command(&env, lines[i]);
    }
    violation = g_strdup(env.failure);
    g_strfreev(lines);
    Fw_IdemEnv_Clear(&env);
    return violation;
}

static const struct script scripts[] = {
    /* A caller repeats a call that has completed. */
    {"a repeat gets the recorded answer", 2,
     "call 0 k buy\nrun 1000\ncall 0 k buy\nrun 1000",
     "1 sent\n2 recorded done\n"},
    /* The repeat reaches another instance. */
    {"also through another instance", 2,
     "call 0 k buy\nrun 1000\ncall 1 k buy\nrun 1000",
     "1 sent\n2 recorded done\n"},
    /* Repeats arrive while the first call is still running. */
    {"two instances, one key at once", 3,
     "call 0 k buy\ncall 1 k buy\ncall 2 k buy\nrun 3000",
     "2 sent\n1 recorded done\n3 recorded done\n"},
    /* One key for two different calls: the second must not get the outcome
     * of the first. */
    {"same key, other body", 2,
     "call 0 k buy\nrun 1000\ncall 1 k sell\nrun 1000",
     "1 sent\n2 mismatch\n"},
    /* The append succeeds but its answer is lost; taken for a failure, the
     * intent would stay in the log and the call would never run. */
    {"the append's answer is lost", 2,
     "log lose\ncall 0 k buy\nrun 8000\ncall 1 k buy\nrun 1000",
     "1 sent\n2 recorded done\n"},
    /* The append never reaches the log, and its result is unknown. */
    {"the append is lost", 2,
     "log drop\ncall 0 k buy\nrun 8000\ncall 1 k buy\nrun 1000",
     "1 unavailable\n2 sent\n"},
    /* The append arrives after its caller was told that the call did not
     * run; the late intent must not block the key. */
    {"the append arrives late", 2,
     "log late\ncall 0 k buy\nrun 12000\ncall 1 k buy\nrun 3000",
     "1 unavailable\n2 sent\n"},
    /* During a log outage callers get "unavailable" and a time to retry at;
     * the same key works afterwards. */
    {"the log is down", 2,
     "log down\ncall 0 k buy\nrun 6000\ncall 1 k buy\nrun 6000\nlog up\n"
     "run 12000\ncall 0 k buy\nrun 2000",
     "1 unavailable\n2 unavailable\n3 sent\n"},
    /* The log goes down after a call has run: a repeat must not be told
     * that it was not run. */
    {"the log is down for a repeat", 1,
     "call 0 k buy\nrun 1000\nlog down\ncall 0 k buy\nrun 6000",
     "1 sent\n2 maybe\n"},
    /* A slow log delays the call, which runs once. */
    {"the log is slow", 2,
     "log slow 600\ncall 0 k buy\nrun 6000\ncall 1 k buy\nrun 6000",
     "1 sent\n2 recorded done\n"},
    /* The service runs the call but its answer is lost: "not run" would
     * make the caller repeat it. */
    {"the answer is lost after the effect", 2,
     "service loses\ncall 0 k buy\nrun 1000\nservice answers\n"
     "call 1 k buy\nrun 3000",
     "1 sent\n2 maybe\n"},
    /* The service was unreachable: the attempt is recorded as not run and
     * the caller may retry with the same key. */
    {"the send never began", 2,
     "service refuses\ncall 0 k buy\nrun 1000\nservice answers\n"
     "call 1 k buy\nrun 3000",
     "1 not begun\n2 sent\n"},
    /* The instance dies after it has sent the call. */
    {"the sender dies", 2,
     "call 0 k buy\nrun 15\nkill 0\nrun 500\ncall 1 k buy\nrun 3000",
     "1 sent\n2 maybe\n"},
    /* The process is paused between intent and send, and its caller retries
     * at another instance: the first must not send when it resumes. */
    {"the holder is paused", 2,
     "log slow 100\ncall 0 k buy\nrun 50\npause 0 60000\nrun 10000\n"
     "call 1 k buy\nrun 60000\ncall 1 k buy\nrun 3000",
     "2 maybe\n1 may not run: stale\n3 sent\n"},
    /* Without reachable peers each instance appends to the log itself. */
    {"no peer can be reached", 3,
     "cut 0\ncut 1\ncut 2\ncall 0 k buy\ncall 1 k buy\ncall 2 k buy\n"
     "run 5000",
     "2 sent\n1 recorded done\n3 recorded done\n"},
    /* A call is repeated after its record was deleted: only the time in the
     * key shows that it is not new. */
    {"older than retention", 2,
     "log retain 4\ncall 0 old@0 buy\nrun 1000\ncall 0 a@0 buy\n"
     "run 1000\ncall 0 b@0 buy\nrun 1000\ncall 0 c@0 buy\nrun 1000\n"
     "call 0 d@0 buy\nrun 1000\ncall 0 e@0 buy\nrun 1000\n"
     "call 0 f@0 buy\nrun 1000\nrun 400000\ncall 1 old@0 buy\nrun 1000\n"
     "call 1 plain buy\nrun 1000\ncall 1 new@0 buy\nrun 1000",
     "1 sent\n2 sent\n3 sent\n4 sent\n5 sent\n6 sent\n7 sent\n"
     "8 too old\n9 too old\n10 sent\n"},
    /* A key from a clock that is a day ahead would still look new after its
     * record was deleted. */
    {"a key from the future", 1,
     "log retain 2\ncall 0 a buy\nrun 1000\ncall 0 b buy\nrun 1000\n"
     "call 0 c buy\nrun 1000\ncall 0 d buy\nrun 200000\n"
     "call 0 x@-86400 buy\nrun 1000",
     "1 sent\n2 sent\n3 sent\n4 sent\n5 too old\n"},
};

START_TEST(scripted)
{
    const struct script *s = &scripts[_i];
    GString *trace = g_string_new(NULL);
    char *violation = play(s, trace);

    ck_assert_msg(strcmp(trace->str, s->seen) == 0,
                  "%s\n-- seen:\n%s-- expected:\n%s", s->name, trace->str,
                  s->seen);
    ck_assert_str_eq(violation, "");
    g_free(violation);
    g_string_free(trace, TRUE);
}
END_TEST

/* The environment must detect a call that runs twice because the check against
 * deleted records is disabled. */
START_TEST(retention_is_checked)
{
    const struct script s = {
        "forgets", 1,
        "log retain 2\ncall 0 a buy\nrun 1000\ncall 0 b buy\nrun 1000\n"
        "call 0 c buy\nrun 1000\ncall 0 d buy\nrun 1000\nkill 0\nstart 0\n"
        "call 0 a buy\nrun 1000",
        ""};
    GString *trace = g_string_new(NULL);
    char *violation;

    Fw_Fault_Active = "idem-forgets";
    violation = play(&s, trace);
    Fw_Fault_Active = NULL;
    ck_assert_ptr_nonnull(strstr(violation, "twice"));
    g_free(violation);
    g_string_free(trace, TRUE);
}
END_TEST

/* 400 calls a second need 800 records; batched, they must stay within the
 * append rate limit without any claim timing out. */
START_TEST(append_rate_is_limited)
{
    GString *trace = g_string_new(NULL);
    struct fw_idem_env env;
    int seconds = 3;
    int rate = 400;
    int sent = 0;
    char key[FW_ID_MAX];

    Fw_IdemEnv_Init(&env, 3, trace);
    for (int i = 0; i < seconds * rate; i++) {
        g_snprintf(key, sizeof(key), "order-%d", i);
        Fw_IdemEnv_SubmitCall(&env, i % 3, key, "buy");
        Fw_IdemEnv_Advance(&env, FW_SEC / rate);
    }
    Fw_IdemEnv_Advance(&env, 5 * FW_SEC);
    for (guint i = 0; i < env.calls->len; i++) {
        sent += ((struct fw_idem_env_call *)g_ptr_array_index(env.calls, i))
                    ->sends;
    }
    ck_assert_int_eq(sent, seconds * rate);
    ck_assert_int_le(env.log.appends,
                     seconds * FW_IDEM_APPENDS_PER_S * 11 / 10);
    ck_assert_str_eq(env.failure, "");
    Fw_IdemEnv_Clear(&env);
    g_string_free(trace, TRUE);
}
END_TEST

START_TEST(key_time_is_parsed)
{
    static const struct {
        const char *key;
        int64_t ms;
    } keys[] = {
        {"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0x017f22e279b0},
        {"017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 0x017f22e279b0},
        {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", 0}, /* version 4 */
        {"1764720000000-nomination-17", 1764720000000},
        {"1764720000000", 0},
        {"order-17", 0},
        {"", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        ck_assert_int_eq(Fw_Idem_ParseKeyTime(keys[i].key), keys[i].ms);
    }
}
END_TEST

/* Records that are malformed or of an unknown version must not stop a reader.
 */
START_TEST(malformed_records_are_rejected)
{
    static const char *const texts[] = {
        "",
        "{",
        "[]",
        "{\"kind\":\"intent\"}",
        "{\"kind\":7,\"at\":1}",
        "{\"kind\":\"outcome\",\"at\":1}",
        "{\"kind\":\"mark\",\"at\":\"now\"}",
        "{\"kind\":\"intent\",\"at\":1,\"key\":7}",
    };
    struct fw_idem_record rec;

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        ck_assert_int_lt(Fw_Idem_ParseRecord(texts[i], &rec), 0);
    }
}
END_TEST

START_TEST(record_round_trips)
{
    struct fw_idem_record in = {.kind = FW_IDEM_REC_OUTCOME,
                                .at_ms = 5,
                                .digest = "0123",
                                .owner = "instance-0.1.2",
                                .ran = FW_RAN_YES,
                                .status = 201,
                                .content_type = "text/plain"};
    struct fw_idem_record out;
    char *text;

    in.body = g_bytes_new_static("a\0b", 3);
    text = Fw_Idem_FormatRecord(&in);
    ck_assert_int_eq(Fw_Idem_ParseRecord(text, &out), 0);
    ck_assert_str_eq(out.owner, in.owner);
    ck_assert_int_eq(out.status, 201);
    ck_assert(g_bytes_equal(out.body, in.body));
    Fw_Idem_ClearRecord(&out);
    Fw_Idem_ClearRecord(&in);
    g_free(text);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("idem");

    tcase_add_loop_test(tc, scripted, 0, G_N_ELEMENTS(scripts));
    tcase_add_test(tc, retention_is_checked);
    tcase_add_test(tc, append_rate_is_limited);
    tcase_add_test(tc, key_time_is_parsed);
    tcase_add_test(tc, malformed_records_are_rejected);
    tcase_add_test(tc, record_round_trips);
    return Fw_Suite_Run(tc);
}
