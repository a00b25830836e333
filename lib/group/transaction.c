/*
 * Open transactions. Each pins one target connection. The target binds a
 * transaction to its connection and to an id that the target issues, so a
 * statement of the transaction that arrives on another connection is refused
 * rather than executed outside the transaction.
 */

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "group/owner_internal.h"

enum {
    ID_BYTES = 16,
    IDLE_TIMEOUT_MS = 10000,
    /* Requests end this long before the caller's deadline, so that the answer
     * still arrives in time. */
    REPLY_MARGIN_MS = 5,
};

struct mr_transaction {
    char id[ID_BYTES * 2 + 1];
    char *target_id;
    char *account;
    mr_owned_target_t *target;
    mr_target_conn_t *conn;
    bool holds_slot;
    int64_t access;
    int64_t term;
    struct event *idle_timer;
    /* The statement in progress; @fn is NULL when there is none. */
    mr_msg_execute_t *msg;
    mr_execute_fn_t fn;
    void *ctx;
    mr_ms_t deadline;
    mr_ms_t sent_at;
    mr_pool_wait_t *slot_wait;
    mr_observer_wait_t *ack_wait;
    mr_msg_execute_reply_t *pending_reply;
};

void
mr_transaction_free(mr_transaction_t *transaction)
{
    mr_transaction_t *t = transaction;

    if (t->slot_wait != NULL) {
        mr_pool_cancel(t->slot_wait);
    }
    if (t->ack_wait != NULL) {
        mr_observer_cancel(t->ack_wait);
    }
    if (t->conn != NULL && t->holds_slot) {
        mr_pool_release(t->target->pool, t->conn, MR_POOL_CLOSE);
    }
    else if (t->conn != NULL) {
        mr_pool_unpin(t->target->pool, t->conn, false);
    }
    t->target->transaction_count--;
    t->target->active_count--;
    event_free(t->idle_timer);
    mr_execute_reply_free(t->pending_reply);
    mr_execute_free(t->msg);
    free(t->target_id);
    free(t->account);
    free(t);
}

static void
close_transaction(mr_transaction_t *t)
{
    g_hash_table_remove(t->target->owner->transactions, t->id);
}

static void
on_idle_timeout(evutil_socket_t fd, short what, void *ctx)
{
    mr_transaction_t *t = ctx;

    (void)fd;
    (void)what;
    mr_counter_add(mr_counters_get(t->target->owner->options.counters,
                                   "masticrelay_transactions_idle_total", "",
                                   "transactions rolled back for idleness"),
                   1);
    close_transaction(t);
}

static void
restart_idle_timer(mr_transaction_t *t)
{
    struct timeval tv = mr_clock_timeval(IDLE_TIMEOUT_MS);

    evtimer_add(t->idle_timer, &tv);
}

/* Answers the statement in progress; closes the transaction unless @keep. */
static void
finish(mr_transaction_t *t, const mr_msg_execute_reply_t *reply, bool keep)
{
    mr_execute_fn_t fn = t->fn;
    void *ctx = t->ctx;
    mr_msg_execute_reply_t *copy = mr_execute_reply_copy(reply);

    t->fn = NULL;
    mr_execute_free(t->msg);
    t->msg = NULL;
    if (keep) {
        restart_idle_timer(t);
    }
    else {
        close_transaction(t);
    }
    fn(ctx, copy);
    mr_execute_reply_free(copy);
}

static void
fail(mr_transaction_t *t, mr_error_kind_t error, const char *message,
     bool keep)
{
    mr_msg_execute_reply_t reply;

    mr_execute_reply_init(&reply, error, message);
    reply.target = t->target->name;
    if (error == MR_ERR_OUTCOME_UNKNOWN) {
        reply.term = t->term;
    }
    finish(t, &reply, keep);
}

static void
fill_reply(mr_transaction_t *t, const mr_target_reply_t *reply,
           mr_msg_execute_reply_t *out)
{
    mr_execute_reply_init(out, reply->error, reply->message);
    out->result = reply->result;
    out->target = t->target->name;
    out->primary = reply->state.primary;
    out->term = reply->state.last_term;
    out->position = reply->state.position;
}

