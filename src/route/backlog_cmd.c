#include <glib.h>

#include "base/limits.h"
#include "route/slots.h"

/* A grant reaches the engine this much later, at most, as a rule. */
#define FW_GRANT_LATENCY_US (10 * FW_MSEC)

static void
drop(struct fw_backlog *b, int i)
{
    for (int k = i + 1; k < b->n; k++) {
        b->item[k - 1] = b->item[k];
    }
    b->n--;
}

static int
in_report(const struct fw_backlog_item *it, int64_t at_us)
{
    return it->granted_us + FW_GRANT_LATENCY_US < at_us &&
           (!it->done_us || it->done_us > at_us);
}

/*
 * Reports lag behind what askers tell. What a report holds beyond the grants
 * was granted by another coordinator; grants that it lacks were given up by
 * askers that died and never told.
 */
void
Fw_Backlog_ApplyReport(struct fw_backlog *b, int64_t at_us, int64_t queued,
                       int64_t rate)
{
    int64_t expected = 0;

    if (at_us < b->report_us) {
        return;
    }
    for (int i = 0; i < b->n; i++) {
        expected += in_report(&b->item[i], at_us) ? b->item[i].tokens : 0;
    }
    for (int i = 0; i < b->n && expected > queued;) {
        if (in_report(&b->item[i], at_us) && !b->item[i].done_us) {
            expected -= b->item[i].tokens;
            drop(b, i);
        }
        else {
            i++;
        }
    }
    for (int i = 0; i < b->n;) {
        if (b->item[i].done_us && b->item[i].done_us <= at_us) {
            drop(b, i);
        }
        else {
            i++;
        }
    }
    b->report_us = at_us;
    b->other_work_us = MAX(queued - expected, 0) * FW_SEC / MAX(rate, 1);
}

static int
find(const struct fw_backlog *b, uint64_t owner, uint64_t round_id)
{
    for (int i = 0; i < b->n; i++) {
        if (b->item[i].owner == owner && b->item[i].round_id == round_id) {
            return i;
        }
    }
    return -1;
}

void
Fw_Backlog_Remove(struct fw_backlog *b, uint64_t owner, uint64_t round_id)
{
    int i = find(b, owner, round_id);

    if (i >= 0 && !b->item[i].done_us) {
        drop(b, i);
    }
}

const struct fw_backlog_item *
Fw_Backlog_Complete(struct fw_backlog *b, uint64_t owner, uint64_t round_id,
                    int64_t now_us)
{
    int i = find(b, owner, round_id);

    if (i < 0) {
        return NULL;
    }
    b->item[i].done_us = now_us;
    b->last_done_us = now_us;
    return &b->item[i];
}

void
Fw_Backlog_Add(struct fw_backlog *b, const struct fw_backlog_item *item)
{
    if (b->n == FW_BACKLOG_MAX) {
        drop(b, 0);
    }
    b->item[b->n++] = *item;
}
