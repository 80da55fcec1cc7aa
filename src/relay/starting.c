/*
 * Requests that arrive before an instance that has just started can serve
 * them. It has its configuration, its servers and what is in quarantine within
 * some tens of milliseconds; a request that was rejected meanwhile would
 * return as its caller's second attempt, which for most callers is the last
 * one. When all instances start at once, there is no other that could serve
 * it.
 */
#include "relay/relay_internal.h"

static int
is_starting(const struct fw_relay *r, int64_t now_us)
{
    int can_serve =
        r->has_server_list && Fw_Relay_AreKeysFresh(r, now_us) &&
        (r->store_sync.members_known || Fw_CrashQuery_IsAnswered(r, now_us));

    return !r->draining && !can_serve &&
           now_us - r->start_us < r->opts.start_wait_us;
}

int
Fw_Starting_Hold(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us)
{
    if (!is_starting(r, now_us)) {
        return 0;
    }
    c->state = FW_RL_STARTING;
    c->deadline_us =
        c->opened_us +
        (c->info.timeout_us > 0 ? c->info.timeout_us : r->opts.start_wait_us);
    r->n_starting++;
    return 1;
}

void
Fw_Starting_Forget(struct fw_relay *r, struct fw_rl_call *c)
{
    if (c->state == FW_RL_STARTING) {
        c->state = FW_RL_QUEUED;
        r->n_starting--;
    }
}

static struct fw_rl_call *
next_held(const struct fw_relay *r)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->call_list) {
        struct fw_rl_call *c = FW_LIST_ENTRY(pos, struct fw_rl_call, link);

        if (c->state == FW_RL_STARTING) {
            return c;
        }
    }
    return NULL;
}

void
Fw_Starting_Resume(struct fw_relay *r, int64_t now_us,
                   struct fw_rl_actions *out)
{
    struct fw_rl_call *c;

    while (r->n_starting && !is_starting(r, now_us) && (c = next_held(r))) {
        Fw_Starting_Forget(r, c);
        Fw_RelayActions_Log(out, r, Fw_Call_LogSeverity(r, c), "resumed",
                            "\"id\":\"%s\",\"waited_ms\":%" G_GINT64_FORMAT,
                            c->info.id,
                            Fw_Relay_UsToMs(now_us - c->opened_us));
        Fw_Relay_Serve(r, c, now_us, out);
    }
}
