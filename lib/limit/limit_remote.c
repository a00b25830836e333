/* Requests tokens from limiters of other data centres when the own limiter has
 * none left or does not answer. */

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "limit/limit_internal.h"

enum {
    /* Other data centres are asked once a client request has been held for
     * this long. Their replies take a few milliseconds. */
    REMOTE_DELAY_MS = 6,
    REMOTE_TIMEOUT_MS = 20,
    REMOTE_TOKENS_MAX = 32,
    REMOTE_PARALLEL = 3, /* data centres asked at the same time */
    /* Between two requests to the same data centre for one account. */
    REMOTE_INTERVAL_MS = 10,
    /* One grant covers the client requests expected in this time, because an
     * instance can hold only MR_GRANT_TOKENS_MAX TOKENS grants. */
    REMOTE_AHEAD_MS = 100,
};

bool
mr_limit_remotes_admit(mr_limit_account_t *account, mr_ms_t now)
{
    MR_LIST_FOREACH(it, &account->remotes)
    {
        if (mr_held_grants_admit(
                &MR_LIST_ENTRY(it, mr_limit_remote_t, link)->grants, now)) {
            return true;
        }
    }
    return false;
}

static size_t
other_data_centres(const mr_limit_t *limit)
{
    const mr_config_t *config = mr_limit_config(limit);

    return config == NULL || config->data_centre_count == 0
               ? 0
               : config->data_centre_count - 1;
}

mr_ms_t
mr_limit_refused_until(const mr_limit_account_t *account)
{
    mr_ms_t until = account->own_refused_sent_at;
    size_t count = 0;

    MR_LIST_FOREACH(it, &account->remotes)
    {
        const mr_limit_remote_t *remote =
            MR_LIST_ENTRY(it, mr_limit_remote_t, link);
        until =
            remote->refused_sent_at < until ? remote->refused_sent_at : until;
        count++;
    }
    return count < other_data_centres(account->limit) ? INT64_MIN : until;
}

/* Returns a grant: its limiter counts the tokens towards its share until they
 * are returned or expire. */
static void
return_remote_grant(mr_limit_remote_t *remote, int64_t id)
{
    mr_limit_account_t *account = remote->account;
    const char *owner =
        g_hash_table_lookup(account->limit->remote_owners, remote->key);

    if (owner != NULL) {
        mr_limit_send_return(account, owner, id);
    }
}

void
mr_limit_remotes_return_spent(mr_limit_account_t *account, mr_ms_t now)
{
    int64_t id;

    MR_LIST_FOREACH(it, &account->remotes)
    {
        mr_limit_remote_t *remote = MR_LIST_ENTRY(it, mr_limit_remote_t, link);
        while ((id = mr_held_grants_take_spent(&remote->grants, now)) != 0) {
            return_remote_grant(remote, id);
        }
    }
}

static void
handle_remote_reply(mr_limit_remote_t *remote,
                    const mr_msg_grant_reply_t *reply)
{
    mr_limit_account_t *account = remote->account;
    GHashTable *owners = account->limit->remote_owners;
    mr_ms_t now = mr_limit_now(account->limit);

    if (reply->owner[0] != '\0') {
        g_hash_table_replace(owners, mr_strdup(remote->key),
                             mr_strdup(reply->owner));
    }
    else if (reply->grant_count == 0) {
        g_hash_table_remove(owners, remote->key);
    }
    for (size_t i = 0; i < reply->grant_count; i++) {
        if (reply->grants[i].kind == MR_GRANT_TOKENS) {
            mr_held_grants_accept(&remote->grants, &reply->grants[i],
                                  remote->sent_at, now);
        }
    }
    if (reply->grant_count == 0 && reply->error == MR_ERR_RATE_LIMITED) {
        remote->refused_sent_at = remote->sent_at;
    }
}

static void
on_remote_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    mr_limit_remote_t *remote = ctx;
    mr_limit_account_t *account = remote->account;
    mr_limit_t *limit = account->limit;

    remote->call = NULL;
    mr_limit_remotes_return_spent(account, mr_limit_now(limit));
    if (error == MR_OK && reply->type == MR_MSG_GRANT_REPLY) {
        handle_remote_reply(remote, &reply->u.grant_reply);
    }
    else {
        mr_counter_add(limit->request_failures, 1);
        g_hash_table_remove(limit->remote_owners, remote->key);
    }
    mr_limit_serve_held(account, mr_limit_refused_until(account));
    mr_limit_remotes_request(account, true);
}

static void
destroy_remote(mr_limit_remote_t *remote)
{
    if (remote->call != NULL) {
        mr_peer_cancel(remote->call);
    }
    mr_list_remove(&remote->link);
    free(remote->data_centre);
    free(remote->key);
    free(remote);
}

