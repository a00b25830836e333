#ifndef MR_CONFIG_APPROVAL_H
#define MR_CONFIG_APPROVAL_H

/*
 * The approval of a configuration by the customer: an Ed25519 signature over
 * the version and the hash of the canonical form.
 */

#include <stdbool.h>
#include <stdint.h>

enum {
    MR_APPROVAL_PUBLIC_KEY_BYTES = 32,
    MR_APPROVAL_SECRET_KEY_BYTES = 64,
    MR_APPROVAL_HEX_BYTES = 129, /* signature as hex with its NUL byte */
};

/** mr_approval_sign() - signs (@version, @hash); returns false if @version is
 * below 1 or @hash is not 64 lower-case hex digits. */
bool mr_approval_sign(const uint8_t secret_key[MR_APPROVAL_SECRET_KEY_BYTES],
                      int64_t version, const char *hash,
                      char signature[MR_APPROVAL_HEX_BYTES]);

/** mr_approval_verify() - returns whether @signature approves (@version,
 * @hash). */
bool mr_approval_verify(const uint8_t public_key[MR_APPROVAL_PUBLIC_KEY_BYTES],
                        int64_t version, const char *hash,
                        const char *signature);

#endif
