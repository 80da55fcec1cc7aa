/* Counters and gauges in Prometheus text form. */
#ifndef FW_BASE_METRICS_H
#define FW_BASE_METRICS_H

#include <glib.h>
#include <stdint.h>

#include "base/list.h"

/**
 * struct fw_metric - one counter or gauge, embedded in what counts.
 * @name: exposition name, e.g. "fw_budget_asks_total"
 * @help: one line for operators
 * @is_gauge: nonzero when the value may fall
 * @labels: e.g. "reason=\"full\"", or NULL; series of one name are added
 *          one after the other
 * @value: whole units; the name states them
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
 * Upper bounds of a histogram's buckets: 1 ms, then each the last times the
 * square root of 2, up to 32 s. A quantile read from it is at most 42 % above
 * the true one, and never below it.
 */
#define FW_HISTOGRAM_BUCKETS 31

/**
 * struct fw_histogram - how long something took, embedded like a metric.
 * @counts: by bucket; the last one holds all that took longer
 * @sum_us: of all
 */
struct fw_histogram {
    const char *name;
    const char *help;
    int64_t counts[FW_HISTOGRAM_BUCKETS + 1];
    int64_t sum_us;
    struct fw_list link;
};

/** struct fw_metrics - the registry of one instance. */
struct fw_metrics {
    struct fw_list all;
    struct fw_list histograms;
};

void
Fw_Metrics_Init(struct fw_metrics *m);
/* @metric keeps belonging to the caller and must outlive @m. */
void
Fw_Metrics_Add(struct fw_metrics *m, struct fw_metric *metric);
/* @h keeps belonging to the caller and must outlive @m. */
void
Fw_Metrics_AddHistogram(struct fw_metrics *m, struct fw_histogram *h);
void
Fw_Histogram_Add(struct fw_histogram *h, int64_t took_us);
void
Fw_Metrics_Print(const struct fw_metrics *m, GString *out);

#endif
