/* Parsing and writing of the platform's wire format. */
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "platform/platform.h"
#include "tests/base/suite.h"
#include "tests/platform/heads.h"

START_TEST(a_request_is_parsed)
{
    struct fw_http_head h;
    struct fw_rl_request_info a;

    Fw_Heads_Parse(FW_HEAD "Request-Id: 9c\r\nAuthorization: bearer key1\r\n"
                           "Deadline-Ms: 1500\r\nToken-Counts: 1460, 80\r\n"
                           "Length-Hint: 44\r\nLast-Event-Id: 7\r\n\r\n",
                   &h);
    ck_assert_int_eq(Fw_Platform_ParseRequest(&h, NULL, &a), 0);
    ck_assert_str_eq(a.id, "9c");
    ck_assert_str_eq(a.host, "h.example");
    ck_assert_str_eq(a.path, "/a/b");
    ck_assert_str_eq(a.key, "key1");
    ck_assert_int_eq(a.timeout_us, 1500 * FW_MSEC);
    ck_assert_int_eq(a.tokens_in, 1460);
    ck_assert_int_eq(a.tokens_out_max, 80);
    ck_assert_int_eq(a.tokens_out_hint, 44);
    ck_assert_int_eq(a.last_event_id, 7);
    Fw_Platform_ClearRequest(&a);
    Fw_Http_ClearHead(&h);
}
END_TEST

/* Parses a request with the fields of a model and a prompt's parts. */
static void
parse_parts(const char *fields, struct fw_rl_request_info *out)
{
    char *text = g_strdup_printf(FW_HEAD "%s\r\n", fields);
    struct fw_http_head h;

    Fw_Heads_Parse(text, &h);
    ck_assert_int_eq(Fw_Platform_ParseRequest(&h, NULL, out), 0);
    Fw_Platform_ClearRequest(out);
    Fw_Http_ClearHead(&h);
    g_free(text);
}

/* Guards against shared parts that are missed, and a session taken for one. */
START_TEST(shared_parts_of_a_prompt_are_read)
{
    struct fw_rl_request_info a;
    struct fw_rl_request_info b;

    parse_parts("Model: m\r\nPrompt-Prefix: 5c1e:800,91bd:410,e440:250\r\n",
                &a);
    ck_assert_int_eq(a.n_parts, 2);
    ck_assert_uint_ne(a.parts[0], a.parts[1]);
    parse_parts("Model: m\r\nPrompt-Prefix: 77:1, 91bd:9 , 0:1\r\n", &b);
    ck_assert_int_eq(b.n_parts, 2);
    ck_assert_uint_ne(a.parts[0], b.parts[0]);
    ck_assert_uint_eq(a.parts[1], b.parts[1]);
    parse_parts("Model: n\r\nPrompt-Prefix: 5c1e:800,91bd:410,e440:250\r\n",
                &b);
    ck_assert_uint_ne(a.parts[1], b.parts[1]);
    parse_parts("Prompt-Prefix: 5c1e:800\r\n", &b);
    ck_assert_int_eq(b.n_parts, 0);
    parse_parts("", &b);
    ck_assert_int_eq(b.n_parts, 0);
}
END_TEST

/* Guards against a prompt with more parts than are kept. */
START_TEST(parts_beyond_the_most_are_left_out)
{
    GString *fields = g_string_new("Prompt-Prefix: ");
    struct fw_rl_request_info a;

    for (int i = 0; i < FW_RL_PARTS_MAX + 5; i++) {
        g_string_append_printf(fields, "%x:1,", i);
    }
    g_string_append(fields, "ff:1\r\n");
    parse_parts(fields->str, &a);
    ck_assert_int_eq(a.n_parts, FW_RL_PARTS_MAX);
    g_string_free(fields, TRUE);
}
END_TEST

/* Guards against malformed fields that are ignored or misread. */
static const char *const bad_fields[] = {
    "Deadline-Ms: soon\r\n",          "Deadline-Ms: -1\r\n",
    "Deadline-Ms: 1.5\r\n",           "Token-Counts: 5\r\n",
    "Token-Counts: a,b\r\n",          "Token-Counts: 1,-2\r\n",
    "Token-Counts: 1,9999999999\r\n", "Length-Hint: x\r\n",
    "Last-Event-Id: 1x\r\n",
};

