/* Property P8: answers reach the caller of the request, and completely. Links
 * hold bytes back and release them late, answers overtake each other between
 * instances, and connections are reset while answers are in transit. */

#include <glib.h>

#include "harness.h"

enum {
    SEED = 1501,
    ROUNDS = 14,
    DEADLINE_MS = 500,
    CALLERS = 40,
};

static const char *const data_centres[] = {"konya", "aksaray", "karaman",
                                           NULL};

/* Few slots and connections, so that many callers share each connection. Every
 * caller has its own keys, which are part of its answers. */
static const harness_options_t options = {
    .data_centres = data_centres,
    .groups = 2,
    .accounts = 2,
    .slots = 2,
    .connections = 35,
    .lag_ms = 10,
    .proxied = true,
    .trace = "answers.jsonl",
};

static const char *const faulty_links[] = {
    "*--*.g0-*", "*--konya.*", "aksaray--*", "*--*.karaman-0", "konya--*.g1-*",
};

static const struct {
    const char *set;
    const char *clear;
} faults[] = {
    {"{\"hold\":true}", "{\"hold\":false}"},
    {"{\"delay_to_caller_ms\":700}", "{\"delay_to_caller_ms\":0}"},
    {"{\"delay_to_caller_ms\":150}", "{\"reset\":true,\"delay_ms\":0}"},
    {"{\"hold\":true}", "{\"reset\":true,\"hold\":false}"},
    {"{\"cut\":\"to_caller\"}", "{\"cut\":\"none\"}"},
};

START_TEST(test_late_and_crossed_answers)
{
    harness_t *h = harness_start(&options);
    GRand *random = g_rand_new_with_seed(SEED);
    const harness_load_t load = {.callers = CALLERS,
                                 .account = -1,
                                 .write_percent = 30,
                                 .append_percent = 30,
                                 .keys = 2,
                                 .pause = 2,
                                 .deadline = DEADLINE_MS,
                                 .seed = SEED};
    harness_caller_group_t *callers = harness_callers_start(h, &load);

    harness_run_loop(h->base, 500);
    for (int i = 0; i < ROUNDS; i++) {
        const char *link = faulty_links[g_rand_int_range(
            random, 0, G_N_ELEMENTS(faulty_links))];
        int kind = g_rand_int_range(random, 0, G_N_ELEMENTS(faults));
        /* Some answers arrive before the deadline and some after it. */
        harness_set_link_faults(h, link, faults[kind].set);
        harness_run_loop(h->base, g_rand_int_range(random, 100, 1000));
        harness_set_link_faults(h, link, faults[kind].clear);
        harness_run_loop(h->base, 400);
    }
    g_rand_free(random);
    harness_counts_t counts = harness_callers_stop(callers);
    harness_print_counts(&counts);
    ck_assert_int_gt(counts.unknown, 0);
    ck_assert_int_gt(counts.ran, counts.sent / 2);
    harness_run_loop(h->base, 1000);
    harness_wait_primary(h, 0, NULL, 5000);
    harness_wait_primary(h, 1, NULL, 5000);
    harness_check_and_end(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_late_and_crossed_answers};

    return RUN_TESTS(tests, .suite = "answers", HARNESS_RUNNER_OPTIONS);
}
