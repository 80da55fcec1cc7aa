/* Model engines and plain servers: registration, leases, connections. */
#include <inttypes.h>
#include <string.h>

#include "http/conn.h"
#include "stand/wire/internal.h"

GHashTable *Fw_Wire_ServersByAddr;

static int starts;

void
Fw_Wire_Register(struct fw_wire_server *s)
{
    char *entry = g_strdup_printf(
        "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
        "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\","
        "\"ColdRemainingMs\":0,%s%s%s\"Sequence\":%d,\"born\":%d}",
        s->service, s->addr, s->zone, s->opts.slots,
        s->draining ? "draining" : "ready", s->stage[0] ? "\"Stage\":\"" : "",
        s->stage, s->stage[0] ? "\"," : "", ++s->register_sequence, s->born);

    Fw_WireStore_Put(s->store, "keyed.servers", s->id, entry);
    g_free(entry);
}

char *
Fw_Wire_CopyField(const struct fw_http_head *h, const char *name)
{
    const struct fw_http_field *f = Fw_Http_FindField(h, name);

    return f ? g_strndup(f->value, f->value_len) : g_strdup("");
}

int64_t
Fw_Wire_SumLeases(GHashTable *t, int64_t now)
{
    GHashTableIter it;
    gpointer v;
    int64_t sum = 0;

    g_hash_table_iter_init(&it, t);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct kv_lease *k = v;

        if (now < k->expires_us) {
            sum += k->tokens;
        }
        else {
            g_hash_table_iter_remove(&it);
        }
    }
    return sum;
}

int64_t
Fw_WireServer_UsedKvTokens(const struct fw_wire_server *s)
{
    return s->active_tokens +
           Fw_Wire_SumLeases(s->reservations, Fw_Conn_NowUs());
}

int
Fw_WireServer_KvHandleCount(const struct fw_wire_server *s)
{
    Fw_Wire_SumLeases(s->kv_handles, Fw_Conn_NowUs());
    return (int)g_hash_table_size(s->kv_handles);
}

char *
Fw_Wire_AddLease(struct fw_wire_server *s, GHashTable *in, int64_t tokens,
                 int ms)
{
    char *name = g_strdup_printf("%s%u", s->id, ++s->next_lease_id);
    struct kv_lease *k = g_new(struct kv_lease, 1);

    *k = (struct kv_lease){.tokens = tokens,
                           .expires_us = Fw_Conn_NowUs() + ms * FW_MSEC};
    g_hash_table_insert(in, g_strdup(name), k);
    return name;
}

void
Fw_Wire_AppendRequestId(const struct fw_http_head *h, GString *fields)
{
    char *id = Fw_Wire_CopyField(h, "Request-Id");

    if (id[0]) {
        g_string_append_printf(fields, "Request-Id: %s\r\n", id);
    }
    g_free(id);
}

void
Fw_Wire_AppendOwnFields(const struct fw_wire_server *s, GString *fields)
{
    if (s->limit[0]) {
        g_string_append_printf(fields, "Server-Limit: %s\r\n", s->limit);
    }
    if (s->rest[0]) {
        g_string_append_printf(fields, "Retry-After: %s\r\n", s->rest);
    }
    if (s->is_leaving) {
        g_string_append(fields, "Server-Leaving: 1\r\n");
    }
}

static void
handle_request(struct fw_wire_server *s, struct fw_http_caller *c,
               const struct fw_http_head *h, GBytes *body)
{
    if (s->rest[0]) {
        Fw_Wire_RejectNotExecuted(s, c, h, 503);
    }
    else if (!Fw_Wire_HandleControl(s, c, h, body)) {
        Fw_Wire_StartRun(s, c, h);
    }
}

