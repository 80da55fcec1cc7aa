/* Server side of a partition: completion of log operations. */
#include <errno.h>
#include <string.h>

#include "idem/idem_internal.h"

void
Fw_Idem_StartRead(struct fw_idem *c, struct fw_idem_partition *p,
                  struct fw_actions *out)
{
    p->ticket = Fw_Idem_NewOp(c);
    Fw_Actions_ReadLog(out, p->ticket, p->stream, p->table.next_offset,
                       FW_IDEM_READ_RECORDS_MAX, 0);
}

static void
requeue_batch(struct fw_idem_partition *p, int append_sent)
{
    while (!Fw_List_Empty(&p->in_flight)) {
        struct fw_idem_request *rq =
            FW_LIST_ENTRY(p->in_flight.next, struct fw_idem_request, link);

        rq->append_sent |= append_sent;
        Fw_List_Remove(&rq->link);
        Fw_List_Append(&p->queued, &rq->link);
    }
}

static void
send_outcome_ack(struct fw_idem *c, const struct fw_idem_request *rq,
                 struct fw_actions *out)
{
    const struct fw_member *m = Fw_Fleet_Find(c->fleet, rq->requester);
    struct fw_msg msg = {.area = FW_AREA_IDEM};

    if (!rq->requester[0]) {
        Fw_Idem_OnOutcomeAck(c, rq->op);
        return;
    }
    if (m) {
        msg.u.idem.kind = FW_IDEM_OUTCOME_ACK;
        msg.u.idem.u.outcome_ack = rq->op;
        Fw_Actions_SendPeer(out, m->name, m->addr, &msg);
    }
}

/*
 * Completes the batch in flight once the table covers its append. Records that
 * were not read back may still arrive late, so they are not appended again:
 * claims are rejected, and outcomes are retried by their requester.
 */
static void
complete_batch(struct fw_idem *c, struct fw_idem_partition *p, int64_t now_us,
               struct fw_actions *out)
{
    p->phase = FW_IDEM_READY;
    while (!Fw_List_Empty(&p->in_flight)) {
        struct fw_idem_request *rq =
            FW_LIST_ENTRY(p->in_flight.next, struct fw_idem_request, link);

        if (rq->rec.kind == FW_IDEM_REC_INTENT) {
            if (rq->in_log) {
                Fw_Idem_Decide(c, p, rq, now_us, out);
            }
            else {
                Fw_Idem_Reject(c, p, rq, now_us, out);
            }
            continue;
        }
        if (rq->rec.kind == FW_IDEM_REC_OUTCOME && rq->in_log) {
            send_outcome_ack(c, rq, out);
        }
        Fw_Idem_FreeRequest(rq);
    }
    Fw_Idem_RunPartition(c, p, now_us, out);
}

void
Fw_Idem_FinishAppend(struct fw_idem *c, struct fw_idem_partition *p,
                     const struct fw_log_appended *appended, int64_t now_us,
                     struct fw_actions *out)
{
    struct fw_list *pos;

    if (appended->err == -EAGAIN) {
        requeue_batch(p, 0);
        p->phase = FW_IDEM_READY;
        Fw_Idem_BackOff(c, p, now_us);
        Fw_Idem_RunPartition(c, p, now_us, out);
        return;
    }
    if (appended->err) {
        c->lost_answers.value++;
        FW_LIST_EACH (pos, &p->in_flight) {
            FW_LIST_ENTRY(pos, struct fw_idem_request, link)->append_sent = 1;
        }
        p->target_offset = 0;
        p->phase = FW_IDEM_READING_BACK;
        Fw_Idem_StartRead(c, p, out);
        return;
    }
    p->failures = 0;
    p->target_offset = appended->first_offset;
    FW_LIST_EACH (pos, &p->in_flight) {
        FW_LIST_ENTRY(pos, struct fw_idem_request, link)->append_sent = 1;
        p->target_offset++;
    }
    if (appended->first_offset != p->table.next_offset) {
        /* Another instance has appended to the stream in between. */
        p->phase = FW_IDEM_READING_BACK;
        Fw_Idem_StartRead(c, p, out);
        return;
    }
    FW_LIST_EACH (pos, &p->in_flight) {
        struct fw_idem_request *rq =
            FW_LIST_ENTRY(pos, struct fw_idem_request, link);

        rq->in_log = 1;
        Fw_Idem_ApplyRecord(&p->table, &rq->rec);
    }
    complete_batch(c, p, now_us, out);
}

