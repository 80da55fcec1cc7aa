/*
 * evacuations-are-kept: an instance that accepts callers' keys doesn't use a
 * belief about an evacuation that was replaced longer ago than keys may be
 * stale, and never goes back to an older one, although records are read again,
 * late, from the store or from another instance, and history is lost.
 */
#include <string.h>

#include "explore/p_relay.h"
#include "explore/relay_fleet.h"

#define FW_RECORDS_MAX 2000
#define FW_DOMAIN "d0"
/* Records that an instance of the simulated fleet has read at its start. */
#define FW_RECORDS_AT_START 2

/** enum record_kind - what a record of the operator says. */
enum record_kind {
    FW_RECORD_CONFIG,
    FW_RECORD_EVACUATE,
    FW_RECORD_EVACUATION_ENDS,
};

/**
 * struct operator_log - the operator's records.
 * @kinds: by offset
 * @n: number of records
 * @changed_us: when the last record about an evacuation was written
 * @active: the domain is evacuated
 * @read_to: offset that each instance has read up to
 * @newest: offset of the newest record about an evacuation that each instance
 *     has applied, -1 for none
 */
struct operator_log {
    enum record_kind kinds[FW_RECORDS_MAX];
    int n;
    int64_t changed_us;
    int active;
    int read_to[FW_FLEET_MAX];
    int newest[FW_FLEET_MAX];
};

static void
append(struct fleet *fleet, struct operator_log *l, enum record_kind kind)
{
    if (l->n == FW_RECORDS_MAX) {
        return;
    }
    l->kinds[l->n++] = kind;
    if (kind != FW_RECORD_CONFIG) {
        l->active = kind == FW_RECORD_EVACUATE;
        l->changed_us = fleet->now_us;
        Fw_Run_Trace(fleet->run, "%d: %s", l->n - 1,
                     l->active ? "evacuated" : "taken back");
    }
}

static void
apply_record(struct fleet *fleet, struct operator_log *l, int i, int offset)
{
    struct fleet_instance *inst = &fleet->instances[i];
    int64_t now = Fw_RelayFleet_Now(fleet, i);

    if (l->kinds[offset] == FW_RECORD_CONFIG) {
        struct fw_rl_rules *r = Fw_Rules_New();

        r->version = offset + 1;
        Fw_Relay_SetRules(inst->relay, r, (uint64_t)offset, now, &inst->acts);
        Fw_Rules_Unref(r);
    }
    else {
        Fw_Relay_SetEvacuation(inst->relay, FW_DOMAIN,
                               l->kinds[offset] == FW_RECORD_EVACUATE,
                               (uint64_t)offset, now, &inst->acts);
        l->newest[i] = MAX(l->newest[i], offset);
    }
    g_array_set_size(inst->acts.all, 0);
}

/* Applies the newest record of each key before @end. */
static void
apply_listing(struct fleet *fleet, struct operator_log *l, int i, int end)
{
    struct fleet_instance *inst = &fleet->instances[i];
    int config = end - 1;
    int evacuation = end - 1;

    while (config >= 0 && l->kinds[config] != FW_RECORD_CONFIG) {
        config--;
    }
    while (evacuation >= 0 && l->kinds[evacuation] == FW_RECORD_CONFIG) {
        evacuation--;
    }
    if (config >= 0) {
        apply_record(fleet, l, i, config);
    }
    Fw_Relay_BeginEvacuationList(inst->relay);
    if (evacuation >= 0 && l->kinds[evacuation] == FW_RECORD_EVACUATE) {
        apply_record(fleet, l, i, evacuation);
    }
    Fw_Relay_EndEvacuationList(inst->relay, (uint64_t)end,
                               Fw_RelayFleet_Now(fleet, i), &inst->acts);
    l->newest[i] = MAX(l->newest[i], evacuation);
    g_array_set_size(inst->acts.all, 0);
}

/* Instance @i reads the records before @end. */
static void
read_records(struct fleet *fleet, struct operator_log *l, int i, int end)
{
    struct fw_relay *r = fleet->instances[i].relay;

    if (Fw_RelayFleet_RandBelow(fleet, 10) == 0 && l->read_to[i] > 0) {
        /* A stale read, of records that were read before. */
        int from = Fw_RelayFleet_RandBelow(fleet, l->read_to[i]);

        apply_listing(fleet, l, i, from + 1);
        apply_record(fleet, l, i, from);
    }
    if (end < l->read_to[i]) {
        return;
    }
    if (Fw_RelayFleet_RandBelow(fleet, 3) == 0) {
        apply_listing(fleet, l, i, end);
    }
    else {
        for (int k = l->read_to[i]; k < end; k++) {
            apply_record(fleet, l, i, k);
        }
    }
    l->read_to[i] = end;
    Fw_Relay_SetRulesOffset(r, (uint64_t)end);
}

