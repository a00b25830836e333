#include "limit/local.h"

enum {
    WINDOW_MS = 250,
    /* Asks for requests that are held, and at low level before any is. */
    ASK_HELD_MS = 10,
    ASK_LOW_MS = 25,
    /* Renews the short grant well before it lapses. */
    ASK_USED_MS = 200,
    /* Renews the long grant of an account that is not in use. */
    ASK_IDLE_MS = 5000,
    OUTSTANDING_MAX = 4,
    /* Asks without a reply for this long count as lost. */
    LOST_MS = 200,
    LOW_MS = 50, /* tokens for less demand than this are low */
    /* Tokens lapse unused where fewer requests are expected in their lifetime.
     * 18 instances at 4 requests a second lost a seventh of the rate so. */
    USED_IN_TIME_MILLI = 5 * MR_TOKEN_MILLI,
};

void
mr_limit_local_init(mr_limit_local_t *local, mr_ms_t now)
{
    *local = (mr_limit_local_t){.window_start = now,
                                .requested_at = now - ASK_IDLE_MS};
}

void
mr_limit_local_configure(mr_limit_local_t *local, mr_limit_amount_t limit,
                         mr_ms_t now)
{
    if (local->limit.rate > 0 && local->limit.burst > 0) {
        mr_held_grants_scale(&local->hold, local->limit, limit, now);
    }
    local->limit = limit;
}

static int64_t
expected_in(int64_t demand)
{
    return demand * WINDOW_MS / (1000 * 1000);
}

/* A change that chance hardly explains counts at once. */
static int64_t
smoothed(int64_t demand, int64_t sample, int64_t arrivals)
{
    int64_t expected = expected_in(demand);

    if (arrivals > 2 * expected + 3 || expected > 2 * arrivals + 3) {
        return sample;
    }
    return (3 * demand + sample) / 4;
}

/* Demand is the mean of the past windows, or of the current one if that is
 * higher already. */
static int64_t
update_demand(mr_limit_local_t *local, mr_ms_t now)
{
    int64_t sample = local->window_arrivals * 1000 * 1000 / WINDOW_MS;

    if (now - local->window_start >= 8 * WINDOW_MS) {
        local->demand = 0;
        local->window_arrivals = 0;
        local->window_start = now;
        return 0;
    }
    while (now - local->window_start >= WINDOW_MS) {
        int64_t before = local->demand;
        local->demand = smoothed(before, sample, local->window_arrivals);
        /* The limiter should not learn of a drop only at the next renewal. */
        local->unconfirmed = local->unconfirmed || local->demand < before / 2;
        local->window_arrivals = 0;
        local->window_start += WINDOW_MS;
        sample = 0;
    }
    return local->window_arrivals > 2 * expected_in(local->demand) + 3
               ? sample
               : local->demand;
}

bool
mr_limit_local_arrive(mr_limit_local_t *local, mr_ms_t now)
{
    update_demand(local, now);
    local->window_arrivals++;
    local->last_arrival = now;
    return mr_held_grants_admit(&local->hold, now);
}

bool
mr_limit_local_ask(mr_limit_local_t *local, size_t waiting, mr_ms_t now,
                   mr_grant_ask_t *ask)
{
    int64_t demand = update_demand(local, now);
    int64_t level = mr_held_grants_level(&local->hold, now);
    int64_t soon =
        level + mr_held_grants_rate(&local->hold, now) * LOW_MS / 1000;
    int64_t need = demand * LOW_MS / 1000;
    bool low = demand > 0 && (soon < need || soon < MR_TOKEN_MILLI);
    mr_ms_t interval = ASK_IDLE_MS;

    if (waiting > 0 || local->unconfirmed) {
        interval = ASK_HELD_MS;
    }
    else if (low) {
        interval = ASK_LOW_MS;
    }
    else if (now - local->last_arrival < 3000) {
        interval = ASK_USED_MS;
    }
    if (now - local->requested_at >= LOST_MS) {
        local->outstanding = 0;
    }
    if (now - local->requested_at < interval
        || local->outstanding >= OUTSTANDING_MAX) {
        return false;
    }
    ask->demand = demand;
    ask->wanted = (int64_t)waiting;
    if (low && demand * MR_GRANT_SHORT_MS / 1000 >= USED_IN_TIME_MILLI) {
        ask->wanted += (need - soon) / MR_TOKEN_MILLI + 1;
    }
    mr_held_grants_report(&local->hold, ask, now);
    local->requested_at = now;
    local->unconfirmed = false;
    local->outstanding++;
    return true;
}

void
mr_limit_local_reply(mr_limit_local_t *local, const mr_msg_grant_item_t *items,
                     size_t count, mr_ms_t sent, mr_ms_t now)
{
    int64_t rate = mr_held_grants_rate(&local->hold, now);

    local->outstanding -= local->outstanding > 0;
    for (size_t i = 0; i < count; i++) {
        mr_held_grants_accept(&local->hold, &items[i], sent, now);
    }
    /* The limiter counts a larger grant until it knows that it was replaced.
     */
    if (mr_held_grants_rate(&local->hold, now) < rate) {
        local->unconfirmed = true;
    }
}
