/* Moving mean and mean absolute deviation of a quantity. */
#ifndef FW_DECIDE_MEAN_H
#define FW_DECIDE_MEAN_H

/**
 * struct fw_moving_mean - both figures in the unit of the quantity.
 * @dev: mean absolute deviation
 * @n: observations so far, up to a limit
 */
struct fw_moving_mean {
    double mean;
    double dev;
    int n;
};

/* Sets a prior @mean and @dev that weigh as much as a few observations. */
void
Fw_Mean_Init(struct fw_moving_mean *m, double mean, double dev);
void
Fw_Mean_Update(struct fw_moving_mean *m, double value);

#endif
