#include "route/queue.h"

#include <string.h>

static guint
hash_team(gconstpointer p)
{
    const struct fw_queue_team *t = p;

    return g_str_hash(t->name) + (guint)t->rank;
}

static gboolean
is_same_team(gconstpointer a, gconstpointer b)
{
    const struct fw_queue_team *x = a;
    const struct fw_queue_team *y = b;

    return x->rank == y->rank && strcmp(x->name, y->name) == 0;
}

void
Fw_Queue_Init(struct fw_queue *q, int64_t quantum)
{
    q->teams = g_hash_table_new(hash_team, is_same_team);
    Fw_List_Init(&q->active_teams);
    q->n = 0;
    q->quantum = quantum;
}

static void
free_team(struct fw_queue *q, struct fw_queue_team *t)
{
    Fw_List_Remove(&t->link);
    g_hash_table_remove(q->teams, t);
    g_free(t);
}

void
Fw_Queue_Clear(struct fw_queue *q)
{
    g_hash_table_unref(q->teams);
    q->teams = NULL;
}

static int
rank_at(const struct fw_list *pos)
{
    return FW_LIST_ENTRY(pos, struct fw_queue_team, link)->rank;
}

static void
add_as_last_of_rank(struct fw_queue *q, struct fw_queue_team *t)
{
    struct fw_list *pos = &q->active_teams;

    while (pos->prev != &q->active_teams && rank_at(pos->prev) > t->rank) {
        pos = pos->prev;
    }
    Fw_List_Append(pos, &t->link);
}

static void
add_as_first_of_rank(struct fw_queue *q, struct fw_queue_team *t)
{
    struct fw_list *pos = q->active_teams.next;

    while (pos != &q->active_teams && rank_at(pos) < t->rank) {
        pos = pos->next;
    }
    Fw_List_Append(pos, &t->link);
}

static struct fw_queue_team *
get_team(struct fw_queue *q, const struct fw_queue_item *it)
{
    struct fw_queue_team key = {.rank = it->rank};
    struct fw_queue_team *t;

    g_strlcpy(key.name, it->team_name, sizeof(key.name));
    t = g_hash_table_lookup(q->teams, &key);
    if (!t) {
        t = g_new0(struct fw_queue_team, 1);
        *t = key;
        Fw_List_Init(&t->items);
        add_as_last_of_rank(q, t);
        g_hash_table_add(q->teams, t);
    }
    return t;
}

/* Inserts before the first item whose latest start is @before_us or later. */
static void
insert_item(struct fw_queue_team *t, struct fw_queue_item *it,
            int64_t before_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &t->items) {
        if (FW_LIST_ENTRY(pos, struct fw_queue_item, link)->latest_start_us >=
            before_us) {
            break;
        }
    }
    Fw_List_Append(pos, &it->link);
    it->team = t;
    t->n++;
}

void
Fw_Queue_Put(struct fw_queue *q, struct fw_queue_item *it)
{
    insert_item(get_team(q, it), it, it->latest_start_us + 1);
    q->n++;
}

void
Fw_Queue_Remove(struct fw_queue *q, struct fw_queue_item *it)
{
    struct fw_queue_team *t = it->team;

    if (!t) {
        return;
    }
    Fw_List_Remove(&it->link);
    it->team = NULL;
    t->n--;
    q->n--;
    if (t->n == 0) {
        free_team(q, t);
    }
}

struct fw_queue_item *
Fw_Queue_Take(struct fw_queue *q)
{
    while (!Fw_List_Empty(&q->active_teams)) {
        struct fw_queue_team *t =
            FW_LIST_ENTRY(q->active_teams.next, struct fw_queue_team, link);
        struct fw_queue_item *it =
            FW_LIST_ENTRY(t->items.next, struct fw_queue_item, link);

        if (t->deficit >= it->tokens) {
            t->deficit -= it->tokens;
            Fw_Queue_Remove(q, it);
            return it;
        }
        t->deficit += q->quantum;
        Fw_List_Remove(&t->link);
        add_as_last_of_rank(q, t);
    }
    return NULL;
}

void
Fw_Queue_TakeItem(struct fw_queue *q, struct fw_queue_item *it)
{
    struct fw_queue_team *t = it->team;

    t->deficit -= it->tokens;
    while (t->deficit < 0) {
        t->deficit += q->quantum;
        Fw_List_Remove(&t->link);
        add_as_last_of_rank(q, t);
    }
    Fw_Queue_Remove(q, it);
}

void
Fw_Queue_PutBack(struct fw_queue *q, struct fw_queue_item *it)
{
    struct fw_queue_team *t = get_team(q, it);

    insert_item(t, it, it->latest_start_us);
    q->n++;
    t->deficit += it->tokens;
    Fw_List_Remove(&t->link);
    add_as_first_of_rank(q, t);
}
