#ifndef MR_DAEMON_SERVICE_H
#define MR_DAEMON_SERVICE_H

/* Connects the modules that run requests: handles EXECUTE messages from other
 * instances, and applies the account's rate limit to requests with an id on
 * the instance that keeps their record. */

#include "entry/reqid.h"
#include "entry/route.h"
#include "limit/limit.h"

typedef struct mr_service mr_service_t;

typedef struct mr_service_options {
    mr_peer_t *peer;
    mr_config_store_t *config;
    mr_limit_t *limit;
    mr_owner_t *owner;
    mr_route_t *route;
} mr_service_options_t;

mr_service_t *mr_service_create(const mr_service_options_t *options);
void mr_service_destroy(mr_service_t *service);

/** mr_service_set_reqid() - set the records of request ids; must be called
 * before messages arrive. */
void mr_service_set_reqid(mr_service_t *service, mr_reqid_t *reqid);

/** mr_service_run() - wait for a token of the account, then route the request;
 * an mr_reqid_run_fn_t whose @run_ctx is the service. */
void mr_service_run(void *run_ctx, const mr_msg_execute_t *msg,
                    mr_execute_fn_t fn, void *ctx);

#endif
