/* Guards against grants whose sum exceeds the share, and against the use of
 * grants that the limiter already counts as expired. */

#include <check.h>
#include <stdlib.h>

#include "../common/runner.h"
#include "limit/grant.h"

static const mr_limit_amount_t share = {400000, 200000};

static mr_grant_request_t
request_of(const char *instance, int64_t demand, int64_t wanted)
{
    return (mr_grant_request_t){.instance = instance,
                                .process = 1,
                                .demand = demand,
                                .wanted = wanted};
}

/* Sends a grant request and accepts the reply without delay. */
static size_t
round_trip(mr_grant_table_t *table, mr_held_grants_t *hold,
           mr_grant_request_t request, mr_ms_t now, bool *refused)
{
    mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];

    mr_held_grants_report(hold, &request, now);
    size_t count =
        mr_grant_table_handle_request(table, &request, now, items, refused);
    for (size_t i = 0; i < count; i++) {
        mr_held_grants_accept(hold, &items[i], now, now);
    }
    return count;
}

/* Guards also against unused rate: instances that use all their tokens have to
 * reach nearly the whole share. */
START_TEST(test_sum_stays_within_share)
{
    mr_grant_table_t *table = mr_grant_table_create(1, NULL, 0);
    mr_held_grants_t holds[3] = {0};
    const char *names[] = {"a", "b", "c"};
    int64_t admitted = 0;
    bool refused;

    mr_grant_table_set_share(table, share, 300000, 0);
    for (mr_ms_t now = 0; now < 20000; now += 20) {
        int64_t rate = 0;
        for (int i = 0; i < 3; i++) {
            int64_t id;
            round_trip(table, &holds[i], request_of(names[i], 360000, 20), now,
                       &refused);
            while (mr_held_grants_admit(&holds[i], now)) {
                admitted++;
            }
            while ((id = mr_held_grants_take_spent(&holds[i], now)) != 0) {
                mr_grant_table_return(table, names[i], 1, id, now);
            }
        }
        for (int i = 0; i < 3; i++) {
            rate += mr_held_grants_rate(&holds[i], now);
        }
        ck_assert_int_le(rate, share.rate);
        ck_assert_int_le(mr_grant_table_min_share(table, now).rate,
                         share.rate);
        ck_assert_int_le(mr_grant_table_min_share(table, now).burst,
                         share.burst);
    }
    int64_t most = share.rate * 20 + share.burst;
    ck_assert_int_le(admitted * MR_TOKEN_MILLI, most);
    ck_assert_int_gt(admitted * MR_TOKEN_MILLI, share.rate * 20 * 19 / 20);
    mr_grant_table_destroy(table);
}
END_TEST

START_TEST(test_lifetime_counts_from_the_request)
{
    mr_held_grants_t hold = {0};
    mr_msg_grant_item_t item = {.kind = MR_GRANT_SHORT,
                                .id = 5,
                                .rate_milli = 1000000,
                                .burst_milli = 9000,
                                .lifetime_ms = MR_GRANT_SHORT_MS};

    mr_held_grants_accept(&hold, &item, 1000, 1300);
    ck_assert(!mr_held_grants_admit(&hold, 1300)); /* starts empty */
    ck_assert(mr_held_grants_admit(&hold, 1499));
    ck_assert(!mr_held_grants_admit(&hold, 1500));
    item.id = 9;
    mr_held_grants_accept(&hold, &item, 2000, 2500);
    ck_assert_int_eq(mr_held_grants_rate(&hold, 2500), 0);
    /* An older grant that arrives late doesn't replace a newer one. */
    item.lifetime_ms = MR_GRANT_LONG_MS;
    mr_held_grants_accept(&hold, &item, 3000, 3010);
    item.id = 7;
    item.rate_milli = 5;
    mr_held_grants_accept(&hold, &item, 3000, 3010);
    ck_assert_int_eq(mr_held_grants_rate(&hold, 3010), 1000000);
    /* Nor does a grant in a reply that took too long. */
    item.id = 11;
    mr_held_grants_accept(&hold, &item, 3000,
                          3000 + MR_GRANT_REPLY_MAX_AGE_MS);
    ck_assert_int_eq(mr_held_grants_rate(&hold, 3010), 1000000);
}
END_TEST

