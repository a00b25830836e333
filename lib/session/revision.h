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

#endif
