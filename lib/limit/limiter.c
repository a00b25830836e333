#include "limit/limiter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "limit/lease.h"
#include "limit/limiter_account.h"

enum {
    /* For notes of the grants in force, before leases are released. */
    DRAIN_MS = 200,
    TICK_MS = 20,
    LEASE_TICK_MS = 100,
    ORDER_MAX = 64,
    /* The owner and its successors watch a shard's row. */
    WATCHERS = MR_LEASE_SUCCESSORS_MAX + 1,
    PROMISE_TIMEOUT_MS = 400,
    KEY_MAX = 160,
};

typedef struct shard shard_t;

/* An account of a held shard. */
typedef struct account {
    mr_list_t link;
    shard_t *shard;
    char *name;
    mr_limiter_account_t *state;
    struct row_call *call;
    bool configured; /* in the configuration in force */
} account_t;

struct shard {
    mr_limiter_t *limiter;
    unsigned index;
    char row[KEY_MAX];
    mr_lease_t *lease;
    mr_list_t accounts; /* while the lease is owned */
    int64_t synced;     /* configuration version of the accounts; 0: none */
    bool used;          /* has accounts in the configuration */
    bool owned;
    bool held; /* as last logged */
    struct row_call *call;
    /* Usable members in rendezvous order; valid for one generation. */
    const mr_member_t *ranked[ORDER_MAX];
    size_t ranked_count;
    uint64_t generation;
};

/* A read or write of a row; outlives the account that asked for it. */
typedef struct row_call {
    mr_list_t link;
    shard_t *shard;
    account_t *account; /* of a share; NULL: a lease, or gone */
    bool share;
    bool write;
} row_call_t;

/* A promise that was asked for. */
typedef struct promise_call {
    mr_list_t link;
    shard_t *shard;
    mr_peer_call_t *call;
    char name[MR_LEASE_NAME_MAX];
    mr_ms_t sent;
} promise_call_t;

struct mr_limiter {
    mr_limit_options_t options;
    char *name;
    char *data_centre;
    int64_t process;
    int64_t version;    /* of the configuration that was noted */
    bool draining;      /* no more grants are given */
    mr_ms_t drained_at; /* when the leases are released at the latest */
    shard_t shards[MR_LIMITER_SHARDS];
    mr_list_t row_calls;
    mr_list_t promise_calls;
    struct event *timer;
    mr_ms_t leases_at;
    char owner[MR_LEASE_NAME_MAX]; /* in the last reply */
    mr_counter_t *held;
    mr_counter_t *takeovers;
    mr_counter_t *granted;
    mr_counter_t *writes;
    mr_counter_t *unknown_writes;
};

unsigned
mr_limiter_shard(const char *account)
{
    return (unsigned)(XXH3_64bits(account, strlen(account))
                      % MR_LIMITER_SHARDS);
}

void
mr_limiter_shard_key(const char *data_centre, unsigned shard, char *key,
                     size_t len)
{
    snprintf(key, len, "limiter/%s/%u", data_centre, shard);
}

static mr_ms_t
now_of(const mr_limiter_t *limiter)
{
    return mr_clock_now(limiter->options.clock);
}

static row_call_t *
start_call(shard_t *shard, account_t *account, bool share, bool write)
{
    row_call_t *call = MR_NEW(row_call_t);

    call->shard = shard;
    call->account = account;
    call->share = share;
    call->write = write;
    mr_list_append(&shard->limiter->row_calls, &call->link);
    if (write) {
        mr_counter_add(shard->limiter->writes, 1);
    }
    return call;
}

static mr_share_result_t
write_result(mr_limiter_t *limiter, mr_error_kind_t error)
{
    if (error == MR_OK) {
        return MR_SHARE_WRITTEN;
    }
    if (error == MR_ERR_CONFLICT) {
        return MR_SHARE_REFUSED;
    }
    mr_counter_add(limiter->unknown_writes, 1);
    return MR_SHARE_UNKNOWN;
}

static void
drop_account(account_t *account)
{
    if (account->call != NULL) {
        account->call->account = NULL;
    }
    mr_list_remove(&account->link);
    mr_limiter_account_destroy(account->state);
    free(account->name);
    free(account);
}

static void
drop_accounts(shard_t *shard)
{
    while (!mr_list_empty(&shard->accounts)) {
        drop_account(MR_LIST_ENTRY(shard->accounts.next, account_t, link));
    }
    shard->synced = 0;
}

