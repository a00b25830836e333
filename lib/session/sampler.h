#ifndef MR_SESSION_SAMPLER_H
#define MR_SESSION_SAMPLER_H

/*
 * Samples the log positions of the primaries for all instances. The
 * coordinator begins and rolls back an empty transaction at each primary whose
 * position has not been returned by a statement lately. This occupies no slot
 * of the database.
 */

#include <event2/event.h>

#include "common/clock.h"
#include "placement/cold_limit.h"
#include "session/cluster.h"

typedef struct mr_sampler mr_sampler_t;

/** mr_sampler_create() - @cold_tokens must outlive the sampler. */
mr_sampler_t *mr_sampler_create(struct event_base *base,
                                mr_clusters_t *clusters,
                                mr_cold_tokens_t *cold_tokens);
void mr_sampler_destroy(mr_sampler_t *sampler);

/** mr_sampler_run() - query the positions that are due. The coordinator calls
 * this periodically. */
void mr_sampler_run(mr_sampler_t *sampler, mr_ms_t now);

/** mr_sampler_stop() - close the connections, as another instance coordinates
 * now. */
void mr_sampler_stop(mr_sampler_t *sampler);

#endif
