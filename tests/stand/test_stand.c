/*
 * The contract that the stand-in keeps, docs/PROTOCOLS.md, with its faults:
 * what is proved against it is worth no more than this.
 */
#include <check.h>

#include "tests/base/suite.h"
#include "tests/stand/client.h"

#define ASK(call, body, status, has)                                          \
    {                                                                         \
        FW_STEP_ASK, call, body, status, has                                  \
    }
#define UNTIL(call, status, has)                                              \
    {                                                                         \
        FW_STEP_UNTIL, call, NULL, status, has                                \
    }
#define START(call, body)                                                     \
    {                                                                         \
        FW_STEP_START, call, body, 0, NULL                                    \
    }
#define TAKE(status, has)                                                     \
    {                                                                         \
        FW_STEP_TAKE, NULL, NULL, status, has                                 \
    }
#define LEAVE()                                                               \
    {                                                                         \
        FW_STEP_LEAVE, NULL, NULL, 0, NULL                                    \
    }
#define FAULT(port, body) ASK("POST " port " /control/fault", body, 200, NULL)
#define CLEAR(port, name)                                                     \
    ASK("DELETE " port " /control/fault/" name, NULL, 200, NULL)

#define PREFILL                                                               \
    "{\"request\":\"i.1.1\",\"model\":\"tides\",\"adapter\":\"\","            \
    "\"prompt\":\"a survey of the pier\",\"priority\":1}"
#define IMPORT                                                                \
    "{\"request\":\"i.1.1\",\"kv\":\"$KV\",\"from\":\"$prefill-0\","          \
    "\"tokens\":5}"
#define DECODE(n)                                                             \
    "{\"request\":\"i.1.1\",\"kv\":\"$KV\",\"max_tokens\":" n                 \
    ",\"from_index\":0}"
#define TO_KV ASK("POST prefill-0 /v1/prefill", PREFILL, 200, "\"tokens\":5")
#define TO_IMPORT                                                             \
    ASK("POST decode-0 /v1/kv/import", IMPORT, 200, "transfer_ms")
#define HELD "GET decode-0 /v1/requests"
#define STEPS 16

/** struct script - a table row: what happens, step by step. */
struct script {
    const char *name;
    struct step steps[STEPS];
};

