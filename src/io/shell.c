#include "io/shell.h"

#include <errno.h>
#include <glib-unix.h>
#include <signal.h>

#include "io/http.h"
#include "io/log_client.h"
#include "io/logger.h"
#include "io/peer.h"
#include "io/registry_client.h"
#include "io/upstream_client.h"

/* Time to write the last responses after the core has drained. */
#define FW_FLUSH_TIMEOUT_US (2 * FW_SEC)
#define FW_FLUSH_POLL_INTERVAL_MS 20

/**
 * struct fw_shell - the main loop and the components it drives.
 * @pending: actions to be executed, in order
 * @executing: execute_pending is running further up the stack
 * @now_us: time of the last step; the time passed to the core never decreases
 * @next_tick_us: monotonic time of the next tick, INT64_MAX for none
 * @draining: a graceful shutdown was requested
 * @exiting: the core requested the exit; it is no longer stepped
 * @flush_deadline_us: when to stop waiting for responses to be written
 * @flush_source: GLib source that polls for unwritten responses, or 0
 */
struct fw_shell {
    const struct fw_shell_opts *opts;
    struct fw_self self;
    struct fw_core core;
    GMainLoop *loop;
    struct fw_http *http;
    struct fw_upstream_client *upstreams;
    struct fw_log_client *log;
    struct fw_registry_client *registry;
    struct fw_peers *peers;
    struct fw_list pending;
    int executing;
    int64_t now_us;
    int64_t next_tick_us;
    GSource *tick_source;
    guint signals[2];
    int draining;
    int exiting;
    int stopped;
    int64_t flush_deadline_us;
    guint flush_source;
    char callers_url[FW_URL_MAX];
    char operators_url[FW_URL_MAX];
};

static void
execute(struct fw_shell *sh, const struct fw_action *a);

/*
 * Executing an action may emit an event and thus add actions; these are
 * executed by the outermost call, in order.
 */
static void
execute_pending(struct fw_shell *sh)
{
    if (sh->executing) {
        return;
    }
    sh->executing = 1;
    while (!Fw_List_Empty(&sh->pending)) {
        struct fw_action *a =
            FW_LIST_ENTRY(sh->pending.next, struct fw_action, link);

        Fw_List_Remove(&a->link);
        execute(sh, a);
        Fw_Action_Free(a);
    }
    sh->executing = 0;
}

/* Avoids the system call of g_source_set_ready_time where possible. */
static void
schedule_tick(struct fw_shell *sh, int64_t at_us)
{
    if (at_us < sh->next_tick_us) {
        sh->next_tick_us = at_us;
        g_source_set_ready_time(sh->tick_source, at_us);
    }
}

static void
step(struct fw_shell *sh, const struct fw_event *ev)
{
    struct fw_actions out;
    struct fw_action *a;

    if (sh->exiting) {
        return;
    }
    Fw_Actions_Init(&out);
    sh->now_us = MAX(sh->now_us, g_get_monotonic_time());
    if (sh->core.step(sh->core.ctx, ev, sh->now_us, &out)) {
        Fw_Logger_Log(LOG_ERR, "event_refused", NULL);
    }
    schedule_tick(sh, out.wake_us);
    while ((a = Fw_Actions_Pop(&out))) {
        Fw_List_Append(&sh->pending, &a->link);
    }
    execute_pending(sh);
}

static void
on_event(void *ctx, const struct fw_event *ev)
{
    step(ctx, ev);
}

static gboolean
on_tick(gpointer data)
{
    struct fw_shell *sh = data;

    sh->next_tick_us = INT64_MAX;
    g_source_set_ready_time(sh->tick_source, -1);
    step(sh, &(struct fw_event){.kind = FW_EV_TICK});
    return G_SOURCE_CONTINUE;
}

static void
stop_loop(struct fw_shell *sh)
{
    sh->stopped = 1;
    g_main_loop_quit(sh->loop);
}

