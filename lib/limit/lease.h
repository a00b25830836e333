#ifndef MR_LIMIT_LEASE_H
#define MR_LIMIT_LEASE_H

/*
 * Decisions about the row limiter/{data centre}/{shard}, which names the
 * limiter of a shard of accounts. The driver does the reads, writes and peer
 * messages that mr_lease_plan() and mr_lease_promise_due() ask for.
 *
 * A named successor takes over when it has seen the row unchanged for the
 * lease, on its own clock. An instance that is not named waits a further
 * MR_LEASE_OUTAGE_MS. While the store is out, the owner goes on for at most
 * that time and only while every named successor promises not to take over. An
 * owner that restarts is not named, as its former process may only be paused;
 * but when nobody is named, its name stands for one process at a time and it
 * takes the lease back at once.
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
    /* A successor that restarted has forgotten its promise, but waits for the
     * whole lease; a promise must not outlast that. */
    MR_LEASE_PROMISE_MS = 2000,
    MR_LEASE_OUTAGE_MS = 300000,
};

typedef struct mr_lease_row {
    int64_t revision;              /* 0: the row does not exist */
    char owner[MR_LEASE_NAME_MAX]; /* "": released */
    int64_t process;               /* random number of the owner's process */
    int64_t epoch;
    char successors[MR_LEASE_SUCCESSORS_MAX][MR_LEASE_NAME_MAX];
    size_t successor_count;
    mr_ms_t lease;
} mr_lease_row_t;

bool mr_lease_row_parse(json_t *value, int64_t revision, mr_lease_row_t *row);

/** mr_lease_row_format() - the row's value; a new reference. */
json_t *mr_lease_row_format(const mr_lease_row_t *row);

typedef struct mr_lease mr_lease_t;

/** mr_lease_create() - @process: random number of this process, not 0. */
mr_lease_t *mr_lease_create(const char *name, int64_t process);
void mr_lease_destroy(mr_lease_t *lease);

/**
 * mr_lease_plan() - decide the next step
 * @order: usable members in rendezvous order for the shard
 * @draining: this instance leaves; a held lease is released
 * @out: receives the row to write; its revision is the expected one
 */
mr_share_action_t mr_lease_plan(mr_lease_t *lease, const char *const *order,
                                size_t count, bool draining, mr_ms_t now,
                                mr_lease_row_t *out);
void mr_lease_read(mr_lease_t *lease, const mr_lease_row_t *row, mr_ms_t now);
void mr_lease_written(mr_lease_t *lease, mr_share_result_t result,
                      int64_t revision, mr_ms_t now);

/** mr_lease_held() - whether grants may be given at @now. */
bool mr_lease_held(const mr_lease_t *lease, mr_ms_t now);

/** mr_lease_epoch() - epoch of the own tenure; 0: not the owner. */
int64_t mr_lease_epoch(const mr_lease_t *lease);

/** mr_lease_acquired_at() - when the write that took the lease was sent. */
mr_ms_t mr_lease_acquired_at(const mr_lease_t *lease);

/** mr_lease_is_successor() - whether the row names this instance as a
 * successor. */
bool mr_lease_is_successor(const mr_lease_t *lease);

/** mr_lease_owner() - owner by the row as last seen, "" when unknown. */
const char *mr_lease_owner(const mr_lease_t *lease);

/**
 * mr_lease_promise_due() - the next named successor to ask for a promise
 *
 * Return: its name, or NULL when none is to be asked now.
 */
const char *mr_lease_promise_due(mr_lease_t *lease, mr_ms_t now);

/** mr_lease_promise_received() - @successor answered a request sent at @sent.
 */
void mr_lease_promise_received(mr_lease_t *lease, const char *successor,
                               mr_ms_t sent, mr_ms_t promised);

/** mr_lease_make_promise() - promise not to take over from the owner of
 * @epoch; returns for how long, 0: no promise. */
mr_ms_t mr_lease_make_promise(mr_lease_t *lease, int64_t epoch, mr_ms_t now);

#endif
