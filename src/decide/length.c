#include "decide/length.h"

#include <glib.h>
#include <math.h>

/*
 * Limit of the model's weight: older answers fade over this many, after which
 * a change of the load shows.
 */
#define FW_LENGTH_WEIGHT_MAX 60.0
/* Weight of the prior estimate, in answers. */
#define FW_LENGTH_PRIOR_WEIGHT 8.0
/* First and smallest relative step of the median. */
#define FW_MEDIAN_FIRST_STEP 0.4
#define FW_MEDIAN_MIN_STEP 0.02
/* Relative decay of the longest answer's length per further answer. */
#define FW_MAX_EVENTS_DECAY 0.002

/*
 * Estimate without any answer seen: the mean of the caller's estimate and
 * half the maximum, with the deviation of a uniform distribution.
 */
static void
prior_estimate(int64_t hint, int64_t max_tokens,
               struct fw_length_estimate *out)
{
    double middle = (double)max_tokens / 2;

    out->mean =
        hint < 0 ? middle : ((double)MIN(hint, max_tokens) + middle) / 2;
    out->dev = (double)max_tokens / sqrt(12);
}

/* Substitutes the mean estimate where the caller gave none. */
static double
hint_or_mean(const struct fw_length_model *l, int64_t hint, int64_t max_tokens)
{
    return hint < 0 ? l->mean_hint : (double)MIN(hint, max_tokens);
}

/* Steps of equal relative size up or down converge on the median. */
static void
update_tokens_per_event(struct fw_length_model *l, double hint, double events)
{
    double seen = hint / events;
    double step =
        MAX(FW_MEDIAN_FIRST_STEP / (1 + l->n / 2), FW_MEDIAN_MIN_STEP);

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
Fw_Length_Update(struct fw_length_model *l, int64_t hint, int64_t max_tokens,
                 int64_t events)
{
    double y = (double)events;
    double x;
    double weight;
    double dx;
    double dy;

    if (events <= 0 || max_tokens <= 0) {
        return;
    }
    if (hint > 0) {
        update_tokens_per_event(l, (double)MIN(hint, max_tokens), y);
    }
    x = l->n > 0 ? hint_or_mean(l, hint, max_tokens)
                 : (double)(hint < 0 ? max_tokens / 2 : MIN(hint, max_tokens));
    l->n = MIN(l->n + 1, FW_LENGTH_WEIGHT_MAX);
    weight = 1 / l->n;
    dx = x - l->mean_hint;
    dy = y - l->mean_events;
    l->mean_hint += weight * dx;
    l->mean_events += weight * dy;
    l->hint_variance += weight * ((1 - weight) * dx * dx - l->hint_variance);
    l->events_variance +=
        weight * ((1 - weight) * dy * dy - l->events_variance);
    l->covariance += weight * ((1 - weight) * dx * dy - l->covariance);
    l->max_events = MAX(y, l->max_events * (1 - FW_MAX_EVENTS_DECAY));
}

/*
 * Without estimates the longest answer is assumed to have reached the
 * maximum: this errs towards reserving too much memory.
 */
double
Fw_Length_TokensPerEvent(const struct fw_length_model *l, int64_t max_tokens)
{
    if (l->tokens_per_event > 0) {
        return l->tokens_per_event;
    }
    return l->max_events > 0 ? (double)max_tokens / l->max_events : 0;
}

void
Fw_Length_Estimate(const struct fw_length_model *l, int64_t hint,
                   int64_t max_tokens, struct fw_length_estimate *out)
{
    double per_event = Fw_Length_TokensPerEvent(l, max_tokens);
    double confidence = l->n / (l->n + FW_LENGTH_PRIOR_WEIGHT);
    double slope =
        l->hint_variance > 0 ? MAX(l->covariance / l->hint_variance, 0) : 0;
    double events = l->mean_events +
                    slope * (hint_or_mean(l, hint, max_tokens) - l->mean_hint);
    double spread = MAX(l->events_variance - slope * l->covariance, 0);
    struct fw_length_estimate prior;

    prior_estimate(hint, max_tokens, &prior);
    out->mean =
        confidence * events * per_event + (1 - confidence) * prior.mean;
    out->dev =
        confidence * sqrt(spread) * per_event + (1 - confidence) * prior.dev;
    out->mean = CLAMP(out->mean, 1, MAX((double)max_tokens, 1));
}

void
Fw_Length_Export(const struct fw_length_model *l,
                 double params[FW_LENGTH_PARAMS])
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
        params[i] = all[i];
    }
}

void
Fw_Length_Import(struct fw_length_model *l,
                 const double params[FW_LENGTH_PARAMS])
{
    struct fw_length_model model = {.n = params[0],
                                    .mean_hint = params[1],
                                    .mean_events = params[2],
                                    .hint_variance = params[3],
                                    .events_variance = params[4],
                                    .covariance = params[5],
                                    .tokens_per_event = params[6],
                                    .max_events = params[7]};

    for (int i = 0; i < FW_LENGTH_PARAMS; i++) {
        if (!isfinite(params[i]) || (params[i] < 0 && i != 5)) {
            return;
        }
    }
    if (model.n > l->n && model.n <= FW_LENGTH_WEIGHT_MAX) {
        *l = model;
    }
}
