/* Setup, teardown and event dispatch of the idempotency subsystem. */
#include "idem/idem.h"

#include <string.h>

#include "idem/idem_internal.h"

#define FW_SEQ_BITS 20 /* numbers per millisecond of boot time */

static void
add_metric(struct fw_metrics *metrics, struct fw_metric *m, const char *name,
           const char *help)
{
    m->name = name;
    m->help = help;
    Fw_Metrics_Add(metrics, m);
}

static void
init_partition(struct fw_idem_partition *p, int number)
{
    g_snprintf(p->stream, sizeof(p->stream), FW_STREAM_IDEM "-%d", number);
    Fw_Idem_InitTable(&p->table);
    Fw_List_Init(&p->queued);
    Fw_List_Init(&p->in_flight);
    Fw_List_Init(&p->waiters);
}

struct fw_idem *
Fw_Idem_New(const struct fw_self *self, const struct fw_fleet *fleet,
            int partitions, struct fw_metrics *metrics)
{
    struct fw_idem *c = g_new0(struct fw_idem, 1);

    c->self = self;
    c->fleet = fleet;
    c->n_partitions = MAX(partitions, 1);
    c->start_us = -1;
    /* Numbers are not reused after a restart: a reply meant for the previous
     * process must not grant a claim of this one. */
    c->seq = (self->boot & UINT32_MAX) << FW_SEQ_BITS;
    c->partitions = g_new0(struct fw_idem_partition, c->n_partitions);
    for (int i = 0; i < c->n_partitions; i++) {
        init_partition(&c->partitions[i], i);
    }
    Fw_List_Init(&c->calls);
    Fw_List_Init(&c->outcomes);
    add_metric(metrics, &c->opened, "fw_idem_opened_total",
               "Calls that may not be repeated");
    add_metric(metrics, &c->unavailable, "fw_idem_unavailable_total",
               "Of these, refused because the log could not be used");
    add_metric(metrics, &c->too_old, "fw_idem_too_old_total",
               "Of these, refused because records of the key may be gone");
    add_metric(metrics, &c->appends, "fw_idem_appends_total",
               "Appends to the idempotency streams");
    add_metric(metrics, &c->records, "fw_idem_records_total",
               "Records in these appends");
    add_metric(metrics, &c->lost_answers, "fw_idem_lost_answers_total",
               "Appends whose answer was lost and that were read back");
    add_metric(metrics, &c->loads, "fw_idem_loads_total",
               "Partitions read from their oldest record on");
    return c;
}

static void
free_requests(struct fw_list *head)
{
    while (!Fw_List_Empty(head)) {
        Fw_Idem_FreeRequest(
            FW_LIST_ENTRY(head->next, struct fw_idem_request, link));
    }
}

static void
free_calls(struct fw_idem *c)
{
    while (!Fw_List_Empty(&c->calls)) {
        struct fw_idem_call *call =
            FW_LIST_ENTRY(c->calls.next, struct fw_idem_call, link);

        Fw_List_Remove(&call->link);
        g_clear_pointer(&call->answer.body, g_bytes_unref);
        g_free(call);
    }
    while (!Fw_List_Empty(&c->outcomes)) {
        struct fw_idem_pending_outcome *o = FW_LIST_ENTRY(
            c->outcomes.next, struct fw_idem_pending_outcome, link);

        Fw_List_Remove(&o->link);
        Fw_Idem_ClearRecord(&o->msg.rec);
        g_free(o);
    }
}

void
Fw_Idem_Free(struct fw_idem *c)
{
    if (!c) {
        return;
    }
    free_calls(c);
    for (int i = 0; i < c->n_partitions; i++) {
        free_requests(&c->partitions[i].queued);
        free_requests(&c->partitions[i].in_flight);
        free_requests(&c->partitions[i].waiters);
        Fw_Idem_ClearTable(&c->partitions[i].table);
    }
    g_free(c->partitions);
    g_free(c);
}

