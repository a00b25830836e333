#ifndef MR_WIRE_LATENESS_H
#define MR_WIRE_LATENESS_H

/*
 * How much later than usual a message arrived. Clocks of two instances have
 * no common start, but the least difference between time of arrival and time
 * of sending, over the last minutes, stands for a message that was not held
 * up. A message that a broken link or a paused process held back shows by how
 * much it exceeds that, so that a request is not run after its caller was told
 * that its outcome is unknown.
 */

#include <stdbool.h>

#include "common/clock.h"

/** What is known of one link; all zero at the start. */
typedef struct mr_lateness {
    bool known;
    mr_ms_t least;        /* of the present window */
    mr_ms_t least_before; /* of the window before */
    mr_ms_t window_start;
    mr_ms_t last;
} mr_lateness_t;

/**
 * mr_lateness_note() - take in one message
 * @sent_at: on the sender's clock
 * @arrived_at: on this process's clock
 *
 * Return: milliseconds later than usual, 0 or more.
 */
mr_ms_t mr_lateness_note(mr_lateness_t *lateness, mr_ms_t sent_at,
                         mr_ms_t arrived_at);

#endif
