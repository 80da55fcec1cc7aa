/* A quantity that is learned from what was seen, with its spread. */
#ifndef FW_DECIDE_MEAN_H
#define FW_DECIDE_MEAN_H

/**
 * struct fw_moving_mean - moving mean of a quantity.
 * @mean, @dev: the mean and the mean distance from it, in the quantity's unit
 * @n: observations so far, up to a bound
 */
struct fw_moving_mean {
    double mean;
    double dev;
    int n;
};

/* Before anything was seen: @mean and @dev count as a few observations. */
void
Fw_Mean_Init(struct fw_moving_mean *m, double mean, double dev);
void
Fw_Mean_Update(struct fw_moving_mean *m, double value);

#endif