START_TEST(malformed_fields_are_rejected)
{
    char *text = g_strdup_printf(FW_HEAD "%s\r\n", bad_fields[_i]);
    struct fw_http_head h;
    struct fw_rl_request_info a;

    Fw_Heads_Parse(text, &h);
    ck_assert_int_eq(Fw_Platform_ParseRequest(&h, NULL, &a), -EBADMSG);
    Fw_Http_ClearHead(&h);
    g_free(text);
}
END_TEST

START_TEST(other_schemes_are_no_key)
{
    static const char *const fields[] = {"Authorization: Basic abc\r\n",
                                         "Authorization: Bearer\r\n"};
    char *text = g_strdup_printf(FW_HEAD "%s\r\n", fields[_i]);
    struct fw_http_head h;
    struct fw_rl_request_info a;

    Fw_Heads_Parse(text, &h);
    ck_assert_int_eq(Fw_Platform_ParseRequest(&h, NULL, &a), 0);
    ck_assert_str_eq(a.key, "");
    Fw_Platform_ClearRequest(&a);
    Fw_Http_ClearHead(&h);
    g_free(text);
}
END_TEST

/* Guards against a text that is cut where a configuration has it whole. */
START_TEST(texts_of_a_request_of_any_length_are_read)
{
    for (gsize n = 1; n < 16000; n += n < 600 ? 1 : 997) {
        g_autofree char *x = g_strnfill(n, 'x');
        g_autofree char *text =
            g_strdup_printf("GET /%s/?q=1 HTTP/1.1\r\nHost: %s:80\r\n"
                            "Authorization: Bearer %s\r\n"
                            "Request-Id: %s\r\n\r\n",
                            x, x, x, x);
        g_autofree char *path = g_strdup_printf("/%s/", x);
        struct fw_http_head h;
        struct fw_rl_request_info a;

        Fw_Heads_Parse(text, &h);
        ck_assert_int_eq(Fw_Platform_ParseRequest(&h, NULL, &a), 0);
        ck_assert_str_eq(a.path, path);
        ck_assert_str_eq(a.host, x);
        ck_assert_str_eq(a.key, x);
        ck_assert_str_eq(a.id, x);
        Fw_Platform_ClearRequest(&a);
        Fw_Http_ClearHead(&h);
    }
}
END_TEST

/* @want: the handle read from the body, NULL for an error. */
static const struct {
    enum fw_rl_upstream_kind kind;
    const char *body;
    const char *want;
} bodies[] = {
    {FW_RL_UP_RESERVE, "{\"Hold\":\"h1\"}", "h1"},
    {FW_RL_UP_RESERVE, "{\"Hold\":7}", NULL},
    {FW_RL_UP_RESERVE, "{\"Hold\":\"\"}", NULL},
    {FW_RL_UP_RESERVE, "nonsense", NULL},
    {FW_RL_UP_PREFILL, "{\"HandleId\":\"k1\",\"Tokens\":5,\"Version\":1}",
     "k1"},
    {FW_RL_UP_PREFILL, "{\"Tokens\":5}", NULL},
    {FW_RL_UP_REPORT, "{\"Stage\":\"decode\",\"Busy\":false,\"Sequence\":2}",
     ""},
    {FW_RL_UP_REPORT, "{\"Stage\":\"decode\",\"Busy\":false}", NULL},
    {FW_RL_UP_RUN, "whatever it says", ""},
};

START_TEST(response_bodies_are_parsed)
{
    struct fw_rl_upstream_response a = {.status = 200};
    int rc = Fw_Platform_ParseResponseBody(bodies[_i].kind, bodies[_i].body,
                                           strlen(bodies[_i].body), &a);

    if (!bodies[_i].want) {
        ck_assert_int_eq(rc, -EBADMSG);
        return;
    }
    ck_assert_int_eq(rc, 0);
    ck_assert_str_eq(a.handle, bodies[_i].want);
}
END_TEST

