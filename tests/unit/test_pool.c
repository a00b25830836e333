/* Guards against more concurrent statements at a target than it has slots,
 * accounts that starve others, waits that end twice or never, and transactions
 * that deadlock on connections. */

#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "common/address.h"
#include "common/list.h"
#include "group/pool.h"

enum { SLOTS = 2, CONNECTIONS = 5, STATEMENT_MS = 2, LONG_MS = 5000 };

/** Fake target that answers statements after STATEMENT_MS. */
static struct {
    struct event_base *base;
    struct evhttp *http;
    struct evhttp_bound_socket *socket;
    char address[32];
    GHashTable *connections;
    int running;
    int peak_running;
    size_t peak_connections;
    int statements;
    int first_statements;   /* that were the first request of a connection */
    size_t max_connections; /* that are accepted; 0: any number */
    int refused;
} fake;

typedef struct client {
    const char *account;
    mr_pool_wait_t *wait;
    mr_target_conn_t *conn;
    mr_pool_disposition_t disposition; /* after the statement */
    bool hold; /* keep the slot and send no statement */
    int ended;
    mr_error_kind_t error;
    int order; /* position in the order in which waits ended */
} client_t;

static mr_pool_t *pool;
static mr_counters_t *counters;
static client_t clients[1200];
static int ended_count;

static void
on_fake_close(struct evhttp_connection *connection, void *ctx)
{
    (void)ctx;
    g_hash_table_remove(fake.connections, connection);
}

static void
on_fake_end(evutil_socket_t fd, short what, void *ctx)
{
    struct evbuffer *body = evbuffer_new();

    (void)fd;
    (void)what;
    fake.running--;
    evbuffer_add_printf(body, "{\"result\":{},\"state\":{\"role\":\"primary\","
                              "\"term\":1,\"last_term\":1,\"position\":1}}");
    evhttp_send_reply(ctx, 200, NULL, body);
    evbuffer_free(body);
}

static void
on_fake_request(struct evhttp_request *req, void *ctx)
{
    struct evhttp_connection *connection = evhttp_request_get_connection(req);
    bool statement = strcmp(evhttp_request_get_uri(req), "/execute") == 0;
    struct timeval tv = mr_clock_timeval(STATEMENT_MS);
    struct evbuffer *body;

    (void)ctx;
    if (fake.max_connections > 0
        && !g_hash_table_contains(fake.connections, connection)
        && g_hash_table_size(fake.connections) >= fake.max_connections) {
        fake.refused++;
        evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
                          "close");
        evhttp_send_reply(req, 503, NULL, NULL);
        return;
    }
    if (g_hash_table_add(fake.connections, connection)) {
        evhttp_connection_set_closecb(connection, on_fake_close, NULL);
        fake.first_statements += statement;
    }
    fake.peak_connections =
        MAX(fake.peak_connections, g_hash_table_size(fake.connections));
    if (statement) {
        fake.statements++;
        fake.running++;
        fake.peak_running = MAX(fake.peak_running, fake.running);
        event_base_once(fake.base, -1, EV_TIMEOUT, on_fake_end, req, &tv);
        return;
    }
    body = evbuffer_new();
    evbuffer_add_printf(body, "{\"role\":\"primary\",\"term\":1,"
                              "\"last_term\":1,\"position\":1}");
    evhttp_send_reply(req, 200, NULL, body);
    evbuffer_free(body);
}

static void
open_fake(int port)
{
    struct sockaddr_storage addr;
    socklen_t size = sizeof(addr);

    fake.http = evhttp_new(fake.base);
    evhttp_set_gencb(fake.http, on_fake_request, NULL);
    fake.socket =
        evhttp_bind_socket_with_handle(fake.http, "127.0.0.1", (uint16_t)port);
    ck_assert_ptr_nonnull(fake.socket);
    getsockname(evhttp_bound_socket_get_fd(fake.socket),
                (struct sockaddr *)&addr, &size);
    snprintf(fake.address, sizeof(fake.address), "127.0.0.1:%d",
             mr_address_port(&addr));
}

