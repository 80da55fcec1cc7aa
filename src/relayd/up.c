/* Calls to upstreams, and their responses on the way to callers. */
#include <errno.h>
#include <string.h>

#include "http/conn.h"
#include "relayd/relayd_internal.h"

/*
 * A response up to this size is kept until it is whole, so that one that
 * breaks off can still be replaced by another server's.
 */
#define FW_WHOLE_MAX (64 * 1024)
/* Bytes that a slow caller may have waiting before its upstream is paused. */
#define FW_WAITING_MAX (256 * 1024)

void
Fw_Up_AddMetrics(struct fw_relayd *d)
{
    d->gap_s.name = "fw_phase_gap_seconds";
    d->gap_s.help = "Between two parts of a response that is passed on";
    Fw_Metrics_AddHistogram(Fw_Relay_Metrics(d->relay), &d->gap_s);
}

/* Events of a stream come one by one: its pauses are what callers see. */
static void
note_gap(struct fw_up_rec *rec)
{
    int64_t now = Fw_Conn_Now();

    if (rec->part_us && !rec->whole) {
        Fw_Histogram_Add(&rec->d->gap_s, now - rec->part_us);
    }
    rec->part_us = now;
}

void
Fw_Up_Free(gpointer data)
{
    struct fw_up_rec *rec = data;

    if (rec->x) {
        Fw_Exchange_Stop(rec->x);
    }
    if (rec->fields) {
        g_string_free(rec->fields, TRUE);
    }
    g_byte_array_unref(rec->body);
    g_free(rec);
}

void
Fw_Up_Stop(struct fw_relayd *d, uint64_t xid)
{
    g_hash_table_remove(d->ups, &xid);
}

static struct fw_caller_rec *
caller_of(const struct fw_up_rec *rec)
{
    struct fw_caller_rec *c = g_hash_table_lookup(rec->d->by_call, &rec->call);

    return c && c->passing == rec->xid ? c : NULL;
}

/* The response's fields as they go on, but for those of one connection. */
static GString *
fields_of(const struct fw_http_head *h)
{
    GString *out = g_string_sized_new(256);

    for (int i = 0; i < h->n_fields; i++) {
        const struct fw_http_field *f = &h->fields[i];

        if (Fw_Http_HopByHop(h, f) || Fw_Http_FieldIs(f, "content-length")) {
            continue;
        }
        Fw_Http_AddField(out, f);
    }
    return out;
}

static void
tell_begun(struct fw_up_rec *rec)
{
    struct fw_relayd *d = rec->d;
    struct fw_rl_actions acts;

    rec->begun = 1;
    Fw_RelayActions_Init(&acts);
    Fw_Relay_ResponseBegan(d->relay, rec->xid, &rec->ans, Fw_Conn_Now(),
                           &acts);
    Fw_Relayd_CarryOut(d, &acts);
}

static enum fw_take
on_head(void *ctx, const struct fw_http_head *h)
{
    struct fw_up_rec *rec = ctx;

    if ((rec->kind == FW_RL_UP_RUN || rec->kind == FW_RL_UP_PREFILL) &&
        !Fw_Platform_Answers(h, rec->request_id)) {
        return FW_TAKE_SKIP;
    }
    Fw_Platform_ReadHead(h, &rec->ans);
    rec->fields = fields_of(h);
    rec->length = h->framing == FW_HTTP_LENGTH ? (int64_t)h->length : -1;
    if (h->framing == FW_HTTP_NONE) {
        rec->length = 0;
    }
    if (rec->kind == FW_RL_UP_RUN && !rec->ans.not_run &&
        (!rec->whole || rec->length > FW_WHOLE_MAX)) {
        tell_begun(rec);
    }
    return FW_TAKE_IT;
}

