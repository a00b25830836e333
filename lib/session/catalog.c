#include "session/catalog.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

static int64_t live_catalogs;

mr_catalog_t *
mr_catalog_create(void)
{
    mr_catalog_t *catalog = MR_NEW(mr_catalog_t);

    live_catalogs++;
    catalog->refs = 1;
    return catalog;
}

mr_catalog_t *
mr_catalog_ref(mr_catalog_t *catalog)
{
    catalog->refs++;
    return catalog;
}

void
mr_catalog_unref(mr_catalog_t *catalog)
{
    if (catalog == NULL || --catalog->refs > 0) {
        return;
    }
    live_catalogs--;
    for (size_t i = 0; i < catalog->route_count; i++) {
        free(catalog->routes[i].database);
        free(catalog->routes[i].service);
        mr_region_list_clear(&catalog->routes[i].allowed_regions);
    }
    for (size_t i = 0; i < catalog->service_count; i++) {
        free(catalog->services[i].name);
    }
    for (size_t i = 0; i < catalog->account_count; i++) {
        free(catalog->accounts[i].name);
        mr_region_list_clear(&catalog->accounts[i].allowed_regions);
    }
    for (size_t i = 0; i < catalog->key_count; i++) {
        free(catalog->keys[i].key);
    }
    free(catalog->routes);
    free(catalog->services);
    free(catalog->accounts);
    free(catalog->keys);
    free(catalog);
}

int64_t
mr_catalog_count_live(void)
{
    return live_catalogs;
}

/* The name is the first field of all entries. */
static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Sorts by name; @items may be NULL if there are none. */
static void
sort(void *items, size_t count, size_t size)
{
    if (count > 0) {
        qsort(items, count, size, compare_names);
    }
}

/* Sorts the accounts and updates the indexes that the keys refer to. */
static void
sort_accounts(mr_catalog_t *catalog)
{
    char **names = mr_calloc(catalog->account_count + 1, sizeof(*names));

    for (size_t i = 0; i < catalog->account_count; i++) {
        names[i] = catalog->accounts[i].name;
    }
    sort(catalog->accounts, catalog->account_count,
         sizeof(*catalog->accounts));
    for (size_t i = 0; i < catalog->key_count; i++) {
        const char *name = names[catalog->keys[i].account];
        catalog->keys[i].account =
            (size_t)(mr_catalog_account(catalog, name) - catalog->accounts);
    }
    free(names);
}

void
mr_catalog_sort(mr_catalog_t *catalog)
{
    sort_accounts(catalog);
    sort(catalog->routes, catalog->route_count, sizeof(*catalog->routes));
    sort(catalog->services, catalog->service_count,
         sizeof(*catalog->services));
    sort(catalog->keys, catalog->key_count, sizeof(*catalog->keys));
}

static const void *
find(const char *name, const void *items, size_t count, size_t size)
{
    if (count == 0) {
        return NULL;
    }
    return bsearch(&name, items, count, size, compare_names);
}

const mr_catalog_route_t *
mr_catalog_route(const mr_catalog_t *catalog, const char *database)
{
    return find(database, catalog->routes, catalog->route_count,
                sizeof(*catalog->routes));
}

const mr_catalog_service_t *
mr_catalog_service(const mr_catalog_t *catalog, const char *name)
{
    return find(name, catalog->services, catalog->service_count,
                sizeof(*catalog->services));
}

const mr_catalog_account_t *
mr_catalog_account(const mr_catalog_t *catalog, const char *name)
{
    return find(name, catalog->accounts, catalog->account_count,
                sizeof(*catalog->accounts));
}

const mr_catalog_account_t *
mr_catalog_key_owner(const mr_catalog_t *catalog, const char *key)
{
    const mr_catalog_key_t *found =
        find(key, catalog->keys, catalog->key_count, sizeof(*catalog->keys));

    return found != NULL ? &catalog->accounts[found->account] : NULL;
}
