#ifndef MR_SESSION_PROMOTER_H
#define MR_SESSION_PROMOTER_H

/*
 * Failover and planned changes of the primary. The coordinator collects the
 * health of each primary as reported by the instances. When a primary has
 * failed, is missing or is draining, the coordinator orders the platform to
 * promote the replica with the longest log. Each order carries a fencing token
 * from the store that no other order uses, and is sent only once no instance
 * can use the old primary any more.
 */

#include "common/clock.h"
#include "session/cluster.h"
#include "session/lease_grantor.h"
#include "session/promotion_client.h"
#include "session/store.h"
#include "wire/msg.h"

typedef struct mr_promoter mr_promoter_t;

typedef struct mr_promoter_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_clusters_t *clusters;
    mr_store_t *store;
    mr_promotion_client_t *duty;
    mr_lease_grantor_t *grantor;
    const char *instance;
    /* Number of replicas that hold a commit before it is acknowledged. */
    int64_t (*sync_copies)(void *ctx, const char *service);
    /* Called when a service was withheld; the instances should confirm that
     * soon. */
    void (*withheld)(void *ctx);
    /* Called after the platform has carried out a promotion. */
    void (*promoted)(void *ctx);
    void *ctx;
} mr_promoter_options_t;

mr_promoter_t *mr_promoter_create(const mr_promoter_options_t *options);
void mr_promoter_destroy(mr_promoter_t *promoter);

/** mr_promoter_report() - record the health of the primaries that @instance
 * reported at @now. */
void mr_promoter_report(mr_promoter_t *promoter, const char *instance,
                        mr_ms_t now, const mr_msg_db_health_t *health,
                        size_t count);

/** mr_promoter_check() - start the promotions that are due. The coordinator
 * calls this periodically; @reporting of @instances report to it. */
void mr_promoter_check(mr_promoter_t *promoter, mr_ms_t now, size_t reporting,
                       size_t instances);

/** mr_promoter_stop() - this instance no longer coordinates. */
void mr_promoter_stop(mr_promoter_t *promoter);

#endif
