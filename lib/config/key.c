#include "config/key.h"

#include <assert.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

enum { HASH_KEY_BYTES = 16 };

static const char key_prefix[] = "mrk.";

static bool
valid_characters(const char *text, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        char c = text[i];
        bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        bool digit = c >= '0' && c <= '9';
        if (!letter && !digit && c != '-' && c != '_') {
            return false;
        }
    }
    return true;
}

bool
mr_key_id_valid(const char *id)
{
    size_t len = strnlen(id, MR_CONFIG_NAME_MAX + 1);

    return len >= 1 && len <= MR_CONFIG_NAME_MAX && valid_characters(id, len);
}

bool
mr_key_parse(const char *text, size_t len, mr_key_t *key)
{
    const size_t prefix_len = sizeof(key_prefix) - 1;

    memset(key, 0, sizeof(*key));
    if (len < prefix_len + 1 + 1 + MR_KEY_SECRET_CHARS
        || len >= MR_KEY_TEXT_BYTES) {
        return false;
    }
    if (memcmp(text, key_prefix, prefix_len) != 0) {
        return false;
    }
    const char *id = text + prefix_len;
    const char *secret = text + len - MR_KEY_SECRET_CHARS;
    size_t id_len = (size_t)(secret - 1 - id);
    if (secret[-1] != '.' || !valid_characters(id, id_len)
        || !valid_characters(secret, MR_KEY_SECRET_CHARS)) {
        return false;
    }
    memcpy(key->id, id, id_len);
    memcpy(key->secret, secret, MR_KEY_SECRET_CHARS);
    return true;
}

bool
mr_key_text_contains(const char *text)
{
    static const char id_characters[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

    while ((text = strstr(text, key_prefix)) != NULL) {
        text += sizeof(key_prefix) - 1;
        size_t id_len = strspn(text, id_characters);
        if (id_len >= 1 && id_len <= MR_CONFIG_NAME_MAX && text[id_len] == '.'
            && strspn(text + id_len + 1, id_characters)
                   >= MR_KEY_SECRET_CHARS) {
            return true;
        }
    }
    return false;
}

void
mr_key_hash(const mr_key_t *key, uint8_t hash[MR_CONFIG_KEY_HASH_BYTES])
{
    uint8_t hash_key[HASH_KEY_BYTES];
    int rc;

    rc = crypto_generichash(hash_key, sizeof(hash_key),
                            (const unsigned char *)key->id, strlen(key->id),
                            NULL, 0);
    assert(rc == 0);
    rc = crypto_generichash(hash, MR_CONFIG_KEY_HASH_BYTES,
                            (const unsigned char *)key->secret,
                            strlen(key->secret), hash_key, sizeof(hash_key));
    assert(rc == 0);
    (void)rc;
}

bool
mr_key_matches(const mr_key_t *key,
               const uint8_t hash[MR_CONFIG_KEY_HASH_BYTES])
{
    uint8_t computed[MR_CONFIG_KEY_HASH_BYTES];

    mr_key_hash(key, computed);
    return sodium_memcmp(computed, hash, sizeof(computed)) == 0;
}

bool
mr_key_generate(const char *id, char text[MR_KEY_TEXT_BYTES],
                uint8_t hash[MR_CONFIG_KEY_HASH_BYTES])
{
    uint8_t secret[MR_KEY_SECRET_BYTES];
    mr_key_t key;

    if (!mr_key_id_valid(id) || sodium_init() < 0) {
        return false;
    }
    memset(&key, 0, sizeof(key));
    memcpy(key.id, id, strlen(id));
    randombytes_buf(secret, sizeof(secret));
    sodium_bin2base64(key.secret, sizeof(key.secret), secret, sizeof(secret),
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    mr_key_hash(&key, hash);
    snprintf(text, MR_KEY_TEXT_BYTES, "%s%s.%s", key_prefix, key.id,
             key.secret);
    sodium_memzero(secret, sizeof(secret));
    sodium_memzero(&key, sizeof(key));
    return true;
}
