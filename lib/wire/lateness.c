#include "wire/lateness.h"

enum {
    /* Clocks that differ by 0.01 % move 6 ms apart in a window. */
    WINDOW_MS = 60000,
    /* After a longer silence the old difference says too little. */
    FORGET_MS = 3 * WINDOW_MS,
};

static void
start_over(mr_lateness_t *l, mr_ms_t difference, mr_ms_t now)
{
    l->known = true;
    l->least = difference;
    l->least_before = difference;
    l->window_start = now;
}

mr_ms_t
mr_lateness_note(mr_lateness_t *lateness, mr_ms_t sent_at, mr_ms_t arrived_at)
{
    mr_lateness_t *l = lateness;
    mr_ms_t difference = arrived_at - sent_at;

    if (!l->known || arrived_at - l->last > FORGET_MS) {
        start_over(l, difference, arrived_at);
    }
    l->last = arrived_at;
    mr_ms_t least = l->least < l->least_before ? l->least : l->least_before;
    if (arrived_at - l->window_start > WINDOW_MS) {
        l->least_before = l->least;
        l->least = difference;
        l->window_start = arrived_at;
    }
    else if (difference < l->least) {
        l->least = difference;
    }
    return difference > least ? difference - least : 0;
}
