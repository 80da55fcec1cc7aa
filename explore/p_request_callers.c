/* Simulated callers and the checks of their responses; the configuration. */
#include <inttypes.h>
#include <string.h>

#include "base/hash.h"
#include "explore/p_request_env.h"

static struct fw_request_env_caller *
get_open_caller(struct fw_request_env *env, uint64_t call)
{
    struct fw_request_env_caller *c = &env->callers[call - 1];

    if (!c->open) {
        Fw_Run_Fail(env->run,
                    "caller %" PRIu64 " gets data after its call ended",
                    call - 1);
    }
    return c;
}

void
Fw_RequestEnv_OnPiece(struct fw_request_env *env,
                      const struct fw_call_token *p)
{
    struct fw_request_env_caller *c = get_open_caller(env, p->call);
    char *expected =
        g_strdup_printf("%" PRIu64 "/%d ", p->call - 1, c->n_pieces);

    if (p->index != c->n_pieces || strcmp(p->text, expected) != 0) {
        Fw_Run_Fail(env->run, "caller %" PRIu64 " got piece %s instead of %s",
                    p->call - 1, p->text, expected);
    }
    c->n_pieces++;
    g_free(expected);
}

void
Fw_RequestEnv_OnFail(struct fw_request_env *env, const struct fw_call_fail *f)
{
    struct fw_request_env_caller *c = get_open_caller(env, f->call);

    c->open = 0;
    Fw_Run_Trace(env->run, "caller %" PRIu64 " fails: %s, ran %s", f->call - 1,
                 f->code, Fw_Ran_Name(f->ran));
    if (env->draining && f->ran != FW_RAN_NO) {
        Fw_Run_Fail(env->run, "caller %" PRIu64 " fails because of the drain",
                    f->call - 1);
    }
    if (f->ran == FW_RAN_NO && c->started) {
        Fw_Run_Fail(env->run,
                    "caller %" PRIu64 " is told \"not run\" after it ran",
                    f->call - 1);
    }
}

void
Fw_RequestEnv_OnEnd(struct fw_request_env *env, const struct fw_call_end *e)
{
    struct fw_request_env_caller *c = get_open_caller(env, e->call);

    c->open = 0;
    Fw_Run_Trace(env->run, "caller %" PRIu64 " is complete", e->call - 1);
    if (c->n_pieces != FW_REQUEST_ENV_PIECES) {
        Fw_Run_Fail(env->run, "caller %" PRIu64 " is complete with %d pieces",
                    e->call - 1, c->n_pieces);
    }
}

void
Fw_RequestEnv_OnExit(struct fw_request_env *env)
{
    env->exited = 1;
    for (int i = 0; i < env->n_callers; i++) {
        if (env->callers[i].open) {
            Fw_Run_Fail(env->run, "the instance exits while caller %d waits",
                        i);
        }
    }
}

void
Fw_RequestEnv_OpenCall(struct fw_request_env *env)
{
    int n = env->n_callers++;
    struct fw_request_env_caller *c = &env->callers[n];
    char *prompt = g_strdup_printf("%d;", n);
    struct fw_event ev = {.kind = FW_EV_CALL_OPEN};
    struct fw_call *call = &ev.u.open;

    c->call = (uint64_t)n + 1;
    c->open = 1;
    g_snprintf(c->key, sizeof(c->key), "key-%c",
               g_rand_boolean(env->run->rand) ? 'a' : 'b');
    call->call = c->call;
    call->key = c->key;
    call->prompt = g_bytes_new_take(prompt, strlen(prompt));
    call->prompt_tokens = 1;
    call->max_tokens = FW_REQUEST_ENV_PIECES;
    call->stream = 1;
    g_strlcpy(call->model, "m", sizeof(call->model));
    if (g_rand_int_range(env->run->rand, 0, 3) == 0) {
        g_snprintf(call->request_id, FW_ID_MAX, "named-%d", n);
    }
    Fw_Run_Trace(env->run, "caller %d sends a request with %s", n, c->key);
    Fw_RequestEnv_Step(env, &ev);
    g_bytes_unref(call->prompt);
}

