/* Guards against declaring a primary failed on the report of one instance, on
 * expired reports or on reports about another database, and against counting a
 * report that the same instance has replaced. */

#include "../common/runner.h"
#include "session/primary_health.h"

enum { NOW = 90000 };

static mr_primary_health_t *health;

static void
set_up(void)
{
    health = mr_primary_health_create();
}

static void
tear_down(void)
{
    mr_primary_health_destroy(health);
}

static void
report(const char *instance, mr_ms_t now, const char *id, int64_t failing,
       int64_t answered)
{
    mr_msg_db_health_t reported = {.service = "rez",
                                   .id = id,
                                   .failing_ms = failing,
                                   .answered_ms = answered};

    mr_primary_health_report(health, instance, now, &reported, 1);
}

START_TEST(test_counts_failing_and_answering_instances)
{
    report("one", NOW, "a", 400, 700);
    report("two", NOW, "a", 900, -1);
    report("three", NOW, "a", 0, 100);
    mr_health_summary_t summary =
        mr_primary_health_summarize(health, "rez", "a", NOW);
    ck_assert_uint_eq(summary.failed, 2);
    ck_assert_uint_eq(summary.answered, 1);
    ck_assert_int_eq(summary.longest_failing_ms, 900);
}
END_TEST

START_TEST(test_short_failures_and_old_answers_are_ignored)
{
    report("one", NOW, "a", 249, 300);
    report("two", NOW, "a", 0, MR_HEALTH_ANSWERED_MS + 1);
    mr_health_summary_t summary =
        mr_primary_health_summarize(health, "rez", "a", NOW);
    ck_assert_uint_eq(summary.failed, 0);
    ck_assert_uint_eq(summary.answered, 0);
}
END_TEST

START_TEST(test_other_databases_and_services_do_not_count)
{
    report("one", NOW, "b", 800, -1);
    ck_assert_uint_eq(
        mr_primary_health_summarize(health, "rez", "a", NOW).failed, 0);
    ck_assert_uint_eq(
        mr_primary_health_summarize(health, "other", "b", NOW).failed, 0);
}
END_TEST

START_TEST(test_a_report_replaces_the_previous_one)
{
    report("one", NOW, "a", 800, -1);
    report("one", NOW + 250, "a", 0, 10);
    mr_health_summary_t summary =
        mr_primary_health_summarize(health, "rez", "a", NOW + 250);
    ck_assert_uint_eq(summary.failed, 0);
    ck_assert_uint_eq(summary.answered, 1);
    mr_primary_health_report(health, "one", NOW + 500, NULL, 0);
    summary = mr_primary_health_summarize(health, "rez", "a", NOW + 500);
    ck_assert_uint_eq(summary.answered, 0);
}
END_TEST

START_TEST(test_old_reports_expire)
{
    report("one", NOW, "a", 800, -1);
    ck_assert_uint_eq(
        mr_primary_health_summarize(health, "rez", "a", NOW + 1000).failed, 1);
    ck_assert_uint_eq(
        mr_primary_health_summarize(health, "rez", "a", NOW + 1001).failed, 0);
    report("two", NOW + 1001, "a", 800, -1);
    ck_assert_uint_eq(
        mr_primary_health_summarize(health, "rez", "a", NOW + 1001).failed, 1);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_counts_failing_and_answering_instances,
        test_short_failures_and_old_answers_are_ignored,
        test_other_databases_and_services_do_not_count,
        test_a_report_replaces_the_previous_one,
        test_old_reports_expire,
    };

    return RUN_TESTS(tests, .suite = "primary_health", .setup = set_up,
                     .teardown = tear_down);
}