START_TEST(test_grants_in_lost_replies_are_counted)
{
    mr_grant_table_t *table = mr_grant_table_create(1, NULL, 0);
    mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];
    mr_grant_request_t big = request_of("a", 400000, 0);
    mr_grant_request_t small = request_of("a", 4000, 0);
    bool refused;

    mr_grant_table_set_share(table, share, 300000, 0);
    ck_assert_int_eq(
        mr_grant_table_handle_request(table, &big, 0, items, &refused), 2);
    mr_limit_amount_t before = mr_grant_table_min_share(table, 0);
    mr_grant_table_handle_request(table, &small, 6000, items, &refused);
    ck_assert_int_eq(items[0].kind, MR_GRANT_LONG);
    /* The reply may have been lost, so the larger grant counts until the
     * instance reports the smaller one. */
    ck_assert_int_eq(mr_grant_table_min_share(table, 6000).burst,
                     before.burst);
    small.held_long = items[0].id;
    mr_grant_table_handle_request(table, &small, 6100, items, &refused);
    ck_assert_int_lt(mr_grant_table_min_share(table, 6100).burst,
                     before.burst);
    mr_grant_table_destroy(table);
}
END_TEST

START_TEST(test_successor_waits_and_replaces_reported_grants)
{
    mr_grant_predecessor_t predecessor = {.adopt_from = 1000,
                                          .short_until = 500,
                                          .long_until = 61000,
                                          .share = share,
                                          .long_total = {300000, 100000}};
    mr_grant_table_t *table = mr_grant_table_create(2, &predecessor, 0);
    mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];
    mr_grant_request_t request = request_of("a", 360000, 5);
    bool refused;

    mr_grant_table_set_share(table, share, 300000, 0);
    ck_assert_int_eq(
        mr_grant_table_handle_request(table, &request, 499, items, &refused),
        0);
    ck_assert_int_eq(mr_grant_table_min_share(table, 0).rate, share.rate);
    /* Now the part that LONG grants cannot use is available. */
    ck_assert_int_eq(
        mr_grant_table_handle_request(table, &request, 600, items, &refused),
        1);
    ck_assert_int_eq(items[0].kind, MR_GRANT_SHORT);
    ck_assert_int_le(items[0].rate_milli, share.rate / 4);
    request.held_long = ((int64_t)1 << 32) | 4;
    request.held = (mr_limit_amount_t){12345, 2000};
    request.wanted = 0;
    /* A report that may be older than the takeover is ignored. */
    mr_grant_table_handle_request(table, &request, 900, items, &refused);
    ck_assert_int_ne(items[0].kind, MR_GRANT_LONG);
    mr_grant_table_handle_request(table, &request, 1100, items, &refused);
    ck_assert_int_eq(items[0].kind, MR_GRANT_LONG);
    ck_assert_int_le(items[0].rate_milli, 12345);
    ck_assert_int_le(items[0].burst_milli, 2000);
    ck_assert_int_eq(mr_grant_table_min_share(table, 1100).burst, share.burst);
    /* An instance that reports no LONG grant doesn't get one. */
    mr_grant_request_t other = request_of("b", 360000, 0);
    size_t count =
        mr_grant_table_handle_request(table, &other, 1100, items, &refused);
    for (size_t i = 0; i < count; i++) {
        ck_assert_int_ne(items[i].kind, MR_GRANT_LONG);
    }
    mr_grant_table_destroy(table);
}
END_TEST

START_TEST(test_successor_counts_unknown_short_grants)
{
    mr_grant_predecessor_t predecessor = {.short_until = 500,
                                          .long_until = 61000,
                                          .share = share,
                                          .long_total = {1000, 1000}};
    mr_grant_table_t *table = mr_grant_table_create(2, &predecessor, 0);

    mr_grant_table_set_share(table, share, 300000, 0);
    ck_assert_int_eq(mr_grant_table_min_share(table, 499).rate, share.rate);
    ck_assert_int_eq(mr_grant_table_min_share(table, 499).burst, share.burst);
    ck_assert_int_lt(mr_grant_table_min_share(table, 500).rate, 2000);
    mr_grant_table_destroy(table);
}
END_TEST

