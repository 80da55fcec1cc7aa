/* Model engines and plain servers. */
#include <inttypes.h>
#include <string.h>

#include "base/limits.h"
#include "http/conn.h"
#include "io/json.h"
#include "stand/wire/wire.h"

#define FW_STRIDE 72 /* tokens in one event */

/** struct run - a request that is being worked on. */
struct run {
    struct fw_wire_server *server;
    struct fw_http_caller *caller;
    guint timer;
    int piece;
    int pieces;
    int64_t tokens;
    int prefill;
    char id[FW_ID_MAX];
    enum fw_wire_fault fault;
};

/** struct held - a reservation or a KV cache. */
struct held {
    int64_t tokens;
    int64_t until_us;
};

struct fw_wire_server {
    struct fw_http_server *http;
    struct fw_wire_store *store;
    struct fw_wire_opts opts;
    char id[FW_NAME_MAX];
    char service[FW_NAME_MAX];
    char zone[FW_NAME_MAX];
    char stage[16];
    char addr[FW_URL_MAX];
    GHashTable *holds;
    GHashTable *handles;
    GList *runs;
    GString *last_head;
    enum fw_wire_fault fault;
    int faults;
    int faulted;
    int begun;
    int64_t used;
    int64_t orders;
    int64_t fence;
    int64_t switch_us;
    int draining;
    int beat;
    unsigned next_name;
};

/* Engines of this process by address, since caches move between them. */
static GHashTable *engines;

static void
register_self(struct fw_wire_server *s)
{
    char *entry = g_strdup_printf(
        "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
        "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\","
        "\"ColdRemainingMs\":0,%s%s%s\"Sequence\":%d,\"born\":1}",
        s->service, s->addr, s->zone, s->opts.slots,
        s->draining ? "draining" : "ready", s->stage[0] ? "\"Stage\":\"" : "",
        s->stage, s->stage[0] ? "\"," : "", ++s->beat);

    Fw_WireStore_Put(s->store, "keyed.servers", s->id, entry);
    g_free(entry);
}

static char *
field(const struct fw_http_head *h, const char *name)
{
    const struct fw_http_field *f = Fw_Http_Find(h, name);

    return f ? g_strndup(f->value, f->value_len) : g_strdup("");
}

static int64_t
sum_of(GHashTable *t, int64_t now)
{
    GHashTableIter it;
    gpointer v;
    int64_t sum = 0;

    g_hash_table_iter_init(&it, t);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct held *k = v;

        if (now < k->until_us) {
            sum += k->tokens;
        }
        else {
            g_hash_table_iter_remove(&it);
        }
    }
    return sum;
}

int64_t
Fw_WireServer_Held(const struct fw_wire_server *s)
{
    return s->used + sum_of(s->holds, Fw_Conn_Now());
}

int
Fw_WireServer_Handles(const struct fw_wire_server *s)
{
    sum_of(s->handles, Fw_Conn_Now());
    return (int)g_hash_table_size(s->handles);
}

static char *
keep(struct fw_wire_server *s, GHashTable *in, int64_t tokens, int ms)
{
    char *name = g_strdup_printf("%s%u", s->id, ++s->next_name);
    struct held *k = g_new(struct held, 1);

    *k = (struct held){.tokens = tokens,
                       .until_us = Fw_Conn_Now() + ms * FW_MSEC};
    g_hash_table_insert(in, g_strdup(name), k);
    return name;
}

static void
run_end(struct run *r)
{
    r->server->used -= r->tokens;
    r->server->runs = g_list_remove(r->server->runs, r);
    if (r->timer) {
        g_source_remove(r->timer);
    }
    g_free(r);
}

static void
not_run(struct fw_http_caller *c, int status)
{
    Fw_Caller_Answer(c, status, "Not-Executed: 1\r\n", "");
}

static char *
answer_fields(const struct run *r, const char *type)
{
    return g_strdup_printf("Request-Id: %s\r\nServer-Stamp: %s.1\r\n"
                           "Content-Type: %s\r\n",
                           r->id, r->server->id, type);
}

