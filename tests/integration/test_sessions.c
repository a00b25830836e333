/* Guards the promises of the session path with real daemons between clients
 * of the line protocol and a stand-in of store, promotions and databases:
 * reads that miss a write, statements mixed up, keys that still work, limits
 * exceeded, writes lost or doubled around failures, planned stops that cut. */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "harness.h"
#include "member/rendezvous.h"
#include "session_client.h"
#include "world.h"

enum {
    RELAYS = 3,
    READY_MAX_MS = 8000,
    RATE = 500,
    LOG_MS = 200, /* until a line of a daemon is in its file */
};

static const char *const keys[] = {"coop:key-1", "agent:key-2", NULL};

static struct event_base *base;
static world_t *world;
static relay_process_t relays[RELAYS];

static void
set_up(void)
{
    signal(SIGPIPE, SIG_IGN);
    base = event_base_new();
    world = world_create(base);
    world_config(world, 5, keys, RATE);
    for (int i = 0; i < RELAYS; i++) {
        relay_start(&relays[i], world, i);
    }
    for (int i = 0; i < RELAYS; i++) {
        ck_assert(relay_wait_ready(&relays[i], base, READY_MAX_MS));
    }
    /* The coordinator is chosen and has read the registrations. */
    harness_run_loop(base, 2500);
}

static void
tear_down(void)
{
    ck_assert_msg(world_problem(world) == NULL, "%s", world_problem(world));
    for (int i = 0; i < RELAYS; i++) {
        relay_kill(&relays[i]);
    }
    world_destroy(world);
    event_base_free(base);
}

static client_t *
must_open(int relay, const char *database, const char *key)
{
    char code[ANSWER_BYTES] = "";
    client_t *client = client_open(base, &relays[relay], database, key, code);

    ck_assert_msg(client != NULL, "refused: %s", code);
    return client;
}

static void
must_run(client_t *client, const char *statement, char *id)
{
    client_answer_t answer = client_run(client, statement, id);

    if (!answer.complete) {
        harness_run_loop(base, LOG_MS); /* the daemons' lines about it */
    }
    ck_assert_msg(answer.complete, "%s: %s", statement, answer.text);
}

START_TEST(test_answers_are_the_databases_own)
{
    client_t *client = must_open(0, "own", "key-1");
    char id[WORLD_TEXT_BYTES];
    char digest[ANSWER_BYTES];

    for (int i = 0; i < 20; i++) {
        client_answer_t answer =
            client_run(client, i % 3 == 0 ? "WRITE a b" : "READ a", id);
        snprintf(digest, sizeof(digest), "digest-of-%s", id);
        ck_assert_str_eq(answer.text, digest);
        ck_assert_str_eq(world_find(world, id)->account, "coop");
        ck_assert_int_eq(world_count(world, id), 1);
    }
    client_close(client);
}
END_TEST

START_TEST(test_a_session_reads_its_own_writes)
{
    client_t *client = must_open(0, "own", "key-1");
    char write[WORLD_TEXT_BYTES];
    char read[WORLD_TEXT_BYTES];

    world_lag(world, 1, 300);
    world_lag(world, 2, 400);
    for (int i = 0; i < 20; i++) {
        must_run(client, "WRITE a b", write);
        must_run(client, "READ a", read);
        ck_assert_int_ge(world_find(world, read)->number,
                         world_find(world, write)->number);
    }
    client_close(client);
}
END_TEST

START_TEST(test_primary_routes_read_every_commit)
{
    client_t *writer = must_open(0, "own", "key-1");
    client_t *reader = must_open(1, "primary", "key-2");
    char write[WORLD_TEXT_BYTES];
    char read[WORLD_TEXT_BYTES];

    world_lag(world, 1, 500);
    world_lag(world, 2, 500);
    for (int i = 0; i < 20; i++) {
        must_run(writer, "WRITE a b", write);
        must_run(reader, "READ a", read);
        ck_assert_int_ge(world_find(world, read)->number,
                         world_find(world, write)->number);
    }
    client_close(writer);
    client_close(reader);
}
END_TEST

