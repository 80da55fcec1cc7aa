#include "decide/server_limit.h"

#include <glib.h>

int
Fw_ServerLimit_Note(struct fw_server_limit *l, int64_t milli, int64_t now_us)
{
    if (milli > l->milli &&
        now_us - MAX(l->named_us, l->learned_us) < FW_LIMIT_WINDOW_US) {
        return 0;
    }
    if (milli != FW_NO_LIMIT) {
        l->named_us = now_us;
    }
    if (milli == l->milli) {
        return 0;
    }
    l->milli = milli;
    l->version++;
    return 1;
}

enum fw_limit_merge
Fw_ServerLimit_Merge(struct fw_server_limit *l, int64_t milli, int64_t version,
                     int64_t now_us)
{
    if (version == l->version && milli == l->milli) {
        return FW_LIMIT_UNCHANGED;
    }
    if (version < l->version || (version == l->version && milli > l->milli)) {
        return FW_LIMIT_OUTDATED;
    }
    if (milli > l->milli && l->named_us &&
        now_us - l->named_us < FW_LIMIT_WINDOW_US) {
        l->version = version + 1;
        return FW_LIMIT_OUTDATED;
    }
    l->version = version;
    if (milli == l->milli) {
        return FW_LIMIT_UNCHANGED;
    }
    l->milli = milli;
    l->learned_us = now_us;
    return FW_LIMIT_ADOPTED;
}

int
Fw_ServerLimit_Budget(int64_t milli)
{
    int64_t window_ms = FW_LIMIT_WINDOW_US / FW_MSEC;

    if (milli >= (int64_t)G_MAXUINT16 * 1000) {
        return G_MAXUINT16;
    }
    return (int)MAX(milli * window_ms / (1000LL * 1000), 1);
}

/* Whole batches are dealt out, the remainder to the first by rank. */
int
Fw_ServerLimit_Share(int budget, int instances, int rank, int batch)
{
    int batches = MAX(budget / batch, 1);
    int n = MAX(instances, 1);

    return (batches / n + (rank < batches % n)) * batch;
}
