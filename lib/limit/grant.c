#include "limit/grant.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"

enum {
    SLOTS_MAX = 8,
    /* A LONG grant is renewed this often, so that nearly all of its lifetime
     * is left when the limiter dies. */
    LONG_RENEW_MS = 5000,
    LONG_CHANGE_MS = 100,
    /* An instance that has not asked for this long has no demand. */
    DEMAND_MS = 2000,
    FORGET_MS = 2 * MR_GRANT_LONG_MS,
    /* A request is held for 50 ms; 40 ms leave time for the reply. */
    SOON_MS = 40,
    SHORT_BURST_MS = 40,
    /* Shallower buckets lose too much inflow; tokens on demand lose none. */
    LONG_BURST_LEAST_MILLI = 2 * MR_TOKEN_MILLI,
    SHORT_BURST_LEAST_MILLI = 4 * MR_TOKEN_MILLI,
    /* A bucket of this depth gets half of the inflow that demand asks for. */
    SHALLOW_MILLI = 2 * MR_TOKEN_MILLI,
    DEEP_MILLI = 64 * MR_TOKEN_MILLI,
    EPOCH_SHIFT = 32,
    KIND_BITS = 2,
    KIND_MASK = (1 << KIND_BITS) - 1,
};

/* A grant that may be in force. */
typedef struct slot {
    int64_t id; /* 0: free */
    mr_limit_amount_t amount;
    mr_ms_t given;
    mr_ms_t lapse;
    /* Until then it is covered by @replaces, a grant of the predecessor that
     * it replaces and that is among the unreported ones. */
    mr_ms_t covered_until;
    mr_limit_amount_t replaces;
} slot_t;

/* What one instance may hold. */
typedef struct holder {
    mr_list_t link;
    char *name;
    int64_t process;
    slot_t slots[3][SLOTS_MAX]; /* by kind */
    int64_t demand;
    mr_ms_t asked;
    bool reported; /* its grant of the predecessor has been replaced */
    bool remote;   /* of another data centre; gets tokens only */
} holder_t;

struct mr_grant_table {
    mr_list_t holders;
    int64_t epoch;
    int64_t sequence;
    mr_grant_predecessor_t former;
    /* LONG grants of the predecessor that no instance has reported. */
    mr_limit_amount_t unreported;
    mr_limit_amount_t share;
    mr_ms_t expiry;
    mr_bucket_t reserve; /* the part of the share that is not granted */
};

static void
forget(holder_t *holder)
{
    mr_list_remove(&holder->link);
    free(holder->name);
    free(holder);
}

void
mr_grant_book_destroy(mr_grant_book_t *book)
{
    if (book == NULL) {
        return;
    }
    while (!mr_list_empty(&book->holders)) {
        forget(MR_LIST_ENTRY(book->holders.next, holder_t, link));
    }
    free(book);
}

/* Earlier versions gave this much, and a successor that finds no note of a
 * predecessor counts it as in force. */
mr_limit_amount_t
mr_grant_long_cap(mr_limit_amount_t share)
{
    return (mr_limit_amount_t){.rate = share.rate * 3 / 4,
                               .burst = share.burst / 2};
}

/* LONG grants serve a data centre that is cut off while its limiter is dead;
 * otherwise limiters of other data centres can be asked. What LONG grants hold
 * at one instance is lost to the others, so most of the share stays pooled. */
mr_limit_amount_t
mr_grant_long_limit(mr_limit_amount_t share)
{
    return (mr_limit_amount_t){.rate = share.rate / 4,
                               .burst = share.burst / 4};
}

