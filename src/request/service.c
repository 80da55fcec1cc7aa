/* Service calls. Idempotent ones are retried on other servers; the others are
 * sent at most once, guarded by the idempotency record of their key. */
#include <errno.h>
#include <string.h>
#include <syslog.h>

#include "base/hash.h"
#include "request/request_internal.h"

static uint64_t
body_hash(const struct fw_request *rq)
{
    gsize size = 0;
    const void *data = rq->body ? g_bytes_get_data(rq->body, &size) : NULL;
    uint64_t seed = Fw_Hash_Str(rq->path) ^ Fw_Hash_Str(rq->method);

    return Fw_Hash_Bytes(data ? data : "", size, seed);
}

static void
send_call(struct fw_requests *rs, struct fw_request *rq,
          const struct fw_upstream *up, int64_t now_us, struct fw_actions *out)
{
    struct fw_up_start *s;
    struct fw_up_service *call;

    Fw_Request_AssignOp(rs, rq);
    s = Fw_Request_StartUpstreamCall(out, rq->op, FW_UP_SERVICE, up,
                                     FW_SERVICE_TIMEOUT_US);
    call = &s->u.service;
    g_strlcpy(call->request, rq->id, sizeof(call->request));
    g_strlcpy(call->team, rq->team, sizeof(call->team));
    g_strlcpy(call->idem_key, rq->idem_key, sizeof(call->idem_key));
    g_strlcpy(call->method, rq->method, sizeof(call->method));
    g_strlcpy(call->content_type, rq->content_type,
              sizeof(call->content_type));
    call->path = g_strdup(rq->path);
    call->body = rq->body ? g_bytes_ref(rq->body) : NULL;
    call->at_most_once = !rq->idempotent;
    g_strlcpy(rq->decode, up->name, sizeof(rq->decode));
    rq->stage = FW_STAGE_SERVICE;
    rq->sent_us = now_us;
    rq->attempts++;
}

/* Sends the call to a server, or fails it when none is usable. */
static void
send_to_server(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
               struct fw_actions *out)
{
    const char *avoid[FW_ATTEMPTS_MAX + 1] = {NULL};
    const struct fw_upstream *up;

    for (int i = 0; i < rq->n_failed_upstreams; i++) {
        avoid[i] = rq->failed_upstreams[i];
    }
    up = Fw_Route_PickServer(rs->deps.router,
                             Fw_ConfigReplica_Config(rs->deps.replica),
                             rq->service, avoid, now_us);
    if (!up) {
        if (!rq->idempotent) {
            Fw_Idem_Finish(rs->deps.idem, rq->ticket, FW_RAN_NO, 0, "", NULL,
                           now_us, out);
        }
        rq->stage = FW_STAGE_IDLE;
        Fw_Request_Fail(rs, rq, 503, "no_server",
                        "no server of the service can be used", FW_SEC, now_us,
                        out);
        return;
    }
    send_call(rs, rq, up, now_us, out);
}

static struct fw_request *
new_service_call(struct fw_requests *rs, const struct fw_call *call,
                 const struct fw_team *team, int idempotent, int64_t now_us)
{
    struct fw_request *rq = Fw_Request_FromCall(rs, call, team, now_us);

    g_strlcpy(rq->service, call->service, sizeof(rq->service));
    g_strlcpy(rq->method, call->method, sizeof(rq->method));
    g_strlcpy(rq->content_type, call->content_type, sizeof(rq->content_type));
    g_strlcpy(rq->idem_key, call->idem_key, sizeof(rq->idem_key));
    rq->path = g_strdup(call->path);
    rq->body = call->body ? g_bytes_ref(call->body) : NULL;
    rq->idempotent = idempotent;
    return rq;
}

