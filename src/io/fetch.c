#include "io/fetch.h"

#include <errno.h>
#include <string.h>

#define FW_READ_CHUNK_BYTES 16384
#define FW_BODY_KEY "fw-body"
#define FW_TYPE_KEY "fw-type"

/**
 * struct fw_fetch - a call; one asynchronous operation is always in progress
 * until it is freed.
 * @received: body data not yet delivered
 * @last_activity_us: start of the call, or time of the last received data
 * @may_have_sent: the message was started on a connection
 * @cancelled: by Fw_Fetch_Cancel: no more callbacks
 */
struct fw_fetch {
    struct fw_fetch_opts opts;
    GCancellable *cancel;
    GSource *idle_timer;
    GInputStream *response;
    GByteArray *received;
    int64_t last_activity_us;
    int may_have_sent;
    int timed_out;
    int cancelled;
    char read_chunk[FW_READ_CHUNK_BYTES];
};

static void
free_fetch(struct fw_fetch *f)
{
    g_source_destroy(f->idle_timer);
    g_source_unref(f->idle_timer);
    g_signal_handlers_disconnect_by_data(f->opts.msg, f);
    g_clear_object(&f->response);
    g_object_unref(f->opts.msg);
    g_object_unref(f->cancel);
    g_byte_array_unref(f->received);
    g_free(f);
}

static int
errno_from_gerror(const struct fw_fetch *f, const GError *error)
{
    if (f->timed_out) {
        return -ETIMEDOUT;
    }
    if (error->domain == SOUP_SESSION_ERROR) {
        return -EBADMSG;
    }
    if (error->domain != G_IO_ERROR) {
        return -EIO;
    }
    switch (error->code) {
    case G_IO_ERROR_CONNECTION_REFUSED:
        return -ECONNREFUSED;
    case G_IO_ERROR_TIMED_OUT:
        return -ETIMEDOUT;
    case G_IO_ERROR_HOST_UNREACHABLE:
    case G_IO_ERROR_NETWORK_UNREACHABLE:
        return -EHOSTUNREACH;
    case G_IO_ERROR_CONNECTION_CLOSED:
    case G_IO_ERROR_PARTIAL_INPUT:
        return -EPIPE;
    case G_IO_ERROR_INVALID_DATA:
        return -EBADMSG;
    default:
        return -EIO;
    }
}

static void
finish(struct fw_fetch *f, int err)
{
    struct fw_fetch_result r = {
        .ran = f->may_have_sent ? FW_RAN_MAYBE : FW_RAN_NO,
        .status = f->response ? (int)soup_message_get_status(f->opts.msg) : 0,
        .err = err,
    };

    if (!f->cancelled) {
        if (!err && !f->opts.on_line) {
            r.body = g_bytes_new(f->received->data, f->received->len);
        }
        if (f->response) {
            r.content_type = soup_message_headers_get_content_type(
                soup_message_get_response_headers(f->opts.msg), NULL);
        }
        f->opts.on_done(f->opts.ctx, &r);
        g_bytes_unref(r.body);
    }
    free_fetch(f);
}

static int
is_line_mode(const struct fw_fetch *f)
{
    return f->opts.on_line && soup_message_get_status(f->opts.msg) == 200;
}

static int
deliver_line(struct fw_fetch *f, const guint8 *line, size_t len)
{
    if (len > 0 && line[len - 1] == '\r') {
        len--;
    }
    return len ? f->opts.on_line(f->opts.ctx, (const char *)line, len) : 0;
}

/* Delivers all complete lines. The callback may cancel the call. */
static int
deliver_lines(struct fw_fetch *f)
{
    size_t start = 0;
    int err = 0;

    while (!err && !f->cancelled) {
        const guint8 *from = f->received->data + start;
        const guint8 *end;

        end = start < f->received->len
                  ? memchr(from, '\n', f->received->len - start)
                  : NULL;
        if (!end) {
            break;
        }
        err = deliver_line(f, from, (size_t)(end - from));
        start += (size_t)(end - from) + 1;
    }
    if (start > 0) {
        g_byte_array_remove_range(f->received, 0, (guint)start);
    }
    return !err && f->received->len > FW_FETCH_LINE_MAX_BYTES ? -EMSGSIZE
                                                              : err;
}

/*
 * The timer is rescheduled only when it fires, which saves a system call for
 * each read.
 */
static void
record_activity(struct fw_fetch *f)
{
    f->last_activity_us = g_get_monotonic_time();
}

static void
read_more(struct fw_fetch *f);

static void
on_read(GObject *stream, GAsyncResult *result, gpointer data)
{
    struct fw_fetch *f = data;
    GError *error = NULL;
    gssize n =
        g_input_stream_read_finish(G_INPUT_STREAM(stream), result, &error);
    int err = 0;

    if (n < 0) {
        err = errno_from_gerror(f, error);
        g_error_free(error);
        finish(f, err);
        return;
    }
    if (n == 0) {
        if (is_line_mode(f) && f->received->len > 0 && !f->cancelled) {
            err = deliver_line(f, f->received->data, f->received->len);
        }
        /* Closing a fully read stream makes the connection reusable. */
        g_input_stream_close(f->response, NULL, NULL);
        finish(f, err);
        return;
    }
    g_byte_array_append(f->received, (const guint8 *)f->read_chunk, (guint)n);
    if (is_line_mode(f)) {
        err = deliver_lines(f);
    }
    else if (f->received->len > f->opts.body_max) {
        err = -EMSGSIZE;
    }
    if (err || f->cancelled) {
        finish(f, err);
        return;
    }
    record_activity(f);
    read_more(f);
}