mr_grant_book_t *
mr_grant_book_create(int64_t epoch, const mr_grant_predecessor_t *former,
                     mr_ms_t now)
{
    mr_grant_book_t *book = MR_NEW(mr_grant_book_t);

    mr_list_init(&book->holders);
    book->epoch = epoch;
    if (former != NULL) {
        book->former = *former;
        book->unreported = former->long_total;
    }
    else {
        book->former.short_until = now;
        book->former.long_until = now;
    }
    mr_bucket_init(&book->reserve, (mr_limit_amount_t){0}, now, now);
    return book;
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
amount_add(mr_limit_amount_t a, mr_limit_amount_t b)
{
    return (mr_limit_amount_t){a.rate + b.rate, a.burst + b.burst};
}

/* What is left of @a after @b, never negative. */
static mr_limit_amount_t
amount_left(mr_limit_amount_t a, mr_limit_amount_t b)
{
    return (mr_limit_amount_t){most(a.rate - b.rate, 0),
                               most(a.burst - b.burst, 0)};
}

/* The most that @holder may have in force of one kind. */
static mr_limit_amount_t
holder_sum(const holder_t *holder, mr_grant_kind_t kind, mr_ms_t now)
{
    mr_limit_amount_t sum = {0};

    for (size_t i = 0; i < SLOTS_MAX; i++) {
        const slot_t *slot = &holder->slots[kind][i];
        if (slot->id == 0 || now >= slot->lapse || now < slot->covered_until) {
            continue;
        }
        if (kind == MR_GRANT_TOKENS) {
            sum = amount_add(sum, slot->amount);
            continue;
        }
        sum.rate = most(sum.rate, slot->amount.rate);
        sum.burst = most(sum.burst, slot->amount.burst);
    }
    return sum;
}

/* The most that may be in force of all LONG grants, @except's left out. */
static mr_limit_amount_t
long_sum(const mr_grant_book_t *book, const holder_t *except, mr_ms_t now)
{
    mr_limit_amount_t sum = {0};

    if (now < book->former.long_until) {
        sum = book->unreported;
    }
    MR_LIST_FOREACH(it, &book->holders)
    {
        const holder_t *holder = MR_LIST_ENTRY(it, holder_t, link);
        if (holder != except) {
            sum = amount_add(sum, holder_sum(holder, MR_GRANT_LONG, now));
        }
    }
    return sum;
}

/* The most that may be in force of all SHORT and TOKENS grants. */
static mr_limit_amount_t
short_sum(const mr_grant_book_t *book, mr_ms_t now)
{
    mr_limit_amount_t sum = {0};

    if (now < book->former.short_until) {
        return amount_left(book->former.share, book->former.long_total);
    }
    MR_LIST_FOREACH(it, &book->holders)
    {
        const holder_t *holder = MR_LIST_ENTRY(it, holder_t, link);
        sum = amount_add(sum, holder_sum(holder, MR_GRANT_SHORT, now));
        sum = amount_add(sum, holder_sum(holder, MR_GRANT_TOKENS, now));
    }
    return sum;
}

/* The part of the share that no grant may be using. */
static mr_limit_amount_t
ungranted(const mr_grant_book_t *book, mr_ms_t now)
{
    return amount_left(book->share, amount_add(long_sum(book, NULL, now),
                                               short_sum(book, now)));
}

/* Until now the reserve refilled at the amount of the last call. Grants that
 * lapsed meanwhile add to it only from now on. */
static void
update_reserve(mr_grant_book_t *book, mr_ms_t now)
{
    mr_bucket_change(&book->reserve, ungranted(book, now), now, book->expiry);
}

void
mr_grant_book_set_share(mr_grant_book_t *book, mr_limit_amount_t share,
                        mr_ms_t expiry, mr_ms_t now)
{
    /* Settle the time up to now under the previous share and expiry. */
    mr_bucket_level(&book->reserve, now);
    book->share = share;
    book->expiry = expiry;
    update_reserve(book, now);
}

mr_limit_amount_t
mr_grant_table_min_share(mr_grant_book_t *book, mr_ms_t now)
{
    mr_limit_amount_t base = long_sum(book, NULL, now);
    mr_limit_amount_t all = amount_add(base, short_sum(book, now));

    /* The long part must fit into mr_grant_long_cap() of the smaller share
     * too, as a successor relies on it. */
    all.rate = most(all.rate, (base.rate * 4 + 2) / 3);
    all.burst = most(all.burst, base.burst * 2);
    return all;
}

mr_limit_amount_t
mr_grant_table_long_total(const mr_grant_book_t *book, mr_ms_t now)
{
    return long_sum(book, NULL, now);
}

int64_t
mr_grant_table_demand(const mr_grant_book_t *book, mr_ms_t now)
{
    int64_t demand = 0;

    MR_LIST_FOREACH(it, &book->holders)
    {
        const holder_t *holder = MR_LIST_ENTRY(it, holder_t, link);
        if (now - holder->asked < DEMAND_MS) {
            demand += holder->demand;
        }
    }
    return demand;
}

int64_t
mr_grant_table_inactive_rate(const mr_grant_book_t *book, mr_ms_t now)
{
    int64_t stuck = long_sum(book, NULL, now).rate;

    MR_LIST_FOREACH(it, &book->holders)
    {
        const holder_t *holder = MR_LIST_ENTRY(it, holder_t, link);
        if (now - holder->asked < DEMAND_MS) {
            stuck -= holder_sum(holder, MR_GRANT_LONG, now).rate;
        }
    }
    return most(stuck, 0);
}

static holder_t *
find_holder(mr_grant_book_t *book, const char *name, int64_t process)
{
    MR_LIST_FOREACH(it, &book->holders)
    {
        holder_t *holder = MR_LIST_ENTRY(it, holder_t, link);
        if (holder->process == process && strcmp(holder->name, name) == 0) {
            return holder;
        }
    }
    return NULL;
}

static holder_t *
get_holder(mr_grant_book_t *book, const char *name, int64_t process,
           mr_ms_t now)
{
    holder_t *holder = find_holder(book, name, process);

    MR_LIST_FOREACH(it, &book->holders)
    {
        holder_t *other = MR_LIST_ENTRY(it, holder_t, link);
        if (now - other->asked > FORGET_MS && other != holder) {
            forget(other);
        }
    }
    if (holder == NULL) {
        holder = MR_NEW(holder_t);
        holder->name = mr_strdup(name);
        holder->process = process;
        mr_list_append(&book->holders, &holder->link);
    }
    return holder;
}

/* The instance holds @id, so that no older grant of the kind is in force or
 * will be accepted. */
static void
confirm(mr_grant_book_t *book, holder_t *holder, mr_grant_kind_t kind,
        int64_t id)
{
    if (id >> EPOCH_SHIFT != book->epoch) {
        return;
    }
    for (size_t i = 0; i < SLOTS_MAX; i++) {
        if (holder->slots[kind][i].id < id) {
            holder->slots[kind][i].id = 0;
        }
    }
}

/* The instance holds a LONG grant that replaced one of the predecessor. It
 * accepted the reply, so its ask was at most MR_GRANT_REPLY_MAX_AGE_MS old and
 * sent after the lease was taken: the replaced grant was in force then and is
 * among the unreported ones. A report alone shows no such thing, as it may be
 * late.
 */
static void
settle_replaced(mr_grant_book_t *book, holder_t *holder, int64_t held)
{
    slot_t *slots = holder->slots[MR_GRANT_LONG];

    for (size_t i = 0; i < SLOTS_MAX; i++) {
        if (slots[i].id == held && slots[i].covered_until > 0) {
            book->unreported =
                amount_left(book->unreported, slots[i].replaces);
            holder->reported = true;
        }
    }
    for (size_t i = 0; i < SLOTS_MAX && holder->reported; i++) {
        slots[i].covered_until = 0;
    }
}

/* The newest grant of @kind that may be in force, or NULL. */
static const slot_t *
newest(const holder_t *holder, mr_grant_kind_t kind, mr_ms_t now)
{
    const slot_t *found = NULL;

    for (size_t i = 0; i < SLOTS_MAX; i++) {
        const slot_t *slot = &holder->slots[kind][i];
        if (slot->id != 0 && now < slot->lapse
            && (found == NULL || slot->id > found->id)) {
            found = slot;
        }
    }
    return found;
}

/* Enter a grant into the book; false when the instance has too many. */
static bool
give(mr_grant_book_t *book, holder_t *holder, mr_grant_kind_t kind,
     mr_limit_amount_t amount, mr_ms_t now, mr_msg_grant_item_t *item)
{
    mr_ms_t lifetime =
        kind == MR_GRANT_LONG ? MR_GRANT_LONG_MS : MR_GRANT_SHORT_MS;
    slot_t *slot = NULL;

    for (size_t i = 0; i < SLOTS_MAX && slot == NULL; i++) {
        slot_t *it = &holder->slots[kind][i];
        if (it->id == 0 || now >= it->lapse) {
            slot = it;
        }
    }
    if (slot == NULL) {
        return false;
    }
    lifetime = least(lifetime, book->expiry - now);
    book->sequence++;
    slot->id = (book->epoch << EPOCH_SHIFT) | (book->sequence << KIND_BITS)
               | (int64_t)kind;
    slot->amount = amount;
    slot->given = now;
    slot->lapse = now + mr_limit_expiry_wait(lifetime);
    slot->covered_until = 0;
    *item = (mr_msg_grant_item_t){.kind = kind,
                                  .id = slot->id,
                                  .rate_milli = amount.rate,
                                  .burst_milli = amount.burst,
                                  .lifetime_ms = lifetime};
    return true;
}

/* A bucket loses what flows in while it is full, and a shallow one is full
 * often: requests at random times use only half of an inflow that equals
 * their rate when it holds one token. So the inflow is kept lower the
 * shallower the bucket is; the rest stays in the reserve for all. */
static int64_t
usable_inflow(int64_t rate, int64_t burst)
{
    /* Deep buckets lose next to nothing, and their square may not fit. */
    if (burst >= DEEP_MILLI) {
        return rate;
    }
    int64_t square = burst * burst;
    return mr_limit_scale(rate, square,
                          square + SHALLOW_MILLI * SHALLOW_MILLI);
}

/* The LONG grant that @holder should have: its part by demand, with a base
 * for instances without demand. */
static mr_limit_amount_t
long_target(const mr_grant_book_t *book, const holder_t *holder, mr_ms_t now)
{
    mr_limit_amount_t cap = mr_grant_long_limit(book->share);
    mr_limit_amount_t others = long_sum(book, holder, now);
    mr_limit_amount_t mine = holder_sum(holder, MR_GRANT_LONG, now);
    mr_limit_amount_t left = amount_add(ungranted(book, now), mine);
    mr_limit_amount_t free = amount_left(cap, others);
    mr_limit_amount_t target = {0};
    int64_t count = 0;
    int64_t demand = 0;

    MR_LIST_FOREACH(it, &book->holders)
    {
        const holder_t *other = MR_LIST_ENTRY(it, holder_t, link);
        if (!other->remote && now - other->asked < LONG_RENEW_MS * 2) {
            count++;
            demand += other->demand;
        }
    }
    int64_t base = cap.rate / (8 * most(count, 1));
    int64_t weights = most(demand + base * count, 1);
    target.rate = mr_limit_scale(cap.rate, holder->demand + base, weights);
    target.rate = least(target.rate, holder->demand + base);
    target.burst = mr_limit_scale(cap.burst, target.rate, most(cap.rate, 1));
    target.rate = least(target.rate, least(free.rate, left.rate));
    target.burst = least(target.burst, least(free.burst, left.burst));
    target.rate = usable_inflow(target.rate, target.burst);
    if (target.burst < LONG_BURST_LEAST_MILLI) {
        target = (mr_limit_amount_t){0};
    }
    return target;
}

static bool
differs(int64_t a, int64_t b)
{
    return a > b + b / 4 || a < b - b / 4;
}

/* Replace the predecessor's grant that the instance reports by one that is no
 * larger. */
static bool
replace_former(mr_grant_book_t *book, holder_t *holder,
               const mr_grant_ask_t *ask, mr_ms_t now,
               mr_msg_grant_item_t *item)
{
    mr_limit_amount_t cap = mr_grant_long_limit(book->share);
    mr_limit_amount_t amount = {least(cap.rate, ask->held.rate),
                                least(cap.burst, ask->held.burst)};

    if (now < book->former.adopt_from
        || !give(book, holder, MR_GRANT_LONG, amount, now, item)) {
        return false;
    }
    for (size_t i = 0; i < SLOTS_MAX; i++) {
        slot_t *slot = &holder->slots[MR_GRANT_LONG][i];
        if (slot->id == item->id) {
            slot->covered_until = book->former.long_until;
            slot->replaces = ask->held;
        }
    }
    return true;
}

static bool
give_long(mr_grant_book_t *book, holder_t *holder, const mr_grant_ask_t *ask,
          mr_ms_t now, mr_msg_grant_item_t *item)
{
    const slot_t *last = newest(holder, MR_GRANT_LONG, now);
    mr_limit_amount_t target;

    if (last != NULL && now - last->given < LONG_CHANGE_MS) {
        return false;
    }
    if (ask->held_long != 0 && ask->held_long >> EPOCH_SHIFT < book->epoch
        && !holder->reported && now < book->former.long_until) {
        return replace_former(book, holder, ask, now, item);
    }
    target = long_target(book, holder, now);
    if (last == NULL ? target.rate == 0
                     : now - last->given < LONG_RENEW_MS
                           && !differs(target.rate, last->amount.rate)
                           && !differs(target.burst, last->amount.burst)) {
        return false;
    }
    return give(book, holder, MR_GRANT_LONG, target, now, item);
}

/* Demand that an instance's LONG grant does not cover, with a margin. */
static int64_t
excess(const holder_t *holder, mr_ms_t now)
{
    const slot_t *base = newest(holder, MR_GRANT_LONG, now);

    if (now - holder->asked >= DEMAND_MS) {
        return 0;
    }
    return most(holder->demand - (base ? base->amount.rate : 0), 0);
}

static bool
give_short(mr_grant_book_t *book, holder_t *holder, mr_ms_t now,
           mr_msg_grant_item_t *item)
{
    mr_limit_amount_t base = long_sum(book, NULL, now);
    mr_limit_amount_t pool = amount_left(book->share, base);
    mr_limit_amount_t mine = holder_sum(holder, MR_GRANT_SHORT, now);
    const slot_t *last = newest(holder, MR_GRANT_SHORT, now);
    mr_limit_amount_t free = amount_add(ungranted(book, now), mine);
    mr_limit_amount_t target;
    int64_t all = 0;

    MR_LIST_FOREACH(it, &book->holders)
    {
        all += excess(MR_LIST_ENTRY(it, holder_t, link), now);
    }
    /* A sixteenth stays in the reserve for instances that run dry. */
    pool.rate -= pool.rate / 16;
    target.rate = excess(holder, now);
    if (all > pool.rate) {
        target.rate = mr_limit_scale(pool.rate, target.rate, all);
    }
    target.rate = least(target.rate, free.rate);
    int64_t burst = MR_TOKEN_MILLI / 2 + target.rate * SHORT_BURST_MS / 1000;
    burst = least(least(burst, pool.burst / 4), free.burst);
    /* The bucket would be full much of the time. */
    target.rate = burst < SHORT_BURST_LEAST_MILLI
                      ? 0
                      : usable_inflow(target.rate, burst);
    if (target.rate == 0) {
        /* An empty grant replaces one that is not needed any more. */
        return mine.rate > 0 && last->amount.rate > 0
               && give(book, holder, MR_GRANT_SHORT, target, now, item);
    }
    target.burst = burst;
    return give(book, holder, MR_GRANT_SHORT, target, now, item);
}

static bool
give_tokens(mr_grant_book_t *book, holder_t *holder, int64_t wanted,
            mr_ms_t now, mr_msg_grant_item_t *item)
{
    int64_t level = mr_bucket_level(&book->reserve, now) / MR_TOKEN_MILLI;
    mr_limit_amount_t amount = {.burst =
                                    least(level, wanted) * MR_TOKEN_MILLI};

    if (amount.burst <= 0
        || !give(book, holder, MR_GRANT_TOKENS, amount, now, item)) {
        return false;
    }
    mr_bucket_take(&book->reserve, amount.burst, now);
    return true;
}

/* Whether no token will come within the time that a request is held. */
static bool
none_soon(mr_grant_book_t *book, mr_ms_t now)
{
    return mr_bucket_level(&book->reserve, now)
               + book->reserve.amount.rate * SOON_MS / 1000
           < MR_TOKEN_MILLI;
}

/* Tokens of the reserve for an instance whose own data centre has none left.
 * They are a part of this share while they are in force, like any grant. */
static size_t
ask_tokens(mr_grant_book_t *book, const mr_grant_ask_t *ask, mr_ms_t now,
           mr_msg_grant_item_t *out, bool *refused)
{
    holder_t *holder = get_holder(book, ask->instance, ask->process, now);

    holder->remote = true;
    holder->demand = 0;
    holder->asked = now;
    *refused = true;
    update_reserve(book, now);
    if (now >= book->expiry || now < book->former.short_until
        || ask->wanted <= 0) {
        return 0;
    }
    if (!give_tokens(book, holder, ask->wanted, now, out)) {
        *refused = none_soon(book, now);
        return 0;
    }
    update_reserve(book, now);
    *refused = false;
    return 1;
}

size_t
mr_grant_book_ask(mr_grant_book_t *book, const mr_grant_ask_t *ask,
                  mr_ms_t now, mr_msg_grant_item_t *out, bool *refused)
{
    if (ask->tokens_only) {
        return ask_tokens(book, ask, now, out, refused);
    }
    holder_t *holder = get_holder(book, ask->instance, ask->process, now);
    size_t count = 0;

    holder->remote = false;
    holder->demand = most(ask->demand, 0);
    holder->asked = now;
    *refused = false;
    if (!holder->reported && ask->held_long != 0) {
        settle_replaced(book, holder, ask->held_long);
    }
    confirm(book, holder, MR_GRANT_LONG, ask->held_long);
    confirm(book, holder, MR_GRANT_SHORT, ask->held_short);
    update_reserve(book, now);
    if (now >= book->expiry) {
        return 0;
    }
    if (give_long(book, holder, ask, now, &out[count])) {
        count++;
        update_reserve(book, now);
    }
    if (now < book->former.short_until) {
        return count;
    }
    if (give_short(book, holder, now, &out[count])) {
        count++;
        update_reserve(book, now);
    }
    if (ask->wanted > 0) {
        if (give_tokens(book, holder, ask->wanted, now, &out[count])) {
            count++;
            update_reserve(book, now);
        }
        else {
            *refused = none_soon(book, now);
        }
    }
    return count;
}

void
mr_grant_table_return(mr_grant_book_t *book, const char *instance,
                      int64_t process, int64_t id, mr_ms_t now)
{
    holder_t *holder = find_holder(book, instance, process);
    int64_t kind = id & KIND_MASK;

    if (holder == NULL || id >> EPOCH_SHIFT != book->epoch
        || kind > MR_GRANT_TOKENS) {
        return;
    }
    for (size_t i = 0; i < SLOTS_MAX; i++) {
        slot_t *slot = &holder->slots[kind][i];
        if (kind == MR_GRANT_TOKENS ? slot->id == id : slot->id <= id) {
            slot->id = 0;
        }
    }
    update_reserve(book, now);
}