static void
on_share_row(row_call_t *call, mr_error_kind_t error, int64_t revision,
             json_t *value)
{
    mr_limiter_t *limiter = call->shard->limiter;
    mr_limiter_account_t *state = call->account->state;
    mr_ms_t now = now_of(limiter);
    mr_share_row_t row = {0};

    call->account->call = NULL;
    if (call->write) {
        mr_limiter_account_written(state, write_result(limiter, error),
                                   revision, now);
        return;
    }
    bool good =
        error == MR_ERR_NOT_FOUND
        || (error == MR_OK && mr_share_row_parse(value, revision, &row));
    mr_limiter_account_read(state, good ? &row : NULL, now);
}

static void
on_lease_row(row_call_t *call, mr_error_kind_t error, int64_t revision,
             json_t *value)
{
    shard_t *shard = call->shard;
    mr_ms_t now = now_of(shard->limiter);
    mr_lease_row_t row = {0};

    shard->call = NULL;
    if (call->write) {
        mr_lease_written(shard->lease, write_result(shard->limiter, error),
                         revision, now);
        return;
    }
    bool good =
        error == MR_ERR_NOT_FOUND
        || (error == MR_OK && mr_lease_row_parse(value, revision, &row));
    mr_lease_read(shard->lease, good ? &row : NULL, now);
}

static void
on_row(void *ctx, mr_error_kind_t error, int64_t revision, json_t *value)
{
    row_call_t *call = ctx;

    mr_list_remove(&call->link);
    if (call->share) {
        if (call->account != NULL) {
            on_share_row(call, error, revision, value);
        }
    }
    else {
        on_lease_row(call, error, revision, value);
    }
    free(call);
}

/* The account of a shard that this instance owns, created on demand. */
static account_t *
find_account(shard_t *shard, const char *name)
{
    MR_LIST_FOREACH(it, &shard->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        if (strcmp(account->name, name) == 0) {
            return account;
        }
    }
    return NULL;
}

static void
plan_share(account_t *account, mr_ms_t now)
{
    shard_t *shard = account->shard;
    char *name;
    mr_share_row_t row;
    mr_share_action_t action =
        mr_limiter_account_plan(account->state, now, &row);

    if (action == MR_SHARE_NONE) {
        return;
    }
    name = mr_asprintf("share/%s", account->name);
    account->call = start_call(shard, account, true, action == MR_SHARE_WRITE);
    if (action == MR_SHARE_WRITE) {
        json_t *value = mr_share_row_format(&row);
        mr_platform_row_put(shard->limiter->options.platform, name,
                            row.revision, value, on_row, account->call);
        json_decref(value);
    }
    else {
        mr_platform_row_get(shard->limiter->options.platform, name, on_row,
                            account->call);
    }
    free(name);
}

/* Bring the accounts of an owned shard in line with the configuration. */
static void
sync_accounts(shard_t *shard, const mr_config_t *config)
{
    MR_LIST_FOREACH(it, &shard->accounts)
    {
        MR_LIST_ENTRY(it, account_t, link)->configured = false;
    }
    for (size_t i = 0; i < config->account_count; i++) {
        const mr_config_account_t *source = &config->accounts[i];
        if (mr_limiter_shard(source->name) != shard->index) {
            continue;
        }
        account_t *account = find_account(shard, source->name);
        if (account == NULL) {
            account = MR_NEW(account_t);
            account->shard = shard;
            account->name = mr_strdup(source->name);
            account->state = mr_limiter_account_create(
                shard->limiter->data_centre, mr_lease_epoch(shard->lease),
                mr_lease_acquired_at(shard->lease));
            mr_list_append(&shard->accounts, &account->link);
        }
        account->configured = true;
        mr_limit_amount_t limit = {source->rate * MR_TOKEN_MILLI,
                                   source->burst * MR_TOKEN_MILLI};
        mr_limiter_account_configure(account->state, config->version, limit);
    }
    /* A removed account has no limit any more; its entry lapses by itself. */
    MR_LIST_FOREACH(it, &shard->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        if (!account->configured) {
            drop_account(account);
        }
    }
}

static void
on_promise(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    promise_call_t *call = ctx;

    if (error == MR_OK && reply->type == MR_MSG_LEASE_PROMISE_REPLY) {
        mr_lease_promise_received(call->shard->lease, call->name, call->sent,
                                  reply->u.lease_promise_reply.promised_ms);
    }
    mr_list_remove(&call->link);
    free(call);
}

