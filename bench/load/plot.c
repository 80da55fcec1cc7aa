/* SVG bar chart: means, with a line from min to max; a panel per metric. */
#include "bench/load/load.h"

#define FW_PANEL_WIDTH_PX 260
#define FW_PANEL_HEIGHT_PX 200
#define FW_BAR_WIDTH_PX 48

static double
panel_value(const struct fw_loadgen_stats *s, int panel)
{
    switch (panel) {
    case 0:
        return s->goodput_per_s;
    case 1:
        return s->prefill_tokens > 0
                   ? 100 * s->wasted_prefill_tokens / s->prefill_tokens
                   : 0;
    case 2:
        return 100 * s->worst_team_share;
    default:
        return s->wrongful_permille;
    }
}

static void
add_bar(GString *out, const struct fw_comparison *c, int panel, int p,
        double max_value)
{
    double min = G_MAXDOUBLE;
    double max = 0;
    double sum = 0;
    double scale = max_value > 0 ? (FW_PANEL_HEIGHT_PX - 60) / max_value : 0;
    int x = panel * FW_PANEL_WIDTH_PX + 30 + p * (FW_BAR_WIDTH_PX + 16);
    int base = FW_PANEL_HEIGHT_PX - 25;

    for (int r = 0; r < c->repeats; r++) {
        double v = panel_value(&c->stats[r * c->n_policies + p], panel);

        min = MIN(min, v);
        max = MAX(max, v);
        sum += v;
    }
    g_string_append_printf(
        out,
        "<rect x='%d' y='%.1f' width='%d' height='%.1f' fill='#7a9'/>"
        "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' stroke='#222'/>"
        "<text x='%d' y='%d' text-anchor='middle'>%s</text>"
        "<text x='%d' y='%.1f' text-anchor='middle'>%.1f</text>\n",
        x, base - sum / c->repeats * scale, FW_BAR_WIDTH_PX,
        sum / c->repeats * scale, x + FW_BAR_WIDTH_PX / 2,
        x + FW_BAR_WIDTH_PX / 2, base - min * scale, base - max * scale,
        x + FW_BAR_WIDTH_PX / 2, base + 14, c->policy[p],
        x + FW_BAR_WIDTH_PX / 2, base - max * scale - 4, sum / c->repeats);
}

char *
Fw_Plot_Svg(const struct fw_experiment *e, const struct fw_comparison *c)
{
    static const char *const titles[] = {
        "goodput per second", "wasted prefill, %", "worst-served team, %",
        "wrongful refusals, permille"};
    GString *out = g_string_new(NULL);

    g_string_printf(out,
                    "<svg xmlns='http://www.w3.org/2000/svg' width='%d' "
                    "height='%d' font-family='sans-serif' font-size='10'>\n"
                    "<title>%s</title>\n",
                    4 * FW_PANEL_WIDTH_PX, FW_PANEL_HEIGHT_PX, e->workload);
    for (int panel = 0; panel < 4; panel++) {
        double max_value = 0;

        for (int i = 0; i < c->repeats * c->n_policies; i++) {
            max_value = MAX(max_value, panel_value(&c->stats[i], panel));
        }
        g_string_append_printf(out, "<text x='%d' y='14'>%s</text>\n",
                               panel * FW_PANEL_WIDTH_PX + 30, titles[panel]);
        for (int p = 0; p < c->n_policies; p++) {
            add_bar(out, c, panel, p, max_value);
        }
    }
    g_string_append(out, "</svg>\n");
    return g_string_free(out, FALSE);
}
