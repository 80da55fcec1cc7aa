#include "relayd/relayd.h"

#include <errno.h>
#include <glib-unix.h>
#include <glib/gstdio.h>
#include <string.h>

#include "http/conn.h"
#include "io/note.h"
#include "relayd/relayd_internal.h"

/*
 * After SIGTERM the balancer goes on for up to two missed checks of a second
 * each; a process that ends sooner refuses connections meanwhile.
 */
#define FW_LEAVE_US (2500 * FW_MSEC)
/* Kept of the grace period, for the end itself. */
#define FW_GRACE_MARGIN_US (400 * FW_MSEC)
/* Ticks come every 100 ms at the latest; a longer pause than this is told. */
#define FW_PAUSE_US (500 * FW_MSEC)
/* The settings file may change without a signal: looked at so often. */
#define FW_SETTINGS_EVERY_US (1 * FW_SEC)

static void
on_request(void *ctx, struct fw_http_caller *caller,
           const struct fw_http_head *head, GBytes *body)
{
    struct fw_relayd *d = ctx;
    int64_t now = Fw_Conn_Now();
    struct fw_caller_rec *c;
    struct fw_rl_actions acts;
    struct fw_rl_request_info ask;

    if (Fw_Platform_ReadAsk(head, body, &ask)) {
        Fw_Note_Log(LOG_WARNING, "request_unreadable", NULL);
        Fw_Caller_Answer(caller, 400, "Content-Type: text/plain\r\n",
                         "a field of the request can't be read\n");
        return;
    }
    c = g_new0(struct fw_caller_rec, 1);
    c->id = ++d->last_call;
    c->caller = caller;
    c->head = head;
    c->body = body;
    g_strlcpy(c->request_id, ask.id, sizeof(c->request_id));
    g_hash_table_insert(d->by_caller, caller, c);
    g_hash_table_insert(d->by_call, &c->id, c);
    /*
     * The balancer sends no new connections to an instance that isn't ready,
     * but those that are open stay: their callers would be refused again and
     * again.
     */
    Fw_Server_SendAway(d->callers, Fw_Relay_ShedsConnections(d->relay, now));
    Fw_RelayActions_Init(&acts);
    Fw_Relay_Open(d->relay, c->id, &ask, now, &acts);
    Fw_Relayd_CarryOut(d, &acts);
}

static void
on_gone(void *ctx, struct fw_http_caller *caller)
{
    struct fw_relayd *d = ctx;
    struct fw_caller_rec *c = g_hash_table_lookup(d->by_caller, caller);
    struct fw_rl_actions acts;
    uint64_t call;

    if (!c) {
        return;
    }
    call = c->id;
    g_hash_table_remove(d->by_caller, caller);
    g_hash_table_remove(d->by_call, &call);
    Fw_RelayActions_Init(&acts);
    Fw_Relay_CallerLeft(d->relay, call, Fw_Conn_Now(), &acts);
    Fw_Relayd_CarryOut(d, &acts);
}

void
Fw_Relayd_Malformed(void *ctx, int status, const char *why)
{
    char text[16];

    (void)ctx;
    g_snprintf(text, sizeof(text), "%d", status);
    Fw_Note_Log(LOG_WARNING, "request_malformed", "status", text, "why", why,
                NULL);
}

/* The slow caller has taken what it had waiting. */
static void
on_drained(void *ctx, struct fw_http_caller *caller)
{
    struct fw_relayd *d = ctx;
    struct fw_caller_rec *c = g_hash_table_lookup(d->by_caller, caller);
    struct fw_up_rec *rec =
        c ? g_hash_table_lookup(d->ups, &c->passing) : NULL;

    if (rec && rec->x) {
        Fw_Exchange_Pause(rec->x, 0);
    }
}

static const struct fw_http_ops caller_ops = {
    .request = on_request,
    .gone = on_gone,
    .refused = Fw_Relayd_Malformed,
    .drained = on_drained,
};

