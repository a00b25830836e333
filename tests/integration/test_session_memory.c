/* Runs one daemon with a small memory limit. Guards against a daemon that
 * grows over its limit instead of refusing work, and against clients that fill
 * its memory. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "common/memory.h"
#include "harness.h"
#include "session_client.h"
#include "world.h"

enum {
    READY_MAX_MS = 8000,
    RATE = 5000,
    LIMIT_MB = 16,
    BYTES_PER_MB = 1000 * 1000,
    VALUE_BYTES = 900 * 1000,
    HOLDERS = 20,
    HOLDERS_BELOW = 8, /* whose values stay below each level together */
    MEASURED_MS = 350, /* until a change of memory use has been measured */
    CALLERS = 8,
    LOG_FLUSH_MS = 200, /* until a daemon has written a log line to its file */
};

static const char *const keys[] = {"coop:key-1", "agent:key-2", NULL};

static struct event_base *base;
static backend_t *backend;
static relay_process_t relay;
static char *large_value;

static void
set_up(void)
{
    signal(SIGPIPE, SIG_IGN);
    base = event_base_new();
    backend = backend_create(base);
    backend_put_config(backend, 5, keys, RATE);
    relay_prepare(&relay, 0);
    relay.memory_mb = LIMIT_MB;
    relay_restart(&relay, backend);
    ck_assert(relay_wait_ready(&relay, base, READY_MAX_MS));
    /* Until the coordinator is chosen and has read the registrations. */
    harness_run_loop(base, 2500);
    large_value = mr_calloc(1, VALUE_BYTES + 1);
    memset(large_value, 'v', VALUE_BYTES);
}

static void
tear_down(void)
{
    ck_assert_msg(backend_violation(backend) == NULL, "%s",
                  backend_violation(backend));
    relay_kill(&relay);
    backend_destroy(backend);
    event_base_free(base);
    free(large_value);
}

static client_t *
open_session(void)
{
    char code[ANSWER_BYTES] = "";
    client_t *client = client_open(base, &relay, "own", "key-1", code);

    ck_assert_msg(client != NULL, "refused: %s", code);
    return client;
}

static int64_t
metric(const char *name)
{
    return relay_metric(&relay, base, name);
}

static int64_t
level(void)
{
    return metric("masticrelay_memory_level");
}

static void
run_ok(client_t *client, const char *statement)
{
    client_answer_t answer = client_run(client, statement, NULL);

    ck_assert_msg(answer.complete, "%.80s: %s", statement, answer.text);
}

static void
set_large_value(client_t *client)
{
    char *statement = mr_asprintf("SET name %s", large_value);

    run_ok(client, statement);
    free(statement);
}

/* Opens the holders' sessions and fills memory with their values. */
static void
open_holders(client_t **holders)
{
    for (int i = 0; i < HOLDERS; i++) {
        holders[i] = open_session();
    }
    for (int i = 0; i < HOLDERS_BELOW; i++) {
        set_large_value(holders[i]);
    }
    harness_run_loop(base, MEASURED_MS);
    ck_assert_int_eq(level(), MR_MEMORY_NORMAL);
}

/* Fills memory with further values until @wanted is reached. */
static void
fill_memory(client_t **holders, mr_memory_level_t wanted)
{
    for (int i = HOLDERS_BELOW; i < HOLDERS && level() < (int64_t)wanted;
         i++) {
        set_large_value(holders[i]);
        harness_run_loop(base, MEASURED_MS);
    }
    ck_assert_int_eq(level(), wanted);
}

static void
close_all(client_t **clients, int count)
{
    for (int i = 0; i < count; i++) {
        client_close(clients[i]);
    }
}

/* Returns the time to retry after that an answer names; -1: none. */
static int
retry_after(const char *text)
{
    const char *found = strstr(text, "; retry after ");

    return found != NULL ? atoi(found + strlen("; retry after ")) : -1;
}

