#include "common/clock.h"

#include <assert.h>
#include <time.h>

static const mr_clock_t system_clock = {.kind = MR_CLOCK_SYSTEM};

static mr_ms_t
read_clock(clockid_t id)
{
    struct timespec ts;
    int rc = clock_gettime(id, &ts);

    assert(rc == 0);
    (void)rc;
    return (mr_ms_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

const mr_clock_t *
mr_clock_system(void)
{
    return &system_clock;
}

mr_ms_t
mr_clock_now(const mr_clock_t *clock)
{
    if (clock == NULL) {
        clock = &system_clock;
    }
    switch (clock->kind) {
    case MR_CLOCK_MANUAL:
        return clock->u.manual.now;
    case MR_CLOCK_SYSTEM:
        break;
    }
    /* CLOCK_BOOTTIME includes the time that the system was suspended, so that
     * a lease expires during a suspension as well. */
    return read_clock(CLOCK_BOOTTIME);
}

mr_ms_t
mr_clock_wall(void)
{
    return read_clock(CLOCK_REALTIME);
}

struct timeval
mr_clock_timeval(mr_ms_t ms)
{
    if (ms < 0) {
        ms = 0;
    }
    return (struct timeval){.tv_sec = ms / 1000,
                            .tv_usec = (ms % 1000) * 1000};
}
