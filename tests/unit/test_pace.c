/* Guards against probes of a replica that are sent too early (wasted) or too
 * late (added write latency), or that continue at the full rate while the
 * replica does not advance. */

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

/* Probes like an observer until the replica holds the write. Returns the
 * number of probes; @seen is the time from the write to the last one. */
static int
probe_write(mr_pace_t *pace, int64_t position, mr_ms_t lag, mr_ms_t *seen)
{
    mr_ms_t start = position * 1000;
    mr_ms_t at = start + mr_pace_first_delay(pace);
    int probes = 0;

    mr_pace_start_timing(pace, 1, position, start);
    for (;;) {
        bool holds = at - start >= lag;
        mr_log_state_t state = log_at(1, holds ? position : position - 1);
        probes++;
        mr_pace_record_state(pace, &state, at);
        mr_pace_record_rtt(pace, RTT_MS);
        if (holds) {
            mr_pace_reset_backoff(pace);
            *seen = at - start;
            return probes;
        }
        mr_pace_probe_missed(pace, at - start);
        mr_ms_t interval = mr_pace_interval(pace);
        at += interval > RTT_MS ? interval : RTT_MS;
    }
}

START_TEST(test_follows_the_lag)
{
    static const mr_ms_t lags[] = {LAG_MS, 5 * LAG_MS, LAG_MS / 8};
    mr_pace_t pace = {.has_lag = false};
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

/* Log states that arrive only every 100 ms must not be taken for a lag of
 * 100 ms. */
START_TEST(test_infrequent_reports_do_not_raise_the_lag)
{
    mr_pace_t pace = {.has_lag = false};
    mr_ms_t seen = 0;

    for (int64_t n = 1; n <= WRITES; n++) {
        probe_write(&pace, n, LAG_MS, &seen);
    }
    mr_ms_t first = mr_pace_first_delay(&pace);
    for (int64_t n = 1; n <= WRITES; n++) {
        mr_log_state_t state = log_at(1, WRITES + n);
        mr_pace_start_timing(&pace, 1, WRITES + n, n * 1000000);
        mr_pace_record_state(&pace, &state, n * 1000000 + 100);
    }
    ck_assert_int_eq(mr_pace_first_delay(&pace), first);
}
END_TEST

START_TEST(test_backs_off_while_the_replica_does_not_advance)
{
    mr_pace_t pace = {.has_lag = false};
    mr_ms_t seen = 0;
    mr_ms_t waited = 0;
    int probes = 0;

    for (int64_t n = 1; n <= WRITES; n++) {
        probe_write(&pace, n, LAG_MS, &seen);
    }
    mr_ms_t interval = mr_pace_interval(&pace);
    ck_assert_int_le(interval, LAG_MS / 8 + 1);
    while (waited < 3000) {
        mr_pace_probe_missed(&pace, waited);
        waited += mr_pace_interval(&pace);
        probes++;
    }
    ck_assert_int_le(probes, 3000 / MR_PACE_INTERVAL_MAX_MS + 20);
    ck_assert_int_eq(mr_pace_interval(&pace), MR_PACE_INTERVAL_MAX_MS);
    mr_pace_reset_backoff(&pace);
    ck_assert_int_eq(mr_pace_interval(&pace), interval);
}
END_TEST

/* A divergent log that reached the position holds a different write. */
START_TEST(test_logs_of_other_terms_are_not_timed)
{
    mr_pace_t pace = {.has_lag = false};
    mr_log_state_t older = log_at(1, 50);
    mr_log_state_t newer = log_at(3, 50);

    mr_pace_start_timing(&pace, 2, 10, 1000);
    mr_pace_record_state(&pace, &older, 1010);
    ck_assert(pace.timing);
    mr_pace_record_state(&pace, &newer, 1020);
    ck_assert(!pace.timing && !pace.has_lag);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("pace");
    TCase *tc = tcase_create("pace");

    tcase_add_test(tc, test_follows_the_lag);
    tcase_add_test(tc, test_infrequent_reports_do_not_raise_the_lag);
    tcase_add_test(tc, test_backs_off_while_the_replica_does_not_advance);
    tcase_add_test(tc, test_logs_of_other_terms_are_not_timed);
    suite_add_tcase(suite, tc);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
