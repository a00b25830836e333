#include "limit/limit.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"
#include "limit/limiter.h"
#include "limit/local.h"

enum {
    /* While requests are held, and otherwise. */
    TICK_HELD_MS = 4,
    TICK_IDLE_MS = 50,
    ASK_TIMEOUT_MS = 200,
    CANDIDATES_MAX = 8,
    /* With at most this many accounts, an instance keeps a base of each;
     * otherwise only of those that it has served. */
    BASE_ACCOUNTS_MAX = 32,
    /* A request that its own data centre could not serve at once is worth a
     * question to another one, which takes a few milliseconds. */
    REMOTE_AFTER_MS = 6,
    REMOTE_TIMEOUT_MS = 20,
    REMOTE_TOKENS_MAX = 32,
    REMOTE_PARALLEL = 3, /* data centres asked at the same time */
    /* Until the same data centre is asked again for the same account. */
    REMOTE_AGAIN_MS = 10,
    /* Tokens for the requests of this time are asked for together, since an
     * instance can hold few grants of tokens. */
    REMOTE_AHEAD_MS = 100,
};

typedef struct account account_t;

/* Tokens of one other data centre for one account; see ask_remote(). Ids of
 * grants are unique only within a data centre, so each has its own hold. */
typedef struct remote {
    mr_list_t link;
    account_t *account;
    char *data_centre;
    char *key; /* of its limiter */
    mr_grant_hold_t hold;
    mr_peer_call_t *call;
    mr_ms_t sent;
    mr_ms_t refused; /* its last refusal was asked for then */
} remote_t;

struct account {
    mr_list_t link;
    mr_limit_t *limit;
    struct event *kick; /* asks for a request that was just held */
    char *name;
    mr_limit_local_t local;
    mr_list_t waits; /* by arrival */
    size_t wait_count;
    mr_list_t asks;
    int64_t admitted;
    int64_t refused;
    bool configured;     /* in the configuration in force */
    mr_list_t remotes;   /* in the order in which they are asked */
    mr_ms_t own_refused; /* the own limiter's last refusal was asked then */
};

/* An ask that waits for its reply. */
typedef struct ask {
    mr_list_t link;
    account_t *account;
    mr_peer_call_t *call;
    mr_ms_t sent;
} ask_t;

struct mr_limit_wait {
    mr_list_t link;
    account_t *account;
    mr_ms_t since;
    mr_limit_fn_t fn;
    void *ctx;
};

/* Who is believed to be the limiter of a shard. */
typedef struct route {
    char *owner;
    size_t next; /* candidate that is asked when the owner fails */
} route_t;

struct mr_limit {
    mr_limit_options_t options;
    char *name;
    char *data_centre;
    int64_t process;
    mr_limiter_t *limiter;
    GHashTable *by_name;
    GHashTable *remote_owners; /* limiter's key -> instance */
    mr_list_t accounts;
    route_t routes[MR_LIMITER_SHARDS];
    size_t held_now;
    struct event *timer;
    bool fast; /* the timer runs at TICK_HELD_MS */
    mr_counter_t *admitted;
    mr_counter_t *refused;
    mr_counter_t *refused_late;
    mr_counter_t *held;
    mr_counter_t *asked;
    mr_counter_t *ask_failures;
    mr_counter_t *remote_asks;
};

static mr_ms_t
now_of(const mr_limit_t *limit)
{
    return mr_clock_now(limit->options.clock);
}

static void
set_tick(mr_limit_t *limit)
{
    bool fast = limit->held_now > 0;
    struct timeval tv = mr_clock_timeval(fast ? TICK_HELD_MS : TICK_IDLE_MS);

    if (fast != limit->fast) {
        limit->fast = fast;
        event_add(limit->timer, &tv);
    }
}

/* Held requests. */

static void
forget_wait(mr_limit_wait_t *wait)
{
    mr_list_remove(&wait->link);
    wait->account->wait_count--;
    wait->account->limit->held_now--;
    free(wait);
}

void
mr_limit_cancel(mr_limit_wait_t *wait)
{
    forget_wait(wait);
}

static void
end_wait(mr_limit_wait_t *wait, mr_error_kind_t error)
{
    account_t *account = wait->account;
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
    forget_wait(wait);
    fn(ctx, error);
}

static bool
admit_remote(account_t *account, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &account->remotes)
    {
        if (mr_grant_hold_admit(&MR_LIST_ENTRY(it, remote_t, link)->hold,
                                now)) {
            return true;
        }
    }
    return false;
}

