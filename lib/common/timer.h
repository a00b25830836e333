#ifndef MR_COMMON_TIMER_H
#define MR_COMMON_TIMER_H

/* Timers of the event loop, and backoff between retries. */

#include <event2/event.h>

#include "common/clock.h"

/** mr_timer_start() - start or restart @timer, which fires after @after. */
void mr_timer_start(struct event *timer, mr_ms_t after);

/** mr_timer_backoff() - return the delay before the next retry: @first,
 * doubled for each of @tries, at most @max. */
mr_ms_t mr_timer_backoff(mr_ms_t first, mr_ms_t max, int tries);

/** mr_timer_jitter() - return a random delay between half of @pause and one
 * and a half times @pause, so that processes do not retry at the same time. */
mr_ms_t mr_timer_jitter(mr_ms_t pause);

#endif
