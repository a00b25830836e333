/* Guards against wrongful refusals (section 1.3 of the design) in a rolling
 * restart: requests of accounts far below their rate must not be refused
 * because instances are stopped and started. */

#include <signal.h>

#include "harness.h"

enum { SEED = 1702, STOP_LIMIT_MS = 8000, PER_CENT = 100 };

static const char *const data_centres[] = {"konya", "aksaray", "karaman",
                                           NULL};

static const harness_options_t options = {
    .data_centres = data_centres,
    .instances = 2,
    .groups = 2,
    .accounts = 2,
    .statement_ms = 2,
    .trace = "roll-out-rate.jsonl",
};

START_TEST(test_no_wrongful_refusals)
{
    harness_t *h = harness_start(&options);
    const harness_load_t load = {.callers = 24,
                                 .account = -1,
                                 .write_percent = 50,
                                 .append_percent = 60,
                                 .keys = 2,
                                 .pause = 2,
                                 .seed = SEED};
    harness_caller_group_t *callers = harness_callers_start(h, &load);

    for (size_t i = 0; i < h->instance_count; i++) {
        harness_process_t *process = &h->instances[i].process;
        harness_run_loop(h->base, 1000);
        harness_process_signal(process, SIGTERM);
        ck_assert_int_eq(harness_process_wait(process, h->base, STOP_LIMIT_MS),
                         0);
        harness_instance_start(h, &h->instances[i]);
    }
    harness_counts_t counts = harness_callers_stop(callers);
    printf("%lld of %lld requests refused as rate_limited\n",
           (long long)counts.rate_limited, (long long)counts.sent);
    ck_assert_msg(counts.rate_limited * PER_CENT <= counts.sent,
                  "%lld of %lld requests refused as rate_limited",
                  (long long)counts.rate_limited, (long long)counts.sent);
    harness_check_and_end(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_no_wrongful_refusals};

    return RUN_TESTS(tests, .suite = "roll_out_rate", HARNESS_RUNNER_OPTIONS);
}
