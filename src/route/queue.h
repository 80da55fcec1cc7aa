/*
 * Fair queue: more urgent ranks first; within a rank deficit round robin over
 * teams, with tokens as the cost, and the earliest latest start time first
 * within a team. Only teams with queued items take memory.
 */
#ifndef FW_ROUTE_QUEUE_H
#define FW_ROUTE_QUEUE_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/list.h"

/**
 * struct fw_queue_item - embedded in the object that is queued.
 * @team: NULL while not queued
 * @rank: 0 is the most urgent; must not change while queued
 * @latest_start_us: latest time at which the item is still worth starting
 * @tokens: cost charged to the team
 */
struct fw_queue_item {
    struct fw_list link;
    struct fw_queue_team *team;
    char team_name[FW_NAME_MAX];
    int rank;
    int64_t latest_start_us;
    int64_t tokens;
};

/**
 * struct fw_queue_team - a team with queued items of one rank.
 * @items: by latest start time
 * @n: number of @items
 * @deficit: tokens the team may still spend in its turn
 */
struct fw_queue_team {
    char name[FW_NAME_MAX];
    int rank;
    struct fw_list items;
    struct fw_list link;
    int n;
    int64_t deficit;
};

/**
 * struct fw_queue - deficit round robin over teams.
 * @teams: set of struct fw_queue_team, by name and rank
 * @active_teams: the same teams by rank, and in the order of their turns
 * @n: number of items of all teams
 * @quantum: tokens added to a team's deficit in each turn
 */
struct fw_queue {
    GHashTable *teams;
    struct fw_list active_teams;
    int n;
    int64_t quantum;
};

/* queue_cmd.c */
void
Fw_Queue_Init(struct fw_queue *q, int64_t quantum);
/* Frees what @q owns; all items must have been removed before. */
void
Fw_Queue_Clear(struct fw_queue *q);
void
Fw_Queue_Put(struct fw_queue *q, struct fw_queue_item *it);
/* Removes and returns the next item; NULL when empty. */
struct fw_queue_item *
Fw_Queue_Take(struct fw_queue *q);
/*
 * Removes @it, which need not be the next item, and charges its team for it as
 * if it had been.
 */
void
Fw_Queue_TakeItem(struct fw_queue *q, struct fw_queue_item *it);
/* Returns an item that was taken but not started: it goes ahead of items with
 * the same latest start, and its team gets its tokens and turn back. */
void
Fw_Queue_PutBack(struct fw_queue *q, struct fw_queue_item *it);
/* Does nothing if @it is not queued. */
void
Fw_Queue_Remove(struct fw_queue *q, struct fw_queue_item *it);

/* queue_query.c */
/* Estimates how many items would be taken before a new one of @team and of
 * rank 0, if all items are of that rank, counting one item of each other team
 * per turn. */
int
Fw_Queue_CountAhead(const struct fw_queue *q, const char *team,
                    int64_t latest_us);
/* Appends all items to @out in the order in which they would be taken. */
void
Fw_Queue_List(const struct fw_queue *q, GPtrArray *out);
/* The item with the earliest latest start of all teams, or NULL. */
struct fw_queue_item *
Fw_Queue_Earliest(const struct fw_queue *q);

#endif
