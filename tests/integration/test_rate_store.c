/* Property P7. Guards against shares that are used twice because their holder
 * is uncertain: after lost replies to conditional writes, while a data centre
 * is partitioned, and when a limiter is killed while the store is down. */

#include "harness_rate.h"

START_TEST(test_lost_replies)
{
    harness_t *h = rate_start(60, 30);

    harness_set_platform_faults(h, "{\"lose_replies\":0.4}");
    rate_move_demand(h, 6);
    harness_set_platform_faults(h, "{\"lose_replies\":0.0}");
    rate_move_demand(h, 1);
    rate_finish(h);
}
END_TEST

/* Cuts the links of konya to the other data centres and to the platform, or
 * restores them. */
static void
isolate_konya(harness_t *h, bool cut)
{
    harness_cut_links(h, "konya", "aksaray", cut);
    harness_cut_links(h, "konya", "nigde", cut);
    harness_set_link_faults(h, "konya-*--platform",
                            cut ? "{\"cut\":\"both\"}" : "{\"cut\":\"none\"}");
}

START_TEST(test_cut_data_centre)
{
    harness_t *h = rate_start(60, 30);
    harness_caller_group_t *inside = rate_demand(h, "konya");
    harness_caller_group_t *outside = rate_demand(h, "aksaray");

    harness_run_loop(h->base, 1000);
    isolate_konya(h, true);
    harness_run_loop(h->base, 5000);
    isolate_konya(h, false);
    harness_run_loop(h->base, 3000);
    harness_callers_stop(inside);
    harness_callers_stop(outside);
    rate_finish(h);
}
END_TEST

/* The limiter of one data centre is killed while the store is down. */
START_TEST(test_store_outage)
{
    harness_t *h = rate_start(60, 30);
    harness_caller_group_t *callers = rate_demand(h, NULL);

    harness_run_loop(h->base, 1000);
    harness_process_t *limiter = rate_limiter(h, "aksaray");
    harness_set_platform_faults(h, "{\"down\":true}");
    harness_run_loop(h->base, 1500);
    harness_process_kill(limiter);
    harness_run_loop(h->base, 2000);
    harness_process_start(limiter);
    harness_run_loop(h->base, 1500);
    harness_set_platform_faults(h, "{\"down\":false}");
    harness_run_loop(h->base, 2000);
    harness_callers_stop(callers);
    rate_move_demand(h, 2);
    rate_finish(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_lost_replies, test_cut_data_centre,
                                  test_store_outage};

    return RUN_TESTS(tests, .suite = "rate_store", HARNESS_RUNNER_OPTIONS);
}
