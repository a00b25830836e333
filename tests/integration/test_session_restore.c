/* Runs real daemons against a store that comes back from an older copy. Guards
 * against fencing tokens that were used before, a former primary that returns,
 * instances that are forgotten or come back, and a fleet whose instances have
 * different secrets. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"
#include "member/rendezvous.h"
#include "session_client.h"
#include "world_internal.h"

enum {
    RELAYS = 3,
    READY_MAX_MS = 8000,
    RATE = 500,
    AWAY_MS = 400,    /* time without the store, before it comes back */
    REWRITE_MS = 300, /* until the databases write again */
    STALE_MS = 2500,  /* the same, where the copy is to be seen for long */
    /* Longest gap in service while a primary is replaced. */
    FAILOVER_MAX_MS = 5000,
    /* Until all instances have registered again. */
    REGISTERED_MAX_MS = 4000,
    /* Until all instances report to one coordinator. */
    UNITED_MAX_MS = 10000,
    /* Until each instance has read the registrations of all. */
    MEMBERS_READ_MAX_MS = 25000,
};

static const char *const keys[] = {"coop:key-1", "agent:key-2", NULL};

static struct event_base *base;
static backend_t *backend;
static relay_process_t relays[RELAYS];

static void
set_up(void)
{
    signal(SIGPIPE, SIG_IGN);
    base = event_base_new();
    backend = backend_create(base);
    backend_put_config(backend, 5, keys, RATE);
    for (int i = 0; i < RELAYS; i++) {
        relay_prepare(&relays[i], i);
    }
}

/* Starts the relays from @first up to @end, which is excluded. */
static void
start_relays(int first, int end)
{
    for (int i = first; i < end; i++) {
        relay_restart(&relays[i], backend);
    }
    for (int i = first; i < end; i++) {
        ck_assert(relay_wait_ready(&relays[i], base, READY_MAX_MS));
    }
    /* Until the coordinator is chosen and has read the registrations. */
    harness_run_loop(base, 2500);
}

static void
tear_down(void)
{
    ck_assert_msg(backend_violation(backend) == NULL, "%s",
                  backend_violation(backend));
    for (int i = 0; i < RELAYS; i++) {
        relay_kill(&relays[i]);
    }
    backend_destroy(backend);
    event_base_free(base);
}

static client_t *
open_session(int relay, const char *database, const char *key)
{
    char code[ANSWER_BYTES] = "";
    client_t *client = client_open(base, &relays[relay], database, key, code);

    ck_assert_msg(client != NULL, "refused: %s", code);
    return client;
}

/* Repeats a write on all sessions until each succeeds; returns the time it
 * took, or @max. */
static mr_ms_t
write_until_served(client_t *const *clients, mr_ms_t max)
{
    mr_ms_t start = mr_clock_now(NULL);
    bool served[RELAYS] = {false};
    int left = RELAYS;

    while (left > 0 && mr_clock_now(NULL) < start + max) {
        for (int i = 0; i < RELAYS; i++) {
            if (!served[i]
                && client_run(clients[i], "WRITE a b", NULL).complete) {
                served[i] = true;
                left--;
            }
        }
        harness_run_loop(base, 20);
    }
    return left == 0 ? mr_clock_now(NULL) - start : max;
}

/* Kills the primary and waits until another one serves all sessions. */
static mr_ms_t
replace_primary(client_t *const *clients)
{
    int promotions = backend_count_promotions(backend);

    backend_db_kill(backend, backend_primary(backend));
    mr_ms_t took = write_until_served(clients, 2 * FAILOVER_MAX_MS);
    ck_assert_int_eq(backend_count_promotions(backend), promotions + 1);
    return took;
}

/* Value of a metric of a relay. */
static int64_t
read_metric(int relay, const char *name)
{
    char *text = NULL;
    size_t len = strlen(name);
    int64_t value = -1;

    ck_assert_int_eq(
        harness_http_text(base, relays[relay].ready, "/metrics", NULL, &text),
        200);
    for (char *line = strtok(text, "\n"); line != NULL;
         line = strtok(NULL, "\n")) {
        if (strncmp(line, name, len) == 0 && line[len] == ' ') {
            value = atoll(line + len);
        }
    }
    free(text);
    return value;
}