/* Admit held requests in order; refuse those that arrived up to @refuse_to,
 * and those that were held as long as allowed. */
static void
serve_waits(account_t *account, mr_ms_t refuse_to)
{
    while (!mr_list_empty(&account->waits)) {
        mr_limit_wait_t *wait =
            MR_LIST_ENTRY(account->waits.next, mr_limit_wait_t, link);
        mr_ms_t now = now_of(account->limit);
        if (mr_grant_hold_admit(&account->local.hold, now)
            || admit_remote(account, now)) {
            end_wait(wait, MR_OK);
        }
        else if (wait->since <= refuse_to) {
            end_wait(wait, MR_ERR_RATE_LIMITED);
        }
        else if (now - wait->since >= MR_LIMIT_HOLD_MS) {
            mr_counter_add(account->limit->refused_late, 1);
            end_wait(wait, MR_ERR_RATE_LIMITED);
        }
        else {
            return;
        }
    }
}

/* Asks of other data centres. */

static const mr_config_t *
config_of(const mr_limit_t *limit)
{
    return mr_config_store_current(limit->options.config);
}

static size_t
other_data_centres(const mr_limit_t *limit)
{
    const mr_config_t *config = config_of(limit);

    return config == NULL || config->data_centre_count == 0
               ? 0
               : config->data_centre_count - 1;
}

/* Requests that arrived up to then are refused: since then the own limiter
 * and those of all other data centres have said that they have no token. */
static mr_ms_t
refused_until(const account_t *account)
{
    mr_ms_t until = account->own_refused;
    size_t count = 0;

    MR_LIST_FOREACH(it, &account->remotes)
    {
        const remote_t *remote = MR_LIST_ENTRY(it, remote_t, link);
        until = remote->refused < until ? remote->refused : until;
        count++;
    }
    return count < other_data_centres(account->limit) ? INT64_MIN : until;
}

static void
send_return_to(account_t *account, const char *owner, int64_t id)
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

/* A limiter counts tokens as a part of its share until they are returned. */
static void
return_remote(remote_t *remote, int64_t id)
{
    account_t *account = remote->account;
    const char *owner =
        g_hash_table_lookup(account->limit->remote_owners, remote->key);

    if (owner != NULL) {
        send_return_to(account, owner, id);
    }
}

static void
return_spent_remote(account_t *account, mr_ms_t now)
{
    int64_t id;

    MR_LIST_FOREACH(it, &account->remotes)
    {
        remote_t *remote = MR_LIST_ENTRY(it, remote_t, link);
        while ((id = mr_grant_hold_spent(&remote->hold, now)) != 0) {
            return_remote(remote, id);
        }
    }
}

static void ask_remote(account_t *account, bool at_once);

static void
take_remote_reply(remote_t *remote, const mr_msg_grant_reply_t *reply)
{
    account_t *account = remote->account;
    GHashTable *owners = account->limit->remote_owners;
    mr_ms_t now = now_of(account->limit);

    if (reply->owner[0] != '\0') {
        g_hash_table_replace(owners, mr_strdup(remote->key),
                             mr_strdup(reply->owner));
    }
    else if (reply->grant_count == 0) {
        g_hash_table_remove(owners, remote->key);
    }
    for (size_t i = 0; i < reply->grant_count; i++) {
        if (reply->grants[i].kind == MR_GRANT_TOKENS) {
            mr_grant_hold_accept(&remote->hold, &reply->grants[i],
                                 remote->sent, now);
        }
    }
    if (reply->grant_count == 0 && reply->error == MR_ERR_RATE_LIMITED) {
        remote->refused = remote->sent;
    }
}

static void
on_remote_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    remote_t *remote = ctx;
    account_t *account = remote->account;
    mr_limit_t *limit = account->limit;

    remote->call = NULL;
    return_spent_remote(account, now_of(limit));
    if (error == MR_OK && reply->type == MR_MSG_GRANT_REPLY) {
        take_remote_reply(remote, &reply->u.grant_reply);
    }
    else {
        mr_counter_add(limit->ask_failures, 1);
        g_hash_table_remove(limit->remote_owners, remote->key);
    }
    serve_waits(account, refused_until(account));
    ask_remote(account, true);
}

static void
destroy_remote(remote_t *remote)
{
    if (remote->call != NULL) {
        mr_peer_cancel(remote->call);
    }
    mr_list_remove(&remote->link);
    free(remote->data_centre);
    free(remote->key);
    free(remote);
}

