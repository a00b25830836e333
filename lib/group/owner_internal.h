#ifndef MR_GROUP_OWNER_INTERNAL_H
#define MR_GROUP_OWNER_INTERNAL_H

/* Shared by owner.c (the owned targets), owner_request.c (single requests) and
 * transaction.c. */

#include <glib.h>

#include "common/list.h"
#include "group/observer.h"
#include "group/owner.h"
#include "group/pool.h"

/** An observed group. */
typedef struct mr_owned_group {
    char *name;
    mr_observer_t *observer;
    size_t target_count; /* owned targets */
} mr_owned_group_t;

/** A target that this instance holds connections to. */
typedef struct mr_owned_target {
    mr_owner_t *owner;
    char *name;
    char *address;
    mr_owned_group_t *group;
    size_t index; /* within the group's list of targets */
    mr_pool_t *pool;
    size_t active_count;      /* requests and transactions in progress */
    size_t transaction_count; /* open or being opened */
    size_t transactions_max;  /* leaves one connection for each slot */
    mr_ms_t used_at;          /* last time it was used or owned */
} mr_owned_target_t;

struct mr_owner {
    mr_owner_options_t options;
    GHashTable *groups;       /* name -> mr_owned_group_t */
    GHashTable *targets;      /* name -> mr_owned_target_t */
    GHashTable *transactions; /* id -> mr_transaction_t */
    mr_list_t requests;
    struct event *tick_timer;
    size_t running;
    /* Member list generation and configuration version from which the owned
     * targets were last computed. */
    uint64_t member_generation;
    int64_t config_version;
};

/** mr_owner_find() - find the target of a request and open it on demand; NULL
 * when it is not configured, or not open and this instance may not own it. */
mr_owned_target_t *mr_owner_find(mr_owner_t *owner, const char *group,
                                 const char *target);

/** mr_owner_weight() - the configured queue weight of an account. */
int64_t mr_owner_weight(const mr_owner_t *owner, const char *account);

typedef struct mr_owner_request mr_owner_request_t;

/** mr_owner_request_start() - run a request that is not part of an open
 * transaction. */
void mr_owner_request_start(mr_owned_target_t *target,
                            const mr_msg_execute_t *msg, mr_execute_fn_t fn,
                            void *ctx);

/** mr_owner_request_writing() - whether a write was sent to @target and has
 * not completed yet. */
bool mr_owner_request_writing(const mr_owned_target_t *target);

/** mr_owner_request_abort_all() - fail all requests when the service is
 * destroyed. */
void mr_owner_request_abort_all(mr_owner_t *owner);

typedef struct mr_transaction mr_transaction_t;

/** mr_transaction_open() - keep @conn for the transaction that the target
 * began on it as @target_id; returns this instance's id of the transaction. */
const char *mr_transaction_open(mr_owned_target_t *target,
                                const mr_msg_execute_t *msg,
                                mr_target_conn_t *conn, const char *target_id,
                                int64_t term);

/** mr_transaction_execute() - run a statement, commit or rollback of an open
 * transaction. */
void mr_transaction_execute(mr_owner_t *owner, const mr_msg_execute_t *msg,
                            mr_execute_fn_t fn, void *ctx);

/** mr_transaction_writing() - whether a read-write transaction is open at
 * @target. */
bool mr_transaction_writing(const mr_owned_target_t *target);

/** mr_transaction_free() - free a transaction. Closes its connection, if it
 * still has one, which makes the target roll back. */
void mr_transaction_free(mr_transaction_t *transaction);

#endif
