#include "tests/io/rig.h"

#include <check.h>
#include <inttypes.h>
#include <string.h>

#include "io/addr.h"
#include "io/logger.h"

/* Fails a test that waits longer. */
#define FW_WAIT_TIMEOUT_S 10

static const char *last_waited_text;

static gboolean
on_wait_timeout(gpointer data)
{
    int *timed_out = data;

    *timed_out = 1;
    return G_SOURCE_CONTINUE;
}

void
Fw_Rig_RunUntil(int (*done)(void *), void *ctx)
{
    int timed_out = 0;
    guint timeout_source =
        g_timeout_add_seconds(FW_WAIT_TIMEOUT_S, on_wait_timeout, &timed_out);

    while (!done(ctx)) {
        ck_assert_msg(!timed_out, "timed out; received so far: %s",
                      last_waited_text ? last_waited_text : "");
        g_main_context_iteration(NULL, TRUE);
    }
    g_source_remove(timeout_source);
}

void
Fw_Rig_Settle(void)
{
    for (int i = 0; i < 50; i++) {
        while (g_main_context_iteration(NULL, FALSE)) {
        }
    }
}

static gboolean
on_readable(GSocket *sock, GIOCondition cond, gpointer data)
{
    struct rig_conn *c = data;
    char buf[4096];
    gssize n = g_socket_receive_with_blocking(sock, buf, sizeof(buf), FALSE,
                                              NULL, NULL);

    (void)cond;
    if (n > 0) {
        g_string_append_len(c->received, buf, n);
        return G_SOURCE_CONTINUE;
    }
    c->eof = 1;
    return G_SOURCE_REMOVE;
}

struct rig_conn *
Fw_RigConn_FromSocket(GSocket *sock)
{
    struct rig_conn *c = g_new0(struct rig_conn, 1);

    c->sock = g_object_ref(sock);
    c->received = g_string_new(NULL);
    c->source = g_socket_create_source(sock, G_IO_IN, NULL);
    g_source_set_callback(c->source, G_SOURCE_FUNC(on_readable), c, NULL);
    g_source_attach(c->source, NULL);
    return c;
}

struct rig_conn *
Fw_RigConn_Open(const char *url)
{
    GSocketAddress *addr =
        Fw_Addr_Parse(g_str_has_prefix(url, "http://") ? url + 7 : url);
    GSocket *sock = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, NULL);
    struct rig_conn *c;

    ck_assert(g_socket_connect(sock, addr, NULL, NULL));
    c = Fw_RigConn_FromSocket(sock);
    g_object_unref(sock);
    g_object_unref(addr);
    return c;
}

void
Fw_RigConn_Send(struct rig_conn *c, const char *data, gssize len)
{
    gsize left = len < 0 ? strlen(data) : (gsize)len;

    g_socket_set_blocking(c->sock, FALSE);
    while (left > 0) {
        gssize n = g_socket_send(c->sock, data, left, NULL, NULL);

        if (n < 0) {
            if (c->eof) {
                return; /* closed by the server while sending */
            }
            g_main_context_iteration(NULL, FALSE);
            continue;
        }
        data += n;
        left -= (gsize)n;
    }
}

/** struct text_wait - condition: @in contains @text. */
struct text_wait {
    const GString *in;
    const char *text;
};

static int
has_text(void *ctx)
{
    struct text_wait *w = ctx;

    last_waited_text = w->in->str; /* printed when the wait times out */
    return strstr(w->in->str, w->text) != NULL;
}

void
Fw_RigConn_Expect(struct rig_conn *c, const char *text)
{
    struct text_wait w = {.in = c->received, .text = text};

    Fw_Rig_RunUntil(has_text, &w);
    last_waited_text = NULL;
}

static int
is_eof(void *ctx)
{
    return ((struct rig_conn *)ctx)->eof;
}

void
Fw_RigConn_ExpectEof(struct rig_conn *c)
{
    Fw_Rig_RunUntil(is_eof, c);
}

void
Fw_RigConn_StopReading(struct rig_conn *c)
{
    g_source_destroy(c->source);
}

void
Fw_RigConn_Close(struct rig_conn *c)
{
    g_source_destroy(c->source);
    g_source_unref(c->source);
    g_socket_close(c->sock, NULL);
    g_object_unref(c->sock);
    g_string_free(c->received, TRUE);
    g_free(c);
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *io, GObject *source,
            gpointer data)
{
    struct rig_server *s = data;

    (void)service;
    (void)source;
    g_ptr_array_add(s->conns,
                    Fw_RigConn_FromSocket(g_socket_connection_get_socket(io)));
    return TRUE;
}

