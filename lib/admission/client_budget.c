#include "admission/client_budget.h"

enum {
    /* A statement is held up to three times, as its text, in the buffer of
     * the connection to the database and while that grows. */
    STATEMENTS_PERCENT = 10,
    BATCH_PART = 16,
};

mr_client_state_t
mr_client_budget_state(const mr_client_use_t *use, mr_ms_t now)
{
    mr_ms_t inactive = now - use->active_at;

    if (use->running) {
        return MR_CLIENT_BUSY;
    }
    if (!use->opened) {
        return inactive >= MR_CLIENT_OPEN_MIN_MS ? MR_CLIENT_UNOPENED
                                                 : MR_CLIENT_BUSY;
    }
    if (inactive < MR_CLIENT_STALL_MIN_MS) {
        return MR_CLIENT_BUSY;
    }
    if (use->output > 0) {
        return MR_CLIENT_SLOW_READER;
    }
    if (use->input > 0) {
        return MR_CLIENT_SLOW_SENDER;
    }
    return use->in_transaction ? MR_CLIENT_BUSY : MR_CLIENT_IDLE;
}

const char *
mr_client_budget_state_name(mr_client_state_t state)
{
    static const char *const names[MR_CLIENT_STATES] = {
        "busy", "idle", "slow_reader", "slow_sender", "unopened"};

    return names[state];
}

/* Number of binary digits, so that sizes which differ by less than a factor of
 * two mostly count as equal. */
static int
magnitude(size_t value)
{
    int digits = 0;

    for (; value > 0; value /= 2) {
        digits++;
    }
    return digits;
}

int
mr_client_budget_compare(const mr_client_use_t *a, const mr_client_use_t *b,
                         mr_ms_t now)
{
    int order = (int)mr_client_budget_state(b, now)
                - (int)mr_client_budget_state(a, now);

    if (order == 0) {
        order = magnitude(b->account_clients) - magnitude(a->account_clients);
    }
    if (order == 0) {
        order = magnitude(b->held) - magnitude(a->held);
    }
    if (order == 0 && a->active_at != b->active_at) {
        order = a->active_at < b->active_at ? -1 : 1;
    }
    return order;
}

size_t
mr_client_budget_batch(mr_client_state_t state, size_t clients)
{
    switch (state) {
    case MR_CLIENT_BUSY:
        return 0;
    case MR_CLIENT_SLOW_READER:
    case MR_CLIENT_SLOW_SENDER:
    case MR_CLIENT_UNOPENED:
        /* Clients that stall arrive in groups; choosing one of thousands for
         * each new connection would take longer than serving it. */
        return clients / BATCH_PART + 1;
    case MR_CLIENT_IDLE:
    case MR_CLIENT_STATES:
        break;
    }
    return 1;
}

bool
mr_client_budget_admits(const mr_client_load_t *load, size_t bytes)
{
    int64_t limit = load->memory_limit / 100 * STATEMENTS_PERCENT;

    if (load->memory_limit <= 0 || bytes <= MR_CLIENT_COUNTED_BYTES
        || load->bytes == 0) {
        return true;
    }
    if (load->in_transaction) {
        limit += limit / 2;
    }
    return (int64_t)(load->bytes + bytes) <= limit
           && (load->account_bytes == 0
               || (int64_t)(load->account_bytes + bytes) <= limit / 2);
}
