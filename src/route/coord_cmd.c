/*
 * The coordinator of an engine polls its load and keeps its reservations. If
 * two instances coordinate an engine at once, neither sees the other's
 * grants: a KV may then find no free slot, and the prefill is repeated. If
 * none does, instances poll the engine themselves.
 */
#include <string.h>

#include "base/hash.h"
#include "route/router.h"

#define FW_SCAN_INTERVAL_US (50 * FW_MSEC)
#define FW_SCAN_BATCH 16
#define FW_POLL_TIMEOUT_US FW_SEC
/* State of an engine not coordinated here is dropped when idle this long. */
#define FW_COORD_IDLE_US (5 * FW_SEC)
/* Load polls per poll for cache events. */
#define FW_CACHE_POLL_RATIO 4

static uint64_t
new_op(struct fw_router *r, struct fw_engine *e)
{
    uint64_t *op = g_new(uint64_t, 1);

    *op = Fw_Owner_MakeId(FW_OWNER_ROUTE, ++r->next_op);
    g_hash_table_insert(r->ops, op, e);
    return *op;
}

static struct fw_up_start *
start_call(struct fw_router *r, struct fw_engine *e,
           const struct fw_upstream *u, enum fw_up_kind kind,
           struct fw_actions *out)
{
    struct fw_up_start *up = &Fw_Actions_Add(out, FW_ACT_UP_START)->u.up;

    up->op = new_op(r, e);
    up->kind = kind;
    up->idle_timeout_us = FW_POLL_TIMEOUT_US;
    g_strlcpy(up->upstream, u->name, sizeof(up->upstream));
    g_strlcpy(up->url, u->url, sizeof(up->url));
    r->m.polls.value++;
    return up;
}

static void
poll_engine(struct fw_router *r, struct fw_engine *e,
            const struct fw_upstream *u, int64_t now_us,
            struct fw_actions *out)
{
    struct fw_coord *c = e->coord;
    int64_t every = Fw_Coord_PollIntervalUs(r);

    if (!c->poll_op && now_us >= c->next_poll_us) {
        c->poll_op = start_call(r, e, u, FW_UP_LOAD_REPORT, out)->op;
        c->next_poll_us =
            now_us + every + g_rand_int_range(r->rand, 0, (gint32)(every / 8));
    }
    if (u->role == FW_ROLE_PREFILL && !c->cache_op &&
        r->opts.policy == FW_POLICY_FULL && now_us >= c->next_cache_us) {
        struct fw_up_start *up = start_call(r, e, u, FW_UP_CACHE_EVENTS, out);

        up->u.cache.from_seq = c->next_cache_seq;
        c->cache_op = up->op;
        c->next_cache_us = now_us + FW_CACHE_POLL_RATIO * every;
    }
}

void
Fw_Coord_PollNow(struct fw_router *r, const struct fw_config *cfg,
                 struct fw_engine *e, int64_t now_us, struct fw_actions *out)
{
    const struct fw_upstream *u = g_hash_table_lookup(cfg->upstreams, e->name);
    struct fw_coord *c;

    if (!u || u->role == FW_ROLE_SERVICE) {
        return;
    }
    c = Fw_Engine_Coord(e);
    c->last_request_us = now_us;
    if (!c->status.received_us) {
        poll_engine(r, e, u, now_us, out);
    }
}

static int
should_coordinate(const struct fw_router *r, const struct fw_engine *e)
{
    const struct fw_member *m;

    if (r->opts.policy != FW_POLICY_FULL) {
        return 1;
    }
    m = Fw_Fleet_Pick(r->fleet, e->id, 0);
    return m && Fw_Fleet_IsSelf(r->fleet, m);
}

/* Checks a few engines at a time: in a large fleet, a whole pass would block
 * the event loop. */
static void
update_coordinated(struct fw_router *r, const struct fw_config *cfg)
{
    guint n = MIN(r->engine_list->len, FW_SCAN_BATCH);

    for (guint i = 0; i < n; i++) {
        struct fw_engine *e =
            r->engine_list->pdata[r->scan_pos++ % r->engine_list->len];
        const struct fw_upstream *u =
            g_hash_table_lookup(cfg->upstreams, e->name);
        int coordinated =
            u && u->role != FW_ROLE_SERVICE && should_coordinate(r, e);

        r->n_coordinated += coordinated - e->coordinated;
        e->coordinated = coordinated;
    }
}

void
Fw_Coord_Scan(struct fw_router *r, const struct fw_config *cfg, int64_t now_us,
              struct fw_actions *out)
{
    if (now_us < r->next_scan_us) {
        Fw_Actions_Wake(out, r->next_scan_us);
        return;
    }
    r->next_scan_us = now_us + FW_SCAN_INTERVAL_US;
    Fw_Actions_Wake(out, r->next_scan_us);
    update_coordinated(r, cfg);
    for (guint i = 0; i < r->engine_list->len; i++) {
        struct fw_engine *e = r->engine_list->pdata[i];
        const struct fw_upstream *u;

        if (!e->coordinated && !e->coord) {
            continue;
        }
        u = g_hash_table_lookup(cfg->upstreams, e->name);
        if (!u || u->role == FW_ROLE_SERVICE ||
            (!e->coordinated &&
             now_us - e->coord->last_request_us > FW_COORD_IDLE_US)) {
            Fw_Engine_DropCoord(e);
            continue;
        }
        Fw_Engine_Coord(e);
        poll_engine(r, e, u, now_us, out);
    }
}