static const struct script engines[] = {
    {"prefill, import, decode",
     {TO_KV, UNTIL("GET prefill-0 /v1/requests", 200, "\"stage\":\"kv\""),
      TO_IMPORT, ASK("GET prefill-0 /v1/requests", NULL, 200, "[]"),
      ASK("POST decode-0 /v1/decode", DECODE("3"), 200,
          "\"done\":true,\"reason\":\"length\",\"tokens\":3"),
      ASK(HELD, NULL, 200, "[]")}},
    {"a model that is not loaded",
     {ASK("POST prefill-0 /v1/prefill",
          "{\"request\":\"r\",\"model\":\"other\",\"prompt\":\"x\"}", 409,
          "not loaded")}},
    {"broken calls are refused",
     {ASK("POST prefill-0 /v1/prefill", "{", 400, "error"),
      ASK("POST prefill-0 /v1/prefill", "[]", 400, "error"),
      ASK("POST prefill-0 /v1/prefill", "{\"request\":7}", 400, "error"),
      ASK("POST prefill-0 /v1/prefill",
          "{\"request\":\"a\\\"b\",\"prompt\":\"\"}", 400, "error"),
      ASK("POST prefill-0 /v1/other", "{}", 404, "error")}},
    /* Nobody fetches the KV in time; the engine needs the room. */
    {"a KV lapses",
     {TO_KV, UNTIL("GET prefill-0 /v1/requests", 200, "[]"),
      ASK("POST decode-0 /v1/kv/import", IMPORT, 410, "lapsed")}},
    {"cancel frees at once",
     {TO_KV, TO_IMPORT,
      ASK("DELETE decode-0 /v1/requests/i.1.1", NULL, 204, NULL),
      ASK(HELD, NULL, 200, "[]"),
      ASK("DELETE decode-0 /v1/requests/i.1.1", NULL, 204, NULL)}},
    /* The router is gone: the stream goes on for a while for a resume, then
     * its memory is freed. */
    {"the reader leaves",
     {TO_KV, TO_IMPORT, START("POST decode-0 /v1/decode", DECODE("100000")),
      UNTIL(HELD, 200, "\"stage\":\"decode\""),
      ASK(HELD, NULL, 200, "\"attached\":true"), LEAVE(),
      UNTIL(HELD, 200, "[]"),
      ASK("POST decode-0 /v1/resume",
          "{\"request\":\"i.1.1\",\"from_index\":0}", 404, NULL)}},
    {"a second decode counts its tokens from its first index",
     {TO_KV, TO_IMPORT, ASK(HELD, NULL, 200, "\"attached\":false"),
      ASK("POST decode-0 /v1/decode",
          "{\"request\":\"i.1.1\",\"kv\":\"$KV\",\"max_tokens\":2,"
          "\"from_index\":40}",
          200, "{\"i\":41,"),
      ASK("POST decode-0 /v1/resume",
          "{\"request\":\"i.1.1\",\"from_index\":40}", 200, "\"tokens\":42")}},
    {"resume gives the pieces again",
     {TO_KV, TO_IMPORT,
      ASK("POST decode-0 /v1/decode", DECODE("4"), 200, NULL),
      ASK("POST decode-0 /v1/resume",
          "{\"request\":\"i.1.1\",\"from_index\":2}", 200, "{\"i\":2,"),
      ASK("POST decode-0 /v1/resume",
          "{\"request\":\"i.1.1\",\"from_index\":2}", 200, "!{\"i\":1,")}},
    /* The engine's process dies and comes back empty. */
    {"an engine dies",
     {TO_KV, FAULT("prefill-0", "{\"name\":\"die\"}"),
      ASK("GET prefill-0 /v1/load", NULL, 0, NULL), CLEAR("prefill-0", "die"),
      ASK("GET prefill-0 /v1/requests", NULL, 200, "[]")}},
    {"an engine dies in prefill",
     {FAULT("prefill-0", "{\"name\":\"die-in\",\"stage\":\"prefill\",\"ms\":1,"
                         "\"count\":1}"),
      ASK("POST prefill-0 /v1/prefill", PREFILL, 0, NULL),
      UNTIL("GET prefill-0 /v1/load", 200, NULL), TO_KV}},
    {"an engine dies in import",
     {FAULT("decode-0", "{\"name\":\"die-in\",\"stage\":\"import\",\"ms\":1,"
                        "\"count\":1}"),
      TO_KV, ASK("POST decode-0 /v1/kv/import", IMPORT, 0, NULL),
      UNTIL("GET decode-0 /v1/load", 200, NULL)}},
    {"an engine dies in decode",
     {FAULT("decode-0", "{\"name\":\"die-in\",\"stage\":\"decode\","
                        "\"after\":2,\"ms\":1,\"count\":1}"),
      TO_KV, TO_IMPORT,
      ASK("POST decode-0 /v1/decode", DECODE("9"), 200, "!done"),
      UNTIL(HELD, 200, "[]")}},
    /* One prompt crashes whatever runs it; others run. */
    {"a poison request",
     {FAULT("prefill-0", "{\"name\":\"poison\",\"text\":\"pier\",\"ms\":1}"),
      ASK("POST prefill-0 /v1/prefill", PREFILL, 0, NULL),
      UNTIL("GET prefill-0 /v1/load", 200, NULL),
      ASK("POST prefill-0 /v1/prefill", PREFILL, 0, NULL),
      UNTIL("GET prefill-0 /v1/load", 200, NULL),
      ASK("POST prefill-0 /v1/prefill",
          "{\"request\":\"r\",\"model\":\"tides\",\"prompt\":\"buoy\"}", 200,
          NULL)}},
    {"a stalled prefill",
     {FAULT("prefill-0", "{\"name\":\"stall\",\"stage\":\"prefill\"}"),
      START("POST prefill-0 /v1/prefill", PREFILL),
      UNTIL("GET prefill-0 /v1/requests", 200, "\"stage\":\"prefill\""),
      CLEAR("prefill-0", "stall"), TAKE(200, "kv")}},
    {"pieces twice, late and out of order",
     {FAULT("decode-0", "{\"name\":\"doubled\"}"),
      FAULT("decode-0", "{\"name\":\"late\",\"ms\":5}"),
      FAULT("decode-0", "{\"name\":\"out-of-order\"}"), TO_KV, TO_IMPORT,
      ASK("POST decode-0 /v1/decode", DECODE("2"), 200, "}\n{\"i\":0,"),
      ASK("POST decode-0 /v1/resume",
          "{\"request\":\"i.1.1\",\"from_index\":1}", 200, "{\"i\":1,")}},
    {"the answer is lost after the effect",
     {FAULT("prefill-0", "{\"name\":\"lost-answer\",\"count\":1}"),
      ASK("POST prefill-0 /v1/prefill", PREFILL, 0, NULL),
      ASK("GET prefill-0 /v1/requests", NULL, 200, "\"stage\":\"kv\""), TO_KV,
      ASK("GET prefill-0 /journal", NULL, 200, "\"prefill\"")}},
    {"a leaving engine takes nothing new",
     {FAULT("prefill-0", "{\"name\":\"leaving\"}"),
      ASK("POST prefill-0 /v1/prefill", PREFILL, 503, "leaving"),
      ASK("GET prefill-0 /v1/load", NULL, 200, "\"leaving\":true")}},
};

