/* Items by kind and name, and their values as JSON. */
#include <string.h>

#include "config/config_internal.h"

GHashTable *
Fw_Config_Table(const struct fw_config *cfg, enum fw_item_kind kind)
{
    switch (kind) {
    case FW_ITEM_TEAM:
        return cfg->teams;
    case FW_ITEM_KEY:
        return cfg->keys;
    case FW_ITEM_UPSTREAM:
        return cfg->upstreams;
    case FW_ITEM_POOL:
        return cfg->pools;
    case FW_ITEM_SERVICE:
        return cfg->services;
    case FW_ITEM_OPERATOR:
        return cfg->operators;
    case FW_ITEM_SETTING:
    case FW_ITEM_KINDS:
        break;
    }
    return NULL;
}

static void
add_team_members(JsonObject *o, const struct fw_team *t)
{
    JsonArray *models = json_array_new();

    json_object_set_int_member(o, "rate", t->rate);
    json_object_set_int_member(o, "burst", t->burst);
    json_object_set_int_member(o, "priority", t->priority);
    for (int i = 0; i < t->n_models; i++) {
        json_array_add_string_element(models, t->models[i]);
    }
    json_object_set_array_member(o, "models", models);
}

static void
add_upstream_members(JsonObject *o, const struct fw_upstream *u)
{
    static const char *const role_names[] = {"prefill", "decode", "service"};
    static const char *const fencing_names[] = {"checked", "ignored"};
    JsonArray *links = json_array_new();

    json_object_set_string_member(o, "pool", u->pool);
    json_object_set_string_member(o, "url", u->url);
    json_object_set_string_member(o, "domain", u->domain);
    json_object_set_string_member(o, "role", role_names[u->role]);
    json_object_set_string_member(o, "fencing", fencing_names[u->fencing]);
    json_object_set_int_member(o, "slots", u->slots);
    json_object_set_int_member(o, "prefill_rate", u->prefill_rate);
    json_object_set_boolean_member(o, "drained", u->drained);
    for (int i = 0; i < u->n_links; i++) {
        JsonObject *link = json_object_new();

        json_object_set_string_member(link, "domain", u->links[i].domain);
        json_object_set_int_member(link, "bytes_per_s",
                                   u->links[i].bytes_per_s);
        json_array_add_object_element(links, link);
    }
    json_object_set_array_member(o, "links", links);
}

static void
add_pool_members(JsonObject *o, const struct fw_pool *p)
{
    JsonArray *serves = json_array_new();

    json_object_set_int_member(o, "kv_bytes_per_token", p->kv_bytes_per_token);
    json_object_set_int_member(o, "prefill_min", p->prefill_min);
    json_object_set_int_member(o, "decode_min", p->decode_min);
    for (int i = 0; i < p->n_serves; i++) {
        JsonObject *s = json_object_new();

        json_object_set_string_member(s, "model", p->serves[i].model);
        json_object_set_string_member(s, "version", p->serves[i].version);
        json_object_set_string_member(s, "adapter", p->serves[i].adapter);
        json_array_add_object_element(serves, s);
    }
    json_object_set_array_member(o, "serves", serves);
}

static void
add_service_members(JsonObject *o, const struct fw_service *svc)
{
    JsonArray *calls = json_array_new();

    for (int i = 0; i < svc->n_calls; i++) {
        const struct fw_service_call *c = &svc->calls[i];
        JsonObject *call = json_object_new();

        json_object_set_string_member(call, "method", c->method);
        json_object_set_string_member(call, "path", c->path);
        json_object_set_boolean_member(call, "idempotent", c->idempotent);
        json_array_add_object_element(calls, call);
    }
    json_object_set_array_member(o, "calls", calls);
}

static void
add_value_members(JsonObject *o, enum fw_item_kind kind, const void *value)
{
    const struct fw_key *key;
    const struct fw_operator *op;

    switch (kind) {
    case FW_ITEM_TEAM:
        add_team_members(o, value);
        break;
    case FW_ITEM_KEY:
        key = value;
        json_object_set_string_member(o, "team", key->team);
        json_object_set_boolean_member(o, "withdrawn", key->withdrawn);
        break;
    case FW_ITEM_UPSTREAM:
        add_upstream_members(o, value);
        break;
    case FW_ITEM_POOL:
        add_pool_members(o, value);
        break;
    case FW_ITEM_SERVICE:
        add_service_members(o, value);
        break;
    case FW_ITEM_OPERATOR:
        op = value;
        json_object_set_string_member(o, "digest", op->digest);
        json_object_set_boolean_member(o, "withdrawn", op->withdrawn);
        break;
    case FW_ITEM_SETTING:
    case FW_ITEM_KINDS:
        break;
    }
}