static void
apply_report(struct fw_coord *c, const struct fw_up_report *rep, int64_t rate,
             int64_t now_us)
{
    int64_t at_us = now_us - CLAMP(rep->age_us, 0, 10 * FW_SEC);
    struct fw_engine_status *status = &c->status;

    status->received_us = now_us;
    status->leaving = rep->draining;
    status->is_prefill = strcmp(rep->role, "prefill") == 0;
    status->n_models = CLAMP(rep->n_models, 0, FW_UP_MODELS_MAX);
    for (int i = 0; i < status->n_models; i++) {
        status->models[i] = (uint32_t)Fw_Hash_Str(rep->models[i]);
    }
    Fw_Slots_ApplyReport(&c->slots, rep, at_us);
    Fw_Backlog_ApplyReport(&c->backlog, at_us,
                           CLAMP(rep->queued_tokens, 0, 1LL << 40), rate);
}

/*
 * A gap in the sequence numbers may hide evictions. All prefixes known of the
 * engine are invalidated then, so that it does not attract prompts that it no
 * longer has cached.
 */
static void
apply_cache_events(struct fw_router *r, struct fw_engine *e,
                   const struct fw_up_cache_batch *batch)
{
    struct fw_coord *c = e->coord;
    uint64_t expect = c->next_cache_seq;
    int gap = 0;

    for (int i = 0; i < batch->n; i++) {
        gap |= batch->events[i].seq != expect;
        expect = batch->events[i].seq + 1;
    }
    gap |= batch->next_seq != expect;
    if (gap && c->cache_synced) {
        e->cache_epoch++;
        r->m.cache_gaps.value++;
    }
    for (int i = 0; i < batch->n; i++) {
        const struct fw_up_cache_event *ev = &batch->events[i];

        if (ev->evicted) {
            Fw_Prefix_Remove(&r->prefixes, Fw_Engine_CacheKey(e),
                             (uint32_t)ev->prefix_hash);
        }
        else {
            Fw_Prefix_Add(&r->prefixes, Fw_Engine_CacheKey(e),
                          (uint32_t)ev->prefix_hash);
        }
    }
    c->next_cache_seq = batch->next_seq;
    c->cache_synced = 1;
}

void
Fw_Coord_OnUp(struct fw_router *r, const struct fw_config *cfg,
              const struct fw_up_event *ev, int64_t now_us)
{
    struct fw_engine *e = g_hash_table_lookup(r->ops, &ev->op);
    struct fw_coord *c = e ? e->coord : NULL;

    if (!e || ev->phase == FW_UP_TOKEN) {
        return;
    }
    g_hash_table_remove(r->ops, &ev->op);
    if (c && c->poll_op == ev->op) {
        c->poll_op = 0;
        if (ev->phase == FW_UP_DONE && ev->kind == FW_UP_LOAD_REPORT) {
            const struct fw_upstream *u =
                g_hash_table_lookup(cfg->upstreams, e->name);

            apply_report(c, &ev->u.report, u ? u->prefill_rate : 0, now_us);
        }
        else {
            c->status.received_us = 0;
        }
    }
    else if (c && c->cache_op == ev->op) {
        c->cache_op = 0;
        if (ev->phase == FW_UP_DONE && ev->kind == FW_UP_CACHE_EVENTS) {
            apply_cache_events(r, e, &ev->u.cache);
        }
    }
}

/*
 * Eviction events arrive seconds late, so an engine finds fewer tokens cached
 * than expected. Later estimates are scaled by the share that was found.
 */
static void
update_cache_hit_share(struct fw_coord *c, const struct fw_backlog_item *it,
                       int64_t cached_tokens)
{
    int64_t found;

    if (it->cached_tokens <= 0) {
        return;
    }
    found = MIN(cached_tokens, it->cached_tokens) * 1000 / it->cached_tokens;
    c->cache_hit_permille = (int)((c->cache_hit_permille * 7 + found) / 8);
}

void
Fw_Coord_Release(struct fw_engine *e, uint64_t owner, uint64_t round_id,
                 int64_t cached_tokens, int64_t now_us)
{
    const struct fw_backlog_item *it;

    if (!e->coord) {
        return;
    }
    Fw_Slots_Release(&e->coord->slots, owner, round_id, now_us);
    if (cached_tokens < 0) {
        Fw_Backlog_Remove(&e->coord->backlog, owner, round_id);
        return;
    }
    it = Fw_Backlog_Complete(&e->coord->backlog, owner, round_id, now_us);
    if (it) {
        update_cache_hit_share(e->coord, it, cached_tokens);
    }
}
