#include "placement/cold_limit.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"
#include "limit/bucket.h"

enum {
    /* The bucket holds the tokens of this part of a second. */
    BURST_DIVISOR = 10,
    /* Grants that a stock keeps apart, as they lapse at different times. With
     * more, tokens of the oldest grant are lost. */
    BATCHES = 8,
    RAMP_MS = 3000,
    RAMP_UNIT = 1000, /* of the credit that one read takes */
    FORGET_MS = 60000,
};

typedef struct bucket {
    mr_bucket_t tokens;
    mr_ms_t used_at;
    uint64_t rates_version; /* at which its rate was determined */
} bucket_t;

struct mr_cold_grantor {
    mr_cold_rate_fn_t rate;
    void *ctx;
    uint64_t rates_version;
    mr_ms_t leading_since; /* 0: this instance does not lead */
    GHashTable *buckets;   /* by id of the database */
    mr_ms_t swept_at;      /* when unused buckets were last removed */
};

mr_cold_grantor_t *
mr_cold_grantor_create(mr_cold_rate_fn_t rate, void *ctx)
{
    mr_cold_grantor_t *grantor = MR_NEW(mr_cold_grantor_t);

    grantor->rate = rate;
    grantor->ctx = ctx;
    grantor->buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
    return grantor;
}

void
mr_cold_grantor_destroy(mr_cold_grantor_t *grantor)
{
    if (grantor != NULL) {
        g_hash_table_destroy(grantor->buckets);
        free(grantor);
    }
}

void
mr_cold_grantor_set_leading(mr_cold_grantor_t *grantor, mr_ms_t leading_since)
{
    if (leading_since != grantor->leading_since) {
        grantor->leading_since = leading_since;
        g_hash_table_remove_all(grantor->buckets);
    }
}

void
mr_cold_grantor_update_rates(mr_cold_grantor_t *grantor)
{
    grantor->rates_version++;
}

static mr_limit_amount_t
amount_of(int64_t rate)
{
    mr_limit_amount_t amount = {.rate = rate * MR_COLD_GRANT_PERCENT / 100};

    amount.burst = amount.rate / BURST_DIVISOR;
    if (amount.burst < MR_TOKEN_MILLI) {
        amount.burst = MR_TOKEN_MILLI;
    }
    return amount;
}

static gboolean
is_unused(gpointer id, gpointer value, gpointer ctx)
{
    bucket_t *bucket = value;
    mr_ms_t now = *(const mr_ms_t *)ctx;

    (void)id;
    /* A full bucket equals one that is created again. */
    return now - bucket->used_at >= FORGET_MS
           && mr_bucket_level(&bucket->tokens, now)
                  >= bucket->tokens.amount.burst;
}

/* Returns the bucket of @id, or NULL if it has no rate. A new one contains
 * what it would if it had been created when the leadership began, as no token
 * has been granted since. */
static bucket_t *
get_bucket(mr_cold_grantor_t *grantor, const char *id, mr_ms_t now)
{
    bucket_t *bucket = g_hash_table_lookup(grantor->buckets, id);

    if (bucket != NULL && bucket->rates_version == grantor->rates_version) {
        return bucket;
    }
    mr_limit_amount_t amount = amount_of(grantor->rate(grantor->ctx, id));
    if (amount.rate == 0) {
        return NULL;
    }
    if (bucket == NULL) {
        bucket = MR_NEW(bucket_t);
        mr_bucket_init(&bucket->tokens, amount, grantor->leading_since,
                       INT64_MAX);
        g_hash_table_insert(grantor->buckets, mr_strdup(id), bucket);
    }
    else {
        mr_bucket_change(&bucket->tokens, amount, now, INT64_MAX);
    }
    bucket->rates_version = grantor->rates_version;
    return bucket;
}

int64_t
mr_cold_grantor_grant(mr_cold_grantor_t *grantor, const char *id,
                      int64_t count, mr_ms_t now)
{
    if (grantor->leading_since == 0
        || now - grantor->leading_since < MR_COLD_TOKEN_MS || count <= 0) {
        return 0;
    }
    if (now - grantor->swept_at >= FORGET_MS) {
        g_hash_table_foreach_remove(grantor->buckets, is_unused, &now);
        grantor->swept_at = now;
    }
    bucket_t *bucket = get_bucket(grantor, id, now);
    if (bucket == NULL) {
        return 0;
    }
    bucket->used_at = now;
    int64_t whole = mr_bucket_level(&bucket->tokens, now) / MR_TOKEN_MILLI;
    if (whole > count) {
        whole = count;
    }
    mr_bucket_take(&bucket->tokens, whole * MR_TOKEN_MILLI, now);
    return whole;
}

/** Tokens of one grant. */
typedef struct batch {
    int64_t count;
    mr_ms_t expiry;
} batch_t;

/** Tokens of one database. */
typedef struct stock {
    batch_t batches[BATCHES];
    mr_list_t waits; /* those that have waited longest first */
    int64_t waiting; /* length of @waits */
} stock_t;

