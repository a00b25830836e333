#ifndef MR_TESTS_WORLD_H
#define MR_TESTS_WORLD_H

/*
 * Stand-in of what surrounds the session daemons, inside the test's own
 * process: the platform's store, its promotion calls and the databases of one
 * service, with replication that lags, and with faults. It records what each
 * database ran, so that a test can compare it with what clients were told.
 */

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

enum {
    WORLD_DBS = 3,
    WORLD_STORES = 4, /* addresses of the same store, one for each daemon */
    WORLD_TEXT_BYTES = 64,
};

typedef struct world world_t;

/** One statement that a database ran for a client. */
typedef struct world_run {
    char id[WORLD_TEXT_BYTES];
    char text[WORLD_TEXT_BYTES];
    char account[WORLD_TEXT_BYTES];
    char values[WORLD_TEXT_BYTES]; /* session values, in the order set */
    int db;
    int64_t term;
    int64_t number; /* of the log that it ran on; of a write: its own */
    bool committed; /* a write whose transaction was committed */
    mr_ms_t at;
} world_run_t;

world_t *world_create(struct event_base *base);
void world_destroy(world_t *world);

/** world_config() - put the desired state; keys: "account:key" pairs. */
void world_config(world_t *world, int64_t version, const char *const *keys,
                  int64_t rate);
/** world_sync() - copies that a commit needs, in the next desired states. */
void world_sync(world_t *world, int copies);
/** world_connections() - to one database, in the next desired states. */
void world_connections(world_t *world, int connections);
/** world_suspended() - replicas that were told not to receive. */
int world_suspended(const world_t *world);
/** world_drop_route() - leave the route out of the next desired states. */
void world_drop_route(world_t *world, const char *database);

int world_db_port(const world_t *world, int db);
const char *world_store(const world_t *world, int index);
const char *world_duty(const world_t *world);

/* Faults. */
void world_store_fails(world_t *world, int index, bool fails);
void world_db_kill(world_t *world, int db);
/** world_db_start() - with its log, or empty under its old name. */
void world_db_start(world_t *world, int db, bool empty);
void world_db_silent(world_t *world, int db, bool silent);
void world_db_drains(world_t *world, int db);
/** world_db_full() - it refuses the next @count connections. */
void world_db_full(world_t *world, int db, int count);
/** world_db_slow_open() - each new connection is answered after @ms, one
 * after the other. */
void world_db_slow_open(world_t *world, int db, mr_ms_t ms);
/** world_work() - answers of all databases take @ms. */
void world_work(world_t *world, mr_ms_t ms);
/** world_db_refuses() - whether it will refuse another one. */
bool world_db_refuses(const world_t *world, int db);
/** world_db_busy() - it has no slot for the next @count statements. */
void world_db_busy(world_t *world, int db, int count);
void world_lag(world_t *world, int db, mr_ms_t lag);
/** world_db_deaf() - it receives nothing more, until a promotion. */
void world_db_deaf(world_t *world, int db);
/** world_lose_answers() - one in @nth statements runs and is not answered; 0:
 * none. */
void world_lose_answers(world_t *world, int nth);
/** world_promotions_late() - calls get no answer and run after @ms. */
void world_promotions_late(world_t *world, mr_ms_t ms);

/* Observations. */
int world_primary(const world_t *world);
int world_promotions(const world_t *world);
/** world_opened() - connections to @db so far. */
int world_opened(const world_t *world, int db);
int64_t world_log_end(const world_t *world);
/** world_store_reads() - reading calls to the store so far. */
int world_store_reads(const world_t *world);
/** world_find() - the last run of @id; NULL: it did not run. */
const world_run_t *world_find(const world_t *world, const char *id);
int world_count(const world_t *world, const char *id);
/** world_holds() - whether the present primary's log holds a write of @id. */
int world_holds(const world_t *world, const char *id);
/** world_problem() - the first violation of the protocol; NULL: none. */
const char *world_problem(const world_t *world);

#endif
