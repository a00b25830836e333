#include "group/election.h"

#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"
#include "member/rendezvous.h"

enum {
    RANK_DELAY_MS = 150,
    JITTER_MS = 50,
    QUERY_TIMEOUT_MS = 150,
    /* Delay after an attempt or after a veto by another observer. */
    RETRY_DELAY_MS = 150,
    /* Delay after a veto for writes at a leaving primary. Short, because new
     * writes wait until the primary is replaced. */
    LEAVING_RETRY_DELAY_MS = 20,
    /* A leaving primary is replaced once its writes have ended, at the latest
     * after this time. Must stay below the few seconds within which work at a
     * leaving target has to end, and below the longest permitted interruption
     * of writes. */
    LEAVING_LIMIT_MS = 2000,
};

typedef enum election_state {
    ELECTION_IDLE,
    ELECTION_WAITING,   /* for due_at, or for retry_at after a veto */
    ELECTION_QUERYING,  /* replies of other observers are pending */
    ELECTION_PROPOSING, /* an attempt is in progress */
} election_state_t;

typedef struct query {
    mr_election_t *election;
    mr_peer_call_t *call;
} query_t;

struct mr_election {
    mr_election_options_t options;
    mr_election_target_t targets[MR_VIEW_TARGETS_MAX];
    election_state_t state;
    mr_view_failover_t reason;
    mr_ms_t suspected_at;
    mr_ms_t due_at;
    mr_ms_t retry_at;
    int64_t suspected_term;
    mr_ms_t leaving_since; /* 0: the primary is not leaving */
    query_t queries[MR_VIEW_TARGETS_MAX];
    size_t pending_queries;
    bool vetoed;
    mr_promotion_t *attempt;
    const mr_view_t *view; /* of the latest mr_election_tick() */
};

static void
count(mr_election_t *e, const char *name, const char *help)
{
    mr_counter_add(mr_counters_get(e->options.counters, name, "", help), 1);
}

/* The group's observers are the owners of its targets, without duplicates. */
static size_t
list_observers(const mr_election_t *e,
               const mr_member_t *out[MR_VIEW_TARGETS_MAX])
{
    size_t found = 0;

    for (size_t i = 0; i < e->options.count; i++) {
        const mr_member_t *owner = mr_members_owner(
            e->options.members, e->targets[i].name, e->targets[i].data_centre);
        bool seen = owner == NULL;
        for (size_t j = 0; j < found && !seen; j++) {
            seen = strcmp(out[j]->name, owner->name) == 0;
        }
        if (!seen) {
            out[found++] = owner;
        }
    }
    return found;
}

/* Rank of this instance among the observers by rendezvous score, 0 first. */
static int
find_rank(const mr_election_t *e)
{
    const mr_member_t *observers[MR_VIEW_TARGETS_MAX];
    size_t found = list_observers(e, observers);
    uint64_t own = mr_rendezvous_score(e->options.group, e->options.name);
    int rank = 0;

    for (size_t i = 0; i < found; i++) {
        uint64_t score =
            mr_rendezvous_score(e->options.group, observers[i]->name);
        if (strcmp(observers[i]->name, e->options.name) != 0 && score > own) {
            rank++;
        }
    }
    return rank;
}

static void
cancel_queries(mr_election_t *e)
{
    for (size_t i = 0; i < MR_VIEW_TARGETS_MAX; i++) {
        if (e->queries[i].call != NULL) {
            mr_peer_cancel(e->queries[i].call);
            e->queries[i].call = NULL;
        }
    }
    e->pending_queries = 0;
}

static void
reset_to_idle(mr_election_t *e)
{
    cancel_queries(e);
    e->state = ELECTION_IDLE;
}

static void
on_attempt_state(void *ctx, size_t index, const mr_log_state_t *state,
                 mr_ms_t sent_at)
{
    mr_election_t *e = ctx;

    e->options.on_state(e->options.ctx, index, state, sent_at);
}

