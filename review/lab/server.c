/* Plain servers of the laboratory. */
#include <string.h>

#include "review/lab/lab.h"

#define HEARTBEAT_MS 1200

/** struct run - a request in progress. */
struct run {
    struct lab_server *server;
    struct fw_http_caller *caller;
    guint timer;
    int next;
    int pieces;
    int first_ms;
    char id[64];
};

struct lab_server {
    struct lab_server_opts opts;
    struct fw_http_server *http;
    lab_run_fn *on_run;
    GList *runs;
    guint heartbeat;
    int sequence;
    int64_t removed_ms;
};

static void
end_run(struct run *r)
{
    r->server->runs = g_list_remove(r->server->runs, r);
    if (r->timer) {
        g_source_remove(r->timer);
    }
    g_free(r);
}

static char *
field(const struct fw_http_head *h, const char *name)
{
    const struct fw_http_field *f = Fw_Http_FindField(h, name);

    return f ? g_strndup(f->value, f->value_len) : g_strdup("");
}

static gboolean
send_piece(gpointer data)
{
    struct run *r = data;
    const struct lab_server_opts *o = &r->server->opts;
    g_autofree char *piece = g_strnfill((gsize)o->piece_bytes, 'x');
    g_autofree char *event =
        g_strdup_printf("id: %d\ndata: %s\n\n", r->next, piece);

    if (r->next < r->pieces) {
        Fw_Caller_Data(r->caller, o->is_stream ? event : piece,
                       strlen(o->is_stream ? event : piece));
        r->next++;
        if (r->next < r->pieces) {
            if (r->next == 1) {
                r->timer = g_timeout_add((guint)o->gap_ms, send_piece, r);
                return G_SOURCE_REMOVE;
            }
            return G_SOURCE_CONTINUE;
        }
    }
    Lab_Note("%s has answered %s in full", o->id, r->id);
    r->timer = 0;
    Fw_Caller_End(r->caller);
    end_run(r);
    return G_SOURCE_REMOVE;
}

static gboolean
send_head(gpointer data)
{
    struct run *r = data;
    const struct lab_server_opts *o = &r->server->opts;
    g_autofree char *fields = g_strdup_printf(
        "Request-Id: %s\r\nServer-Stamp: %s.1\r\nContent-Type: %s\r\n", r->id,
        o->id,
        o->is_stream ? "text/event-stream" : "application/octet-stream");

    Fw_Caller_Start(r->caller, 200, fields,
                    o->is_stream ? -1 : (int64_t)r->pieces * o->piece_bytes);
    r->timer = g_timeout_add((guint)r->first_ms, send_piece, r);
    return G_SOURCE_REMOVE;
}

static void
reject(struct lab_server *s, struct fw_http_caller *c,
       const struct fw_http_head *h, int status)
{
    g_autofree char *id = field(h, "Request-Id");
    g_autofree char *fields =
        g_strdup_printf("Request-Id: %s\r\nNot-Executed: 1\r\n"
                        "Instance-Id: %s\r\n",
                        id, s->opts.id);

    Fw_Caller_Respond(c, status, fields, "");
}

/* What a caller asks of the stand-in in the query of its request. */
static int64_t
query_number(const struct fw_http_head *h, const char *name, int64_t fallback)
{
    g_autofree char *target = g_strndup(h->target, h->target_len);
    const char *at = strstr(target, name);

    return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : fallback;
}

static int
is_health(const struct fw_http_head *h)
{
    return h->target_len == 7 && memcmp(h->target, "/health", 7) == 0;
}

