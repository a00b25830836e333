#ifndef MR_LIMIT_GRANT_H
#define MR_LIMIT_GRANT_H

/*
 * Grants of rate and tokens that the limiter of a data centre issues to
 * instances for one account. The grant table is the limiter's side, the held
 * grants are the instance's side. No I/O is done here.
 *
 * An instance holds at most one LONG and one SHORT grant; a newer grant
 * replaces the one of the same kind. Until the instance reports which one it
 * holds, the table counts the largest of those it may hold. An instance can
 * hold several TOKENS grants; the table counts their sum until they are
 * returned or expire. Each process of an instance is counted separately: a
 * process that was replaced may be paused and resume with its grants.
 */

#include <stddef.h>

#include "limit/bucket.h"
#include "wire/msg.h"

/** Kinds of grant. The values are part of the wire format. */
typedef enum mr_grant_kind {
    MR_GRANT_LONG,   /* base rate; starts empty; stays valid if the
                        limiter fails */
    MR_GRANT_SHORT,  /* rate for recent demand; starts empty */
    MR_GRANT_TOKENS, /* tokens that can be used at once; no rate */
} mr_grant_kind_t;

enum {
    MR_GRANT_LONG_MS = 60000,
    MR_GRANT_SHORT_MS = 500,
    /* An instance ignores a reply if it sent the request this long ago or
     * longer. */
    MR_GRANT_REPLY_MAX_AGE_MS = 1000,
    MR_GRANT_ITEMS_MAX = 3, /* grants in one reply */
    MR_GRANT_TOKENS_MAX = 8,
};

/** An instance's grant request. */
typedef struct mr_grant_request {
    const char *instance;
    int64_t process;        /* random id of the process */
    int64_t demand;         /* thousandths of a request per second */
    int64_t wanted;         /* tokens wanted at once */
    int64_t held_long;      /* id of the LONG grant held; 0: none */
    mr_limit_amount_t held; /* amount of the LONG grant held */
    int64_t held_short;     /* id of the SHORT grant held; 0: none */
    bool tokens_only;       /* sent by an instance of another data centre */
} mr_grant_request_t;

/** What a new limiter knows about the grants of its predecessor. */
typedef struct mr_grant_predecessor {
    /* An instance accepts a reply sent at this time or later only if it sent
     * the request after the predecessor issued its last grant. */
    mr_ms_t adopt_from;
    mr_ms_t short_until;     /* its SHORT and TOKENS grants expire by then */
    mr_ms_t long_until;      /* its LONG grants expire by then */
    mr_limit_amount_t share; /* share from which they were issued */
    mr_limit_amount_t long_total; /* upper bound of its LONG grants */
} mr_grant_predecessor_t;

/** The limiter's table of grants for one account. */
typedef struct mr_grant_table mr_grant_table_t;

/**
 * mr_grant_table_create() - create the table for a limiter
 * @epoch: epoch of the limiter's lease
 * @predecessor: the predecessor's grants, NULL if there was no predecessor
 */
mr_grant_table_t *
mr_grant_table_create(int64_t epoch, const mr_grant_predecessor_t *predecessor,
                      mr_ms_t now);
void mr_grant_table_destroy(mr_grant_table_t *table);

/** mr_grant_table_set_share() - set the share available to new grants until
 * @expiry. Grants in force keep their amounts until they are replaced. */
void mr_grant_table_set_share(mr_grant_table_t *table, mr_limit_amount_t share,
                              mr_ms_t expiry, mr_ms_t now);

/** mr_grant_table_min_share() - the smallest share that covers all grants
 * that may be in force; a smaller one must not be written to the row. */
mr_limit_amount_t mr_grant_table_min_share(mr_grant_table_t *table,
                                           mr_ms_t now);

/** mr_grant_table_long_total() - upper bound of the LONG grants in force. */
mr_limit_amount_t mr_grant_table_long_total(const mr_grant_table_t *table,
                                            mr_ms_t now);

/** mr_grant_long_cap() - the part of @share that LONG grants of a limiter of
 * any software version may use. */
mr_limit_amount_t mr_grant_long_cap(mr_limit_amount_t share);

/** mr_grant_long_limit() - the part of @share that new LONG grants may use;
 * less than mr_grant_long_cap(). */
mr_limit_amount_t mr_grant_long_limit(mr_limit_amount_t share);

/** mr_grant_table_demand() - sum of the recent demand of all instances. */
int64_t mr_grant_table_demand(const mr_grant_table_t *table, mr_ms_t now);

/** mr_grant_table_inactive_rate() - rate of the LONG grants that may be in
 * force at instances which have sent no request recently. */
int64_t mr_grant_table_inactive_rate(const mr_grant_table_t *table,
                                     mr_ms_t now);

/**
 * mr_grant_table_handle_request() - answer a grant request
 * @out: receives up to MR_GRANT_ITEMS_MAX grants
 * @refused: set if tokens were wanted and none will be available within the
 *           time that a client request is held
 *
 * Return: the number of grants.
 */
size_t mr_grant_table_handle_request(mr_grant_table_t *table,
                                     const mr_grant_request_t *request,
                                     mr_ms_t now, mr_msg_grant_item_t *out,
                                     bool *refused);

/** mr_grant_table_return() - record that the process no longer holds grant
 * @id. */
void mr_grant_table_return(mr_grant_table_t *table, const char *instance,
                           int64_t process, int64_t id, mr_ms_t now);

/** The grants that an instance holds for one account. */
typedef struct mr_held_grants {
    mr_bucket_t bucket[2]; /* LONG and SHORT */
    int64_t id[2];
    mr_bucket_t tokens[MR_GRANT_TOKENS_MAX];
    int64_t token_id[MR_GRANT_TOKENS_MAX];
} mr_held_grants_t;

/** mr_held_grants_admit() - take one token if one is available. */
bool mr_held_grants_admit(mr_held_grants_t *held, mr_ms_t now);

/** mr_held_grants_level() - available thousandths of a token, all grants. */
int64_t mr_held_grants_level(mr_held_grants_t *held, mr_ms_t now);

/** mr_held_grants_rate() - total rate of the grants in force. */
int64_t mr_held_grants_rate(const mr_held_grants_t *held, mr_ms_t now);

/** mr_held_grants_accept() - add a grant from the reply to a request that was
 * sent at @sent. Expired, late and outdated grants are ignored. */
void mr_held_grants_accept(mr_held_grants_t *held,
                           const mr_msg_grant_item_t *item, mr_ms_t sent,
                           mr_ms_t now);

/** mr_held_grants_report() - set the fields of @request that describe the
 * grants held. */
void mr_held_grants_report(const mr_held_grants_t *held,
                           mr_grant_request_t *request, mr_ms_t now);

/** mr_held_grants_scale() - scale the grants in force when the account's limit
 * changes from @from to @to. They are scaled down at once, but never up. */
void mr_held_grants_scale(mr_held_grants_t *held, mr_limit_amount_t from,
                          mr_limit_amount_t to, mr_ms_t now);

/** mr_held_grants_take_spent() - remove one spent TOKENS grant and return its
 * id, which the caller gives back to the limiter; 0: none. */
int64_t mr_held_grants_take_spent(mr_held_grants_t *held, mr_ms_t now);

/** mr_held_grants_drop() - remove one grant during a drain and return its id;
 * 0: none is left. */
int64_t mr_held_grants_drop(mr_held_grants_t *held, mr_ms_t now);

#endif
