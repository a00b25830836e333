/* Guards against acknowledgements, confirmations and ages that the targets'
 * log states do not justify, and against failovers of healthy groups. */

#include "../common/runner.h"
#include "group/view.h"

static mr_log_state_t
log_state(bool primary, int64_t term, int64_t last_term, int64_t position)
{
    return (mr_log_state_t){.primary = primary,
                            .term = term,
                            .last_term = last_term,
                            .position = position};
}

static void
report(mr_view_t *view, size_t index, mr_log_state_t state, mr_ms_t at)
{
    static uint64_t probe_seq;

    mr_view_record_state(view, index, &state, at, ++probe_seq, at);
}

/* Target 0 is primary of term 2 at position 10; replicas 1 and 2 hold the log
 * up to @position. */
static void
start_group(mr_view_t *view, int64_t position, mr_ms_t at)
{
    mr_view_init(view, 3);
    report(view, 0, log_state(true, 2, 2, 10), at);
    report(view, 1, log_state(false, 2, 2, position), at);
    report(view, 2, log_state(false, 2, 2, position), at);
}

START_TEST(test_write_needs_one_replica)
{
    mr_view_t view;

    start_group(&view, 9, 1000);
    ck_assert(!mr_view_acknowledged(&view, 0, 2, 10));
    report(&view, 2, log_state(false, 2, 2, 10), 1010);
    ck_assert(mr_view_acknowledged(&view, 0, 2, 10));
    ck_assert(!mr_view_acknowledged(&view, 0, 2, 11));
}
END_TEST

/* A primary that has granted a higher term reports itself as a replica with
 * its own write as the last entry; its log must not be counted twice. */
START_TEST(test_replaced_primary_does_not_count_as_replica)
{
    mr_view_t view;

    start_group(&view, 9, 1000);
    report(&view, 0, log_state(false, 3, 2, 10), 1010);
    ck_assert(!mr_view_acknowledged(&view, 0, 2, 10));
}
END_TEST

/* A divergent log of an older term may reach the same position. */
START_TEST(test_position_of_another_term_does_not_count)
{
    mr_view_t view;

    mr_view_init(&view, 3);
    report(&view, 0, log_state(true, 3, 3, 10), 1000);
    report(&view, 1, log_state(false, 3, 2, 12), 1000);
    report(&view, 2, log_state(false, 3, 2, 10), 1000);
    ck_assert(!mr_view_acknowledged(&view, 0, 3, 10));
}
END_TEST

/* The primary that executed the write must not count twice. */
START_TEST(test_primary_counts_once)
{
    mr_view_t view;

    mr_view_init(&view, 3);
    report(&view, 0, log_state(true, 2, 2, 10), 1000);
    ck_assert(!mr_view_acknowledged(&view, 0, 2, 10));
}
END_TEST

/* A primary that stepped down reports as a replica that holds its own write.
 */
START_TEST(test_former_primary_counts_once)
{
    mr_view_t view;

    start_group(&view, 9, 1000);
    report(&view, 0, log_state(false, 3, 2, 10), 1010);
    ck_assert(!mr_view_acknowledged(&view, 0, 2, 10));
    report(&view, 1, log_state(false, 2, 2, 10), 1020);
    ck_assert(mr_view_acknowledged(&view, 0, 2, 10));
}
END_TEST

START_TEST(test_confirmation_needs_fresh_answers)
{
    mr_view_t view;

    mr_view_init(&view, 3);
    mr_log_state_t primary = log_state(true, 2, 2, 10);
    mr_log_state_t replica = log_state(false, 2, 2, 10);
    mr_log_state_t fenced = log_state(false, 3, 2, 10);
    mr_view_record_state(&view, 0, &primary, 1000, 1, 1000);
    mr_view_record_state(&view, 1, &replica, 1000, 2, 1000);
    ck_assert(!mr_view_confirmed(&view, 2, 2));
    mr_view_record_state(&view, 0, &primary, 1010, 3, 1010);
    ck_assert(!mr_view_confirmed(&view, 2, 2));
    /* A replica that granted a higher term does not confirm. */
    mr_view_record_state(&view, 1, &fenced, 1010, 4, 1010);
    ck_assert(!mr_view_confirmed(&view, 2, 2));
    mr_view_record_state(&view, 2, &replica, 1010, 5, 1010);
    ck_assert(mr_view_confirmed(&view, 2, 2));
}
END_TEST

START_TEST(test_isolated_primary_is_not_the_primary)
{
    mr_view_t view;

    start_group(&view, 10, 1000);
    ck_assert_uint_eq(mr_view_primary(&view, 1000), 0);
    report(&view, 1, log_state(true, 3, 3, 11), 1100);
    ck_assert_uint_eq(mr_view_primary(&view, 1100), 1);
    ck_assert_int_eq(mr_view_highest_term(&view), 3);
}
END_TEST

START_TEST(test_lost_primary_is_replaced_only_with_a_majority)
{
    mr_view_t view;

    start_group(&view, 10, 1000);
    ck_assert_int_eq(mr_view_failover_reason(&view, 1100),
                     MR_VIEW_NO_FAILOVER);
    report(&view, 1, log_state(false, 2, 2, 10), 1350);
    ck_assert_int_eq(mr_view_failover_reason(&view, 1350),
                     MR_VIEW_NO_FAILOVER);
    report(&view, 2, log_state(false, 2, 2, 10), 1350);
    ck_assert_int_eq(mr_view_failover_reason(&view, 1350),
                     MR_VIEW_PRIMARY_LOST);
}
END_TEST

