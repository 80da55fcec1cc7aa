/*
 * Server side of a partition: queues requests and appends their records in
 * batches, one at a time, within the append rate limit.
 */
#include <string.h>

#include "base/hash.h"
#include "idem/idem_internal.h"

#define FW_APPEND_BURST_MAX 4

void
Fw_Idem_FreeRequest(struct fw_idem_request *rq)
{
    Fw_List_Remove(&rq->link);
    Fw_Idem_ClearRecord(&rq->rec);
    g_free(rq);
}

static struct fw_idem_request *
new_request(const char *from, uint64_t op, int64_t now_us)
{
    struct fw_idem_request *rq = g_new0(struct fw_idem_request, 1);

    Fw_List_Init(&rq->link);
    g_strlcpy(rq->requester, from, sizeof(rq->requester));
    rq->op = op;
    rq->deadline_us = now_us + FW_IDEM_CLAIM_TIMEOUT_US;
    return rq;
}

static void
enqueue(struct fw_idem_partition *p, struct fw_idem_request *rq,
        int64_t now_us, struct fw_actions *out)
{
    if (Fw_List_Empty(&p->queued)) {
        p->batch_due_us = now_us + FW_IDEM_BATCH_WINDOW_US;
    }
    Fw_List_Append(&p->queued, &rq->link);
    /* Processed in the next tick: callers may be iterating over the lists. */
    Fw_Actions_Wake(out, p->phase == FW_IDEM_READY
                             ? MAX(p->batch_due_us, p->next_append_us)
                             : now_us);
}

/* Circuit breaker: while the log keeps failing, claims are rejected at once
 * instead of queued. */
static int
is_breaker_open(const struct fw_idem_partition *p, int64_t now_us)
{
    return p->failures >= FW_IDEM_BREAKER_FAILURES && now_us < p->retry_us;
}

/* Nonzero when the table already determines the answer to a claim, so that
 * no append is needed. */
static int
is_decided(const struct fw_idem *c, const struct fw_idem_partition *p,
           const struct fw_idem_request *rq, int64_t now_us)
{
    const struct fw_idem_entry *e;

    if (p->phase == FW_IDEM_UNLOADED || p->phase == FW_IDEM_LOADING) {
        return 0;
    }
    e = Fw_Idem_FindEntry(&p->table, rq->rec.digest);
    if (e && (e->state != FW_IDEM_ST_FREE ||
              Fw_Idem_BodyDiffers(e, rq->rec.body_hash))) {
        return 1;
    }
    return !Fw_Idem_IsKeyRetained(c, &p->table, rq->key_time_ms, now_us);
}

void
Fw_Idem_OnClaim(struct fw_idem *c, const char *from,
                const struct fw_idem_claim_msg *m, int64_t now_us,
                struct fw_actions *out)
{
    struct fw_idem_partition *p = Fw_Idem_FindPartition(c, m->digest);
    struct fw_idem_request *rq = new_request(from, m->op, now_us);

    rq->key_time_ms = m->key_time_ms;
    rq->rec.kind = FW_IDEM_REC_INTENT;
    rq->rec.body_hash = m->body_hash;
    g_strlcpy(rq->rec.digest, m->digest, sizeof(rq->rec.digest));
    g_strlcpy(rq->rec.owner, m->owner, sizeof(rq->rec.owner));
    if (is_decided(c, p, rq, now_us)) {
        Fw_Idem_Decide(c, p, rq, now_us, out);
    }
    else if (is_breaker_open(p, now_us)) {
        Fw_Idem_Reject(c, p, rq, now_us, out);
    }
    else {
        enqueue(p, rq, now_us, out);
    }
}

void
Fw_Idem_OnOutcome(struct fw_idem *c, const char *from,
                  const struct fw_idem_outcome_msg *msg, int64_t now_us,
                  struct fw_actions *out)
{
    struct fw_idem_request *rq = new_request(from, msg->op, now_us);

    rq->rec = msg->rec;
    rq->rec.kind = FW_IDEM_REC_OUTCOME;
    if (rq->rec.body) {
        g_bytes_ref(rq->rec.body);
    }
    enqueue(Fw_Idem_FindPartition(c, msg->rec.digest), rq, now_us, out);
}

void
Fw_Idem_BackOff(struct fw_idem *c, struct fw_idem_partition *p, int64_t now_us)
{
    int64_t wait = FW_IDEM_BACKOFF_US << MIN(p->failures, 10);
    uint64_t seed =
        Fw_Hash_Weight(Fw_Hash_Str(p->stream), c->self->name) + p->failures;

    wait = MIN(wait, FW_IDEM_BACKOFF_MAX_US);
    /* Jitter, so that instances do not retry in step after an outage. */
    p->retry_us = now_us + wait / 2 + (int64_t)(seed % (uint64_t)MAX(wait, 1));
    p->failures++;
}

static void
add_mark(struct fw_idem *c, struct fw_idem_partition *p, int64_t now_us)
{
    const struct fw_member *m = Fw_Idem_Coordinator(c, p);
    struct fw_idem_request *rq;

    if (now_us < p->next_mark_us) {
        return;
    }
    p->next_mark_us = now_us + FW_IDEM_MARK_INTERVAL_US;
    if (p->table.next_offset == 1 || !m || !Fw_Fleet_IsSelf(c->fleet, m)) {
        return;
    }
    rq = new_request("", 0, now_us);
    rq->rec.kind = FW_IDEM_REC_MARK;
    Fw_List_Append(&p->queued, &rq->link);
}

