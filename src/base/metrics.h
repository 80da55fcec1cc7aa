/* Metrics in the Prometheus text exposition format. */
#ifndef FW_BASE_METRICS_H
#define FW_BASE_METRICS_H

#include <glib.h>
#include <stdint.h>

#include "base/list.h"

/**
 * struct fw_metric - one counter or gauge, embedded in its owner.
 * @name: exposition name, e.g. "fw_budget_asks_total"
 * @help: text of the HELP line
 * @is_gauge: nonzero for a gauge, 0 for a counter
 * @labels: e.g. "reason=\"full\"", or NULL; series of one name must be added
 *          consecutively, as HELP and TYPE are printed once per run of a name
 * @value: in the unit that the name states
 * @link: in struct fw_metrics
 */
struct fw_metric {
    const char *name;
    const char *help;
    int is_gauge;
    const char *labels;
    int64_t value;
    struct fw_list link;
};

/*
 * Buckets with an upper bound: 1 ms, growing by a factor of sqrt(2) up to
 * about 32 s. Within that range, the upper bound of the bucket that holds a
 * quantile is at most 42 % above the quantile.
 */
#define FW_HISTOGRAM_BUCKETS 31

/**
 * struct fw_histogram - histogram of durations, embedded in its owner.
 * @name: exposition name, in seconds
 * @help: text of the HELP line
 * @counts: observations per bucket; the last one is the +Inf bucket
 * @sum_us: sum of all observations
 * @link: in struct fw_metrics
 */
struct fw_histogram {
    const char *name;
    const char *help;
    int64_t counts[FW_HISTOGRAM_BUCKETS + 1];
    int64_t sum_us;
    struct fw_list link;
};

/** struct fw_metrics - the metrics registry of one instance. */
struct fw_metrics {
    struct fw_list all;
    struct fw_list histograms;
};

void
Fw_Metrics_Init(struct fw_metrics *m);
/* Registers @metric, which stays owned by the caller and must outlive @m. */
void
Fw_Metrics_Add(struct fw_metrics *m, struct fw_metric *metric);
/* Registers @h, which stays owned by the caller and must outlive @m. */
void
Fw_Metrics_AddHistogram(struct fw_metrics *m, struct fw_histogram *h);
void
Fw_Histogram_Add(struct fw_histogram *h, int64_t duration_us);
/* Appends all metrics to @out in the text exposition format. */
void
Fw_Metrics_Print(const struct fw_metrics *m, GString *out);

#endif
