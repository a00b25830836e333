#ifndef MR_ENTRY_AUTH_H
#define MR_ENTRY_AUTH_H

/* Authentication of callers and operators. Each request is checked, so that a
 * revoked key also stops working on open connections. */

#include "common/error.h"
#include "config/key.h"
#include "config/store.h"

/** Result of mr_auth_check(). */
typedef struct mr_auth {
    mr_error_kind_t error; /* MR_OK, MR_ERR_UNAUTHENTICATED, MR_ERR_FORBIDDEN,
                              MR_ERR_CONFIG_STALE */
    const char *message;
    const mr_config_account_t *account;
    /* Of the given key; "" without one. */
    char secret[MR_KEY_SECRET_CHARS + 1];
} mr_auth_t;

/**
 * mr_auth_check() - authenticate a request and find its account
 * @store: tells which keys were revoked and how old its state is
 * @config: configuration that applies to the request
 * @route: route that the request was sent to
 * @authorization: value of the Authorization header, or NULL
 */
mr_auth_t mr_auth_check(const mr_config_store_t *store,
                        const mr_config_t *config,
                        const mr_config_route_t *route,
                        const char *authorization);

/** mr_auth_credential_matches() - return whether @authorization is
 * "Bearer @expected", compared in constant time. */
bool mr_auth_credential_matches(const char *authorization,
                                const char *expected);

#endif
