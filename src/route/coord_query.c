#include "route/router.h"

/*
 * Size of a load poll with its answer, and the bandwidth that all polls of an
 * instance may use: the more engines it coordinates, the less often it polls
 * each.
 */
#define FW_POLL_BYTES 550LL
#define FW_POLL_BUDGET_BYTES_PER_S 1400
#define FW_POLL_MIN_US (250 * FW_MSEC)
/* Bounds the age of a report, however many engines are coordinated here; must
 * be less than FW_STATUS_FRESH_US. */
#define FW_POLL_MAX_US (1500 * FW_MSEC)

int64_t
Fw_Coord_PollIntervalUs(const struct fw_router *r)
{
    /* With a baseline policy every instance polls every engine. */
    if (r->opts.policy != FW_POLICY_FULL) {
        return FW_POLL_MIN_US;
    }
    return CLAMP(r->n_coordinated * FW_POLL_BYTES * FW_SEC /
                     FW_POLL_BUDGET_BYTES_PER_S,
                 FW_POLL_MIN_US, FW_POLL_MAX_US);
}

void
Fw_Coord_FillLoads(const struct fw_router *r, const struct fw_config *cfg,
                   int64_t now_us, struct fw_route_reply *reply)
{
    guint start = r->engine_list->len
                      ? (guint)(reply->round_id % r->engine_list->len)
                      : 0;

    reply->n_loads = 0;
    for (guint i = 0; i < r->engine_list->len; i++) {
        const struct fw_engine *e =
            r->engine_list->pdata[(start + i) % r->engine_list->len];
        const struct fw_upstream *u;
        struct fw_route_load *l = &reply->load[reply->n_loads];

        if (!e->coordinated || !e->coord || !e->coord->status.received_us) {
            continue;
        }
        u = g_hash_table_lookup(cfg->upstreams, e->name);
        if (!u || u->role == FW_ROLE_SERVICE) {
            continue;
        }
        l->engine = e->id;
        l->free_slots = Fw_Slots_Free(&e->coord->slots);
        l->wait_us = Fw_Engine_WaitUs(e, now_us);
        if (++reply->n_loads == FW_ROUTE_LOADS_MAX) {
            return;
        }
    }
}

void
Fw_Coord_FillLeaving(const struct fw_router *r, struct fw_route_leaving *out)
{
    out->n = 0;
    for (guint i = 0; i < r->engine_list->len && out->n < FW_ROUTE_LEAVING_MAX;
         i++) {
        const struct fw_engine *e = r->engine_list->pdata[i];

        if (Fw_Engine_IsConfirmedLeaving(e)) {
            out->engine[out->n++] = e->id;
        }
    }
}

int
Fw_Router_IsReady(const struct fw_router *r)
{
    for (guint i = 0; i < r->engine_list->len; i++) {
        const struct fw_engine *e = r->engine_list->pdata[i];

        if (e->coordinated && (!e->coord || !e->coord->status.received_us)) {
            return 0;
        }
    }
    return r->engine_list->len > 0;
}