static void
on_request(void *ctx, struct fw_http_caller *c, const struct fw_http_head *h,
           GBytes *body)
{
    struct fw_wire_server *s = ctx;
    char *wanted = Fw_Wire_CopyField(h, "Expect-Instance");
    int other = wanted[0] && strcmp(wanted, s->id) != 0;

    g_free(wanted);
    if (other) {
        GString *fields = g_string_new("Instance-Id: other\r\n");

        Fw_Wire_AppendRequestId(h, fields);
        Fw_Caller_Respond(c, 421, fields->str, "");
        g_string_free(fields, TRUE);
    }
    else {
        int64_t now = Fw_Conn_NowUs();

        g_array_append_val(s->arrivals, now);
        Fw_Wire_Notify(s, FW_WIRE_ARRIVED, h);
        handle_request(s, c, h, body);
    }
}

static void
on_disconnect(void *ctx, struct fw_http_caller *c)
{
    struct fw_wire_server *s = ctx;

    for (GList *l = s->runs; l; l = l->next) {
        struct run *r = l->data;

        if (r->caller == c) {
            Fw_Wire_EndRun(r);
            return;
        }
    }
}

static void
on_rejected(void *ctx, int status, const char *reason)
{
    struct fw_wire_server *s = ctx;

    g_warning("%s: request rejected with status %d: %s", s->id, status,
              reason);
}

static const struct fw_http_ops ops = {.request = on_request,
                                       .disconnected = on_disconnect,
                                       .rejected = on_rejected};

struct fw_wire_server *
Fw_WireServer_NewBehindProxy(struct fw_wire_store *store, const char *addr,
                             const struct fw_wire_opts *opts)
{
    struct fw_wire_server *s = g_new0(struct fw_wire_server, 1);
    int err;

    if (!Fw_Wire_ServersByAddr) {
        Fw_Wire_ServersByAddr = g_hash_table_new(g_str_hash, g_str_equal);
    }
    s->store = store;
    s->opts = *opts;
    s->born = ++starts;
    g_strlcpy(s->id, opts->id, sizeof(s->id));
    g_strlcpy(s->service, opts->service, sizeof(s->service));
    g_strlcpy(s->zone, opts->zone, sizeof(s->zone));
    g_strlcpy(s->stage, opts->stage, sizeof(s->stage));
    s->reservations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->kv_handles =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->last_head = g_string_new(NULL);
    s->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
    s->http = Fw_Server_New(addr, &ops, s, &err);
    g_assert(s->http);
    g_snprintf(s->addr, sizeof(s->addr), "127.0.0.1:%d",
               Fw_Server_Port(s->http));
    g_strlcpy(s->listen_addr, s->addr, sizeof(s->listen_addr));
    g_hash_table_insert(Fw_Wire_ServersByAddr, s->addr, s);
    return s;
}

struct fw_wire_server *
Fw_WireServer_New(struct fw_wire_store *store, const char *addr,
                  const struct fw_wire_opts *opts)
{
    struct fw_wire_server *s = Fw_WireServer_NewBehindProxy(store, addr, opts);

    Fw_Wire_Register(s);
    return s;
}

void
Fw_WireServer_Free(struct fw_wire_server *s)
{
    while (s->runs) {
        Fw_Wire_EndRun(s->runs->data);
    }
    g_hash_table_remove(Fw_Wire_ServersByAddr, s->addr);
    Fw_Server_Free(s->http);
    g_hash_table_destroy(s->reservations);
    g_hash_table_destroy(s->kv_handles);
    g_string_free(s->last_head, TRUE);
    g_array_unref(s->arrivals);
    g_free(s);
}

void
Fw_WireServer_SetObserver(struct fw_wire_server *s, fw_wire_observer *fn,
                          void *ctx)
{
    s->observer = fn;
    s->observer_ctx = ctx;
}

void
Fw_Wire_Notify(const struct fw_wire_server *s, enum fw_wire_event event,
               const struct fw_http_head *h)
{
    char *id;

    if (!s->observer) {
        return;
    }
    id = Fw_Wire_CopyField(h, "Request-Id");
    s->observer(s->observer_ctx, s->id, event, id);
    g_free(id);
}

