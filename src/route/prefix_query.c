#include "base/hash.h"
#include "route/policy.h"

#define FW_PREFIX_MIN_BYTES 1024
#define FW_BYTES_PER_TOKEN 4 /* a rough average */

void
Fw_Prefix_Hash(GBytes *prompt, struct fw_prefixes *p)
{
    gsize len = 0;
    const void *data = prompt ? g_bytes_get_data(prompt, &len) : NULL;
    gsize want = FW_PREFIX_MIN_BYTES;

    p->n = 0;
    while (p->n < FW_PREFIX_LEVELS && want <= len) {
        p->hash[p->n++] = (uint32_t)Fw_Hash_Bytes(data, want, 0);
        want *= 2;
    }
}

int64_t
Fw_Prefix_LevelTokens(int level)
{
    return (FW_PREFIX_MIN_BYTES / FW_BYTES_PER_TOKEN) << level;
}

static int
contains(const struct fw_prefix_table *t, uint64_t engine, uint64_t prefix)
{
    uint64_t key = Fw_Hash_Bytes(&prefix, sizeof(prefix), engine);
    const uint64_t *set = t->key[key % FW_PREFIX_SETS];

    for (int i = 0; i < FW_PREFIX_WAYS; i++) {
        if (set[i] == key) {
            return 1;
        }
    }
    return 0;
}

int64_t
Fw_Prefix_CachedTokens(const struct fw_prefix_table *t, uint64_t engine,
                       const struct fw_prefixes *p)
{
    for (int i = p->n - 1; i >= 0; i--) {
        if (contains(t, engine, p->hash[i])) {
            return Fw_Prefix_LevelTokens(i);
        }
    }
    return 0;
}
