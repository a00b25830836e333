#ifndef MR_GROUP_PACE_H
#define MR_GROUP_PACE_H

/*
 * When to probe one replica for a write that waits for it: follows how long
 * after a write at the primary the replica was seen to hold it. No I/O and no
 * clock of its own.
 */

#include "group/target.h"

enum {
    /* Shortest interval between probes of a target for waiting writes. */
    MR_PACE_STEP_MIN_MS = 2,
    /* Longest interval between them when nothing changes; half the interval
     * of an idle group. */
    MR_PACE_STEP_MAX_MS = 50,
};

typedef struct mr_pace {
    bool measured;
    double lag; /* ms from a write's answer to the probe that would see it */
    double rtt; /* ms that probes take */
    /* The write that is being timed, one at a time. */
    bool timing;
    int64_t term;
    int64_t position;
    mr_ms_t written_at;
    mr_ms_t missed_at; /* when the last probe that did not see it was sent */
    mr_ms_t step;      /* 0: nothing has been waited for in vain */
} mr_pace_t;

/** mr_pace_wrote() - the primary answered a write at (@term, @position); it is
 * timed unless an earlier one still is. */
void mr_pace_wrote(mr_pace_t *pace, int64_t term, int64_t position,
                   mr_ms_t now);

/** mr_pace_report() - the replica answered a request sent at @sent_at. */
void mr_pace_report(mr_pace_t *pace, const mr_log_state_t *state,
                    mr_ms_t sent_at);

/** mr_pace_round_trip() - a probe took @ms. */
void mr_pace_round_trip(mr_pace_t *pace, mr_ms_t ms);

/** mr_pace_first() - how long after a write the first probe is sent; a little
 * before the replica is expected to hold it, so that shorter lag is noticed.
 * 0 until the lag was measured. */
mr_ms_t mr_pace_first(const mr_pace_t *pace);

/** mr_pace_step() - least time between two probes. */
mr_ms_t mr_pace_step(const mr_pace_t *pace);

/** mr_pace_cost() - when the replica's report of a write is expected, ms after
 * it; orders the replicas. 0 until the lag was measured. */
double mr_pace_cost(const mr_pace_t *pace);

/** mr_pace_missed() - a probe changed nothing for a write that was answered
 * @waited ms before: back off once the lag has passed. */
void mr_pace_missed(mr_pace_t *pace, mr_ms_t waited);

/** mr_pace_advanced() - the replica advanced, or nothing waits any more. */
void mr_pace_advanced(mr_pace_t *pace);

#endif