static mr_target_conn_t *
acquire_connection(void *ctx, size_t index)
{
    mr_election_t *e = ctx;

    return e->options.acquire_conn(e->options.ctx, index);
}

static void
release_connection(void *ctx, size_t index, mr_target_conn_t *conn)
{
    mr_election_t *e = ctx;

    e->options.release_conn(e->options.ctx, index, conn);
}

static void
on_attempt_done(void *ctx, const mr_promotion_result_t *result)
{
    mr_election_t *e = ctx;
    mr_promotion_result_t copy = *result;
    mr_ms_t now = mr_clock_now(NULL);

    mr_promotion_destroy(e->attempt);
    e->attempt = NULL;
    e->state = ELECTION_IDLE;
    e->retry_at = now + RETRY_DELAY_MS + randombytes_uniform(JITTER_MS);
    if (!copy.promoted) {
        count(e, "masticrelay_promotions_failed_total",
              "attempts that ended without a new primary");
        return;
    }
    count(e, "masticrelay_promotions_total", "targets promoted");
    mr_log(MR_LOG_WARNING, MR_EVENT_PROMOTED,
           "group=%s term=%lld target=%s reason=%s decide_ms=%lld "
           "grant_ms=%lld promote_ms=%lld",
           e->options.group, (long long)copy.term,
           e->targets[copy.candidate].name, mr_view_failover_name(e->reason),
           (long long)(now - e->suspected_at - copy.promote_ms),
           (long long)copy.grant_ms,
           (long long)(copy.promote_ms - copy.grant_ms));
    e->options.on_promoted(e->options.ctx, &copy);
}

static void
propose(mr_election_t *e)
{
    const char *addresses[MR_VIEW_TARGETS_MAX];
    bool leaving[MR_VIEW_TARGETS_MAX];

    for (size_t i = 0; i < e->options.count; i++) {
        addresses[i] = e->targets[i].address;
        leaving[i] = mr_view_leaving(e->view, i);
    }
    mr_promotion_options_t options = {
        .base = e->options.base,
        .addresses = addresses,
        .leaving = leaving,
        .count = e->options.count,
        .term = mr_view_highest_term(e->view) + 1,
        .fn = on_attempt_done,
        .on_state = on_attempt_state,
        .acquire_conn = acquire_connection,
        .release_conn = release_connection,
        .ctx = e,
    };
    count(e, "masticrelay_promotion_attempts_total",
          "attempts to promote a target");
    e->state = ELECTION_PROPOSING;
    e->attempt = mr_promotion_start(&options);
}

static void
complete_query(mr_election_t *e)
{
    if (--e->pending_queries > 0) {
        return;
    }
    if (e->vetoed && e->reason == MR_VIEW_PRIMARY_LEAVING) {
        e->retry_at = mr_clock_now(NULL) + LEAVING_RETRY_DELAY_MS;
        e->state = ELECTION_WAITING;
        return;
    }
    if (e->vetoed) {
        count(e, "masticrelay_promotions_vetoed_total",
              "proposals dropped because another observer sees the primary");
        e->retry_at = mr_clock_now(NULL) + RETRY_DELAY_MS;
        reset_to_idle(e);
        return;
    }
    propose(e);
}

static void
on_query_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    query_t *query = ctx;
    mr_election_t *e = query->election;

    query->call = NULL;
    if (error == MR_OK && e->reason == MR_VIEW_PRIMARY_LEAVING) {
        e->vetoed |= reply->u.probe_reply.has_pending_writes;
    }
    else if (error == MR_OK && reply->u.probe_reply.healthy
             && reply->u.probe_reply.term >= e->suspected_term) {
        e->vetoed = true;
    }
    complete_query(e);
}

/* Asks the other observers before proposing. If one of them still sees the
 * primary with a majority following it, only this instance's link has failed.
 * For a leaving primary, its owner reports whether writes are in progress. */