/* Bring the list in line with the data centres of the configuration. */
static void
sync_remotes(account_t *account)
{
    mr_limit_t *limit = account->limit;
    const mr_config_t *config = config_of(limit);
    size_t count = config == NULL ? 0 : config->data_centre_count;
    char key[160];

    MR_LIST_FOREACH(it, &account->remotes)
    {
        remote_t *remote = MR_LIST_ENTRY(it, remote_t, link);
        bool known = false;
        for (size_t i = 0; i < count; i++) {
            known =
                known
                || strcmp(config->data_centres[i].name, remote->data_centre)
                       == 0;
        }
        if (!known) {
            destroy_remote(remote);
        }
    }
    for (size_t i = 0; i < count; i++) {
        const char *name = config->data_centres[i].name;
        bool found = strcmp(name, limit->data_centre) == 0;
        MR_LIST_FOREACH(it, &account->remotes)
        {
            remote_t *remote = MR_LIST_ENTRY(it, remote_t, link);
            found = found || strcmp(name, remote->data_centre) == 0;
        }
        if (!found) {
            remote_t *remote = MR_NEW(remote_t);
            mr_limiter_key(name, mr_limiter_shard(account->name), key,
                           sizeof(key));
            remote->account = account;
            remote->data_centre = mr_strdup(name);
            remote->key = mr_strdup(key);
            remote->sent = INT64_MIN / 2;
            remote->refused = INT64_MIN;
            mr_list_append(&account->remotes, &remote->link);
        }
    }
}

static const mr_member_t *
remote_limiter(const remote_t *remote)
{
    const mr_limit_t *limit = remote->account->limit;
    const mr_member_t *member = NULL;
    const char *owner = g_hash_table_lookup(limit->remote_owners, remote->key);

    if (owner != NULL) {
        member = mr_members_find(limit->options.members, owner);
    }
    if (member == NULL) {
        mr_members_usable(limit->options.members, remote->key,
                          remote->data_centre, &member, 1);
    }
    return member;
}

/* The data centre that was asked least recently, if it may be asked now. */
static remote_t *
next_remote(const account_t *account, mr_ms_t now)
{
    remote_t *found = NULL;

    MR_LIST_FOREACH(it, &account->remotes)
    {
        remote_t *remote = MR_LIST_ENTRY(it, remote_t, link);
        if (remote->call == NULL && now - remote->sent >= REMOTE_AGAIN_MS
            && (found == NULL || remote->sent < found->sent)) {
            found = remote;
        }
    }
    return found;
}

static void
send_remote_ask(remote_t *remote, int64_t wanted, mr_ms_t now)
{
    account_t *account = remote->account;
    mr_limit_t *limit = account->limit;
    mr_msg_t msg = {.type = MR_MSG_GRANT};
    const mr_member_t *member = remote_limiter(remote);

    remote->sent = now;
    if (member == NULL) {
        return;
    }
    msg.u.grant = (mr_msg_grant_t){
        .account = account->name,
        .wanted = wanted < REMOTE_TOKENS_MAX ? wanted : REMOTE_TOKENS_MAX,
        .process = limit->process,
        .tokens_only = true,
    };
    mr_counter_add(limit->remote_asks, 1);
    remote->call = mr_peer_call(limit->options.peer, member->address, &msg,
                                REMOTE_TIMEOUT_MS, on_remote_reply, remote);
}

/*
 * Demand that moves from one data centre to another meets a share that is
 * still elsewhere, and moving a share takes writes to the store. Until then
 * the limiters of other data centres can spare tokens of their own shares.
 * @at_once: the own limiter has answered without a token, or failed
 */
static void
ask_remote(account_t *account, bool at_once)
{
    mr_ms_t now = now_of(account->limit);
    size_t busy = 0;
    remote_t *remote;

    if (mr_list_empty(&account->waits)) {
        return;
    }
    mr_limit_wait_t *oldest =
        MR_LIST_ENTRY(account->waits.next, mr_limit_wait_t, link);
    if (!at_once && now - oldest->since < REMOTE_AFTER_MS
        && account->own_refused < oldest->since) {
        return;
    }
    if (mr_list_empty(&account->remotes)) {
        sync_remotes(account);
    }
    MR_LIST_FOREACH(it, &account->remotes)
    {
        busy += MR_LIST_ENTRY(it, remote_t, link)->call != NULL;
    }
    int64_t wanted =
        (int64_t)account->wait_count
        + account->local.demand * REMOTE_AHEAD_MS / (1000 * MR_TOKEN_MILLI);
    /* Each is asked for a part: tokens that lapse unused are lost to all. */
    int64_t part = (wanted + REMOTE_PARALLEL - 1) / REMOTE_PARALLEL;
    int64_t asked = (int64_t)busy * part;
    while (busy < REMOTE_PARALLEL && asked < wanted
           && (remote = next_remote(account, now)) != NULL) {
        send_remote_ask(remote, part, now);
        busy += remote->call != NULL;
        asked += remote->call != NULL ? part : 0;
    }
}

