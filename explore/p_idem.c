/*
 * at-most-once: whatever fails, no order takes effect twice.
 * not-run-is-true: no call whose caller was told "not run" is ever sent.
 *
 * Both also find an instance that never answers a caller.
 */
#include "explore/p_idem.h"

#include <string.h>

#include "explore/p_idem_env.h"

#define KEYS 6
#define HEAL_US (30 * FW_SEC)

static gint32
below(struct fw_run *run, gint32 n)
{
    return g_rand_int_range(run->rand, 0, n);
}

/* Keys are used again and again, and again after their records are gone. */
static void
open_one(struct fw_run *run, struct fw_idem_env *b, int step)
{
    int site = below(run, b->n);
    int key = MAX(step / 8 - below(run, KEYS), 0);
    char name[FW_ID_MAX];

    if (below(run, 12) == 0) {
        key = below(run, step / 8 + 1);
    }
    g_snprintf(name, sizeof(name), "order-%d%s", key, key % 3 ? "@0" : "");
    Fw_Run_Trace(run, "%8.3f call %u at %d key %s", (double)b->now_us / FW_SEC,
                 b->tries->len + 1, site, name);
    Fw_IdemEnv_Open(b, site, name, below(run, 20) ? "buy" : "sell");
}

static void
log_fault(struct fw_run *run, struct fw_idem_env *b)
{
    static const char *const names[] = {"down", "lose", "drop",
                                        "late", "slow", "retain"};
    int what = b->log.down ? 0 : below(run, G_N_ELEMENTS(names));

    switch (what) {
    case 0:
        b->log.down = !b->log.down;
        break;
    case 1:
        b->log.lose = 1 + below(run, 3);
        break;
    case 2:
        b->log.drop = 1 + below(run, 3);
        break;
    case 3:
        b->log.late = 1 + below(run, 2);
        break;
    case 4:
        b->log.slow_us = MAX(below(run, 6) - 3, 0) * 700 * FW_MSEC;
        break;
    default:
        b->log.retain = 4 + below(run, 200);
        break;
    }
    Fw_Run_Trace(run, "%8.3f log %s", (double)b->now_us / FW_SEC, names[what]);
}

static void
site_fault(struct fw_run *run, struct fw_idem_env *b)
{
    static const char *const names[] = {"kill or start", "pause", "cut"};
    int site = below(run, b->n);
    int what = below(run, G_N_ELEMENTS(names));
    struct fw_idem_env_instance *s = &b->sites[site];

    Fw_Run_Trace(run, "%8.3f instance %d: %s", (double)b->now_us / FW_SEC,
                 site, names[what]);
    switch (what) {
    case 0:
        if (s->up) {
            Fw_IdemEnv_Kill(b, site);
        }
        else {
            Fw_IdemEnv_Start(b, site);
        }
        break;
    case 1:
        s->paused_us = b->now_us + below(run, 15) * FW_SEC;
        break;
    default:
        s->cut = !s->cut;
        break;
    }
}

static void
heal(struct fw_run *run, struct fw_idem_env *b)
{
    b->log.down = 0;
    b->log.slow_us = 0;
    b->log.lose = 0;
    b->log.drop = 0;
    b->log.late = 0;
    for (int i = 0; i < b->n; i++) {
        b->sites[i].cut = 0;
    }
    Fw_IdemEnv_Advance(b, HEAL_US);
    for (guint i = 0; i < b->tries->len && !b->breach[0]; i++) {
        const struct fw_idem_env_try *t = g_ptr_array_index(b->tries, i);
        const struct fw_idem_env_instance *s = &b->sites[t->site];

        if (!t->answered && s->up && s->self.boot == t->boot) {
            Fw_Run_Breach(run, "call %u was never answered", i + 1);
        }
    }
}

/* @log_faults: how many of twenty steps trouble the log. */
static void
explore(struct fw_run *run, int log_faults)
{
    struct fw_idem_env b;

    Fw_IdemEnv_Init(&b, FW_IDEM_ENV_INSTANCES, run->trace);
    for (int step = 0; step < run->steps && !b.breach[0]; step++) {
        int what = below(run, 20);

        b.service = (enum fw_idem_env_service)(
            below(run, 10) < 7 ? FW_IDEM_ENV_SERVICE_ANSWERS
                               : 1 + below(run, 2));
        if (what < 12) {
            open_one(run, &b, step);
        }
        else if (what < 12 + log_faults) {
            log_fault(run, &b);
        }
        else if (what < 14 + log_faults) {
            site_fault(run, &b);
        }
        Fw_IdemEnv_Advance(&b, below(run, 8) ? below(run, 60) * FW_MSEC
                                             : below(run, 6) * FW_SEC);
    }
    if (!b.breach[0]) {
        heal(run, &b);
    }
    if (b.breach[0]) {
        Fw_Run_Breach(run, "%s", b.breach);
    }
    Fw_IdemEnv_Clear(&b);
}

void
Fw_Explore_AtMostOnce(struct fw_run *run)
{
    explore(run, 2);
}

void
Fw_Explore_NotRun(struct fw_run *run)
{
    explore(run, 5);
}
