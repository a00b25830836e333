#ifndef MR_SESSION_LINKPOOL_H
#define MR_SESSION_LINKPOOL_H

/*
 * Connections to one database: kept ones, those being opened, and the
 * statements that wait for one. A connection that was opened serves whoever
 * waits for its client account, or is kept; few are opened at a time, since
 * opening takes time of the database's slots.
 */

#include "session/link.h"

/** A statement that waits for a connection. */
typedef struct mr_link_wait mr_link_wait_t;

/**
 * mr_link_wait_fn_t - the wait ended
 * @link: the connection; NULL with @error when it could not be opened
 */
typedef void (*mr_link_wait_fn_t)(void *ctx, mr_link_t *link,
                                  mr_error_kind_t error);

/** mr_linkpool_take() - a kept connection of @account, preferably with the
 * values of @session; NULL: none. */
mr_link_t *mr_linkpool_take(mr_db_t *db, const char *account,
                            uint64_t session);

/** mr_linkpool_wait() - wait for a connection of @account; the callback is not
 * called before this returns. */
mr_link_wait_t *mr_linkpool_wait(struct event_base *base, mr_db_t *db,
                                 const char *account, mr_link_wait_fn_t fn,
                                 void *ctx);
void mr_linkpool_cancel(mr_link_wait_t *wait);

/** mr_linkpool_give() - an unused connection, for whoever waits or to keep. */
void mr_linkpool_give(mr_link_t *link);

/** mr_linkpool_pause() - @db has no room: open nothing for a while, longer
 * each time until mr_linkpool_served(); what waits then is served. */
void mr_linkpool_pause(mr_db_t *db, struct event_base *base);
/** mr_linkpool_served() - @db ran a statement. */
void mr_linkpool_served(mr_db_t *db);

/** mr_linkpool_has() - whether a connection of @account is kept. */
bool mr_linkpool_has(const mr_db_t *db, const char *account);

/** mr_linkpool_clear() - close kept connections, fail what waits. */
void mr_linkpool_clear(mr_db_t *db);

#endif
