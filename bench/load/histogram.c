#include <math.h>

#include "bench/load/load.h"

void
Fw_LatencyHistogram_Add(struct fw_latency_histogram *h, int64_t us)
{
    int i = (int)(log2((double)MAX(us, 1)) * FW_LATENCY_BUCKETS_PER_OCTAVE);

    h->counts[MIN(i, FW_LATENCY_BUCKETS - 1)]++;
    h->count++;
}

double
Fw_LatencyHistogram_Quantile(const struct fw_latency_histogram *h, double q)
{
    int64_t rank = (int64_t)ceil(q * (double)h->count);
    int64_t seen = 0;

    for (int i = 0; i < FW_LATENCY_BUCKETS; i++) {
        seen += h->counts[i];
        if (h->count && seen >= MAX(rank, 1)) {
            return exp2((i + 0.5) / FW_LATENCY_BUCKETS_PER_OCTAVE);
        }
    }
    return 0;
}
