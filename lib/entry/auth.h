#ifndef MR_ENTRY_AUTH_H
#define MR_ENTRY_AUTH_H

/* Whose request it is. Checked for every request, so that a withdrawn key
 * stops working on open connections. */

#include "common/error.h"
#include "config/key.h"
#include "config/store.h"

/** Result of a check. */
typedef struct mr_auth {
    mr_error_kind_t error; /* MR_OK, MR_ERR_UNAUTHENTICATED, MR_ERR_FORBIDDEN,
                              MR_ERR_CONFIG_STALE */
    const char *message;
    const mr_config_account_t *account;
    char secret[MR_KEY_SECRET_TEXT + 1]; /* "" without a key */
} mr_auth_t;

/**
 * mr_auth_check() - find the account of a request
 * @store: for keys that may have been withdrawn
 * @config: the configuration that the request runs under
 * @route: route it came on
 * @authorization: the header's value, or NULL
 */
mr_auth_t mr_auth_check(const mr_config_store_t *store,
                        const mr_config_t *config,
                        const mr_config_route_t *route,
                        const char *authorization);

/** mr_auth_credential_matches() - constant-time check of "Bearer @expected".
 */
bool mr_auth_credential_matches(const char *authorization,
                                const char *expected);

#endif