/* Guards against a row of unknown form that discards the whole report. */
START_TEST(runs_of_a_report_are_parsed)
{
    static const char text[] =
        "{\"Stage\":\"decode\",\"Busy\":false,\"Sequence\":2,\"Runs\":["
        "[\"r1\",3400,31,5],[\"r2\",12],7,[[],1,2,3],[\"r3\",900,0,5]]}";
    struct fw_rl_upstream_response a = {.status = 200};

    ck_assert_int_eq(
        Fw_Platform_ParseResponseBody(FW_RL_UP_REPORT, text, strlen(text), &a),
        0);
    ck_assert_int_eq(a.n_streams, 2);
    ck_assert_uint_eq(a.streams[0].id, Fw_Hash_Str("r1"));
    ck_assert_int_eq(a.streams[0].tokens, 3400);
    ck_assert_int_eq(a.streams[0].events, 31);
    ck_assert_uint_eq(a.streams[1].id, Fw_Hash_Str("r3"));
}
END_TEST

#define FW_ROUTE                                                              \
    "{\"Name\":\"r\",\"Host\":\"A.example\",\"PathPrefix\":\"/x/\","          \
    "\"Kind\":\"safe\",\"TimeoutMs\":1500.5,\"Service\":\"s\"}"

START_TEST(a_configuration_is_parsed)
{
    static const char text[] =
        "{\"Version\":7,\"Routes\":[" FW_ROUTE
        ",{\"Name\":\"g\",\"Host\":\"a.example\",\"PathPrefix\":\"/x/y/\","
        "\"Kind\":\"streaming\",\"StickySessions\":true,\"Resumable\":true,"
        "\"AllowedRegions\":[\"east\",\"west\"],"
        "\"TrafficSplit\":[{\"Service\":\"s\",\"Weight\":90},"
        "{\"Service\":\"e\",\"Weight\":10}]}],"
        "\"Services\":[{\"Name\":\"s\"},{\"Name\":\"e\",\"ColdStartS\":3.0,"
        "\"ColdPerS\":29.5,\"Engine\":{"
        "\"Slots\":48,\"KvCapacityTokens\":107196,\"HandleTtlS\":0.5,"
        "\"RoleSwitchS\":6.0,\"HoldMs\":2000.0}}],"
        "\"Limits\":{\"MaxBodyBytes\":99,\"IdleTimeoutMs\":15000},"
        "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"k\"],\"Unit\":\"tokens\","
        "\"RatePerS\":5,\"Burst\":6,\"UncachedTokens\":200,"
        "\"AllowedRegions\":[]}],\"New\":1}";
    const struct fw_rl_route_rule *r;
    struct fw_rl_rules *rules;
    const char *why;

    rules = Fw_Platform_ParseConfig(text, strlen(text), &why);
    ck_assert_msg(rules != NULL, "%s", why);
    r = Fw_Rules_Route(rules, "a.example", "/x/z");
    ck_assert_str_eq(r->name, "r");
    ck_assert_int_eq(r->kind, FW_RL_IDEMPOTENT);
    ck_assert_int_eq(r->timeout_us, 1500500);
    ck_assert_int_eq(r->attempts, 1);
    r = Fw_Rules_Route(rules, "a.example", "/x/y/z");
    ck_assert_str_eq(r->name, "g");
    ck_assert_int_eq(r->generates, 1);
    ck_assert_int_eq(r->n_targets, 2);
    ck_assert(Fw_Regions_Allow(&r->regions, Fw_Hash_Str("west")));
    ck_assert(!Fw_Regions_Allow(&r->regions, Fw_Hash_Str("north")));
    ck_assert(Fw_Regions_Allow(&Fw_Rules_Team(rules, "k")->regions, 0));
    ck_assert_int_eq(Fw_Rules_Service(rules, "e")->cold_us, 3000000);
    ck_assert_double_eq(Fw_Rules_Service(rules, "e")->cold_rate, 29.5);
    ck_assert_double_eq(Fw_Rules_Service(rules, "s")->cold_rate, 0);
    ck_assert_ptr_null(Fw_Rules_Route(rules, "a.example", "/x"));
    ck_assert_ptr_null(Fw_Rules_Route(rules, "b.example", "/x/"));
    ck_assert_int_eq(Fw_Rules_Service(rules, "e")->engine.kv_tokens, 107196);
    ck_assert_int_eq(Fw_Rules_Service(rules, "e")->engine.kv_ttl_us, 500000);
    ck_assert_str_eq(Fw_Rules_Team(rules, "k")->name, "t");
    ck_assert_ptr_null(Fw_Rules_Team(rules, "K"));
    ck_assert_int_eq(rules->body_bytes, 99);
    Fw_Rules_Unref(rules);
}
END_TEST

