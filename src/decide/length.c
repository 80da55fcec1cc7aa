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
estimate(const struct fw_length_model *l, int64_t hint, int64_t most)
{
    return hint < 0 ? l->mean_hint : (double)MIN(hint, most);
}

/* A step up or down settles where as many are above as below. */
static void
note_per_event(struct fw_length_model *l, double hint, double events)
{
    double seen = hint / events;
    double step = MAX(FW_MEDIAN_FIRST / (1 + l->n / 2), FW_MEDIAN_LEAST);

    if (l->is_reported) {
        return;
    }
    if (l->tokens_per_event <= 0) {
        l->tokens_per_event = seen;
        return;
    }
    l->tokens_per_event *=
        seen > l->tokens_per_event ? 1 + step : 1 / (1 + step);
}

void
Fw_Length_SetTokensPerEvent(struct fw_length_model *l, int64_t tokens,
                            int64_t events)
{
    if (tokens > 0 && events > 0) {
        l->tokens_per_event = (double)tokens / (double)events;
        l->is_reported = 1;
    }
}

void
Fw_Length_Note(struct fw_length_model *l, int64_t hint, int64_t most,
               int64_t events)
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
    dx = x - l->mean_hint;
    dy = y - l->mean_events;
    l->mean_hint += part * dx;
    l->mean_events += part * dy;
    l->hint_variance += part * ((1 - part) * dx * dx - l->hint_variance);
    l->events_variance += part * ((1 - part) * dy * dy - l->events_variance);
    l->covariance += part * ((1 - part) * dx * dy - l->covariance);
    l->max_events = MAX(y, l->max_events * (1 - FW_LONGEST_DECAY));
}

/*
 * Without estimates the longest answer is taken for one of the most that is
 * possible: rather too much than too little.
 */
double
Fw_Length_TokensPerEvent(const struct fw_length_model *l, int64_t most)
{
    if (l->tokens_per_event > 0) {
        return l->tokens_per_event;
    }
    return l->max_events > 0 ? (double)most / l->max_events : 0;
}

void
Fw_Length_Guess(const struct fw_length_model *l, int64_t hint, int64_t most,
                struct fw_length_guess *out)
{
    double per_event = Fw_Length_TokensPerEvent(l, most);
    double known = l->n / (l->n + FW_LENGTH_START);
    double slope =
        l->hint_variance > 0 ? MAX(l->covariance / l->hint_variance, 0) : 0;
    double events =
        l->mean_events + slope * (estimate(l, hint, most) - l->mean_hint);
    double spread = MAX(l->events_variance - slope * l->covariance, 0);
    struct fw_length_guess blind;

    guess_blind(hint, most, &blind);
    out->mean = known * events * per_event + (1 - known) * blind.mean;
    out->dev = known * sqrt(spread) * per_event + (1 - known) * blind.dev;
    out->mean = CLAMP(out->mean, 1, MAX((double)most, 1));
}

void
Fw_Length_Export(const struct fw_length_model *l,
                 double figures[FW_LENGTH_PARAMS])
{
    const double all[FW_LENGTH_PARAMS] = {l->n,
                                          l->mean_hint,
                                          l->mean_events,
                                          l->hint_variance,
                                          l->events_variance,
                                          l->covariance,
                                          l->tokens_per_event,
                                          l->max_events};

    for (int i = 0; i < FW_LENGTH_PARAMS; i++) {
        figures[i] = all[i];
    }
}

void
Fw_Length_Import(struct fw_length_model *l,
                 const double figures[FW_LENGTH_PARAMS])
{
    struct fw_length_model got = {.n = figures[0],
                                  .mean_hint = figures[1],
                                  .mean_events = figures[2],
                                  .hint_variance = figures[3],
                                  .events_variance = figures[4],
                                  .covariance = figures[5],
                                  .tokens_per_event = figures[6],
                                  .max_events = figures[7]};

    for (int i = 0; i < FW_LENGTH_PARAMS; i++) {
        if (!isfinite(figures[i]) || (figures[i] < 0 && i != 5)) {
            return;
        }
    }
    if (got.n > l->n && got.n <= FW_LENGTH_MEMORY) {
        *l = got;
    }
}
