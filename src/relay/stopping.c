/*
 * What an instance still starts after SIGTERM. Callers reach it until its load
 * balancer has noticed, and on the connections that they have; what is open
 * when the grace period ends is cut. So a request, or a further try of one, is
 * only sent to a server if it can finish before. Others are rejected at once
 * as not run, for another instance to serve.
 */
#include "relay/relay_internal.h"

/*
 * As long as the load balancer has not noticed, a caller that is rejected may
 * reach another instance that stops as well, and most have only one retry: one
 * in ten may fail to finish then. Later on all must.
 */
static int64_t
needed_us(const struct fw_relay *r, const struct fw_rl_call *c, int is_begun,
          int64_t now_us)
{
    const struct fw_rl_kind_times *t = Fw_KindTimes_Find(r, c);
    const struct fw_finish_times *times;

    if (!t) {
        return FW_FINISH_UNKNOWN_US;
    }
    times = is_begun ? &t->run : &t->whole;
    return now_us - r->drain_start_us < FW_RL_STOP_NOTICED_US
               ? Fw_FinishTimes_UsualUs(times)
               : Fw_FinishTimes_BoundUs(times);
}

static int64_t
needed_ms(int64_t us)
{
    return us == FW_FINISH_UNKNOWN_US ? -1 : Fw_Relay_UsToMs(us);
}

int
Fw_Stopping_Rejects(struct fw_relay *r, struct fw_rl_call *c, int is_begun,
                    int64_t now_us, struct fw_rl_actions *out)
{
    int64_t limit_us = c->deadline_us - now_us;
    int64_t left_us =
        r->drain_start_us + r->opts.grace_us - FW_RL_ANSWER_MARGIN_US - now_us;
    int64_t need_us;

    if (!r->draining) {
        return 0;
    }
    need_us = needed_us(r, c, is_begun, now_us);
    if (Fw_Finish_Fits(need_us, limit_us, left_us)) {
        return 0;
    }
    c->is_too_late = 1;
    Fw_RelayActions_Log(
        out, r, LOG_NOTICE, "too_late_to_finish",
        "\"id\":\"%s\",\"service\":\"%s\",\"begun\":%d,"
        "\"left_ms\":%" G_GINT64_FORMAT ",\"needed_ms\":%" G_GINT64_FORMAT
        ",\"limit_ms\":%" G_GINT64_FORMAT,
        c->info.id, c->service, is_begun, Fw_Relay_UsToMs(left_us),
        needed_ms(need_us), Fw_Relay_UsToMs(limit_us));
    return 1;
}

int
Fw_Stopping_RejectIfLate(struct fw_relay *r, struct fw_rl_call *c,
                         int is_begun, int64_t now_us,
                         struct fw_rl_actions *out)
{
    if (!Fw_Stopping_Rejects(r, c, is_begun, now_us, out)) {
        return 0;
    }
    Fw_Call_Reject(r, c, 503, FW_RL_RETRY_ELSEWHERE_US, "stopping", now_us,
                   out);
    return 1;
}
