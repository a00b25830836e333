/* Property P2 of the trace checker: no acknowledged write is lost.
 * Guards against the loss of acknowledged writes and against writes that are
 * acknowledged after their primary was replaced. Covers callers on the
 * isolated side of a partition, a primary and a pool owner that are paused
 * during a promotion, competing proposers, an unavailable store, a replica
 * far behind that grants first, and a primary that counts itself as a replica
 * after granting a term. */

#include <glib.h>
#include <signal.h>
#include <string.h>

#include "harness.h"

enum {
    SEED = 1201,
    LAG_MS = 60,
    FAILOVER_LIMIT_MS = 5000,
    PROPOSER_ROUNDS = 8,
    PAUSE_MS = 2500,
};

static const char *const data_centres[] = {"konya", "aksaray", "karaman",
                                           NULL};

static const harness_load_t load = {.callers = 16,
                                    .account = -1,
                                    .write_percent = 60,
                                    .append_percent = 40,
                                    .keys = 2,
                                    .pause = 5,
                                    .seed = SEED};

static harness_t *
start(int lag_ms)
{
    const harness_options_t options = {
        .data_centres = data_centres,
        .instances = 2,
        .lag_ms = lag_ms,
        .proxied = true,
        .trace = "acknowledged.jsonl",
    };

    return harness_start(&options);
}

/* Stops the callers and checks that further requests ran after the first @ran.
 */
static void
finish(harness_t *h, harness_caller_group_t *callers, int64_t ran)
{
    harness_run_loop(h->base, 1500);
    harness_counts_t counts = harness_callers_stop(callers);
    harness_print_counts(&counts);
    ck_assert_int_gt(counts.ran, ran + 50);
    harness_check_and_end(h);
}

START_TEST(test_callers_on_the_isolated_side)
{
    harness_t *h = start(LAG_MS);
    harness_caller_group_t *callers = harness_callers_start(h, &load);
    harness_target_t *old = harness_primary(h, 0);

    harness_run_loop(h->base, 500);
    harness_cut_links(h, "konya", "aksaray", true);
    harness_cut_links(h, "konya", "karaman", true);
    harness_wait_primary(h, 0, old, FAILOVER_LIMIT_MS);
    harness_run_loop(h->base, 2000);
    harness_cut_links(h, "konya", "aksaray", false);
    harness_cut_links(h, "konya", "karaman", false);
    finish(h, callers, harness_callers_counts(callers).ran);
}
END_TEST

/* The instance in the data centre of @target that has logged to own it. */
static harness_process_t *
find_owner(harness_t *h, const harness_target_t *target)
{
    char path[2 * HARNESS_PATH_BYTES];
    char owned[2 * HARNESS_NAME_BYTES];

    snprintf(owned, sizeof(owned), "event=target_owned target=%s",
             target->process.name);
    for (size_t i = 0; i < h->instance_count; i++) {
        char *text = NULL;
        bool found = false;
        snprintf(path, sizeof(path), "%s", h->instances[i].process.log);
        if (g_file_get_contents(path, &text, NULL, NULL)) {
            found = strstr(text, owned) != NULL;
        }
        g_free(text);
        if (found
            && strcmp(h->instances[i].data_centre, target->data_centre) == 0) {
            return &h->instances[i].process;
        }
    }
    ck_abort_msg("%s has no owner", target->process.name);
    return NULL;
}

/* Each pause begins while writes wait for their acknowledgement and ends after
 * another primary was promoted. */
START_TEST(test_paused_primary_and_owner)
{
    harness_t *h = start(LAG_MS);
    harness_caller_group_t *callers = harness_callers_start(h, &load);

    harness_run_loop(h->base, 500);
    harness_target_t *old = harness_primary(h, 0);
    harness_process_signal(&old->process, SIGSTOP);
    harness_run_loop(h->base, PAUSE_MS);
    harness_process_signal(&old->process, SIGCONT);
    harness_target_t *second = harness_wait_primary(h, 0, old, PAUSE_MS);
    harness_process_t *owner = find_owner(h, second);
    harness_process_signal(owner, SIGSTOP);
    harness_process_signal(&second->process, SIGSTOP);
    harness_run_loop(h->base, PAUSE_MS);
    harness_process_signal(&second->process, SIGCONT);
    harness_process_signal(owner, SIGCONT);
    harness_wait_primary(h, 0, second, FAILOVER_LIMIT_MS);
    finish(h, callers, harness_callers_counts(callers).ran);
}
END_TEST

/* Has one target grant @term, like a proposer that then crashes. */
static void
grant(harness_t *h, const harness_target_t *target, json_int_t term)
{
    char body[HARNESS_NAME_BYTES];

    snprintf(body, sizeof(body), "{\"term\":%lld}", (long long)term);
    harness_http(h->base, "POST", target->process.address, "/grant", NULL,
                 body, NULL);
}

