/* Tests the supervisor: modules that start or stop out of order, a failed
 * module that is not restarted or is restarted without limit, and a drain that
 * hangs. */

#include <stdio.h>
#include <string.h>

#include "../common/runner.h"
#include "common/log.h"
#include "daemon/supervisor.h"

enum { CHILDREN = 3 };

typedef struct module {
    char name[2];
    int failing_starts;
    bool delays_drain;
    mr_supervisor_done_fn_t done;
    void *done_ctx;
} module_t;

static struct event_base *base;
static mr_counters_t *counters;
static mr_supervisor_t *supervisor;
static mr_clock_t manual_clock;
static module_t modules[CHILDREN];
/* Calls to the modules: "+a" start, "!a" failed start, "~a" drain, "-a" stop.
 */
static char calls[256];
static char failed[8];
static int stopped;

static void
record_call(const char *what, const module_t *module)
{
    size_t len = strlen(calls);

    snprintf(calls + len, sizeof(calls) - len, "%s%s ", what, module->name);
}

static bool
start(void *ctx)
{
    module_t *module = ctx;

    if (module->failing_starts > 0) {
        module->failing_starts--;
        record_call("!", module);
        return false;
    }
    record_call("+", module);
    return true;
}

static void
drain(void *ctx, mr_supervisor_done_fn_t done, void *done_ctx)
{
    module_t *module = ctx;

    record_call("~", module);
    module->done = done;
    module->done_ctx = done_ctx;
    if (!module->delays_drain) {
        done(done_ctx);
    }
}

static void
stop(void *ctx)
{
    record_call("-", ctx);
}

static void
on_failed(void *ctx, const char *name)
{
    (void)ctx;
    snprintf(failed, sizeof(failed), "%s", name);
}

static void
on_stopped(void *ctx)
{
    (void)ctx;
    stopped++;
}

