/* Callers' keys and the customer's approval, as texts. */

#include <sodium.h>
#include <string.h>

#include "config/approval.h"
#include "config/key.h"
#include "config/model.h"
#include "operator/builder.h"

_Static_assert((int)MR_OP_KEY_BYTES == (int)MR_KEY_TEXT_BYTES,
               "size of a key");
_Static_assert(MR_OP_KEY_HASH_BYTES == MR_CONFIG_KEY_HASH_BYTES * 2 + 1,
               "size of a key's hash");
_Static_assert(MR_OP_HASH_BYTES == MR_CONFIG_KEY_HASH_BYTES * 2 + 1,
               "size of a configuration's hash");
_Static_assert(MR_OP_APPROVER_PUBLIC_BYTES
                   == MR_APPROVAL_PUBLIC_KEY_BYTES * 2 + 1,
               "size of a public key");
_Static_assert(MR_OP_APPROVER_SECRET_BYTES
                   == MR_APPROVAL_SECRET_KEY_BYTES * 2 + 1,
               "size of a secret key");
_Static_assert((int)MR_OP_APPROVAL_BYTES == (int)MR_APPROVAL_HEX_BYTES,
               "size of an approval");

bool
mr_op_key_generate(const char *id, char key[MR_OP_KEY_BYTES],
                   char hash[MR_OP_KEY_HASH_BYTES])
{
    uint8_t raw[MR_CONFIG_KEY_HASH_BYTES];

    if (id == NULL || !mr_key_generate(id, key, raw)) {
        return false;
    }
    sodium_bin2hex(hash, MR_OP_KEY_HASH_BYTES, raw, sizeof(raw));
    return true;
}

bool
mr_op_key_issue(mr_op_t *op, const char *account, const char *id,
                char key[MR_OP_KEY_BYTES])
{
    char hash[MR_OP_KEY_HASH_BYTES];

    if (!mr_op_key_generate(id, key, hash)) {
        mr_op_fault(op,
                    "keys[%.64s].id is not 1 to 64 of a-z, A-Z, 0-9, '_', '-'",
                    id != NULL ? id : "");
        return false;
    }
    mr_op_key(op, account, id, hash);
    return true;
}

void
mr_op_hash(const char *json, size_t len, char hash[MR_OP_HASH_BYTES])
{
    mr_config_hash(json, len, hash);
}

bool
mr_op_approver_create(char public_key[MR_OP_APPROVER_PUBLIC_BYTES],
                      char secret_key[MR_OP_APPROVER_SECRET_BYTES])
{
    uint8_t public_raw[MR_APPROVAL_PUBLIC_KEY_BYTES];
    uint8_t secret_raw[MR_APPROVAL_SECRET_KEY_BYTES];

    if (sodium_init() < 0
        || crypto_sign_keypair(public_raw, secret_raw) != 0) {
        return false;
    }
    sodium_bin2hex(public_key, MR_OP_APPROVER_PUBLIC_BYTES, public_raw,
                   sizeof(public_raw));
    sodium_bin2hex(secret_key, MR_OP_APPROVER_SECRET_BYTES, secret_raw,
                   sizeof(secret_raw));
    sodium_memzero(secret_raw, sizeof(secret_raw));
    return true;
}

static bool
read_hex(const char *text, uint8_t *raw, size_t size)
{
    size_t len = 0;

    return strlen(text) == size * 2
           && sodium_hex2bin(raw, size, text, size * 2, NULL, &len, NULL) == 0
           && len == size;
}

bool
mr_op_approve(const char *secret_key, int64_t version, const char *hash,
              char approval[MR_OP_APPROVAL_BYTES])
{
    uint8_t raw[MR_APPROVAL_SECRET_KEY_BYTES];
    bool done = read_hex(secret_key, raw, sizeof(raw))
                && mr_approval_sign(raw, version, hash, approval);

    sodium_memzero(raw, sizeof(raw));
    return done;
}

bool
mr_op_approved(const char *public_key, int64_t version, const char *hash,
               const char *approval)
{
    uint8_t raw[MR_APPROVAL_PUBLIC_KEY_BYTES];

    return read_hex(public_key, raw, sizeof(raw))
           && mr_approval_verify(raw, version, hash, approval);
}