/* Asks. */

static void
set_owner(route_t *route, const char *owner)
{
    if (route->owner == NULL || strcmp(route->owner, owner) != 0) {
        free(route->owner);
        route->owner = mr_strdup(owner);
    }
}

/* Turn to the next candidate in rendezvous order, as the one asked does not
 * answer or does not know the owner. */
static void
rotate_owner(mr_limit_t *limit, unsigned shard)
{
    route_t *route = &limit->routes[shard];
    const mr_member_t *members[CANDIDATES_MAX];
    char key[160];
    size_t count;

    mr_limiter_key(limit->data_centre, shard, key, sizeof(key));
    count = mr_members_usable(limit->options.members, key, limit->data_centre,
                              members, CANDIDATES_MAX);
    if (count == 0) {
        return;
    }
    set_owner(route, members[route->next % count]->name);
    route->next = (route->next + 1) % count;
}

static void
send_return(account_t *account, int64_t id)
{
    mr_limit_t *limit = account->limit;
    const char *owner = limit->routes[mr_limiter_shard(account->name)].owner;

    if (owner == NULL) {
        return;
    }
    if (strcmp(owner, limit->name) == 0) {
        mr_limiter_return(limit->limiter, account->name, limit->name,
                          limit->process, id);
        return;
    }
    send_return_to(account, owner, id);
}

static void
return_spent(account_t *account, mr_ms_t now)
{
    int64_t id;

    while ((id = mr_grant_hold_spent(&account->local.hold, now)) != 0) {
        send_return(account, id);
    }
    return_spent_remote(account, now);
}

static void
take_reply(account_t *account, const mr_msg_grant_reply_t *reply, mr_ms_t sent)
{
    unsigned shard = mr_limiter_shard(account->name);
    mr_limit_t *limit = account->limit;
    mr_ms_t refuse_to = INT64_MIN;

    if (reply == NULL || reply->owner[0] == '\0') {
        rotate_owner(limit, shard);
    }
    else {
        set_owner(&limit->routes[shard], reply->owner);
    }
    return_spent(account, now_of(limit));
    mr_limit_local_reply(&account->local, reply ? reply->grants : NULL,
                         reply ? reply->grant_count : 0, sent, now_of(limit));
    if (reply != NULL && reply->error == MR_ERR_RATE_LIMITED) {
        account->own_refused = sent;
        /* Without other data centres its word is the last one. */
        refuse_to = refused_until(account);
    }
    serve_waits(account, refuse_to);
    ask_remote(account, true);
}

static void
on_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    ask_t *ask = ctx;
    account_t *account = ask->account;
    mr_ms_t sent = ask->sent;
    bool good = error == MR_OK && reply->type == MR_MSG_GRANT_REPLY;

    mr_list_remove(&ask->link);
    free(ask);
    if (!good) {
        mr_counter_add(account->limit->ask_failures, 1);
    }
    take_reply(account, good ? &reply->u.grant_reply : NULL, sent);
}

