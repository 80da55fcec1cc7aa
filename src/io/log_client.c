#include "io/log_client.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "io/fetch.h"
#include "io/json.h"

#define FW_LOG_CONNS_MAX 64
#define FW_LOG_TIMEOUT_US (5 * FW_SEC)
#define FW_LOG_BODY_MAX_BYTES (16 << 20)

struct fw_log_client {
    struct fw_sink sink;
    SoupSession *session;
    char *url;
    struct fw_list ops;
    struct fw_metric appends;
    struct fw_metric unacknowledged;
    struct fw_metric read_errors;
};

/**
 * struct fw_log_op - a request in progress.
 * @ticket: chosen by the core, returned with the event
 * @sent_us: monotonic time of the request
 */
struct fw_log_op {
    struct fw_log_client *client;
    struct fw_fetch *fetch;
    uint64_t ticket;
    char stream[FW_NAME_MAX];
    int64_t sent_us;
    struct fw_list link;
};

struct fw_log_client *
Fw_LogClient_New(const struct fw_sink *sink, struct fw_metrics *metrics,
                 const char *url)
{
    struct fw_log_client *c = g_new0(struct fw_log_client, 1);

    c->sink = *sink;
    c->session = Fw_Fetch_NewSession(FW_LOG_CONNS_MAX, FW_LOG_CONNS_MAX);
    c->url = g_strdup(url);
    Fw_List_Init(&c->ops);
    c->appends = (struct fw_metric){.name = "fw_log_appends_total",
                                    .help = "Appends sent to the log"};
    c->unacknowledged = (struct fw_metric){
        .name = "fw_log_appends_unknown_total",
        .help = "Appends sent to the log that were not answered"};
    c->read_errors =
        (struct fw_metric){.name = "fw_log_read_errors_total",
                           .help = "Reads of the log that failed"};
    Fw_Metrics_Add(metrics, &c->appends);
    Fw_Metrics_Add(metrics, &c->unacknowledged);
    Fw_Metrics_Add(metrics, &c->read_errors);
    return c;
}

static void
free_op(struct fw_log_op *op)
{
    Fw_List_Remove(&op->link);
    g_free(op);
}

void
Fw_LogClient_Free(struct fw_log_client *c)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &c->ops) {
        struct fw_log_op *op = FW_LIST_ENTRY(pos, struct fw_log_op, link);

        Fw_Fetch_Cancel(op->fetch);
        free_op(op);
    }
    soup_session_abort(c->session);
    g_object_unref(c->session);
    g_free(c->url);
    g_free(c);
}

static struct fw_log_op *
new_op(struct fw_log_client *c, uint64_t ticket, const char *stream)
{
    struct fw_log_op *op = g_new0(struct fw_log_op, 1);

    op->client = c;
    op->ticket = ticket;
    g_strlcpy(op->stream, stream, sizeof(op->stream));
    op->sent_us = g_get_monotonic_time();
    Fw_List_Append(&c->ops, &op->link);
    return op;
}

static JsonNode *
parse_body(const struct fw_fetch_result *r)
{
    gsize len;
    const char *data = g_bytes_get_data(r->body, &len);

    return Fw_Json_Parse(data, len);
}

/* Rejected, or never sent: the records are certainly not in the log. */
static int
is_definite_failure(const struct fw_fetch_result *r)
{
    return r->ran == FW_RAN_NO || r->status == 503 ||
           (r->status >= 400 && r->status < 500);
}

static int
parse_append_result(const struct fw_fetch_result *r, uint64_t *first)
{
    JsonNode *root;
    int64_t v = 0;
    int rc = -EIO;

    if (is_definite_failure(r)) {
        return -EAGAIN;
    }
    if (r->err || r->status != 200) {
        return -EIO;
    }
    root = parse_body(r);
    if (!root) {
        return -EIO;
    }
    if (!Fw_Json_Int(json_node_get_object(root), "first", &v) && v > 0) {
        *first = (uint64_t)v;
        rc = 0;
    }
    json_node_unref(root);
    return rc;
}

static void
on_appended(void *ctx, const struct fw_fetch_result *r)
{
    struct fw_log_op *op = ctx;
    struct fw_log_client *c = op->client;
    struct fw_event ev = {.kind = FW_EV_LOG_APPENDED};

    ev.u.appended.ticket = op->ticket;
    g_strlcpy(ev.u.appended.stream, op->stream, sizeof(ev.u.appended.stream));
    ev.u.appended.err = parse_append_result(r, &ev.u.appended.first_offset);
    if (ev.u.appended.err == -EIO) {
        c->unacknowledged.value++;
    }
    free_op(op);
    c->sink.event(c->sink.ctx, &ev);
}

