#include "limit/share.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "limit/grant.h"

enum {
    RENEW_MS = MR_SHARE_LEASE_MS / 5,
    /* Reads of the row: while this data centre is short of rate, while the
     * account is in use, and otherwise. */
    POLL_SHORT_MS = 75,
    POLL_USED_MS = 150,
    POLL_IDLE_MS = 2000,
    RETRY_MS = 200,
    /* Writes other than renewals, for one account and data centre. */
    WRITES_PER_S = 2,
    WRITES_BURST = 6,
    /* Demand counts at once when it rises, and falls by a quarter in this
     * time, so that noise causes no writes. */
    DECAY_MS = 500,
    /* Changes below this part of the limit are not worth a write. */
    NOTICEABLE = 16,
    NOTICEABLE_TIGHT = 32,
    FLOOR_PARTS = 16,
};

/* When an entry of another data centre was first seen as it is. */
typedef struct sighting {
    char data_centre[MR_SHARE_NAME_MAX];
    int64_t renewal;
    mr_ms_t since;
} sighting_t;

struct mr_share {
    char data_centre[MR_SHARE_NAME_MAX];
    mr_share_row_t row; /* as last read or written */
    bool have_row;
    bool stale; /* the row must be read before anything else */
    bool read_now;
    bool busy;
    mr_ms_t read_at;
    mr_share_row_t sent; /* the write in progress */
    mr_ms_t sent_at;
    mr_share_entry_t sent_first;
    bool open; /* a write that expected open_revision may take effect */
    int64_t open_revision;
    mr_ms_t open_since; /* when the first such write was sent */
    bool ours;          /* the own entry was renewed by this limiter */
    mr_share_entry_t first;
    int64_t stop_epoch; /* not 0: this limiter gives no more grants */
    mr_limit_amount_t stop_granted;
    bool stopped;
    mr_limit_amount_t force;
    mr_limit_amount_t ceiling; /* the target while lowering */
    mr_ms_t expiry;
    mr_ms_t renewed;
    int64_t peak; /* demand with slow decay */
    mr_ms_t decayed;
    bool is_short;
    bool others_short;
    mr_bucket_t budget;
    sighting_t seen[MR_SHARE_ENTRIES_MAX];
    size_t seen_count;
};

mr_share_t *
mr_share_create(const char *data_centre)
{
    mr_share_t *share = MR_NEW(mr_share_t);

    snprintf(share->data_centre, sizeof(share->data_centre), "%s",
             data_centre);
    share->ceiling = (mr_limit_amount_t){INT64_MAX, INT64_MAX};
    return share;
}

void
mr_share_destroy(mr_share_t *share)
{
    free(share);
}

