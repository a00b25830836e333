/*
 * Execution of one request on an owned target:
 *
 *   write: wait for the primary -> acquire a slot -> send -> wait until a
 *          majority holds the write
 *   read:  wait until the replica covers the session, or confirm the primary
 *          -> acquire a slot -> send -> check the log state in the answer
 *   begin: like a write or a read; then the connection stays pinned to the
 *          transaction
 */

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "group/owner_internal.h"

enum {
    /* How long a read waits for its replica to catch up when no other replica
     * covers the session. After that, the remaining time is better spent on a
     * read at the primary. */
    COVER_WAIT_MS = 50,
    /* Delay before retrying after the target refused the request. */
    REFUSED_RETRY_MS = 3,
    /* Requests end this long before the caller's deadline, so that the answer
     * still arrives in time. */
    REPLY_MARGIN_MS = 5,
};

struct mr_owner_request {
    mr_list_t link;
    mr_owned_target_t *target;
    mr_msg_execute_t *msg;
    mr_execute_fn_t fn;
    void *ctx;
    mr_ms_t deadline;
    mr_pool_wait_t *slot_wait;
    mr_observer_wait_t *wait;         /* primary, cover or acknowledgement */
    mr_observer_wait_t *confirm_wait; /* present reads */
    /* Writes: ends when there is a primary of a higher term. */
    mr_observer_wait_t *replacement_wait;
    bool confirmed; /* present reads: confirm_wait was met */
    struct event *retry_timer;
    mr_target_conn_t *conn;
    mr_ms_t sent_at;
    int64_t term; /* under which the request is sent */
    /* Answer held back until the write is acknowledged or the primary of a
     * present read is confirmed. */
    mr_msg_execute_reply_t *pending_reply;
};

static void start_write(mr_owner_request_t *req);
static void start_read(mr_owner_request_t *req);
static void send_request(mr_owner_request_t *req);

static mr_observer_t *
get_observer(const mr_owner_request_t *req)
{
    return req->target->group->observer;
}

static bool
is_write(const mr_owner_request_t *req)
{
    return req->msg->access == MR_ACCESS_WRITE;
}

/* Whether this read must be answered by a primary that is confirmed to be
 * current. */
static bool
is_present_read(const mr_owner_request_t *req)
{
    return !is_write(req)
           && (req->msg->freshness == MR_FRESHNESS_PRESENT
               || req->msg->token_uncertain);
}

static void
free_request(mr_owner_request_t *req)
{
    if (req->slot_wait != NULL) {
        mr_pool_cancel(req->slot_wait);
    }
    if (req->wait != NULL) {
        mr_observer_cancel(req->wait);
    }
    if (req->confirm_wait != NULL) {
        mr_observer_cancel(req->confirm_wait);
    }
    if (req->replacement_wait != NULL) {
        mr_observer_cancel(req->replacement_wait);
    }
    if (req->conn != NULL) {
        mr_pool_release(req->target->pool, req->conn, MR_POOL_CLOSE);
    }
    if (req->retry_timer != NULL) {
        event_free(req->retry_timer);
    }
    mr_list_remove(&req->link);
    if (req->msg->operation == MR_OPERATION_BEGIN) {
        req->target->transaction_count--;
    }
    req->target->active_count--;
    req->target->used_at = mr_clock_now(NULL);
    req->target->owner->running--;
    mr_execute_reply_free(req->pending_reply);
    mr_execute_free(req->msg);
    free(req);
}

static void
finish(mr_owner_request_t *req, const mr_msg_execute_reply_t *reply)
{
    mr_execute_fn_t fn = req->fn;
    void *ctx = req->ctx;
    mr_msg_execute_reply_t *copy = mr_execute_reply_copy(reply);

    /* Free the request first: the callback may destroy the service. */
    free_request(req);
    fn(ctx, copy);
    mr_execute_reply_free(copy);
}

/* Fills in the primary known to this observer. */
static void
set_hint(const mr_owner_request_t *req, mr_msg_execute_reply_t *reply)
{
    int64_t term = 0;
    const char *primary = mr_observer_primary(get_observer(req), &term, false);

    if (primary != NULL) {
        reply->hint = primary;
        reply->hint_term = term;
    }
}

static void
fail(mr_owner_request_t *req, mr_error_kind_t error, const char *message)
{
    mr_msg_execute_reply_t reply;

    mr_execute_reply_init(&reply, error, message);
    set_hint(req, &reply);
    reply.target = req->target->name;
    if (error == MR_ERR_OUTCOME_UNKNOWN) {
        reply.term = req->term;
    }
    finish(req, &reply);
}

