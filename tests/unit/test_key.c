/* Guards against keys that are parsed incorrectly, hashes that differ between
 * the daemon and the operator library, and approvals that are forged or belong
 * to another configuration. */

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "../common/runner.h"
#include "config/approval.h"
#include "config/key.h"
#include "masticrelay.h"

#define SECRET "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8"

START_TEST(test_parse)
{
    static const char *const bad[] = {
        "",
        "mrk.",
        "mrk.." SECRET,
        "mrk.k1.",
        "mrk.k1." SECRET "A",
        "xrk.k1." SECRET,
        "mrk.k1" SECRET,
        "mrk.a.b." SECRET,
        "mrk.k 1." SECRET,
        "mrk.k1.=" SECRET,
    };
    char long_id[200];
    mr_key_t key;

    ck_assert(mr_key_parse("mrk.k1." SECRET, 50, &key));
    ck_assert_str_eq(key.id, "k1");
    ck_assert_str_eq(key.secret, SECRET);
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        ck_assert_msg(!mr_key_parse(bad[i], strlen(bad[i]), &key), "'%s'",
                      bad[i]);
    }
    snprintf(long_id, sizeof(long_id), "mrk.%065d." SECRET, 1);
    ck_assert(!mr_key_parse(long_id, strlen(long_id), &key));
    snprintf(long_id, sizeof(long_id), "mrk.%064d." SECRET, 1);
    ck_assert(mr_key_parse(long_id, strlen(long_id), &key));
}
END_TEST

START_TEST(test_key_in_text)
{
    char long_id[200];

    ck_assert(mr_key_text_contains("mrk.k1." SECRET));
    ck_assert(mr_key_text_contains("{\"a\":\"x mrk.mrk.k-1_." SECRET "A\"}"));
    ck_assert(!mr_key_text_contains(""));
    ck_assert(!mr_key_text_contains("mrk."));
    ck_assert(!mr_key_text_contains("mrk.k1.short"));
    ck_assert(!mr_key_text_contains("mrk.." SECRET));
    ck_assert(!mr_key_text_contains("mrk k1." SECRET));
    snprintf(long_id, sizeof(long_id), "mrk.%065d." SECRET, 1);
    ck_assert(!mr_key_text_contains(long_id));
}
END_TEST

START_TEST(test_hash)
{
    uint8_t hash[MR_CONFIG_KEY_HASH_BYTES];
    uint8_t other[MR_CONFIG_KEY_HASH_BYTES];
    char hex[65];
    mr_key_t key;

    ck_assert(mr_key_parse("mrk.k1." SECRET, 50, &key));
    mr_key_hash(&key, hash);
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    /* Computed with an independent implementation (Python hashlib), so that
     * the test fails if the hash function changes. */
    ck_assert_str_eq(
        hex,
        "b40d798801b45cf4916fa8dceab6684ec425a114ece07e813e1ee049c9a0feba");
    ck_assert(mr_key_matches(&key, hash));
    for (size_t i = 0; i < sizeof(hash); i++) {
        memcpy(other, hash, sizeof(hash));
        other[i] ^= 1;
        ck_assert(!mr_key_matches(&key, other));
    }
    /* The same secret with another id has another hash. */
    strcpy(key.id, "k2");
    ck_assert(!mr_key_matches(&key, hash));
}
END_TEST

/* Keys of equal length that differ in any single character are refused.
 * mr_key_matches() compares with sodium_memcmp(), whose run time does not
 * depend on the position of the difference. */
START_TEST(test_keys_of_equal_length)
{
    uint8_t hash[MR_CONFIG_KEY_HASH_BYTES];
    mr_key_t key;

    ck_assert(mr_key_parse("mrk.k1." SECRET, 50, &key));
    mr_key_hash(&key, hash);
    for (size_t i = 0; i < MR_KEY_SECRET_CHARS; i++) {
        mr_key_t other = key;
        other.secret[i] = other.secret[i] == 'x' ? 'y' : 'x';
        ck_assert(!mr_key_matches(&other, hash));
    }
}
END_TEST