static const struct script orders[] = {
    {"an old fence is refused where it is checked",
     {ASK("POST prefill-0 /v1/order",
          "{\"fence\":7,\"op\":\"load_model\",\"model\":\"m\","
          "\"version\":\"2\",\"ttl_ms\":5000}",
          200, NULL),
      ASK("GET prefill-0 /v1/load", NULL, 200, "\"m@2\""),
      ASK("POST prefill-0 /v1/order",
          "{\"fence\":6,\"op\":\"unload_model\",\"model\":\"m\","
          "\"version\":\"2\"}",
          409, "old fence"),
      ASK("GET prefill-0 /v1/load", NULL, 200, "\"m@2\"")}},
    /* Some engines do not look at the number at all. */
    {"and carried out where it is not",
     {ASK("POST prefill-1 /v1/order",
          "{\"fence\":7,\"op\":\"set_role\",\"role\":\"decode\"}", 200, NULL),
      ASK("POST prefill-1 /v1/order",
          "{\"fence\":6,\"op\":\"set_role\",\"role\":\"prefill\"}", 200, NULL),
      ASK("GET prefill-1 /v1/load", NULL, 200, "\"role\":\"prefill\"")}},
    {"an order that waited too long does nothing",
     {FAULT("prefill-0", "{\"name\":\"order-delay\",\"ms\":20}"),
      ASK("POST prefill-0 /v1/order",
          "{\"fence\":1,\"op\":\"set_role\",\"role\":\"decode\","
          "\"ttl_ms\":10}",
          410, "time to live"),
      ASK("GET prefill-0 /v1/load", NULL, 200, "\"role\":\"prefill\"")}},
    {"no weights, no model",
     {FAULT("weights", "{\"name\":\"die\"}"),
      ASK("POST prefill-0 /v1/order",
          "{\"fence\":1,\"op\":\"load_model\",\"model\":\"m\","
          "\"version\":\"2\"}",
          503, "weight store")}},
};

#define APPEND(texts) "{\"records\":[" texts "]}"