static void
run_loop(mr_ms_t duration)
{
    struct timeval tv = mr_clock_timeval(duration);

    event_base_loopexit(fake.base, &tv);
    event_base_dispatch(fake.base);
}

static void
open_pool(void)
{
    const mr_pool_options_t options = {
        .base = fake.base,
        .counters = counters,
        .target = "t",
        .address = fake.address,
        .slots = SLOTS,
        .connections = CONNECTIONS,
    };

    pool = mr_pool_create(&options);
}

static void
set_up(void)
{
    signal(SIGPIPE, SIG_IGN);
    memset(&fake, 0, sizeof(fake));
    memset(clients, 0, sizeof(clients));
    ended_count = 0;
    fake.base = event_base_new();
    fake.connections = g_hash_table_new(NULL, NULL);
    counters = mr_counters_create();
    open_fake(0);
    open_pool();
}

static void
tear_down(void)
{
    mr_pool_destroy(pool);
    mr_counters_destroy(counters);
    run_loop(5);
    evhttp_free(fake.http);
    event_base_loop(fake.base, EVLOOP_NONBLOCK);
    g_hash_table_destroy(fake.connections);
    event_base_free(fake.base);
}

static void
on_reply(void *ctx, const mr_target_reply_t *reply)
{
    client_t *client = ctx;

    client->error = reply->error;
    mr_pool_release(pool, client->conn, client->disposition);
}

static void
on_ready(void *ctx, mr_error_kind_t error, mr_target_conn_t *conn)
{
    client_t *client = ctx;
    const mr_target_request_t request = {
        .operation = MR_TARGET_EXECUTE,
        .statement = {"{}", 2},
        .timeout = LONG_MS,
    };

    client->wait = NULL;
    client->conn = conn;
    client->error = error;
    client->order = ++ended_count;
    client->ended++;
    if (error == MR_OK && !client->hold) {
        mr_target_conn_send(conn, &request, on_reply, client);
    }
}

static void
acquire(client_t *client, const char *account, mr_ms_t limit)
{
    client->account = account;
    client->wait =
        mr_pool_acquire(pool, account, 1, client->conn,
                        mr_clock_now(NULL) + limit, on_ready, client);
    ck_assert_int_eq(client->ended, 0);
}

/** release_slot() - release the slot of a client that holds it. */
static void
release_slot(client_t *client, mr_pool_disposition_t disposition)
{
    ck_assert_ptr_nonnull(client->conn);
    mr_pool_release(pool, client->conn, disposition);
}

static int64_t
counter(const char *name, const char *labels)
{
    return mr_counter_value(mr_counters_get(counters, name, labels, ""));
}

START_TEST(test_statements_stay_within_slots_and_connections)
{
    for (int i = 0; i < 100; i++) {
        clients[i].disposition = i % 10 == 0 ? MR_POOL_CLOSE : MR_POOL_REUSE;
        acquire(&clients[i], i % 2 == 0 ? "a" : "b", LONG_MS);
    }
    run_loop(400);
    for (int i = 0; i < 100; i++) {
        ck_assert_int_eq(clients[i].ended, 1);
        ck_assert_int_eq(clients[i].error, MR_OK);
    }
    ck_assert_int_eq(fake.statements, 100);
    ck_assert_int_eq(fake.peak_running, SLOTS);
    ck_assert_int_eq(fake.first_statements, 0);
    ck_assert_uint_le(fake.peak_connections, CONNECTIONS);
    ck_assert_uint_eq(mr_pool_running(pool), 0);
    ck_assert_int_eq(counter("masticrelay_pool_waits_total", "target=\"t\""),
                     100);
    ck_assert_int_gt(
        counter("masticrelay_pool_queue_ms_total", "target=\"t\""), 0);
}
END_TEST