static gboolean
on_piece(gpointer data)
{
    struct run *r = data;
    char *event;

    if (r->fault == FW_WIRE_BREAK && r->piece == 3) {
        r->timer = 0;
        Fw_Caller_Cut(r->caller);
        run_end(r);
        return G_SOURCE_REMOVE;
    }
    event = g_strdup_printf("id: %d\ndata: piece %d\n\n", r->piece, r->piece);
    Fw_Caller_Data(r->caller, event, strlen(event));
    g_free(event);
    if (++r->piece < r->pieces) {
        return G_SOURCE_CONTINUE;
    }
    r->timer = 0;
    Fw_Caller_End(r->caller);
    run_end(r);
    return G_SOURCE_REMOVE;
}

static void
end_prefill(struct run *r)
{
    struct fw_wire_server *s = r->server;
    char *fields = answer_fields(r, "application/json");
    char *name = keep(s, s->handles, r->tokens, s->opts.handle_ms);
    char *body = g_strdup_printf("{\"HandleId\":\"%s\",\"Tokens\":%" PRId64
                                 ",\"Version\":1}",
                                 name, r->tokens);

    Fw_Caller_Answer(r->caller, 200, fields, body);
    g_free(fields);
    g_free(body);
    g_free(name);
}

static gboolean
on_ready(gpointer data)
{
    struct run *r = data;
    struct fw_wire_server *s = r->server;
    char *fields;

    r->timer = 0;
    if (r->fault == FW_WIRE_RESET) {
        Fw_Caller_Cut(r->caller);
        run_end(r);
        return G_SOURCE_REMOVE;
    }
    if (r->prefill) {
        end_prefill(r);
        run_end(r);
        return G_SOURCE_REMOVE;
    }
    if (r->pieces) {
        fields = answer_fields(r, "text/event-stream");
        Fw_Caller_Start(r->caller, 200, fields, -1);
        g_free(fields);
        r->timer = g_timeout_add((guint)s->opts.piece_ms, on_piece, r);
        return G_SOURCE_REMOVE;
    }
    fields = answer_fields(r, "text/plain");
    Fw_Caller_Answer(r->caller, r->fault == FW_WIRE_FAIL ? 500 : 200, fields,
                     "the answer");
    g_free(fields);
    run_end(r);
    return G_SOURCE_REMOVE;
}

/* Takes the KV cache that the request names; 0 when it can't be had. */
static int
take_kv(const struct fw_http_head *h)
{
    char *from = field(h, "Kv-Source");
    char *slash = strchr(from, '/');
    struct fw_wire_server *e = NULL;
    int ok = !from[0];

    if (slash) {
        *slash = 0;
        e = g_hash_table_lookup(engines, from);
    }
    if (e) {
        sum_of(e->handles, Fw_Conn_Now());
        ok = g_hash_table_remove(e->handles, slash + 1);
    }
    g_free(from);
    return ok;
}

static int64_t
take_hold(struct fw_wire_server *s, const struct fw_http_head *h)
{
    char *name = field(h, "Kv-Hold");
    struct held *k;
    int64_t tokens = -1;

    sum_of(s->holds, Fw_Conn_Now());
    k = g_hash_table_lookup(s->holds, name);
    if (k) {
        tokens = k->tokens;
        g_hash_table_remove(s->holds, name);
    }
    g_free(name);
    return tokens;
}

static enum fw_wire_fault
next_fault(struct fw_wire_server *s)
{
    if (s->faults <= 0) {
        return FW_WIRE_OK;
    }
    s->faults--;
    s->faulted = 1;
    return s->fault;
}

/* Return: tokens that the run takes, or -1 when there is no room. */
static int64_t
find_room(struct fw_wire_server *s, const struct fw_http_head *h,
          int64_t in_tokens, int64_t out_tokens, int prefill)
{
    int64_t tokens = prefill ? 0 : take_hold(s, h);

    if (!s->stage[0]) {
        return (int)g_list_length(s->runs) < s->opts.slots ? 0 : -1;
    }
    if (prefill) {
        return in_tokens;
    }
    if (tokens < 0) {
        tokens = in_tokens + out_tokens;
        if (Fw_WireServer_Held(s) + tokens > s->opts.kv_tokens) {
            return -1;
        }
    }
    return take_kv(h) ? tokens : -1;
}