/* Guards against invalid configurations that are applied in part. */
static const char *const bad_configs[] = {
    "",
    "[]",
    "{\"Version\":\"7\"}",
    "{\"Version\":7,\"Routes\":{}}",
    "{\"Version\":7,\"Services\":7}",
    "{\"Version\":7,\"Tenants\":\"x\"}",
};

START_TEST(invalid_configurations_are_rejected_with_a_reason)
{
    const char *why = NULL;

    ck_assert_ptr_null(Fw_Platform_ParseConfig(bad_configs[_i],
                                               strlen(bad_configs[_i]), &why));
    ck_assert_ptr_nonnull(why);
}
END_TEST

START_TEST(a_server_registration_is_parsed)
{
    static const char text[] =
        "{\"Service\":\"s\",\"Address\":\"10.1.2.3:80\",\"Zone\":\"z\","
        "\"Version\":\"v1\",\"Slots\":48,\"State\":\"draining\","
        "\"ColdRemainingMs\":1500,\"Stage\":\"prefill\",\"Sequence\":4,"
        "\"born\":1700000000000,\"Models\":[]}";
    struct fw_rl_server_entry e;

    ck_assert_int_eq(Fw_Platform_ParseServer("i-1", text, strlen(text), &e),
                     0);
    ck_assert_str_eq(e.id, "i-1");
    ck_assert_str_eq(e.addr, "10.1.2.3:80");
    ck_assert_str_eq(e.domain, "z");
    ck_assert_int_eq(e.draining, 1);
    ck_assert_int_eq(e.stage, FW_RL_STAGE_PREFILL);
    ck_assert_int_eq(e.born_ms, 1700000000000);
    ck_assert_int_eq(e.cold_us, 1500000);
    Fw_ServerEntry_Clear(&e);
}
END_TEST

/** struct cold_case - a cold time of a registration; -1: it is invalid. */
struct cold_case {
    const char *text;
    int64_t want_us;
};

static const struct cold_case cold_cases[] = {
    {"0", 0},        {"0.5", 500},  {"3000", 3000000}, {"-1", -1},
    {"3600001", -1}, {"1e300", -1}, {"\"2\"", -1},     {"[1]", -1},
};

/* Guards against a server that is never used, or used as if it were warm. */
START_TEST(absurd_cold_times_are_rejected)
{
    const struct cold_case *t = &cold_cases[_i];
    char *text = g_strdup_printf(
        "{\"Service\":\"s\",\"Address\":\"10.1.2.3:80\",\"Zone\":\"z\","
        "\"Slots\":48,\"State\":\"ready\",\"ColdRemainingMs\":%s}",
        t->text);
    struct fw_rl_server_entry e;
    int rc = Fw_Platform_ParseServer("i-1", text, strlen(text), &e);

    ck_assert_int_eq(rc, t->want_us < 0 ? -EBADMSG : 0);
    if (t->want_us >= 0) {
        ck_assert_int_eq(e.cold_us, t->want_us);
    }
    Fw_ServerEntry_Clear(&e);
    g_free(text);
}
END_TEST

#define FW_ENTRY                                                              \
    "{\"Service\":\"s\",\"Address\":\"10.1.2.3:80\",\"Zone\":\"z\","          \
    "\"Slots\":48,\"State\":\"ready\"}"

/** struct odd_entry - a record of another writer. */
struct odd_entry {
    const char *id;
    const char *text;
};

