#include "decide/spend_window.h"

#include <glib.h>
#include <string.h>

#include "base/limits.h"

static void
advance(struct fw_spend_window *w, int64_t window_us, int64_t now_us)
{
    int64_t slot = MAX(now_us / MAX(window_us / FW_SPEND_SLOTS, 1), w->slot);
    int64_t skipped = MIN(slot - w->slot, FW_SPEND_SLOTS + 1);

    for (int64_t i = 0; i < skipped; i++) {
        int64_t *tokens = &w->tokens[(slot - i) % (FW_SPEND_SLOTS + 1)];

        w->sum -= *tokens;
        *tokens = 0;
    }
    w->slot = slot;
}

void
Fw_SpendWindow_Start(struct fw_spend_window *w, double level, int64_t now_us)
{
    if (!w->since_us) {
        memset(w, 0, sizeof(*w));
        w->since_us = now_us;
        w->plain = level;
    }
}

void
Fw_SpendWindow_Stop(struct fw_spend_window *w)
{
    w->since_us = 0;
}

static void
record(struct fw_spend_window *w, int64_t tokens, int64_t window_us,
       int64_t now_us)
{
    advance(w, window_us, now_us);
    w->tokens[w->slot % (FW_SPEND_SLOTS + 1)] += tokens;
    w->sum += tokens;
}

void
Fw_SpendWindow_Add(struct fw_spend_window *w, int64_t tokens,
                   int64_t window_us, int64_t now_us)
{
    if (w->since_us) {
        record(w, tokens, window_us, now_us);
        w->plain -= (double)tokens;
    }
}

void
Fw_SpendWindow_AddUnknown(struct fw_spend_window *w, int64_t tokens,
                          int64_t window_us, int64_t now_us)
{
    if (w->since_us) {
        record(w, tokens, window_us, now_us);
    }
}

void
Fw_SpendWindow_Shrink(struct fw_spend_window *w, double part)
{
    if (w->plain > 0) {
        w->plain *= part;
    }
}

static int
is_complete(const struct fw_spend_window *w, int64_t window_us, int64_t now_us)
{
    return w->since_us && now_us - w->since_us >= window_us;
}

double
Fw_SpendWindow_Refill(struct fw_spend_window *w, double level, double rate,
                      double burst, int64_t elapsed_us, int64_t window_us,
                      int64_t now_us)
{
    double elapsed_s = (double)elapsed_us / FW_SEC;
    double window_s = (double)window_us / FW_SEC;
    double limit = rate * window_s + burst;
    double faster;

    w->plain = MIN(w->plain + rate * elapsed_s, burst);
    if (!is_complete(w, window_us, now_us)) {
        return MIN(level + rate * elapsed_s, burst);
    }
    advance(w, window_us, now_us);
    faster = MIN(level + limit / window_s * elapsed_s, burst);
    return MAX(MIN(faster, limit - (double)w->sum), w->plain);
}
