/* Decides claims by the partition's table and replies to the claimants. */
#include <string.h>

#include "base/fault.h"
#include "idem/idem_internal.h"

static void
send_reply(struct fw_idem *c, struct fw_idem_request *rq,
           struct fw_idem_claim_reply *reply, int64_t now_us,
           struct fw_actions *out)
{
    const struct fw_member *m;
    struct fw_msg msg = {.area = FW_AREA_IDEM};

    reply->op = rq->op;
    reply->intent_may_exist = rq->append_sent;
    if (!rq->requester[0]) {
        Fw_Idem_FreeRequest(rq);
        Fw_Idem_OnClaimReply(c, reply, now_us, out);
        return;
    }
    m = Fw_Fleet_Find(c->fleet, rq->requester);
    Fw_Idem_FreeRequest(rq);
    msg.u.idem.kind = FW_IDEM_CLAIM_REPLY;
    msg.u.idem.u.reply = *reply;
    if (m) {
        Fw_Actions_SendPeer(out, m->name, m->addr, &msg);
    }
    else {
        Fw_Idem_ClearMsg(&msg.u.idem);
    }
}

static void
reply_result(struct fw_idem *c, struct fw_idem_request *rq,
             enum fw_idem_result result, int64_t now_us,
             struct fw_actions *out)
{
    struct fw_idem_claim_reply reply = {.result = result};

    if (result == FW_IDEM_NOT_RUN) {
        reply.retry_after_us = FW_SEC;
    }
    send_reply(c, rq, &reply, now_us, out);
}

static void
wait_for_outcome(struct fw_idem_partition *p, struct fw_idem_request *rq,
                 int64_t until_us, int64_t now_us, struct fw_actions *out)
{
    if (!rq->wait_until_us) {
        rq->wait_until_us = until_us;
    }
    Fw_List_Remove(&rq->link);
    Fw_List_Append(&p->waiters, &rq->link);
    p->next_poll_us = MIN(p->next_poll_us, now_us + FW_IDEM_POLL_INTERVAL_US);
    Fw_Actions_Wake(out, rq->wait_until_us);
    if (!p->ticket) {
        Fw_Actions_Wake(out, MAX(p->next_poll_us, p->retry_us));
    }
}

/* The table holds only the offset of an outcome; its record is read from the
 * log. */
static void
fetch_outcome(struct fw_idem *c, struct fw_idem_partition *p,
              struct fw_idem_request *rq, uint64_t offset, int64_t now_us,
              struct fw_actions *out)
{
    rq->fetch_ticket = Fw_Idem_NewOp(c);
    Fw_Actions_ReadLog(out, rq->fetch_ticket, p->stream, offset, 1, 0);
    rq->wait_until_us = 0;
    wait_for_outcome(p, rq, rq->deadline_us, now_us, out);
}

static void
decide_begun(struct fw_idem *c, struct fw_idem_partition *p,
             const struct fw_idem_entry *e, struct fw_idem_request *rq,
             int64_t now_us, struct fw_actions *out)
{
    if (!Fw_Idem_IsFirstOwner(e, rq->rec.owner) &&
        !FW_FAULT("idem-no-order")) {
        if (rq->wait_until_us && now_us >= rq->wait_until_us) {
            reply_result(c, rq, FW_IDEM_OUTCOME_UNKNOWN, now_us, out);
            return;
        }
        wait_for_outcome(
            p, rq, MIN(now_us + FW_IDEM_OUTCOME_WAIT_US, rq->deadline_us),
            now_us, out);
        return;
    }
    if (!Fw_Idem_IsKeyRetained(c, &p->table, rq->key_time_ms, now_us)) {
        reply_result(c, rq, FW_IDEM_TOO_OLD, now_us, out);
        return;
    }
    reply_result(c, rq, FW_IDEM_RUN, now_us, out);
}

void
Fw_Idem_Decide(struct fw_idem *c, struct fw_idem_partition *p,
               struct fw_idem_request *rq, int64_t now_us,
               struct fw_actions *out)
{
    const struct fw_idem_entry *e =
        Fw_Idem_FindEntry(&p->table, rq->rec.digest);

