#ifndef MR_COMMON_HISTOGRAM_H
#define MR_COMMON_HISTOGRAM_H

#include "common/clock.h"
#include "common/counters.h"

enum { MR_HISTOGRAM_BUCKETS = 14 };

/** Latency histogram in the Prometheus format: a counter for each cumulative
 * bucket, whose upper bound is in milliseconds, and counters for the sum and
 * the count of values. */
typedef struct mr_histogram {
    mr_counter_t *buckets[MR_HISTOGRAM_BUCKETS + 1]; /* the last: "+Inf" */
    mr_counter_t *sum;
    mr_counter_t *count;
} mr_histogram_t;

/** mr_histogram_create() - find or create the counters of the histogram @name;
 * @labels: as for mr_counters_get(). */
mr_histogram_t mr_histogram_create(mr_counters_t *counters, const char *name,
                                   const char *labels, const char *help);
void mr_histogram_add(mr_histogram_t *histogram, mr_ms_t value);

#endif
