#ifndef MR_SESSION_CATALOG_H
#define MR_SESSION_CATALOG_H

/* One version of the desired state: routes, services, client accounts and
 * limits. Immutable once built, with a reference count. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "placement/region.h"

/** Freshness rule of a route: the commits that its reads must include. */
typedef enum mr_freshness_rule {
    MR_FRESH_PRIMARY, /* every acknowledged commit */
    MR_FRESH_BOUNDED, /* commits older than the route's staleness bound */
    MR_FRESH_SESSION, /* those, and the session's own commits */
} mr_freshness_rule_t;

typedef struct mr_catalog_route {
    char *database; /* name that clients use */
    char *service;
    mr_freshness_rule_t freshness;
    mr_ms_t max_age;           /* staleness bound; not for MR_FRESH_PRIMARY */
    mr_ms_t statement_timeout; /* 0: none */
    mr_ms_t objective;         /* latency objective of an operation */
    bool anonymous;            /* open to callers without a key */
    mr_region_list_t allowed_regions;
    uint64_t source_hash[2]; /* of the text that it was decoded from */
} mr_catalog_route_t;

typedef struct mr_catalog_service {
    char *name;
    int64_t connections_max; /* to one database, from all instances */
    int64_t sync_copies;     /* replicas that hold a commit before it is
                            acknowledged */
    int64_t cold_rate;       /* statements that a cold database may get, in
                                thousandths a second; 0: no limit */
    mr_ms_t cold_start; /* how long a database stays cold after its start */
} mr_catalog_service_t;

typedef struct mr_catalog_account {
    char *name;
    int64_t rate; /* operations a second, all instances together */
    int64_t burst;
    mr_region_list_t allowed_regions;
} mr_catalog_account_t;

typedef struct mr_catalog_key {
    char *key;
    size_t account; /* index in the catalog's accounts */
} mr_catalog_key_t;

typedef struct mr_catalog {
    int refs;
    int64_t version;
    mr_catalog_route_t *routes; /* sorted by database */
    size_t route_count;
    mr_catalog_service_t *services; /* sorted by name */
    size_t service_count;
    mr_catalog_account_t *accounts; /* sorted by name */
    size_t account_count;
    mr_catalog_key_t *keys; /* sorted */
    size_t key_count;
    mr_ms_t tx_idle; /* limit for idle transactions; 0: none */
} mr_catalog_t;

mr_catalog_t *mr_catalog_create(void);
mr_catalog_t *mr_catalog_ref(mr_catalog_t *catalog);
void mr_catalog_unref(mr_catalog_t *catalog);
/** mr_catalog_count_live() - number of catalogs that are referenced. */
int64_t mr_catalog_count_live(void);

/** mr_catalog_sort() - sort the tables; call it once all entries are added. */
void mr_catalog_sort(mr_catalog_t *catalog);

const mr_catalog_route_t *mr_catalog_route(const mr_catalog_t *catalog,
                                           const char *database);
const mr_catalog_service_t *mr_catalog_service(const mr_catalog_t *catalog,
                                               const char *name);
const mr_catalog_account_t *mr_catalog_account(const mr_catalog_t *catalog,
                                               const char *name);
/** mr_catalog_key_owner() - account that @key belongs to; NULL: none. */
const mr_catalog_account_t *mr_catalog_key_owner(const mr_catalog_t *catalog,
                                                 const char *key);

/**
 * mr_catalog_decode() - decode a desired state
 * @base: an earlier one, whose routes are taken over where their text has not
 *        changed, as parsing many thousand routes blocks the event loop for
 *        long; or NULL
 *
 * Implemented in platform/catalog_json.c.
 *
 * Return: NULL with @problem set if it is malformed.
 */
mr_catalog_t *mr_catalog_decode(const void *data, size_t len,
                                const mr_catalog_t *base,
                                const char **problem);

#endif
