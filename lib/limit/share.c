#include "limit/share.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "limit/grant.h"

enum {
    RENEW_MS = MR_SHARE_LEASE_MS / 5,
    /* Interval of reads of the row: while a data centre has too little rate,
     * while the account is in use, and otherwise. */
    POLL_BELOW_TARGET_MS = 75,
    POLL_USED_MS = 150,
    POLL_IDLE_MS = 2000,
    RETRY_MS = 200,
    /* Writes other than renewals, per account and data centre. */
    WRITES_PER_S = 2,
    WRITES_BURST = 6,
    /* A rise of the demand counts at once. A fall is smoothed, by a quarter
     * per DECAY_MS, so that short dips cause no writes. */
    DECAY_MS = 500,
    /* Smaller changes than this fraction of the limit are not written. */
    MIN_CHANGE_DIVISOR = 16,
    MIN_CHANGE_DIVISOR_TIGHT = 32, /* for entries that barely cover demand */
    /* With demand above the limit, an entry gets at least the rate
     * limit / (MIN_RATE_DIVISOR x entries). */
    MIN_RATE_DIVISOR = 16,
};

/* When the current renewal of an entry was first read or written. */
typedef struct observed_entry {
    char data_centre[MR_SHARE_NAME_MAX];
    int64_t renewal;
    mr_ms_t since;
} observed_entry_t;

struct mr_share {
    char data_centre[MR_SHARE_NAME_MAX];
    mr_share_row_t row; /* as last read or written */
    bool have_row;
    bool stale;    /* the row must be read before anything else is done */
    bool read_now; /* the row is read again without waiting for RETRY_MS */
    bool busy;     /* a read or write is in progress */
    mr_ms_t read_at;
    mr_share_row_t sent; /* the write in progress */
    mr_ms_t sent_at;
    mr_share_entry_t sent_replaces; /* the own entry before that write */
    /* A write that expected unresolved_revision may still take effect. */
    bool unresolved;
    int64_t unresolved_revision;
    mr_ms_t unresolved_since; /* when the first such write was sent */
    bool renewed;             /* this limiter has renewed the own entry */
    mr_share_entry_t initial; /* see mr_share_initial_entry() */
    int64_t stop_epoch;       /* not 0: this limiter issues no more grants */
    mr_limit_amount_t stop_granted;
    bool stopped; /* @stop_granted is recorded in the row */
    mr_limit_amount_t in_force;
    /* INT64_MAX unless the own entry has to be lowered. */
    mr_limit_amount_t lowering_target;
    mr_ms_t expiry;
    mr_ms_t renewed_at;
    int64_t peak_demand; /* demand with slow decay */
    mr_ms_t decayed_at;
    bool own_below_target;
    bool others_below_target;
    mr_bucket_t write_budget;
    observed_entry_t observed[MR_SHARE_ENTRIES_MAX];
    size_t observed_count;
};

mr_share_t *
mr_share_create(const char *data_centre)
{
    mr_share_t *share = MR_NEW(mr_share_t);

    snprintf(share->data_centre, sizeof(share->data_centre), "%s",
             data_centre);
    share->lowering_target = (mr_limit_amount_t){INT64_MAX, INT64_MAX};
    return share;
}

void
mr_share_destroy(mr_share_t *share)
{
    free(share);
}

