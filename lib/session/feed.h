#ifndef MR_SESSION_FEED_H
#define MR_SESSION_FEED_H

/*
 * Reads the store into the instance's directory: the desired state and the
 * evacuations through the change feed of their table, the registrations
 * periodically. While instances
 * get replies from the coordinator with recent confirmations of the desired
 * state, only the coordinator reads the store.
 */

#include <event2/event.h>

#include "session/directory.h"
#include "session/store.h"

typedef struct mr_feed mr_feed_t;

typedef struct mr_feed_options {
    struct event_base *base;
    mr_store_t *store;
    mr_directory_t *directory;
    int64_t link_mbps; /* of this instance's network link; 0: unknown */
    mr_ms_t apply_max; /* until a change of the table is applied */
} mr_feed_options_t;

/** What an instance reads from the store. */
typedef enum mr_feed_role {
    MR_FEED_ISOLATED,    /* both, as the coordinator cannot provide them */
    MR_FEED_COORDINATOR, /* both, on behalf of the other instances */
    MR_FEED_DEPUTY,      /* the desired state, while confirmations are late */
    MR_FEED_SUBSTITUTE,  /* that and the registrations, as the coordinator
                            cannot read the store */
    MR_FEED_NONE,        /* nothing: gets both from the coordinator, or the
                            desired state if confirmations are very late */
} mr_feed_role_t;

mr_feed_t *mr_feed_create(const mr_feed_options_t *options);
void mr_feed_destroy(mr_feed_t *feed);

void mr_feed_set_role(mr_feed_t *feed, mr_feed_role_t role);

/** mr_feed_failing() - whether two readings of the registrations in a row have
 * failed. */
bool mr_feed_failing(const mr_feed_t *feed);

/** mr_feed_refresh() - read the registrations soon. */
void mr_feed_refresh(mr_feed_t *feed);

#endif
