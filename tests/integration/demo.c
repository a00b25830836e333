/* Shows the whole path: real processes, callers with sessions, a primary and a
 * daemon that are killed. Ends with status 0 only if every promise that the
 * trace can show was kept. */

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
    KEYS_TRIED = 50, /* for one of a group among three */
};

static const char *const places[] = {"konya", "aksaray", "karaman", NULL};

static const harness_options_t options = {
    .data_centres = places,
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
run_phase(harness_t *h, const harness_caller_t *callers, const char *what)
{
    static harness_counts_t before;

    harness_run(h->base, PHASE_MS);
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

/* Sets @key to one of the group whose primary is @primary. */
static void
find_key(harness_session_t *session, const harness_target_t *primary,
         char key[HARNESS_NAME_BYTES])
{
    harness_answer_t answer;

    for (int i = 0; i < KEYS_TRIED; i++) {
        snprintf(key, HARNESS_NAME_BYTES, "order-%d", i);
        const harness_request_t write = {.op = "put", .key = key};
        answer = harness_ask(
            session, session->harness->instances[0].process.name, &write);
        if (strcmp(answer.served_by, primary->process.name) == 0) {
            return;
        }
    }
    ck_abort_msg("no key of the group of %s", primary->process.name);
}

/* Writes through one instance as soon as the group has a primary again, and
 * reads the value back through another instance. */
static void
show_session(harness_session_t *session, const char *key)
{
    const harness_t *h = session->harness;
    const char *writer = h->instances[1].process.name;
    const char *reader = h->instances[2].process.name;
    const harness_request_t write = {.op = "put", .key = key};
    const harness_request_t read = {.op = "get", .key = key};
    char expected[2 * HARNESS_NAME_BYTES];
    mr_ms_t began = mr_clock_now(NULL);
    harness_answer_t answer;

    do {
        ck_assert_int_lt(mr_clock_now(NULL) - began, RECOVERY_LIMIT_MS);
        answer = harness_ask(session, writer, &write);
    } while (strcmp(answer.outcome, "ran") != 0);
    snprintf(expected, sizeof(expected), "%s/%lld", key, (long long)answer.id);
    printf("written through %s after %lld ms, at %s\n", writer,
           (long long)(mr_clock_now(NULL) - began), answer.served_by);
    answer = harness_ask(session, reader, &read);
    printf("read through %s, at %s: %s\n", reader, answer.served_by,
           answer.value);
    ck_assert_str_eq(answer.value, expected);
}

static void
check_verdict(harness_t *h, const harness_counts_t *counts)
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
    printf("%zu promises broken, %lld ms longest gap\n", count,
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
    harness_caller_t *callers = harness_callers_start(h, &load);
    run_phase(h, callers, "calm");
    harness_target_t *primary = harness_primary(h, 0);
    ck_assert_ptr_nonnull(primary);
    harness_session_t *session = harness_session_open(h, 0);
    char key[HARNESS_NAME_BYTES];
    find_key(session, primary, key);
    printf("killing primary %s\n", primary->process.name);
    harness_process_kill(&primary->process);
    show_session(session, key);
    harness_session_close(session);
    run_phase(h, callers, "after the primary's death");
    printf("killing daemon %s\n", h->instances[0].process.name);
    harness_process_kill(&h->instances[0].process);
    run_phase(h, callers, "after the daemon's death");
    harness_process_start(&primary->process);
    harness_process_start(&h->instances[0].process);
    run_phase(h, callers, "after both came back");
    harness_counts_t counts = harness_callers_stop(callers);
    check_verdict(h, &counts);
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
