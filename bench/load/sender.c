/* Sends the scheduled requests and records their outcome. */
#include <signal.h>
#include <string.h>
#include <sys/types.h>

#include "base/list.h"
#include "bench/load/load.h"
#include "io/fetch.h"
#include "io/json.h"

#define FW_IDLE_TIMEOUT_US (40 * FW_SEC)
#define FW_BODY_MAX_BYTES (1 << 20)
#define FW_DRAIN_TIMEOUT_US (40 * FW_SEC)

/**
 * struct sender - state of a run.
 * @buckets: rate limits of the teams
 * @next: index of the next request in @schedule
 * @n_open: calls that have not finished
 * @n_targets: instances that get requests, the first ones of the fleet
 * @calls: the open calls
 * @drain_timer: source id, 0 if not running, as is @fault_timer
 */
struct sender {
    const struct fw_experiment *experiment;
    const struct fw_loadgen_fleet *fleet;
    SoupSession *session;
    char **keys;
    GArray *schedule;
    struct fw_loadgen_stats *stats;
    struct fw_loadgen_bucket buckets[FW_LOADGEN_TEAMS];
    GMainLoop *loop;
    int64_t start_us;
    guint next;
    int n_open;
    int n_targets;
    struct fw_list calls;
    guint drain_timer;
    guint fault_timer;
};

/** struct call - an HTTP request that has not finished. */
struct call {
    struct sender *sender;
    struct fw_loadgen_request *req;
    SoupMessage *msg;
    struct fw_fetch *fetch;
    guint cancel_timer;
    struct fw_list link;
};

static void
quit_if_done(struct sender *sender)
{
    if (sender->n_open == 0 && sender->next == sender->schedule->len) {
        g_main_loop_quit(sender->loop);
    }
}

static void
finish_call(struct call *call)
{
    struct sender *sender = call->sender;

    if (call->cancel_timer) {
        g_source_remove(call->cancel_timer);
    }
    call->req->finished = 1;
    sender->n_open--;
    Fw_List_Remove(&call->link);
    g_object_unref(call->msg);
    g_free(call);
    quit_if_done(sender);
}

static int
on_line(void *ctx, const char *line, size_t len)
{
    struct call *call = ctx;
    struct fw_loadgen_request *s = call->req;
    int64_t now = g_get_monotonic_time();

    if (len >= 12 && strncmp(line, "data: [DONE]", 12) == 0) {
        s->complete = 1;
        return 0;
    }
    if (!g_strstr_len(line, (gssize)len, "\"finish_reason\":null")) {
        return 0;
    }
    if (s->pieces++ == 0) {
        s->first_us = now;
    }
    else {
        Fw_LatencyHistogram_Add(&call->sender->stats->itl, now - s->last_us);
    }
    s->last_us = now;
    return 0;
}

static void
on_done(void *ctx, const struct fw_fetch_result *result)
{
    struct call *call = ctx;
    struct fw_loadgen_request *s = call->req;
    const char *ran = soup_message_headers_get_one(
        soup_message_get_response_headers(call->msg), "Fuchsiaward-Ran");

    s->status = result->status;
    s->not_executed = ran && strcmp(ran, "no") == 0;
    s->last_us = MAX(s->last_us, g_get_monotonic_time());
    if (s->kind != FW_LOADGEN_COMPLETION) {
        s->complete = !result->err && result->status == 200;
    }
    else if (s->not_executed && s->within_limit) {
        Fw_LoadgenBucket_Refund(&call->sender->buckets[s->team],
                                &call->sender->experiment->team[s->team],
                                s->prompt_tokens + s->max_tokens);
    }
    finish_call(call);
}

static gboolean
on_cancel(gpointer data)
{
    struct call *call = data;

    call->cancel_timer = 0;
    call->req->cancelled = 1;
    Fw_Fetch_Cancel(call->fetch);
    finish_call(call);
    return G_SOURCE_REMOVE;
}

