#include "session/quota.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"

enum {
    /* Demand is smoothed over about this time. */
    DEMAND_WINDOW_MS = 1000,
    /* Accounts with less demand are not reported, thousandths of
     * operations/s. */
    DEMAND_MIN_MILLI = 50,
    LOW_TOKENS_MILLI = 2 * MR_TOKEN_MILLI, /* asks for a new share */
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
    int64_t asked;  /* operations since @asked_since, refused ones too */
    int64_t demand; /* smoothed, thousandths of operations/s */
    bool seen;      /* in the catalog that is being set */
} account_t;

struct mr_quota {
    const mr_clock_t *clock;
    mr_list_t accounts;
    int64_t instances;
    mr_ms_t asked_since;
    bool is_short;
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

void
mr_quota_set_share(mr_quota_t *quota, const char *name,
                   mr_limit_amount_t share, mr_ms_t expiry)
{
    account_t *account = find_account(quota, name);

    if (account != NULL) {
        account->share = share;
        account->share_expiry = expiry;
        update_bucket(quota, account, mr_clock_now(quota->clock));
    }
}

size_t
mr_quota_demands(mr_quota_t *quota, mr_msg_demand_t *out, size_t max)
{
    mr_ms_t now = mr_clock_now(quota->clock);
    mr_ms_t span = now - quota->asked_since;
    size_t count = 0;

    if (span <= 0) {
        span = 1;
    }
    int64_t weight = span < DEMAND_WINDOW_MS ? span : DEMAND_WINDOW_MS;
    quota->asked_since = now;
    MR_LIST_FOREACH(it, &quota->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        int64_t recent = account->asked * 1000 * MR_TOKEN_MILLI / span;
        account->demand +=
            (recent - account->demand) * weight / DEMAND_WINDOW_MS;
        account->asked = 0;
        if (account->demand >= DEMAND_MIN_MILLI && count < max) {
            out[count++] = (mr_msg_demand_t){account->name, account->demand};
        }
    }
    return count;
}

bool
mr_quota_short(mr_quota_t *quota)
{
    bool is_short = quota->is_short;

    quota->is_short = false;
    return is_short;
}

size_t
mr_quota_totals(const mr_quota_t *quota, mr_msg_share_t *out, size_t max)
{
    size_t count = 0;

    MR_LIST_FOREACH(it, &quota->accounts)
    {
        const account_t *account = MR_LIST_ENTRY(it, account_t, link);
        if (count < max) {
            out[count++] = (mr_msg_share_t){account->name, account->total.rate,
                                            account->total.burst};
        }
    }
    return count;
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
    if (level < LOW_TOKENS_MILLI) {
        quota->is_short = true;
    }
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
