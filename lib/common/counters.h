#ifndef MR_COMMON_COUNTERS_H
#define MR_COMMON_COUNTERS_H

#include <event2/buffer.h>
#include <stdint.h>

/** Set of the counters and gauges of a process. */
typedef struct mr_counters mr_counters_t;

/** One counter or gauge; owned by its set. */
typedef struct mr_counter mr_counter_t;

mr_counters_t *mr_counters_create(void);
void mr_counters_destroy(mr_counters_t *counters);

/**
 * mr_counters_get() - find or create a counter
 * @counters: set to search
 * @name: metric name; ends in _total for counters
 * @labels: label pairs such as kind="x", or "" for none
 * @help: one line that describes the metric; the text of the first call is
 *        kept
 *
 * Return: the counter, which is valid as long as its set.
 */
mr_counter_t *mr_counters_get(mr_counters_t *counters, const char *name,
                              const char *labels, const char *help);

void mr_counter_add(mr_counter_t *counter, int64_t amount);
void mr_counter_set(mr_counter_t *counter, int64_t value);
int64_t mr_counter_value(const mr_counter_t *counter);

/** mr_counters_write() - append all metrics to @out in the Prometheus text
 * format. */
void mr_counters_write(const mr_counters_t *counters, struct evbuffer *out);

#endif
