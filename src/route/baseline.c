/*
 * Baseline policies, which answer without queueing, and the choice of servers
 * of plain services. Least-loaded uses each engine's last report, adjusted
 * for requests this instance sent since.
 */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "route/router.h"

static int64_t
compute_load(struct fw_router *r, const struct fw_engine *e,
             const struct fw_upstream *u, int is_prefill, int64_t now_us)
{
    if (r->opts.policy == FW_POLICY_RANDOM) {
        return g_rand_int_range(r->rand, 0, G_MAXINT32);
    }
    if (is_prefill) {
        return Fw_Engine_WaitUs(e, now_us) * 16 +
               g_rand_int_range(r->rand, 0, 16);
    }
    return -Fw_Engine_FreeSlots(e, u->slots, now_us) * 16 +
           g_rand_int_range(r->rand, 0, 16);
}

static struct fw_engine *
pick_least_loaded(struct fw_router *r, const struct fw_config *cfg,
                  const struct fw_job *job, const GPtrArray *engines,
                  uint64_t serving, int is_prefill, int64_t now_us)
{
    const char *const *avoid = (const char *const *)job->avoid;
    struct fw_engine *best = NULL;
    int64_t best_load = 0;

    for (guint i = 0; i < engines->len; i++) {
        struct fw_engine *e = engines->pdata[i];
        const struct fw_upstream *u =
            g_hash_table_lookup(cfg->upstreams, e->name);
        int64_t load;

        if (!Fw_Usable_Check(e, u, avoid, now_us) ||
            !Fw_Breaker_Allows(&e->breaker, now_us) ||
            Fw_Engine_CheckServes(e, serving, is_prefill, now_us) == 0 ||
            (job->exclusive && e->decoding + e->prefilling > 0)) {
            continue;
        }
        load = compute_load(r, e, u, is_prefill, now_us);
        if (!best || load < best_load) {
            best = e;
            best_load = load;
        }
    }
    return best;
}

/* Lets the next choice take this one into account before the next report. */
static void
record_reservations(struct fw_router *r, const struct fw_config *cfg,
                    struct fw_job *job, int64_t now_us)
{
    const struct fw_upstream *u =
        g_hash_table_lookup(cfg->upstreams, job->prefill.engine->name);
    int64_t compute_us =
        Fw_Cost_PrefillUs(job->prompt_tokens, 0, MAX(u->prefill_rate, 1));
    struct fw_backlog_item work = {.owner = r->self_id,
                                   .round_id = job->round_id,
                                   .granted_us = now_us,
                                   .tokens = job->prompt_tokens,
                                   .compute_us = compute_us};
    struct fw_hold hold = {.owner = r->self_id,
                           .round_id = job->round_id,
                           .need_us = now_us + compute_us};

    job->prefill.service_us = compute_us;
    Fw_Backlog_Add(&Fw_Engine_Coord(job->prefill.engine)->backlog, &work);
    Fw_Slots_Hold(&Fw_Engine_Coord(job->decode.engine)->slots, &hold);
}

int
Fw_Baseline_Choose(struct fw_router *r, const struct fw_config *cfg,
                   struct fw_job *job, int64_t now_us)
{
    struct fw_offer offers[FW_OFFERS_MAX];
    int n = Fw_Serving_Offers(r, cfg, job->model_queue->model, offers);

    for (int i = 0; i < n; i++) {
        struct fw_engine *p =
            pick_least_loaded(r, cfg, job, offers[i].index->prefill,
                              offers[i].serving, 1, now_us);
        struct fw_engine *d =
            pick_least_loaded(r, cfg, job, offers[i].index->decode,
                              offers[i].serving, 0, now_us);

        if (!p || !d) {
            continue;
        }
        job->serving = offers[i].serving;
        job->prefill = (struct fw_reservation){
            .engine = p, .state = FW_RESERVATION_GRANTED};
        job->decode = (struct fw_reservation){.engine = d,
                                              .state = FW_RESERVATION_GRANTED};
        (void)snprintf(job->explanation, sizeof(job->explanation), "%s",
                       r->opts.policy == FW_POLICY_RANDOM ? "random"
                                                          : "least loaded");
        record_reservations(r, cfg, job, now_us);
        return 0;
    }
    return -ENOENT;
}

/* 0 is best; 1: in the failure domain of a server to avoid; 2: the breaker is
 * open. */
static int
preference_tier(const struct fw_config *cfg, const struct fw_engine *e,
                const struct fw_upstream *u, const char *const *avoid,
                int64_t now_us)
{
    if (!Fw_Breaker_Allows(&e->breaker, now_us)) {
        return 2;
    }
    return Fw_Usable_InAvoidedDomain(cfg, avoid, u->domain) ? 1 : 0;
}

const struct fw_upstream *
Fw_Route_PickServer(struct fw_router *r, const struct fw_config *cfg,
                    const char *service, const char *const *avoid,
                    int64_t now_us)
{
    const struct fw_pool_index *idx;
    const struct fw_upstream *best = NULL;
    int best_tier = 0;
    int n_equal = 0;

    Fw_Index_Sync(r, cfg);
    idx = Fw_Index_Pool(r, service);
    for (guint i = 0; idx && i < idx->service->len; i++) {
        struct fw_engine *e = idx->service->pdata[i];
        const struct fw_upstream *u =
            g_hash_table_lookup(cfg->upstreams, e->name);
        int t;

        if (!Fw_Usable_Check(e, u, avoid, now_us)) {
            continue;
        }
        t = preference_tier(cfg, e, u, avoid, now_us);
        n_equal = best && t == best_tier ? n_equal + 1 : 1;
        /* Reservoir sampling: equal servers are equally likely. */
        if (!best || t < best_tier ||
            (t == best_tier && g_rand_int_range(r->rand, 0, n_equal) == 0)) {
            best = u;
            best_tier = t;
        }
    }
    if (best) {
        Fw_Breaker_RecordRequest(&Fw_Engine_Get(r, best->name)->breaker,
                                 now_us);
    }
    return best;
}

/* Outliers get less weight, so that one slow server does not raise the mean
 * that its own calls are compared with. */
static void
update_mean_call_time(struct fw_router *r, int64_t took_us)
{
    int64_t divisor = took_us > 4 * r->mean_call_us ? 256 : 16;

    r->mean_call_us =
        r->mean_call_us
            ? r->mean_call_us + (took_us - r->mean_call_us) / divisor
            : took_us;
}

void
Fw_Route_ReportServerResult(struct fw_router *r, const char *upstream, int ok,
                            int64_t took_us, int64_t now_us)
{
    struct fw_engine *e = Fw_Engine_Get(r, upstream);

    if (!ok) {
        r->m.breaker_trips.value +=
            Fw_Breaker_RecordFailure(&e->breaker, now_us);
        return;
    }
    r->m.breaker_trips.value += Fw_Breaker_RecordSuccess(
        &e->breaker, took_us, r->mean_call_us, now_us);
    update_mean_call_time(r, took_us);
}
