#ifndef MR_GROUP_VIEW_H
#define MR_GROUP_VIEW_H

/*
 * What an observer knows of one group, and what follows from it: the primary,
 * whether a write is acknowledged, how old a replica's data is, whether the
 * primary must be replaced. No I/O and no clock of its own, so that each rule
 * is tested alone.
 */

#include <stdbool.h>
#include <stddef.h>

#include "common/clock.h"
#include "group/target.h"

enum {
    MR_VIEW_TARGETS_MAX = 9,
    MR_VIEW_HISTORY = 1024,
    /* A target that answered a request sent within this time is reachable. */
    MR_VIEW_REACHABLE_MS = 300,
    /* Connections refused in a row that make a target unreachable at once. */
    MR_VIEW_REFUSALS_MAX = 2,
    /* Replicas that are behind and stand still this long do not follow. Above
     * the replication lag seen in practice, and below the 5 s in which a
     * change of primary must be over. */
    MR_VIEW_STALL_MS = 3000,
    /* Shortest time between two points of the age history. */
    MR_VIEW_HISTORY_STEP_MS = 20,
};

/** No target. */
#define MR_VIEW_NONE ((size_t)-1)

/** What is known of one target. */
typedef struct mr_view_target {
    bool known;
    mr_log_state_t state;
    mr_ms_t sent_at; /* when the newest answered request was sent */
    uint64_t tick;   /* of the newest answered probe */
    int refusals;    /* connections refused since the last answer */
    bool leaving;    /* by configuration or the platform's list */
} mr_view_target_t;

/** At @time the primary's log was no longer than (@term, @position). */
typedef struct mr_view_point {
    int64_t term;
    int64_t position;
    mr_ms_t time;
} mr_view_point_t;

typedef struct mr_view {
    mr_view_target_t targets[MR_VIEW_TARGETS_MAX];
    size_t count;
    mr_view_point_t history[MR_VIEW_HISTORY];
    size_t history_count;
    size_t history_next;
    /* Since when too few replicas hold the primary's log and none advances;
     * -1: they follow. */
    mr_ms_t behind_since;
} mr_view_t;

void mr_view_init(mr_view_t *view, size_t count);

/**
 * mr_view_answer() - take in a target's answer
 * @index: target
 * @state: its log state
 * @sent_at: when the request was sent
 * @tick: the probe's tick; 0 for other requests
 * @now: current time
 */
void mr_view_answer(mr_view_t *view, size_t index, const mr_log_state_t *state,
                    mr_ms_t sent_at, uint64_t tick, mr_ms_t now);

/** mr_view_refused() - a connection to a target was refused. */
void mr_view_refused(mr_view_t *view, size_t index);

/** mr_view_majority() - size of a majority of the group. */
size_t mr_view_majority(const mr_view_t *view);

bool mr_view_reachable(const mr_view_t *view, size_t index, mr_ms_t now);

/** mr_view_leaving() - by configuration, list or its own report. */
bool mr_view_leaving(const mr_view_t *view, size_t index);

/** mr_view_highest_term() - highest term that any target reported. */
int64_t mr_view_highest_term(const mr_view_t *view);

/**
 * mr_view_primary() - the primary of the highest term seen
 *
 * Return: its index, or MR_VIEW_NONE when no target claims the highest term or
 * the one that does is out of reach.
 */
size_t mr_view_primary(const mr_view_t *view, mr_ms_t now);

/**
 * mr_view_acknowledged() - whether the write at (@term, @position) is safe
 * @executor: index of the target that executed it as primary. It counts once:
 *            after granting a higher term it reports itself as a replica.
 *
 * Counts only logs whose last entry carries @term: a new primary opens its
 * term with an entry of its own, and a position alone may have been reached
 * by a divergent log.
 */
bool mr_view_acknowledged(const mr_view_t *view, size_t executor, int64_t term,
                          int64_t position);

/** mr_view_superseded() - whether no replica can report @term any more. */
bool mr_view_superseded(const mr_view_t *view, int64_t term);

/** mr_view_confirmed() - whether a majority answered probes after @tick
 * without a term above @term. */
bool mr_view_confirmed(const mr_view_t *view, int64_t term, uint64_t tick);

/** mr_view_covering() - a reachable replica that covers (@term, @position) and
 * stays; MR_VIEW_NONE when there is none. */
size_t mr_view_covering(const mr_view_t *view, int64_t term, int64_t position,
                        mr_ms_t now);

/** mr_view_age() - upper bound on the age of the data in a log; -1 when it is
 * not known. */
mr_ms_t mr_view_age(const mr_view_t *view, const mr_log_state_t *state,
                    mr_ms_t now);

/** mr_view_majority_reachable() - whether a promotion could succeed. */
bool mr_view_majority_reachable(const mr_view_t *view, mr_ms_t now);

/** mr_view_healthy() - whether the primary is reachable and a majority follows
 * it. */
bool mr_view_healthy(const mr_view_t *view, mr_ms_t now);

/** Why a primary should be replaced. */
typedef enum mr_view_verdict {
    MR_VIEW_KEEP,
    MR_VIEW_PRIMARY_LOST,
    MR_VIEW_PRIMARY_STALLED,
    MR_VIEW_PRIMARY_LEAVING,
} mr_view_verdict_t;

/** mr_view_verdict() - what the view alone says; MR_VIEW_KEEP also when no
 * majority is reachable. */
mr_view_verdict_t mr_view_verdict(const mr_view_t *view, mr_ms_t now);

const char *mr_view_verdict_name(mr_view_verdict_t verdict);

#endif
