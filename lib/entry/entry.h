#ifndef MR_ENTRY_ENTRY_H
#define MR_ENTRY_ENTRY_H

/* HTTP endpoint for callers: checks each request, executes it through the
 * router and sends the response. */

#include "common/seal.h"
#include "entry/listener.h"
#include "entry/reqid.h"
#include "entry/route.h"
#include "limit/limit.h"

typedef struct mr_entry mr_entry_t;

typedef struct mr_entry_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_config_store_t *config;
    mr_limit_t *limit;
    mr_route_t *route;
    mr_reqid_t *reqid;
    const uint8_t *secret; /* fleet secret, MR_SEAL_SECRET_BYTES bytes */
    const char *name;
    mr_tls_t *tls;          /* NULL: plain HTTP */
    size_t descriptors_max; /* see mr_listener_options_t */
} mr_entry_options_t;

mr_entry_t *mr_entry_create(const mr_entry_options_t *options);

/** mr_entry_destroy() - close the listener and all connections. */
void mr_entry_destroy(mr_entry_t *entry);

/** mr_entry_listen() - accept callers on "IP:port"; returns false on failure.
 */
bool mr_entry_listen(mr_entry_t *entry, const char *address);

/** mr_entry_drain() - stop accepting connections and close each open one after
 * its next response. */
void mr_entry_drain(mr_entry_t *entry);

/** mr_entry_request_count() - number of requests in progress. */
size_t mr_entry_request_count(const mr_entry_t *entry);

#endif
