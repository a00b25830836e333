#ifndef MR_SESSION_FEED_H
#define MR_SESSION_FEED_H

/*
 * Reads from the store what sessions are served under: the desired state,
 * through the feed of its table, and the databases' registrations, from time
 * to time and when they seem to be out of date.
 */

#include <event2/event.h>

#include "session/catalog.h"
#include "session/cluster.h"
#include "session/store.h"

typedef struct mr_feed mr_feed_t;

typedef struct mr_feed_options {
    struct event_base *base;
    mr_store_t *store;
    mr_clusters_t *clusters;
    mr_counters_t *counters;
    /* A newer desired state was read; it is borrowed. */
    void (*on_catalog)(void *ctx, mr_catalog_t *catalog);
    void *ctx;
} mr_feed_options_t;

mr_feed_t *mr_feed_create(const mr_feed_options_t *options);
void mr_feed_destroy(mr_feed_t *feed);

/** mr_feed_refresh() - read the registrations soon. */
void mr_feed_refresh(mr_feed_t *feed);

/** mr_feed_complete() - whether desired state and registrations were read. */
bool mr_feed_complete(const mr_feed_t *feed);

#endif
