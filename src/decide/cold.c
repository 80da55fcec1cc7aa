#include "decide/cold.h"

#include <glib.h>
#include <math.h>

#include "core/types.h"

/*
 * Probability that more instances are selected for a server than its limit
 * allows.
 */
#define FW_OVERSELECTION_PROBABILITY 1e-4

/*
 * If the limit allows every instance @batch requests, all may use the server.
 * Otherwise each is selected with the same probability. With a mean of m
 * selected instances, more than k are selected with a probability of at most
 * m^(k+1) / (k+1)!, the union bound over all sets of k+1 instances.
 */
struct fw_cold_share
Fw_ColdShare_Get(double limit, int instances, int batch)
{
    int whole = (int)CLAMP(limit, 0, G_MAXUINT16);
    int n = MAX(instances, 1);
    struct fw_cold_share share = {.per_second = batch, .probability = 1.0};
    int k = whole / batch;

    if (whole >= n * batch) {
        share.per_second = whole / n;
        return share;
    }
    share.probability =
        k ? exp((log(FW_OVERSELECTION_PROBABILITY) + lgamma(k + 2)) /
                (k + 1)) /
                n
          : 0;
    share.probability = MIN(share.probability, 1.0);
    return share;
}

int
Fw_ColdShare_Includes(const struct fw_cold_share *share, uint64_t hash)
{
    return (double)hash < share->probability * (double)UINT64_MAX;
}
