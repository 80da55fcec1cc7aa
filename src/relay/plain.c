/*
 * Requests for plain services. An idempotent request, or a resumable stream
 * that has not begun, is retried at another server after any failure; any
 * other only if it certainly has not run: the server says so, or nothing of
 * it was sent.
 */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "decide/second_attempt.h"
#include "relay/relay_internal.h"

/* Retry-After when no server is available. */
#define FW_RETRY_NO_SERVER_US (1 * FW_SEC)
/*
 * Bounds of the random Retry-After when the servers are full. Short, so that
 * a retry can still meet the route's objective.
 */
#define FW_RETRY_FULL_MIN_US (80 * FW_MSEC)
#define FW_RETRY_FULL_MAX_US (200 * FW_MSEC)

static int
is_retryable(const struct fw_rl_call *c)
{
    return c->route->kind == FW_RL_IDEMPOTENT ||
           (c->route->kind == FW_RL_STREAM && c->route->resumable &&
            !c->is_forwarded);
}

static void
reject_overloaded(struct fw_relay *r, struct fw_rl_call *c, const char *reason,
                  int64_t now_us, struct fw_rl_actions *out)
{
    int64_t retry_us = Fw_PlainCalls_IsForecast(r, c)
                           ? Fw_PlainCalls_RetryUs(r, c, 0, now_us)
                           : g_rand_int_range(r->rand, FW_RETRY_FULL_MIN_US,
                                              FW_RETRY_FULL_MAX_US);

    Fw_Call_Reject(r, c, 503, retry_us, reason, now_us, out);
}

/*
 * Rejects @c, which can be served after @least_us. By forecast the
 * delay also covers the backlog, and leaves callers time for the retry.
 */
static void
reject_until(struct fw_relay *r, struct fw_rl_call *c, int64_t least_us,
             const char *reason, int64_t now_us, struct fw_rl_actions *out)
{
    int64_t retry_us = Fw_PlainCalls_IsForecast(r, c)
                           ? Fw_PlainCalls_RetryUs(r, c, least_us, now_us)
                           : least_us;

    Fw_Call_Reject(r, c, 503, retry_us, reason, now_us, out);
}

/*
 * Rejects @c as all servers are at their limit or at rest. Other instances may
 * have a part of a limit left, so that the time at which this one has is only
 * the longest delay.
 */
static void
reject_limited(struct fw_relay *r, struct fw_rl_call *c, int64_t available_us,
               int64_t now_us, struct fw_rl_actions *out)
{
    int64_t longest_us = CLAMP(available_us - now_us, FW_RETRY_FULL_MAX_US,
                               FW_RETRY_NO_SERVER_US);

    reject_until(
        r, c,
        g_rand_int_range(r->rand, FW_RETRY_FULL_MIN_US, (gint32)longest_us),
        "servers_limited", now_us, out);
}

/* Rejects @c as there is no server that it may be sent to now. */
static void
reject_unplaced(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out)
{
    int64_t available_us = Fw_Place_AvailableUs(r, c, 1, now_us);

    if (available_us) {
        reject_limited(r, c, available_us, now_us, out);
        return;
    }
    reject_until(r, c,
                 r->has_server_list ? FW_RETRY_NO_SERVER_US
                                    : Fw_Relay_StaleRetryUs(r, now_us),
                 "no_server", now_us, out);
}

/* Rejects @c, which the server that it was sent to has rejected. */
static void
reject_full(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
            struct fw_rl_actions *out)
{
    int64_t available_us = Fw_Place_AvailableUs(r, c, 1, now_us);

    if (available_us > now_us) {
        reject_limited(r, c, available_us, now_us, out);
    }
    else {
        reject_overloaded(r, c, "servers_full", now_us, out);
    }
}

/* Times until responses to requests like @c begin, NULL if unknown. */
static const struct fw_finish_times *
begin_times(const struct fw_relay *r, const struct fw_rl_call *c)
{
    const struct fw_rl_kind_times *t = Fw_KindTimes_Find(r, c);

    return t && t->begin.n ? &t->begin : NULL;
}

