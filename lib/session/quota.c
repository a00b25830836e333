#include "session/quota.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"

enum {
    /* Demand is smoothed over about this time. */
    DEMAND_WINDOW_MS = 1000,
    /* The stock serves the demand of this time: a period of reports and a
     * half. */
    STOCK_MS = 400,
    /* The stocks of all instances hold at most this part of a second's rate.
     */
    STOCK_RATE_PERCENT = 25,
    RETRY_DEFAULT_MS = 1000, /* hint when an account's rate is 0 */
    RETRY_MIN_MS = 20,
};

typedef struct account {
    mr_list_t link;
    char *name;
    mr_limit_amount_t total; /* of all instances */
    int64_t stock;           /* drawn tokens, thousandths */
    mr_bucket_t part;        /* equal part, while there is no coordinator */
    int64_t asked;           /* operations since @asked_since */
    int64_t demand;          /* smoothed, thousandths of operations/s */
    int waiting;             /* operations that wait for a token */
    bool seen;               /* in the catalog that is being set */
} account_t;

struct mr_quota {
    const mr_clock_t *clock;
    mr_list_t accounts;
    int64_t instances;
    mr_ms_t asked_since;
    mr_ms_t coordinated_until;
    bool coordinated;
    mr_counter_t *admitted;
    mr_counter_t *refused;
    mr_counter_t *alone;
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
    quota->refused = mr_counters_get(counters, "masticrelay_quota_short_total",
                                     "", "times that no token was in stock");
    quota->alone = mr_counters_get(
        counters, "masticrelay_quota_alone_total", "",
        "operations judged by an equal part, without a coordinator");
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
    mr_limit_amount_t part = {account->total.rate / quota->instances,
                              account->total.burst / quota->instances};

    /* An operation needs one whole token. */
    if (part.burst < MR_TOKEN_MILLI && part.rate > 0) {
        part.burst = MR_TOKEN_MILLI;
    }
    return part;
}

/* Drops the stocks when the coordinator was lost; the equal parts start empty.
 */
static void
check_coordinated(mr_quota_t *quota, mr_ms_t now)
{
    bool coordinated = now < quota->coordinated_until;

    if (coordinated == quota->coordinated) {
        return;
    }
    quota->coordinated = coordinated;
    MR_LIST_FOREACH(it, &quota->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        account->stock = 0;
        mr_bucket_init(&account->part, equal_part(quota, account), now,
                       INT64_MAX);
    }
}

void
mr_quota_coordinated(mr_quota_t *quota, mr_ms_t expiry)
{
    check_coordinated(quota, mr_clock_now(quota->clock));
    if (expiry > quota->coordinated_until) {
        quota->coordinated_until = expiry;
    }
    check_coordinated(quota, mr_clock_now(quota->clock));
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
        MR_LIST_ENTRY(it, account_t, link)->seen = false;
    }
    for (size_t i = 0; i < catalog->account_count; i++) {
        const mr_catalog_account_t *entry = &catalog->accounts[i];
        account_t *account = find_account(quota, entry->name);
        if (account == NULL) {
            account = MR_NEW(account_t);
            account->name = mr_strdup(entry->name);
            mr_list_append(&quota->accounts, &account->link);
            mr_bucket_init(&account->part, (mr_limit_amount_t){0, 0}, now,
                           INT64_MAX);
        }
        account->seen = true;
        account->total = (mr_limit_amount_t){entry->rate * MR_TOKEN_MILLI,
                                             entry->burst * MR_TOKEN_MILLI};
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

/* Thousandths of tokens that the stock should hold. */
static int64_t
stock_goal(const mr_quota_t *quota, const account_t *account)
{
    int64_t goal = account->demand * STOCK_MS / 1000;
    int64_t most =
        account->total.rate * STOCK_RATE_PERCENT / 100 / quota->instances;

    if (goal > most) {
        goal = most;
    }
    return goal + account->waiting * MR_TOKEN_MILLI;
}

size_t
mr_quota_wants(mr_quota_t *quota, mr_msg_draw_t *out, size_t max)
{
    mr_ms_t now = mr_clock_now(quota->clock);
    mr_ms_t span = now - quota->asked_since;
    size_t count = 0;

    if (span <= 0) {
        span = 1;
    }
    int64_t weight = span < DEMAND_WINDOW_MS ? span : DEMAND_WINDOW_MS;
    quota->asked_since = now;
    check_coordinated(quota, now);
    MR_LIST_FOREACH(it, &quota->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        int64_t recent = account->asked * 1000 * MR_TOKEN_MILLI / span;
        account->demand +=
            (recent - account->demand) * weight / DEMAND_WINDOW_MS;
        account->asked = 0;
        int64_t wanted = stock_goal(quota, account) - account->stock;
        /* Buckets give whole tokens only. */
        wanted += MR_TOKEN_MILLI / 2;
        wanted -= wanted % MR_TOKEN_MILLI;
        if (wanted > 0 && count < max) {
            out[count++] = (mr_msg_draw_t){account->name, wanted};
        }
    }
    return count;
}

void
mr_quota_add(mr_quota_t *quota, const char *name, int64_t milli)
{
    account_t *account = find_account(quota, name);

    if (account != NULL && milli > 0) {
        account->stock += milli;
    }
}

bool
mr_quota_total(const mr_quota_t *quota, const char *name,
               mr_limit_amount_t *total)
{
    const account_t *account = find_account(quota, name);

    if (account != NULL) {
        *total = account->total;
    }
    return account != NULL;
}

/* Takes one token from the equal part. */
static bool
take_part(mr_quota_t *quota, account_t *account, mr_ms_t now)
{
    mr_limit_amount_t amount = equal_part(quota, account);

    mr_counter_add(quota->alone, 1);
    if (amount.rate != account->part.amount.rate
        || amount.burst != account->part.amount.burst) {
        mr_bucket_change(&account->part, amount, now, INT64_MAX);
    }
    if (mr_bucket_level(&account->part, now) < MR_TOKEN_MILLI) {
        return false;
    }
    mr_bucket_take(&account->part, MR_TOKEN_MILLI, now);
    return true;
}

static bool
take_stock(account_t *account)
{
    if (account->stock < MR_TOKEN_MILLI) {
        return false;
    }
    account->stock -= MR_TOKEN_MILLI;
    return true;
}

static mr_ms_t
next_token(const mr_quota_t *quota, const account_t *account)
{
    int64_t rate =
        quota->coordinated ? account->total.rate : account->part.amount.rate;
    mr_ms_t wait = rate > 0 ? MR_TOKEN_MILLI * 1000 / rate : RETRY_DEFAULT_MS;

    return wait > RETRY_MIN_MS ? wait : RETRY_MIN_MS;
}

mr_ms_t
mr_quota_take(mr_quota_t *quota, const char *name, bool again)
{
    account_t *account = find_account(quota, name);
    mr_ms_t now = mr_clock_now(quota->clock);

    if (account == NULL) {
        return 0; /* callers without a key have no limit */
    }
    if (!again) {
        account->asked++;
    }
    check_coordinated(quota, now);
    if (quota->coordinated ? take_stock(account)
                           : take_part(quota, account, now)) {
        mr_counter_add(quota->admitted, 1);
        return 0;
    }
    mr_counter_add(quota->refused, 1);
    return next_token(quota, account);
}

void
mr_quota_waiting(mr_quota_t *quota, const char *name, int change)
{
    account_t *account = find_account(quota, name);

    if (account != NULL) {
        account->waiting += change;
    }
}
