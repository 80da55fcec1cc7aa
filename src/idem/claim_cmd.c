/* Client side: claims made by this instance and the outcomes to record. */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "idem/idem_internal.h"

uint64_t
Fw_Idem_NewOp(struct fw_idem *c)
{
    return Fw_Owner_MakeId(FW_OWNER_IDEM, ++c->seq);
}

static struct fw_idem_call *
find_ticket(struct fw_idem *c, uint64_t ticket)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &c->calls) {
        struct fw_idem_call *call =
            FW_LIST_ENTRY(pos, struct fw_idem_call, link);

        if (call->answer.ticket == ticket) {
            return call;
        }
    }
    return NULL;
}

static struct fw_idem_call *
find_op(struct fw_idem *c, uint64_t op)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &c->calls) {
        struct fw_idem_call *call =
            FW_LIST_ENTRY(pos, struct fw_idem_call, link);

        if (call->claim.op == op) {
            return call;
        }
    }
    return NULL;
}

static void
free_call(struct fw_idem_call *call)
{
    Fw_List_Remove(&call->link);
    g_clear_pointer(&call->answer.body, g_bytes_unref);
    g_free(call);
}

/* Sends an outcome to the coordinator, or queues it for append here. */
static void
send_outcome(struct fw_idem *c, struct fw_idem_pending_outcome *o,
             int64_t now_us, struct fw_actions *out)
{
    struct fw_idem_partition *p = Fw_Idem_FindPartition(c, o->msg.rec.digest);
    const struct fw_member *m = Fw_Idem_Coordinator(c, p);
    struct fw_msg msg = {.area = FW_AREA_IDEM};

    o->sent_us = now_us;
    Fw_Actions_Wake(out, now_us + FW_IDEM_OUTCOME_RETRY_US);
    /* Every second attempt bypasses the coordinator, which may be down. */
    if (!m || Fw_Fleet_IsSelf(c->fleet, m) || o->attempts++ % 2) {
        Fw_Idem_OnOutcome(c, "", &o->msg, now_us, out);
        return;
    }
    msg.u.idem.kind = FW_IDEM_OUTCOME;
    msg.u.idem.u.outcome = o->msg;
    if (o->msg.rec.body) {
        g_bytes_ref(o->msg.rec.body);
    }
    Fw_Actions_SendPeer(out, m->name, m->addr, &msg);
}

static void
record_outcome(struct fw_idem *c, const struct fw_idem_call *call,
               enum fw_ran ran, int64_t now_us,
               struct fw_idem_pending_outcome *o, struct fw_actions *out)
{
    o->created_us = now_us;
    o->msg.op = call->claim.op;
    o->msg.rec.kind = FW_IDEM_REC_OUTCOME;
    o->msg.rec.ran = ran;
    g_strlcpy(o->msg.rec.digest, call->claim.digest, FW_IDEM_DIGEST_MAX);
    g_strlcpy(o->msg.rec.owner, call->claim.owner, FW_IDEM_OWNER_MAX);
    Fw_List_Append(&c->outcomes, &o->link);
    send_outcome(c, o, now_us, out);
}

/*
 * Records a claim that will not be used as not run. Its intent may be in the
 * log, and would otherwise leave the key with an unknown outcome for good.
 * Only the claimant knows that the call was not sent.
 */
static void
void_intent(struct fw_idem *c, const struct fw_idem_call *call, int64_t now_us,
            struct fw_actions *out)
{
    record_outcome(c, call, FW_RAN_NO, now_us,
                   g_new0(struct fw_idem_pending_outcome, 1), out);
}

static void
claim_locally(struct fw_idem *c, struct fw_idem_call *call, int64_t now_us,
              struct fw_actions *out)
{
    call->local = 1;
    Fw_Idem_OnClaim(c, "", &call->claim, now_us, out);
}

static void
send_claim(struct fw_idem *c, struct fw_idem_call *call, int64_t now_us,
           struct fw_actions *out)
{
    const struct fw_member *m =
        Fw_Idem_Coordinator(c, Fw_Idem_FindPartition(c, call->claim.digest));
    struct fw_msg msg = {.area = FW_AREA_IDEM};