START_TEST(test_new_work_is_refused_before_the_memory_limit_is_reached)
{
    client_t *holders[HOLDERS];
    client_t *transaction = open_session();
    client_t *caller = open_session();
    char code[ANSWER_BYTES] = "";

    open_holders(holders);
    run_ok(transaction, "BEGIN");
    run_ok(transaction, "WRITE a b");
    fill_memory(holders, MR_MEMORY_REFUSING);

    mr_ms_t start = mr_clock_now(NULL);
    client_answer_t read = client_run(caller, "READ a", NULL);
    client_answer_t write = client_run(caller, "WRITE a b", NULL);
    client_answer_t begin = client_run(caller, "BEGIN", NULL);
    ck_assert_int_lt(mr_clock_now(NULL) - start, 200);
    ck_assert_msg(answer_is_error(&read, "OVERLOAD"), "%s", read.text);
    ck_assert_msg(answer_is_error(&write, "OVERLOAD"), "%s", write.text);
    ck_assert_msg(answer_is_error(&begin, "OVERLOAD"), "%s", begin.text);
    ck_assert_int_eq(begin.state, 'I');
    ck_assert_int_gt(retry_after(read.text), 0);
    ck_assert_int_lt(retry_after(read.text), retry_after(write.text));
    ck_assert_ptr_null(client_open(base, &relay, "own", "key-1", code));
    ck_assert_msg(strncmp(code, "OVERLOAD", 8) == 0, "%s", code);
    ck_assert_int_gt(retry_after(code), 0);
    ck_assert_ptr_null(client_open(base, &relay, "own", "none", code));
    ck_assert_msg(strncmp(code, "NOAUTH", 6) == 0, "%s", code);

    run_ok(transaction, "READ a");
    run_ok(transaction, "COMMIT");
    close_all(holders, HOLDERS);
    harness_run_loop(base, MEASURED_MS);
    ck_assert_int_eq(level(), MR_MEMORY_NORMAL);
    run_ok(caller, "READ a");
    ck_assert(relay_log_contains(&relay, "event=memory_level", "to=refusing"));
    client_close(transaction);
    client_close(caller);
}
END_TEST

START_TEST(test_refused_callers_do_not_return_together)
{
    client_t *holders[HOLDERS];
    client_t *callers[CALLERS];
    int waits[CALLERS];

    open_holders(holders);
    for (int i = 0; i < CALLERS; i++) {
        callers[i] = open_session();
    }
    fill_memory(holders, MR_MEMORY_REFUSING);
    for (int i = 0; i < CALLERS; i++) {
        client_answer_t answer = client_run(callers[i], "READ a", NULL);
        waits[i] = retry_after(answer.text);
        for (int j = 0; j < i; j++) {
            ck_assert_int_gt(abs(waits[i] - waits[j]), 5);
        }
    }
    close_all(callers, CALLERS);
    close_all(holders, HOLDERS);
}
END_TEST

START_TEST(test_large_idle_sessions_are_closed_at_the_critical_level)
{
    client_t *holders[HOLDERS];
    client_t *small = open_session();
    int closed = 0;

    open_holders(holders);
    for (int i = HOLDERS_BELOW; i < HOLDERS && closed == 0; i++) {
        set_large_value(holders[i]);
        harness_run_loop(base, MEASURED_MS);
        for (int j = 0; j < HOLDERS; j++) {
            closed += client_is_closed(holders[j]) ? 1 : 0;
        }
    }
    ck_assert_int_ge(closed, 1);
    ck_assert_int_lt(closed, HOLDERS_BELOW);
    harness_run_loop(base, MEASURED_MS);
    ck_assert(!client_is_closed(small));
    ck_assert_int_lt(level(), MR_MEMORY_CRITICAL);
    ck_assert_int_eq(metric("masticrelay_sessions_shed_total"), closed);
    ck_assert(relay_log_contains(&relay, "event=memory_level", "to=critical"));
    ck_assert_int_lt(metric("masticrelay_memory_peak_bytes"),
                     LIMIT_MB * BYTES_PER_MB);
    client_close(small);
    close_all(holders, HOLDERS);
}
END_TEST

START_TEST(test_unfinished_messages_do_not_fill_the_memory)
{
    client_t *senders[2 * HOLDERS];
    client_t *caller = open_session();

    for (int i = 0; i < 2 * HOLDERS; i++) {
        senders[i] = open_session();
    }
    for (int i = 0; i < 2 * HOLDERS; i++) {
        client_send_raw(senders[i], "QUERY q WRITE a ", 16);
        client_send_raw(senders[i], large_value, VALUE_BYTES);
    }
    for (int i = 0; i < 5; i++) {
        harness_run_loop(base, MEASURED_MS);
        run_ok(caller, "READ a");
    }
    ck_assert_int_ge(metric("masticrelay_sessions_shed_total"), HOLDERS);
    ck_assert_int_lt(metric("masticrelay_memory_peak_bytes"),
                     LIMIT_MB * BYTES_PER_MB / 2);
    client_close(caller);
    close_all(senders, 2 * HOLDERS);
}
END_TEST