JsonNode *
Fw_Config_ItemValue(const struct fw_config *cfg, enum fw_item_kind kind,
                    const char *name)
{
    JsonNode *node;
    JsonObject *o;
    const void *value = NULL;

    if (kind == FW_ITEM_SETTING) {
        if (cfg->on_withdraw_version == 0) {
            return NULL;
        }
    }
    else {
        value = g_hash_table_lookup(Fw_Config_Table(cfg, kind), name);
        if (!value) {
            return NULL;
        }
    }
    o = json_object_new();
    if (kind == FW_ITEM_SETTING) {
        json_object_set_string_member(
            o, "value",
            cfg->on_withdraw == FW_WITHDRAW_CUT ? "cut" : "finish");
    }
    else {
        add_value_members(o, kind, value);
    }
    node = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(node, o);
    return node;
}

uint64_t
Fw_Config_ItemVersion(const struct fw_config *cfg, enum fw_item_kind kind,
                      const char *name)
{
    const void *value;

    if (kind == FW_ITEM_SETTING) {
        return cfg->on_withdraw_version;
    }
    value = g_hash_table_lookup(Fw_Config_Table(cfg, kind), name);
    if (!value) {
        return 0;
    }
    switch (kind) {
    case FW_ITEM_TEAM:
        return ((const struct fw_team *)value)->version;
    case FW_ITEM_KEY:
        return ((const struct fw_key *)value)->version;
    case FW_ITEM_UPSTREAM:
        return ((const struct fw_upstream *)value)->version;
    case FW_ITEM_POOL:
        return ((const struct fw_pool *)value)->version;
    case FW_ITEM_SERVICE:
        return ((const struct fw_service *)value)->version;
    case FW_ITEM_OPERATOR:
        return ((const struct fw_operator *)value)->version;
    case FW_ITEM_SETTING:
    case FW_ITEM_KINDS:
        break;
    }
    return 0;
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *
Fw_Config_ItemNames(const struct fw_config *cfg, enum fw_item_kind kind)
{
    GPtrArray *names = g_ptr_array_new();
    GHashTableIter it;
    void *name;

    if (kind == FW_ITEM_SETTING) {
        if (cfg->on_withdraw_version) {
            g_ptr_array_add(names, "on-withdraw");
        }
        return names;
    }
    g_hash_table_iter_init(&it, Fw_Config_Table(cfg, kind));
    while (g_hash_table_iter_next(&it, &name, NULL)) {
        g_ptr_array_add(names, name);
    }
    g_ptr_array_sort(names, compare_names);
    return names;
}

unsigned
Fw_Config_ItemCount(const struct fw_config *cfg, enum fw_item_kind kind)
{
    if (kind == FW_ITEM_SETTING) {
        return cfg->on_withdraw_version != 0;
    }
    return g_hash_table_size(Fw_Config_Table(cfg, kind));
}

uint64_t
Fw_Config_Digest(const struct fw_config *cfg)
{
    uint64_t h = 0;

    for (int kind = 0; kind < FW_ITEM_KINDS; kind++) {
        GPtrArray *names = Fw_Config_ItemNames(cfg, kind);

        for (unsigned i = 0; i < names->len; i++) {
            const char *name = g_ptr_array_index(names, i);
            uint64_t version = Fw_Config_ItemVersion(cfg, kind, name);
            JsonNode *node = Fw_Config_ItemValue(cfg, kind, name);
            char *text = json_to_string(node, FALSE);

            h = Fw_Hash_Bytes(name, strlen(name), h + version);
            h = Fw_Hash_Bytes(text, strlen(text), h);
            g_free(text);
            json_node_unref(node);
        }
        g_ptr_array_unref(names);
    }
    return h;
}
