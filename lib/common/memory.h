#ifndef MR_COMMON_MEMORY_H
#define MR_COMMON_MEMORY_H

/*
 * Memory in use by the process, compared with its limit. The value is measured
 * by a timer; callers read the cached level.
 */

#include <event2/event.h>
#include <stdint.h>

#include "common/counters.h"

/** How close the process is to its limit. */
typedef enum mr_memory_level {
    MR_MEMORY_NORMAL,
    MR_MEMORY_REFUSING, /* new work is refused */
    MR_MEMORY_CRITICAL, /* memory is freed and given back */
    MR_MEMORY_LEVELS,
} mr_memory_level_t;

enum {
    /* Percent of the limit from which a level holds. The rest is for work that
     * was admitted before, a new desired state beside the present one, and
     * bytes that the kernel has received, which count towards the limit but
     * are not measured. */
    MR_MEMORY_REFUSING_PERCENT = 70,
    MR_MEMORY_CRITICAL_PERCENT = 85,
    /* Percentage points below its threshold at which a level ends. */
    MR_MEMORY_HYSTERESIS_PERCENT = 5,
};

typedef struct mr_memory mr_memory_t;

typedef struct mr_memory_options {
    struct event_base *base; /* NULL: no timer */
    mr_counters_t *counters;
    int64_t limit; /* bytes; 0: not known, and the level stays normal */
} mr_memory_options_t;

mr_memory_t *mr_memory_create(const mr_memory_options_t *options);
void mr_memory_destroy(mr_memory_t *memory);

/** mr_memory_level() - the level at the last measurement. A NULL @memory is
 * at the normal level. */
mr_memory_level_t mr_memory_level(const mr_memory_t *memory);
/** mr_memory_limit() - the limit in bytes; 0: not known. */
int64_t mr_memory_limit(const mr_memory_t *memory);
/** mr_memory_excess() - bytes to be freed before the critical level ends; 0
 * at the other levels. */
int64_t mr_memory_excess(const mr_memory_t *memory);
const char *mr_memory_level_name(mr_memory_level_t level);

/**
 * mr_memory_add_gauge() - update a gauge with each measurement and add it to
 * the log lines about the level
 * @name: metric name, without the prefix "masticrelay_"
 * @read: returns the present value
 */
void mr_memory_add_gauge(mr_memory_t *memory, const char *name,
                         const char *help, int64_t (*read)(void *ctx),
                         void *ctx);

/** mr_memory_set_handler() - call @fn after each measurement; it may free
 * memory. */
void mr_memory_set_handler(mr_memory_t *memory, void (*fn)(void *ctx),
                           void *ctx);

/** mr_memory_set_in_use() - set the level for @in_use bytes; called with each
 * measurement. */
void mr_memory_set_in_use(mr_memory_t *memory, int64_t in_use);

#endif
