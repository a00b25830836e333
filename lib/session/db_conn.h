#ifndef MR_SESSION_DB_CONN_H
#define MR_SESSION_DB_CONN_H

/*
 * Connections to databases. A connection belongs to one database and one
 * client account and holds the session values of one client session at a time.
 * It can be kept for reuse while no transaction is open on it.
 */

#include <event2/buffer.h>
#include <event2/event.h>

#include "session/cluster.h"
#include "session/line.h"

typedef struct mr_db_conn mr_db_conn_t;
struct mr_remote_conn;

/** Reply to one statement. */
typedef struct mr_reply {
    mr_error_kind_t error; /* MR_OK: success */
    bool lost;             /* the connection ended before the reply */
    const char *detail;    /* text of a failure */
    mr_tx_state_t state;
    mr_position_t position;
    struct evbuffer *body; /* rows and COMPLETE message, as received */
    mr_ms_t sent_at;
} mr_reply_t;

/** mr_db_conn_fn_t - a statement, or the opening of a connection, has ended.
 * The callback may close the connection. */
typedef void (*mr_db_conn_fn_t)(void *ctx, mr_db_conn_t *conn,
                                const mr_reply_t *reply);

/** mr_db_conn_open() - connect to @db for @account; @fn gets the reply. NULL
 * if the address is malformed or no socket can be created or connected. */
mr_db_conn_t *mr_db_conn_open(struct event_base *base, mr_db_t *db,
                              const char *account, mr_db_conn_fn_t fn,
                              void *ctx);

/** mr_db_conn_close() - pending callbacks are not called. */
void mr_db_conn_close(mr_db_conn_t *conn);

/** mr_db_conn_query() - send a statement. Statements may be pipelined. */
void mr_db_conn_query(mr_db_conn_t *conn, const char *id,
                      const mr_position_t *after, const char *statement,
                      mr_db_conn_fn_t fn, void *ctx);

/**
 * mr_db_conn_set_terms() - set what holds for the statements sent from now on
 * @deadline: after it they need not run
 * @commits: their success means that a write is committed
 *
 * The owner of a remote connection checks both before it sends a statement. A
 * statement that it has not sent ends with MR_ERR_UNAVAILABLE, without @lost.
 */
void mr_db_conn_set_terms(mr_db_conn_t *conn, mr_ms_t deadline, bool commits);

/** mr_db_conn_is_remote() - whether another instance holds the connection. */
bool mr_db_conn_is_remote(const mr_db_conn_t *conn);

/** mr_db_conn_drop_replies() - read and discard the pending replies. */
void mr_db_conn_drop_replies(mr_db_conn_t *conn);

/** mr_db_conn_on_lost() - call @fn if the connection is lost, after the
 * callbacks of pending statements; NULL removes the callback. */
void mr_db_conn_on_lost(mr_db_conn_t *conn, void (*fn)(void *ctx), void *ctx);

mr_db_t *mr_db_conn_db(const mr_db_conn_t *conn);

/** Session whose values a connection holds, and their version; session 0:
 * none. */
typedef struct mr_db_conn_state {
    uint64_t session;
    uint64_t version;
} mr_db_conn_state_t;
mr_db_conn_state_t *mr_db_conn_state(mr_db_conn_t *conn);

const char *mr_db_conn_account(const mr_db_conn_t *conn);

/* Remote connections; used by remote_conn.c and the pool. */

mr_db_conn_t *mr_db_conn_create_remote(mr_db_t *db, const char *account,
                                       struct mr_remote_conn *remote);
/** mr_db_conn_enter() - callbacks of statements follow. The connection is not
 * freed before mr_db_conn_leave(). */
void mr_db_conn_enter(mr_db_conn_t *conn);
void mr_db_conn_leave(mr_db_conn_t *conn);
/** mr_db_conn_end_lost() - as mr_db_conn_leave(), of a lost connection, which
 * is freed. */
void mr_db_conn_end_lost(mr_db_conn_t *conn);
/** mr_db_conn_release_remote() - end the use of a remote connection, which its
 * owner may lend again. */
void mr_db_conn_release_remote(mr_db_conn_t *conn);

/* Idle connections; used by the pool, see conn_pool.h. */

/** mr_db_conn_set_idle() - keep an unused connection for reuse. */
void mr_db_conn_set_idle(mr_db_conn_t *conn);
mr_db_conn_t *mr_db_conn_take_idle(mr_db_t *db, const char *account,
                                   uint64_t session);
bool mr_db_conn_has_idle(const mr_db_t *db, const char *account);
/** mr_db_conn_oldest_idle() - the connection that has been idle longest. */
mr_db_conn_t *mr_db_conn_oldest_idle(mr_db_t *db);

#endif
