/* Results of the requests; see docs/operations/load-and-experiments.md. */
#include <string.h>

#include "bench/load/load.h"

/* Teams with fewer completions within the limit aren't compared. */
#define FW_TEAM_SAMPLES_MIN 5

static int
is_error(const struct fw_loadgen_request *s)
{
    return s->finished && s->status >= 400;
}

static int
meets_targets(const struct fw_experiment *e,
              const struct fw_loadgen_request *s)
{
    int64_t gap;

    if (!s->complete || s->pieces == 0) {
        return 0;
    }
    if (s->deadline_us) {
        return s->last_us - s->sent_us <= s->deadline_us;
    }
    gap = s->pieces > 1 ? (s->last_us - s->first_us) / (s->pieces - 1) : 0;
    return s->first_us - s->sent_us <= e->ttft_target_us &&
           gap <= e->itl_target_us;
}

/** struct team_counts - completions of a team within its rate limit. */
struct team_counts {
    int total;
    int good;
};

static void
set_worst_team(const struct fw_experiment *e, const struct team_counts *t,
               struct fw_loadgen_stats *s)
{
    s->worst_team_share = 1;
    s->worst_compliant_team_share = 1;
    for (int i = 0; i < FW_LOADGEN_TEAMS; i++) {
        double share = t[i].total ? (double)t[i].good / t[i].total : 1;

        if (t[i].total < FW_TEAM_SAMPLES_MIN) {
            continue;
        }
        if (i != e->noisy_team) {
            s->worst_compliant_team_share =
                MIN(s->worst_compliant_team_share, share);
        }
        if (share < s->worst_team_share) {
            s->worst_team_share = share;
            g_strlcpy(s->worst_team, e->team[i].name, sizeof(s->worst_team));
        }
    }
}

void
Fw_LoadgenStats_AddRequests(const struct fw_experiment *e,
                            const GArray *schedule, struct fw_loadgen_stats *s)
{
    struct team_counts team[FW_LOADGEN_TEAMS] = {{0}};
    int within_limit = 0;
    int within_limit_good = 0;
    int all_good = 0;

    for (guint i = 0; i < schedule->len; i++) {
        const struct fw_loadgen_request *req =
            &g_array_index(schedule, struct fw_loadgen_request, i);
        int ok = meets_targets(e, req);

        if (req->kind != FW_LOADGEN_COMPLETION || req->cancelled) {
            continue;
        }
        s->completions_sent++;
        all_good += ok;
        if (req->first_us && !req->deadline_us) {
            Fw_LatencyHistogram_Add(&s->ttft, req->first_us - req->sent_us);
        }
        s->failed += !req->complete && !is_error(req);
        if (!req->within_limit) {
            continue;
        }
        within_limit++;
        within_limit_good += ok;
        team[req->team].total++;
        team[req->team].good += ok;
        s->wrongful_refusals += is_error(req);
        s->wrongful_rate_limited += is_error(req) && req->status == 429;
    }
    s->goodput_per_s = (double)all_good / e->duration_s;
    s->goodput_share =
        within_limit ? (double)within_limit_good / within_limit : 1;
    s->wrongful_permille =
        within_limit ? 1000.0 * s->wrongful_refusals / within_limit : 0;
    set_worst_team(e, team, s);
}