static void
update(struct fleet *fleet, struct operator_log *l, int i)
{
    struct fw_relay *r = fleet->instances[i].relay;
    int64_t now = Fw_RelayFleet_Now(fleet, i);
    char addr[FW_URL_MAX];

    if (!Fw_RelayFleet_IsRunning(fleet, i) || fleet->instances[i].isolated) {
        return;
    }
    if (Fw_Relay_TakeRulesSource(r, addr)) {
        for (int k = 0; k < fleet->n; k++) {
            if (strcmp(fleet->instances[k].addr, addr) == 0) {
                read_records(fleet, l, i, l->read_to[k]);
            }
        }
    }
    if (Fw_Relay_ReadsStore(r, now) &&
        Fw_RelayFleet_RandBelow(fleet, 100) < 30) {
        read_records(fleet, l, i, l->n);
        Fw_Relay_SetFreshAsOf(r, now);
    }
}

static void
check(struct fleet *fleet, const struct operator_log *l, int i)
{
    const struct fw_relay *r = fleet->instances[i].relay;
    int belief = Fw_Evacuation_IsActive(r, FW_DOMAIN);
    int newest = l->newest[i];

    if (newest >= 0 && belief != (l->kinds[newest] == FW_RECORD_EVACUATE)) {
        Fw_Run_Fail(fleet->run, "%s went back to a record before %d",
                    fleet->instances[i].name, newest);
    }
    if (Fw_RelayFleet_IsRunning(fleet, i) &&
        Fw_Relay_AreKeysFresh(r, Fw_RelayFleet_Now(fleet, i)) &&
        belief != l->active &&
        fleet->now_us - l->changed_us > r->opts.key_stale_us) {
        Fw_Run_Fail(fleet->run, "%s serves by a record replaced %d ms ago",
                    fleet->instances[i].name,
                    (int)((fleet->now_us - l->changed_us) / FW_MSEC));
    }
}

/* The instance has the first configuration and has not read the store. */
static void
begin(struct fleet *fleet, struct operator_log *l, int i)
{
    l->read_to[i] = FW_RECORDS_AT_START;
    l->newest[i] = -1;
    fleet->instances[i].relay->rules_fresh_us = 0;
}

static void
restart(struct fleet *fleet, struct operator_log *l, int i)
{
    Fw_RelayFleet_Restart(fleet, i);
    begin(fleet, l, i);
    Fw_Run_Trace(fleet->run, "%s restarted", fleet->instances[i].name);
}

void
Fw_Explore_RelayEvacuation(struct fw_run *run)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct operator_log l = {0};
    struct fleet fleet;

    Fw_RelayFleet_Init(&fleet, run, 5 + g_rand_int_range(run->rand, 0, 15),
                       rules);
    fleet.delay_pct = 20;
    fleet.delay_max_us = 8 * FW_SEC;
    for (int i = 0; i < FW_RECORDS_AT_START; i++) {
        append(&fleet, &l, FW_RECORD_CONFIG);
    }
    for (int i = 0; i < fleet.n; i++) {
        begin(&fleet, &l, i);
    }
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        int i = Fw_RelayFleet_RandBelow(&fleet, fleet.n);

        Fw_RelayFleet_Advance(&fleet,
                              Fw_RelayFleet_RandBelow(&fleet, 100) * FW_MSEC);
        if (Fw_RelayFleet_RandBelow(&fleet, 40) == 0) {
            append(&fleet, &l,
                   (enum record_kind)Fw_RelayFleet_RandBelow(&fleet, 3));
        }
        if (Fw_RelayFleet_RandBelow(&fleet, 50) == 0) {
            fleet.instances[i].isolated = !fleet.instances[i].isolated;
        }
        if (Fw_RelayFleet_RandBelow(&fleet, 80) == 0) {
            fleet.instances[i].frozen_until_us =
                fleet.now_us + Fw_RelayFleet_RandBelow(&fleet, 9 * FW_SEC);
        }
        if (Fw_RelayFleet_RandBelow(&fleet, 80) == 0) {
            restart(&fleet, &l, i);
        }
        for (int k = 0; k < fleet.n; k++) {
            update(&fleet, &l, k);
            check(&fleet, &l, k);
        }
    }
    Fw_RelayFleet_Clear(&fleet);
    Fw_Rules_Unref(rules);
}
