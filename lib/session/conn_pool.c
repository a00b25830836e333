#include "session/conn_pool.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"

enum {
    /* Connections that this instance opens to one database at a time. */
    OPENING_CONNS_MAX = 2,
    /* Connections beyond this instance's share of kept ones, for statements
     * that would have to wait otherwise. They are closed once unused. */
    EXTRA_CONNS_MAX = 4,
    OPEN_TIMEOUT_MS = 1000,
    /* Pause after the database refused a connection or a statement for lack of
     * capacity, or did not answer. Doubled each time, as every instance tries
     * again. */
    PAUSE_FIRST_MS = 100,
    PAUSE_MAX_MS = 800,
};

struct mr_conn_waiter {
    mr_list_t link;
    mr_db_t *db;
    struct event_base *base;
    char *account;
    bool has_opening; /* a connection has been requested for it */
    mr_conn_waiter_fn_t fn;
    void *ctx;
};

/** A connection that is being opened. */
typedef struct opening {
    mr_db_t *db;
    mr_db_conn_t *conn;
    char *account;
    struct event *timer;
} opening_t;

static void
end_waiter(mr_conn_waiter_t *waiter, mr_db_conn_t *conn, mr_error_kind_t error)
{
    mr_conn_waiter_fn_t fn = waiter->fn;
    void *ctx = waiter->ctx;

    mr_conn_pool_cancel(waiter);
    fn(ctx, conn, error);
}

void
mr_conn_pool_cancel(mr_conn_waiter_t *waiter)
{
    mr_list_remove(&waiter->link);
    free(waiter->account);
    free(waiter);
}

static mr_conn_waiter_t *
first_waiter(mr_db_t *db, const char *account)
{
    MR_LIST_FOREACH(it, &db->waiters)
    {
        mr_conn_waiter_t *waiter = MR_LIST_ENTRY(it, mr_conn_waiter_t, link);
        if (strcmp(waiter->account, account) == 0) {
            return waiter;
        }
    }
    return NULL;
}

static void
free_opening(opening_t *opening)
{
    opening->db->opening_conns--;
    opening->db->running--;
    event_free(opening->timer);
    free(opening->account);
    free(opening);
}

static void open_for_waiters(mr_db_t *db);

static void
on_pause_over(evutil_socket_t fd, short what, void *ctx)
{
    mr_db_t *db = ctx;

    (void)fd;
    (void)what;
    /* The event loop's clock may lag, so that the timer fires slightly early.
     * Without this the waiters would not be served. */
    db->open_after = 0;
    open_for_waiters(db);
}

void
mr_conn_pool_pause(mr_db_t *db, struct event_base *base)
{
    mr_ms_t pause = mr_timer_jitter(
        mr_timer_backoff(PAUSE_FIRST_MS, PAUSE_MAX_MS, db->refusals));

    if (db->removed) {
        return;
    }
    db->refusals++;
    db->open_after = mr_clock_now(NULL) + pause;
    if (db->pause_timer == NULL) {
        db->pause_timer = evtimer_new(base, on_pause_over, db);
    }
    mr_timer_start(db->pause_timer, pause);
}

void
mr_conn_pool_reset_pause(mr_db_t *db)
{
    db->refusals = 0;
}

static void
fail_opening(opening_t *opening, mr_error_kind_t error)
{
    mr_db_t *db = opening->db;
    mr_conn_waiter_t *waiter = first_waiter(db, opening->account);

    db->open_conns++; /* keeps @db */
    mr_conn_pool_pause(db, event_get_base(opening->timer));
    free_opening(opening);
    if (waiter != NULL) {
        end_waiter(waiter, NULL, error);
    }
    mr_db_release(db);
}

static void
on_open(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    opening_t *opening = ctx;

    if (reply->lost || reply->error != MR_OK) {
        if (!reply->lost) {
            mr_db_conn_close(conn);
        }
        fail_opening(opening, reply->error);
        return;
    }
    free_opening(opening);
    mr_conn_pool_give(conn);
}

static void
on_open_timeout(evutil_socket_t fd, short what, void *ctx)
{
    opening_t *opening = ctx;
    mr_db_t *db = opening->db;

    (void)fd;
    (void)what;
    db->open_conns++; /* keeps @db if this is its last connection */
    if (opening->conn != NULL) {
        mr_db_conn_close(opening->conn);
    }
    fail_opening(opening, opening->conn != NULL ? MR_ERR_DEADLINE_EXCEEDED
                                                : MR_ERR_UNAVAILABLE);
    mr_db_release(db);
}

