#include "relayd/relayd.h"
#include "base/fault.h"

#include <errno.h>
#include <glib-unix.h>
#include <glib/gstdio.h>
#include <string.h>

#include "http/conn.h"
#include "io/logger.h"
#include "relayd/relayd_internal.h"

/* Part of the grace period that is reserved for exiting. */
#define FW_EXIT_MARGIN_US (250 * FW_MSEC)
/* A longer time between two ticks is logged. */
#define FW_LOOP_STALL_US (500 * FW_MSEC)
/* Interval of checks for a changed settings file. */
#define FW_SETTINGS_CHECK_US (1 * FW_SEC)
/* Idle timeout of connections to this instance. */
#define FW_IDLE_DEFAULT_US (15 * FW_SEC)

void
Fw_Relayd_OpenRequest(struct fw_relayd *d, struct fw_http_caller *caller,
                      const struct fw_http_head *head, GBytes *body,
                      int is_handed_over)
{
    int64_t now = Fw_Conn_NowUs();
    struct fw_caller_request *c;
    struct fw_rl_actions acts;
    struct fw_rl_request_info info;

    if (Fw_Platform_ParseRequest(head, body, &info)) {
        Fw_Logger_Log(LOG_WARNING, "request_unreadable", NULL);
        Fw_Caller_Respond(caller, 400, "Content-Type: text/plain\r\n",
                          "a field of the request can't be read\n");
        return;
    }
    info.is_handed_over = is_handed_over;
    c = g_new0(struct fw_caller_request, 1);
    c->id = ++d->last_request_id;
    c->caller = caller;
    c->head = head;
    c->body = body;
    c->request_id = g_strdup(info.id);
    g_hash_table_insert(d->requests_by_caller, caller, c);
    g_hash_table_insert(d->requests_by_id, &c->id, c);
    /*
     * The load balancer opens no connections to an instance that is not ready,
     * but keeps those that are open. Closing them after the response moves
     * their callers to another instance.
     */
    Fw_Server_SetCloseAfterResponse(d->caller_server,
                                    Fw_Relay_ShedsConnections(d->relay, now));
    Fw_RelayActions_Init(&acts);
    Fw_Relay_Open(d->relay, c->id, &info, now, &acts);
    Fw_Platform_ClearRequest(&info);
    Fw_Relayd_ExecuteActions(d, &acts);
}

static void
on_request(void *ctx, struct fw_http_caller *caller,
           const struct fw_http_head *head, GBytes *body)
{
    Fw_Relayd_OpenRequest(ctx, caller, head, body, 0);
}

void
Fw_Relayd_CloseRequest(void *ctx, struct fw_http_caller *caller)
{
    struct fw_relayd *d = ctx;
    struct fw_caller_request *c =
        g_hash_table_lookup(d->requests_by_caller, caller);
    struct fw_rl_actions acts;
    uint64_t call;

    if (!c) {
        return;
    }
    call = c->id;
    g_hash_table_remove(d->requests_by_caller, caller);
    g_hash_table_remove(d->requests_by_id, &call);
    Fw_RelayActions_Init(&acts);
    Fw_Relay_CallerLeft(d->relay, call, Fw_Conn_NowUs(), &acts);
    Fw_Relayd_ExecuteActions(d, &acts);
}

void
Fw_Relayd_LogMalformed(void *ctx, int status, const char *why)
{
    char text[16];

    if (status == 503 && !Fw_Memory_MayLogRejection(ctx)) {
        return;
    }
    g_snprintf(text, sizeof(text), "%d", status);
    Fw_Logger_Log(LOG_WARNING, "request_malformed", "status", text, "why", why,
                  NULL);
}

static void
free_request(gpointer data)
{
    struct fw_caller_request *c = data;

    g_free(c->request_id);
    g_free(c);
}

static const struct fw_http_ops caller_ops = {
    .request = on_request,
    .disconnected = Fw_Relayd_CloseRequest,
    .rejected = Fw_Relayd_LogMalformed,
    .format_rejection = Fw_Relayd_FormatRejection,
    .flushed = Fw_Relayd_ResumeResponse,
    .progress = Fw_Relayd_ContinueResponse,
};

