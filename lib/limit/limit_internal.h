#ifndef MR_LIMIT_LIMIT_INTERNAL_H
#define MR_LIMIT_LIMIT_INTERNAL_H

/* Shared by limit.c (requests, own limiter) and limit_remote.c (tokens of
 * other data centres). */

#include <glib.h>

#include "common/list.h"
#include "limit/limit.h"
#include "limit/limiter.h"
#include "limit/local.h"

typedef struct mr_limit_account mr_limit_account_t;

/* Tokens of one other data centre for one account; see
 * mr_limit_remotes_request(). Ids of grants are unique only within a data
 * centre, so each has its own hold. */
typedef struct mr_limit_remote {
    mr_list_t link;
    mr_limit_account_t *account;
    char *data_centre;
    char *key; /* of its limiter */
    mr_held_grants_t grants;
    mr_peer_call_t *call;
    mr_ms_t sent_at;
    mr_ms_t refused_at; /* its last refusal was asked for then */
} mr_limit_remote_t;

struct mr_limit_account {
    mr_list_t link;
    mr_limit_t *limit;
    struct event *request_event; /* asks for a request that was just held */
    char *name;
    mr_limit_local_t local;
    mr_list_t waits; /* by arrival */
    size_t wait_count;
    mr_list_t requests;
    int64_t admitted;
    int64_t refused;
    bool configured;        /* in the configuration in force */
    mr_list_t remotes;      /* in the order in which they are asked */
    mr_ms_t own_refused_at; /* the own limiter's last refusal was asked then */
};

/* A held request. */
struct mr_limit_wait {
    mr_list_t link;
    mr_limit_account_t *account;
    mr_ms_t arrived_at;
    mr_limit_fn_t fn;
    void *ctx;
};

/* Who is believed to be the limiter of a shard. */
typedef struct mr_limit_route {
    char *owner;
    size_t next; /* candidate that is asked when the owner fails */
} mr_limit_route_t;

struct mr_limit {
    mr_limit_options_t options;
    char *name;
    char *data_centre;
    int64_t process;
    mr_limiter_t *limiter;
    GHashTable *by_name;
    GHashTable *remote_owners; /* limiter's key -> instance */
    mr_list_t accounts;
    mr_limit_route_t routes[MR_LIMITER_SHARDS];
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
/** mr_limit_serve_held() - admit held requests in order; refuse those that
 * arrived up to @refuse_to, and those that were held as long as allowed. */
void mr_limit_serve_held(mr_limit_account_t *account, mr_ms_t refuse_to);
/** mr_limit_send_return() - tell limiter @owner that grant @id is given back.
 */
void mr_limit_send_return(mr_limit_account_t *account, const char *owner,
                          int64_t id);

/* limit_remote.c */
bool mr_limit_remotes_admit(mr_limit_account_t *account, mr_ms_t now);
/** mr_limit_refused_until() - requests that arrived up to then are refused:
 * since then the own limiter and those of all other data centres have said
 * that they have no token. */
mr_ms_t mr_limit_refused_until(const mr_limit_account_t *account);
void mr_limit_remotes_return_spent(mr_limit_account_t *account, mr_ms_t now);
/** mr_limit_remotes_sync() - bring the list in line with the data centres of
 * the configuration. */
void mr_limit_remotes_sync(mr_limit_account_t *account);
/** mr_limit_remotes_request() - ask other data centres for tokens of the
 * requests that are held; @at_once: the own limiter has answered without a
 * token, or failed. */
void mr_limit_remotes_request(mr_limit_account_t *account, bool at_once);
void mr_limit_remotes_scale(mr_limit_account_t *account, mr_limit_amount_t to,
                            mr_ms_t now);
/** mr_limit_remotes_return_all() - give all tokens back. */
void mr_limit_remotes_return_all(mr_limit_account_t *account, mr_ms_t now);
void mr_limit_remotes_destroy(mr_limit_account_t *account);

#endif
