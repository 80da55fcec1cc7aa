/* Messages about strikes and quarantines, see poison.h. */
#include <syslog.h>

#include "request/request_internal.h"

static void
broadcast_quarantine(struct fw_requests *rs, uint64_t fingerprint,
                     int64_t ttl_us, struct fw_actions *out)
{
    GPtrArray *members = Fw_Fleet_Members(rs->deps.fleet);
    struct fw_request_msg msg = {
        .kind = FW_REQUEST_QUARANTINE,
        .u.strike = {.fingerprint = fingerprint, .ttl_us = ttl_us},
    };

    /* The caller may resend through any instance. */
    for (guint i = 0; i < members->len; i++) {
        const struct fw_member *m = g_ptr_array_index(members, i);
        if (!Fw_Fleet_IsSelf(rs->deps.fleet, m)) {
            Fw_Request_Send(rs, m->name, &msg, out);
        }
    }
    g_ptr_array_unref(members);
    Fw_Actions_Note(out, LOG_ERR, "request_quarantined", NULL);
}

/* Counts a strike on the coordinator and announces a quarantine. Return: the
 * quarantine in microseconds, or 0. */
static int64_t
count_strike(struct fw_requests *rs, uint64_t fingerprint, int64_t now_us,
             struct fw_actions *out)
{
    int64_t ttl_us = Fw_Poison_AddStrike(&rs->poison, fingerprint, now_us);

    if (ttl_us > 0) {
        Fw_Poison_Quarantine(&rs->poison, fingerprint, ttl_us, now_us);
        broadcast_quarantine(rs, fingerprint, ttl_us, out);
    }
    return ttl_us;
}

void
Fw_Request_ReportStrike(struct fw_requests *rs, struct fw_request *rq,
                        int64_t now_us, struct fw_actions *out)
{
    const struct fw_member *m =
        Fw_Fleet_Pick(rs->deps.fleet, rq->fingerprint, 0);
    struct fw_request_msg msg = {
        .kind = FW_REQUEST_STRIKE,
        .u.strike = {.ticket = rq->ticket, .fingerprint = rq->fingerprint},
    };

    if (!m || Fw_Fleet_IsSelf(rs->deps.fleet, m)) {
        Fw_Request_OnStrikeResult(
            rs, rq, count_strike(rs, rq->fingerprint, now_us, out), now_us,
            out);
        return;
    }
    rq->stage = FW_STAGE_STRIKE;
    rq->stage_deadline_us = now_us + FW_STRIKE_TIMEOUT_US;
    Fw_Actions_Wake(out, rq->stage_deadline_us);
    Fw_Request_Send(rs, m->name, &msg, out);
}

void
Fw_Request_OnStrikeResult(struct fw_requests *rs, struct fw_request *rq,
                          int64_t ttl_us, int64_t now_us,
                          struct fw_actions *out)
{
    rq->stage = FW_STAGE_IDLE;
    rq->strikes++;
    if (ttl_us > 0) {
        rs->counters.quarantined.value++;
        Fw_Request_Fail(rs, rq, 502, "quarantined",
                        "engines were lost while running this request", ttl_us,
                        now_us, out);
        return;
    }
    Fw_Request_Retry(rs, rq, now_us, out);
}

static void
on_strike(struct fw_requests *rs, const char *from,
          const struct fw_request_strike *strike, int64_t now_us,
          struct fw_actions *out)
{
    struct fw_request_msg msg = {
        .kind = FW_REQUEST_STRIKE_RESULT,
        .u.strike = *strike,
    };

    msg.u.strike.ttl_us = count_strike(rs, strike->fingerprint, now_us, out);
    Fw_Request_Send(rs, from, &msg, out);
}

void
Fw_Poison_OnMsg(struct fw_requests *rs, const char *from,
                const struct fw_request_msg *msg, int64_t now_us,
                struct fw_actions *out)
{
    const struct fw_request_strike *s = &msg->u.strike;
    struct fw_request *rq;

    if (msg->kind == FW_REQUEST_STRIKE) {
        on_strike(rs, from, s, now_us, out);
        return;
    }
    if (msg->kind == FW_REQUEST_QUARANTINE) {
        Fw_Poison_Quarantine(&rs->poison, s->fingerprint, s->ttl_us, now_us);
        return;
    }
    rq = Fw_Request_ByTicket(rs, s->ticket);
    if (rq && rq->stage == FW_STAGE_STRIKE && rq->stage_deadline_us) {
        rq->stage_deadline_us = 0;
        Fw_Request_OnStrikeResult(rs, rq, s->ttl_us, now_us, out);
    }
}

void
Fw_Poison_OnStrikeTimeout(struct fw_requests *rs, struct fw_request *rq,
                          int64_t now_us, struct fw_actions *out)
{
    rq->stage_deadline_us = 0;
    Fw_Request_OnStrikeResult(
        rs, rq, count_strike(rs, rq->fingerprint, now_us, out), now_us, out);
}