static void
begin(struct fw_wire_server *s, struct fw_http_caller *c,
      const struct fw_http_head *h)
{
    char *stage = field(h, "Stage");
    char *counts = field(h, "Token-Counts");
    char *comma = strchr(counts, ',');
    char *id = field(h, "Request-Id");
    int64_t in_tokens = g_ascii_strtoll(counts, NULL, 10);
    int64_t out_tokens = comma ? g_ascii_strtoll(comma + 1, NULL, 10) : 0;
    int prefill = stage[0] != 0;
    enum fw_wire_fault fault = prefill ? FW_WIRE_OK : next_fault(s);
    int64_t tokens = -1;
    struct run *r;

    if (fault == FW_WIRE_MOVED ||
        (s->stage[0] && prefill != (strcmp(s->stage, "prefill") == 0))) {
        not_run(c, 421);
    }
    else if (fault == FW_WIRE_FULL || Fw_Conn_Now() < s->switch_us ||
             (tokens = find_room(s, h, in_tokens, out_tokens, prefill)) < 0) {
        not_run(c, 503);
    }
    else {
        int read_ms = s->stage[0] && (prefill || !Fw_Http_Find(h, "Kv-Source"))
                          ? (int)(in_tokens / s->opts.read_per_ms)
                          : 1;

        r = g_new0(struct run, 1);
        r->server = s;
        r->caller = c;
        r->fault = fault;
        r->tokens = tokens;
        r->prefill = prefill;
        r->pieces = s->stage[0] && !prefill
                        ? (int)((out_tokens + FW_STRIDE - 1) / FW_STRIDE)
                        : 0;
        g_strlcpy(r->id, id, sizeof(r->id));
        s->used += tokens;
        s->begun++;
        s->runs = g_list_prepend(s->runs, r);
        g_string_truncate(s->last_head, 0);
        g_string_append(s->last_head, h->raw);
        if (fault != FW_WIRE_STALL) {
            r->timer = g_timeout_add((guint)MAX(read_ms, 1), on_ready, r);
        }
    }
    g_free(stage);
    g_free(counts);
    g_free(id);
}

static void
answer_json(struct fw_http_caller *c, int status, char *text)
{
    Fw_Caller_Answer(c, status, "Content-Type: application/json\r\n", text);
    g_free(text);
}

static void
on_hold(struct fw_wire_server *s, struct fw_http_caller *c, GBytes *body)
{
    gsize len;
    const char *data = g_bytes_get_data(body, &len);
    JsonNode *root = Fw_Json_Parse(data, len);
    int64_t tokens = 0;
    int64_t ttl = 0;
    char *name;

    if (root) {
        JsonObject *obj = json_node_get_object(root);

        Fw_Json_Int(obj, "Tokens", &tokens);
        Fw_Json_Int(obj, "TtlMs", &ttl);
        json_node_unref(root);
    }
    if (tokens <= 0 || Fw_WireServer_Held(s) + tokens > s->opts.kv_tokens) {
        not_run(c, 503);
        return;
    }
    name = keep(s, s->holds, tokens, (int)ttl);
    answer_json(c, 200, g_strdup_printf("{\"Hold\":\"%s\"}", name));
    g_free(name);
}

static int
take_order(struct fw_wire_server *s, JsonObject *obj)
{
    const char *holder;
    const char *stage;
    int64_t fence;
    int64_t expected = s->orders;

    if (Fw_Json_Str(obj, "Holder", &holder) ||
        Fw_Json_Int(obj, "FencingToken", &fence) ||
        Fw_Json_Str(obj, "Stage", &stage)) {
        return 400;
    }
    Fw_Json_Int(obj, "Expected", &expected);
    if (fence < s->fence) {
        return 412;
    }
    if (expected != s->orders) {
        return 409;
    }
    s->fence = fence;
    if (strcmp(stage, s->stage) == 0) {
        return 200;
    }
    s->orders++;
    g_strlcpy(s->stage, stage, sizeof(s->stage));
    register_self(s);
    return 202;
}

