/* Property P11 of the trace checker: a leaving target gets no new work.
 * Guards against statements and transactions that are sent to a target that is
 * leaving per configuration, its own status or only the platform's instance
 * list. Work in progress must complete, and a leaving primary must be replaced
 * without any request of unknown outcome. */

#include <string.h>

#include "harness.h"

enum {
    SEED = 1601,
    /* Time within which new work must no longer reach a leaving target. */
    LEAVING_MS = 3500,
    QUIET_MS = 1500,
    LIST_LAG_MS = 500,
    STATEMENT_MS = 1500,
};

static const char *const data_centres[] = {"konya", "aksaray", "karaman",
                                           NULL};

static const harness_load_t load = {.callers = 12,
                                    .account = -1,
                                    .write_percent = 30,
                                    .append_percent = 30,
                                    .keys = 2,
                                    .pause = 5,
                                    .seed = SEED};

static harness_t *
start(void)
{
    const harness_options_t options = {
        .data_centres = data_centres,
        .list_lag_ms = LIST_LAG_MS,
        .proxied = true,
        .trace = "leaving.jsonl",
    };

    return harness_start(&options);
}

static void
leave_by_configuration(harness_t *h, const harness_target_t *target)
{
    ck_assert(mr_op_set_leaving(h->config, target->process.name, true));
    harness_publish_config(h);
}

static void
leave_by_status(harness_t *h, const harness_target_t *target)
{
    harness_set_target_faults(h, target->process.name, "{\"leaving\":true}");
}

static void
leave_by_list(harness_t *h, const harness_target_t *target)
{
    char path[2 * HARNESS_NAME_BYTES];
    char body[HARNESS_PATH_BYTES];

    snprintf(path, sizeof(path), "/instances/%s", target->process.name);
    snprintf(body, sizeof(body),
             "{\"data_centre\":\"%s\",\"address\":\"%s\",\"kind\":\"target\","
             "\"state\":\"leaving\"}",
             target->data_centre, target->process.address);
    ck_assert_int_eq(harness_http(h->base, "PUT", h->platform.address, path,
                                  NULL, body, NULL),
                     200);
}

/* Number of statements and transactions in the target's record, without
 * probes. */
static int
count_requests(harness_t *h, const harness_target_t *target)
{
    char path[2 * HARNESS_PATH_BYTES];
    char *line = NULL;
    size_t size = 0;
    int count = 0;

    snprintf(path, sizeof(path), "%s/%s.record", h->folder,
             target->process.name);
    FILE *file = fopen(path, "re");
    ck_assert_ptr_nonnull(file);
    while (getline(&line, &size, file) > 0) {
        count += strstr(line, "POST /execute") != NULL
                         || strstr(line, "POST /begin") != NULL
                     ? 1
                     : 0;
    }
    free(line);
    fclose(file);
    return count;
}

static void
check_leaving(const char *name,
              void (*leave)(harness_t *h, const harness_target_t *target))
{
    harness_t *h = start();
    harness_target_t *target = harness_target(h, name);
    bool primary = harness_primary(h, 0) == target;
    harness_session_t *session = harness_session_open(h, 0);
    const harness_request_t slow = {.op = "sleep",
                                    .shard = "slow",
                                    .sleep = STATEMENT_MS,
                                    .write = primary,
                                    .deadline = 4 * STATEMENT_MS};
    harness_caller_group_t *callers = harness_callers_start(h, &load);

    harness_run_loop(h->base, 500);
    harness_call_t *call = harness_call(session, &slow);
    /* Reads prefer the replica in the data centre of the instance. */
    char instance[HARNESS_NAME_BYTES];
    snprintf(instance, sizeof(instance), "%s-0", target->data_centre);
    harness_call_send(call, instance);
    harness_run_loop(h->base, 100);
    harness_trace(h, "leaving",
                  json_pack("{s:s}", "target", target->process.name));
    leave(h, target);
    mr_ms_t begin = mr_clock_now(NULL);
    harness_answer_t answer = harness_call_end(call);
    ck_assert_msg(strcmp(answer.kind, "ok") == 0, "the running statement: %s",
                  answer.kind);
    ck_assert_str_eq(answer.served_by, name);
    harness_run_loop(h->base, LEAVING_MS - (mr_clock_now(NULL) - begin));
    int before = count_requests(h, target);
    harness_run_loop(h->base, QUIET_MS);
    ck_assert_int_eq(count_requests(h, target), before);
    if (primary) {
        ck_assert_ptr_ne(harness_primary(h, 0), target);
    }
    harness_counts_t counts = harness_callers_stop(callers);
    printf("%s: ", name);
    harness_print_counts(&counts);
    ck_assert_int_eq(counts.unknown, 0);
    ck_assert_int_gt(counts.ran, counts.sent * 9 / 10);
    harness_session_close(session);
    harness_check_and_end(h);
}

START_TEST(test_replica_by_configuration)
{
    check_leaving("g0-b", leave_by_configuration);
}
END_TEST

START_TEST(test_replica_by_list)
{
    check_leaving("g0-c", leave_by_list);
}
END_TEST

START_TEST(test_primary_by_status)
{
    check_leaving("g0-a", leave_by_status);
}
END_TEST

START_TEST(test_primary_by_configuration)
{
    check_leaving("g0-a", leave_by_configuration);
}
END_TEST

START_TEST(test_primary_by_list)
{
    check_leaving("g0-a", leave_by_list);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_replica_by_configuration,
                                  test_replica_by_list, test_primary_by_status,
                                  test_primary_by_configuration,
                                  test_primary_by_list};

    return RUN_TESTS(tests, .suite = "leaving", HARNESS_RUNNER_OPTIONS);
}
