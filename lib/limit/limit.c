#include "limit/limit.h"

#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"
#include "limit/bucket.h"

enum { HOLD_MS = 50, MEMBERS_MAX = 256 };

typedef struct account {
    mr_list_t link;
    char *name;
    mr_bucket_t bucket;
    int64_t admitted;
    int64_t refused;
} account_t;

struct mr_limit {
    mr_limit_options_t options;
    char *data_centre;
    mr_list_t accounts;
    mr_list_t waits;
    mr_counter_t *admitted;
    mr_counter_t *refused;
    mr_counter_t *held;
};

struct mr_limit_wait {
    mr_list_t link;
    mr_limit_t *limit;
    account_t *account;
    struct event *timer;
    mr_limit_fn_t fn;
    void *ctx;
};

mr_limit_t *
mr_limit_create(const mr_limit_options_t *options)
{
    mr_limit_t *limit = MR_NEW(mr_limit_t);

    limit->options = *options;
    limit->data_centre = mr_strdup(options->data_centre);
    mr_list_init(&limit->accounts);
    mr_list_init(&limit->waits);
    limit->admitted =
        mr_counters_get(options->counters, "mr_limit_admitted_total", "",
                        "requests that got a token");
    limit->refused =
        mr_counters_get(options->counters, "mr_limit_refused_total", "",
                        "requests refused by the rate limit");
    limit->held = mr_counters_get(options->counters, "mr_limit_held_total", "",
                                  "requests held for a token");
    return limit;
}

void
mr_limit_cancel(mr_limit_wait_t *wait)
{
    mr_list_remove(&wait->link);
    event_free(wait->timer);
    free(wait);
}

void
mr_limit_destroy(mr_limit_t *limit)
{
    mr_list_t *link;

    if (limit == NULL) {
        return;
    }
    while (!mr_list_empty(&limit->waits)) {
        mr_limit_cancel(
            MR_LIST_ENTRY(limit->waits.next, mr_limit_wait_t, link));
    }
    while ((link = mr_list_pop(&limit->accounts)) != NULL) {
        account_t *account = MR_LIST_ENTRY(link, account_t, link);
        free(account->name);
        free(account);
    }
    free(limit->data_centre);
    free(limit);
}

/* Equal division over data centres and members, until grants exist. */
static mr_limit_amount_t
equal_share(mr_limit_t *limit, const mr_config_account_t *account)
{
    const mr_member_t *members[MEMBERS_MAX];
    const mr_config_t *config = mr_config_store_current(limit->options.config);
    size_t count = mr_members_usable(limit->options.members, "",
                                     limit->data_centre, members, MEMBERS_MAX);
    int64_t parts = (int64_t)(count > 0 ? count : 1);

    if (config != NULL && config->data_centre_count > 0) {
        parts *= (int64_t)config->data_centre_count;
    }
    return (mr_limit_amount_t){
        .rate = account->rate * MR_TOKEN_MILLI / parts,
        .burst = account->burst * MR_TOKEN_MILLI / parts,
    };
}

static account_t *
find_account(mr_limit_t *limit, const mr_config_account_t *config)
{
    mr_limit_amount_t amount = equal_share(limit, config);
    mr_ms_t now = mr_clock_now(limit->options.clock);

    MR_LIST_FOREACH(it, &limit->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        if (strcmp(account->name, config->name) == 0) {
            mr_bucket_change(&account->bucket, amount, now, INT64_MAX);
            return account;
        }
    }
    account_t *account = MR_NEW(account_t);
    account->name = mr_strdup(config->name);
    mr_bucket_init(&account->bucket, amount, now, INT64_MAX);
    mr_list_append(&limit->accounts, &account->link);
    return account;
}

static bool
take(mr_limit_t *limit, account_t *account)
{
    mr_ms_t now = mr_clock_now(limit->options.clock);

    if (mr_bucket_level(&account->bucket, now) < MR_TOKEN_MILLI) {
        return false;
    }
    mr_bucket_take(&account->bucket, MR_TOKEN_MILLI, now);
    mr_counter_add(limit->admitted, 1);
    account->admitted++;
    return true;
}

static void
on_wait_over(evutil_socket_t fd, short events, void *arg)
{
    mr_limit_wait_t *wait = arg;
    mr_limit_fn_t fn = wait->fn;
    void *ctx = wait->ctx;
    mr_error_kind_t error = MR_OK;

    (void)fd;
    (void)events;
    if (!take(wait->limit, wait->account)) {
        mr_counter_add(wait->limit->refused, 1);
        wait->account->refused++;
        error = MR_ERR_RATE_LIMITED;
    }
    mr_limit_cancel(wait);
    fn(ctx, error);
}

mr_limit_wait_t *
mr_limit_admit(mr_limit_t *limit, const mr_config_account_t *account,
               mr_limit_fn_t fn, void *ctx)
{
    account_t *own = find_account(limit, account);
    struct timeval tv = mr_clock_timeval(HOLD_MS);

    if (take(limit, own)) {
        return NULL;
    }
    mr_limit_wait_t *wait = MR_NEW(mr_limit_wait_t);
    wait->limit = limit;
    wait->account = own;
    wait->fn = fn;
    wait->ctx = ctx;
    wait->timer = event_new(limit->options.base, -1, 0, on_wait_over, wait);
    event_add(wait->timer, &tv);
    mr_list_append(&limit->waits, &wait->link);
    mr_counter_add(limit->held, 1);
    return wait;
}

void
mr_limit_drain(mr_limit_t *limit)
{
    (void)limit;
}

json_t *
mr_limit_status(const mr_limit_t *limit)
{
    json_t *array = json_array();

    MR_LIST_FOREACH(it, &limit->accounts)
    {
        const account_t *account = MR_LIST_ENTRY(it, account_t, link);
        json_array_append_new(
            array,
            json_pack("{s:s,s:I,s:I,s:I,s:I}", "account", account->name,
                      "rate_milli", (json_int_t)account->bucket.amount.rate,
                      "burst_milli", (json_int_t)account->bucket.amount.burst,
                      "admitted", (json_int_t)account->admitted, "refused",
                      (json_int_t)account->refused));
    }
    return array;
}