    if (!m || Fw_Fleet_IsSelf(c->fleet, m)) {
        claim_locally(c, call, now_us, out);
        return;
    }
    msg.u.idem.kind = FW_IDEM_CLAIM;
    msg.u.idem.u.claim = call->claim;
    Fw_Actions_SendPeer(out, m->name, m->addr, &msg);
    Fw_Actions_Wake(out, now_us + FW_IDEM_COORDINATOR_TIMEOUT_US);
}

void
Fw_Idem_Claim(struct fw_idem *c, uint64_t ticket, const char *service,
              const char *team, const char *idem_key, uint64_t body_hash,
              int64_t now_us, struct fw_actions *out)
{
    struct fw_idem_call *call = g_new0(struct fw_idem_call, 1);

    call->answer.ticket = ticket;
    call->claimed_us = now_us;
    call->claim.op = Fw_Idem_NewOp(c);
    call->claim.body_hash = body_hash;
    call->claim.key_time_ms = Fw_Idem_ParseKeyTime(idem_key);
    Fw_Idem_Digest(service, team, idem_key, call->claim.digest);
    g_snprintf(call->claim.owner, sizeof(call->claim.owner),
               "%s.%" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT, c->self->name,
               c->self->boot, c->seq);
    Fw_List_Append(&c->calls, &call->link);
    c->opened.value++;
    Fw_Actions_Wake(out, now_us + FW_IDEM_CLAIM_TIMEOUT_US);
    send_claim(c, call, now_us, out);
}

int
Fw_Idem_TakeAnswer(struct fw_idem *c, struct fw_idem_answer *ans)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &c->calls) {
        struct fw_idem_call *call =
            FW_LIST_ENTRY(pos, struct fw_idem_call, link);

        if (call->stage != FW_IDEM_ANSWERED) {
            continue;
        }
        *ans = call->answer;
        call->answer.body = NULL;
        call->stage = FW_IDEM_TAKEN;
        if (ans->result != FW_IDEM_RUN && !FW_FAULT("idem-late-run")) {
            free_call(call);
        }
        return 1;
    }
    return 0;
}

int
Fw_Idem_BeginRun(struct fw_idem *c, uint64_t ticket, int64_t now_us)
{
    struct fw_idem_call *call = find_ticket(c, ticket);

    if (!call || call->stage != FW_IDEM_TAKEN ||
        call->answer.result != FW_IDEM_RUN) {
        return -EALREADY;
    }
    /* An instance that was paused must not send a call that its caller has
     * given up on. */
    if (now_us - call->claimed_us > FW_IDEM_GRANT_TTL_US) {
        return -ESTALE;
    }
    call->stage = FW_IDEM_SENT;
    return 0;
}

void
Fw_Idem_Finish(struct fw_idem *c, uint64_t ticket, enum fw_ran ran, int status,
               const char *content_type, GBytes *body, int64_t now_us,
               struct fw_actions *out)
{
    struct fw_idem_call *call = find_ticket(c, ticket);
    struct fw_idem_pending_outcome *o;

    if (!call || call->stage < FW_IDEM_TAKEN) {
        return;
    }
    o = g_new0(struct fw_idem_pending_outcome, 1);
    o->msg.rec.status = status;
    g_strlcpy(o->msg.rec.content_type, content_type ? content_type : "",
              sizeof(o->msg.rec.content_type));
    if (body && g_bytes_get_size(body) <= FW_IDEM_BODY_BYTES_MAX) {
        o->msg.rec.body = g_bytes_ref(body);
    }
    o->msg.rec.body_omitted = body && !o->msg.rec.body;
    record_outcome(c, call, ran, now_us, o, out);
    free_call(call);
}

