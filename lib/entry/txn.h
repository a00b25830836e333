#ifndef MR_ENTRY_TXN_H
#define MR_ENTRY_TXN_H

/* Transaction handles, which callers pass with each request. */

#include <stdint.h>

#include "common/seal.h"

enum { MR_TXN_FIELD_BYTES = 65 }; /* with terminating NUL */

/** Decoded transaction handle. */
typedef struct mr_txn {
    char route[MR_TXN_FIELD_BYTES];
    char instance[MR_TXN_FIELD_BYTES]; /* that holds the target connection */
    char address[MR_TXN_FIELD_BYTES];  /* of that instance's peer listener */
    char account[MR_TXN_FIELD_BYTES];
    char group[MR_TXN_FIELD_BYTES];
    char id[MR_TXN_FIELD_BYTES]; /* assigned by that instance */
    int access;                  /* mr_access_t */
    int64_t term;                /* term of its writes; 0: unknown */
} mr_txn_t;

/** mr_txn_encode() - encode a handle; the caller frees it. */
char *mr_txn_encode(const mr_seal_t *seal, const mr_txn_t *txn);

/** mr_txn_decode() - decode a handle; returns false if it is invalid. */
bool mr_txn_decode(const mr_seal_t *seal, const char *text, mr_txn_t *txn);

#endif
