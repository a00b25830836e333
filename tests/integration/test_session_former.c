/* Runs real daemons against databases that go on as the primary of their own
 * term after another one was promoted. Guards against writes that a former
 * primary commits and the client is told of, and against reads that miss
 * commits of the new primary. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"
#include "session/primary_lease.h"
#include "session_client.h"
#include "session_links.h"
#include "world.h"

enum {
    RELAYS = 4,
    CUT = 3, /* the relay that is cut off together with the primary */
    READY_MAX_MS = 8000,
    SETTLE_MS = 2500, /* to choose the coordinator and find the primary */
    RATE = 500,
    STEP_MS = 4,
    /* Longest gap in service while a primary is replaced. */
    FAILOVER_MAX_MS = 5000,
    /* Ages that the reads of the routes "bounded" and "own" accept. */
    BOUNDED_AGE_MS = 1500,
    OWN_AGE_MS = 2500,
    RECOVERY_MAX_MS = 12000,
    OUTAGE_MS = 10000,
    FAILOVERS = 5,
    REGISTERED_MS = 3000,
    CLIENTS = 6, /* at the relay that is cut off */
    ANSWER_MAX_MS = 6000,
};

static const char *const keys[] = {"coop:key-1", NULL};

static struct event_base *base;
static backend_t *backend;
static relay_process_t relays[RELAYS];
static harness_process_t proxy;

static void
add_link(int index, const char *to, const char *address)
{
    relay_process_t *relay = &relays[index];
    size_t len = strlen(relay->redirect);
    int port = harness_port();

    harness_process_arg(&proxy, "--link=r%d--%s=127.0.0.1:%d=%s", index, to,
                        port, address);
    snprintf(relay->redirect + len, sizeof(relay->redirect) - len, "%s:%d,",
             strrchr(address, ':') + 1, port);
}

static void
add_links(int index)
{
    char to[BACKEND_TEXT_BYTES];
    char address[BACKEND_TEXT_BYTES];

    for (int i = 0; i < RELAYS; i++) {
        snprintf(to, sizeof(to), "r%d", i);
        if (i != index) {
            add_link(index, to, relays[i].peer);
        }
    }
    for (int i = 0; i < BACKEND_DBS; i++) {
        snprintf(to, sizeof(to), "d%d", i);
        snprintf(address, sizeof(address), "127.0.0.1:%d",
                 backend_db_port(backend, i));
        add_link(index, to, address);
    }
    add_link(index, "store", backend_store_address(backend, index));
    add_link(index, "duty", backend_promotion_address(backend));
}

static void
set_up(void)
{
    const char *build = getenv("MASTICRELAY_BUILD");

    signal(SIGPIPE, SIG_IGN);
    base = event_base_new();
    backend = backend_create(base);
    backend_set_former_leads(backend, true);
    backend_put_config(backend, 5, keys, RATE);
    for (int i = 0; i < RELAYS; i++) {
        relay_prepare(&relays[i], i);
    }
    snprintf(proxy.name, sizeof(proxy.name), "proxy");
    snprintf(proxy.address, sizeof(proxy.address), "127.0.0.1:%d",
             harness_port());
    snprintf(proxy.log, sizeof(proxy.log), "%s/logs/proxy-%d.log",
             build == NULL ? "build" : build, (int)getpid());
    proxy.ready = "listening on";
    harness_process_arg(&proxy, "%s/fault_proxy",
                        build == NULL ? "build" : build);
    harness_process_arg(&proxy, "--control=%s", proxy.address);
    for (int i = 0; i < RELAYS; i++) {
        add_links(i);
    }
    harness_process_start(&proxy);
    for (int i = 0; i < RELAYS; i++) {
        relay_restart(&relays[i], backend);
    }
    for (int i = 0; i < RELAYS; i++) {
        ck_assert(relay_wait_ready(&relays[i], base, READY_MAX_MS));
    }
    harness_run_loop(base, SETTLE_MS);
}

static void
tear_down(void)
{
    for (int i = 0; i < RELAYS; i++) {
        relay_kill(&relays[i]);
    }
    harness_process_kill(&proxy);
    ck_assert_msg(backend_violation(backend) == NULL, "%s",
                  backend_violation(backend));
    backend_destroy(backend);
    event_base_free(base);
}

static void
set_links(const char *pattern, bool cut)
{
    char path[BACKEND_TEXT_BYTES];

    snprintf(path, sizeof(path), "/links/%s", pattern);
    links_set(base, &proxy, path,
              cut ? "{\"cut\":\"both\"}" : "{\"cut\":\"none\"}");
}

/* Cuts relay CUT and the primary off from everything but each other and the
 * clients of that relay, or ends the cut. */
