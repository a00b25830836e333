#ifndef MR_LIMIT_LIMITER_H
#define MR_LIMIT_LIMITER_H

/*
 * The limiter role: acquires leases of account shards, maintains the data
 * centre's share of each account in them, and answers grant requests. This
 * module does the I/O; the decisions are made in lease.h, share.h and grant.h.
 */

#include "limit/grant.h"
#include "limit/limit.h"

enum {
    /* Accounts are assigned to shards by the XXH3 hash of their names; there
     * is one lease per shard. */
    MR_LIMITER_SHARDS = 16,
};

typedef struct mr_limiter mr_limiter_t;

/** mr_limiter_create() - @process: random id of this process. */
mr_limiter_t *mr_limiter_create(const mr_limit_options_t *options,
                                int64_t process);
void mr_limiter_destroy(mr_limiter_t *limiter);

/** mr_limiter_shard() - index of the shard that contains @account. */
unsigned mr_limiter_shard(const char *account);

/** mr_limiter_shard_key() - name of the shard's row in the store, and key of
 * the rendezvous order of its limiter candidates. */
void mr_limiter_shard_key(const char *data_centre, unsigned shard, char *key,
                          size_t len);

/**
 * mr_limiter_handle_request() - answer a grant request of this or another
 * instance
 * @reply: its grants point to @items; its owner is valid until the next call
 */
void mr_limiter_handle_request(mr_limiter_t *limiter, const char *account,
                               const mr_grant_request_t *request,
                               mr_msg_grant_item_t *items,
                               mr_msg_grant_reply_t *reply);

/** mr_limiter_return_grant() - record that process @process of @instance no
 * longer holds grant @id. */
void mr_limiter_return_grant(mr_limiter_t *limiter, const char *account,
                             const char *instance, int64_t process,
                             int64_t id);

/** mr_limiter_drain() - stop issuing grants and release all leases. */
void mr_limiter_drain(mr_limiter_t *limiter);

/** mr_limiter_usable() - the data centre's share of @account that is in force;
 * zero if this instance is not the limiter of its shard. */
mr_limit_amount_t mr_limiter_usable(const mr_limiter_t *limiter,
                                    const char *account);

#endif
