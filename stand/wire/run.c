/* Execution of requests: prefill, streamed and plain responses. */
#include <inttypes.h>
#include <string.h>

#include "http/conn.h"
#include "stand/wire/internal.h"

void
Fw_Wire_EndRun(struct run *r)
{
    r->server->active_tokens -= r->tokens;
    r->server->runs = g_list_remove(r->server->runs, r);
    if (r->timer) {
        g_source_remove(r->timer);
    }
    g_free(r);
}

void
Fw_Wire_RejectNotExecuted(const struct fw_wire_server *s,
                          struct fw_http_caller *c,
                          const struct fw_http_head *h, int status)
{
    GString *fields = g_string_new("Not-Executed: 1\r\n");

    Fw_Wire_Notify(s, FW_WIRE_REJECTED, h);
    Fw_Wire_AppendRequestId(h, fields);
    Fw_Wire_AppendOwnFields(s, fields);
    Fw_Caller_Respond(c, status, fields->str, "");
    g_string_free(fields, TRUE);
}

static char *
response_fields(const struct run *r, const char *type)
{
    GString *fields = g_string_new(NULL);

    g_string_printf(fields, "Request-Id: %s\r\nServer-Stamp: %s.1\r\n", r->id,
                    r->server->id);
    if (r->framing != FW_WIRE_CLOSE_UNTYPED) {
        g_string_append_printf(fields, "Content-Type: %s\r\n", type);
    }
    Fw_Wire_AppendOwnFields(r->server, fields);
    return g_string_free(fields, FALSE);
}

static gboolean
send_event(gpointer data)
{
    static const char partial_event[] = "id: 3\ndata: pie";
    struct run *r = data;
    char *event;

    if (r->fault == FW_WIRE_FAULT_TRUNCATE && r->next_event == 3) {
        r->timer = 0;
        Fw_Caller_Abort(r->caller);
        Fw_Wire_EndRun(r);
        return G_SOURCE_REMOVE;
    }
    if ((r->fault == FW_WIRE_FAULT_PARTIAL ||
         r->fault == FW_WIRE_FAULT_EMPTY) &&
        r->next_event == 3) {
        r->timer = 0;
        Fw_Caller_Data(r->caller, partial_event, strlen(partial_event));
        Fw_Caller_End(r->caller);
        Fw_Wire_EndRun(r);
        return G_SOURCE_REMOVE;
    }
    event = g_strdup_printf("id: %d\ndata: piece %d\n\n", r->next_event,
                            r->next_event);
    Fw_Caller_Data(r->caller, event, strlen(event));
    g_free(event);
    if (++r->next_event < r->event_count) {
        return G_SOURCE_CONTINUE;
    }
    r->timer = 0;
    Fw_Caller_End(r->caller);
    Fw_Wire_EndRun(r);
    return G_SOURCE_REMOVE;
}

static void
answer_prefill(struct run *r)
{
    struct fw_wire_server *s = r->server;
    char *fields = response_fields(r, "application/json");
    char *name = Fw_Wire_AddLease(s, s->kv_handles, r->tokens,
                                  s->opts.kv_handle_ttl_ms);
    char *body = g_strdup_printf("{\"HandleId\":\"%s\",\"Tokens\":%" PRId64
                                 ",\"Version\":1}",
                                 name, r->tokens);

    Fw_Caller_Respond(r->caller, 200, fields, body);
    g_free(fields);
    g_free(body);
    g_free(name);
}

static enum fw_wire_framing
next_framing(const struct fw_wire_server *s)
{
    return s->framing == FW_WIRE_BY_TURNS
               ? (enum fw_wire_framing)(s->started_count % FW_WIRE_FRAMINGS)
               : s->framing;
}

static void
start_stream(struct run *r)
{
    char *fields = response_fields(r, "text/event-stream");

    Fw_Server_SetUnframed(r->server->http, r->framing != FW_WIRE_FRAMED);
    Fw_Caller_Start(r->caller, 200, fields, -1);
    g_free(fields);
    if (r->fault == FW_WIRE_FAULT_EMPTY && r->framing != FW_WIRE_FRAMED) {
        Fw_Caller_End(r->caller);
        Fw_Wire_EndRun(r);
        return;
    }
    r->timer =
        g_timeout_add((guint)r->server->opts.event_interval_ms, send_event, r);
}

static void
answer_unmarked(struct run *r)
{
    static const int statuses[] = {503, 429, 421, 408};
    char *fields = response_fields(r, "text/plain");

    Fw_Caller_Respond(
        r->caller,
        statuses[r->server->n_unmarked++ % (int)G_N_ELEMENTS(statuses)],
        fields, "");
    g_free(fields);
}

static void
answer_text(struct run *r)
{
    static const char text[] = "the answer";
    char *fields = response_fields(r, "text/plain");
    size_t len = strlen(text);
    int is_framed = r->framing == FW_WIRE_FRAMED;

    Fw_Server_SetUnframed(r->server->http, !is_framed);
    Fw_Caller_Start(r->caller, r->fault == FW_WIRE_FAULT_ERROR ? 500 : 200,
                    fields, is_framed ? (int64_t)len : -1);
    g_free(fields);
    if (r->fault == FW_WIRE_FAULT_TRUNCATE) {
        Fw_Caller_Data(r->caller, text, len / 2);
        Fw_Caller_Abort(r->caller);
        return;
    }
    Fw_Caller_Data(r->caller, text, len);
    Fw_Caller_End(r->caller);
}