START_TEST(test_aged_reads_use_replicas_within_their_bound)
{
    client_t *writer = must_open(0, "own", "key-1");
    client_t *reader = must_open(1, "bounded", "key-2");
    mr_ms_t end = mr_clock_now(NULL) + 6000;
    int replicas = 0;
    int reads = 0;
    struct {
        mr_ms_t at;
        int64_t number;
    } commits[2000];
    int count = 0;

    world_lag(world, 1, 1000);
    world_lag(world, 2, 5000);
    while (mr_clock_now(NULL) < end && count < 2000) {
        char id[WORLD_TEXT_BYTES];
        must_run(writer, "WRITE a b", id);
        commits[count].at = mr_clock_now(NULL);
        commits[count++].number = world_find(world, id)->number;
        mr_ms_t sent = mr_clock_now(NULL);
        must_run(reader, "READ a", id);
        const world_run_t *run = world_find(world, id);
        reads++;
        replicas += run->db != world_primary(world);
        for (int i = 0; i < count; i++) {
            if (commits[i].at < sent - 1500) {
                ck_assert_int_ge(run->number, commits[i].number);
            }
        }
        harness_run_loop(base, 10);
    }
    /* The replica that is 1 s behind serves most of them. */
    ck_assert_int_gt(replicas, reads / 2);
    client_close(writer);
    client_close(reader);
}
END_TEST

START_TEST(test_values_and_names_follow_the_session)
{
    client_t *one = must_open(0, "own", "key-1");
    client_t *two = must_open(0, "own", "key-1");
    char id[WORLD_TEXT_BYTES];

    must_run(one, "SET lang tr", NULL);
    must_run(one, "PREPARE s WRITE shape", NULL);
    must_run(two, "SET lang es", NULL);
    must_run(two, "PREPARE s READ shape", NULL);
    for (int i = 0; i < 10; i++) {
        must_run(one, "EXECUTE s item data", id);
        ck_assert_str_eq(world_find(world, id)->values, "lang tr;");
        ck_assert(world_find(world, id)->committed);
        must_run(two, "EXECUTE s item", id);
        ck_assert_str_eq(world_find(world, id)->values, "lang es;");
    }
    must_run(one, "DEALLOC s", NULL);
    client_answer_t answer = client_run(one, "EXECUTE s item data", NULL);
    ck_assert_msg(answer_is(&answer, "NOSTMT"), "%s", answer.text);
    client_close(one);
    client_close(two);
}
END_TEST

START_TEST(test_transactions_keep_to_themselves)
{
    client_t *one = must_open(0, "own", "key-1");
    client_t *two = must_open(0, "own", "key-1");
    char kept[WORLD_TEXT_BYTES];
    char dropped[WORLD_TEXT_BYTES];

    must_run(one, "BEGIN", NULL);
    must_run(two, "BEGIN", NULL);
    must_run(one, "WRITE a b", kept);
    must_run(two, "WRITE c d", dropped);
    must_run(one, "READ a", NULL);
    must_run(two, "ROLLBACK", NULL);
    must_run(one, "COMMIT", NULL);
    ck_assert_int_eq(world_holds(world, kept), 1);
    ck_assert_int_eq(world_holds(world, dropped), 0);
    /* A client that leaves in the middle keeps nothing either. */
    must_run(two, "BEGIN", NULL);
    must_run(two, "WRITE c d", dropped);
    client_close(two);
    harness_run_loop(base, 100);
    must_run(one, "WRITE e f", kept);
    ck_assert_int_eq(world_holds(world, dropped), 0);
    client_close(one);
}
END_TEST

START_TEST(test_withdrawn_keys_and_routes_stop)
{
    static const char *const fewer[] = {"agent:key-2", NULL};
    client_t *one = must_open(0, "own", "key-1");
    client_t *two = must_open(1, "bounded", "key-2");
    char code[ANSWER_BYTES] = "";

    /* This instance cannot reach the store: it hears it from the others. */
    world_store_fails(world, 0, true);
    world_drop_route(world, "bounded");
    world_config(world, 9, fewer, RATE);
    harness_run_loop(base, 2500);
    client_answer_t answer = client_run(one, "READ a", NULL);
    ck_assert_msg(answer_is(&answer, "NOAUTH"), "%s", answer.text);
    answer = client_run(two, "READ a", NULL);
    ck_assert_msg(answer_is(&answer, "NODB"), "%s", answer.text);
    ck_assert_ptr_null(client_open(base, &relays[0], "own", "key-1", code));
    ck_assert_msg(strncmp(code, "NOAUTH", 6) == 0, "%s", code);
    ck_assert_ptr_null(
        client_open(base, &relays[1], "bounded", "key-2", code));
    ck_assert_msg(strncmp(code, "NODB", 4) == 0, "%s", code);
    client_close(one);
    client_close(two);
}
END_TEST

