/* Properties P9 and P10 of the trace checker: "not run" is only reported for
 * requests that were not executed, and no request is executed more than once
 * unless it is idempotent.
 * Guards against a request that is executed twice because of callers' retries,
 * changes of owners, killed issuing instances or lost answers, and against
 * "not run" being reported for a write that a target executed, whether
 * immediately or when delayed bytes arrived later. The targets' own records
 * show what was executed. */

#include <glib.h>
#include <string.h>

#include "harness.h"

enum {
    SEED = 1301,
    ROUNDS = 10,
    FAULT_ROUNDS = 9,
    INSTANCES = 4,
    STATEMENT_MS = 30,
    /* Longer than the requests' deadline, so that held bytes arrive late. */
    HOLD_MS = 1200,
    DEADLINE_MS = 800,
};

static const char *const data_centres[] = {"konya", "aksaray", NULL};
static const char *const instances[INSTANCES] = {"konya-0", "konya-1",
                                                 "aksaray-0", "aksaray-1"};

static harness_t *
start(void)
{
    const harness_options_t options = {
        .data_centres = data_centres,
        .instances = 2,
        .statement_ms = STATEMENT_MS,
        .proxied = true,
        .trace = "at-most-once.jsonl",
    };

    return harness_start(&options);
}

/* Obtains a request id from @instance; false when it answered without one. */
static bool
obtain_request_id(harness_session_t *session, const char *instance,
                  char id[HARNESS_PATH_BYTES * 2])
{
    const harness_request_t request = {
        .op = "get", .key = "issue", .deadline = DEADLINE_MS};
    harness_answer_t answer = harness_call_once(session, instance, &request);

    snprintf(id, HARNESS_PATH_BYTES * 2, "%s", answer.request_id);
    return id[0] != '\0';
}

static size_t
pick_instance(GRand *random)
{
    return (size_t)g_rand_int_range(random, 0, INSTANCES);
}

/* Sends one request with the same id to several instances, before and after
 * one of them is killed and restarted. */
static void
run_round(harness_t *h, GRand *random, harness_session_t *session,
          const char *key, bool kill_issuer)
{
    size_t issuer = pick_instance(random);
    size_t victim = kill_issuer ? issuer : pick_instance(random);
    char id[HARNESS_PATH_BYTES * 2];
    harness_process_t *process =
        &harness_instance(h, instances[victim])->process;

    while (!obtain_request_id(session, instances[issuer], id)) {
        issuer = pick_instance(random);
    }
    const harness_request_t request = {
        .op = "append", .key = key, .request_id = id, .deadline = DEADLINE_MS};
    harness_call_t *call = harness_call(session, &request);
    harness_call_send(call, instances[pick_instance(random)]);
    harness_call_send(call, instances[pick_instance(random)]);
    /* The kill comes at a random point of the statement. */
    harness_run_loop(h->base, g_rand_int_range(random, 1, STATEMENT_MS));
    harness_process_kill(process);
    harness_call_send(call, instances[(victim + 1) % INSTANCES]);
    harness_call_wait(call);
    harness_process_start(process);
    harness_run_loop(h->base, 300);
    harness_call_send(call, instances[victim]);
    harness_call_send(call, instances[(victim + 2) % INSTANCES]);
    harness_answer_t answer = harness_call_end(call);
    printf("round %s: %s %s\n", key, answer.outcome, answer.kind);
}

START_TEST(test_retries_over_killed_instances)
{
    harness_t *h = start();
    GRand *random = g_rand_new_with_seed(SEED);
    harness_session_t *session = harness_session_open(h, 0);
    char key[HARNESS_NAME_BYTES];

    for (int i = 0; i < ROUNDS; i++) {
        snprintf(key, sizeof(key), "once%d", i);
        run_round(h, random, session, key, i % 2 == 0);
    }
    g_rand_free(random);
    harness_session_close(session);
    harness_check_and_end(h);
}
END_TEST

/* The answer is lost on the way from the target. The caller retries at every
 * instance; a different request with the same id must be rejected. */
