#include "limit/limiter_account.h"

#include <stdlib.h>

#include "common/mem.h"

enum {
    /* A share that moves loses the tokens in its reserve, so it follows the
     * mean demand of about DEMAND_STEP_MS x DEMAND_STEPS. Until then
     * limiters of other data centres are asked for tokens. */
    DEMAND_STEP_MS = 250,
    DEMAND_STEPS = 32,
};

struct mr_limiter_account {
    int64_t epoch;
    mr_ms_t since;
    mr_share_t *share;
    mr_grant_book_t *book; /* NULL until the own entry is renewed */
    mr_share_input_t input;
    int64_t demand; /* mean of the recent past */
    mr_ms_t demand_at;
    bool demand_known;
};

mr_limiter_account_t *
mr_limiter_account_create(const char *data_centre, int64_t epoch,
                          mr_ms_t since)
{
    mr_limiter_account_t *account = MR_NEW(mr_limiter_account_t);

    account->epoch = epoch;
    account->since = since;
    account->share = mr_share_create(data_centre);
    return account;
}

void
mr_limiter_account_destroy(mr_limiter_account_t *account)
{
    if (account == NULL) {
        return;
    }
    mr_share_destroy(account->share);
    mr_grant_book_destroy(account->book);
    free(account);
}

void
mr_limiter_account_configure(mr_limiter_account_t *account, int64_t version,
                             mr_limit_amount_t limit)
{
    account->input.version = version;
    account->input.limit = limit;
}

/* Bring the book up to the share in force. A predecessor's grants were given
 * before the lease was taken, from at most the own entry as first seen. */
static void
sync_book(mr_limiter_account_t *account, mr_ms_t now)
{
    const mr_share_entry_t *first = mr_share_initial_entry(account->share);

    if (first == NULL) {
        return;
    }
    if (account->book == NULL) {
        mr_grant_predecessor_t former = {
            .adopt_from = account->since
                          + mr_limit_expiry_wait(MR_GRANT_REPLY_MAX_AGE_MS),
            .short_until =
                account->since + mr_limit_expiry_wait(MR_GRANT_SHORT_MS),
            .long_until =
                account->since + mr_limit_expiry_wait(MR_GRANT_LONG_MS),
            .share = first->amount,
            .long_total = mr_grant_long_cap(first->amount),
        };
        /* A note is only good when nobody held the lease in between. */
        if (first->granted_epoch > 0
            && first->granted_epoch == account->epoch - 1) {
            former.long_total = first->granted;
        }
        account->book = mr_grant_book_create(
            account->epoch, first->amount.rate > 0 ? &former : NULL, now);
    }
    mr_grant_book_set_share(
        account->book, mr_share_usable(account->share, &account->input, now),
        mr_share_expiry(account->share), now);
}

static int64_t
mean_demand(mr_limiter_account_t *account, int64_t demand, mr_ms_t now)
{
    if (!account->demand_known) {
        account->demand_known = demand > 0;
        account->demand = demand;
        account->demand_at = now;
    }
    if (now - account->demand_at > DEMAND_STEP_MS * DEMAND_STEPS * 2) {
        account->demand_at = now - DEMAND_STEP_MS * DEMAND_STEPS * 2;
    }
    while (now - account->demand_at >= DEMAND_STEP_MS) {
        account->demand += (demand - account->demand) / DEMAND_STEPS;
        account->demand_at += DEMAND_STEP_MS;
    }
    return account->demand;
}

mr_share_action_t
mr_limiter_account_plan(mr_limiter_account_t *account, mr_ms_t now,
                        mr_share_row_t *out)
{
    sync_book(account, now);
    if (account->book != NULL) {
        int64_t demand = mr_grant_table_demand(account->book, now);
        int64_t stuck = mr_grant_table_inactive_rate(account->book, now);
        /* Rate that is stuck in grants of dead instances serves nobody until
         * they lapse; the rest of the fleet may have some to spare. */
        demand += stuck < demand ? stuck : demand;
        account->input.demand = mean_demand(account, demand, now);
        account->input.min_amount =
            mr_grant_table_min_share(account->book, now);
        account->input.long_total =
            mr_grant_table_long_total(account->book, now);
        account->input.epoch = account->epoch;
    }
    mr_share_action_t action =
        mr_share_plan(account->share, &account->input, now, out);
    sync_book(account, now);
    return action;
}

void
mr_limiter_account_read(mr_limiter_account_t *account,
                        const mr_share_row_t *row, mr_ms_t now)
{
    mr_share_read(account->share, row, now);
    sync_book(account, now);
}

void
mr_limiter_account_written(mr_limiter_account_t *account,
                           mr_share_result_t result, int64_t revision,
                           mr_ms_t now)
{
    mr_share_written(account->share, result, revision, now);
    sync_book(account, now);
}

size_t
mr_limiter_account_handle_request(mr_limiter_account_t *account,
                                  const mr_grant_ask_t *ask, mr_ms_t now,
                                  mr_msg_grant_item_t *out, bool *refused)
{
    *refused = false;
    sync_book(account, now);
    if (account->book == NULL) {
        return 0;
    }
    return mr_grant_book_ask(account->book, ask, now, out, refused);
}

void
mr_limiter_account_return_grant(mr_limiter_account_t *account,
                                const char *instance, int64_t process,
                                int64_t id, mr_ms_t now)
{
    if (account->book != NULL) {
        mr_grant_table_return(account->book, instance, process, id, now);
    }
}

void
mr_limiter_account_stop(mr_limiter_account_t *account, mr_ms_t now)
{
    if (account->book != NULL) {
        mr_share_stop(account->share, account->epoch,
                      mr_grant_table_long_total(account->book, now));
    }
}

bool
mr_limiter_account_stopped(const mr_limiter_account_t *account)
{
    return account->book == NULL || mr_share_stopped(account->share);
}

mr_limit_amount_t
mr_limiter_account_usable(const mr_limiter_account_t *account, mr_ms_t now)
{
    return mr_share_usable(account->share, &account->input, now);
}
