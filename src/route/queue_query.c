#include "route/queue.h"

int
Fw_Queue_CountAhead(const struct fw_queue *q, const char *team,
                    int64_t latest_us)
{
    struct fw_queue_team key = {.rank = 0};
    const struct fw_queue_team *own;
    struct fw_list *pos;
    int before = 0;
    int ahead;

    g_strlcpy(key.name, team, sizeof(key.name));
    own = g_hash_table_lookup(q->teams, &key);
    if (own) {
        FW_LIST_EACH (pos, &own->items) {
            if (FW_LIST_ENTRY(pos, struct fw_queue_item, link)
                    ->latest_start_us > latest_us) {
                break;
            }
            before++;
        }
    }
    ahead = before;
    FW_LIST_EACH (pos, &q->active_teams) {
        const struct fw_queue_team *t =
            FW_LIST_ENTRY(pos, struct fw_queue_team, link);

        if (own && t == own) {
            continue;
        }
        ahead += MIN(t->n, before + 1);
    }
    return ahead;
}

struct fw_queue_item *
Fw_Queue_Earliest(const struct fw_queue *q)
{
    struct fw_queue_item *first = NULL;
    struct fw_list *pos;

    FW_LIST_EACH (pos, &q->active_teams) {
        const struct fw_queue_team *t =
            FW_LIST_ENTRY(pos, struct fw_queue_team, link);
        struct fw_queue_item *it =
            FW_LIST_ENTRY(t->items.next, struct fw_queue_item, link);

        if (!first || it->latest_start_us < first->latest_start_us) {
            first = it;
        }
    }
    return first;
}
