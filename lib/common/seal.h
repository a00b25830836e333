#ifndef MR_COMMON_SEAL_H
#define MR_COMMON_SEAL_H

/*
 * Text that callers carry and cannot read or forge: session tokens, request
 * ids and transaction handles. Sealed with libsodium's secretbox under a key
 * that is derived from the fleet secret for one purpose, so that one kind of
 * token is never taken for another.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { MR_SEAL_SECRET_BYTES = 32 };

/** What a sealed text is for. */
typedef enum mr_seal_purpose {
    MR_SEAL_SESSION = 1,
    MR_SEAL_REQUEST_ID = 2,
    MR_SEAL_TRANSACTION = 3,
} mr_seal_purpose_t;

typedef struct mr_seal mr_seal_t;

mr_seal_t *mr_seal_create(const uint8_t secret[MR_SEAL_SECRET_BYTES],
                          mr_seal_purpose_t purpose);
void mr_seal_destroy(mr_seal_t *seal);

/** mr_seal_close() - sealed base64url text; the caller frees it. */
char *mr_seal_close(const mr_seal_t *seal, const void *data, size_t len);

/**
 * mr_seal_open() - check and open a sealed text
 * @len: receives the length
 *
 * Return: the content, which the caller frees; NULL for a text that was not
 * made by mr_seal_close() with the same secret and purpose.
 */
uint8_t *mr_seal_open(const mr_seal_t *seal, const char *text, size_t *len);

#endif