static const struct script platform[] = {
    {"appends and reads",
     {ASK("POST log /log/s", APPEND("\"a\",\"b\\\"\""), 200, "\"first\":1"),
      ASK("POST log /log/s", APPEND("\"c\""), 200, "\"first\":3"),
      ASK("GET log /log/s?from=2&max=1", NULL, 200,
          "{\"first\":2,\"oldest\":1,\"end\":4,\"records\":[\"b\\\"\"]}"),
      ASK("GET log /log/s?from=9", NULL, 200, "\"first\":4"),
      ASK("POST log /log/s", APPEND("7"), 400, NULL),
      ASK("POST log /log/s", APPEND(""), 400, NULL)}},
    {"a read waits for a record",
     {START("GET log /log/s?from=1&wait_ms=20000", NULL),
      ASK("POST log /log/s", APPEND("\"a\""), 200, NULL), TAKE(200, "[\"a\"]"),
      ASK("GET log /log/s?from=2&wait_ms=1", NULL, 200, "[]")}},
    {"old records age out",
     {FAULT("log", "{\"name\":\"retain\",\"count\":1}"),
      ASK("POST log /log/s", APPEND("\"a\",\"b\""), 200, NULL),
      ASK("GET log /log/s?from=1", NULL, 200,
          "\"first\":2,\"oldest\":2,\"end\":3")}},
    {"the append rate is limited",
     {FAULT("log", "{\"name\":\"rate\",\"count\":0}"),
      ASK("POST log /log/s", APPEND("\"a\""), 200, NULL),
      ASK("POST log /log/s", APPEND("\"b\""), 429, NULL),
      ASK("GET log /log/s", NULL, 200, "\"end\":2")}},
    {"an outage",
     {FAULT("log", "{\"name\":\"refuse\",\"status\":503}"),
      ASK("POST log /log/s", APPEND("\"a\""), 503, NULL),
      CLEAR("log", "refuse"), ASK("GET log /log/s", NULL, 200, "\"end\":1")}},
    {"the answer to an append is lost",
     {FAULT("log", "{\"name\":\"lost-answer\",\"path\":\"/log/s\","
                   "\"count\":1}"),
      ASK("POST log /log/s", APPEND("\"a\""), 0, NULL),
      ASK("GET log /log/s", NULL, 200, "\"end\":2")}},
    {"the log hangs and takes nothing",
     {FAULT("log", "{\"name\":\"hang\",\"path\":\"/log/s\",\"count\":1}"),
      START("POST log /log/s", APPEND("\"a\"")),
      ASK("GET log /log/t", NULL, 200, NULL), LEAVE(),
      ASK("GET log /log/s", NULL, 200, "\"end\":1")}},
    {"the list names upstreams and what registers",
     {ASK("GET list /list", NULL, 200, "\"prefill-0\""),
      ASK("POST list /list",
          "{\"kind\":\"instance\",\"name\":\"i-1\",\"addr\":\"x\"}", 200,
          NULL),
      UNTIL("GET list /list", 200, "\"i-1\""),
      ASK("DELETE list /list/i-1", NULL, 200, NULL),
      UNTIL("GET list /list", 200, "!\"i-1\"")}},
    /* An instance left long ago and is still shown. */
    {"the list lags",
     {ASK("POST list /list", "{\"name\":\"i-1\"}", 200, NULL),
      UNTIL("GET list /list", 200, "\"i-1\""),
      FAULT("list", "{\"name\":\"list-lag\",\"ms\":60000}"),
      ASK("DELETE list /list/i-1", NULL, 200, NULL),
      ASK("GET list /list", NULL, 200, "\"i-1\"")}},
    {"every order takes effect and is journaled",
     {ASK("POST grid-desk-0 /orders", "{\"mw\":3}", 201, "\"order\":1"),
      ASK("POST grid-desk-0 /orders", "{\"mw\":3}", 201, "\"order\":2"),
      ASK("GET grid-desk-0 /readings", NULL, 200, "slack_water"),
      ASK("GET grid-desk-0 /journal", NULL, 200, "{\\\"mw\\\":3}")}},
    {"unknown faults are refused",
     {ASK("POST log /control/fault", "{\"name\":\"nonsense\"}", 400, "die"),
      ASK("DELETE log /control/fault/slow", NULL, 404, NULL)}},
};

static void
play(const struct script *s, int64_t prefill)
{
    struct fw_stand_opts opts;

    Fw_StandScript_Options(&opts);
    opts.prefill = prefill;
    Fw_StandScript_Play(&opts, s->steps);
}

START_TEST(engine)
{
    play(&engines[_i], 1);
}
END_TEST

START_TEST(order)
{
    play(&orders[_i], 2);
}
END_TEST

START_TEST(platforms)
{
    play(&platform[_i], 1);
}
END_TEST

/* A second document with the same beginning is prefilled from the cache, and
 * the cache has its bounds. */
START_TEST(cache_is_shown)
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
            ASK("POST prefill-0 /v1/prefill", body->str, 200, "\"cached\":0"),
            ASK("GET prefill-0 /v1/cache-events?from=1", NULL, 200,
                "\"seq\":1,"),
            UNTIL("GET prefill-0 /v1/requests", 200, "[]"),
            ASK("POST prefill-0 /v1/prefill", body->str, 200,
                "\"cached\":256"),
            {FW_STEP_END, NULL, NULL, 0, NULL},
        };
        Fw_StandScript_Options(&opts);
        Fw_StandScript_Play(&opts, steps);
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
    tcase_add_loop_test(tc, engine, 0, G_N_ELEMENTS(engines));
    tcase_add_loop_test(tc, order, 0, G_N_ELEMENTS(orders));
    tcase_add_loop_test(tc, platforms, 0, G_N_ELEMENTS(platform));
    tcase_add_test(tc, cache_is_shown);
    return Fw_Suite_Run(tc);
}