static gboolean
on_flush_poll(gpointer data)
{
    struct fw_shell *sh = data;

    if (Fw_Http_HasPendingResponses(sh->http) &&
        g_get_monotonic_time() < sh->flush_deadline_us) {
        return G_SOURCE_CONTINUE;
    }
    sh->flush_source = 0;
    stop_loop(sh);
    return G_SOURCE_REMOVE;
}

static void
on_unregistered(void *ctx)
{
    struct fw_shell *sh = ctx;

    sh->flush_source =
        g_timeout_add(FW_FLUSH_POLL_INTERVAL_MS, on_flush_poll, sh);
}

static void
begin_exit(struct fw_shell *sh)
{
    if (sh->exiting) {
        return;
    }
    sh->exiting = 1;
    sh->flush_deadline_us = g_get_monotonic_time() + FW_FLUSH_TIMEOUT_US;
    Fw_RegistryClient_Unregister(sh->registry, on_unregistered, sh);
}

static void
execute(struct fw_shell *sh, const struct fw_action *a)
{
    switch (a->kind) {
    case FW_ACT_CALL_START:
    case FW_ACT_CALL_TOKEN:
    case FW_ACT_CALL_END:
    case FW_ACT_CALL_FAIL:
    case FW_ACT_CALL_RESPONSE:
        Fw_Http_HandleAction(sh->http, a);
        break;
    case FW_ACT_UP_START:
        Fw_UpstreamClient_Start(sh->upstreams, &a->u.up);
        break;
    case FW_ACT_UP_STOP:
        Fw_UpstreamClient_Stop(sh->upstreams, a->u.stop);
        break;
    case FW_ACT_PEER_SEND:
        Fw_Peers_Send(sh->peers, &a->u.send);
        break;
    case FW_ACT_LOG_APPEND:
        Fw_LogClient_Append(sh->log, &a->u.append);
        break;
    case FW_ACT_LOG_READ:
        Fw_LogClient_Read(sh->log, &a->u.read);
        break;
    case FW_ACT_REGISTRY_READ:
        Fw_RegistryClient_Read(sh->registry);
        break;
    case FW_ACT_NOTE:
        Fw_Logger_LogNote(&a->u.note);
        break;
    case FW_ACT_EXIT:
        begin_exit(sh);
        break;
    }
}

static gboolean
dispatch_timer(GSource *source, GSourceFunc callback, gpointer data)
{
    (void)source;
    return callback(data);
}

static GSourceFuncs timer_funcs = {.dispatch = dispatch_timer};

struct fw_shell *
Fw_Shell_New(const struct fw_shell_opts *opts, struct fw_self *self, int *err)
{
    struct fw_shell *sh = g_new0(struct fw_shell, 1);

    sh->opts = opts;
    sh->loop = g_main_loop_new(NULL, FALSE);
    sh->next_tick_us = INT64_MAX;
    Fw_List_Init(&sh->pending);
    sh->tick_source = g_source_new(&timer_funcs, sizeof(GSource));
    g_source_set_callback(sh->tick_source, on_tick, sh, NULL);
    sh->peers = Fw_Peers_New(&(struct fw_sink){.ctx = sh, .event = on_event},
                             self, opts->secret);
    *err = Fw_Peers_Listen(sh->peers, opts->peers, self->addr);
    if (*err) {
        Fw_Shell_Free(sh);
        return NULL;
    }
    sh->self = *self;
    return sh;
}

static int
is_ready(const void *ctx)
{
    const struct fw_shell *sh = ctx;

    return !sh->draining && sh->core.ready(sh->core.ctx);
}

static gboolean
on_signal(gpointer data)
{
    Fw_Shell_Drain(data);
    return G_SOURCE_CONTINUE;
}

