#include "group/pool.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>

#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "group/fair_queue.h"

enum {
    /* Limit of waits per account: about what a target with few slots serves
     * within a deadline of 2 s. Further waits would only reach their deadline.
     */
    ACCOUNT_WAITS_MAX = 1024,
    /* Opening a connection normally takes up to 30 ms; a target that needs
     * this long is stalled. */
    OPEN_TIMEOUT_MS = 1000,
    RETRY_MIN_MS = 20,
    RETRY_MAX_MS = 500,
    /* Interval of the check for idle connections that the target closed. */
    CHECK_INTERVAL_MS = 250,
};

/** A connection that is idle or being opened. */
typedef struct pool_conn {
    mr_list_t link; /* in idle or opening */
    mr_pool_t *pool;
    mr_target_conn_t *conn;
} pool_conn_t;

struct mr_pool_wait {
    mr_fair_queue_entry_t entry;
    mr_list_t link; /* in ended */
    mr_pool_t *pool;
    bool queued;
    mr_error_kind_t error;
    mr_target_conn_t *pinned;
    mr_ms_t queued_at;
    mr_pool_ready_fn_t fn;
    void *ctx;
};

struct mr_pool {
    mr_pool_options_t options;
    char *target;
    char *address;
    mr_fair_queue_t *fair;
    mr_list_t ended; /* waits that ended; their callbacks are still due */
    size_t ended_count;
    mr_list_t idle;
    mr_list_t opening;
    size_t idle_count;
    size_t opening_count;
    size_t in_use;       /* connections with a slot or pinned */
    size_t running;      /* slots held */
    mr_ms_t retry_delay; /* 0: the last attempt to connect succeeded */
    mr_ms_t retry_at;
    bool closed;
    struct event *dispatch_event; /* runs on_dispatch() from the loop */
    struct event *deadline_timer; /* earliest deadline of a wait */
    struct event *check_timer;    /* maintenance of connections */
    mr_counter_t *wait_count;
    mr_counter_t *sheds_queue_full;
    mr_counter_t *sheds_deadline;
    mr_counter_t *queue_ms;
    mr_counter_t *opened_count;
    mr_counter_t *in_use_gauge;
    mr_traffic_t traffic;
};

static void
set_timer(struct event *timer, mr_ms_t delay)
{
    struct timeval tv = mr_clock_timeval(delay);

    event_add(timer, &tv);
}

/** schedule_dispatch() - have on_dispatch() run from the event loop, so that
 * callbacks are never called from within a caller's function call. */
static void
schedule_dispatch(mr_pool_t *pool)
{
    event_active(pool->dispatch_event, EV_TIMEOUT, 1);
}

static void
update_in_use_metric(mr_pool_t *pool)
{
    mr_counter_set(pool->in_use_gauge, (int64_t)pool->in_use);
}

static void
pool_conn_free(pool_conn_t *item)
{
    mr_list_remove(&item->link);
    mr_target_conn_destroy(item->conn);
    free(item);
}

static void
add_idle(mr_pool_t *pool, mr_target_conn_t *conn)
{
    pool_conn_t *item = MR_NEW(pool_conn_t);

    item->pool = pool;
    item->conn = conn;
    mr_list_append(&pool->idle, &item->link);
    pool->idle_count++;
}

/** take_idle() - remove the most recently used usable connection, which is the
 * least likely to have been closed, from the idle list; NULL when there is
 * none. */
static mr_target_conn_t *
take_idle(mr_pool_t *pool)
{
    while (!mr_list_empty(&pool->idle)) {
        pool_conn_t *item = MR_LIST_ENTRY(pool->idle.prev, pool_conn_t, link);
        mr_target_conn_t *conn = item->conn;

        mr_list_remove(&item->link);
        free(item);
        pool->idle_count--;
        if (mr_target_conn_usable(conn)) {
            return conn;
        }
        mr_target_conn_destroy(conn);
    }
    return NULL;
}

static size_t
open_count(const mr_pool_t *pool)
{
    return pool->idle_count + pool->opening_count + pool->in_use;
}

static void
record_open_result(mr_pool_t *pool, bool opened)
{
    if (opened && pool->retry_delay > 0) {
        mr_log(MR_LOG_INFO, MR_EVENT_TARGET_CONNECTED, "target=%s",
               pool->target);
    }
    else if (!opened && pool->retry_delay == 0) {
        mr_log(MR_LOG_WARNING, MR_EVENT_TARGET_CONNECTION_FAILED, "target=%s",
               pool->target);
    }
    if (opened) {
        pool->retry_delay = 0;
        return;
    }
    pool->retry_delay =
        CLAMP(2 * pool->retry_delay, RETRY_MIN_MS, RETRY_MAX_MS);
    pool->retry_at = mr_clock_now(NULL) + pool->retry_delay;
}

