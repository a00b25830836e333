#ifndef MR_LIMIT_BUCKET_H
#define MR_LIMIT_BUCKET_H

/*
 * Token bucket of one grant. All amounts are integers: rates in thousandths
 * of a request per second, amounts in thousandths of a token. Inside, levels
 * are in millionths of a token, as a rate of one thousandth per second adds
 * exactly one millionth per millisecond.
 *
 * Clock readings are whole milliseconds. A reading is never after the moment
 * of use, so refilling starts at the reading after the one at which the bucket
 * was created, found full or given a higher rate. The bucket therefore never
 * holds more than a continuous bucket of the same rate and burst would.
 */

#include <stdbool.h>

#include "common/clock.h"

enum {
    MR_TOKEN_MILLI = 1000, /* thousandths of a token in one request */
};

/** Rate and burst that belong together. */
typedef struct mr_limit_amount {
    int64_t rate;  /* thousandths of a request per second */
    int64_t burst; /* thousandths of a token */
} mr_limit_amount_t;

typedef struct mr_bucket {
    mr_limit_amount_t amount;
    int64_t level; /* millionths of a token */
    mr_ms_t since; /* reading from which refilling counts */
    mr_ms_t expiry;
} mr_bucket_t;

/**
 * mr_limit_lapse() - how long others wait for something with @lifetime to
 * lapse
 *
 * The holder counts @lifetime on its own clock from when it asked. 1/64 allows
 * for two clocks whose rates differ by 1.5 %, 2 ms for readings in whole
 * milliseconds.
 */
static inline mr_ms_t
mr_limit_expiry_wait(mr_ms_t lifetime)
{
    return lifetime + lifetime / 64 + 2;
}

/** mr_bucket_init() - an empty bucket that lapses at @expiry. */
void mr_bucket_init(mr_bucket_t *bucket, mr_limit_amount_t amount, mr_ms_t now,
                    mr_ms_t expiry);

/** mr_bucket_change() - new amount and expiry; keeps the tokens that fit. */
void mr_bucket_change(mr_bucket_t *bucket, mr_limit_amount_t amount,
                      mr_ms_t now, mr_ms_t expiry);

/** mr_bucket_level() - thousandths of a token at @now; 0 once lapsed. */
int64_t mr_bucket_level(mr_bucket_t *bucket, mr_ms_t now);

/** mr_bucket_put() - add tokens taken from another bucket, up to the burst. */
void mr_bucket_put(mr_bucket_t *bucket, int64_t milli, mr_ms_t now);

/** mr_bucket_take() - take up to @milli; returns what was taken. */
int64_t mr_bucket_take(mr_bucket_t *bucket, int64_t milli, mr_ms_t now);

/** mr_limit_scale() - @value x @num / @den, rounded down, without overflow. */
int64_t mr_limit_scale(int64_t value, int64_t num, int64_t den);

#endif
