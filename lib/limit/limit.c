#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "limit/limit_internal.h"

enum {
    /* Timer interval while requests are held, and otherwise. */
    TICK_HELD_MS = 4,
    TICK_IDLE_MS = 50,
    REQUEST_TIMEOUT_MS = 200,
    CANDIDATES_MAX = 8,
    /* With at most this many accounts, an instance holds a base rate of each;
     * with more, only of those that it has served. */
    BASE_ACCOUNTS_MAX = 32,
};

/* A grant request that waits for its reply. */
typedef struct grant_call {
    mr_list_t link;
    mr_limit_account_t *account;
    mr_peer_call_t *call;
    mr_ms_t sent_at;
} grant_call_t;

mr_ms_t
mr_limit_now(const mr_limit_t *limit)
{
    return mr_clock_now(limit->options.clock);
}

static void
update_timer(mr_limit_t *limit)
{
    bool fast = limit->held_count > 0;
    struct timeval tv = mr_clock_timeval(fast ? TICK_HELD_MS : TICK_IDLE_MS);

    if (fast != limit->fast_tick) {
        limit->fast_tick = fast;
        event_add(limit->timer, &tv);
    }
}

/* Held requests. */

static void
destroy_wait(mr_limit_wait_t *wait)
{
    mr_list_remove(&wait->link);
    wait->account->wait_count--;
    wait->account->limit->held_count--;
    free(wait);
}

void
mr_limit_cancel(mr_limit_wait_t *wait)
{
    destroy_wait(wait);
}

static void
finish_wait(mr_limit_wait_t *wait, mr_error_kind_t error)
{
    mr_limit_account_t *account = wait->account;
    mr_limit_fn_t fn = wait->fn;
    void *ctx = wait->ctx;

    if (error == MR_OK) {
        account->admitted++;
        mr_counter_add(account->limit->admitted, 1);
    }
    else {
        account->refused++;
        mr_counter_add(account->limit->refused, 1);
    }
    destroy_wait(wait);
    fn(ctx, error);
}

void
mr_limit_serve_held(mr_limit_account_t *account, mr_ms_t refuse_until)
{
    while (!mr_list_empty(&account->waits)) {
        mr_limit_wait_t *wait =
            MR_LIST_ENTRY(account->waits.next, mr_limit_wait_t, link);
        mr_ms_t now = mr_limit_now(account->limit);
        if (mr_held_grants_admit(&account->local.grants, now)
            || mr_limit_remotes_admit(account, now)) {
            finish_wait(wait, MR_OK);
        }
        else if (wait->arrived_at <= refuse_until) {
            finish_wait(wait, MR_ERR_RATE_LIMITED);
        }
        else if (now - wait->arrived_at >= MR_LIMIT_HOLD_MS) {
            mr_counter_add(account->limit->refused_unanswered, 1);
            finish_wait(wait, MR_ERR_RATE_LIMITED);
        }
        else {
            return;
        }
    }
}

const mr_config_t *
mr_limit_config(const mr_limit_t *limit)
{
    return mr_config_store_current(limit->options.config);
}

void
mr_limit_send_return(mr_limit_account_t *account, const char *owner,
                     int64_t id)
{
    mr_limit_t *limit = account->limit;
    const mr_member_t *member = mr_members_find(limit->options.members, owner);

    if (member != NULL) {
        mr_msg_t msg = {.type = MR_MSG_GRANT_RETURN};
        msg.u.grant_return = (mr_msg_grant_return_t){
            .account = account->name, .id = id, .process = limit->process};
        mr_peer_send(limit->options.peer, member->address, &msg);
    }
}

/* Grant requests. */

static void
set_owner(mr_limit_shard_owner_t *shard_owner, const char *owner)
{
    if (shard_owner->owner == NULL || strcmp(shard_owner->owner, owner) != 0) {
        free(shard_owner->owner);
        shard_owner->owner = mr_strdup(owner);
    }
}

/* Selects the next candidate in rendezvous order, because the current one does
 * not answer or does not know the owner. */
static void
select_next_owner(mr_limit_t *limit, unsigned shard)
{
    mr_limit_shard_owner_t *shard_owner = &limit->shard_owners[shard];
    const mr_member_t *members[CANDIDATES_MAX];
    char key[160];
    size_t count;

    mr_limiter_shard_key(limit->data_centre, shard, key, sizeof(key));
    count = mr_members_usable(limit->options.members, key, limit->data_centre,
                              members, CANDIDATES_MAX);
    if (count == 0) {
        return;
    }
    set_owner(shard_owner, members[shard_owner->next_candidate % count]->name);
    shard_owner->next_candidate = (shard_owner->next_candidate + 1) % count;
}

