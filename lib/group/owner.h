#ifndef MR_GROUP_OWNER_H
#define MR_GROUP_OWNER_H

/*
 * The pool owner service: runs statements and transactions on the targets that
 * this instance owns, and enforces the acknowledgement and freshness rules.
 */

#include "config/store.h"
#include "group/observer.h"
#include "member/member.h"
#include "platform/platform.h"
#include "wire/execute.h"
#include "wire/peer.h"

typedef struct mr_owner mr_owner_t;

typedef struct mr_owner_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_platform_t *platform;
    mr_peer_t *peer;
    mr_members_t *members;
    mr_config_store_t *config;
    const char *name;
    const char *address; /* of this instance's peer listener */
} mr_owner_options_t;

mr_owner_t *mr_owner_create(const mr_owner_options_t *options);
void mr_owner_destroy(mr_owner_t *owner);

/**
 * mr_owner_execute() - run a request on one of the owned targets
 * @msg: copied
 * @fn: called exactly once, possibly before this function returns
 *
 * Replies with MR_ERR_WRONG_OWNER when another instance or target should run
 * the request. If it is another target, the hint in the reply names the
 * primary.
 */
void mr_owner_execute(mr_owner_t *owner, const mr_msg_execute_t *msg,
                      mr_execute_fn_t fn, void *ctx);

/** mr_owner_running() - number of requests in progress and open transactions.
 */
size_t mr_owner_running(const mr_owner_t *owner);

/** mr_owner_status() - status of all observed groups as an array; returns a
 * new reference. */
json_t *mr_owner_status(const mr_owner_t *owner);

#endif
