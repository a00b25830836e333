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
    /* A drain waits at most this long until the grants in force are written
     * to the store; then it releases the leases. */
    DRAIN_MS = 200,
    TICK_MS = 20,
    LEASE_TICK_MS = 100,
    RANKED_MAX = 64, /* ranked members per shard */
    /* This many members, the first in rendezvous order, access a shard's row.
     * Normally they are the owner and its successors. */
    WATCHERS = MR_LEASE_SUCCESSORS_MAX + 1,
    PROMISE_TIMEOUT_MS = 400,
    KEY_MAX = 160,
};

typedef struct shard shard_t;

/* An account of a shard whose lease this instance holds. */
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
    mr_list_t accounts;       /* empty unless the lease is owned */
    int64_t accounts_version; /* configuration version of @accounts; 0: none */
    bool used;                /* has accounts in the configuration */
    bool owned;               /* the row names this process as the owner */
    bool held;                /* grants may be issued; as of the last tick */
    struct row_call *call;
    /* Usable members in rendezvous order, as of @generation of the member
     * list. */
    const mr_member_t *ranked[RANKED_MAX];
    size_t ranked_count;
    uint64_t generation;
};

/* A read or write of a row. May outlive the account that started it. */
typedef struct row_call {
    mr_list_t link;
    shard_t *shard;
    account_t *account; /* NULL: lease row, or the account was removed */
    bool is_share;      /* a row share/{account}; otherwise a lease row */
    bool is_write;
} row_call_t;

/* A request for a successor's promise not to take over. */
typedef struct promise_call {
    mr_list_t link;
    shard_t *shard;
    mr_peer_call_t *call;
    char name[MR_LEASE_NAME_MAX];
    mr_ms_t sent_at;
} promise_call_t;

struct mr_limiter {
    mr_limit_options_t options;
    char *name;
    char *data_centre;
    int64_t process;
    int64_t version;    /* of the configuration that shards' @used reflects */
    bool draining;      /* no more grants are issued */
    mr_ms_t release_by; /* a drain releases the leases at the latest then */
    shard_t shards[MR_LIMITER_SHARDS];
    mr_list_t row_calls;
    mr_list_t promise_calls;
    struct event *timer;
    mr_ms_t lease_tick_at;         /* last time the leases were planned */
    char owner[MR_LEASE_NAME_MAX]; /* storage for the owner in replies */
    mr_counter_t *leases;
    mr_counter_t *takeovers;
    mr_counter_t *grants;
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
limiter_now(const mr_limiter_t *limiter)
{
    return mr_clock_now(limiter->options.clock);
}

static row_call_t *
start_call(shard_t *shard, account_t *account, bool is_share, bool is_write)
{
    row_call_t *call = MR_NEW(row_call_t);

    call->shard = shard;
    call->account = account;
    call->is_share = is_share;
    call->is_write = is_write;
    mr_list_append(&shard->limiter->row_calls, &call->link);
    if (is_write) {
        mr_counter_add(shard->limiter->writes, 1);
    }
    return call;
}

static mr_row_result_t
row_write_result(mr_limiter_t *limiter, mr_error_kind_t error)
{
    if (error == MR_OK) {
        return MR_ROW_WRITTEN;
    }
    if (error == MR_ERR_CONFLICT) {
        return MR_ROW_CONFLICT;
    }
    mr_counter_add(limiter->unknown_writes, 1);
    return MR_ROW_UNKNOWN;
}

static void
destroy_account(account_t *account)
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
destroy_accounts(shard_t *shard)
{
    while (!mr_list_empty(&shard->accounts)) {
        destroy_account(MR_LIST_ENTRY(shard->accounts.next, account_t, link));
    }
    shard->accounts_version = 0;
}

static void
on_share_row(row_call_t *call, mr_error_kind_t error, int64_t revision,
             json_t *value)
{
    mr_limiter_t *limiter = call->shard->limiter;
    mr_limiter_account_t *state = call->account->state;
    mr_ms_t now = limiter_now(limiter);
    mr_share_row_t row = {0};

    call->account->call = NULL;
    if (call->is_write) {
        mr_limiter_account_written(state, row_write_result(limiter, error),
                                   revision, now);
        return;
    }
    bool valid =
        error == MR_ERR_NOT_FOUND
        || (error == MR_OK && mr_share_row_parse(value, revision, &row));
    mr_limiter_account_read(state, valid ? &row : NULL, now);
}

static void
on_lease_row(row_call_t *call, mr_error_kind_t error, int64_t revision,
             json_t *value)
{
    shard_t *shard = call->shard;
    mr_ms_t now = limiter_now(shard->limiter);
    mr_lease_row_t row = {0};

    shard->call = NULL;
    if (call->is_write) {
        mr_lease_written(shard->lease, row_write_result(shard->limiter, error),
                         revision, now);
        return;
    }
    bool valid =
        error == MR_ERR_NOT_FOUND
        || (error == MR_OK && mr_lease_row_parse(value, revision, &row));
    mr_lease_read(shard->lease, valid ? &row : NULL, now);
}

static void
on_row(void *ctx, mr_error_kind_t error, int64_t revision, json_t *value)
{
    row_call_t *call = ctx;

    mr_list_remove(&call->link);
    if (call->is_share) {
        if (call->account != NULL) {
            on_share_row(call, error, revision, value);
        }
    }
    else {
        on_lease_row(call, error, revision, value);
    }
    free(call);
}

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
    mr_row_action_t action =
        mr_limiter_account_plan(account->state, now, &row);

