#include "wire/lateness.h"

enum {
    /* Within a window, clocks whose rates differ by 0.01 % drift 6 ms apart.
     */
    WINDOW_MS = 60000,
    /* After a longer silence, the old offset is too imprecise because of
     * drift. */
    RESET_AFTER_MS = 3 * WINDOW_MS,
};

static void
reset(mr_lateness_t *lateness, mr_ms_t offset, mr_ms_t now)
{
    lateness->initialized = true;
    lateness->min_offset = offset;
    lateness->previous_min_offset = offset;
    lateness->window_start = now;
}

mr_ms_t
mr_lateness_update(mr_lateness_t *lateness, mr_ms_t sent_at,
                   mr_ms_t arrived_at)
{
    mr_ms_t offset = arrived_at - sent_at;

    if (!lateness->initialized
        || arrived_at - lateness->last_arrival > RESET_AFTER_MS) {
        reset(lateness, offset, arrived_at);
    }
    lateness->last_arrival = arrived_at;
    mr_ms_t min_offset = lateness->min_offset < lateness->previous_min_offset
                             ? lateness->min_offset
                             : lateness->previous_min_offset;
    if (arrived_at - lateness->window_start > WINDOW_MS) {
        lateness->previous_min_offset = lateness->min_offset;
        lateness->min_offset = offset;
        lateness->window_start = arrived_at;
    }
    else if (offset < lateness->min_offset) {
        lateness->min_offset = offset;
    }
    return offset > min_offset ? offset - min_offset : 0;
}
