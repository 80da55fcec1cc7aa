#include <errno.h>
#include <string.h>

#include "http/conn.h"
#include "io/http_priv.h"

/* How often timeouts are checked, per read timeout. */
#define FW_CHECKS_PER_READ_TIMEOUT 4

static void
add_metrics(struct fw_http *h)
{
    struct fw_metrics *m = h->opts.metrics;

    h->requests = (struct fw_metric){.name = "fw_http_requests_total",
                                     .help = "Requests read whole"};
    h->rejected = (struct fw_metric){
        .name = "fw_http_refused_total",
        .help = "Requests refused before the core saw them"};
    h->timeouts = (struct fw_metric){.name = "fw_http_read_timeouts_total",
                                     .help = "Requests that came too slowly"};
    h->disconnected = (struct fw_metric){
        .name = "fw_http_callers_gone_total",
        .help = "Callers that closed before their answer was whole"};
    h->slow_readers = (struct fw_metric){
        .name = "fw_http_slow_readers_total",
        .help = "Callers cut off since they did not read their answer"};
    h->open_calls = (struct fw_metric){.name = "fw_http_calls_open",
                                       .help = "Requests that the core has",
                                       .is_gauge = 1};
    Fw_Metrics_Add(m, &h->requests);
    Fw_Metrics_Add(m, &h->rejected);
    Fw_Metrics_Add(m, &h->timeouts);
    Fw_Metrics_Add(m, &h->disconnected);
    Fw_Metrics_Add(m, &h->slow_readers);
    Fw_Metrics_Add(m, &h->open_calls);
}

static void
check_timeouts(const struct fw_http_listener *p)
{
    if (p->server) {
        Fw_Server_Tick(p->server, Fw_Conn_NowUs());
    }
}

static gboolean
on_tick(gpointer data)
{
    struct fw_http *h = data;

    for (int i = 0; i < FW_PORT_COUNT; i++) {
        check_timeouts(&h->ports[i]);
    }
    return G_SOURCE_CONTINUE;
}

struct fw_http *
Fw_Http_New(const struct fw_http_opts *opts)
{
    struct fw_http *h = g_new0(struct fw_http, 1);
    int64_t tick = opts->read_timeout_us / FW_CHECKS_PER_READ_TIMEOUT;

    h->opts = *opts;
    h->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    h->by_caller = g_hash_table_new(NULL, NULL);
    h->timeout_source = g_timeout_add(
        (guint)(CLAMP(tick, 10 * FW_MSEC, FW_SEC) / FW_MSEC), on_tick, h);
    add_metrics(h);
    return h;
}

static void
on_request(void *ctx, struct fw_http_caller *caller,
           const struct fw_http_head *head, GBytes *body)
{
    const struct fw_http_listener *p = ctx;
    struct fw_http_req req = {
        .http = p->http, .caller = caller, .head = head, .body = body};

    p->http->requests.value++;
    if (p->port == FW_PORT_CALLERS) {
        Fw_HttpCallers_Handle(&req);
    }
    else {
        Fw_HttpOperators_Handle(&req);
    }
}

static void
on_disconnected(void *ctx, struct fw_http_caller *caller)
{
    const struct fw_http_listener *p = ctx;
    struct fw_http_call *call =
        g_hash_table_lookup(p->http->by_caller, caller);

    if (call) {
        Fw_HttpCall_ReportDisconnect(call);
    }
}

static void
on_rejected(void *ctx, int status, const char *reason)
{
    const struct fw_http_listener *p = ctx;

    (void)reason;
    p->http->rejected.value++;
    if (status == 408) {
        p->http->timeouts.value++;
    }
}

static const struct fw_http_ops ops = {
    .request = on_request,
    .disconnected = on_disconnected,
    .rejected = on_rejected,
    .format_rejection = Fw_HttpReply_FormatRejection,
};

int
Fw_Http_Listen(struct fw_http *h, enum fw_http_port port, const char *addr,
               char *url)
{
    struct fw_http_limits l = {
        .header_bytes = h->opts.header_max,
        .body_bytes = h->opts.body_max,
        .buffered_bytes = SIZE_MAX,
        .head_timeout_us = h->opts.read_timeout_us,
        .body_idle_timeout_us = h->opts.read_timeout_us,
        .request_timeout_us = h->opts.read_timeout_us,
        .keep_alive_timeout_us = FW_KEEPALIVE_TIMEOUT_US,
        .write_stall_timeout_us = FW_WRITE_STALL_TIMEOUT_US,
    };
    struct fw_http_listener *p = &h->ports[port];
    int err = 0;

    p->http = h;
    p->port = port;
    p->server = Fw_Server_New(addr, &ops, p, &err);
    if (!p->server) {
        return err;
    }
    Fw_Server_SetLimits(p->server, &l);
    Fw_Server_Url(p->server, url);
    return 0;
}

int
Fw_Http_HasPendingResponses(const struct fw_http *h)
{
    int n = 0;

    for (int i = 0; i < FW_PORT_COUNT; i++) {
        n += h->ports[i].server ? Fw_Server_CountBusy(h->ports[i].server) : 0;
    }
    return n > 0;
}

void
Fw_Http_Free(struct fw_http *h)
{
    GList *calls = g_hash_table_get_values(h->calls);

    for (GList *c = calls; c; c = c->next) {
        Fw_HttpCall_Free(c->data);
    }
    g_list_free(calls);
    g_source_remove(h->timeout_source);
    for (int i = 0; i < FW_PORT_COUNT; i++) {
        Fw_Server_Free(h->ports[i].server);
    }
    g_hash_table_unref(h->calls);
    g_hash_table_unref(h->by_caller);
    g_free(h);
}
