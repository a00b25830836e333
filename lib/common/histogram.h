#ifndef MR_COMMON_HISTOGRAM_H
#define MR_COMMON_HISTOGRAM_H

#include "common/clock.h"
#include "common/counters.h"

enum { MR_HISTOGRAM_BUCKETS = 14 };

/** Latency histogram over counters, in the form that metric scrapers read:
 * cumulative buckets with an upper bound in milliseconds, sum and count. */
typedef struct mr_histogram {
    mr_counter_t *buckets[MR_HISTOGRAM_BUCKETS + 1]; /* the last: no bound */
    mr_counter_t *sum;
    mr_counter_t *count;
} mr_histogram_t;

/** mr_histogram_create() - find or create the counters of @name with
 * @labels, "" for none. */
mr_histogram_t mr_histogram_create(mr_counters_t *counters, const char *name,
                                   const char *labels, const char *help);
void mr_histogram_add(mr_histogram_t *histogram, mr_ms_t value);

#endif
