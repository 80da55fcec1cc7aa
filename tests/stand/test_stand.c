/*
 * Checks that the stand-in follows docs/PROTOCOLS.md and that its injected
 * faults have the described effect.
 */
#include <check.h>

#include "tests/base/suite.h"
#include "tests/stand/client.h"

#define CALL(call, body, status, expected)                                    \
    {                                                                         \
        FW_SCRIPT_CALL, call, body, status, expected                          \
    }
#define POLL(call, status, expected)                                          \
    {                                                                         \
        FW_SCRIPT_POLL, call, NULL, status, expected                          \
    }
#define START(call, body)                                                     \
    {                                                                         \
        FW_SCRIPT_START, call, body, 0, NULL                                  \
    }
#define AWAIT(status, expected)                                               \
    {                                                                         \
        FW_SCRIPT_AWAIT, NULL, NULL, status, expected                         \
    }
#define DISCONNECT()                                                          \
    {                                                                         \
        FW_SCRIPT_DISCONNECT, NULL, NULL, 0, NULL                             \
    }
#define FAULT(port, body) CALL("POST " port " /control/fault", body, 200, NULL)
#define CLEAR(port, name)                                                     \
    CALL("DELETE " port " /control/fault/" name, NULL, 200, NULL)

#define PREFILL                                                               \
    "{\"request\":\"i.1.1\",\"model\":\"tides\",\"adapter\":\"\","            \
    "\"prompt\":\"a survey of the pier\",\"priority\":1}"
#define IMPORT                                                                \
    "{\"request\":\"i.1.1\",\"kv\":\"$KV\",\"from\":\"$prefill-0\","          \
    "\"tokens\":5}"
#define DECODE(n)                                                             \
    "{\"request\":\"i.1.1\",\"kv\":\"$KV\",\"max_tokens\":" n                 \
    ",\"from_index\":0}"
#define DO_PREFILL                                                            \
    CALL("POST prefill-0 /v1/prefill", PREFILL, 200, "\"tokens\":5")
#define DO_IMPORT                                                             \
    CALL("POST decode-0 /v1/kv/import", IMPORT, 200, "transfer_ms")
#define DECODE_REQUESTS "GET decode-0 /v1/requests"
#define STEPS 16

/** struct script - a named test case. */
struct script {
    const char *name;
    struct step steps[STEPS];
};

