#ifndef MR_TESTS_PRECISE_LOOP_H
#define MR_TESTS_PRECISE_LOOP_H

#include <event2/event.h>
#include <stdlib.h>

/**
 * precise_loop_create() - create an event loop with high-resolution timers
 *
 * By default, libevent uses a clock that advances once per kernel tick (4 ms
 * at 250 Hz). Statements and delays of 1 ms would then take up to 5 ms, and
 * the arrivals of a load would be late by as much.
 */
static inline struct event_base *
precise_loop_create(void)
{
    struct event_config *config = event_config_new();
    struct event_base *base = NULL;

    if (config != NULL) {
        event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
        base = event_base_new_with_config(config);
        event_config_free(config);
    }
    if (base == NULL) {
        abort();
    }
    return base;
}

#endif
