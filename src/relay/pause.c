/*
 * Pauses of this process, which was stopped, or held up by others on its
 * machine. What it reads just after one was sent while it lasted.
 */
#include "relay/relay_internal.h"

/* A longer time between two ticks is a pause. */
#define FW_PAUSE_MIN_US (500 * FW_MSEC)
/* Time in which what has arrived during a pause is read. */
#define FW_BACKLOG_US (300 * FW_MSEC)

void
Fw_Pause_NoteTick(struct fw_relay *r, int64_t now_us)
{
    if (r->pause.tick_us && now_us - r->pause.tick_us >= FW_PAUSE_MIN_US) {
        r->pause.began_us = r->pause.tick_us;
        r->pause.ended_us = now_us;
    }
    r->pause.tick_us = now_us;
}

int64_t
Fw_Pause_EarliestSentUs(const struct fw_relay *r, int64_t now_us)
{
    if (r->pause.tick_us && now_us - r->pause.tick_us >= FW_PAUSE_MIN_US) {
        return r->pause.tick_us;
    }
    if (r->pause.ended_us && now_us - r->pause.ended_us < FW_BACKLOG_US) {
        return r->pause.began_us;
    }
    return now_us;
}
