#include "decide/shortage.h"

#include <glib.h>

#include "base/limits.h"

/* Bounds of the delay, as multiples of the time that the shortage has lasted.
 */
#define FW_MIN_FACTOR 1.0
#define FW_MAX_FACTOR 2.0
#define FW_MIN_US (100 * FW_MSEC)
#define FW_MAX_US (4 * FW_SEC)
/* The delay takes at most this part of the caller's time left: 1 / n. */
#define FW_LEFT_DIVISOR 3

void
Fw_Shortage_NoteLevel(struct fw_shortage *s, double level, double ample)
{
    if (level >= ample) {
        s->since_us = 0;
    }
}

void
Fw_Shortage_NoteRejected(struct fw_shortage *s, int64_t now_us)
{
    if (!s->since_us) {
        s->since_us = now_us;
    }
}

int64_t
Fw_Shortage_RetryAfter(const struct fw_shortage *s, int64_t covered_us,
                       int64_t left_us, double chance, int64_t now_us)
{
    int64_t lasted_us = s->since_us ? now_us - s->since_us : 0;
    double factor = FW_MIN_FACTOR + (FW_MAX_FACTOR - FW_MIN_FACTOR) * chance;
    int64_t us = MAX(covered_us, (int64_t)((double)lasted_us * factor));
    int64_t longest_us =
        left_us > 0 ? MIN(left_us / FW_LEFT_DIVISOR, FW_MAX_US) : FW_MAX_US;

    return CLAMP(us, MIN(FW_MIN_US, longest_us), longest_us);
}
