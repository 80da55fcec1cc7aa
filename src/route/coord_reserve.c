/* Coordinator: grants or denies a reservation and records it. */
#include "route/router.h"

/*
 * Prefill queued at an engine, above which no more is granted. Kept short
 * because fair queueing no longer applies to it, but long enough that the
 * engine does not idle between grants.
 */
#define FW_PREFILL_BACKLOG_MAX_US (150 * FW_MSEC)
/* Longest time for which a KV cache may wait for the link and be transferred;
 * the prefill engine may have evicted it after that. */
#define FW_KV_TRANSFER_MAX_US (700 * FW_MSEC)
/* Prefill time independent of the number of tokens. */
#define FW_PREFILL_OVERHEAD_US (3 * FW_MSEC)
#define FW_FULL_RETRY_US (30 * FW_MSEC)

static void
hold_exclusive(struct fw_slots *s, uint64_t owner, uint64_t round_id,
               int64_t now_us)
{
    struct fw_hold hold = {.owner = owner,
                           .round_id = round_id,
                           .need_us = now_us,
                           .exclusive = 1};

    Fw_Slots_Hold(s, &hold);
}

static void
reserve_prefill(struct fw_router *r, struct fw_engine *e,
                const struct fw_upstream *u, uint64_t owner, uint64_t round_id,
                const struct fw_reserve_item *item, int64_t now_us,
                struct fw_reserve_result *result)
{
    struct fw_coord *c = e->coord;
    struct fw_backlog_item work = {
        .owner = owner, .round_id = round_id, .granted_us = now_us};
    int64_t rate = MAX(u->prefill_rate, 1);

    result->wait_us = Fw_Backlog_WaitUs(&c->backlog, now_us);
    work.cached_tokens = Fw_Prefix_CachedTokens(
        &r->prefixes, Fw_Engine_CacheKey(e), &item->prefixes);
    result->cached_tokens = work.cached_tokens * c->cache_hit_permille / 1000;
    if (Fw_Slots_IsExclusive(&c->slots) ||
        (item->exclusive && result->wait_us > 0)) {
        result->status = FW_RESERVE_FULL;
        result->wait_us = MAX(result->wait_us, FW_FULL_RETRY_US);
        return;
    }
    if (result->wait_us > FW_PREFILL_BACKLOG_MAX_US) {
        result->status = FW_RESERVE_FULL;
        return;
    }
    result->status = FW_RESERVE_GRANTED;
    work.tokens = item->tokens;
    work.compute_us =
        Fw_Cost_PrefillUs(item->tokens, result->cached_tokens, rate) +
        FW_PREFILL_OVERHEAD_US;

    Fw_Backlog_Add(&c->backlog, &work);
    if (item->exclusive) {
        hold_exclusive(&c->slots, owner, round_id, now_us);
    }
    for (int i = 0; i < item->prefixes.n; i++) {
        Fw_Prefix_Add(&r->prefixes, Fw_Engine_CacheKey(e),
                      item->prefixes.hash[i]);
    }
}

/* Returns the link from @from_domain. If there is none yet, it replaces the
 * one that becomes free the earliest. */
static struct fw_kv_link_state *
find_link(struct fw_coord *c, uint64_t from_domain)
{
    struct fw_kv_link_state *earliest_free = &c->links[0];

    for (int i = 0; i < FW_COORD_LINKS; i++) {
        if (c->links[i].from_domain == from_domain) {
            return &c->links[i];
        }
        if (c->links[i].busy_until_us < earliest_free->busy_until_us) {
            earliest_free = &c->links[i];
        }
    }
    *earliest_free = (struct fw_kv_link_state){.from_domain = from_domain};
    return earliest_free;
}

static void
reserve_decode(struct fw_engine *e, uint64_t owner, uint64_t round_id,
               const struct fw_reserve_item *item, int64_t now_us,
               struct fw_reserve_result *result)
{
    struct fw_coord *c = e->coord;
    struct fw_kv_link_state *link = find_link(c, item->from_domain);
    int64_t need_us = now_us + item->need_us;
    int64_t ready_us = MAX(need_us - item->transfer_us, now_us);
    int64_t link_wait_us = MAX(link->busy_until_us - ready_us, 0);
    struct fw_hold hold = {.owner = owner,
                           .round_id = round_id,
                           .tokens = item->tokens,
                           .exclusive = item->exclusive};

    hold.need_us = need_us + link_wait_us;
    result->free_slots = Fw_Slots_Free(&c->slots);
    result->status = FW_RESERVE_FULL;
    result->wait_us = c->slots.release_interval_us > 0
                          ? c->slots.release_interval_us
                          : FW_FULL_RETRY_US;
    if (result->free_slots <= 0 || !Fw_Slots_Fits(&c->slots, item->tokens) ||
        Fw_Slots_IsExclusive(&c->slots) ||
        (item->exclusive && Fw_Slots_Busy(&c->slots) > 0)) {
        return;
    }
    if (link_wait_us + item->transfer_us > FW_KV_TRANSFER_MAX_US &&
        link_wait_us > 0) {
        result->wait_us = link_wait_us;
        return;
    }
    result->status = FW_RESERVE_GRANTED;
    result->wait_us = link_wait_us;
    result->free_slots--;
    link->busy_until_us = ready_us + link_wait_us + item->transfer_us;
    Fw_Slots_Hold(&c->slots, &hold);
}

void
Fw_Coord_Reserve(struct fw_router *r, const struct fw_config *cfg,
                 uint64_t owner, uint64_t round_id,
                 const struct fw_reserve_item *item, int64_t now_us,
                 struct fw_reserve_result *result, struct fw_actions *out)
{
    struct fw_engine *e = Fw_Engine_Find(r, item->engine);
    const struct fw_upstream *u =
        e ? g_hash_table_lookup(cfg->upstreams, e->name) : NULL;
    int serves;

    *result = (struct fw_reserve_result){.engine = item->engine,
                                         .status = FW_RESERVE_NOT_SERVED};
    if (!u || u->drained || u->role == FW_ROLE_SERVICE) {
        return;
    }
    Fw_Engine_Coord(e)->last_request_us = now_us;
    if (Fw_Engine_IsLeaving(e, now_us)) {
        result->status = FW_RESERVE_LEAVING;
        return;
    }
    serves = Fw_Engine_CheckServes(e, item->serving, item->is_prefill, now_us);
    if (serves < 0 || !e->coord->status.received_us) {
        Fw_Coord_PollNow(r, cfg, e, now_us, out);
        result->status = FW_RESERVE_NO_REPORT;
        return;
    }
    if (!serves) {
        return;
    }
    if (item->is_prefill) {
        reserve_prefill(r, e, u, owner, round_id, item, now_us, result);
    }
    else {
        reserve_decode(e, owner, round_id, item, now_us, result);
    }
}