START_TEST(test_limits_hold_over_all_instances)
{
    enum { LIMIT = 20, SPAN_MS = 4000, CLIENTS = 6 };
    client_t *clients[CLIENTS];
    int admitted = 0;
    int refused = 0;

    world_config(world, 9, keys, LIMIT);
    for (int i = 0; i < CLIENTS; i++) {
        clients[i] = must_open(i % RELAYS, "bounded", "key-1");
    }
    harness_run_loop(base, 2000);
    mr_ms_t end = mr_clock_now(NULL) + SPAN_MS;
    while (mr_clock_now(NULL) < end) {
        for (int i = 0; i < CLIENTS; i++) {
            client_answer_t answer = client_run(clients[i], "READ a", NULL);
            admitted += answer.complete;
            refused += answer_is(&answer, "OVERLOAD");
        }
    }
    /* Rate x time + burst, and 20 operations of slack over all. */
    ck_assert_int_le(admitted, LIMIT * SPAN_MS / 1000 + LIMIT + 20);
    ck_assert_int_ge(admitted, LIMIT * SPAN_MS / 1000 * 8 / 10);
    ck_assert_int_gt(refused, 0);
    for (int i = 0; i < CLIENTS; i++) {
        client_close(clients[i]);
    }
}
END_TEST

/* Writes until one succeeds; the time it took. */
static mr_ms_t
write_until_served(client_t *client, mr_ms_t max)
{
    mr_ms_t start = mr_clock_now(NULL);

    while (mr_clock_now(NULL) < start + max) {
        if (client_run(client, "WRITE a b", NULL).complete) {
            return mr_clock_now(NULL) - start;
        }
        harness_run_loop(base, 20);
    }
    return max;
}

START_TEST(test_a_dead_primary_is_replaced)
{
    client_t *one = must_open(0, "own", "key-1");
    client_t *two = must_open(1, "own", "key-2");
    client_t *three = must_open(2, "own", "key-2");
    char id[WORLD_TEXT_BYTES];

    must_run(one, "WRITE a b", id);
    must_run(two, "WRITE a b", NULL);
    must_run(three, "WRITE a b", NULL);
    world_db_kill(world, 0);
    client_start(two, "WRITE a b");
    client_start(three, "WRITE a b");
    ck_assert_int_lt(write_until_served(one, 10000), 5000);
    ck_assert_int_eq(world_promotions(world), 1);
    ck_assert_int_eq(world_holds(world, id), 1);
    client_close(one);
    client_close(two);
    client_close(three);
}
END_TEST

START_TEST(test_with_synchronous_copies_the_complete_replica_is_promoted)
{
    client_t *clients[RELAYS];
    char ids[20][WORLD_TEXT_BYTES];

    world_sync(world, 1);
    world_config(world, 9, keys, RATE);
    harness_run_loop(base, 1000);
    for (int i = 0; i < RELAYS; i++) {
        clients[i] = must_open(i, "own", "key-1");
    }
    /* Only the other replica has what follows. */
    world_db_deaf(world, 1);
    for (int i = 0; i < 20; i++) {
        must_run(clients[i % RELAYS], "WRITE a b", ids[i]);
    }
    world_db_kill(world, 2);
    world_db_kill(world, 0);
    for (int i = 0; i < RELAYS; i++) {
        client_start(clients[i], "WRITE a b");
    }
    harness_run_loop(base, 6000);
    /* The replica that answers may lack an acknowledged commit. */
    ck_assert_int_eq(world_promotions(world), 0);
    world_db_start(world, 2, false);
    ck_assert_int_lt(write_until_served(clients[0], 10000), 5000);
    ck_assert_int_eq(world_primary(world), 2);
    ck_assert_int_eq(world_suspended(world), 0);
    for (int i = 0; i < 20; i++) {
        ck_assert_int_eq(world_holds(world, ids[i]), 1);
    }
    for (int i = 0; i < RELAYS; i++) {
        client_close(clients[i]);
    }
}
END_TEST

