#ifndef MR_SESSION_READY_H
#define MR_SESSION_READY_H

/* Listener for the load balancer's readiness probes and for scrapers of the
 * counters. Implemented in platform/ready.c. */

#include <event2/event.h>
#include <stdbool.h>

#include "common/counters.h"

typedef struct mr_ready mr_ready_t;

/** mr_ready_create() - answer each probe with the result of @is_ready. NULL if
 * it cannot listen on @address. */
mr_ready_t *mr_ready_create(struct event_base *base, const char *address,
                            const mr_counters_t *counters,
                            bool (*is_ready)(void *ctx), void *ctx);
void mr_ready_destroy(mr_ready_t *ready);

#endif
