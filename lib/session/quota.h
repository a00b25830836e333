#ifndef MR_SESSION_QUOTA_H
#define MR_SESSION_QUOTA_H

/*
 * Limits of client accounts on operations. Each instance holds a share of an
 * account's rate and burst. The coordinator divides the rate by what the
 * instances ask for; a share lapses unless it is renewed, and an instance
 * without one admits no more than an equal part.
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

/** mr_quota_set_catalog() - accounts, rates and bursts in force. */
void mr_quota_set_catalog(mr_quota_t *quota, const mr_catalog_t *catalog);

/** mr_quota_set_instances() - instances that may admit operations. */
void mr_quota_set_instances(mr_quota_t *quota, size_t instances);

/** mr_quota_set_share() - share of @account until @expiry. */
void mr_quota_set_share(mr_quota_t *quota, const char *account,
                        mr_limit_amount_t share, mr_ms_t expiry);

/** mr_quota_demands() - recent demand of each account that has any; returns
 * the number written, up to @max. Names are borrowed. */
size_t mr_quota_demands(mr_quota_t *quota, mr_msg_demand_t *out, size_t max);

/** mr_quota_short() - whether an account ran low since the last call. */
bool mr_quota_short(mr_quota_t *quota);

/** mr_quota_totals() - rate and burst of each account over all instances;
 * returns the number written, up to @max. Names are borrowed. */
size_t mr_quota_totals(const mr_quota_t *quota, mr_msg_share_t *out,
                       size_t max);

/**
 * mr_quota_take() - admit one operation of @account
 *
 * Return: 0 when it is admitted; otherwise how long until a token is due, in
 * milliseconds.
 */
mr_ms_t mr_quota_take(mr_quota_t *quota, const char *account);

#endif
