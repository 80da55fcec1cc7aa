#include <errno.h>

#include "bench/load/load.h"
#include "io/fetch.h"

#define FW_CONNS_MAX 4000

int
Fw_Loadgen_Run(const struct fw_experiment *e, uint32_t seed,
               const char *fleet_file, struct fw_loadgen_stats *stats)
{
    GString *err = g_string_new(NULL);
    struct fw_loadgen_fleet *f = Fw_LoadgenFleet_Read(fleet_file, err);
    SoupSession *session = Fw_Fetch_NewSession(FW_CONNS_MAX, FW_CONNS_MAX);
    char *keys[FW_LOADGEN_TEAMS] = {NULL};
    int rc = f ? 0 : -EINVAL;
    GArray *schedule;

    if (rc) {
        g_printerr("fwload: %s\n", err->str);
    }
    else {
        rc = Fw_LoadgenTeams_Apply(e, f, session, keys);
    }
    if (rc == 0) {
        g_usleep((gulong)e->settle_s * FW_SEC);
        schedule = Fw_Loadgen_BuildSchedule(e, seed);
        Fw_Loadgen_Send(e, f, session, keys, schedule, stats);
        Fw_LoadgenStats_AddRequests(e, schedule, stats);
        Fw_LoadgenStats_AddJournals(f, session, schedule, stats);
        g_array_unref(schedule);
    }
    for (int i = 0; i < FW_LOADGEN_TEAMS; i++) {
        g_free(keys[i]);
    }
    g_object_unref(session);
    if (f) {
        Fw_LoadgenFleet_Free(f);
    }
    g_string_free(err, TRUE);
    return rc;
}
