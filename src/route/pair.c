/*
 * Chooses the cheapest pair of engines by the estimated time to first token,
 * which includes prefix cache hits and the KV transfer, with penalties for
 * occupied engines and failure domains. Coordinators grant or deny it.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>

#include "base/hash.h"
#include "route/router.h"

/*
 * Engines considered per role, the first in the order of the pool index. In a
 * large pool, each instance uses few engines and has recent load of these.
 */
#define FW_CANDIDATES_MAX 12
/* Penalty for a decode engine expected to be full; it is tried last. */
#define FW_FULL_COST_US (400 * FW_MSEC)
#define FW_OCCUPANCY_COST_US (60 * FW_MSEC)
#define FW_LOST_DOMAIN_COST_US (200 * FW_MSEC)
/* Discount for the engine that the prompt's prefix hashes to, as a share of
 * the prefill time, so that requests with a common prefix meet on it. */
#define FW_AFFINITY_PERMILLE 300
/* Index of the prefix hashed for that: 2,048 bytes. */
#define FW_AFFINITY_LEVEL 1

struct candidate {
    struct fw_engine *e;
    const struct fw_upstream *u;
    int64_t cost_us;
    int64_t wait_us;
    int64_t compute_us;
    int64_t cached;
};

struct candidates {
    int n;
    int n_serving; /* engines that serve the model, also those denied */
    struct candidate c[FW_CANDIDATES_MAX];
};

static int
was_denied(const struct fw_job *job, uint64_t id)
{
    for (int i = 0; i < job->n_denied; i++) {
        if (job->denied[i] == id) {
            return 1;
        }
    }
    return 0;
}

static void
collect_candidates(const struct fw_router *r, const struct fw_config *cfg,
                   const struct fw_job *job, const struct fw_reservation *res,
                   const GPtrArray *engines, uint64_t serving, int is_prefill,
                   int64_t now_us, struct candidates *out)
{
    const char *const *avoid = (const char *const *)job->avoid;

    (void)r;
    out->n = 0;
    out->n_serving = 0;
    for (guint i = 0; i < engines->len && out->n < FW_CANDIDATES_MAX; i++) {
        struct fw_engine *e = engines->pdata[i];
        const struct fw_upstream *u =
            g_hash_table_lookup(cfg->upstreams, e->name);

        if (res->state == FW_RESERVATION_GRANTED && res->engine != e) {
            continue;
        }
        if (!Fw_Usable_Check(e, u, avoid, now_us) ||
            Fw_Engine_CheckServes(e, serving, is_prefill, now_us) == 0) {
            continue;
        }
        out->n_serving++;
        if (was_denied(job, e->id) ||
            !Fw_Breaker_Allows(&e->breaker, now_us)) {
            continue;
        }
        out->c[out->n++] = (struct candidate){.e = e, .u = u};
        if (Fw_Usable_InAvoidedDomain(cfg, avoid, u->domain)) {
            out->c[out->n - 1].cost_us = FW_LOST_DOMAIN_COST_US;
        }
    }
}

static void
add_prefill_cost(const struct fw_router *r, const struct fw_job *job,
                 struct candidates *cs, int64_t now_us)
{
    struct candidate *affine = NULL;
    uint64_t best = 0;

    for (int i = 0; i < cs->n; i++) {
        struct candidate *c = &cs->c[i];
        int64_t rate = MAX(c->u->prefill_rate, 1);

        c->cached =
            MIN(Fw_Prefix_CachedTokens(&r->prefixes, Fw_Engine_CacheKey(c->e),
                                       &job->prefixes),
                job->prompt_tokens);
        c->compute_us = Fw_Cost_PrefillUs(job->prompt_tokens, c->cached, rate);
        c->wait_us = Fw_Engine_WaitUs(c->e, now_us);
        c->cost_us += c->compute_us + c->wait_us;
        if (job->prefixes.n) {
            int level = MIN(FW_AFFINITY_LEVEL, job->prefixes.n - 1);
            uint64_t w = Fw_Hash_Weight(job->prefixes.hash[level], c->e->name);

            if (!affine || w > best) {
                affine = c;
                best = w;
            }
        }
    }
    if (affine) {
        affine->cost_us -= affine->compute_us * FW_AFFINITY_PERMILLE / 1000;
    }
}