void
Fw_Idem_OnClaimReply(struct fw_idem *c, struct fw_idem_claim_reply *reply,
                     int64_t now_us, struct fw_actions *out)
{
    struct fw_idem_call *call = find_op(c, reply->op);

    /* Already answered, locally or by timeout: a late grant must not start
     * the call. */
    if (!call ||
        (call->stage != FW_IDEM_CLAIMING && !FW_FAULT("idem-late-run"))) {
        g_clear_pointer(&reply->body, g_bytes_unref);
        return;
    }
    call->stage = FW_IDEM_ANSWERED;
    call->answer.result = reply->result;
    call->answer.status = reply->status;
    call->answer.body = g_steal_pointer(&reply->body);
    call->answer.retry_after_us = reply->retry_after_us;
    g_strlcpy(call->answer.content_type, reply->content_type,
              sizeof(call->answer.content_type));
    if (reply->body_omitted) {
        call->answer.body =
            g_bytes_new_static("{\"note\":\"the answer was too "
                               "large to be kept\"}",
                               43);
        g_strlcpy(call->answer.content_type, "application/json",
                  sizeof(call->answer.content_type));
    }
    c->unavailable.value += reply->result == FW_IDEM_UNAVAILABLE;
    c->too_old.value += reply->result == FW_IDEM_TOO_OLD;
    if (reply->result == FW_IDEM_UNAVAILABLE && reply->intent_may_exist) {
        void_intent(c, call, now_us, out);
    }
}

void
Fw_Idem_OnOutcomeAck(struct fw_idem *c, uint64_t op)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &c->outcomes) {
        struct fw_idem_pending_outcome *o =
            FW_LIST_ENTRY(pos, struct fw_idem_pending_outcome, link);

        if (o->msg.op == op) {
            Fw_List_Remove(&o->link);
            Fw_Idem_ClearRecord(&o->msg.rec);
            g_free(o);
            return;
        }
    }
}

static void
tick_call(struct fw_idem *c, struct fw_idem_call *call, int64_t now_us,
          struct fw_actions *out)
{
    struct fw_idem_partition *p = Fw_Idem_FindPartition(c, call->claim.digest);

    if (call->stage == FW_IDEM_TAKEN) {
        if (now_us - call->claimed_us > FW_IDEM_GRANT_TTL_US) {
            void_intent(c, call, now_us, out);
            free_call(call);
            return;
        }
        Fw_Actions_Wake(out, call->claimed_us + FW_IDEM_GRANT_TTL_US + 1);
    }
    if (call->stage != FW_IDEM_CLAIMING) {
        return;
    }
    if (now_us - call->claimed_us >= FW_IDEM_CLAIM_TIMEOUT_US) {
        struct fw_idem_claim_reply reply = {.op = call->claim.op,
                                            .intent_may_exist = 1};

        reply.result = FW_IDEM_UNAVAILABLE;
        reply.retry_after_us =
            Fw_Idem_RetryAfter(c, p, call->claim.op, now_us);
        Fw_Idem_OnClaimReply(c, &reply, now_us, out);
        return;
    }
    Fw_Actions_Wake(out, call->claimed_us + FW_IDEM_CLAIM_TIMEOUT_US);
    if (call->local) {
        return;
    }
    if (now_us - call->claimed_us < FW_IDEM_COORDINATOR_TIMEOUT_US) {
        Fw_Actions_Wake(out,
                        call->claimed_us + FW_IDEM_COORDINATOR_TIMEOUT_US);
        return;
    }
    claim_locally(c, call, now_us, out);
}

void
Fw_Idem_TickCalls(struct fw_idem *c, int64_t now_us, struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &c->calls) {
        tick_call(c, FW_LIST_ENTRY(pos, struct fw_idem_call, link), now_us,
                  out);
    }
    FW_LIST_EACH_SAFE (pos, tmp, &c->outcomes) {
        struct fw_idem_pending_outcome *o =
            FW_LIST_ENTRY(pos, struct fw_idem_pending_outcome, link);

        /* Without a record, later attempts get "outcome unknown". */
        if (now_us - o->created_us > FW_IDEM_OUTCOME_TIMEOUT_US) {
            Fw_Idem_OnOutcomeAck(c, o->msg.op);
        }
        else if (now_us - o->sent_us >= FW_IDEM_OUTCOME_RETRY_US) {
            send_outcome(c, o, now_us, out);
        }
        else {
            Fw_Actions_Wake(out, o->sent_us + FW_IDEM_OUTCOME_RETRY_US);
        }
    }
}