static void
on_acknowledged(void *ctx, bool ok)
{
    mr_transaction_t *t = ctx;
    mr_msg_execute_reply_t *reply = t->pending_reply;

    t->ack_wait = NULL;
    if (!ok) {
        reply->error = MR_ERR_OUTCOME_UNKNOWN;
        free((void *)reply->message);
        reply->message =
            mr_strdup("the commit was executed, but no majority was observed "
                      "to hold it");
    }
    mr_observer_t *observer = t->target->group->observer;
    size_t covering = mr_view_covering(mr_observer_view(observer), reply->term,
                                       reply->position, mr_clock_now(NULL));
    if (covering != MR_VIEW_NONE) {
        free((void *)reply->covering_target);
        reply->covering_target =
            mr_strdup(mr_observer_target_name(observer, covering));
    }
    t->pending_reply = NULL;
    finish(t, reply, false);
    mr_execute_reply_free(reply);
}

static void
finish_commit(mr_transaction_t *t, const mr_target_reply_t *reply)
{
    mr_msg_execute_reply_t out;

    mr_pool_unpin(t->target->pool, t->conn, true);
    t->conn = NULL;
    fill_reply(t, reply, &out);
    if (t->access == MR_ACCESS_READ) {
        finish(t, &out, false);
        return;
    }
    out.term = t->term;
    t->pending_reply = mr_execute_reply_copy(&out);
    mr_observer_condition_t condition = {
        .kind = MR_WAIT_ACKNOWLEDGED,
        .term = t->term,
        .position = reply->state.position,
        .index = t->target->index,
        .deadline = t->deadline - REPLY_MARGIN_MS,
    };
    t->ack_wait = mr_observer_wait(t->target->group->observer, &condition,
                                   on_acknowledged, t);
}

static void
handle_success(mr_transaction_t *t, const mr_target_reply_t *reply)
{
    mr_msg_execute_reply_t out;

    switch ((mr_operation_t)t->msg->operation) {
    case MR_OPERATION_COMMIT:
        finish_commit(t, reply);
        return;
    case MR_OPERATION_ROLLBACK:
        mr_pool_unpin(t->target->pool, t->conn, true);
        t->conn = NULL;
        fill_reply(t, reply, &out);
        finish(t, &out, false);
        return;
    case MR_OPERATION_STATEMENT:
    case MR_OPERATION_BEGIN:
        break;
    }
    fill_reply(t, reply, &out);
    finish(t, &out, true);
}

static void
handle_refusal(mr_transaction_t *t, const mr_target_reply_t *reply)
{
    switch (reply->refusal) {
    case MR_REFUSAL_BUSY:
        fail(t, MR_ERR_OVERLOADED, "the target has no free slot", true);
        return;
    case MR_REFUSAL_NONE:
    case MR_REFUSAL_WRONG_TERM:
    case MR_REFUSAL_NOT_PRIMARY:
    case MR_REFUSAL_LEAVING:
    case MR_REFUSAL_NO_TRANSACTION:
    case MR_REFUSAL_OTHER:
        break;
    }
    fail(t, MR_ERR_TRANSACTION_LOST, "the target rolled the transaction back",
         false);
}

static void
on_target_reply(void *ctx, const mr_target_reply_t *reply)
{
    mr_transaction_t *t = ctx;
    mr_observer_t *observer = t->target->group->observer;
    bool broken = reply->error == MR_ERR_UNAVAILABLE
                  || reply->error == MR_ERR_OUTCOME_UNKNOWN;
    mr_msg_execute_reply_t out;

    if (reply->has_state) {
        mr_observer_report(observer, t->target->index, &reply->state,
                           t->sent_at);
    }
    t->holds_slot = false;
    mr_pool_release(t->target->pool, t->conn,
                    broken ? MR_POOL_CLOSE : MR_POOL_PIN);
    if (broken) {
        t->conn = NULL;
        mr_observer_report_failure(observer, t->target->index);
    }
    switch (reply->error) {
    case MR_OK:
        handle_success(t, reply);
        break;
    case MR_ERR_STATEMENT_FAILED:
        fill_reply(t, reply, &out);
        finish(t, &out, t->msg->operation == MR_OPERATION_STATEMENT);
        break;
    case MR_ERR_TARGET_REFUSED:
        handle_refusal(t, reply);
        break;
    case MR_ERR_UNAVAILABLE:
        fail(t, MR_ERR_TRANSACTION_LOST,
             "the transaction's connection was closed", false);
        break;
    default:
        fail(t, MR_ERR_OUTCOME_UNKNOWN,
             "the target did not answer; the transaction was closed", false);
        break;
    }
}