static mr_ms_t
time_left(const mr_owner_request_t *req)
{
    return req->deadline - mr_clock_now(NULL);
}

static void
wait_for_condition(mr_owner_request_t *req, mr_observer_wait_kind_t kind,
                   int64_t term, int64_t position, mr_ms_t deadline,
                   mr_observer_fn_t fn)
{
    mr_observer_condition_t condition = {
        .kind = kind,
        .term = term,
        .position = position,
        .index = req->target->index,
        .deadline = deadline,
    };

    assert(req->wait == NULL);
    req->wait = mr_observer_wait(get_observer(req), &condition, fn, req);
}

static void
restart(mr_owner_request_t *req)
{
    if (is_write(req)) {
        start_write(req);
    }
    else {
        start_read(req);
    }
}

static void
on_retry_timer(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    restart(ctx);
}

static void
schedule_restart(mr_owner_request_t *req)
{
    struct timeval tv = mr_clock_timeval(REFUSED_RETRY_MS);

    if (req->retry_timer == NULL) {
        req->retry_timer =
            evtimer_new(req->target->owner->options.base, on_retry_timer, req);
    }
    evtimer_add(req->retry_timer, &tv);
}

/* Writes. */

static void
on_primary_available(void *ctx, bool ok)
{
    mr_owner_request_t *req = ctx;

    req->wait = NULL;
    if (ok) {
        start_write(req);
    }
    else {
        fail(req, MR_ERR_NO_PRIMARY, "the group has no usable primary");
    }
}

static void
on_slot(void *ctx, mr_error_kind_t error, mr_target_conn_t *conn)
{
    mr_owner_request_t *req = ctx;

    req->slot_wait = NULL;
    if (error != MR_OK) {
        fail(req, error, "no slot of the target became available");
        return;
    }
    req->conn = conn;
    send_request(req);
}

static void
acquire_slot(mr_owner_request_t *req)
{
    req->slot_wait =
        mr_pool_acquire(req->target->pool, req->msg->account,
                        mr_owner_weight(req->target->owner, req->msg->account),
                        NULL, req->deadline, on_slot, req);
}

/* A primary of a higher term exists. A write that was sent may be in the log,
 * but will no longer be acknowledged under its term: answer now, so that the
 * caller can continue at the new primary. */
static void
on_primary_replaced(void *ctx, bool ok)
{
    mr_owner_request_t *req = ctx;
    bool sent = req->conn != NULL || req->pending_reply != NULL;

    req->replacement_wait = NULL;
    if (!ok) {
        return;
    }
    if (sent) {
        fail(req, MR_ERR_OUTCOME_UNKNOWN,
             "the primary was replaced before the write was acknowledged");
    }
    else if (req->slot_wait != NULL) {
        mr_pool_cancel(req->slot_wait);
        req->slot_wait = NULL;
        start_write(req);
    }
}

static void
watch_for_replacement(mr_owner_request_t *req)
{
    mr_observer_condition_t condition = {
        .kind = MR_WAIT_PRIMARY,
        .term = req->term,
        .deadline = req->deadline,
    };

    if (req->replacement_wait != NULL) {
        mr_observer_cancel(req->replacement_wait);
    }
    req->replacement_wait = mr_observer_wait(get_observer(req), &condition,
                                             on_primary_replaced, req);
}

static void
start_write(mr_owner_request_t *req)
{
    int64_t term = 0;
    const char *primary = mr_observer_primary(get_observer(req), &term, false);

    int64_t min_term =
        req->term > req->msg->min_term ? req->term : req->msg->min_term;
    if (primary == NULL || term < min_term) {
        wait_for_condition(req, MR_WAIT_PRIMARY, min_term - 1, 0,
                           req->deadline, on_primary_available);
        return;
    }
    if (strcmp(primary, req->target->name) != 0) {
        fail(req, MR_ERR_WRONG_OWNER, "another target is the primary");
        return;
    }
    if (term > req->msg->max_term) {
        /* The entry must know up to which term an unknown outcome can still be
         * decided; it learns the higher term from this answer. */
        fail(req, MR_ERR_WRONG_OWNER, "the group has a higher term");
        return;
    }
    req->term = term;
    watch_for_replacement(req);
    acquire_slot(req);
}

