#include "group/fair_queue.h"

#include <assert.h>
#include <glib.h>

#include "common/mem.h"

/*
 * An account's credit grows by its weight at each visit; an entry costs the
 * highest weight among the active accounts. An account of that weight is
 * therefore served once per round, and no account is served several times in a
 * row while others wait.
 */

struct mr_fair_queue_account {
    mr_list_t link; /* in the list of active accounts */
    char *name;
    mr_list_t queues[2]; /* entries with and without priority */
    size_t count;
    int64_t weight;
    int64_t credit;
};

struct mr_fair_queue {
    GHashTable *accounts;  /* name -> account; only those with entries */
    mr_list_t active;      /* accounts with entries, in round-robin order */
    mr_list_t by_deadline; /* entries, earliest first */
    size_t max_per_account;
    size_t count;
    size_t priority_count;
    int64_t cost; /* highest weight among the active accounts */
};

enum { QUEUE_PRIORITY, QUEUE_NORMAL };

mr_fair_queue_t *
mr_fair_queue_create(size_t max_per_account)
{
    mr_fair_queue_t *fair = MR_NEW(mr_fair_queue_t);

    fair->accounts = g_hash_table_new(g_str_hash, g_str_equal);
    mr_list_init(&fair->active);
    mr_list_init(&fair->by_deadline);
    fair->max_per_account = max_per_account;
    return fair;
}

void
mr_fair_queue_destroy(mr_fair_queue_t *fair)
{
    assert(fair->count == 0);
    g_hash_table_destroy(fair->accounts);
    free(fair);
}

static void
update_cost(mr_fair_queue_t *fair)
{
    fair->cost = 0;
    MR_LIST_FOREACH(it, &fair->active)
    {
        mr_fair_queue_account_t *account =
            MR_LIST_ENTRY(it, mr_fair_queue_account_t, link);

        fair->cost = MAX(fair->cost, account->weight);
    }
}

static mr_fair_queue_account_t *
find_account(mr_fair_queue_t *fair, const char *name, int64_t weight)
{
    mr_fair_queue_account_t *account =
        g_hash_table_lookup(fair->accounts, name);

    if (account == NULL) {
        account = MR_NEW(mr_fair_queue_account_t);
        account->name = mr_strdup(name);
        mr_list_init(&account->queues[QUEUE_PRIORITY]);
        mr_list_init(&account->queues[QUEUE_NORMAL]);
        mr_list_append(&fair->active, &account->link);
        g_hash_table_insert(fair->accounts, account->name, account);
    }
    if (account->weight != weight) {
        account->weight = weight;
        update_cost(fair);
    }
    return account;
}

static void
remove_account(mr_fair_queue_t *fair, mr_fair_queue_account_t *account)
{
    mr_list_remove(&account->link);
    g_hash_table_remove(fair->accounts, account->name);
    if (account->weight == fair->cost) {
        update_cost(fair);
    }
    free(account->name);
    free(account);
}

/** insert_by_deadline() - insert into the list ordered by deadline. Searches
 * from the end, since most entries are pushed in deadline order. */
static void
insert_by_deadline(mr_fair_queue_t *fair, mr_fair_queue_entry_t *entry)
{
    mr_list_t *after = fair->by_deadline.prev;

    while (
        after != &fair->by_deadline
        && MR_LIST_ENTRY(after, mr_fair_queue_entry_t, by_deadline)->deadline
               > entry->deadline) {
        after = after->prev;
    }
    mr_list_append(after->next, &entry->by_deadline);
}

bool
mr_fair_queue_push(mr_fair_queue_t *fair, mr_fair_queue_entry_t *entry,
                   const char *account, int64_t weight, bool priority,
                   mr_ms_t deadline)
{
    mr_fair_queue_account_t *queue_account =
        find_account(fair, account, MAX(weight, 1));

    if (queue_account->count >= fair->max_per_account) {
        return false;
    }
    queue_account->count++;
    fair->count++;
    fair->priority_count += priority;
    entry->account = queue_account;
    entry->priority = priority;
    entry->deadline = deadline;
    mr_list_append(
        &queue_account->queues[priority ? QUEUE_PRIORITY : QUEUE_NORMAL],
        &entry->link);
    insert_by_deadline(fair, entry);
    return true;
}

void
mr_fair_queue_remove(mr_fair_queue_t *fair, mr_fair_queue_entry_t *entry)
{
    mr_fair_queue_account_t *account = entry->account;

    mr_list_remove(&entry->link);
    mr_list_remove(&entry->by_deadline);
    entry->account = NULL;
    fair->count--;
    fair->priority_count -= entry->priority;
    account->count--;
    if (account->count == 0) {
        remove_account(fair, account);
    }
}

static mr_fair_queue_entry_t *
first_entry(mr_fair_queue_account_t *account, bool priority_only)
{
    mr_list_t *queue = &account->queues[QUEUE_PRIORITY];

    if (mr_list_empty(queue) && !priority_only) {
        queue = &account->queues[QUEUE_NORMAL];
    }
    return mr_list_empty(queue)
               ? NULL
               : MR_LIST_ENTRY(queue->next, mr_fair_queue_entry_t, link);
}

mr_fair_queue_entry_t *
mr_fair_queue_pop(mr_fair_queue_t *fair, bool priority_only)
{
    if ((priority_only ? fair->priority_count : fair->count) == 0) {
        return NULL;
    }
    for (;;) {
        mr_list_t *link = mr_list_pop(&fair->active);
        mr_fair_queue_account_t *account =
            MR_LIST_ENTRY(link, mr_fair_queue_account_t, link);
        mr_fair_queue_entry_t *entry = first_entry(account, priority_only);

        mr_list_append(&fair->active, link);
        if (entry == NULL) {
            continue;
        }
        /* The cost decreases when the account of the highest weight has no
         * more entries. Without this limit, credit accumulated before would
         * exceed the account's share. */
        account->credit =
            MIN(account->credit + account->weight, 2 * fair->cost - 1);
        if (account->credit >= fair->cost) {
            account->credit -= fair->cost;
            mr_fair_queue_remove(fair, entry);
            return entry;
        }
    }
}

mr_fair_queue_entry_t *
mr_fair_queue_pop_expired(mr_fair_queue_t *fair, mr_ms_t now)
{
    mr_ms_t deadline = mr_fair_queue_next_deadline(fair);

    if (deadline < 0 || deadline > now) {
        return NULL;
    }
    mr_fair_queue_entry_t *entry = MR_LIST_ENTRY(
        fair->by_deadline.next, mr_fair_queue_entry_t, by_deadline);
    mr_fair_queue_remove(fair, entry);
    return entry;
}

mr_ms_t
mr_fair_queue_next_deadline(const mr_fair_queue_t *fair)
{
    if (mr_list_empty(&fair->by_deadline)) {
        return -1;
    }
    return MR_LIST_ENTRY(fair->by_deadline.next, mr_fair_queue_entry_t,
                         by_deadline)
        ->deadline;
}

size_t
mr_fair_queue_count(const mr_fair_queue_t *fair)
{
    return fair->count;
}
