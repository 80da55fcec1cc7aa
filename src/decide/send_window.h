/* Requests that this instance has sent to one server in the last seconds. */
#ifndef FW_DECIDE_SEND_WINDOW_H
#define FW_DECIDE_SEND_WINDOW_H

#include <stdint.h>

#include "base/limits.h"

/* Resolution of the times, and the longest span that can be counted. */
#define FW_SEND_SLOT_US (100 * FW_MSEC)
#define FW_SEND_SPAN_MAX_US (4 * FW_SEC)
#define FW_SEND_SLOTS (FW_SEND_SPAN_MAX_US / FW_SEND_SLOT_US + 1)

/**
 * struct fw_send_window - requests sent to a server.
 * @slot: number of the latest slot with a request
 * @sent: requests by slot, a ring
 * @committed: requests that will follow those sent, not sent yet
 */
struct fw_send_window {
    int64_t slot;
    uint16_t sent[FW_SEND_SLOTS];
    int committed;
};

void
Fw_SendWindow_NoteSent(struct fw_send_window *w, int64_t now_us);
/* Requests sent since @since_us, at most FW_SEND_SPAN_MAX_US ago. */
int
Fw_SendWindow_Sent(const struct fw_send_window *w, int64_t since_us,
                   int64_t now_us);
/* The same, and those that are committed. */
int
Fw_SendWindow_Count(const struct fw_send_window *w, int64_t since_us,
                    int64_t now_us);
/*
 * Earliest time from @now_us on at which no more than @max were sent within
 * @span_us or are committed, if none is sent until then. INT64_MAX if more are
 * committed.
 */
int64_t
Fw_SendWindow_AvailableUs(const struct fw_send_window *w, int64_t span_us,
                          int max, int64_t now_us);

#endif