static void
on_order(struct fw_wire_server *s, struct fw_http_caller *c, GBytes *body)
{
    gsize len;
    const char *data = g_bytes_get_data(body, &len);
    JsonNode *root = Fw_Json_Parse(data, len);
    int status = root ? take_order(s, json_node_get_object(root)) : 400;

    if (root) {
        json_node_unref(root);
    }
    answer_json(c, status, g_strdup("{}"));
}

static void
on_report(struct fw_wire_server *s, struct fw_http_caller *c)
{
    answer_json(
        c, 200,
        g_strdup_printf("{\"Stage\":\"%s\",\"Models\":[],\"Busy\":false,"
                        "\"Sequence\":%" PRId64
                        ",\"Queued\":0,\"Active\":%u,\"KvUsed\":%" PRId64
                        ",\"KvCapacity\":%" PRId64 ",\"KvHandles\":%u}",
                        s->stage, s->orders, g_list_length(s->runs), s->used,
                        s->opts.kv_tokens, g_hash_table_size(s->handles)));
}

static int
line_is(const struct fw_http_head *h, const char *method, const char *path)
{
    return h->method_len == strlen(method) &&
           memcmp(h->method, method, h->method_len) == 0 &&
           h->target_len >= strlen(path) &&
           memcmp(h->target, path, strlen(path)) == 0;
}

static void
drop(const struct fw_http_head *h, const char *path, GHashTable *from,
     struct fw_http_caller *c)
{
    char *name =
        g_strndup(h->target + strlen(path), h->target_len - strlen(path));

    Fw_Caller_Answer(c, g_hash_table_remove(from, name) ? 200 : 404, "", "");
    g_free(name);
}

static void
on_request(void *ctx, struct fw_http_caller *c, const struct fw_http_head *h,
           GBytes *body)
{
    struct fw_wire_server *s = ctx;
    char *wanted = field(h, "Expect-Instance");
    int other = wanted[0] && strcmp(wanted, s->id) != 0;

    g_free(wanted);
    if (other) {
        Fw_Caller_Answer(c, 421, "Instance-Id: other\r\n", "");
    }
    else if (line_is(h, "POST", "/-/hold-take")) {
        on_hold(s, c, body);
    }
    else if (line_is(h, "DELETE", "/-/hold-drop/")) {
        drop(h, "/-/hold-drop/", s->holds, c);
    }
    else if (line_is(h, "DELETE", "/-/kv-handle/")) {
        drop(h, "/-/kv-handle/", s->handles, c);
    }
    else if (line_is(h, "GET", "/-/report")) {
        on_report(s, c);
    }
    else if (line_is(h, "POST", "/-/order")) {
        on_order(s, c, body);
    }
    else {
        begin(s, c, h);
    }
}

static void
on_gone(void *ctx, struct fw_http_caller *c)
{
    struct fw_wire_server *s = ctx;

    for (GList *l = s->runs; l; l = l->next) {
        struct run *r = l->data;

        if (r->caller == c) {
            run_end(r);
            return;
        }
    }
}

static void
on_refused(void *ctx, int status, const char *why)
{
    struct fw_wire_server *s = ctx;

    g_warning("%s: %d %s", s->id, status, why);
}

static const struct fw_http_ops ops = {
    .request = on_request, .gone = on_gone, .refused = on_refused};

