#include "decide/second_attempt.h"

#include <glib.h>

#include "base/limits.h"

/*
 * Shortest wait, also of a kind of which nothing is known: a second attempt
 * then still meets an objective of 300 ms, once passed.
 */
#define FW_WAIT_MIN_US (350 * FW_MSEC)
/* The wait is so many times what half of the requests take. */
#define FW_WAIT_MEDIANS 3
#define FW_MEDIAN_PERMILLE 500
/* A second attempt has to have the time that nine in ten requests take. */
#define FW_USUAL_PERMILLE 900

int64_t
Fw_SecondAttempt_WaitUs(const struct fw_finish_times *begin)
{
    int64_t median_us =
        begin ? Fw_FinishTimes_QuantileUs(begin, FW_MEDIAN_PERMILLE) : 0;

    return MAX(FW_WAIT_MEDIANS * median_us, FW_WAIT_MIN_US);
}

int
Fw_SecondAttempt_Fits(const struct fw_finish_times *begin, int64_t spent_us,
                      int64_t left_us)
{
    int64_t usual_us =
        begin ? Fw_FinishTimes_QuantileUs(begin, FW_USUAL_PERMILLE) : 0;

    return left_us >= (usual_us ? usual_us : spent_us);
}

int
Fw_SecondAttempt_IsLost(const struct fw_finish_times *begin, int64_t spent_us)
{
    return begin && spent_us >= Fw_FinishTimes_BoundUs(begin);
}
