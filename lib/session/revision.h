#ifndef MR_SESSION_REVISION_H
#define MR_SESSION_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/** Version of the store. Versions rise within an era; the era rises each time
 * that the store is restored from an older copy, whose versions are given out
 * again. Version 0: none. */
typedef struct mr_revision {
    int64_t era;
    int64_t version;
} mr_revision_t;

/** mr_revision_compare() - negative, 0 or positive, like strcmp(); the era
 * counts first. */
static inline int
mr_revision_compare(mr_revision_t a, mr_revision_t b)
{
    if (a.era != b.era) {
        return a.era < b.era ? -1 : 1;
    }
    if (a.version != b.version) {
        return a.version < b.version ? -1 : 1;
    }
    return 0;
}

enum {
    /* Parts of a revision in one number. The version lasts for 29 years of
     * 1,200 writes a second. */
    MR_REVISION_ERA_BITS = 22,
    MR_REVISION_VERSION_BITS = 40,
};

/** mr_revision_number() - @revision as one number. Numbers are ordered like
 * their revisions; eras that have no room count as the last one that has. Up
 * to era 8,191 they are below 2^53, and so exact as doubles. 0: @revision has
 * version 0, or one that has no room. */
static inline int64_t
mr_revision_number(mr_revision_t revision)
{
    const int64_t era_max = ((int64_t)1 << MR_REVISION_ERA_BITS) - 1;
    int64_t era = revision.era < era_max ? revision.era : era_max;

    if (revision.version <= 0
        || revision.version >> MR_REVISION_VERSION_BITS != 0) {
        return 0;
    }
    return era << MR_REVISION_VERSION_BITS | revision.version;
}

/** mr_revision_number_has_era() - whether @number is of era @era. */
static inline bool
mr_revision_number_has_era(int64_t number, int64_t era)
{
    return number >> MR_REVISION_VERSION_BITS
           == mr_revision_number((mr_revision_t){era, 1})
                  >> MR_REVISION_VERSION_BITS;
}

#endif