static int64_t
min_i64(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static int64_t
max_i64(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

static mr_limit_amount_t
amount_min(mr_limit_amount_t a, mr_limit_amount_t b)
{
    return (mr_limit_amount_t){min_i64(a.rate, b.rate),
                               min_i64(a.burst, b.burst)};
}

static mr_share_entry_t *
find_entry(mr_share_row_t *row, const char *data_centre)
{
    for (size_t i = 0; i < row->count; i++) {
        if (strcmp(row->entries[i].data_centre, data_centre) == 0) {
            return &row->entries[i];
        }
    }
    return NULL;
}

static mr_limit_amount_t
row_sum(const mr_share_row_t *row)
{
    mr_limit_amount_t sum = {0};

    for (size_t i = 0; i < row->count; i++) {
        sum.rate += row->entries[i].amount.rate;
        sum.burst += row->entries[i].amount.burst;
    }
    return sum;
}

/* Number of entries before @entry, ordered by demand and then by name. */
static size_t
rank(const mr_share_row_t *row, const mr_share_entry_t *entry)
{
    size_t before = 0;

    for (size_t i = 0; i < row->count; i++) {
        const mr_share_entry_t *other = &row->entries[i];
        if (other->demand > entry->demand
            || (other->demand == entry->demand
                && strcmp(other->data_centre, entry->data_centre) < 0)) {
            before++;
        }
    }
    return before;
}

/* The amount that @entry should have. Rate that exceeds the demand is divided
 * three quarters equally and one quarter by demand; without demand it is
 * divided equally. If the demand exceeds the limit, each entry keeps a minimum
 * rate. An entry with a burst below one token would be useless, so each gets
 * one token; if there are fewer tokens than entries, those with the highest
 * demand get them and the others get nothing. */
static mr_limit_amount_t
target_amount(const mr_share_row_t *row, const mr_share_entry_t *entry)
{
    mr_limit_amount_t limit = row->limit;
    mr_limit_amount_t target;
    int64_t count = (int64_t)row->count;
    int64_t tokens = limit.burst / MR_TOKEN_MILLI;
    int64_t demand = 0;

    count = min_i64(count, tokens);
    if (count <= 0 || (int64_t)rank(row, entry) >= count) {
        return (mr_limit_amount_t){0};
    }
    for (size_t i = 0; i < row->count; i++) {
        if ((int64_t)rank(row, &row->entries[i]) < count) {
            demand += row->entries[i].demand;
        }
    }
    int64_t spare = limit.rate - demand;
    if (spare >= 0) {
        int64_t equal = demand > 0 ? spare * 3 / 4 : spare;
        target.rate = entry->demand + equal / count;
        target.rate +=
            mr_limit_scale(spare - equal, entry->demand, max_i64(demand, 1));
    }
    else {
        int64_t min_rate = limit.rate / (MIN_RATE_DIVISOR * count);
        target.rate = min_rate
                      + mr_limit_scale(limit.rate - min_rate * count,
                                       entry->demand, demand);
    }
    target.burst = MR_TOKEN_MILLI
                   + mr_limit_scale(limit.burst - MR_TOKEN_MILLI * count,
                                    target.rate, max_i64(limit.rate, 1));
    return target;
}

/* The smallest change of @entry's rate that is worth a write. It is lower if
 * the entry barely covers its demand. */
static int64_t
min_change(const mr_share_entry_t *entry, mr_limit_amount_t limit)
{
    bool is_tight = entry->amount.rate < entry->demand + entry->demand / 8;

    return limit.rate
           / (is_tight ? MIN_CHANGE_DIVISOR_TIGHT : MIN_CHANGE_DIVISOR);
}

/* Whether @entry is so far below its target that others should lower theirs.
 */
static bool
is_below_target(const mr_share_entry_t *entry, mr_limit_amount_t target,
                mr_limit_amount_t limit)
{
    return target.rate > entry->amount.rate + min_change(entry, limit)
           || target.burst
                  > entry->amount.burst + limit.burst / MIN_CHANGE_DIVISOR;
}

/* Removes entries that can no longer be in force: they were not renewed for
 * their whole lifetime, counted from when this limiter first observed the
 * current renewal. */
static void
remove_expired(const mr_share_t *share, mr_share_row_t *row, mr_ms_t now)
{
    size_t kept = 0;

    for (size_t i = 0; i < row->count; i++) {
        const mr_share_entry_t *entry = &row->entries[i];
        bool expired = false;
        for (size_t j = 0; j < share->observed_count; j++) {
            const observed_entry_t *seen = &share->observed[j];
            expired = expired
                      || (strcmp(seen->data_centre, entry->data_centre) == 0
                          && seen->renewal == entry->renewal
                          && now - seen->since
                                 >= mr_limit_expiry_wait(entry->lease));
        }
        if (!expired || strcmp(entry->data_centre, share->data_centre) == 0) {
            row->entries[kept++] = *entry;
        }
    }
    row->count = kept;
}

/* Copies the row to @out, applies the configured limit and removes expired
 * entries; updates the peak demand. Returns the own entry, which is added if
 * it is missing, or NULL if the row is full. */
static mr_share_entry_t *
prepare_row(mr_share_t *share, const mr_share_input_t *input, mr_ms_t now,
            mr_share_row_t *out)
{
    mr_share_entry_t *own;

    *out = share->row;
    if (input->version >= out->version) {
        out->version = input->version;
        out->limit = input->limit;
    }
    out->prior_limit.rate =
        max_i64(share->row.prior_limit.rate, share->row.limit.rate);
    out->prior_limit.burst =
        max_i64(share->row.prior_limit.burst, share->row.limit.burst);
    remove_expired(share, out, now);
    own = find_entry(out, share->data_centre);
    if (own == NULL) {
        if (out->count == MR_SHARE_ENTRIES_MAX) {
            return NULL;
        }
        own = &out->entries[out->count++];
        *own = (mr_share_entry_t){.lease = MR_SHARE_LEASE_MS};
        snprintf(own->data_centre, sizeof(own->data_centre), "%s",
                 share->data_centre);
    }
    /* After a long time without a call the steps are longer, which limits the
     * number of iterations. */
    while (now - share->decayed_at >= DECAY_MS) {
        share->peak_demand -= share->peak_demand / 4 + 1;
        share->decayed_at += max_i64(DECAY_MS, (now - share->decayed_at) / 64);
    }
    share->peak_demand = max_i64(share->peak_demand, input->demand);
    return own;
}

/* Next value of the own entry. It is lowered at most to what grants in force
 * use, and raised at most to what other entries leave free. */
static int64_t
next_value(int64_t value, int64_t target, int64_t in_use, int64_t available,
           bool lower)
{
    if (target > value) {
        return max_i64(value, min_i64(target, available));
    }
    return lower ? max_i64(target, min_i64(value, in_use)) : value;
}

/* Whether a change exceeds the threshold for a write. Half the threshold is
 * enough for a change that reaches the target, and any change to 0 counts. */
static bool
is_significant(int64_t from, int64_t to, int64_t target, int64_t threshold)
{
    int64_t change = from > to ? from - to : to - from;

    return change > threshold || (change > threshold / 2 && to == target)
           || (change > 0 && to == 0);
}

static mr_row_action_t
start_read(mr_share_t *share)
{
    share->busy = true;
    return MR_ROW_READ;
}

static bool
read_due(const mr_share_t *share, mr_ms_t now)
{
    mr_ms_t interval = POLL_IDLE_MS;

    if (share->read_at == 0) {
        return true;
    }
    if (!share->have_row) {
        interval = RETRY_MS;
    }
    else if (share->stale) {
        interval = share->read_now ? 0 : RETRY_MS;
    }
    else if (share->own_below_target || share->others_below_target) {
        interval = POLL_BELOW_TARGET_MS;
    }
    else if (share->peak_demand > 0) {
        interval = POLL_USED_MS;
    }
    return now - share->read_at >= interval;
}

static void
start_write(mr_share_t *share, mr_share_entry_t *own, mr_ms_t now,
            mr_share_row_t *out)
{
    mr_limit_amount_t sum = row_sum(out);

    if (sum.rate <= out->limit.rate) {
        out->prior_limit.rate = out->limit.rate;
    }
    if (sum.burst <= out->limit.burst) {
        out->prior_limit.burst = out->limit.burst;
    }
    own->renewal = share->row.revision;
    own->lease = MR_SHARE_LEASE_MS;
    share->in_force = amount_min(share->in_force, own->amount);
    share->sent = *out;
    share->sent_at = now;
    share->busy = true;
}

/* Records in the own entry the upper bound of LONG grants until its next
 * write. New grants stay within mr_grant_long_limit() of the share in force,
 * which is at most the entry's amount; grants already in force may exceed
 * that. */
static void
record_granted(const mr_share_t *share, const mr_share_input_t *input,
               mr_share_entry_t *own)
{
    mr_limit_amount_t limit = mr_grant_long_limit(own->amount);

    own->granted = (mr_limit_amount_t){0};
    own->granted_epoch = 0;
    if (share->stop_epoch != 0) {
        own->granted = share->stop_granted;
        own->granted_epoch = share->stop_epoch;
    }
    else if (share->renewed && input->epoch != 0) {
        own->granted.rate = max_i64(limit.rate, input->long_total.rate);
        own->granted.burst = max_i64(limit.burst, input->long_total.burst);
        own->granted_epoch = input->epoch;
    }
}

/* Whether a change of the amount or of the demand is worth a write, and the
 * write budget allows one; takes it from the budget. */
static bool
should_write_change(mr_share_t *share, const mr_share_entry_t *old,
                    const mr_share_entry_t *own, mr_limit_amount_t target,
                    mr_limit_amount_t limit, mr_ms_t now)
{
    int64_t demand_change = own->demand > old->demand
                                ? own->demand - old->demand
                                : old->demand - own->demand;
    mr_share_entry_t before = *own;

    before.amount = old->amount;
    bool wanted =
        is_significant(old->amount.rate, own->amount.rate, target.rate,
                       min_change(&before, limit))
        || is_significant(old->amount.burst, own->amount.burst, target.burst,
                          limit.burst / MIN_CHANGE_DIVISOR)
        || demand_change > limit.rate / MIN_CHANGE_DIVISOR;

    if (!wanted
        || mr_bucket_level(&share->write_budget, now) < MR_TOKEN_MILLI) {
        return false;
    }
    mr_bucket_take(&share->write_budget, MR_TOKEN_MILLI, now);
    return true;
}

static mr_row_action_t
plan_write(mr_share_t *share, const mr_share_input_t *input, mr_ms_t now,
           mr_share_row_t *out)
{
    mr_share_entry_t *own = prepare_row(share, input, now, out);
    bool others_below_target = false;

    if (own == NULL) {
        return MR_ROW_NONE;
    }
    mr_share_entry_t old = *own;
    own->demand = share->peak_demand;
    mr_limit_amount_t target = target_amount(out, own);
    mr_limit_amount_t sum = row_sum(out);
    bool over = sum.rate > out->limit.rate || sum.burst > out->limit.burst;
    for (size_t i = 0; i < out->count; i++) {
        mr_share_entry_t *entry = &out->entries[i];
        others_below_target =
            others_below_target
            || (entry != own
                && is_below_target(entry, target_amount(out, entry),
                                   out->limit));
    }
    bool lower = over || others_below_target;
    share->others_below_target = others_below_target;
    if (lower) {
        own->demand = input->demand;
        target = target_amount(out, own);
    }
    bool limit_changed = out->limit.rate != share->row.limit.rate
                         || out->limit.burst != share->row.limit.burst;
    share->own_below_target = is_below_target(own, target, out->limit);
    share->lowering_target =
        lower ? target : (mr_limit_amount_t){INT64_MAX, INT64_MAX};
    if (!share->renewed
        && find_entry(&share->row, share->data_centre) != NULL) {
        /* The predecessor's entry is renewed unchanged, because its amount is
         * the upper bound of the predecessor's grants. */
        share->sent_replaces = old;
        record_granted(share, input, own);
        start_write(share, own, now, out);
        return MR_ROW_WRITE;
    }
    own->amount.rate =
        next_value(old.amount.rate, target.rate, input->min_amount.rate,
                   out->limit.rate - (sum.rate - old.amount.rate), lower);
    own->amount.burst =
        next_value(old.amount.burst, target.burst, input->min_amount.burst,
                   out->limit.burst - (sum.burst - old.amount.burst), lower);
    record_granted(share, input, own);
    bool recorded = old.granted_epoch == own->granted_epoch
                    && (share->stop_epoch == 0
                        || (old.granted.rate == own->granted.rate
                            && old.granted.burst == own->granted.burst));
    if (!share->renewed || share->unresolved || limit_changed || !recorded
        || now - share->renewed_at >= RENEW_MS
        || should_write_change(share, &old, own, target, out->limit, now)) {
        share->sent_replaces = old;
        start_write(share, own, now, out);
        return MR_ROW_WRITE;
    }
    return MR_ROW_NONE;
}

mr_row_action_t
mr_share_plan(mr_share_t *share, const mr_share_input_t *input, mr_ms_t now,
              mr_share_row_t *out)
{
    if (share->write_budget.expiry == 0) {
        mr_limit_amount_t budget = {.rate = WRITES_PER_S * MR_TOKEN_MILLI,
                                    .burst = WRITES_BURST * MR_TOKEN_MILLI};
        mr_bucket_init(&share->write_budget, budget, now, INT64_MAX);
        mr_bucket_put(&share->write_budget, budget.burst, now);
        share->decayed_at = now;
    }
    if (share->busy || share->stopped) {
        return MR_ROW_NONE;
    }
    if (read_due(share, now)) {
        return start_read(share);
    }
    if (!share->have_row || share->stale) {
        return MR_ROW_NONE;
    }
    return plan_write(share, input, now, out);
}

/* Records when the current renewal of each entry was first observed. */
static void
record_observations(mr_share_t *share, mr_ms_t now)
{
    observed_entry_t fresh[MR_SHARE_ENTRIES_MAX];

    for (size_t i = 0; i < share->row.count; i++) {
        const mr_share_entry_t *entry = &share->row.entries[i];
        memcpy(fresh[i].data_centre, entry->data_centre,
               sizeof(fresh[i].data_centre));
        fresh[i].renewal = entry->renewal;
        fresh[i].since = now;
        for (size_t j = 0; j < share->observed_count; j++) {
            const observed_entry_t *seen = &share->observed[j];
            if (strcmp(seen->data_centre, entry->data_centre) == 0
                && seen->renewal == entry->renewal) {
                fresh[i].since = seen->since;
            }
        }
    }
    share->observed_count = share->row.count;
    memcpy(share->observed, fresh, share->row.count * sizeof(fresh[0]));
}

static void
own_entry_renewed(mr_share_t *share, mr_ms_t sent)
{
    if (!share->renewed) {
        share->renewed = true;
        share->initial = share->sent_replaces;
    }
    const mr_share_entry_t *own = find_entry(&share->row, share->data_centre);
    share->stopped = share->stop_epoch != 0
                     && own->granted_epoch == share->stop_epoch
                     && own->granted.rate == share->stop_granted.rate
                     && own->granted.burst == share->stop_granted.burst;
    share->renewed_at = sent;
    share->expiry = sent + MR_SHARE_LEASE_MS;
}

void
mr_share_read(mr_share_t *share, const mr_share_row_t *row, mr_ms_t now)
{
    mr_limit_amount_t bound = {0};

    share->busy = false;
    share->read_at = now;
    share->read_now = false;
    if (row == NULL
        || (share->have_row && row->revision < share->row.revision)) {
        return;
    }
    share->row = *row;
    share->have_row = true;
    share->stale = false;
    record_observations(share, now);
    const mr_share_entry_t *own = find_entry(&share->row, share->data_centre);
    if (own != NULL) {
        bound = own->amount;
    }
    if (share->unresolved && row->revision > share->unresolved_revision) {
        share->unresolved = false;
        if (own != NULL && own->renewal == share->unresolved_revision) {
            own_entry_renewed(share, share->unresolved_since);
        }
        /* No own write can take effect any more, so the row is authoritative.
         */
        share->in_force = share->renewed ? bound : (mr_limit_amount_t){0};
    }
    share->in_force = amount_min(share->in_force, bound);
}

void
mr_share_written(mr_share_t *share, mr_row_result_t result, int64_t revision,
                 mr_ms_t now)
{
    int64_t expected = share->row.revision;

    share->busy = false;
    if (result == MR_ROW_WRITTEN) {
        share->row = share->sent;
        share->row.revision = revision;
        share->unresolved = false;
        record_observations(share, now);
        own_entry_renewed(share, share->sent_at);
        share->in_force = find_entry(&share->row, share->data_centre)->amount;
        return;
    }
    /* Until the row is read, a decrease counts as done and an increase does
     * not: start_write() has already lowered the share in force. */
    if (!share->unresolved || share->unresolved_revision != expected) {
        share->unresolved = true;
        share->unresolved_revision = expected;
        share->unresolved_since = share->sent_at;
    }
    share->stale = true;
    share->read_at = now;
    share->read_now = result == MR_ROW_CONFLICT;
}

/* An entry's @value, scaled down if the limit was lowered. @newest: limit of
 * the newer configuration, either the row's or this instance's. */
static int64_t
scale_down(int64_t value, int64_t limit, int64_t sum, int64_t prior,
           int64_t newest)
{
    int64_t basis = sum > limit ? max_i64(prior, limit) : limit;

    limit = min_i64(limit, newest);
    value = limit < basis ? mr_limit_scale(value, limit, basis) : value;
    return min_i64(value, limit);
}

mr_limit_amount_t
mr_share_usable(const mr_share_t *share, const mr_share_input_t *input,
                mr_ms_t now)
{
    const mr_share_row_t *row = &share->row;
    mr_limit_amount_t usable =
        amount_min(share->in_force, share->lowering_target);
    mr_limit_amount_t sum = row_sum(row);
    mr_limit_amount_t newest =
        input->version >= row->version ? input->limit : row->limit;

    if (!share->renewed || now >= share->expiry) {
        return (mr_limit_amount_t){0};
    }
    usable.rate = scale_down(usable.rate, row->limit.rate, sum.rate,
                             row->prior_limit.rate, newest.rate);
    usable.burst = scale_down(usable.burst, row->limit.burst, sum.burst,
                              row->prior_limit.burst, newest.burst);
    return usable;
}

mr_ms_t
mr_share_expiry(const mr_share_t *share)
{
    return share->expiry;
}

const mr_share_entry_t *
mr_share_initial_entry(const mr_share_t *share)
{
    return share->renewed ? &share->initial : NULL;
}

void
mr_share_stop(mr_share_t *share, int64_t epoch, mr_limit_amount_t granted)
{
    if (share->stop_epoch == 0) {
        share->stop_epoch = epoch;
        share->stop_granted = granted;
    }
}

bool
mr_share_stopped(const mr_share_t *share)
{
    return share->stopped;
}