/* Loads the partitions coordinated here, at most one a second, so that the
 * first claim after a start need not wait for the read. */
static void
preload(struct fw_idem *c, int64_t now_us, struct fw_actions *out)
{
    struct fw_idem_partition *p;
    const struct fw_member *m;

    if (now_us < c->next_preload_us || c->next_preload >= c->n_partitions) {
        return;
    }
    p = &c->partitions[c->next_preload++];
    m = Fw_Idem_Coordinator(c, p);
    if (p->phase == FW_IDEM_UNLOADED && m && Fw_Fleet_IsSelf(c->fleet, m)) {
        p->phase = FW_IDEM_LOADING;
        Fw_Idem_StartRead(c, p, out);
    }
    c->next_preload_us = now_us + FW_SEC;
}

void
Fw_Idem_Tick(struct fw_idem *c, int64_t now_us, struct fw_actions *out)
{
    if (c->start_us < 0) {
        c->start_us = now_us;
        c->next_preload_us = now_us + FW_IDEM_PRELOAD_DELAY_US;
    }
    preload(c, now_us, out);
    if (c->next_preload < c->n_partitions) {
        Fw_Actions_Wake(out, c->next_preload_us);
    }
    Fw_Idem_TickCalls(c, now_us, out);
    for (int i = 0; i < c->n_partitions; i++) {
        if (c->partitions[i].phase != FW_IDEM_UNLOADED ||
            !Fw_List_Empty(&c->partitions[i].queued)) {
            Fw_Idem_RunPartition(c, &c->partitions[i], now_us, out);
        }
    }
}

void
Fw_Idem_OnMsg(struct fw_idem *c, const char *from,
              const struct fw_idem_msg *msg, int64_t now_us,
              struct fw_actions *out)
{
    struct fw_idem_claim_reply reply;

    switch (msg->kind) {
    case FW_IDEM_CLAIM:
        Fw_Idem_OnClaim(c, from, &msg->u.claim, now_us, out);
        break;
    case FW_IDEM_CLAIM_REPLY:
        reply = msg->u.reply;
        reply.body = reply.body ? g_bytes_ref(reply.body) : NULL;
        Fw_Idem_OnClaimReply(c, &reply, now_us, out);
        break;
    case FW_IDEM_OUTCOME:
        Fw_Idem_OnOutcome(c, from, &msg->u.outcome, now_us, out);
        break;
    case FW_IDEM_OUTCOME_ACK:
        Fw_Idem_OnOutcomeAck(c, msg->u.outcome_ack);
        break;
    }
}

static struct fw_idem_request *
find_fetch(struct fw_idem_partition *p, uint64_t ticket)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &p->waiters) {
        struct fw_idem_request *rq =
            FW_LIST_ENTRY(pos, struct fw_idem_request, link);

        if (rq->fetch_ticket == ticket) {
            return rq;
        }
    }
    return NULL;
}

void
Fw_Idem_OnRecords(struct fw_idem *c, const struct fw_log_records *r,
                  int64_t now_us, struct fw_actions *out)
{
    for (int i = 0; i < c->n_partitions; i++) {
        struct fw_idem_partition *p = &c->partitions[i];
        struct fw_idem_request *rq;

        if (p->ticket == r->ticket) {
            p->ticket = 0;
            Fw_Idem_FinishRead(c, p, r, now_us, out);
            return;
        }
        rq = find_fetch(p, r->ticket);
        if (rq) {
            Fw_Idem_FinishFetch(c, p, rq, r, now_us, out);
            return;
        }
    }
}

void
Fw_Idem_OnAppended(struct fw_idem *c, const struct fw_log_appended *appended,
                   int64_t now_us, struct fw_actions *out)
{
    for (int i = 0; i < c->n_partitions; i++) {
        if (c->partitions[i].ticket == appended->ticket) {
            c->partitions[i].ticket = 0;
            Fw_Idem_FinishAppend(c, &c->partitions[i], appended, now_us, out);
            return;
        }
    }
}