/** close_surplus_idle() - close idle connections that the target has closed,
 * and those above the limit. */
static void
close_surplus_idle(mr_pool_t *pool)
{
    MR_LIST_FOREACH(it, &pool->idle)
    {
        pool_conn_t *item = MR_LIST_ENTRY(it, pool_conn_t, link);

        if (open_count(pool) > (size_t)pool->options.connections
            || !mr_target_conn_usable(item->conn)) {
            pool->idle_count--;
            pool_conn_free(item);
        }
    }
}

static mr_pool_wait_t *
wait_of(mr_fair_queue_entry_t *entry)
{
    return entry == NULL ? NULL : MR_LIST_ENTRY(entry, mr_pool_wait_t, entry);
}

/** fail_waits() - end all waits because the target refuses connections, while
 * there is time to serve their requests elsewhere. */
static void
fail_waits(mr_pool_t *pool)
{
    mr_fair_queue_entry_t *entry;

    while ((entry = mr_fair_queue_pop_expired(pool->fair, INT64_MAX))
           != NULL) {
        mr_pool_wait_t *wait = wait_of(entry);

        wait->queued = false;
        wait->error = MR_ERR_UNAVAILABLE;
        mr_list_append(&pool->ended, &wait->link);
        pool->ended_count++;
    }
}

static void
on_opened(void *ctx, const mr_target_reply_t *reply)
{
    pool_conn_t *item = ctx;
    mr_pool_t *pool = item->pool;
    bool ok = reply->error == MR_OK;

    pool->opening_count--;
    record_open_result(pool, ok);
    if (ok) {
        mr_counter_add(pool->opened_count, 1);
        mr_list_remove(&item->link);
        mr_list_append(&pool->idle, &item->link);
        pool->idle_count++;
    }
    else {
        pool_conn_free(item);
        close_surplus_idle(pool);
        if (reply->error == MR_ERR_UNAVAILABLE && pool->idle_count == 0
            && pool->opening_count == 0) {
            fail_waits(pool);
        }
    }
    schedule_dispatch(pool);
}

/** open_connection() - open a connection with a status request, so that a
 * statement is never the first request on it. */
static bool
open_connection(mr_pool_t *pool)
{
    const mr_target_request_t request = {.operation = MR_TARGET_STATUS,
                                         .timeout = OPEN_TIMEOUT_MS};
    mr_target_conn_t *conn =
        mr_target_conn_create(pool->options.base, pool->address);

    if (conn == NULL) {
        record_open_result(pool, false);
        return false;
    }
    mr_target_conn_set_traffic(conn, &pool->traffic);
    pool_conn_t *item = MR_NEW(pool_conn_t);
    item->pool = pool;
    item->conn = conn;
    mr_list_append(&pool->opening, &item->link);
    pool->opening_count++;
    mr_target_conn_send(conn, &request, on_opened, item);
    return true;
}

/** open_spare_connections() - keep one free connection for each slot, so that
 * neither a statement nor a transaction that pins one has to wait until a
 * connection is open. While attempts fail, only one is made at a time. */
static void
open_spare_connections(mr_pool_t *pool)
{
    bool failing = pool->retry_delay > 0;
    size_t wanted = failing ? 1 : (size_t)pool->options.slots;
    mr_ms_t retry_in = pool->retry_at - mr_clock_now(NULL);

    if (failing && retry_in > 0) {
        set_timer(pool->check_timer, MIN(retry_in, CHECK_INTERVAL_MS));
        return;
    }
    while ((failing ? pool->opening_count
                    : pool->opening_count + pool->idle_count)
               < wanted
           && open_count(pool) < (size_t)pool->options.connections) {
        if (!open_connection(pool)) {
            return;
        }
    }
}

static void
on_check(evutil_socket_t fd, short what, void *ctx)
{
    mr_pool_t *pool = ctx;

    (void)fd;
    (void)what;
    set_timer(pool->check_timer, CHECK_INTERVAL_MS);
    close_surplus_idle(pool);
    open_spare_connections(pool);
}

/** finish() - call back and free a wait that is in no list; the callback may
 * destroy the pool. */
static void
finish(mr_pool_wait_t *wait, mr_error_kind_t error, mr_target_conn_t *conn)
{
    mr_pool_ready_fn_t fn = wait->fn;
    void *ctx = wait->ctx;

    if (wait->queued) {
        mr_counter_add(wait->pool->queue_ms,
                       mr_clock_now(NULL) - wait->queued_at);
    }
    free(wait);
    fn(ctx, error, conn);
}