static void
ask_promises(shard_t *shard, mr_ms_t now)
{
    mr_limiter_t *limiter = shard->limiter;
    const char *name;
    char index[16];

    snprintf(index, sizeof(index), "%u", shard->index);
    while ((name = mr_lease_promise_due(shard->lease, now)) != NULL) {
        const mr_member_t *member =
            mr_members_find(limiter->options.members, name);
        mr_msg_t msg = {.type = MR_MSG_LEASE_PROMISE};
        if (member == NULL) {
            continue;
        }
        promise_call_t *call = MR_NEW(promise_call_t);
        call->shard = shard;
        call->sent = now;
        snprintf(call->name, sizeof(call->name), "%s", name);
        mr_list_append(&limiter->promise_calls, &call->link);
        msg.u.lease_promise.shard = index;
        msg.u.lease_promise.epoch = mr_lease_epoch(shard->lease);
        call->call = mr_peer_call(limiter->options.peer, member->address, &msg,
                                  PROMISE_TIMEOUT_MS, on_promise, call);
    }
}

/* Which shards have accounts. */
static void
note_config(mr_limiter_t *limiter, const mr_config_t *config)
{
    if (limiter->version == config->version) {
        return;
    }
    limiter->version = config->version;
    for (size_t i = 0; i < MR_LIMITER_SHARDS; i++) {
        limiter->shards[i].used = false;
    }
    for (size_t i = 0; i < config->account_count; i++) {
        unsigned shard = mr_limiter_shard(config->accounts[i].name);
        limiter->shards[shard].used = true;
    }
}

/* Whether a drain has come so far that the lease can be released. */
static bool
may_release(const shard_t *shard, mr_ms_t now)
{
    const mr_limiter_t *limiter = shard->limiter;
    bool stopped = true;

    MR_LIST_FOREACH(it, &shard->accounts)
    {
        const account_t *account = MR_LIST_ENTRY(it, account_t, link);
        stopped = stopped && mr_limiter_account_stopped(account->state);
    }
    return limiter->draining && (stopped || now >= limiter->drained_at);
}

/* Ranking 325 members takes 61 us; done for 16 shards ten times a second, it
 * would take 1 % of a core. */
static void
rank_members(shard_t *shard)
{
    const mr_limiter_t *limiter = shard->limiter;
    uint64_t generation = mr_members_generation(limiter->options.members);

    if (shard->ranked_count == 0 || shard->generation != generation) {
        shard->generation = generation;
        shard->ranked_count =
            mr_members_usable(limiter->options.members, shard->row,
                              limiter->data_centre, shard->ranked, ORDER_MAX);
    }
}

static void
plan_lease(shard_t *shard, mr_ms_t now)
{
    mr_limiter_t *limiter = shard->limiter;
    const char *order[ORDER_MAX];
    mr_lease_row_t row;
    bool watched = shard->owned;

    rank_members(shard);
    size_t count = shard->ranked_count;
    for (size_t i = 0; i < count; i++) {
        order[i] = shard->ranked[i]->name;
        watched =
            watched || (i < WATCHERS && strcmp(order[i], limiter->name) == 0);
    }
    if (!watched && !mr_lease_is_successor(shard->lease)) {
        return;
    }
    if (!shard->owned && !shard->used) {
        return;
    }
    mr_share_action_t action = mr_lease_plan(
        shard->lease, order, count, may_release(shard, now), now, &row);
    if (action == MR_SHARE_NONE) {
        return;
    }
    shard->call = start_call(shard, NULL, false, action == MR_SHARE_WRITE);
    if (action == MR_SHARE_WRITE) {
        json_t *value = mr_lease_row_format(&row);
        mr_platform_row_put(limiter->options.platform, shard->row,
                            row.revision, value, on_row, shard->call);
        json_decref(value);
    }
    else {
        mr_platform_row_get(limiter->options.platform, shard->row, on_row,
                            shard->call);
    }
}

static void
note_state(shard_t *shard, mr_ms_t now)
{
    mr_limiter_t *limiter = shard->limiter;
    bool owned = mr_lease_epoch(shard->lease) != 0;
    bool held = mr_lease_held(shard->lease, now);

    if (owned && !shard->owned) {
        mr_counter_add(limiter->takeovers, 1);
    }
    if (!owned) {
        drop_accounts(shard);
    }
    shard->owned = owned;
    if (held == shard->held) {
        return;
    }
    shard->held = held;
    mr_counter_add(limiter->held, held ? 1 : -1);
    mr_log(MR_LOG_INFO,
           held ? MR_EVENT_LIMITER_LEASE_HELD : MR_EVENT_LIMITER_LEASE_LOST,
           "shard=%u epoch=%lld owner=%s", shard->index,
           (long long)mr_lease_epoch(shard->lease),
           mr_lease_owner(shard->lease));
}

