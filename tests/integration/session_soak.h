#ifndef MR_TESTS_SESSION_SOAK_H
#define MR_TESTS_SESSION_SOAK_H

/*
 * Soak test of the session daemons: random client operations, random faults
 * injected from outside the daemons, and checks of the guarantees on what
 * clients and databases recorded.
 */

#include <glib.h>

#include "harness.h"
#include "session_client.h"
#include "world.h"

enum {
    SOAK_RELAYS = 4,
    SOAK_CLIENTS = 24,
    SOAK_FAULTS = 3, /* most faults at the same time */
    SOAK_STATEMENTS_MAX = 8,
    SOAK_RATE = 80, /* operations per second of each account, and its burst */
};

/** One statement of a client. */
typedef struct soak_statement {
    char id[BACKEND_TEXT_BYTES];
    char text[BACKEND_TEXT_BYTES];
    bool forwarded; /* a database answers it, rather than the relay */
    bool complete;
} soak_statement_t;

typedef enum soak_outcome {
    SOAK_PENDING,     /* not ended yet */
    SOAK_SUCCEEDED,   /* all statements succeeded; writes are committed */
    SOAK_REFUSED,     /* with an error that guarantees no effect */
    SOAK_ROLLED_BACK, /* rolled back by the client */
    SOAK_UNKNOWN,     /* any other error, or the connection ended */
} soak_outcome_t;

/** One operation: a single statement or a transaction. */
typedef struct soak_op {
    int account;
    int route;
    uint64_t session;
    char values[BACKEND_TEXT_BYTES]; /* of the session */
    soak_statement_t statements[SOAK_STATEMENTS_MAX];
    int count;
    int sent; /* statements sent so far */
    bool transaction;
    bool commit_sent;
    mr_ms_t sent_at; /* of the first statement */
    mr_ms_t ended_at;
    /* Time from sending the last statement to the end of the connection, if it
     * ended while only planned work was going on; -1 otherwise. */
    mr_ms_t cut_after;
    soak_outcome_t outcome;
} soak_op_t;

typedef struct soak_client {
    client_t *conn; /* NULL: closed */
    int account;
    int route;
    int relay;
    uint64_t session;
    bool opening;
    int setup_answered; /* answered statements of the session set-up */
    mr_ms_t next_step_at;
    mr_ms_t sent_at;
    soak_op_t *op; /* in progress */
} soak_client_t;

/** A fault that is in force. */
typedef struct soak_fault {
    const struct soak_fault_type *type; /* NULL: none */
    mr_ms_t until;
    int relay;
    int db;
    char link[BACKEND_TEXT_BYTES];
} soak_fault_t;

typedef struct soak {
    struct event_base *base;
    backend_t *backend;
    GRand *random;
    harness_process_t proxy;
    relay_process_t relays[SOAK_RELAYS];
    mr_ms_t restart_at[SOAK_RELAYS]; /* of a stopped process; 0: none is due */
    bool stopping[SOAK_RELAYS];      /* has received SIGTERM */
    soak_client_t clients[SOAK_CLIENTS];
    soak_fault_t faults[SOAK_FAULTS];
    GPtrArray *ops; /* soak_op_t */
    uint64_t last_session;
    int64_t config_version;
    int extra_routes;  /* of the desired state */
    bool planned_only; /* only stops, reloads and configuration changes */
    bool quiescing;    /* no new operations or faults */
} soak_t;

extern const char *const soak_accounts[];
extern const char *const soak_keys[];
extern const char *const soak_databases[];
/** Greatest staleness that each route accepts, ms. */
extern const mr_ms_t soak_max_ages[];

/** soak_random() - random number from 0 to @limit - 1. */
int soak_random(soak_t *soak, int limit);

/* session_soak_client.c */
/** soak_update_clients() - handle answers, and start sessions and operations
 * that are due. */
void soak_update_clients(soak_t *soak);
void soak_close_clients(soak_t *soak);

/* session_soak_fault.c */
/** soak_update_faults() - begin and end faults, and restart processes that
 * were killed or stopped. */
void soak_update_faults(soak_t *soak, mr_ms_t now);
void soak_end_faults(soak_t *soak);

/* session_soak_check.c */
/** soak_check() - fail the test on the first violated guarantee. */
void soak_check(soak_t *soak);

#endif
