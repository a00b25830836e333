#ifndef MR_ENTRY_ROUTE_H
#define MR_ENTRY_ROUTE_H

/*
 * Sends a request to the pool owner that should run it and follows the
 * primary hints in replies. Within the deadline, it retries requests that
 * certainly did not run or may safely run twice.
 */

#include "config/store.h"
#include "group/owner.h"
#include "member/member.h"
#include "wire/execute.h"
#include "wire/peer.h"

typedef struct mr_route mr_route_t;

typedef struct mr_route_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_peer_t *peer;
    mr_members_t *members;
    mr_config_store_t *config;
    mr_owner_t *owner; /* this instance's own service */
    const char *name;
    const char *data_centre;
} mr_route_options_t;

mr_route_t *mr_route_create(const mr_route_options_t *options);

/** mr_route_destroy() - free the router; requests in progress end without a
 * callback. */
void mr_route_destroy(mr_route_t *route);

/**
 * mr_route_execute() - run a request on a suitable target of its group
 * @msg: copied; @msg->target names a target whose log covers the session's
 *       position, or is empty
 * @fn: called exactly once, after this function has returned
 */
void mr_route_execute(mr_route_t *route, const mr_msg_execute_t *msg,
                      mr_execute_fn_t fn, void *ctx);

/**
 * mr_route_forward() - send a request to one instance, without retries; used
 * for transactions and request ids, which are bound to an instance
 * @instance: name of the instance
 * @address: address of its peer listener; the instance need not be in the
 *           member list
 * @fn: called exactly once, possibly before this function returns
 */
void mr_route_forward(mr_route_t *route, const char *instance,
                      const char *address, const mr_msg_execute_t *msg,
                      mr_execute_fn_t fn, void *ctx);

#endif
