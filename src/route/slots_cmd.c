#include <glib.h>

#include "base/limits.h"
#include "route/slots.h"

/* A reserved slot is in use at most this long after it was needed. */
#define FW_HOLD_START_GRACE_US (2 * FW_SEC)
/* A slot released sooner was hardly used, and does not count for the mean time
 * between releases. */
#define FW_HOLD_SAMPLE_MIN_US (300 * FW_MSEC)

/* Reports are clamped to these limits so that sums do not overflow. */
#define FW_REPORT_SLOTS_MAX 100000
#define FW_REPORT_TOKENS_MAX (1LL << 40)

void
Fw_Slots_Init(struct fw_slots *s)
{
    *s = (struct fw_slots){0};
    Fw_List_Init(&s->holds);
}

static void
remove_hold(struct fw_slots *s, struct fw_hold *h)
{
    Fw_List_Remove(&h->link);
    s->n_holds--;
    g_free(h);
}

void
Fw_Slots_Clear(struct fw_slots *s)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &s->holds) {
        remove_hold(s, FW_LIST_ENTRY(pos, struct fw_hold, link));
    }
}

/* Nonzero if @h was not released by @at_us and needed by @due_us. */
static int
is_in_use(const struct fw_hold *h, int64_t at_us, int64_t due_us)
{
    return h->need_us <= due_us && (!h->released_us || h->released_us > at_us);
}

/*
 * Removes holds that were released before the report. If the report shows
 * fewer busy slots than there are holds due, their owners died without
 * releasing them, and the oldest are removed.
 */
static void
remove_stale(struct fw_slots *s, int64_t at_us, int busy)
{
    int64_t due_us = at_us - FW_HOLD_START_GRACE_US;
    struct fw_list *pos;
    struct fw_list *tmp;
    int expected = 0;

    FW_LIST_EACH (pos, &s->holds) {
        expected +=
            is_in_use(FW_LIST_ENTRY(pos, struct fw_hold, link), at_us, due_us);
    }
    FW_LIST_EACH_SAFE (pos, tmp, &s->holds) {
        struct fw_hold *h = FW_LIST_ENTRY(pos, struct fw_hold, link);

        if (h->released_us && h->released_us <= at_us) {
            remove_hold(s, h);
        }
        else if (expected > busy && is_in_use(h, at_us, due_us)) {
            expected--;
            remove_hold(s, h);
        }
    }
}

void
Fw_Slots_ApplyReport(struct fw_slots *s, const struct fw_up_report *rep,
                     int64_t at_us)
{
    int busy = CLAMP(rep->busy_slots, 0, FW_REPORT_SLOTS_MAX);
    struct fw_list *pos;

    if (at_us < s->report_us) {
        return;
    }
    remove_stale(s, at_us, busy);
    s->report_us = at_us;
    s->total = CLAMP(rep->slots, 0, FW_REPORT_SLOTS_MAX);
    s->kv_total_tokens = CLAMP(rep->kv_total, 0, FW_REPORT_TOKENS_MAX);
    s->other_busy = busy;
    s->other_kv_tokens = CLAMP(rep->kv_used, 0, FW_REPORT_TOKENS_MAX);
    FW_LIST_EACH (pos, &s->holds) {
        const struct fw_hold *h = FW_LIST_ENTRY(pos, struct fw_hold, link);

        if (is_in_use(h, at_us, at_us)) {
            s->other_busy--;
            s->other_kv_tokens -= h->tokens;
        }
    }
    s->other_busy = MAX(s->other_busy, 0);
    s->other_kv_tokens = MAX(s->other_kv_tokens, 0);
}

void
Fw_Slots_Hold(struct fw_slots *s, const struct fw_hold *hold)
{
    struct fw_hold *h = g_memdup2(hold, sizeof(*hold));

    Fw_List_Append(&s->holds, &h->link);
    s->n_holds++;
}

/* Exponential moving average, clamped because a long interval only means that
 * the engine was idle. */
static void
update_release_interval(struct fw_slots *s, int64_t now_us)
{
    int64_t interval = MIN(now_us - s->last_release_us, FW_SEC);

    if (s->last_release_us) {
        s->release_interval_us =
            s->release_interval_us
                ? (s->release_interval_us * 7 + interval) / 8
                : interval;
    }
    s->last_release_us = now_us;
}

int
Fw_Slots_Release(struct fw_slots *s, uint64_t owner, uint64_t round_id,
                 int64_t now_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &s->holds) {
        struct fw_hold *h = FW_LIST_ENTRY(pos, struct fw_hold, link);

        if (h->owner != owner || h->round_id != round_id || h->released_us) {
            continue;
        }
        if (now_us - h->need_us > FW_HOLD_SAMPLE_MIN_US) {
            update_release_interval(s, now_us);
        }
        /* Kept, as a later report may describe a time before the release. */
        h->released_us = now_us;
        return 1;
    }
    return 0;
}
