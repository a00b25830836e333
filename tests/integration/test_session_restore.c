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
#include "world.h"

enum {
    RELAYS = 3,
    READY_MAX_MS = 8000,
    RATE = 500,
    AWAY_MS = 400,    /* time without the store, before it comes back */
    REWRITE_MS = 300, /* until the databases write again */
    /* Longest gap in service while a primary is replaced. */
    FAILOVER_MAX_MS = 5000,
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

static void
start_relays(void)
{
    for (int i = 0; i < RELAYS; i++) {
        relay_restart(&relays[i], backend);
    }
    for (int i = 0; i < RELAYS; i++) {
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

START_TEST(test_a_promotion_after_a_restore_is_not_refused)
{
    client_t *clients[RELAYS];

    start_relays();
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

int
main(void)
{
    const TTest *const tests[] = {
        test_a_promotion_after_a_restore_is_not_refused,
    };

    return RUN_TESTS(tests, .suite = "session-restore", .setup = set_up,
                     .teardown = tear_down, HARNESS_RUNNER_OPTIONS);
}
