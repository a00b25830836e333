/* Guards against a primary that counts as dead on one instance's word, on old
 * reports or on reports about another database, and against reports that stay
 * when an instance says something else. */

#include "../common/runner.h"
#include "session/sights.h"

enum { NOW = 90000 };

static mr_sights_t *sights;

static void
set_up(void)
{
    sights = mr_sights_create();
}

static void
tear_down(void)
{
    mr_sights_destroy(sights);
}

static void
report(const char *instance, mr_ms_t now, const char *id, int64_t failing,
       int64_t answered)
{
    mr_msg_db_health_t health = {.service = "rez",
                                 .id = id,
                                 .failing_ms = failing,
                                 .answered_ms = answered};

    mr_sights_report(sights, instance, now, &health, 1);
}

START_TEST(test_counts_instances)
{
    report("one", NOW, "a", 400, 700);
    report("two", NOW, "a", 900, -1);
    report("three", NOW, "a", 0, 100);
    mr_verdict_t verdict = mr_sights_judge(sights, "rez", "a", NOW);
    ck_assert_uint_eq(verdict.failed, 2);
    ck_assert_uint_eq(verdict.answered, 1);
    ck_assert_int_eq(verdict.failing_ms, 900);
}
END_TEST

START_TEST(test_short_failures_and_old_answers_say_nothing)
{
    report("one", NOW, "a", 249, 300);
    report("two", NOW, "a", 0, MR_SIGHTS_ANSWERED_MS + 1);
    mr_verdict_t verdict = mr_sights_judge(sights, "rez", "a", NOW);
    ck_assert_uint_eq(verdict.failed, 0);
    ck_assert_uint_eq(verdict.answered, 0);
}
END_TEST

START_TEST(test_other_databases_and_services_do_not_count)
{
    report("one", NOW, "b", 800, -1);
    ck_assert_uint_eq(mr_sights_judge(sights, "rez", "a", NOW).failed, 0);
    ck_assert_uint_eq(mr_sights_judge(sights, "other", "b", NOW).failed, 0);
}
END_TEST

START_TEST(test_a_report_replaces_the_former_one)
{
    report("one", NOW, "a", 800, -1);
    report("one", NOW + 250, "a", 0, 10);
    mr_verdict_t verdict = mr_sights_judge(sights, "rez", "a", NOW + 250);
    ck_assert_uint_eq(verdict.failed, 0);
    ck_assert_uint_eq(verdict.answered, 1);
    mr_sights_report(sights, "one", NOW + 500, NULL, 0);
    verdict = mr_sights_judge(sights, "rez", "a", NOW + 500);
    ck_assert_uint_eq(verdict.answered, 0);
}
END_TEST

START_TEST(test_old_reports_are_forgotten)
{
    report("one", NOW, "a", 800, -1);
    ck_assert_uint_eq(mr_sights_judge(sights, "rez", "a", NOW + 1000).failed,
                      1);
    ck_assert_uint_eq(mr_sights_judge(sights, "rez", "a", NOW + 1001).failed,
                      0);
    report("two", NOW + 1001, "a", 800, -1);
    ck_assert_uint_eq(mr_sights_judge(sights, "rez", "a", NOW + 1001).failed,
                      1);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_counts_instances,
        test_short_failures_and_old_answers_say_nothing,
        test_other_databases_and_services_do_not_count,
        test_a_report_replaces_the_former_one,
        test_old_reports_are_forgotten,
    };

    return RUN_TESTS(tests, .suite = "sights", .setup = set_up,
                     .teardown = tear_down);
}
