/*
 * Runs several policies with the same arrivals. The runs are interleaved so
 * that other load on the machine affects all policies alike.
 */
#include <errno.h>
#include <string.h>

#include "bench/load/load.h"

static int
run_tool(char **argv)
{
    GError *err = NULL;
    char *out = NULL;
    char *errors = NULL;
    int status = 0;

    if (!g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, &out,
                      &errors, &status, &err)) {
        g_printerr("fwload: %s: %s\n", argv[0], err->message);
        g_error_free(err);
        return -EIO;
    }
    if (status != 0) {
        g_printerr("%s", errors);
    }
    g_free(out);
    g_free(errors);
    return status == 0 ? 0 : -EIO;
}

static int
start_fleet(const struct fw_experiment *e, const char *policy, const char *dir,
            uint32_t seed)
{
    char *stand_options =
        g_strdup_printf("--domains %d %s", e->domains, e->stand_options);
    char num[5][16];
    int values[] = {e->instances, e->prefill_engines, e->decode_engines,
                    e->service_servers, (int)seed};
    char *argv[] = {"tools/fleet", "up",           "--dir",      (char *)dir,
                    "--policy",    (char *)policy, "--stand",    stand_options,
                    "--instances", num[0],         "--prefill",  num[1],
                    "--decode",    num[2],         "--services", num[3],
                    "--seed",      num[4],         NULL};
    int rc;

    for (int i = 0; i < 5; i++) {
        g_snprintf(num[i], sizeof(num[i]), "%d", values[i]);
    }
    rc = run_tool(argv);
    g_free(stand_options);
    return rc;
}

static int
run_policy(const struct fw_experiment *e, const struct fw_comparison *c,
           int policy, int repeat, struct fw_loadgen_stats *stats)
{
    uint32_t seed = e->seed + (uint32_t)repeat;
    char *dir = g_strdup_printf("%s/%s-%d", c->dir, c->policy[policy], repeat);
    char *file = g_build_filename(dir, "fleet.json", NULL);
    char *down[] = {"tools/fleet", "down", "--dir", dir, NULL};
    int rc = start_fleet(e, c->policy[policy], dir, seed);

    if (rc == 0) {
        rc = Fw_Loadgen_Run(e, seed, file, stats);
        /* tools/fleet down fails if an instance was killed. */
        if (run_tool(down) && e->fault != FW_LOADGEN_FAULT_KILL && rc == 0) {
            rc = -EIO;
        }
    }
    g_free(file);
    g_free(dir);
    return rc;
}

int
Fw_Comparison_Run(const struct fw_experiment *e, struct fw_comparison *c)
{
    c->stats = g_new0(struct fw_loadgen_stats, c->repeats * c->n_policies);
    for (int r = 0; r < c->repeats; r++) {
        for (int i = 0; i < c->n_policies; i++) {
            /* Each repeat starts with another policy. */
            int p = (i + r) % c->n_policies;
            int rc = run_policy(e, c, p, r, &c->stats[r * c->n_policies + p]);

            if (rc) {
                g_printerr("fwload: %s, repeat %d: %s\n", c->policy[p], r,
                           g_strerror(-rc));
                return rc;
            }
        }
    }
    return 0;
}