/* An account within its share must not wait behind another account's burst. */
START_TEST(test_burst_does_not_starve_others)
{
    for (int i = 0; i < 200; i++) {
        acquire(&clients[i], "hog", LONG_MS);
    }
    for (int i = 200; i < 220; i++) {
        acquire(&clients[i], "b", LONG_MS);
    }
    run_loop(600);
    for (int i = 200; i < 220; i++) {
        ck_assert_int_eq(clients[i].error, MR_OK);
        ck_assert_int_le(clients[i].order, 2 * (i - 199) + SLOTS);
    }
}
END_TEST

START_TEST(test_deadline_passes_in_the_queue)
{
    for (int i = 0; i < SLOTS; i++) {
        clients[i].hold = true;
        acquire(&clients[i], "a", LONG_MS);
    }
    run_loop(50);
    acquire(&clients[2], "a", 60);
    acquire(&clients[3], "a", LONG_MS);
    run_loop(30);
    ck_assert_int_eq(clients[2].ended, 0);
    run_loop(50);
    ck_assert_int_eq(clients[2].ended, 1);
    ck_assert_int_eq(clients[2].error, MR_ERR_DEADLINE_EXCEEDED);
    ck_assert_int_eq(clients[3].ended, 0);
    ck_assert_int_eq(counter("masticrelay_pool_sheds_total",
                             "target=\"t\",reason=\"deadline\""),
                     1);
    release_slot(&clients[0], MR_POOL_REUSE);
    release_slot(&clients[1], MR_POOL_REUSE);
    run_loop(20);
    ck_assert_int_eq(clients[3].error, MR_OK);
    ck_assert_int_eq(fake.statements, 1);
}
END_TEST

START_TEST(test_full_queue_rejects_immediately)
{
    for (int i = 0; i < 1025; i++) {
        acquire(&clients[i], "hog", 10);
    }
    acquire(&clients[1025], "b", LONG_MS);
    run_loop(100);
    ck_assert_int_eq(clients[1024].error, MR_ERR_OVERLOADED);
    ck_assert_int_eq(clients[1024].order, 1);
    ck_assert_int_eq(clients[1025].error, MR_OK);
    for (int i = 0; i < 1025; i++) {
        ck_assert_int_eq(clients[i].ended, 1);
    }
}
END_TEST

START_TEST(test_destroy_ends_waits_and_cancel_does_not)
{
    for (int i = 0; i < 10; i++) {
        acquire(&clients[i], "a", LONG_MS);
    }
    mr_pool_cancel(clients[0].wait);
    mr_pool_destroy(pool);
    ck_assert_int_eq(clients[0].ended, 0);
    for (int i = 1; i < 10; i++) {
        ck_assert_int_eq(clients[i].ended, 1);
        ck_assert_int_eq(clients[i].error, MR_ERR_UNAVAILABLE);
    }
    run_loop(50);
    ck_assert_int_eq(ended_count, 9);
    open_pool();
}
END_TEST

static void
destroy_pool(void *ctx, mr_error_kind_t error, mr_target_conn_t *conn)
{
    (void)ctx;
    (void)conn;
    ended_count++;
    if (error == MR_ERR_DEADLINE_EXCEEDED) {
        mr_pool_destroy(pool);
        open_pool();
    }
}

/* The pool must not be used after a callback that destroyed it. */
START_TEST(test_pool_destroyed_in_a_callback)
{
    mr_ms_t now = mr_clock_now(NULL);

    mr_pool_acquire(pool, "a", 1, NULL, now, destroy_pool, NULL);
    mr_pool_acquire(pool, "a", 1, NULL, now + LONG_MS, destroy_pool, NULL);
    run_loop(20);
    ck_assert_int_eq(ended_count, 2);
}
END_TEST

/* When transactions hold all connections, their statements must overtake the
 * waits that need a connection; otherwise all would wait for their deadlines.
 */