static void
send_ask(account_t *account, const mr_grant_ask_t *ask, mr_ms_t now)
{
    mr_limit_t *limit = account->limit;
    route_t *route = &limit->routes[mr_limiter_shard(account->name)];
    const mr_member_t *member;

    mr_counter_add(limit->asked, 1);
    if (route->owner == NULL) {
        rotate_owner(limit, mr_limiter_shard(account->name));
    }
    if (route->owner != NULL && strcmp(route->owner, limit->name) == 0) {
        mr_msg_grant_item_t items[MR_GRANT_ITEMS_MAX];
        mr_msg_grant_reply_t reply;
        mr_limiter_ask(limit->limiter, account->name, ask, items, &reply);
        take_reply(account, &reply, now);
        return;
    }
    member = route->owner == NULL
                 ? NULL
                 : mr_members_find(limit->options.members, route->owner);
    if (member == NULL) {
        take_reply(account, NULL, now);
        return;
    }
    mr_msg_t msg = {.type = MR_MSG_GRANT};
    msg.u.grant = (mr_msg_grant_t){
        .account = account->name,
        .demand_milli = ask->demand,
        .wanted = ask->wanted,
        .process = limit->process,
        .held_long = ask->held_long,
        .held_rate_milli = ask->held.rate,
        .held_burst_milli = ask->held.burst,
        .held_short = ask->held_short,
    };
    ask_t *call = MR_NEW(ask_t);
    call->account = account;
    call->sent = now;
    mr_list_append(&account->asks, &call->link);
    call->call = mr_peer_call(limit->options.peer, member->address, &msg,
                              ASK_TIMEOUT_MS, on_reply, call);
}

static void
run_account(account_t *account)
{
    mr_limit_t *limit = account->limit;
    mr_ms_t now = now_of(limit);
    mr_grant_ask_t ask = {.instance = limit->name, .process = limit->process};

    return_spent(account, now);
    if (mr_limit_local_ask(&account->local, account->wait_count, now, &ask)) {
        send_ask(account, &ask, now);
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
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        serve_waits(account, INT64_MIN);
        run_account(account);
        ask_remote(account, false);
    }
    set_tick(limit);
}

static void
on_kick(evutil_socket_t fd, short events, void *arg)
{
    account_t *account = arg;

    (void)fd;
    (void)events;
    run_account(account);
    ask_remote(account, false);
}

/* Accounts. */

static account_t *
get_account(mr_limit_t *limit, const mr_config_account_t *config)
{
    mr_limit_amount_t amount = {config->rate * MR_TOKEN_MILLI,
                                config->burst * MR_TOKEN_MILLI};
    account_t *account = g_hash_table_lookup(limit->by_name, config->name);
    mr_ms_t now = now_of(limit);

    if (account != NULL) {
        return account;
    }
    account = MR_NEW(account_t);
    account->limit = limit;
    account->name = mr_strdup(config->name);
    mr_list_init(&account->waits);
    mr_list_init(&account->asks);
    mr_list_init(&account->remotes);
    account->kick = event_new(limit->options.base, -1, 0, on_kick, account);
    mr_limit_local_init(&account->local, now);
    mr_limit_local_configure(&account->local, amount, now);
    mr_list_append(&limit->accounts, &account->link);
    g_hash_table_insert(limit->by_name, account->name, account);
    return account;
}

/* Held requests get no callback; the caller ends them before. */
static void
destroy_account(account_t *account)
{
    mr_list_t *link;

    while (!mr_list_empty(&account->waits)) {
        forget_wait(MR_LIST_ENTRY(account->waits.next, mr_limit_wait_t, link));
    }
    while ((link = mr_list_pop(&account->asks)) != NULL) {
        ask_t *ask = MR_LIST_ENTRY(link, ask_t, link);
        mr_peer_cancel(ask->call);
        free(ask);
    }
    while (!mr_list_empty(&account->remotes)) {
        destroy_remote(MR_LIST_ENTRY(account->remotes.next, remote_t, link));
    }
    event_free(account->kick);
    g_hash_table_remove(account->limit->by_name, account->name);
    mr_list_remove(&account->link);
    free(account->name);
    free(account);
}

static void
scale_remotes(account_t *account, mr_limit_amount_t to, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &account->remotes)
    {
        mr_grant_hold_scale(&MR_LIST_ENTRY(it, remote_t, link)->hold,
                            account->local.limit, to, now);
    }
}

static void
on_config(void *ctx, mr_config_t *config)
{
    mr_limit_t *limit = ctx;
    mr_ms_t now = now_of(limit);

    MR_LIST_FOREACH(it, &limit->accounts)
    {
        MR_LIST_ENTRY(it, account_t, link)->configured = false;
    }
    for (size_t i = 0; i < config->account_count; i++) {
        const mr_config_account_t *source = &config->accounts[i];
        mr_limit_amount_t amount = {source->rate * MR_TOKEN_MILLI,
                                    source->burst * MR_TOKEN_MILLI};
        account_t *account = g_hash_table_lookup(limit->by_name, source->name);
        if (account == NULL && config->account_count > BASE_ACCOUNTS_MAX) {
            continue;
        }
        account = get_account(limit, source);
        account->configured = true;
        if (account->local.limit.rate > 0 && account->local.limit.burst > 0) {
            scale_remotes(account, amount, now);
        }
        mr_limit_local_configure(&account->local, amount, now);
        if (!mr_list_empty(&account->remotes)) {
            sync_remotes(account);
        }
    }
    MR_LIST_FOREACH(it, &limit->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        /* One with held requests goes at a later change. */
        if (!account->configured && account->wait_count == 0) {
            destroy_account(account);
        }
    }
}