START_TEST(test_lost_answer)
{
    harness_t *h = start();
    harness_session_t *session = harness_session_open(h, 0);
    char id[HARNESS_PATH_BYTES * 2];
    static const char link[] = "*--konya.g0-a";

    ck_assert_str_eq(harness_primary(h, 0)->process.name, "g0-a");
    ck_assert(obtain_request_id(session, "aksaray-0", id));
    const harness_request_t request = {.op = "append",
                                       .key = "lost",
                                       .request_id = id,
                                       .deadline = DEADLINE_MS};
    const harness_request_t other = {
        .op = "append", .key = "lost", .request_id = id};
    harness_set_link_faults(h, link, "{\"cut\":\"to_caller\"}");
    harness_call_t *call = harness_call(session, &request);
    harness_call_send(call, "konya-0");
    harness_call_wait(call);
    ck_assert_str_eq(harness_call_answer(call, 0).outcome, "unknown");
    harness_set_link_faults(h, link, "{\"cut\":\"none\"}");
    for (size_t i = 0; i < INSTANCES; i++) {
        harness_call_send(call, instances[i]);
    }
    harness_call_end(call);
    harness_answer_t answer = harness_call_once(session, "konya-1", &other);
    ck_assert_str_eq(answer.kind, "invalid_request_id");
    harness_session_close(session);
    harness_check_and_end(h);
}
END_TEST

/* Connections to the primary are reset during the statement. The write may
 * have been executed: it must neither be sent again nor be reported as "not
 * run". */
START_TEST(test_reset_during_a_statement)
{
    harness_t *h = start();
    harness_session_t *session = harness_session_open(h, 0);
    const harness_request_t request = {
        .op = "append", .key = "reset", .deadline = DEADLINE_MS};
    int unknown = 0;

    for (int i = 0; i < ROUNDS; i++) {
        harness_call_t *call = harness_call(session, &request);
        harness_call_send(call, instances[i % INSTANCES]);
        harness_run_loop(h->base, STATEMENT_MS / 2);
        harness_set_link_faults(h, "*--konya.g0-a", "{\"reset\":true}");
        unknown += strcmp(harness_call_end(call).outcome, "unknown") == 0;
        harness_run_loop(h->base, 100);
    }
    ck_assert_int_gt(unknown, ROUNDS / 2);
    harness_session_close(session);
    harness_check_and_end(h);
}
END_TEST

static const char *const faults[][2] = {
    {"{\"hold\":true}", "{\"hold\":false}"},
    {"{\"cut\":\"to_caller\"}", "{\"cut\":\"none\"}"},
    {"{\"cut\":\"both\"}", "{\"cut\":\"none\"}"},
    {"{\"reset\":true}", "{\"hold\":false}"},
    {"{\"delay_to_target_ms\":500}", "{\"delay_to_target_ms\":0}"},
};

/* Held bytes reach targets and owners after the callers got their answers;
 * "not run" must still have been true. */
START_TEST(test_not_run_is_never_reported_for_executed_writes)
{
    harness_t *h = start();
    GRand *random = g_rand_new_with_seed(SEED);
    const harness_load_t load = {.callers = 48,
                                 .account = -1,
                                 .write_percent = 90,
                                 .append_percent = 50,
                                 .keys = 2,
                                 .pause = 2,
                                 .deadline = DEADLINE_MS,
                                 .seed = SEED};
    static const char *const links[] = {"*--konya.g0-a", "*--aksaray.g0-b",
                                        "konya--aksaray.*", "*--konya.konya-0",
                                        "*--konya.g0-c"};
    harness_caller_group_t *callers = harness_callers_start(h, &load);

    for (int i = 0; i < FAULT_ROUNDS; i++) {
        const char *link = links[g_rand_int_range(random, 0, 5)];
        size_t kind = (size_t)g_rand_int_range(random, 0, 5);
        harness_process_t *victim =
            &harness_instance(h, instances[pick_instance(random)])->process;
        harness_set_link_faults(h, link, faults[kind][0]);
        harness_run_loop(h->base, HOLD_MS);
        if (i % 3 == 2) {
            harness_process_kill(victim);
        }
        harness_set_link_faults(h, link, faults[kind][1]);
        harness_run_loop(h->base, 500);
        if (victim->pid == 0) {
            harness_process_start(victim);
        }
    }
    g_rand_free(random);
    harness_counts_t counts = harness_callers_stop(callers);
    harness_print_counts(&counts);
    ck_assert_int_gt(counts.not_run, 0);
    harness_run_loop(h->base, 1000);
    harness_wait_primary(h, 0, NULL, 5000);
    harness_check_and_end(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_retries_over_killed_instances, test_lost_answer,
        test_reset_during_a_statement,
        test_not_run_is_never_reported_for_executed_writes};

    return RUN_TESTS(tests, .suite = "at_most_once", HARNESS_RUNNER_OPTIONS);
}
