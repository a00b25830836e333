#include "daemon/supervisor.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"

typedef struct child {
    mr_list_t link;
    mr_supervisor_t *supervisor;
    mr_supervisor_child_t spec;
    bool running;
    bool reported; /* has a reported failure that is not handled yet */
    bool drained;
    /* Times of the last restarts, oldest first. */
    mr_ms_t restarts[MR_SUPERVISOR_RESTARTS_MAX];
    int restart_count;
    mr_counter_t *restart_counter;
} child_t;

typedef enum phase {
    PHASE_IDLE,
    PHASE_STARTED, /* children run or are being restarted */
    PHASE_DRAINING,
    PHASE_STOPPED,
    PHASE_FAILED,
} phase_t;

struct mr_supervisor {
    mr_supervisor_options_t options;
    mr_list_t children; /* in start order */
    phase_t phase;
    struct event *reports;    /* handles reported failures */
    struct event *restart;    /* ends a backoff */
    struct event *drain_step; /* continues the drain */
    struct event *deadline;
    child_t *draining;
    mr_supervisor_done_fn_t done;
    void *done_ctx;
};

static void
stop_child(child_t *child)
{
    if (child->running) {
        child->running = false;
        child->reported = false;
        child->spec.stop(child->spec.ctx);
    }
}

/* Stops the children from the last one back to @first; NULL: all. */
static void
stop_from(mr_supervisor_t *supervisor, const child_t *first)
{
    mr_list_t *head = &supervisor->children;

    for (mr_list_t *it = head->prev; it != head; it = it->prev) {
        child_t *child = MR_LIST_ENTRY(it, child_t, link);
        stop_child(child);
        if (child == first) {
            return;
        }
    }
}

/* Removes restarts that are older than the window. */
static void
expire_restarts(child_t *child, mr_ms_t now)
{
    int old = 0;

    while (old < child->restart_count
           && now - child->restarts[old] >= MR_SUPERVISOR_WINDOW_MS) {
        old++;
    }
    child->restart_count -= old;
    memmove(child->restarts, child->restarts + old,
            (size_t)child->restart_count * sizeof(child->restarts[0]));
}

/* Stops @child and those after it and schedules their restart, or reports that
 * @child has failed too often. */
static void
handle_failure(mr_supervisor_t *supervisor, child_t *child)
{
    mr_ms_t now = mr_clock_now(supervisor->options.clock);
    mr_ms_t backoff = supervisor->options.backoff;

    child->reported = false;
    expire_restarts(child, now);
    if (child->restart_count == MR_SUPERVISOR_RESTARTS_MAX) {
        supervisor->phase = PHASE_FAILED;
        evtimer_del(supervisor->restart);
        mr_log(MR_LOG_ERROR, MR_EVENT_CHILD_FAILED, "child=%s restarts=%d",
               child->spec.name, child->restart_count);
        supervisor->options.failed(supervisor->options.ctx, child->spec.name);
        return;
    }
    stop_from(supervisor, child);
    for (int i = 0; i < child->restart_count; i++) {
        backoff *= 2;
    }
    if (backoff > MR_SUPERVISOR_BACKOFF_MAX_MS) {
        backoff = MR_SUPERVISOR_BACKOFF_MAX_MS;
    }
    child->restarts[child->restart_count++] = now;
    mr_counter_add(child->restart_counter, 1);
    mr_log(MR_LOG_WARNING, MR_EVENT_CHILD_RESTART, "child=%s backoff_ms=%lld",
           child->spec.name, (long long)backoff);
    struct timeval tv = mr_clock_timeval(backoff);
    evtimer_add(supervisor->restart, &tv);
}

/* Starts the children that are not running, in order. */
static void
start_children(mr_supervisor_t *supervisor)
{
    MR_LIST_FOREACH(it, &supervisor->children)
    {
        child_t *child = MR_LIST_ENTRY(it, child_t, link);
        if (child->running) {
            continue;
        }
        if (!child->spec.start(child->spec.ctx)) {
            handle_failure(supervisor, child);
            return;
        }
        child->running = true;
        mr_log(MR_LOG_INFO, MR_EVENT_CHILD_STARTED, "child=%s",
               child->spec.name);
    }
}

static void
on_restart(evutil_socket_t fd, short what, void *ctx)
{
    mr_supervisor_t *supervisor = ctx;

    (void)fd;
    (void)what;
    if (supervisor->phase == PHASE_STARTED) {
        start_children(supervisor);
    }
}

static void
on_reports(evutil_socket_t fd, short what, void *ctx)
{
    mr_supervisor_t *supervisor = ctx;

    (void)fd;
    (void)what;
    /* Handling the first failed child also restarts those after it. */
    MR_LIST_FOREACH(it, &supervisor->children)
    {
        child_t *child = MR_LIST_ENTRY(it, child_t, link);
        if (child->reported && supervisor->phase == PHASE_STARTED) {
            handle_failure(supervisor, child);
        }
    }
}

static void
finish_stop(mr_supervisor_t *supervisor)
{
    supervisor->phase = PHASE_STOPPED;
    supervisor->draining = NULL;
    evtimer_del(supervisor->deadline);
    evtimer_del(supervisor->restart);
    stop_from(supervisor, NULL);
    supervisor->done(supervisor->done_ctx);
}

