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
    BACKEND_DBS = 3,
    BACKEND_STORES = 4, /* addresses of the same store, one for each daemon */
    BACKEND_TEXT_BYTES = 64,
};

typedef struct backend backend_t;

/** One statement that a database ran for a client. */
typedef struct backend_run {
    char id[BACKEND_TEXT_BYTES];
    char text[BACKEND_TEXT_BYTES];
    char account[BACKEND_TEXT_BYTES];
    char values[BACKEND_TEXT_BYTES]; /* session values, in the order set */
    int db;
    int64_t term;
    int64_t number; /* of the log that it ran on; of a write: its own */
    bool committed; /* a write whose transaction was committed */
    mr_ms_t at;
} backend_run_t;

backend_t *backend_create(struct event_base *base);
void backend_destroy(backend_t *backend);

/** backend_put_config() - put the desired state; keys: "account:key" pairs. */
void backend_put_config(backend_t *backend, int64_t version,
                        const char *const *keys, int64_t rate);
/** backend_set_sync_replicas() - copies that a commit needs, in the next
 * desired states. */
void backend_set_sync_replicas(backend_t *backend, int copies);
/** backend_set_max_conns() - to one database, in the next desired states. */
void backend_set_max_conns(backend_t *backend, int connections);
/** backend_count_suspended() - replicas that were told not to receive. */
int backend_count_suspended(const backend_t *backend);
/** backend_drop_route() - leave the route out of the next desired states. */
void backend_drop_route(backend_t *backend, const char *database);

int backend_db_port(const backend_t *backend, int db);
const char *backend_store_address(const backend_t *backend, int index);
const char *backend_promotion_address(const backend_t *backend);

/* Faults. */
void backend_set_store_failing(backend_t *backend, int index, bool fails);
void backend_db_kill(backend_t *backend, int db);
/** backend_db_start() - with its log, or empty under its old name. */
void backend_db_start(backend_t *backend, int db, bool empty);
void backend_db_set_unresponsive(backend_t *backend, int db, bool silent);
void backend_db_drain(backend_t *backend, int db);
/** backend_db_refuse_conns() - it refuses the next @count connections. */
void backend_db_refuse_conns(backend_t *backend, int db, int count);
/** backend_db_set_open_delay() - each new connection is answered after @ms,
 * one after the other. */
void backend_db_set_open_delay(backend_t *backend, int db, mr_ms_t ms);
/** backend_set_answer_delay() - answers of all databases take @ms. */
void backend_set_answer_delay(backend_t *backend, mr_ms_t ms);
/** backend_db_refuses_conns() - whether it will refuse another one. */
bool backend_db_refuses_conns(const backend_t *backend, int db);
/** backend_db_set_busy() - it has no slot for the next @count statements. */
void backend_db_set_busy(backend_t *backend, int db, int count);
void backend_db_set_lag(backend_t *backend, int db, mr_ms_t lag);
/** backend_db_stop_receiving() - it receives nothing more, until a promotion.
 */
void backend_db_stop_receiving(backend_t *backend, int db);
/** backend_drop_answers() - one in @nth statements runs and is not answered;
 * 0: none. */
void backend_drop_answers(backend_t *backend, int nth);
/** backend_set_promotion_delay() - calls get no answer and run after @ms. */
void backend_set_promotion_delay(backend_t *backend, mr_ms_t ms);

/* Observations. */
int backend_primary(const backend_t *backend);
int backend_count_promotions(const backend_t *backend);
/** backend_db_count_conns() - connections to @db so far. */
int backend_db_count_conns(const backend_t *backend, int db);
int64_t backend_log_length(const backend_t *backend);
/** backend_count_store_reads() - reading calls to the store so far. */
int backend_count_store_reads(const backend_t *backend);
/** backend_find_run() - the last run of @id; NULL: it did not run. */
const backend_run_t *backend_find_run(const backend_t *backend,
                                      const char *id);
int backend_count_runs(const backend_t *backend, const char *id);
/** backend_count_in_log() - whether the present primary's log holds a write of
 * @id. */
int backend_count_in_log(const backend_t *backend, const char *id);
/** backend_violation() - the first violation of the protocol; NULL: none. */
const char *backend_violation(const backend_t *backend);

#endif