static void
cut_off(int primary, bool cut)
{
    char link[BACKEND_TEXT_BYTES];

    for (int i = 0; i < RELAYS; i++) {
        if (i != CUT) {
            snprintf(link, sizeof(link), "r%d--r%d", i, CUT);
            set_links(link, cut);
            snprintf(link, sizeof(link), "r%d--r%d", CUT, i);
            set_links(link, cut);
            snprintf(link, sizeof(link), "r%d--d%d", i, primary);
            set_links(link, cut);
        }
    }
    for (int i = 0; i < BACKEND_DBS; i++) {
        if (i != primary) {
            snprintf(link, sizeof(link), "r%d--d%d", CUT, i);
            set_links(link, cut);
        }
    }
    snprintf(link, sizeof(link), "r%d--store", CUT);
    set_links(link, cut);
    snprintf(link, sizeof(link), "r%d--duty", CUT);
    set_links(link, cut);
}

static client_t *
open_session(int relay, const char *database)
{
    char code[ANSWER_BYTES] = "";
    client_t *client =
        client_open(base, &relays[relay], database, "key-1", code);

    ck_assert_msg(client != NULL, "refused: %s", code);
    return client;
}

/* Writes through relay @relay until it succeeds; returns the time it took, or
 * @max. */
static mr_ms_t
write_until_served(int relay, mr_ms_t max)
{
    client_t *client = open_session(relay, "own");
    mr_ms_t start = mr_clock_now(NULL);
    mr_ms_t took = max;

    while (took == max && mr_clock_now(NULL) < start + max) {
        if (client_run(client, "WRITE a b", NULL).complete) {
            took = mr_clock_now(NULL) - start;
        }
        harness_run_loop(base, 20);
    }
    client_close(client);
    return took;
}

/** A client that sends one statement after the other. */
typedef struct load_client {
    client_t *conn;
    const char *database;
    const char *statement;
    mr_ms_t age; /* that it accepts */
    bool waiting;
    int succeeded;
    int at_former;   /* that succeeded at a former primary, later than the age
                        that they accept */
    int refused_run; /* refused with a promise, but committed */
} load_client_t;

static bool
is_promise(const client_answer_t *answer)
{
    return !answer->complete && !answer->closed
           && !answer_is_error(answer, "INDOUBT")
           && !answer_is_error(answer, "TIMEOUT");
}

static void
count_answer(load_client_t *client, const client_answer_t *answer)
{
    const backend_run_t *run =
        backend_find_run(backend, client_id(client->conn));

    if (run == NULL) {
        return;
    }
    client->succeeded += answer->complete;
    client->at_former +=
        answer->complete && run->former
        && run->ran_at > backend_promoted_at(backend) + client->age;
    client->refused_run += is_promise(answer) && run->committed;
}

static void
step_client(load_client_t *client, bool sending)
{
    client_answer_t answer;

    if (client->waiting && client_poll(client->conn, &answer)) {
        client->waiting = false;
        count_answer(client, &answer);
    }
    if (!client->waiting && sending) {
        client_send(client->conn, client->statement);
        client->waiting = true;
    }
}

/* Lets the clients send until @until, and waits for the last answers. */
static void
run_clients(load_client_t *clients, int count, mr_ms_t until)
{
    mr_ms_t end = until + ANSWER_MAX_MS;
    bool waiting = true;

    while (mr_clock_now(NULL) < until
           || (waiting && mr_clock_now(NULL) < end)) {
        waiting = false;
        for (int i = 0; i < count; i++) {
            step_client(&clients[i], mr_clock_now(NULL) < until);
            waiting |= clients[i].waiting;
        }
        harness_run_loop(base, STEP_MS);
    }
}

/* A relay and the primary are cut off together, and another database is
 * promoted on the other side. */
START_TEST(test_a_cut_off_relay_does_not_use_a_former_primary)
{
    load_client_t clients[CLIENTS] = {
        {.database = "own", .statement = "WRITE a b"},
        {.database = "own", .statement = "WRITE c d"},
        {.database = "primary", .statement = "READ a"},
        {.database = "primary", .statement = "WRITE e f"},
        {.database = "own", .statement = "READ a", .age = OWN_AGE_MS},
        {.database = "bounded", .statement = "READ a", .age = BOUNDED_AGE_MS},
    };
    int primary = backend_primary(backend);

    for (int i = 0; i < CLIENTS; i++) {
        clients[i].conn = open_session(CUT, clients[i].database);
    }
    run_clients(clients, CLIENTS, mr_clock_now(NULL) + 500);
    for (int i = 0; i < CLIENTS; i++) {
        ck_assert_int_gt(clients[i].succeeded, 0);
    }
    cut_off(primary, true);
    while (backend_primary(backend) == primary) {
        run_clients(clients, CLIENTS, mr_clock_now(NULL) + STEP_MS);
    }
    run_clients(clients, CLIENTS, backend_promoted_at(backend) + OWN_AGE_MS);
    ck_assert_int_lt(write_until_served(0, FAILOVER_MAX_MS), FAILOVER_MAX_MS);
    run_clients(clients, CLIENTS, mr_clock_now(NULL) + 2000);
    for (int i = 0; i < CLIENTS; i++) {
        ck_assert_msg(clients[i].at_former == 0,
                      "%s %s: %d at a former primary", clients[i].database,
                      clients[i].statement, clients[i].at_former);
        ck_assert_int_eq(clients[i].refused_run, 0);
    }
    cut_off(primary, false);
    ck_assert_int_lt(write_until_served(CUT, RECOVERY_MAX_MS),
                     RECOVERY_MAX_MS);
    for (int i = 0; i < CLIENTS; i++) {
        client_close(clients[i].conn);
    }
}
END_TEST

