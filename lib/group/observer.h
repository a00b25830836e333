#ifndef MR_GROUP_OBSERVER_H
#define MR_GROUP_OBSERVER_H

/*
 * Observes all targets of one group: probes them, ends waits when their
 * conditions are met, for example that a write is acknowledged, and starts
 * elections.
 */

#include "common/counters.h"
#include "config/model.h"
#include "group/view.h"
#include "member/member.h"
#include "wire/peer.h"

typedef struct mr_observer mr_observer_t;
typedef struct mr_observer_wait mr_observer_wait_t;

/** mr_observer_promoted_fn_t - this observer promoted @target. */
typedef void (*mr_observer_promoted_fn_t)(void *ctx, const char *group,
                                          int64_t term, const char *target);

typedef struct mr_observer_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_peer_t *peer;
    mr_members_t *members;
    const char *name; /* of this instance */
    mr_observer_promoted_fn_t on_promoted;
    /* Whether this instance has writes in progress at the group's primary that
     * a failover would interrupt. */
    bool (*is_writing)(void *ctx, const char *group);
    void *ctx;
} mr_observer_options_t;

/** mr_observer_fn_t - a wait has ended; @ok is false when its deadline passed
 * or its condition can no longer be met. */
typedef void (*mr_observer_fn_t)(void *ctx, bool ok);

mr_observer_t *mr_observer_create(const mr_observer_options_t *options,
                                  const mr_config_group_t *group);
void mr_observer_destroy(mr_observer_t *observer);

/** mr_observer_update() - apply a changed group configuration. A different
 * list of targets discards all observed state. */
void mr_observer_update(mr_observer_t *observer,
                        const mr_config_group_t *group);

const mr_view_t *mr_observer_view(const mr_observer_t *observer);
const char *mr_observer_target_name(const mr_observer_t *observer,
                                    size_t index);

/** mr_observer_primary() - name and term of the reachable primary, or NULL; a
 * leaving primary is returned only if @include_leaving. */
const char *mr_observer_primary(const mr_observer_t *observer, int64_t *term,
                                bool include_leaving);

/** mr_observer_report() - record the log state from an answer to a request
 * other than a probe. */
void mr_observer_report(mr_observer_t *observer, size_t index,
                        const mr_log_state_t *state, mr_ms_t sent_at);

/** mr_observer_report_failure() - a statement's connection failed or the
 * target refused it; the target is probed immediately. */
void mr_observer_report_failure(mr_observer_t *observer, size_t index);

/** The condition that a wait is for. */
typedef enum mr_observer_wait_kind {
    MR_WAIT_ACKNOWLEDGED, /* enough replicas hold (term, position) */
    MR_WAIT_CONFIRMED,    /* a majority answers probes sent from now on without
                             a term above @term */
    MR_WAIT_COVERED,      /* target @index covers (term, position) */
    MR_WAIT_PRIMARY,      /* a reachable primary, not leaving, of a term above
                             @term */
} mr_observer_wait_kind_t;

typedef struct mr_observer_condition {
    mr_observer_wait_kind_t kind;
    int64_t term;
    int64_t position;
    size_t index; /* target that is to cover, or that executed the write */
    mr_ms_t deadline;
} mr_observer_condition_t;

/**
 * mr_observer_wait() - wait for a condition
 *
 * Return: the wait. It ends with exactly one callback, never from within this
 * function, or with mr_observer_cancel().
 */
mr_observer_wait_t *mr_observer_wait(mr_observer_t *observer,
                                     const mr_observer_condition_t *condition,
                                     mr_observer_fn_t fn, void *ctx);
void mr_observer_cancel(mr_observer_wait_t *wait);

/** mr_observer_status() - status object for the admin endpoint; returns a new
 * reference. */
json_t *mr_observer_status(const mr_observer_t *observer);

#endif
