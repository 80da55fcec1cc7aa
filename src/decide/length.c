#include "decide/length.h"

#include <glib.h>
#include <math.h>

/* Answers that are remembered: a change of the load shows in some 60. */
#define FW_LENGTH_MEMORY 60.0
/* Answers that the guess without any counts as. */
#define FW_LENGTH_START 8.0
/* Steps of the median, as parts of it: the first and the smallest. */
#define FW_MEDIAN_FIRST 0.4
#define FW_MEDIAN_LEAST 0.02
/* Part by which the longest answer is forgotten with each further one. */
#define FW_LONGEST_DECAY 0.002

/*
 * Before anything was seen: half of the estimate and half of the middle of
 * what is possible, and as uncertain as if every length were as likely.
 */
static void
guess_blind(int64_t hint, int64_t most, struct fw_length_guess *out)
{
    double middle = (double)most / 2;

    out->mean = hint < 0 ? middle : ((double)MIN(hint, most) + middle) / 2;
    out->dev = (double)most / sqrt(12);
}

/* One that gives no estimate says as much as the mean one does. */
static double
estimate(const struct fw_length *l, int64_t hint, int64_t most)
{
    return hint < 0 ? l->x : (double)MIN(hint, most);
}

/* A step up or down settles where as many are above as below. */
static void
note_per_event(struct fw_length *l, double hint, double events)
{
    double seen = hint / events;
    double step = MAX(FW_MEDIAN_FIRST / (1 + l->n / 2), FW_MEDIAN_LEAST);

    if (l->measured) {
        return;
    }
    if (l->per_event <= 0) {
        l->per_event = seen;
        return;
    }
    l->per_event *= seen > l->per_event ? 1 + step : 1 / (1 + step);
}

void
Fw_Length_NoteTokens(struct fw_length *l, int64_t tokens, int64_t events)
{
    if (tokens > 0 && events > 0) {
        l->per_event = (double)tokens / (double)events;
        l->measured = 1;
    }
}

void
Fw_Length_Note(struct fw_length *l, int64_t hint, int64_t most, int64_t events)
{
    double y = (double)events;
    double x;
    double part;
    double dx;
    double dy;

    if (events <= 0 || most <= 0) {
        return;
    }
    if (hint > 0) {
        note_per_event(l, (double)MIN(hint, most), y);
    }
    x = l->n > 0 ? estimate(l, hint, most)
                 : (double)(hint < 0 ? most / 2 : MIN(hint, most));
    l->n = MIN(l->n + 1, FW_LENGTH_MEMORY);
    part = 1 / l->n;
    dx = x - l->x;
    dy = y - l->y;
    l->x += part * dx;
    l->y += part * dy;
    l->xx += part * ((1 - part) * dx * dx - l->xx);
    l->yy += part * ((1 - part) * dy * dy - l->yy);
    l->xy += part * ((1 - part) * dx * dy - l->xy);
    l->longest = MAX(y, l->longest * (1 - FW_LONGEST_DECAY));
}

/*
 * Without estimates the longest answer is taken for one of the most that is
 * possible: rather too much than too little.
 */
double
Fw_Length_PerEvent(const struct fw_length *l, int64_t most)
{
    if (l->per_event > 0) {
        return l->per_event;
    }
    return l->longest > 0 ? (double)most / l->longest : 0;
}

void
Fw_Length_Guess(const struct fw_length *l, int64_t hint, int64_t most,
                struct fw_length_guess *out)
{
    double per_event = Fw_Length_PerEvent(l, most);
    double known = l->n / (l->n + FW_LENGTH_START);
    double slope = l->xx > 0 ? MAX(l->xy / l->xx, 0) : 0;
    double events = l->y + slope * (estimate(l, hint, most) - l->x);
    double spread = MAX(l->yy - slope * l->xy, 0);
    struct fw_length_guess blind;

    guess_blind(hint, most, &blind);
    out->mean = known * events * per_event + (1 - known) * blind.mean;
    out->dev = known * sqrt(spread) * per_event + (1 - known) * blind.dev;
    out->mean = CLAMP(out->mean, 1, MAX((double)most, 1));
}

void
Fw_Length_Write(const struct fw_length *l, double figures[FW_LENGTH_FIGURES])
{
    const double all[FW_LENGTH_FIGURES] = {
        l->n, l->x, l->y, l->xx, l->yy, l->xy, l->per_event, l->longest};

    for (int i = 0; i < FW_LENGTH_FIGURES; i++) {
        figures[i] = all[i];
    }
}

void
Fw_Length_Adopt(struct fw_length *l, const double figures[FW_LENGTH_FIGURES])
{
    struct fw_length got = {.n = figures[0],
                            .x = figures[1],
                            .y = figures[2],
                            .xx = figures[3],
                            .yy = figures[4],
                            .xy = figures[5],
                            .per_event = figures[6],
                            .longest = figures[7]};

    for (int i = 0; i < FW_LENGTH_FIGURES; i++) {
        if (!isfinite(figures[i]) || (figures[i] < 0 && i != 5)) {
            return;
        }
    }
    if (got.n > l->n && got.n <= FW_LENGTH_MEMORY) {
        *l = got;
    }
}