void
Fw_WireServer_Advertise(struct fw_wire_server *s, const char *addr)
{
    g_hash_table_remove(Fw_Wire_ServersByAddr, s->addr);
    g_strlcpy(s->addr, addr, sizeof(s->addr));
    g_hash_table_insert(Fw_Wire_ServersByAddr, s->addr, s);
    Fw_Wire_Register(s);
}

const char *
Fw_WireServer_Addr(const struct fw_wire_server *s)
{
    return s->listen_addr;
}

void
Fw_WireServer_SetFault(struct fw_wire_server *s, enum fw_wire_fault fault,
                       int n)
{
    s->fault = fault;
    s->faults_left = n;
}

void
Fw_WireServer_SetFraming(struct fw_wire_server *s,
                         enum fw_wire_framing framing)
{
    s->framing = framing;
}

void
Fw_WireServer_SetLimit(struct fw_wire_server *s, const char *limit)
{
    g_strlcpy(s->limit, limit ? limit : "", sizeof(s->limit));
}

void
Fw_WireServer_SetRest(struct fw_wire_server *s, const char *rest)
{
    g_strlcpy(s->rest, rest ? rest : "", sizeof(s->rest));
}

void
Fw_WireServer_SetRejects(struct fw_wire_server *s, int one_of)
{
    s->rejects_one_of = one_of;
}

void
Fw_WireServer_SetLeaving(struct fw_wire_server *s)
{
    s->is_leaving = 1;
}

int
Fw_WireServer_MostArrivedAfter(const struct fw_wire_server *s,
                               int64_t since_us, int64_t from_us,
                               int64_t to_us)
{
    int most = 0;

    for (guint i = 0; i < s->arrivals->len; i++) {
        int64_t at = g_array_index(s->arrivals, int64_t, i);

        if (at >= since_us) {
            most = MAX(
                most, Fw_WireServer_ArrivedCount(s, at + from_us, at + to_us));
        }
    }
    return most;
}

int
Fw_WireServer_ArrivedCount(const struct fw_wire_server *s, int64_t from_us,
                           int64_t to_us)
{
    int n = 0;

    for (guint i = 0; i < s->arrivals->len; i++) {
        int64_t at = g_array_index(s->arrivals, int64_t, i);

        n += at >= from_us && at < to_us;
    }
    return n;
}

int
Fw_WireServer_MostArrived(const struct fw_wire_server *s, int64_t from_us,
                          int64_t window_us)
{
    return Fw_WireServer_MostArrivedAfter(s, from_us, 0, window_us);
}

int
Fw_WireServer_FaultTriggered(const struct fw_wire_server *s)
{
    return s->fault_triggered;
}

void
Fw_WireServer_SetDraining(struct fw_wire_server *s)
{
    s->draining = 1;
    Fw_Wire_Register(s);
}

void
Fw_WireServer_Unregister(struct fw_wire_server *s)
{
    Fw_WireStore_Put(s->store, "keyed.servers", s->id, NULL);
}

int
Fw_WireServer_StartedCount(const struct fw_wire_server *s)
{
    return s->started_count;
}

int
Fw_WireServer_ActiveCount(const struct fw_wire_server *s)
{
    return (int)g_list_length(s->runs);
}

int
Fw_WireServer_IsRunning(const struct fw_wire_server *s, const char *id)
{
    for (GList *l = s->runs; l; l = l->next) {
        const struct run *r = l->data;

        if (!r->prefill && strcmp(r->id, id) == 0) {
            return 1;
        }
    }
    return 0;
}

const char *
Fw_WireServer_Stage(const struct fw_wire_server *s)
{
    return s->stage;
}

const char *
Fw_WireServer_LastRequestHead(const struct fw_wire_server *s)
{
    return s->last_head->str;
}
