#include <stdio.h>
#include <string.h>

#include "base/hash.h"
#include "route/router.h"

/* Nonzero if @s serves @model, which is "name" or "name+adapter". */
static int
serves_model(const struct fw_served_model *s, const char *model)
{
    size_t n = strlen(s->model);

    if (strncmp(s->model, model, n) != 0) {
        return 0;
    }
    return model[n] == '\0' ||
           (model[n] == '+' && strcmp(model + n + 1, s->adapter) == 0);
}

static uint64_t
hash_serving(const struct fw_served_model *s, int with_adapter)
{
    char ref[3 * FW_NAME_MAX];

    if (with_adapter) {
        (void)snprintf(ref, sizeof(ref), "%s@%s+%s", s->model, s->version,
                       s->adapter);
    }
    else {
        (void)snprintf(ref, sizeof(ref), "%s@%s", s->model, s->version);
    }
    return (uint32_t)Fw_Hash_Str(ref);
}

int
Fw_Serving_Offers(const struct fw_router *r, const struct fw_config *cfg,
                  const char *model, struct fw_offer offers[FW_OFFERS_MAX])
{
    int with_adapter = strchr(model, '+') != NULL;
    GHashTableIter it;
    gpointer val;
    int n = 0;

    g_hash_table_iter_init(&it, cfg->pools);
    while (g_hash_table_iter_next(&it, NULL, &val)) {
        const struct fw_pool *pool = val;

        for (int i = pool->n_serves - 1; i >= 0 && n < FW_OFFERS_MAX; i--) {
            if (!serves_model(&pool->serves[i], model)) {
                continue;
            }
            offers[n] = (struct fw_offer){
                .pool = pool,
                .index = Fw_Index_Pool(r, pool->name),
                .serving = hash_serving(&pool->serves[i], with_adapter),
            };
            n += offers[n].index != NULL;
        }
    }
    return n;
}