struct rig_server *
Fw_RigServer_New(void)
{
    struct rig_server *s = g_new0(struct rig_server, 1);
    GSocketAddress *address = Fw_Addr_Parse("127.0.0.1:0");
    GSocketAddress *got;
    char addr[FW_URL_MAX];

    s->service = g_socket_service_new();
    s->conns = g_ptr_array_new();
    ck_assert(g_socket_listener_add_address(
        G_SOCKET_LISTENER(s->service), address, G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, NULL, &got, NULL));
    Fw_Addr_Print(got, addr);
    g_snprintf(s->url, sizeof(s->url), "http://%s", addr);
    g_object_unref(got);
    g_object_unref(address);
    g_signal_connect(s->service, "incoming", G_CALLBACK(on_incoming), s);
    g_socket_service_start(s->service);
    return s;
}

/** struct conn_wait - condition: at least @n connections were accepted. */
struct conn_wait {
    struct rig_server *server;
    guint n;
};

static int
has_conns(void *ctx)
{
    struct conn_wait *c = ctx;

    return c->server->conns->len >= c->n;
}

struct rig_conn *
Fw_RigServer_Conn(struct rig_server *s, guint i)
{
    struct conn_wait c = {.server = s, .n = i + 1};

    Fw_Rig_RunUntil(has_conns, &c);
    return g_ptr_array_index(s->conns, i);
}

void
Fw_RigServer_Free(struct rig_server *s)
{
    g_socket_service_stop(s->service);
    g_socket_listener_close(G_SOCKET_LISTENER(s->service));
    g_object_unref(s->service);
    for (guint i = 0; i < s->conns->len; i++) {
        Fw_RigConn_Close(g_ptr_array_index(s->conns, i));
    }
    g_ptr_array_unref(s->conns);
    g_free(s);
}

static void
write_open(GString *out, const struct fw_call *call)
{
    static const char *const kinds[] = {"completion", "models", "service"};

    g_string_append_printf(out, "open %s key=%s", kinds[call->kind],
                           call->key ? call->key : "-");
    if (call->kind == FW_CALL_COMPLETION) {
        g_string_append_printf(
            out,
            " model=%s prompt=%.*s tokens=%" PRId64 " max=%" PRId64
            " stream=%d",
            call->model, (int)MIN(g_bytes_get_size(call->prompt), 60),
            (const char *)g_bytes_get_data(call->prompt, NULL),
            call->prompt_tokens, call->max_tokens, call->stream);
    }
    if (call->kind == FW_CALL_SERVICE) {
        g_string_append_printf(out, " %s %s%s idem=%s body=%zu", call->method,
                               call->service, call->path, call->idem_key,
                               g_bytes_get_size(call->body));
    }
    g_string_append_c(out, '\n');
}

static void
write_up(GString *out, const struct fw_up_event *up)
{
    static const char *const phases[] = {"piece", "done", "failed"};

    g_string_append_printf(out, "up %s ran=%s status=%d err=%s",
                           phases[up->phase], Fw_Ran_Name(up->ran), up->status,
                           up->err ? g_strerror(-up->err) : "0");
    if (up->phase == FW_UP_TOKEN) {
        g_string_append_printf(out, " %" PRId64 "=%s", up->u.token.index,
                               up->u.token.text);
    }
    g_string_append_c(out, '\n');
}