void
Fw_Service_Open(struct fw_requests *rs, const struct fw_call *call,
                const struct fw_team *team, int64_t now_us,
                struct fw_actions *out)
{
    const struct fw_service *svc = Fw_Config_FindService(
        Fw_ConfigReplica_Config(rs->deps.replica), call->service);
    const struct fw_service_call *allowed =
        svc ? Fw_Config_FindServiceCall(svc, call->method, call->path) : NULL;
    struct fw_request *rq;

    if (!allowed) {
        Fw_Request_Refuse(out, call, 404, "no_such_call",
                          "the service has no such call", 0);
        return;
    }
    if (!allowed->idempotent && !call->idem_key[0]) {
        Fw_Request_Refuse(out, call, 400, "idempotency_key_missing",
                          "this call needs an Idempotency-Key header", 0);
        return;
    }
    rq = new_service_call(rs, call, team, allowed->idempotent, now_us);
    if (rq->idempotent) {
        send_to_server(rs, rq, now_us, out);
        return;
    }
    rq->stage = FW_STAGE_IDEM;
    Fw_Idem_Claim(rs->deps.idem, rq->ticket, rq->service, rq->team,
                  rq->idem_key, body_hash(rq), now_us, out);
}

static void
answer_callers(struct fw_requests *rs, struct fw_request *rq, int status,
               const char *content_type, GBytes *body, struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &rq->subscribers) {
        struct fw_subscriber *sub =
            FW_LIST_ENTRY(pos, struct fw_subscriber, link);
        struct fw_call_response *a =
            &Fw_Actions_Add(out, FW_ACT_CALL_RESPONSE)->u.answer;
        a->call = sub->call;
        a->status = status;
        a->ran = FW_RAN_YES;
        g_strlcpy(a->request_id, rq->id, sizeof(a->request_id));
        g_strlcpy(a->content_type, content_type, sizeof(a->content_type));
        a->body = body ? g_bytes_ref(body) : g_bytes_new(NULL, 0);
        Fw_Subscriber_Remove(rs, sub);
    }
    rs->counters.finished.value++;
    rq->stage = FW_STAGE_IDLE;
    Fw_Request_Free(rs, rq);
}

/* Errors by result of the idempotency record. */
static const struct {
    int status;
    const char *code;
    const char *message;
    enum fw_ran ran;
} idem_errors[] = {
    [FW_IDEM_OUTCOME_UNKNOWN] = {409, "outcome_unknown",
                                 "begun before; whether it ran is not known",
                                 FW_RAN_MAYBE},
    [FW_IDEM_NOT_RUN] = {409, "not_run",
                         "an earlier try with this key did not run; send it "
                         "again",
                         FW_RAN_NO},
    [FW_IDEM_MISMATCH] = {422, "idempotency_mismatch",
                          "the key was used with another request", FW_RAN_NO},
    [FW_IDEM_TOO_OLD] = {409, "idempotency_key_too_old",
                         "the key is older than records are kept",
                         FW_RAN_MAYBE},
    [FW_IDEM_UNAVAILABLE] = {503, "log_unavailable",
                             "calls that may not be repeated need the log",
                             FW_RAN_NO},
};

void
Fw_Requests_OnIdem(struct fw_requests *rs, struct fw_idem_answer *ans,
                   int64_t now_us, struct fw_actions *out)
{
    struct fw_request *rq = Fw_Request_ByTicket(rs, ans->ticket);

    if (!rq || rq->stage != FW_STAGE_IDEM) {
        if (ans->result == FW_IDEM_RUN) {
            /* The request has ended: record that the call did not run. */
            Fw_Idem_Finish(rs->deps.idem, ans->ticket, FW_RAN_NO, 0, "", NULL,
                           now_us, out);
        }
    }
    else if (ans->result == FW_IDEM_RECORDED) {
        answer_callers(rs, rq, ans->status, ans->content_type, ans->body, out);
    }
    else if (ans->result != FW_IDEM_RUN) {
        rq->ran = idem_errors[ans->result].ran;
        rq->stage = FW_STAGE_IDLE;
        Fw_Request_Fail(rs, rq, idem_errors[ans->result].status,
                        idem_errors[ans->result].code,
                        idem_errors[ans->result].message, ans->retry_after_us,
                        now_us, out);
    }
    else if (Fw_Idem_BeginRun(rs->deps.idem, rq->ticket, now_us) != 0) {
        rq->stage = FW_STAGE_IDLE;
        Fw_Request_Fail(rs, rq, 503, "paused",
                        "the right to run the call lapsed", FW_SEC, now_us,
                        out);
    }
    else {
        send_to_server(rs, rq, now_us, out);
    }
    g_bytes_unref(ans->body);
    ans->body = NULL;
}

