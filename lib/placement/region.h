#ifndef MR_PLACEMENT_REGION_H
#define MR_PLACEMENT_REGION_H

/* Regions of the data centres, and the regions that a statement is allowed to
 * run in. */

#include <stdbool.h>
#include <stddef.h>

typedef struct mr_regions mr_regions_t;

/** Names of allowed regions; an empty list allows all. */
typedef struct mr_region_list {
    char **names;
    size_t count;
} mr_region_list_t;

/** What decides where a statement may run. Each pointer may be NULL: no data
 * centre is in a region; the list allows all regions. */
typedef struct mr_region_filter {
    const mr_regions_t *regions;
    const mr_region_list_t *route;
    const mr_region_list_t *account;
} mr_region_filter_t;

/**
 * mr_regions_parse() - parse a list "DATA-CENTRE=REGION,..."
 *
 * Empty entries are ignored, as a template may leave a separator at the end.
 *
 * Return: the regions, to be freed with mr_regions_destroy(); NULL if an entry
 *         is malformed, or a data centre is named with two regions.
 */
mr_regions_t *mr_regions_parse(const char *text);
void mr_regions_destroy(mr_regions_t *regions);

/** mr_regions_find() - region of @data_centre; NULL: it is in none. */
const char *mr_regions_find(const mr_regions_t *regions,
                            const char *data_centre);

/** mr_region_list_copy() - deep copy of @list. */
mr_region_list_t mr_region_list_copy(const mr_region_list_t *list);
void mr_region_list_clear(mr_region_list_t *list);

/** mr_region_filter_allows() - whether the region of @data_centre is in both
 * lists of @filter. A data centre without a region is in no list. */
bool mr_region_filter_allows(const mr_region_filter_t *filter,
                             const char *data_centre);

#endif