/** end_one_wait() - call back one wait that has failed or expired. */
static bool
end_one_wait(mr_pool_t *pool)
{
    mr_list_t *link = mr_list_pop(&pool->ended);

    if (link != NULL) {
        mr_pool_wait_t *wait = MR_LIST_ENTRY(link, mr_pool_wait_t, link);

        pool->ended_count--;
        finish(wait, wait->error, NULL);
        return true;
    }
    mr_pool_wait_t *expired =
        wait_of(mr_fair_queue_pop_expired(pool->fair, mr_clock_now(NULL)));
    if (expired != NULL) {
        mr_counter_add(pool->sheds_deadline, 1);
        finish(expired, MR_ERR_DEADLINE_EXCEEDED, NULL);
        return true;
    }
    return false;
}

/** serve_one_wait() - give a slot to the next wait of the fair queue. Without
 * an idle connection only waits with a pinned connection can be served. */
static bool
serve_one_wait(mr_pool_t *pool)
{
    if (pool->running >= (size_t)pool->options.slots
        || mr_fair_queue_count(pool->fair) == 0) {
        return false;
    }
    mr_target_conn_t *conn = take_idle(pool);
    mr_pool_wait_t *wait =
        wait_of(mr_fair_queue_pop(pool->fair, conn == NULL));
    if (conn != NULL && (wait == NULL || wait->pinned != NULL)) {
        add_idle(pool, conn);
    }
    if (wait == NULL) {
        return false;
    }
    if (wait->pinned != NULL) {
        conn = wait->pinned;
    }
    else {
        pool->in_use++;
        update_in_use_metric(pool);
    }
    pool->running++;
    finish(wait, MR_OK, conn);
    return true;
}

static void
on_dispatch(evutil_socket_t fd, short what, void *ctx)
{
    mr_pool_t *pool = ctx;
    mr_ms_t next = mr_fair_queue_next_deadline(pool->fair);

    (void)fd;
    (void)what;
    open_spare_connections(pool);
    if (next >= 0) {
        set_timer(pool->deadline_timer, next - mr_clock_now(NULL));
    }
    /* Make one callback per run, since it may destroy the pool. Therefore the
     * next run is scheduled before the callback. */
    schedule_dispatch(pool);
    if (!end_one_wait(pool) && !serve_one_wait(pool)) {
        /* take_idle() may have found that all idle connections were closed. */
        open_spare_connections(pool);
        event_del(pool->dispatch_event);
    }
}

mr_pool_t *
mr_pool_create(const mr_pool_options_t *options)
{
    mr_pool_t *pool = MR_NEW(mr_pool_t);
    mr_counters_t *counters = options->counters;
    char *full_labels =
        mr_asprintf("target=\"%s\",reason=\"queue_full\"", options->target);
    char *deadline_labels =
        mr_asprintf("target=\"%s\",reason=\"deadline\"", options->target);
    char *labels = mr_asprintf("target=\"%s\"", options->target);

    pool->options = *options;
    pool->target = mr_strdup(options->target);
    pool->address = mr_strdup(options->address);
    pool->fair = mr_fair_queue_create(ACCOUNT_WAITS_MAX);
    mr_list_init(&pool->ended);
    mr_list_init(&pool->idle);
    mr_list_init(&pool->opening);
    pool->dispatch_event = event_new(options->base, -1, 0, on_dispatch, pool);
    pool->deadline_timer = event_new(options->base, -1, 0, on_dispatch, pool);
    pool->check_timer = event_new(options->base, -1, 0, on_check, pool);
    pool->wait_count = mr_counters_get(
        counters, "masticrelay_pool_waits_total", labels, "waits for a slot");
    pool->sheds_queue_full =
        mr_counters_get(counters, "masticrelay_pool_sheds_total", full_labels,
                        "waits that ended without a slot");
    pool->sheds_deadline =
        mr_counters_get(counters, "masticrelay_pool_sheds_total",
                        deadline_labels, "waits that ended without a slot");
    pool->queue_ms =
        mr_counters_get(counters, "masticrelay_pool_queue_ms_total", labels,
                        "time spent waiting for a slot");
    pool->opened_count =
        mr_counters_get(counters, "masticrelay_pool_opened_total", labels,
                        "connections opened");
    pool->in_use_gauge =
        mr_counters_get(counters, "masticrelay_pool_connections_in_use",
                        labels, "connections given out");
    pool->traffic = mr_traffic_create(counters, "target");
    set_timer(pool->check_timer, 0);
    free(full_labels);
    free(deadline_labels);
    free(labels);
    return pool;
}

