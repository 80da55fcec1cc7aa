#include <glib.h>

#include "base/limits.h"
#include "route/slots.h"

/* Usual upper bound for the time from a grant to the prefill's arrival at the
 * engine, after which reports include it. */
#define FW_GRANT_LATENCY_US (10 * FW_MSEC)

static void
remove_item(struct fw_backlog *b, int i)
{
    for (int k = i + 1; k < b->n; k++) {
        b->item[k - 1] = b->item[k];
    }
    b->n--;
}

static int
expected_in_report(const struct fw_backlog_item *it, int64_t at_us)
{
    return it->granted_us + FW_GRANT_LATENCY_US < at_us &&
           (!it->done_us || it->done_us > at_us);
}

/*
 * Queued tokens beyond the grants were granted by another coordinator. Grants
 * missing from the report belong to owners that died without releasing them;
 * the oldest are removed.
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
        expected +=
            expected_in_report(&b->item[i], at_us) ? b->item[i].tokens : 0;
    }
    for (int i = 0; i < b->n && expected > queued;) {
        if (expected_in_report(&b->item[i], at_us) && !b->item[i].done_us) {
            expected -= b->item[i].tokens;
            remove_item(b, i);
        }
        else {
            i++;
        }
    }
    for (int i = 0; i < b->n;) {
        if (b->item[i].done_us && b->item[i].done_us <= at_us) {
            remove_item(b, i);
        }
        else {
            i++;
        }
    }
    b->report_us = at_us;
    b->other_work_us = MAX(queued - expected, 0) * FW_SEC / MAX(rate, 1);
}

static int
find_item(const struct fw_backlog *b, uint64_t owner, uint64_t round_id)
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
    int i = find_item(b, owner, round_id);

    if (i >= 0 && !b->item[i].done_us) {
        remove_item(b, i);
    }
}

const struct fw_backlog_item *
Fw_Backlog_Complete(struct fw_backlog *b, uint64_t owner, uint64_t round_id,
                    int64_t now_us)
{
    int i = find_item(b, owner, round_id);

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
        remove_item(b, 0);
    }
    b->item[b->n++] = *item;
}
