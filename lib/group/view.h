#ifndef MR_GROUP_VIEW_H
#define MR_GROUP_VIEW_H

/*
 * An observer's knowledge of one group, and the decisions derived from it:
 * which target is the primary, whether a write is acknowledged, how old a
 * replica's data is, and whether a failover is needed. Does no I/O and reads
 * no clock, so that each rule can be tested in isolation.
 */

#include <stdbool.h>
#include <stddef.h>

#include "common/clock.h"
#include "group/target.h"

enum {
    MR_VIEW_TARGETS_MAX = 9,
    MR_VIEW_HISTORY_MAX = 1024,
    /* A target is reachable if it answered a request sent at most this long
     * ago. */
    MR_VIEW_REACHABLE_MS = 300,
    /* This many consecutive probes that could not be sent make a target
     * unreachable before MR_VIEW_REACHABLE_MS has passed. */
    MR_VIEW_REFUSALS_MAX = 2,
    /* Replicas that are behind and have not advanced for this long count as
     * stalled. Above the replication lag seen in practice, and below the 5 s
     * within which a failover must complete. */
    MR_VIEW_STALL_MS = 3000,
    /* Minimum interval between two samples of the history. */
    MR_VIEW_HISTORY_STEP_MS = 20,
};

/** Target index that stands for no target. */
#define MR_VIEW_NONE ((size_t)-1)

/** Latest known state of one target. */
typedef struct mr_view_target {
    bool known; /* whether the target has answered yet */
    mr_log_state_t state;
    mr_ms_t sent_at;    /* when the newest answered request was sent */
    uint64_t probe_seq; /* of the newest answered probe */
    int refusals;       /* probes not sent since the last answer */
    bool leaving;       /* per configuration or the platform's instance list */
} mr_view_target_t;

/** Sample of the primary's log: at @time it ended at or before (@term,
 * @position). */
typedef struct mr_view_sample {
    int64_t term;
    int64_t position;
    mr_ms_t time;
} mr_view_sample_t;

typedef struct mr_view {
    mr_view_target_t targets[MR_VIEW_TARGETS_MAX];
    size_t count;
    mr_view_sample_t history[MR_VIEW_HISTORY_MAX];
    size_t history_count;
    size_t history_next;
    /* Time since which no majority holds the primary's whole log and no
     * replica has advanced; -1 while the replicas follow. */
    mr_ms_t behind_since;
} mr_view_t;

void mr_view_init(mr_view_t *view, size_t count);

/**
 * mr_view_record_state() - record the log state from a target's reply
 * @index: target
 * @state: its log state
 * @sent_at: when the request was sent
 * @probe_seq: sequence number of the probe; 0 for other requests
 * @now: current time
 */
void mr_view_record_state(mr_view_t *view, size_t index,
                          const mr_log_state_t *state, mr_ms_t sent_at,
                          uint64_t probe_seq, mr_ms_t now);

/** mr_view_record_refusal() - a probe could not be sent to a target, for
 * example because it refused the connection. */
void mr_view_record_refusal(mr_view_t *view, size_t index);

/** mr_view_majority() - size of a majority of the group. */
size_t mr_view_majority(const mr_view_t *view);

bool mr_view_reachable(const mr_view_t *view, size_t index, mr_ms_t now);

/** mr_view_leaving() - whether a target is leaving per configuration, the
 * platform's instance list or its own status. */
bool mr_view_leaving(const mr_view_t *view, size_t index);

/** mr_view_highest_term() - highest term that any target reported. */
int64_t mr_view_highest_term(const mr_view_t *view);

/**
 * mr_view_primary() - the primary of the highest term seen
 *
 * Return: its index, or MR_VIEW_NONE when no target claims to be primary in
 * the highest term or the one that does is unreachable.
 */
size_t mr_view_primary(const mr_view_t *view, mr_ms_t now);

/**
 * mr_view_acknowledged() - whether a majority holds the write at (@term,
 * @position)
 * @executor: index of the target that executed it as primary. It is counted
 *            exactly once, although it reports itself as a replica after
 *            granting a higher term.
 *
 * Counts only logs whose last entry carries @term: a new primary begins its
 * term with an entry of its own, and a divergent log may have reached the same
 * position.
 */
bool mr_view_acknowledged(const mr_view_t *view, size_t executor, int64_t term,
                          int64_t position);

/** mr_view_superseded() - whether a write of @term can no longer be
 * acknowledged: all but a minority of the logs hold entries of higher terms.
 */
bool mr_view_superseded(const mr_view_t *view, int64_t term);

/** mr_view_confirmed() - whether a majority answered probes after @probe_seq
 * without a term above @term. */
bool mr_view_confirmed(const mr_view_t *view, int64_t term,
                       uint64_t probe_seq);

/** mr_view_covering() - a reachable replica that covers (@term, @position) and
 * is not leaving; MR_VIEW_NONE when there is none. */
size_t mr_view_covering(const mr_view_t *view, int64_t term, int64_t position,
                        mr_ms_t now);

/** mr_view_age() - upper bound in ms on the age of the data in a log; -1 when
 * it is unknown. */
mr_ms_t mr_view_age(const mr_view_t *view, const mr_log_state_t *state,
                    mr_ms_t now);

/** mr_view_majority_reachable() - whether a majority of the targets, which a
 * promotion needs, is reachable. */
bool mr_view_majority_reachable(const mr_view_t *view, mr_ms_t now);

/** mr_view_healthy() - whether the primary is reachable and a majority follows
 * it. */
bool mr_view_healthy(const mr_view_t *view, mr_ms_t now);

/** Why a primary should be replaced, if at all. */
typedef enum mr_view_failover {
    MR_VIEW_NO_FAILOVER,
    MR_VIEW_PRIMARY_LOST,
    MR_VIEW_PRIMARY_STALLED,
    MR_VIEW_PRIMARY_LEAVING,
} mr_view_failover_t;

/** mr_view_failover_reason() - whether and why the group needs a failover;
 * MR_VIEW_NO_FAILOVER when it needs none or no majority is reachable. */
mr_view_failover_t mr_view_failover_reason(const mr_view_t *view, mr_ms_t now);

const char *mr_view_failover_name(mr_view_failover_t reason);

#endif