static void
return_grant(mr_limit_account_t *account, int64_t id)
{
    mr_limit_t *limit = account->limit;
    const char *owner =
        limit->shard_owners[mr_limiter_shard(account->name)].owner;

    if (owner == NULL) {
        return;
    }
    if (strcmp(owner, limit->name) == 0) {
        mr_limiter_return_grant(limit->limiter, account->name, limit->name,
                                limit->process, id);
        return;
    }
    mr_limit_send_return(account, owner, id);
}

static void
return_spent(mr_limit_account_t *account, mr_ms_t now)
{
    int64_t id;

    while ((id = mr_held_grants_take_spent(&account->local.grants, now))
           != 0) {
        return_grant(account, id);
    }
    mr_limit_remotes_return_spent(account, now);
}

static void
handle_reply(mr_limit_account_t *account, const mr_msg_grant_reply_t *reply,
             mr_ms_t sent)
{
    unsigned shard = mr_limiter_shard(account->name);
    mr_limit_t *limit = account->limit;
    mr_ms_t refuse_until = INT64_MIN;

    if (reply == NULL || reply->owner[0] == '\0') {
        select_next_owner(limit, shard);
    }
    else {
        set_owner(&limit->shard_owners[shard], reply->owner);
    }
    return_spent(account, mr_limit_now(limit));
    mr_limit_local_reply(&account->local, reply ? reply->grants : NULL,
                         reply ? reply->grant_count : 0, sent,
                         mr_limit_now(limit));
    if (reply != NULL && reply->error == MR_ERR_RATE_LIMITED) {
        account->own_refused_sent_at = sent;
        /* The refusal is final once the limiters of all other data centres, if
         * there are any, have refused as well. */
        refuse_until = mr_limit_refused_until(account);
    }
    mr_limit_serve_held(account, refuse_until);
    mr_limit_remotes_request(account, true);
}

static void
on_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    grant_call_t *call = ctx;
    mr_limit_account_t *account = call->account;
    mr_ms_t sent = call->sent_at;
    bool valid = error == MR_OK && reply->type == MR_MSG_GRANT_REPLY;

    mr_list_remove(&call->link);
    free(call);
    if (!valid) {
        mr_counter_add(account->limit->request_failures, 1);
    }
    handle_reply(account, valid ? &reply->u.grant_reply : NULL, sent);
}

static void
send_request(mr_limit_account_t *account, const mr_grant_request_t *request,
             mr_ms_t now)
{
    mr_limit_t *limit = account->limit;
    mr_limit_shard_owner_t *shard_owner =
        &limit->shard_owners[mr_limiter_shard(account->name)];
    const mr_member_t *member;

    mr_counter_add(limit->requests_sent, 1);
    if (shard_owner->owner == NULL) {
        select_next_owner(limit, mr_limiter_shard(account->name));
    }
    if (shard_owner->owner != NULL
        && strcmp(shard_owner->owner, limit->name) == 0) {
        mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];
        mr_msg_grant_reply_t reply;
        mr_limiter_handle_request(limit->limiter, account->name, request,
                                  items, &reply);
        handle_reply(account, &reply, now);
        return;
    }
    member = shard_owner->owner == NULL
                 ? NULL
                 : mr_members_find(limit->options.members, shard_owner->owner);
    if (member == NULL) {
        handle_reply(account, NULL, now);
        return;
    }
    mr_msg_t msg = {.type = MR_MSG_GRANT};
    msg.u.grant = (mr_msg_grant_t){
        .account = account->name,
        .demand_milli = request->demand,
        .wanted = request->wanted,
        .process = limit->process,
        .held_long = request->held_long,
        .held_rate_milli = request->held.rate,
        .held_burst_milli = request->held.burst,
        .held_short = request->held_short,
    };
    grant_call_t *call = MR_NEW(grant_call_t);
    call->account = account;
    call->sent_at = now;
    mr_list_append(&account->requests, &call->link);
    call->call = mr_peer_call(limit->options.peer, member->address, &msg,
                              REQUEST_TIMEOUT_MS, on_reply, call);
}

static void
request_grants(mr_limit_account_t *account)
{
    mr_limit_t *limit = account->limit;
    mr_ms_t now = mr_limit_now(limit);
    mr_grant_request_t request = {.instance = limit->name,
                                  .process = limit->process};

    return_spent(account, now);
    if (mr_limit_local_prepare_request(&account->local, account->wait_count,
                                       now, &request)) {
        send_request(account, &request, now);
    }
}

static void
on_tick(evutil_socket_t fd, short events, void *arg)
{
    mr_limit_t *limit = arg;

    (void)fd;
    (void)events;
    MR_LIST_FOREACH(it, &limit->accounts)
    {
        mr_limit_account_t *account =
            MR_LIST_ENTRY(it, mr_limit_account_t, link);
        mr_limit_serve_held(account, INT64_MIN);
        request_grants(account);
        mr_limit_remotes_request(account, false);
    }
    update_timer(limit);
}

