#ifndef MR_SESSION_SAMPLER_H
#define MR_SESSION_SAMPLER_H

/*
 * Keeps the primaries' log positions fresh for all instances: the coordinator
 * begins and rolls back an empty transaction at each primary whose position no
 * statement has shown lately. That takes no slot of the database.
 */

#include <event2/event.h>

#include "common/clock.h"
#include "session/cluster.h"

typedef struct mr_sampler mr_sampler_t;

mr_sampler_t *mr_sampler_create(struct event_base *base,
                                mr_clusters_t *clusters);
void mr_sampler_destroy(mr_sampler_t *sampler);

/** mr_sampler_run() - ask where a position is due; called often while this
 * instance is the coordinator. */
void mr_sampler_run(mr_sampler_t *sampler, mr_ms_t now);

/** mr_sampler_stop() - close the connections: another one coordinates. */
void mr_sampler_stop(mr_sampler_t *sampler);

#endif
