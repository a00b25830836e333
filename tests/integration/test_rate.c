/* Property P7. Guards against an account that gets more than its rate and
 * burst from all instances together: shares that two data centres use while
 * demand moves between them, buckets that are full after a restart of the
 * daemon, and grants that are used after their expiry by a paused process. */

#include <signal.h>

#include "harness_rate.h"

enum { TAKEOVER_MS = 7500 /* above MR_LEASE_MS */ };

START_TEST(test_demand_moves)
{
    harness_t *h = rate_start(60, 30);

    rate_move_demand(h, 7);
    rate_finish(h);
}
END_TEST

/* The burst is used up first. It is several times what the rate yields during
 * the test. */
START_TEST(test_restarted_daemons)
{
    harness_t *h = rate_start(20, 300);
    harness_caller_group_t *callers = rate_demand(h, NULL);

    harness_run_loop(h->base, 4000);
    for (size_t i = 0; i < 2 * h->instance_count; i++) {
        harness_process_t *process =
            &h->instances[i % h->instance_count].process;
        harness_process_kill(process);
        harness_process_start(process);
        harness_run_loop(h->base, 400);
    }
    harness_run_loop(h->base, 500);
    harness_callers_stop(callers);
    rate_finish(h);
}
END_TEST

/* The limiter is paused until another one has taken over. It resumes with its
 * old grants and bucket. */
START_TEST(test_paused_limiter)
{
    harness_t *h = rate_start(60, 30);
    harness_caller_group_t *callers = rate_demand(h, "konya");

    harness_run_loop(h->base, 1000);
    harness_process_t *limiter = rate_limiter(h, "konya");
    harness_process_signal(limiter, SIGSTOP);
    harness_run_loop(h->base, TAKEOVER_MS);
    harness_process_t *successor = rate_limiter(h, "konya");
    ck_assert_ptr_ne(limiter, successor);
    harness_process_signal(limiter, SIGCONT);
    harness_run_loop(h->base, 1000);
    harness_callers_stop(callers);
    rate_move_demand(h, 2);
    rate_finish(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_demand_moves, test_restarted_daemons,
                                  test_paused_limiter};

    return RUN_TESTS(tests, .suite = "rate", HARNESS_RUNNER_OPTIONS);
}
