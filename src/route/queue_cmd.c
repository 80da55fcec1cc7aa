#include "route/queue.h"

void
Fw_Queue_Init(struct fw_queue *q, int64_t quantum)
{
    q->teams = g_hash_table_new(g_str_hash, g_str_equal);
    Fw_List_Init(&q->active_teams);
    q->n = 0;
    q->quantum = quantum;
}

static void
free_team(struct fw_queue *q, struct fw_queue_team *t)
{
    Fw_List_Remove(&t->link);
    g_hash_table_remove(q->teams, t->name);
    g_free(t);
}

void
Fw_Queue_Clear(struct fw_queue *q)
{
    g_hash_table_unref(q->teams);
    q->teams = NULL;
}

static struct fw_queue_team *
get_team(struct fw_queue *q, const char *name)
{
    struct fw_queue_team *t = g_hash_table_lookup(q->teams, name);

    if (!t) {
        t = g_new0(struct fw_queue_team, 1);
        g_strlcpy(t->name, name, sizeof(t->name));
        Fw_List_Init(&t->items);
        Fw_List_Append(&q->active_teams, &t->link);
        g_hash_table_insert(q->teams, t->name, t);
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
    insert_item(get_team(q, it->team_name), it, it->latest_start_us + 1);
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
        Fw_List_Append(&q->active_teams, &t->link);
    }
    return NULL;
}

void
Fw_Queue_PutBack(struct fw_queue *q, struct fw_queue_item *it)
{
    struct fw_queue_team *t = get_team(q, it->team_name);

    insert_item(t, it, it->latest_start_us);
    q->n++;
    t->deficit += it->tokens;
    Fw_List_Remove(&t->link);
    Fw_List_Append(q->active_teams.next, &t->link);
}