/** end_all_waits() - call back every wait of a closed pool. */
static void
end_all_waits(mr_pool_t *pool)
{
    mr_fair_queue_entry_t *entry;
    mr_list_t *link;

    do {
        while ((entry = mr_fair_queue_pop_expired(pool->fair, INT64_MAX))
               != NULL) {
            finish(wait_of(entry), MR_ERR_UNAVAILABLE, NULL);
        }
        while ((link = mr_list_pop(&pool->ended)) != NULL) {
            mr_pool_wait_t *wait = MR_LIST_ENTRY(link, mr_pool_wait_t, link);

            pool->ended_count--;
            finish(wait, wait->error, NULL);
        }
    } while (mr_fair_queue_count(pool->fair) > 0);
}

void
mr_pool_destroy(mr_pool_t *pool)
{
    if (pool == NULL) {
        return;
    }
    pool->closed = true;
    end_all_waits(pool);
    assert(pool->in_use == 0 && pool->running == 0);
    MR_LIST_FOREACH(it, &pool->idle)
    {
        pool_conn_free(MR_LIST_ENTRY(it, pool_conn_t, link));
    }
    MR_LIST_FOREACH(it, &pool->opening)
    {
        pool_conn_free(MR_LIST_ENTRY(it, pool_conn_t, link));
    }
    event_free(pool->dispatch_event);
    event_free(pool->deadline_timer);
    event_free(pool->check_timer);
    mr_fair_queue_destroy(pool->fair);
    free(pool->target);
    free(pool->address);
    free(pool);
}

void
mr_pool_resize(mr_pool_t *pool, int64_t slots, int64_t connections)
{
    pool->options.slots = slots;
    pool->options.connections = connections;
    close_surplus_idle(pool);
    schedule_dispatch(pool);
}

mr_pool_wait_t *
mr_pool_acquire(mr_pool_t *pool, const char *account, int64_t weight,
                mr_target_conn_t *pinned, mr_ms_t deadline,
                mr_pool_ready_fn_t fn, void *ctx)
{
    mr_pool_wait_t *wait = MR_NEW(mr_pool_wait_t);

    wait->pool = pool;
    wait->pinned = pinned;
    wait->queued_at = mr_clock_now(NULL);
    wait->fn = fn;
    wait->ctx = ctx;
    mr_list_init(&wait->link);
    mr_counter_add(pool->wait_count, 1);
    wait->queued = !pool->closed
                   && mr_fair_queue_push(pool->fair, &wait->entry, account,
                                         weight, pinned != NULL, deadline);
    if (!wait->queued) {
        wait->error = pool->closed ? MR_ERR_UNAVAILABLE : MR_ERR_OVERLOADED;
        mr_counter_add(pool->sheds_queue_full, pool->closed ? 0 : 1);
        mr_list_append(&pool->ended, &wait->link);
        pool->ended_count++;
    }
    schedule_dispatch(pool);
    return wait;
}

void
mr_pool_cancel(mr_pool_wait_t *wait)
{
    if (wait->queued) {
        mr_fair_queue_remove(wait->pool->fair, &wait->entry);
    }
    else {
        mr_list_remove(&wait->link);
        wait->pool->ended_count--;
    }
    free(wait);
}

/** reclaim_connection() - make a connection that was in use idle again or
 * close it. */
static void
reclaim_connection(mr_pool_t *pool, mr_target_conn_t *conn, bool reuse)
{
    assert(pool->in_use > 0);
    pool->in_use--;
    update_in_use_metric(pool);
    if (reuse && mr_target_conn_usable(conn)
        && open_count(pool) < (size_t)pool->options.connections) {
        add_idle(pool, conn);
    }
    else {
        mr_target_conn_destroy(conn);
    }
    schedule_dispatch(pool);
}

void
mr_pool_release(mr_pool_t *pool, mr_target_conn_t *conn,
                mr_pool_disposition_t disposition)
{
    assert(pool->running > 0);
    pool->running--;
    if (disposition == MR_POOL_PIN) {
        schedule_dispatch(pool);
        return;
    }
    reclaim_connection(pool, conn, disposition == MR_POOL_REUSE);
}

void
mr_pool_unpin(mr_pool_t *pool, mr_target_conn_t *conn, bool reuse)
{
    reclaim_connection(pool, conn, reuse);
}

size_t
mr_pool_running(const mr_pool_t *pool)
{
    return pool->running + mr_fair_queue_count(pool->fair) + pool->ended_count;
}