static void
on_acknowledged(void *ctx, bool ok)
{
    mr_owner_request_t *req = ctx;
    mr_msg_execute_reply_t *reply = req->pending_reply;

    req->wait = NULL;
    if (!ok) {
        reply->error = MR_ERR_OUTCOME_UNKNOWN;
        free((void *)reply->message);
        reply->message =
            mr_strdup("the write was executed, but no majority was observed "
                      "to hold it");
    }
    const mr_view_t *view = mr_observer_view(get_observer(req));
    size_t covering = mr_view_covering(view, reply->term, reply->position,
                                       mr_clock_now(NULL));
    if (covering != MR_VIEW_NONE) {
        free((void *)reply->covering_target);
        reply->covering_target =
            mr_strdup(mr_observer_target_name(get_observer(req), covering));
    }
    finish(req, reply);
}

/* Reads. */

static void
on_covered(void *ctx, bool ok)
{
    mr_owner_request_t *req = ctx;

    req->wait = NULL;
    if (ok) {
        acquire_slot(req);
    }
    else {
        fail(req, MR_ERR_NOT_FRESH,
             "the replica is behind the session's log position");
    }
}

static void
finish_present_read(mr_owner_request_t *req)
{
    if (req->confirmed && req->pending_reply != NULL) {
        finish(req, req->pending_reply);
    }
}

static void
on_confirmed(void *ctx, bool ok)
{
    mr_owner_request_t *req = ctx;

    req->confirm_wait = NULL;
    if (!ok) {
        fail(req, MR_ERR_NOT_FRESH, "the primary could not be confirmed");
        return;
    }
    req->confirmed = true;
    finish_present_read(req);
}

static void
start_present_read(mr_owner_request_t *req)
{
    int64_t term = 0;
    const char *primary = mr_observer_primary(get_observer(req), &term, true);

    if (primary == NULL) {
        fail(req, MR_ERR_NO_PRIMARY, "the group has no reachable primary");
        return;
    }
    if (strcmp(primary, req->target->name) != 0) {
        fail(req, MR_ERR_WRONG_OWNER, "another target is the primary");
        return;
    }
    req->term = term;
    if (req->confirm_wait == NULL && !req->confirmed) {
        mr_observer_condition_t condition = {
            .kind = MR_WAIT_CONFIRMED,
            .term = term,
            .deadline = req->deadline,
        };
        req->confirm_wait =
            mr_observer_wait(get_observer(req), &condition, on_confirmed, req);
    }
    acquire_slot(req);
}

/* Rejects the request; the answer names another target that covers the
 * session, if there is one. */
static void
reject_stale(mr_owner_request_t *req, const char *message)
{
    mr_msg_execute_reply_t reply;
    const mr_view_t *view = mr_observer_view(get_observer(req));
    size_t other =
        mr_view_covering(view, req->msg->token_term, req->msg->token_position,
                         mr_clock_now(NULL));

    mr_execute_reply_init(&reply, MR_ERR_NOT_FRESH, message);
    set_hint(req, &reply);
    if (other != MR_VIEW_NONE && other != req->target->index) {
        reply.covering_target =
            mr_observer_target_name(get_observer(req), other);
    }
    finish(req, &reply);
}

static bool
is_fresh_enough(const mr_owner_request_t *req, const mr_log_state_t *state)
{
    if (req->msg->freshness != MR_FRESHNESS_MAX_AGE) {
        return true;
    }
    mr_ms_t age = mr_view_age(mr_observer_view(get_observer(req)), state,
                              mr_clock_now(NULL));

    return age >= 0 && age <= req->msg->max_age_ms;
}

/* Whether the target is unreachable while another one of its group is
 * reachable. Waiting for a connection would use up the caller's deadline. */
static bool
is_unreachable(const mr_owner_request_t *req)
{
    const mr_view_t *view = mr_observer_view(get_observer(req));
    mr_ms_t now = mr_clock_now(NULL);

    if (mr_view_reachable(view, req->target->index, now)) {
        return false;
    }
    for (size_t i = 0; i < view->count; i++) {
        if (mr_view_reachable(view, i, now)) {
            return true;
        }
    }
    return false;
}

