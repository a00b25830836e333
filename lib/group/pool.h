#ifndef MR_GROUP_POOL_H
#define MR_GROUP_POOL_H

/*
 * Pool of connections to one target, with a fair queue for the target's slots.
 * A slot is held while a statement runs. Between its statements, a transaction
 * keeps its connection pinned but holds no slot.
 */

#include "common/counters.h"
#include "group/target.h"

typedef struct mr_pool mr_pool_t;

/** A wait for a slot and a connection. */
typedef struct mr_pool_wait mr_pool_wait_t;

typedef struct mr_pool_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *target;
    const char *address;
    int64_t slots;
    int64_t connections; /* maximum that this pool may open */
} mr_pool_options_t;

/**
 * mr_pool_ready_fn_t - called when a wait has ended
 * @error: MR_OK when @conn is set and a slot is held;
 *         MR_ERR_DEADLINE_EXCEEDED;
 *         MR_ERR_OVERLOADED when the account's queue is full;
 *         MR_ERR_UNAVAILABLE when the pool was closed or no connection could
 *         be opened
 */
typedef void (*mr_pool_ready_fn_t)(void *ctx, mr_error_kind_t error,
                                   mr_target_conn_t *conn);

mr_pool_t *mr_pool_create(const mr_pool_options_t *options);

/** mr_pool_destroy() - end all waits with MR_ERR_UNAVAILABLE and close idle
 * connections; no connection may be in use. */
void mr_pool_destroy(mr_pool_t *pool);

/** mr_pool_resize() - set new limits. Slots and connections in use above them
 * are not revoked. */
void mr_pool_resize(mr_pool_t *pool, int64_t slots, int64_t connections);

/**
 * mr_pool_acquire() - wait for a slot and a connection
 * @account: account in whose queue the wait is placed
 * @weight: share relative to other accounts, at least 1
 * @pinned: the connection of a transaction; NULL for any connection
 * @deadline: point in time when the wait ends
 *
 * Return: the wait. It ends with exactly one callback, never from within this
 * function, or with mr_pool_cancel().
 */
mr_pool_wait_t *mr_pool_acquire(mr_pool_t *pool, const char *account,
                                int64_t weight, mr_target_conn_t *pinned,
                                mr_ms_t deadline, mr_pool_ready_fn_t fn,
                                void *ctx);
void mr_pool_cancel(mr_pool_wait_t *wait);

/** What happens to a connection when its slot is released. */
typedef enum mr_pool_disposition {
    MR_POOL_REUSE, /* becomes idle, or is closed if it is not usable */
    MR_POOL_PIN,   /* stays pinned to its transaction */
    MR_POOL_CLOSE, /* is closed, because its state is unknown */
} mr_pool_disposition_t;

/** mr_pool_release() - release the slot acquired with @conn. */
void mr_pool_release(mr_pool_t *pool, mr_target_conn_t *conn,
                     mr_pool_disposition_t disposition);

/** mr_pool_unpin() - return a pinned connection that holds no slot. */
void mr_pool_unpin(mr_pool_t *pool, mr_target_conn_t *conn, bool reuse);

/** mr_pool_running() - number of slots held plus pending waits. */
size_t mr_pool_running(const mr_pool_t *pool);

#endif
