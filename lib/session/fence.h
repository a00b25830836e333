#ifndef MR_SESSION_FENCE_H
#define MR_SESSION_FENCE_H

/*
 * Fencing tokens for the promotions of one service. A token is the revision of
 * a row in the store that each request writes, so no two requests get the same
 * one, and a later request gets a higher one: see mr_revision_number(). One
 * token is kept in reserve, for a promotion while the store is unreachable.
 */

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "session/store.h"

typedef struct mr_fence mr_fence_t;

typedef struct mr_fence_options {
    mr_store_t *store;
    const char *service;
    const char *instance; /* name of this instance */
} mr_fence_options_t;

mr_fence_t *mr_fence_create(const mr_fence_options_t *options);
/** mr_fence_destroy() - the store must not call back any more. */
void mr_fence_destroy(mr_fence_t *fence);

/** mr_fence_request() - request a token that is newer than the one in reserve.
 * Does nothing while a request is in progress. */
void mr_fence_request(mr_fence_t *fence, mr_ms_t now);

/** mr_fence_refill() - request a token if there is none in reserve and the
 * last request was some time ago. */
void mr_fence_refill(mr_fence_t *fence, mr_ms_t now);

/** mr_fence_has_reserve() - whether there is a token in reserve that can be
 * used. */
bool mr_fence_has_reserve(const mr_fence_t *fence);

/** mr_fence_drop_reserve() - another instance may take and use higher tokens
 * from now on. */
void mr_fence_drop_reserve(mr_fence_t *fence);

/** mr_fence_waiting() - whether the store may still answer a request in time.
 */
bool mr_fence_waiting(const mr_fence_t *fence, mr_ms_t now);

/** mr_fence_take() - take the newest token; 0: there is none of the store's
 * present era that is above @used, the highest token that is known to have
 * been used. */
int64_t mr_fence_take(mr_fence_t *fence, int64_t used);

/** mr_fence_is_current() - whether @token is of the store's present era.
 * Otherwise another instance may have used a higher one. */
bool mr_fence_is_current(const mr_fence_t *fence, int64_t token);

#endif
