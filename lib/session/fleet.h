#ifndef MR_SESSION_FLEET_H
#define MR_SESSION_FLEET_H

/*
 * The instances and their coordinator. Instances register in the store and
 * have priorities that all of them compute alike; those with the fastest
 * network links come first. The reachable instance with the highest priority
 * is the coordinator. The others report to it several
 * times a second and receive tokens for the accounts' rates, newer desired
 * states and registrations, and the state of the primaries. When it does not
 * answer, the instance with the next priority takes over.
 */

#include <event2/event.h>

#include "common/memory.h"
#include "placement/owner.h"
#include "session/cluster.h"
#include "session/directory.h"
#include "session/feed.h"
#include "session/promoter.h"
#include "session/quota.h"
#include "session/sampler.h"
#include "session/store.h"
#include "wire/peer.h"

typedef struct mr_fleet mr_fleet_t;

typedef struct mr_fleet_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *name;
    const char *data_centre;
    const char *address;     /* where other instances reach this one */
    int64_t link_mbps;       /* of this instance's network link; 0: unknown */
    bool shares_connections; /* the links also carry queries */
    mr_store_t *store;
    mr_feed_t *feed;
    mr_directory_t *directory;
    const mr_memory_t *memory;
    mr_clusters_t *clusters;
    mr_quota_t *quota;
    mr_promoter_t *promoter;
    mr_sampler_t *sampler;
    mr_primary_lease_t *lease;
    mr_lease_grantor_t *grantor;
    /* Called after tokens were drawn for the demand of @round, see
     * mr_quota_round(), whether or not there were enough. */
    void (*tokens_drawn)(void *ctx, int64_t round);
    void *ctx;
} mr_fleet_options_t;

mr_fleet_t *mr_fleet_create(const mr_fleet_options_t *options);
void mr_fleet_destroy(mr_fleet_t *fleet);

/** mr_fleet_refresh() - the registrations seem outdated: have them read again.
 */
void mr_fleet_refresh(mr_fleet_t *fleet);

/** mr_fleet_report_soon() - report ahead of time, as an account is short of
 * tokens or the registrations seem outdated. */
void mr_fleet_report_soon(mr_fleet_t *fleet);

/** mr_fleet_announce_withheld() - have the withheld services confirmed ahead
 * of the next reports, unless there are many instances. */
void mr_fleet_announce_withheld(mr_fleet_t *fleet);

/** mr_fleet_peer() - the links to the other instances. */
mr_peer_t *mr_fleet_peer(mr_fleet_t *fleet);

/** mr_fleet_set_owners() - keep the instances whose data centre is known in
 * @owners, which must outlive @fleet; NULL: no longer. */
void mr_fleet_set_owners(mr_fleet_t *fleet, mr_owners_t *owners);

/** mr_fleet_joined() - whether the other instances are known. */
bool mr_fleet_joined(const mr_fleet_t *fleet);

/** mr_fleet_instances() - number of instances that may admit operations. */
size_t mr_fleet_instances(const mr_fleet_t *fleet);

/** mr_fleet_leave() - this instance is stopping and no longer coordinates. */
void mr_fleet_leave(mr_fleet_t *fleet);

#endif
