#include "limit/local.h"

enum {
    WINDOW_MS = 250,
    /* Interval of grant requests while client requests are held or a change
     * has to be reported, and while the tokens are low. */
    REQUEST_HELD_MS = 10,
    REQUEST_LOW_MS = 25,
    /* Renews the SHORT grant well before it expires. */
    REQUEST_USED_MS = 200,
    /* Renews the LONG grant of an account that is not in use. */
    REQUEST_IDLE_MS = 5000,
    /* An account counts as unused this long after its last client request. */
    UNUSED_AFTER_MS = 3000,
    OUTSTANDING_MAX = 4,
    /* Grant requests count as lost after this time without a reply. */
    LOST_MS = 200,
    /* Tokens are low if they do not cover the demand of this time. */
    LOW_MS = 50,
    /* Tokens are requested in advance only if at least this many client
     * requests are expected in their lifetime; with fewer, tokens expire
     * unused. With 18 instances at 4 requests per second a seventh of the rate
     * was lost that way. */
    PREFETCH_MIN_MILLI = 5 * MR_TOKEN_MILLI,
};

void
mr_limit_local_init(mr_limit_local_t *local, mr_ms_t now)
{
    *local = (mr_limit_local_t){.window_start = now,
                                .requested_at = now - REQUEST_IDLE_MS};
}

void
mr_limit_local_configure(mr_limit_local_t *local, mr_limit_amount_t limit,
                         mr_ms_t now)
{
    if (local->limit.rate > 0 && local->limit.burst > 0) {
        mr_held_grants_scale(&local->grants, local->limit, limit, now);
    }
    local->limit = limit;
}

static int64_t
expected_arrivals(int64_t demand)
{
    return demand * WINDOW_MS / (1000 * 1000);
}

/* Moving average of the demand. A change that is too large for random
 * variation counts at once. */
static int64_t
smooth_demand(int64_t demand, int64_t sample, int64_t arrivals)
{
    int64_t expected = expected_arrivals(demand);

    if (arrivals > 2 * expected + 3 || expected > 2 * arrivals + 3) {
        return sample;
    }
    return (3 * demand + sample) / 4;
}

/* Returns the moving average of the past windows, or the demand of the current
 * window if that is already clearly higher. */
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
        local->demand = smooth_demand(before, sample, local->window_arrivals);
        /* Report a drop to the limiter before the next renewal. */
        local->must_report = local->must_report || local->demand < before / 2;
        local->window_arrivals = 0;
        local->window_start += WINDOW_MS;
        sample = 0;
    }
    return local->window_arrivals > 2 * expected_arrivals(local->demand) + 3
               ? sample
               : local->demand;
}

bool
mr_limit_local_arrive(mr_limit_local_t *local, mr_ms_t now)
{
    update_demand(local, now);
    local->window_arrivals++;
    local->last_arrival = now;
    return mr_held_grants_admit(&local->grants, now);
}

bool
mr_limit_local_prepare_request(mr_limit_local_t *local, size_t waiting,
                               mr_ms_t now, mr_grant_request_t *request)
{
    int64_t demand = update_demand(local, now);
    int64_t level = mr_held_grants_level(&local->grants, now);
    int64_t soon =
        level + mr_held_grants_rate(&local->grants, now) * LOW_MS / 1000;
    int64_t need = demand * LOW_MS / 1000;
    bool low = demand > 0 && (soon < need || soon < MR_TOKEN_MILLI);
    mr_ms_t interval = REQUEST_IDLE_MS;

    if (waiting > 0 || local->must_report) {
        interval = REQUEST_HELD_MS;
    }
    else if (low) {
        interval = REQUEST_LOW_MS;
    }
    else if (now - local->last_arrival < UNUSED_AFTER_MS) {
        interval = REQUEST_USED_MS;
    }
    if (now - local->requested_at >= LOST_MS) {
        local->outstanding = 0;
    }
    if (now - local->requested_at < interval
        || local->outstanding >= OUTSTANDING_MAX) {
        return false;
    }
    request->demand = demand;
    request->wanted = (int64_t)waiting;
    if (low && demand * MR_GRANT_SHORT_MS / 1000 >= PREFETCH_MIN_MILLI) {
        request->wanted += (need - soon) / MR_TOKEN_MILLI + 1;
    }
    mr_held_grants_report(&local->grants, request, now);
    local->requested_at = now;
    local->must_report = false;
    local->outstanding++;
    return true;
}

void
mr_limit_local_reply(mr_limit_local_t *local, const mr_msg_grant_item_t *items,
                     size_t count, mr_ms_t sent, mr_ms_t now)
{
    int64_t rate = mr_held_grants_rate(&local->grants, now);

    local->outstanding -= local->outstanding > 0;
    for (size_t i = 0; i < count; i++) {
        mr_held_grants_accept(&local->grants, &items[i], sent, now);
    }
    /* The limiter counts the larger grant until it is told that the grant was
     * replaced. */
    if (mr_held_grants_rate(&local->grants, now) < rate) {
        local->must_report = true;
    }
}
