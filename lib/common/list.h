#ifndef MR_COMMON_LIST_H
#define MR_COMMON_LIST_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct mr_list - link of an intrusive, circular, doubly linked list
 *
 * The head of a list has the same type. A link that is not in a list points to
 * itself, so that removing it again has no effect.
 */
typedef struct mr_list {
    struct mr_list *next;
    struct mr_list *prev;
} mr_list_t;

/** MR_LIST_ENTRY() - the structure of type @type whose member @member is
 * @link. */
#define MR_LIST_ENTRY(link, type, member)                                     \
    ((type *)(void *)((char *)(link)-offsetof(type, member)))

/** MR_LIST_FOREACH() - iterate over the links; the body may remove @it, but
 * not the link after it. */
#define MR_LIST_FOREACH(it, head)                                             \
    for (mr_list_t *it = (head)->next, *it##_next = it->next; it != (head);   \
         it = it##_next, it##_next = it->next)

static inline void
mr_list_init(mr_list_t *link)
{
    link->next = link;
    link->prev = link;
}

static inline bool
mr_list_empty(const mr_list_t *head)
{
    return head->next == head;
}

/** mr_list_append() - insert @link at the end of the list, or before @head if
 * that is a link of a list. */
static inline void
mr_list_append(mr_list_t *head, mr_list_t *link)
{
    link->prev = head->prev;
    link->next = head;
    head->prev->next = link;
    head->prev = link;
}

static inline void
mr_list_remove(mr_list_t *link)
{
    link->prev->next = link->next;
    link->next->prev = link->prev;
    mr_list_init(link);
}

/** mr_list_pop() - remove and return the first link; NULL if the list is
 * empty.
 */
static inline mr_list_t *
mr_list_pop(mr_list_t *head)
{
    mr_list_t *link = head->next;

    if (link == head) {
        return NULL;
    }
    mr_list_remove(link);
    return link;
}

#endif
