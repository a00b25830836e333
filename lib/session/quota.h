#ifndef MR_SESSION_QUOTA_H
#define MR_SESSION_QUOTA_H

/*
 * Rate limits of the client accounts. An instance draws tokens from the
 * coordinator's buckets and keeps a small reserve of them. An instance without
 * a coordinator admits no more than an equal share of the rate.
 */

#include <stdbool.h>

#include "common/clock.h"
#include "common/counters.h"
#include "limit/bucket.h"
#include "session/catalog.h"
#include "wire/msg.h"

typedef struct mr_quota mr_quota_t;

mr_quota_t *mr_quota_create(const mr_clock_t *clock, mr_counters_t *counters);
void mr_quota_destroy(mr_quota_t *quota);

/** mr_quota_set_catalog() - set the accounts, rates and bursts. */
void mr_quota_set_catalog(mr_quota_t *quota, const mr_catalog_t *catalog);

/** mr_quota_set_instances() - number of instances that may admit operations.
 */
void mr_quota_set_instances(mr_quota_t *quota, size_t instances);

/** mr_quota_token_requests() - list the tokens to draw from the coordinator;
 * returns the number of entries, up to @max. Names are borrowed. Each call
 * also updates the average demand with the operations since the previous one.
 */
size_t mr_quota_token_requests(mr_quota_t *quota, mr_msg_draw_t *out,
                               size_t max);

/** mr_quota_round() - number of calls of mr_quota_token_requests() so far. The
 * answer to the last one covers the operations that waited by then. */
int64_t mr_quota_round(const mr_quota_t *quota);

/** mr_quota_add_tokens() - add tokens drawn for account @name, in thousandths.
 */
void mr_quota_add_tokens(mr_quota_t *quota, const char *name, int64_t milli);

/** mr_quota_set_coordinated_until() - drawn tokens are valid until @expiry. If
 * it passes without a later one being set, all reserves are dropped. */
void mr_quota_set_coordinated_until(mr_quota_t *quota, mr_ms_t expiry);

/** mr_quota_account_limit() - rate and burst of account @name, for all
 * instances together; false if it is not known. */
bool mr_quota_account_limit(const mr_quota_t *quota, const char *name,
                            mr_limit_amount_t *limit);

/** mr_quota_is_coordinated() - whether the coordinator's tokens are valid. */
bool mr_quota_is_coordinated(const mr_quota_t *quota);

/**
 * mr_quota_admit() - admit one operation of account @name
 * @retry: the operation was refused before, so it is not counted as demand
 *         again
 *
 * Return: 0 if it is admitted; otherwise the expected time until the next
 * token, in milliseconds.
 */
mr_ms_t mr_quota_admit(mr_quota_t *quota, const char *name, bool retry);

/** mr_quota_add_waiting() - change the number of operations that wait for a
 * token of account @name. */
void mr_quota_add_waiting(mr_quota_t *quota, const char *name, int change);

#endif