static void
create_components(struct fw_shell *sh)
{
    const struct fw_shell_opts *o = sh->opts;
    struct fw_sink sink = {.ctx = sh, .event = on_event};

    sh->http = Fw_Http_New(&(struct fw_http_opts){
        .sink = sink,
        .metrics = sh->core.metrics,
        .api = o->api,
        .body_max = o->body_max,
        .header_max = o->header_max,
        .read_timeout_us = o->read_timeout_us,
        .ready = is_ready,
        .ready_ctx = sh,
    });
    sh->upstreams =
        Fw_UpstreamClient_New(&sink, sh->core.metrics, o->max_conns,
                              o->max_conns_per_host, o->body_max);
    sh->log = Fw_LogClient_New(&sink, sh->core.metrics, o->log_url);
    sh->registry =
        Fw_RegistryClient_New(&sink, sh->core.metrics, o->list_url, &sh->self);
    Fw_Peers_AddMetrics(sh->peers, sh->core.metrics);
}

int
Fw_Shell_Start(struct fw_shell *sh, const struct fw_core *core)
{
    int rc;

    sh->core = *core;
    create_components(sh);
    rc = Fw_Http_Listen(sh->http, FW_PORT_CALLERS, sh->opts->callers,
                        sh->callers_url);
    if (!rc) {
        rc = Fw_Http_Listen(sh->http, FW_PORT_OPERATORS, sh->opts->operators,
                            sh->operators_url);
    }
    if (rc) {
        return rc;
    }
    signal(SIGPIPE, SIG_IGN);
    sh->signals[0] = g_unix_signal_add(SIGTERM, on_signal, sh);
    sh->signals[1] = g_unix_signal_add(SIGINT, on_signal, sh);
    g_source_attach(sh->tick_source, NULL);
    Fw_Logger_Log(LOG_NOTICE, "listening", "callers", sh->callers_url,
                  "operators", sh->operators_url, "peers", sh->self.addr,
                  NULL);
    Fw_RegistryClient_Register(sh->registry);
    step(sh, &(struct fw_event){.kind = FW_EV_TICK});
    return 0;
}

void
Fw_Shell_Drain(struct fw_shell *sh)
{
    if (sh->draining) {
        return;
    }
    sh->draining = 1;
    Fw_RegistryClient_MarkLeaving(sh->registry);
    step(sh, &(struct fw_event){.kind = FW_EV_DRAIN});
}

void
Fw_Shell_Run(struct fw_shell *sh)
{
    if (!sh->stopped) {
        g_main_loop_run(sh->loop);
    }
}

int
Fw_Shell_HasStopped(const struct fw_shell *sh)
{
    return sh->stopped;
}

const char *
Fw_Shell_CallersUrl(const struct fw_shell *sh)
{
    return sh->callers_url;
}

const char *
Fw_Shell_OperatorsUrl(const struct fw_shell *sh)
{
    return sh->operators_url;
}

static void
free_components(struct fw_shell *sh)
{
    if (sh->http) {
        Fw_Http_Free(sh->http);
        Fw_UpstreamClient_Free(sh->upstreams);
        Fw_LogClient_Free(sh->log);
        Fw_RegistryClient_Free(sh->registry);
    }
    Fw_Peers_Free(sh->peers);
}

void
Fw_Shell_Free(struct fw_shell *sh)
{
    sh->exiting = 1;
    for (int i = 0; i < 2; i++) {
        if (sh->signals[i]) {
            g_source_remove(sh->signals[i]);
        }
    }
    if (sh->flush_source) {
        g_source_remove(sh->flush_source);
    }
    free_components(sh);
    while (!Fw_List_Empty(&sh->pending)) {
        struct fw_action *a =
            FW_LIST_ENTRY(sh->pending.next, struct fw_action, link);

        Fw_List_Remove(&a->link);
        Fw_Action_Free(a);
    }
    g_source_destroy(sh->tick_source);
    g_source_unref(sh->tick_source);
    g_main_loop_unref(sh->loop);
    g_free(sh);
}
