/* Property P1: reads see the session's own writes, at lagging replicas, after
 * a change of the instance, across a failover, and at an isolated former
 * primary that still answers. */

#include <glib.h>
#include <string.h>

#include "harness.h"

enum {
    SEED = 1101,
    ROUNDS = 12,
    LAG_MS = 250,
    LAGGING_REPLICA_DELAY_MS = 1500,
    FAILOVER_TIMEOUT_MS = 5000,
};

static const char *const data_centres[] = {"konya", "aksaray", "karaman",
                                           NULL};
static const char *const instances[] = {"konya-0", "aksaray-0", "karaman-0"};

static harness_t *
start(void)
{
    const harness_options_t options = {
        .data_centres = data_centres,
        .lag_ms = LAG_MS,
        .proxied = true,
        .trace = "read-your-writes.jsonl",
    };

    return harness_start(&options);
}

/* Repeats a write until it has run, and stores its value in @value. */
static void
put_until_run(harness_session_t *session, const char *instance,
              const char *key, char value[HARNESS_NAME_BYTES])
{
    const harness_request_t request = {.op = "put", .key = key};
    mr_ms_t end = mr_clock_now(NULL) + FAILOVER_TIMEOUT_MS;
    harness_answer_t answer;

    do {
        answer = harness_call_once(session, instance, &request);
        ck_assert_msg(mr_clock_now(NULL) < end, "no write at %s: %s", instance,
                      answer.kind);
    } while (strcmp(answer.outcome, "ran") != 0);
    snprintf(value, HARNESS_NAME_BYTES, "%s/%lld", key, (long long)answer.id);
}

/* Returns whether the read was served, which must not be with a stale value.
 * It may be refused while no reachable target covers the session. */
static bool
check_read(harness_session_t *session, const char *instance, const char *key,
           const char *value)
{
    const harness_request_t request = {.op = "get", .key = key};
    harness_answer_t answer = harness_call_once(session, instance, &request);

    if (strcmp(answer.outcome, "ran") != 0) {
        ck_assert_msg(strcmp(answer.outcome, "not_run") == 0, "read: %s",
                      answer.kind);
        return false;
    }
    ck_assert_msg(strcmp(answer.value, value) == 0,
                  "%s served %s instead of %s", answer.served_by, answer.value,
                  value);
    return true;
}

START_TEST(test_moves_between_instances)
{
    harness_t *h = start();
    GRand *random = g_rand_new_with_seed(SEED);
    harness_session_t *session = harness_session_open(h, 0);
    char value[HARNESS_NAME_BYTES];
    int served = 0;

    /* Delays everything that one replica receives. It is the first one in the
     * configuration, which would be selected if coverage were ignored. */
    char fault[HARNESS_NAME_BYTES];
    snprintf(fault, sizeof(fault), "{\"delay_to_target_ms\":%d}",
             LAGGING_REPLICA_DELAY_MS);
    harness_set_link_faults(h, "konya--aksaray.g0-b", fault);
    for (int i = 0; i < ROUNDS; i++) {
        int at = g_rand_int_range(random, 0, 3);
        put_until_run(session, instances[at], "moves", value);
        for (int step = 1; step <= 2; step++) {
            served += check_read(session, instances[(at + step) % 3], "moves",
                                 value);
        }
    }
    ck_assert_int_eq(served, 2 * ROUNDS);
    g_rand_free(random);
    harness_session_close(session);
    harness_check_and_end(h);
}
END_TEST

START_TEST(test_failover)
{
    harness_t *h = start();
    const harness_load_t load = {.callers = 12,
                                 .account = -1,
                                 .write_percent = 40,
                                 .append_percent = 20,
                                 .keys = 2,
                                 .pause = 5,
                                 .seed = SEED};
    harness_session_t *session = harness_session_open(h, 0);
    char value[HARNESS_NAME_BYTES];
    harness_caller_group_t *callers = harness_callers_start(h, &load);
    harness_target_t *primary = harness_primary(h, 0);

    put_until_run(session, "aksaray-0", "failover", value);
    harness_process_kill(&primary->process);
    mr_ms_t end = mr_clock_now(NULL) + FAILOVER_TIMEOUT_MS;
    while (!check_read(session, "karaman-0", "failover", value)) {
        ck_assert_int_lt(mr_clock_now(NULL), end);
    }
    for (int i = 0; i < ROUNDS; i++) {
        put_until_run(session, instances[i % 3], "failover", value);
        ck_assert(
            check_read(session, instances[(i + 1) % 3], "failover", value));
    }
    harness_process_start(&primary->process);
    harness_run_loop(h->base, 1500);
    harness_counts_t counts = harness_callers_stop(callers);
    ck_assert_int_gt(counts.from_replicas, counts.ran / 10);
    harness_session_close(session);
    harness_check_and_end(h);
}
END_TEST

/* The owner is killed while a write waits for replicas that lag by 1.5 s, so
 * that its outcome is unknown and only the primary has it. */
START_TEST(test_write_with_unknown_outcome)
{
    harness_t *h = start();
    harness_session_t *session = harness_session_open(h, 0);
    const harness_request_t request = {.op = "put", .key = "uncertain"};
    char value[HARNESS_NAME_BYTES];

    harness_set_target_faults(h, harness_primary(h, 0)->process.name,
                              "{\"lag_ms\":1500}");
    harness_call_t *call = harness_call(session, &request);
    harness_call_send(call, "aksaray-0");
    harness_run_loop(h->base, 100);
    harness_process_kill(&harness_instance(h, "konya-0")->process);
    harness_answer_t answer = harness_call_end(call);
    ck_assert_str_eq(answer.outcome, "unknown");
    snprintf(value, sizeof(value), "uncertain/%lld", (long long)answer.id);
    mr_ms_t end = mr_clock_now(NULL) + FAILOVER_TIMEOUT_MS;
    while (!check_read(session, "karaman-0", "uncertain", value)) {
        ck_assert_int_lt(mr_clock_now(NULL), end);
    }
    harness_session_close(session);
    harness_check_and_end(h);
}
END_TEST

