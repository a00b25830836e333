/*
 * Demonstrates the relay with real processes and callers with sessions while a
 * primary and a daemon are killed. The exit status is 0 only if the trace
 * shows no violated guarantee.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

enum {
    PHASE_MS = 3000,
    RECOVERY_LIMIT_MS = 5000,
    INSTANCES = 1,
    GROUPS = 3,
    TIMEOUT_S = 60,
    KEY_ATTEMPTS_MAX = 50, /* to find a key of one of three groups */
};

static const char *const data_centres[] = {"konya", "aksaray", "karaman",
                                           NULL};

static const harness_options_t options = {
    .data_centres = data_centres,
    .instances = INSTANCES,
    .groups = GROUPS,
    .accounts = 2,
    .rate = 2000,
    .burst = 1000,
    .slots = 2,
    .connections = 35,
    .connect_ms = 10,
    .trace = "demo.jsonl",
};

static const harness_load_t load = {
    .callers = 12,
    .account = -1,
    .write_percent = 30,
    .append_percent = 20,
    .keys = 4,
    .pause = 5,
};

static harness_counts_t
run_phase(harness_t *h, const harness_caller_group_t *callers,
          const char *what)
{
    static harness_counts_t before;

    harness_run_loop(h->base, PHASE_MS);
    harness_counts_t now = harness_callers_counts(callers);
    printf("%-34s served %6lld  refused %4lld  unknown %3lld  "
           "longest gap %4lld ms\n",
           what, (long long)(now.ran - before.ran),
           (long long)(now.not_run - before.not_run),
           (long long)(now.unknown - before.unknown),
           (long long)now.longest_gap);
    fflush(stdout);
    before = now;
    return now;
}

/* Sets @key to a key of the group whose primary is @primary. */
static void
find_key_of_primary(harness_session_t *session,
                    const harness_target_t *primary,
                    char key[HARNESS_NAME_BYTES])
{
    harness_answer_t answer;

    for (int i = 0; i < KEY_ATTEMPTS_MAX; i++) {
        snprintf(key, HARNESS_NAME_BYTES, "order-%d", i);
        const harness_request_t write = {.op = "put", .key = key};
        answer = harness_call_once(
            session, session->harness->instances[0].process.name, &write);
        if (strcmp(answer.served_by, primary->process.name) == 0) {
            return;
        }
    }
    ck_abort_msg("found no key in the group of %s", primary->process.name);
}

/* Retries a write through one instance until the group has a new primary, and
 * reads the value back through another instance. */
static void
show_read_your_writes(harness_session_t *session, const char *key)
{
    const harness_t *h = session->harness;
    const char *writer = h->instances[1].process.name;
    const char *reader = h->instances[2].process.name;
    const harness_request_t write = {.op = "put", .key = key};
    const harness_request_t read = {.op = "get", .key = key};
    char expected[2 * HARNESS_NAME_BYTES];
    mr_ms_t started = mr_clock_now(NULL);
    harness_answer_t answer;

    do {
        ck_assert_int_lt(mr_clock_now(NULL) - started, RECOVERY_LIMIT_MS);
        answer = harness_call_once(session, writer, &write);
    } while (strcmp(answer.outcome, "ran") != 0);
    snprintf(expected, sizeof(expected), "%s/%lld", key, (long long)answer.id);
    printf("written through %s after %lld ms, at %s\n", writer,
           (long long)(mr_clock_now(NULL) - started), answer.served_by);
    answer = harness_call_once(session, reader, &read);
    printf("read through %s, at %s: %s\n", reader, answer.served_by,
           answer.value);
    ck_assert_str_eq(answer.value, expected);
}

static void
check_result(harness_t *h, const harness_counts_t *counts)
{
    harness_trace_versions(h);
    harness_trace_logs(h);
    json_t *violations = harness_check_trace(h);
    size_t count = json_array_size(violations);
    size_t i;
    json_t *violation;

    printf("sent %lld, served %lld (%lld by replicas), refused as not run "
           "%lld, unknown %lld\n",
           (long long)counts->sent, (long long)counts->ran,
           (long long)counts->from_replicas, (long long)counts->not_run,
           (long long)counts->unknown);
    json_array_foreach(violations, i, violation)
    {
        char *text = json_dumps(violation, JSON_ENCODE_ANY);
        printf("VIOLATION %s\n", text);
        free(text);
    }
    json_decref(violations);
    printf("%zu guarantees violated, longest gap %lld ms\n", count,
           (long long)counts->longest_gap);
    ck_assert_uint_eq(count, 0);
    ck_assert_int_gt(counts->ran, 0);
    ck_assert_int_le(counts->longest_gap, RECOVERY_LIMIT_MS);
}

START_TEST(test_demo)
{
    harness_t *h = harness_start(&options);

    printf("3 data centres, %zu daemons, %d groups of 3 targets\n",
           h->instance_count, GROUPS);
    harness_caller_group_t *callers = harness_callers_start(h, &load);
    run_phase(h, callers, "no failure");
    harness_target_t *primary = harness_primary(h, 0);
    ck_assert_ptr_nonnull(primary);
    harness_session_t *session = harness_session_open(h, 0);
    char key[HARNESS_NAME_BYTES];
    find_key_of_primary(session, primary, key);
    printf("killing primary %s\n", primary->process.name);
    harness_process_kill(&primary->process);
    show_read_your_writes(session, key);
    harness_session_close(session);
    run_phase(h, callers, "primary killed");
    printf("killing daemon %s\n", h->instances[0].process.name);
    harness_process_kill(&h->instances[0].process);
    run_phase(h, callers, "daemon killed");
    harness_process_start(&primary->process);
    harness_process_start(&h->instances[0].process);
    run_phase(h, callers, "both restarted");
    harness_counts_t counts = harness_callers_stop(callers);
    check_result(h, &counts);
    harness_end(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_demo};

    return RUN_TESTS(tests, .suite = "demo", .timeout_s = TIMEOUT_S,
                     .no_fork = true);
}