static void
apply_limits(struct fw_relayd *d)
{
    const struct fw_rl_rules *r = Fw_Relay_CurrentRules(d->relay);
    struct fw_http_limits l = {
        .header_bytes = 16384,
        .body_bytes = 4 << 20,
        .buffered_bytes = 24 << 20,
        .head_timeout_us = 3 * FW_SEC,
        .body_idle_timeout_us = 15 * FW_SEC,
        .keep_alive_timeout_us = FW_IDLE_DEFAULT_US,
        .write_stall_timeout_us = 15 * FW_SEC,
    };

    if (!r) {
        return;
    }
    if (d->opts.memory_bytes) {
        l.buffered_bytes = SIZE_MAX; /* bounded by the budget */
    }
    l.header_bytes =
        r->header_bytes > 0 ? (size_t)r->header_bytes : l.header_bytes;
    l.body_bytes = r->body_bytes > 0 ? (size_t)r->body_bytes : l.body_bytes;
    l.head_timeout_us = r->header_us > 0 ? r->header_us : l.head_timeout_us;
    l.body_idle_timeout_us =
        r->idle_us > 0 ? r->idle_us : l.body_idle_timeout_us;
    l.keep_alive_timeout_us =
        r->idle_us > 0 ? r->idle_us : l.keep_alive_timeout_us;
    Fw_Server_SetLimits(d->caller_server, &l);
    /* The operator bounds how long callers may be idle, not instances. */
    l.keep_alive_timeout_us = FW_IDLE_DEFAULT_US;
    Fw_Server_SetLimits(d->peer_server, &l);
}

static int64_t
settings_mtime_us(const char *path)
{
    GStatBuf st;

    if (!path || g_stat(path, &st)) {
        return 0;
    }
    return st.st_mtim.tv_sec * FW_SEC + st.st_mtim.tv_nsec / 1000;
}

/* Listen addresses stay: they are bound already. */
static void
apply_settings(struct fw_relayd *d, const struct fw_relayd_opts *o)
{
    d->opts.relay = o->relay;
    d->opts.config_wait_us = o->config_wait_us;
    d->opts.servers_interval_us = o->servers_interval_us;
    d->opts.memory_bytes = o->memory_bytes;
    d->opts.descriptors = o->descriptors;
    d->opts.server_request_bytes = o->server_request_bytes;
    Fw_Memory_ApplySettings(d);
    g_strlcpy(d->opts.store_addr, o->store_addr, sizeof(d->opts.store_addr));
    Fw_Relay_SetOpts(d->relay, &d->opts.relay);
}

void
Fw_Relayd_Reload(struct fw_relayd *d)
{
    struct fw_relayd_opts o;
    char *error = NULL;

    d->settings_mtime_us = settings_mtime_us(d->settings_path);
    if (Fw_Relayd_LoadSettings(d->settings_path, &o, &error)) {
        Fw_Logger_Log(LOG_ERR, "settings_rejected", "error", error, NULL);
        g_free(error);
        return;
    }
    o.relay.boot = d->opts.relay.boot;
    o.relay.seed = d->opts.relay.seed;
    apply_settings(d, &o);
    Fw_Logger_Log(LOG_NOTICE, "settings_reloaded", NULL);
}