static void
on_request(void *ctx, struct fw_http_caller *c, const struct fw_http_head *h,
           GBytes *body)
{
    struct lab_server *s = ctx;
    g_autofree char *wanted = field(h, "Expect-Instance");
    g_autofree char *id = field(h, "Request-Id");
    struct run *r;

    (void)body;
    if (wanted[0] && strcmp(wanted, s->opts.id) != 0) {
        reject(s, c, h, 421);
        return;
    }
    if (is_health(h)) {
        g_autofree char *fields =
            g_strdup_printf("Instance-Id: %s\r\n", s->opts.id);

        Fw_Caller_Respond(c, 200, fields, "");
        return;
    }
    if ((int)g_list_length(s->runs) >= s->opts.slots) {
        reject(s, c, h, 503);
        return;
    }
    r = g_new0(struct run, 1);
    r->server = s;
    r->caller = c;
    g_strlcpy(r->id, id, sizeof(r->id));
    s->runs = g_list_prepend(s->runs, r);
    r->pieces = (int)query_number(h, "events=", s->opts.pieces);
    r->first_ms = (int)query_number(h, "first-event-ms=", s->opts.gap_ms);
    r->timer = g_timeout_add((guint)s->opts.head_ms, send_head, r);
    s->on_run(s, r->id);
}

static void
on_disconnect(void *ctx, struct fw_http_caller *c)
{
    struct lab_server *s = ctx;

    for (GList *l = s->runs; l; l = l->next) {
        struct run *r = l->data;

        if (r->caller == c) {
            Lab_Note("%s: the connection of %s was closed during its run",
                     s->opts.id, r->id);
            end_run(r);
            return;
        }
    }
}

static void
on_rejected(void *ctx, int status, const char *why)
{
    (void)ctx;
    Lab_Note("a server can't read a request: %d %s", status, why);
}

static const struct fw_http_ops ops = {.request = on_request,
                                       .disconnected = on_disconnect,
                                       .rejected = on_rejected};

struct lab_server *
Lab_Server_New(const struct lab_server_opts *opts, lab_run_fn *on_run)
{
    struct lab_server *s = g_new0(struct lab_server, 1);
    int err;

    s->opts = *opts;
    s->on_run = on_run;
    s->http = Fw_Server_New("127.0.0.1:0", &ops, s, &err);
    g_assert(s->http);
    return s;
}

static gboolean
write_entry(gpointer data)
{
    struct lab_server *s = data;
    g_autofree char *entry = g_strdup_printf(
        "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"%s\","
        "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"ready\","
        "\"ColdRemainingMs\":0,\"Sequence\":%d}",
        s->opts.service, Fw_Server_Port(s->http), s->opts.zone, s->opts.slots,
        ++s->sequence);

    Lab_Put("keyed.servers", s->opts.id, entry);
    return G_SOURCE_CONTINUE;
}

static gboolean
begin_heartbeats(gpointer data)
{
    struct lab_server *s = data;

    write_entry(s);
    s->heartbeat = g_timeout_add(HEARTBEAT_MS, write_entry, s);
    return G_SOURCE_REMOVE;
}

void
Lab_Server_Register(struct lab_server *s)
{
    write_entry(s);
    s->heartbeat = g_timeout_add((guint)g_random_int_range(1, HEARTBEAT_MS),
                                 begin_heartbeats, s);
    Lab_Note("%s enters itself in the store", s->opts.id);
}

void
Lab_Server_Unregister(struct lab_server *s)
{
    if (s->heartbeat) {
        g_source_remove(s->heartbeat);
    }
    Lab_Put("keyed.servers", s->opts.id, NULL);
    s->removed_ms = Lab_NowMs();
    Lab_Note("the entry of %s is removed%s", s->opts.id,
             s->http ? "; it goes on serving" : "");
}

void
Lab_Server_Stop(struct lab_server *s)
{
    while (s->runs) {
        end_run(s->runs->data);
    }
    Fw_Server_Free(s->http);
    s->http = NULL;
    Lab_Note("%s has ended", s->opts.id);
}

void
Lab_Server_Crash(struct lab_server *s)
{
    while (s->runs) {
        struct run *r = s->runs->data;

        Fw_Caller_Abort(r->caller);
        end_run(r);
    }
    Fw_Server_Free(s->http);
    s->http = NULL;
    g_source_remove(s->heartbeat);
    s->heartbeat = 0;
    Lab_Note("%s has crashed", s->opts.id);
}

int
Lab_Server_CountRuns(const struct lab_server *s)
{
    return (int)g_list_length(s->runs);
}

const struct lab_server_opts *
Lab_Server_Opts(const struct lab_server *s)
{
    return &s->opts;
}

int64_t
Lab_Server_RemovedMs(const struct lab_server *s)
{
    return s->removed_ms;
}