static const struct script engine_scripts[] = {
    {"prefill, import, decode",
     {DO_PREFILL, POLL("GET prefill-0 /v1/requests", 200, "\"stage\":\"kv\""),
      DO_IMPORT, CALL("GET prefill-0 /v1/requests", NULL, 200, "[]"),
      CALL("POST decode-0 /v1/decode", DECODE("3"), 200,
           "\"done\":true,\"reason\":\"length\",\"tokens\":3"),
      CALL(DECODE_REQUESTS, NULL, 200, "[]")}},
    {"a model that is not loaded",
     {CALL("POST prefill-0 /v1/prefill",
           "{\"request\":\"r\",\"model\":\"other\",\"prompt\":\"x\"}", 409,
           "not loaded")}},
    {"malformed requests are rejected",
     {CALL("POST prefill-0 /v1/prefill", "{", 400, "error"),
      CALL("POST prefill-0 /v1/prefill", "[]", 400, "error"),
      CALL("POST prefill-0 /v1/prefill", "{\"request\":7}", 400, "error"),
      CALL("POST prefill-0 /v1/prefill",
           "{\"request\":\"a\\\"b\",\"prompt\":\"\"}", 400, "error"),
      CALL("POST prefill-0 /v1/other", "{}", 404, "error")}},
    /* Guards against KV caches that stay allocated when never imported. */
    {"an exported KV cache expires",
     {DO_PREFILL, POLL("GET prefill-0 /v1/requests", 200, "[]"),
      CALL("POST decode-0 /v1/kv/import", IMPORT, 410, "lapsed")}},
    {"cancel frees the request at once",
     {DO_PREFILL, DO_IMPORT,
      CALL("DELETE decode-0 /v1/requests/i.1.1", NULL, 204, NULL),
      CALL(DECODE_REQUESTS, NULL, 200, "[]"),
      CALL("DELETE decode-0 /v1/requests/i.1.1", NULL, 204, NULL)}},
    /* Guards against streams that run forever after the client disconnected;
     * they are freed after the grace period for a resume. */
    {"the client disconnects from a stream",
     {DO_PREFILL, DO_IMPORT,
      START("POST decode-0 /v1/decode", DECODE("100000")),
      POLL(DECODE_REQUESTS, 200, "\"stage\":\"decode\""),
      CALL(DECODE_REQUESTS, NULL, 200, "\"attached\":true"), DISCONNECT(),
      POLL(DECODE_REQUESTS, 200, "[]"),
      CALL("POST decode-0 /v1/resume",
           "{\"request\":\"i.1.1\",\"from_index\":0}", 404, NULL)}},
    {"max_tokens of a second decode counts from its from_index",
     {DO_PREFILL, DO_IMPORT,
      CALL(DECODE_REQUESTS, NULL, 200, "\"attached\":false"),
      CALL("POST decode-0 /v1/decode",
           "{\"request\":\"i.1.1\",\"kv\":\"$KV\",\"max_tokens\":2,"
           "\"from_index\":40}",
           200, "{\"i\":41,"),
      CALL("POST decode-0 /v1/resume",
           "{\"request\":\"i.1.1\",\"from_index\":40}", 200,
           "\"tokens\":42")}},
    {"resume repeats the tokens from an index",
     {DO_PREFILL, DO_IMPORT,
      CALL("POST decode-0 /v1/decode", DECODE("4"), 200, NULL),
      CALL("POST decode-0 /v1/resume",
           "{\"request\":\"i.1.1\",\"from_index\":2}", 200, "{\"i\":2,"),
      CALL("POST decode-0 /v1/resume",
           "{\"request\":\"i.1.1\",\"from_index\":2}", 200, "!{\"i\":1,")}},
    /* An engine that restarts after a crash has lost its requests. */
    {"an engine crashes",
     {DO_PREFILL, FAULT("prefill-0", "{\"name\":\"die\"}"),
      CALL("GET prefill-0 /v1/load", NULL, 0, NULL), CLEAR("prefill-0", "die"),
      CALL("GET prefill-0 /v1/requests", NULL, 200, "[]")}},
    {"an engine crashes in prefill",
     {FAULT("prefill-0", "{\"name\":\"die-in\",\"stage\":\"prefill\",\"ms\":1,"
                         "\"count\":1}"),
      CALL("POST prefill-0 /v1/prefill", PREFILL, 0, NULL),
      POLL("GET prefill-0 /v1/load", 200, NULL), DO_PREFILL}},
    {"an engine crashes in import",
     {FAULT("decode-0", "{\"name\":\"die-in\",\"stage\":\"import\",\"ms\":1,"
                        "\"count\":1}"),
      DO_PREFILL, CALL("POST decode-0 /v1/kv/import", IMPORT, 0, NULL),
      POLL("GET decode-0 /v1/load", 200, NULL)}},
    {"an engine crashes in decode",
     {FAULT("decode-0", "{\"name\":\"die-in\",\"stage\":\"decode\","
                        "\"after\":2,\"ms\":1,\"count\":1}"),
      DO_PREFILL, DO_IMPORT,
      CALL("POST decode-0 /v1/decode", DECODE("9"), 200, "!done"),
      POLL(DECODE_REQUESTS, 200, "[]")}},
    /* Only the prompt with the marker crashes the engine. */
    {"a poison request",
     {FAULT("prefill-0", "{\"name\":\"poison\",\"text\":\"pier\",\"ms\":1}"),
      CALL("POST prefill-0 /v1/prefill", PREFILL, 0, NULL),
      POLL("GET prefill-0 /v1/load", 200, NULL),
      CALL("POST prefill-0 /v1/prefill", PREFILL, 0, NULL),
      POLL("GET prefill-0 /v1/load", 200, NULL),
      CALL("POST prefill-0 /v1/prefill",
           "{\"request\":\"r\",\"model\":\"tides\",\"prompt\":\"buoy\"}", 200,
           NULL)}},
    {"a stalled prefill",
     {FAULT("prefill-0", "{\"name\":\"stall\",\"stage\":\"prefill\"}"),
      START("POST prefill-0 /v1/prefill", PREFILL),
      POLL("GET prefill-0 /v1/requests", 200, "\"stage\":\"prefill\""),
      CLEAR("prefill-0", "stall"), AWAIT(200, "kv")}},
    {"tokens duplicated, delayed and out of order",
     {FAULT("decode-0", "{\"name\":\"doubled\"}"),
      FAULT("decode-0", "{\"name\":\"late\",\"ms\":5}"),
      FAULT("decode-0", "{\"name\":\"out-of-order\"}"), DO_PREFILL, DO_IMPORT,
      CALL("POST decode-0 /v1/decode", DECODE("2"), 200, "}\n{\"i\":0,"),
      CALL("POST decode-0 /v1/resume",
           "{\"request\":\"i.1.1\",\"from_index\":1}", 200, "{\"i\":1,")}},
    {"the response is lost after the effect",
     {FAULT("prefill-0", "{\"name\":\"lost-answer\",\"count\":1}"),
      CALL("POST prefill-0 /v1/prefill", PREFILL, 0, NULL),
      CALL("GET prefill-0 /v1/requests", NULL, 200, "\"stage\":\"kv\""),
      DO_PREFILL, CALL("GET prefill-0 /journal", NULL, 200, "\"prefill\"")}},
    {"a leaving engine rejects new requests",
     {FAULT("prefill-0", "{\"name\":\"leaving\"}"),
      CALL("POST prefill-0 /v1/prefill", PREFILL, 503, "leaving"),
      CALL("GET prefill-0 /v1/load", NULL, 200, "\"leaving\":true")}},
};

