#include "decide/prefill_pool.h"

#include <glib.h>
#include <math.h>

#include "base/limits.h"

/*
 * Time constant of the decay. Changing the stage takes an engine out of
 * service for seconds, so short bursts must not cause a change.
 */
#define FW_LOAD_DECAY_US (60.0 * FW_SEC)
/* Shortest time to average over: in less, one more prompt doubles the rate. */
#define FW_LOAD_MIN_US (5.0 * FW_SEC)
/* Observed load weighs as much as the prior after this time. */
#define FW_PRIOR_WEIGHT_US (15.0 * FW_SEC)
/*
 * Engines beyond the mean load, per square root of the mean load (square-root
 * staffing): a few engines need more beside the mean than many do.
 */
#define FW_STAFFING_FACTOR 1.8
/* Hysteresis: the size stays while its target is closer than this. */
#define FW_POOL_HYSTERESIS 1.0

static double
decay(double us)
{
    return us > 0 ? exp(-us / FW_LOAD_DECAY_US) : 1;
}

void
Fw_PrefillLoad_Add(struct fw_prefill_load *load, int64_t tokens,
                   int64_t now_us)
{
    load->sum =
        load->sum * decay((double)(now_us - load->at_us)) + (double)tokens;
    load->at_us = now_us;
    if (!load->since_us) {
        load->since_us = now_us;
    }
}

void
Fw_PrefillLoad_TakeBack(struct fw_prefill_load *load, int64_t tokens,
                        int64_t added_us, int64_t now_us)
{
    double left = load->sum * decay((double)(now_us - load->at_us)) -
                  (double)tokens * decay((double)(now_us - added_us));

    load->sum = MAX(left, 0);
    load->at_us = now_us;
}

/* Normalizes by the time observed, so that it is unbiased after a start. */
double
Fw_PrefillLoad_Rate(const struct fw_prefill_load *load, int64_t now_us)
{
    double observed_us =
        MAX((double)(now_us - load->since_us), FW_LOAD_MIN_US);

    if (!load->since_us) {
        return 0;
    }
    return load->sum * decay((double)(now_us - load->at_us)) /
           (FW_LOAD_DECAY_US * (1 - decay(observed_us))) * FW_SEC;
}

double
Fw_PrefillPool_BusyEngines(const struct fw_prefill_load *local, double rate,
                           double token_us, double prior_engines,
                           int64_t now_us)
{
    double observed_us =
        local->since_us ? (double)(now_us - local->since_us) : 0;
    double weight = observed_us / (observed_us + FW_PRIOR_WEIGHT_US);

    return weight * rate * token_us / FW_SEC + (1 - weight) * prior_engines;
}

double
Fw_PrefillPool_EnginesFor(double mean_engines, double speeds, int n)
{
    return n > 0 && speeds > 0 ? mean_engines * n / speeds : mean_engines;
}

/* Square-root staffing: the mean load plus a multiple of its square root. */
int
Fw_PrefillPool_TargetSize(double busy_engines, int engines, int current)
{
    double target = busy_engines + FW_STAFFING_FACTOR * sqrt(busy_engines);
    int max_size = MAX(engines - 1, 1);

    if (current >= 1 && current <= max_size &&
        fabs(target - current) < FW_POOL_HYSTERESIS) {
        return current;
    }
    return CLAMP((int)lround(target), 1, max_size);
}