void
Fw_RequestEnv_CloseCall(struct fw_request_env *env, int n)
{
    struct fw_event ev = {.kind = FW_EV_CALL_CLOSED,
                          .u.closed = env->callers[n].call};

    if (!env->callers[n].open) {
        return;
    }
    Fw_Run_Trace(env->run, "caller %d disconnects", n);
    env->callers[n].open = 0;
    Fw_RequestEnv_Step(env, &ev);
}

void
Fw_RequestEnv_Drain(struct fw_request_env *env)
{
    struct fw_event ev = {.kind = FW_EV_DRAIN};

    Fw_Run_Trace(env->run, "the instance is told to drain");
    env->draining = 1;
    Fw_RequestEnv_Step(env, &ev);
}

static void
add_key(GString *items, const char *key, int was, int withdrawn)
{
    char digest[FW_DIGEST_HEX_SIZE];

    Fw_Hash_KeyDigest(key, digest);
    g_string_append_printf(items,
                           "{\"kind\":\"key\",\"name\":\"%s\",\"was\":%d,"
                           "\"value\":{\"team\":\"%c\",\"withdrawn\":%s}}",
                           digest, was, key[4], withdrawn ? "true" : "false");
}

void
Fw_RequestEnv_Configure(struct fw_request_env *env)
{
    GString *items = g_string_new(
        "{\"kind\":\"team\",\"name\":\"a\",\"was\":0,\"value\":{\"rate\":"
        "100000,\"burst\":1000000,\"priority\":1,\"models\":[]}},"
        "{\"kind\":\"team\",\"name\":\"b\",\"was\":0,\"value\":{\"rate\":"
        "100000,\"burst\":1000000,\"priority\":1,\"models\":[]}},"
        "{\"kind\":\"pool\",\"name\":\"pool\",\"was\":0,\"value\":{"
        "\"kv_bytes_per_token\":1000,\"prefill_min\":1,\"decode_min\":1,"
        "\"serves\":[{\"model\":\"m\",\"version\":\"1\",\"adapter\":\"\"}]}"
        "},");

    for (int e = 0; e < FW_REQUEST_ENV_ENGINES; e++) {
        g_string_append_printf(
            items,
            "{\"kind\":\"upstream\",\"name\":\"%s\",\"was\":0,\"value\":{"
            "\"pool\":\"pool\",\"url\":\"http://%s\",\"domain\":\"d\","
            "\"role\":\"%s\",\"fencing\":\"checked\",\"slots\":20,"
            "\"prefill_rate\":20000,\"drained\":false,\"links\":[{"
            "\"domain\":\"d\",\"bytes_per_s\":10000000000}]}},",
            Fw_RequestEnv_EngineName(e), Fw_RequestEnv_EngineName(e),
            e < 2 ? "prefill" : "decode");
    }
    add_key(items, "key-a", 0, 0);
    g_string_append_c(items, ',');
    add_key(items, "key-b", 0, 0);
    Fw_MemLog_AppendChange(&env->log, items->str);
    g_string_free(items, TRUE);
}

void
Fw_RequestEnv_WithdrawKey(struct fw_request_env *env)
{
    GString *items = g_string_new(NULL);

    add_key(items, "key-a", 1, 1);
    Fw_MemLog_AppendChange(&env->log, items->str);
    g_string_free(items, TRUE);
    Fw_Run_Trace(env->run, "key-a is withdrawn");
    Fw_RequestEnv_Advance(env, 1);
    env->withdrawn = 1;
    for (int i = 0; i < env->n_callers; i++) {
        if (env->callers[i].open && env->callers[i].key[4] == 'a') {
            Fw_Run_Fail(env->run,
                        "caller %d is still served with a withdrawn key", i);
        }
    }
}