static SoupMessage *
build_completion(const struct sender *sender,
                 const struct fw_loadgen_request *s, const char *base)
{
    char *prompt = Fw_Loadgen_BuildPrompt(sender->experiment, s);
    char *url = g_strconcat(base, "/v1/completions", NULL);
    JsonBuilder *b = json_builder_new();
    SoupMessage *msg;
    char *json;

    json_builder_begin_object(b);
    Fw_Json_SetStr(b, "model", "tides");
    Fw_Json_SetStr(b, "prompt", prompt);
    Fw_Json_SetInt(b, "max_tokens", s->max_tokens);
    json_builder_set_member_name(b, "stream");
    json_builder_add_boolean_value(b, TRUE);
    json_builder_end_object(b);
    json = Fw_Json_FinishBuilder(b);
    msg = Fw_Fetch_NewMessage("POST", url, json);
    if (msg && s->deadline_us) {
        GDateTime *now = g_date_time_new_now_utc();
        GDateTime *at = g_date_time_add(now, s->deadline_us);
        char *text = g_date_time_format(at, "%Y-%m-%dT%H:%M:%SZ");

        soup_message_headers_replace(soup_message_get_request_headers(msg),
                                     "Fuchsiaward-Deadline", text);
        g_free(text);
        g_date_time_unref(at);
        g_date_time_unref(now);
    }
    g_free(json);
    g_free(url);
    g_free(prompt);
    return msg;
}

static SoupMessage *
build_message(const struct sender *sender, const struct fw_loadgen_request *s,
              const char *base)
{
    SoupMessage *msg;
    char *url;
    char *body;

    switch (s->kind) {
    case FW_LOADGEN_COMPLETION:
        return build_completion(sender, s, base);
    case FW_LOADGEN_ORDER:
        url = g_strconcat(base, "/v1/services/grid-desk/orders", NULL);
        body = g_strdup_printf("{\"order\":\"%s\"}", s->id);
        msg = Fw_Fetch_NewMessage("POST", url, body);
        g_free(body);
        g_free(url);
        if (msg) {
            soup_message_headers_replace(soup_message_get_request_headers(msg),
                                         "Idempotency-Key", s->id);
        }
        return msg;
    case FW_LOADGEN_SERVICE_GET:
        break;
    }
    url = g_strconcat(base, "/v1/services/grid-desk/readings", NULL);
    msg = Fw_Fetch_NewMessage("GET", url, NULL);
    g_free(url);
    return msg;
}

static void
send_request(struct sender *sender, struct fw_loadgen_request *s)
{
    const char *base =
        sender->fleet->caller_urls[sender->next % (guint)sender->n_targets];
    struct call *call = g_new0(struct call, 1);
    struct fw_fetch_opts opts = {.session = sender->session,
                                 .idle_timeout_us = FW_IDLE_TIMEOUT_US,
                                 .body_max = FW_BODY_MAX_BYTES,
                                 .ctx = call,
                                 .on_done = on_done};
    SoupMessageHeaders *h;
    char *bearer = g_strconcat("Bearer ", sender->keys[s->team], NULL);

    call->sender = sender;
    call->req = s;
    call->msg = g_object_ref(build_message(sender, s, base));
    opts.msg = call->msg;
    opts.on_line = s->kind == FW_LOADGEN_COMPLETION ? on_line : NULL;
    h = soup_message_get_request_headers(call->msg);
    soup_message_headers_replace(h, "Authorization", bearer);
    soup_message_headers_replace(h, "X-Request-Id", s->id);
    g_free(bearer);
    s->sent_us = g_get_monotonic_time();
    if (s->kind == FW_LOADGEN_COMPLETION) {
        s->within_limit = Fw_LoadgenBucket_TryTake(
            &sender->buckets[s->team], &sender->experiment->team[s->team],
            s->prompt_tokens + s->max_tokens, s->sent_us);
    }
    sender->n_open++;
    Fw_List_Append(&sender->calls, &call->link);
    call->fetch = Fw_Fetch_Start(&opts);
    if (s->cancel_after_us) {
        call->cancel_timer = g_timeout_add(
            (guint)(s->cancel_after_us / FW_MSEC), on_cancel, call);
    }
}

static gboolean
on_drain_timeout(gpointer data)
{
    struct sender *sender = data;

    sender->drain_timer = 0;
    g_main_loop_quit(sender->loop);
    return G_SOURCE_REMOVE;
}