static bool
may_open(const mr_db_t *db)
{
    return !db->removed && mr_db_may_send(db, mr_clock_now(NULL))
           && db->opening_conns < OPENING_CONNS_MAX
           && db->open_conns - db->idle_conn_count
                  < db->kept_conns_max + EXTRA_CONNS_MAX
           && mr_clock_now(NULL) >= db->open_after;
}

static void
open_conn(mr_db_t *db, mr_conn_waiter_t *waiter)
{
    struct timeval timeout = mr_clock_timeval(OPEN_TIMEOUT_MS);

    /* Replace the connection that has been idle longest. */
    if (db->open_conns >= db->kept_conns_max && db->idle_conn_count > 0) {
        mr_db_conn_close(mr_db_conn_oldest_idle(db));
    }
    waiter->has_opening = true;
    opening_t *opening = MR_NEW(opening_t);
    opening->db = db;
    opening->account = mr_strdup(waiter->account);
    opening->timer = evtimer_new(waiter->base, on_open_timeout, opening);
    db->opening_conns++;
    db->running++; /* opening occupies a slot */
    opening->conn =
        mr_db_conn_open(waiter->base, db, waiter->account, on_open, opening);
    if (opening->conn == NULL) {
        timeout = (struct timeval){0, 0};
    }
    evtimer_add(opening->timer, &timeout);
}

/* Opens connections for the waiters, in order of arrival. */
static void
open_for_waiters(mr_db_t *db)
{
    MR_LIST_FOREACH(it, &db->waiters)
    {
        mr_conn_waiter_t *waiter = MR_LIST_ENTRY(it, mr_conn_waiter_t, link);
        if (!may_open(db)) {
            return;
        }
        if (!waiter->has_opening) {
            open_conn(db, waiter);
        }
    }
}

mr_db_conn_t *
mr_conn_pool_take(mr_db_t *db, const char *account, uint64_t session)
{
    return mr_db_conn_take_idle(db, account, session);
}

mr_conn_waiter_t *
mr_conn_pool_wait(struct event_base *base, mr_db_t *db, const char *account,
                  mr_conn_waiter_fn_t fn, void *ctx)
{
    mr_conn_waiter_t *waiter = MR_NEW(mr_conn_waiter_t);

    *waiter = (mr_conn_waiter_t){.db = db,
                                 .base = base,
                                 .account = mr_strdup(account),
                                 .fn = fn,
                                 .ctx = ctx};
    mr_list_init(&waiter->link);
    mr_list_append(&db->waiters, &waiter->link);
    open_for_waiters(db);
    return waiter;
}

void
mr_conn_pool_give(mr_db_conn_t *conn)
{
    mr_db_t *db = mr_db_conn_db(conn);
    mr_conn_waiter_t *waiter = first_waiter(db, mr_db_conn_account(conn));

    bool may_send = mr_db_may_send(db, mr_clock_now(NULL));

    mr_db_conn_on_lost(conn, NULL, NULL);
    if (waiter != NULL && !db->removed && may_send) {
        mr_db_conn_drop_replies(conn);
        end_waiter(waiter, conn, MR_OK);
        return;
    }
    db->open_conns++; /* keeps @db */
    if (db->removed || db->draining || !may_send
        || db->open_conns - 1 > db->kept_conns_max
        || !mr_list_empty(&db->waiters)) {
        mr_db_conn_close(conn);
    }
    else {
        mr_db_conn_set_idle(conn);
    }
    if (!db->removed) {
        open_for_waiters(db);
    }
    mr_db_release(db);
}

bool
mr_conn_pool_has(const mr_db_t *db, const char *account)
{
    return mr_db_conn_has_idle(db, account);
}

void
mr_conn_pool_clear(mr_db_t *db)
{
    while (db->idle_conn_count > 0) {
        mr_db_conn_close(mr_db_conn_oldest_idle(db));
    }
    while (!mr_list_empty(&db->waiters)) {
        end_waiter(MR_LIST_ENTRY(db->waiters.next, mr_conn_waiter_t, link),
                   NULL, MR_ERR_UNAVAILABLE);
    }
    if (db->pause_timer != NULL) {
        event_free(db->pause_timer);
        db->pause_timer = NULL;
    }
}
