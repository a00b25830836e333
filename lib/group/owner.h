#ifndef MR_GROUP_OWNER_H
#define MR_GROUP_OWNER_H

/*
 * The pool owner service: runs statements and transactions on the targets that
 * this instance owns, under the rules for acknowledgement and freshness.
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
 * Answers MR_ERR_WRONG_OWNER with a hint when another target or instance
 * should run it.
 */
void mr_owner_execute(mr_owner_t *owner, const mr_msg_execute_t *msg,
                      mr_execute_fn_t fn, void *ctx);

/** mr_owner_running() - requests and transactions in progress. */
size_t mr_owner_running(const mr_owner_t *owner);

/** mr_owner_status() - array of observed groups; a new reference. */
json_t *mr_owner_status(const mr_owner_t *owner);

#endif
