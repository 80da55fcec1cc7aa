#include "route/policy.h"

#include <string.h>

/* For decode engines without configured links, and within a failure domain:
 * 10 Gbit/s. */
#define FW_LINK_DEFAULT_BYTES_PER_S 1250000000LL
/* For domains missing from the configured links; makes them a last resort. */
#define FW_LINK_FALLBACK_BYTES_PER_S 50000000LL

int64_t
Fw_Cost_PrefillUs(int64_t tokens, int64_t cached, int64_t rate)
{
    if (rate <= 0) {
        return 0;
    }
    return MAX(tokens - cached, 1) * FW_SEC / rate;
}

int64_t
Fw_Cost_LinkRate(const struct fw_upstream *decode, const char *domain)
{
    for (int i = 0; i < decode->n_links; i++) {
        if (strcmp(decode->links[i].domain, domain) == 0 &&
            decode->links[i].bytes_per_s > 0) {
            return decode->links[i].bytes_per_s;
        }
    }
    if (decode->n_links == 0 || strcmp(decode->domain, domain) == 0) {
        return FW_LINK_DEFAULT_BYTES_PER_S;
    }
    return FW_LINK_FALLBACK_BYTES_PER_S;
}

int64_t
Fw_Cost_TransferUs(int64_t tokens, int64_t kv_bytes, int64_t rate)
{
    return (int64_t)((double)tokens * (double)kv_bytes * (double)FW_SEC /
                     (double)rate);
}
