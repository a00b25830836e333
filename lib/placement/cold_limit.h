#ifndef MR_PLACEMENT_COLD_LIMIT_H
#define MR_PLACEMENT_COLD_LIMIT_H

/*
 * Limit of the statements that all instances together send to a database that
 * has just started. Each statement takes a token. The coordinator grants them
 * (mr_cold_grantor_t) and the instances hold them for a short time
 * (mr_cold_tokens_t). Tokens that were used in one second were granted within
 * that second and the lifetime before it, so the part of the rate that is
 * granted leaves room for the lifetime.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "wire/msg.h"

enum {
    /* Lifetime of a token from the sending of the report that requested it,
     * and pause of a new leader, in which those of the former one lapse. */
    MR_COLD_TOKEN_MS = 250,
    /* Granted part of the rate: 1 / (1 s + MR_COLD_TOKEN_MS). */
    MR_COLD_GRANT_PERCENT = 80,
    /* Most tokens of one database that one message requests. */
    MR_COLD_WANTED_MAX = 1000,
};

/* The coordinator's part. */

typedef struct mr_cold_grantor mr_cold_grantor_t;

/** mr_cold_rate_fn_t - statements that database @id may get while it is cold,
 * in thousandths a second; 0: it is not known, or has no limit. */
typedef int64_t (*mr_cold_rate_fn_t)(void *ctx, const char *id);

mr_cold_grantor_t *mr_cold_grantor_create(mr_cold_rate_fn_t rate, void *ctx);
void mr_cold_grantor_destroy(mr_cold_grantor_t *grantor);

/** mr_cold_grantor_set_leading() - since when this instance leads without an
 * interruption; 0: it does not lead. If that has changed, all buckets are
 * empty. */
void mr_cold_grantor_set_leading(mr_cold_grantor_t *grantor,
                                 mr_ms_t leading_since);

/** mr_cold_grantor_update_rates() - the rates may have changed. */
void mr_cold_grantor_update_rates(mr_cold_grantor_t *grantor);

/** mr_cold_grantor_grant() - take up to @count tokens of database @id; returns
 * the number taken, 0 unless this instance leads. */
int64_t mr_cold_grantor_grant(mr_cold_grantor_t *grantor, const char *id,
                              int64_t count, mr_ms_t now);

/* The part of each instance. */

typedef struct mr_cold_tokens mr_cold_tokens_t;
/** A statement that waits for a token. */
typedef struct mr_cold_wait mr_cold_wait_t;

mr_cold_tokens_t *mr_cold_tokens_create(void);
/** mr_cold_tokens_destroy() - no statement may be waiting any more. */
void mr_cold_tokens_destroy(mr_cold_tokens_t *tokens);

/** mr_cold_tokens_add() - add tokens that were granted in reply to a report
 * sent at @asked_at. */
void mr_cold_tokens_add(mr_cold_tokens_t *tokens,
                        const mr_msg_cold_count_t *grant, mr_ms_t asked_at);

/** mr_cold_tokens_take() - take one token of database @id; false if there is
 * none. The statement must be sent at once. */
bool mr_cold_tokens_take(mr_cold_tokens_t *tokens, const char *id,
                         mr_ms_t now);

/** mr_cold_tokens_begin_wait() - a statement waits for a token of @id until
 * mr_cold_tokens_end_wait() is called with the result. */
mr_cold_wait_t *mr_cold_tokens_begin_wait(mr_cold_tokens_t *tokens,
                                          const char *id);
void mr_cold_tokens_end_wait(mr_cold_wait_t *wait);

/** mr_cold_tokens_reaches() - whether there is a token for @wait, after those
 * that have waited longer. */
bool mr_cold_tokens_reaches(const mr_cold_wait_t *wait, mr_ms_t now);

/** mr_cold_tokens_requests() - list the tokens that the waiting statements
 * lack; returns the number of entries, up to @max. Names are valid until the
 * next call of any function. */
size_t mr_cold_tokens_requests(mr_cold_tokens_t *tokens,
                               mr_msg_cold_count_t *out, size_t max,
                               mr_ms_t now);

/* The load after a cold period. */

/**
 * mr_cold_ramp_offers() - whether a database that stopped being cold at
 * @cold_ended is offered for the next read
 * @credit: kept by the caller for each database, initially 0
 *
 * The share of the reads rises from 0 to all of them in 3 s. It is counted,
 * not drawn, so that each instance offers exactly this share.
 */
bool mr_cold_ramp_offers(int *credit, mr_ms_t cold_ended, mr_ms_t now);

#endif
