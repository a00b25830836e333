#ifndef MR_TESTS_HARNESS_RATE_H
#define MR_TESTS_HARNESS_RATE_H

/* What the tests of rate and burst (P7) share. Appends run at most once, so
 * that each execution in the targets' records is one admission. */

#include "harness.h"

extern const char *const rate_places[]; /* three data centres */

/** rate_start() - a fleet with full buckets; both accounts have this limit. */
harness_t *rate_start(int64_t rate, int64_t burst);

/** rate_demand() - several times the rate of account-0, all of it from @place,
 * or from everywhere when that is NULL. */
harness_caller_t *rate_demand(harness_t *h, const char *place);

/** rate_jump() - all demand at one data centre after the other. */
void rate_jump(harness_t *h, int rounds);

/** rate_limiter() - the process of @place that holds the lease of account-0's
 * shard. */
harness_process_t *rate_limiter(harness_t *h, const char *place);

/** rate_finish() - check trace and targets' records, and end the fleet. */
void rate_finish(harness_t *h);

#endif
