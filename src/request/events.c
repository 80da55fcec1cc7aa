/* Dispatch of events to requests: callers, upstreams, peers, timeouts and
 * configuration changes. */
#include "base/fault.h"
#include "request/request_internal.h"

static void
cancel(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
       struct fw_actions *out)
{
    rs->counters.cancelled.value++;
    Fw_Request_Trace(rs, rq, now_us, "caller disconnected in %s",
                     Fw_Request_StageName(rq->stage));
    Fw_Request_Release(rs, rq, now_us, out);
    Fw_Request_Free(rs, rq);
}

/* A service call that is not idempotent runs to completion, so that its
 * outcome is recorded for a caller that asks again with the same key. */
static int
must_finish(const struct fw_request *rq)
{
    return rq->kind == FW_CALL_SERVICE && !rq->idempotent;
}

static void
on_no_subscribers(struct fw_requests *rs, struct fw_request *rq,
                  int64_t now_us, struct fw_actions *out)
{
    if (rq->stage == FW_STAGE_DONE || must_finish(rq)) {
        return;
    }
    if (rq->key && rq->piece_ends->len > 0 && rq->stage == FW_STAGE_DECODE) {
        rq->stage_deadline_us = now_us + FW_REJOIN_GRACE_US;
        Fw_Actions_Wake(out, rq->stage_deadline_us);
        return;
    }
    cancel(rs, rq, now_us, out);
}

void
Fw_Requests_OnCallClosed(struct fw_requests *rs, uint64_t call, int64_t now_us,
                         struct fw_actions *out)
{
    struct fw_subscriber *sub = Fw_Subscriber_FindCall(rs, call);
    struct fw_request *rq;

    if (!sub) {
        return;
    }
    rq = sub->rq;
    Fw_Subscriber_Remove(rs, sub);
    if (Fw_List_Empty(&rq->subscribers)) {
        on_no_subscribers(rs, rq, now_us, out);
    }
}

void
Fw_Requests_OnUp(struct fw_requests *rs, const struct fw_up_event *ev,
                 int64_t now_us, struct fw_actions *out)
{
    struct fw_request *rq = g_hash_table_lookup(rs->by_op, &ev->op);

    if (ev->kind == FW_UP_LIST_REQUESTS) {
        Fw_Orphans_OnUp(rs, ev, now_us, out);
        return;
    }
    if (!rq) {
        return; /* late event of a cancelled call */
    }
    switch (ev->kind) {
    case FW_UP_PREFILL:
        Fw_Request_OnPrefill(rs, rq, ev, now_us, out);
        break;
    case FW_UP_IMPORT:
        Fw_Request_OnImport(rs, rq, ev, now_us, out);
        break;
    case FW_UP_DECODE:
    case FW_UP_RESUME:
        Fw_Request_OnDecode(rs, rq, ev, now_us, out);
        break;
    case FW_UP_SERVICE:
        Fw_Service_OnUp(rs, rq, ev, now_us, out);
        break;
    case FW_UP_CANCEL:
    case FW_UP_LOAD_REPORT:
    case FW_UP_LIST_REQUESTS:
    case FW_UP_CACHE_EVENTS:
    case FW_UP_ORDER:
        break;
    }
}

void
Fw_Requests_OnMsg(struct fw_requests *rs, const char *from,
                  const struct fw_request_msg *msg, int64_t now_us,
                  struct fw_actions *out)
{
    switch (msg->kind) {
    case FW_REQUEST_LOOKUP:
    case FW_REQUEST_OWNER:
    case FW_REQUEST_JOIN:
    case FW_REQUEST_JOINED:
    case FW_REQUEST_PIECE:
    case FW_REQUEST_END:
    case FW_REQUEST_FAIL:
    case FW_REQUEST_LEAVE:
        Fw_Join_OnMsg(rs, from, msg, now_us, out);
        break;
    case FW_REQUEST_HELD:
    case FW_REQUEST_DISOWN:
        Fw_Orphans_OnMsg(rs, from, msg, now_us, out);
        break;
    case FW_REQUEST_STRIKE:
    case FW_REQUEST_STRIKE_RESULT:
    case FW_REQUEST_QUARANTINE:
        Fw_Poison_OnMsg(rs, from, msg, now_us, out);
        break;
    }
}

static void
on_timeout(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
           struct fw_actions *out)
{
    rq->stage_deadline_us = 0;
    switch (rq->stage) {
    case FW_STAGE_LOOKUP:
        Fw_Request_AcquireBudget(rs, rq, now_us, out);
        break;
    case FW_STAGE_REMOTE:
        Fw_Join_OnOwnerTimeout(rs, rq, now_us, out);
        break;
    case FW_STAGE_STRIKE:
        Fw_Poison_OnStrikeTimeout(rs, rq, now_us, out);
        break;
    case FW_STAGE_DONE:
        Fw_Request_Free(rs, rq);
        break;
    case FW_STAGE_DECODE:
        cancel(rs, rq, now_us, out); /* FW_REJOIN_GRACE_US is over */
        break;
    case FW_STAGE_BUDGET:
    case FW_STAGE_QUEUE:
    case FW_STAGE_PREFILL:
    case FW_STAGE_IMPORT:
    case FW_STAGE_IDEM:
    case FW_STAGE_SERVICE:
    case FW_STAGE_IDLE:
        break;
    }
}

void
Fw_Requests_Tick(struct fw_requests *rs, int64_t now_us,
                 struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &rs->all) {
        struct fw_request *rq = FW_LIST_ENTRY(pos, struct fw_request, link);
        if (rq->stage_deadline_us && rq->stage_deadline_us <= now_us) {
            on_timeout(rs, rq, now_us, out);
        }
    }
    /* A second pass, since a timeout may have set a new deadline. */
    FW_LIST_EACH (pos, &rs->all) {
        struct fw_request *rq = FW_LIST_ENTRY(pos, struct fw_request, link);
        if (rq->stage_deadline_us) {
            Fw_Actions_Wake(out, rq->stage_deadline_us);
        }
    }
    Fw_Poison_Expire(&rs->poison, now_us);
    Fw_Orphans_Tick(rs, now_us, out);
}

static int
key_withdrawn(const struct fw_config *cfg, const struct fw_request *rq)
{
    const struct fw_key *key = g_hash_table_lookup(cfg->keys, rq->digest);

    return !key || key->withdrawn;
}

void
Fw_Requests_OnConfig(struct fw_requests *rs, int64_t now_us,
                     struct fw_actions *out)
{
    const struct fw_config *cfg = Fw_ConfigReplica_Config(rs->deps.replica);
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &rs->all) {
        struct fw_request *rq = FW_LIST_ENTRY(pos, struct fw_request, link);
        /* Joined instances check the keys of their own callers. */
        if (!rq->digest[0] || rq->stage == FW_STAGE_DONE || must_finish(rq) ||
            !key_withdrawn(cfg, rq) || FW_FAULT("withdrawn-runs-on")) {
            continue;
        }
        if (rq->ran != FW_RAN_NO && cfg->on_withdraw == FW_WITHDRAW_FINISH) {
            continue;
        }
        Fw_Request_Fail(rs, rq, 401, "key_withdrawn", "the key was withdrawn",
                        0, now_us, out);
    }
}
