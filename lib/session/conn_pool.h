#ifndef MR_SESSION_CONN_POOL_H
#define MR_SESSION_CONN_POOL_H

/*
 * Pool of the connections to one database: idle connections, connections being
 * opened, and the statements that wait for one. A new connection goes to the
 * first waiter of its client account, or becomes idle. Few connections are
 * opened at a time, as opening one occupies a slot of the database.
 */

#include "session/db_conn.h"

/** A statement that waits for a connection. */
typedef struct mr_conn_waiter mr_conn_waiter_t;

/**
 * mr_conn_waiter_fn_t - the wait has ended
 * @conn: the connection; NULL with @error if it could not be opened
 */
typedef void (*mr_conn_waiter_fn_t)(void *ctx, mr_db_conn_t *conn,
                                    mr_error_kind_t error);

/** mr_conn_pool_take() - take an idle connection of @account, preferably one
 * that holds the values of @session; NULL: none. */
mr_db_conn_t *mr_conn_pool_take(mr_db_t *db, const char *account,
                                uint64_t session);

/** mr_conn_pool_wait() - wait for a connection of @account. The callback is
 * not called before this returns. */
mr_conn_waiter_t *mr_conn_pool_wait(struct event_base *base, mr_db_t *db,
                                    const char *account,
                                    mr_conn_waiter_fn_t fn, void *ctx);
void mr_conn_pool_cancel(mr_conn_waiter_t *waiter);

/** mr_conn_pool_give() - return an unused connection, which goes to a waiter,
 * becomes idle or is closed. */
void mr_conn_pool_give(mr_db_conn_t *conn);

/** mr_conn_pool_pause() - @db is out of capacity: open no connection for a
 * while, longer each time until mr_conn_pool_reset_pause(). Connections for
 * the waiters are opened after the pause. */
void mr_conn_pool_pause(mr_db_t *db, struct event_base *base);
/** mr_conn_pool_reset_pause() - @db ran a statement: the next pause is the
 * shortest one again. */
void mr_conn_pool_reset_pause(mr_db_t *db);

/** mr_conn_pool_has() - whether a connection of @account is idle. */
bool mr_conn_pool_has(const mr_db_t *db, const char *account);

/** mr_conn_pool_clear() - close the idle connections and fail the waiters. */
void mr_conn_pool_clear(mr_db_t *db);

#endif
