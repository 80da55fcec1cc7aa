#include "decide/send_window.h"

#include <glib.h>

void
Fw_SendWindow_NoteSent(struct fw_send_window *w, int64_t now_us)
{
    int64_t now = MAX(now_us / FW_SEND_SLOT_US, w->slot);
    int64_t skipped = MIN(now - w->slot, FW_SEND_SLOTS);

    for (int64_t i = 0; i < skipped; i++) {
        w->sent[(now - i) % FW_SEND_SLOTS] = 0;
    }
    w->slot = now;
    if (w->sent[now % FW_SEND_SLOTS] < G_MAXUINT16) {
        w->sent[now % FW_SEND_SLOTS]++;
    }
}

/* The oldest slot that counts at @now_us. */
static int64_t
first_slot(const struct fw_send_window *w, int64_t since_us, int64_t now_us)
{
    int64_t now = MAX(now_us / FW_SEND_SLOT_US, w->slot);

    return MAX(since_us / FW_SEND_SLOT_US, now - FW_SEND_SLOTS + 1);
}

int
Fw_SendWindow_Sent(const struct fw_send_window *w, int64_t since_us,
                   int64_t now_us)
{
    int64_t oldest =
        MAX(first_slot(w, since_us, now_us), w->slot - FW_SEND_SLOTS + 1);
    int n = 0;

    for (int64_t i = MAX(oldest, 0); i <= w->slot; i++) {
        n += w->sent[i % FW_SEND_SLOTS];
    }
    return n;
}

int
Fw_SendWindow_Count(const struct fw_send_window *w, int64_t since_us,
                    int64_t now_us)
{
    return Fw_SendWindow_Sent(w, since_us, now_us) + w->committed;
}

int64_t
Fw_SendWindow_AvailableUs(const struct fw_send_window *w, int64_t span_us,
                          int max, int64_t now_us)
{
    int n = Fw_SendWindow_Count(w, now_us - span_us, now_us);
    int64_t slot = MAX(first_slot(w, now_us - span_us, now_us), 0);

    if (n <= max) {
        return now_us;
    }
    for (; slot <= w->slot; slot++) {
        n -= w->sent[slot % FW_SEND_SLOTS];
        if (n <= max) {
            return (slot + 1) * FW_SEND_SLOT_US + span_us;
        }
    }
    return INT64_MAX;
}