START_TEST(test_refused_connections_shorten_failure_detection)
{
    mr_view_t view;

    start_group(&view, 10, 1000);
    mr_view_record_refusal(&view, 0);
    ck_assert_int_eq(mr_view_failover_reason(&view, 1050),
                     MR_VIEW_NO_FAILOVER);
    mr_view_record_refusal(&view, 0);
    ck_assert_int_eq(mr_view_failover_reason(&view, 1050),
                     MR_VIEW_PRIMARY_LOST);
}
END_TEST

/* Neither a replica that lags but advances nor a burst of writes after an idle
 * period may cause a failover. */
START_TEST(test_stall_needs_replicas_that_do_not_advance)
{
    mr_view_t view;
    mr_ms_t at = 1000;

    start_group(&view, 10, at);
    at += 60000;
    report(&view, 1, log_state(false, 2, 2, 10), at);
    report(&view, 2, log_state(false, 2, 2, 10), at);
    report(&view, 0, log_state(true, 2, 2, 50), at);
    ck_assert_int_eq(mr_view_failover_reason(&view, at), MR_VIEW_NO_FAILOVER);
    for (int64_t position = 11; position < 20; position++) {
        at += 1000;
        report(&view, 0, log_state(true, 2, 2, 100), at);
        report(&view, 1, log_state(false, 2, 2, position), at);
        report(&view, 2, log_state(false, 2, 2, 10), at);
        ck_assert_int_eq(mr_view_failover_reason(&view, at),
                         MR_VIEW_NO_FAILOVER);
    }
    for (int i = 0; i < 4; i++) {
        at += 1000;
        report(&view, 0, log_state(true, 2, 2, 100), at);
        report(&view, 1, log_state(false, 2, 2, 19), at);
        report(&view, 2, log_state(false, 2, 2, 10), at);
    }
    ck_assert_int_eq(mr_view_failover_reason(&view, at),
                     MR_VIEW_PRIMARY_STALLED);
}
END_TEST

START_TEST(test_leaving_primary_waits_for_a_successor)
{
    mr_view_t view;

    start_group(&view, 9, 1000);
    view.targets[0].leaving = true;
    ck_assert_int_eq(mr_view_failover_reason(&view, 1000),
                     MR_VIEW_NO_FAILOVER);
    report(&view, 1, log_state(false, 2, 2, 10), 1010);
    ck_assert_int_eq(mr_view_failover_reason(&view, 1010),
                     MR_VIEW_PRIMARY_LEAVING);
    view.targets[1].leaving = true;
    ck_assert_int_eq(mr_view_failover_reason(&view, 1010),
                     MR_VIEW_NO_FAILOVER);
}
END_TEST

START_TEST(test_age_grows_while_the_primary_is_silent)
{
    mr_view_t view;
    mr_log_state_t replica = log_state(false, 2, 2, 10);
    mr_log_state_t behind = log_state(false, 2, 2, 9);

    start_group(&view, 10, 1000);
    ck_assert_int_eq(mr_view_age(&view, &replica, 1200), 200);
    ck_assert_int_eq(mr_view_age(&view, &behind, 1200), -1);
    report(&view, 1, replica, 5000);
    ck_assert_int_eq(mr_view_age(&view, &replica, 5000), 4000);
}
END_TEST

/* The answers of an isolated former primary without a majority must not make
 * data look recent. */
START_TEST(test_age_needs_a_majority_for_the_primary)
{
    mr_view_t view;
    mr_log_state_t old = log_state(true, 2, 2, 10);

    start_group(&view, 10, 1000);
    for (mr_ms_t at = 1100; at <= 3000; at += 100) {
        report(&view, 0, old, at);
    }
    ck_assert_int_eq(mr_view_age(&view, &old, 3000), 2000);
}
END_TEST

START_TEST(test_outdated_answers_are_ignored)
{
    mr_view_t view;
    mr_log_state_t old = log_state(false, 2, 2, 8);

    start_group(&view, 10, 1000);
    mr_view_record_state(&view, 1, &old, 900, 0, 1010);
    ck_assert_int_eq(view.targets[1].state.position, 10);
    old.term = 1;
    mr_view_record_state(&view, 1, &old, 1020, 0, 1020);
    ck_assert_int_eq(view.targets[1].state.term, 2);
}
END_TEST

START_TEST(test_health_needs_a_majority)
{
    mr_view_t view;

    start_group(&view, 10, 1000);
    ck_assert(mr_view_healthy(&view, 1000));
    report(&view, 0, log_state(true, 2, 2, 10), 1400);
    ck_assert(!mr_view_healthy(&view, 1400));
    report(&view, 2, log_state(false, 2, 2, 10), 1400);
    ck_assert(mr_view_healthy(&view, 1400));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_write_needs_one_replica,
        test_replaced_primary_does_not_count_as_replica,
        test_position_of_another_term_does_not_count,
        test_primary_counts_once,
        test_former_primary_counts_once,
        test_confirmation_needs_fresh_answers,
        test_isolated_primary_is_not_the_primary,
        test_lost_primary_is_replaced_only_with_a_majority,
        test_refused_connections_shorten_failure_detection,
        test_stall_needs_replicas_that_do_not_advance,
        test_leaving_primary_waits_for_a_successor,
        test_age_grows_while_the_primary_is_silent,
        test_age_needs_a_majority_for_the_primary,
        test_outdated_answers_are_ignored,
        test_health_needs_a_majority};

    return RUN_TESTS(tests, .suite = "view");
}
