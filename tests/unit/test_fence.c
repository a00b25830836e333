/* Guards against two promotion orders with the same fencing token and against
 * tokens that fall, in particular after the store came back from an older
 * copy, whose versions are given out again. */

#include <float.h>

#include "../common/runner.h"
#include "session/fence.h"

enum {
    NOW = 50000,
    /* Writes per second to the store, by all of its users. */
    WRITES_PER_S = 1200,
    YEARS = 25,
};

/** Stands in for the store's client: a counter, and one row that was written
 * at @row. */
struct mr_store {
    mr_revision_t newest;
    mr_revision_t row;
    bool away;
    int calls;
    mr_store_write_fn_t fn; /* of the call in progress; NULL: none */
    void *ctx;
    mr_revision_t expect;
};

static mr_store_t store;
static mr_fence_t *fence;

int64_t
mr_store_era(const mr_store_t *s)
{
    return s->newest.era;
}

void
mr_store_put(mr_store_t *s, const char *table, const char *key,
             mr_revision_t expect, const void *value, size_t len,
             mr_store_write_fn_t fn, void *ctx)
{
    (void)table;
    (void)key;
    (void)value;
    (void)len;
    ck_assert_ptr_null(s->fn);
    s->calls++;
    s->fn = fn;
    s->ctx = ctx;
    s->expect = expect;
}

/* Ends the call in progress, like the store's client. */
static void
answer(void)
{
    mr_store_write_fn_t fn = store.fn;
    bool outdated =
        store.expect.version != 0 && store.expect.era != store.newest.era;

    store.fn = NULL;
    ck_assert_ptr_nonnull((void *)fn);
    if (store.away) {
        fn(store.ctx, MR_ERR_UNAVAILABLE, (mr_revision_t){0});
    }
    else if (outdated) {
        fn(store.ctx, MR_ERR_CONFLICT, (mr_revision_t){0});
    }
    else if (store.expect.version != store.row.version) {
        fn(store.ctx, MR_ERR_CONFLICT,
           (mr_revision_t){store.newest.era, store.row.version});
    }
    else {
        store.newest.version++;
        store.row = store.newest;
        fn(store.ctx, MR_OK, store.newest);
    }
}

static void
answer_all(void)
{
    while (store.fn != NULL) {
        answer();
    }
}

/* The store comes back from a copy that was made at version @version, when the
 * row had version @row. */
static void
restore(int64_t version, int64_t row)
{
    store.newest.era++;
    store.newest.version = version;
    store.row = (mr_revision_t){store.newest.era, row};
}

static void
set_up(void)
{
    store = (mr_store_t){.newest = {1, 100}};
    fence = mr_fence_create(&(mr_fence_options_t){
        .store = &store, .service = "rez", .instance = "front-1"});
}

static void
tear_down(void)
{
    mr_fence_destroy(fence);
}

static int64_t
take_new(mr_ms_t now)
{
    mr_fence_request(fence, now);
    answer_all();
    return mr_fence_take(fence, 0);
}

START_TEST(test_each_token_is_used_once_and_higher_than_the_last)
{
    int64_t last = 0;

    for (int i = 0; i < 10; i++) {
        int64_t token = take_new(NOW + i);
        ck_assert_int_gt(token, last);
        last = token;
        ck_assert_int_eq(mr_fence_take(fence, 0), 0);
    }
}
END_TEST

START_TEST(test_a_token_after_a_restore_is_higher_than_all_before)
{
    int64_t before = take_new(NOW);

    restore(40, 0);
    int64_t after = take_new(NOW + 1000);
    ck_assert_int_gt(after, before);
    /* The versions are given out again up to the ones before. */
    for (int i = 0; i < 70; i++) {
        int64_t next = take_new(NOW + 2000 + i);
        ck_assert_int_gt(next, after);
        after = next;
    }
}
END_TEST

START_TEST(test_a_reserve_from_before_a_restore_is_not_used)
{
    mr_fence_request(fence, NOW);
    answer_all();
    restore(40, 0);
    ck_assert_int_eq(mr_fence_take(fence, 0), 0);

    mr_fence_request(fence, NOW + 100);
    answer_all();
    restore(40, 41);
    int calls = store.calls;
    mr_fence_refill(fence, NOW + 10000);
    ck_assert_int_gt(store.calls, calls);
    answer_all();
    ck_assert(mr_fence_is_current(fence, mr_fence_take(fence, 0)));
}
END_TEST

START_TEST(test_a_reserve_serves_while_the_store_is_away)
{
    mr_fence_refill(fence, NOW);
    answer_all();
    store.away = true;
    ck_assert_int_gt(take_new(NOW + 5000), 0);
    ck_assert_int_eq(take_new(NOW + 6000), 0);
}
END_TEST

