#ifndef MR_TESTS_HARNESS_RATE_H
#define MR_TESTS_HARNESS_RATE_H

/* Helpers for the tests of rate and burst (property P7). Appends run at most
 * once, so each execution in the targets' records is one admission. */

#include "harness.h"

extern const char *const rate_data_centres[]; /* three data centres */

/** rate_start() - start a fleet with full buckets; both accounts have the
 * limit of @rate and @burst. */
harness_t *rate_start(int64_t rate, int64_t burst);

/** rate_demand() - start callers of account-0 that demand several times its
 * rate, in data centre @data_centre; NULL: in all data centres. */
harness_caller_group_t *rate_demand(harness_t *h, const char *data_centre);

/** rate_move_demand() - run with the whole demand in one data centre after
 * another.
 */
void rate_move_demand(harness_t *h, int rounds);

/** rate_limiter() - the process in data centre @data_centre that owns the
 * lease of account-0's shard. */
harness_process_t *rate_limiter(harness_t *h, const char *data_centre);

/** rate_finish() - check the trace and the targets' records, and stop the
 * fleet. */
void rate_finish(harness_t *h);

#endif
