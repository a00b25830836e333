#include "session/quota.h"

#include <glib.h>
#include <stdlib.h>

#include "common/list.h"
#include "common/mem.h"

enum {
    /* Window of the moving average of demand. */
    DEMAND_WINDOW_MS = 1000,
    /* The reserve covers the demand of this time: about one and a half report
     * periods. */
    RESERVE_MS = 400,
    /* The reserves of all instances together hold at most this part of the
     * tokens of one second. */
    RESERVE_RATE_PERCENT = 25,
    RETRY_DEFAULT_MS = 1000, /* time to retry after if the rate is 0 */
    RETRY_MIN_MS = 20,
};

typedef struct account {
    mr_list_t link;
    char *name;
    mr_limit_amount_t limit;   /* for all instances together */
    int64_t reserve;           /* drawn tokens, thousandths */
    mr_bucket_t share;         /* equal share, used without a coordinator */
    int64_t recent_operations; /* since demand_measured_at */
    int64_t demand;            /* moving average, thousandths per second */
    int waiting;               /* operations that wait for a token */
    bool in_catalog;           /* in the catalog that is being set */
} account_t;

struct mr_quota {
    const mr_clock_t *clock;
    mr_list_t accounts;
    GHashTable *accounts_by_name;
    int64_t instances;
    mr_ms_t demand_measured_at;
    int64_t round; /* calls of mr_quota_token_requests() so far */
    mr_ms_t coordinated_until;
    bool coordinated;
    mr_counter_t *admitted;
    mr_counter_t *refused;
    mr_counter_t *uncoordinated;
};

mr_quota_t *
mr_quota_create(const mr_clock_t *clock, mr_counters_t *counters)
{
    mr_quota_t *quota = MR_NEW(mr_quota_t);

    quota->clock = clock;
    quota->instances = 1;
    mr_list_init(&quota->accounts);
    quota->accounts_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    quota->admitted =
        mr_counters_get(counters, "masticrelay_quota_admitted_total", "",
                        "operations within their account's rate");
    quota->refused = mr_counters_get(counters, "masticrelay_quota_short_total",
                                     "", "times that no token was in stock");
    quota->uncoordinated = mr_counters_get(
        counters, "masticrelay_quota_alone_total", "",
        "operations judged by an equal part, without a coordinator");
    return quota;
}

static void
free_account(mr_quota_t *quota, account_t *account)
{
    g_hash_table_remove(quota->accounts_by_name, account->name);
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
        free_account(quota, MR_LIST_ENTRY(it, account_t, link));
    }
    g_hash_table_destroy(quota->accounts_by_name);
    free(quota);
}

static account_t *
find_account(const mr_quota_t *quota, const char *name)
{
    return g_hash_table_lookup(quota->accounts_by_name, name);
}

static mr_limit_amount_t
equal_share(const mr_quota_t *quota, const account_t *account)
{
    mr_limit_amount_t share = {account->limit.rate / quota->instances,
                               account->limit.burst / quota->instances};

    /* An operation needs one whole token. */
    if (share.burst < MR_TOKEN_MILLI && share.rate > 0) {
        share.burst = MR_TOKEN_MILLI;
    }
    return share;
}

/* Drops the reserves when the coordinator is lost or regained. The buckets of
 * the equal shares start empty. */
static void
update_coordinated(mr_quota_t *quota, mr_ms_t now)
{
    bool coordinated = now < quota->coordinated_until;

    if (coordinated == quota->coordinated) {
        return;
    }
    quota->coordinated = coordinated;
    MR_LIST_FOREACH(it, &quota->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        account->reserve = 0;
        mr_bucket_init(&account->share, equal_share(quota, account), now,
                       INT64_MAX);
    }
}

void
mr_quota_set_coordinated_until(mr_quota_t *quota, mr_ms_t expiry)
{
    /* Drops the reserves if the previous expiry has passed unnoticed. */
    update_coordinated(quota, mr_clock_now(quota->clock));
    if (expiry > quota->coordinated_until) {
        quota->coordinated_until = expiry;
    }
    update_coordinated(quota, mr_clock_now(quota->clock));
}

bool
mr_quota_is_coordinated(const mr_quota_t *quota)
{
    return mr_clock_now(quota->clock) < quota->coordinated_until;
}

void
mr_quota_set_catalog(mr_quota_t *quota, const mr_catalog_t *catalog)
{
    mr_ms_t now = mr_clock_now(quota->clock);

    MR_LIST_FOREACH(it, &quota->accounts)
    {
        MR_LIST_ENTRY(it, account_t, link)->in_catalog = false;
    }
    for (size_t i = 0; i < catalog->account_count; i++) {
        const mr_catalog_account_t *entry = &catalog->accounts[i];
        account_t *account = find_account(quota, entry->name);
        if (account == NULL) {
            account = MR_NEW(account_t);
            account->name = mr_strdup(entry->name);
            mr_list_append(&quota->accounts, &account->link);
            g_hash_table_insert(quota->accounts_by_name, account->name,
                                account);
            mr_bucket_init(&account->share, (mr_limit_amount_t){0, 0}, now,
                           INT64_MAX);
        }
        account->in_catalog = true;
        account->limit = (mr_limit_amount_t){entry->rate * MR_TOKEN_MILLI,
                                             entry->burst * MR_TOKEN_MILLI};
    }
    MR_LIST_FOREACH(it, &quota->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        if (!account->in_catalog) {
            free_account(quota, account);
        }
    }
}

