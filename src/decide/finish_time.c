#include "decide/finish_time.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"

/* Fewer times than this say little about the longest. */
#define FW_FINISH_TIMES_MIN 8
/* Margin above the longest time: a part of it, and a least one. */
#define FW_MARGIN_DIVISOR 4
#define FW_MARGIN_MIN_US (200 * FW_MSEC)
#define FW_USUAL_PERMILLE 900

void
Fw_FinishTimes_Note(struct fw_finish_times *t, int64_t took_us)
{
    t->ms[t->n++ % FW_FINISH_TIMES_KEPT] =
        (uint32_t)CLAMP(took_us / FW_MSEC, 0, G_MAXUINT32);
}

static int
compare_ms(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return (x > y) - (x < y);
}

int64_t
Fw_FinishTimes_QuantileUs(const struct fw_finish_times *t, int permille)
{
    uint64_t n = MIN(t->n, FW_FINISH_TIMES_KEPT);
    uint32_t sorted[FW_FINISH_TIMES_KEPT];

    if (!n) {
        return 0;
    }
    memcpy(sorted, t->ms, n * sizeof(sorted[0]));
    qsort(sorted, n, sizeof(sorted[0]), compare_ms);
    return (int64_t)sorted[(n - 1) * (uint64_t)permille / 1000] * FW_MSEC;
}

int64_t
Fw_FinishTimes_BoundUs(const struct fw_finish_times *t)
{
    uint64_t n = MIN(t->n, FW_FINISH_TIMES_KEPT);
    int64_t longest_us = 0;

    if (n < FW_FINISH_TIMES_MIN) {
        return FW_FINISH_UNKNOWN_US;
    }
    for (uint64_t i = 0; i < n; i++) {
        longest_us = MAX(longest_us, (int64_t)t->ms[i] * FW_MSEC);
    }
    return longest_us + MAX(longest_us / FW_MARGIN_DIVISOR, FW_MARGIN_MIN_US);
}

int64_t
Fw_FinishTimes_UsualUs(const struct fw_finish_times *t)
{
    return t->n < FW_FINISH_TIMES_MIN
               ? FW_FINISH_UNKNOWN_US
               : Fw_FinishTimes_QuantileUs(t, FW_USUAL_PERMILLE);
}

int
Fw_Finish_Fits(int64_t bound_us, int64_t limit_us, int64_t left_us)
{
    return MIN(bound_us, limit_us) <= left_us;
}