/* Starts an attempt at @s, which must not be NULL. */
static void
send_attempt(struct fw_relay *r, struct fw_rl_call *c, struct fw_rl_server *s,
             int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_op *op;
    struct fw_rl_upstream_call up = {
        .kind = FW_RL_UP_RUN,
        .timeout_us = c->deadline_us - now_us,
        .priority = -1,
        .buffer_response = c->route->kind != FW_RL_STREAM,
        .is_streaming = c->route->kind == FW_RL_STREAM,
        .connect_us = FW_RL_CONNECT_TIMEOUT_US,
        .reuse_us =
            is_retryable(c) ? FW_RL_REUSE_US : FW_RL_REUSE_NON_IDEMPOTENT_US,
    };
    char speed[FW_RL_SPEED_TEXT_MAX];
    struct fw_rl_load load;

    Fw_Place_Load(r, s, now_us, &load);
    c->server = Fw_Servers_Ref(s);
    c->server->running++;
    c->state = FW_RL_RUNNING;
    c->sent_us = now_us;
    c->attempts++;
    if (c->n_tried < FW_RL_TRIED_MAX) {
        c->tried[c->n_tried++] = s->hash;
    }
    up.team = c->team;
    op = Fw_Call_Upstream(r, c, s, &up, c->deadline_us, now_us, out);
    if (is_retryable(c) && c->attempts < c->route->attempts) {
        op->overdue_us = now_us + Fw_SecondAttempt_WaitUs(begin_times(r, c));
    }
    op->had_free_slot = load.running < s->entry.slots;
    op->had_idle_server = load.running <= s->entry.slots / 2;
    op->n_running = load.running;
    Fw_RelayActions_Log(
        out, r, Fw_Call_LogSeverity(r, c), "sent",
        "\"id\":\"%s\",\"route\":\"%s\",\"team\":\"%s\","
        "\"cost\":%" G_GINT64_FORMAT ",\"server\":\"%s\","
        "\"try\":%d,\"running\":%d,\"left_ms\":%" G_GINT64_FORMAT "%s",
        c->info.id, c->route->name, c->team, c->cost, s->entry.id, c->attempts,
        s->running, Fw_Relay_UsToMs(up.timeout_us),
        Fw_Speeds_LogText(r, s, NULL, speed));
}

/* Return: NULL to send @c to @s, otherwise the reason to reject it. */
static const char *
reason_to_reject(struct fw_relay *r, struct fw_rl_call *c,
                 const struct fw_rl_server *s, int64_t now_us)
{
    if (Fw_PlainCalls_IsForecast(r, c)) {
        return Fw_PlainCalls_Admit(r, c, s, now_us);
    }
    return Fw_Place_IsOverloaded(r, c, s, now_us) ? "servers_crowded" : NULL;
}

void
Fw_Plain_Send(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
              struct fw_rl_actions *out)
{
    struct fw_rl_server *s = Fw_Place_Plain(r, c, now_us);
    const char *reason;

    if (!s) {
        reject_unplaced(r, c, now_us, out);
    }
    else if ((reason = reason_to_reject(r, c, s, now_us))) {
        reject_overloaded(r, c, reason, now_us, out);
    }
    else {
        send_attempt(r, c, s, now_us, out);
    }
}

/*
 * Returns a server to retry @c at, or NULL if there is none. Overloaded
 * servers get no retries, which would delay the requests queued there.
 */
static struct fw_rl_server *
find_retry_server(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                  struct fw_rl_actions *out)
{
    struct fw_rl_server *s;

    if (c->n_tried >= FW_RL_TRIED_MAX || now_us >= c->deadline_us ||
        !Fw_Relay_MayServe(r, c, now_us) ||
        Fw_Stopping_Rejects(r, c, 1, now_us, out)) {
        return NULL;
    }
    s = Fw_Place_Plain(r, c, now_us);
    return s && !reason_to_reject(r, c, s, now_us) ? s : NULL;
}

