#ifndef MR_LIMIT_LIMIT_H
#define MR_LIMIT_LIMIT_H

/*
 * Rate limit per account: admits requests with the tokens that this instance
 * holds, requests more from limiters, and runs the limiter role for the shards
 * whose leases this instance holds. The requests admitted by all instances
 * together never exceed an account's rate and burst.
 */

#include "common/counters.h"
#include "config/store.h"
#include "member/member.h"
#include "platform/platform.h"
#include "wire/peer.h"

typedef struct mr_limit mr_limit_t;
typedef struct mr_limit_wait mr_limit_wait_t;

typedef struct mr_limit_options {
    struct event_base *base;
    const mr_clock_t *clock;
    mr_counters_t *counters;
    mr_platform_t *platform;
    mr_peer_t *peer;
    mr_members_t *members;
    mr_config_store_t *config;
    const char *name;
    const char *data_centre;
} mr_limit_options_t;

/** mr_limit_fn_t - end of a wait; @error: MR_OK or MR_ERR_RATE_LIMITED. */
typedef void (*mr_limit_fn_t)(void *ctx, mr_error_kind_t error);

mr_limit_t *mr_limit_create(const mr_limit_options_t *options);
void mr_limit_destroy(mr_limit_t *limit);

/**
 * mr_limit_admit() - take one token of @account
 *
 * Return: NULL if a token was taken at once, and @fn is not called; otherwise
 * a wait, which ends with exactly one call of @fn or with mr_limit_cancel().
 */
mr_limit_wait_t *mr_limit_admit(mr_limit_t *limit,
                                const mr_config_account_t *account,
                                mr_limit_fn_t fn, void *ctx);
void mr_limit_cancel(mr_limit_wait_t *wait);

/** mr_limit_drain() - return grants and release leases before a planned stop.
 */
void mr_limit_drain(mr_limit_t *limit);

/** mr_limit_status() - limit, grants, share and counts of each account, as a
 * new reference. */
json_t *mr_limit_status(const mr_limit_t *limit);

#endif
