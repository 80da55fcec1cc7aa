/* Calls to upstreams, and forwarding of their responses to callers. */
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "http/conn.h"
#include "io/logger.h"
#include "relayd/relayd_internal.h"

/* Least memory of a response that is held back, as GLib allocates it. */
#define FW_BODY_MIN_BYTES 16
/*
 * Responses up to this size are buffered until complete, if memory is free, so
 * that a truncated one can be replaced by a retry on another server.
 */
#define FW_BUFFERED_RESPONSE_BYTES (64 * 1024)

/* Largest response to a call that the router makes for itself. */
#define FW_OWN_RESPONSE_MAX_BYTES (1024 * 1024)

void
Fw_UpstreamCall_AddMetrics(struct fw_relayd *d)
{
    d->chunk_gap_s.name = "fw_phase_gap_seconds";
    d->chunk_gap_s.help = "Between two parts of a response that is passed on";
    Fw_Metrics_AddHistogram(Fw_Relay_Metrics(d->relay), &d->chunk_gap_s);
}

/* Records the time between two chunks of an unbuffered response. */
static void
observe_chunk_gap(struct fw_upstream_call *call)
{
    int64_t now = Fw_Conn_NowUs();

    if (call->last_chunk_us && !call->buffered) {
        Fw_Histogram_Add(&call->d->chunk_gap_s, now - call->last_chunk_us);
    }
    call->last_chunk_us = now;
}

/* Whether the request of a caller is sent. */
static int
carries_request(enum fw_rl_upstream_kind kind)
{
    return kind == FW_RL_UP_RUN || kind == FW_RL_UP_PREFILL ||
           kind == FW_RL_UP_HANDOVER;
}

int
Fw_UpstreamCall_AnswersCaller(const struct fw_upstream_call *call)
{
    return call->kind == FW_RL_UP_RUN || call->kind == FW_RL_UP_HANDOVER;
}

/* Charges the part of the response that is held back. */
static void
charge_response(struct fw_upstream_call *call)
{
    size_t bytes = call->body_size;

    if (call->fields) {
        bytes += call->fields->allocated_len;
    }
    Fw_HeldAccount_Set(call->account, FW_HELD_RESPONSE, &call->charged, bytes);
}

static void
hold_body(struct fw_upstream_call *call, const char *data, size_t len)
{
    g_byte_array_append(call->body, (const guint8 *)data, (guint)len);
    while (call->body_size < call->body->len) {
        call->body_size = MAX(2 * call->body_size, FW_BODY_MIN_BYTES);
    }
    charge_response(call);
}

static void
drop_body(struct fw_upstream_call *call)
{
    g_byte_array_unref(call->body);
    call->body = g_byte_array_new();
    call->body_size = 0;
    charge_response(call);
}

void
Fw_UpstreamCall_Free(gpointer data)
{
    struct fw_upstream_call *call = data;

    Fw_UpstreamCall_LogAbandoned(call);

    Fw_HeldWait_Cancel(&call->wait);
    Fw_Held_SetGiven(call->d->held, call->addr, &call->given, 0);
    Fw_HeldAccount_Set(call->account, FW_HELD_RESPONSE, &call->charged, 0);
    Fw_HeldAccount_Unref(call->account);

    if (call->exchange) {
        Fw_Exchange_Abort(call->exchange);
    }
    if (call->fields) {
        g_string_free(call->fields, TRUE);
    }
    g_byte_array_unref(call->body);
    g_free(call->server);
    g_free(call->request_id);
    g_free(call);
}

void
Fw_UpstreamCall_Remove(struct fw_relayd *d, uint64_t xid)
{
    g_hash_table_remove(d->upstream_calls, &xid);
}

static struct fw_caller_request *
forward_target(const struct fw_upstream_call *call)
{
    struct fw_caller_request *c =
        g_hash_table_lookup(call->d->requests_by_id, &call->caller_request_id);

    return c && c->forwarded_xid == call->xid ? c : NULL;
}

