/* Generates Poisson arrivals and their prompts from a seed. */
#include <math.h>

#include "bench/load/load.h"

static int
draw_range(GRand *r, const int range[2])
{
    return g_rand_int_range(r, range[0], range[1] + 1);
}

static int
draw_team(const struct fw_experiment *e, GRand *r)
{
    int weight[FW_LOADGEN_TEAMS];
    int sum = 0;
    int x;

    for (int i = 0; i < FW_LOADGEN_TEAMS; i++) {
        weight[i] =
            e->team[i].weight * (i == e->noisy_team ? e->noisy_factor : 1);
        sum += weight[i];
    }
    x = g_rand_int_range(r, 0, sum);
    for (int i = 0; i < FW_LOADGEN_TEAMS; i++) {
        x -= weight[i];
        if (x < 0) {
            return i;
        }
    }
    return 0;
}

/* The noisy team's surplus does not reduce the rate of the other teams. */
static double
total_arrivals_per_s(const struct fw_experiment *e)
{
    int sum = 0;
    int extra = 0;

    for (int i = 0; i < FW_LOADGEN_TEAMS; i++) {
        sum += e->team[i].weight;
        extra +=
            i == e->noisy_team ? e->team[i].weight * (e->noisy_factor - 1) : 0;
    }
    return e->arrivals_per_s * (sum + extra) / sum;
}

/* Depends on the team and the document only, not on the schedule's seed. */
static int
doc_length(const struct fw_experiment *e, int team, int doc)
{
    GRand *r = g_rand_new_with_seed((guint32)(team * 1000 + doc + 1));
    int n = draw_range(r, e->doc_bytes);

    g_rand_free(r);
    return n;
}

static void
draw_completion(const struct fw_experiment *e, GRand *r,
                struct fw_loadgen_request *s)
{
    double u = g_rand_double(r);

    /* Skewed towards the first documents. */
    s->doc_index = (int)(u * u * e->docs_per_team);
    s->suffix_bytes = draw_range(r, e->suffix_bytes);
    s->prompt_tokens =
        (doc_length(e, s->team, s->doc_index) + s->suffix_bytes) / 4;
    s->max_tokens = draw_range(r, e->output_tokens);
    if (g_rand_int_range(r, 0, 1000) < e->cancel_permille) {
        s->cancel_after_us = g_rand_int_range(r, 50, 2000) * FW_MSEC;
    }
    if (g_rand_int_range(r, 0, 1000) < e->deadline_permille) {
        s->deadline_us = e->deadline_s * FW_SEC;
    }
}

GArray *
Fw_Loadgen_BuildSchedule(const struct fw_experiment *e, uint32_t seed)
{
    GArray *schedule =
        g_array_new(FALSE, TRUE, sizeof(struct fw_loadgen_request));
    GRand *r = g_rand_new_with_seed(seed);
    double arrivals_per_s = total_arrivals_per_s(e);
    double t = 0;

    for (;;) {
        struct fw_loadgen_request s = {0};
        int x;

        t += -log(1 - g_rand_double(r)) / arrivals_per_s;
        if (t >= e->duration_s) {
            break;
        }
        s.arrival_us = (int64_t)(t * FW_SEC);
        s.team = draw_team(e, r);
        x = g_rand_int_range(r, 0, 1000);
        s.kind = x < e->order_permille ? FW_LOADGEN_ORDER
                 : x < e->order_permille + e->service_get_permille
                     ? FW_LOADGEN_SERVICE_GET
                     : FW_LOADGEN_COMPLETION;
        if (s.kind == FW_LOADGEN_COMPLETION) {
            draw_completion(e, r, &s);
        }
        g_snprintf(s.id, sizeof(s.id), "load-%u-%u", seed, schedule->len);
        g_array_append_val(schedule, s);
    }
    g_rand_free(r);
    return schedule;
}

static void
append_words(GString *out, gsize len, guint32 seed)
{
    static const char *const words[] = {
        "tide ",    "quay ",  "gust ", "ebb ",     "survey ", "panel ",
        "lagging ", "fibre ", "crew ", "turbine ", "slack ",  "berth "};
    GRand *r = g_rand_new_with_seed(seed);

    while (out->len < len) {
        g_string_append(
            out, words[g_rand_int_range(r, 0, (gint32)G_N_ELEMENTS(words))]);
        g_string_append_printf(out, "%x ", g_rand_int(r) & 0xffff);
    }
    g_string_truncate(out, len);
    g_rand_free(r);
}

char *
Fw_Loadgen_BuildPrompt(const struct fw_experiment *e,
                       const struct fw_loadgen_request *req)
{
    GString *out = g_string_new(NULL);
    gsize doc = (gsize)doc_length(e, req->team, req->doc_index);

    append_words(out, doc, (guint32)(req->team * 1000 + req->doc_index + 7));
    append_words(out, doc + (gsize)req->suffix_bytes, g_str_hash(req->id));
    return g_string_free(out, FALSE);
}
