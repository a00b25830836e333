#ifndef MR_MEMBER_RENDEZVOUS_H
#define MR_MEMBER_RENDEZVOUS_H

#include <stdint.h>

/** mr_rendezvous_score() - weight of @candidate for @key (XXH3); the highest
 * score comes first in the order. */
uint64_t mr_rendezvous_score(const char *key, const char *candidate);

#endif
