#ifndef MR_GROUP_ELECTION_H
#define MR_GROUP_ELECTION_H

/*
 * Decides when this observer proposes a new primary: its view must call for a
 * failover, its rank-dependent delay among the group's observers must have
 * passed, and there must be no veto. Another observer that sees a healthy
 * primary vetoes. When the primary is leaving, pending writes of any observer
 * veto instead, but only for a limited time.
 */

#include "common/counters.h"
#include "group/promotion.h"
#include "member/member.h"
#include "wire/peer.h"

typedef struct mr_election mr_election_t;

/** A target of the group; strings must outlive the election. */
typedef struct mr_election_target {
    const char *name;
    const char *address;
    const char *data_centre;
} mr_election_target_t;

typedef struct mr_election_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_peer_t *peer;
    mr_members_t *members;
    const char *name;                    /* of this instance */
    const char *group;                   /* must outlive the election */
    const mr_election_target_t *targets; /* copied */
    size_t count;
    mr_promotion_state_fn_t on_state;
    mr_promotion_acquire_fn_t acquire_conn;
    mr_promotion_release_fn_t release_conn;
    mr_promotion_fn_t on_promoted; /* only for successful attempts */
    /* Whether this instance has writes in progress at the leaving primary. */
    bool (*is_writing)(void *ctx);
    void *ctx;
} mr_election_options_t;

mr_election_t *mr_election_create(const mr_election_options_t *options);
void mr_election_destroy(mr_election_t *election);

/** mr_election_tick() - evaluate the view and start or continue an election;
 * to be called every few tens of milliseconds. */
void mr_election_tick(mr_election_t *election, const mr_view_t *view);

#endif
