#ifndef MR_SESSION_POSITION_H
#define MR_SESSION_POSITION_H

#include <stdint.h>

/** Position in a database's log; term 0: none. */
typedef struct mr_position {
    int64_t term;
    int64_t number;
} mr_position_t;

/** mr_position_compare() - negative, 0 or positive, like strcmp(); the term
 * counts first. */
static inline int
mr_position_compare(mr_position_t a, mr_position_t b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    if (a.number != b.number) {
        return a.number < b.number ? -1 : 1;
    }
    return 0;
}

#endif
