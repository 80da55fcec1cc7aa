#include "io/upstream_client.h"

#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "io/engine_wire.h"
#include "io/fetch.h"

#define FW_ENGINE_BODY_MAX_BYTES (4 << 20)
/*
 * For each message libsoup scans all connections of the session, which is slow
 * with many upstreams, so they are distributed over several sessions.
 */
#define FW_SESSION_COUNT 16

/**
 * struct fw_upstream_op - a call in progress.
 * @id: op number chosen by the core
 * @ended: the final event was emitted; the rest of the response is read only
 *         to make the connection reusable
 * @idle_source: GLib source that reports an invalid URL, or 0
 */
struct fw_upstream_op {
    struct fw_upstream_client *client;
    struct fw_fetch *fetch;
    uint64_t id;
    enum fw_up_kind kind;
    int ended;
    guint idle_source;
    struct fw_list link;
};

struct fw_upstream_client {
    struct fw_sink sink;
    SoupSession *sessions[FW_SESSION_COUNT];
    size_t body_max;
    GHashTable *by_op;  /* op number -> struct fw_upstream_op, unless ended */
    struct fw_list ops; /* including ended ones */
    struct fw_metric started;
    struct fw_metric failed;
    struct fw_metric open;
};

struct fw_upstream_client *
Fw_UpstreamClient_New(const struct fw_sink *sink, struct fw_metrics *metrics,
                      int max_conns, int max_conns_per_host, size_t body_max)
{
    struct fw_upstream_client *c = g_new0(struct fw_upstream_client, 1);

    c->sink = *sink;
    for (int i = 0; i < FW_SESSION_COUNT; i++) {
        c->sessions[i] = Fw_Fetch_NewSession(max_conns, max_conns_per_host);
    }
    c->body_max = body_max;
    c->by_op = g_hash_table_new(g_int64_hash, g_int64_equal);
    Fw_List_Init(&c->ops);
    c->started = (struct fw_metric){.name = "fw_upstream_calls_total",
                                    .help = "Calls to upstreams begun"};
    c->failed = (struct fw_metric){.name = "fw_upstream_failures_total",
                                   .help = "Calls to upstreams that failed"};
    c->open = (struct fw_metric){.name = "fw_upstream_calls_open",
                                 .help = "Calls to upstreams under way",
                                 .is_gauge = 1};
    Fw_Metrics_Add(metrics, &c->started);
    Fw_Metrics_Add(metrics, &c->failed);
    Fw_Metrics_Add(metrics, &c->open);
    return c;
}

static void
mark_ended(struct fw_upstream_op *op)
{
    if (!op->ended) {
        g_hash_table_remove(op->client->by_op, &op->id);
        op->client->open.value--;
        op->ended = 1;
    }
}

static void
free_op(struct fw_upstream_op *op)
{
    mark_ended(op);
    Fw_List_Remove(&op->link);
    if (op->idle_source) {
        g_source_remove(op->idle_source);
    }
    g_free(op);
}

static void
deliver_event(struct fw_upstream_op *op, const struct fw_up_event *up)
{
    struct fw_event ev = {.kind = FW_EV_UP, .u.up = *up};
    struct fw_sink sink = op->client->sink;

    if (up->phase == FW_UP_FAILED) {
        op->client->failed.value++;
    }
    if (up->phase != FW_UP_TOKEN) {
        mark_ended(op);
    }
    sink.event(sink.ctx, &ev);
}

static int
on_line(void *ctx, const char *line, size_t len)
{
    struct fw_upstream_op *op = ctx;
    struct fw_up_event up = {.op = op->id, .kind = op->kind, .status = 200};
    JsonNode *root;
    int rc;

    if (op->ended) {
        return 0;
    }
    rc = Fw_Engine_DecodeStreamLine(line, len, &up, &root);
    if (!rc) {
        deliver_event(op, &up);
        json_node_unref(root);
    }
    return rc;
}

static int
is_stream(enum fw_up_kind kind)
{
    return kind == FW_UP_DECODE || kind == FW_UP_RESUME;
}

/* Statuses by which an engine guarantees that it has not started the call. */
static int
is_not_started_status(int status)
{
    return status == 404 || status == 409 || status == 410 || status == 429 ||
           status == 503;
}

static void
deliver_engine_response(struct fw_upstream_op *op,
                        const struct fw_fetch_result *r,
                        struct fw_up_event *up)
{
    struct fw_engine_response resp = {0};

