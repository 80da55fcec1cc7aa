/* Insertion and removal of items. */
#include "config/config_internal.h"

static void
replace_in(GHashTable *table, const char *name, void *value)
{
    /* Unlike insert, replace updates the key, which is part of the value. */
    g_hash_table_replace(table, (void *)name, value);
}

void
Fw_Config_PutItem(struct fw_config *cfg, struct fw_item *item,
                  uint64_t version)
{
    if (item->removed) {
        g_hash_table_remove(Fw_Config_Table(cfg, item->kind), item->name);
        return;
    }
    switch (item->kind) {
    case FW_ITEM_TEAM:
        item->u.team->version = version;
        replace_in(cfg->teams, item->u.team->name, item->u.team);
        break;
    case FW_ITEM_KEY:
        item->u.key->version = version;
        replace_in(cfg->keys, item->u.key->digest, item->u.key);
        break;
    case FW_ITEM_UPSTREAM:
        item->u.upstream->version = version;
        replace_in(cfg->upstreams, item->u.upstream->name, item->u.upstream);
        break;
    case FW_ITEM_POOL:
        item->u.pool->version = version;
        replace_in(cfg->pools, item->u.pool->name, item->u.pool);
        break;
    case FW_ITEM_SERVICE:
        item->u.service->version = version;
        replace_in(cfg->services, item->u.service->name, item->u.service);
        break;
    case FW_ITEM_OPERATOR:
        item->u.oper->version = version;
        replace_in(cfg->operators, item->u.oper->name, item->u.oper);
        break;
    case FW_ITEM_SETTING:
        cfg->on_withdraw = item->u.setting;
        cfg->on_withdraw_version = version;
        break;
    case FW_ITEM_KINDS:
        break;
    }
    item->u.any = NULL;
}