START_TEST(test_generate)
{
    char first[MR_OP_KEY_BYTES];
    char second[MR_OP_KEY_BYTES];
    char hash[MR_OP_KEY_HASH_BYTES];
    char again[MR_OP_KEY_HASH_BYTES];
    uint8_t raw[MR_CONFIG_KEY_HASH_BYTES];
    mr_key_t key;

    ck_assert(mr_op_key_generate("coop-1_a", first, hash));
    ck_assert(mr_op_key_generate("coop-1_a", second, again));
    ck_assert_str_ne(first, second);
    ck_assert_str_ne(hash, again);
    ck_assert(mr_key_parse(first, strlen(first), &key));
    ck_assert_str_eq(key.id, "coop-1_a");
    mr_key_hash(&key, raw);
    sodium_bin2hex(again, sizeof(again), raw, sizeof(raw));
    ck_assert_str_eq(hash, again);
    ck_assert(!mr_op_key_generate("a.b", first, hash));
    ck_assert(!mr_op_key_generate("", first, hash));
}
END_TEST

START_TEST(test_approval)
{
    char public_key[MR_OP_APPROVER_PUBLIC_BYTES];
    char secret_key[MR_OP_APPROVER_SECRET_BYTES];
    char other_public[MR_OP_APPROVER_PUBLIC_BYTES];
    char other_secret[MR_OP_APPROVER_SECRET_BYTES];
    char approval[MR_OP_APPROVAL_BYTES];
    char hash[MR_OP_HASH_BYTES];
    char altered[MR_OP_HASH_BYTES];

    ck_assert(mr_op_approver_create(public_key, secret_key));
    ck_assert(mr_op_approver_create(other_public, other_secret));
    mr_op_hash("{}", 2, hash);
    ck_assert(mr_op_approve(secret_key, 7, hash, approval));
    ck_assert(mr_op_approved(public_key, 7, hash, approval));

    ck_assert(!mr_op_approved(public_key, 8, hash, approval));
    ck_assert(!mr_op_approved(other_public, 7, hash, approval));
    mr_op_hash("[]", 2, altered);
    ck_assert(!mr_op_approved(public_key, 7, altered, approval));
    for (size_t i = 0; i < MR_OP_APPROVAL_BYTES - 1; i++) {
        char original = approval[i];
        approval[i] = original == '0' ? '1' : '0';
        ck_assert(!mr_op_approved(public_key, 7, hash, approval));
        approval[i] = original;
    }
    approval[MR_OP_APPROVAL_BYTES - 2] = '\0';
    ck_assert(!mr_op_approved(public_key, 7, hash, approval));
    ck_assert(!mr_op_approved(public_key, 7, hash, ""));
}
END_TEST

START_TEST(test_approval_arguments)
{
    char public_key[MR_OP_APPROVER_PUBLIC_BYTES];
    char secret_key[MR_OP_APPROVER_SECRET_BYTES];
    char approval[MR_OP_APPROVAL_BYTES];
    char hash[MR_OP_HASH_BYTES];

    ck_assert(mr_op_approver_create(public_key, secret_key));
    mr_op_hash("{}", 2, hash);
    ck_assert(!mr_op_approve(secret_key, 0, hash, approval));
    ck_assert(!mr_op_approve(secret_key, 1, "abc", approval));
    ck_assert(!mr_op_approve("abc", 1, hash, approval));
    hash[0] = 'X';
    ck_assert(!mr_op_approve(secret_key, 1, hash, approval));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_parse,
                                  test_key_in_text,
                                  test_hash,
                                  test_keys_of_equal_length,
                                  test_generate,
                                  test_approval,
                                  test_approval_arguments};

    return RUN_TESTS(tests, .suite = "key");
}
