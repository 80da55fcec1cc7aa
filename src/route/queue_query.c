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

/** struct turn - a team while its items are listed. */
struct turn {
    const struct fw_queue_team *team;
    const struct fw_list *next;
    int64_t deficit;
};

/* Appends the team's next item if its deficit allows that. */
static void
list_next(const struct fw_queue *q, struct turn *t, GPtrArray *out)
{
    struct fw_queue_item *it =
        FW_LIST_ENTRY(t->next, struct fw_queue_item, link);

    if (t->deficit < it->tokens) {
        t->deficit += q->quantum;
        return;
    }
    t->deficit -= it->tokens;
    t->next = t->next->next;
    g_ptr_array_add(out, it);
}

/* Appends the items of the teams in @turns, which have one rank. */
static void
list_rank(const struct fw_queue *q, GQueue *turns, GPtrArray *out)
{
    while (!g_queue_is_empty(turns)) {
        struct turn *t = g_queue_pop_head(turns);
        guint n;

        do {
            n = out->len;
            list_next(q, t, out);
        } while (out->len > n && t->next != &t->team->items);
        if (t->next == &t->team->items) {
            g_free(t);
        }
        else {
            g_queue_push_tail(turns, t);
        }
    }
}

void
Fw_Queue_List(const struct fw_queue *q, GPtrArray *out)
{
    GQueue turns = G_QUEUE_INIT;
    struct fw_list *pos;
    int rank = 0;

    FW_LIST_EACH (pos, &q->active_teams) {
        const struct fw_queue_team *team =
            FW_LIST_ENTRY(pos, struct fw_queue_team, link);
        struct turn *t = g_new(struct turn, 1);

        if (team->rank != rank) {
            list_rank(q, &turns, out);
            rank = team->rank;
        }
        *t = (struct turn){team, team->items.next, team->deficit};
        g_queue_push_tail(&turns, t);
    }
    list_rank(q, &turns, out);
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