/*
 * Returns the server to retry @c at and charges the retry budget, or NULL if
 * it may not be retried.
 */
static struct fw_rl_server *
take_retry_server(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                  struct fw_rl_actions *out)
{
    struct fw_rl_server *s = find_retry_server(r, c, now_us, out);

    if (!s || !Fw_RetryBudget_Take(r, c, 1, now_us, out)) {
        return NULL;
    }
    c->retries_charged++;
    return s;
}

void
Fw_Plain_Resume(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out)
{
    struct fw_rl_server *next = take_retry_server(r, c, now_us, out);

    if (next) {
        send_attempt(r, c, next, now_us, out);
        return;
    }
    Fw_Call_Reject(r, c, 503, FW_RETRY_NO_SERVER_US, "upstream_lost", now_us,
                   out);
}

static void
retry(struct fw_relay *r, struct fw_rl_call *c, struct fw_rl_server *next,
      const char *reason, int64_t now_us, struct fw_rl_actions *out)
{
    Fw_RelayActions_Log(
        out, r, LOG_NOTICE, "sent_again",
        "\"id\":\"%s\",\"why\":\"%s\",\"server\":\"%s\",\"ran\":\"%s\"",
        c->info.id, reason, c->server->entry.id, Fw_Ran_Name(c->ran));
    Fw_Call_DetachServer(c);
    send_attempt(r, c, next, now_us, out);
}

/* Rejects @c, to which no server has responded. */
static void
reject_failed(struct fw_relay *r, struct fw_rl_call *c, const char *reason,
              int64_t now_us, struct fw_rl_actions *out)
{
    if (c->ran == FW_RAN_NO) {
        reject_until(r, c, FW_RETRY_NO_SERVER_US, reason, now_us, out);
        return;
    }
    Fw_Call_Reject(r, c, now_us >= c->deadline_us ? 504 : 502,
                   FW_RETRY_NO_SERVER_US, reason, now_us, out);
}

/*
 * A server that is late for what its requests usually take is avoided. It
 * counts as one that this instance may not reach in any case.
 */
static void
note_overdue(struct fw_relay *r, struct fw_rl_op *op, int is_unusual,
             int64_t now_us)
{
    if (op->is_overdue) {
        return;
    }
    op->is_overdue = 1;
    Fw_Links_NoteFailure(r, op, 1, now_us);
    if (is_unusual) {
        Fw_Servers_NoteResponse(op->server, 1, now_us - op->sent_us);
    }
}

/* Whether another server may be tried now, and is likely to answer. */
static int
has_second_attempt(struct fw_relay *r, struct fw_rl_op *op, int64_t now_us,
                   struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;
    const struct fw_rl_server *s;

    if (!Fw_SecondAttempt_Fits(begin_times(r, c), now_us - op->sent_us,
                               c->deadline_us - now_us) ||
        !Fw_RetryBudget_Allows(r, c, 1, now_us)) {
        return 0;
    }
    s = find_retry_server(r, c, now_us, out);
    return s && s != op->server;
}

int
Fw_Plain_GivesUp(struct fw_relay *r, struct fw_rl_op *op, int64_t now_us,
                 struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;
    const struct fw_finish_times *begin = begin_times(r, c);

    if (c->is_forwarded) {
        op->overdue_us = 0;
        return 0;
    }
    note_overdue(r, op, begin != NULL, now_us);
    if (has_second_attempt(r, op, now_us, out) ||
        Fw_SecondAttempt_IsLost(begin, now_us - op->sent_us)) {
        return 1;
    }
    op->overdue_us = now_us + Fw_SecondAttempt_WaitUs(begin);
    return 0;
}

static int
may_retry(const struct fw_rl_call *c)
{
    return (is_retryable(c) || FW_FAULT("once-sent-again")) &&
           c->attempts < c->route->attempts;
}

