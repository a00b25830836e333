/* Guards against tokens that are available too early: at the start, after a
 * pause, because of rounding, or after the expiry. */

#include "../common/runner.h"
#include "limit/bucket.h"

START_TEST(test_starts_empty_and_refills_exactly)
{
    mr_bucket_t b;

    mr_bucket_init(&b, (mr_limit_amount_t){333, 2000}, 1000, INT64_MAX);
    ck_assert_int_eq(mr_bucket_level(&b, 1000), 0);
    /* 3 s at 0.333 per second, from the next reading on. */
    ck_assert_int_eq(mr_bucket_level(&b, 4001), 999);
    for (mr_ms_t now = 4002; now <= 5001; now++) {
        mr_bucket_level(&b, now);
    }
    ck_assert_int_eq(mr_bucket_level(&b, 5001), 1332);
    ck_assert_int_eq(mr_bucket_level(&b, 1000000), 2000);
}
END_TEST

START_TEST(test_takes_and_expires)
{
    mr_bucket_t b;

    mr_bucket_init(&b, (mr_limit_amount_t){1000000, 3000}, 0, 100);
    ck_assert_int_eq(mr_bucket_take(&b, 5000, 50), 3000);
    ck_assert_int_eq(mr_bucket_take(&b, 5000, 50), 0);
    /* A full bucket starts to refill at the reading after its use. */
    ck_assert_int_eq(mr_bucket_level(&b, 51), 0);
    ck_assert_int_eq(mr_bucket_level(&b, 52), 1000);
    ck_assert_int_eq(mr_bucket_level(&b, 100), 0);
    mr_bucket_put(&b, 1000, 100);
    ck_assert_int_eq(mr_bucket_level(&b, 100), 0);
    /* A new grant after the expiry starts empty. */
    mr_bucket_change(&b, (mr_limit_amount_t){1000, 3000}, 5000, 9000);
    ck_assert_int_eq(mr_bucket_level(&b, 5000), 0);
    ck_assert_int_eq(mr_bucket_level(&b, 6001), 1000);
}
END_TEST

START_TEST(test_change_keeps_what_fits)
{
    mr_bucket_t b;

    mr_bucket_init(&b, (mr_limit_amount_t){1000, 9000}, 0, INT64_MAX);
    ck_assert_int_eq(mr_bucket_level(&b, 8001), 8000);
    mr_bucket_change(&b, (mr_limit_amount_t){100, 5000}, 8001, INT64_MAX);
    ck_assert_int_eq(mr_bucket_level(&b, 8001), 5000);
    mr_bucket_change(&b, (mr_limit_amount_t){100, 9000}, 8001, INT64_MAX);
    ck_assert_int_eq(mr_bucket_level(&b, 8001), 5000);
}
END_TEST

START_TEST(test_expiry_wait_allows_for_clock_rates)
{
    /* The holder's clock is 0.75 % slow and the waiter's is 0.75 % fast. */
    mr_ms_t holder = 60000 * 10075 / 10000;
    mr_ms_t waiter = mr_limit_expiry_wait(60000) * 10000 / 10075;

    ck_assert_int_ge(waiter, holder);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_starts_empty_and_refills_exactly, test_takes_and_expires,
        test_change_keeps_what_fits, test_expiry_wait_allows_for_clock_rates};

    return RUN_TESTS(tests, .suite = "bucket");
}