START_TEST(test_unread_answers_do_not_fill_the_memory)
{
    enum { REQUESTS = 500 * 1000, BUFFERED_MAX_BYTES = 256 * 1024 };
    static const char request[] = "QUERY q SET a b\r\n";
    client_t *client = open_session();
    client_answer_t answer;
    int answers = 0;
    mr_ms_t end = mr_clock_now(NULL) + 15000;

    client_set_reading(client, false);
    for (int i = 0; i < REQUESTS; i++) {
        client_send_raw(client, request, sizeof(request) - 1);
    }
    for (int i = 0; i < 6; i++) {
        harness_run_loop(base, MEASURED_MS);
        ck_assert_int_lt(metric("masticrelay_session_output_bytes"),
                         BUFFERED_MAX_BYTES);
        ck_assert_int_lt(metric("masticrelay_session_input_bytes"),
                         BUFFERED_MAX_BYTES);
    }
    client_set_reading(client, true);
    while (answers < REQUESTS && mr_clock_now(NULL) < end) {
        while (client_poll(client, &answer) && !answer.closed) {
            ck_assert(answer.complete);
            answers++;
        }
        harness_run_loop(base, 2);
    }
    ck_assert_int_eq(answers, REQUESTS);
    client_close(client);
}
END_TEST

START_TEST(test_a_session_holds_values_of_one_message_at_most)
{
    client_t *client = open_session();
    char *statement = mr_asprintf("SET other %s", large_value);

    set_large_value(client);
    set_large_value(client); /* replaces the first one */
    client_answer_t answer = client_run(client, statement, NULL);
    ck_assert_msg(answer_is_error(&answer, "TOOLARGE"), "%s", answer.text);
    run_ok(client, "SET other b");
    client_close(client);
    free(statement);
}
END_TEST

START_TEST(test_idle_sessions_do_not_keep_old_desired_states)
{
    enum { VERSIONS = 12, FIRST_VERSION = 6 };
    client_t *clients[VERSIONS];

    for (int i = 0; i < VERSIONS; i++) {
        char version[BACKEND_TEXT_BYTES];
        clients[i] = open_session();
        backend_put_config(backend, FIRST_VERSION + i, keys, RATE);
        snprintf(version, sizeof(version), " version=%d ", FIRST_VERSION + i);
        for (int tries = 0; tries < 20; tries++) {
            harness_run_loop(base, LOG_FLUSH_MS);
            if (relay_log_contains(&relay, "event=configuration_applied",
                                   version)) {
                break;
            }
        }
        run_ok(clients[i], i % 2 == 0 ? "READ a" : "WRITE a b");
    }
    run_ok(clients[0], "BEGIN");
    run_ok(clients[0], "READ a");
    backend_put_config(backend, FIRST_VERSION + VERSIONS, keys, RATE);
    harness_run_loop(base, 1500);
    /* That of the transaction and the present one. */
    ck_assert_int_eq(metric("masticrelay_catalogs"), 2);
    run_ok(clients[0], "COMMIT");
    harness_run_loop(base, 600);
    ck_assert_int_eq(metric("masticrelay_catalogs"), 1);
    for (int i = 0; i < VERSIONS; i++) {
        client_close(clients[i]);
    }
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_new_work_is_refused_before_the_memory_limit_is_reached,
        test_refused_callers_do_not_return_together,
        test_large_idle_sessions_are_closed_at_the_critical_level,
        test_unfinished_messages_do_not_fill_the_memory,
        test_unread_answers_do_not_fill_the_memory,
        test_a_session_holds_values_of_one_message_at_most,
        test_idle_sessions_do_not_keep_old_desired_states,
    };

    return RUN_TESTS(tests, .suite = "session memory", .setup = set_up,
                     .teardown = tear_down, HARNESS_RUNNER_OPTIONS);
}