static void
follow_limits(struct fw_relayd *d)
{
    const struct fw_rl_rules *r = Fw_Relay_CurrentRules(d->relay);
    struct fw_http_limits l = {
        .header_bytes = 16384,
        .body_bytes = 4 << 20,
        .held_bytes = 24 << 20,
        .head_us = 3 * FW_SEC,
        .body_us = 15 * FW_SEC,
        .idle_us = 15 * FW_SEC,
        .stall_us = 15 * FW_SEC,
    };

    if (!r) {
        return;
    }
    l.header_bytes =
        r->header_bytes > 0 ? (size_t)r->header_bytes : l.header_bytes;
    l.body_bytes = r->body_bytes > 0 ? (size_t)r->body_bytes : l.body_bytes;
    l.head_us = r->header_us > 0 ? r->header_us : l.head_us;
    l.body_us = r->idle_us > 0 ? r->idle_us : l.body_us;
    l.idle_us = r->idle_us > 0 ? r->idle_us : l.idle_us;
    Fw_Server_SetLimits(d->callers, &l);
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

/* Addresses can't change while they are listened on. */
static void
take_settings(struct fw_relayd *d, const struct fw_relayd_opts *o)
{
    d->opts.relay = o->relay;
    d->opts.rules_wait_us = o->rules_wait_us;
    d->opts.servers_every_us = o->servers_every_us;
    g_strlcpy(d->opts.store, o->store, sizeof(d->opts.store));
    Fw_Relay_SetOpts(d->relay, &d->opts.relay);
}

void
Fw_Relayd_Reload(struct fw_relayd *d)
{
    struct fw_relayd_opts o;
    char *error = NULL;

    d->settings_mtime_us = settings_mtime_us(d->settings_path);
    if (Fw_Relayd_Load(d->settings_path, &o, &error)) {
        Fw_Note_Log(LOG_ERR, "settings_rejected", "error", error, NULL);
        g_free(error);
        return;
    }
    o.relay.boot = d->opts.relay.boot;
    o.relay.seed = d->opts.relay.seed;
    take_settings(d, &o);
    Fw_Note_Log(LOG_NOTICE, "settings_reloaded", NULL);
}

static gboolean
on_hup(gpointer data)
{
    Fw_Relayd_Reload(data);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_term(gpointer data)
{
    Fw_Relayd_Drain(data);
    return G_SOURCE_CONTINUE;
}

void
Fw_Relayd_Drain(struct fw_relayd *d)
{
    struct fw_rl_actions acts;

    if (d->drain_us) {
        return;
    }
    d->drain_us = Fw_Conn_Now();
    Fw_Server_Drain(d->callers);
    Fw_RelayActions_Init(&acts);
    Fw_Relay_Drain(d->relay, d->drain_us, &acts);
    Fw_Relayd_CarryOut(d, &acts);
}

static void
check_over(struct fw_relayd *d, int64_t now)
{
    int64_t past = now - d->drain_us;

    if (!d->drain_us || past < FW_LEAVE_US) {
        return;
    }
    Fw_Server_CloseIdle(d->callers);
    if (!Fw_Server_Busy(d->callers) ||
        past >= d->opts.relay.grace_us - FW_GRACE_MARGIN_US) {
        d->over = 1;
        g_main_context_wakeup(NULL);
    }
}

static void
check_settings(struct fw_relayd *d, int64_t now)
{
    if (!d->settings_path || now - d->settings_us < FW_SETTINGS_EVERY_US) {
        return;
    }
    d->settings_us = now;
    if (settings_mtime_us(d->settings_path) != d->settings_mtime_us) {
        Fw_Relayd_Reload(d);
    }
}

/*
 * A machine that was suspended, or a loop that was held up, explains late
 * answers and lost leases afterwards; nothing else in the logs would.
 */
static void
note_pause(struct fw_relayd *d, int64_t now)
{
    int64_t gap = d->ticked_us ? now - d->ticked_us : 0;
    char ms[24];

    d->ticked_us = now;
    if (gap > FW_PAUSE_US) {
        g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
                   (gint64)(gap / FW_MSEC));
        Fw_Note_Log(LOG_WARNING, "stood_still", "ms", ms, NULL);
    }
}

static gboolean
on_timer(gpointer data)
{
    struct fw_relayd *d = data;
    int64_t now = Fw_Conn_Now();
    struct fw_rl_actions acts;

    note_pause(d, now);

    Fw_RelayActions_Init(&acts);
    Fw_Relay_Tick(d->relay, now, &acts);
    Fw_Relayd_CarryOut(d, &acts);
    Fw_Pool_Tick(d->pool, now);
    Fw_Server_Tick(d->callers, now);
    Fw_Server_Tick(d->ready, now);
    Fw_Server_Tick(d->metrics, now);
    Fw_Server_Tick(d->handover, now);
    Fw_Store_Tick(d->store, now);
    follow_limits(d);
    check_settings(d, now);
    check_over(d, now);
    Fw_Note_Flush();
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

    d->callers = Fw_Server_New(d->opts.callers, &caller_ops, d, &err);
    if (!d->callers) {
        return err;
    }
    err = Fw_Status_Listen(d);
    err = err ? err : Fw_Peer_Listen(d);
    return err ? err : Fw_Handover_Listen(d);
}

static void
begin(struct fw_relayd *d)
{
    char callers[FW_URL_MAX];
    char ready[FW_URL_MAX];
    char metrics[FW_URL_MAX];

    d->timer = g_source_new(&timer_funcs, sizeof(GSource));
    g_source_set_callback(d->timer, on_timer, d, NULL);
    g_source_set_ready_time(d->timer, 0);
    g_source_attach(d->timer, NULL);
    Fw_Server_Url(d->callers, callers);
    Fw_Server_Url(d->ready, ready);
    Fw_Server_Url(d->metrics, metrics);
    Fw_Note_Log(LOG_NOTICE, "started", "version", "0.2", "callers", callers,
                "ready", ready, "metrics", metrics, "store", d->opts.store,
                NULL);
}

struct fw_relayd *
Fw_Relayd_New(const struct fw_relayd_opts *opts, const char *settings_path,
              int *err)
{
    struct fw_relayd *d = g_new0(struct fw_relayd, 1);

    d->opts = *opts;
    d->settings_path = g_strdup(settings_path);
    d->settings_mtime_us = settings_mtime_us(settings_path);
    d->relay = Fw_Relay_New(&d->opts.relay, Fw_Conn_Now());
    d->pool = Fw_Pool_New();
    Fw_Pool_AddMetrics(d->pool, Fw_Relay_Metrics(d->relay));
    Fw_Note_AddMetrics(Fw_Relay_Metrics(d->relay));
    Fw_Up_AddMetrics(d);
    d->by_caller = g_hash_table_new(NULL, NULL);
    d->by_call =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    d->ups =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, Fw_Up_Free);
    g_queue_init(&d->failed);
    d->store = Fw_Store_New(d);
    *err = listen_all(d);
    if (*err) {
        Fw_Relayd_Free(d);
        return NULL;
    }
    begin(d);
    return d;
}

