#ifndef MR_SESSION_RELAY_H
#define MR_SESSION_RELAY_H

/*
 * The session relay of one instance: accepts sessions of clients, runs their
 * statements on the databases and ends with the process.
 */

#include <event2/event.h>
#include <stdbool.h>

#include "common/counters.h"
#include "session/catalog.h"
#include "session/cluster.h"
#include "session/quota.h"

typedef struct mr_relay mr_relay_t;

typedef struct mr_relay_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_clusters_t *clusters;
    mr_quota_t *quota;
    const char *listen; /* "IP:port" for clients */
    /* Called when registrations seem to be out of date; may be NULL. */
    void (*refresh)(void *ctx);
    /* Called when an operation waits for a token. */
    void (*short_of_tokens)(void *ctx);
    void *ctx;
} mr_relay_options_t;

/** mr_relay_create() - NULL when the address cannot be listened on. */
mr_relay_t *mr_relay_create(const mr_relay_options_t *options);
void mr_relay_destroy(mr_relay_t *relay);

/** mr_relay_set_catalog() - the desired state for statements from now on. */
void mr_relay_set_catalog(mr_relay_t *relay, mr_catalog_t *catalog);

/** mr_relay_sessions() - open sessions. */
size_t mr_relay_sessions(const mr_relay_t *relay);

/** mr_relay_admit() - tokens were drawn for what was wanted at @asked_at. */
void mr_relay_admit(mr_relay_t *relay, mr_ms_t asked_at);

/** mr_relay_sync_copies() - replicas of @service that hold a commit before it
 * is acknowledged, by the desired state. */
int64_t mr_relay_sync_copies(const mr_relay_t *relay, const char *service);

/** mr_relay_drain() - end each session that has nothing open, now and as soon
 * as its work ends. New ones are still served once. */
void mr_relay_drain(mr_relay_t *relay);

/** mr_relay_abort_transactions() - end transactions between statements. */
void mr_relay_abort_transactions(mr_relay_t *relay);

#endif
