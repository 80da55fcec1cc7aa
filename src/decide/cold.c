#include "decide/cold.h"

#include <glib.h>
#include <math.h>

#include "core/types.h"

#define FW_SLOT_US (100 * FW_MSEC)
/*
 * Probability that more instances are selected for a server than its limit
 * allows.
 */
#define FW_OVERSELECTION_PROBABILITY 1e-4

/*
 * If the limit allows every instance @batch requests, all may use the server.
 * Otherwise each is selected with the same probability. With a mean of m
 * selected instances, more than k are selected with a probability of at most
 * m^(k+1) / (k+1)!, the union bound over all sets of k+1 instances.
 */
struct fw_cold_share
Fw_ColdShare_Get(double limit, int instances, int batch)
{
    int whole = (int)CLAMP(limit, 0, G_MAXUINT16);
    int n = MAX(instances, 1);
    struct fw_cold_share share = {.per_second = batch, .probability = 1.0};
    int k = whole / batch;

    if (whole >= n * batch) {
        share.per_second = whole / n;
        return share;
    }
    share.probability =
        k ? exp((log(FW_OVERSELECTION_PROBABILITY) + lgamma(k + 2)) /
                (k + 1)) /
                n
          : 0;
    share.probability = MIN(share.probability, 1.0);
    return share;
}

int
Fw_ColdShare_Includes(const struct fw_cold_share *share, uint64_t hash)
{
    return (double)hash < share->probability * (double)UINT64_MAX;
}

/* Age of the slot at index @i, in slots before that of @now. */
static int64_t
slots_ago(const struct fw_cold_window *w, int i, int64_t now)
{
    int64_t behind =
        (w->slot - i % FW_COLD_SLOTS + FW_COLD_SLOTS) % FW_COLD_SLOTS;

    return now - (w->slot - behind);
}

void
Fw_ColdWindow_NoteSent(struct fw_cold_window *w, int64_t now_us)
{
    int64_t now = MAX(now_us / FW_SLOT_US, w->slot);

    for (int i = 0; i < FW_COLD_SLOTS; i++) {
        if (slots_ago(w, i, now) >= FW_COLD_SLOTS) {
            w->sent[i] = 0;
        }
    }
    w->slot = now;
    if (w->sent[now % FW_COLD_SLOTS] < G_MAXUINT16) {
        w->sent[now % FW_COLD_SLOTS]++;
    }
}

int
Fw_ColdWindow_Count(const struct fw_cold_window *w, int64_t now_us)
{
    int64_t now = MAX(now_us / FW_SLOT_US, w->slot);
    int n = w->committed;

    for (int i = 0; i < FW_COLD_SLOTS; i++) {
        if (slots_ago(w, i, now) < FW_COLD_SLOTS) {
            n += w->sent[i];
        }
    }
    return n;
}
