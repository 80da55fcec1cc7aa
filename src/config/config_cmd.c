/* Creation and destruction of configurations. */
#include "config/config_internal.h"

void
Fw_Team_Free(struct fw_team *team)
{
    if (!team) {
        return;
    }
    for (int i = 0; i < team->n_models; i++) {
        g_ref_string_release(team->models[i]);
    }
    g_free(team);
}

static void
free_team(void *team)
{
    Fw_Team_Free(team);
}

/* The keys point to the names inside the items and are not freed. */
static GHashTable *
new_table(GDestroyNotify free_item)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_item);
}

struct fw_config *
Fw_Config_New(void)
{
    struct fw_config *cfg = g_new0(struct fw_config, 1);

    cfg->next_offset = 1;
    cfg->teams = new_table(free_team);
    cfg->keys = new_table(g_free);
    cfg->upstreams = new_table(g_free);
    cfg->pools = new_table(g_free);
    cfg->services = new_table(g_free);
    cfg->operators = new_table(g_free);
    return cfg;
}

void
Fw_Config_Free(struct fw_config *cfg)
{
    if (!cfg) {
        return;
    }
    g_hash_table_unref(cfg->teams);
    g_hash_table_unref(cfg->keys);
    g_hash_table_unref(cfg->upstreams);
    g_hash_table_unref(cfg->pools);
    g_hash_table_unref(cfg->services);
    g_hash_table_unref(cfg->operators);
    g_free(cfg);
}
