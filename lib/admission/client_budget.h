#ifndef MR_ADMISSION_CLIENT_BUDGET_H
#define MR_ADMISSION_CLIENT_BUDGET_H

/*
 * Which client is disconnected when connections are scarce, and whether a
 * large statement may run. Without sockets and timers; the caller passes the
 * time.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

enum {
    /* Time that a new connection has for its first message, and an open
     * session for the rest of a message or for reading an answer, before it
     * may be disconnected in favour of another client. */
    MR_CLIENT_OPEN_MIN_MS = 500,
    MR_CLIENT_STALL_MIN_MS = 1000,
    /* Statements up to this size are not counted. */
    MR_CLIENT_COUNTED_BYTES = 4096,
};

/** Clients in the order in which they are disconnected; none that is busy. */
typedef enum mr_client_state {
    MR_CLIENT_BUSY,
    MR_CLIENT_IDLE,
    MR_CLIENT_SLOW_READER, /* leaves answers unread */
    MR_CLIENT_SLOW_SENDER, /* does not complete a message */
    MR_CLIENT_UNOPENED,    /* has not opened a session */
    MR_CLIENT_STATES,
} mr_client_state_t;

/** What one client holds and does. */
typedef struct mr_client_use {
    bool opened;            /* has a session */
    bool running;           /* a statement is executed */
    bool in_transaction;    /* holds a connection to a database */
    size_t input;           /* bytes of an incomplete message */
    size_t output;          /* bytes of answers that it has not read */
    size_t held;            /* bytes of its session, with the buffers */
    size_t account_clients; /* sessions of its client account */
    mr_ms_t active_at;      /* of its last complete message or answer, or of
                               its connection */
} mr_client_use_t;

/** mr_client_budget_state() - state at @now. */
mr_client_state_t mr_client_budget_state(const mr_client_use_t *use,
                                         mr_ms_t now);

/** mr_client_budget_state_name() - for logs and metrics. */
const char *mr_client_budget_state_name(mr_client_state_t state);

/** mr_client_budget_compare() - negative if @a is disconnected before @b,
 * positive if after it: by state, then the account with more clients, then
 * the client that holds more (both in powers of two), then the one that has
 * been inactive for longer. */
int mr_client_budget_compare(const mr_client_use_t *a,
                             const mr_client_use_t *b, mr_ms_t now);

/** mr_client_budget_batch() - number of clients to disconnect at once if the
 * first one has @state and there are @clients in all. */
size_t mr_client_budget_batch(mr_client_state_t state, size_t clients);

/** Statements that are executed; bytes of their texts and of the values of
 * their sessions, which may have to be sent with them. */
typedef struct mr_client_load {
    int64_t memory_limit; /* of the process, bytes; 0: not known */
    size_t bytes;         /* of all accounts */
    size_t account_bytes; /* of the statement's account */
    bool in_transaction;
} mr_client_load_t;

/**
 * mr_client_budget_admits() - whether a statement of @bytes may run beside
 * @load
 *
 * All statements together may have a tenth of the memory limit, those of one
 * account half of that. Transactions that are open may use half as much in
 * addition. A statement that is the only counted one is always admitted.
 */
bool mr_client_budget_admits(const mr_client_load_t *load, size_t bytes);

#endif
