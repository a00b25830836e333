#ifndef MR_GROUP_OWNER_INTERNAL_H
#define MR_GROUP_OWNER_INTERNAL_H

/* Shared by owner.c (which targets are owned), work.c (one request) and
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
    size_t users; /* owned targets */
} mr_owned_group_t;

/** A target that this instance holds connections to. */
typedef struct mr_owned_target {
    mr_owner_t *owner;
    char *name;
    char *address;
    mr_owned_group_t *group;
    size_t index; /* within the group */
    mr_pool_t *pool;
    size_t users;            /* requests and transactions */
    size_t transactions;     /* open ones, and those being opened */
    size_t transactions_max; /* leaves a connection for each slot */
    mr_ms_t used_at;
} mr_owned_target_t;

struct mr_owner {
    mr_owner_options_t options;
    GHashTable *groups;       /* name -> mr_owned_group_t */
    GHashTable *targets;      /* name -> mr_owned_target_t */
    GHashTable *transactions; /* id -> mr_transaction_t */
    mr_list_t works;
    struct event *timer;
    size_t running;
    /* Of the members and the configuration that ownership was last worked out
     * from. */
    uint64_t generation;
    int64_t config_version;
};

/** mr_owner_find() - the owned target of a request, opened on demand; NULL
 * when this instance is not among its first two owners. */
mr_owned_target_t *mr_owner_find(mr_owner_t *owner, const char *group,
                                 const char *target);

/** mr_owner_weight() - an account's weight in the queues. */
int64_t mr_owner_weight(const mr_owner_t *owner, const char *account);

typedef struct mr_work mr_work_t;

/** mr_work_start() - run one request that is not part of a transaction. */
void mr_work_start(mr_owned_target_t *target, const mr_msg_execute_t *msg,
                   mr_execute_fn_t fn, void *ctx);

/** mr_work_writing() - whether a write was sent to @target and is neither
 * answered nor acknowledged yet. */
bool mr_work_writing(const mr_owned_target_t *target);

/** mr_work_abandon() - end all requests when the service closes. */
void mr_work_abandon(mr_owner_t *owner);

typedef struct mr_transaction mr_transaction_t;

/** mr_transaction_open() - keep @conn for the transaction @target_id that was
 * begun on it; returns the transaction's id here. */
const char *mr_transaction_open(mr_owned_target_t *target,
                                const mr_msg_execute_t *msg,
                                mr_target_conn_t *conn, const char *target_id,
                                int64_t term);

/** mr_transaction_execute() - run a statement, commit or rollback in an open
 * transaction. */
void mr_transaction_execute(mr_owner_t *owner, const mr_msg_execute_t *msg,
                            mr_execute_fn_t fn, void *ctx);

/** mr_transaction_writing() - whether a transaction that may write is open at
 * @target. */
bool mr_transaction_writing(const mr_owned_target_t *target);

/** mr_transaction_free() - roll back by closing the connection. */
void mr_transaction_free(mr_transaction_t *transaction);

#endif
