/* Attempts: queueing, prefill, KV transfer and start of the decode. */
#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "request/request_internal.h"

void
Fw_Request_Enqueue(struct fw_requests *rs, struct fw_request *rq,
                   int64_t now_us, struct fw_actions *out)
{
    const char *avoid[FW_ATTEMPTS_MAX + 1] = {NULL};
    struct fw_route_request req = {
        .ticket = rq->ticket,
        .prompt = rq->body,
        .prompt_tokens = rq->prompt_tokens + rq->piece_ends->len,
        .max_tokens = rq->max_tokens - rq->piece_ends->len,
        .deadline_us = rq->deadline_us,
        /* Counted from the arrival of the request, the wait of a retry would
         * exceed its target and the router would refuse it. */
        .arrived_us = rq->attempts > 0 ? now_us : rq->arrived_us,
        .avoid = avoid,
        .exclusive = rq->strikes > 0,
    };

    for (int i = 0; i < rq->n_failed_upstreams; i++) {
        avoid[i] = rq->failed_upstreams[i];
    }
    g_strlcpy(req.team, rq->team, sizeof(req.team));
    g_strlcpy(req.model, rq->model, sizeof(req.model));
    rq->stage = FW_STAGE_QUEUE;
    rq->stage_deadline_us = 0;
    Fw_Route_Submit(rs->deps.router, Fw_ConfigReplica_Config(rs->deps.replica),
                    &req, now_us, out);
}

/* Text that an attempt prefills: the prompt and the output emitted so far. */
static GBytes *
prefill_text(const struct fw_request *rq)
{
    gsize size = 0;
    const char *prompt = g_bytes_get_data(rq->body, &size);
    GByteArray *text;

    if (rq->output->len == 0) {
        return g_bytes_ref(rq->body);
    }
    text = g_byte_array_sized_new((guint)(size + rq->output->len));
    g_byte_array_append(text, (const guint8 *)prompt, (guint)size);
    g_byte_array_append(text, (const guint8 *)rq->output->str,
                        (guint)rq->output->len);
    return g_byte_array_free_to_bytes(text);
}

static struct fw_up_start *
start_call(struct fw_requests *rs, struct fw_request *rq, enum fw_up_kind kind,
           const struct fw_upstream *up, int64_t timeout_us,
           struct fw_actions *out)
{
    struct fw_up_start *s;

    Fw_Request_AssignOp(rs, rq);
    s = Fw_Request_StartUpstreamCall(out, rq->op, kind, up, timeout_us);
    return s;
}

/* Splits "model+adapter"; @adapter is empty when there is none. */
static void
split_model(const char *model, char *base, char *adapter)
{
    const char *plus = strchr(model, '+');

    g_strlcpy(base, model, FW_NAME_MAX);
    adapter[0] = '\0';
    if (plus) {
        base[plus - model] = '\0';
        g_strlcpy(adapter, plus + 1, FW_NAME_MAX);
    }
}

static void
start_prefill(struct fw_requests *rs, struct fw_request *rq,
              const struct fw_upstream *up, struct fw_actions *out)
{
    const struct fw_team *team = Fw_Config_FindTeam(
        Fw_ConfigReplica_Config(rs->deps.replica), rq->team);
    struct fw_up_start *s;
    struct fw_up_prefill *p;

    Fw_Request_AssignSeq(rs, rq);
    s = start_call(rs, rq, FW_UP_PREFILL, up, FW_PREFILL_TIMEOUT_US, out);
    p = &s->u.prefill;
    Fw_Request_EngineId(rs, rq->seq, p->request, sizeof(p->request));
    g_strlcpy(p->team, rq->team, sizeof(p->team));
    split_model(rq->model, p->model, p->adapter);
    p->prompt = prefill_text(rq);
    p->priority = team ? team->priority : 0;
    rq->stage = FW_STAGE_PREFILL;
}

void
Fw_Requests_OnPair(struct fw_requests *rs, const struct fw_route_answer *ans,
                   int64_t now_us, struct fw_actions *out)
{
    const struct fw_config *cfg = Fw_ConfigReplica_Config(rs->deps.replica);
    struct fw_request *rq = Fw_Request_ByTicket(rs, ans->ticket);
    const struct fw_upstream *up;

    if (!rq || rq->stage != FW_STAGE_QUEUE) {
        return;
    }
    if (ans->status) {
        Fw_Request_Fail(rs, rq, ans->status, ans->code,
                        "no engines can serve the request in time",
                        ans->retry_after_us, now_us, out);
        return;
    }
    up = Fw_Config_FindUpstream(cfg, ans->prefill);
    if (!up || !Fw_Config_FindUpstream(cfg, ans->decode)) {
        /* The engine was removed from the configuration after the choice. */
        Fw_Route_ReportStep(rs->deps.router, rq->ticket, FW_STEP_CANCELLED,
                            NULL, now_us, out);
        Fw_Request_Enqueue(rs, rq, now_us, out);
        return;
    }
    Fw_Request_Trace(rs, rq, now_us, "pair %s > %s: %s", ans->prefill,
                     ans->decode, ans->explanation);
    g_strlcpy(rq->prefill, ans->prefill, sizeof(rq->prefill));
    g_strlcpy(rq->decode, ans->decode, sizeof(rq->decode));
    rq->attempts++;
    start_prefill(rs, rq, up, out);
}