START_TEST(test_a_silent_primary_is_replaced_while_the_store_is_out)
{
    client_t *clients[RELAYS];

    for (int i = 0; i < RELAYS; i++) {
        clients[i] = must_open(i, "own", "key-1");
        must_run(clients[i], "WRITE a b", NULL);
    }
    for (int i = 0; i < WORLD_STORES; i++) {
        world_store_fails(world, i, true);
    }
    world_db_silent(world, 0, true);
    for (int i = 1; i < RELAYS; i++) {
        client_start(clients[i], "WRITE a b");
    }
    ck_assert_int_lt(write_until_served(clients[0], 10000), 5000);
    ck_assert_int_eq(world_promotions(world), 1);
    for (int i = 0; i < RELAYS; i++) {
        client_close(clients[i]);
    }
}
END_TEST

START_TEST(test_a_leaving_primary_loses_nothing)
{
    client_t *client = must_open(0, "own", "key-1");
    char ids[2000][WORLD_TEXT_BYTES];
    int count = 0;
    mr_ms_t end = mr_clock_now(NULL) + 8000;

    world_db_drains(world, 0);
    while (mr_clock_now(NULL) < end && count < 2000) {
        char id[WORLD_TEXT_BYTES];
        if (client_run(client, "WRITE a b", id).complete) {
            memcpy(ids[count++], id, sizeof(id));
        }
        harness_run_loop(base, 5);
    }
    ck_assert_int_ne(world_primary(world), 0);
    ck_assert_int_gt(count, 0);
    for (int i = 0; i < count; i++) {
        ck_assert_int_eq(world_holds(world, ids[i]), 1);
    }
    client_close(client);
}
END_TEST

/* Guards against a statement that waits for a connection that nobody opens:
 * the pause after a refused one ended, and nothing tried again. The statement
 * that met the refusal may be refused as well; one that comes in the pause
 * waits for its end. */
START_TEST(test_a_refused_connection_is_tried_again)
{
    client_t *refused = must_open(0, "own", "key-1");
    client_t *client = must_open(0, "own", "key-1");

    world_db_full(world, 0, 1);
    client_start(refused, "WRITE a a");
    while (world_db_refuses(world, 0)) {
        harness_run_loop(base, 1);
    }
    harness_run_loop(base, 5); /* the refusal arrives */
    mr_ms_t before = mr_clock_now(NULL);
    must_run(client, "WRITE a b", NULL);
    /* The pause, twice, and the way. */
    ck_assert_int_lt(mr_clock_now(NULL) - before, 300);
    client_close(client);
    client_close(refused);
}
END_TEST

/* Guards against an overload that keeps itself up: with few connections, each
 * further attempt at a busy database opened a new one, which takes a slot. */
START_TEST(test_a_busy_database_is_not_asked_on_new_connections)
{
    world_connections(world, 1);
    world_config(world, 6, keys, RATE);
    harness_run_loop(base, 1000);
    client_t *client = must_open(0, "own", "key-1");
    int before = world_opened(world, 0);

    world_db_busy(world, 0, 4);
    must_run(client, "WRITE a b", NULL);
    ck_assert_int_le(world_opened(world, 0) - before, 1);
    client_close(client);
}
END_TEST

/* Guards against connections that are opened to a database without free slots:
 * each takes one. */
START_TEST(test_nothing_is_opened_to_a_busy_database_for_a_while)
{
    world_connections(world, 1);
    world_config(world, 6, keys, RATE);
    harness_run_loop(base, 1000);
    client_t *first = must_open(0, "own", "key-1");
    client_t *second = must_open(0, "own", "key-1");
    int before = world_opened(world, 0);
    client_answer_t answer;

    world_db_busy(world, 0, 1000);
    client_start(first, "WRITE a b");
    harness_run_loop(base, 20);
    client_start(second, "WRITE a c");
    harness_run_loop(base, 15);
    ck_assert_int_eq(world_opened(world, 0) - before, 1);
    world_db_busy(world, 0, 0);
    harness_run_loop(base, 600);
    ck_assert(client_poll(first, &answer) && answer.complete);
    ck_assert(client_poll(second, &answer) && answer.complete);
    client_close(first);
    client_close(second);
}
END_TEST