START_TEST(test_a_reserve_below_a_used_token_is_not_used)
{
    mr_fence_t *other = mr_fence_create(&(mr_fence_options_t){
        .store = &store, .service = "rez", .instance = "front-2"});

    mr_fence_refill(fence, NOW);
    answer_all();
    mr_fence_request(other, NOW + 100);
    answer_all();
    int64_t used = mr_fence_take(other, 0);
    store.away = true;
    mr_fence_request(fence, NOW + 200);
    answer_all();
    ck_assert_int_eq(mr_fence_take(fence, used), 0);
    store.away = false;
    mr_fence_request(fence, NOW + 300);
    answer_all();
    ck_assert_int_gt(mr_fence_take(fence, used), used);
    mr_fence_destroy(other);
}
END_TEST

START_TEST(test_a_request_during_a_restore_is_repeated)
{
    take_new(NOW);
    mr_fence_request(fence, NOW + 1000);
    restore(40, 0);
    /* The request reached the copy, in which the condition means nothing. */
    answer_all();
    ck_assert(!mr_fence_waiting(fence, NOW + 1001));
    ck_assert(mr_fence_is_current(fence, mr_fence_take(fence, 0)));

    mr_fence_request(fence, NOW + 2000);
    mr_store_write_fn_t fn = store.fn;
    store.fn = NULL;
    restore(40, 0);
    fn(store.ctx, MR_ERR_OUTCOME_UNKNOWN, (mr_revision_t){0});
    answer_all();
    ck_assert(mr_fence_is_current(fence, mr_fence_take(fence, 0)));
}
END_TEST

START_TEST(test_a_token_of_before_a_restore_is_not_current)
{
    int64_t token = take_new(NOW);

    ck_assert(mr_fence_is_current(fence, token));
    restore(40, 0);
    ck_assert(!mr_fence_is_current(fence, token));
}
END_TEST

START_TEST(test_two_instances_never_get_the_same_token)
{
    mr_fence_t *other = mr_fence_create(&(mr_fence_options_t){
        .store = &store, .service = "rez", .instance = "front-2"});
    int64_t used[40];
    size_t count = 0;

    for (int era = 0; era < 4; era++) {
        for (int i = 0; i < 5; i++) {
            used[count++] = take_new(NOW + i);
            mr_fence_request(other, NOW + i);
            answer_all();
            used[count++] = mr_fence_take(other, 0);
        }
        restore(100, 0);
    }
    for (size_t i = 1; i < count; i++) {
        ck_assert_int_gt(used[i], used[i - 1]);
    }
    mr_fence_destroy(other);
}
END_TEST

START_TEST(test_tokens_stay_exact_in_doubles_for_decades)
{
    int64_t versions = (int64_t)YEARS * 365 * 86400 * WRITES_PER_S;
    int64_t highest = mr_revision_number((mr_revision_t){4000, versions});

    ck_assert_int_gt(highest, 0);
    ck_assert_int_lt(highest, (int64_t)1 << DBL_MANT_DIG);
    ck_assert_int_gt(mr_revision_number((mr_revision_t){4001, 1}), highest);
    /* A version that has no room is not a token, instead of the one of another
     * revision. */
    ck_assert_int_eq(mr_revision_number((mr_revision_t){1, INT64_MAX}), 0);
    ck_assert_int_eq(mr_revision_number((mr_revision_t){1, 0}), 0);
}
END_TEST

START_TEST(test_eras_beyond_the_last_one_give_tokens_by_version)
{
    store.newest.era = 1764900000;
    int64_t first = take_new(NOW);

    ck_assert_int_gt(first, mr_revision_number((mr_revision_t){8191, 1}));
    ck_assert(mr_fence_is_current(fence, first));
    restore(store.newest.version, store.row.version);
    ck_assert_int_gt(take_new(NOW + 1000), first);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_each_token_is_used_once_and_higher_than_the_last,
        test_a_token_after_a_restore_is_higher_than_all_before,
        test_a_reserve_from_before_a_restore_is_not_used,
        test_a_reserve_serves_while_the_store_is_away,
        test_a_reserve_below_a_used_token_is_not_used,
        test_a_request_during_a_restore_is_repeated,
        test_a_token_of_before_a_restore_is_not_current,
        test_two_instances_never_get_the_same_token,
        test_tokens_stay_exact_in_doubles_for_decades,
        test_eras_beyond_the_last_one_give_tokens_by_version,
    };

    return RUN_TESTS(tests, .suite = "fence", .setup = set_up,
                     .teardown = tear_down);
}