static void
add_decode_cost(struct candidates *cs, int64_t now_us)
{
    for (int i = 0; i < cs->n; i++) {
        struct candidate *c = &cs->c[i];
        int slots = MAX(c->u->slots, 1);
        int64_t free_slots = Fw_Engine_FreeSlots(c->e, slots, now_us);

        if (free_slots <= 0) {
            c->cost_us += FW_FULL_COST_US;
        }
        else {
            c->cost_us +=
                FW_OCCUPANCY_COST_US * MAX(slots - free_slots, 0) / slots;
        }
    }
}

/** struct best_pair - cheapest pair so far and the cost of the next best. */
struct best_pair {
    int found;
    int64_t cost_us;
    int64_t next_cost_us;
    struct candidate p;
    struct candidate d;
    int64_t transfer_us;
    uint64_t serving;
};

static void
compare_pairs(const struct fw_job *job, const struct fw_offer *o,
              const struct candidates *ps, const struct candidates *ds,
              struct best_pair *b)
{
    for (int i = 0; i < ps->n; i++) {
        for (int k = 0; k < ds->n; k++) {
            const struct candidate *p = &ps->c[i];
            const struct candidate *d = &ds->c[k];
            int64_t rate = Fw_Cost_LinkRate(d->u, p->u->domain);
            int64_t transfer_us = Fw_Cost_TransferUs(
                job->prompt_tokens, o->pool->kv_bytes_per_token, rate);
            int64_t cost_us = p->cost_us + d->cost_us + transfer_us;

            if (b->found && cost_us >= b->cost_us) {
                b->next_cost_us = MIN(b->next_cost_us, cost_us);
                continue;
            }
            b->next_cost_us = b->found ? b->cost_us : INT64_MAX;
            b->found = 1;
            b->cost_us = cost_us;
            b->p = *p;
            b->d = *d;
            b->transfer_us = transfer_us;
            b->serving = o->serving;
        }
    }
}

static void
assign_pair(struct fw_job *job, const struct best_pair *b)
{
    job->serving = b->serving;
    if (job->prefill.state != FW_RESERVATION_GRANTED) {
        job->prefill = (struct fw_reservation){.engine = b->p.e,
                                               .wait_us = b->p.wait_us,
                                               .service_us = b->p.compute_us};
        job->cached_tokens = b->p.cached;
    }
    if (job->decode.state != FW_RESERVATION_GRANTED) {
        job->decode = (struct fw_reservation){.engine = b->d.e};
    }
    job->decode.service_us = b->transfer_us;
    (void)snprintf(
        job->explanation, sizeof(job->explanation),
        "cost %" PRId64 " ms, next %" PRId64 " ms, wait %" PRId64
        " ms, cached %" PRId64 " of %" PRId64 " tokens",
        (int64_t)(b->cost_us / FW_MSEC),
        (int64_t)(b->next_cost_us == INT64_MAX ? -1
                                               : b->next_cost_us / FW_MSEC),
        (int64_t)(b->p.wait_us / FW_MSEC), b->p.cached, job->prompt_tokens);
}

int
Fw_Pair_Choose(struct fw_router *r, const struct fw_config *cfg,
               struct fw_job *job, int64_t now_us)
{
    struct fw_offer offers[FW_OFFERS_MAX];
    int n = Fw_Serving_Offers(r, cfg, job->model_queue->model, offers);
    int granted = job->prefill.state == FW_RESERVATION_GRANTED ||
                  job->decode.state == FW_RESERVATION_GRANTED;
    struct best_pair b = {0};
    int serving = 0;

    for (int i = 0; i < n; i++) {
        struct candidates ps;
        struct candidates ds;

        if (granted && offers[i].serving != job->serving) {
            continue;
        }
        collect_candidates(r, cfg, job, &job->prefill,
                           offers[i].index->prefill, offers[i].serving, 1,
                           now_us, &ps);
        collect_candidates(r, cfg, job, &job->decode, offers[i].index->decode,
                           offers[i].serving, 0, now_us, &ds);
        serving |= ps.n_serving && ds.n_serving;
        add_prefill_cost(r, job, &ps, now_us);
        add_decode_cost(&ds, now_us);
        compare_pairs(job, &offers[i], &ps, &ds, &b);
    }
    if (!b.found) {
        return serving ? -EAGAIN : -ENOENT;
    }
    assign_pair(job, &b);
    return 0;
}