/* Guards against a statement that is sent on a freed connection. */
START_TEST(test_a_busy_transaction_whose_connection_ends_is_aborted)
{
    client_t *client = must_open(0, "own", "key-1");
    client_answer_t answer;

    must_run(client, "BEGIN", NULL);
    must_run(client, "WRITE a b", NULL);
    world_db_busy(world, 0, 1000);
    client_start(client, "WRITE a c");
    harness_run_loop(base, 60);
    world_db_kill(world, 0);
    harness_run_loop(base, 300);
    ck_assert(client_poll(client, &answer));
    ck_assert_msg(answer_is(&answer, "ABORTED"), "%s", answer.text);
    ck_assert(relay_is_ready(&relays[0], base));
    client_close(client);
}
END_TEST

START_TEST(test_a_write_without_an_answer_is_in_doubt)
{
    client_t *client = must_open(0, "own", "key-1");
    char id[WORLD_TEXT_BYTES];
    int lost = 0;

    world_lose_answers(world, 3);
    for (int i = 0; i < 40; i++) {
        client_answer_t answer = client_run(client, "WRITE a b", id);
        if (answer.complete) {
            continue;
        }
        ck_assert_msg(answer_is(&answer, "INDOUBT")
                          || answer_is(&answer, "TIMEOUT")
                          || world_count(world, id) == 0,
                      "%s, run %d times", answer.text, world_count(world, id));
        ck_assert_int_le(world_holds(world, id), 1);
        lost++;
    }
    ck_assert_int_gt(lost, 0);
    /* A read is sent to another database instead. */
    for (int i = 0; i < 10; i++) {
        must_run(client, "READ a", NULL);
    }
    client_close(client);
}
END_TEST

START_TEST(test_a_transaction_without_its_connection_is_aborted)
{
    client_t *client = must_open(0, "own", "key-1");
    char id[WORLD_TEXT_BYTES];

    must_run(client, "BEGIN", NULL);
    must_run(client, "WRITE a b", id);
    world_lose_answers(world, 1);
    client_answer_t answer = client_run(client, "READ a", NULL);
    ck_assert_msg(answer_is(&answer, "ABORTED"), "%s", answer.text);
    ck_assert_int_eq(answer.state, 'E');
    world_lose_answers(world, 0);
    answer = client_run(client, "READ a", NULL);
    ck_assert_msg(answer_is(&answer, "MALFORMED"), "%s", answer.text);
    must_run(client, "ROLLBACK", NULL);
    ck_assert_int_eq(world_holds(world, id), 0);
    must_run(client, "READ a", NULL);
    client_close(client);
}
END_TEST

START_TEST(test_a_resting_transaction_gives_its_connection_back)
{
    client_t *client = must_open(0, "own", "key-1");
    char id[WORLD_TEXT_BYTES];

    must_run(client, "BEGIN", NULL);
    must_run(client, "WRITE a b", id);
    harness_run_loop(base, 3300); /* the limit is 3,000 ms */
    client_answer_t answer = client_run(client, "COMMIT", NULL);
    ck_assert_msg(answer_is(&answer, "ABORTED"), "%s", answer.text);
    ck_assert_int_eq(answer.state, 'I');
    ck_assert_int_eq(world_holds(world, id), 0);
    must_run(client, "BEGIN", NULL);
    must_run(client, "WRITE a b", id);
    must_run(client, "COMMIT", NULL);
    ck_assert_int_eq(world_holds(world, id), 1);
    client_close(client);
}
END_TEST

START_TEST(test_a_late_promotion_does_not_undo_a_later_one)
{
    client_t *clients[RELAYS];

    for (int i = 0; i < RELAYS; i++) {
        clients[i] = must_open(i, "own", "key-1");
        must_run(clients[i], "WRITE a b", NULL);
    }
    /* The first order is carried out long after the second one. */
    world_promotions_late(world, 4000);
    world_db_kill(world, 0);
    for (int i = 1; i < RELAYS; i++) {
        client_start(clients[i], "WRITE a b");
    }
    client_run(clients[0], "WRITE a b", NULL);
    harness_run_loop(base, 1500);
    world_promotions_late(world, 0);
    ck_assert_int_lt(write_until_served(clients[0], 10000), 5000);
    int primary = world_primary(world);
    harness_run_loop(base, 4500);
    ck_assert_int_eq(world_primary(world), primary);
    for (int i = 0; i < RELAYS; i++) {
        client_close(clients[i]);
    }
}
END_TEST

