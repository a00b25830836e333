#include "config/approval.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

enum {
    HASH_HEX_LEN = 64, /* BLAKE2b-256 in hex */
    MESSAGE_MAX = 160,
};

/* Domain separation from other messages signed with the same key; also names
 * the version of the message format. */
static const char message_domain[] = "masticrelay approval 1\n";

/* Formats the message to sign; returns its length, or 0 if the input is
 * invalid. */
static size_t
format_message(int64_t version, const char *hash, char message[MESSAGE_MAX])
{
    if (version < 1 || strlen(hash) != HASH_HEX_LEN
        || strspn(hash, "0123456789abcdef") != HASH_HEX_LEN) {
        return 0;
    }
    int len = snprintf(message, MESSAGE_MAX, "%s%" PRId64 "\n%s",
                       message_domain, version, hash);
    return len > 0 && len < MESSAGE_MAX ? (size_t)len : 0;
}

bool
mr_approval_sign(const uint8_t secret_key[MR_APPROVAL_SECRET_KEY_BYTES],
                 int64_t version, const char *hash,
                 char signature[MR_APPROVAL_HEX_BYTES])
{
    uint8_t raw[crypto_sign_BYTES];
    char message[MESSAGE_MAX];
    size_t len = format_message(version, hash, message);

    if (len == 0 || sodium_init() < 0) {
        return false;
    }
    if (crypto_sign_detached(raw, NULL, (const unsigned char *)message, len,
                             secret_key)
        != 0) {
        return false;
    }
    sodium_bin2hex(signature, MR_APPROVAL_HEX_BYTES, raw, sizeof(raw));
    return true;
}

bool
mr_approval_verify(const uint8_t public_key[MR_APPROVAL_PUBLIC_KEY_BYTES],
                   int64_t version, const char *hash, const char *signature)
{
    uint8_t raw[crypto_sign_BYTES];
    char message[MESSAGE_MAX];
    size_t raw_len = 0;
    size_t len = format_message(version, hash, message);

    if (len == 0 || strlen(signature) != MR_APPROVAL_HEX_BYTES - 1) {
        return false;
    }
    if (sodium_hex2bin(raw, sizeof(raw), signature, strlen(signature), NULL,
                       &raw_len, NULL)
            != 0
        || raw_len != sizeof(raw)) {
        return false;
    }
    return crypto_sign_verify_detached(raw, (const unsigned char *)message,
                                       len, public_key)
           == 0;
}
