#ifndef MR_GROUP_POOL_H
#define MR_GROUP_POOL_H

/*
 * Connections to one target, with a fair queue in front of its slots. A slot
 * is held while a statement runs; a transaction keeps its connection between
 * statements but no slot.
 */

#include "common/counters.h"
#include "group/target.h"

typedef struct mr_pool mr_pool_t;

/** A wait for a slot. */
typedef struct mr_pool_wait mr_pool_wait_t;

typedef struct mr_pool_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *target;
    const char *address;
    int64_t slots;
    int64_t connections; /* that this pool may open */
} mr_pool_options_t;

/**
 * mr_pool_ready_fn_t - the wait has ended
 * @error: MR_OK with @conn set and a slot held; MR_ERR_DEADLINE_EXCEEDED;
 *         MR_ERR_OVERLOADED when the account's queue is full;
 *         MR_ERR_UNAVAILABLE when the pool was closed or the target refuses
 *         all connections
 */
typedef void (*mr_pool_ready_fn_t)(void *ctx, mr_error_kind_t error,
                                   mr_target_conn_t *conn);

mr_pool_t *mr_pool_create(const mr_pool_options_t *options);

/** mr_pool_destroy() - end waits with MR_ERR_UNAVAILABLE and close idle
 * connections; all connections must have been given back. */
void mr_pool_destroy(mr_pool_t *pool);

/** mr_pool_resize() - new limits; they hold for later requests. */
void mr_pool_resize(mr_pool_t *pool, int64_t slots, int64_t connections);

/**
 * mr_pool_acquire() - wait for a slot and a connection
 * @account: whose queue
 * @weight: share relative to other accounts, at least 1
 * @pinned: a transaction's own connection; NULL takes any
 * @deadline: point in time when the wait ends
 *
 * Return: the wait; it ends with exactly one callback, never before this
 * function returns, or with mr_pool_cancel().
 */
mr_pool_wait_t *mr_pool_acquire(mr_pool_t *pool, const char *account,
                                int64_t weight, mr_target_conn_t *pinned,
                                mr_ms_t deadline, mr_pool_ready_fn_t fn,
                                void *ctx);
void mr_pool_cancel(mr_pool_wait_t *wait);

/** What happens to a connection when its slot is released. */
typedef enum mr_pool_keep {
    MR_POOL_REUSE, /* idle again; closed if it is not usable */
    MR_POOL_PIN,   /* stays with its transaction */
    MR_POOL_CLOSE, /* its state is unknown */
} mr_pool_keep_t;

/** mr_pool_release() - give back the slot taken with @conn. */
void mr_pool_release(mr_pool_t *pool, mr_target_conn_t *conn,
                     mr_pool_keep_t keep);

/** mr_pool_unpin() - give back a pinned connection that holds no slot. */
void mr_pool_unpin(mr_pool_t *pool, mr_target_conn_t *conn, bool reuse);

/** mr_pool_running() - slots held and waits, for draining. */
size_t mr_pool_running(const mr_pool_t *pool);

#endif