START_TEST(test_a_planned_stop_cuts_nothing)
{
    client_t *idle = must_open(0, "own", "key-1");
    client_t *busy = must_open(0, "own", "key-1");
    client_t *open = must_open(0, "own", "key-1");

    must_run(open, "BEGIN", NULL);
    must_run(open, "WRITE a b", NULL);
    relay_signal(&relays[0], SIGTERM);
    harness_run_loop(base, 300);
    ck_assert(!relay_is_ready(&relays[0], base));
    /* Open sessions and new ones are still served. */
    for (int i = 0; i < 20; i++) {
        must_run(busy, "READ a", NULL);
    }
    client_t *late = must_open(0, "own", "key-1");
    must_run(late, "READ a", NULL);
    must_run(open, "COMMIT", NULL);
    ck_assert_int_eq(relay_wait_exit(&relays[0], base, 6000), 0);
    ck_assert(client_is_closed(idle));
    client_close(idle);
    client_close(busy);
    client_close(open);
    client_close(late);
    relay_restart(&relays[0], world);
    ck_assert(relay_wait_ready(&relays[0], base, READY_MAX_MS));
}
END_TEST

START_TEST(test_a_restart_without_the_store_serves_later)
{
    relay_kill(&relays[1]);
    world_store_fails(world, 1, true);
    relay_restart(&relays[1], world);
    harness_run_loop(base, 1500);
    ck_assert(!relay_is_ready(&relays[1], base));
    world_store_fails(world, 1, false);
    ck_assert(relay_wait_ready(&relays[1], base, READY_MAX_MS));
    client_t *client = must_open(1, "own", "key-1");
    must_run(client, "READ a", NULL);
    client_close(client);
}
END_TEST

/* Guards against an instance that asks the others one after the other when
 * several do not answer, and admits its equal part only meanwhile. */
START_TEST(test_a_coordinator_is_found_although_several_are_silent)
{
    char chosen[WORLD_TEXT_BYTES];
    int last = 0;

    for (int i = 1; i < RELAYS; i++) {
        if (mr_rendezvous_score("coordinator", relays[i].name)
            < mr_rendezvous_score("coordinator", relays[last].name)) {
            last = i;
        }
    }
    snprintf(chosen, sizeof(chosen), "name=%s ", relays[last].name);
    for (int i = 0; i < RELAYS; i++) {
        if (i != last) {
            relay_signal(&relays[i], SIGSTOP);
        }
    }
    /* Two reports without an answer, 350 ms each, and the log's 100 ms. */
    mr_ms_t end = mr_clock_now(NULL) + 1200;
    while (!relay_logged(&relays[last], "event=coordinator_chosen", chosen)) {
        ck_assert(mr_clock_now(NULL) < end);
        harness_run_loop(base, 20);
    }
    for (int i = 0; i < RELAYS; i++) {
        relay_signal(&relays[i], SIGCONT);
    }
}
END_TEST

/* Guards against reads that all wait for the primary after a restart, while
 * replicas could serve them as soon as one position is known. */
START_TEST(test_reads_after_a_restart_do_not_crowd_the_primary)
{
    enum { READERS = 20 };
    client_t *readers[READERS];
    char ids[READERS][WORLD_TEXT_BYTES];
    int at_replicas = 0;

    for (int i = 0; i < RELAYS; i++) {
        relay_kill(&relays[i]);
    }
    for (int i = 0; i < RELAYS; i++) {
        relay_restart(&relays[i], world);
    }
    ck_assert(relay_wait_ready(&relays[0], base, READY_MAX_MS));
    world_db_slow_open(world, world_primary(world), 60);
    for (int i = 0; i < READERS; i++) {
        readers[i] = must_open(0, "own", "key-1");
    }
    for (int i = 0; i < READERS; i++) {
        snprintf(ids[i], sizeof(ids[i]), "%s",
                 client_start(readers[i], "READ a"));
    }
    mr_ms_t end = mr_clock_now(NULL) + 2000;
    for (int i = 0; i < READERS; i++) {
        client_answer_t answer;
        while (!client_poll(readers[i], &answer)) {
            ck_assert(mr_clock_now(NULL) < end);
            harness_run_loop(base, 2);
        }
        ck_assert_msg(answer.complete, "%s", answer.text);
        at_replicas += world_find(world, ids[i])->db != world_primary(world);
        client_close(readers[i]);
    }
    ck_assert_int_ge(at_replicas, READERS * 3 / 4);
}
END_TEST

