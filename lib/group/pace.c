#include "group/pace.h"

enum {
    /* The first probe is sent early by this fraction (1/n) of the lag. The
     * same time, within the limits in pace.h, is the interval between probes
     * until the backoff begins. */
    EARLY_DIVISOR = 8,
    /* Once the lag has passed, the interval is this fraction (1/n) of the time
     * waited. This bounds the added latency when the lag was underestimated.
     */
    BACKOFF_DIVISOR = 4,
    /* Timing of a write is abandoned after this time: a write that never
     * reaches the replica says nothing about the lag. Above the lag seen in
     * practice. */
    TIMING_MAX_MS = 10000,
};

/* Weight of a new sample in the moving averages. Follows a change within a few
 * writes, while a single delayed write has little effect. */
static const double sample_weight = 0.25;
static const double falling_sample_weight = 0.75;

void
mr_pace_start_timing(mr_pace_t *pace, int64_t term, int64_t position,
                     mr_ms_t now)
{
    if (pace->timing && pace->term == term
        && now - pace->written_at < TIMING_MAX_MS) {
        return;
    }
    pace->timing = true;
    pace->term = term;
    pace->position = position;
    pace->written_at = now;
    pace->missed_at = now;
}

/* The lag lies between the send times of the last request that missed the
 * write and the first that saw it. An estimate within these bounds is kept, so
 * that infrequent probes do not distort it. */
static void
update_lag(mr_pace_t *pace, double low, double high)
{
    if (!pace->has_lag) {
        pace->has_lag = true;
        pace->lag = high;
    }
    else if (pace->lag < low) {
        pace->lag += (low - pace->lag) * sample_weight;
    }
    else if (pace->lag > high) {
        /* When the first probe is sent too late, the sample shows only part of
         * the decrease; hence the larger weight. */
        pace->lag += (high - pace->lag) * falling_sample_weight;
    }
}

void
mr_pace_record_state(mr_pace_t *pace, const mr_log_state_t *state,
                     mr_ms_t sent_at)
{
    if (!pace->timing) {
        return;
    }
    if (state->last_term > pace->term) {
        pace->timing = false;
        return;
    }
    if (state->last_term < pace->term || state->position < pace->position) {
        if (sent_at > pace->missed_at) {
            pace->missed_at = sent_at;
        }
        return;
    }
    mr_ms_t seen = sent_at - pace->written_at;
    pace->timing = false;
    update_lag(pace, (double)(pace->missed_at - pace->written_at),
               seen > 0 ? (double)seen : 0);
}

void
mr_pace_record_rtt(mr_pace_t *pace, mr_ms_t ms)
{
    pace->rtt += ((double)ms - pace->rtt) * sample_weight;
}

mr_ms_t
mr_pace_first_delay(const mr_pace_t *pace)
{
    return pace->has_lag ? (mr_ms_t)(pace->lag - pace->lag / EARLY_DIVISOR)
                         : 0;
}

static mr_ms_t
clamp_interval(double interval)
{
    if (interval < MR_PACE_INTERVAL_MIN_MS) {
        return MR_PACE_INTERVAL_MIN_MS;
    }
    return interval < MR_PACE_INTERVAL_MAX_MS ? (mr_ms_t)interval
                                              : MR_PACE_INTERVAL_MAX_MS;
}

mr_ms_t
mr_pace_interval(const mr_pace_t *pace)
{
    return pace->backoff > 0 ? pace->backoff
                             : clamp_interval(pace->lag / EARLY_DIVISOR);
}

double
mr_pace_report_delay(const mr_pace_t *pace)
{
    return pace->has_lag ? pace->lag + pace->rtt : 0;
}

void
mr_pace_probe_missed(mr_pace_t *pace, mr_ms_t waited)
{
    mr_ms_t interval = mr_pace_interval(pace);

    if ((double)waited < pace->lag + (double)interval) {
        return;
    }
    mr_ms_t next = clamp_interval((double)waited / BACKOFF_DIVISOR);
    pace->backoff = next > interval ? next : interval;
}

void
mr_pace_reset_backoff(mr_pace_t *pace)
{
    pace->backoff = 0;
}
