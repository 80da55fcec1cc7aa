/*
 * freshness-is-true: an instance that accepts callers' keys doesn't use a
 * configuration that was replaced longer ago than keys may be stale, however
 * delayed or lost the answers of other instances are.
 */
#include "explore/p_relay.h"
#include "explore/relay_fleet.h"

/* Maximum number of configuration versions in a run. */
#define FW_VERSIONS_MAX 4000

/**
 * struct history - versions of the configuration in the store.
 * @at_us: when each version was replaced, by version
 * @n: the current version
 * @store_rejects: instances that the store rejects; other instances reach them
 */
struct history {
    int64_t at_us[FW_VERSIONS_MAX];
    int n;
    int store_rejects[FW_FLEET_MAX];
};

static void
read_store(struct fleet *f, int i, const struct history *h)
{
    struct fleet_site *s = &f->sites[i];
    int64_t now = Fw_RelayFleet_Now(f, i);
    struct fw_rl_rules *r = Fw_Rules_New();

    r->version = h->n;
    Fw_Relay_SetRules(s->relay, r, (uint64_t)h->n, now, &s->acts);
    Fw_Relay_SetFreshAsOf(s->relay, now);
    g_array_set_size(s->acts.all, 0);
    Fw_Rules_Unref(r);
}

static void
update_config(struct fleet *f, int i, const struct history *h)
{
    struct fw_relay *r = f->sites[i].relay;
    char addr[FW_URL_MAX];
    int must_read;

    if (!Fw_RelayFleet_IsRunning(f, i) || f->sites[i].isolated ||
        h->store_rejects[i]) {
        return;
    }
    must_read = Fw_Relay_ReadsStore(r, Fw_RelayFleet_Now(f, i));
    must_read |= Fw_Relay_TakeRulesSource(r, addr);
    if (must_read && Fw_RelayFleet_RandBelow(f, 100) < 30) {
        read_store(f, i, h);
    }
}

/* Checks the age of the keys if instance @i accepts them. */
static void
check_keys(struct fleet *f, int i, const struct history *h)
{
    struct fw_relay *r = f->sites[i].relay;
    int64_t version = r->rules->version;
    int64_t stale_us = r->opts.key_stale_us;

    if (!Fw_RelayFleet_IsRunning(f, i) ||
        !Fw_Relay_AreKeysFresh(r, Fw_RelayFleet_Now(f, i)) ||
        version >= h->n) {
        return;
    }
    if (f->now_us - h->at_us[version] > stale_us) {
        Fw_Run_Fail(f->run, "%s trusts keys of version %d, replaced %d ms ago",
                    f->sites[i].name, (int)version,
                    (int)((f->now_us - h->at_us[version]) / FW_MSEC));
    }
}

static void
explore(struct fw_run *run, int n_min, int n_extra)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct history h = {.n = 1};
    struct fleet f;

    rules->version = 1;
    Fw_RelayFleet_Init(&f, run,
                       n_min + g_rand_int_range(run->rand, 0, n_extra), rules);
    f.delay_pct = 20;
    f.delay_max_us = 8 * FW_SEC;
    h.at_us[0] = f.now_us;
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        int i = Fw_RelayFleet_RandBelow(&f, f.n);

        Fw_RelayFleet_Advance(&f, Fw_RelayFleet_RandBelow(&f, 100) * FW_MSEC);
        if (Fw_RelayFleet_RandBelow(&f, 40) == 0 && h.n < FW_VERSIONS_MAX) {
            h.at_us[h.n++] = f.now_us; /* replaces the current version */
            Fw_Run_Trace(run, "version %d", h.n);
        }
        if (Fw_RelayFleet_RandBelow(&f, 50) == 0) {
            f.sites[i].isolated = !f.sites[i].isolated;
        }
        if (Fw_RelayFleet_RandBelow(&f, 30) == 0) {
            h.store_rejects[i] = !h.store_rejects[i];
        }
        if (Fw_RelayFleet_RandBelow(&f, 80) == 0) {
            f.sites[i].frozen_until_us =
                f.now_us + Fw_RelayFleet_RandBelow(&f, 9 * FW_SEC);
        }
        for (int k = 0; k < f.n; k++) {
            update_config(&f, k, &h);
            check_keys(&f, k, &h);
        }
    }
    Fw_RelayFleet_Clear(&f);
    Fw_Rules_Unref(rules);
}

void
Fw_Explore_RelayFreshness(struct fw_run *run)
{
    explore(run, 5, 15);
}

/* A fleet in which most instances are leaves. */
void
Fw_Explore_RelayFreshnessHubs(struct fw_run *run)
{
    explore(run, 20, 20);
}
