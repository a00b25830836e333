#include "session/quota.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"
#include "limit/bucket.h"

enum {
    /* Hint when an account's rate is 0. */
    RETRY_DEFAULT_MS = 1000,
};

typedef struct account {
    mr_list_t link;
    char *name;
    mr_limit_amount_t total; /* of all instances */
    mr_limit_amount_t share;
    mr_ms_t share_expiry;
    mr_bucket_t bucket;
    int64_t asked; /* operations since the last report, refused ones too */
    bool seen;     /* in the catalog that is being set */
} account_t;

struct mr_quota {
    const mr_clock_t *clock;
    mr_list_t accounts;
    int64_t instances;
    mr_counter_t *admitted;
    mr_counter_t *refused;
    mr_counter_t *without_share;
};

mr_quota_t *
mr_quota_create(const mr_clock_t *clock, mr_counters_t *counters)
{
    mr_quota_t *quota = MR_NEW(mr_quota_t);

    quota->clock = clock;
    quota->instances = 1;
    mr_list_init(&quota->accounts);
    quota->admitted =
        mr_counters_get(counters, "masticrelay_quota_admitted_total", "",
                        "operations within their account's rate");
    quota->refused =
        mr_counters_get(counters, "masticrelay_quota_refused_total", "",
                        "operations beyond this instance's share");
    quota->without_share = mr_counters_get(
        counters, "masticrelay_quota_without_share_total", "",
        "operations judged by an equal part, without a valid share");
    return quota;
}

static void
free_account(account_t *account)
{
    mr_list_remove(&account->link);
    free(account->name);
    free(account);
}

void
mr_quota_destroy(mr_quota_t *quota)
{
    if (quota == NULL) {
        return;
    }
    MR_LIST_FOREACH(it, &quota->accounts)
    {
        free_account(MR_LIST_ENTRY(it, account_t, link));
    }
    free(quota);
}

static account_t *
find_account(const mr_quota_t *quota, const char *name)
{
    MR_LIST_FOREACH(it, &quota->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        if (strcmp(account->name, name) == 0) {
            return account;
        }
    }
    return NULL;
}

static mr_limit_amount_t
equal_part(const mr_quota_t *quota, const account_t *account)
{
    return (mr_limit_amount_t){account->total.rate / quota->instances,
                               account->total.burst / quota->instances};
}

/* Puts the amount in force into the bucket. */
static void
update_bucket(mr_quota_t *quota, account_t *account, mr_ms_t now)
{
    mr_limit_amount_t amount = account->share;

    if (now >= account->share_expiry) {
        amount = equal_part(quota, account);
    }
    /* An operation needs one whole token. */
    if (amount.burst < MR_TOKEN_MILLI && amount.rate > 0) {
        amount.burst = MR_TOKEN_MILLI;
    }
    if (amount.rate != account->bucket.amount.rate
        || amount.burst != account->bucket.amount.burst) {
        mr_bucket_change(&account->bucket, amount, now, INT64_MAX);
    }
}

static void
set_total(account_t *account, mr_limit_amount_t total)
{
    mr_limit_amount_t *share = &account->share;

    if (account->total.rate > 0 && total.rate < account->total.rate) {
        share->rate =
            mr_limit_scale(share->rate, total.rate, account->total.rate);
    }
    if (account->total.burst > 0 && total.burst < account->total.burst) {
        share->burst =
            mr_limit_scale(share->burst, total.burst, account->total.burst);
    }
    account->total = total;
}

void
mr_quota_set_catalog(mr_quota_t *quota, const mr_catalog_t *catalog)
{
    mr_ms_t now = mr_clock_now(quota->clock);

    MR_LIST_FOREACH(it, &quota->accounts)
    {
        MR_LIST_ENTRY(it, account_t, link)->seen = false;
    }
    for (size_t i = 0; i < catalog->account_count; i++) {
        const mr_catalog_account_t *entry = &catalog->accounts[i];
        account_t *account = find_account(quota, entry->name);
        if (account == NULL) {
            account = MR_NEW(account_t);
            account->name = mr_strdup(entry->name);
            mr_list_append(&quota->accounts, &account->link);
            mr_bucket_init(&account->bucket, (mr_limit_amount_t){0, 0}, now,
                           INT64_MAX);
        }
        account->seen = true;
        set_total(account, (mr_limit_amount_t){entry->rate * MR_TOKEN_MILLI,
                                               entry->burst * MR_TOKEN_MILLI});
        update_bucket(quota, account, now);
    }
    MR_LIST_FOREACH(it, &quota->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        if (!account->seen) {
            free_account(account);
        }
    }
}

void
mr_quota_set_instances(mr_quota_t *quota, size_t instances)
{
    quota->instances = instances > 0 ? (int64_t)instances : 1;
}

mr_ms_t
mr_quota_take(mr_quota_t *quota, const char *name)
{
    account_t *account = find_account(quota, name);
    mr_ms_t now = mr_clock_now(quota->clock);

    if (account == NULL) {
        return 0; /* callers without a key have no limit */
    }
    account->asked++;
    update_bucket(quota, account, now);
    if (now >= account->share_expiry) {
        mr_counter_add(quota->without_share, 1);
    }
    int64_t level = mr_bucket_level(&account->bucket, now);
    if (level >= MR_TOKEN_MILLI) {
        mr_bucket_take(&account->bucket, MR_TOKEN_MILLI, now);
        mr_counter_add(quota->admitted, 1);
        return 0;
    }
    mr_counter_add(quota->refused, 1);
    int64_t rate = account->bucket.amount.rate;
    return rate > 0 ? (MR_TOKEN_MILLI - level) * 1000 / rate + 1
                    : RETRY_DEFAULT_MS;
}
