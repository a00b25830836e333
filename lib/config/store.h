#ifndef MR_CONFIG_STORE_H
#define MR_CONFIG_STORE_H

/*
 * The configuration in force at this instance: polls the platform, stages and
 * confirms approved versions, learns from peers, and applies accepted
 * versions. Versions only go up.
 */

#include "common/counters.h"
#include "config/model.h"
#include "member/member.h"
#include "platform/platform.h"
#include "wire/peer.h"

typedef struct mr_config_store mr_config_store_t;

typedef struct mr_config_store_options {
    struct event_base *base;
    mr_counters_t *counters;
    mr_platform_t *platform;
    mr_peer_t *peer;
    mr_members_t *members;
    const char *data_centre;
    const char *name;
    const uint8_t *approver_key; /* Ed25519 public key, 32 bytes */
} mr_config_store_options_t;

/** mr_config_change_fn_t - a new version is in force. */
typedef void (*mr_config_change_fn_t)(void *ctx, mr_config_t *config);

mr_config_store_t *
mr_config_store_create(const mr_config_store_options_t *options);
void mr_config_store_destroy(mr_config_store_t *store);

/** mr_config_store_current() - version in force; NULL before the first. The
 * caller takes a reference if it keeps it. */
mr_config_t *mr_config_store_current(const mr_config_store_t *store);

/** mr_config_store_subscribe() - call @fn at each change, and at once if a
 * version is in force. */
void mr_config_store_subscribe(mr_config_store_t *store,
                               mr_config_change_fn_t fn, void *ctx);

/** mr_config_store_unsubscribe() - end all subscriptions with @ctx. */
void mr_config_store_unsubscribe(mr_config_store_t *store, const void *ctx);

/**
 * mr_config_store_key_revoked() - whether a confirmed staged version withdraws
 * a key and may have been accepted while the store is out of reach
 */
bool mr_config_store_key_revoked(const mr_config_store_t *store,
                                 const char *key_id);

/**
 * mr_config_store_paused() - whether this instance was paused, so that it may
 * have missed a change, and has no news since
 *
 * News is contact with the store after the pause or, when the store is out of
 * reach, the highest version among the answering peers of the data centre.
 */
bool mr_config_store_paused(const mr_config_store_t *store);

/** mr_config_store_contact_age() - time since this instance or a peer it
 * hears from last reached the store. */
mr_ms_t mr_config_store_contact_age(const mr_config_store_t *store);

/** mr_config_store_status() - version in force, staged version and contact
 * age, for the admin endpoint; a new reference. */
json_t *mr_config_store_status(const mr_config_store_t *store);

#endif