static void
on_tick(evutil_socket_t fd, short events, void *arg)
{
    mr_limiter_t *limiter = arg;
    const mr_config_t *config =
        mr_config_store_current(limiter->options.config);
    mr_ms_t now = now_of(limiter);
    bool leases =
        limiter->draining || now - limiter->leases_at >= LEASE_TICK_MS;

    (void)fd;
    (void)events;
    if (config == NULL) {
        return;
    }
    note_config(limiter, config);
    if (leases) {
        limiter->leases_at = now;
    }
    for (size_t i = 0; i < MR_LIMITER_SHARDS; i++) {
        shard_t *shard = &limiter->shards[i];
        if (leases) {
            plan_lease(shard, now);
            ask_promises(shard, now);
        }
        note_state(shard, now);
        if (!shard->held) {
            continue;
        }
        if (shard->synced != config->version) {
            sync_accounts(shard, config);
            shard->synced = config->version;
        }
        MR_LIST_FOREACH(it, &shard->accounts)
        {
            plan_share(MR_LIST_ENTRY(it, account_t, link), now);
        }
    }
}

void
mr_limiter_handle_request(mr_limiter_t *limiter, const char *account,
                          const mr_grant_ask_t *ask,
                          mr_msg_grant_item_t *items,
                          mr_msg_grant_reply_t *reply)
{
    shard_t *shard = &limiter->shards[mr_limiter_shard(account)];
    account_t *found = find_account(shard, account);
    mr_ms_t now = now_of(limiter);
    bool refused = false;

    reply->grants = items;
    reply->grant_count = 0;
    reply->owner = limiter->owner;
    reply->error = MR_OK;
    if (limiter->draining || !mr_lease_held(shard->lease, now)) {
        const char *owner = mr_lease_owner(shard->lease);
        bool own = strcmp(owner, limiter->name) == 0;
        snprintf(limiter->owner, sizeof(limiter->owner), "%s",
                 own ? "" : owner);
        reply->error = MR_ERR_WRONG_OWNER;
        return;
    }
    snprintf(limiter->owner, sizeof(limiter->owner), "%s", limiter->name);
    if (found == NULL) {
        return;
    }
    reply->grant_count = mr_limiter_account_handle_request(
        found->state, ask, now, items, &refused);
    if (refused) {
        reply->error = MR_ERR_RATE_LIMITED;
    }
    mr_counter_add(limiter->granted, (int64_t)reply->grant_count);
}

static void
on_grant(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
         const char *from)
{
    const mr_msg_grant_t *in = &msg->u.grant;
    mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];
    mr_msg_t reply = {.type = MR_MSG_GRANT_REPLY};
    mr_grant_ask_t ask = {
        .instance = from,
        .process = in->process,
        .demand = in->demand_milli,
        .wanted = in->wanted,
        .held_long = in->held_long,
        .held = {in->held_rate_milli, in->held_burst_milli},
        .held_short = in->held_short,
        .tokens_only = in->tokens_only,
    };

    if (request == NULL) {
        return;
    }
    mr_limiter_handle_request(ctx, in->account, &ask, items,
                              &reply.u.grant_reply);
    mr_peer_reply(request, &reply);
}

void
mr_limiter_return_grant(mr_limiter_t *limiter, const char *account,
                        const char *instance, int64_t process, int64_t id)
{
    account_t *found =
        find_account(&limiter->shards[mr_limiter_shard(account)], account);

    if (found != NULL) {
        mr_limiter_account_return_grant(found->state, instance, process, id,
                                        now_of(limiter));
    }
}

static void
on_return(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
          const char *from)
{
    const mr_msg_grant_return_t *in = &msg->u.grant_return;

    (void)request;
    mr_limiter_return_grant(ctx, in->account, from, in->process, in->id);
}

static void
on_promise_request(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
                   const char *from)
{
    mr_limiter_t *limiter = ctx;
    const mr_msg_lease_promise_t *in = &msg->u.lease_promise;
    mr_msg_t reply = {.type = MR_MSG_LEASE_PROMISE_REPLY};
    long shard = strtol(in->shard, NULL, 10);

    (void)from;
    if (request == NULL) {
        return;
    }
    if (shard >= 0 && shard < MR_LIMITER_SHARDS) {
        reply.u.lease_promise_reply.promised_ms = mr_lease_make_promise(
            limiter->shards[shard].lease, in->epoch, now_of(limiter));
    }
    mr_peer_reply(request, &reply);
}