static void
fail_non_idempotent(struct fw_requests *rs, struct fw_request *rq,
                    const struct fw_up_event *ev, int64_t now_us,
                    struct fw_actions *out)
{
    rq->ran = ev->ran;
    Fw_Idem_Finish(rs->deps.idem, rq->ticket, ev->ran, 0, "", NULL, now_us,
                   out);
    rq->stage = FW_STAGE_IDLE;
    if (ev->ran == FW_RAN_NO) {
        Fw_Request_Fail(rs, rq, 503, "upstream_unreachable",
                        "the server could not be reached", FW_SEC, now_us,
                        out);
        return;
    }
    Fw_Request_Fail(rs, rq, 502, "answer_lost",
                    "the answer was lost; the call may have run", 0, now_us,
                    out);
}

static void
retry_idempotent(struct fw_requests *rs, struct fw_request *rq,
                 const struct fw_up_event *ev, int64_t now_us,
                 struct fw_actions *out)
{
    rq->ran = MAX(rq->ran, ev->ran);
    rq->stage = FW_STAGE_IDLE;
    if (rq->n_failed_upstreams < FW_ATTEMPTS_MAX) {
        g_strlcpy(rq->failed_upstreams[rq->n_failed_upstreams++], rq->decode,
                  FW_NAME_MAX);
    }
    if (rq->attempts < FW_SERVICE_ATTEMPTS_MAX &&
        Fw_Route_SpendRetry(rs->deps.router, now_us)) {
        rs->counters.retried.value++;
        send_to_server(rs, rq, now_us, out);
        return;
    }
    Fw_Request_Fail(rs, rq, 502, "upstream_lost",
                    "the servers of the service failed", FW_SEC, now_us, out);
}

void
Fw_Service_OnUp(struct fw_requests *rs, struct fw_request *rq,
                const struct fw_up_event *ev, int64_t now_us,
                struct fw_actions *out)
{
    const struct fw_up_response *a = &ev->u.answer;

    Fw_Request_ClearOp(rs, rq);
    Fw_Route_ReportServerResult(rs->deps.router, rq->decode,
                                ev->phase == FW_UP_DONE, now_us - rq->sent_us,
                                now_us);
    if (ev->phase == FW_UP_DONE) {
        if (!rq->idempotent) {
            Fw_Idem_Finish(rs->deps.idem, rq->ticket, FW_RAN_YES, a->status,
                           a->content_type, a->body, now_us, out);
        }
        answer_callers(rs, rq, a->status, a->content_type, a->body, out);
    }
    else if (rq->idempotent) {
        retry_idempotent(rs, rq, ev, now_us, out);
    }
    else {
        fail_non_idempotent(rs, rq, ev, now_us, out);
    }
}

void
Fw_Service_Abandon(struct fw_requests *rs, struct fw_request *rq,
                   int64_t now_us, struct fw_actions *out)
{
    if (rq->stage != FW_STAGE_SERVICE || !rq->op) {
        return;
    }
    Fw_Actions_Add(out, FW_ACT_UP_STOP)->u.stop = rq->op;
    Fw_Request_ClearOp(rs, rq);
    if (!rq->idempotent) {
        Fw_Idem_Finish(rs->deps.idem, rq->ticket, FW_RAN_MAYBE, 0, "", NULL,
                       now_us, out);
    }
}
