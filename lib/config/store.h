#ifndef MR_CONFIG_STORE_H
#define MR_CONFIG_STORE_H

/*
 * Tracks the configuration of this instance: polls the platform, stages and
 * confirms approved versions, fetches versions from peers, and applies
 * accepted versions. The applied version never decreases.
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

/** mr_config_change_fn_t - called after a new version was applied. */
typedef void (*mr_config_change_fn_t)(void *ctx, mr_config_t *config);

mr_config_store_t *
mr_config_store_create(const mr_config_store_options_t *options);
void mr_config_store_destroy(mr_config_store_t *store);

/** mr_config_store_current() - returns the applied version, NULL before the
 * first one. The reference is borrowed: a caller that keeps it calls
 * mr_config_ref(). */
mr_config_t *mr_config_store_current(const mr_config_store_t *store);

/** mr_config_store_subscribe() - calls @fn after each change, and immediately
 * if a version is already applied. */
void mr_config_store_subscribe(mr_config_store_t *store,
                               mr_config_change_fn_t fn, void *ctx);

/** mr_config_store_unsubscribe() - removes all subscriptions with @ctx. */
void mr_config_store_unsubscribe(mr_config_store_t *store, const void *ctx);

/**
 * mr_config_store_key_revoked() - returns whether a key must be treated as
 * revoked
 *
 * That is the case while the store is unreachable and the staged version
 * removes the key: that version may have been accepted in the meantime.
 */
bool mr_config_store_key_revoked(const mr_config_store_t *store,
                                 const char *key_id);

/**
 * mr_config_store_paused() - returns whether this process was suspended, so
 * that it may have missed a change, and has not caught up yet
 *
 * It has caught up after contact with the store that began after the
 * suspension or, while the store is unreachable, after applying the highest
 * version among the peers of its data centre that replied.
 */
bool mr_config_store_paused(const mr_config_store_t *store);

/** mr_config_store_contact_age() - returns the time since the store was last
 * reached by this instance or by a peer that it fetched from; INT64_MAX:
 * never. */
mr_ms_t mr_config_store_contact_age(const mr_config_store_t *store);

/** mr_config_store_status() - returns the applied version, the staged version,
 * the contact age and whether this instance is a poller, for the admin
 * endpoint; the caller owns the reference. */
json_t *mr_config_store_status(const mr_config_store_t *store);

#endif
