/*
 * Engines by pool and role, indexed once per configuration so that a routing
 * decision does not scan all upstreams.
 */
#include "base/hash.h"
#include "route/router.h"

static void
free_index(gpointer p)
{
    struct fw_pool_index *idx = p;

    g_ptr_array_unref(idx->prefill);
    g_ptr_array_unref(idx->decode);
    g_ptr_array_unref(idx->service);
    g_free(idx);
}

static struct fw_pool_index *
get_pool_index(struct fw_router *r, const char *pool)
{
    struct fw_pool_index *idx = g_hash_table_lookup(r->pools, pool);

    if (!idx) {
        idx = g_new0(struct fw_pool_index, 1);
        idx->prefill = g_ptr_array_new();
        idx->decode = g_ptr_array_new();
        idx->service = g_ptr_array_new();
        g_hash_table_insert(r->pools, g_strdup(pool), idx);
    }
    return idx;
}

struct rank_ctx {
    uint64_t self;
};

static gint
compare_weight(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct fw_engine *const *ea = a;
    const struct fw_engine *const *eb = b;
    const struct rank_ctx *ctx = data;
    uint64_t wa = Fw_Hash_Weight(ctx->self, (*ea)->name);
    uint64_t wb = Fw_Hash_Weight(ctx->self, (*eb)->name);

    return wa == wb ? 0 : wa > wb ? -1 : 1;
}

static GPtrArray *
engines_of_role(struct fw_pool_index *idx, enum fw_upstream_role role)
{
    switch (role) {
    case FW_ROLE_PREFILL:
        return idx->prefill;
    case FW_ROLE_DECODE:
        return idx->decode;
    case FW_ROLE_SERVICE:
        break;
    }
    return idx->service;
}

void
Fw_Index_Sync(struct fw_router *r, const struct fw_config *cfg)
{
    struct rank_ctx ctx = {.self = r->self_id};
    GHashTableIter it;
    gpointer val;

    if (r->pools && r->indexed_cfg == cfg &&
        r->indexed_offset == cfg->next_offset) {
        return;
    }
    if (r->pools) {
        g_hash_table_unref(r->pools);
    }
    r->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_index);
    r->indexed_cfg = cfg;
    r->indexed_offset = cfg->next_offset;
    g_hash_table_iter_init(&it, cfg->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &val)) {
        const struct fw_upstream *u = val;

        g_ptr_array_add(engines_of_role(get_pool_index(r, u->pool), u->role),
                        Fw_Engine_Get(r, u->name));
    }
    g_hash_table_iter_init(&it, r->pools);
    while (g_hash_table_iter_next(&it, NULL, &val)) {
        struct fw_pool_index *idx = val;

        g_ptr_array_sort_with_data(idx->prefill, compare_weight, &ctx);
        g_ptr_array_sort_with_data(idx->decode, compare_weight, &ctx);
        g_ptr_array_sort_with_data(idx->service, compare_weight, &ctx);
    }
}

const struct fw_pool_index *
Fw_Index_Pool(const struct fw_router *r, const char *pool)
{
    return r->pools ? g_hash_table_lookup(r->pools, pool) : NULL;
}
