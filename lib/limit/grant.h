#ifndef MR_LIMIT_GRANT_H
#define MR_LIMIT_GRANT_H

/*
 * What the limiter of a data centre gives to instances for one account. The
 * book is the limiter's side, the hold is the instance's side; neither does
 * any I/O.
 *
 * An instance holds at most one grant of each of the kinds LONG and SHORT; a
 * newer one replaces it. Until the instance reports which one it holds, the
 * book counts the larger of those it may hold. Any number of TOKENS grants may
 * be held; the book counts their sum until they are returned or lapse. Each
 * process counts for itself, as one that was replaced may only be paused.
 */

#include <stddef.h>

#include "limit/bucket.h"
#include "wire/msg.h"

/** Kinds of grant; the values travel in messages. */
typedef enum mr_grant_kind {
    MR_GRANT_LONG,   /* base rate, starts empty, outlives the limiter */
    MR_GRANT_SHORT,  /* rate for recent demand, starts empty */
    MR_GRANT_TOKENS, /* tokens at once, no rate */
} mr_grant_kind_t;

enum {
    MR_GRANT_LONG_MS = 60000,
    MR_GRANT_SHORT_MS = 500,
    /* An instance ignores a reply to an ask older than this. */
    MR_GRANT_REPLY_MAX_AGE_MS = 1000,
    MR_GRANT_ITEMS_MAX = 3, /* grants in one reply */
    MR_GRANT_TOKENS_MAX = 8,
};

/** What an instance asks for. */
typedef struct mr_grant_ask {
    const char *instance;
    int64_t process;        /* random number of the process */
    int64_t demand;         /* thousandths of a request per second */
    int64_t wanted;         /* tokens wanted at once */
    int64_t held_long;      /* id of the LONG grant it holds, 0: none */
    mr_limit_amount_t held; /* its amount */
    int64_t held_short;     /* id of the SHORT grant it holds, 0: none */
    bool tokens_only;       /* an instance of another data centre asks */
} mr_grant_ask_t;

/** What a new limiter knows of its predecessor's grants. */
typedef struct mr_grant_predecessor {
    /* An instance that accepts a reply given from then on sent its ask after
     * the last grant of the predecessor. */
    mr_ms_t adopt_from;
    mr_ms_t short_until;          /* its short grants have lapsed by then */
    mr_ms_t long_until;           /* its long grants have lapsed by then */
    mr_limit_amount_t share;      /* the share that they were given from */
    mr_limit_amount_t long_total; /* at most this much in long grants */
} mr_grant_predecessor_t;

/** The limiter's grants for one account. */
typedef struct mr_grant_table mr_grant_book_t;

/** mr_grant_book_create() - @epoch of the lease; @former NULL: there was no
 * predecessor. */
mr_grant_book_t *mr_grant_book_create(int64_t epoch,
                                      const mr_grant_predecessor_t *former,
                                      mr_ms_t now);
void mr_grant_book_destroy(mr_grant_book_t *book);

/** mr_grant_book_set_share() - the share that new grants may use, until
 * @expiry. Grants in force keep what they have until replaced. */
void mr_grant_book_set_share(mr_grant_book_t *book, mr_limit_amount_t share,
                             mr_ms_t expiry, mr_ms_t now);

/** mr_grant_table_min_share() - the smallest share that covers all grants
 * that may be in force; a smaller one must not be written. */
mr_limit_amount_t mr_grant_table_min_share(mr_grant_book_t *book, mr_ms_t now);

/** mr_grant_table_long_total() - the most that may be in force of LONG grants.
 */
mr_limit_amount_t mr_grant_table_long_total(const mr_grant_book_t *book,
                                            mr_ms_t now);

/** mr_grant_long_cap() - the most of @share that LONG grants of a limiter of
 * any version may use. */
mr_limit_amount_t mr_grant_long_cap(mr_limit_amount_t share);

/** mr_grant_long_limit() - the most of @share that new LONG grants use; less
 * than mr_grant_long_cap(). */
mr_limit_amount_t mr_grant_long_limit(mr_limit_amount_t share);

/** mr_grant_table_demand() - recent demand of all instances. */
int64_t mr_grant_table_demand(const mr_grant_book_t *book, mr_ms_t now);

/** mr_grant_table_inactive_rate() - rate of LONG grants that may be in force
 * but are not held by an instance that asked recently. */
int64_t mr_grant_table_inactive_rate(const mr_grant_book_t *book, mr_ms_t now);

/**
 * mr_grant_book_ask() - answer an instance
 * @out: receives up to MR_GRANT_ITEMS_MAX grants
 * @refused: set when tokens were wanted and none will come within the time
 *           that a request is held
 *
 * Return: the number of grants.
 */
size_t mr_grant_book_ask(mr_grant_book_t *book, const mr_grant_ask_t *ask,
                         mr_ms_t now, mr_msg_grant_item_t *out, bool *refused);

/** mr_grant_table_return() - the process no longer holds @id. */
void mr_grant_table_return(mr_grant_book_t *book, const char *instance,
                           int64_t process, int64_t id, mr_ms_t now);

/** What an instance holds for one account. */
typedef struct mr_held_grants {
    mr_bucket_t bucket[2]; /* LONG and SHORT */
    int64_t id[2];
    mr_bucket_t tokens[MR_GRANT_TOKENS_MAX];
    int64_t token_id[MR_GRANT_TOKENS_MAX];
} mr_held_grants_t;

/** mr_held_grants_admit() - take one token if there is one. */
bool mr_held_grants_admit(mr_held_grants_t *hold, mr_ms_t now);

/** mr_held_grants_level() - thousandths of a token in all grants. */
int64_t mr_held_grants_level(mr_held_grants_t *hold, mr_ms_t now);

/** mr_held_grants_rate() - rate of all grants in force. */
int64_t mr_held_grants_rate(const mr_held_grants_t *hold, mr_ms_t now);

/** mr_held_grants_accept() - a grant that was asked for at @sent arrived. */
void mr_held_grants_accept(mr_held_grants_t *hold,
                           const mr_msg_grant_item_t *item, mr_ms_t sent,
                           mr_ms_t now);

/** mr_held_grants_report() - set what an ask says about grants held. */
void mr_held_grants_report(const mr_held_grants_t *hold, mr_grant_ask_t *ask,
                           mr_ms_t now);

/** mr_held_grants_scale() - the account's limit changed from @from to @to; a
 * lower one applies to grants in force at once. */
void mr_held_grants_scale(mr_held_grants_t *hold, mr_limit_amount_t from,
                          mr_limit_amount_t to, mr_ms_t now);

/** mr_grant_hold_spent() - id of a spent TOKENS grant that is now forgotten
 * and should be returned; 0: none. */
int64_t mr_grant_hold_spent(mr_held_grants_t *hold, mr_ms_t now);

/** mr_held_grants_drop() - forget a grant for a drain and return its id; 0:
 * nothing is left. */
int64_t mr_held_grants_drop(mr_held_grants_t *hold, mr_ms_t now);

#endif
