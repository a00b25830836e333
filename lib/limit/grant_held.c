#include <assert.h>

#include "limit/grant.h"

/* Uses the grants that expire first. */
bool
mr_held_grants_admit(mr_held_grants_t *held, mr_ms_t now)
{
    int64_t need = MR_TOKEN_MILLI;

    if (mr_held_grants_level(held, now) < need) {
        return false;
    }
    for (size_t i = 0; i < MR_GRANT_TOKENS_MAX; i++) {
        need -= mr_bucket_take(&held->tokens[i], need, now);
    }
    need -= mr_bucket_take(&held->bucket[MR_GRANT_SHORT], need, now);
    need -= mr_bucket_take(&held->bucket[MR_GRANT_LONG], need, now);
    assert(need == 0);
    return true;
}

int64_t
mr_held_grants_level(mr_held_grants_t *held, mr_ms_t now)
{
    int64_t level = mr_bucket_level(&held->bucket[MR_GRANT_LONG], now)
                    + mr_bucket_level(&held->bucket[MR_GRANT_SHORT], now);

    for (size_t i = 0; i < MR_GRANT_TOKENS_MAX; i++) {
        level += mr_bucket_level(&held->tokens[i], now);
    }
    return level;
}

int64_t
mr_held_grants_rate(const mr_held_grants_t *held, mr_ms_t now)
{
    int64_t rate = 0;

    for (int kind = MR_GRANT_LONG; kind <= MR_GRANT_SHORT; kind++) {
        if (now < held->bucket[kind].expiry) {
            rate += held->bucket[kind].amount.rate;
        }
    }
    return rate;
}

static void
accept_tokens(mr_held_grants_t *held, const mr_msg_grant_item_t *item,
              mr_ms_t expiry, mr_ms_t now)
{
    mr_limit_amount_t amount = {.burst = item->burst_milli};

    for (size_t i = 0; i < MR_GRANT_TOKENS_MAX; i++) {
        if (held->token_id[i] == 0 || now >= held->tokens[i].expiry) {
            held->token_id[i] = item->id;
            mr_bucket_init(&held->tokens[i], amount, now, expiry);
            mr_bucket_put(&held->tokens[i], amount.burst, now);
            return;
        }
    }
}

void
mr_held_grants_accept(mr_held_grants_t *held, const mr_msg_grant_item_t *item,
                      mr_ms_t sent, mr_ms_t now)
{
    mr_limit_amount_t amount = {.rate = item->rate_milli,
                                .burst = item->burst_milli};
    mr_ms_t expiry = sent + item->lifetime_ms;

    if (now >= expiry || now - sent >= MR_GRANT_REPLY_MAX_AGE_MS
        || amount.rate < 0 || amount.burst < 0) {
        return;
    }
    if (item->kind == MR_GRANT_TOKENS) {
        accept_tokens(held, item, expiry, now);
        return;
    }
    if (item->kind != MR_GRANT_LONG && item->kind != MR_GRANT_SHORT) {
        return;
    }
    /* An older grant that arrives late must not replace a newer one: the
     * limiter may have been told that the older one is no longer held. */
    if (item->id <= held->id[item->kind]) {
        return;
    }
    held->id[item->kind] = item->id;
    mr_bucket_change(&held->bucket[item->kind], amount, now, expiry);
}

void
mr_held_grants_report(const mr_held_grants_t *held,
                      mr_grant_request_t *request, mr_ms_t now)
{
    const mr_bucket_t *base = &held->bucket[MR_GRANT_LONG];

    request->held_long = 0;
    request->held_short = 0;
    request->held = (mr_limit_amount_t){0};
    if (now < base->expiry) {
        request->held_long = held->id[MR_GRANT_LONG];
        request->held = base->amount;
    }
    if (now < held->bucket[MR_GRANT_SHORT].expiry) {
        request->held_short = held->id[MR_GRANT_SHORT];
    }
}

void
mr_held_grants_scale(mr_held_grants_t *held, mr_limit_amount_t from,
                     mr_limit_amount_t to, mr_ms_t now)
{
    for (int kind = MR_GRANT_LONG; kind <= MR_GRANT_SHORT; kind++) {
        mr_bucket_t *bucket = &held->bucket[kind];
        mr_limit_amount_t amount = bucket->amount;
        if (to.rate < from.rate) {
            amount.rate = mr_limit_scale(amount.rate, to.rate, from.rate);
        }
        if (to.burst < from.burst) {
            amount.burst = mr_limit_scale(amount.burst, to.burst, from.burst);
        }
        mr_bucket_change(bucket, amount, now, bucket->expiry);
    }
    if (to.burst >= from.burst) {
        return;
    }
    for (size_t i = 0; i < MR_GRANT_TOKENS_MAX; i++) {
        mr_limit_amount_t amount = {
            .burst = mr_limit_scale(held->tokens[i].amount.burst, to.burst,
                                    from.burst)};
        mr_bucket_change(&held->tokens[i], amount, now,
                         held->tokens[i].expiry);
    }
}

int64_t
mr_held_grants_take_spent(mr_held_grants_t *held, mr_ms_t now)
{
    for (size_t i = 0; i < MR_GRANT_TOKENS_MAX; i++) {
        int64_t id = held->token_id[i];
        if (id != 0 && mr_bucket_level(&held->tokens[i], now) == 0) {
            held->token_id[i] = 0;
            return id;
        }
    }
    return 0;
}

int64_t
mr_held_grants_drop(mr_held_grants_t *held, mr_ms_t now)
{
    for (size_t i = 0; i < MR_GRANT_TOKENS_MAX; i++) {
        int64_t id = held->token_id[i];
        if (id != 0) {
            held->token_id[i] = 0;
            held->tokens[i].expiry = now;
            return id;
        }
    }
    for (int kind = MR_GRANT_LONG; kind <= MR_GRANT_SHORT; kind++) {
        if (now < held->bucket[kind].expiry) {
            held->bucket[kind].expiry = now;
            return held->id[kind];
        }
    }
    return 0;
}
