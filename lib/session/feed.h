#ifndef MR_SESSION_FEED_H
#define MR_SESSION_FEED_H

/*
 * Reads the store into the instance's directory: the desired state through the
 * feed of its table, the registrations from time to time. Instances that hear
 * from the coordinator leave the reading to it and a few others.
 */

#include <event2/event.h>

#include "session/directory.h"
#include "session/store.h"

typedef struct mr_feed mr_feed_t;

typedef struct mr_feed_options {
    struct event_base *base;
    mr_store_t *store;
    mr_directory_t *directory;
} mr_feed_options_t;

/** How much an instance reads from the store. */
typedef enum mr_feed_duty {
    MR_FEED_ALL,    /* no other instance is heard: both, at its own pace */
    MR_FEED_CHIEF,  /* reads both for the others */
    MR_FEED_CONFIG, /* follows the desired state only */
    MR_FEED_NONE,   /* hears everything from the coordinator */
} mr_feed_duty_t;

mr_feed_t *mr_feed_create(const mr_feed_options_t *options);
void mr_feed_destroy(mr_feed_t *feed);

void mr_feed_set_duty(mr_feed_t *feed, mr_feed_duty_t duty);

/** mr_feed_failing() - whether the last call to the store failed. */
bool mr_feed_failing(const mr_feed_t *feed);

/** mr_feed_refresh() - read the registrations soon. */
void mr_feed_refresh(mr_feed_t *feed);

#endif
