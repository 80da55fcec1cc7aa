/* Queries of the member table by other subsystems. */
#include <string.h>

#include "base/hash.h"
#include "fleet/fleet_internal.h"

const struct fw_member *
Fw_Fleet_Pick(const struct fw_fleet *f, uint64_t key, int rank)
{
    const struct fw_member *best = NULL;
    uint64_t below = UINT64_MAX;

    /* One pass for each rank: ranks are small. */
    for (int r = 0; r <= rank; r++) {
        uint64_t top = 0;
        best = NULL;
        for (guint i = 0; i < f->candidates->len; i++) {
            const struct fw_member *m = g_ptr_array_index(f->candidates, i);
            uint64_t w = Fw_Hash_Weight(key, m->name);
            if (w < below && w >= top) {
                top = w;
                best = m;
            }
        }
        if (!best) {
            return NULL;
        }
        below = top;
    }
    return best;
}

const struct fw_member *
Fw_Fleet_Find(const struct fw_fleet *f, const char *name)
{
    const struct fw_member_entry *e = Fw_Member_Find(f, name);

    return e ? &e->m : NULL;
}

int
Fw_Fleet_IsSelf(const struct fw_fleet *f, const struct fw_member *m)
{
    return m == &f->self_entry->m;
}

GPtrArray *
Fw_Fleet_Members(const struct fw_fleet *f)
{
    GPtrArray *all = g_ptr_array_new();
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, f->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_member_entry *e = value;
        if (e->m.state != FW_MEMBER_DEAD) {
            g_ptr_array_add(all, &e->m);
        }
    }
    return all;
}
