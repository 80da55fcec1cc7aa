#include "decide/readers.h"

#include <glib.h>
#include <math.h>

#include "base/limits.h"

/*
 * What the load was so long ago counts for a third. A change takes an engine
 * out of service for seconds: bursts and waves should not cause one.
 */
#define FW_READING_MEMORY_US (60.0 * FW_SEC)
/* A mean over less says nothing: one prompt more would double it. */
#define FW_READING_LEAST_US (5.0 * FW_SEC)
/* The guess counts as much as a load that was seen for so long. */
#define FW_GUESS_LIFE_US (15.0 * FW_SEC)
/* Of the root of the mean load: for the moments when more comes. */
#define FW_READERS_SPARE 1.8
/* So far off, in engines, before the number changes. */
#define FW_READERS_SLACK 1.0

static double
fade(double us)
{
    return us > 0 ? exp(-us / FW_READING_MEMORY_US) : 1;
}

void
Fw_Reading_Note(struct fw_prefill_load *r, int64_t tokens, int64_t now_us)
{
    r->sum = r->sum * fade((double)(now_us - r->at_us)) + (double)tokens;
    r->at_us = now_us;
    if (!r->since_us) {
        r->since_us = now_us;
    }
}

/* Over the time that it was seen for: one that has just started is right. */
double
Fw_Reading_Rate(const struct fw_prefill_load *r, int64_t now_us)
{
    double seen = MAX((double)(now_us - r->since_us), FW_READING_LEAST_US);

    if (!r->since_us) {
        return 0;
    }
    return r->sum * fade((double)(now_us - r->at_us)) /
           (FW_READING_MEMORY_US * (1 - fade(seen))) * FW_SEC;
}

double
Fw_PrefillPool_BusyEngines(const struct fw_prefill_load *mine, double rate,
                           double token_us, double guess, int64_t now_us)
{
    double seen = mine->since_us ? (double)(now_us - mine->since_us) : 0;
    double part = seen / (seen + FW_GUESS_LIFE_US);

    return part * rate * token_us / FW_SEC + (1 - part) * guess;
}

/*
 * The mean load and a spare that grows with its root (square-root staffing):
 * a few engines need more beside the mean than many do.
 */
int
Fw_PrefillPool_TargetSize(double busy, int engines, int now_readers)
{
    double want = busy + FW_READERS_SPARE * sqrt(busy);
    int most = MAX(engines - 1, 1);

    if (now_readers >= 1 && now_readers <= most &&
        fabs(want - now_readers) < FW_READERS_SLACK) {
        return now_readers;
    }
    return CLAMP((int)lround(want), 1, most);
}
