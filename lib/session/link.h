#ifndef MR_SESSION_LINK_H
#define MR_SESSION_LINK_H

/*
 * Connections to databases. A connection belongs to one database and one
 * client account, carries the session values of one client at a time, and is
 * kept for later use while nothing is open on it.
 */

#include <event2/buffer.h>
#include <event2/event.h>

#include "session/cluster.h"
#include "session/line.h"

typedef struct mr_link mr_link_t;

/** Answer to one statement. */
typedef struct mr_reply {
    mr_error_kind_t error; /* MR_OK: success */
    bool lost;             /* the connection ended without an answer */
    const char *detail;    /* text of a failure */
    mr_tx_state_t state;
    mr_position_t position;
    struct evbuffer *body; /* rows and success message, as received */
    mr_ms_t sent_at;
} mr_reply_t;

/** mr_link_fn_t - a statement, or the opening of a connection, ended; the
 * callback may close the connection. */
typedef void (*mr_link_fn_t)(void *ctx, mr_link_t *link,
                             const mr_reply_t *reply);

/** mr_link_open() - connect to @db for @account; @fn gets the answer. NULL
 * when no socket can be had. */
mr_link_t *mr_link_open(struct event_base *base, mr_db_t *db,
                        const char *account, mr_link_fn_t fn, void *ctx);

/** mr_link_close() - callbacks that are due are not called. */
void mr_link_close(mr_link_t *link);

/** mr_link_query() - send a statement; several may be under way. */
void mr_link_query(mr_link_t *link, const char *id, const mr_position_t *after,
                   const char *statement, mr_link_fn_t fn, void *ctx);

/** mr_link_forget() - answers still due are read and dropped. */
void mr_link_forget(mr_link_t *link);

/** mr_link_on_lost() - call @fn when the connection ends by itself; NULL: no
 * longer. Statements that are due end first. */
void mr_link_on_lost(mr_link_t *link, void (*fn)(void *ctx), void *ctx);

mr_db_t *mr_link_db(const mr_link_t *link);

/** Whose session values a connection carries; session 0: none. */
typedef struct mr_link_state {
    uint64_t session;
    uint64_t version;
} mr_link_state_t;
mr_link_state_t *mr_link_state(mr_link_t *link);

const char *mr_link_account(const mr_link_t *link);

/* Kept connections; see linkpool.h. */

/** mr_link_set_idle() - keep an unused connection. */
void mr_link_set_idle(mr_link_t *link);
mr_link_t *mr_link_take_idle(mr_db_t *db, const char *account,
                             uint64_t session);
bool mr_link_has_idle(const mr_db_t *db, const char *account);
/** mr_link_oldest_idle() - the one that was unused for longest. */
mr_link_t *mr_link_oldest_idle(mr_db_t *db);

#endif