/* Moves the requests of the next append from @queued to @in_flight. */
static int
take_batch(struct fw_idem *c, struct fw_idem_partition *p, int64_t now_us,
           struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;
    int n = 0;

    FW_LIST_EACH_SAFE (pos, tmp, &p->queued) {
        struct fw_idem_request *rq =
            FW_LIST_ENTRY(pos, struct fw_idem_request, link);

        if (n == FW_IDEM_BATCH_RECORDS_MAX) {
            break;
        }
        Fw_List_Remove(pos);
        if (rq->rec.kind == FW_IDEM_REC_INTENT &&
            is_decided(c, p, rq, now_us)) {
            Fw_Idem_Decide(c, p, rq, now_us, out);
            continue;
        }
        rq->in_log = 0;
        rq->rec.at_ms = MAX(Fw_Idem_WallMs(c, now_us), p->table.newest_ms);
        Fw_List_Append(&p->in_flight, pos);
        n++;
    }
    return n;
}

static void
append_batch(struct fw_idem *c, struct fw_idem_partition *p, int64_t now_us,
             struct fw_actions *out)
{
    int64_t interval_us = c->n_partitions * Fw_Idem_CountRegions(c) * FW_SEC /
                          FW_IDEM_APPENDS_PER_S;
    int n = take_batch(c, p, now_us, out);
    char **records = g_new0(char *, n + 1);
    struct fw_list *pos;
    int i = 0;

    FW_LIST_EACH (pos, &p->in_flight) {
        records[i++] = Fw_Idem_FormatRecord(
            &FW_LIST_ENTRY(pos, struct fw_idem_request, link)->rec);
    }
    if (n > 0) {
        p->next_append_us = MAX(p->next_append_us,
                                now_us - FW_APPEND_BURST_MAX * interval_us) +
                            interval_us;
        p->phase = FW_IDEM_APPENDING;
        p->ticket = Fw_Idem_NewOp(c);
        c->appends.value++;
        c->records.value += n;
        Fw_Actions_AppendLog(out, p->ticket, p->stream,
                             (const char *const *)records, n);
    }
    g_strfreev(records);
}

/* Rejects or drops queued requests whose requester no longer waits. */
static void
expire_queued(struct fw_idem *c, struct fw_idem_partition *p, int64_t now_us,
              struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &p->queued) {
        struct fw_idem_request *rq =
            FW_LIST_ENTRY(pos, struct fw_idem_request, link);

        if (now_us < rq->deadline_us) {
            Fw_Actions_Wake(out, rq->deadline_us);
        }
        else if (rq->rec.kind == FW_IDEM_REC_INTENT) {
            Fw_Idem_Reject(c, p, rq, now_us, out);
        }
        else {
            Fw_Idem_FreeRequest(rq); /* retried by the requester */
        }
    }
}

/* Reads new records, or unloads a partition that is coordinated elsewhere. */
static void
poll_log(struct fw_idem *c, struct fw_idem_partition *p,
         struct fw_actions *out)
{
    const struct fw_member *m = Fw_Idem_Coordinator(c, p);

    if (m && !Fw_Fleet_IsSelf(c->fleet, m) && Fw_List_Empty(&p->waiters)) {
        Fw_Idem_ResetTable(&p->table, 1);
        p->phase = FW_IDEM_UNLOADED;
        return;
    }
    Fw_Idem_StartRead(c, p, out);
}

static void
run_ready(struct fw_idem *c, struct fw_idem_partition *p, int64_t now_us,
          struct fw_actions *out)
{
    int64_t append_us = MAX(p->batch_due_us, p->next_append_us);

    add_mark(c, p, now_us);
    if (!Fw_List_Empty(&p->queued)) {
        if (now_us >= append_us) {
            append_batch(c, p, now_us, out);
            return;
        }
        Fw_Actions_Wake(out, append_us);
    }
    if (now_us >= p->next_poll_us) {
        poll_log(c, p, out);
        return;
    }
    Fw_Actions_Wake(out, MIN(p->next_poll_us, p->next_mark_us));
}

void
Fw_Idem_RunPartition(struct fw_idem *c, struct fw_idem_partition *p,
                     int64_t now_us, struct fw_actions *out)
{
    expire_queued(c, p, now_us, out);
    Fw_Idem_DecideWaiters(c, p, now_us, out);
    if (p->ticket) {
        return;
    }
    if (p->phase == FW_IDEM_UNLOADED && Fw_List_Empty(&p->queued)) {
        return;
    }
    if (now_us < p->retry_us) {
        Fw_Actions_Wake(out, p->retry_us);
        return;
    }
    switch (p->phase) {
    case FW_IDEM_UNLOADED:
        p->phase = FW_IDEM_LOADING;
        Fw_Idem_StartRead(c, p, out);
        break;
    case FW_IDEM_LOADING:
    case FW_IDEM_READING_BACK:
        Fw_Idem_StartRead(c, p, out);
        break;
    case FW_IDEM_READY:
        run_ready(c, p, now_us, out);
        break;
    case FW_IDEM_APPENDING:
        break;
    }
}
