#include "member/rendezvous.h"

#include <string.h>
#include <xxhash.h>

uint64_t
mr_rendezvous_score(const char *key, const char *candidate)
{
    XXH64_hash_t seed = XXH3_64bits(key, strlen(key));

    return XXH3_64bits_withSeed(candidate, strlen(candidate), seed);
}