static const struct odd_entry odd_entries[] = {
    {"i-1", "{\"Service\":\"s\",\"Address\":\"10.1.2.3:0\",\"Zone\":\"z\","
            "\"Slots\":48,\"State\":\"ready\"}"},
    {"i-1", "{\"Service\":\"s\",\"Address\":\"10.1.2.3:70000\",\"Zone\":\"z\","
            "\"Slots\":48,\"State\":\"ready\"}"},
    {"i-1", "{\"Service\":\"s\",\"Address\":\"10.1.2.3:99999999999999999999\","
            "\"Zone\":\"z\",\"Slots\":48,\"State\":\"ready\"}"},
    {"i-1", "{\"Service\":\"s\",\"Address\":\"10.1.2.3:-1\",\"Zone\":\"z\","
            "\"Slots\":48,\"State\":\"ready\"}"},
    {"i-1", "{\"Service\":\"s\",\"Address\":\"0.0.0.0:80\",\"Zone\":\"z\","
            "\"Slots\":48,\"State\":\"ready\"}"},
    {"i-1", "{\"Service\":\"s\",\"Address\":\"224.0.0.1:80\",\"Zone\":\"z\","
            "\"Slots\":48,\"State\":\"ready\"}"},
    {"i-1", "{\"Service\":\"s\",\"Address\":\"10.1.2.3:80\",\"Zone\":\"z\","
            "\"Slots\":1e999,\"State\":\"ready\"}"},
    {"i-1", "{\"Service\":\"s\",\"Address\":\"10.1.2.3:80\",\"Zone\":\"z\","
            "\"Slots\":0,\"State\":\"ready\"}"},
    {"i-1", "{\"Service\":\"s\",\"Address\":\"10.1.2.3:80\",\"Zone\":\"z\","
            "\"Slots\":48,\"State\":\"ready\",\"ColdRemainingMs\":1e999}"},
    {"i-1", "{\"Service\":\"s\\r\\n\",\"Address\":\"10.1.2.3:80\","
            "\"Zone\":\"z\",\"Slots\":48,\"State\":\"ready\"}"},
    {"i-1", "{\"Service\":\"s\",\"Address\":\"10.1.2.3:80\",\"Zone\":\"\\\"\","
            "\"Slots\":48,\"State\":\"ready\"}"},
    {"i-1", "\xff\xfe{\"Service\":\"s\"}"},
    {"i-1\r\nStage: prefill", FW_ENTRY},
    {"i \"1\"", FW_ENTRY},
    {"\xff\xfe", FW_ENTRY},
    {"", FW_ENTRY},
};

/* Guards against an entry that every instance follows into an error. */
START_TEST(odd_entries_name_no_server)
{
    const struct odd_entry *t = &odd_entries[_i];
    struct fw_rl_server_entry e;

    ck_assert_int_eq(
        Fw_Platform_ParseServer("i-1", FW_ENTRY, strlen(FW_ENTRY), &e), 0);
    Fw_ServerEntry_Clear(&e);
    ck_assert_int_eq(
        Fw_Platform_ParseServer(t->id, t->text, strlen(t->text), &e),
        -EBADMSG);
    Fw_ServerEntry_Clear(&e);
}
END_TEST

/* Guards against a server that is not used as one of its texts is long. */
START_TEST(entries_with_texts_of_any_length_are_read)
{
    for (gsize n = 1; n < 5000; n += n < 300 ? 1 : 997) {
        g_autofree char *x = g_strnfill(n, 'x');
        g_autofree char *text = g_strdup_printf(
            "{\"Service\":\"%s\",\"Address\":\"10.1.2.3:80\",\"Zone\":\"%s\","
            "\"Slots\":48,\"State\":\"ready\"}",
            x, x);
        struct fw_rl_server_entry e;

        ck_assert_int_eq(Fw_Platform_ParseServer(x, text, strlen(text), &e),
                         0);
        ck_assert_str_eq(e.id, x);
        ck_assert_str_eq(e.service, x);
        ck_assert_str_eq(e.domain, x);
        Fw_ServerEntry_Clear(&e);
    }
}
END_TEST

/* Guards against a parser that recurses until the stack ends. */
START_TEST(deeply_nested_entries_name_no_server)
{
    static const char *const nests[][2] = {{"[", "]"}, {"{\"a\":", "}"}};
    const char *const *nest = nests[_i % 2];
    int depth = _i < 2 ? 100 : 250000 / (int)strlen(nest[0]);
    GString *text = g_string_new("{\"Models\":");
    struct fw_rl_server_entry e;

    for (int i = 0; i < depth; i++) {
        g_string_append(text, nest[0]);
    }
    g_string_append(text, "1");
    for (int i = 0; i < depth; i++) {
        g_string_append(text, nest[1]);
    }
    g_string_append(text, "," FW_ENTRY + 1);
    ck_assert_int_eq(Fw_Platform_ParseServer("i-1", text->str, text->len, &e),
                     -EBADMSG);
    Fw_ServerEntry_Clear(&e);
    g_string_free(text, TRUE);
}
END_TEST