    if (!e) {
        reply_result(c, rq, FW_IDEM_TOO_OLD, now_us, out);
        return;
    }
    if (Fw_Idem_BodyDiffers(e, rq->rec.body_hash)) {
        reply_result(c, rq, FW_IDEM_MISMATCH, now_us, out);
        return;
    }
    switch (e->state) {
    case FW_IDEM_ST_FREE:
        reply_result(
            c, rq,
            Fw_Idem_IsKeyRetained(c, &p->table, rq->key_time_ms, now_us)
                ? FW_IDEM_NOT_RUN
                : FW_IDEM_TOO_OLD,
            now_us, out);
        break;
    case FW_IDEM_ST_BEGUN:
        decide_begun(c, p, e, rq, now_us, out);
        break;
    case FW_IDEM_ST_DONE:
        fetch_outcome(c, p, rq, e->outcome_offset, now_us, out);
        break;
    case FW_IDEM_ST_UNKNOWN:
        reply_result(c, rq, FW_IDEM_OUTCOME_UNKNOWN, now_us, out);
        break;
    }
}

void
Fw_Idem_DecideWaiters(struct fw_idem *c, struct fw_idem_partition *p,
                      int64_t now_us, struct fw_actions *out)
{
    struct fw_list waiters;
    struct fw_list *pos;
    struct fw_list *tmp;

    Fw_List_Init(&waiters);
    FW_LIST_EACH_SAFE (pos, tmp, &p->waiters) {
        Fw_List_Remove(pos);
        Fw_List_Append(&waiters, pos);
    }
    FW_LIST_EACH_SAFE (pos, tmp, &waiters) {
        struct fw_idem_request *rq =
            FW_LIST_ENTRY(pos, struct fw_idem_request, link);

        if (!rq->fetch_ticket) {
            Fw_Idem_Decide(c, p, rq, now_us, out);
        }
        else if (now_us >= rq->wait_until_us) {
            reply_result(c, rq, FW_IDEM_OUTCOME_UNKNOWN, now_us, out);
        }
        else {
            wait_for_outcome(p, rq, rq->wait_until_us, now_us, out);
        }
    }
}

void
Fw_Idem_Reject(struct fw_idem *c, struct fw_idem_partition *p,
               struct fw_idem_request *rq, int64_t now_us,
               struct fw_actions *out)
{
    const struct fw_idem_entry *e =
        Fw_Idem_FindEntry(&p->table, rq->rec.digest);
    struct fw_idem_claim_reply reply = {.result = FW_IDEM_UNAVAILABLE};

    /* Another attempt with this key has begun and may have run. */
    if (e && e->state != FW_IDEM_ST_FREE &&
        !Fw_Idem_IsFirstOwner(e, rq->rec.owner)) {
        reply_result(c, rq, FW_IDEM_OUTCOME_UNKNOWN, now_us, out);
        return;
    }
    reply.retry_after_us = Fw_Idem_RetryAfter(c, p, rq->op, now_us);
    send_reply(c, rq, &reply, now_us, out);
}

void
Fw_Idem_FinishFetch(struct fw_idem *c, struct fw_idem_partition *p,
                    struct fw_idem_request *rq, const struct fw_log_records *r,
                    int64_t now_us, struct fw_actions *out)
{
    struct fw_idem_claim_reply reply = {.result = FW_IDEM_RECORDED};
    struct fw_idem_record rec;

    (void)p;
    if (r->err || r->n < 1 || Fw_Idem_ParseRecord(r->records[0], &rec)) {
        reply_result(c, rq, FW_IDEM_OUTCOME_UNKNOWN, now_us, out);
        return;
    }
    /* A read at the offset of a deleted record returns a later record. */
    if (rec.kind != FW_IDEM_REC_OUTCOME || rec.ran != FW_RAN_YES ||
        strcmp(rec.digest, rq->rec.digest) != 0) {
        Fw_Idem_ClearRecord(&rec);
        reply_result(c, rq, FW_IDEM_OUTCOME_UNKNOWN, now_us, out);
        return;
    }
    reply.status = rec.status;
    reply.body = rec.body;
    reply.body_omitted = rec.body_omitted;
    g_strlcpy(reply.content_type, rec.content_type,
              sizeof(reply.content_type));
    send_reply(c, rq, &reply, now_us, out);
}