/* Copies the response's fields without hop-by-hop fields and framing. */
static GString *
forwarded_fields(const struct fw_http_head *h)
{
    GString *out = g_string_sized_new(256);

    for (int i = 0; i < h->n_fields; i++) {
        const struct fw_http_field *f = &h->fields[i];

        if (Fw_Http_IsHopByHop(h, f) || Fw_Http_FieldIs(f, "content-length")) {
            continue;
        }
        Fw_Http_AppendField(out, f);
    }
    return out;
}

/* Follows the body that is to be sent to a caller. */
static void
follow_body(struct fw_upstream_call *call, const struct fw_http_head *h)
{
    const struct fw_http_field *type = Fw_Http_FindField(h, "Content-Type");
    struct fw_response_form form = {.status = h->status,
                                    .ends_at_close =
                                        h->framing == FW_HTTP_UNTIL_CLOSE &&
                                        !call->has_no_body,
                                    .is_route_streaming = call->is_streaming,
                                    .type = type ? type->value : NULL,
                                    .type_len = type ? type->value_len : 0};

    call->framing = h->framing;
    if (Fw_UpstreamCall_AnswersCaller(call)) {
        Fw_ResponseBody_Begin(&call->response_body, &form);
    }
}

static void
notify_head(struct fw_upstream_call *call)
{
    struct fw_relayd *d = call->d;
    struct fw_rl_actions acts;

    Fw_RelayActions_Init(&acts);
    Fw_Relay_ResponseHead(d->relay, call->xid, &call->answer, Fw_Conn_NowUs(),
                          &acts);
    Fw_Relayd_ExecuteActions(d, &acts);
}

static void
notify_begun(struct fw_upstream_call *call)
{
    struct fw_relayd *d = call->d;
    struct fw_rl_actions acts;

    call->response_started = 1;
    Fw_RelayActions_Init(&acts);
    Fw_Relay_ResponseBegan(d->relay, call->xid, &call->answer, Fw_Conn_NowUs(),
                           &acts);
    Fw_Relayd_ExecuteActions(d, &acts);
}

/* Instances answer once, and some of their rejections bear no id. */
static enum fw_head_action
match_answer(const struct fw_upstream_call *call, const struct fw_http_head *h)
{
    const char *id = carries_request(call->kind) ? call->request_id : "";

    switch (Fw_Platform_MatchResponse(h, id)) {
    case FW_ANSWER_OURS:
        return FW_HEAD_ACCEPT;
    case FW_ANSWER_UNIDENTIFIED:
        return call->kind == FW_RL_UP_HANDOVER ? FW_HEAD_ACCEPT
                                               : FW_HEAD_UNIDENTIFIED;
    case FW_ANSWER_OF_OTHER:
        break;
    }
    return FW_HEAD_DISCARD;
}

static enum fw_head_action
on_head(void *ctx, const struct fw_http_head *h)
{
    struct fw_upstream_call *call = ctx;
    enum fw_head_action action = match_answer(call, h);

    if (action != FW_HEAD_ACCEPT) {
        Fw_UpstreamCall_LogUnmatched(call, h);
        return action;
    }
    Fw_Platform_ParseResponseHead(
        h, carries_request(call->kind) ? call->request_id : "", call->server,
        &call->answer);
    notify_head(call);
    call->fields = forwarded_fields(h);
    charge_response(call);
    follow_body(call, h);
    /* With its length, a stream that lacks its end would look complete. */
    call->content_length = h->framing == FW_HTTP_CONTENT_LENGTH &&
                                   !call->response_body.is_event_stream
                               ? (int64_t)h->length
                               : -1;
    if (h->framing == FW_HTTP_NO_BODY) {
        call->content_length = 0;
    }
    if (Fw_UpstreamCall_AnswersCaller(call) && !call->answer.not_run &&
        !call->answer.handover_refused &&
        (!call->buffered ||
         call->content_length > FW_BUFFERED_RESPONSE_BYTES)) {
        notify_begun(call);
    }
    return FW_HEAD_ACCEPT;
}

