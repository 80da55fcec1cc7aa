/* Refuses and fails requests and releases the resources they hold. */
#include <string.h>
#include <syslog.h>

#include "request/request_internal.h"

void
Fw_Request_Refuse(struct fw_actions *out, const struct fw_call *call,
                  int status, const char *code, const char *message,
                  int64_t retry_after_us)
{
    struct fw_call_fail *f = &Fw_Actions_Add(out, FW_ACT_CALL_FAIL)->u.fail;

    f->call = call->call;
    f->status = status;
    f->ran = FW_RAN_NO;
    f->retry_after_us = retry_after_us;
    g_strlcpy(f->request_id, call->request_id, sizeof(f->request_id));
    g_strlcpy(f->code, code, sizeof(f->code));
    g_strlcpy(f->message, message, sizeof(f->message));
}

/* An upstream may have begun a running call by the time it is cancelled, so
 * the verdict can't be "no", which tells the caller that a resend is safe. */
static void
mark_running_call(struct fw_request *rq)
{
    if (rq->op) {
        rq->ran = MAX(rq->ran, FW_RAN_MAYBE);
    }
}

/* Tokens charged to the team: none unless an engine may have begun. */
static int64_t
charged_tokens(const struct fw_request *rq)
{
    return rq->ran == FW_RAN_NO ? 0 : rq->prompt_tokens + rq->piece_ends->len;
}

static void
refund(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
       struct fw_actions *out)
{
    const struct fw_team *team = Fw_Config_FindTeam(
        Fw_ConfigReplica_Config(rs->deps.replica), rq->team);
    int64_t unused = rq->granted_tokens - charged_tokens(rq);

    rq->granted_tokens = 0;
    if (team && unused > 0) {
        Fw_Limit_Refund(rs->deps.limit, team, unused, now_us, out);
    }
}

static void
stop_op(struct fw_requests *rs, struct fw_request *rq, struct fw_actions *out)
{
    if (rq->op) {
        Fw_Actions_Add(out, FW_ACT_UP_STOP)->u.stop = rq->op;
        Fw_Request_ClearOp(rs, rq);
    }
}

static void
cancel_attempt(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
               struct fw_actions *out)
{
    uint64_t seq = rq->seq;

    stop_op(rs, rq, out);
    if (!seq) {
        return;
    }
    if (rq->stage == FW_STAGE_PREFILL || rq->stage == FW_STAGE_IMPORT) {
        rs->counters.wasted.value += rq->prompt_tokens;
        Fw_Request_SendCancel(rs, rq->prefill, seq, out);
    }
    if (rq->stage == FW_STAGE_IMPORT || rq->stage == FW_STAGE_DECODE) {
        Fw_Request_SendCancel(rs, rq->decode, seq, out);
    }
    Fw_Route_ReportStep(rs->deps.router, rq->ticket, FW_STEP_CANCELLED, NULL,
                        now_us, out);
    g_hash_table_remove(rs->by_seq, &rq->seq);
    rq->seq = 0;
}

void
Fw_Request_Release(struct fw_requests *rs, struct fw_request *rq,
                   int64_t now_us, struct fw_actions *out)
{
    mark_running_call(rq);
    switch (rq->stage) {
    case FW_STAGE_BUDGET:
        Fw_Limit_Cancel(rs->deps.limit, rq->ticket);
        break;
    case FW_STAGE_QUEUE:
        Fw_Route_ReportStep(rs->deps.router, rq->ticket, FW_STEP_CANCELLED,
                            NULL, now_us, out);
        break;
    case FW_STAGE_PREFILL:
    case FW_STAGE_IMPORT:
    case FW_STAGE_DECODE:
        cancel_attempt(rs, rq, now_us, out);
        break;
    case FW_STAGE_REMOTE:
        Fw_Join_Leave(rs, rq, out);
        break;
    case FW_STAGE_IDEM:
    case FW_STAGE_SERVICE:
        Fw_Service_Abandon(rs, rq, now_us, out);
        break;
    case FW_STAGE_LOOKUP:
    case FW_STAGE_STRIKE:
    case FW_STAGE_IDLE:
    case FW_STAGE_DONE:
        break;
    }
    refund(rs, rq, now_us, out);
}

void
Fw_Request_Fail(struct fw_requests *rs, struct fw_request *rq, int status,
                const char *code, const char *message, int64_t retry_after_us,
                int64_t now_us, struct fw_actions *out)
{
    struct fw_call_fail fail = {
        .status = status,
        .retry_after_us = retry_after_us,
    };

    mark_running_call(rq);
    fail.ran = rq->ran;
    g_strlcpy(fail.request_id, rq->id, sizeof(fail.request_id));
    g_strlcpy(fail.code, code, sizeof(fail.code));
    g_strlcpy(fail.message, message, sizeof(fail.message));
    if (rq->ran == FW_RAN_NO) {
        rs->counters.refused.value++;
    }
    else {
        rs->counters.failed.value++;
    }
    Fw_Actions_Note(out, rq->ran == FW_RAN_NO ? LOG_INFO : LOG_WARNING,
                    "request_failed", "request", rq->id, "team", rq->team,
                    "stage", Fw_Request_StageName(rq->stage), "code", code,
                    "ran", Fw_Ran_Name(rq->ran), NULL);
    Fw_Request_Trace(rs, rq, now_us, "answer %d %s, ran %s", status, code,
                     Fw_Ran_Name(rq->ran));
    Fw_Request_Release(rs, rq, now_us, out);
    Fw_Subscriber_FailAll(rs, rq, &fail, out);
    Fw_Request_Free(rs, rq);
}
