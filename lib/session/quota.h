#ifndef MR_SESSION_QUOTA_H
#define MR_SESSION_QUOTA_H

/*
 * Limits of client accounts on operations. An instance draws tokens from the
 * coordinator's buckets and keeps a small stock of them; an instance without a
 * coordinator admits no more than an equal part of the rate.
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

/** mr_quota_wants() - what to draw from the coordinator; returns the number
 * written, up to @max. Names are borrowed. */
size_t mr_quota_wants(mr_quota_t *quota, mr_msg_draw_t *out, size_t max);

/** mr_quota_add() - tokens drawn of account @name. */
void mr_quota_add(mr_quota_t *quota, const char *name, int64_t milli);

/** mr_quota_coordinated() - until @expiry the coordinator's tokens count; an
 * earlier stock is kept only while this never lapses. */
void mr_quota_coordinated(mr_quota_t *quota, mr_ms_t expiry);

/** mr_quota_total() - rate and burst of account @name over all instances;
 * false when it is not known. */
bool mr_quota_total(const mr_quota_t *quota, const char *name,
                    mr_limit_amount_t *total);

/** mr_quota_is_coordinated() - whether the coordinator can still be asked. */
bool mr_quota_is_coordinated(const mr_quota_t *quota);

/**
 * mr_quota_take() - admit one operation of account @name
 * @again: it was asked for before
 *
 * Return: 0 when it is admitted; otherwise how long until a token is due, in
 * milliseconds.
 */
mr_ms_t mr_quota_take(mr_quota_t *quota, const char *name, bool again);

/** mr_quota_waiting() - change the number of operations that wait for a token
 * of account @name. */
void mr_quota_waiting(mr_quota_t *quota, const char *name, int change);

#endif
