#ifndef MR_GROUP_PROMOTION_H
#define MR_GROUP_PROMOTION_H

/*
 * One attempt to promote a new primary for a group: obtains grants for a term
 * from a majority of the targets, then promotes the granting target with the
 * most advanced log. No state outlives the attempt, so any number of proposers
 * may run concurrently; a proposer that crashes leaves at most a term without
 * a primary.
 */

#include "group/view.h"

typedef struct mr_promotion mr_promotion_t;

/** Result of an attempt. */
typedef struct mr_promotion_result {
    bool promoted;
    int64_t term;
    size_t candidate;   /* MR_VIEW_NONE when nothing was promoted */
    int64_t known_term; /* highest term that a target reported */
    mr_ms_t grant_ms;   /* from the start until a majority had granted */
    mr_ms_t promote_ms; /* from the start until the candidate answered */
} mr_promotion_result_t;

/** mr_promotion_fn_t - called when the attempt has ended; the callback may
 * destroy the attempt. */
typedef void (*mr_promotion_fn_t)(void *ctx,
                                  const mr_promotion_result_t *result);

/** mr_promotion_state_fn_t - called for each reply that carries a log state.
 */
typedef void (*mr_promotion_state_fn_t)(void *ctx, size_t index,
                                        const mr_log_state_t *state,
                                        mr_ms_t sent_at);

/** mr_promotion_acquire_fn_t - hands over an idle connection to a target, so
 * that the attempt need not open one; NULL when there is none. */
typedef mr_target_conn_t *(*mr_promotion_acquire_fn_t)(void *ctx,
                                                       size_t index);

/** mr_promotion_release_fn_t - receives a usable connection, acquired or
 * opened by the attempt, that it no longer needs; the callee owns it from here
 * on. */
typedef void (*mr_promotion_release_fn_t)(void *ctx, size_t index,
                                          mr_target_conn_t *conn);

typedef struct mr_promotion_options {
    struct event_base *base;
    /* All targets of the group; the strings must outlive the attempt. */
    const char *const *addresses;
    /* Leaving targets; of two equal logs, that of another target is preferred.
     */
    const bool *leaving;
    size_t count;
    int64_t term; /* term to request */
    mr_promotion_fn_t fn;
    mr_promotion_state_fn_t on_state;
    mr_promotion_acquire_fn_t acquire_conn;
    mr_promotion_release_fn_t release_conn;
    void *ctx;
} mr_promotion_options_t;

mr_promotion_t *mr_promotion_start(const mr_promotion_options_t *options);

/** mr_promotion_destroy() - abort the attempt; its callbacks are not called
 * afterwards, except release_conn. */
void mr_promotion_destroy(mr_promotion_t *promotion);

#endif