    if (action == MR_ROW_NONE) {
        return;
    }
    name = mr_asprintf("share/%s", account->name);
    account->call = start_call(shard, account, true, action == MR_ROW_WRITE);
    if (action == MR_ROW_WRITE) {
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

/* Updates the accounts of an owned shard to the configuration. */
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
    /* The entry of a removed account is no longer renewed, so it expires. */
    MR_LIST_FOREACH(it, &shard->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        if (!account->configured) {
            destroy_account(account);
        }
    }
}

static void
on_promise_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    promise_call_t *call = ctx;

    if (error == MR_OK && reply->type == MR_MSG_LEASE_PROMISE_REPLY) {
        mr_lease_promise_received(call->shard->lease, call->name,
                                  call->sent_at,
                                  reply->u.lease_promise_reply.promised_ms);
    }
    mr_list_remove(&call->link);
    free(call);
}

static void
request_promises(shard_t *shard, mr_ms_t now)
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
        call->sent_at = now;
        snprintf(call->name, sizeof(call->name), "%s", name);
        mr_list_append(&limiter->promise_calls, &call->link);
        msg.u.lease_promise.shard = index;
        msg.u.lease_promise.epoch = mr_lease_epoch(shard->lease);
        call->call = mr_peer_call(limiter->options.peer, member->address, &msg,
                                  PROMISE_TIMEOUT_MS, on_promise_reply, call);
    }
}

/* Marks the shards that have accounts in the configuration. */
static void
update_used_shards(mr_limiter_t *limiter, const mr_config_t *config)
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

/* Whether a drain can release the lease: the grants in force are recorded, or
 * the time for that is over. */
static bool
can_release(const shard_t *shard, mr_ms_t now)
{
    const mr_limiter_t *limiter = shard->limiter;
    bool stopped = true;

    MR_LIST_FOREACH(it, &shard->accounts)
    {
        const account_t *account = MR_LIST_ENTRY(it, account_t, link);
        stopped = stopped && mr_limiter_account_stopped(account->state);
    }
    return limiter->draining && (stopped || now >= limiter->release_by);
}

/* Ranks the members only when the member list has changed. Ranking 325 members
 * takes 61 us; for 16 shards ten times a second this would use 1 % of a core.
 */
static void
rank_members(shard_t *shard)
{
    const mr_limiter_t *limiter = shard->limiter;
    uint64_t generation = mr_members_generation(limiter->options.members);

    if (shard->ranked_count == 0 || shard->generation != generation) {
        shard->generation = generation;
        shard->ranked_count =
            mr_members_usable(limiter->options.members, shard->row,
                              limiter->data_centre, shard->ranked, RANKED_MAX);
    }
}

