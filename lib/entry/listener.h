#ifndef MR_ENTRY_LISTENER_H
#define MR_ENTRY_LISTENER_H

/* An HTTP listener with resource limits and optional TLS. */

#include <event2/http.h>

#include "common/counters.h"
#include "common/tls.h"

typedef struct mr_listener mr_listener_t;

typedef struct mr_listener_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *label; /* in metrics, such as "callers" */
    mr_tls_t *tls;     /* NULL: plain HTTP */
    size_t headers_max_bytes;
    size_t body_max_bytes;
    int idle_timeout_s;
    /* No connections are accepted while the process has this many open
     * descriptors, or all but the reserve of common/descriptors.h; callers
     * then wait in the kernel's queue, and connections that stall or are idle
     * are closed. SIZE_MAX: half of the reserve may be used. */
    size_t descriptors_max;
} mr_listener_options_t;

/** mr_listener_fn_t - handles a request, which must be answered exactly once.
 */
typedef void (*mr_listener_fn_t)(struct evhttp_request *request, void *ctx);

mr_listener_t *mr_listener_create(const mr_listener_options_t *options,
                                  mr_listener_fn_t fn, void *ctx);

/** mr_listener_destroy() - close the listener and all connections. */
void mr_listener_destroy(mr_listener_t *listener);

/** mr_listener_open() - accept connections on "IP:port"; returns false on
 * failure. */
bool mr_listener_open(mr_listener_t *listener, const char *address);

/** mr_listener_close() - stop accepting connections; open ones are kept. */
void mr_listener_close(mr_listener_t *listener);

#endif
