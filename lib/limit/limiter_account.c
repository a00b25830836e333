#include "limit/limiter_account.h"

#include <stdlib.h>

#include "common/mem.h"

enum {
    /* Tokens in the reserve are lost when a share moves to another data
     * centre, so shares follow the mean demand of about DEMAND_STEP_MS x
     * DEMAND_STEPS. In the meantime instances request tokens from the limiters
     * of other data centres. */
    DEMAND_STEP_MS = 250,
    DEMAND_STEPS = 32,
};

struct mr_limiter_account {
    int64_t epoch;
    mr_ms_t acquired_at;
    mr_share_t *share;
    mr_grant_table_t *table; /* NULL until the own entry is renewed */
    mr_share_input_t input;
    int64_t demand; /* moving average */
    mr_ms_t demand_updated_at;
    bool demand_known;
};

mr_limiter_account_t *
mr_limiter_account_create(const char *data_centre, int64_t epoch,
                          mr_ms_t acquired_at)
{
    mr_limiter_account_t *account = MR_NEW(mr_limiter_account_t);

    account->epoch = epoch;
    account->acquired_at = acquired_at;
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
    mr_grant_table_destroy(account->table);
    free(account);
}

void
mr_limiter_account_configure(mr_limiter_account_t *account, int64_t version,
                             mr_limit_amount_t limit)
{
    account->input.version = version;
    account->input.limit = limit;
}

/* Creates the grant table when the own entry has been renewed, and updates it
 * to the share in force. The predecessor's grants were issued before the lease
 * was acquired, from at most the amount that the entry had then. */
static void
update_table(mr_limiter_account_t *account, mr_ms_t now)
{
    const mr_share_entry_t *initial = mr_share_initial_entry(account->share);

    if (initial == NULL) {
        return;
    }
    if (account->table == NULL) {
        mr_grant_predecessor_t predecessor = {
            .adopt_from = account->acquired_at
                          + mr_limit_expiry_wait(MR_GRANT_REPLY_MAX_AGE_MS),
            .short_until =
                account->acquired_at + mr_limit_expiry_wait(MR_GRANT_SHORT_MS),
            .long_until =
                account->acquired_at + mr_limit_expiry_wait(MR_GRANT_LONG_MS),
            .share = initial->amount,
            .long_total = mr_grant_long_cap(initial->amount),
        };
        /* The recorded grants are valid only if no other limiter held the
         * lease in between. */
        if (initial->granted_epoch > 0
            && initial->granted_epoch == account->epoch - 1) {
            predecessor.long_total = initial->granted;
        }
        account->table = mr_grant_table_create(
            account->epoch, initial->amount.rate > 0 ? &predecessor : NULL,
            now);
    }
    mr_grant_table_set_share(
        account->table, mr_share_usable(account->share, &account->input, now),
        mr_share_expiry(account->share), now);
}

static int64_t
mean_demand(mr_limiter_account_t *account, int64_t demand, mr_ms_t now)
{
    if (!account->demand_known) {
        account->demand_known = demand > 0;
        account->demand = demand;
        account->demand_updated_at = now;
    }
    if (now - account->demand_updated_at > DEMAND_STEP_MS * DEMAND_STEPS * 2) {
        account->demand_updated_at = now - DEMAND_STEP_MS * DEMAND_STEPS * 2;
    }
    while (now - account->demand_updated_at >= DEMAND_STEP_MS) {
        account->demand += (demand - account->demand) / DEMAND_STEPS;
        account->demand_updated_at += DEMAND_STEP_MS;
    }
    return account->demand;
}

mr_row_action_t
mr_limiter_account_plan(mr_limiter_account_t *account, mr_ms_t now,
                        mr_share_row_t *out)
{
    update_table(account, now);
    if (account->table != NULL) {
        int64_t demand = mr_grant_table_demand(account->table, now);
        int64_t inactive = mr_grant_table_inactive_rate(account->table, now);
        /* The rate of grants held by failed instances can't be used until they
         * expire. Counting it as demand lets other data centres give up rate
         * that they don't need. */
        demand += inactive < demand ? inactive : demand;
        account->input.demand = mean_demand(account, demand, now);
        account->input.min_amount =
            mr_grant_table_min_share(account->table, now);
        account->input.long_total =
            mr_grant_table_long_total(account->table, now);
        account->input.epoch = account->epoch;
    }
    mr_row_action_t action =
        mr_share_plan(account->share, &account->input, now, out);
    update_table(account, now);
    return action;
}

void
mr_limiter_account_read(mr_limiter_account_t *account,
                        const mr_share_row_t *row, mr_ms_t now)
{
    mr_share_read(account->share, row, now);
    update_table(account, now);
}

void
mr_limiter_account_written(mr_limiter_account_t *account,
                           mr_row_result_t result, int64_t revision,
                           mr_ms_t now)
{
    mr_share_written(account->share, result, revision, now);
    update_table(account, now);
}

size_t
mr_limiter_account_handle_request(mr_limiter_account_t *account,
                                  const mr_grant_request_t *request,
                                  mr_ms_t now, mr_msg_grant_item_t *out,
                                  bool *refused)
{
    *refused = false;
    update_table(account, now);
    if (account->table == NULL) {
        return 0;
    }
    return mr_grant_table_handle_request(account->table, request, now, out,
                                         refused);
}

void
mr_limiter_account_return_grant(mr_limiter_account_t *account,
                                const char *instance, int64_t process,
                                int64_t id, mr_ms_t now)
{
    if (account->table != NULL) {
        mr_grant_table_return(account->table, instance, process, id, now);
    }
}

void
mr_limiter_account_stop(mr_limiter_account_t *account, mr_ms_t now)
{
    if (account->table != NULL) {
        mr_share_stop(account->share, account->epoch,
                      mr_grant_table_long_total(account->table, now));
    }
}

bool
mr_limiter_account_stopped(const mr_limiter_account_t *account)
{
    return account->table == NULL || mr_share_stopped(account->share);
}

mr_limit_amount_t
mr_limiter_account_usable(const mr_limiter_account_t *account, mr_ms_t now)
{
    return mr_share_usable(account->share, &account->input, now);
}