static gboolean
on_sighup(gpointer data)
{
    Fw_Relayd_Reload(data);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_sigterm(gpointer data)
{
    Fw_Relayd_Drain(data);
    return G_SOURCE_CONTINUE;
}

void
Fw_Relayd_Drain(struct fw_relayd *d)
{
    struct fw_rl_actions acts;

    if (d->drain_start_us) {
        return;
    }
    d->drain_start_us = Fw_Conn_NowUs();
    Fw_Server_Drain(d->caller_server);
    Fw_Server_Drain(d->peer_server);
    Fw_RelayActions_Init(&acts);
    Fw_Relay_Drain(d->relay, d->drain_start_us, &acts);
    Fw_Relayd_ExecuteActions(d, &acts);
}

/*
 * A caller whose connection ends without an answer can't know whether its
 * request was read.
 */
static void
answer_open_requests(struct fw_relayd *d, int64_t now)
{
    struct fw_rl_actions acts;

    Fw_RelayActions_Init(&acts);
    Fw_Relay_EndRequests(d->relay, now, &acts);
    Fw_Relayd_ExecuteActions(d, &acts);
}

static int
is_busy(const struct fw_relayd *d)
{
    return Fw_Server_CountBusy(d->caller_server) ||
           Fw_Server_CountBusy(d->peer_server);
}

static void
check_stopped(struct fw_relayd *d, int64_t now)
{
    int64_t grace_us = d->opts.relay.grace_us;
    int64_t past = now - d->drain_start_us;

    if (d->drain_start_us && FW_FAULT("stop-at-once")) {
        d->stopped = 1;
    }
    if (!d->drain_start_us || past < FW_RL_STOP_NOTICED_US) {
        return;
    }
    Fw_Server_CloseIdle(d->caller_server);
    if (past >= grace_us - FW_RL_ANSWER_MARGIN_US) {
        answer_open_requests(d, now);
    }
    if (!is_busy(d) || past >= grace_us - FW_EXIT_MARGIN_US) {
        d->stopped = 1;
        g_main_context_wakeup(NULL);
    }
}

static void
check_settings(struct fw_relayd *d, int64_t now)
{
    if (!d->settings_path ||
        now - d->settings_checked_us < FW_SETTINGS_CHECK_US) {
        return;
    }
    d->settings_checked_us = now;
    if (settings_mtime_us(d->settings_path) != d->settings_mtime_us) {
        Fw_Relayd_Reload(d);
    }
}

/*
 * Logs a tick that comes late because the host was suspended or the loop
 * blocked. It explains timeouts and lost leases in the log.
 */
static void
log_loop_stall(struct fw_relayd *d, int64_t now)
{
    int64_t gap = d->last_tick_us ? now - d->last_tick_us : 0;
    char ms[24];

    d->last_tick_us = now;
    if (gap > FW_LOOP_STALL_US) {
        g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
                   (gint64)(gap / FW_MSEC));
        Fw_Logger_Log(LOG_WARNING, "stood_still", "ms", ms, NULL);
    }
}

static gboolean
on_timer(gpointer data)
{
    struct fw_relayd *d = data;
    int64_t now = Fw_Conn_NowUs();
    struct fw_rl_actions acts;

    log_loop_stall(d, now);

    Fw_RelayActions_Init(&acts);
    Fw_Relay_Tick(d->relay, now, &acts);
    Fw_Relayd_ExecuteActions(d, &acts);
    Fw_ConnPool_Tick(d->pool, now);
    Fw_Server_Tick(d->caller_server, now);
    Fw_Server_Tick(d->ready_server, now);
    Fw_Server_Tick(d->metrics_server, now);
    Fw_Server_Tick(d->peer_server, now);
    Fw_StoreClient_Tick(d->store, now);
    Fw_Memory_Tick(d, now);
    apply_limits(d);
    check_settings(d, now);
    check_stopped(d, now);
    Fw_Logger_Flush();
    g_source_set_ready_time(d->timer, g_get_monotonic_time() +
                                          Fw_Relay_NextTickUs(d->relay, now) -
                                          now);
    return G_SOURCE_CONTINUE;
}

static gboolean
dispatch_timer(GSource *source, GSourceFunc fn, gpointer data)
{
    (void)source;
    return fn(data);
}

static GSourceFuncs timer_funcs = {.dispatch = dispatch_timer};

static int
listen_all(struct fw_relayd *d)
{
    int err = 0;

    d->caller_server =
        Fw_Server_New(d->opts.callers_addr, &caller_ops, d, &err);
    if (!d->caller_server) {
        return err;
    }
    Fw_Server_SetHeld(d->caller_server, d->held, 1);
    err = Fw_Status_Listen(d);
    err = err ? err : Fw_PeerSocket_Open(d);
    return err ? err : Fw_PeerSnapshot_Listen(d);
}

