#ifndef MR_LIMIT_LEASE_H
#define MR_LIMIT_LEASE_H

/*
 * Decisions about the row limiter/{data centre}/{shard}, which names the
 * limiter of a shard of accounts. No I/O is done here: the caller does the
 * reads, writes and peer messages that mr_lease_plan() and
 * mr_lease_promise_due() return.
 *
 * The row lists the owner and its successors. A listed successor takes over
 * when the row has not changed for the duration of the lease, measured on the
 * successor's clock. Any other instance waits MR_LEASE_OUTAGE_MS longer. While
 * the store is unavailable, the owner keeps the lease for at most that time,
 * and only while every listed successor promises not to take over.
 *
 * An owner that restarts is not a listed successor and waits as well, because
 * its former process may only be paused. But if no successor is listed, it
 * takes the lease back at once: an instance name belongs to one process at a
 * time, and nobody else could take over.
 */

#include <jansson.h>
#include <stddef.h>

#include "limit/bucket.h"
#include "limit/share.h"

enum {
    MR_LEASE_NAME_MAX = 129,
    MR_LEASE_SUCCESSORS_MAX = 2,
    MR_LEASE_MS = 3000,
    MR_LEASE_RENEW_MS = 1000,
    /* Must be shorter than the lease: a successor that restarts has lost its
     * promise, but waits for the whole lease again. */
    MR_LEASE_PROMISE_MS = 2000,
    MR_LEASE_OUTAGE_MS = 300000,
};

typedef struct mr_lease_row {
    int64_t revision;              /* 0: the row does not exist */
    char owner[MR_LEASE_NAME_MAX]; /* "": released */
    int64_t process;               /* random id of the owner's process */
    int64_t epoch;
    char successors[MR_LEASE_SUCCESSORS_MAX][MR_LEASE_NAME_MAX];
    size_t successor_count;
    mr_ms_t lease; /* duration */
} mr_lease_row_t;

bool mr_lease_row_parse(json_t *value, int64_t revision, mr_lease_row_t *row);

/** mr_lease_row_format() - the row's value as a new reference. */
json_t *mr_lease_row_format(const mr_lease_row_t *row);

typedef struct mr_lease mr_lease_t;

/** mr_lease_create() - @process: random id of this process, not 0. */
mr_lease_t *mr_lease_create(const char *name, int64_t process);
void mr_lease_destroy(mr_lease_t *lease);

/**
 * mr_lease_plan() - decide the next step
 * @order: usable members in rendezvous order for the shard
 * @draining: a drain releases the lease now if this instance owns it; the
 *            instance does not take it again
 * @out: receives the row to write; its revision is the expected one
 */
mr_row_action_t mr_lease_plan(mr_lease_t *lease, const char *const *order,
                              size_t count, bool draining, mr_ms_t now,
                              mr_lease_row_t *out);

/** mr_lease_read() - report the result of a read; @row NULL: it failed. */
void mr_lease_read(mr_lease_t *lease, const mr_lease_row_t *row, mr_ms_t now);

/** mr_lease_written() - report the result of a write; @revision: the row's new
 * revision if it succeeded. */
void mr_lease_written(mr_lease_t *lease, mr_row_result_t result,
                      int64_t revision, mr_ms_t now);

/** mr_lease_held() - whether grants may be issued at @now. */
bool mr_lease_held(const mr_lease_t *lease, mr_ms_t now);

/** mr_lease_epoch() - epoch of the lease if this process owns it; otherwise
 * 0. */
int64_t mr_lease_epoch(const mr_lease_t *lease);

/** mr_lease_acquired_at() - when the write that acquired the lease was sent.
 */
mr_ms_t mr_lease_acquired_at(const mr_lease_t *lease);

/** mr_lease_is_successor() - whether the row lists this instance as a
 * successor. */
bool mr_lease_is_successor(const mr_lease_t *lease);

/** mr_lease_owner() - owner in the row as last read or written; "": unknown or
 * released. */
const char *mr_lease_owner(const mr_lease_t *lease);

/**
 * mr_lease_promise_due() - the next listed successor that needs a request for
 * a promise
 *
 * Return: its name, or NULL if no request is due now.
 */
const char *mr_lease_promise_due(mr_lease_t *lease, mr_ms_t now);

/** mr_lease_promise_received() - report that @successor answered a request
 * sent at @sent with a promise for @promised ms; 0: it refused. */
void mr_lease_promise_received(mr_lease_t *lease, const char *successor,
                               mr_ms_t sent, mr_ms_t promised);

/** mr_lease_make_promise() - promise the owner of @epoch not to take over.
 * Returns the duration of the promise; 0: no promise is made. */
mr_ms_t mr_lease_make_promise(mr_lease_t *lease, int64_t epoch, mr_ms_t now);

#endif
