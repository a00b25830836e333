#include "common/timer.h"

#include <sodium.h>

void
mr_timer_start(struct event *timer, mr_ms_t after)
{
    struct timeval tv = mr_clock_timeval(after);

    evtimer_add(timer, &tv);
}

mr_ms_t
mr_timer_backoff(mr_ms_t first, mr_ms_t max, int tries)
{
    mr_ms_t pause = first;

    for (int i = 0; i < tries && pause < max; i++) {
        pause *= 2;
    }
    return pause < max ? pause : max;
}

mr_ms_t
mr_timer_jitter(mr_ms_t pause)
{
    return pause / 2 + (mr_ms_t)randombytes_uniform((uint32_t)pause);
}