static void
read_more(struct fw_fetch *f)
{
    g_input_stream_read_async(f->response, f->read_chunk,
                              sizeof(f->read_chunk), G_PRIORITY_DEFAULT,
                              f->cancel, on_read, f);
}

static void
on_response_head(GObject *session, GAsyncResult *result, gpointer data)
{
    struct fw_fetch *f = data;
    GError *error = NULL;

    f->response =
        soup_session_send_finish(SOUP_SESSION(session), result, &error);
    if (!f->response) {
        int err = errno_from_gerror(f, error);

        g_error_free(error);
        finish(f, err);
        return;
    }
    record_activity(f);
    read_more(f);
}

static gboolean
on_idle_timer(gpointer data)
{
    struct fw_fetch *f = data;
    int64_t until = f->last_activity_us + f->opts.idle_timeout_us;

    if (g_get_monotonic_time() < until) {
        g_source_set_ready_time(f->idle_timer, until);
        return G_SOURCE_CONTINUE;
    }
    f->timed_out = 1;
    g_source_set_ready_time(f->idle_timer, -1);
    g_cancellable_cancel(f->cancel);
    return G_SOURCE_CONTINUE;
}

static void
on_starting(SoupMessage *msg, gpointer data)
{
    struct fw_fetch *f = data;

    (void)msg;
    f->may_have_sent = 1;
}

static void
on_restarted(SoupMessage *msg, gpointer data)
{
    GBytes *body = g_object_get_data(G_OBJECT(msg), FW_BODY_KEY);

    (void)data;
    if (body) {
        soup_message_set_request_body_from_bytes(
            msg, g_object_get_data(G_OBJECT(msg), FW_TYPE_KEY), body);
    }
}

static gboolean
dispatch_timer(GSource *source, GSourceFunc callback, gpointer data)
{
    (void)source;
    return callback(data);
}

static GSourceFuncs timer_funcs = {.dispatch = dispatch_timer};

struct fw_fetch *
Fw_Fetch_Start(const struct fw_fetch_opts *opts)
{
    struct fw_fetch *f = g_new0(struct fw_fetch, 1);

    f->opts = *opts;
    f->cancel = g_cancellable_new();
    f->received = g_byte_array_new();
    f->idle_timer = g_source_new(&timer_funcs, sizeof(GSource));
    g_source_set_callback(f->idle_timer, on_idle_timer, f, NULL);
    record_activity(f);
    g_source_set_ready_time(f->idle_timer,
                            f->last_activity_us + opts->idle_timeout_us);
    g_source_attach(f->idle_timer, g_main_context_get_thread_default());
    g_signal_connect(opts->msg, "starting", G_CALLBACK(on_starting), f);
    g_signal_connect(opts->msg, "restarted", G_CALLBACK(on_restarted), f);
    soup_session_send_async(opts->session, opts->msg, G_PRIORITY_DEFAULT,
                            f->cancel, on_response_head, f);
    return f;
}

void
Fw_Fetch_Cancel(struct fw_fetch *f)
{
    f->cancelled = 1;
    g_cancellable_cancel(f->cancel);
}

SoupSession *
Fw_Fetch_NewSession(int max_conns, int max_conns_per_host)
{
    SoupSession *s = soup_session_new_with_options(
        "max-conns", max_conns, "max-conns-per-host", max_conns_per_host,
        "proxy-resolver", NULL, "timeout", 0U, "user-agent", "fuchsiaward",
        NULL);

    soup_session_remove_feature_by_type(s, SOUP_TYPE_CONTENT_DECODER);
    return s;
}

void
Fw_Fetch_SetBody(SoupMessage *msg, const char *type, GBytes *body)
{
    soup_message_set_request_body_from_bytes(msg, type, body);
    g_object_set_data_full(G_OBJECT(msg), FW_BODY_KEY, g_bytes_ref(body),
                           (GDestroyNotify)g_bytes_unref);
    g_object_set_data_full(G_OBJECT(msg), FW_TYPE_KEY, g_strdup(type), g_free);
}

SoupMessage *
Fw_Fetch_NewMessage(const char *method, const char *url, const char *json)
{
    SoupMessage *msg = soup_message_new(method, url);
    GBytes *body;

    if (!msg) {
        return NULL;
    }
    /* An upstream must not redirect a request to another server. */
    soup_message_add_flags(msg, SOUP_MESSAGE_NO_REDIRECT);
    if (json) {
        body = g_bytes_new(json, strlen(json));
        Fw_Fetch_SetBody(msg, "application/json", body);
        g_bytes_unref(body);
    }
    return msg;
}
