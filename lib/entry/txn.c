#include "entry/txn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

/* Fields are separated by newlines, which names cannot contain. */
char *
mr_txn_encode(const mr_seal_t *seal, const mr_txn_t *txn)
{
    char *text =
        mr_asprintf("%s\n%s\n%s\n%s\n%s\n%s\n%d\n%lld", txn->route,
                    txn->instance, txn->address, txn->account, txn->group,
                    txn->id, txn->access, (long long)txn->term);
    char *handle = mr_seal_encrypt(seal, text, strlen(text));

    free(text);
    return handle;
}

bool
mr_txn_decode(const mr_seal_t *seal, const char *text, mr_txn_t *txn)
{
    size_t len = 0;
    char *plain = (char *)mr_seal_decrypt(seal, text, &len);

    if (plain == NULL) {
        return false;
    }
    long long term = 0;
    int got = sscanf(plain,
                     "%64[^\n]\n%64[^\n]\n%64[^\n]\n%64[^\n]\n%64[^\n]\n"
                     "%64[^\n]\n%d\n%lld",
                     txn->route, txn->instance, txn->address, txn->account,
                     txn->group, txn->id, &txn->access, &term);
    free(plain);
    txn->term = term;
    return got == 8;
}