    if (is_stream(op->kind)) {
        up->err = -EPIPE; /* the stream ended without a final line */
    }
    else {
        up->err = Fw_Engine_DecodeResponse(r->body, up, &resp);
    }
    up->phase = up->err ? FW_UP_FAILED : FW_UP_DONE;
    up->ran = up->err ? FW_RAN_MAYBE : FW_RAN_YES;
    deliver_event(op, up);
    Fw_Engine_ClearResponse(&resp);
}

static void
deliver_service_response(struct fw_upstream_op *op,
                         const struct fw_fetch_result *r,
                         struct fw_up_event *up)
{
    up->phase = FW_UP_DONE;
    up->ran = FW_RAN_YES;
    up->u.answer.status = r->status;
    up->u.answer.body = r->body;
    g_strlcpy(up->u.answer.content_type,
              r->content_type ? r->content_type : "application/octet-stream",
              sizeof(up->u.answer.content_type));
    deliver_event(op, up);
}

static int
is_success(const struct fw_upstream_op *op, int status)
{
    return status == 200 || status == 204 ||
           (op->kind == FW_UP_CANCEL && status == 404);
}

static void
on_done(void *ctx, const struct fw_fetch_result *r)
{
    struct fw_upstream_op *op = ctx;
    struct fw_up_event up = {
        .op = op->id, .kind = op->kind, .status = r->status, .ran = r->ran};

    if (op->ended) {
        free_op(op);
        return;
    }
    if (r->err || (op->kind != FW_UP_SERVICE && !is_success(op, r->status))) {
        up.phase = FW_UP_FAILED;
        up.err = r->err;
        if (op->kind != FW_UP_SERVICE && is_not_started_status(r->status)) {
            up.ran = FW_RAN_NO;
        }
        deliver_event(op, &up);
    }
    else if (op->kind == FW_UP_SERVICE) {
        deliver_service_response(op, r, &up);
    }
    else {
        deliver_engine_response(op, r, &up);
    }
    free_op(op);
}

/* Reports an invalid URL from the main loop, like any other failure. */
static gboolean
on_bad_url(gpointer data)
{
    struct fw_upstream_op *op = data;
    struct fw_up_event up = {.op = op->id,
                             .kind = op->kind,
                             .phase = FW_UP_FAILED,
                             .ran = FW_RAN_NO,
                             .err = -EINVAL};

    op->idle_source = 0;
    deliver_event(op, &up);
    free_op(op);
    return G_SOURCE_REMOVE;
}

void
Fw_UpstreamClient_Start(struct fw_upstream_client *c,
                        const struct fw_up_start *up)
{
    struct fw_upstream_op *op = g_new0(struct fw_upstream_op, 1);
    SoupMessage *msg = Fw_Engine_EncodeRequest(up);

    op->client = c;
    op->id = up->op;
    op->kind = up->kind;
    Fw_List_Append(&c->ops, &op->link);
    g_hash_table_insert(c->by_op, &op->id, op);
    c->started.value++;
    c->open.value++;
    if (!msg) {
        op->idle_source = g_idle_add(on_bad_url, op);
        return;
    }
    op->fetch = Fw_Fetch_Start(&(struct fw_fetch_opts){
        .session = c->sessions[Fw_Hash_Str(up->url) % FW_SESSION_COUNT],
        .msg = msg,
        .idle_timeout_us =
            up->idle_timeout_us > 0 ? up->idle_timeout_us : 30 * FW_SEC,
        .body_max =
            up->kind == FW_UP_SERVICE ? c->body_max : FW_ENGINE_BODY_MAX_BYTES,
        .ctx = op,
        .on_line = is_stream(up->kind) ? on_line : NULL,
        .on_done = on_done,
    });
}

static void
cancel_op(struct fw_upstream_op *op)
{
    if (op->fetch) {
        Fw_Fetch_Cancel(op->fetch);
    }
    free_op(op);
}

void
Fw_UpstreamClient_Stop(struct fw_upstream_client *c, uint64_t number)
{
    struct fw_upstream_op *op = g_hash_table_lookup(c->by_op, &number);

    if (op) {
        cancel_op(op);
    }
}

void
Fw_UpstreamClient_Free(struct fw_upstream_client *c)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &c->ops) {
        cancel_op(FW_LIST_ENTRY(pos, struct fw_upstream_op, link));
    }
    for (int i = 0; i < FW_SESSION_COUNT; i++) {
        soup_session_abort(c->sessions[i]);
        g_object_unref(c->sessions[i]);
    }
    g_hash_table_unref(c->by_op);
    g_free(c);
}
