#include "limit/grant.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"

enum {
    SLOTS_MAX = 8, /* grants of one kind that a holder may have in force */
    /* LONG grants are renewed often, so that nearly their whole lifetime
     * remains when the limiter fails. */
    LONG_RENEW_MS = 5000,
    LONG_CHANGE_MIN_MS = 100, /* between two LONG grants to an instance */
    /* An instance without a request for this long has no demand. */
    DEMAND_EXPIRY_MS = 2000,
    HOLDER_EXPIRY_MS = 2 * MR_GRANT_LONG_MS,
    /* Client requests are held for MR_LIMIT_HOLD_MS, 50 ms; the remaining
     * 10 ms are for the reply. */
    TOKEN_WAIT_MAX_MS = 40,
    SHORT_BURST_MS = 40,
    /* A smaller bucket is often full and then discards its refill. Its rate
     * stays in the reserve instead, for TOKENS grants, which have no refill.
     */
    LONG_BURST_MIN_MILLI = 2 * MR_TOKEN_MILLI,
    SHORT_BURST_MIN_MILLI = 4 * MR_TOKEN_MILLI,
    /* A bucket of this burst gets half of the rate that its demand needs. */
    HALF_RATE_BURST_MILLI = 2 * MR_TOKEN_MILLI,
    /* A bucket of at least this burst gets the whole rate. */
    FULL_RATE_BURST_MILLI = 64 * MR_TOKEN_MILLI,
    EPOCH_SHIFT = 32,
    KIND_BITS = 2,
    KIND_MASK = (1 << KIND_BITS) - 1,
};

/* A grant that may be in force. */
typedef struct slot {
    int64_t id; /* 0: free */
    mr_limit_amount_t amount;
    mr_ms_t issued_at;
    mr_ms_t expiry;
    /* Set if the grant replaces a LONG grant of the predecessor, @replaces.
     * Until this time only @replaces is counted, in @unreplaced_long. */
    mr_ms_t covered_until;
    mr_limit_amount_t replaces;
} slot_t;

/* The grants that one process of an instance may hold. */
typedef struct holder {
    mr_list_t link;
    char *name;
    int64_t process;
    slot_t slots[3][SLOTS_MAX]; /* by kind */
    int64_t demand;
    mr_ms_t requested_at;      /* last request */
    bool predecessor_replaced; /* its LONG grant from the predecessor is
                                  replaced */
    bool remote; /* in another data centre; gets TOKENS grants only */
} holder_t;

struct mr_grant_table {
    mr_list_t holders;
    int64_t epoch;
    int64_t sequence;
    mr_grant_predecessor_t predecessor;
    /* LONG grants of the predecessor that no instance has replaced. */
    mr_limit_amount_t unreplaced_long;
    mr_limit_amount_t share;
    mr_ms_t expiry;
    mr_bucket_t reserve; /* the part of the share that is not granted */
};

static void
destroy_holder(holder_t *holder)
{
    mr_list_remove(&holder->link);
    free(holder->name);
    free(holder);
}

void
mr_grant_table_destroy(mr_grant_table_t *table)
{
    if (table == NULL) {
        return;
    }
    while (!mr_list_empty(&table->holders)) {
        destroy_holder(MR_LIST_ENTRY(table->holders.next, holder_t, link));
    }
    free(table);
}

/* Earlier software versions issued LONG grants of up to this much. A successor
 * that finds no record of its predecessor's LONG grants assumes that this much
 * is in force. */
mr_limit_amount_t
mr_grant_long_cap(mr_limit_amount_t share)
{
    return (mr_limit_amount_t){.rate = share.rate * 3 / 4,
                               .burst = share.burst / 2};
}

/* LONG grants are needed when a data centre is partitioned from the others
 * while its limiter is down; otherwise instances can request tokens from the
 * limiters of other data centres. The rate of a LONG grant is not available to
 * other instances, so most of the share stays in the reserve. */
mr_limit_amount_t
mr_grant_long_limit(mr_limit_amount_t share)
{
    return (mr_limit_amount_t){.rate = share.rate / 4,
                               .burst = share.burst / 4};
}

