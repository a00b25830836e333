#include "group/view.h"

#include <assert.h>
#include <string.h>

void
mr_view_init(mr_view_t *view, size_t count)
{
    assert(count <= MR_VIEW_TARGETS_MAX);
    memset(view, 0, sizeof(*view));
    view->count = count;
    view->behind_since = -1;
}

size_t
mr_view_majority(const mr_view_t *view)
{
    return view->count / 2 + 1;
}

bool
mr_view_reachable(const mr_view_t *view, size_t index, mr_ms_t now)
{
    const mr_view_target_t *target = &view->targets[index];

    return target->known && target->refusals < MR_VIEW_REFUSALS_MAX
           && now - target->sent_at <= MR_VIEW_REACHABLE_MS;
}

bool
mr_view_leaving(const mr_view_t *view, size_t index)
{
    const mr_view_target_t *target = &view->targets[index];

    return target->leaving || (target->known && target->state.leaving);
}

int64_t
mr_view_highest_term(const mr_view_t *view)
{
    int64_t highest = 0;

    for (size_t i = 0; i < view->count; i++) {
        const mr_view_target_t *target = &view->targets[i];
        if (target->known && target->state.term > highest) {
            highest = target->state.term;
        }
    }
    return highest;
}

/* The target that claims to be primary in the highest term, reachable or not.
 */
static size_t
find_claimed_primary(const mr_view_t *view)
{
    int64_t highest = mr_view_highest_term(view);

    for (size_t i = 0; i < view->count; i++) {
        const mr_view_target_t *target = &view->targets[i];
        if (target->known && target->state.primary
            && target->state.term == highest) {
            return i;
        }
    }
    return MR_VIEW_NONE;
}

size_t
mr_view_primary(const mr_view_t *view, mr_ms_t now)
{
    size_t index = find_claimed_primary(view);

    if (index == MR_VIEW_NONE || !mr_view_reachable(view, index, now)) {
        return MR_VIEW_NONE;
    }
    return index;
}

static void
add_history_sample(mr_view_t *view, int64_t term, int64_t position,
                   mr_ms_t time)
{
    if (view->history_count > 0) {
        size_t last = (view->history_next + MR_VIEW_HISTORY_MAX - 1)
                      % MR_VIEW_HISTORY_MAX;
        const mr_view_sample_t *sample = &view->history[last];
        if (time < sample->time + MR_VIEW_HISTORY_STEP_MS) {
            return;
        }
    }
    view->history[view->history_next] =
        (mr_view_sample_t){term, position, time};
    view->history_next = (view->history_next + 1) % MR_VIEW_HISTORY_MAX;
    if (view->history_count < MR_VIEW_HISTORY_MAX) {
        view->history_count++;
    }
}

/* Latest time up to which no primary of a higher term can have acknowledged a
 * write: the earliest send time among the newest answers of a majority that
 * includes @primary and reports no higher term. -1 when there is none. */
static mr_ms_t
confirmed_until(const mr_view_t *view, size_t primary)
{
    int64_t term = view->targets[primary].state.term;
    mr_ms_t until = view->targets[primary].sent_at;
    size_t others = mr_view_majority(view) - 1;
    bool used[MR_VIEW_TARGETS_MAX] = {false};

    used[primary] = true;
    while (others > 0) {
        size_t newest = MR_VIEW_NONE;
        for (size_t i = 0; i < view->count; i++) {
            const mr_view_target_t *target = &view->targets[i];
            if (used[i] || !target->known || target->state.term > term) {
                continue;
            }
            if (newest == MR_VIEW_NONE
                || target->sent_at > view->targets[newest].sent_at) {
                newest = i;
            }
        }
        if (newest == MR_VIEW_NONE) {
            return -1;
        }
        used[newest] = true;
        if (view->targets[newest].sent_at < until) {
            until = view->targets[newest].sent_at;
        }
        others--;
    }
    return until;
}

static void
update_history(mr_view_t *view)
{
    size_t primary = find_claimed_primary(view);

    if (primary == MR_VIEW_NONE) {
        return;
    }
    mr_ms_t until = confirmed_until(view, primary);
    const mr_log_state_t *state = &view->targets[primary].state;
    if (until >= 0 && state->last_term == state->term) {
        add_history_sample(view, state->last_term, state->position, until);
    }
}

static void
update_lag(mr_view_t *view, size_t index, bool advanced, mr_ms_t now)
{
    size_t primary = find_claimed_primary(view);

    if (primary == MR_VIEW_NONE
        || mr_view_acknowledged(view, primary,
                                view->targets[primary].state.term,
                                view->targets[primary].state.position)) {
        view->behind_since = -1;
    }
    else if (view->behind_since < 0 || (advanced && index != primary)) {
        view->behind_since = now;
    }
}