struct fw_wire_server *
Fw_WireServer_New(struct fw_wire_store *store, const char *addr,
                  const struct fw_wire_opts *opts)
{
    struct fw_wire_server *s = g_new0(struct fw_wire_server, 1);
    int err;

    if (!engines) {
        engines = g_hash_table_new(g_str_hash, g_str_equal);
    }
    s->store = store;
    s->opts = *opts;
    g_strlcpy(s->id, opts->id, sizeof(s->id));
    g_strlcpy(s->service, opts->service, sizeof(s->service));
    g_strlcpy(s->zone, opts->zone, sizeof(s->zone));
    g_strlcpy(s->stage, opts->stage, sizeof(s->stage));
    s->holds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->handles =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->last_head = g_string_new(NULL);
    s->http = Fw_Server_New(addr, &ops, s, &err);
    g_assert(s->http);
    g_snprintf(s->addr, sizeof(s->addr), "127.0.0.1:%d",
               Fw_Server_Port(s->http));
    g_hash_table_insert(engines, s->addr, s);
    register_self(s);
    return s;
}

void
Fw_WireServer_Free(struct fw_wire_server *s)
{
    while (s->runs) {
        run_end(s->runs->data);
    }
    g_hash_table_remove(engines, s->addr);
    Fw_Server_Free(s->http);
    g_hash_table_destroy(s->holds);
    g_hash_table_destroy(s->handles);
    g_string_free(s->last_head, TRUE);
    g_free(s);
}

void
Fw_WireServer_SetFault(struct fw_wire_server *s, enum fw_wire_fault fault,
                       int n)
{
    s->fault = fault;
    s->faults = n;
}

int
Fw_WireServer_Faulted(const struct fw_wire_server *s)
{
    return s->faulted;
}

void
Fw_WireServer_SetDraining(struct fw_wire_server *s)
{
    s->draining = 1;
    register_self(s);
}

int
Fw_WireServer_Runs(const struct fw_wire_server *s)
{
    return s->begun;
}

int
Fw_WireServer_Active(const struct fw_wire_server *s)
{
    return (int)g_list_length(s->runs);
}

const char *
Fw_WireServer_Stage(const struct fw_wire_server *s)
{
    return s->stage;
}

const char *
Fw_WireServer_LastHead(const struct fw_wire_server *s)
{
    return s->last_head->str;
}

/* One route; @rest: further members. */
static void
add_route(GString *out, const char *prefix, const char *kind,
          const char *service, const char *rest)
{
    g_string_append_printf(
        out,
        "%s{\"Name\":\"r-%s\",\"Host\":\"demo.example\",\"PathPrefix\":\"%s\","
        "\"Kind\":\"%s\",\"TimeoutMs\":8000,\"TargetLatencyMs\":900,"
        "\"Priority\":1,\"Service\":\"%s\",\"Attempts\":2%s}",
        out->str[out->len - 1] == '[' ? "" : ",", service, prefix, kind,
        service, rest);
}

char *
Fw_Wire_Config(int version, const char *keys)
{
    GString *out = g_string_new(NULL);

    g_string_append_printf(out, "{\"Version\":%d,\"Routes\":[", version);
    add_route(out, "/outlook/", "streaming", "llm",
              ",\"StickySessions\":true,\"Resumable\":false,"
              "\"TargetGapMs\":300");
    add_route(out, "/order/", "unsafe", "desk", "");
    add_route(out, "/read/", "safe", "desk", "");
    add_route(out, "/public/", "safe", "desk", ",\"AllowAnonymous\":true");
    g_string_append_printf(
        out,
        "],\"Services\":[{\"Name\":\"llm\",\"HealthCheckPath\":\"/health\","
        "\"MaxConnections\":100,\"Engine\":{\"Slots\":8,"
        "\"KvCapacityTokens\":40000,\"HandleTtlS\":0.5,\"RoleSwitchS\":0.1,"
        "\"HoldMs\":2000.0}},{\"Name\":\"desk\",\"HealthCheckPath\":"
        "\"/health\",\"MaxConnections\":100}],\"Limits\":{\"MaxHeaderBytes\":"
        "16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
        "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"skippers\","
        "\"ApiKeys\":[%s],\"Unit\":\"tokens\",\"UncachedTokens\":200,"
        "\"RatePerS\":1000000,\"Burst\":1000000}]}",
        keys);
    return g_string_free(out, FALSE);
}
