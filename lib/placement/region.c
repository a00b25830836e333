#include "placement/region.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"

typedef struct entry {
    char *data_centre;
    char *region;
} entry_t;

struct mr_regions {
    entry_t *entries;
    size_t count;
};

void
mr_regions_destroy(mr_regions_t *regions)
{
    if (regions == NULL) {
        return;
    }
    for (size_t i = 0; i < regions->count; i++) {
        free(regions->entries[i].data_centre);
        free(regions->entries[i].region);
    }
    free(regions->entries);
    free(regions);
}

/* Adds the entry @text, which is modified. Returns false if it is malformed.
 */
static bool
add_entry(mr_regions_t *regions, char *text)
{
    char *region = strchr(text, '=');

    if (region == NULL || region == text || region[1] == '\0'
        || strchr(region + 1, '=') != NULL) {
        return false;
    }
    *region++ = '\0';
    const char *known = mr_regions_find(regions, text);
    if (known != NULL) {
        return strcmp(known, region) == 0;
    }
    regions->entries = mr_realloc(
        regions->entries, (regions->count + 1) * sizeof(*regions->entries));
    regions->entries[regions->count++] =
        (entry_t){mr_strdup(text), mr_strdup(region)};
    return true;
}

mr_regions_t *
mr_regions_parse(const char *text)
{
    mr_regions_t *regions = MR_NEW(mr_regions_t);
    char *copy = mr_strdup(text);
    char *rest = copy;
    char *item;
    bool good = true;

    while (good && (item = strsep(&rest, ",")) != NULL) {
        good = *item == '\0' || add_entry(regions, item);
    }
    free(copy);
    if (!good) {
        mr_regions_destroy(regions);
        return NULL;
    }
    return regions;
}

const char *
mr_regions_find(const mr_regions_t *regions, const char *data_centre)
{
    for (size_t i = 0; regions != NULL && i < regions->count; i++) {
        if (strcmp(regions->entries[i].data_centre, data_centre) == 0) {
            return regions->entries[i].region;
        }
    }
    return NULL;
}

mr_region_list_t
mr_region_list_copy(const mr_region_list_t *list)
{
    mr_region_list_t copy = {0};

    if (list->count == 0) {
        return copy;
    }
    copy.names = mr_calloc(list->count, sizeof(*copy.names));
    for (; copy.count < list->count; copy.count++) {
        copy.names[copy.count] = mr_strdup(list->names[copy.count]);
    }
    return copy;
}

void
mr_region_list_clear(mr_region_list_t *list)
{
    for (size_t i = 0; i < list->count; i++) {
        free(list->names[i]);
    }
    free(list->names);
    *list = (mr_region_list_t){0};
}

static bool
contains(const mr_region_list_t *list, const char *region)
{
    for (size_t i = 0; i < list->count; i++) {
        if (strcmp(list->names[i], region) == 0) {
            return true;
        }
    }
    return false;
}

bool
mr_region_filter_allows(const mr_region_filter_t *filter,
                        const char *data_centre)
{
    bool by_route = filter->route != NULL && filter->route->count > 0;
    bool by_account = filter->account != NULL && filter->account->count > 0;

    if (!by_route && !by_account) {
        return true;
    }
    const char *region = mr_regions_find(filter->regions, data_centre);
    return region != NULL && (!by_route || contains(filter->route, region))
           && (!by_account || contains(filter->account, region));
}
