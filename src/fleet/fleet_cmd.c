/* Discovery of members by the platform's list, and the graceful stop. */
#include <string.h>

#include "base/hash.h"
#include "fleet/fleet_internal.h"

/* Nonzero when @le is among the members of its region that this instance keeps
 * track of. The choice differs by instance, which spreads the load. */
static int
is_sampled(const struct fw_fleet *f, const struct fw_registry_snapshot *listed,
           const struct fw_registry_entry *le)
{
    uint64_t key = Fw_Hash_Str(f->self.name);
    uint64_t w = Fw_Hash_Weight(key, le->name);
    int above = 0;

    for (int i = 0; i < listed->n; i++) {
        const struct fw_registry_entry *o = &listed->entries[i];
        above += o->kind == FW_REGISTRY_INSTANCE && !o->draining &&
                 strcmp(o->region, le->region) == 0 &&
                 Fw_Hash_Weight(key, o->name) > w;
    }
    return above < FW_REMOTE_MEMBERS_MAX;
}

static void
apply_listed(struct fw_fleet *f, const struct fw_registry_snapshot *listed,
             const struct fw_registry_entry *le, int64_t now_us)
{
    struct fw_member_entry *e = Fw_Member_Find(f, le->name);

    if (!e && !le->draining &&
        (strcmp(le->region, f->self.region) == 0 ||
         is_sampled(f, listed, le))) {
        e = Fw_Member_Add(f, le->name, le->addr, le->domain, le->region);
        e->next_ping_us = now_us;
    }
    if (!e || e == f->self_entry) {
        return;
    }
    e->listed = 1;
    /* A dead instance may have been restarted at another address. */
    if (e->m.state == FW_MEMBER_DEAD && strcmp(e->m.addr, le->addr) != 0) {
        g_strlcpy(e->m.addr, le->addr, sizeof(e->m.addr));
        e->next_ping_us = now_us;
    }
}

void
Fw_Fleet_OnListed(struct fw_fleet *f,
                  const struct fw_registry_snapshot *listed, int64_t now_us,
                  struct fw_actions *out)
{
    GHashTableIter it;
    gpointer value;

    if (listed->err) {
        return;
    }
    g_hash_table_iter_init(&it, f->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ((struct fw_member_entry *)value)->listed = 0;
    }
    for (int i = 0; i < listed->n; i++) {
        if (listed->entries[i].kind == FW_REGISTRY_INSTANCE) {
            apply_listed(f, listed, &listed->entries[i], now_us);
        }
    }
    Fw_Actions_Wake(out, now_us);
}

void
Fw_Fleet_Drain(struct fw_fleet *f, int64_t now_us, struct fw_actions *out)
{
    GPtrArray *all;

    if (f->self_entry->m.state == FW_MEMBER_LEAVING) {
        return;
    }
    f->self_entry->m.incarnation++;
    Fw_Member_SetState(f, f->self_entry, FW_MEMBER_LEAVING, now_us, out);
    /* Pings all members, as they send requests here until they know. */
    all = Fw_Fleet_Members(f);
    for (guint i = 0; i < all->len; i++) {
        const struct fw_member *m = g_ptr_array_index(all, i);
        if (m != &f->self_entry->m) {
            Fw_Probe_Ping(f, Fw_Member_Find(f, m->name), ++f->seq, out);
        }
    }
    g_ptr_array_unref(all);
}