/* Ends a call whose response is larger than any that it may get. */
static void
fail_oversized(struct fw_upstream_call *call)
{
    struct fw_relayd *d = call->d;
    uint64_t xid = call->xid;
    struct fw_rl_actions acts;

    Fw_RelayActions_Init(&acts);
    Fw_Relay_UpstreamFailed(d->relay, xid, -EMSGSIZE, 1, Fw_Conn_NowUs(),
                            &acts);
    Fw_Relayd_ExecuteActions(d, &acts);
    Fw_UpstreamCall_Remove(d, xid);
}

static void
on_body(void *ctx, const char *data, size_t len)
{
    struct fw_upstream_call *call = ctx;
    struct fw_caller_request *to = forward_target(call);

    if (!Fw_UpstreamCall_AnswersCaller(call) &&
        call->body->len + len > FW_OWN_RESPONSE_MAX_BYTES) {
        fail_oversized(call);
        return;
    }
    Fw_ResponseBody_Add(&call->response_body, data, len);
    if (to) {
        observe_chunk_gap(call);
        Fw_Caller_Data(to->caller, data, len);
        Fw_Memory_PauseIfBehind(call, to->caller);
        return;
    }
    if (call->response_started) {
        return; /* no caller to forward to */
    }
    hold_body(call, data, len);
    if (Fw_UpstreamCall_AnswersCaller(call) &&
        (call->body->len > FW_BUFFERED_RESPONSE_BYTES ||
         !Fw_HeldAccount_Room(call->account))) {
        notify_begun(call);
    }
}

static void
on_end(void *ctx)
{
    struct fw_upstream_call *call = ctx;
    struct fw_relayd *d = call->d;
    uint64_t xid = call->xid;
    int64_t now = Fw_Conn_NowUs();
    struct fw_rl_actions acts;

    call->exchange = NULL;
    call->complete = 1;
    call->answer.events = call->response_body.events.events;
    Fw_RelayActions_Init(&acts);
    if (Fw_ResponseBody_End(&call->response_body) != FW_RESPONSE_WHOLE) {
        Fw_UpstreamCall_LogBroken(call, 0);
        Fw_Relay_UpstreamFailed(d->relay, xid, -EPIPE, 1, now, &acts);
    }
    else if (Fw_Platform_ParseResponseBody(call->kind, call->body->data,
                                           call->body->len, &call->answer)) {
        Fw_Relay_UpstreamFailed(d->relay, xid, -EBADMSG, 1, now, &acts);
    }
    else {
        Fw_Relay_ResponseEnded(d->relay, xid, &call->answer, now, &acts);
    }
    Fw_Relayd_ExecuteActions(d, &acts);
    Fw_UpstreamCall_Remove(d, xid);
}

static void
on_fail(void *ctx, int err, enum fw_sent sent)
{
    struct fw_upstream_call *call = ctx;
    struct fw_relayd *d = call->d;
    uint64_t xid = call->xid;
    struct fw_rl_actions acts;

    call->exchange = NULL;
    Fw_UpstreamCall_LogBroken(call, err);
    Fw_RelayActions_Init(&acts);
    Fw_Relay_UpstreamFailed(d->relay, xid, err, sent == FW_SENT_SOME,
                            Fw_Conn_NowUs(), &acts);
    Fw_Relayd_ExecuteActions(d, &acts);
    Fw_UpstreamCall_Remove(d, xid);
}

static const struct fw_exchange_ops ops = {
    .head = on_head,
    .body = on_body,
    .end = on_end,
    .fail = on_fail,
};

static int
may_wait(const struct fw_relayd *d, const struct fw_rl_upstream_call *c,
         const GString *head, GBytes *body)
{
    size_t body_bytes = body ? g_bytes_get_size(body) : 0;

    return !carries_request(c->kind) ||
           (Fw_Held_MayWait(d->held, c->addr, head->len + body_bytes) &&
            Fw_Held_MayGive(d->held, c->addr, body_bytes));
}

/*
 * A server that doesn't read what waits for it, or that there is no descriptor
 * for, is treated as if it had rejected the request, of which nothing was
 * sent: it may go elsewhere.
 */
static void
report_refused(struct fw_upstream_call *call, struct fw_rl_actions *acts)
{
    struct fw_rl_upstream_response answer = {.status = 503, .not_run = 1};

    answer.handover_refused = call->kind == FW_RL_UP_HANDOVER;
    Fw_Logger_Log(LOG_INFO, "server_unread", "id", call->request_id, NULL);
    Fw_Relay_ResponseEnded(call->d->relay, call->xid, &answer, Fw_Conn_NowUs(),
                           acts);
}

