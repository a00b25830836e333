#include "entry/auth.h"

#include <sodium.h>
#include <string.h>
#include <strings.h>

static const char *
bearer_token(const char *authorization)
{
    static const char scheme[] = "Bearer ";
    size_t len = strlen(scheme);

    if (authorization == NULL
        || strncasecmp(authorization, scheme, len) != 0) {
        return NULL;
    }
    return authorization + len;
}

static mr_auth_t
auth_error(mr_error_kind_t error, const char *message)
{
    return (mr_auth_t){.error = error, .message = message};
}

static bool
is_allowed(const mr_config_route_t *route, const mr_config_account_t *account)
{
    for (size_t i = 0; i < route->account_count; i++) {
        if (route->accounts[i] == account) {
            return true;
        }
    }
    return false;
}

mr_auth_t
mr_auth_check(const mr_config_store_t *store, const mr_config_t *config,
              const mr_config_route_t *route, const char *authorization)
{
    const mr_config_account_t *account = NULL;
    const char *token = bearer_token(authorization);
    mr_auth_t result = {.error = MR_OK};
    mr_key_t key;

    if (route->open) {
        result.account = route->charged;
        /* The route needs no key, but a key that is given must not reach a
         * target in a statement. */
        if (token != NULL && mr_key_parse(token, strlen(token), &key)) {
            memcpy(result.secret, key.secret, sizeof(result.secret));
        }
        return result;
    }
    /* Without contact with the store, the revocation of a key may have been
     * missed. The route's configuration limits for how long that is accepted.
     */
    if (mr_config_store_contact_age(store) > route->offline_limit_s * 1000) {
        return auth_error(MR_ERR_CONFIG_STALE,
                          "no contact with the configuration store");
    }
    /* After a pause of the process, requests that arrived meanwhile are read
     * before the timers run that refresh the configuration. */
    if (mr_config_store_paused(store)) {
        return auth_error(MR_ERR_CONFIG_STALE,
                          "the instance was paused and is reloading the "
                          "configuration");
    }
    if (token == NULL) {
        return auth_error(MR_ERR_UNAUTHENTICATED, "a key is required");
    }
    if (!mr_key_parse(token, strlen(token), &key)) {
        return auth_error(MR_ERR_UNAUTHENTICATED, "the key is malformed");
    }
    const mr_config_key_t *configured =
        mr_config_find_key(config, key.id, &account);
    if (configured == NULL || !mr_key_matches(&key, configured->hash)
        || mr_config_store_key_revoked(store, key.id)) {
        return auth_error(MR_ERR_UNAUTHENTICATED, "the key is invalid");
    }
    if (!is_allowed(route, account)) {
        return auth_error(MR_ERR_FORBIDDEN,
                          "the account may not use this route");
    }
    result.account = account;
    memcpy(result.secret, key.secret, sizeof(result.secret));
    return result;
}

bool
mr_auth_credential_matches(const char *authorization, const char *expected)
{
    uint8_t given_hash[crypto_generichash_BYTES];
    uint8_t expected_hash[crypto_generichash_BYTES];
    const char *token = bearer_token(authorization);

    if (token == NULL || expected == NULL || expected[0] == '\0') {
        return false;
    }
    /* Hashes have a fixed length, so the comparison does not leak the length
     * of the credential. */
    crypto_generichash(given_hash, sizeof(given_hash), (const uint8_t *)token,
                       strlen(token), NULL, 0);
    crypto_generichash(expected_hash, sizeof(expected_hash),
                       (const uint8_t *)expected, strlen(expected), NULL, 0);
    return sodium_memcmp(given_hash, expected_hash, sizeof(given_hash)) == 0;
}
