/* Guards against planned changes that interrupt requests, take effect late or
 * revert: a revoked key, a leaving target and graceful restarts of instances.
 */

#include <signal.h>

#include "harness.h"

enum { STOP_MAX_MS = 10000 };

static const char *const data_centres[] = {"oviedo", "santander", NULL};

static void
run_and_trace(harness_t *h, int seconds)
{
    for (int i = 0; i < 4 * seconds; i++) {
        harness_run_loop(h->base, 250);
        harness_trace_versions(h);
    }
}

/* Stops an instance like a deployment does, and starts it again. */
static void
restart_instance(harness_t *h, const char *name)
{
    harness_process_t *process = &harness_instance(h, name)->process;

    harness_trace(h, "stopping", json_pack("{s:s}", "instance", name));
    harness_process_signal(process, SIGTERM);
    ck_assert_int_eq(harness_process_wait(process, h->base, STOP_MAX_MS), 0);
    harness_process_start(process);
    run_and_trace(h, 2);
}

START_TEST(test_planned_changes)
{
    static const harness_options_t options = {
        .data_centres = data_centres,
        .instances = 3,
        .groups = 2,
        .accounts = 3,
        .rate = 1000,
        .burst = 300,
        .connections = 35,
        .lag_ms = 10,
        .statement_ms = 2,
        .connect_ms = 10,
        .trace = "trace.jsonl",
    };
    const harness_load_t load = {.callers = 12,
                                 .account = -1,
                                 .write_percent = 30,
                                 .append_percent = 50,
                                 .keys = 4,
                                 .pause = 20};
    harness_t *h = harness_start(&options);
    harness_caller_group_t *callers = harness_callers_start(h, &load);

    run_and_trace(h, 1);
    harness_target_t *leaving = harness_primary(h, 0);
    ck_assert_ptr_nonnull(leaving);
    ck_assert(mr_op_withdraw_key(h->config, h->accounts[2].key_id));
    ck_assert(mr_op_set_leaving(h->config, leaving->process.name, true));
    harness_publish_config(h);
    harness_trace(h, "withdrawn",
                  json_pack("{s:s}", "key", h->accounts[2].key_id));
    harness_trace(h, "leaving",
                  json_pack("{s:s}", "target", leaving->process.name));
    run_and_trace(h, 2);
    for (size_t i = 0; i < h->instance_count; i += 2) {
        restart_instance(h, h->instances[i].process.name);
    }
    run_and_trace(h, 2);
    ck_assert_ptr_ne(harness_primary(h, 0), leaving);

    harness_counts_t counts = harness_callers_stop(callers);
    harness_print_counts(&counts);
    harness_check_and_end(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_planned_changes};

    return RUN_TESTS(tests, .suite = "changes", .timeout_s = 120);
}
