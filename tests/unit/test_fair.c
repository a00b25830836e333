/* Guards against accounts that are served beyond their share, and against
 * entries that are lost or returned twice. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "group/fair_queue.h"

enum { ITEMS = 2000, ACCOUNT_MAX = 1000, NO_DEADLINE = 1 << 30 };

typedef struct item {
    mr_fair_queue_entry_t entry;
    char account[8];
    int popped;
} item_t;

static item_t items[ITEMS];
static int used;
static mr_fair_queue_t *fair;

static void
set_up(void)
{
    memset(items, 0, sizeof(items));
    used = 0;
    fair = mr_fair_queue_create(ACCOUNT_MAX);
}

static void
tear_down(void)
{
    while (mr_fair_queue_pop(fair, false) != NULL) {
    }
    mr_fair_queue_destroy(fair);
}

static bool
push(const char *account, int64_t weight, bool priority, mr_ms_t deadline)
{
    item_t *item = &items[used++];

    snprintf(item->account, sizeof(item->account), "%s", account);
    return mr_fair_queue_push(fair, &item->entry, account, weight, priority,
                              deadline);
}

static item_t *
pop(bool priority_only)
{
    mr_fair_queue_entry_t *entry = mr_fair_queue_pop(fair, priority_only);

    return entry == NULL ? NULL : MR_LIST_ENTRY(entry, item_t, entry);
}

/** count_turns() - how many of the next @turns belong to @account. */
static int
count_turns(const char *account, int turns)
{
    int count = 0;

    for (int i = 0; i < turns; i++) {
        item_t *item = pop(false);

        ck_assert_ptr_nonnull(item);
        count += strcmp(item->account, account) == 0;
    }
    return count;
}

START_TEST(test_turns_follow_the_weights)
{
    for (int i = 0; i < 400; i++) {
        push("a", 3, false, NO_DEADLINE);
        push("b", 2, false, NO_DEADLINE);
        push("c", 1, false, NO_DEADLINE);
    }
    ck_assert_int_eq(count_turns("a", 120), 60);
    ck_assert_int_eq(count_turns("b", 120), 40);
    ck_assert_int_eq(count_turns("c", 120), 20);
}
END_TEST

/* A burst of ten times an account's share must delay each entry of another
 * account by one turn, not by ten. */
START_TEST(test_burst_delays_others_by_one_turn)
{
    for (int i = 0; i < 1000; i++) {
        push("hog", 1, false, NO_DEADLINE);
    }
    for (int i = 0; i < 100; i++) {
        push("b", 1, false, NO_DEADLINE);
        ck_assert_int_eq(count_turns("b", 2), 1);
    }
}
END_TEST

/* Credit accumulated while a heavy account was active must not give a light
 * one more than its share after the heavy one has left. */
START_TEST(test_shares_hold_after_the_heaviest_left)
{
    for (int i = 0; i < 50; i++) {
        push("heavy", 100, false, NO_DEADLINE);
    }
    for (int i = 0; i < 100; i++) {
        push("b", 1, false, NO_DEADLINE);
        push("c", 2, false, NO_DEADLINE);
    }
    while (strcmp(pop(false)->account, "heavy") != 0
           || items[49].entry.account != NULL) {
    }
    int c = count_turns("c", 60);
    ck_assert_int_ge(c, 38);
    ck_assert_int_le(c, 42);
}
END_TEST

START_TEST(test_full_queue_rejects_its_account_only)
{
    for (int i = 0; i < ACCOUNT_MAX; i++) {
        ck_assert(push("hog", 1, false, NO_DEADLINE));
    }
    ck_assert(!push("hog", 1, false, NO_DEADLINE));
    ck_assert(push("b", 1, false, NO_DEADLINE));
    ck_assert_uint_eq(mr_fair_queue_count(fair), ACCOUNT_MAX + 1);
}
END_TEST

START_TEST(test_entries_expire_in_deadline_order)
{
    ck_assert_int_eq(mr_fair_queue_next_deadline(fair), -1);
    push("a", 1, false, 300);
    push("b", 1, false, 100);
    push("a", 1, true, 200);
    ck_assert_int_eq(mr_fair_queue_next_deadline(fair), 100);
    ck_assert_ptr_null(mr_fair_queue_pop_expired(fair, 99));
    ck_assert_ptr_eq(mr_fair_queue_pop_expired(fair, 250), &items[1].entry);
    ck_assert_ptr_eq(mr_fair_queue_pop_expired(fair, 250), &items[2].entry);
    ck_assert_ptr_null(mr_fair_queue_pop_expired(fair, 250));
    ck_assert_ptr_eq(pop(false), &items[0]);
    ck_assert_ptr_null(pop(false));
}
END_TEST

START_TEST(test_priority_entries_overtake_others)
{
    push("a", 1, false, NO_DEADLINE);
    push("b", 100, false, NO_DEADLINE);
    push("a", 1, true, NO_DEADLINE);
    ck_assert_ptr_eq(pop(true), &items[2]);
    ck_assert_ptr_null(pop(true));
    ck_assert_uint_eq(mr_fair_queue_count(fair), 2);
}
END_TEST

/* Random operations; every entry must leave the queue exactly once. */
START_TEST(test_every_entry_is_popped_exactly_once)
{
    char name[8];
    int left = 0;

    srandom((unsigned)_i);
    while (used < ITEMS || mr_fair_queue_count(fair) > 0) {
        mr_fair_queue_entry_t *entry = NULL;
        int action = (int)(random() % 8);

        if (action < 4 && used < ITEMS) {
            snprintf(name, sizeof(name), "%ld", random() % 5);
            left += push(name, 1 + random() % 7, random() % 3 == 0,
                         random() % 1000);
        }
        else if (action < 6) {
            entry = mr_fair_queue_pop(fair, action == 4);
        }
        else if (action == 6) {
            entry = mr_fair_queue_pop_expired(fair, random() % 1000);
        }
        else if (used > 0 && items[random() % used].entry.account != NULL) {
            for (int i = 0; i < used && entry == NULL; i++) {
                entry = items[i].entry.account ? &items[i].entry : NULL;
            }
            mr_fair_queue_remove(fair, entry);
        }
        if (entry != NULL) {
            ck_assert_int_eq(MR_LIST_ENTRY(entry, item_t, entry)->popped++, 0);
            left--;
        }
        ck_assert_uint_eq(mr_fair_queue_count(fair), (size_t)left);
    }
    ck_assert_int_eq(left, 0);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_turns_follow_the_weights,
                                  test_burst_delays_others_by_one_turn,
                                  test_shares_hold_after_the_heaviest_left,
                                  test_full_queue_rejects_its_account_only,
                                  test_entries_expire_in_deadline_order,
                                  test_priority_entries_overtake_others};

    return RUN_TESTS(tests, .suite = "fair", .setup = set_up,
                     .teardown = tear_down,
                     .loop = {test_every_entry_is_popped_exactly_once, 1, 21});
}