/* A write with unknown outcome restricts the session's reads to the primary.
 * That must not last forever because the term of the write is unknown: after
 * the next change of the primary, the outcome is settled and replicas must
 * serve the session again. */
START_TEST(test_replicas_serve_after_an_unknown_outcome)
{
    harness_t *h = start();
    harness_session_t *session = harness_session_open(h, 0);
    const harness_request_t write = {.op = "put", .key = "settled"};
    const harness_request_t read = {.op = "get", .key = "settled"};
    harness_target_t *former = harness_primary(h, 0);
    harness_answer_t answer;

    harness_set_target_faults(h, former->process.name, "{\"lag_ms\":1500}");
    harness_call_t *call = harness_call(session, &write);
    harness_call_send(call, "aksaray-0");
    harness_run_loop(h->base, 100);
    harness_process_kill(&harness_instance(h, "konya-0")->process);
    ck_assert_str_eq(harness_call_end(call).outcome, "unknown");
    for (int i = 0; i < ROUNDS; i++) {
        answer = harness_call_once(session, "karaman-0", &read);
        ck_assert_msg(
            strcmp(answer.outcome, "ran") != 0
                || strcmp(answer.served_by, former->process.name) == 0,
            "%s served before the outcome was settled", answer.served_by);
    }
    harness_process_kill(&former->process);
    harness_wait_primary(h, 0, former, FAILOVER_TIMEOUT_MS);
    mr_ms_t end = mr_clock_now(NULL) + FAILOVER_TIMEOUT_MS;
    do {
        ck_assert_msg(mr_clock_now(NULL) < end, "last read: %s %s",
                      answer.kind, answer.served_by);
        answer = harness_call_once(session, "karaman-0", &read);
    } while (strcmp(answer.outcome, "ran") != 0
             || strcmp(answer.served_by, harness_primary(h, 0)->process.name)
                    == 0);
    harness_session_close(session);
    harness_check_guarantees(h);
    harness_end(h);
}
END_TEST

static void
isolate(harness_t *h, bool cut)
{
    harness_cut_links(h, "konya", "aksaray", cut);
    harness_cut_links(h, "konya", "karaman", cut);
}

START_TEST(test_isolated_primary)
{
    harness_t *h = start();
    harness_session_t *session = harness_session_open(h, 0);
    harness_session_t *isolated = harness_session_open(h, 0);
    harness_session_t *writeless = harness_session_open(h, 0);
    const harness_request_t diverging_write = {
        .op = "put", .key = "split", .deadline = 500};
    const harness_request_t present_read = {
        .op = "get", .key = "split", .freshness = "present", .deadline = 500};
    const harness_request_t session_read = {.op = "get", .key = "split"};
    char value[HARNESS_NAME_BYTES];

    put_until_run(session, "aksaray-0", "split", value);
    harness_target_t *former = harness_target(h, "g0-a");
    ck_assert_ptr_eq(harness_primary(h, 0), former);
    isolate(h, true);
    /* The former primary still executes writes, so its log diverges. */
    for (int i = 0; i < 3; i++) {
        harness_answer_t answer =
            harness_call_once(isolated, "konya-0", &diverging_write);
        ck_assert_str_ne(answer.outcome, "ran");
    }
    harness_wait_primary(h, 0, former, FAILOVER_TIMEOUT_MS);
    put_until_run(session, "karaman-0", "split", value);
    /* A session without writes is still served from the diverged log. */
    mr_ms_t begin = mr_clock_now(NULL);
    harness_answer_t stale_answer;
    do {
        stale_answer = harness_call_once(writeless, "konya-0", &session_read);
        ck_assert_int_lt(mr_clock_now(NULL) - begin, 2 * FAILOVER_TIMEOUT_MS);
    } while (strcmp(stale_answer.outcome, "ran") != 0);
    printf("isolated side serves after %lld ms\n",
           (long long)(mr_clock_now(NULL) - begin));
    ck_assert_str_eq(stale_answer.served_by, "g0-a");
    ck_assert_msg(!check_read(session, "konya-0", "split", value),
                  "a read of the session was served on the isolated side");
    ck_assert_str_ne(
        harness_call_once(writeless, "konya-0", &present_read).outcome, "ran");
    isolate(h, false);
    mr_ms_t end = mr_clock_now(NULL) + FAILOVER_TIMEOUT_MS;
    while (!check_read(session, "konya-0", "split", value)) {
        ck_assert_int_lt(mr_clock_now(NULL), end);
    }
    harness_run_loop(h->base, 1000);
    ck_assert(check_read(session, "aksaray-0", "split", value));
    harness_session_close(writeless);
    harness_session_close(isolated);
    harness_session_close(session);
    harness_check_and_end(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_moves_between_instances,
        test_failover,
        test_write_with_unknown_outcome,
        test_replicas_serve_after_an_unknown_outcome,
        test_isolated_primary,
    };

    return RUN_TESTS(tests, .suite = "read_your_writes",
                     HARNESS_RUNNER_OPTIONS);
}