static void
mark_in_log(struct fw_idem_partition *p, const struct fw_idem_record *rec)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &p->in_flight) {
        struct fw_idem_request *rq =
            FW_LIST_ENTRY(pos, struct fw_idem_request, link);

        if (rq->rec.kind == rec->kind &&
            strcmp(rq->rec.owner, rec->owner) == 0) {
            rq->in_log = 1;
        }
    }
}

static void
apply_records(struct fw_idem_partition *p, const struct fw_log_records *r)
{
    struct fw_idem_record rec;

    for (int i = 0; i < r->n; i++) {
        if (Fw_Idem_ParseRecord(r->records[i], &rec)) {
            p->table.next_offset++; /* unknown version, or malformed */
            continue;
        }
        Fw_Idem_ApplyRecord(&p->table, &rec);
        mark_in_log(p, &rec);
        Fw_Idem_ClearRecord(&rec);
    }
    Fw_Idem_TrimTable(&p->table, MIN(r->oldest_offset, p->table.next_offset));
}

/* Resets the table when the stream was truncated or when records that it lacks
 * were deleted. Return: nonzero when @r continues where the table ends. */
static int
align_table(struct fw_idem_partition *p, const struct fw_log_records *r)
{
    if (r->end_offset < p->table.next_offset) {
        Fw_Idem_ResetTable(&p->table, 1); /* the log was truncated */
        p->target_offset = 0;
        return 0;
    }
    if (r->first_offset > p->table.next_offset) {
        Fw_Idem_ResetTable(&p->table, r->first_offset);
    }
    return r->first_offset == p->table.next_offset;
}

static void
finish_load(struct fw_idem *c, struct fw_idem_partition *p, int64_t now_us)
{
    if (p->table.horizon_ms < 0) {
        /* All records were deleted; the newest may be as recent as now. */
        p->table.horizon_ms = Fw_Idem_WallMs(c, now_us);
        p->next_mark_us = now_us;
    }
    else {
        p->next_mark_us = now_us + FW_IDEM_MARK_INTERVAL_US;
    }
    c->loads.value++;
    p->phase = FW_IDEM_READY;
}

void
Fw_Idem_FinishRead(struct fw_idem *c, struct fw_idem_partition *p,
                   const struct fw_log_records *r, int64_t now_us,
                   struct fw_actions *out)
{
    if (r->err || !align_table(p, r)) {
        Fw_Idem_BackOff(c, p, now_us);
        Fw_Idem_RunPartition(c, p, now_us, out);
        return;
    }
    p->next_poll_us = now_us + FW_IDEM_IDLE_POLL_INTERVAL_US;
    apply_records(p, r);
    if (p->table.next_offset < r->end_offset && r->n > 0) {
        Fw_Idem_StartRead(c, p, out);
        return;
    }
    if (p->table.next_offset < MAX(r->end_offset, p->target_offset)) {
        /* A stale read, from before the append. */
        Fw_Idem_BackOff(c, p, now_us);
        Fw_Idem_RunPartition(c, p, now_us, out);
        return;
    }
    p->failures = 0;
    if (p->phase == FW_IDEM_LOADING) {
        finish_load(c, p, now_us);
    }
    else if (p->phase == FW_IDEM_READING_BACK) {
        complete_batch(c, p, now_us, out);
        return;
    }
    Fw_Idem_RunPartition(c, p, now_us, out);
}
