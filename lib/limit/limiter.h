#ifndef MR_LIMIT_LIMITER_H
#define MR_LIMIT_LIMITER_H

/*
 * The limiter role: takes leases of shards, keeps the data centre's shares of
 * their accounts, and answers the instances' asks. The decisions are in
 * lease.h, share.h and grant.h.
 */

#include "limit/grant.h"
#include "limit/limit.h"

enum {
    /* Accounts are spread over this many leases by XXH3 of their names. */
    MR_LIMITER_SHARDS = 16,
};

typedef struct mr_limiter mr_limiter_t;

/** mr_limiter_create() - @process: random number of this process. */
mr_limiter_t *mr_limiter_create(const mr_limit_options_t *options,
                                int64_t process);
void mr_limiter_destroy(mr_limiter_t *limiter);

/** mr_limiter_shard() - shard of an account. */
unsigned mr_limiter_shard(const char *account);

/** mr_limiter_shard_key() - what the rendezvous order of a shard's limiters is
 * for. */
void mr_limiter_shard_key(const char *data_centre, unsigned shard, char *key,
                          size_t len);

/**
 * mr_limiter_handle_request() - answer an ask of this or another instance
 * @reply: its grants point to @items, its owner is valid until the next call
 */
void mr_limiter_handle_request(mr_limiter_t *limiter, const char *account,
                               const mr_grant_ask_t *ask,
                               mr_msg_grant_item_t *items,
                               mr_msg_grant_reply_t *reply);

void mr_limiter_return_grant(mr_limiter_t *limiter, const char *account,
                             const char *instance, int64_t process,
                             int64_t id);

/** mr_limiter_drain() - stop granting and release all leases. */
void mr_limiter_drain(mr_limiter_t *limiter);

/** mr_limiter_usable() - the data centre's share of @account; zero when this
 * instance is not its limiter. */
mr_limit_amount_t mr_limiter_usable(const mr_limiter_t *limiter,
                                    const char *account);

#endif
