#include "decide/place_engine.h"

#include <glib.h>
#include <math.h>

/*
 * Factor of the free tokens of an engine whose events come later than the
 * objective: it is used when others are almost full.
 */
#define FW_LATE_EVENTS_FACTOR 0.1

/*
 * The two lowest of exponentially distributed keys are a weighted sample
 * without replacement.
 */
void
Fw_EngineDraw_Add(struct fw_engine_draw *d, void *engine, double speed,
                  double cost, double chance)
{
    double key = -log(chance) / speed;
    int at = d->n;

    if (d->n == 2) {
        at = d->key[1] > d->key[0];
        if (key >= d->key[at]) {
            return;
        }
    }
    else {
        d->n++;
    }
    d->engine[at] = engine;
    d->cost[at] = cost;
    d->key[at] = key;
}

void *
Fw_EngineDraw_Best(const struct fw_engine_draw *d)
{
    if (!d->n) {
        return NULL;
    }
    return d->engine[d->n == 2 && d->cost[1] < d->cost[0]];
}

double
Fw_PlaceEngine_DecodeCost(double free_tokens, double speed, double gap_us,
                          double gap_max_us)
{
    double value = MAX(free_tokens, 1) * speed;

    if (gap_max_us > 0 && gap_us > gap_max_us) {
        value *= FW_LATE_EVENTS_FACTOR;
    }
    return -value;
}
