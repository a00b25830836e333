#ifndef MR_DAEMON_SUPERVISOR_H
#define MR_DAEMON_SUPERVISOR_H

/*
 * Starts, restarts and stops the modules of a process, its children. A child
 * may use the children that were added before it, so a restart of a child also
 * restarts those added after it.
 */

#include <event2/event.h>
#include <stdbool.h>

#include "common/clock.h"
#include "common/counters.h"

enum {
    MR_SUPERVISOR_RESTARTS_MAX = 5,
    MR_SUPERVISOR_WINDOW_MS = 60000,
    MR_SUPERVISOR_BACKOFF_MS = 100, /* doubles with each restart */
    MR_SUPERVISOR_BACKOFF_MAX_MS = 5000,
};

typedef struct mr_supervisor mr_supervisor_t;

/** mr_supervisor_done_fn_t - callback when a drain or a stop is complete. */
typedef void (*mr_supervisor_done_fn_t)(void *ctx);

/** struct mr_supervisor_child - one module */
typedef struct mr_supervisor_child {
    const char *name; /* copied */
    void *ctx;
    /** Creates the module; false counts as a failure. */
    bool (*start)(void *ctx);
    /** Stops accepting work, finishes the work in progress, then calls @done
     * once, before it returns or later; NULL: nothing to finish. */
    void (*drain)(void *ctx, mr_supervisor_done_fn_t done, void *done_ctx);
    /** Destroys the module, drained or not. An incomplete drain must not call
     * @done after this. */
    void (*stop)(void *ctx);
} mr_supervisor_child_t;

/** mr_supervisor_failure_fn_t - callback when @name has failed more than
 * MR_SUPERVISOR_RESTARTS_MAX times within the window; the process should exit.
 * Children keep their state until mr_supervisor_destroy(). */
typedef void (*mr_supervisor_failure_fn_t)(void *ctx, const char *name);

typedef struct mr_supervisor_options {
    struct event_base *base;
    mr_counters_t *counters;
    const mr_clock_t *clock; /* of the restart window; NULL: system clock */
    mr_ms_t backoff;         /* first one; 0: MR_SUPERVISOR_BACKOFF_MS */
    mr_supervisor_failure_fn_t failed;
    void *ctx;
} mr_supervisor_options_t;

mr_supervisor_t *mr_supervisor_create(const mr_supervisor_options_t *options);

/** mr_supervisor_destroy() - stop the running children in reverse order. */
void mr_supervisor_destroy(mr_supervisor_t *supervisor);

/** mr_supervisor_add() - append a child with a copy of @spec; must be called
 * before mr_supervisor_start(). */
void mr_supervisor_add(mr_supervisor_t *supervisor,
                       const mr_supervisor_child_t *spec);

/** mr_supervisor_start() - start the children in order. A child that fails to
 * start is retried with backoff; those after it wait. */
void mr_supervisor_start(mr_supervisor_t *supervisor);

/** mr_supervisor_running() - whether all children run. */
bool mr_supervisor_running(const mr_supervisor_t *supervisor);

/** mr_supervisor_report_failure() - report that the child @name failed. It is
 * restarted from the event loop, so a child may call this from its own
 * callbacks. */
void mr_supervisor_report_failure(mr_supervisor_t *supervisor,
                                  const char *name);

/**
 * mr_supervisor_stop() - drain the children in reverse order, then stop them
 * in reverse order
 * @deadline: from now; drains that are incomplete by then are abandoned
 * @done: called once, from the event loop
 *
 * No child is stopped before the last drain has ended, since a draining child
 * uses those before it.
 */
void mr_supervisor_stop(mr_supervisor_t *supervisor, mr_ms_t deadline,
                        mr_supervisor_done_fn_t done, void *ctx);

#endif
