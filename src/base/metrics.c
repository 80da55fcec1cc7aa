#include "base/metrics.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

void
Fw_Metrics_Init(struct fw_metrics *m)
{
    Fw_List_Init(&m->all);
    Fw_List_Init(&m->histograms);
}

void
Fw_Metrics_Add(struct fw_metrics *m, struct fw_metric *metric)
{
    Fw_List_Append(&m->all, &metric->link);
}

void
Fw_Metrics_AddHistogram(struct fw_metrics *m, struct fw_histogram *h)
{
    Fw_List_Append(&m->histograms, &h->link);
}

static double
bucket_us(int i)
{
    return 1000.0 * pow(2.0, i / 2.0);
}

void
Fw_Histogram_Add(struct fw_histogram *h, int64_t duration_us)
{
    int i = 0;

    while (i < FW_HISTOGRAM_BUCKETS && (double)duration_us > bucket_us(i)) {
        i++;
    }
    h->counts[i]++;
    h->sum_us += duration_us;
}

static void
print_histogram(const struct fw_histogram *h, GString *out)
{
    char bound[G_ASCII_DTOSTR_BUF_SIZE];
    int64_t n = 0;

    g_string_append_printf(out, "# HELP %s %s\n# TYPE %s histogram\n", h->name,
                           h->help, h->name);
    for (int i = 0; i < FW_HISTOGRAM_BUCKETS; i++) {
        n += h->counts[i];
        g_ascii_formatd(bound, sizeof(bound), "%.4g", bucket_us(i) / 1e6);
        g_string_append_printf(out, "%s_bucket{le=\"%s\"} %" PRId64 "\n",
                               h->name, bound, n);
    }
    n += h->counts[FW_HISTOGRAM_BUCKETS];
    g_ascii_formatd(bound, sizeof(bound), "%.6f", (double)h->sum_us / 1e6);
    g_string_append_printf(out,
                           "%s_bucket{le=\"+Inf\"} %" PRId64 "\n%s_sum %s\n"
                           "%s_count %" PRId64 "\n",
                           h->name, n, h->name, bound, h->name, n);
}

static void
print_metric(const struct fw_metric *metric, const char *last_name,
             GString *out)
{
    if (strcmp(metric->name, last_name) != 0) {
        g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
                               metric->name, metric->help, metric->name,
                               metric->is_gauge ? "gauge" : "counter");
    }
    if (metric->labels) {
        g_string_append_printf(out, "%s{%s} %" PRId64 "\n", metric->name,
                               metric->labels, metric->value);
        return;
    }
    g_string_append_printf(out, "%s %" PRId64 "\n", metric->name,
                           metric->value);
}

void
Fw_Metrics_Print(const struct fw_metrics *m, GString *out)
{
    const char *last_name = "";
    struct fw_list *pos;

    FW_LIST_EACH (pos, &m->all) {
        const struct fw_metric *metric =
            FW_LIST_ENTRY(pos, struct fw_metric, link);

        print_metric(metric, last_name, out);
        last_name = metric->name;
    }
    FW_LIST_EACH (pos, &m->histograms) {
        print_histogram(FW_LIST_ENTRY(pos, struct fw_histogram, link), out);
    }
}
