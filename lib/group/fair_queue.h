#ifndef MR_GROUP_FAIR_QUEUE_H
#define MR_GROUP_FAIR_QUEUE_H

/*
 * Fair queue: deficit round robin over accounts. All entries cost the same, so
 * accounts are served in proportion to their weights. A pure data structure;
 * it uses no events.
 */

#include <stdbool.h>
#include <stddef.h>

#include "common/clock.h"
#include "common/list.h"

typedef struct mr_fair_queue mr_fair_queue_t;
typedef struct mr_fair_queue_account mr_fair_queue_account_t;

/** A queue entry, to be embedded in the caller's structure. */
typedef struct mr_fair_queue_entry {
    mr_list_t link;        /* in its account's queue */
    mr_list_t by_deadline; /* in the list of all entries */
    mr_fair_queue_account_t *account;
    mr_ms_t deadline;
    bool priority;
} mr_fair_queue_entry_t;

/**
 * mr_fair_queue_create() - create an empty queue
 * @max_per_account: maximum number of queued entries of one account
 */
mr_fair_queue_t *mr_fair_queue_create(size_t max_per_account);

/** mr_fair_queue_destroy() - the queue must be empty. */
void mr_fair_queue_destroy(mr_fair_queue_t *fair);

/**
 * mr_fair_queue_push() - queue @entry
 * @account: account that the entry belongs to
 * @weight: share relative to other accounts, at least 1; the value of the
 *          account's latest entry applies
 * @priority: serve before the account's entries without priority
 * @deadline: time from which mr_fair_queue_pop_expired() returns the entry
 *
 * Return: false when the account has max_per_account entries queued.
 */
bool mr_fair_queue_push(mr_fair_queue_t *fair, mr_fair_queue_entry_t *entry,
                        const char *account, int64_t weight, bool priority,
                        mr_ms_t deadline);

/**
 * mr_fair_queue_pop() - remove the entry that is to be served next
 * @priority_only: skip entries without priority
 *
 * Return: the entry, or NULL when there is none.
 */
mr_fair_queue_entry_t *mr_fair_queue_pop(mr_fair_queue_t *fair,
                                         bool priority_only);

/** mr_fair_queue_pop_expired() - remove the entry with the earliest deadline
 * if that is not after @now; NULL otherwise. */
mr_fair_queue_entry_t *mr_fair_queue_pop_expired(mr_fair_queue_t *fair,
                                                 mr_ms_t now);

/** mr_fair_queue_next_deadline() - earliest deadline; -1 when the queue is
 * empty. */
mr_ms_t mr_fair_queue_next_deadline(const mr_fair_queue_t *fair);

/** mr_fair_queue_remove() - remove @entry, which must be queued. */
void mr_fair_queue_remove(mr_fair_queue_t *fair, mr_fair_queue_entry_t *entry);

/** mr_fair_queue_count() - number of queued entries. */
size_t mr_fair_queue_count(const mr_fair_queue_t *fair);

#endif
