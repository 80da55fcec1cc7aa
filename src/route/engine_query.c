#include "base/fault.h"
#include "route/router.h"

/* Load reports of engines, and results of coordinators about models, are not
 * used when older, except for a report that the engine is leaving. */
#define FW_STATUS_FRESH_US (3 * FW_SEC)
/* Older figures of coordinators are not used for free slots. */
#define FW_LOAD_FRESH_US (2 * FW_SEC)
/* Peers repeat what they know of leaving engines; if none did so for this
 * long, the engine is back. */
#define FW_PEER_LEAVING_TTL_US (10 * FW_SEC)

struct fw_engine *
Fw_Engine_Find(const struct fw_router *r, uint64_t id)
{
    return g_hash_table_lookup(r->engines, &id);
}

uint64_t
Fw_Engine_CacheKey(const struct fw_engine *e)
{
    return e->id + e->cache_epoch;
}

static int
has_fresh_status(const struct fw_engine *e, int64_t now_us)
{
    return e->coord && e->coord->status.received_us &&
           now_us - e->coord->status.received_us < FW_STATUS_FRESH_US;
}

int
Fw_Engine_IsConfirmedLeaving(const struct fw_engine *e)
{
    if (FW_FAULT("route-own-word-unheard")) {
        return e->listed_leaving;
    }
    return e->listed_leaving || (e->coord && e->coord->status.leaving);
}

int
Fw_Engine_IsLeaving(const struct fw_engine *e, int64_t now_us)
{
    return Fw_Engine_IsConfirmedLeaving(e) ||
           (e->peer_leaving_us &&
            now_us - e->peer_leaving_us < FW_PEER_LEAVING_TTL_US);
}

int
Fw_Engine_CheckServes(const struct fw_engine *e, uint64_t serving,
                      int is_prefill, int64_t now_us)
{
    if (has_fresh_status(e, now_us)) {
        const struct fw_engine_status *w = &e->coord->status;

        if (w->is_prefill != is_prefill) {
            return 0;
        }
        for (int i = 0; i < w->n_models; i++) {
            if (w->models[i] == serving) {
                return 1;
            }
        }
        return 0;
    }
    if (e->peer_serving == serving && e->peer_serves_us &&
        now_us - e->peer_serves_us < FW_STATUS_FRESH_US) {
        return e->peer_serves;
    }
    return -1;
}

int64_t
Fw_Engine_FreeSlots(const struct fw_engine *e, int slots, int64_t now_us)
{
    if (has_fresh_status(e, now_us)) {
        return Fw_Slots_Free(&e->coord->slots);
    }
    if (e->load_us && now_us - e->load_us < FW_LOAD_FRESH_US) {
        return e->free_slots;
    }
    return MAX(slots / 2 - e->decoding, 1);
}

int64_t
Fw_Engine_WaitUs(const struct fw_engine *e, int64_t now_us)
{
    if (has_fresh_status(e, now_us)) {
        return Fw_Backlog_WaitUs(&e->coord->backlog, now_us);
    }
    if (e->load_us) {
        return MAX(e->wait_us - (now_us - e->load_us), 0);
    }
    return 0;
}
