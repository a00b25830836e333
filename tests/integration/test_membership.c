/* Guards against a paused process that declares all others dead, instances
 * that do not rejoin, and violated guarantees while instances fail. */

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

static const char *const data_centres[] = {"konya", "aksaray", "nigde", NULL};

static const harness_options_t options = {
    .data_centres = data_centres,
    .instances = 3,
    .groups = 3,
    .accounts = 2,
    .rate = 2000,
    .burst = 500,
    .connections = 35,
    .connect_ms = 10,
    .proxied = true,
    .trace = "trace.jsonl",
};

/* Returns the number of members of its data centre that @instance sees in
 * @state. */
static int
count_members(harness_t *h, const harness_instance_t *instance,
              const char *state)
{
    json_t *status = harness_status(h, instance);
    size_t i;
    json_t *member;
    int count = 0;

    ck_assert_ptr_nonnull(status);
    json_array_foreach(json_object_get(status, "members"), i, member)
    {
        const char *name, *data_centre;
        ck_assert_int_eq(json_unpack(member, "{s:s,s:s}", "state", &name,
                                     "data_centre", &data_centre),
                         0);
        count += strcmp(name, state) == 0
                         && strcmp(data_centre, instance->data_centre) == 0
                     ? 1
                     : 0;
    }
    json_decref(status);
    return count;
}

static void
wait_members(harness_t *h, const char *instance, const char *state, int count,
             mr_ms_t max)
{
    const harness_instance_t *at = harness_instance(h, instance);
    mr_ms_t end = mr_clock_now(NULL) + max;

    while (count_members(h, at, state) != count) {
        ck_assert_msg(mr_clock_now(NULL) < end, "%s: not %d %s", instance,
                      count, state);
        harness_run_loop(h->base, 50);
    }
}

static void
assert_no_violations(harness_t *h)
{
    harness_trace_versions(h);
    harness_trace_logs(h);
    json_t *violations = harness_check_trace(h);
    char *text = json_dumps(violations, 0);
    ck_assert_msg(json_array_size(violations) == 0, "%s", text);
    free(text);
    json_decref(violations);
}

START_TEST(test_pause_death_and_restart)
{
    harness_t *h = harness_start(&options);
    harness_load_t load = {.callers = 12,
                           .account = -1,
                           .write_percent = 30,
                           .append_percent = 30,
                           .keys = 4,
                           .pause = 20};
    harness_process_t *first = &harness_instance(h, "konya-0")->process;
    harness_process_t *third = &harness_instance(h, "konya-2")->process;

    wait_members(h, "konya-0", "live", 3, 5000);
    harness_caller_group_t *callers = harness_callers_start(h, &load);
    harness_run_loop(h->base, 1000);

    harness_process_signal(first, SIGSTOP);
    wait_members(h, "konya-1", "dead", 1, 4000);
    harness_run_loop(h->base, 2000);
    harness_process_signal(first, SIGCONT);
    ck_assert_int_eq(count_members(h, harness_instance(h, "konya-0"), "dead"),
                     0);
    wait_members(h, "konya-1", "live", 3, 4000);
    ck_assert_int_eq(count_members(h, harness_instance(h, "konya-0"), "dead"),
                     0);

    harness_process_kill(third);
    wait_members(h, "konya-0", "dead", 1, 4000);
    wait_members(h, "konya-1", "dead", 1, 4000);
    /* Joined members do not need the platform, and a new process joins once
     * the platform is back. */
    harness_set_platform_faults(h, "{\"down\":true}");
    harness_run_loop(h->base, 1000);
    ck_assert_int_eq(count_members(h, harness_instance(h, "konya-0"), "live"),
                     2);
    harness_set_platform_faults(h, "{\"down\":false}");
    harness_process_start(third);
    wait_members(h, "konya-0", "live", 3, 5000);
    wait_members(h, "konya-1", "live", 3, 5000);

    harness_counts_t counts = harness_callers_stop(callers);
    harness_print_counts(&counts);
    ck_assert_int_gt(counts.ran, counts.sent / 2);
    assert_no_violations(h);
    harness_end(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_pause_death_and_restart};

    return RUN_TESTS(tests, .suite = "membership", .timeout_s = 90);
}