void
Fw_LogClient_Append(struct fw_log_client *c, const struct fw_log_append *a)
{
    struct fw_log_op *op = new_op(c, a->ticket, a->stream);
    char *url = g_strdup_printf("%s/log/%s", c->url, a->stream);
    JsonBuilder *b = json_builder_new();
    SoupMessage *msg;
    char *json;

    json_builder_begin_object(b);
    json_builder_set_member_name(b, "records");
    json_builder_begin_array(b);
    for (int i = 0; i < a->n; i++) {
        json_builder_add_string_value(b, a->records[i]);
    }
    json_builder_end_array(b);
    json_builder_end_object(b);
    json = Fw_Json_FinishBuilder(b);
    msg = Fw_Fetch_NewMessage("POST", url, json);
    /* No automatic resend by libsoup: it would append the records twice. */
    soup_message_add_flags(msg, SOUP_MESSAGE_NEW_CONNECTION);
    c->appends.value++;
    op->fetch = Fw_Fetch_Start(&(struct fw_fetch_opts){
        .session = c->session,
        .msg = msg,
        .idle_timeout_us = FW_LOG_TIMEOUT_US,
        .body_max = FW_LOG_BODY_MAX_BYTES,
        .ctx = op,
        .on_done = on_appended,
    });
    g_free(json);
    g_free(url);
}

static int
read_offset(JsonObject *obj, const char *name, uint64_t *out)
{
    int64_t v;

    if (Fw_Json_Int(obj, name, &v) || v < 0) {
        return -EBADMSG;
    }
    *out = (uint64_t)v;
    return 0;
}

/* @texts is freed by the caller; its strings belong to @obj. */
static int
read_records(JsonObject *obj, struct fw_log_records *out, const char ***texts)
{
    JsonArray *arr;
    guint n;

    if (read_offset(obj, "first", &out->first_offset) ||
        read_offset(obj, "oldest", &out->oldest_offset) ||
        read_offset(obj, "end", &out->end_offset) ||
        Fw_Json_Array(obj, "records", &arr)) {
        return -EBADMSG;
    }
    n = json_array_get_length(arr);
    *texts = g_new0(const char *, n + 1);
    for (guint i = 0; i < n; i++) {
        JsonNode *node = json_array_get_element(arr, i);

        if (json_node_get_value_type(node) != G_TYPE_STRING) {
            return -EBADMSG;
        }
        (*texts)[i] = json_node_get_string(node);
    }
    out->n = (int)n;
    out->records = *texts;
    return 0;
}

static void
on_records(void *ctx, const struct fw_fetch_result *r)
{
    struct fw_log_op *op = ctx;
    struct fw_log_client *c = op->client;
    struct fw_event ev = {.kind = FW_EV_LOG_RECORDS};
    struct fw_log_records *out = &ev.u.records;
    const char **texts = NULL;
    JsonNode *root = NULL;

    out->ticket = op->ticket;
    out->sent_us = op->sent_us;
    g_strlcpy(out->stream, op->stream, sizeof(out->stream));
    out->err = r->err;
    if (!r->err && r->status != 200) {
        out->err = -EAGAIN;
    }
    if (!out->err) {
        root = parse_body(r);
        out->err = root ? read_records(json_node_get_object(root), out, &texts)
                        : -EBADMSG;
    }
    if (out->err) {
        c->read_errors.value++;
        out->n = 0;
    }
    free_op(op);
    c->sink.event(c->sink.ctx, &ev);
    g_free(texts);
    if (root) {
        json_node_unref(root);
    }
}

void
Fw_LogClient_Read(struct fw_log_client *c, const struct fw_log_read *r)
{
    struct fw_log_op *op = new_op(c, r->ticket, r->stream);
    char *url =
        g_strdup_printf("%s/log/%s?from=%" PRIu64 "&max=%d&wait_ms=%" PRId64,
                        c->url, r->stream, r->from_offset, r->max_records,
                        (int64_t)(r->wait_us / FW_MSEC));

    op->fetch = Fw_Fetch_Start(&(struct fw_fetch_opts){
        .session = c->session,
        .msg = Fw_Fetch_NewMessage("GET", url, NULL),
        .idle_timeout_us = r->wait_us + FW_LOG_TIMEOUT_US,
        .body_max = FW_LOG_BODY_MAX_BYTES,
        .ctx = op,
        .on_done = on_records,
    });
    g_free(url);
}
