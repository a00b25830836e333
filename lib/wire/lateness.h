#ifndef MR_WIRE_LATENESS_H
#define MR_WIRE_LATENESS_H

/*
 * Measures how much later than usual a message arrived. The clocks of two
 * instances have no common origin, so the minimum offset between arrival and
 * sending time over the last minutes is taken as that of a message without
 * delay. A message that was held back by a broken link or a paused process
 * exceeds this minimum by its delay, which prevents a request from being run
 * after its caller was told that its outcome is unknown.
 */

#include <stdbool.h>

#include "common/clock.h"

/** State of one link, initialized with zeros. Offsets are arrival times minus
 * sending times. */
typedef struct mr_lateness {
    bool initialized;
    mr_ms_t min_offset;          /* of the current window */
    mr_ms_t previous_min_offset; /* of the previous window */
    mr_ms_t window_start;
    mr_ms_t last_arrival;
} mr_lateness_t;

/**
 * mr_lateness_update() - account for a received message
 * @sent_at: time on the sender's clock
 * @arrived_at: time on the local clock
 *
 * Return: how many milliseconds later than usual the message arrived; 0 or
 *         more.
 */
mr_ms_t mr_lateness_update(mr_lateness_t *lateness, mr_ms_t sent_at,
                           mr_ms_t arrived_at);

#endif
