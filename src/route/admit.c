#include "route/policy.h"

/* A caller that retries sooner finds the queue unchanged. */
#define FW_RETRY_AFTER_MIN_US (250 * FW_MSEC)

int64_t
Fw_Admit_LatestStartUs(const struct fw_admission *a)
{
    if (a->deadline_us) {
        return a->deadline_us - a->service_us - a->stream_us;
    }
    /*
     * A prompt that would miss the target even on an idle engine is bounded
     * by the queue limit alone; otherwise it would never be served.
     */
    if (a->service_us >= a->ttft_us) {
        return a->arrived_us + a->queue_max_us;
    }
    return a->arrived_us + MIN(a->ttft_us - a->service_us, a->queue_max_us);
}

int64_t
Fw_Admit_RetryAfterUs(int64_t wait_us, int64_t slack_us)
{
    return MAX(wait_us - MAX(slack_us, 0), FW_RETRY_AFTER_MIN_US);
}
