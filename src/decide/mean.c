#include "decide/mean.h"

#include <glib.h>
#include <math.h>

/* Observations that what was assumed at the start counts as. */
#define FW_MEAN_START 3
/* Observations that are remembered: a change of the load shows in some 30. */
#define FW_MEAN_MEMORY 30

void
Fw_Mean_Init(struct fw_moving_mean *m, double mean, double dev)
{
    *m = (struct fw_moving_mean){.mean = mean, .dev = dev};
}

void
Fw_Mean_Update(struct fw_moving_mean *m, double value)
{
    double part;

    m->n = MIN(m->n + 1, FW_MEAN_MEMORY - FW_MEAN_START);
    part = 1.0 / (m->n + FW_MEAN_START);
    m->dev += part * (fabs(value - m->mean) - m->dev);
    m->mean += part * (value - m->mean);
}
