#include "explore/relay_crashes.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* An engine that has crashed is back after this time, and a random part. */
#define FW_DOWN_US (3 * FW_SEC)
#define FW_DOWN_SPREAD_US (2 * FW_SEC)
/* Its entry is removed after this time, and a random part. */
#define FW_UNLIST_US (2400 * FW_MSEC)
#define FW_UNLIST_SPREAD_US (1200 * FW_MSEC)

/* Every fourth engine keeps its id when it starts again. */
static int
keeps_id(int k)
{
    return k % 4 == 0;
}

static void
make_entry(int k, int lifetime, struct fw_rl_server_entry *out)
{
    *out = (struct fw_rl_server_entry){.slots = 1000,
                                       .born_ms = lifetime + 1,
                                       .stage = k < FW_DECODE_ENGINES
                                                    ? FW_RL_STAGE_DECODE
                                                    : FW_RL_STAGE_PREFILL};
    out->id = Fw_Run_Name("e%d.%d", k, keeps_id(k) ? 0 : lifetime);
    g_snprintf(out->addr, sizeof(out->addr), "e%d", k);
    out->service = "llm";
    out->domain = k % 2 ? "odd" : "even";
}

/* Adds or removes the entry of one lifetime of the engine at an instance. */
static void
update_entry(struct fleet *fleet, int i, int k, int lifetime, int listed)
{
    struct fleet_instance *inst = &fleet->instances[i];
    struct fw_rl_server_entry e;

    make_entry(k, lifetime, &e);
    Fw_Relay_UpdateServer(inst->relay, e.id, listed ? &e : NULL,
                          Fw_RelayFleet_Now(fleet, i), &inst->acts);
}

void
Fw_CrashEngines_List(const struct crash_engines *e, struct fleet *fleet, int i)
{
    for (int k = 0; k < FW_ENGINES; k++) {
        if (e->engines[k].is_up) {
            update_entry(fleet, i, k, e->engines[k].lifetime, 1);
        }
    }
}

void
Fw_CrashEngines_Init(struct crash_engines *e, struct fleet *fleet)
{
    e->calls = g_array_new(FALSE, FALSE, sizeof(struct relay_call));
    for (int k = 0; k < FW_ENGINES; k++) {
        e->engines[k].is_up = 1;
    }
    for (int i = 0; i < fleet->n; i++) {
        Fw_CrashEngines_List(e, fleet, i);
    }
}

void
Fw_CrashEngines_Clear(struct crash_engines *e)
{
    g_array_unref(e->calls);
}

int
Fw_CrashEngines_Find(const struct fw_rl_upstream_call *call)
{
    int k;

    g_assert(sscanf(call->addr, "e%d", &k) == 1 && k < FW_ENGINES);
    return k;
}

int
Fw_CrashEngines_Accepts(const struct crash_engines *e,
                        const struct fw_rl_upstream_call *call)
{
    int k = Fw_CrashEngines_Find(call);
    struct fw_rl_server_entry entry;

    make_entry(k, e->engines[k].lifetime, &entry);
    return e->engines[k].is_up && strcmp(entry.id, call->server) == 0;
}

void
Fw_CrashEngines_Reset(struct crash_engines *e, struct fleet *fleet, int k)
{
    GArray *calls = e->calls;

    e->calls = g_array_new(FALSE, FALSE, sizeof(struct relay_call));
    for (guint n = 0; n < calls->len; n++) {
        struct relay_call c = g_array_index(calls, struct relay_call, n);

        if (c.server != k || !c.has_arrived) {
            g_array_append_val(e->calls, c);
        }
        else if (c.boot == fleet->instances[c.instance].boot) {
            Fw_RelayCall_Fail(fleet, &c, -ECONNRESET, 1);
        }
    }
    g_array_unref(calls);
}

void
Fw_CrashEngines_Crash(struct crash_engines *e, struct fleet *fleet, int k)
{
    struct engine *engine = &e->engines[k];

    if (!engine->is_up) {
        return;
    }
    e->n_crashes++;
    engine->is_up = 0;
    engine->start_us = fleet->now_us + FW_DOWN_US +
                       Fw_RelayFleet_RandBelow(fleet, FW_DOWN_SPREAD_US);
    engine->unlist_us = fleet->now_us + FW_UNLIST_US +
                        Fw_RelayFleet_RandBelow(fleet, FW_UNLIST_SPREAD_US);
    Fw_CrashEngines_Reset(e, fleet, k);
}

static void
unlist(struct engine *engine, struct fleet *fleet, int k)
{
    for (int i = 0; i < fleet->n; i++) {
        update_entry(fleet, i, k, engine->lifetime, 0);
    }
    engine->unlist_us = 0;
}

void
Fw_CrashEngines_Advance(struct crash_engines *e, struct fleet *fleet)
{
    for (int k = 0; k < FW_ENGINES; k++) {
        struct engine *engine = &e->engines[k];

        if (engine->unlist_us && fleet->now_us >= engine->unlist_us) {
            unlist(engine, fleet, k);
        }
        if (engine->is_up || fleet->now_us < engine->start_us) {
            continue;
        }
        if (engine->unlist_us && !keeps_id(k)) {
            unlist(engine, fleet, k);
        }
        engine->unlist_us = 0;
        engine->lifetime++;
        engine->is_up = 1;
        for (int i = 0; i < fleet->n; i++) {
            update_entry(fleet, i, k, engine->lifetime, 1);
        }
    }
}