static const struct script order_scripts[] = {
    {"an engine with fencing rejects an old number",
     {CALL("POST prefill-0 /v1/order",
           "{\"fence\":7,\"op\":\"load_model\",\"model\":\"m\","
           "\"version\":\"2\",\"ttl_ms\":5000}",
           200, NULL),
      CALL("GET prefill-0 /v1/load", NULL, 200, "\"m@2\""),
      CALL("POST prefill-0 /v1/order",
           "{\"fence\":6,\"op\":\"unload_model\",\"model\":\"m\","
           "\"version\":\"2\"}",
           409, "old fence"),
      CALL("GET prefill-0 /v1/load", NULL, 200, "\"m@2\"")}},
    /* An engine without fencing executes an order with an old number. */
    {"an engine without fencing executes it",
     {CALL("POST prefill-1 /v1/order",
           "{\"fence\":7,\"op\":\"set_role\",\"role\":\"decode\"}", 200, NULL),
      CALL("POST prefill-1 /v1/order",
           "{\"fence\":6,\"op\":\"set_role\",\"role\":\"prefill\"}", 200,
           NULL),
      CALL("GET prefill-1 /v1/load", NULL, 200, "\"role\":\"prefill\"")}},
    {"an order past its time to live has no effect",
     {FAULT("prefill-0", "{\"name\":\"order-delay\",\"ms\":20}"),
      CALL("POST prefill-0 /v1/order",
           "{\"fence\":1,\"op\":\"set_role\",\"role\":\"decode\","
           "\"ttl_ms\":10}",
           410, "time to live"),
      CALL("GET prefill-0 /v1/load", NULL, 200, "\"role\":\"prefill\"")}},
    {"a load fails while the weight store is down",
     {FAULT("weights", "{\"name\":\"die\"}"),
      CALL("POST prefill-0 /v1/order",
           "{\"fence\":1,\"op\":\"load_model\",\"model\":\"m\","
           "\"version\":\"2\"}",
           503, "weight store")}},
};

#define APPEND(texts) "{\"records\":[" texts "]}"

