/*
 * Speed of a server, estimated from the requests that it has served.
 *
 * A sample is the logarithm of a rate: work over time, in a unit that all
 * servers of a service share. Only ratios between servers are used, so that
 * the unit and a bias that all samples have in common cancel out.
 */
#ifndef FW_DECIDE_SERVER_SPEED_H
#define FW_DECIDE_SERVER_SPEED_H

#include <stdint.h>

/**
 * struct fw_speed_sum - samples that have not been used yet.
 * @sum: of the logarithms, each times its weight
 * @weight: sum of the weights; 1 is one usual request
 */
struct fw_speed_sum {
    double sum;
    double weight;
};

/**
 * struct fw_server_speed - estimate for one server and use.
 * @recent: samples of the last fraction of a second, fading
 * @lasting: mean logarithm over some seconds
 * @lasting_weight: weight of the samples in @lasting, fading
 * @at_us: time up to which the weights have faded
 * @sampled_us: time of the last sample, 0 for none
 */
struct fw_server_speed {
    struct fw_speed_sum recent;
    double lasting;
    double lasting_weight;
    int64_t at_us;
    int64_t sampled_us;
};

/**
 * struct fw_speed_group - the servers of one service and use.
 * @is_known: @mean is valid
 * @mean: mean logarithm of the known servers
 * @variance: of single samples around their server's estimate
 * @spread: logarithm of the ratio of the fastest to the slowest known server,
 *     less what chance may contribute
 */
struct fw_speed_group {
    int is_known;
    double mean;
    double variance;
    double spread;
};

void
Fw_SpeedGroup_Init(struct fw_speed_group *g);
/*
 * Adds a sample of work done at @rate. Its ratio to the mean of @g is bounded,
 * so that one long request can't mark a server as slow.
 */
void
Fw_SpeedSum_Add(struct fw_speed_sum *to, const struct fw_speed_group *g,
                double rate, double weight);
/* Scales @s down to the weight @most, so that no instance prevails. */
void
Fw_SpeedSum_Bound(struct fw_speed_sum *s, double most);
/* Updates @s, and the variance of @g, with samples of positive weight. */
void
Fw_ServerSpeed_Fold(struct fw_server_speed *s, struct fw_speed_group *g,
                    const struct fw_speed_sum *samples, int64_t now_us);
/*
 * Logarithm of the server's rate: that of the last seconds, corrected by what
 * the last fraction of a second shows, or the mean of @g if it is unknown.
 * Without samples it approaches the mean of @g.
 * @fresh_us: time at which the estimate was last confirmed, if later than its
 *     last sample
 */
double
Fw_ServerSpeed_Log(const struct fw_server_speed *s,
                   const struct fw_speed_group *g, int64_t fresh_us,
                   int64_t now_us);
/* Replaces the estimate by the logarithm @log of another instance. */
void
Fw_ServerSpeed_Set(struct fw_server_speed *s, double log, int64_t now_us);
/* Sets the mean and the spread of @g from its @n servers. */
void
Fw_SpeedGroup_Update(struct fw_speed_group *g,
                     const struct fw_server_speed *const *servers, int n,
                     int64_t fresh_us, int64_t now_us);

#endif