static void
on_body(void *ctx, const char *data, size_t len)
{
    struct fw_up_rec *rec = ctx;
    struct fw_caller_rec *to = caller_of(rec);

    if (rec->kind == FW_RL_UP_RUN && !rec->whole) {
        Fw_EventCount_Add(&rec->events, data, len);
    }
    if (to) {
        note_gap(rec);
        Fw_Caller_Data(to->caller, data, len);
        if (Fw_Caller_Pending(to->caller) > FW_WAITING_MAX) {
            Fw_Exchange_Pause(rec->x, 1);
        }
        return;
    }
    if (rec->begun) {
        return; /* nobody wants it */
    }
    g_byte_array_append(rec->body, (const guint8 *)data, (guint)len);
    if (rec->body->len > FW_WHOLE_MAX && rec->kind == FW_RL_UP_RUN) {
        tell_begun(rec);
    }
}

static void
on_end(void *ctx)
{
    struct fw_up_rec *rec = ctx;
    struct fw_relayd *d = rec->d;
    uint64_t xid = rec->xid;
    int64_t now = Fw_Conn_Now();
    struct fw_rl_actions acts;

    rec->x = NULL;
    rec->done = 1;
    rec->ans.events = rec->events.n;
    Fw_RelayActions_Init(&acts);
    if (Fw_Platform_ReadBody(rec->kind, rec->body->data, rec->body->len,
                             &rec->ans)) {
        Fw_Relay_UpstreamFailed(d->relay, xid, -EBADMSG, 1, now, &acts);
    }
    else {
        Fw_Relay_ResponseEnded(d->relay, xid, &rec->ans, now, &acts);
    }
    Fw_Relayd_CarryOut(d, &acts);
    Fw_Up_Stop(d, xid);
}

static void
on_fail(void *ctx, int err, enum fw_sent sent)
{
    struct fw_up_rec *rec = ctx;
    struct fw_relayd *d = rec->d;
    uint64_t xid = rec->xid;
    struct fw_rl_actions acts;

    rec->x = NULL;
    Fw_RelayActions_Init(&acts);
    Fw_Relay_UpstreamFailed(d->relay, xid, err, sent == FW_SENT_SOME,
                            Fw_Conn_Now(), &acts);
    Fw_Relayd_CarryOut(d, &acts);
    Fw_Up_Stop(d, xid);
}

static const struct fw_exchange_ops ops = {
    .head = on_head,
    .body = on_body,
    .end = on_end,
    .fail = on_fail,
};

void
Fw_Up_Start(struct fw_relayd *d, const struct fw_rl_upstream_call *c)
{
    struct fw_caller_rec *from = g_hash_table_lookup(d->by_call, &c->call);
    struct fw_exchange_opts how = {.reuse_us = c->reuse_us,
                                   .connect_us = c->connect_us};
    struct fw_up_rec *rec = g_new0(struct fw_up_rec, 1);
    GString *head = g_string_sized_new(512);
    GBytes *body = NULL;
    int err = 0;

    rec->d = d;
    rec->xid = c->xid;
    rec->call = c->call;
    rec->kind = c->kind;
    rec->whole = c->buffer_response;
    rec->length = -1;
    rec->body = g_byte_array_new();
    g_hash_table_insert(d->ups, &rec->xid, rec);
    if (from) {
        g_strlcpy(rec->request_id, from->request_id, FW_ID_MAX);
        how.no_body =
            c->kind == FW_RL_UP_RUN && Fw_Http_MethodIs(from->head, "HEAD");
    }
    Fw_Platform_WriteCall(c, from ? from->head : NULL,
                          from ? from->body : NULL, d->opts.relay.name, head,
                          &body);
    rec->x =
        Fw_Exchange_Start(d->pool, c->addr, head, body, &how, &ops, rec, &err);
    if (!rec->x) {
        /* Told once the actions in hand are done. */
        g_queue_push_tail(&d->failed, g_memdup2(&c->xid, sizeof(c->xid)));
    }
    g_string_free(head, TRUE);
    if (body) {
        g_bytes_unref(body);
    }
}

void
Fw_Up_Pass(struct fw_up_rec *rec, struct fw_caller_rec *to)
{
    int64_t length = rec->done ? (int64_t)rec->body->len : rec->length;

    rec->begun = 1;
    to->passing = rec->xid;
    Fw_Caller_Start(to->caller, rec->ans.status, rec->fields->str, length);
    Fw_Caller_Data(to->caller, rec->body->data, rec->body->len);
    g_byte_array_set_size(rec->body, 0);
}
