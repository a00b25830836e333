#include "common/seal.h"

#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

enum { BASE64_VARIANT = sodium_base64_VARIANT_URLSAFE_NO_PADDING };

struct mr_seal {
    uint8_t key[crypto_secretbox_KEYBYTES];
};

mr_seal_t *
mr_seal_create(const uint8_t secret[MR_SEAL_SECRET_BYTES],
               mr_seal_purpose_t purpose)
{
    mr_seal_t *seal = MR_NEW(mr_seal_t);
    int rc = crypto_kdf_derive_from_key(seal->key, sizeof(seal->key), purpose,
                                        "mr-seal1", secret);

    assert(rc == 0);
    (void)rc;
    return seal;
}

void
mr_seal_destroy(mr_seal_t *seal)
{
    if (seal != NULL) {
        sodium_memzero(seal, sizeof(*seal));
        free(seal);
    }
}

char *
mr_seal_encrypt(const mr_seal_t *seal, const void *data, size_t len)
{
    size_t box_len =
        crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES + len;
    uint8_t *box = mr_calloc(1, box_len);
    size_t text_len = sodium_base64_encoded_len(box_len, BASE64_VARIANT);
    char *text = mr_calloc(1, text_len);

    randombytes_buf(box, crypto_secretbox_NONCEBYTES);
    crypto_secretbox_easy(box + crypto_secretbox_NONCEBYTES, data, len, box,
                          seal->key);
    sodium_bin2base64(text, text_len, box, box_len, BASE64_VARIANT);
    free(box);
    return text;
}

uint8_t *
mr_seal_decrypt(const mr_seal_t *seal, const char *text, size_t *len)
{
    size_t text_len = strlen(text);
    uint8_t *box = mr_calloc(1, text_len + 1);
    uint8_t *data = NULL;
    size_t box_len = 0;
    size_t overhead = crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES;

    if (sodium_base642bin(box, text_len + 1, text, text_len, NULL, &box_len,
                          NULL, BASE64_VARIANT)
            != 0
        || box_len < overhead) {
        goto done;
    }
    data = mr_calloc(1, box_len - overhead + 1);
    if (crypto_secretbox_open_easy(data, box + crypto_secretbox_NONCEBYTES,
                                   box_len - crypto_secretbox_NONCEBYTES, box,
                                   seal->key)
        != 0) {
        free(data);
        data = NULL;
        goto done;
    }
    *len = box_len - overhead;

done:
    free(box);
    return data;
}
