/* Intrusive doubly linked list. */
#ifndef FW_BASE_LIST_H
#define FW_BASE_LIST_H

#include <stddef.h>

/**
 * struct fw_list - list head, or the link embedded in an element.
 * @next: next link; the head when this is the last one
 * @prev: previous link; the head when this is the first one
 */
struct fw_list {
    struct fw_list *next;
    struct fw_list *prev;
};

#define FW_LIST_ENTRY(ptr, type, member)                                      \
    ((type *)((char *)(ptr)-offsetof(type, member)))
#define FW_LIST_EACH(pos, head)                                               \
    for ((pos) = (head)->next; (pos) != (head); (pos) = (pos)->next)
/* Like FW_LIST_EACH, but the body may remove @pos. */
#define FW_LIST_EACH_SAFE(pos, tmp, head)                                     \
    for ((pos) = (head)->next, (tmp) = (pos)->next; (pos) != (head);          \
         (pos) = (tmp), (tmp) = (pos)->next)

static inline void
Fw_List_Init(struct fw_list *head)
{
    head->next = head;
    head->prev = head;
}

static inline int
Fw_List_Empty(const struct fw_list *head)
{
    return head->next == head;
}

static inline void
Fw_List_Append(struct fw_list *head, struct fw_list *link)
{
    link->prev = head->prev;
    link->next = head;
    head->prev->next = link;
    head->prev = link;
}

/* Reinitialises @link, so removing it twice is harmless. */
static inline void
Fw_List_Remove(struct fw_list *link)
{
    link->prev->next = link->next;
    link->next->prev = link->prev;
    Fw_List_Init(link);
}

#endif
