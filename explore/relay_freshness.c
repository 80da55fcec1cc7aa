/*
 * freshness-is-true: an instance that accepts callers' keys doesn't use a
 * configuration that was replaced longer ago than keys may be stale, however
 * delayed or lost the answers of other instances are, and whether or not it
 * can use the newer one.
 */
#include "explore/p_relay.h"
#include "explore/relay_fleet.h"

/* Maximum number of configuration versions in a run. */
#define FW_VERSIONS_MAX 4000

/**
 * struct history - versions of the configuration in the store.
 * @replaced_us: when each version was replaced, by version
 * @unusable: versions that no instance can use
 * @version: the current version
 * @store_rejects: instances that the store rejects; other instances reach them
 */
struct history {
    int64_t replaced_us[FW_VERSIONS_MAX];
    int unusable[FW_VERSIONS_MAX + 1];
    int version;
    int store_rejects[FW_FLEET_MAX];
};

static void
read_store(struct fleet *fleet, int i, const struct history *h)
{
    struct fleet_instance *inst = &fleet->instances[i];
    int64_t now = Fw_RelayFleet_Now(fleet, i);
    struct fw_rl_rules *r = NULL;

    if (!h->unusable[h->version]) {
        r = Fw_Rules_New();
        r->version = h->version;
    }
    Fw_Relay_SetRules(inst->relay, r, (uint64_t)h->version, now, &inst->acts);
    Fw_Relay_SetFreshAsOf(inst->relay, now);
    g_array_set_size(inst->acts.all, 0);
    Fw_Rules_Unref(r);
}

static void
update_config(struct fleet *fleet, int i, const struct history *h)
{
    struct fw_relay *r = fleet->instances[i].relay;
    char addr[FW_URL_MAX];
    int must_read;

    if (!Fw_RelayFleet_IsRunning(fleet, i) || fleet->instances[i].isolated ||
        h->store_rejects[i]) {
        return;
    }
    must_read = Fw_Relay_ReadsStore(r, Fw_RelayFleet_Now(fleet, i));
    must_read |= Fw_Relay_TakeRulesSource(r, addr);
    if (must_read && Fw_RelayFleet_RandBelow(fleet, 100) < 30) {
        read_store(fleet, i, h);
    }
}

/* Checks the age of the keys if instance @i accepts them. */
static void
check_keys(struct fleet *fleet, int i, const struct history *h)
{
    struct fw_relay *r = fleet->instances[i].relay;
    int64_t version = r->rules->version;
    int64_t stale_us = r->opts.key_stale_us;

    if (!Fw_RelayFleet_IsRunning(fleet, i) ||
        !Fw_Relay_AreKeysFresh(r, Fw_RelayFleet_Now(fleet, i)) ||
        version >= h->version) {
        return;
    }
    if (fleet->now_us - h->replaced_us[version] > stale_us) {
        Fw_Run_Fail(
            fleet->run, "%s trusts keys of version %d, replaced %d ms ago",
            fleet->instances[i].name, (int)version,
            (int)((fleet->now_us - h->replaced_us[version]) / FW_MSEC));
    }
}

static void
explore(struct fw_run *run, int n_min, int n_extra)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct history h = {.version = 1};
    struct fleet fleet;

    rules->version = 1;
    Fw_RelayFleet_Init(&fleet, run,
                       n_min + g_rand_int_range(run->rand, 0, n_extra), rules);
    fleet.delay_pct = 20;
    fleet.delay_max_us = 8 * FW_SEC;
    h.replaced_us[0] = fleet.now_us;
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        int i = Fw_RelayFleet_RandBelow(&fleet, fleet.n);

        Fw_RelayFleet_Advance(&fleet,
                              Fw_RelayFleet_RandBelow(&fleet, 100) * FW_MSEC);
        if (Fw_RelayFleet_RandBelow(&fleet, 40) == 0 &&
            h.version < FW_VERSIONS_MAX) {
            h.replaced_us[h.version++] = fleet.now_us;
            h.unusable[h.version] = Fw_RelayFleet_RandBelow(&fleet, 10) == 0;
            Fw_Run_Trace(run, "version %d", h.version);
        }
        if (Fw_RelayFleet_RandBelow(&fleet, 50) == 0) {
            fleet.instances[i].isolated = !fleet.instances[i].isolated;
        }
        if (Fw_RelayFleet_RandBelow(&fleet, 30) == 0) {
            h.store_rejects[i] = !h.store_rejects[i];
        }
        if (Fw_RelayFleet_RandBelow(&fleet, 80) == 0) {
            fleet.instances[i].frozen_until_us =
                fleet.now_us + Fw_RelayFleet_RandBelow(&fleet, 9 * FW_SEC);
        }
        for (int k = 0; k < fleet.n; k++) {
            update_config(&fleet, k, &h);
            check_keys(&fleet, k, &h);
        }
    }
    Fw_RelayFleet_Clear(&fleet);
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
