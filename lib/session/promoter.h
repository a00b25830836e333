#ifndef MR_SESSION_PROMOTER_H
#define MR_SESSION_PROMOTER_H

/*
 * Changes of primary. The coordinator gathers how the instances see each
 * primary; when it is dead for them, or leaves, the replica with the longest
 * log is promoted by an order to the platform, under a fencing token from the
 * store that is used for one order only.
 */

#include "common/clock.h"
#include "session/cluster.h"
#include "session/duty.h"
#include "session/store.h"
#include "wire/msg.h"

typedef struct mr_promoter mr_promoter_t;

typedef struct mr_promoter_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_clusters_t *clusters;
    mr_store_t *store;
    mr_duty_t *duty;
    const char *instance;
    /* How many replicas hold a commit before its acknowledgement. */
    int64_t (*sync_copies)(void *ctx, const char *service);
    /* A promotion ended well. */
    void (*promoted)(void *ctx);
    void *ctx;
} mr_promoter_options_t;

mr_promoter_t *mr_promoter_create(const mr_promoter_options_t *options);
void mr_promoter_destroy(mr_promoter_t *promoter);

/** mr_promoter_report() - how @instance sees the primaries at @now. */
void mr_promoter_report(mr_promoter_t *promoter, const char *instance,
                        mr_ms_t now, const mr_msg_db_health_t *health,
                        size_t count);

/** mr_promoter_check() - order what is due; called often while this instance
 * is the coordinator. @reporting of @instances report to it. */
void mr_promoter_check(mr_promoter_t *promoter, mr_ms_t now, size_t reporting,
                       size_t instances);

#endif