static int64_t
least(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static int64_t
most(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

static mr_limit_amount_t
amount_least(mr_limit_amount_t a, mr_limit_amount_t b)
{
    return (mr_limit_amount_t){least(a.rate, b.rate), least(a.burst, b.burst)};
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

/* How many entries stand before @entry by demand, then by name. */
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

/* The part that @entry should have. What demand leaves over is divided half
 * equally and half by demand; when demand exceeds the limit, a floor remains
 * for everyone. An entry with less than one token would be useless, so each
 * gets one, or only the first by demand when there are too few. */
static mr_limit_amount_t
target_of(const mr_share_row_t *row, const mr_share_entry_t *entry)
{
    mr_limit_amount_t limit = row->limit;
    mr_limit_amount_t target;
    int64_t count = (int64_t)row->count;
    int64_t tokens = limit.burst / MR_TOKEN_MILLI;
    int64_t demand = 0;

    count = least(count, tokens);
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
            mr_limit_scale(spare - equal, entry->demand, most(demand, 1));
    }
    else {
        int64_t floor = limit.rate / (FLOOR_PARTS * count);
        target.rate = floor
                      + mr_limit_scale(limit.rate - floor * count,
                                       entry->demand, demand);
    }
    target.burst = MR_TOKEN_MILLI
                   + mr_limit_scale(limit.burst - MR_TOKEN_MILLI * count,
                                    target.rate, most(limit.rate, 1));
    return target;
}

/* The least change of @entry's rate that matters: little when it barely
 * covers the demand, more when it has some to spare. */
static int64_t
least_change(const mr_share_entry_t *entry, mr_limit_amount_t limit)
{
    bool tight = entry->amount.rate < entry->demand + entry->demand / 8;

    return limit.rate / (tight ? NOTICEABLE_TIGHT : NOTICEABLE);
}

/* Whether @entry is so far below its target that others should give way. */
static bool
is_short_of(const mr_share_entry_t *entry, mr_limit_amount_t target,
            mr_limit_amount_t limit)
{
    return target.rate > entry->amount.rate + least_change(entry, limit)
           || target.burst > entry->amount.burst + limit.burst / NOTICEABLE;
}

/* Take out entries that can be in force no more: not renewed for their whole
 * lifetime, measured here from when this renewal was first seen. */
static void
drop_lapsed(const mr_share_t *share, mr_share_row_t *row, mr_ms_t now)
{
    size_t kept = 0;

    for (size_t i = 0; i < row->count; i++) {
        const mr_share_entry_t *entry = &row->entries[i];
        bool lapsed = false;
        for (size_t j = 0; j < share->seen_count; j++) {
            const sighting_t *seen = &share->seen[j];
            lapsed = lapsed
                     || (strcmp(seen->data_centre, entry->data_centre) == 0
                         && seen->renewal == entry->renewal
                         && now - seen->since
                                >= mr_limit_expiry_wait(entry->lease));
        }
        if (!lapsed || strcmp(entry->data_centre, share->data_centre) == 0) {
            row->entries[kept++] = *entry;
        }
    }
    row->count = kept;
}

/* Copy the row with what is known here: limit, own demand, lapsed entries. */
static mr_share_entry_t *
prepare(mr_share_t *share, const mr_share_input_t *input, mr_ms_t now,
        mr_share_row_t *out)
{
    mr_share_entry_t *own;

    *out = share->row;
    if (input->version >= out->version) {
        out->version = input->version;
        out->limit = input->limit;
    }
    out->prior_limit.rate =
        most(share->row.prior_limit.rate, share->row.limit.rate);
    out->prior_limit.burst =
        most(share->row.prior_limit.burst, share->row.limit.burst);
    drop_lapsed(share, out, now);
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
    while (now - share->decayed >= DECAY_MS) {
        share->peak -= share->peak / 4 + 1;
        share->decayed += most(DECAY_MS, (now - share->decayed) / 64);
    }
    share->peak = most(share->peak, input->demand);
    return own;
}

/* Next value of the own entry: lowered no further than grants in force allow,
 * raised no further than there is room. */
static int64_t
next_part(int64_t part, int64_t target, int64_t in_use, int64_t room,
          bool lower)
{
    if (target > part) {
        return most(part, least(target, room));
    }
    return lower ? most(target, least(part, in_use)) : part;
}

static bool
noticeable(int64_t from, int64_t to, int64_t target, int64_t least_worth)
{
    int64_t change = from > to ? from - to : to - from;

    return change > least_worth || (change > least_worth / 2 && to == target)
           || (change > 0 && to == 0);
}

static mr_share_action_t
start_read(mr_share_t *share)
{
    share->busy = true;
    return MR_SHARE_READ;
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
    else if (share->is_short || share->others_short) {
        interval = POLL_SHORT_MS;
    }
    else if (share->peak > 0) {
        interval = POLL_USED_MS;
    }
    return now - share->read_at >= interval;
}

static void
send_write(mr_share_t *share, mr_share_entry_t *own, mr_ms_t now,
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
    share->force = amount_least(share->force, own->amount);
    share->sent = *out;
    share->sent_at = now;
    share->busy = true;
}

/* Note in the own entry how much LONG grants can use until its next write. New
 * ones stay within mr_grant_long_limit() of the part in force, which is at
 * most the entry's amount; what is in force already may be more. */
static void
note_granted(const mr_share_t *share, const mr_share_input_t *input,
             mr_share_entry_t *own)
{
    mr_limit_amount_t limit = mr_grant_long_limit(own->amount);

    own->granted = (mr_limit_amount_t){0};
    own->granted_epoch = 0;
    if (share->stop_epoch != 0) {
        own->granted = share->stop_granted;
        own->granted_epoch = share->stop_epoch;
    }
    else if (share->ours && input->epoch != 0) {
        own->granted.rate = most(limit.rate, input->long_total.rate);
        own->granted.burst = most(limit.burst, input->long_total.burst);
        own->granted_epoch = input->epoch;
    }
}

/* Whether a raise, a lowering or new demand is worth a write. */
static bool
worth_writing(mr_share_t *share, const mr_share_entry_t *old,
              const mr_share_entry_t *own, mr_limit_amount_t target,
              mr_limit_amount_t limit, mr_ms_t now)
{
    int64_t demand_change = own->demand > old->demand
                                ? own->demand - old->demand
                                : old->demand - own->demand;
    mr_share_entry_t before = *own;

    before.amount = old->amount;
    bool wanted = noticeable(old->amount.rate, own->amount.rate, target.rate,
                             least_change(&before, limit))
                  || noticeable(old->amount.burst, own->amount.burst,
                                target.burst, limit.burst / NOTICEABLE)
                  || demand_change > limit.rate / NOTICEABLE;

    if (!wanted || mr_bucket_level(&share->budget, now) < MR_TOKEN_MILLI) {
        return false;
    }
    mr_bucket_take(&share->budget, MR_TOKEN_MILLI, now);
    return true;
}

static mr_share_action_t
plan_write(mr_share_t *share, const mr_share_input_t *input, mr_ms_t now,
           mr_share_row_t *out)
{
    mr_share_entry_t *own = prepare(share, input, now, out);
    bool others_short = false;

    if (own == NULL) {
        return MR_SHARE_NONE;
    }
    mr_share_entry_t old = *own;
    own->demand = share->peak;
    mr_limit_amount_t target = target_of(out, own);
    mr_limit_amount_t sum = row_sum(out);
    bool over = sum.rate > out->limit.rate || sum.burst > out->limit.burst;
    for (size_t i = 0; i < out->count; i++) {
        mr_share_entry_t *entry = &out->entries[i];
        others_short =
            others_short
            || (entry != own
                && is_short_of(entry, target_of(out, entry), out->limit));
    }
    bool lower = over || others_short;
    share->others_short = others_short;
    if (lower) {
        own->demand = input->demand;
        target = target_of(out, own);
    }
    bool stamp = out->limit.rate != share->row.limit.rate
                 || out->limit.burst != share->row.limit.burst;
    share->is_short = is_short_of(own, target, out->limit);
    share->ceiling =
        lower ? target : (mr_limit_amount_t){INT64_MAX, INT64_MAX};
    if (!share->ours && find_entry(&share->row, share->data_centre) != NULL) {
        /* The predecessor's entry is renewed as it is, so that its amount
         * bounds the predecessor's grants. */
        share->sent_first = old;
        note_granted(share, input, own);
        send_write(share, own, now, out);
        return MR_SHARE_WRITE;
    }
    own->amount.rate =
        next_part(old.amount.rate, target.rate, input->min_amount.rate,
                  out->limit.rate - (sum.rate - old.amount.rate), lower);
    own->amount.burst =
        next_part(old.amount.burst, target.burst, input->min_amount.burst,
                  out->limit.burst - (sum.burst - old.amount.burst), lower);
    note_granted(share, input, own);
    bool noted = old.granted_epoch == own->granted_epoch
                 && (share->stop_epoch == 0
                     || (old.granted.rate == own->granted.rate
                         && old.granted.burst == own->granted.burst));
    if (!share->ours || share->open || stamp || !noted
        || now - share->renewed >= RENEW_MS
        || worth_writing(share, &old, own, target, out->limit, now)) {
        share->sent_first = old;
        send_write(share, own, now, out);
        return MR_SHARE_WRITE;
    }
    return MR_SHARE_NONE;
}

mr_share_action_t
mr_share_plan(mr_share_t *share, const mr_share_input_t *input, mr_ms_t now,
              mr_share_row_t *out)
{
    if (share->budget.expiry == 0) {
        mr_limit_amount_t budget = {.rate = WRITES_PER_S * MR_TOKEN_MILLI,
                                    .burst = WRITES_BURST * MR_TOKEN_MILLI};
        mr_bucket_init(&share->budget, budget, now, INT64_MAX);
        mr_bucket_put(&share->budget, budget.burst, now);
        share->decayed = now;
    }
    if (share->busy || share->stopped) {
        return MR_SHARE_NONE;
    }
    if (read_due(share, now)) {
        return start_read(share);
    }
    if (!share->have_row || share->stale) {
        return MR_SHARE_NONE;
    }
    return plan_write(share, input, now, out);
}

/* Remember since when each entry of the row is as it is. */
static void
note_sightings(mr_share_t *share, mr_ms_t now)
{
    sighting_t fresh[MR_SHARE_ENTRIES_MAX];

    for (size_t i = 0; i < share->row.count; i++) {
        const mr_share_entry_t *entry = &share->row.entries[i];
        memcpy(fresh[i].data_centre, entry->data_centre,
               sizeof(fresh[i].data_centre));
        fresh[i].renewal = entry->renewal;
        fresh[i].since = now;
        for (size_t j = 0; j < share->seen_count; j++) {
            const sighting_t *seen = &share->seen[j];
            if (strcmp(seen->data_centre, entry->data_centre) == 0
                && seen->renewal == entry->renewal) {
                fresh[i].since = seen->since;
            }
        }
    }
    share->seen_count = share->row.count;
    memcpy(share->seen, fresh, share->row.count * sizeof(fresh[0]));
}

static void
own_entry_renewed(mr_share_t *share, mr_ms_t sent)
{
    if (!share->ours) {
        share->ours = true;
        share->first = share->sent_first;
    }
    const mr_share_entry_t *own = find_entry(&share->row, share->data_centre);
    share->stopped = share->stop_epoch != 0
                     && own->granted_epoch == share->stop_epoch
                     && own->granted.rate == share->stop_granted.rate
                     && own->granted.burst == share->stop_granted.burst;
    share->renewed = sent;
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
    note_sightings(share, now);
    const mr_share_entry_t *own = find_entry(&share->row, share->data_centre);
    if (own != NULL) {
        bound = own->amount;
    }
    if (share->open && row->revision > share->open_revision) {
        share->open = false;
        if (own != NULL && own->renewal == share->open_revision) {
            own_entry_renewed(share, share->open_since);
        }
        /* Nothing is under way any more: the row says what the own part is.
         */
        share->force = share->ours ? bound : (mr_limit_amount_t){0};
    }
    share->force = amount_least(share->force, bound);
}

void
mr_share_written(mr_share_t *share, mr_share_result_t result, int64_t revision,
                 mr_ms_t now)
{
    int64_t expected = share->row.revision;

    share->busy = false;
    if (result == MR_SHARE_WRITTEN) {
        share->row = share->sent;
        share->row.revision = revision;
        share->open = false;
        note_sightings(share, now);
        own_entry_renewed(share, share->sent_at);
        share->force = find_entry(&share->row, share->data_centre)->amount;
        return;
    }
    /* Until it is read back, a lowering counts as made and a raise does not:
     * send_write() has bounded the part in force already. */
    if (!share->open || share->open_revision != expected) {
        share->open = true;
        share->open_revision = expected;
        share->open_since = share->sent_at;
    }
    share->stale = true;
    share->read_at = now;
    share->read_now = result == MR_SHARE_REFUSED;
}

/* @value of an entry, scaled to a limit that was lowered. */
static int64_t
scale_down(int64_t value, int64_t limit, int64_t sum, int64_t prior,
           int64_t local)
{
    int64_t basis = sum > limit ? most(prior, limit) : limit;

    limit = least(limit, local);
    value = limit < basis ? mr_limit_scale(value, limit, basis) : value;
    return least(value, limit);
}

mr_limit_amount_t
mr_share_usable(const mr_share_t *share, const mr_share_input_t *input,
                mr_ms_t now)
{
    const mr_share_row_t *row = &share->row;
    mr_limit_amount_t usable = amount_least(share->force, share->ceiling);
    mr_limit_amount_t sum = row_sum(row);
    mr_limit_amount_t local =
        input->version >= row->version ? input->limit : row->limit;

    if (!share->ours || now >= share->expiry) {
        return (mr_limit_amount_t){0};
    }
    usable.rate = scale_down(usable.rate, row->limit.rate, sum.rate,
                             row->prior_limit.rate, local.rate);
    usable.burst = scale_down(usable.burst, row->limit.burst, sum.burst,
                              row->prior_limit.burst, local.burst);
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
    return share->ours ? &share->first : NULL;
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
