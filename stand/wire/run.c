/* Requests that a server runs: prompts read, streams, plain answers. */
#include <inttypes.h>
#include <string.h>

#include "http/conn.h"
#include "stand/wire/internal.h"

void
Fw_Wire_RunEnd(struct run *r)
{
    r->server->used -= r->tokens;
    r->server->runs = g_list_remove(r->server->runs, r);
    if (r->timer) {
        g_source_remove(r->timer);
    }
    g_free(r);
}

void
Fw_Wire_NotRun(struct fw_http_caller *c, int status)
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
        Fw_Wire_RunEnd(r);
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
    Fw_Wire_RunEnd(r);
    return G_SOURCE_REMOVE;
}

static void
end_prefill(struct run *r)
{
    struct fw_wire_server *s = r->server;
    char *fields = answer_fields(r, "application/json");
    char *name = Fw_Wire_Keep(s, s->handles, r->tokens, s->opts.handle_ms);
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
        Fw_Wire_RunEnd(r);
        return G_SOURCE_REMOVE;
    }
    if (r->prefill) {
        end_prefill(r);
        Fw_Wire_RunEnd(r);
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
    Fw_Wire_RunEnd(r);
    return G_SOURCE_REMOVE;
}

/* Takes the KV cache that the request names; 0 when it can't be had. */
static int
take_kv(const struct fw_http_head *h)
{
    char *from = Fw_Wire_Field(h, "Kv-Source");
    char *slash = strchr(from, '/');
    struct fw_wire_server *e = NULL;
    int ok = !from[0];

    if (slash) {
        *slash = 0;
        e = g_hash_table_lookup(Fw_Wire_Engines, from);
    }
    if (e) {
        Fw_Wire_SumOf(e->handles, Fw_Conn_Now());
        ok = g_hash_table_remove(e->handles, slash + 1);
    }
    g_free(from);
    return ok;
}

static int64_t
take_hold(struct fw_wire_server *s, const struct fw_http_head *h)
{
    char *name = Fw_Wire_Field(h, "Kv-Hold");
    struct held *k;
    int64_t tokens = -1;

    Fw_Wire_SumOf(s->holds, Fw_Conn_Now());
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

void
Fw_Wire_Begin(struct fw_wire_server *s, struct fw_http_caller *c,
              const struct fw_http_head *h)
{
    char *stage = Fw_Wire_Field(h, "Stage");
    char *counts = Fw_Wire_Field(h, "Token-Counts");
    char *comma = strchr(counts, ',');
    char *id = Fw_Wire_Field(h, "Request-Id");
    int64_t in_tokens = g_ascii_strtoll(counts, NULL, 10);
    int64_t out_tokens = comma ? g_ascii_strtoll(comma + 1, NULL, 10) : 0;
    int prefill = stage[0] != 0;
    enum fw_wire_fault fault = prefill ? FW_WIRE_OK : next_fault(s);
    int64_t tokens = -1;
    struct run *r;

    if (fault == FW_WIRE_MOVED ||
        (s->stage[0] && prefill != (strcmp(s->stage, "prefill") == 0))) {
        Fw_Wire_NotRun(c, 421);
    }
    else if (fault == FW_WIRE_FULL || Fw_Conn_Now() < s->switch_us ||
             (tokens = find_room(s, h, in_tokens, out_tokens, prefill)) < 0) {
        Fw_Wire_NotRun(c, 503);
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
