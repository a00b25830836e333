#ifndef MR_CONFIG_MODEL_H
#define MR_CONFIG_MODEL_H

/*
 * One validated version of the configuration. It is immutable after parsing;
 * requests in progress keep a reference to the version that they started with.
 */

#include <glib.h>

#include "common/clock.h"
#include "common/json.h"
#include "wire/msg.h"

enum {
    MR_CONFIG_FORMAT = 1,
    MR_CONFIG_NAME_MAX = 64,
    MR_CONFIG_KEY_HASH_BYTES = 32,
};

typedef struct mr_config mr_config_t;
typedef struct mr_config_group mr_config_group_t;

typedef struct mr_config_data_centre {
    const char *name;
    const char *region;
} mr_config_data_centre_t;

typedef struct mr_config_target {
    const char *name;
    const char *data_centre;
    const char *address;
    int64_t slots;       /* statements that run concurrently */
    int64_t connections; /* connections that the target accepts */
    bool leaving;
    size_t index; /* position in the group */
    const mr_config_group_t *group;
} mr_config_target_t;

struct mr_config_group {
    const char *name;
    mr_config_target_t *targets;
    size_t target_count;
};

typedef struct mr_config_service {
    const char *name;
    mr_config_group_t *groups;
    size_t group_count;
} mr_config_service_t;

typedef struct mr_config_key {
    const char *id;
    uint8_t hash[MR_CONFIG_KEY_HASH_BYTES];
} mr_config_key_t;

typedef struct mr_config_account {
    const char *name;
    int64_t rate;  /* requests per second, all instances together */
    int64_t burst; /* requests, all instances together */
    int64_t weight;
    mr_config_key_t *keys;
    size_t key_count;
} mr_config_account_t;

typedef struct mr_config_route {
    const char *name;
    const mr_config_service_t *service;
    bool open;
    const mr_config_account_t **accounts;
    size_t account_count;
    /* Account charged for the requests of an open route; NULL if not open. */
    const mr_config_account_t *charged;
    mr_freshness_t freshness;
    mr_ms_t max_age_ms;
    mr_ms_t deadline_ms;
    /* Greatest contact age of the store at which keys are accepted. */
    int64_t offline_limit_s;
} mr_config_route_t;

struct mr_config {
    int references;
    json_t *document;
    /* Name -> item; each request looks up a route, a key and an account. */
    GHashTable *route_index;
    GHashTable *account_index;
    GHashTable *group_index;
    GHashTable *target_index;
    GHashTable *key_index; /* id -> key_entry_t in model.c */
    char hash[MR_CONFIG_KEY_HASH_BYTES * 2 + 1]; /* of the canonical form */
    int64_t version;
    const char *deployment;
    mr_config_data_centre_t *data_centres;
    size_t data_centre_count;
    mr_config_service_t *services;
    size_t service_count;
    mr_config_account_t *accounts;
    size_t account_count;
    mr_config_route_t *routes;
    size_t route_count;
};

/**
 * mr_config_parse() - parses and validates a configuration
 * @data, @len: JSON
 * @problem: receives the first error, with the path of the field
 *
 * Return: a configuration with one reference, or NULL.
 */
mr_config_t *mr_config_parse(const void *data, size_t len,
                             mr_json_problem_t *problem);

/** mr_config_parse_json() - like mr_config_parse(), but from a parsed
 * document. */
mr_config_t *mr_config_parse_json(json_t *document,
                                  mr_json_problem_t *problem);

mr_config_t *mr_config_ref(mr_config_t *config);
void mr_config_unref(mr_config_t *config);

/* Lookups by name; NULL if there is no such item. */

const mr_config_route_t *mr_config_route(const mr_config_t *config,
                                         const char *name);
const mr_config_account_t *mr_config_account(const mr_config_t *config,
                                             const char *name);
const mr_config_group_t *mr_config_group(const mr_config_t *config,
                                         const char *name);
const mr_config_target_t *mr_config_target(const mr_config_t *config,
                                           const char *name);
const mr_config_target_t *
mr_config_group_target(const mr_config_group_t *group, const char *name);

/** mr_config_find_key() - returns the key with @id of any account, and sets
 * @account; NULL if there is none. */
const mr_config_key_t *mr_config_find_key(const mr_config_t *config,
                                          const char *id,
                                          const mr_config_account_t **account);

/** mr_freshness_parse() - parses "session", "max_age" or "present"; returns
 * false for any other text. */
bool mr_freshness_parse(const char *text, mr_freshness_t *freshness);

/** mr_config_hash() - computes the BLAKE2b-256 hash of @data in lower-case
 * hex. */
void mr_config_hash(const void *data, size_t len,
                    char hex[MR_CONFIG_KEY_HASH_BYTES * 2 + 1]);

#endif
