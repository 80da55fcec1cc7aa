/* Recovery from failed engines: resume the stream, retry, or fail. */
#include <errno.h>
#include <string.h>
#include <syslog.h>

#include "base/fault.h"
#include "request/request_internal.h"

#define FW_HTTP_NOT_FOUND 404

/* Nonzero when the failure suggests that the engine crashed while running the
 * request. Refusals and timeouts don't. */
static int
engine_crashed(const struct fw_request *rq, const struct fw_up_event *ev)
{
    if (ev->phase != FW_UP_FAILED) {
        return 0;
    }
    if (ev->kind == FW_UP_RESUME && ev->status == FW_HTTP_NOT_FOUND) {
        return rq->expected_pieces < 0; /* restarted and lost the request */
    }
    if (ev->status != 0) {
        return 0;
    }
    if (ev->kind == FW_UP_RESUME) {
        return ev->err == -ECONNREFUSED || ev->err == -ECONNRESET ||
               ev->err == -EPIPE;
    }
    return rq->stage == FW_STAGE_PREFILL && ev->ran != FW_RAN_NO &&
           ev->err != -ETIMEDOUT && ev->err != -EBADMSG;
}

/* Resumes a broken or incomplete stream on the same engine, which may still
 * hold the KV; a retry would have to prefill again. Return: nonzero when a
 * resume was started. */
static int
try_resume(struct fw_requests *rs, struct fw_request *rq,
           const struct fw_up_event *ev, int64_t now_us,
           struct fw_actions *out)
{
    if (rq->stage != FW_STAGE_DECODE || rq->resumes >= FW_RESUMES_MAX) {
        return 0;
    }
    if (ev->kind == FW_UP_RESUME && ev->phase == FW_UP_FAILED &&
        (ev->status != 0 || ev->ran == FW_RAN_NO)) {
        return 0;
    }
    if (Fw_Request_StartDecode(rs, rq, FW_UP_RESUME, out)) {
        return 0;
    }
    rq->resumes++;
    rs->counters.resumed.value++;
    Fw_Request_Trace(rs, rq, now_us, "resume on %s from %u", rq->decode,
                     rq->piece_ends->len);
    return 1;
}

/* Nonzero when a working engine refused: it is full, lacks the model, or the
 * KV has expired. Counting these as failures would open circuit breakers under
 * high load. */
static int
engine_refused(const struct fw_up_event *ev)
{
    return ev->phase == FW_UP_FAILED &&
           (ev->status == 409 || ev->status == 410 || ev->status == 503);
}

static void
end_attempt(struct fw_requests *rs, struct fw_request *rq,
            const char *upstream, const struct fw_up_event *ev, int64_t now_us,
            struct fw_actions *out)
{
    if (rq->stage != FW_STAGE_DECODE) {
        Fw_Request_SendCancel(rs, rq->prefill, rq->seq, out);
    }
    if (rq->stage != FW_STAGE_PREFILL) {
        Fw_Request_SendCancel(rs, rq->decode, rq->seq, out);
    }
    if (rq->stage == FW_STAGE_IMPORT) {
        rs->counters.wasted.value += rq->prompt_tokens;
    }
    if (rq->n_failed_upstreams < FW_ATTEMPTS_MAX) {
        g_strlcpy(rq->failed_upstreams[rq->n_failed_upstreams++], upstream,
                  FW_NAME_MAX);
    }
    Fw_Route_ReportStep(rs->deps.router, rq->ticket,
                        engine_refused(ev) ? FW_STEP_REFUSED : FW_STEP_FAILED,
                        upstream, now_us, out);
    g_hash_table_remove(rs->by_seq, &rq->seq);
    rq->seq = 0;
    rq->resumes = 0;
}

void
Fw_Request_OnUpstreamLost(struct fw_requests *rs, struct fw_request *rq,
                          const char *upstream, const struct fw_up_event *ev,
                          int64_t now_us, struct fw_actions *out)
{
    char lost[FW_NAME_MAX];
    int crash = engine_crashed(rq, ev);

    if (!FW_FAULT("verdict-forgotten")) {
        rq->ran = MAX(rq->ran, ev->ran);
    }
    if (try_resume(rs, rq, ev, now_us, out)) {
        return;
    }
    g_strlcpy(lost, upstream, sizeof(lost));
    Fw_Actions_Note(out, LOG_WARNING, "upstream_lost", "upstream", lost,
                    "request", rq->id, "stage",
                    Fw_Request_StageName(rq->stage), "error",
                    g_strerror(-ev->err), NULL);
    Fw_Request_Trace(rs, rq, now_us, "lost %s in %s: %s", lost,
                     Fw_Request_StageName(rq->stage), g_strerror(-ev->err));
    end_attempt(rs, rq, lost, ev, now_us, out);
    if (crash) {
        Fw_Request_ReportStrike(rs, rq, now_us, out);
        return;
    }
    Fw_Request_Retry(rs, rq, now_us, out);
}

void
Fw_Request_Retry(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
                 struct fw_actions *out)
{
    rq->stage = FW_STAGE_IDLE;
    if (rq->attempts >= FW_ATTEMPTS_MAX) {
        Fw_Request_Fail(rs, rq, 502, "upstream_lost",
                        "several engines failed while running the request",
                        FW_SEC, now_us, out);
        return;
    }
    if (!Fw_Route_SpendRetry(rs->deps.router, now_us)) {
        Fw_Request_Fail(rs, rq, 503, "retry_budget",
                        "too many retries are under way", FW_SEC, now_us, out);
        return;
    }
    rs->counters.retried.value++;
    if ((int64_t)rq->piece_ends->len >= rq->max_tokens) {
        /* Only the end of the stream was lost: the answer is complete. */
        g_strlcpy(rq->finish_reason, "length", sizeof(rq->finish_reason));
        Fw_Request_Finish(rs, rq, now_us, out);
        return;
    }
    Fw_Request_Enqueue(rs, rq, now_us, out);
}