void
Fw_Plain_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                        const struct fw_rl_upstream_response *ans,
                        int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;
    int64_t took_us = now_us - op->sent_us;
    struct fw_rl_server *next;

    if (c->is_forwarded) {
        Fw_Call_Finish(r, c, 1, now_us, out);
        return;
    }
    if (ans->not_run) {
        Fw_Servers_NoteResponse(op->server, 1, -1);
        if (ans->wrong_server) {
            Fw_Servers_NoteUnreachable(op->server, now_us);
        }
        c->attempts--; /* not an attempt: it did not run */
        c->is_declined = 1;
        Fw_Op_End(r, op);
        next = take_retry_server(r, c, now_us, out);
        if (next) {
            retry(r, c, next, "not run", now_us, out);
        }
        else {
            reject_full(r, c, now_us, out);
        }
        return;
    }
    c->ran = FW_RAN_YES;
    c->status = ans->status;
    c->is_response_good = ans->status / 100 == 2;
    Fw_Servers_NoteResponse(op->server, ans->status >= 500, took_us);
    if (c->is_response_good) {
        Fw_PlainCalls_NoteResponse(r, op, took_us);
    }
    if (op->had_free_slot) {
        Fw_Servers_NoteServiceTime(op->server, took_us);
    }
    if (c->is_response_good) {
        Fw_Speeds_NotePlain(r, op, took_us);
    }
    next = ans->status >= 500 && may_retry(c)
               ? take_retry_server(r, c, now_us, out)
               : NULL;
    if (next) {
        Fw_RelayActions_Add(out, FW_RL_DO_CANCEL_CALL)->u.xid = op->xid;
        Fw_Op_End(r, op);
        retry(r, c, next, "server error", now_us, out);
        return;
    }
    Fw_Call_Forward(r, c, now_us, out);
    Fw_Call_Finish(r, c, 1, now_us, out);
}

void
Fw_Plain_HandleRefusal(struct fw_relay *r, struct fw_rl_op *op, int64_t now_us,
                       struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;
    struct fw_rl_server *next;

    Fw_Op_End(r, op);
    c->ran = MAX(c->ran, FW_RAN_MAYBE);
    next = may_retry(c) ? take_retry_server(r, c, now_us, out) : NULL;
    if (next) {
        retry(r, c, next, "server refused", now_us, out);
    }
    else {
        Fw_Call_Reject(r, c, 502, 0, "server_refused", now_us, out);
    }
}

void
Fw_Plain_HandleFailure(struct fw_relay *r, struct fw_rl_op *op, int err,
                       int sent, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;
    struct fw_rl_server *s = op->server;
    struct fw_rl_server *next;

    if (!sent) {
        Fw_Servers_NoteUnreachable(s, now_us);
    }
    else {
        if (!op->is_overdue) {
            Fw_Servers_NoteResponse(
                s, 1, err == -ETIMEDOUT ? now_us - op->sent_us : -1);
        }
        if (err != -ETIMEDOUT) {
            Fw_Crashes_NoteDisconnect(r, c, s, now_us, out);
        }
    }
    Fw_Op_End(r, op);
    if (c->is_forwarded) {
        Fw_Call_Finish(r, c, 0, now_us, out);
        return;
    }
    if (sent && !FW_FAULT("verdict-lost")) {
        c->ran = MAX(c->ran, FW_RAN_MAYBE);
    }
    else {
        c->attempts--;
        c->n_unconnected++;
    }
    if (Fw_Links_AreLostFor(r, c, now_us) &&
        Fw_Handover_Rescue(r, c, NULL, now_us, out)) {
        return;
    }
    next = !sent || may_retry(c) ? take_retry_server(r, c, now_us, out) : NULL;
    if (next) {
        retry(r, c, next, err == -ETIMEDOUT ? "timeout" : "connection lost",
              now_us, out);
        return;
    }
    if (now_us < c->deadline_us &&
        Fw_Handover_Rescue(r, c, "upstream_lost", now_us, out)) {
        return;
    }
    reject_failed(r, c, now_us >= c->deadline_us ? "timeout" : "upstream_lost",
                  now_us, out);
}