void
mr_quota_set_instances(mr_quota_t *quota, size_t instances)
{
    quota->instances = instances > 0 ? (int64_t)instances : 1;
}

/* Tokens that the reserve should hold, in thousandths. */
static int64_t
reserve_wanted(const mr_quota_t *quota, const account_t *account)
{
    int64_t wanted = account->demand * RESERVE_MS / 1000;
    int64_t reserve_max =
        account->limit.rate * RESERVE_RATE_PERCENT / 100 / quota->instances;

    if (wanted > reserve_max) {
        wanted = reserve_max;
    }
    return wanted + account->waiting * MR_TOKEN_MILLI;
}

size_t
mr_quota_token_requests(mr_quota_t *quota, mr_msg_draw_t *out, size_t max)
{
    mr_ms_t now = mr_clock_now(quota->clock);
    mr_ms_t span = now - quota->demand_measured_at;
    size_t count = 0;

    if (span <= 0) {
        span = 1;
    }
    int64_t weight = span < DEMAND_WINDOW_MS ? span : DEMAND_WINDOW_MS;
    quota->demand_measured_at = now;
    quota->round++;
    update_coordinated(quota, now);
    MR_LIST_FOREACH(it, &quota->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        int64_t recent =
            account->recent_operations * 1000 * MR_TOKEN_MILLI / span;
        account->demand +=
            (recent - account->demand) * weight / DEMAND_WINDOW_MS;
        account->recent_operations = 0;
        int64_t request = reserve_wanted(quota, account) - account->reserve;
        /* Buckets only grant whole tokens. */
        request += MR_TOKEN_MILLI / 2;
        request -= request % MR_TOKEN_MILLI;
        if (request > 0 && count < max) {
            out[count++] = (mr_msg_draw_t){account->name, request};
        }
    }
    return count;
}

int64_t
mr_quota_round(const mr_quota_t *quota)
{
    return quota->round;
}

void
mr_quota_add_tokens(mr_quota_t *quota, const char *name, int64_t milli)
{
    account_t *account = find_account(quota, name);

    if (account != NULL && milli > 0) {
        account->reserve += milli;
    }
}

bool
mr_quota_account_limit(const mr_quota_t *quota, const char *name,
                       mr_limit_amount_t *limit)
{
    const account_t *account = find_account(quota, name);

    if (account != NULL) {
        *limit = account->limit;
    }
    return account != NULL;
}

/* Takes one token from the equal share. */
static bool
take_from_share(mr_quota_t *quota, account_t *account, mr_ms_t now)
{
    mr_limit_amount_t amount = equal_share(quota, account);

    mr_counter_add(quota->uncoordinated, 1);
    if (amount.rate != account->share.amount.rate
        || amount.burst != account->share.amount.burst) {
        mr_bucket_change(&account->share, amount, now, INT64_MAX);
    }
    if (mr_bucket_level(&account->share, now) < MR_TOKEN_MILLI) {
        return false;
    }
    mr_bucket_take(&account->share, MR_TOKEN_MILLI, now);
    return true;
}

static bool
take_from_reserve(account_t *account)
{
    if (account->reserve < MR_TOKEN_MILLI) {
        return false;
    }
    account->reserve -= MR_TOKEN_MILLI;
    return true;
}

static mr_ms_t
time_to_next_token(const mr_quota_t *quota, const account_t *account)
{
    int64_t rate =
        quota->coordinated ? account->limit.rate : account->share.amount.rate;
    mr_ms_t wait = rate > 0 ? MR_TOKEN_MILLI * 1000 / rate : RETRY_DEFAULT_MS;

    return wait > RETRY_MIN_MS ? wait : RETRY_MIN_MS;
}

mr_ms_t
mr_quota_admit(mr_quota_t *quota, const char *name, bool retry)
{
    account_t *account = find_account(quota, name);
    mr_ms_t now = mr_clock_now(quota->clock);

    if (account == NULL) {
        return 0; /* callers without a key are not limited */
    }
    if (!retry) {
        account->recent_operations++;
    }
    update_coordinated(quota, now);
    if (quota->coordinated ? take_from_reserve(account)
                           : take_from_share(quota, account, now)) {
        mr_counter_add(quota->admitted, 1);
        return 0;
    }
    mr_counter_add(quota->refused, 1);
    return time_to_next_token(quota, account);
}

void
mr_quota_add_waiting(mr_quota_t *quota, const char *name, int change)
{
    account_t *account = find_account(quota, name);

    if (account != NULL) {
        account->waiting += change;
    }
}