void
Fw_Relayd_Run(struct fw_relayd *d)
{
    d->signals[0] = g_unix_signal_add(SIGTERM, on_term, d);
    d->signals[1] = g_unix_signal_add(SIGINT, on_term, d);
    d->signals[2] = g_unix_signal_add(SIGHUP, on_hup, d);
    while (!d->over) {
        g_main_context_iteration(NULL, TRUE);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(d->signals); i++) {
        g_source_remove(d->signals[i]);
    }
    Fw_Note_Log(LOG_NOTICE, "stopped", NULL);
    Fw_Note_Flush();
}

int
Fw_Relayd_Over(const struct fw_relayd *d)
{
    return d->over;
}

int
Fw_Relayd_Ready(const struct fw_relayd *d)
{
    return Fw_Relay_IsReady(d->relay, Fw_Conn_Now());
}

int
Fw_Relayd_Usable(const struct fw_relayd *d, const char *id)
{
    return Fw_Relay_IsServerUsable(d->relay, id, Fw_Conn_Now());
}

int
Fw_Relayd_CallersPort(const struct fw_relayd *d)
{
    return Fw_Server_Port(d->callers);
}

void
Fw_Relayd_Free(struct fw_relayd *d)
{
    if (d->timer) {
        g_source_destroy(d->timer);
        g_source_unref(d->timer);
    }
    Fw_Store_Free(d->store);
    Fw_Peer_Close(d);
    g_hash_table_destroy(d->ups);
    Fw_Server_Free(d->callers);
    Fw_Server_Free(d->ready);
    Fw_Server_Free(d->metrics);
    Fw_Server_Free(d->handover);
    g_hash_table_destroy(d->by_caller);
    g_hash_table_destroy(d->by_call);
    Fw_Pool_Free(d->pool);
    Fw_Relay_Free(d->relay);
    g_free(d->settings_path);
    g_free(d);
}
