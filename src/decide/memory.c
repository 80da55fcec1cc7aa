#include "decide/memory.h"

#include <glib.h>
#include <math.h>

/*
 * By how many standard deviations of what its streams take together an
 * engine's memory must be larger than what they take on average.
 */
#define FW_SPARE_DEVIATIONS 2.5

/*
 * Streams of all ages take their prompts and half of their answers; and of
 * those that run at a moment the long ones are more, since they run longer.
 * One that has passed the half counts as what it takes; otherwise an engine
 * with old streams only would be filled until it preempts them.
 */
int64_t
Fw_Memory_StreamTokens(int64_t in, const struct fw_length_guess *answer,
                       int64_t most, double generated)
{
    double met = answer->mean + answer->dev * answer->dev / answer->mean;
    double out = MAX(met / 2, generated);

    return in + MIN((int64_t)out, most);
}

/*
 * At a moment drawn at random a stream has generated any part of its answer:
 * the variance is that of a uniform part of a length that is itself
 * uncertain.
 */
int64_t
Fw_Memory_Spare(const struct fw_length_guess *answer, int64_t most, int n)
{
    double variance =
        answer->mean * answer->mean / 12 + answer->dev * answer->dev / 3;
    /* No stream takes more than its most: an empty engine takes any that
     * fits. */
    double bound = n * MAX((double)most - answer->mean / 2, 0);

    return (int64_t)MIN(FW_SPARE_DEVIATIONS * sqrt(variance * n), bound);
}