/* Waits until each relay has value @value of a metric; false: not within
 * @max. */
static bool
wait_metric(const char *name, int64_t value, mr_ms_t max)
{
    mr_ms_t end = mr_clock_now(NULL) + max;
    int equal = 0;

    while (equal < RELAYS && mr_clock_now(NULL) < end) {
        equal = 0;
        for (int i = 0; i < RELAYS; i++) {
            equal += read_metric(i, name) == value;
        }
        harness_run_loop(base, 50);
    }
    return equal == RELAYS;
}

static void
check_writes(void)
{
    for (int i = 0; i < RELAYS; i++) {
        client_t *client = open_session(i, "own", "key-1");
        client_answer_t answer = client_run(client, "WRITE a b", NULL);
        ck_assert_msg(answer.complete, "%s", answer.text);
        client_close(client);
    }
}

START_TEST(test_a_promotion_after_a_restore_is_not_refused)
{
    client_t *clients[RELAYS];

    start_relays(0, RELAYS);
    backend_copy_store(backend);
    for (int i = 0; i < RELAYS; i++) {
        clients[i] = open_session(i, "own", "key-1");
    }
    /* The token of the first promotion is many versions after the copy. */
    harness_run_loop(base, 5000);
    ck_assert_int_lt(replace_primary(clients), FAILOVER_MAX_MS);
    backend_db_start(backend, 0, false);
    harness_run_loop(base, 1000);
    backend_restore_store(backend, AWAY_MS, REWRITE_MS);
    harness_run_loop(base, AWAY_MS + REWRITE_MS + 1000);
    ck_assert_int_lt(replace_primary(clients), FAILOVER_MAX_MS);
    ck_assert_int_eq(backend_count_refused_orders(backend), 0);
    for (int i = 0; i < RELAYS; i++) {
        client_close(clients[i]);
    }
}
END_TEST

START_TEST(test_a_former_primary_does_not_return_with_an_older_copy)
{
    client_t *clients[RELAYS];

    start_relays(0, RELAYS);
    for (int i = 0; i < RELAYS; i++) {
        clients[i] = open_session(i, "own", "key-1");
    }
    backend_copy_store(backend);
    replace_primary(clients);
    backend_db_start(backend, 0, false);
    harness_run_loop(base, 2500);
    /* Until the databases write again, the copy names the former primary. */
    backend_restore_store(backend, AWAY_MS, STALE_MS);
    mr_ms_t end = mr_clock_now(NULL) + AWAY_MS + STALE_MS + 1500;
    while (mr_clock_now(NULL) < end) {
        for (int i = 0; i < RELAYS; i++) {
            client_answer_t answer = client_run(clients[i], "WRITE a b", NULL);
            ck_assert_msg(answer.complete, "%s", answer.text);
        }
        harness_run_loop(base, 20);
    }
    ck_assert_int_eq(backend_count_promotions(backend), 1);
    for (int i = 0; i < RELAYS; i++) {
        ck_assert(!relay_log_contains(&relays[i], "event=primary_registered",
                                      "id=i-0 era=1"));
        ck_assert(!relay_log_contains(&relays[i], "event=promotion_ordered",
                                      "id=i-0"));
        client_close(clients[i]);
    }
}
END_TEST

START_TEST(test_instances_lost_by_a_restore_register_again_and_count)
{
    backend_copy_store(backend);
    start_relays(0, RELAYS);
    ck_assert(wait_metric("masticrelay_instances", RELAYS, 2000));
    backend_restore_store(backend, AWAY_MS, REWRITE_MS);
    mr_ms_t end = mr_clock_now(NULL) + AWAY_MS + REGISTERED_MAX_MS;
    while (mr_clock_now(NULL) < end) {
        for (int i = 0; i < RELAYS; i++) {
            ck_assert_int_eq(read_metric(i, "masticrelay_instances"), RELAYS);
        }
        harness_run_loop(base, 50);
    }
    for (int i = 0; i < RELAYS; i++) {
        ck_assert(backend_has_row(backend, "instances", relays[i].name));
    }
}
END_TEST