static void
start(struct fw_relayd *d)
{
    char callers[FW_URL_MAX];
    char ready[FW_URL_MAX];
    char metrics[FW_URL_MAX];

    d->timer = g_source_new(&timer_funcs, sizeof(GSource));
    g_source_set_callback(d->timer, on_timer, d, NULL);
    g_source_set_ready_time(d->timer, 0);
    g_source_attach(d->timer, NULL);
    Fw_Server_Url(d->caller_server, callers);
    Fw_Server_Url(d->ready_server, ready);
    Fw_Server_Url(d->metrics_server, metrics);
    Fw_Logger_Log(LOG_NOTICE, "started", "version", "0.2", "callers", callers,
                  "ready", ready, "metrics", metrics, "store",
                  d->opts.store_addr, NULL);
}

struct fw_relayd *
Fw_Relayd_New(const struct fw_relayd_opts *opts, const char *settings_path,
              int *err)
{
    struct fw_relayd *d = g_new0(struct fw_relayd, 1);

    d->opts = *opts;
    d->settings_path = g_strdup(settings_path);
    d->settings_mtime_us = settings_mtime_us(settings_path);
    d->relay = Fw_Relay_New(&d->opts.relay, Fw_Conn_NowUs());
    Fw_Memory_Init(d);
    d->pool = Fw_ConnPool_New();
    Fw_ConnPool_SetHeld(d->pool, d->held);
    Fw_ConnPool_AddMetrics(d->pool, Fw_Relay_Metrics(d->relay));
    Fw_Logger_AddMetrics(Fw_Relay_Metrics(d->relay));
    Fw_UpstreamCall_AddMetrics(d);
    d->requests_by_caller = g_hash_table_new(NULL, NULL);
    d->requests_by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    d->upstream_calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                              NULL, Fw_UpstreamCall_Free);
    g_queue_init(&d->failed_calls);
    d->store = Fw_StoreClient_New(d);
    *err = listen_all(d);
    if (*err) {
        Fw_Relayd_Free(d);
        return NULL;
    }
    start(d);
    return d;
}

void
Fw_Relayd_Run(struct fw_relayd *d)
{
    d->signals[0] = g_unix_signal_add(SIGTERM, on_sigterm, d);
    d->signals[1] = g_unix_signal_add(SIGINT, on_sigterm, d);
    d->signals[2] = g_unix_signal_add(SIGHUP, on_sighup, d);
    while (!d->stopped) {
        g_main_context_iteration(NULL, TRUE);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(d->signals); i++) {
        g_source_remove(d->signals[i]);
    }
    Fw_Logger_Log(LOG_NOTICE, "stopped", NULL);
    Fw_Logger_Flush();
}

int
Fw_Relayd_IsStopped(const struct fw_relayd *d)
{
    return d->stopped;
}

int
Fw_Relayd_IsReady(const struct fw_relayd *d)
{
    return Fw_Relay_IsReady(d->relay, Fw_Conn_NowUs());
}

int
Fw_Relayd_IsServerUsable(const struct fw_relayd *d, const char *id)
{
    return Fw_Relay_IsServerUsable(d->relay, id, Fw_Conn_NowUs());
}

int
Fw_Relayd_CallersPort(const struct fw_relayd *d)
{
    return Fw_Server_Port(d->caller_server);
}

void
Fw_Relayd_Free(struct fw_relayd *d)
{
    if (d->timer) {
        g_source_destroy(d->timer);
        g_source_unref(d->timer);
    }
    Fw_StoreClient_Free(d->store);
    Fw_PeerSocket_Close(d);
    g_hash_table_destroy(d->upstream_calls);
    Fw_Server_Free(d->caller_server);
    Fw_Server_Free(d->ready_server);
    Fw_Server_Free(d->metrics_server);
    Fw_Server_Free(d->peer_server);
    g_hash_table_destroy(d->requests_by_caller);
    g_hash_table_destroy(d->requests_by_id);
    Fw_ConnPool_Free(d->pool);
    Fw_Memory_Free(d);
    Fw_Relay_Free(d->relay);
    g_free(d->settings_path);
    g_free(d);
}
