#ifndef MR_GROUP_PROMOTION_H
#define MR_GROUP_PROMOTION_H

/*
 * One attempt to give a group a new primary: obtains a term from a majority of
 * the targets, then promotes the member of that majority with the highest log.
 * It keeps no state beyond the attempt, so any number of proposers may run at
 * once, and one that dies leaves only a term without a primary.
 */

#include "group/view.h"

typedef struct mr_promotion mr_promotion_t;

/** Result of an attempt. */
typedef struct mr_promotion_result {
    bool promoted;
    int64_t term;
    size_t winner;      /* MR_VIEW_NONE when nothing was promoted */
    int64_t known_term; /* highest term that a target reported */
    mr_ms_t grant_ms;   /* time until a majority had granted */
    mr_ms_t promote_ms; /* time until the winner had answered */
} mr_promotion_result_t;

/** mr_promotion_fn_t - the attempt has ended; it may be destroyed here. */
typedef void (*mr_promotion_fn_t)(void *ctx,
                                  const mr_promotion_result_t *result);

/** mr_promotion_state_fn_t - a target answered with its log state. */
typedef void (*mr_promotion_state_fn_t)(void *ctx, size_t index,
                                        const mr_log_state_t *state,
                                        mr_ms_t sent_at);

/** mr_promotion_take_fn_t - lend an idle connection to a target, so that none
 * has to be opened; NULL when there is none. */
typedef mr_target_conn_t *(*mr_promotion_take_fn_t)(void *ctx, size_t index);

/** mr_promotion_return_fn_t - a connection that is no longer needed and still
 * usable, lent or opened by the attempt; to be kept or destroyed. */
typedef void (*mr_promotion_return_fn_t)(void *ctx, size_t index,
                                         mr_target_conn_t *conn);

typedef struct mr_promotion_options {
    struct event_base *base;
    /* Of all targets of the group; the strings must outlive the attempt. */
    const char *const *addresses;
    const bool *leaving; /* targets that should not win a tie */
    size_t count;
    int64_t term; /* to obtain */
    mr_promotion_fn_t fn;
    mr_promotion_state_fn_t on_state;
    mr_promotion_take_fn_t take;
    mr_promotion_return_fn_t give_back;
    void *ctx;
} mr_promotion_options_t;

mr_promotion_t *mr_promotion_start(const mr_promotion_options_t *options);

/** mr_promotion_destroy() - give up; no callback follows. */
void mr_promotion_destroy(mr_promotion_t *promotion);

#endif