/* Guards against polling by every instance while the system starts. */
START_TEST(test_the_first_rows_are_waited_for_in_few_calls)
{
    relay_process_t relay;
    world_t *empty = world_create(base);

    for (int i = 0; i < WORLD_DBS; i++) {
        world_db_silent(empty, i, true);
    }
    relay_start(&relay, empty, RELAYS);
    harness_run_loop(base, 3000);
    /* Secret and instances twice; desired state twice, as an empty store has
     * no version; registrations; then one call for each of these waits. */
    ck_assert_int_le(world_store_reads(empty), 9);
    for (int i = 0; i < WORLD_DBS; i++) {
        world_db_silent(empty, i, false);
    }
    world_config(empty, 5, keys, RATE);
    ck_assert(relay_wait_ready(&relay, base, 2000));
    relay_kill(&relay);
    world_destroy(empty);
}
END_TEST

START_TEST(test_bad_input_gets_an_error_and_changes_nothing)
{
    client_t *client = must_open(0, "own", "key-1");
    int64_t end = world_log_end(world);
    client_answer_t answer = client_run(client, "DROP everything", NULL);

    ck_assert_msg(answer_is(&answer, "MALFORMED"), "%s", answer.text);
    answer = client_run(client, "AFTER 1.1 READ a", NULL);
    ck_assert_msg(answer_is(&answer, "MALFORMED"), "%s", answer.text);
    answer = client_run(client, "COMMIT", NULL);
    ck_assert_msg(answer_is(&answer, "MALFORMED"), "%s", answer.text);
    answer = client_run(client, "EXECUTE nothing item", NULL);
    ck_assert_msg(answer_is(&answer, "NOSTMT"), "%s", answer.text);
    must_run(client, "READ a", NULL);
    ck_assert_int_eq(world_log_end(world), end);
    client_close(client);
}
END_TEST

START_TEST(test_a_failed_request_can_be_found_in_the_log)
{
    client_t *client = must_open(0, "own", "key-1");
    char id[WORLD_TEXT_BYTES];
    char pair[ANSWER_BYTES];

    world_lose_answers(world, 1);
    client_run(client, "WRITE a b", id);
    harness_run_loop(base, 400);
    snprintf(pair, sizeof(pair), "id=%s ", id);
    ck_assert(relay_logged(&relays[0], "event=request_ended", pair));
    ck_assert(relay_logged(&relays[0], pair, "error=outcome_unknown"));
    client_close(client);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_answers_are_the_databases_own,
        test_a_session_reads_its_own_writes,
        test_primary_routes_read_every_commit,
        test_aged_reads_use_replicas_within_their_bound,
        test_values_and_names_follow_the_session,
        test_transactions_keep_to_themselves,
        test_withdrawn_keys_and_routes_stop,
        test_limits_hold_over_all_instances,
        test_a_dead_primary_is_replaced,
        test_with_synchronous_copies_the_complete_replica_is_promoted,
        test_a_silent_primary_is_replaced_while_the_store_is_out,
        test_a_leaving_primary_loses_nothing,
        test_a_refused_connection_is_tried_again,
        test_a_busy_database_is_not_asked_on_new_connections,
        test_nothing_is_opened_to_a_busy_database_for_a_while,
        test_a_busy_transaction_whose_connection_ends_is_aborted,
        test_a_write_without_an_answer_is_in_doubt,
        test_a_transaction_without_its_connection_is_aborted,
        test_a_resting_transaction_gives_its_connection_back,
        test_a_late_promotion_does_not_undo_a_later_one,
        test_a_planned_stop_cuts_nothing,
        test_a_restart_without_the_store_serves_later,
        test_a_coordinator_is_found_although_several_are_silent,
        test_reads_after_a_restart_do_not_crowd_the_primary,
        test_the_first_rows_are_waited_for_in_few_calls,
        test_bad_input_gets_an_error_and_changes_nothing,
        test_a_failed_request_can_be_found_in_the_log,
    };

    return RUN_TESTS(tests, .suite = "sessions", .setup = set_up,
                     .teardown = tear_down, HARNESS_RUNNER_OPTIONS);
}