void
mr_view_record_state(mr_view_t *view, size_t index,
                     const mr_log_state_t *state, mr_ms_t sent_at,
                     uint64_t probe_seq, mr_ms_t now)
{
    mr_view_target_t *target = &view->targets[index];

    target->refusals = 0;
    if (probe_seq > target->probe_seq) {
        target->probe_seq = probe_seq;
    }
    /* Answers on different connections may arrive out of order: ignore one
     * with a lower term or from an earlier request. */
    if (target->known
        && (state->term < target->state.term
            || (state->term == target->state.term
                && sent_at < target->sent_at))) {
        return;
    }
    bool advanced =
        !target->known || mr_log_state_compare(state, &target->state) > 0;
    target->known = true;
    target->state = *state;
    if (sent_at > target->sent_at) {
        target->sent_at = sent_at;
    }
    update_history(view);
    update_lag(view, index, advanced, now);
}

void
mr_view_record_refusal(mr_view_t *view, size_t index)
{
    view->targets[index].refusals++;
}

bool
mr_view_acknowledged(const mr_view_t *view, size_t executor, int64_t term,
                     int64_t position)
{
    size_t holders = 1; /* the executor */

    for (size_t i = 0; i < view->count; i++) {
        const mr_view_target_t *target = &view->targets[i];
        if (i != executor && target->known && target->state.last_term == term
            && target->state.position >= position) {
            holders++;
        }
    }
    return holders >= mr_view_majority(view);
}

bool
mr_view_superseded(const mr_view_t *view, int64_t term)
{
    size_t possible_holders = 0;

    for (size_t i = 0; i < view->count; i++) {
        const mr_view_target_t *target = &view->targets[i];
        if (!target->known || target->state.last_term <= term) {
            possible_holders++;
        }
    }
    return possible_holders < mr_view_majority(view);
}

bool
mr_view_confirmed(const mr_view_t *view, int64_t term, uint64_t probe_seq)
{
    size_t answers = 0;

    for (size_t i = 0; i < view->count; i++) {
        const mr_view_target_t *target = &view->targets[i];
        if (target->known && target->probe_seq > probe_seq
            && target->state.term <= term) {
            answers++;
        }
    }
    return answers >= mr_view_majority(view);
}

size_t
mr_view_covering(const mr_view_t *view, int64_t term, int64_t position,
                 mr_ms_t now)
{
    for (size_t i = 0; i < view->count; i++) {
        const mr_view_target_t *target = &view->targets[i];
        if (mr_view_reachable(view, i, now) && !target->state.primary
            && !mr_view_leaving(view, i)
            && mr_log_state_covers(&target->state, term, position)) {
            return i;
        }
    }
    return MR_VIEW_NONE;
}

mr_ms_t
mr_view_age(const mr_view_t *view, const mr_log_state_t *state, mr_ms_t now)
{
    for (size_t n = 1; n <= view->history_count; n++) {
        size_t at = (view->history_next + MR_VIEW_HISTORY_MAX - n)
                    % MR_VIEW_HISTORY_MAX;
        const mr_view_sample_t *sample = &view->history[at];
        if (mr_log_state_covers(state, sample->term, sample->position)) {
            return now - sample->time;
        }
    }
    return -1;
}

bool
mr_view_majority_reachable(const mr_view_t *view, mr_ms_t now)
{
    size_t reachable = 0;

    for (size_t i = 0; i < view->count; i++) {
        if (mr_view_reachable(view, i, now)) {
            reachable++;
        }
    }
    return reachable >= mr_view_majority(view);
}

static bool
is_stalled(const mr_view_t *view, mr_ms_t now)
{
    return view->behind_since >= 0
           && now - view->behind_since > MR_VIEW_STALL_MS;
}

bool
mr_view_healthy(const mr_view_t *view, mr_ms_t now)
{
    size_t primary = mr_view_primary(view, now);
    size_t following = 0;

    if (primary == MR_VIEW_NONE || is_stalled(view, now)) {
        return false;
    }
    for (size_t i = 0; i < view->count; i++) {
        if (mr_view_reachable(view, i, now)
            && view->targets[i].state.term
                   <= view->targets[primary].state.term) {
            following++;
        }
    }
    return following >= mr_view_majority(view);
}

static bool
has_successor(const mr_view_t *view, size_t primary, mr_ms_t now)
{
    const mr_log_state_t *state = &view->targets[primary].state;
    size_t index =
        mr_view_covering(view, state->last_term, state->position, now);

    return index != MR_VIEW_NONE;
}

mr_view_failover_t
mr_view_failover_reason(const mr_view_t *view, mr_ms_t now)
{
    size_t primary = mr_view_primary(view, now);

    if (!mr_view_majority_reachable(view, now)) {
        return MR_VIEW_NO_FAILOVER;
    }
    if (primary == MR_VIEW_NONE) {
        return MR_VIEW_PRIMARY_LOST;
    }
    if (is_stalled(view, now)) {
        return MR_VIEW_PRIMARY_STALLED;
    }
    if (mr_view_leaving(view, primary) && has_successor(view, primary, now)) {
        return MR_VIEW_PRIMARY_LEAVING;
    }
    return MR_VIEW_NO_FAILOVER;
}

const char *
mr_view_failover_name(mr_view_failover_t reason)
{
    switch (reason) {
    case MR_VIEW_NO_FAILOVER:
        return "keep";
    case MR_VIEW_PRIMARY_LOST:
        return "lost";
    case MR_VIEW_PRIMARY_STALLED:
        return "stalled";
    case MR_VIEW_PRIMARY_LEAVING:
        return "leaving";
    }
    return "unknown";
}