static void
on_request_event(evutil_socket_t fd, short events, void *arg)
{
    mr_limit_account_t *account = arg;

    (void)fd;
    (void)events;
    request_grants(account);
    mr_limit_remotes_request(account, false);
}

/* Accounts. */

static mr_limit_account_t *
get_account(mr_limit_t *limit, const mr_config_account_t *config)
{
    mr_limit_amount_t amount = {config->rate * MR_TOKEN_MILLI,
                                config->burst * MR_TOKEN_MILLI};
    mr_limit_account_t *account =
        g_hash_table_lookup(limit->by_name, config->name);
    mr_ms_t now = mr_limit_now(limit);

    if (account != NULL) {
        return account;
    }
    account = MR_NEW(mr_limit_account_t);
    account->limit = limit;
    account->name = mr_strdup(config->name);
    mr_list_init(&account->waits);
    mr_list_init(&account->requests);
    mr_list_init(&account->remotes);
    account->request_event =
        event_new(limit->options.base, -1, 0, on_request_event, account);
    mr_limit_local_init(&account->local, now);
    mr_limit_local_configure(&account->local, amount, now);
    mr_list_append(&limit->accounts, &account->link);
    g_hash_table_insert(limit->by_name, account->name, account);
    return account;
}

/* Does not call the callbacks of held requests; the caller has to end these
 * requests first. */
static void
destroy_account(mr_limit_account_t *account)
{
    mr_list_t *link;

    while (!mr_list_empty(&account->waits)) {
        destroy_wait(
            MR_LIST_ENTRY(account->waits.next, mr_limit_wait_t, link));
    }
    while ((link = mr_list_pop(&account->requests)) != NULL) {
        grant_call_t *call = MR_LIST_ENTRY(link, grant_call_t, link);
        mr_peer_cancel(call->call);
        free(call);
    }
    mr_limit_remotes_destroy(account);
    event_free(account->request_event);
    g_hash_table_remove(account->limit->by_name, account->name);
    mr_list_remove(&account->link);
    free(account->name);
    free(account);
}

static void
on_config(void *ctx, mr_config_t *config)
{
    mr_limit_t *limit = ctx;
    mr_ms_t now = mr_limit_now(limit);

    MR_LIST_FOREACH(it, &limit->accounts)
    {
        MR_LIST_ENTRY(it, mr_limit_account_t, link)->configured = false;
    }
    for (size_t i = 0; i < config->account_count; i++) {
        const mr_config_account_t *source = &config->accounts[i];
        mr_limit_amount_t amount = {source->rate * MR_TOKEN_MILLI,
                                    source->burst * MR_TOKEN_MILLI};
        mr_limit_account_t *account =
            g_hash_table_lookup(limit->by_name, source->name);
        if (account == NULL && config->account_count > BASE_ACCOUNTS_MAX) {
            continue;
        }
        account = get_account(limit, source);
        account->configured = true;
        if (account->local.limit.rate > 0 && account->local.limit.burst > 0) {
            mr_limit_remotes_scale(account, amount, now);
        }
        mr_limit_local_configure(&account->local, amount, now);
        if (!mr_list_empty(&account->remotes)) {
            mr_limit_remotes_sync(account);
        }
    }
    MR_LIST_FOREACH(it, &limit->accounts)
    {
        mr_limit_account_t *account =
            MR_LIST_ENTRY(it, mr_limit_account_t, link);
        /* An account with held requests is destroyed at a later change of the
         * configuration. */
        if (!account->configured && account->wait_count == 0) {
            destroy_account(account);
        }
    }
}

/* Public interface. */

mr_limit_wait_t *
mr_limit_admit(mr_limit_t *limit, const mr_config_account_t *account,
               mr_limit_fn_t fn, void *ctx)
{
    mr_limit_account_t *state = get_account(limit, account);
    mr_limit_wait_t *wait;

    if (mr_limit_local_arrive(&state->local, mr_limit_now(limit))
        || (mr_list_empty(&state->waits)
            && mr_limit_remotes_admit(state, mr_limit_now(limit)))) {
        state->admitted++;
        mr_counter_add(limit->admitted, 1);
        request_grants(state);
        return NULL;
    }
    wait = MR_NEW(mr_limit_wait_t);
    wait->account = state;
    wait->arrived_at = mr_limit_now(limit);
    wait->fn = fn;
    wait->ctx = ctx;
    mr_list_append(&state->waits, &wait->link);
    state->wait_count++;
    limit->held_count++;
    mr_counter_add(limit->held, 1);
    update_timer(limit);
    event_active(state->request_event, EV_TIMEOUT, 0);
    return wait;
}

