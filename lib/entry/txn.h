#ifndef MR_ENTRY_TXN_H
#define MR_ENTRY_TXN_H

/* Transaction handles, which callers carry. */

#include <stdint.h>

#include "common/seal.h"

enum { MR_TXN_TEXT_MAX = 65 };

/** What a handle says. */
typedef struct mr_txn {
    char route[MR_TXN_TEXT_MAX];
    char instance[MR_TXN_TEXT_MAX]; /* that holds the connection */
    char address[MR_TXN_TEXT_MAX];  /* of that instance */
    char account[MR_TXN_TEXT_MAX];
    char group[MR_TXN_TEXT_MAX];
    char id[MR_TXN_TEXT_MAX]; /* at that instance */
    int access;               /* mr_access_t */
    int64_t term;             /* under which it writes; 0: unknown */
} mr_txn_t;

/** mr_txn_close() - make a handle; the caller frees it. */
char *mr_txn_close(const mr_seal_t *seal, const mr_txn_t *txn);

/** mr_txn_open() - read a handle; false when it is not genuine. */
bool mr_txn_open(const mr_seal_t *seal, const char *text, mr_txn_t *txn);

#endif
