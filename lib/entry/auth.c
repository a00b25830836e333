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
refuse(mr_error_kind_t error, const char *message)
{
    return (mr_auth_t){.error = error, .message = message};
}

static bool
may_use(const mr_config_route_t *route, const mr_config_account_t *account)
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
    mr_auth_t ok = {.error = MR_OK};
    mr_key_t key;

    if (route->open) {
        ok.account = route->charged;
        /* Not needed, but no target may see it. */
        if (token != NULL && mr_key_parse(token, strlen(token), &key)) {
            memcpy(ok.secret, key.secret, sizeof(ok.secret));
        }
        return ok;
    }
    /* Without news from the store for this long, a withdrawal may have been
     * missed; the operator chose the limit for each route. */
    if (mr_config_store_contact_age(store) > route->offline_limit_s * 1000) {
        return refuse(MR_ERR_CONFIG_STALE,
                      "no contact with the configuration store");
    }
    /* Requests that arrived during a pause are read before the timers run. */
    if (mr_config_store_paused(store)) {
        return refuse(MR_ERR_CONFIG_STALE,
                      "the instance was paused and reads the configuration");
    }
    if (token == NULL) {
        return refuse(MR_ERR_UNAUTHENTICATED, "a key is required");
    }
    if (!mr_key_parse(token, strlen(token), &key)) {
        return refuse(MR_ERR_UNAUTHENTICATED, "the key is malformed");
    }
    const mr_config_key_t *known =
        mr_config_find_key(config, key.id, &account);
    if (known == NULL || !mr_key_matches(&key, known->hash)
        || mr_config_store_key_revoked(store, key.id)) {
        return refuse(MR_ERR_UNAUTHENTICATED, "the key is not valid");
    }
    if (!may_use(route, account)) {
        return refuse(MR_ERR_FORBIDDEN, "the account may not use this route");
    }
    ok.account = account;
    memcpy(ok.secret, key.secret, sizeof(ok.secret));
    return ok;
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
    /* Hashes have one length, so the comparison tells nothing of it. */
    crypto_generichash(given_hash, sizeof(given_hash), (const uint8_t *)token,
                       strlen(token), NULL, 0);
    crypto_generichash(expected_hash, sizeof(expected_hash),
                       (const uint8_t *)expected, strlen(expected), NULL, 0);
    return sodium_memcmp(given_hash, expected_hash, sizeof(given_hash)) == 0;
}
