#include "route/policy.h"

/* Consecutive failures, or consecutive slow calls, that open the breaker. */
#define FW_BREAKER_FAILURES_MAX 3
#define FW_BREAKER_SLOW_MAX 5
/* A call is slow above this multiple of the expected time plus the margin. */
#define FW_BREAKER_SLOW_FACTOR 4
#define FW_BREAKER_SLOW_MARGIN_US (50 * FW_MSEC)
#define FW_BREAKER_OPEN_MIN_US FW_SEC
#define FW_BREAKER_OPEN_MAX_US (30 * FW_SEC)
#define FW_BREAKER_PROBE_TIMEOUT_US (5 * FW_SEC)

static int
open_breaker(struct fw_breaker *b, int64_t now_us)
{
    b->open_us =
        CLAMP(b->open_us * 2, FW_BREAKER_OPEN_MIN_US, FW_BREAKER_OPEN_MAX_US);
    b->state = FW_BREAKER_OPEN;
    b->until_us = now_us + b->open_us;
    b->n_failures = 0;
    b->n_slow = 0;
    return 1;
}

int
Fw_Breaker_RecordFailure(struct fw_breaker *b, int64_t now_us)
{
    b->n_failures++;
    if (b->state == FW_BREAKER_OPEN) {
        return 0;
    }
    if (b->state == FW_BREAKER_HALF_OPEN ||
        b->n_failures >= FW_BREAKER_FAILURES_MAX) {
        return open_breaker(b, now_us);
    }
    return 0;
}

int
Fw_Breaker_RecordSuccess(struct fw_breaker *b, int64_t took_us,
                         int64_t expected_us, int64_t now_us)
{
    int slow =
        expected_us > 0 && took_us > expected_us * FW_BREAKER_SLOW_FACTOR +
                                         FW_BREAKER_SLOW_MARGIN_US;

    b->n_failures = 0;
    if (b->state == FW_BREAKER_OPEN) {
        return 0;
    }
    if (slow) {
        b->n_slow++;
        return b->state == FW_BREAKER_HALF_OPEN ||
                       b->n_slow >= FW_BREAKER_SLOW_MAX
                   ? open_breaker(b, now_us)
                   : 0;
    }
    b->n_slow = 0;
    b->state = FW_BREAKER_CLOSED;
    b->open_us = 0;
    return 0;
}

void
Fw_Breaker_RecordRequest(struct fw_breaker *b, int64_t now_us)
{
    if (b->state != FW_BREAKER_CLOSED && now_us >= b->until_us) {
        b->state = FW_BREAKER_HALF_OPEN;
        b->until_us = now_us + FW_BREAKER_PROBE_TIMEOUT_US;
    }
}
