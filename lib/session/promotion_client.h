#ifndef MR_SESSION_PROMOTION_CLIENT_H
#define MR_SESSION_PROMOTION_CLIENT_H

/*
 * Client of the platform's promotion calls. An order names the database that
 * becomes the primary. The platform refuses an order whose fencing token is
 * lower than one that it has seen for the same service. Implemented in
 * platform/promotion_client.c.
 */

#include <event2/event.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"

typedef struct mr_promotion_client mr_promotion_client_t;

typedef struct mr_promotion_client_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *address; /* "IP:port" */
    const char *holder;  /* name of this instance */
} mr_promotion_client_options_t;

/**
 * mr_promotion_client_fn_t - an order has ended
 * @error: MR_OK; MR_ERR_CONFLICT: refused, a higher token was seen or the
 *         database is not running; MR_ERR_UNAVAILABLE: not carried out;
 *         MR_ERR_OUTCOME_UNKNOWN: may be carried out later
 */
typedef void (*mr_promotion_client_fn_t)(void *ctx, mr_error_kind_t error);

mr_promotion_client_t *
mr_promotion_client_create(const mr_promotion_client_options_t *options);
void mr_promotion_client_destroy(mr_promotion_client_t *duty);

/** mr_promotion_client_promote() - order that database @target becomes the
 * primary of @service. */
void mr_promotion_client_promote(mr_promotion_client_t *duty,
                                 const char *service, const char *target,
                                 int64_t token, mr_promotion_client_fn_t fn,
                                 void *ctx);

#endif
