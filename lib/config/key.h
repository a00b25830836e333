#ifndef MR_CONFIG_KEY_H
#define MR_CONFIG_KEY_H

/*
 * API keys of callers: `mrk.ID.SECRET`. The configuration contains only
 * hashes. The key check of the daemon and the key creation of the operator
 * library share this code, so that both compute the same hash.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/model.h"

enum {
    MR_KEY_SECRET_BYTES = 32, /* random bytes that SECRET encodes */
    MR_KEY_SECRET_CHARS = 43, /* length of SECRET: base64url without padding */
    /* Size of the longest key, "mrk." ID "." SECRET, with its NUL byte. */
    MR_KEY_TEXT_BYTES = 4 + MR_CONFIG_NAME_MAX + 1 + MR_KEY_SECRET_CHARS + 1,
};

/** struct mr_key - the parts of a key */
typedef struct mr_key {
    char id[MR_CONFIG_NAME_MAX + 1];
    char secret[MR_KEY_SECRET_CHARS + 1];
} mr_key_t;

/** mr_key_id_valid() - returns whether @id has 1 to 64 of the characters a-z,
 * A-Z, 0-9, '-' and '_'. */
bool mr_key_id_valid(const char *id);

/**
 * mr_key_parse() - splits a key into its parts
 * @text, @len: the key; need not be NUL-terminated
 * @key: receives the parts
 *
 * Return: false if @text does not have the form `mrk.ID.SECRET`.
 */
bool mr_key_parse(const char *text, size_t len, mr_key_t *key);

/**
 * mr_key_hash() - computes the hash that the configuration contains
 *
 * BLAKE2b-256 over the characters of SECRET, keyed with the 16-byte BLAKE2b
 * hash of the characters of ID.
 */
void mr_key_hash(const mr_key_t *key, uint8_t hash[MR_CONFIG_KEY_HASH_BYTES]);

/** mr_key_text_contains() - returns whether @text contains anything that has
 * the form of a key. */
bool mr_key_text_contains(const char *text);

/** mr_key_matches() - returns whether the hash of @key is @hash, in constant
 * time. */
bool mr_key_matches(const mr_key_t *key,
                    const uint8_t hash[MR_CONFIG_KEY_HASH_BYTES]);

/**
 * mr_key_generate() - creates a random key with @id
 * @text: receives the key with its NUL byte
 * @hash: receives its hash
 *
 * Return: false if @id is not valid.
 */
bool mr_key_generate(const char *id, char text[MR_KEY_TEXT_BYTES],
                     uint8_t hash[MR_CONFIG_KEY_HASH_BYTES]);

#endif
