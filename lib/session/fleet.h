#ifndef MR_SESSION_FLEET_H
#define MR_SESSION_FLEET_H

/*
 * The instances and their coordinator. Instances register in the store. The
 * first reachable one, in an order that all agree on, coordinates: the others
 * report to it several times a second and draw tokens of the accounts'
 * rates, newer desired states and registrations, and the primaries. When it
 * does not answer, the next one takes over.
 */

#include <event2/event.h>

#include "session/cluster.h"
#include "session/directory.h"
#include "session/feed.h"
#include "session/promoter.h"
#include "session/quota.h"
#include "session/sampler.h"
#include "session/store.h"

typedef struct mr_fleet mr_fleet_t;

typedef struct mr_fleet_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *name;
    const char *data_centre;
    const char *address; /* that other instances reach this one at */
    mr_store_t *store;
    mr_feed_t *feed;
    mr_directory_t *directory;
    mr_clusters_t *clusters;
    mr_quota_t *quota;
    mr_promoter_t *promoter;
    mr_sampler_t *sampler;
    /* Tokens were drawn, or refused, for all wants up to @asked_at. */
    void (*drawn)(void *ctx, mr_ms_t asked_at);
    void *ctx;
} mr_fleet_options_t;

mr_fleet_t *mr_fleet_create(const mr_fleet_options_t *options);
void mr_fleet_destroy(mr_fleet_t *fleet);

/** mr_fleet_refresh() - registrations seem to be out of date. */
void mr_fleet_refresh(mr_fleet_t *fleet);

/** mr_fleet_notify() - report soon: an account is short of tokens. */
void mr_fleet_notify(mr_fleet_t *fleet);

/** mr_fleet_joined() - whether the other instances are known. */
bool mr_fleet_joined(const mr_fleet_t *fleet);

/** mr_fleet_instances() - instances that may admit operations. */
size_t mr_fleet_instances(const mr_fleet_t *fleet);

/** mr_fleet_leave() - this instance stops: coordinates no longer. */
void mr_fleet_leave(mr_fleet_t *fleet);

#endif
