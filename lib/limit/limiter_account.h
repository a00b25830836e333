#ifndef MR_LIMIT_LIMITER_ACCOUNT_H
#define MR_LIMIT_LIMITER_ACCOUNT_H

/*
 * One account at the limiter that holds the lease of its shard: the data
 * centre's share and the grants issued from it. No I/O is done here: the
 * caller reads and writes the row share/{account}. It calls
 * mr_limiter_account_handle_request() only while it holds the lease.
 */

#include "limit/grant.h"
#include "limit/share.h"

typedef struct mr_limiter_account mr_limiter_account_t;

/**
 * mr_limiter_account_create() - create the state of an account
 * @epoch: epoch of the limiter's lease
 * @acquired_at: when the write that acquired the lease was sent
 */
mr_limiter_account_t *mr_limiter_account_create(const char *data_centre,
                                                int64_t epoch,
                                                mr_ms_t acquired_at);
void mr_limiter_account_destroy(mr_limiter_account_t *account);

/** mr_limiter_account_configure() - set the account's limit, which is taken
 * from configuration @version. */
void mr_limiter_account_configure(mr_limiter_account_t *account,
                                  int64_t version, mr_limit_amount_t limit);

/** mr_limiter_account_plan() - see mr_share_plan(). */
mr_row_action_t mr_limiter_account_plan(mr_limiter_account_t *account,
                                        mr_ms_t now, mr_share_row_t *out);
void mr_limiter_account_read(mr_limiter_account_t *account,
                             const mr_share_row_t *row, mr_ms_t now);
void mr_limiter_account_written(mr_limiter_account_t *account,
                                mr_row_result_t result, int64_t revision,
                                mr_ms_t now);

/** mr_limiter_account_handle_request() - see mr_grant_table_handle_request().
 */
size_t mr_limiter_account_handle_request(mr_limiter_account_t *account,
                                         const mr_grant_request_t *request,
                                         mr_ms_t now, mr_msg_grant_item_t *out,
                                         bool *refused);

/** mr_limiter_account_return_grant() - see mr_grant_table_return(). */
void mr_limiter_account_return_grant(mr_limiter_account_t *account,
                                     const char *instance, int64_t process,
                                     int64_t id, mr_ms_t now);

/** mr_limiter_account_stop() - see mr_share_stop(). The caller makes sure that
 * no more grants are issued. */
void mr_limiter_account_stop(mr_limiter_account_t *account, mr_ms_t now);

/** mr_limiter_account_stopped() - see mr_share_stopped(); also true if there
 * is nothing to record. */
bool mr_limiter_account_stopped(const mr_limiter_account_t *account);

/** mr_limiter_account_usable() - the data centre's share in force. */
mr_limit_amount_t
mr_limiter_account_usable(const mr_limiter_account_t *account, mr_ms_t now);

#endif
