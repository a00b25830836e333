#ifndef MR_LIMIT_LIMIT_INTERNAL_H
#define MR_LIMIT_LIMIT_INTERNAL_H

/* Shared by limit.c (client requests and the limiter of the own data centre)
 * and limit_remote.c (tokens from limiters of other data centres). */

#include <glib.h>

#include "common/list.h"
#include "limit/limit.h"
#include "limit/limiter.h"
#include "limit/local.h"

typedef struct mr_limit_account mr_limit_account_t;

/* Tokens from one other data centre for one account; see
 * mr_limit_remotes_request(). Ids of grants are unique only within a data
 * centre, so grants are kept separately for each. */
typedef struct mr_limit_remote {
    mr_list_t link;
    mr_limit_account_t *account;
    char *data_centre;
    char *key; /* shard key of its limiter, see mr_limiter_shard_key() */
    mr_held_grants_t grants;
    mr_peer_call_t *call;
    mr_ms_t sent_at;
    mr_ms_t refused_sent_at; /* when the last refused request was sent */
} mr_limit_remote_t;

struct mr_limit_account {
    mr_list_t link;
    mr_limit_t *limit;
    /* Starts a grant request for a client request that was just held. */
    struct event *request_event;
    char *name;
    mr_limit_local_t local;
    mr_list_t waits; /* held requests in order of arrival */
    size_t wait_count;
    mr_list_t requests; /* grant requests without a reply */
    int64_t admitted;
    int64_t refused;
    bool configured;   /* in the configuration in force */
    mr_list_t remotes; /* other data centres */
    /* When the last request that the own limiter refused was sent. */
    mr_ms_t own_refused_sent_at;
};

/* A client request that is held until a token is available. */
struct mr_limit_wait {
    mr_list_t link;
    mr_limit_account_t *account;
    mr_ms_t arrived_at;
    mr_limit_fn_t fn;
    void *ctx;
};

/* The instance that is assumed to be the limiter of a shard. */
typedef struct mr_limit_shard_owner {
    char *owner;
    size_t next_candidate; /* in rendezvous order, if the owner fails */
} mr_limit_shard_owner_t;

struct mr_limit {
    mr_limit_options_t options;
    char *name;
    char *data_centre;
    int64_t process;
    mr_limiter_t *limiter;
    GHashTable *by_name;       /* accounts */
    GHashTable *remote_owners; /* shard key -> name of the limiter instance */
    mr_list_t accounts;
    mr_limit_shard_owner_t shard_owners[MR_LIMITER_SHARDS];
    size_t held_count;
    struct event *timer;
    bool fast_tick; /* the timer runs at TICK_HELD_MS */
    mr_counter_t *admitted;
    mr_counter_t *refused;
    mr_counter_t *refused_unanswered;
    mr_counter_t *held;
    mr_counter_t *requests_sent;
    mr_counter_t *request_failures;
    mr_counter_t *remote_requests;
};

/* limit.c */
mr_ms_t mr_limit_now(const mr_limit_t *limit);
const mr_config_t *mr_limit_config(const mr_limit_t *limit);
/** mr_limit_serve_held() - admit held requests in order of arrival. Refuses
 * those that arrived at @refuse_until or before, and those that were held for
 * MR_LIMIT_HOLD_MS. */
void mr_limit_serve_held(mr_limit_account_t *account, mr_ms_t refuse_until);
/** mr_limit_send_return() - return grant @id to limiter @owner. */
void mr_limit_send_return(mr_limit_account_t *account, const char *owner,
                          int64_t id);

/* limit_remote.c */
bool mr_limit_remotes_admit(mr_limit_account_t *account, mr_ms_t now);
/** mr_limit_refused_until() - requests that arrived at this time or before are
 * to be refused: the limiters of all data centres have refused a grant request
 * that was sent at this time or later. INT64_MIN: not all of them have. */
mr_ms_t mr_limit_refused_until(const mr_limit_account_t *account);
void mr_limit_remotes_return_spent(mr_limit_account_t *account, mr_ms_t now);
/** mr_limit_remotes_sync() - update the list to the data centres in the
 * configuration. */
void mr_limit_remotes_sync(mr_limit_account_t *account);
/** mr_limit_remotes_request() - request tokens for the held requests from
 * other data centres. @at_once: the own limiter replied without enough tokens,
 * or failed. */
void mr_limit_remotes_request(mr_limit_account_t *account, bool at_once);
void mr_limit_remotes_scale(mr_limit_account_t *account, mr_limit_amount_t to,
                            mr_ms_t now);
/** mr_limit_remotes_return_all() - return all tokens to their limiters. */
void mr_limit_remotes_return_all(mr_limit_account_t *account, mr_ms_t now);
void mr_limit_remotes_destroy(mr_limit_account_t *account);

#endif
