#ifndef MR_GROUP_PACE_H
#define MR_GROUP_PACE_H

/*
 * Decides when to probe one replica for a write whose acknowledgement is
 * pending: estimates the replication lag from when earlier writes were seen on
 * the replica, and backs off while the replica does not advance. Does no I/O
 * and reads no clock.
 */

#include "group/target.h"

enum {
    /* Minimum interval between probes of a target for pending writes. */
    MR_PACE_INTERVAL_MIN_MS = 2,
    /* Maximum interval between them while the replica does not advance; half
     * the probe interval of an idle group. */
    MR_PACE_INTERVAL_MAX_MS = 50,
};

typedef struct mr_pace {
    bool has_lag; /* lag was measured at least once */
    /* Estimated ms from a write's answer to the send time of the first probe
     * that sees the write. */
    double lag;
    double rtt; /* smoothed round-trip time of probes in ms */
    /* The write that is being timed; one at a time. */
    bool timing;
    int64_t term;
    int64_t position;
    mr_ms_t written_at;
    mr_ms_t missed_at; /* send time of the last request that did not see it */
    mr_ms_t backoff; /* probe interval while backing off; 0: not backing off */
} mr_pace_t;

/** mr_pace_start_timing() - the primary answered a write at (@term,
 * @position); ignored while an earlier write is being timed. */
void mr_pace_start_timing(mr_pace_t *pace, int64_t term, int64_t position,
                          mr_ms_t now);

/** mr_pace_record_state() - the replica answered a request sent at @sent_at.
 */
void mr_pace_record_state(mr_pace_t *pace, const mr_log_state_t *state,
                          mr_ms_t sent_at);

/** mr_pace_record_rtt() - record the round-trip time of a probe. */
void mr_pace_record_rtt(mr_pace_t *pace, mr_ms_t ms);

/** mr_pace_first_delay() - time from a write to its first probe. Slightly
 * shorter than the estimated lag, so that a decrease of the lag is noticed. 0
 * until the lag was measured. */
mr_ms_t mr_pace_first_delay(const mr_pace_t *pace);

/** mr_pace_interval() - minimum time between two probes. */
mr_ms_t mr_pace_interval(const mr_pace_t *pace);

/** mr_pace_report_delay() - expected ms from a write until a probe's answer
 * shows it: lag plus round-trip time. Orders the replicas. 0 until the lag was
 * measured. */
double mr_pace_report_delay(const mr_pace_t *pace);

/** mr_pace_probe_missed() - a probe sent @waited ms after a write found no
 * progress; backs off if the estimated lag has passed. */
void mr_pace_probe_missed(mr_pace_t *pace, mr_ms_t waited);

/** mr_pace_reset_backoff() - the replica advanced, or no write is pending. */
void mr_pace_reset_backoff(mr_pace_t *pace);

#endif