static mr_target_operation_t
target_operation(const mr_msg_execute_t *msg)
{
    switch ((mr_operation_t)msg->operation) {
    case MR_OPERATION_COMMIT:
        return MR_TARGET_COMMIT;
    case MR_OPERATION_ROLLBACK:
        return MR_TARGET_ROLLBACK;
    case MR_OPERATION_STATEMENT:
    case MR_OPERATION_BEGIN:
        break;
    }
    return MR_TARGET_EXECUTE;
}

static void
on_slot(void *ctx, mr_error_kind_t error, mr_target_conn_t *conn)
{
    mr_transaction_t *t = ctx;
    mr_target_request_t request = {
        .operation = target_operation(t->msg),
        .access = (mr_access_t)t->msg->access,
        .term = t->term,
        .statement = t->msg->statement,
        .transaction = t->target_id,
        .timeout = t->deadline - mr_clock_now(NULL) - REPLY_MARGIN_MS,
    };

    t->slot_wait = NULL;
    if (error != MR_OK) {
        fail(t, error, "no slot of the target became available", true);
        return;
    }
    t->holds_slot = true;
    if (!mr_target_conn_usable(conn)) {
        fail(t, MR_ERR_TRANSACTION_LOST,
             "the transaction's connection was closed", false);
        return;
    }
    if (request.timeout <= 0) {
        t->holds_slot = false;
        mr_pool_release(t->target->pool, conn, MR_POOL_PIN);
        fail(t, MR_ERR_DEADLINE_EXCEEDED,
             "the deadline passed in the target's queue", true);
        return;
    }
    t->sent_at = mr_clock_now(NULL);
    mr_target_conn_send(conn, &request, on_target_reply, t);
}

static void
reject(mr_execute_fn_t fn, void *ctx, mr_error_kind_t error,
       const char *message)
{
    mr_msg_execute_reply_t reply;

    mr_execute_reply_init(&reply, error, message);
    fn(ctx, &reply);
}

void
mr_transaction_execute(mr_owner_t *owner, const mr_msg_execute_t *msg,
                       mr_execute_fn_t fn, void *ctx)
{
    mr_transaction_t *t =
        g_hash_table_lookup(owner->transactions, msg->transaction);

    if (t == NULL) {
        reject(fn, ctx, MR_ERR_TRANSACTION_LOST,
               "the transaction is not open");
        return;
    }
    if (strcmp(t->account, msg->account) != 0
        || strcmp(t->target->group->name, msg->group) != 0) {
        reject(fn, ctx, MR_ERR_INVALID_TRANSACTION,
               "the transaction belongs to another account or group");
        return;
    }
    if (t->fn != NULL) {
        reject(fn, ctx, MR_ERR_TRANSACTION_BUSY,
               "a statement of the transaction is in progress");
        return;
    }
    if (msg->operation == MR_OPERATION_STATEMENT
        && msg->access == MR_ACCESS_WRITE && t->access == MR_ACCESS_READ) {
        reject(fn, ctx, MR_ERR_INVALID_TRANSACTION,
               "the transaction is read-only");
        return;
    }
    evtimer_del(t->idle_timer);
    t->msg = mr_execute_copy(msg);
    t->fn = fn;
    t->ctx = ctx;
    t->deadline = mr_clock_now(NULL) + msg->deadline_ms;
    t->slot_wait = mr_pool_acquire(t->target->pool, t->account,
                                   mr_owner_weight(owner, t->account), t->conn,
                                   t->deadline, on_slot, t);
}

bool
mr_transaction_writing(const mr_owned_target_t *target)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, target->owner->transactions);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const mr_transaction_t *t = value;
        if (t->target == target && t->access == MR_ACCESS_WRITE) {
            return true;
        }
    }
    return false;
}

const char *
mr_transaction_open(mr_owned_target_t *target, const mr_msg_execute_t *msg,
                    mr_target_conn_t *conn, const char *target_id,
                    int64_t term)
{
    mr_transaction_t *t = MR_NEW(mr_transaction_t);
    uint8_t id[ID_BYTES];

    randombytes_buf(id, sizeof(id));
    sodium_bin2hex(t->id, sizeof(t->id), id, sizeof(id));
    t->target_id = mr_strdup(target_id);
    t->account = mr_strdup(msg->account);
    t->target = target;
    t->conn = conn;
    t->access = msg->access;
    t->term = term;
    t->idle_timer =
        evtimer_new(target->owner->options.base, on_idle_timeout, t);
    target->transaction_count++;
    target->active_count++;
    restart_idle_timer(t);
    g_hash_table_insert(target->owner->transactions, t->id, t);
    return t->id;
}