void
Fw_UpstreamCall_ReportFailed(struct fw_relayd *d, uint64_t xid,
                             struct fw_rl_actions *acts)
{
    struct fw_upstream_call *call =
        g_hash_table_lookup(d->upstream_calls, &xid);

    if (call && call->is_refused) {
        report_refused(call, acts);
    }
    else {
        Fw_Relay_UpstreamFailed(d->relay, xid, -ECONNREFUSED, 0,
                                Fw_Conn_NowUs(), acts);
    }
    Fw_UpstreamCall_Remove(d, xid);
}

void
Fw_UpstreamCall_Start(struct fw_relayd *d, const struct fw_rl_upstream_call *c)
{
    struct fw_caller_request *from =
        g_hash_table_lookup(d->requests_by_id, &c->call);
    struct fw_exchange_opts opts = {.reuse_idle_max_us = c->reuse_us,
                                    .connect_timeout_us = c->connect_us,
                                    .is_control = !carries_request(c->kind),
                                    .may_answer_twice =
                                        c->kind != FW_RL_UP_HANDOVER};
    struct fw_upstream_call *call = g_new0(struct fw_upstream_call, 1);
    GString *head = g_string_sized_new(512);
    GBytes *body = NULL;
    int err = 0;

    call->d = d;
    call->xid = c->xid;
    call->caller_request_id = c->call;
    call->kind = c->kind;
    call->server = g_strdup(c->server);
    call->buffered = c->buffer_response;
    call->is_streaming = c->is_streaming;
    call->content_length = -1;
    call->started_us = Fw_Conn_NowUs();
    call->body = g_byte_array_new();
    g_hash_table_insert(d->upstream_calls, &call->xid, call);
    call->request_id = g_strdup(from ? from->request_id : "");
    if (from) {
        call->has_no_body = Fw_UpstreamCall_AnswersCaller(call) &&
                            Fw_Http_MethodIs(from->head, "HEAD");
        opts.no_body = call->has_no_body;
        opts.tag = carries_request(c->kind) && call->request_id[0]
                       ? Fw_Hash_Str(call->request_id)
                       : 0;
    }
    Fw_Platform_WriteUpstreamRequest(c, from ? from->head : NULL,
                                     from ? from->body : NULL,
                                     d->opts.relay.name, head, &body);
    if (!may_wait(d, c, head, body)) {
        call->is_refused = 1;
    }
    else {
        call->exchange = Fw_Exchange_Start(d->pool, c->addr, head, body, &opts,
                                           &ops, call, &err);
        call->is_refused = err == -EMFILE && carries_request(c->kind);
    }
    if (call->exchange) {
        call->account =
            Fw_HeldAccount_Ref(Fw_Exchange_Account(call->exchange));
        g_strlcpy(call->addr, c->addr, sizeof(call->addr));
        Fw_Held_SetGiven(
            d->held, c->addr, &call->given,
            carries_request(c->kind) && body ? g_bytes_get_size(body) : 0);
    }
    else {
        /* Reported after the current actions; see Fw_Relayd_ExecuteActions. */
        g_queue_push_tail(&d->failed_calls,
                          g_memdup2(&c->xid, sizeof(c->xid)));
    }
    g_string_free(head, TRUE);
    if (body) {
        g_bytes_unref(body);
    }
}

void
Fw_UpstreamCall_Forward(struct fw_upstream_call *call,
                        struct fw_caller_request *to)
{
    int64_t length =
        call->complete ? (int64_t)call->body->len : call->content_length;

    call->response_started = 1;
    to->forwarded_xid = call->xid;
    Fw_Caller_Start(to->caller, call->answer.status, call->fields->str,
                    length);
    Fw_Caller_Data(to->caller, call->body->data, call->body->len);
    drop_body(call);
    /* It isn't sent again, and what is being sent is referenced. */
    to->body = NULL;
    Fw_Caller_ReleaseBody(to->caller);
}
