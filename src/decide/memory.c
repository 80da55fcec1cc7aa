#include "decide/memory.h"

#include <glib.h>
#include <math.h>

/* Headroom, in standard deviations of the memory that all streams use. */
#define FW_HEADROOM_DEVIATIONS 2.5

/*
 * On average a running stream has generated half of its answer. Long answers
 * are more frequent among running streams than among all requests, so their
 * mean length is mean + variance / mean. A stream beyond that half counts
 * with its present size, or an engine with only old streams would be filled
 * until it preempts them.
 */
int64_t
Fw_Memory_StreamTokens(int64_t in, const struct fw_length_estimate *answer,
                       int64_t max_tokens, double generated)
{
    double running_length =
        answer->mean + answer->dev * answer->dev / answer->mean;
    double answer_tokens = MAX(running_length / 2, generated);

    return in + MIN((int64_t)answer_tokens, max_tokens);
}

/*
 * The generated part of a running stream is uniformly distributed over its
 * length, which itself has the variance of the prediction.
 */
int64_t
Fw_Memory_Headroom(const struct fw_length_estimate *answer, int64_t max_tokens,
                   int n)
{
    double variance =
        answer->mean * answer->mean / 12 + answer->dev * answer->dev / 3;
    /* Streams cannot grow beyond their maximum, whatever the variance. */
    double bound = n * MAX((double)max_tokens - answer->mean / 2, 0);

    return (int64_t)MIN(FW_HEADROOM_DEVIATIONS * sqrt(variance * n), bound);
}
