#include <glib.h>

#include "route/slots.h"

/*
 * A slot counts from its reservation to its release; a report alone would
 * miss slots whose KV has not arrived and include those freed since. Slots
 * expected to become free are not counted on, since a KV that finds no slot
 * wastes a prefill.
 */
int
Fw_Slots_Busy(const struct fw_slots *s)
{
    const struct fw_list *pos;
    int busy = s->other_busy;

    FW_LIST_EACH (pos, &s->holds) {
        busy += !FW_LIST_ENTRY(pos, struct fw_hold, link)->released_us;
    }
    return busy;
}

int
Fw_Slots_Free(const struct fw_slots *s)
{
    return MAX(s->total - Fw_Slots_Busy(s), 0);
}

int
Fw_Slots_Fits(const struct fw_slots *s, int64_t tokens)
{
    const struct fw_list *pos;
    int64_t used = s->other_kv_tokens + tokens;

    if (s->kv_total_tokens == 0) {
        return 1;
    }
    FW_LIST_EACH (pos, &s->holds) {
        const struct fw_hold *h = FW_LIST_ENTRY(pos, struct fw_hold, link);

        used += h->released_us ? 0 : h->tokens;
    }
    return used <= s->kv_total_tokens;
}

int
Fw_Slots_IsExclusive(const struct fw_slots *s)
{
    const struct fw_list *pos;

    FW_LIST_EACH (pos, &s->holds) {
        const struct fw_hold *h = FW_LIST_ENTRY(pos, struct fw_hold, link);

        if (h->exclusive && !h->released_us) {
            return 1;
        }
    }
    return 0;
}