/* Finds a name that would coordinate before all relays. */
static void
find_preferred_name(char *name, size_t size)
{
    uint64_t highest = 0;
    int number = RELAYS;

    for (int i = 0; i < RELAYS; i++) {
        uint64_t score = mr_rendezvous_score("coordinator", relays[i].name);
        highest = score > highest ? score : highest;
    }
    do {
        snprintf(name, size, "edge-%d", number++);
    } while (mr_rendezvous_score("coordinator", name) < highest);
}

START_TEST(test_an_instance_that_had_left_does_not_coordinate_after_a_restore)
{
    char gone[BACKEND_TEXT_BYTES];
    char address[BACKEND_TEXT_BYTES];
    char field[2 * BACKEND_TEXT_BYTES];

    start_relays(0, RELAYS);
    find_preferred_name(gone, sizeof(gone));
    snprintf(address, sizeof(address), "127.0.0.1:%d", harness_port());
    backend_put_row(backend, "instances", gone, address);
    backend_copy_store(backend);
    backend_remove_row(backend, "instances", gone);
    harness_run_loop(base, 500);
    backend_restore_store(backend, AWAY_MS, REWRITE_MS);
    ck_assert(
        wait_metric("masticrelay_instances", RELAYS + 1, MEMBERS_READ_MAX_MS));
    harness_run_loop(base, 2000);
    snprintf(field, sizeof(field), "name=%s ", gone);
    for (int i = 0; i < RELAYS; i++) {
        ck_assert(!relay_log_contains(&relays[i], "event=coordinator_chosen",
                                      field));
    }
}
END_TEST

/* Waits until one instance coordinates and all report to it. */
static bool
wait_united(void)
{
    mr_ms_t end = mr_clock_now(NULL) + UNITED_MAX_MS;
    int64_t coordinators = 0;

    while (coordinators != 1 && mr_clock_now(NULL) < end) {
        harness_run_loop(base, 200);
        coordinators = 0;
        for (int i = 0; i < RELAYS; i++) {
            coordinators += read_metric(i, "masticrelay_coordinator");
        }
    }
    return coordinators == 1
           && wait_metric("masticrelay_instances", RELAYS, 1000);
}

START_TEST(test_an_instance_that_starts_after_a_restore_joins_the_fleet)
{
    backend_copy_store(backend);
    start_relays(0, RELAYS - 1);
    ck_assert(backend_has_row(backend, "fleet", "secret"));
    backend_restore_store(backend, AWAY_MS, REWRITE_MS);
    harness_run_loop(base, AWAY_MS + 2000);
    start_relays(RELAYS - 1, RELAYS);
    ck_assert(wait_united());
    check_writes();
}
END_TEST

START_TEST(test_a_fleet_with_two_secrets_after_a_restore_becomes_one)
{
    backend_copy_store(backend);
    start_relays(0, RELAYS - 1);
    for (int i = 0; i < RELAYS - 1; i++) {
        backend_set_store_failing(backend, i, true);
    }
    backend_restore_store(backend, 0, REWRITE_MS);
    /* Only the last instance reaches the store, and writes a secret. */
    start_relays(RELAYS - 1, RELAYS);
    ck_assert(backend_has_row(backend, "fleet", "secret"));
    for (int i = 0; i < RELAYS - 1; i++) {
        backend_set_store_failing(backend, i, false);
    }
    ck_assert(wait_united());
    check_writes();
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_a_promotion_after_a_restore_is_not_refused,
        test_a_former_primary_does_not_return_with_an_older_copy,
        test_instances_lost_by_a_restore_register_again_and_count,
        test_an_instance_that_had_left_does_not_coordinate_after_a_restore,
        test_an_instance_that_starts_after_a_restore_joins_the_fleet,
        test_a_fleet_with_two_secrets_after_a_restore_becomes_one,
    };

    return RUN_TESTS(tests, .suite = "session-restore", .setup = set_up,
                     .teardown = tear_down, HARNESS_RUNNER_OPTIONS);
}