/* Interface. */

mr_limit_wait_t *
mr_limit_admit(mr_limit_t *limit, const mr_config_account_t *account,
               mr_limit_fn_t fn, void *ctx)
{
    account_t *own = get_account(limit, account);
    mr_limit_wait_t *wait;

    if (mr_limit_local_arrive(&own->local, now_of(limit))
        || (mr_list_empty(&own->waits) && admit_remote(own, now_of(limit)))) {
        own->admitted++;
        mr_counter_add(limit->admitted, 1);
        run_account(own);
        return NULL;
    }
    wait = MR_NEW(mr_limit_wait_t);
    wait->account = own;
    wait->since = now_of(limit);
    wait->fn = fn;
    wait->ctx = ctx;
    mr_list_append(&own->waits, &wait->link);
    own->wait_count++;
    limit->held_now++;
    mr_counter_add(limit->held, 1);
    set_tick(limit);
    event_active(own->kick, EV_TIMEOUT, 0);
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
    limit->refused_late = mr_counters_get(
        counters, "masticrelay_limit_refused_without_word_total", "",
        "requests refused because the limiter gave no answer in time");
    limit->held = mr_counters_get(counters, "masticrelay_limit_held_total", "",
                                  "requests held for a token");
    limit->asked = mr_counters_get(counters, "masticrelay_limit_asked_total",
                                   "", "asks to limiters");
    limit->remote_asks =
        mr_counters_get(counters, "masticrelay_limit_remote_asks_total", "",
                        "asks to limiters of other data centres");
    limit->ask_failures =
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
        destroy_account(MR_LIST_ENTRY(limit->accounts.next, account_t, link));
    }
    g_hash_table_destroy(limit->by_name);
    g_hash_table_destroy(limit->remote_owners);
    mr_limiter_destroy(limit->limiter);
    for (size_t i = 0; i < MR_LIMITER_SHARDS; i++) {
        free(limit->routes[i].owner);
    }
    free(limit->name);
    free(limit->data_centre);
    free(limit);
}

void
mr_limit_drain(mr_limit_t *limit)
{
    mr_ms_t now = now_of(limit);
    int64_t id;

    MR_LIST_FOREACH(it, &limit->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        while ((id = mr_grant_hold_drop(&account->local.hold, now)) != 0) {
            send_return(account, id);
        }
        MR_LIST_FOREACH(at, &account->remotes)
        {
            remote_t *remote = MR_LIST_ENTRY(at, remote_t, link);
            while ((id = mr_grant_hold_drop(&remote->hold, now)) != 0) {
                return_remote(remote, id);
            }
        }
    }
    mr_limiter_drain(limit->limiter);
}

json_t *
mr_limit_status(const mr_limit_t *limit)
{
    json_t *array = json_array();
    mr_ms_t now = now_of(limit);

    MR_LIST_FOREACH(it, &limit->accounts)
    {
        account_t *account = MR_LIST_ENTRY(it, account_t, link);
        const char *owner =
            limit->routes[mr_limiter_shard(account->name)].owner;
        mr_limit_amount_t share =
            mr_limiter_usable(limit->limiter, account->name);
        mr_grant_hold_t *hold = &account->local.hold;
        json_array_append_new(
            array,
            json_pack(
                "{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:s,s:I,s:I}", "account",
                account->name, "rate_milli",
                (json_int_t)account->local.limit.rate, "burst_milli",
                (json_int_t)account->local.limit.burst, "granted_rate_milli",
                (json_int_t)mr_grant_hold_rate(hold, now), "tokens_milli",
                (json_int_t)mr_grant_hold_level(hold, now), "demand_milli",
                (json_int_t)account->local.demand, "admitted",
                (json_int_t)account->admitted, "refused",
                (json_int_t)account->refused, "limiter",
                owner != NULL ? owner : "", "share_rate_milli",
                (json_int_t)share.rate, "share_burst_milli",
                (json_int_t)share.burst));
    }
    return array;
}
