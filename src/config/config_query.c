/* Lookups in a configuration. */
#include <string.h>

#include "config/config.h"

const struct fw_team *
Fw_Config_FindTeam(const struct fw_config *cfg, const char *name)
{
    return g_hash_table_lookup(cfg->teams, name);
}

const struct fw_team *
Fw_Config_FindTeamByKey(const struct fw_config *cfg, const char *key)
{
    char digest[FW_DIGEST_HEX_SIZE];
    const struct fw_key *k;

    if (!key) {
        return NULL;
    }
    Fw_Hash_KeyDigest(key, digest);
    k = g_hash_table_lookup(cfg->keys, digest);
    if (!k || k->withdrawn || !Fw_Hash_DigestEqual(k->digest, digest)) {
        return NULL;
    }
    return Fw_Config_FindTeam(cfg, k->team);
}

const struct fw_upstream *
Fw_Config_FindUpstream(const struct fw_config *cfg, const char *name)
{
    return g_hash_table_lookup(cfg->upstreams, name);
}

const struct fw_pool *
Fw_Config_FindPool(const struct fw_config *cfg, const char *name)
{
    return g_hash_table_lookup(cfg->pools, name);
}

const struct fw_service *
Fw_Config_FindService(const struct fw_config *cfg, const char *name)
{
    return g_hash_table_lookup(cfg->services, name);
}

const struct fw_service_call *
Fw_Config_FindServiceCall(const struct fw_service *svc, const char *method,
                          const char *path)
{
    size_t len = strcspn(path, "?");

    for (int i = 0; i < svc->n_calls; i++) {
        const struct fw_service_call *c = &svc->calls[i];

        if (strcmp(c->method, method) == 0 && strlen(c->path) == len &&
            strncmp(c->path, path, len) == 0) {
            return c;
        }
    }
    return NULL;
}

/* Compares with all operators, so that the time doesn't depend on the key. */
const struct fw_operator *
Fw_Config_FindOperatorByKey(const struct fw_config *cfg, const char *key)
{
    char digest[FW_DIGEST_HEX_SIZE];
    const struct fw_operator *found = NULL;
    GHashTableIter it;
    void *value;

    if (!key) {
        return NULL;
    }
    Fw_Hash_KeyDigest(key, digest);
    g_hash_table_iter_init(&it, cfg->operators);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct fw_operator *op = value;

        if (Fw_Hash_DigestEqual(op->digest, digest) && !op->withdrawn) {
            found = op;
        }
    }
    return found;
}

int
Fw_Config_TeamAllowsModel(const struct fw_team *team, const char *model)
{
    for (int i = 0; i < team->n_models; i++) {
        if (strcmp(team->models[i], model) == 0) {
            return 1;
        }
    }
    return team->n_models == 0;
}

static int
serves_model(const struct fw_served_model *s, const char *model)
{
    size_t len = strlen(s->model);

    if (strncmp(s->model, model, len) != 0) {
        return 0;
    }
    if (s->adapter[0] == '\0') {
        return model[len] == '\0';
    }
    return model[len] == '+' && strcmp(model + len + 1, s->adapter) == 0;
}

int
Fw_Config_HasModel(const struct fw_config *cfg, const char *model)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, cfg->pools);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct fw_pool *pool = value;

        for (int i = 0; i < pool->n_serves; i++) {
            if (serves_model(&pool->serves[i], model)) {
                return 1;
            }
        }
    }
    return 0;
}
