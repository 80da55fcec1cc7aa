#include "decide/mean.h"

#include <glib.h>
#include <math.h>

/* Weight of the prior, in observations. */
#define FW_MEAN_PRIOR_WEIGHT 3
/*
 * Limit of the total weight: older observations fade over this many, after
 * which a change of the load shows.
 */
#define FW_MEAN_WEIGHT_MAX 30

void
Fw_Mean_Init(struct fw_moving_mean *m, double mean, double dev)
{
    *m = (struct fw_moving_mean){.mean = mean, .dev = dev};
}

void
Fw_Mean_Update(struct fw_moving_mean *m, double value)
{
    double weight;

    m->n = MIN(m->n + 1, FW_MEAN_WEIGHT_MAX - FW_MEAN_PRIOR_WEIGHT);
    weight = 1.0 / (m->n + FW_MEAN_PRIOR_WEIGHT);
    m->dev += weight * (fabs(value - m->mean) - m->dev);
    m->mean += weight * (value - m->mean);
}