/* The answer to a commit arrives after the lease has lapsed. */
START_TEST(test_a_commit_in_flight_as_the_lease_lapses_is_in_doubt)
{
    client_t *client = open_session(CUT, "own");
    int primary = backend_primary(backend);
    client_answer_t answer = {0};

    ck_assert(client_run(client, "WRITE a b", NULL).complete);
    cut_off(primary, true);
    harness_run_loop(base, MR_PRIMARY_LEASE_MS - 400);
    backend_set_answer_delay(backend, 700);
    client_send(client, "WRITE a c");
    mr_ms_t end = mr_clock_now(NULL) + ANSWER_MAX_MS;
    while (!client_poll(client, &answer)) {
        ck_assert(mr_clock_now(NULL) < end);
        harness_run_loop(base, STEP_MS);
    }
    ck_assert_msg(answer_is_error(&answer, "INDOUBT"), "%s", answer.text);
    const backend_run_t *run = backend_find_run(backend, client_id(client));
    ck_assert(run != NULL && run->committed);
    backend_set_answer_delay(backend, 0);
    cut_off(primary, false);
    client_close(client);
}
END_TEST

/* A relay is suspended, and wakes up after a promotion without the others. */
START_TEST(test_a_suspended_relay_does_not_use_a_former_primary)
{
    load_client_t clients[2] = {
        {.database = "own", .statement = "WRITE a b"},
        {.database = "primary", .statement = "READ a"},
    };
    int primary = backend_primary(backend);

    for (int i = 0; i < 2; i++) {
        clients[i].conn = open_session(CUT, clients[i].database);
    }
    run_clients(clients, 2, mr_clock_now(NULL) + 300);
    relay_signal(&relays[CUT], SIGSTOP);
    cut_off(primary, true);
    mr_ms_t end = mr_clock_now(NULL) + FAILOVER_MAX_MS;
    while (backend_primary(backend) == primary) {
        ck_assert(mr_clock_now(NULL) < end);
        harness_run_loop(base, STEP_MS);
    }
    for (int i = 0; i < 2; i++) {
        clients[i].at_former = 0;
    }
    relay_signal(&relays[CUT], SIGCONT);
    run_clients(clients, 2, mr_clock_now(NULL) + 1000);
    for (int i = 0; i < 2; i++) {
        ck_assert_int_eq(clients[i].at_former, 0);
        ck_assert_int_eq(clients[i].refused_run, 0);
    }
    cut_off(primary, false);
    ck_assert_int_lt(write_until_served(CUT, RECOVERY_MAX_MS),
                     RECOVERY_MAX_MS);
    for (int i = 0; i < 2; i++) {
        client_close(clients[i].conn);
    }
}
END_TEST

/* The leases delay no failover: no instance holds one beyond its next report.
 */
START_TEST(test_a_killed_primary_is_replaced_soon)
{
    mr_ms_t gaps[FAILOVERS];

    for (int i = 0; i < FAILOVERS; i++) {
        int primary = backend_primary(backend);
        backend_db_kill(backend, primary);
        gaps[i] = write_until_served(i % RELAYS, 2 * FAILOVER_MAX_MS);
        printf("%lld ms\n", (long long)gaps[i]);
        ck_assert_int_lt(gaps[i], FAILOVER_MAX_MS);
        backend_db_start(backend, primary, false);
        /* Until it has registered, and another promotion may start. */
        harness_run_loop(base, REGISTERED_MS);
    }
}
END_TEST

/* Without a fault elsewhere, an outage of the store stops no write. */
START_TEST(test_writes_go_on_while_the_store_is_out)
{
    load_client_t clients[RELAYS];

    for (int i = 0; i < RELAYS; i++) {
        backend_set_store_failing(backend, i, true);
        clients[i] = (load_client_t){.conn = open_session(i, "own"),
                                     .statement = "WRITE a b"};
    }
    mr_ms_t until = mr_clock_now(NULL) + OUTAGE_MS;
    while (mr_clock_now(NULL) < until) {
        for (int i = 0; i < RELAYS; i++) {
            client_answer_t answer =
                client_run(clients[i].conn, "WRITE a b", NULL);
            ck_assert_msg(answer.complete, "%s", answer.text);
        }
        harness_run_loop(base, 50);
    }
    for (int i = 0; i < RELAYS; i++) {
        backend_set_store_failing(backend, i, false);
        client_close(clients[i].conn);
    }
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_a_cut_off_relay_does_not_use_a_former_primary,
        test_a_commit_in_flight_as_the_lease_lapses_is_in_doubt,
        test_a_suspended_relay_does_not_use_a_former_primary,
        test_a_killed_primary_is_replaced_soon,
        test_writes_go_on_while_the_store_is_out,
    };

    return RUN_TESTS(tests, .suite = "session_former", .timeout_s = 60,
                     .setup = set_up, .teardown = tear_down, .verbose = true);
}