static void
write_event(GString *out, const struct fw_event *ev)
{
    switch (ev->kind) {
    case FW_EV_CALL_OPEN:
        write_open(out, &ev->u.open);
        break;
    case FW_EV_CALL_CLOSED:
        g_string_append(out, "closed\n");
        break;
    case FW_EV_UP:
        write_up(out, &ev->u.up);
        break;
    case FW_EV_PEER:
        g_string_append_printf(out, "peer %s boot=%" PRIu64 " area=%d\n",
                               ev->u.peer.from, ev->u.peer.boot,
                               (int)ev->u.peer.msg->area);
        break;
    case FW_EV_LOG_APPENDED:
        g_string_append_printf(out, "appended err=%d first=%" PRIu64 "\n",
                               ev->u.appended.err,
                               ev->u.appended.first_offset);
        break;
    case FW_EV_LOG_RECORDS:
        g_string_append_printf(
            out, "records err=%d n=%d %s\n", ev->u.records.err,
            ev->u.records.n, ev->u.records.n ? ev->u.records.records[0] : "");
        break;
    case FW_EV_REGISTRY:
        g_string_append_printf(
            out, "listed err=%d n=%d %s\n", ev->u.listed.err, ev->u.listed.n,
            ev->u.listed.n ? ev->u.listed.entries[0].name : "");
        break;
    case FW_EV_OPERATOR:
        g_string_append_printf(out, "operator %s %s key=%s\n",
                               ev->u.oper.method, ev->u.oper.path,
                               ev->u.oper.key ? ev->u.oper.key : "-");
        break;
    case FW_EV_DRAIN:
        g_string_append(out, "drain\n");
        break;
    case FW_EV_TICK:
        break;
    }
}

static int
step(void *ctx, const struct fw_event *ev, int64_t now_us,
     struct fw_actions *out)
{
    struct rig_core *core = ctx;

    (void)now_us;
    write_event(core->events, ev);
    if (ev->kind == FW_EV_CALL_OPEN) {
        core->last_call = ev->u.open.call;
    }
    else if (ev->kind == FW_EV_OPERATOR) {
        core->last_call = ev->u.oper.call;
    }
    if (core->react) {
        core->react(core, ev, out);
    }
    return 0;
}

void
Fw_RigCore_Init(struct rig_core *core)
{
    memset(core, 0, sizeof(*core));
    core->events = g_string_new(NULL);
    core->is_ready = 1;
    Fw_Metrics_Init(&core->metrics);
    Fw_Logger_Setup("one", fopen("/dev/null", "w"));
}

void
Fw_RigCore_Clear(struct rig_core *core)
{
    g_string_free(core->events, TRUE);
    Fw_Rig_Settle();
}

static void
record_event(void *ctx, const struct fw_event *ev)
{
    write_event(((struct rig_core *)ctx)->events, ev);
}

struct fw_sink
Fw_RigCore_Sink(struct rig_core *core)
{
    return (struct fw_sink){.ctx = core, .event = record_event};
}

static int
ready(const void *ctx)
{
    return ((const struct rig_core *)ctx)->is_ready;
}

void
Fw_Rig_Init(struct rig *rig)
{
    static const char secret[] = "0123456789abcdef";

    memset(rig, 0, sizeof(*rig));
    rig->platform = Fw_RigServer_New();
    Fw_RigCore_Init(&rig->core);
    rig->self = (struct fw_self){
        .name = "one", .boot = 7, .domain = "a", .region = "r"};
    rig->opts = (struct fw_shell_opts){
        .callers = "127.0.0.1:0",
        .operators = "127.0.0.1:0",
        .peers = "127.0.0.1:0",
        .secret = g_bytes_new_static(secret, 16),
        .api = {.prompt_tokens_max = 1000, .max_tokens_default = 16},
        .body_max = 10000,
        .header_max = 2000,
        .read_timeout_us = 20 * FW_SEC,
        .max_conns = 16,
        .max_conns_per_host = 16,
    };
    g_strlcpy(rig->opts.log_url, rig->platform->url, FW_URL_MAX);
    g_strlcpy(rig->opts.list_url, rig->platform->url, FW_URL_MAX);
}

void
Fw_Rig_Start(struct rig *rig)
{
    struct fw_core core = {.ctx = &rig->core,
                           .step = step,
                           .ready = ready,
                           .metrics = &rig->core.metrics};
    int err;

    rig->shell = Fw_Shell_New(&rig->opts, &rig->self, &err);
    ck_assert_ptr_nonnull(rig->shell);
    ck_assert_int_eq(Fw_Shell_Start(rig->shell, &core), 0);
}

void
Fw_Rig_Stop(struct rig *rig)
{
    Fw_Shell_Free(rig->shell);
    Fw_RigServer_Free(rig->platform);
    g_bytes_unref(rig->opts.secret);
    Fw_RigCore_Clear(&rig->core);
}

void
Fw_Rig_ExpectEvent(struct rig_core *core, const char *text)
{
    struct text_wait w = {.in = core->events, .text = text};

    Fw_Rig_RunUntil(has_text, &w);
    last_waited_text = NULL;
}
