#ifndef MR_TESTS_COMMON_TARGET_CALLS_H
#define MR_TESTS_COMMON_TARGET_CALLS_H

/* State of the target stand-in and the calls of its protocol. */

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
    bool counted;
    bool answered;
    char *transaction; /* open transaction, or NULL */
    bool writes;
    int64_t term;
    json_t *buffered; /* statements of the transaction */
} target_connection_t;

/** One request, from its arrival to its answer. */
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
    const char *did; /* for the record */
} target_job_t;

typedef struct target_server {
    struct event_base *base;
    target_log_t log;
    target_replication_t replication;
    FILE *record;
    GHashTable *connections; /* evhttp_connection to target_connection_t */
    int64_t numbers;         /* connections so far */
    int64_t transactions;    /* begun so far */
    int counted;             /* connections against --connections */
    int running;             /* slots in use */
    int64_t delay_ms;
    bool stall;
    GQueue held; /* target_job_t, received while stalled */
} target_server_t;

extern target_options_t target_options;
extern target_server_t target_server;

/** target_find_connection() - the state of @http, new at its first request. */
target_connection_t *target_find_connection(struct evhttp_connection *http);

/** target_record() - append the request and what was done to the record. */
void target_record(const target_job_t *job);

/** target_answer() - end a job; takes over @reply, to which the state is
 * added. */
void target_answer(target_job_t *job, int status, json_t *reply,
                   const char *did);

/** target_become_primary() - open @term with an entry of its own. */
void target_become_primary(int64_t term);

/** target_run() - EXECUTE and COMMIT: take a slot; the effect comes at the end
 * of the statement. */
void target_run(target_job_t *job);

void target_begin(target_job_t *job);
void target_roll_back(target_job_t *job);
void target_grant(target_job_t *job);
void target_promote(target_job_t *job);
void target_replicate(target_job_t *job);
void target_status(target_job_t *job);
void target_dump(target_job_t *job);

#endif
