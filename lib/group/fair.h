#ifndef MR_GROUP_FAIR_H
#define MR_GROUP_FAIR_H

/*
 * Fair queue: deficit round robin over accounts. Every entry costs the same,
 * so an account's share of the turns follows its weight. Pure data structure
 * without events.
 */

#include <stdbool.h>
#include <stddef.h>

#include "common/clock.h"
#include "common/list.h"

typedef struct mr_fair mr_fair_t;
typedef struct mr_fair_account mr_fair_account_t;

/** Link of an entry, part of the caller's structure. */
typedef struct mr_fair_entry {
    mr_list_t link;        /* in its account's queue */
    mr_list_t by_deadline; /* in the list of all entries */
    mr_fair_account_t *account;
    mr_ms_t deadline;
    bool urgent;
} mr_fair_entry_t;

/**
 * mr_fair_create() - empty queue
 * @account_max: entries that one account may have waiting
 */
mr_fair_t *mr_fair_create(size_t account_max);

/** mr_fair_destroy() - the queue must be empty. */
void mr_fair_destroy(mr_fair_t *fair);

/**
 * mr_fair_push() - queue @entry
 * @account: whose queue
 * @weight: share relative to other accounts, at least 1; the latest counts
 * @urgent: goes before the account's other entries
 * @deadline: when mr_fair_expired() gives the entry out
 *
 * Return: false when the account's queue is full.
 */
bool mr_fair_push(mr_fair_t *fair, mr_fair_entry_t *entry, const char *account,
                  int64_t weight, bool urgent, mr_ms_t deadline);

/**
 * mr_fair_next() - take the entry whose turn it is
 * @urgent_only: pass over entries that are not urgent
 *
 * Return: the entry, no longer queued, or NULL.
 */
mr_fair_entry_t *mr_fair_next(mr_fair_t *fair, bool urgent_only);

/** mr_fair_expired() - take an entry whose deadline is not after @now. */
mr_fair_entry_t *mr_fair_expired(mr_fair_t *fair, mr_ms_t now);

/** mr_fair_deadline() - earliest deadline; -1 when the queue is empty. */
mr_ms_t mr_fair_deadline(const mr_fair_t *fair);

/** mr_fair_remove() - take @entry out; it must be queued. */
void mr_fair_remove(mr_fair_t *fair, mr_fair_entry_t *entry);

/** mr_fair_count() - entries that wait. */
size_t mr_fair_count(const mr_fair_t *fair);

#endif
