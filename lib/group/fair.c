#include "group/fair.h"

#include <assert.h>
#include <glib.h>

#include "common/mem.h"

/*
 * At each visit an account's credit grows by its weight; an entry costs the
 * highest weight among the waiting accounts. So the heaviest account has one
 * entry a round, and no account has a run of turns that delays the others.
 */

struct mr_fair_account {
    mr_list_t link; /* in the round */
    char *name;
    mr_list_t queues[2]; /* urgent entries first */
    size_t count;
    int64_t weight;
    int64_t credit;
};

struct mr_fair {
    GHashTable *accounts; /* name to account, only those that wait */
    mr_list_t round;
    mr_list_t deadlines; /* entries, earliest first */
    size_t account_max;
    size_t count;
    size_t urgent_count;
    int64_t cost; /* highest weight in the round */
};

enum { QUEUE_URGENT, QUEUE_NORMAL };

mr_fair_t *
mr_fair_create(size_t account_max)
{
    mr_fair_t *fair = MR_NEW(mr_fair_t);

    fair->accounts = g_hash_table_new(g_str_hash, g_str_equal);
    mr_list_init(&fair->round);
    mr_list_init(&fair->deadlines);
    fair->account_max = account_max;
    return fair;
}

void
mr_fair_destroy(mr_fair_t *fair)
{
    assert(fair->count == 0);
    g_hash_table_destroy(fair->accounts);
    free(fair);
}

static void
update_cost(mr_fair_t *fair)
{
    fair->cost = 0;
    MR_LIST_FOREACH(it, &fair->round)
    {
        mr_fair_account_t *account =
            MR_LIST_ENTRY(it, mr_fair_account_t, link);

        fair->cost = MAX(fair->cost, account->weight);
    }
}

static mr_fair_account_t *
find_account(mr_fair_t *fair, const char *name, int64_t weight)
{
    mr_fair_account_t *account = g_hash_table_lookup(fair->accounts, name);

    if (account == NULL) {
        account = MR_NEW(mr_fair_account_t);
        account->name = mr_strdup(name);
        mr_list_init(&account->queues[QUEUE_URGENT]);
        mr_list_init(&account->queues[QUEUE_NORMAL]);
        mr_list_append(&fair->round, &account->link);
        g_hash_table_insert(fair->accounts, account->name, account);
    }
    if (account->weight != weight) {
        account->weight = weight;
        update_cost(fair);
    }
    return account;
}

static void
retire_account(mr_fair_t *fair, mr_fair_account_t *account)
{
    mr_list_remove(&account->link);
    g_hash_table_remove(fair->accounts, account->name);
    if (account->weight == fair->cost) {
        update_cost(fair);
    }
    free(account->name);
    free(account);
}

/** insert_by_deadline() - from the back, as most deadlines come in order. */
static void
insert_by_deadline(mr_fair_t *fair, mr_fair_entry_t *entry)
{
    mr_list_t *after = fair->deadlines.prev;

    while (after != &fair->deadlines
           && MR_LIST_ENTRY(after, mr_fair_entry_t, by_deadline)->deadline
                  > entry->deadline) {
        after = after->prev;
    }
    mr_list_append(after->next, &entry->by_deadline);
}

bool
mr_fair_push(mr_fair_t *fair, mr_fair_entry_t *entry, const char *account,
             int64_t weight, bool urgent, mr_ms_t deadline)
{
    mr_fair_account_t *owner = find_account(fair, account, MAX(weight, 1));

    if (owner->count >= fair->account_max) {
        return false;
    }
    owner->count++;
    fair->count++;
    fair->urgent_count += urgent;
    entry->account = owner;
    entry->urgent = urgent;
    entry->deadline = deadline;
    mr_list_append(&owner->queues[urgent ? QUEUE_URGENT : QUEUE_NORMAL],
                   &entry->link);
    insert_by_deadline(fair, entry);
    return true;
}

void
mr_fair_remove(mr_fair_t *fair, mr_fair_entry_t *entry)
{
    mr_fair_account_t *account = entry->account;

    mr_list_remove(&entry->link);
    mr_list_remove(&entry->by_deadline);
    entry->account = NULL;
    fair->count--;
    fair->urgent_count -= entry->urgent;
    account->count--;
    if (account->count == 0) {
        retire_account(fair, account);
    }
}

static mr_fair_entry_t *
first_entry(mr_fair_account_t *account, bool urgent_only)
{
    mr_list_t *queue = &account->queues[QUEUE_URGENT];

    if (mr_list_empty(queue) && !urgent_only) {
        queue = &account->queues[QUEUE_NORMAL];
    }
    return mr_list_empty(queue)
               ? NULL
               : MR_LIST_ENTRY(queue->next, mr_fair_entry_t, link);
}

mr_fair_entry_t *
mr_fair_next(mr_fair_t *fair, bool urgent_only)
{
    if ((urgent_only ? fair->urgent_count : fair->count) == 0) {
        return NULL;
    }
    for (;;) {
        mr_list_t *link = mr_list_pop(&fair->round);
        mr_fair_account_t *account =
            MR_LIST_ENTRY(link, mr_fair_account_t, link);
        mr_fair_entry_t *entry = first_entry(account, urgent_only);

        mr_list_append(&fair->round, link);
        if (entry == NULL) {
            continue;
        }
        /* The cost falls when the heaviest account has left; without a
         * bound, credit from before would give more than the share. */
        account->credit =
            MIN(account->credit + account->weight, 2 * fair->cost - 1);
        if (account->credit >= fair->cost) {
            account->credit -= fair->cost;
            mr_fair_remove(fair, entry);
            return entry;
        }
    }
}

mr_fair_entry_t *
mr_fair_expired(mr_fair_t *fair, mr_ms_t now)
{
    mr_ms_t deadline = mr_fair_deadline(fair);

    if (deadline < 0 || deadline > now) {
        return NULL;
    }
    mr_fair_entry_t *entry =
        MR_LIST_ENTRY(fair->deadlines.next, mr_fair_entry_t, by_deadline);
    mr_fair_remove(fair, entry);
    return entry;
}

mr_ms_t
mr_fair_deadline(const mr_fair_t *fair)
{
    if (mr_list_empty(&fair->deadlines)) {
        return -1;
    }
    return MR_LIST_ENTRY(fair->deadlines.next, mr_fair_entry_t, by_deadline)
        ->deadline;
}

size_t
mr_fair_count(const mr_fair_t *fair)
{
    return fair->count;
}
