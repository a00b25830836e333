#ifndef MR_MEMBER_RENDEZVOUS_H
#define MR_MEMBER_RENDEZVOUS_H

#include <stdint.h>

/** mr_rendezvous_score() - returns the rendezvous hash (XXH3) of @candidate
 * for @key; candidates are ordered by descending score. */
uint64_t mr_rendezvous_score(const char *key, const char *candidate);

#endif