static void
plan_lease(shard_t *shard, mr_ms_t now)
{
    mr_limiter_t *limiter = shard->limiter;
    const char *names[RANKED_MAX];
    mr_lease_row_t row;
    bool is_watcher = shard->owned;

    rank_members(shard);
    size_t count = shard->ranked_count;
    for (size_t i = 0; i < count; i++) {
        names[i] = shard->ranked[i]->name;
        is_watcher = is_watcher
                     || (i < WATCHERS && strcmp(names[i], limiter->name) == 0);
    }
    if (!is_watcher && !mr_lease_is_successor(shard->lease)) {
        return;
    }
    if (!shard->owned && !shard->used) {
        return;
    }
    mr_row_action_t action = mr_lease_plan(shard->lease, names, count,
                                           can_release(shard, now), now, &row);
    if (action == MR_ROW_NONE) {
        return;
    }
    shard->call = start_call(shard, NULL, false, action == MR_ROW_WRITE);
    if (action == MR_ROW_WRITE) {
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
update_lease_state(shard_t *shard, mr_ms_t now)
{
    mr_limiter_t *limiter = shard->limiter;
    bool owned = mr_lease_epoch(shard->lease) != 0;
    bool held = mr_lease_held(shard->lease, now);

    if (owned && !shard->owned) {
        mr_counter_add(limiter->takeovers, 1);
    }
    if (!owned) {
        destroy_accounts(shard);
    }
    shard->owned = owned;
    if (held == shard->held) {
        return;
    }
    shard->held = held;
    mr_counter_add(limiter->leases, held ? 1 : -1);
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
    mr_ms_t now = limiter_now(limiter);
    bool lease_tick =
        limiter->draining || now - limiter->lease_tick_at >= LEASE_TICK_MS;

    (void)fd;
    (void)events;
    if (config == NULL) {
        return;
    }
    update_used_shards(limiter, config);
    if (lease_tick) {
        limiter->lease_tick_at = now;
    }
    for (size_t i = 0; i < MR_LIMITER_SHARDS; i++) {
        shard_t *shard = &limiter->shards[i];
        if (lease_tick) {
            plan_lease(shard, now);
            request_promises(shard, now);
        }
        update_lease_state(shard, now);
        if (!shard->held) {
            continue;
        }
        if (shard->accounts_version != config->version) {
            sync_accounts(shard, config);
            shard->accounts_version = config->version;
        }
        MR_LIST_FOREACH(it, &shard->accounts)
        {
            plan_share(MR_LIST_ENTRY(it, account_t, link), now);
        }
    }
}

void
mr_limiter_handle_request(mr_limiter_t *limiter, const char *account,
                          const mr_grant_request_t *request,
                          mr_msg_grant_item_t *items,
                          mr_msg_grant_reply_t *reply)
{
    shard_t *shard = &limiter->shards[mr_limiter_shard(account)];
    account_t *found = find_account(shard, account);
    mr_ms_t now = limiter_now(limiter);
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
        found->state, request, now, items, &refused);
    if (refused) {
        reply->error = MR_ERR_RATE_LIMITED;
    }
    mr_counter_add(limiter->grants, (int64_t)reply->grant_count);
}

static void
on_grant_request(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
                 const char *from)
{
    const mr_msg_grant_t *in = &msg->u.grant;
    mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];
    mr_msg_t reply = {.type = MR_MSG_GRANT_REPLY};
    mr_grant_request_t grant_request = {
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
    mr_limiter_handle_request(ctx, in->account, &grant_request, items,
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
                                        limiter_now(limiter));
    }
}

static void
on_grant_return(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
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
            limiter->shards[shard].lease, in->epoch, limiter_now(limiter));
    }
    mr_peer_reply(request, &reply);
}

static void
create_counters(mr_limiter_t *limiter)
{
    mr_counters_t *counters = limiter->options.counters;

    limiter->leases =
        mr_counters_get(counters, "masticrelay_limiter_leases", "",
                        "shards whose limiter this instance is");
    limiter->takeovers =
        mr_counters_get(counters, "masticrelay_limiter_takeovers_total", "",
                        "leases taken by this instance");
    limiter->grants =
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
    mr_peer_handle(options->peer, MR_MSG_GRANT, on_grant_request, limiter);
    mr_peer_handle(options->peer, MR_MSG_GRANT_RETURN, on_grant_return,
                   limiter);
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
        destroy_accounts(&limiter->shards[i]);
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
    mr_ms_t now = limiter_now(limiter);

    limiter->draining = true;
    limiter->release_by = now + DRAIN_MS;
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
    mr_ms_t now = limiter_now(limiter);

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