static gboolean
on_send_time(gpointer data)
{
    struct sender *sender = data;
    int64_t now = g_get_monotonic_time() - sender->start_us;

    while (sender->next < sender->schedule->len) {
        struct fw_loadgen_request *s = &g_array_index(
            sender->schedule, struct fw_loadgen_request, sender->next);

        if (s->arrival_us > now) {
            g_source_set_ready_time(g_main_current_source(),
                                    sender->start_us + s->arrival_us);
            return G_SOURCE_CONTINUE;
        }
        send_request(sender, s);
        sender->next++;
    }
    sender->drain_timer = g_timeout_add((guint)(FW_DRAIN_TIMEOUT_US / FW_MSEC),
                                        on_drain_timeout, sender);
    quit_if_done(sender);
    return G_SOURCE_REMOVE;
}

static gboolean
on_fault_time(gpointer data)
{
    struct sender *sender = data;
    char *name =
        g_strdup_printf("instance-%d", sender->fleet->n_instances - 1);
    int pid = GPOINTER_TO_INT(g_hash_table_lookup(sender->fleet->pids, name));

    if (pid > 1) {
        (void)kill((pid_t)pid, SIGKILL);
    }
    g_free(name);
    sender->fault_timer = 0;
    return G_SOURCE_REMOVE;
}

/* Runs a main loop of its own, so it isn't called from callbacks. */
static void
set_log_fault(const struct sender *sender, int down)
{
    char *url =
        g_strconcat(g_hash_table_lookup(sender->fleet->stand_urls, "log"),
                    down ? "/control/fault" : "/control/fault/refuse", NULL);

    (void)Fw_LoadgenHttp_Call(
        sender->session, down ? "POST" : "DELETE", url,
        down ? "{\"name\":\"refuse\",\"status\":503}" : NULL, NULL, NULL);
    g_free(url);
}

static gboolean
dispatch_send(GSource *source, GSourceFunc callback, gpointer data)
{
    (void)source;
    return callback(data);
}

static void
remove_timer(guint id)
{
    if (id) {
        g_source_remove(id);
    }
}

/* The remaining calls hold pointers into the sender and the schedule. */
static void
cancel_remaining(struct sender *sender)
{
    while (!Fw_List_Empty(&sender->calls)) {
        struct call *call =
            FW_LIST_ENTRY(sender->calls.next, struct call, link);

        Fw_Fetch_Cancel(call->fetch);
        finish_call(call);
    }
}

static GSourceFuncs send_source_funcs = {.dispatch = dispatch_send};

void
Fw_Loadgen_Send(const struct fw_experiment *e,
                const struct fw_loadgen_fleet *f, SoupSession *session,
                char **keys, GArray *schedule, struct fw_loadgen_stats *stats)
{
    struct sender sender = {.experiment = e,
                            .fleet = f,
                            .session = session,
                            .keys = keys,
                            .schedule = schedule,
                            .stats = stats,
                            .loop = g_main_loop_new(NULL, FALSE),
                            .n_targets = f->n_instances};
    GSource *send_source = g_source_new(&send_source_funcs, sizeof(GSource));

    Fw_List_Init(&sender.calls);
    if (e->fault == FW_LOADGEN_FAULT_LOG_DOWN) {
        set_log_fault(&sender, 1);
    }
    sender.start_us = g_get_monotonic_time();
    if (e->fault == FW_LOADGEN_FAULT_KILL) {
        sender.n_targets--;
        sender.fault_timer = g_timeout_add((guint)(e->duration_s * 1000 / 3),
                                           on_fault_time, &sender);
    }
    g_source_set_callback(send_source, on_send_time, &sender, NULL);
    g_source_set_ready_time(send_source, sender.start_us);
    g_source_attach(send_source, NULL);
    g_source_unref(send_source);
    g_main_loop_run(sender.loop);
    remove_timer(sender.drain_timer);
    remove_timer(sender.fault_timer);
    cancel_remaining(&sender);
    if (e->fault == FW_LOADGEN_FAULT_LOG_DOWN) {
        set_log_fault(&sender, 0);
    }
    g_main_loop_unref(sender.loop);
}
