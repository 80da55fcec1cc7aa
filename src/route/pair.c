/*
 * Choice of a pair by cost: time to the first token as believed here, with
 * prefix cache, link and failure domain in it. Coordinators have the last
 * word.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>

#include "base/hash.h"
#include "route/router.h"

/*
 * Engines looked at per role: the nearest by rendezvous hash of this
 * instance. Of a large pool each instance knows few engines, and these well,
 * in place of all of them badly.
 */
#define FW_CANDIDATES_MAX 12
/* An engine without a free slot, as far as is known, is asked last. */
#define FW_FULL_COST_US (400 * FW_MSEC)
#define FW_OCCUPANCY_COST_US (60 * FW_MSEC)
#define FW_LOST_DOMAIN_COST_US (200 * FW_MSEC)
/* A prompt seen nowhere goes to its rendezvous engine while that costs no
 * more than this share of the prefill. */
#define FW_AFFINITY_PERMILLE 300
/* The level of the prefix that says where a prompt belongs: 2,048 bytes. */
#define FW_AFFINITY_LEVEL 1

struct cand {
    struct fw_engine *e;
    const struct fw_upstream *u;
    int64_t cost_us;
    int64_t wait_us;
    int64_t compute_us;
    int64_t cached;
};

struct cands {
    int n;
    int serving; /* also those that said no in this round */
    struct cand c[FW_CANDIDATES_MAX];
};

static int
tried(const struct fw_job *job, uint64_t id)
{
    for (int i = 0; i < job->n_denied; i++) {
        if (job->denied[i] == id) {
            return 1;
        }
    }
    return 0;
}

static void
collect(const struct fw_router *r, const struct fw_config *cfg,
        const struct fw_job *job, const struct fw_reservation *part,
        const GPtrArray *engines, uint64_t serving, int is_prefill,
        int64_t now_us, struct cands *out)
{
    const char *const *avoid = (const char *const *)job->avoid;

    (void)r;
    out->n = 0;
    out->serving = 0;
    for (guint i = 0; i < engines->len && out->n < FW_CANDIDATES_MAX; i++) {
        struct fw_engine *e = engines->pdata[i];
        const struct fw_upstream *u =
            g_hash_table_lookup(cfg->upstreams, e->name);

        if (part->state == FW_RESERVATION_GRANTED && part->engine != e) {
            continue;
        }
        if (!Fw_Usable_Check(e, u, avoid, now_us) ||
            Fw_Engine_CheckServes(e, serving, is_prefill, now_us) == 0) {
            continue;
        }
        out->serving++;
        if (tried(job, e->id) || !Fw_Breaker_Allows(&e->breaker, now_us)) {
            continue;
        }
        out->c[out->n++] = (struct cand){.e = e, .u = u};
        if (Fw_Usable_InAvoidedDomain(cfg, avoid, u->domain)) {
            out->c[out->n - 1].cost_us = FW_LOST_DOMAIN_COST_US;
        }
    }
}

static void
cost_prefill(const struct fw_router *r, const struct fw_job *job,
             struct cands *cs, int64_t now_us)
{
    struct cand *belongs = NULL;
    uint64_t best = 0;

    for (int i = 0; i < cs->n; i++) {
        struct cand *c = &cs->c[i];
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

            if (!belongs || w > best) {
                belongs = c;
                best = w;
            }
        }
    }
    if (belongs) {
        belongs->cost_us -= belongs->compute_us * FW_AFFINITY_PERMILLE / 1000;
    }
}

static void
cost_decode(struct cands *cs, int64_t now_us)
{
    for (int i = 0; i < cs->n; i++) {
        struct cand *c = &cs->c[i];
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

/* struct best - cheapest pair so far, and the cheapest of another pair. */
struct best {
    int found;
    int64_t cost_us;
    int64_t other_us;
    struct cand p;
    struct cand d;
    int64_t transfer_us;
    uint64_t serving;
};

static void
weigh(const struct fw_job *job, const struct fw_offer *o,
      const struct cands *ps, const struct cands *ds, struct best *b)
{
    for (int i = 0; i < ps->n; i++) {
        for (int k = 0; k < ds->n; k++) {
            const struct cand *p = &ps->c[i];
            const struct cand *d = &ds->c[k];
            int64_t rate = Fw_Cost_LinkRate(d->u, p->u->domain);
            int64_t transfer_us = Fw_Cost_TransferUs(
                job->prompt_tokens, o->pool->kv_bytes_per_token, rate);
            int64_t cost_us = p->cost_us + d->cost_us + transfer_us;

            if (b->found && cost_us >= b->cost_us) {
                b->other_us = MIN(b->other_us, cost_us);
                continue;
            }
            b->other_us = b->found ? b->cost_us : INT64_MAX;
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
take(struct fw_job *job, const struct best *b)
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
        (int64_t)(b->other_us == INT64_MAX ? -1 : b->other_us / FW_MSEC),
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
    struct best b = {0};
    int serving = 0;

    for (int i = 0; i < n; i++) {
        struct cands ps;
        struct cands ds;

        if (granted && offers[i].serving != job->serving) {
            continue;
        }
        collect(r, cfg, job, &job->prefill, offers[i].index->prefill,
                offers[i].serving, 1, now_us, &ps);
        collect(r, cfg, job, &job->decode, offers[i].index->decode,
                offers[i].serving, 0, now_us, &ds);
        serving |= ps.serving && ds.serving;
        cost_prefill(r, job, &ps, now_us);
        cost_decode(&ds, now_us);
        weigh(job, &offers[i], &ps, &ds, &b);
    }
    if (!b.found) {
        return serving ? -EAGAIN : -ENOENT;
    }
    take(job, &b);
    return 0;
}