static void
query_observers(mr_election_t *e)
{
    const mr_member_t *observers[MR_VIEW_TARGETS_MAX];
    size_t found = list_observers(e, observers);
    mr_msg_t msg = {.type = MR_MSG_PROBE};

    msg.u.probe.group = e->options.group;
    e->state = ELECTION_QUERYING;
    e->vetoed = e->reason == MR_VIEW_PRIMARY_LEAVING
                && e->options.is_writing(e->options.ctx);
    /* Stays above 0 until the call below, after all queries are sent. */
    e->pending_queries = 1;
    for (size_t i = 0; i < found; i++) {
        if (strcmp(observers[i]->name, e->options.name) == 0) {
            continue;
        }
        e->queries[i].election = e;
        e->queries[i].call =
            mr_peer_call(e->options.peer, observers[i]->address, &msg,
                         QUERY_TIMEOUT_MS, on_query_reply, &e->queries[i]);
        e->pending_queries++;
    }
    complete_query(e);
}

static void
start_waiting(mr_election_t *e, mr_view_failover_t reason, mr_ms_t now)
{
    e->state = ELECTION_WAITING;
    e->reason = reason;
    e->suspected_at = now;
    e->suspected_term = mr_view_highest_term(e->view);
    e->due_at = now + (mr_ms_t)find_rank(e) * RANK_DELAY_MS
                + randombytes_uniform(JITTER_MS);
}

/* Whether other observers may still veto. Writes at a leaving primary delay
 * its replacement for a limited time only. */
static bool
needs_query(const mr_election_t *e, mr_ms_t now)
{
    switch (e->reason) {
    case MR_VIEW_PRIMARY_LOST:
    case MR_VIEW_PRIMARY_STALLED:
        return true;
    case MR_VIEW_PRIMARY_LEAVING:
        return now - e->leaving_since < LEAVING_LIMIT_MS;
    case MR_VIEW_NO_FAILOVER:
        break;
    }
    return false;
}

/* Records when the primary began to leave. Replicas that temporarily fall
 * behind do not reset this time. */
static void
track_leaving_primary(mr_election_t *e, mr_ms_t now)
{
    size_t primary = mr_view_primary(e->view, now);

    if (primary == MR_VIEW_NONE || !mr_view_leaving(e->view, primary)) {
        e->leaving_since = 0;
    }
    else if (e->leaving_since == 0) {
        e->leaving_since = now;
    }
}

void
mr_election_tick(mr_election_t *election, const mr_view_t *view)
{
    mr_election_t *e = election;
    mr_ms_t now = mr_clock_now(NULL);

    e->view = view;
    track_leaving_primary(e, now);
    if (e->state == ELECTION_PROPOSING || now < e->retry_at) {
        return;
    }
    mr_view_failover_t reason = mr_view_failover_reason(view, now);
    if (reason == MR_VIEW_NO_FAILOVER
        || (e->state != ELECTION_IDLE
            && mr_view_highest_term(view) > e->suspected_term)) {
        reset_to_idle(e);
        return;
    }
    if (e->state == ELECTION_IDLE) {
        start_waiting(e, reason, now);
    }
    if (e->state == ELECTION_WAITING && now >= e->due_at) {
        if (needs_query(e, now)) {
            query_observers(e);
        }
        else {
            propose(e);
        }
    }
}

mr_election_t *
mr_election_create(const mr_election_options_t *options)
{
    mr_election_t *e = MR_NEW(mr_election_t);

    assert(options->count <= MR_VIEW_TARGETS_MAX);
    e->options = *options;
    memcpy(e->targets, options->targets,
           options->count * sizeof(*options->targets));
    e->options.targets = e->targets;
    return e;
}

void
mr_election_destroy(mr_election_t *election)
{
    if (election == NULL) {
        return;
    }
    cancel_queries(election);
    mr_promotion_destroy(election->attempt);
    free(election);
}
