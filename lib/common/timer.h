#ifndef MR_COMMON_TIMER_H
#define MR_COMMON_TIMER_H

/* Timers of the event loop, and pauses between attempts. */

#include <event2/event.h>

#include "common/clock.h"

/** mr_timer_start() - (re)start @timer; it fires after @after. */
void mr_timer_start(struct event *timer, mr_ms_t after);

/** mr_timer_pause() - @first, doubled for each of @tries, at most @max. */
mr_ms_t mr_timer_pause(mr_ms_t first, mr_ms_t max, int tries);

/** mr_timer_jitter() - from half of @pause to one and a half, against attempts
 * in step. */
mr_ms_t mr_timer_jitter(mr_ms_t pause);

#endif
