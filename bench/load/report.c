#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/load/load.h"
#include "io/json.h"

/** struct metric - a metric of a run and its name in reports. */
struct metric {
    const char *name;
    double (*get)(const struct fw_loadgen_stats *s);
};

#define METRIC(f)                                                             \
    static double get_##f(const struct fw_loadgen_stats *s)                   \
    {                                                                         \
        return s->f;                                                          \
    }
METRIC(goodput_per_s)
METRIC(goodput_share)
METRIC(wasted_prefill_tokens)
METRIC(worst_team_share)
METRIC(worst_compliant_team_share)
METRIC(wrongful_refusals)
METRIC(wrongful_rate_limited)
METRIC(wrongful_permille)
METRIC(completions_sent)
METRIC(failed)
METRIC(orders_sent)
METRIC(orders_duplicated)
METRIC(orders_lost)
METRIC(orders_false_not_executed)

static double
get_wasted_prefill_share(const struct fw_loadgen_stats *s)
{
    return s->prefill_tokens > 0 ? s->wasted_prefill_tokens / s->prefill_tokens
                                 : 0;
}

#define QUANTILE(h, q, digits)                                                \
    static double get_##h##_p##digits(const struct fw_loadgen_stats *s)       \
    {                                                                         \
        return Fw_LatencyHistogram_Quantile(&s->h, q) / FW_MSEC;              \
    }
QUANTILE(ttft, 0.50, 50)
QUANTILE(ttft, 0.95, 95)
QUANTILE(ttft, 0.99, 99)
QUANTILE(itl, 0.50, 50)
QUANTILE(itl, 0.95, 95)
QUANTILE(itl, 0.99, 99)

static const struct metric metrics[] = {
    {"goodput_per_s", get_goodput_per_s},
    {"good_share", get_goodput_share},
    {"wasted_prefill_tokens", get_wasted_prefill_tokens},
    {"wasted_prefill_share", get_wasted_prefill_share},
    {"worst_team_share", get_worst_team_share},
    {"worst_quiet_team_share", get_worst_compliant_team_share},
    {"wrongful_refusals", get_wrongful_refusals},
    {"wrongful_rate_limited", get_wrongful_rate_limited},
    {"wrongful_permille", get_wrongful_permille},
    {"completions_sent", get_completions_sent},
    {"failed", get_failed},
    {"ttft_p50_ms", get_ttft_p50},
    {"ttft_p95_ms", get_ttft_p95},
    {"ttft_p99_ms", get_ttft_p99},
    {"itl_p50_ms", get_itl_p50},
    {"itl_p95_ms", get_itl_p95},
    {"itl_p99_ms", get_itl_p99},
    {"orders_sent", get_orders_sent},
    {"orders_doubled", get_orders_duplicated},
    {"orders_dropped", get_orders_lost},
    {"orders_false_no", get_orders_false_not_executed},
};

/** struct spread - a metric over the repeats. */
struct spread {
    double min;
    double median;
    double max;
};

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static struct spread
compute_spread(double *v, int n)
{
    qsort(v, (size_t)n, sizeof(*v), compare_doubles);
    return (struct spread){v[0], (v[(n - 1) / 2] + v[n / 2]) / 2, v[n - 1]};
}

static struct spread
metric_spread(const struct fw_comparison *c, int policy,
              const struct metric *metric)
{
    double *v = g_new(double, c->repeats);
    struct spread s;

    for (int r = 0; r < c->repeats; r++) {
        v[r] = metric->get(&c->stats[r * c->n_policies + policy]);
    }
    s = compute_spread(v, c->repeats);
    g_free(v);
    return s;
}

/*
 * Computes the ratios of the last policy to @policy, repeat by repeat. Returns
 * 0 if the metric isn't positive for @policy in some repeat.
 */
static int
compute_ratio(const struct fw_comparison *c, int policy,
              const struct metric *metric, struct spread *out)
{
    double *v = g_new(double, c->repeats);
    int ok = 1;

    for (int r = 0; r < c->repeats; r++) {
        double base = metric->get(&c->stats[r * c->n_policies + policy]);

        ok &= base > 0;
        v[r] = base > 0
                   ? metric->get(
                         &c->stats[r * c->n_policies + c->n_policies - 1]) /
                         base
                   : 0;
    }
    *out = compute_spread(v, c->repeats);
    g_free(v);
    return ok;
}

static void
add_spread(JsonBuilder *b, const char *name, struct spread s)
{
    json_builder_set_member_name(b, name);
    json_builder_begin_object(b);
    json_builder_set_member_name(b, "min");
    json_builder_add_double_value(b, s.min);
    json_builder_set_member_name(b, "median");
    json_builder_add_double_value(b, s.median);
    json_builder_set_member_name(b, "max");
    json_builder_add_double_value(b, s.max);
    json_builder_end_object(b);
}

char *
Fw_Report_Json(const struct fw_experiment *e, const struct fw_comparison *c)
{
    JsonBuilder *b = json_builder_new();

    json_builder_begin_object(b);
    Fw_Json_SetStr(b, "workload", e->workload);
    Fw_Json_SetInt(b, "seconds", e->duration_s);
    Fw_Json_SetInt(b, "repeats", c->repeats);
    Fw_Json_SetInt(b, "seed", e->seed);
    Fw_Json_SetStr(b, "histogram_error", "1.1 %");
    json_builder_set_member_name(b, "policies");
    json_builder_begin_object(b);
    for (int p = 0; p < c->n_policies; p++) {
        json_builder_set_member_name(b, c->policy[p]);
        json_builder_begin_object(b);
        for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++) {
            add_spread(b, metrics[i].name, metric_spread(c, p, &metrics[i]));
        }
        json_builder_end_object(b);
    }
    json_builder_end_object(b);
    json_builder_end_object(b);
    return Fw_Json_FinishBuilder(b);
}

static void
print_ratios(const struct fw_comparison *c, const struct metric *metric)
{
    for (int p = 0; p < c->n_policies - 1; p++) {
        struct spread s;

        if (compute_ratio(c, p, metric, &s)) {
            printf("  %5.2f [%.2f..%.2f]", s.median, s.min, s.max);
        }
        else {
            printf("  %18s", "-");
        }
    }
}

void
Fw_Report_Table(const struct fw_experiment *e, const struct fw_comparison *c)
{
    printf("%s, %d s, %d repeats; median [min..max]\n%-22s", e->workload,
           e->duration_s, c->repeats, "");
    for (int p = 0; p < c->n_policies; p++) {
        printf(" %27s", c->policy[p]);
    }
    for (int p = 0; p < c->n_policies - 1; p++) {
        printf("  to %15s", c->policy[p]);
    }
    printf("\n");
    for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++) {
        printf("%-22s", metrics[i].name);
        for (int p = 0; p < c->n_policies; p++) {
            struct spread s = metric_spread(c, p, &metrics[i]);

            printf(" %9.2f [%7.2f..%7.2f]", s.median, s.min, s.max);
        }
        print_ratios(c, &metrics[i]);
        printf("\n");
    }
    for (int p = 0; p < c->n_policies; p++) {
        printf("worst-served team with %s: %s\n", c->policy[p],
               c->stats[p].worst_team);
    }
    for (int i = 0; i < c->repeats * c->n_policies; i++) {
        if (!c->stats[i].journals_complete) {
            printf("a journal is incomplete: wasted prefill and order counts "
                   "are partial\n");
            return;
        }
    }
}