START_TEST(test_pinned_connections_do_not_deadlock)
{
    for (int i = 0; i < CONNECTIONS; i++) {
        clients[i].disposition = MR_POOL_PIN;
        acquire(&clients[i], "a", LONG_MS);
        run_loop(20);
        ck_assert_int_eq(clients[i].error, MR_OK);
    }
    ck_assert_uint_eq(mr_pool_running(pool), 0);
    for (int i = 10; i < 15; i++) {
        acquire(&clients[i], "b", LONG_MS);
    }
    run_loop(30);
    ck_assert_int_eq(clients[10].ended, 0);
    clients[0].ended = 0;
    clients[0].disposition = MR_POOL_REUSE;
    acquire(&clients[0], "a", LONG_MS);
    run_loop(100);
    ck_assert_int_eq(clients[0].error, MR_OK);
    for (int i = 10; i < 15; i++) {
        ck_assert_int_eq(clients[i].error, MR_OK);
    }
    ck_assert_uint_eq(fake.peak_connections, CONNECTIONS);
    for (int i = 1; i < CONNECTIONS; i++) {
        mr_pool_unpin(pool, clients[i].conn, i % 2 == 0);
    }
    ck_assert_int_eq(
        counter("masticrelay_pool_connections_in_use", "target=\"t\""), 0);
}
END_TEST

/* Another owner may hold some of the connections that the target accepts; the
 * waits must still be served by the connections of this pool. */
START_TEST(test_refused_connections_do_not_end_waits)
{
    fake.max_connections = SLOTS;
    for (int i = 0; i < SLOTS; i++) {
        clients[i].hold = true;
        acquire(&clients[i], "a", LONG_MS);
    }
    run_loop(100);
    ck_assert_int_eq(ended_count, SLOTS);
    acquire(&clients[SLOTS], "a", LONG_MS);
    run_loop(300);
    ck_assert_int_gt(fake.refused, 0);
    ck_assert_int_eq(clients[SLOTS].ended, 0);
    release_slot(&clients[0], MR_POOL_REUSE);
    run_loop(50);
    ck_assert_int_eq(clients[SLOTS].ended, 1);
    ck_assert_int_eq(clients[SLOTS].error, MR_OK);
    release_slot(&clients[1], MR_POOL_REUSE);
}
END_TEST

/* A target that restarts closes the idle connections. A pending wait must end
 * immediately, since another target may serve its statement, and the next
 * statement must not be the first request on a connection. */
START_TEST(test_closed_idle_connections_are_replaced)
{
    const char *port = strchr(fake.address, ':') + 1;

    run_loop(50);
    ck_assert_uint_eq(g_hash_table_size(fake.connections), SLOTS);
    evhttp_free(fake.http);
    acquire(&clients[0], "a", LONG_MS);
    run_loop(200);
    ck_assert_int_eq(clients[0].ended, 1);
    ck_assert_int_eq(clients[0].error, MR_ERR_UNAVAILABLE);
    ck_assert_int_eq(fake.statements, 0);
    open_fake(atoi(port));
    run_loop(600);
    clients[0].ended = 0;
    acquire(&clients[0], "a", LONG_MS);
    run_loop(100);
    ck_assert_int_eq(clients[0].ended, 1);
    ck_assert_int_eq(clients[0].error, MR_OK);
    ck_assert_int_eq(fake.statements, 1);
    ck_assert_int_eq(fake.first_statements, 0);
    /* One free connection for each slot, and the one that the statement used.
     */
    ck_assert_int_eq(counter("masticrelay_pool_opened_total", "target=\"t\""),
                     2 * SLOTS + 1);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_statements_stay_within_slots_and_connections,
        test_burst_does_not_starve_others,
        test_deadline_passes_in_the_queue,
        test_full_queue_rejects_immediately,
        test_destroy_ends_waits_and_cancel_does_not,
        test_pool_destroyed_in_a_callback,
        test_pinned_connections_do_not_deadlock,
        test_refused_connections_do_not_end_waits,
        test_closed_idle_connections_are_replaced};

    return RUN_TESTS(tests, .suite = "pool", .setup = set_up,
                     .teardown = tear_down);
}
