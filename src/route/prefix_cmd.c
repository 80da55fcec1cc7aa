#include <string.h>

#include "base/hash.h"
#include "route/policy.h"

static uint64_t *
set_of(struct fw_prefix_table *t, uint64_t key)
{
    return t->key[key % FW_PREFIX_SETS];
}

void
Fw_Prefix_Remove(struct fw_prefix_table *t, uint64_t engine, uint64_t prefix)
{
    uint64_t key = Fw_Hash_Bytes(&prefix, sizeof(prefix), engine);
    uint64_t *set = set_of(t, key);

    for (int i = 0; i < FW_PREFIX_WAYS; i++) {
        if (set[i] == key) {
            memmove(&set[i], &set[i + 1],
                    sizeof(*set) * (size_t)(FW_PREFIX_WAYS - 1 - i));
            set[FW_PREFIX_WAYS - 1] = 0;
            return;
        }
    }
}

/* Sets are kept newest first; the last entry is evicted. */
void
Fw_Prefix_Add(struct fw_prefix_table *t, uint64_t engine, uint64_t prefix)
{
    uint64_t key = Fw_Hash_Bytes(&prefix, sizeof(prefix), engine);
    uint64_t *set = set_of(t, key);

    Fw_Prefix_Remove(t, engine, prefix);
    memmove(&set[1], &set[0], sizeof(*set) * (FW_PREFIX_WAYS - 1));
    set[0] = key;
}
