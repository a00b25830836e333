/* Guards against probes of replicas that come too early (wasted), too late
 * (added write latency), or go on at full rate while a replica stands still.
 */

#include <check.h>
#include <stdlib.h>

#include "group/pace.h"

enum { RTT_MS = 3, LAG_MS = 40, WRITES = 40 };

static mr_log_state_t
log_at(int64_t term, int64_t position)
{
    return (mr_log_state_t){
        .term = term, .last_term = term, .position = position};
}

/* Probes as an observer does until the replica holds the write; returns the
 * number of probes, and the time of the last one after the write. */
static int
probe_write(mr_pace_t *pace, int64_t position, mr_ms_t lag, mr_ms_t *seen)
{
    mr_ms_t start = position * 1000;
    mr_ms_t at = start + mr_pace_first(pace);
    int probes = 0;

    mr_pace_wrote(pace, 1, position, start);
    for (;;) {
        bool holds = at - start >= lag;
        mr_log_state_t state = log_at(1, holds ? position : position - 1);
        probes++;
        mr_pace_report(pace, &state, at);
        mr_pace_round_trip(pace, RTT_MS);
        if (holds) {
            mr_pace_advanced(pace);
            *seen = at - start;
            return probes;
        }
        mr_pace_missed(pace, at - start);
        mr_ms_t step = mr_pace_step(pace);
        at += step > RTT_MS ? step : RTT_MS;
    }
}

START_TEST(test_follows_the_lag)
{
    static const mr_ms_t lags[] = {LAG_MS, 5 * LAG_MS, LAG_MS / 8};
    mr_pace_t pace = {.measured = false};
    int64_t position = 1;

    for (size_t i = 0; i < sizeof(lags) / sizeof(lags[0]); i++) {
        mr_ms_t seen = 0;
        int probes = 0;
        for (int n = 0; n < WRITES; n++) {
            probes = probe_write(&pace, position++, lags[i], &seen);
        }
        ck_assert_msg(probes <= 4, "%d probes at a lag of %lld", probes,
                      (long long)lags[i]);
        ck_assert_int_le(seen, lags[i] + lags[i] / 8 + 2 * RTT_MS);
    }
}
END_TEST

/* Reports that come by once in 100 ms must not pass for a lag of 100 ms. */
START_TEST(test_rare_reports_do_not_raise_the_lag)
{
    mr_pace_t pace = {.measured = false};
    mr_ms_t seen = 0;

    for (int64_t n = 1; n <= WRITES; n++) {
        probe_write(&pace, n, LAG_MS, &seen);
    }
    mr_ms_t first = mr_pace_first(&pace);
    for (int64_t n = 1; n <= WRITES; n++) {
        mr_log_state_t state = log_at(1, WRITES + n);
        mr_pace_wrote(&pace, 1, WRITES + n, n * 1000000);
        mr_pace_report(&pace, &state, n * 1000000 + 100);
    }
    ck_assert_int_eq(mr_pace_first(&pace), first);
}
END_TEST

START_TEST(test_backs_off_while_nothing_changes)
{
    mr_pace_t pace = {.measured = false};
    mr_ms_t seen = 0;
    mr_ms_t waited = 0;
    int probes = 0;

    for (int64_t n = 1; n <= WRITES; n++) {
        probe_write(&pace, n, LAG_MS, &seen);
    }
    mr_ms_t step = mr_pace_step(&pace);
    ck_assert_int_le(step, LAG_MS / 8 + 1);
    while (waited < 3000) {
        mr_pace_missed(&pace, waited);
        waited += mr_pace_step(&pace);
        probes++;
    }
    ck_assert_int_le(probes, 3000 / MR_PACE_STEP_MAX_MS + 20);
    ck_assert_int_eq(mr_pace_step(&pace), MR_PACE_STEP_MAX_MS);
    mr_pace_advanced(&pace);
    ck_assert_int_eq(mr_pace_step(&pace), step);
}
END_TEST

/* A divergent log that reached the position holds another write. */
START_TEST(test_logs_of_other_terms_are_not_timed)
{
    mr_pace_t pace = {.measured = false};
    mr_log_state_t older = log_at(1, 50);
    mr_log_state_t newer = log_at(3, 50);

    mr_pace_wrote(&pace, 2, 10, 1000);
    mr_pace_report(&pace, &older, 1010);
    ck_assert(pace.timing);
    mr_pace_report(&pace, &newer, 1020);
    ck_assert(!pace.timing && !pace.measured);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("pace");
    TCase *tc = tcase_create("pace");

    tcase_add_test(tc, test_follows_the_lag);
    tcase_add_test(tc, test_rare_reports_do_not_raise_the_lag);
    tcase_add_test(tc, test_backs_off_while_nothing_changes);
    tcase_add_test(tc, test_logs_of_other_terms_are_not_timed);
    suite_add_tcase(suite, tc);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
