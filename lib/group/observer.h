#ifndef MR_GROUP_OBSERVER_H
#define MR_GROUP_OBSERVER_H

/*
 * Watches all targets of one group: probes them, answers waits for the
 * acknowledgement rule and for confirmed reads, and orders promotions.
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
    /* Whether this instance has writes in progress at the group's leaving
     * primary; a change of the primary would cut them off. */
    bool (*is_writing)(void *ctx, const char *group);
    void *ctx;
} mr_observer_options_t;

/** mr_observer_fn_t - a wait has ended; @ok is false at its deadline or when
 * it can no longer be met. */
typedef void (*mr_observer_fn_t)(void *ctx, bool ok);

mr_observer_t *mr_observer_create(const mr_observer_options_t *options,
                                  const mr_config_group_t *group);
void mr_observer_destroy(mr_observer_t *observer);

/** mr_observer_update() - the group's description changed. A different list
 * of targets starts the observation anew. */
void mr_observer_update(mr_observer_t *observer,
                        const mr_config_group_t *group);

const mr_view_t *mr_observer_view(const mr_observer_t *observer);
const char *mr_observer_target_name(const mr_observer_t *observer,
                                    size_t index);

/** mr_observer_primary() - name and term of the usable primary, or NULL; a
 * primary that leaves is usable only when @leaving_too. */
const char *mr_observer_primary(const mr_observer_t *observer, int64_t *term,
                                bool leaving_too);

/** mr_observer_report() - log state from an answer to a statement. */
void mr_observer_report(mr_observer_t *observer, size_t index,
                        const mr_log_state_t *state, mr_ms_t sent_at);

/** mr_observer_report_failure() - a statement's connection broke; the target
 * is probed at once. */
void mr_observer_report_failure(mr_observer_t *observer, size_t index);

/** What a wait is for. */
typedef enum mr_observer_wait_kind {
    MR_WAIT_ACKNOWLEDGED, /* enough replicas hold (term, position) */
    MR_WAIT_CONFIRMED,    /* a majority has no term above @term from now on */
    MR_WAIT_COVERED,      /* target @index holds (term, position) */
    MR_WAIT_PRIMARY,      /* a usable primary of a term above @term */
} mr_observer_wait_kind_t;

typedef struct mr_observer_condition {
    mr_observer_wait_kind_t kind;
    int64_t term;
    int64_t position;
    size_t index; /* of the covering target, or of the one that executed */
    mr_ms_t deadline;
} mr_observer_condition_t;

/**
 * mr_observer_wait() - wait for a condition
 *
 * Return: the wait; it ends with exactly one callback, never before this
 * function returns, or with mr_observer_cancel().
 */
mr_observer_wait_t *mr_observer_wait(mr_observer_t *observer,
                                     const mr_observer_condition_t *condition,
                                     mr_observer_fn_t fn, void *ctx);
void mr_observer_cancel(mr_observer_wait_t *wait);

/** mr_observer_status() - for the admin endpoint; a new reference. */
json_t *mr_observer_status(const mr_observer_t *observer);

#endif
