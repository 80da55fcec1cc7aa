/*
 * Member table. States are changed by Fw_Member_SetState only, which keeps
 * metrics, log and the candidates of Fw_Fleet_Pick consistent with them.
 */
#include "fleet/fleet.h"

#include <string.h>
#include <syslog.h>

#include "fleet/fleet_internal.h"

static void
add_metrics(struct fw_fleet *f, struct fw_metrics *metrics)
{
    f->alive = (struct fw_metric){
        .name = "fw_fleet_members",
        .help = "instances of this region that may be chosen",
        .is_gauge = 1,
    };
    f->suspicions = (struct fw_metric){
        .name = "fw_fleet_suspicions_total",
        .help = "instances that fell silent here",
    };
    f->deaths = (struct fw_metric){
        .name = "fw_fleet_deaths_total",
        .help = "instances believed dead after a suspicion",
    };
    f->refutations = (struct fw_metric){
        .name = "fw_fleet_refutations_total",
        .help = "wrong suspicions of this instance that it refuted",
    };
    f->sent = (struct fw_metric){
        .name = "fw_fleet_messages_total",
        .help = "membership messages sent",
    };
    if (metrics) {
        Fw_Metrics_Add(metrics, &f->alive);
        Fw_Metrics_Add(metrics, &f->suspicions);
        Fw_Metrics_Add(metrics, &f->deaths);
        Fw_Metrics_Add(metrics, &f->refutations);
        Fw_Metrics_Add(metrics, &f->sent);
    }
}

struct fw_fleet *
Fw_Fleet_New(const struct fw_self *self, uint32_t seed,
             struct fw_metrics *metrics)
{
    struct fw_fleet *f = g_new0(struct fw_fleet, 1);

    f->self = *self;
    f->rand = g_rand_new_with_seed(seed);
    f->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    f->candidates = g_ptr_array_new();
    f->probe_order = g_ptr_array_new_with_free_func(g_free);
    add_metrics(f, metrics);
    f->self_entry =
        Fw_Member_Add(f, self->name, self->addr, self->domain, self->region);
    f->self_entry->m.boot = self->boot;
    f->self_entry->m.state = FW_MEMBER_ALIVE;
    Fw_Member_RebuildCandidates(f);
    return f;
}

void
Fw_Fleet_Free(struct fw_fleet *f)
{
    g_rand_free(f->rand);
    g_ptr_array_unref(f->candidates);
    g_ptr_array_unref(f->probe_order);
    g_hash_table_unref(f->entries);
    g_free(f);
}

struct fw_member_entry *
Fw_Member_Find(const struct fw_fleet *f, const char *name)
{
    return g_hash_table_lookup(f->entries, name);
}

struct fw_member_entry *
Fw_Member_Add(struct fw_fleet *f, const char *name, const char *addr,
              const char *domain, const char *region)
{
    struct fw_member_entry *e = g_new0(struct fw_member_entry, 1);

    g_strlcpy(e->m.name, name, sizeof(e->m.name));
    g_strlcpy(e->m.addr, addr, sizeof(e->m.addr));
    g_strlcpy(e->m.domain, domain, sizeof(e->m.domain));
    g_strlcpy(e->m.region, region, sizeof(e->m.region));
    e->m.state = FW_MEMBER_DEAD;
    e->backoff_us = FW_PROBE_PERIOD_US;
    g_hash_table_insert(f->entries, e->m.name, e);
    return e;
}

/* Makes the order of the candidates independent of that of the hash table. */
static gint
compare_names(gconstpointer a, gconstpointer b)
{
    const struct fw_member *const *x = a;
    const struct fw_member *const *y = b;

    return strcmp((*x)->name, (*y)->name);
}

void
Fw_Member_RebuildCandidates(struct fw_fleet *f)
{
    GHashTableIter it;
    gpointer value;

    g_ptr_array_set_size(f->candidates, 0);
    g_hash_table_iter_init(&it, f->entries);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_member_entry *e = value;
        if (e->m.state <= FW_MEMBER_SUSPECT &&
            strcmp(e->m.region, f->self.region) == 0) {
            g_ptr_array_add(f->candidates, &e->m);
        }
    }
    g_ptr_array_sort(f->candidates, compare_names);
    f->alive.value = f->candidates->len;
}

static const char *
state_name(enum fw_member_state s)
{
    static const char *const names[] = {"alive", "suspect", "leaving", "dead"};

    return names[s];
}

void
Fw_Member_SetState(struct fw_fleet *f, struct fw_member_entry *e,
                   enum fw_member_state state, int64_t now_us,
                   struct fw_actions *out)
{
    if (e->m.state != state) {
        Fw_Actions_Note(out, state == FW_MEMBER_DEAD ? LOG_WARNING : LOG_INFO,
                        "member_state", "member", e->m.name, "was",
                        state_name(e->m.state), "is", state_name(state), NULL);
        e->m.changed_us = now_us;
    }
    e->m.state = state;
    e->suspect_until_us = 0;
    if (state == FW_MEMBER_SUSPECT) {
        e->suspect_until_us = now_us + FW_SUSPECT_TIMEOUT_US;
        f->suspicions.value++;
    }
    if (state == FW_MEMBER_DEAD) {
        e->backoff_us = FW_PROBE_PERIOD_US;
        e->next_ping_us = now_us + e->backoff_us;
        f->deaths.value++;
    }
    Fw_Member_RebuildCandidates(f);
}
