#ifndef MR_COMMON_CLOCK_H
#define MR_COMMON_CLOCK_H

#include <stdint.h>
#include <sys/time.h>

/** A point in time or a duration, in milliseconds. */
typedef int64_t mr_ms_t;

/** Time source of a clock. */
typedef enum mr_clock_kind {
    MR_CLOCK_SYSTEM,
    MR_CLOCK_MANUAL,
} mr_clock_kind_t;

/**
 * struct mr_clock - monotonic clock that a test can replace
 *
 * Modules that compare times take a clock, so that tests of leases and grants
 * do not need to sleep.
 */
typedef struct mr_clock {
    mr_clock_kind_t kind;
    union {
        struct {
            mr_ms_t now;
        } manual;
    } u;
} mr_clock_t;

/** mr_clock_system() - return the shared system clock. */
const mr_clock_t *mr_clock_system(void);

/**
 * mr_clock_now() - return the current time of a clock
 * @clock: clock to read; NULL: the system clock
 *
 * Return: milliseconds since an arbitrary point; never decreases.
 */
mr_ms_t mr_clock_now(const mr_clock_t *clock);

/** mr_clock_wall() - return the wall clock time in milliseconds since 1970,
 * for audit records, logs and incarnations. */
mr_ms_t mr_clock_wall(void);

/** mr_clock_timeval() - convert @ms to a timeval; a negative value gives 0. */
struct timeval mr_clock_timeval(mr_ms_t ms);

#endif
