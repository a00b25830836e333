#ifndef MR_LIMIT_BUCKET_H
#define MR_LIMIT_BUCKET_H

/*
 * Token bucket with integer arithmetic. Rates are in thousandths of a request
 * per second, amounts in thousandths of a token. The level is kept in
 * millionths of a token, because a rate of one thousandth per second adds
 * exactly one millionth per millisecond.
 *
 * Clock readings are rounded down to milliseconds. Therefore refilling starts
 * one millisecond after the reading at which the bucket was created, was found
 * full or got a higher rate. Thus the bucket never holds more than a
 * continuous bucket of the same rate and burst would.
 */

#include <stdbool.h>

#include "common/clock.h"

enum {
    MR_TOKEN_MILLI = 1000, /* one token, which admits one request */
};

/** Rate and burst of a limit, share or grant. */
typedef struct mr_limit_amount {
    int64_t rate;  /* thousandths of a request per second */
    int64_t burst; /* thousandths of a token */
} mr_limit_amount_t;

typedef struct mr_bucket {
    mr_limit_amount_t amount;
    int64_t level;       /* millionths of a token */
    mr_ms_t refill_from; /* time up to here is refilled */
    mr_ms_t expiry;
} mr_bucket_t;

/**
 * mr_limit_expiry_wait() - how long to wait until something with @lifetime has
 * expired at its holder
 *
 * The holder counts @lifetime on its own clock from when it sent its request.
 * The added 1/64 allows for clock rates that differ by 1.5 %, and the 2 ms for
 * readings in whole milliseconds.
 */
static inline mr_ms_t
mr_limit_expiry_wait(mr_ms_t lifetime)
{
    return lifetime + lifetime / 64 + 2;
}

/** mr_bucket_init() - set up an empty bucket that expires at @expiry. */
void mr_bucket_init(mr_bucket_t *bucket, mr_limit_amount_t amount, mr_ms_t now,
                    mr_ms_t expiry);

/** mr_bucket_change() - set amount and expiry; keeps the tokens that fit. */
void mr_bucket_change(mr_bucket_t *bucket, mr_limit_amount_t amount,
                      mr_ms_t now, mr_ms_t expiry);

/** mr_bucket_level() - thousandths of a token at @now; 0 after the expiry. */
int64_t mr_bucket_level(mr_bucket_t *bucket, mr_ms_t now);

/** mr_bucket_put() - add tokens taken from another bucket, up to the burst. */
void mr_bucket_put(mr_bucket_t *bucket, int64_t milli, mr_ms_t now);

/** mr_bucket_take() - take up to @milli and return the amount taken. */
int64_t mr_bucket_take(mr_bucket_t *bucket, int64_t milli, mr_ms_t now);

/** mr_limit_scale() - @value x @num / @den, rounded down, without overflow. */
int64_t mr_limit_scale(int64_t value, int64_t num, int64_t den);

#endif
