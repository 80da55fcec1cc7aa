/* The platform's store of the property about kills of all instances. */
#include <errno.h>

#include "explore/p_relay.h"
#include "explore/relay_crash_env.h"

/* How often it goes away, and for how long at most. */
#define FW_AWAY_PERMILLE 2
#define FW_AWAY_MAX_US (2 * FW_SEC)
#define FW_KILLS_MAX 3
/* Time for which the store was there before a kill. */
#define FW_WRITTEN_US (1 * FW_SEC)
/* Time between two kills, and between instances of a rolling one. */
#define FW_KILL_MIN_US (3 * FW_SEC)
#define FW_KILL_SPREAD_US (4 * FW_SEC)
#define FW_ROLLING_GAP_US (100 * FW_MSEC)

/**
 * struct crash_store - records, in the time of the run.
 * @records: struct fw_rl_crash_record, the newest of each key
 * @must_read: instances that have to read them
 * @away_until_us: it answers nobody until then
 * @next_kill_us: 0 before the first
 * @rolling: instance that is killed next in a rolling kill, -1 for none
 */
struct crash_store {
    GArray *records;
    int must_read[FW_FLEET_MAX];
    int64_t away_until_us;
    int64_t next_kill_us;
    int n_kills;
    int rolling;
};

struct crash_store *
Fw_CrashRecords_New(void)
{
    struct crash_store *s = g_new0(struct crash_store, 1);

    s->records = g_array_new(FALSE, FALSE, sizeof(struct fw_rl_crash_record));
    s->rolling = -1;
    return s;
}

void
Fw_CrashRecords_Free(struct crash_store *s)
{
    if (s) {
        g_array_unref(s->records);
        g_free(s);
    }
}

static int
is_away(const struct crash_env *env)
{
    return env->fleet.now_us < env->store->away_until_us;
}

static void
read_records(struct crash_env *env, int i)
{
    struct fw_relay *r = env->fleet.instances[i].relay;
    int64_t now = Fw_RelayFleet_Now(&env->fleet, i);

    env->store->must_read[i] = 0;
    Fw_Relay_BeginCrashRecords(r);
    for (guint k = 0; k < env->store->records->len; k++) {
        struct fw_rl_crash_record rec =
            g_array_index(env->store->records, struct fw_rl_crash_record, k);

        rec.at_us += now - env->fleet.now_us;
        Fw_Relay_NoteCrashRecord(r, &rec);
    }
    Fw_Relay_EndMemberList(r, now);
}

static void
put(struct crash_env *env, int i, struct fw_rl_crash_record rec)
{
    GArray *all = env->store->records;

    rec.at_us += env->fleet.now_us - Fw_RelayFleet_Now(&env->fleet, i);
    for (guint k = 0; k < all->len; k++) {
        const struct fw_rl_crash_record *old =
            &g_array_index(all, struct fw_rl_crash_record, k);

        if (old->key == rec.key && old->kind == rec.kind) {
            g_array_remove_index(all, k);
            break;
        }
    }
    if (!rec.is_deleted) {
        g_array_append_val(all, rec);
    }
}

static void
serve(struct crash_env *env, int i)
{
    struct fw_relay *r = env->fleet.instances[i].relay;
    int64_t now = Fw_RelayFleet_Now(&env->fleet, i);
    struct fw_rl_crash_record rec;
    int rc = Fw_Relay_DueCrashRecord(r, now, &rec);

    if (rc > 0) {
        put(env, i, rec);
    }
    if (rc || env->store->must_read[i]) {
        read_records(env, i);
    }
}

void
Fw_CrashRecords_Advance(struct crash_env *env)
{
    struct fleet *fleet = &env->fleet;

    if (!is_away(env) &&
        Fw_RelayFleet_RandBelow(fleet, 1000) < FW_AWAY_PERMILLE) {
        env->store->away_until_us =
            fleet->now_us + Fw_RelayFleet_RandBelow(fleet, FW_AWAY_MAX_US);
    }
    for (int i = 0; i < fleet->n && !is_away(env); i++) {
        if (Fw_RelayFleet_IsRunning(fleet, i)) {
            serve(env, i);
        }
    }
}

void
Fw_CrashRecords_Start(struct crash_env *env, int i)
{
    env->store->must_read[i] = 1;
    if (!is_away(env)) {
        read_records(env, i);
    }
}

/* Whether all culprits are known, and there was time to write it down. */
static int
is_known(const struct crash_env *env)
{
    int64_t since_us = env->store->away_until_us;

    for (int b = 0; b < env->n_culprits; b++) {
        if (!env->culprits[b].bound_us) {
            return 0;
        }
        since_us = MAX(since_us, env->culprits[b].bound_us);
    }
    return env->fleet.now_us >= since_us + FW_WRITTEN_US;
}

static void
begin_kill(struct crash_env *env, void (*restart)(struct crash_env *, int))
{
    struct crash_store *s = env->store;

    Fw_Run_Trace(env->fleet.run, "kill of all at %d ms",
                 (int)((env->fleet.now_us - env->start_us) / FW_MSEC));
    s->n_kills++;
    s->next_kill_us = env->fleet.now_us + FW_KILL_MIN_US +
                      Fw_RelayFleet_RandBelow(&env->fleet, FW_KILL_SPREAD_US);
    if (Fw_RelayFleet_RandBelow(&env->fleet, 3) == 0) {
        s->rolling = 0;
        return;
    }
    for (int i = 0; i < env->fleet.n; i++) {
        restart(env, i);
    }
}

void
Fw_CrashRecords_KillInstances(struct crash_env *env,
                              void (*restart)(struct crash_env *, int))
{
    struct crash_store *s = env->store;

    if (s->rolling >= 0) {
        restart(env, s->rolling++);
        s->rolling = s->rolling < env->fleet.n ? s->rolling : -1;
    }
    else if (s->n_kills < FW_KILLS_MAX && is_known(env) &&
             env->fleet.now_us >= s->next_kill_us) {
        begin_kill(env, restart);
    }
}
