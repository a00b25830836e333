#include "common/histogram.h"

#include <stdlib.h>

#include "common/mem.h"

/* Upper bounds in milliseconds, from one network round trip to the longest
 * time that clients wait. From 5 on, each is at most twice the one before. */
static const mr_ms_t bounds[MR_HISTOGRAM_BUCKETS] = {
    2, 5, 10, 20, 35, 50, 75, 100, 150, 250, 500, 1000, 2000, 4000};

mr_histogram_t
mr_histogram_create(mr_counters_t *counters, const char *name,
                    const char *labels, const char *help)
{
    mr_histogram_t histogram;
    const char *comma = labels[0] != '\0' ? "," : "";
    char *bucket = mr_asprintf("%s_bucket", name);
    char *sum = mr_asprintf("%s_sum", name);
    char *count = mr_asprintf("%s_count", name);

    for (int i = 0; i <= MR_HISTOGRAM_BUCKETS; i++) {
        char *le = i < MR_HISTOGRAM_BUCKETS
                       ? mr_asprintf("%s%sle=\"%lld\"", labels, comma,
                                     (long long)bounds[i])
                       : mr_asprintf("%s%sle=\"+Inf\"", labels, comma);
        histogram.buckets[i] = mr_counters_get(counters, bucket, le, help);
        free(le);
    }
    histogram.sum = mr_counters_get(counters, sum, labels, help);
    histogram.count = mr_counters_get(counters, count, labels, help);
    free(bucket);
    free(sum);
    free(count);
    return histogram;
}

void
mr_histogram_add(mr_histogram_t *histogram, mr_ms_t value)
{
    for (int i = 0; i < MR_HISTOGRAM_BUCKETS; i++) {
        if (value <= bounds[i]) {
            mr_counter_add(histogram->buckets[i], 1);
        }
    }
    mr_counter_add(histogram->buckets[MR_HISTOGRAM_BUCKETS], 1);
    mr_counter_add(histogram->sum, value);
    mr_counter_add(histogram->count, 1);
}