static json_int_t
highest_term(harness_t *h)
{
    json_int_t highest = 0;

    for (size_t i = 0; i < h->target_count; i++) {
        json_t *state = NULL;
        harness_http(h->base, "GET", h->targets[i].process.address, "/status",
                     NULL, NULL, &state);
        json_int_t term = json_integer_value(json_object_get(state, "term"));
        highest = term > highest ? term : highest;
        json_decref(state);
    }
    return highest;
}

/* Another proposer obtains grants from one or two targets while the observers
 * propose, and crashes before it promotes. */
START_TEST(test_competing_proposers)
{
    harness_t *h = start(LAG_MS);
    GRand *random = g_rand_new_with_seed(SEED);
    harness_caller_group_t *callers = harness_callers_start(h, &load);

    for (int i = 0; i < PROPOSER_ROUNDS; i++) {
        json_int_t term = highest_term(h) + 1;
        size_t first = (size_t)g_rand_int_range(random, 0, 3);
        grant(h, &h->targets[first], term);
        if (g_rand_boolean(random)) {
            grant(h, &h->targets[(first + 1) % 3], term);
        }
        /* The observers propose within about this time. */
        harness_run_loop(h->base, g_rand_int_range(random, 50, 700));
    }
    g_rand_free(random);
    harness_wait_primary(h, 0, NULL, FAILOVER_LIMIT_MS);
    finish(h, callers, harness_callers_counts(callers).ran);
}
END_TEST

START_TEST(test_failover_without_store)
{
    harness_t *h = start(LAG_MS);
    harness_caller_group_t *callers = harness_callers_start(h, &load);

    harness_run_loop(h->base, 500);
    harness_set_platform_faults(h, "{\"down\":true}");
    harness_target_t *old = harness_primary(h, 0);
    harness_process_kill(&old->process);
    harness_wait_primary(h, 0, old, FAILOVER_LIMIT_MS);
    harness_run_loop(h->base, 1500);
    int64_t ran = harness_callers_counts(callers).ran;
    harness_run_loop(h->base, 1000);
    ck_assert_int_gt(harness_callers_counts(callers).ran, ran + 50);
    harness_process_start(&old->process);
    harness_set_platform_faults(h, "{\"down\":false}");
    finish(h, callers, harness_callers_counts(callers).ran);
}
END_TEST

/* The replica that comes first in the list of targets is far behind, so that
 * every write is acknowledged through the other one alone. */
START_TEST(test_lagging_replica_is_not_promoted)
{
    harness_t *h = start(LAG_MS);
    harness_caller_group_t *callers = harness_callers_start(h, &load);
    harness_target_t *old = harness_primary(h, 0);

    harness_set_link_faults(h, "konya--aksaray.g0-b",
                            "{\"delay_to_target_ms\":2000}");
    harness_run_loop(h->base, 1000);
    harness_process_kill(&old->process);
    harness_wait_primary(h, 0, old, FAILOVER_LIMIT_MS);
    harness_set_link_faults(h, "konya--aksaray.g0-b",
                            "{\"delay_to_target_ms\":0}");
    finish(h, callers, harness_callers_counts(callers).ran);
}
END_TEST

/* Only the primary holds the write when it grants a term and crashes: the
 * outcome must be reported as unknown. */
START_TEST(test_primary_does_not_count_as_its_own_replica)
{
    harness_t *h = start(LAG_MS);
    harness_session_t *session = harness_session_open(h, 0);
    const harness_request_t request = {
        .op = "append", .key = "alone", .deadline = 1500};
    harness_target_t *old = harness_primary(h, 0);

    harness_set_target_faults(h, old->process.name,
                              "{\"hold_replication\":true}");
    harness_call_t *call = harness_call(session, &request);
    harness_call_send(call, "aksaray-0");
    harness_run_loop(h->base, 60);
    grant(h, old, 2);
    harness_run_loop(h->base, 60);
    harness_process_kill(&old->process);
    harness_answer_t answer = harness_call_end(call);
    ck_assert_msg(strcmp(answer.outcome, "unknown") == 0, "answer: %s %s",
                  answer.outcome, answer.kind);
    harness_wait_primary(h, 0, old, FAILOVER_LIMIT_MS);
    harness_session_close(session);
    harness_check_and_end(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_callers_on_the_isolated_side,
        test_paused_primary_and_owner,
        test_competing_proposers,
        test_failover_without_store,
        test_primary_does_not_count_as_its_own_replica,
        test_lagging_replica_is_not_promoted};

    return RUN_TESTS(tests, .suite = "acknowledged", HARNESS_RUNNER_OPTIONS);
}