static void
create_counters(mr_limiter_t *limiter)
{
    mr_counters_t *counters = limiter->options.counters;

    limiter->held = mr_counters_get(counters, "masticrelay_limiter_leases", "",
                                    "shards whose limiter this instance is");
    limiter->takeovers =
        mr_counters_get(counters, "masticrelay_limiter_takeovers_total", "",
                        "leases taken by this instance");
    limiter->granted =
        mr_counters_get(counters, "masticrelay_limiter_grants_total", "",
                        "grants given to instances");
    limiter->writes =
        mr_counters_get(counters, "masticrelay_limiter_writes_total", "",
                        "conditional writes of rows");
    limiter->unknown_writes =
        mr_counters_get(counters, "masticrelay_limiter_unknown_writes_total",
                        "", "conditional writes whose outcome was unknown");
}

mr_limiter_t *
mr_limiter_create(const mr_limit_options_t *options, int64_t process)
{
    mr_limiter_t *limiter = MR_NEW(mr_limiter_t);
    struct timeval tv = mr_clock_timeval(TICK_MS);

    limiter->options = *options;
    limiter->name = mr_strdup(options->name);
    limiter->data_centre = mr_strdup(options->data_centre);
    limiter->process = process;
    mr_list_init(&limiter->row_calls);
    mr_list_init(&limiter->promise_calls);
    for (unsigned i = 0; i < MR_LIMITER_SHARDS; i++) {
        shard_t *shard = &limiter->shards[i];
        shard->limiter = limiter;
        shard->index = i;
        mr_limiter_shard_key(limiter->data_centre, i, shard->row,
                             sizeof(shard->row));
        shard->lease = mr_lease_create(limiter->name, process);
        mr_list_init(&shard->accounts);
    }
    create_counters(limiter);
    mr_peer_handle(options->peer, MR_MSG_GRANT, on_grant, limiter);
    mr_peer_handle(options->peer, MR_MSG_GRANT_RETURN, on_return, limiter);
    mr_peer_handle(options->peer, MR_MSG_LEASE_PROMISE, on_promise_request,
                   limiter);
    limiter->timer =
        event_new(options->base, -1, EV_PERSIST, on_tick, limiter);
    event_add(limiter->timer, &tv);
    return limiter;
}

void
mr_limiter_destroy(mr_limiter_t *limiter)
{
    mr_list_t *link;

    if (limiter == NULL) {
        return;
    }
    event_free(limiter->timer);
    mr_peer_handle(limiter->options.peer, MR_MSG_GRANT, NULL, NULL);
    mr_peer_handle(limiter->options.peer, MR_MSG_GRANT_RETURN, NULL, NULL);
    mr_peer_handle(limiter->options.peer, MR_MSG_LEASE_PROMISE, NULL, NULL);
    while ((link = mr_list_pop(&limiter->promise_calls)) != NULL) {
        promise_call_t *call = MR_LIST_ENTRY(link, promise_call_t, link);
        mr_peer_cancel(call->call);
        free(call);
    }
    for (size_t i = 0; i < MR_LIMITER_SHARDS; i++) {
        drop_accounts(&limiter->shards[i]);
        mr_lease_destroy(limiter->shards[i].lease);
    }
    while ((link = mr_list_pop(&limiter->row_calls)) != NULL) {
        row_call_t *call = MR_LIST_ENTRY(link, row_call_t, link);
        mr_platform_cancel(limiter->options.platform, call);
        free(call);
    }
    free(limiter->name);
    free(limiter->data_centre);
    free(limiter);
}

void
mr_limiter_drain(mr_limiter_t *limiter)
{
    mr_ms_t now = now_of(limiter);

    limiter->draining = true;
    limiter->drained_at = now + DRAIN_MS;
    for (size_t i = 0; i < MR_LIMITER_SHARDS; i++) {
        MR_LIST_FOREACH(it, &limiter->shards[i].accounts)
        {
            mr_limiter_account_stop(MR_LIST_ENTRY(it, account_t, link)->state,
                                    now);
        }
    }
    on_tick(-1, 0, limiter);
}

mr_limit_amount_t
mr_limiter_usable(const mr_limiter_t *limiter, const char *account)
{
    const shard_t *shard = &limiter->shards[mr_limiter_shard(account)];
    mr_ms_t now = now_of(limiter);

    MR_LIST_FOREACH(it, &shard->accounts)
    {
        const account_t *found = MR_LIST_ENTRY(it, account_t, link);
        if (strcmp(found->name, account) == 0
            && mr_lease_held(shard->lease, now)) {
            return mr_limiter_account_usable(found->state, now);
        }
    }
    return (mr_limit_amount_t){0};
}