static void
start_read(mr_owner_request_t *req)
{
    const mr_view_t *view = mr_observer_view(get_observer(req));
    const mr_view_target_t *target = &view->targets[req->target->index];
    int64_t term = req->msg->token_term;
    int64_t position = req->msg->token_position;

    if (is_present_read(req)) {
        start_present_read(req);
        return;
    }
    if (mr_view_leaving(view, req->target->index)) {
        reject_stale(req, "the target is leaving");
        return;
    }
    if (is_unreachable(req)) {
        fail(req, MR_ERR_UNAVAILABLE, "the target does not answer");
        return;
    }
    if (target->known && !is_fresh_enough(req, &target->state)) {
        reject_stale(req, "the replica's data is too old");
        return;
    }
    if (term == 0
        || (target->known
            && mr_log_state_covers(&target->state, term, position))) {
        acquire_slot(req);
        return;
    }
    size_t other = mr_view_covering(view, term, position, mr_clock_now(NULL));
    if (other != MR_VIEW_NONE && other != req->target->index) {
        reject_stale(req, "another replica holds the session's log position");
        return;
    }
    mr_ms_t until = mr_clock_now(NULL) + COVER_WAIT_MS;
    wait_for_condition(req, MR_WAIT_COVERED, term, position,
                       until < req->deadline ? until : req->deadline,
                       on_covered);
}

/* Sending requests and handling answers. */

static void
save_reply(mr_owner_request_t *req, const mr_target_reply_t *reply)
{
    mr_msg_execute_reply_t out;

    mr_execute_reply_init(&out, reply->error, reply->message);
    out.result = reply->result;
    out.target = req->target->name;
    out.primary = reply->state.primary;
    out.term = reply->state.last_term;
    out.position = reply->state.position;
    set_hint(req, &out);
    mr_execute_reply_free(req->pending_reply);
    req->pending_reply = mr_execute_reply_copy(&out);
}

static void
finish_write(mr_owner_request_t *req, const mr_target_reply_t *reply)
{
    save_reply(req, reply);
    req->pending_reply->term = req->term;
    wait_for_condition(req, MR_WAIT_ACKNOWLEDGED, req->term,
                       reply->state.position, req->deadline - REPLY_MARGIN_MS,
                       on_acknowledged);
}

static void
finish_read(mr_owner_request_t *req, const mr_target_reply_t *reply)
{
    const mr_log_state_t *state = &reply->state;

    if (is_present_read(req)) {
        if (!state->primary || state->term != req->term) {
            fail(req, MR_ERR_NOT_FRESH, "the target is no longer primary");
            return;
        }
        save_reply(req, reply);
        finish_present_read(req);
        return;
    }
    /* The view may have been outdated; the answer's own log state is not. */
    if (!mr_log_state_covers(state, req->msg->token_term,
                             req->msg->token_position)) {
        reject_stale(req, "the replica is behind the session's log position");
        return;
    }
    if (!is_fresh_enough(req, state)) {
        reject_stale(req, "the replica's data is too old");
        return;
    }
    save_reply(req, reply);
    finish(req, req->pending_reply);
}

static void
finish_begin(mr_owner_request_t *req, const mr_target_reply_t *reply)
{
    mr_target_conn_t *conn = req->conn;
    const mr_log_state_t *state = &reply->state;

    /* A former primary whose replacement is not known here yet must not serve
     * the session. */
    if (!mr_log_state_covers(state, req->msg->token_term,
                             req->msg->token_position)) {
        reject_stale(req, "the target is behind the session's log position");
        return;
    }
    req->conn = NULL;
    mr_pool_release(req->target->pool, conn, MR_POOL_PIN);
    const char *id = mr_transaction_open(req->target, req->msg, conn,
                                         reply->transaction, req->term);
    save_reply(req, reply);
    if (is_write(req)) {
        req->pending_reply->term = req->term;
    }
    free((void *)req->pending_reply->transaction);
    req->pending_reply->transaction = mr_strdup(id);
    free((void *)req->pending_reply->instance);
    req->pending_reply->instance = mr_strdup(req->target->owner->options.name);
    free((void *)req->pending_reply->address);
    req->pending_reply->address =
        mr_strdup(req->target->owner->options.address);
    finish(req, req->pending_reply);
}

static void
handle_success(mr_owner_request_t *req, const mr_target_reply_t *reply)
{
    if (req->msg->operation == MR_OPERATION_BEGIN) {
        finish_begin(req, reply);
        return;
    }
    mr_pool_release(req->target->pool, req->conn, MR_POOL_REUSE);
    req->conn = NULL;
    if (is_write(req)) {
        finish_write(req, reply);
    }
    else {
        finish_read(req, reply);
    }
}

static void
handle_refusal(mr_owner_request_t *req, const mr_target_reply_t *reply)
{
    switch (reply->refusal) {
    case MR_REFUSAL_BUSY:
        schedule_restart(req);
        return;
    case MR_REFUSAL_WRONG_TERM:
    case MR_REFUSAL_NOT_PRIMARY:
    case MR_REFUSAL_LEAVING:
        mr_observer_report_failure(get_observer(req), req->target->index);
        schedule_restart(req);
        return;
    case MR_REFUSAL_NONE:
    case MR_REFUSAL_NO_TRANSACTION:
    case MR_REFUSAL_OTHER:
        break;
    }
    fail(req, MR_ERR_TARGET_REFUSED, reply->message);
}

