#include "session/linkpool.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"

enum {
    /* Opened at the same time by this instance to one database. */
    OPENING_MAX = 2,
    /* Unused connections above this instance's part are closed. Transient ones
     * beyond it carry the statements that would wait otherwise. */
    TRANSIENT_MAX = 4,
    OPEN_TIMEOUT_MS = 1000,
    /* After the database refused a connection or a statement for lack of room,
     * or did not answer; doubled each time, as every instance tries again. */
    PAUSE_FIRST_MS = 100,
    PAUSE_MAX_MS = 800,
};

struct mr_link_wait {
    mr_list_t link;
    mr_db_t *db;
    struct event_base *base;
    char *account;
    bool opening; /* a connection was opened for it */
    mr_link_wait_fn_t fn;
    void *ctx;
};

/** A connection that is being opened. */
typedef struct opening {
    mr_db_t *db;
    mr_link_t *db_link;
    char *account;
    struct event *timer;
} opening_t;

static void
end_wait(mr_link_wait_t *wait, mr_link_t *link, mr_error_kind_t error)
{
    mr_link_wait_fn_t fn = wait->fn;
    void *ctx = wait->ctx;

    mr_linkpool_cancel(wait);
    fn(ctx, link, error);
}

void
mr_linkpool_cancel(mr_link_wait_t *wait)
{
    mr_list_remove(&wait->link);
    free(wait->account);
    free(wait);
}

static mr_link_wait_t *
first_wait(mr_db_t *db, const char *account)
{
    MR_LIST_FOREACH(it, &db->waiters)
    {
        mr_link_wait_t *wait = MR_LIST_ENTRY(it, mr_link_wait_t, link);
        if (strcmp(wait->account, account) == 0) {
            return wait;
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

static void open_for_waits(mr_db_t *db);

static void
on_pause_over(evutil_socket_t fd, short what, void *ctx)
{
    mr_db_t *db = ctx;

    (void)fd;
    (void)what;
    /* The loop's clock may be behind: the timer then fires a little early. */
    db->open_after = 0;
    open_for_waits(db);
}

void
mr_linkpool_pause(mr_db_t *db, struct event_base *base)
{
    mr_ms_t pause = mr_timer_jitter(
        mr_timer_pause(PAUSE_FIRST_MS, PAUSE_MAX_MS, db->refusals));

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
mr_linkpool_served(mr_db_t *db)
{
    db->refusals = 0;
}

static void
fail_opening(opening_t *opening, mr_error_kind_t error)
{
    mr_db_t *db = opening->db;
    mr_link_wait_t *wait = first_wait(db, opening->account);

    db->open_conns++; /* holds @db */
    mr_linkpool_pause(db, event_get_base(opening->timer));
    free_opening(opening);
    if (wait != NULL) {
        end_wait(wait, NULL, error);
    }
    mr_db_release(db);
}

static void
on_open(void *ctx, mr_link_t *link, const mr_reply_t *reply)
{
    opening_t *opening = ctx;

    if (reply->lost || reply->error != MR_OK) {
        if (!reply->lost) {
            mr_link_close(link);
        }
        fail_opening(opening, reply->error);
        return;
    }
    free_opening(opening);
    mr_linkpool_give(link);
}

static void
on_open_timeout(evutil_socket_t fd, short what, void *ctx)
{
    opening_t *opening = ctx;
    mr_db_t *db = opening->db;

    (void)fd;
    (void)what;
    db->open_conns++; /* closing may be what @db was kept for */
    if (opening->db_link != NULL) {
        mr_link_close(opening->db_link);
    }
    fail_opening(opening, opening->db_link != NULL ? MR_ERR_DEADLINE_EXCEEDED
                                                   : MR_ERR_UNAVAILABLE);
    mr_db_release(db);
}

static bool
may_open(const mr_db_t *db)
{
    return !db->removed && db->opening_conns < OPENING_MAX
           && db->open_conns - db->idle_conn_count
                  < db->kept_conns_max + TRANSIENT_MAX
           && mr_clock_now(NULL) >= db->open_after;
}

static void
open_link(mr_db_t *db, mr_link_wait_t *wait)
{
    struct timeval timeout = mr_clock_timeval(OPEN_TIMEOUT_MS);

    /* The one that was unused for longest makes room. */
    if (db->open_conns >= db->kept_conns_max && db->idle_conn_count > 0) {
        mr_link_close(mr_link_oldest_idle(db));
    }
    wait->opening = true;
    opening_t *opening = MR_NEW(opening_t);
    opening->db = db;
    opening->account = mr_strdup(wait->account);
    opening->timer = evtimer_new(wait->base, on_open_timeout, opening);
    db->opening_conns++;
    db->running++; /* opening takes a slot */
    opening->db_link =
        mr_link_open(wait->base, db, wait->account, on_open, opening);
    if (opening->db_link == NULL) {
        timeout = (struct timeval){0, 0};
    }
    evtimer_add(opening->timer, &timeout);
}

/* Opens connections for those that have waited longest. */
static void
open_for_waits(mr_db_t *db)
{
    MR_LIST_FOREACH(it, &db->waiters)
    {
        mr_link_wait_t *wait = MR_LIST_ENTRY(it, mr_link_wait_t, link);
        if (!may_open(db)) {
            return;
        }
        if (!wait->opening) {
            open_link(db, wait);
        }
    }
}

mr_link_t *
mr_linkpool_take(mr_db_t *db, const char *account, uint64_t session)
{
    return mr_link_take_idle(db, account, session);
}

mr_link_wait_t *
mr_linkpool_wait(struct event_base *base, mr_db_t *db, const char *account,
                 mr_link_wait_fn_t fn, void *ctx)
{
    mr_link_wait_t *wait = MR_NEW(mr_link_wait_t);

    *wait = (mr_link_wait_t){.db = db,
                             .base = base,
                             .account = mr_strdup(account),
                             .fn = fn,
                             .ctx = ctx};
    mr_list_init(&wait->link);
    mr_list_append(&db->waiters, &wait->link);
    open_for_waits(db);
    return wait;
}

void
mr_linkpool_give(mr_link_t *link)
{
    mr_db_t *db = mr_link_db(link);
    mr_link_wait_t *wait = first_wait(db, mr_link_account(link));

    mr_link_on_lost(link, NULL, NULL);
    if (wait != NULL && !db->removed) {
        mr_link_forget(link);
        end_wait(wait, link, MR_OK);
        return;
    }
    db->open_conns++; /* holds @db */
    if (db->removed || db->draining || db->open_conns - 1 > db->kept_conns_max
        || !mr_list_empty(&db->waiters)) {
        mr_link_close(link);
    }
    else {
        mr_link_set_idle(link);
    }
    if (!db->removed) {
        open_for_waits(db);
    }
    mr_db_release(db);
}

bool
mr_linkpool_has(const mr_db_t *db, const char *account)
{
    return mr_link_has_idle(db, account);
}

void
mr_linkpool_clear(mr_db_t *db)
{
    while (db->idle_conn_count > 0) {
        mr_link_close(mr_link_oldest_idle(db));
    }
    while (!mr_list_empty(&db->waiters)) {
        end_wait(MR_LIST_ENTRY(db->waiters.next, mr_link_wait_t, link), NULL,
                 MR_ERR_UNAVAILABLE);
    }
    if (db->pause_timer != NULL) {
        event_free(db->pause_timer);
        db->pause_timer = NULL;
    }
}
