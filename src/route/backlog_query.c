#include <glib.h>

#include "route/slots.h"

int64_t
Fw_Backlog_WaitUs(const struct fw_backlog *b, int64_t now_us)
{
    int64_t sum = MAX(b->other_work_us - (now_us - b->report_us), 0);
    int first = 1;

    for (int i = 0; i < b->n; i++) {
        const struct fw_backlog_item *it = &b->item[i];
        int64_t left = it->compute_us;

        if (it->done_us) {
            continue;
        }
        if (first) {
            left -= MIN(now_us - MAX(it->granted_us, b->last_done_us), left);
            first = 0;
        }
        sum += left;
    }
    return sum;
}