static void
on_target_reply(void *ctx, const mr_target_reply_t *reply)
{
    mr_owner_request_t *req = ctx;

    if (reply->has_state) {
        mr_observer_report(get_observer(req), req->target->index,
                           &reply->state, req->sent_at);
    }
    if (reply->error == MR_OK) {
        handle_success(req, reply);
        return;
    }
    mr_pool_release(req->target->pool, req->conn, MR_POOL_REUSE);
    req->conn = NULL;
    switch (reply->error) {
    case MR_ERR_STATEMENT_FAILED:
        save_reply(req, reply);
        finish(req, req->pending_reply);
        break;
    case MR_ERR_TARGET_REFUSED:
        handle_refusal(req, reply);
        break;
    case MR_ERR_UNAVAILABLE:
        mr_observer_report_failure(get_observer(req), req->target->index);
        fail(req, MR_ERR_UNAVAILABLE, "no connection to the target");
        break;
    default:
        mr_observer_report_failure(get_observer(req), req->target->index);
        fail(req, MR_ERR_OUTCOME_UNKNOWN, "the target did not answer");
        break;
    }
}

/* Sends the request once it holds a slot. The primary may have changed while
 * it was queued. */
static void
send_request(mr_owner_request_t *req)
{
    int64_t term = 0;
    mr_target_request_t request = {
        .operation = req->msg->operation == MR_OPERATION_BEGIN
                         ? MR_TARGET_BEGIN
                         : MR_TARGET_EXECUTE,
        .access = (mr_access_t)req->msg->access,
        .term = req->term,
        .statement = req->msg->statement,
        .timeout = time_left(req) - REPLY_MARGIN_MS,
    };

    if (request.timeout <= 0) {
        mr_pool_release(req->target->pool, req->conn, MR_POOL_REUSE);
        req->conn = NULL;
        fail(req, MR_ERR_DEADLINE_EXCEEDED,
             "the deadline passed in the target's queue");
        return;
    }
    if (is_write(req)) {
        const char *primary =
            mr_observer_primary(get_observer(req), &term, false);
        if (primary == NULL || term != req->term
            || strcmp(primary, req->target->name) != 0) {
            mr_pool_release(req->target->pool, req->conn, MR_POOL_REUSE);
            req->conn = NULL;
            start_write(req);
            return;
        }
    }
    req->sent_at = mr_clock_now(NULL);
    mr_target_conn_send(req->conn, &request, on_target_reply, req);
}

void
mr_owner_request_start(mr_owned_target_t *target, const mr_msg_execute_t *msg,
                       mr_execute_fn_t fn, void *ctx)
{
    mr_owner_request_t *req = MR_NEW(mr_owner_request_t);

    req->target = target;
    req->msg = mr_execute_copy(msg);
    req->fn = fn;
    req->ctx = ctx;
    req->deadline = mr_clock_now(NULL) + msg->deadline_ms;
    mr_list_append(&target->owner->requests, &req->link);
    target->active_count++;
    target->used_at = mr_clock_now(NULL);
    target->owner->running++;
    if (msg->operation == MR_OPERATION_BEGIN
        && target->transaction_count++ >= target->transactions_max) {
        fail(req, MR_ERR_OVERLOADED,
             "the target has no free connection for a transaction");
        return;
    }
    restart(req);
}

bool
mr_owner_request_writing(const mr_owned_target_t *target)
{
    MR_LIST_FOREACH(it, &target->owner->requests)
    {
        const mr_owner_request_t *req =
            MR_LIST_ENTRY(it, mr_owner_request_t, link);
        if (req->target == target && is_write(req)
            && (req->conn != NULL || req->pending_reply != NULL)) {
            return true;
        }
    }
    return false;
}

void
mr_owner_request_abort_all(mr_owner_t *owner)
{
    while (!mr_list_empty(&owner->requests)) {
        mr_owner_request_t *req =
            MR_LIST_ENTRY(owner->requests.next, mr_owner_request_t, link);
        bool sent = req->conn != NULL || req->pending_reply != NULL;
        fail(req, sent ? MR_ERR_OUTCOME_UNKNOWN : MR_ERR_SHUTTING_DOWN,
             "the instance is shutting down");
    }
}
