#ifndef MR_ENTRY_CONNECTIONS_H
#define MR_ENTRY_CONNECTIONS_H

/*
 * Connections of an HTTP listener, found by their descriptors, as libevent
 * does not report when a connection begins or ends. Closes some when
 * descriptors are scarce.
 */

#include <event2/http.h>

#include "common/clock.h"
#include "common/counters.h"

typedef struct mr_connections mr_connections_t;

/** mr_connections_create() - @label: of the listener, in metrics. */
mr_connections_t *mr_connections_create(mr_counters_t *counters,
                                        const char *label);
void mr_connections_destroy(mr_connections_t *connections);

/** mr_connections_on_request() - @request has arrived; its connection is busy
 * until the answer is written. */
void mr_connections_on_request(mr_connections_t *connections,
                               struct evhttp_request *request);

/**
 * mr_connections_make_room() - close connections that stall or are idle, in
 * the order of admission/client_budget.h
 * @listener: descriptor of the listening socket
 */
void mr_connections_make_room(mr_connections_t *connections, int listener);

#endif
