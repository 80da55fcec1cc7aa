#include "decide/server_speed.h"

#include <glib.h>
#include <math.h>

#include "base/limits.h"

/*
 * Half-lives of the samples' weights. Servers may be slow for less than a
 * second at a time, which only the recent ones show; differences that last
 * need more samples to be distinguished from chance.
 */
#define FW_RECENT_HALF_LIFE_US (0.3 * FW_SEC)
#define FW_LASTING_HALF_LIFE_US (6.0 * FW_SEC)
/* Weight of the lasting mean beside the recent samples. */
#define FW_LASTING_PRIOR_WEIGHT 1.0
/* Weight of the group's mean beside the first samples of a server. */
#define FW_MEAN_PRIOR_WEIGHT 2.0
/*
 * A server without samples for longer than the first approaches the mean, by
 * half in the second, so that one that was slow is tried again.
 */
#define FW_SILENCE_US (1 * FW_SEC)
#define FW_FORGET_HALF_LIFE_US (5.0 * FW_SEC)
/* Largest ratio of one sample to the mean, as a logarithm: five times. */
#define FW_SAMPLE_LOG_MAX 1.61
/* Variance of a sample before any was seen, its bounds, and its weight. */
#define FW_VARIANCE_PRIOR 0.15
#define FW_VARIANCE_MIN 0.01
#define FW_VARIANCE_MAX 1.0
#define FW_VARIANCE_WEIGHT 0.02
/* Standard errors by which a difference must exceed chance. */
#define FW_CERTAIN_ERRORS 2.0

void
Fw_SpeedGroup_Init(struct fw_speed_group *g)
{
    *g = (struct fw_speed_group){.variance = FW_VARIANCE_PRIOR};
}

void
Fw_SpeedSum_Add(struct fw_speed_sum *to, const struct fw_speed_group *g,
                double rate, double weight)
{
    double sample;

    if (!(rate > 0) || !(weight > 0)) {
        return;
    }
    sample = log(rate);
    if (g->is_known) {
        sample = CLAMP(sample, g->mean - FW_SAMPLE_LOG_MAX,
                       g->mean + FW_SAMPLE_LOG_MAX);
    }
    to->sum += sample * weight;
    to->weight += weight;
}

void
Fw_SpeedSum_Bound(struct fw_speed_sum *s, double most)
{
    if (s->weight > most) {
        s->sum *= most / s->weight;
        s->weight = most;
    }
}

static double
halved(double us, double half_life_us)
{
    return us > 0 ? exp2(-us / half_life_us) : 1;
}

/* The lasting mean, drawn to the mean of @g after a silence. */
static double
lasting_log(const struct fw_server_speed *s, const struct fw_speed_group *g,
            int64_t fresh_us, int64_t now_us)
{
    int64_t since_us = MAX(s->sampled_us, fresh_us) + FW_SILENCE_US;

    if (!g->is_known || now_us <= since_us) {
        return s->lasting;
    }
    return g->mean +
           (s->lasting - g->mean) *
               halved((double)(now_us - since_us), FW_FORGET_HALF_LIFE_US);
}

static double
recent_part(const struct fw_server_speed *s, int64_t now_us)
{
    return halved((double)(now_us - s->at_us), FW_RECENT_HALF_LIFE_US);
}

static double
lasting_part(const struct fw_server_speed *s, int64_t now_us)
{
    return halved((double)(now_us - s->at_us), FW_LASTING_HALF_LIFE_US);
}

double
Fw_ServerSpeed_Log(const struct fw_server_speed *s,
                   const struct fw_speed_group *g, int64_t fresh_us,
                   int64_t now_us)
{
    double part = recent_part(s, now_us);

    if (!s->sampled_us) {
        return g->mean;
    }
    return (s->recent.sum * part +
            lasting_log(s, g, fresh_us, now_us) * FW_LASTING_PRIOR_WEIGHT) /
           (s->recent.weight * part + FW_LASTING_PRIOR_WEIGHT);
}

static void
update_variance(struct fw_speed_group *g, const struct fw_speed_sum *samples,
                double expected)
{
    double off = samples->sum / samples->weight - expected;
    double weight = MIN(FW_VARIANCE_WEIGHT * samples->weight, 0.5);

    g->variance += weight * (off * off * samples->weight - g->variance);
    g->variance = CLAMP(g->variance, FW_VARIANCE_MIN, FW_VARIANCE_MAX);
}

void
Fw_ServerSpeed_Fold(struct fw_server_speed *s, struct fw_speed_group *g,
                    const struct fw_speed_sum *samples, int64_t now_us)
{
    double mean = samples->sum / samples->weight;
    double prior_weight = FW_MEAN_PRIOR_WEIGHT;
    double recent = recent_part(s, now_us);

    if (s->sampled_us) {
        update_variance(g, samples, Fw_ServerSpeed_Log(s, g, 0, now_us));
        s->lasting = lasting_log(s, g, 0, now_us);
        s->lasting_weight *= lasting_part(s, now_us);
        prior_weight = 0;
    }
    else {
        s->lasting = g->is_known ? g->mean : mean;
    }
    s->lasting +=
        samples->weight /
        (samples->weight + MAX(s->lasting_weight, 1) + prior_weight) *
        (mean - s->lasting);
    s->lasting_weight += samples->weight;
    s->recent.sum = s->recent.sum * recent + samples->sum;
    s->recent.weight = s->recent.weight * recent + samples->weight;
    s->at_us = now_us;
    s->sampled_us = now_us;
}

void
Fw_ServerSpeed_Set(struct fw_server_speed *s, double log, int64_t now_us)
{
    *s = (struct fw_server_speed){
        .lasting = log, .at_us = now_us, .sampled_us = now_us};
}

/**
 * struct range - largest lower and smallest upper bound of what the servers'
 * logarithms certainly are.
 */
struct range {
    double fastest;
    double slowest;
};

static void
extend(struct range *range, double log, double error)
{
    range->fastest = MAX(range->fastest, log - FW_CERTAIN_ERRORS * error);
    range->slowest = MIN(range->slowest, log + FW_CERTAIN_ERRORS * error);
}

void
Fw_SpeedGroup_Update(struct fw_speed_group *g,
                     const struct fw_server_speed *const *servers, int n,
                     int64_t fresh_us, int64_t now_us)
{
    struct range lasting = {-INFINITY, INFINITY};
    struct range recent = {-INFINITY, INFINITY};
    double sum = 0;
    int known = 0;

    for (int i = 0; i < n; i++) {
        const struct fw_server_speed *s = servers[i];
        double log = Fw_ServerSpeed_Log(s, g, fresh_us, now_us);
        double weight = s->lasting_weight * lasting_part(s, now_us);

        if (!s->sampled_us) {
            continue;
        }
        known++;
        sum += log;
        extend(&lasting, lasting_log(s, g, fresh_us, now_us),
               sqrt(g->variance / MAX(weight, 1)));
        extend(&recent, log,
               sqrt(g->variance / (s->recent.weight * recent_part(s, now_us) +
                                   FW_LASTING_PRIOR_WEIGHT)));
    }
    g->is_known = known > 0;
    g->mean = known ? sum / known : 0;
    g->spread = known > 1 ? MAX(MAX(lasting.fastest - lasting.slowest,
                                    recent.fastest - recent.slowest),
                                0)
                          : 0;
}