static void
create_counters(mr_limit_t *limit)
{
    mr_counters_t *counters = limit->options.counters;

    limit->admitted =
        mr_counters_get(counters, "masticrelay_limit_admitted_total", "",
                        "requests that got a token");
    limit->refused =
        mr_counters_get(counters, "masticrelay_limit_refused_total", "",
                        "requests refused by the rate limit");
    limit->refused_unanswered = mr_counters_get(
        counters, "masticrelay_limit_refused_without_word_total", "",
        "requests refused because the limiter gave no answer in time");
    limit->held = mr_counters_get(counters, "masticrelay_limit_held_total", "",
                                  "requests held for a token");
    limit->requests_sent = mr_counters_get(
        counters, "masticrelay_limit_asked_total", "", "asks to limiters");
    limit->remote_requests =
        mr_counters_get(counters, "masticrelay_limit_remote_asks_total", "",
                        "asks to limiters of other data centres");
    limit->request_failures =
        mr_counters_get(counters, "masticrelay_limit_ask_failures_total", "",
                        "asks to limiters without an answer");
}

mr_limit_t *
mr_limit_create(const mr_limit_options_t *options)
{
    mr_limit_t *limit = MR_NEW(mr_limit_t);
    struct timeval tv = mr_clock_timeval(TICK_IDLE_MS);

    limit->options = *options;
    limit->name = mr_strdup(options->name);
    limit->data_centre = mr_strdup(options->data_centre);
    while (limit->process <= 0) {
        randombytes_buf(&limit->process, sizeof(limit->process));
    }
    mr_list_init(&limit->accounts);
    limit->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    limit->remote_owners =
        g_hash_table_new_full(g_str_hash, g_str_equal, free, free);
    create_counters(limit);
    limit->limiter = mr_limiter_create(options, limit->process);
    limit->timer = event_new(options->base, -1, EV_PERSIST, on_tick, limit);
    event_add(limit->timer, &tv);
    mr_config_store_subscribe(options->config, on_config, limit);
    return limit;
}

void
mr_limit_destroy(mr_limit_t *limit)
{
    if (limit == NULL) {
        return;
    }
    mr_config_store_unsubscribe(limit->options.config, limit);
    event_free(limit->timer);
    while (!mr_list_empty(&limit->accounts)) {
        destroy_account(
            MR_LIST_ENTRY(limit->accounts.next, mr_limit_account_t, link));
    }
    g_hash_table_destroy(limit->by_name);
    g_hash_table_destroy(limit->remote_owners);
    mr_limiter_destroy(limit->limiter);
    for (size_t i = 0; i < MR_LIMITER_SHARDS; i++) {
        free(limit->shard_owners[i].owner);
    }
    free(limit->name);
    free(limit->data_centre);
    free(limit);
}

void
mr_limit_drain(mr_limit_t *limit)
{
    mr_ms_t now = mr_limit_now(limit);
    int64_t id;

    MR_LIST_FOREACH(it, &limit->accounts)
    {
        mr_limit_account_t *account =
            MR_LIST_ENTRY(it, mr_limit_account_t, link);
        while ((id = mr_held_grants_drop(&account->local.grants, now)) != 0) {
            return_grant(account, id);
        }
        mr_limit_remotes_return_all(account, now);
    }
    mr_limiter_drain(limit->limiter);
}

json_t *
mr_limit_status(const mr_limit_t *limit)
{
    json_t *array = json_array();
    mr_ms_t now = mr_limit_now(limit);

    MR_LIST_FOREACH(it, &limit->accounts)
    {
        mr_limit_account_t *account =
            MR_LIST_ENTRY(it, mr_limit_account_t, link);
        const char *owner =
            limit->shard_owners[mr_limiter_shard(account->name)].owner;
        mr_limit_amount_t share =
            mr_limiter_usable(limit->limiter, account->name);
        mr_held_grants_t *hold = &account->local.grants;
        json_array_append_new(
            array,
            json_pack(
                "{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:s,s:I,s:I}", "account",
                account->name, "rate_milli",
                (json_int_t)account->local.limit.rate, "burst_milli",
                (json_int_t)account->local.limit.burst, "granted_rate_milli",
                (json_int_t)mr_held_grants_rate(hold, now), "tokens_milli",
                (json_int_t)mr_held_grants_level(hold, now), "demand_milli",
                (json_int_t)account->local.demand, "admitted",
                (json_int_t)account->admitted, "refused",
                (json_int_t)account->refused, "limiter",
                owner != NULL ? owner : "", "share_rate_milli",
                (json_int_t)share.rate, "share_burst_milli",
                (json_int_t)share.burst));
    }
    return array;
}