static void
run_for(int ms)
{
    struct timeval tv = {.tv_usec = ms * 1000};

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

static void
setup(void)
{
    mr_log_setup("test", MR_LOG_ERROR);
    memset(modules, 0, sizeof(modules));
    calls[0] = '\0';
    failed[0] = '\0';
    stopped = 0;
    manual_clock.kind = MR_CLOCK_MANUAL;
    manual_clock.u.manual.now = 0;
    base = event_base_new();
    counters = mr_counters_create();
    mr_supervisor_options_t options = {.base = base,
                                       .counters = counters,
                                       .clock = &manual_clock,
                                       .backoff = 1,
                                       .failed = on_failed};
    supervisor = mr_supervisor_create(&options);
    for (int i = 0; i < CHILDREN; i++) {
        modules[i].name[0] = (char)('a' + i);
        mr_supervisor_child_t child = {.name = modules[i].name,
                                       .ctx = &modules[i],
                                       .start = start,
                                       .drain = i == 0 ? NULL : drain,
                                       .stop = stop};
        mr_supervisor_add(supervisor, &child);
    }
}

static void
teardown(void)
{
    mr_supervisor_destroy(supervisor);
    mr_counters_destroy(counters);
    event_base_free(base);
}

START_TEST(test_order_of_start_and_stop)
{
    mr_supervisor_start(supervisor);
    ck_assert(mr_supervisor_running(supervisor));
    mr_supervisor_stop(supervisor, 1000, on_stopped, NULL);
    ck_assert_int_eq(stopped, 0);
    run_for(20);
    ck_assert_str_eq(calls, "+a +b +c ~c ~b -c -b -a ");
    ck_assert_int_eq(stopped, 1);
}
END_TEST

START_TEST(test_failed_child_restarts_with_those_after_it)
{
    mr_supervisor_start(supervisor);
    mr_supervisor_report_failure(supervisor, "b");
    mr_supervisor_report_failure(supervisor, "c");
    run_for(30);
    ck_assert_str_eq(calls, "+a +b +c -c -b +b +c ");
    ck_assert(mr_supervisor_running(supervisor));
}
END_TEST

START_TEST(test_failed_start_is_tried_again)
{
    modules[1].failing_starts = 2;
    mr_supervisor_start(supervisor);
    ck_assert(!mr_supervisor_running(supervisor));
    run_for(50);
    ck_assert_str_eq(calls, "+a !b !b +b +c ");
    ck_assert_str_eq(failed, "");
}
END_TEST

START_TEST(test_sixth_failure_in_a_minute_is_final)
{
    mr_supervisor_start(supervisor);
    for (int i = 0; i < MR_SUPERVISOR_RESTARTS_MAX; i++) {
        manual_clock.u.manual.now += 1000;
        mr_supervisor_report_failure(supervisor, "b");
        run_for(60);
        ck_assert(mr_supervisor_running(supervisor));
    }
    mr_supervisor_report_failure(supervisor, "b");
    run_for(60);
    ck_assert_str_eq(failed, "b");
    ck_assert(!mr_supervisor_running(supervisor));
}
END_TEST

START_TEST(test_rare_failures_are_always_restarted)
{
    mr_supervisor_start(supervisor);
    for (int i = 0; i < 3 * MR_SUPERVISOR_RESTARTS_MAX; i++) {
        manual_clock.u.manual.now +=
            MR_SUPERVISOR_WINDOW_MS / MR_SUPERVISOR_RESTARTS_MAX;
        mr_supervisor_report_failure(supervisor, "b");
        run_for(40);
    }
    ck_assert_str_eq(failed, "");
    ck_assert(mr_supervisor_running(supervisor));
}
END_TEST

START_TEST(test_drain_waits_and_has_a_deadline)
{
    modules[2].delays_drain = true;
    modules[1].delays_drain = true;
    mr_supervisor_start(supervisor);
    mr_supervisor_stop(supervisor, 100, on_stopped, NULL);
    run_for(20);
    ck_assert_str_eq(calls, "+a +b +c ~c ");
    modules[2].done(modules[2].done_ctx);
    run_for(20);
    ck_assert_str_eq(calls, "+a +b +c ~c ~b ");
    ck_assert_int_eq(stopped, 0);
    run_for(100);
    ck_assert_str_eq(calls, "+a +b +c ~c ~b -c -b -a ");
    ck_assert_int_eq(stopped, 1);
}
END_TEST

START_TEST(test_child_that_fails_in_its_drain_is_not_waited_for)
{
    modules[2].delays_drain = true;
    mr_supervisor_start(supervisor);
    mr_supervisor_stop(supervisor, 5000, on_stopped, NULL);
    run_for(20);
    mr_supervisor_report_failure(supervisor, "c");
    run_for(20);
    ck_assert_str_eq(calls, "+a +b +c ~c ~b -c -b -a ");
    ck_assert_int_eq(stopped, 1);
}
END_TEST

START_TEST(test_stop_during_a_back_off)
{
    mr_supervisor_start(supervisor);
    modules[1].failing_starts = 1000;
    mr_supervisor_report_failure(supervisor, "b");
    event_base_loop(base, EVLOOP_NONBLOCK);
    mr_supervisor_stop(supervisor, 1000, on_stopped, NULL);
    run_for(50);
    ck_assert_str_eq(calls, "+a +b +c -c -b -a ");
    ck_assert_int_eq(stopped, 1);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_order_of_start_and_stop,
        test_failed_child_restarts_with_those_after_it,
        test_failed_start_is_tried_again,
        test_sixth_failure_in_a_minute_is_final,
        test_rare_failures_are_always_restarted,
        test_drain_waits_and_has_a_deadline,
        test_child_that_fails_in_its_drain_is_not_waited_for,
        test_stop_during_a_back_off};

    return RUN_TESTS(tests, .suite = "supervisor", .setup = setup,
                     .teardown = teardown);
}
