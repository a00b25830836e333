#ifndef MR_SESSION_RELAY_H
#define MR_SESSION_RELAY_H

/*
 * The session relay of one instance: accepts client sessions and runs their
 * statements on the databases.
 */

#include <event2/event.h>
#include <stdbool.h>

#include "common/counters.h"
#include "common/memory.h"
#include "session/catalog.h"
#include "session/cluster.h"
#include "session/quota.h"

typedef struct mr_relay mr_relay_t;

typedef struct mr_relay_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_memory_t *memory;
    mr_clusters_t *clusters;
    mr_quota_t *quota;
    struct mr_sharing *sharing; /* NULL: connections are not shared */
    const char *listen;         /* "IP:port" for clients */
    /* Called when the registrations seem outdated; may be NULL. */
    void (*refresh)(void *ctx);
    /* Called when an operation starts to wait for a token. */
    void (*tokens_needed)(void *ctx);
    void *ctx;
} mr_relay_options_t;

/** mr_relay_create() - NULL if it cannot listen on the address. */
mr_relay_t *mr_relay_create(const mr_relay_options_t *options);
void mr_relay_destroy(mr_relay_t *relay);

/** mr_relay_set_catalog() - use @catalog for new operations. */
void mr_relay_set_catalog(mr_relay_t *relay, mr_catalog_t *catalog);

/** mr_relay_set_sharing() - share connections with other instances; @sharing
 * must outlive the relay's sessions. */
void mr_relay_set_sharing(mr_relay_t *relay, struct mr_sharing *sharing);

/** mr_relay_sessions() - number of open sessions. */
size_t mr_relay_sessions(const mr_relay_t *relay);

/** mr_relay_on_tokens() - tokens were drawn for the demand of @round, see
 * mr_quota_round(). */
void mr_relay_on_tokens(mr_relay_t *relay, int64_t round);

/** mr_relay_sync_copies() - number of replicas of @service that must hold a
 * commit before it is acknowledged, according to the desired state. */
int64_t mr_relay_sync_copies(const mr_relay_t *relay, const char *service);

/** mr_relay_drain() - end each session as soon as it has no statement or
 * transaction open. A new session still gets its first operation served. */
void mr_relay_drain(mr_relay_t *relay);

/** mr_relay_abort_transactions() - roll back the transactions, and end the
 * sessions, that have been idle since the last call. From the first call on, a
 * transaction ends with the next request of its client. */
void mr_relay_abort_transactions(mr_relay_t *relay);

#endif
