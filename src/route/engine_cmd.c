/* Updates the state of upstreams from peers' messages and dispatches. */
#include "base/hash.h"
#include "route/router.h"

struct fw_engine *
Fw_Engine_Get(struct fw_router *r, const char *name)
{
    uint64_t id = Fw_Hash_Str(name);
    struct fw_engine *e = g_hash_table_lookup(r->engines, &id);

    if (!e) {
        e = g_new0(struct fw_engine, 1);
        g_strlcpy(e->name, name, sizeof(e->name));
        e->id = id;
        g_hash_table_insert(r->engines, &e->id, e);
        g_ptr_array_add(r->engine_list, e);
    }
    return e;
}

struct fw_coord *
Fw_Engine_Coord(struct fw_engine *e)
{
    if (!e->coord) {
        e->coord = g_new0(struct fw_coord, 1);
        Fw_Slots_Init(&e->coord->slots);
        e->coord->cache_hit_permille = 1000;
        e->coord->next_cache_seq = 1; /* engines number events from 1 */
    }
    return e->coord;
}

void
Fw_Engine_DropCoord(struct fw_engine *e)
{
    if (e->coord) {
        Fw_Slots_Clear(&e->coord->slots);
        g_free(e->coord);
        e->coord = NULL;
    }
}

void
Fw_Engine_MarkLeaving(struct fw_router *r,
                      const struct fw_route_leaving *leaving, int64_t now_us)
{
    for (int i = 0; i < leaving->n; i++) {
        struct fw_engine *e = Fw_Engine_Find(r, leaving->engine[i]);

        if (e) {
            e->peer_leaving_us = now_us;
        }
    }
}

void
Fw_Engine_ApplyResult(struct fw_engine *e,
                      const struct fw_reserve_result *result, uint64_t serving,
                      int64_t now_us)
{
    switch (result->status) {
    case FW_RESERVE_GRANTED:
    case FW_RESERVE_FULL:
        e->peer_serves = 1;
        break;
    case FW_RESERVE_NOT_SERVED:
        e->peer_serves = 0;
        break;
    case FW_RESERVE_LEAVING:
        e->peer_leaving_us = now_us;
        return;
    case FW_RESERVE_NO_REPORT:
    case FW_RESERVE_STATUSES:
        return;
    }
    e->peer_serving = serving;
    e->peer_serves_us = now_us;
    e->free_slots = result->free_slots;
    e->wait_us = result->wait_us;
    e->load_us = now_us;
}

void
Fw_Engine_UpdateLoad(struct fw_router *r, const struct fw_route_load *load,
                     int64_t now_us)
{
    struct fw_engine *e = Fw_Engine_Find(r, load->engine);

    if (e) {
        e->free_slots = load->free_slots;
        e->wait_us = load->wait_us;
        e->load_us = now_us;
    }
}

void
Fw_Engine_AddDispatched(struct fw_engine *prefill, struct fw_engine *decode,
                        int64_t compute_us, int64_t now_us)
{
    int64_t left_us = prefill->wait_us - (now_us - prefill->load_us);

    prefill->wait_us = MAX(left_us, 0) + compute_us;
    prefill->load_us = now_us;
    decode->free_slots--;
}