void
mr_limit_remotes_sync(mr_limit_account_t *account)
{
    mr_limit_t *limit = account->limit;
    const mr_config_t *config = mr_limit_config(limit);
    size_t count = config == NULL ? 0 : config->data_centre_count;
    char key[160];

    MR_LIST_FOREACH(it, &account->remotes)
    {
        mr_limit_remote_t *remote = MR_LIST_ENTRY(it, mr_limit_remote_t, link);
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
            mr_limit_remote_t *remote =
                MR_LIST_ENTRY(it, mr_limit_remote_t, link);
            found = found || strcmp(name, remote->data_centre) == 0;
        }
        if (!found) {
            mr_limit_remote_t *remote = MR_NEW(mr_limit_remote_t);
            mr_limiter_shard_key(name, mr_limiter_shard(account->name), key,
                                 sizeof(key));
            remote->account = account;
            remote->data_centre = mr_strdup(name);
            remote->key = mr_strdup(key);
            remote->sent_at = INT64_MIN / 2;
            remote->refused_sent_at = INT64_MIN;
            mr_list_append(&account->remotes, &remote->link);
        }
    }
}

static const mr_member_t *
find_remote_limiter(const mr_limit_remote_t *remote)
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

/* The data centre that was asked least recently, or NULL if none can be asked
 * now. */
static mr_limit_remote_t *
next_remote(const mr_limit_account_t *account, mr_ms_t now)
{
    mr_limit_remote_t *found = NULL;

    MR_LIST_FOREACH(it, &account->remotes)
    {
        mr_limit_remote_t *remote = MR_LIST_ENTRY(it, mr_limit_remote_t, link);
        if (remote->call == NULL && now - remote->sent_at >= REMOTE_INTERVAL_MS
            && (found == NULL || remote->sent_at < found->sent_at)) {
            found = remote;
        }
    }
    return found;
}

static void
send_remote_request(mr_limit_remote_t *remote, int64_t wanted, mr_ms_t now)
{
    mr_limit_account_t *account = remote->account;
    mr_limit_t *limit = account->limit;
    mr_msg_t msg = {.type = MR_MSG_GRANT};
    const mr_member_t *member = find_remote_limiter(remote);

    remote->sent_at = now;
    if (member == NULL) {
        return;
    }
    msg.u.grant = (mr_msg_grant_t){
        .account = account->name,
        .wanted = wanted < REMOTE_TOKENS_MAX ? wanted : REMOTE_TOKENS_MAX,
        .process = limit->process,
        .tokens_only = true,
    };
    mr_counter_add(limit->remote_requests, 1);
    remote->call = mr_peer_call(limit->options.peer, member->address, &msg,
                                REMOTE_TIMEOUT_MS, on_remote_reply, remote);
}

/*
 * When demand moves to another data centre, the share follows only after
 * writes to the store. Until then the limiters of other data centres can give
 * tokens from their shares.
 */
void
mr_limit_remotes_request(mr_limit_account_t *account, bool at_once)
{
    mr_ms_t now = mr_limit_now(account->limit);
    size_t in_flight = 0;
    mr_limit_remote_t *remote;

    if (mr_list_empty(&account->waits)) {
        return;
    }
    mr_limit_wait_t *oldest =
        MR_LIST_ENTRY(account->waits.next, mr_limit_wait_t, link);
    if (!at_once && now - oldest->arrived_at < REMOTE_DELAY_MS
        && account->own_refused_sent_at < oldest->arrived_at) {
        return;
    }
    if (mr_list_empty(&account->remotes)) {
        mr_limit_remotes_sync(account);
    }
    MR_LIST_FOREACH(it, &account->remotes)
    {
        in_flight += MR_LIST_ENTRY(it, mr_limit_remote_t, link)->call != NULL;
    }
    int64_t wanted =
        (int64_t)account->wait_count
        + account->local.demand * REMOTE_AHEAD_MS / (1000 * MR_TOKEN_MILLI);
    /* Each data centre is asked for a part only: tokens that expire unused are
     * lost for all. */
    int64_t part = (wanted + REMOTE_PARALLEL - 1) / REMOTE_PARALLEL;
    int64_t requested = (int64_t)in_flight * part;
    while (in_flight < REMOTE_PARALLEL && requested < wanted
           && (remote = next_remote(account, now)) != NULL) {
        send_remote_request(remote, part, now);
        in_flight += remote->call != NULL;
        requested += remote->call != NULL ? part : 0;
    }
}

void
mr_limit_remotes_scale(mr_limit_account_t *account, mr_limit_amount_t to,
                       mr_ms_t now)
{
    MR_LIST_FOREACH(it, &account->remotes)
    {
        mr_held_grants_scale(
            &MR_LIST_ENTRY(it, mr_limit_remote_t, link)->grants,
            account->local.limit, to, now);
    }
}

void
mr_limit_remotes_destroy(mr_limit_account_t *account)
{
    while (!mr_list_empty(&account->remotes)) {
        destroy_remote(
            MR_LIST_ENTRY(account->remotes.next, mr_limit_remote_t, link));
    }
}

void
mr_limit_remotes_return_all(mr_limit_account_t *account, mr_ms_t now)
{
    int64_t id;

    MR_LIST_FOREACH(it, &account->remotes)
    {
        mr_limit_remote_t *remote = MR_LIST_ENTRY(it, mr_limit_remote_t, link);
        while ((id = mr_held_grants_drop(&remote->grants, now)) != 0) {
            return_remote_grant(remote, id);
        }
    }
}
