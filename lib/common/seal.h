#ifndef MR_COMMON_SEAL_H
#define MR_COMMON_SEAL_H

/*
 * Encrypted and authenticated tokens that callers store but cannot read or
 * forge: session tokens, request ids and transaction handles. Encryption uses
 * libsodium's secretbox with a key that is derived from the fleet secret for
 * each purpose, so that one kind of token is never accepted as another.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { MR_SEAL_SECRET_BYTES = 32 };

/** Kind of a token. */
typedef enum mr_seal_purpose {
    MR_SEAL_SESSION = 1,
    MR_SEAL_REQUEST_ID = 2,
    MR_SEAL_TRANSACTION = 3,
} mr_seal_purpose_t;

typedef struct mr_seal mr_seal_t;

mr_seal_t *mr_seal_create(const uint8_t secret[MR_SEAL_SECRET_BYTES],
                          mr_seal_purpose_t purpose);
void mr_seal_destroy(mr_seal_t *seal);

/** mr_seal_encrypt() - encrypt @data into a base64url token, which the caller
 * frees. */
char *mr_seal_encrypt(const mr_seal_t *seal, const void *data, size_t len);

/**
 * mr_seal_decrypt() - verify and decrypt a token
 * @len: receives the length of the content
 *
 * Return: the content, which the caller frees; NULL if mr_seal_encrypt() did
 * not make @text with the same secret and purpose.
 */
uint8_t *mr_seal_decrypt(const mr_seal_t *seal, const char *text, size_t *len);

#endif
