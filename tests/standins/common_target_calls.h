#ifndef MR_TESTS_COMMON_TARGET_CALLS_H
#define MR_TESTS_COMMON_TARGET_CALLS_H

/* State of the target stand-in and the handlers of its protocol. */

#include <event2/event.h>
#include <event2/http.h>

#include "common_target_replication.h"

typedef struct target_options {
    char *listen;
    char *name;
    char *peers;
    char *state_file;
    char *record;
    gboolean primary;
    gint slots;
    gint connections;
    gint lag_ms;
    gint statement_ms;
    gint connect_ms;
} target_options_t;

typedef struct target_connection {
    int64_t number;
    bool is_counted;
    bool answered;
    char *transaction; /* open transaction, or NULL */
    bool is_write;
    int64_t term;
    json_t *buffered; /* statements of the transaction */
} target_connection_t;

/** A request, from its arrival to its answer. */
typedef struct target_job {
    struct evhttp_request *req;
    target_connection_t *connection;
    const char *path;
    json_t *body;
    const char *access;
    int64_t term;
    json_t *statement;
    const char *transaction;
    int64_t max_ms;
    bool expires;
    int status;
    json_t *reply;
    const char *did; /* action taken, for the record */
} target_job_t;

typedef struct target_server {
    struct event_base *base;
    target_log_t log;
    target_replication_t replication;
    FILE *record;
    GHashTable *connections; /* evhttp_connection -> target_connection_t */
    int64_t connections_total;
    int64_t transactions_total;
    int counted_connections; /* limited by --connections */
    int running_statements;  /* limited by --slots */
    int64_t delay_ms;
    bool stall;
    GQueue held; /* target_job_t, received while stalled */
} target_server_t;

extern target_options_t target_options;
extern target_server_t target_server;

/** target_find_connection() - state of @http, created at its first request. */
target_connection_t *target_find_connection(struct evhttp_connection *http);

/** target_record() - append the request and the action taken to the record. */
void target_record(const target_job_t *job);

/** target_answer() - answer and free a job; adds the log state to @reply and
 * takes ownership of it.
 * @did: action taken, for the record */
void target_answer(target_job_t *job, int status, json_t *reply,
                   const char *did);

/** target_become_primary() - start @term with an opening log entry. */
void target_become_primary(int64_t term);

/** target_run_in_slot() - handle EXECUTE or COMMIT: hold a slot for the
 * duration of the statement and apply it at the end. */
void target_run_in_slot(target_job_t *job);

void target_begin(target_job_t *job);
void target_roll_back(target_job_t *job);
void target_grant(target_job_t *job);
void target_promote(target_job_t *job);
void target_replicate(target_job_t *job);
void target_status(target_job_t *job);
void target_send_log(target_job_t *job);

#endif