/* Guards against an engine's word that becomes a header line. */
START_TEST(handles_that_are_no_tokens_are_rejected)
{
    static const char *const odd_handles[] = {
        "{\"HandleId\":\"a\\r\\nStage: prefill\",\"Hold\":\"a b\"}",
        "{\"HandleId\":\"a/../b c\",\"Hold\":\"\\u007f\"}",
        "{\"HandleId\":\"\",\"Hold\":\"\"}"};
    struct fw_rl_upstream_response ans = {.status = 200};
    const char *body = odd_handles[_i];

    ck_assert_int_eq(Fw_Platform_ParseResponseBody(FW_RL_UP_PREFILL, body,
                                                   strlen(body), &ans),
                     -EBADMSG);
    ck_assert_int_eq(Fw_Platform_ParseResponseBody(FW_RL_UP_RESERVE, body,
                                                   strlen(body), &ans),
                     -EBADMSG);
}
END_TEST

/** struct evacuation_case - an operator's record, and what it says. */
struct evacuation_case {
    const char *key;
    const char *value;
    const char *domain;
    int rc;
    int active;
};

static const struct evacuation_case evacuation_cases[] = {
    {"evacuate/a", "{}", "a", 0, 1},
    {"evacuate/a", "{\"By\":\"x\"}", "a", 0, 1},
    {"evacuate/a", NULL, "a", 0, 0},
    {"evacuate/a", "x", "a", -EBADMSG, 0},
    {"evacuate/a", "[]", "a", -EBADMSG, 0},
    {"evacuate/", "{}", NULL, 0, 0},
    {"evacuate", "{}", NULL, 0, 0},
    {"config", "{}", NULL, 0, 0},
    {"evacuate/a-name-that-is-longer-than-that-of-most-failure-domains", "{}",
     "a-name-that-is-longer-than-that-of-most-failure-domains", 0, 1},
};

START_TEST(evacuations_are_parsed)
{
    const struct evacuation_case *t = &evacuation_cases[_i];
    struct fw_store_record rec = {.value = t->value,
                                  .len = t->value ? strlen(t->value) : 0};
    const char *domain;
    int active;

    g_strlcpy(rec.key, t->key, sizeof(rec.key));
    domain = Fw_Platform_EvacuatedDomain(rec.key);
    ck_assert_str_eq(domain ? domain : "", t->domain ? t->domain : "");
    if (!t->domain) {
        return;
    }
    ck_assert_int_eq(Fw_Platform_ParseEvacuation(&rec, &active), t->rc);
    if (!t->rc) {
        ck_assert_int_eq(active, t->active);
    }
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("platform");

    tcase_add_test(tc, a_request_is_parsed);
    tcase_add_test(tc, shared_parts_of_a_prompt_are_read);
    tcase_add_test(tc, parts_beyond_the_most_are_left_out);
    tcase_add_loop_test(tc, malformed_fields_are_rejected, 0,
                        G_N_ELEMENTS(bad_fields));
    tcase_add_loop_test(tc, other_schemes_are_no_key, 0, 2);
    tcase_add_test(tc, texts_of_a_request_of_any_length_are_read);
    tcase_add_test(tc, runs_of_a_report_are_parsed);
    tcase_add_loop_test(tc, response_bodies_are_parsed, 0,
                        G_N_ELEMENTS(bodies));
    tcase_add_test(tc, a_configuration_is_parsed);
    tcase_add_loop_test(tc, invalid_configurations_are_rejected_with_a_reason,
                        0, G_N_ELEMENTS(bad_configs));
    tcase_add_test(tc, a_server_registration_is_parsed);
    tcase_add_test(tc, entries_with_texts_of_any_length_are_read);
    tcase_add_loop_test(tc, odd_entries_name_no_server, 0,
                        G_N_ELEMENTS(odd_entries));
    tcase_add_loop_test(tc, deeply_nested_entries_name_no_server, 0, 4);
    tcase_add_loop_test(tc, handles_that_are_no_tokens_are_rejected, 0, 3);
    tcase_add_loop_test(tc, absurd_cold_times_are_rejected, 0,
                        G_N_ELEMENTS(cold_cases));
    tcase_add_loop_test(tc, evacuations_are_parsed, 0,
                        G_N_ELEMENTS(evacuation_cases));
    return Fw_Suite_Run(tc);
}
