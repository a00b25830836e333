#include "limit/bucket.h"

#include <assert.h>

enum { MICRO_PER_MILLI = 1000 };

int64_t
mr_limit_scale(int64_t value, int64_t num, int64_t den)
{
    assert(den > 0);
    return (int64_t)((__int128)value * num / den);
}

static void
refill(mr_bucket_t *bucket, mr_ms_t now)
{
    int64_t cap = bucket->amount.burst * MICRO_PER_MILLI;

    if (now >= bucket->expiry) {
        bucket->level = 0;
        bucket->refill_from = now + 1;
        return;
    }
    if (now > bucket->refill_from) {
        __int128 sum =
            (__int128)bucket->amount.rate * (now - bucket->refill_from)
            + bucket->level;
        bucket->level = sum > cap ? cap : (int64_t)sum;
        bucket->refill_from = now;
    }
    if (bucket->level >= cap) {
        bucket->level = cap;
        bucket->refill_from = now + 1;
    }
}

void
mr_bucket_init(mr_bucket_t *bucket, mr_limit_amount_t amount, mr_ms_t now,
               mr_ms_t expiry)
{
    bucket->amount = amount;
    bucket->level = 0;
    bucket->refill_from = now + 1;
    bucket->expiry = expiry;
}

void
mr_bucket_change(mr_bucket_t *bucket, mr_limit_amount_t amount, mr_ms_t now,
                 mr_ms_t expiry)
{
    refill(bucket, now);
    if (amount.rate > bucket->amount.rate) {
        bucket->refill_from = now + 1;
    }
    bucket->amount = amount;
    bucket->expiry = expiry;
    if (bucket->level > amount.burst * MICRO_PER_MILLI) {
        bucket->level = amount.burst * MICRO_PER_MILLI;
    }
}

int64_t
mr_bucket_level(mr_bucket_t *bucket, mr_ms_t now)
{
    refill(bucket, now);
    return bucket->level / MICRO_PER_MILLI;
}

void
mr_bucket_put(mr_bucket_t *bucket, int64_t milli, mr_ms_t now)
{
    refill(bucket, now);
    if (now >= bucket->expiry) {
        return;
    }
    bucket->level += milli * MICRO_PER_MILLI;
    if (bucket->level > bucket->amount.burst * MICRO_PER_MILLI) {
        bucket->level = bucket->amount.burst * MICRO_PER_MILLI;
    }
}

int64_t
mr_bucket_take(mr_bucket_t *bucket, int64_t milli, mr_ms_t now)
{
    int64_t level = mr_bucket_level(bucket, now);
    int64_t taken = milli < level ? milli : level;

    bucket->level -= taken * MICRO_PER_MILLI;
    return taken;
}
