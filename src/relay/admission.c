/*
 * Whether requests may be sent to a server. Every kind of call asks here: runs
 * and their retries, prefills, reservations, reports and orders. The answer
 * depends on what the servers say about themselves in their responses.
 */
#include "base/fault.h"
#include "decide/refusal.h"
#include "relay/relay_internal.h"

int
Fw_Admission_MaySend(struct fw_relay *r, struct fw_rl_server *s, int n,
                     int64_t now_us)
{
    return Fw_Servers_IsInService(s) &&
           (Fw_ServerRest_AvailableUs(&s->rest, now_us) <= now_us ||
            FW_FAULT("rest-ignored")) &&
           Fw_Cold_MaySend(r, s, n, now_us) &&
           Fw_ServerLimits_MaySend(r, s, n, now_us);
}

int
Fw_Admission_MayFollow(struct fw_relay *r, struct fw_rl_server *s,
                       int64_t now_us)
{
    return Fw_ServerRest_IsOver(&s->rest, now_us) &&
           Fw_ServerLimits_MayFollow(r, s, now_us);
}

int64_t
Fw_Admission_AvailableUs(struct fw_relay *r, struct fw_rl_server *s, int n,
                         int64_t now_us)
{
    if (!Fw_Servers_IsInService(s) || !Fw_Cold_MaySend(r, s, n, now_us)) {
        return 0;
    }
    return MAX(Fw_ServerRest_AvailableUs(&s->rest, now_us),
               Fw_ServerLimits_AvailableUs(r, s, n, now_us));
}

int
Fw_Admission_IsLimited(const struct fw_rl_server *s, int64_t now_us)
{
    return s->limit.milli != FW_NO_LIMIT ||
           !Fw_ServerRest_IsOver(&s->rest, now_us);
}

void
Fw_Admission_NoteSent(struct fw_rl_server *s, int64_t now_us)
{
    Fw_SendWindow_NoteSent(&s->sends, now_us);
    Fw_ServerRest_NoteSent(&s->rest, now_us);
}

void
Fw_Admission_NoteReserving(struct fw_rl_call *c)
{
    if (!c->is_committed) {
        c->is_committed = 1;
        c->server->sends.committed++;
    }
}

void
Fw_Admission_EndReservation(struct fw_rl_call *c)
{
    if (c->is_committed) {
        c->is_committed = 0;
        c->server->sends.committed--;
    }
}

static void
log_if_invalid(struct fw_relay *r, const struct fw_rl_server *s, int invalid,
               const char *field, struct fw_rl_actions *out)
{
    if (invalid) {
        Fw_RelayActions_Log(out, r, LOG_WARNING, "server_field_invalid",
                            "\"server\":\"%s\",\"field\":\"%s\"", s->entry.id,
                            field);
    }
}

static void
note_limit(struct fw_relay *r, struct fw_rl_server *s,
           const struct fw_rl_upstream_response *ans, int64_t now_us,
           struct fw_rl_actions *out)
{
    log_if_invalid(r, s, ans->invalid_limit, "limit", out);
    /* A rejection without a limit does not say that there is none. */
    if (ans->limit_milli != FW_NO_LIMIT ||
        (!ans->invalid_limit && !ans->not_run)) {
        Fw_ServerLimits_Note(r, s, ans->limit_milli, now_us);
    }
}

static void
note_rest(struct fw_relay *r, struct fw_rl_server *s,
          const struct fw_rl_upstream_response *ans, int64_t now_us,
          struct fw_rl_actions *out)
{
    log_if_invalid(r, s, ans->invalid_rest, "rest", out);
    if (ans->status != 503) {
        Fw_ServerRest_NoteAccepted(&s->rest, now_us);
    }
    if (ans->rest_us > 0) {
        Fw_ServerRest_NoteRejected(&s->rest, ans->rest_us, now_us);
        Fw_RelayActions_Log(out, r, LOG_NOTICE, "server_rest",
                            "\"server\":\"%s\",\"ms\":%" G_GINT64_FORMAT,
                            s->entry.id, Fw_Relay_UsToMs(ans->rest_us));
    }
}

static void
note_leaving(struct fw_relay *r, struct fw_rl_server *s,
             const struct fw_rl_upstream_response *ans, int64_t now_us,
             struct fw_rl_actions *out)
{
    log_if_invalid(r, s, ans->invalid_leaving, "leaving", out);
    if (ans->leaving) {
        Fw_Servers_NoteLeaving(r, s, now_us, out);
    }
}

/*
 * Logs a server's response with a status that says, as one of our own, that
 * the request has not run: whether it has is decided by the response.
 */
static void
log_refusal(struct fw_relay *r, const struct fw_rl_op *op,
            const struct fw_rl_upstream_response *ans,
            struct fw_rl_actions *out)
{
    if (op->kind != FW_RL_UP_RUN || !Fw_Refusal_IsPromise(ans->status)) {
        return;
    }
    Fw_RelayActions_Log(
        out, r, ans->not_run ? Fw_Call_LogSeverity(r, op->call) : LOG_NOTICE,
        "server_refused",
        "\"id\":\"%s\",\"server\":\"%s\",\"status\":%d,\"not_run\":%d,"
        "\"wrong_server\":%d",
        op->call->info.id, op->server->entry.id, ans->status, ans->not_run,
        ans->wrong_server);
}

/* A response from another server says nothing about the one called. */
void
Fw_Relay_ResponseHead(struct fw_relay *r, uint64_t xid,
                      const struct fw_rl_upstream_response *ans,
                      int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_op *op = Fw_Relay_FindOp(r, xid);

    if (!op || !op->server) {
        return;
    }
    Fw_Links_NoteResponse(r, op->server, now_us);
    log_refusal(r, op, ans, out);
    if (!ans->wrong_server) {
        Fw_Crashes_ServerResponded(r, op->server, op->sent_us, now_us);
        note_limit(r, op->server, ans, now_us, out);
        note_rest(r, op->server, ans, now_us, out);
        note_leaving(r, op->server, ans, now_us, out);
    }
}