static void
on_drained(void *ctx)
{
    child_t *child = ctx;
    mr_supervisor_t *supervisor = child->supervisor;

    child->drained = true;
    if (supervisor->phase == PHASE_DRAINING && supervisor->draining == child) {
        supervisor->draining = NULL;
        event_active(supervisor->drain_step, 0, 0);
    }
}

/* Drains the last child that is not drained yet; when all are, stops them. */
static void
on_drain_step(evutil_socket_t fd, short what, void *ctx)
{
    mr_supervisor_t *supervisor = ctx;
    mr_list_t *head = &supervisor->children;

    (void)fd;
    (void)what;
    if (supervisor->phase != PHASE_DRAINING || supervisor->draining != NULL) {
        return;
    }
    for (mr_list_t *it = head->prev; it != head; it = it->prev) {
        child_t *child = MR_LIST_ENTRY(it, child_t, link);
        if (child->running && !child->drained && child->spec.drain != NULL) {
            supervisor->draining = child;
            child->spec.drain(child->spec.ctx, on_drained, child);
            return;
        }
    }
    finish_stop(supervisor);
}

static void
on_deadline(evutil_socket_t fd, short what, void *ctx)
{
    mr_supervisor_t *supervisor = ctx;

    (void)fd;
    (void)what;
    mr_log(MR_LOG_WARNING, MR_EVENT_DRAIN_DEADLINE, "child=%s",
           supervisor->draining == NULL ? "-"
                                        : supervisor->draining->spec.name);
    finish_stop(supervisor);
}

mr_supervisor_t *
mr_supervisor_create(const mr_supervisor_options_t *options)
{
    mr_supervisor_t *supervisor = MR_NEW(mr_supervisor_t);

    supervisor->options = *options;
    if (supervisor->options.backoff == 0) {
        supervisor->options.backoff = MR_SUPERVISOR_BACKOFF_MS;
    }
    mr_list_init(&supervisor->children);
    supervisor->reports =
        event_new(options->base, -1, 0, on_reports, supervisor);
    supervisor->drain_step =
        event_new(options->base, -1, 0, on_drain_step, supervisor);
    supervisor->restart = evtimer_new(options->base, on_restart, supervisor);
    supervisor->deadline = evtimer_new(options->base, on_deadline, supervisor);
    return supervisor;
}

void
mr_supervisor_destroy(mr_supervisor_t *supervisor)
{
    mr_list_t *it;

    if (supervisor == NULL) {
        return;
    }
    supervisor->phase = PHASE_STOPPED;
    stop_from(supervisor, NULL);
    while ((it = mr_list_pop(&supervisor->children)) != NULL) {
        child_t *child = MR_LIST_ENTRY(it, child_t, link);
        free((char *)child->spec.name);
        free(child);
    }
    event_free(supervisor->reports);
    event_free(supervisor->drain_step);
    event_free(supervisor->restart);
    event_free(supervisor->deadline);
    free(supervisor);
}

void
mr_supervisor_add(mr_supervisor_t *supervisor,
                  const mr_supervisor_child_t *spec)
{
    child_t *child = MR_NEW(child_t);
    char *labels = mr_asprintf("child=\"%s\"", spec->name);

    assert(supervisor->phase == PHASE_IDLE);
    assert(spec->start != NULL && spec->stop != NULL);
    child->supervisor = supervisor;
    child->spec = *spec;
    child->spec.name = mr_strdup(spec->name);
    child->restart_counter = mr_counters_get(
        supervisor->options.counters, "masticrelay_child_restarts_total",
        labels, "restarts of a module after a failure");
    mr_list_append(&supervisor->children, &child->link);
    free(labels);
}

void
mr_supervisor_start(mr_supervisor_t *supervisor)
{
    assert(supervisor->phase == PHASE_IDLE);
    supervisor->phase = PHASE_STARTED;
    start_children(supervisor);
}

bool
mr_supervisor_running(const mr_supervisor_t *supervisor)
{
    MR_LIST_FOREACH(it, &supervisor->children)
    {
        if (!MR_LIST_ENTRY(it, child_t, link)->running) {
            return false;
        }
    }
    return supervisor->phase == PHASE_STARTED;
}

void
mr_supervisor_report_failure(mr_supervisor_t *supervisor, const char *name)
{
    MR_LIST_FOREACH(it, &supervisor->children)
    {
        child_t *child = MR_LIST_ENTRY(it, child_t, link);
        if (!child->running || strcmp(child->spec.name, name) != 0) {
            continue;
        }
        if (supervisor->phase == PHASE_DRAINING) {
            /* A failed child has no work left to finish. */
            on_drained(child);
            return;
        }
        child->reported = true;
        event_active(supervisor->reports, 0, 0);
        return;
    }
}

void
mr_supervisor_stop(mr_supervisor_t *supervisor, mr_ms_t deadline,
                   mr_supervisor_done_fn_t done, void *ctx)
{
    struct timeval tv = mr_clock_timeval(deadline);

    assert(supervisor->phase != PHASE_DRAINING
           && supervisor->phase != PHASE_STOPPED);
    supervisor->phase = PHASE_DRAINING;
    supervisor->done = done;
    supervisor->done_ctx = ctx;
    evtimer_del(supervisor->restart);
    evtimer_add(supervisor->deadline, &tv);
    event_active(supervisor->drain_step, 0, 0);
}