void
Fw_Request_OnPrefill(struct fw_requests *rs, struct fw_request *rq,
                     const struct fw_up_event *ev, int64_t now_us,
                     struct fw_actions *out)
{
    const struct fw_config *cfg = Fw_ConfigReplica_Config(rs->deps.replica);
    const struct fw_upstream *from = Fw_Config_FindUpstream(cfg, rq->prefill);
    const struct fw_upstream *to = Fw_Config_FindUpstream(cfg, rq->decode);
    struct fw_up_import *im;

    Fw_Request_ClearOp(rs, rq);
    if (ev->phase == FW_UP_FAILED || !from || !to) {
        Fw_Request_OnUpstreamLost(rs, rq, rq->prefill, ev, now_us, out);
        return;
    }
    rq->ran = FW_RAN_YES;
    rq->cached_tokens = ev->u.kv.cached_tokens;
    g_strlcpy(rq->kv_id, ev->u.kv.kv, sizeof(rq->kv_id));
    Fw_Route_SetCachedTokens(rs->deps.router, rq->ticket, rq->cached_tokens);
    Fw_Route_ReportStep(rs->deps.router, rq->ticket, FW_STEP_PREFILLED, NULL,
                        now_us, out);
    Fw_Request_Trace(rs, rq, now_us, "prefilled %" PRId64 ", cached %" PRId64,
                     ev->u.kv.tokens, ev->u.kv.cached_tokens);
    im = &start_call(rs, rq, FW_UP_IMPORT, to, FW_IMPORT_TIMEOUT_US, out)
              ->u.import;
    Fw_Request_EngineId(rs, rq->seq, im->request, sizeof(im->request));
    g_strlcpy(im->kv, rq->kv_id, sizeof(im->kv));
    g_strlcpy(im->from_url, from->url, sizeof(im->from_url));
    im->tokens = ev->u.kv.tokens;
    rq->stage = FW_STAGE_IMPORT;
}

void
Fw_Request_OnImport(struct fw_requests *rs, struct fw_request *rq,
                    const struct fw_up_event *ev, int64_t now_us,
                    struct fw_actions *out)
{
    struct fw_up_event removed = {.phase = FW_UP_FAILED, .err = -ENOENT};

    Fw_Request_ClearOp(rs, rq);
    if (ev->phase == FW_UP_FAILED) {
        Fw_Request_OnUpstreamLost(rs, rq, rq->decode, ev, now_us, out);
        return;
    }
    rq->transfer_us = ev->u.transfer_us;
    Fw_Route_ReportStep(rs->deps.router, rq->ticket, FW_STEP_IMPORTED, NULL,
                        now_us, out);
    Fw_Request_Trace(rs, rq, now_us, "transferred in %" PRId64 " us",
                     rq->transfer_us);
    rq->stage = FW_STAGE_DECODE;
    if (Fw_Request_StartDecode(rs, rq, FW_UP_DECODE, out)) {
        /* The engine was removed from the configuration during the import. */
        removed.kind = FW_UP_DECODE;
        Fw_Request_OnUpstreamLost(rs, rq, rq->decode, &removed, now_us, out);
    }
}

int
Fw_Request_StartDecode(struct fw_requests *rs, struct fw_request *rq,
                       enum fw_up_kind kind, struct fw_actions *out)
{
    const struct fw_upstream *up = Fw_Config_FindUpstream(
        Fw_ConfigReplica_Config(rs->deps.replica), rq->decode);
    struct fw_up_decode *d;

    if (!up) {
        return -ENOENT;
    }
    d = &start_call(rs, rq, kind, up, FW_PIECE_TIMEOUT_US, out)->u.decode;
    Fw_Request_EngineId(rs, rq->seq, d->request, sizeof(d->request));
    g_strlcpy(d->kv, rq->kv_id, sizeof(d->kv));
    d->from_index = rq->piece_ends->len;
    d->max_tokens = rq->max_tokens - rq->piece_ends->len;
    return 0;
}

void
Fw_Request_SendCancel(struct fw_requests *rs, const char *upstream,
                      uint64_t seq, struct fw_actions *out)
{
    const struct fw_upstream *up = Fw_Config_FindUpstream(
        Fw_ConfigReplica_Config(rs->deps.replica), upstream);
    struct fw_up_start *s;

    if (!up) {
        return;
    }
    s = Fw_Request_StartUpstreamCall(
        out, Fw_Owner_MakeId(FW_OWNER_REQUEST, ++rs->next_op), FW_UP_CANCEL,
        up, FW_IMPORT_TIMEOUT_US);
    Fw_Request_EngineId(rs, seq, s->u.cancel.request,
                        sizeof(s->u.cancel.request));
}