mr_grant_table_t *
mr_grant_table_create(int64_t epoch, const mr_grant_predecessor_t *predecessor,
                      mr_ms_t now)
{
    mr_grant_table_t *table = MR_NEW(mr_grant_table_t);

    mr_list_init(&table->holders);
    table->epoch = epoch;
    if (predecessor != NULL) {
        table->predecessor = *predecessor;
        table->unreplaced_long = predecessor->long_total;
    }
    else {
        table->predecessor.short_until = now;
        table->predecessor.long_until = now;
    }
    mr_bucket_init(&table->reserve, (mr_limit_amount_t){0}, now, now);
    return table;
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
amount_add(mr_limit_amount_t a, mr_limit_amount_t b)
{
    return (mr_limit_amount_t){a.rate + b.rate, a.burst + b.burst};
}

/* @a minus @b, at least zero. */
static mr_limit_amount_t
amount_subtract(mr_limit_amount_t a, mr_limit_amount_t b)
{
    return (mr_limit_amount_t){max_i64(a.rate - b.rate, 0),
                               max_i64(a.burst - b.burst, 0)};
}

/* Upper bound of the grants of one kind that @holder has in force. */
static mr_limit_amount_t
holder_sum(const holder_t *holder, mr_grant_kind_t kind, mr_ms_t now)
{
    mr_limit_amount_t sum = {0};

    for (size_t i = 0; i < SLOTS_MAX; i++) {
        const slot_t *slot = &holder->slots[kind][i];
        if (slot->id == 0 || now >= slot->expiry
            || now < slot->covered_until) {
            continue;
        }
        if (kind == MR_GRANT_TOKENS) {
            sum = amount_add(sum, slot->amount);
            continue;
        }
        sum.rate = max_i64(sum.rate, slot->amount.rate);
        sum.burst = max_i64(sum.burst, slot->amount.burst);
    }
    return sum;
}

/* Upper bound of the LONG grants in force, without those of @except. */
static mr_limit_amount_t
long_sum(const mr_grant_table_t *table, const holder_t *except, mr_ms_t now)
{
    mr_limit_amount_t sum = {0};

    if (now < table->predecessor.long_until) {
        sum = table->unreplaced_long;
    }
    MR_LIST_FOREACH(it, &table->holders)
    {
        const holder_t *holder = MR_LIST_ENTRY(it, holder_t, link);
        if (holder != except) {
            sum = amount_add(sum, holder_sum(holder, MR_GRANT_LONG, now));
        }
    }
    return sum;
}

/* Upper bound of the SHORT and TOKENS grants in force. */
static mr_limit_amount_t
short_and_tokens_sum(const mr_grant_table_t *table, mr_ms_t now)
{
    mr_limit_amount_t sum = {0};

    if (now < table->predecessor.short_until) {
        return amount_subtract(table->predecessor.share,
                               table->predecessor.long_total);
    }
    MR_LIST_FOREACH(it, &table->holders)
    {
        const holder_t *holder = MR_LIST_ENTRY(it, holder_t, link);
        sum = amount_add(sum, holder_sum(holder, MR_GRANT_SHORT, now));
        sum = amount_add(sum, holder_sum(holder, MR_GRANT_TOKENS, now));
    }
    return sum;
}

/* The part of the share that no grant can be using. */
static mr_limit_amount_t
ungranted_share(const mr_grant_table_t *table, mr_ms_t now)
{
    return amount_subtract(table->share,
                           amount_add(long_sum(table, NULL, now),
                                      short_and_tokens_sum(table, now)));
}

/* Sets the reserve to the part of the share that is not granted. The refill up
 * to @now uses the amount set by the last call: grants that expired since then
 * add to the reserve only from now on. */
static void
update_reserve(mr_grant_table_t *table, mr_ms_t now)
{
    mr_bucket_change(&table->reserve, ungranted_share(table, now), now,
                     table->expiry);
}

void
mr_grant_table_set_share(mr_grant_table_t *table, mr_limit_amount_t share,
                         mr_ms_t expiry, mr_ms_t now)
{
    /* Refill up to now under the previous share and expiry. */
    mr_bucket_level(&table->reserve, now);
    table->share = share;
    table->expiry = expiry;
    update_reserve(table, now);
}

mr_limit_amount_t
mr_grant_table_min_share(mr_grant_table_t *table, mr_ms_t now)
{
    mr_limit_amount_t base = long_sum(table, NULL, now);
    mr_limit_amount_t all = amount_add(base, short_and_tokens_sum(table, now));

    /* LONG grants must also fit into mr_grant_long_cap() of the smaller
     * share, which a successor assumes to be their upper bound. */
    all.rate = max_i64(all.rate, (base.rate * 4 + 2) / 3);
    all.burst = max_i64(all.burst, base.burst * 2);
    return all;
}

mr_limit_amount_t
mr_grant_table_long_total(const mr_grant_table_t *table, mr_ms_t now)
{
    return long_sum(table, NULL, now);
}

int64_t
mr_grant_table_demand(const mr_grant_table_t *table, mr_ms_t now)
{
    int64_t demand = 0;

    MR_LIST_FOREACH(it, &table->holders)
    {
        const holder_t *holder = MR_LIST_ENTRY(it, holder_t, link);
        if (now - holder->requested_at < DEMAND_EXPIRY_MS) {
            demand += holder->demand;
        }
    }
    return demand;
}

int64_t
mr_grant_table_inactive_rate(const mr_grant_table_t *table, mr_ms_t now)
{
    int64_t inactive = long_sum(table, NULL, now).rate;

    MR_LIST_FOREACH(it, &table->holders)
    {
        const holder_t *holder = MR_LIST_ENTRY(it, holder_t, link);
        if (now - holder->requested_at < DEMAND_EXPIRY_MS) {
            inactive -= holder_sum(holder, MR_GRANT_LONG, now).rate;
        }
    }
    return max_i64(inactive, 0);
}

static holder_t *
find_holder(mr_grant_table_t *table, const char *name, int64_t process)
{
    MR_LIST_FOREACH(it, &table->holders)
    {
        holder_t *holder = MR_LIST_ENTRY(it, holder_t, link);
        if (holder->process == process && strcmp(holder->name, name) == 0) {
            return holder;
        }
    }
    return NULL;
}

static holder_t *
get_holder(mr_grant_table_t *table, const char *name, int64_t process,
           mr_ms_t now)
{
    holder_t *holder = find_holder(table, name, process);

    MR_LIST_FOREACH(it, &table->holders)
    {
        holder_t *other = MR_LIST_ENTRY(it, holder_t, link);
        if (now - other->requested_at > HOLDER_EXPIRY_MS && other != holder) {
            destroy_holder(other);
        }
    }
    if (holder == NULL) {
        holder = MR_NEW(holder_t);
        holder->name = mr_strdup(name);
        holder->process = process;
        mr_list_append(&table->holders, &holder->link);
    }
    return holder;
}

/* The instance reported that it holds @id: no older grant of this kind is in
 * force or will be accepted. */
static void
release_older_grants(mr_grant_table_t *table, holder_t *holder,
                     mr_grant_kind_t kind, int64_t id)
{
    if (id >> EPOCH_SHIFT != table->epoch) {
        return;
    }
    for (size_t i = 0; i < SLOTS_MAX; i++) {
        if (holder->slots[kind][i].id < id) {
            holder->slots[kind][i].id = 0;
        }
    }
}

/* The instance holds a LONG grant that replaced one of the predecessor, which
 * therefore no longer counts as in force. Because the instance accepted the
 * reply, its request was at most MR_GRANT_REPLY_MAX_AGE_MS old and was sent
 * after the lease was taken, when the replaced grant was still in force. The
 * request that reported the old grant doesn't prove this: it may have been
 * delayed. */
static void
settle_predecessor_grant(mr_grant_table_t *table, holder_t *holder,
                         int64_t held)
{
    slot_t *slots = holder->slots[MR_GRANT_LONG];

    for (size_t i = 0; i < SLOTS_MAX; i++) {
        if (slots[i].id == held && slots[i].covered_until > 0) {
            table->unreplaced_long =
                amount_subtract(table->unreplaced_long, slots[i].replaces);
            holder->predecessor_replaced = true;
        }
    }
    for (size_t i = 0; i < SLOTS_MAX && holder->predecessor_replaced; i++) {
        slots[i].covered_until = 0;
    }
}

/* Returns the newest grant of @kind that may be in force, or NULL. */
static const slot_t *
newest_grant(const holder_t *holder, mr_grant_kind_t kind, mr_ms_t now)
{
    const slot_t *found = NULL;

    for (size_t i = 0; i < SLOTS_MAX; i++) {
        const slot_t *slot = &holder->slots[kind][i];
        if (slot->id != 0 && now < slot->expiry
            && (found == NULL || slot->id > found->id)) {
            found = slot;
        }
    }
    return found;
}

/* Issues a grant and records it; false if all slots of its kind are used. */
static bool
issue_grant(mr_grant_table_t *table, holder_t *holder, mr_grant_kind_t kind,
            mr_limit_amount_t amount, mr_ms_t now, mr_msg_grant_item_t *item)
{
    mr_ms_t lifetime =
        kind == MR_GRANT_LONG ? MR_GRANT_LONG_MS : MR_GRANT_SHORT_MS;
    slot_t *slot = NULL;

    for (size_t i = 0; i < SLOTS_MAX && slot == NULL; i++) {
        slot_t *it = &holder->slots[kind][i];
        if (it->id == 0 || now >= it->expiry) {
            slot = it;
        }
    }
    if (slot == NULL) {
        return false;
    }
    lifetime = min_i64(lifetime, table->expiry - now);
    table->sequence++;
    slot->id = (table->epoch << EPOCH_SHIFT) | (table->sequence << KIND_BITS)
               | (int64_t)kind;
    slot->amount = amount;
    slot->issued_at = now;
    slot->expiry = now + mr_limit_expiry_wait(lifetime);
    slot->covered_until = 0;
    *item = (mr_msg_grant_item_t){.kind = kind,
                                  .id = slot->id,
                                  .rate_milli = amount.rate,
                                  .burst_milli = amount.burst,
                                  .lifetime_ms = lifetime};
    return true;
}

/* Reduces the rate of a grant with a small burst. A full bucket discards its
 * refill, and a small one is often full: with a burst of one token, requests
 * at random times use only half of a refill rate equal to their own. The rate
 * that is not granted stays in the reserve for all instances. */
static int64_t
usable_rate(int64_t rate, int64_t burst)
{
    /* A large bucket loses almost nothing, and its square could overflow. */
    if (burst >= FULL_RATE_BURST_MILLI) {
        return rate;
    }
    int64_t square = burst * burst;
    return mr_limit_scale(
        rate, square, square + HALF_RATE_BURST_MILLI * HALF_RATE_BURST_MILLI);
}

/* The LONG grant that @holder should have, in proportion to its demand plus a
 * base rate that instances without demand get as well. */
static mr_limit_amount_t
long_target(const mr_grant_table_t *table, const holder_t *holder, mr_ms_t now)
{
    mr_limit_amount_t cap = mr_grant_long_limit(table->share);
    mr_limit_amount_t others = long_sum(table, holder, now);
    mr_limit_amount_t mine = holder_sum(holder, MR_GRANT_LONG, now);
    mr_limit_amount_t left = amount_add(ungranted_share(table, now), mine);
    mr_limit_amount_t free = amount_subtract(cap, others);
    mr_limit_amount_t target = {0};
    int64_t count = 0;
    int64_t demand = 0;

    MR_LIST_FOREACH(it, &table->holders)
    {
        const holder_t *other = MR_LIST_ENTRY(it, holder_t, link);
        if (!other->remote && now - other->requested_at < LONG_RENEW_MS * 2) {
            count++;
            demand += other->demand;
        }
    }
    int64_t base = cap.rate / (8 * max_i64(count, 1));
    int64_t weights = max_i64(demand + base * count, 1);
    target.rate = mr_limit_scale(cap.rate, holder->demand + base, weights);
    target.rate = min_i64(target.rate, holder->demand + base);
    target.burst =
        mr_limit_scale(cap.burst, target.rate, max_i64(cap.rate, 1));
    target.rate = min_i64(target.rate, min_i64(free.rate, left.rate));
    target.burst = min_i64(target.burst, min_i64(free.burst, left.burst));
    target.rate = usable_rate(target.rate, target.burst);
    if (target.burst < LONG_BURST_MIN_MILLI) {
        target = (mr_limit_amount_t){0};
    }
    return target;
}

static bool
differs_noticeably(int64_t a, int64_t b)
{
    return a > b + b / 4 || a < b - b / 4;
}

/* Replaces the predecessor's grant that the instance reports by one that is
 * not larger. */
static bool
replace_predecessor_grant(mr_grant_table_t *table, holder_t *holder,
                          const mr_grant_request_t *request, mr_ms_t now,
                          mr_msg_grant_item_t *item)
{
    mr_limit_amount_t cap = mr_grant_long_limit(table->share);
    mr_limit_amount_t amount = {min_i64(cap.rate, request->held.rate),
                                min_i64(cap.burst, request->held.burst)};

    if (now < table->predecessor.adopt_from
        || !issue_grant(table, holder, MR_GRANT_LONG, amount, now, item)) {
        return false;
    }
    for (size_t i = 0; i < SLOTS_MAX; i++) {
        slot_t *slot = &holder->slots[MR_GRANT_LONG][i];
        if (slot->id == item->id) {
            slot->covered_until = table->predecessor.long_until;
            slot->replaces = request->held;
        }
    }
    return true;
}

static bool
issue_long(mr_grant_table_t *table, holder_t *holder,
           const mr_grant_request_t *request, mr_ms_t now,
           mr_msg_grant_item_t *item)
{
    const slot_t *last = newest_grant(holder, MR_GRANT_LONG, now);
    mr_limit_amount_t target;

    if (last != NULL && now - last->issued_at < LONG_CHANGE_MIN_MS) {
        return false;
    }
    if (request->held_long != 0
        && request->held_long >> EPOCH_SHIFT < table->epoch
        && !holder->predecessor_replaced
        && now < table->predecessor.long_until) {
        return replace_predecessor_grant(table, holder, request, now, item);
    }
    target = long_target(table, holder, now);
    if (last == NULL
            ? target.rate == 0
            : now - last->issued_at < LONG_RENEW_MS
                  && !differs_noticeably(target.rate, last->amount.rate)
                  && !differs_noticeably(target.burst, last->amount.burst)) {
        return false;
    }
    return issue_grant(table, holder, MR_GRANT_LONG, target, now, item);
}

/* Demand that is not covered by the instance's LONG grant. */
static int64_t
uncovered_demand(const holder_t *holder, mr_ms_t now)
{
    const slot_t *base = newest_grant(holder, MR_GRANT_LONG, now);

    if (now - holder->requested_at >= DEMAND_EXPIRY_MS) {
        return 0;
    }
    return max_i64(holder->demand - (base ? base->amount.rate : 0), 0);
}

static bool
issue_short(mr_grant_table_t *table, holder_t *holder, mr_ms_t now,
            mr_msg_grant_item_t *item)
{
    mr_limit_amount_t base = long_sum(table, NULL, now);
    mr_limit_amount_t pool = amount_subtract(table->share, base);
    mr_limit_amount_t mine = holder_sum(holder, MR_GRANT_SHORT, now);
    const slot_t *last = newest_grant(holder, MR_GRANT_SHORT, now);
    mr_limit_amount_t free = amount_add(ungranted_share(table, now), mine);
    mr_limit_amount_t target;
    int64_t total_demand = 0;

    MR_LIST_FOREACH(it, &table->holders)
    {
        total_demand +=
            uncovered_demand(MR_LIST_ENTRY(it, holder_t, link), now);
    }
    /* A sixteenth stays in the reserve for instances that run out of tokens.
     */
    pool.rate -= pool.rate / 16;
    target.rate = uncovered_demand(holder, now);
    if (total_demand > pool.rate) {
        target.rate = mr_limit_scale(pool.rate, target.rate, total_demand);
    }
    target.rate = min_i64(target.rate, free.rate);
    int64_t burst = MR_TOKEN_MILLI / 2 + target.rate * SHORT_BURST_MS / 1000;
    burst = min_i64(min_i64(burst, pool.burst / 4), free.burst);
    /* A smaller bucket would be full much of the time. */
    target.rate =
        burst < SHORT_BURST_MIN_MILLI ? 0 : usable_rate(target.rate, burst);
    if (target.rate == 0) {
        /* An empty grant replaces one that is no longer needed. */
        return mine.rate > 0 && last->amount.rate > 0
               && issue_grant(table, holder, MR_GRANT_SHORT, target, now,
                              item);
    }
    target.burst = burst;
    return issue_grant(table, holder, MR_GRANT_SHORT, target, now, item);
}

static bool
issue_tokens(mr_grant_table_t *table, holder_t *holder, int64_t wanted,
             mr_ms_t now, mr_msg_grant_item_t *item)
{
    int64_t level = mr_bucket_level(&table->reserve, now) / MR_TOKEN_MILLI;
    mr_limit_amount_t amount = {.burst =
                                    min_i64(level, wanted) * MR_TOKEN_MILLI};

    if (amount.burst <= 0
        || !issue_grant(table, holder, MR_GRANT_TOKENS, amount, now, item)) {
        return false;
    }
    mr_bucket_take(&table->reserve, amount.burst, now);
    return true;
}

/* Whether no token will be available while a client request is held. */
static bool
no_token_soon(mr_grant_table_t *table, mr_ms_t now)
{
    return mr_bucket_level(&table->reserve, now)
               + table->reserve.amount.rate * TOKEN_WAIT_MAX_MS / 1000
           < MR_TOKEN_MILLI;
}

/* Handles the request of an instance in another data centre that has no
 * tokens left. The tokens come from the reserve and count towards this data
 * centre's share while the grant is in force. */
static size_t
handle_tokens_request(mr_grant_table_t *table,
                      const mr_grant_request_t *request, mr_ms_t now,
                      mr_msg_grant_item_t *out, bool *refused)
{
    holder_t *holder =
        get_holder(table, request->instance, request->process, now);

    holder->remote = true;
    holder->demand = 0;
    holder->requested_at = now;
    *refused = true;
    update_reserve(table, now);
    if (now >= table->expiry || now < table->predecessor.short_until
        || request->wanted <= 0) {
        return 0;
    }
    if (!issue_tokens(table, holder, request->wanted, now, out)) {
        *refused = no_token_soon(table, now);
        return 0;
    }
    update_reserve(table, now);
    *refused = false;
    return 1;
}

size_t
mr_grant_table_handle_request(mr_grant_table_t *table,
                              const mr_grant_request_t *request, mr_ms_t now,
                              mr_msg_grant_item_t *out, bool *refused)
{
    if (request->tokens_only) {
        return handle_tokens_request(table, request, now, out, refused);
    }
    holder_t *holder =
        get_holder(table, request->instance, request->process, now);
    size_t count = 0;

    holder->remote = false;
    holder->demand = max_i64(request->demand, 0);
    holder->requested_at = now;
    *refused = false;
    if (!holder->predecessor_replaced && request->held_long != 0) {
        settle_predecessor_grant(table, holder, request->held_long);
    }
    release_older_grants(table, holder, MR_GRANT_LONG, request->held_long);
    release_older_grants(table, holder, MR_GRANT_SHORT, request->held_short);
    update_reserve(table, now);
    if (now >= table->expiry) {
        return 0;
    }
    if (issue_long(table, holder, request, now, &out[count])) {
        count++;
        update_reserve(table, now);
    }
    if (now < table->predecessor.short_until) {
        return count;
    }
    if (issue_short(table, holder, now, &out[count])) {
        count++;
        update_reserve(table, now);
    }
    if (request->wanted > 0) {
        if (issue_tokens(table, holder, request->wanted, now, &out[count])) {
            count++;
            update_reserve(table, now);
        }
        else {
            *refused = no_token_soon(table, now);
        }
    }
    return count;
}

void
mr_grant_table_return(mr_grant_table_t *table, const char *instance,
                      int64_t process, int64_t id, mr_ms_t now)
{
    holder_t *holder = find_holder(table, instance, process);
    int64_t kind = id & KIND_MASK;

    if (holder == NULL || id >> EPOCH_SHIFT != table->epoch
        || kind > MR_GRANT_TOKENS) {
        return;
    }
    for (size_t i = 0; i < SLOTS_MAX; i++) {
        slot_t *slot = &holder->slots[kind][i];
        if (kind == MR_GRANT_TOKENS ? slot->id == id : slot->id <= id) {
            slot->id = 0;
        }
    }
    update_reserve(table, now);
}
