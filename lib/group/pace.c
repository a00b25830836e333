#include "group/pace.h"

enum {
    /* The first probe leaves this part of the lag early. */
    EARLY_PART = 8,
    /* Beyond the lag, an interval is this part of the time waited, so that a
     * lag that was taken for too short costs no more than that. */
    BACK_OFF_PART = 4,
    /* A write that a replica does not get at all says nothing about its lag.
     * Above the lag seen in practice. */
    TIMING_MAX_MS = 10000,
};

/* Weight of a new sample: follows a change within a few writes, and a single
 * late entry does not move it far. */
static const double weight = 0.25;
static const double down_weight = 0.75;

void
mr_pace_wrote(mr_pace_t *pace, int64_t term, int64_t position, mr_ms_t now)
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

/* The lag lies between the last probe that missed the write and the first
 * that saw it. An estimate inside these bounds stays as it is, so that rare
 * probes do not spoil it. */
static void
take_sample(mr_pace_t *pace, double low, double high)
{
    if (!pace->measured) {
        pace->measured = true;
        pace->lag = high;
    }
    else if (pace->lag < low) {
        pace->lag += (low - pace->lag) * weight;
    }
    else if (pace->lag > high) {
        /* A first probe that comes too late shows only a part of the fall. */
        pace->lag += (high - pace->lag) * down_weight;
    }
}

void
mr_pace_report(mr_pace_t *pace, const mr_log_state_t *state, mr_ms_t sent_at)
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
    take_sample(pace, (double)(pace->missed_at - pace->written_at),
                seen > 0 ? (double)seen : 0);
}

void
mr_pace_round_trip(mr_pace_t *pace, mr_ms_t ms)
{
    pace->rtt += ((double)ms - pace->rtt) * weight;
}

mr_ms_t
mr_pace_first(const mr_pace_t *pace)
{
    return pace->measured ? (mr_ms_t)(pace->lag - pace->lag / EARLY_PART) : 0;
}

static mr_ms_t
limit_step(double step)
{
    if (step < MR_PACE_STEP_MIN_MS) {
        return MR_PACE_STEP_MIN_MS;
    }
    return step < MR_PACE_STEP_MAX_MS ? (mr_ms_t)step : MR_PACE_STEP_MAX_MS;
}

mr_ms_t
mr_pace_step(const mr_pace_t *pace)
{
    return pace->step > 0 ? pace->step : limit_step(pace->lag / EARLY_PART);
}

double
mr_pace_cost(const mr_pace_t *pace)
{
    return pace->measured ? pace->lag + pace->rtt : 0;
}

void
mr_pace_missed(mr_pace_t *pace, mr_ms_t waited)
{
    mr_ms_t step = mr_pace_step(pace);

    if ((double)waited < pace->lag + (double)step) {
        return;
    }
    mr_ms_t next = limit_step((double)waited / BACK_OFF_PART);
    pace->step = next > step ? next : step;
}

void
mr_pace_advanced(mr_pace_t *pace)
{
    pace->step = 0;
}
