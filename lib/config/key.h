#ifndef MR_CONFIG_KEY_H
#define MR_CONFIG_KEY_H

/*
 * Callers' keys: `mrk.ID.SECRET`. The configuration holds only hashes; the key
 * check of the daemon and the key issue of the operators' library share this
 * one hash rule.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/model.h"

enum {
    MR_KEY_SECRET_BYTES = 32, /* random bytes behind SECRET */
    MR_KEY_SECRET_TEXT = 43,  /* SECRET: base64url without padding */
    /* Longest key with its NUL byte: "mrk." ID "." SECRET */
    MR_KEY_TEXT_MAX = 4 + MR_CONFIG_NAME_MAX + 1 + MR_KEY_SECRET_TEXT + 1,
};

/** struct mr_key - a key taken apart */
typedef struct mr_key {
    char id[MR_CONFIG_NAME_MAX + 1];
    char secret[MR_KEY_SECRET_TEXT + 1];
} mr_key_t;

/** mr_key_id_valid() - 1 to 64 of the characters a-z, A-Z, 0-9, '-', '_'. */
bool mr_key_id_valid(const char *id);

/**
 * mr_key_parse() - take a key apart
 * @text, @len: the key; needs no NUL byte
 * @key: receives the parts
 *
 * Return: false when @text is not of the form `mrk.ID.SECRET`.
 */
bool mr_key_parse(const char *text, size_t len, mr_key_t *key);

/**
 * mr_key_hash() - the hash that the configuration stores
 *
 * BLAKE2b-256 over the characters of SECRET, keyed with the 16-byte BLAKE2b
 * hash of the characters of ID.
 */
void mr_key_hash(const mr_key_t *key, uint8_t hash[MR_CONFIG_KEY_HASH_BYTES]);

/** mr_key_occurs() - whether some key, valid or not, stands in @text. */
bool mr_key_occurs(const char *text);

/** mr_key_matches() - whether @key has @hash, compared in constant time. */
bool mr_key_matches(const mr_key_t *key,
                    const uint8_t hash[MR_CONFIG_KEY_HASH_BYTES]);

/**
 * mr_key_generate() - a new random key with @id
 * @text: receives the key with its NUL byte
 * @hash: receives its hash
 *
 * Return: false when @id is not valid.
 */
bool mr_key_generate(const char *id, char text[MR_KEY_TEXT_MAX],
                     uint8_t hash[MR_CONFIG_KEY_HASH_BYTES]);

#endif