START_TEST(test_lower_limit_applies_to_grants_in_force)
{
    mr_held_grants_t hold = {0};
    mr_msg_grant_item_t item = {.kind = MR_GRANT_LONG,
                                .id = 4,
                                .rate_milli = 30000,
                                .burst_milli = 9000,
                                .lifetime_ms = MR_GRANT_LONG_MS};

    mr_held_grants_accept(&hold, &item, 0, 0);
    mr_held_grants_scale(&hold, (mr_limit_amount_t){100000, 50000},
                         (mr_limit_amount_t){50000, 50000}, 10);
    ck_assert_int_eq(mr_held_grants_rate(&hold, 10), 15000);
    mr_held_grants_scale(&hold, (mr_limit_amount_t){50000, 50000},
                         (mr_limit_amount_t){90000, 90000}, 10);
    ck_assert_int_eq(mr_held_grants_rate(&hold, 10), 15000);
}
END_TEST

/* Guards against grants with a small burst, whose full bucket discards its
 * refill, and against LONG grants so large that other instances get no token.
 */
START_TEST(test_low_demand_is_served_with_tokens)
{
    const mr_limit_amount_t small = {25000, 12500};
    mr_grant_table_t *table = mr_grant_table_create(1, NULL, 0);
    mr_held_grants_t holds[5] = {0};
    const char *names[] = {"a", "b", "c", "d", "e"};
    mr_limit_amount_t long_total;
    bool refused;

    mr_grant_table_set_share(table, small, 300000, 0);
    for (mr_ms_t now = 0; now < 4000; now += 50) {
        mr_held_grants_t *hold = &holds[now / 50 % 5];
        const char *name = names[now / 50 % 5];
        int64_t id;
        round_trip(table, hold, request_of(name, 4000, 1), now, &refused);
        ck_assert(now < 100 || mr_held_grants_admit(hold, now));
        while ((id = mr_held_grants_take_spent(hold, now)) != 0) {
            mr_grant_table_return(table, name, 1, id, now);
        }
        long_total = mr_grant_table_long_total(table, now);
        ck_assert_int_le(long_total.rate, small.rate / 4);
        ck_assert_int_le(long_total.burst, small.burst / 4);
        /* The first instance got a rate while it was the only one. */
        ck_assert(now < 1000 || mr_held_grants_rate(hold, now) == 0);
    }
    mr_grant_table_destroy(table);
}
END_TEST

/* Guards against a refusal although a token will be available in time. */
START_TEST(test_refuses_only_without_token_in_time)
{
    mr_grant_table_t *table = mr_grant_table_create(1, NULL, 0);
    mr_grant_request_t own = request_of("a", 360000, 1000);
    mr_grant_request_t other = request_of("z", 0, 1000);
    mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];
    bool refused;

    other.tokens_only = true;
    mr_grant_table_set_share(table, (mr_limit_amount_t){10000, 50000}, 300000,
                             0);
    ck_assert_int_eq(
        mr_grant_table_handle_request(table, &other, 10000, items, &refused),
        1);
    ck_assert(!refused);
    /* The next token is available in 100 ms. */
    ck_assert_int_eq(
        mr_grant_table_handle_request(table, &other, 10000, items, &refused),
        0);
    ck_assert(refused);
    mr_grant_table_set_share(table, (mr_limit_amount_t){100000, 50000}, 300000,
                             10001);
    ck_assert_int_eq(
        mr_grant_table_handle_request(table, &other, 10001, items, &refused),
        0);
    ck_assert(!refused);
    /* Demand above the share is no reason for a refusal either. */
    mr_grant_table_handle_request(table, &own, 10002, items, &refused);
    ck_assert(!refused);
    mr_grant_table_destroy(table);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_sum_stays_within_share,
        test_lifetime_counts_from_the_request,
        test_grants_in_lost_replies_are_counted,
        test_successor_waits_and_replaces_reported_grants,
        test_successor_counts_unknown_short_grants,
        test_low_demand_is_served_with_tokens,
        test_refuses_only_without_token_in_time,
        test_lower_limit_applies_to_grants_in_force};

    return RUN_TESTS(tests, .suite = "grant");
}