static gboolean
start_response(gpointer data)
{
    struct run *r = data;

    r->timer = 0;
    if (r->fault == FW_WIRE_FAULT_RESET) {
        Fw_Caller_Abort(r->caller);
        Fw_Wire_EndRun(r);
        return G_SOURCE_REMOVE;
    }
    if (r->prefill) {
        answer_prefill(r);
        Fw_Wire_EndRun(r);
        return G_SOURCE_REMOVE;
    }
    if (r->fault == FW_WIRE_FAULT_UNMARKED) {
        answer_unmarked(r);
        Fw_Wire_EndRun(r);
        return G_SOURCE_REMOVE;
    }
    if (r->event_count) {
        start_stream(r);
        return G_SOURCE_REMOVE;
    }
    answer_text(r);
    Fw_Wire_EndRun(r);
    return G_SOURCE_REMOVE;
}

/* Claims the KV cache that the request names. Return: 0 if there is none. */
static int
claim_kv(const struct fw_http_head *h)
{
    char *from = Fw_Wire_CopyField(h, "Kv-Source");
    char *slash = strchr(from, '/');
    struct fw_wire_server *source = NULL;
    int ok = !from[0];

    if (slash) {
        *slash = 0;
        source = g_hash_table_lookup(Fw_Wire_ServersByAddr, from);
    }
    if (source) {
        Fw_Wire_SumLeases(source->kv_handles, Fw_Conn_NowUs());
        ok = g_hash_table_remove(source->kv_handles, slash + 1);
    }
    g_free(from);
    return ok;
}

static int64_t
claim_reservation(struct fw_wire_server *s, const struct fw_http_head *h)
{
    char *name = Fw_Wire_CopyField(h, "Kv-Hold");
    struct kv_lease *lease;
    int64_t tokens = -1;

    Fw_Wire_SumLeases(s->reservations, Fw_Conn_NowUs());
    lease = g_hash_table_lookup(s->reservations, name);
    if (lease) {
        tokens = lease->tokens;
        g_hash_table_remove(s->reservations, name);
    }
    g_free(name);
    return tokens;
}

static enum fw_wire_fault
take_fault(struct fw_wire_server *s)
{
    if (s->rejects_one_of && ++s->n_offered % s->rejects_one_of == 0) {
        return FW_WIRE_FAULT_FULL;
    }
    if (s->faults_left <= 0) {
        return FW_WIRE_FAULT_NONE;
    }
    s->faults_left--;
    s->fault_triggered = 1;
    return s->fault;
}

/* Return: KV tokens of the request, -1 to reject it for lack of capacity. */
static int64_t
admit(struct fw_wire_server *s, const struct fw_http_head *h,
      int64_t in_tokens, int64_t out_tokens, int prefill)
{
    int64_t tokens = prefill ? 0 : claim_reservation(s, h);

    if (!s->stage[0]) {
        return (int)g_list_length(s->runs) < s->opts.slots ? 0 : -1;
    }
    if (prefill) {
        return in_tokens;
    }
    if (tokens < 0) {
        tokens = in_tokens + out_tokens;
        if (Fw_WireServer_UsedKvTokens(s) + tokens > s->opts.kv_tokens) {
            return -1;
        }
    }
    return claim_kv(h) ? tokens : -1;
}

void
Fw_Wire_StartRun(struct fw_wire_server *s, struct fw_http_caller *c,
                 const struct fw_http_head *h)
{
    char *stage = Fw_Wire_CopyField(h, "Stage");
    char *counts = Fw_Wire_CopyField(h, "Token-Counts");
    char *comma = strchr(counts, ',');
    char *id = Fw_Wire_CopyField(h, "Request-Id");
    int64_t in_tokens = g_ascii_strtoll(counts, NULL, 10);
    int64_t out_tokens = comma ? g_ascii_strtoll(comma + 1, NULL, 10) : 0;
    int prefill = stage[0] != 0;
    enum fw_wire_fault fault = prefill ? FW_WIRE_FAULT_NONE : take_fault(s);
    int64_t tokens = -1;
    struct run *r;

    if (fault == FW_WIRE_FAULT_MOVED ||
        (s->stage[0] && prefill != (strcmp(s->stage, "prefill") == 0))) {
        Fw_Wire_RejectNotExecuted(s, c, h, 421);
    }
    else if (fault == FW_WIRE_FAULT_FULL ||
             Fw_Conn_NowUs() < s->role_switch_until_us ||
             (tokens = admit(s, h, in_tokens, out_tokens, prefill)) < 0) {
        Fw_Wire_RejectNotExecuted(s, c, h, 503);
    }
    else {
        int prefill_ms =
            s->stage[0] && (prefill || !Fw_Http_FindField(h, "Kv-Source"))
                ? (int)(in_tokens / s->opts.prefill_tokens_per_ms)
                : 1;

        r = g_new0(struct run, 1);
        r->server = s;
        r->caller = c;
        r->fault = fault;
        r->tokens = tokens;
        r->prefill = prefill;
        r->framing = next_framing(s);
        r->event_count = s->stage[0] && !prefill
                             ? (int)((out_tokens + FW_TOKENS_PER_EVENT - 1) /
                                     FW_TOKENS_PER_EVENT)
                             : 0;
        g_strlcpy(r->id, id, sizeof(r->id));
        s->active_tokens += tokens;
        s->started_count++;
        if (!prefill) {
            Fw_Wire_Notify(s, FW_WIRE_STARTED, h);
        }
        s->runs = g_list_prepend(s->runs, r);
        g_string_truncate(s->last_head, 0);
        g_string_append(s->last_head, h->raw);
        if (fault != FW_WIRE_FAULT_STALL) {
            r->timer =
                g_timeout_add((guint)MAX(prefill_ms, 1), start_response, r);
        }
    }
    g_free(stage);
    g_free(counts);
    g_free(id);
}
