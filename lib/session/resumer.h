#ifndef MR_SESSION_RESUMER_H
#define MR_SESSION_RESUMER_H

/*
 * Makes replicas receive log entries again that a promotion has, or may have,
 * suspended. Each replica is asked until it confirms, so that a lost answer or
 * a missing slot does not leave it suspended, nor a registration that lapses.
 */

#include <event2/event.h>

#include "session/cluster.h"
#include "session/lease_grantor.h"

typedef struct mr_resumer mr_resumer_t;

/** mr_resumer_create() - the arguments must outlive the resumer. */
mr_resumer_t *mr_resumer_create(struct event_base *base,
                                mr_clusters_t *clusters,
                                mr_lease_grantor_t *grantor);
void mr_resumer_destroy(mr_resumer_t *resumer);

/** mr_resumer_resume() - resume all replicas of @cluster; a replica that is
 * not suspended ignores that. The attempts end when this instance leads no
 * more, as the next leader may suspend the replicas for a promotion. */
void mr_resumer_resume(mr_resumer_t *resumer, mr_cluster_t *cluster);

/** mr_resumer_cancel() - the replicas of @service are suspended from now on.
 */
void mr_resumer_cancel(mr_resumer_t *resumer, const char *service);

#endif