struct mr_cold_wait {
    mr_list_t link;
    stock_t *stock;
};

struct mr_cold_tokens {
    GHashTable *stocks; /* by id of the database */
};

mr_cold_tokens_t *
mr_cold_tokens_create(void)
{
    mr_cold_tokens_t *tokens = MR_NEW(mr_cold_tokens_t);

    tokens->stocks =
        g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
    return tokens;
}

void
mr_cold_tokens_destroy(mr_cold_tokens_t *tokens)
{
    if (tokens != NULL) {
        g_hash_table_destroy(tokens->stocks);
        free(tokens);
    }
}

static stock_t *
get_stock(mr_cold_tokens_t *tokens, const char *id)
{
    stock_t *stock = g_hash_table_lookup(tokens->stocks, id);

    if (stock == NULL) {
        stock = MR_NEW(stock_t);
        mr_list_init(&stock->waits);
        g_hash_table_insert(tokens->stocks, mr_strdup(id), stock);
    }
    return stock;
}

void
mr_cold_tokens_add(mr_cold_tokens_t *tokens, const mr_msg_cold_count_t *grant,
                   mr_ms_t asked_at)
{
    if (grant->count <= 0) {
        return;
    }
    stock_t *stock = get_stock(tokens, grant->id);
    batch_t *replaced = &stock->batches[0];
    for (size_t i = 1; i < BATCHES; i++) {
        batch_t *batch = &stock->batches[i];
        if (replaced->count > 0
            && (batch->count == 0 || batch->expiry < replaced->expiry)) {
            replaced = batch;
        }
    }
    *replaced = (batch_t){grant->count, asked_at + MR_COLD_TOKEN_MS};
}

bool
mr_cold_tokens_take(mr_cold_tokens_t *tokens, const char *id, mr_ms_t now)
{
    stock_t *stock = g_hash_table_lookup(tokens->stocks, id);
    batch_t *first = NULL; /* to lapse */

    for (size_t i = 0; stock != NULL && i < BATCHES; i++) {
        batch_t *batch = &stock->batches[i];
        if (batch->count > 0 && now < batch->expiry
            && (first == NULL || batch->expiry < first->expiry)) {
            first = batch;
        }
    }
    if (first != NULL) {
        first->count--;
    }
    return first != NULL;
}

mr_cold_wait_t *
mr_cold_tokens_begin_wait(mr_cold_tokens_t *tokens, const char *id)
{
    mr_cold_wait_t *wait = MR_NEW(mr_cold_wait_t);

    wait->stock = get_stock(tokens, id);
    wait->stock->waiting++;
    mr_list_append(&wait->stock->waits, &wait->link);
    return wait;
}

void
mr_cold_tokens_end_wait(mr_cold_wait_t *wait)
{
    assert(wait->stock->waiting > 0);
    wait->stock->waiting--;
    mr_list_remove(&wait->link);
    free(wait);
}

static int64_t
count_valid(const stock_t *stock, mr_ms_t now)
{
    int64_t count = 0;

    for (size_t i = 0; i < BATCHES; i++) {
        if (now < stock->batches[i].expiry) {
            count += stock->batches[i].count;
        }
    }
    return count;
}

bool
mr_cold_tokens_reaches(const mr_cold_wait_t *wait, mr_ms_t now)
{
    int64_t left = count_valid(wait->stock, now);

    MR_LIST_FOREACH(it, &wait->stock->waits)
    {
        if (left-- <= 0) {
            return false;
        }
        if (it == &wait->link) {
            return true;
        }
    }
    return false;
}

size_t
mr_cold_tokens_requests(mr_cold_tokens_t *tokens, mr_msg_cold_count_t *out,
                        size_t max, mr_ms_t now)
{
    GHashTableIter it;
    gpointer id;
    gpointer value;
    size_t count = 0;

    g_hash_table_iter_init(&it, tokens->stocks);
    while (g_hash_table_iter_next(&it, &id, &value)) {
        const stock_t *stock = value;
        int64_t valid = count_valid(stock, now);
        int64_t lacking = stock->waiting - valid;
        if (stock->waiting == 0 && valid == 0) {
            g_hash_table_iter_remove(&it);
        }
        else if (lacking > 0 && count < max) {
            out[count++] = (mr_msg_cold_count_t){
                id,
                lacking < MR_COLD_WANTED_MAX ? lacking : MR_COLD_WANTED_MAX};
        }
    }
    return count;
}

bool
mr_cold_ramp_offers(int *credit, mr_ms_t cold_ended, mr_ms_t now)
{
    mr_ms_t elapsed = now - cold_ended;

    if (cold_ended == 0 || elapsed >= RAMP_MS) {
        return true;
    }
    *credit += elapsed > 0 ? (int)(elapsed * RAMP_UNIT / RAMP_MS) : 0;
    if (*credit < RAMP_UNIT) {
        return false;
    }
    *credit -= RAMP_UNIT;
    return true;
}