static const struct script platform_scripts[] = {
    {"appends and reads",
     {CALL("POST log /log/s", APPEND("\"a\",\"b\\\"\""), 200, "\"first\":1"),
      CALL("POST log /log/s", APPEND("\"c\""), 200, "\"first\":3"),
      CALL("GET log /log/s?from=2&max=1", NULL, 200,
           "{\"first\":2,\"oldest\":1,\"end\":4,\"records\":[\"b\\\"\"]}"),
      CALL("GET log /log/s?from=9", NULL, 200, "\"first\":4"),
      CALL("POST log /log/s", APPEND("7"), 400, NULL),
      CALL("POST log /log/s", APPEND(""), 400, NULL)}},
    {"a read waits for a record",
     {START("GET log /log/s?from=1&wait_ms=20000", NULL),
      CALL("POST log /log/s", APPEND("\"a\""), 200, NULL),
      AWAIT(200, "[\"a\"]"),
      CALL("GET log /log/s?from=2&wait_ms=1", NULL, 200, "[]")}},
    {"old records are trimmed",
     {FAULT("log", "{\"name\":\"retain\",\"count\":1}"),
      CALL("POST log /log/s", APPEND("\"a\",\"b\""), 200, NULL),
      CALL("GET log /log/s?from=1", NULL, 200,
           "\"first\":2,\"oldest\":2,\"end\":3")}},
    {"the append rate is limited",
     {FAULT("log", "{\"name\":\"rate\",\"count\":0}"),
      CALL("POST log /log/s", APPEND("\"a\""), 200, NULL),
      CALL("POST log /log/s", APPEND("\"b\""), 429, NULL),
      CALL("GET log /log/s", NULL, 200, "\"end\":2")}},
    {"appends during an outage are rejected",
     {FAULT("log", "{\"name\":\"refuse\",\"status\":503}"),
      CALL("POST log /log/s", APPEND("\"a\""), 503, NULL),
      CLEAR("log", "refuse"), CALL("GET log /log/s", NULL, 200, "\"end\":1")}},
    {"the response to an append is lost",
     {FAULT("log", "{\"name\":\"lost-answer\",\"path\":\"/log/s\","
                   "\"count\":1}"),
      CALL("POST log /log/s", APPEND("\"a\""), 0, NULL),
      CALL("GET log /log/s", NULL, 200, "\"end\":2")}},
    {"a hanging append has no effect",
     {FAULT("log", "{\"name\":\"hang\",\"path\":\"/log/s\",\"count\":1}"),
      START("POST log /log/s", APPEND("\"a\"")),
      CALL("GET log /log/t", NULL, 200, NULL), DISCONNECT(),
      CALL("GET log /log/s", NULL, 200, "\"end\":1")}},
    {"the list has upstreams and registered instances",
     {CALL("GET list /list", NULL, 200, "\"prefill-0\""),
      CALL("POST list /list",
           "{\"kind\":\"instance\",\"name\":\"i-1\",\"addr\":\"x\"}", 200,
           NULL),
      POLL("GET list /list", 200, "\"i-1\""),
      CALL("DELETE list /list/i-1", NULL, 200, NULL),
      POLL("GET list /list", 200, "!\"i-1\"")}},
    /* A removed instance stays visible for the lag. */
    {"the list lags",
     {CALL("POST list /list", "{\"name\":\"i-1\"}", 200, NULL),
      POLL("GET list /list", 200, "\"i-1\""),
      FAULT("list", "{\"name\":\"list-lag\",\"ms\":60000}"),
      CALL("DELETE list /list/i-1", NULL, 200, NULL),
      CALL("GET list /list", NULL, 200, "\"i-1\"")}},
    {"every order takes effect and is journaled",
     {CALL("POST grid-desk-0 /orders", "{\"mw\":3}", 201, "\"order\":1"),
      CALL("POST grid-desk-0 /orders", "{\"mw\":3}", 201, "\"order\":2"),
      CALL("GET grid-desk-0 /readings", NULL, 200, "slack_water"),
      CALL("GET grid-desk-0 /journal", NULL, 200, "{\\\"mw\\\":3}")}},
    {"unknown faults are rejected",
     {CALL("POST log /control/fault", "{\"name\":\"nonsense\"}", 400, "die"),
      CALL("DELETE log /control/fault/slow", NULL, 404, NULL)}},
};

static void
run_script(const struct script *s, int64_t prefill)
{
    struct fw_stand_opts opts;

    Fw_StandScript_SetDefaults(&opts);
    opts.prefill_engines = prefill;
    Fw_StandScript_Run(&opts, s->steps);
}

START_TEST(engine_script)
{
    run_script(&engine_scripts[_i], 1);
}
END_TEST

START_TEST(order_script)
{
    run_script(&order_scripts[_i], 2);
}
END_TEST

START_TEST(platform_script)
{
    run_script(&platform_scripts[_i], 1);
}
END_TEST

/* A repeated prompt is prefilled from the cache, and its insertion is
 * published. */
START_TEST(cached_prefix_is_reused)
{
    GString *prompt = g_string_new(NULL);
    GString *body = g_string_new(NULL);
    struct fw_stand_opts opts;

    for (int i = 0; i < 300; i++) {
        g_string_append(prompt, "pier ");
    }
    g_string_printf(body,
                    "{\"request\":\"r\",\"model\":\"tides\","
                    "\"prompt\":\"%s\"}",
                    prompt->str);
    {
        const struct step steps[] = {
            CALL("POST prefill-0 /v1/prefill", body->str, 200, "\"cached\":0"),
            CALL("GET prefill-0 /v1/cache-events?from=1", NULL, 200,
                 "\"seq\":1,"),
            POLL("GET prefill-0 /v1/requests", 200, "[]"),
            CALL("POST prefill-0 /v1/prefill", body->str, 200,
                 "\"cached\":256"),
            {FW_SCRIPT_END, NULL, NULL, 0, NULL},
        };
        Fw_StandScript_SetDefaults(&opts);
        Fw_StandScript_Run(&opts, steps);
    }
    g_string_free(prompt, TRUE);
    g_string_free(body, TRUE);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("stand");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, engine_script, 0, G_N_ELEMENTS(engine_scripts));
    tcase_add_loop_test(tc, order_script, 0, G_N_ELEMENTS(order_scripts));
    tcase_add_loop_test(tc, platform_script, 0,
                        G_N_ELEMENTS(platform_scripts));
    tcase_add_test(tc, cached_prefix_is_reused);
    return Fw_Suite_Run(tc);
}
