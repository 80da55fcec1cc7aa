#include <string.h>

#include "route/router.h"

int
Fw_Usable_Check(const struct fw_engine *e, const struct fw_upstream *u,
                const char *const *avoid, int64_t now_us)
{
    if (!u || u->drained || Fw_Engine_IsLeaving(e, now_us)) {
        return 0;
    }
    return !avoid || !g_strv_contains(avoid, u->name);
}

int
Fw_Usable_InAvoidedDomain(const struct fw_config *cfg,
                          const char *const *avoid, const char *domain)
{
    for (int i = 0; avoid && avoid[i]; i++) {
        const struct fw_upstream *u =
            g_hash_table_lookup(cfg->upstreams, avoid[i]);

        if (u && strcmp(u->domain, domain) == 0) {
            return 1;
        }
    }
    return 0;
}
