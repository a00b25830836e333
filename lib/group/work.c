/*
 * One request on an owned target, from its arrival to its answer:
 *
 *   write: usable primary -> slot -> run -> acknowledgement rule
 *   read:  covered or confirmed -> slot -> run -> check the answer's own log
 *   begin: as a write or a read, then the connection stays pinned
 */

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "group/owner_internal.h"

enum {
    /* How long a read waits for its replica when no other one covers the
     * session. Longer waits are better spent at the primary. */
    COVER_WAIT_MS = 50,
    /* Pause after the target refused for want of a slot. */
    BUSY_PAUSE_MS = 3,
    /* Short of the caller's deadline, so that the answer still arrives. */
    ANSWER_MARGIN_MS = 5,
};

struct mr_work {
    mr_list_t link;
    mr_owned_target_t *target;
    mr_msg_execute_t *msg;
    mr_execute_fn_t fn;
    void *ctx;
    mr_ms_t deadline;
    mr_pool_wait_t *queued;
    mr_observer_wait_t *waiting;    /* primary, cover or acknowledgement */
    mr_observer_wait_t *confirming; /* present reads */
    mr_observer_wait_t *replaced;   /* writes: a primary of a higher term */
    bool confirmed;
    struct event *pause;
    mr_target_conn_t *conn;
    mr_ms_t sent_at;
    int64_t term;                  /* under which the request was sent */
    mr_msg_execute_reply_t *saved; /* answer that waits for a rule */
};

static void start_write(mr_work_t *work);
static void start_read(mr_work_t *work);
static void run(mr_work_t *work);

static mr_observer_t *
observer_of(const mr_work_t *work)
{
    return work->target->group->observer;
}

static bool
is_write(const mr_work_t *work)
{
    return work->msg->access == MR_ACCESS_WRITE;
}

/* Whether only the confirmed primary may answer this read. */
static bool
is_present_read(const mr_work_t *work)
{
    return !is_write(work)
           && (work->msg->freshness == MR_FRESHNESS_PRESENT
               || work->msg->token_uncertain);
}

static void
free_work(mr_work_t *work)
{
    if (work->queued != NULL) {
        mr_pool_cancel(work->queued);
    }
    if (work->waiting != NULL) {
        mr_observer_cancel(work->waiting);
    }
    if (work->confirming != NULL) {
        mr_observer_cancel(work->confirming);
    }
    if (work->replaced != NULL) {
        mr_observer_cancel(work->replaced);
    }
    if (work->conn != NULL) {
        mr_pool_release(work->target->pool, work->conn, MR_POOL_CLOSE);
    }
    if (work->pause != NULL) {
        event_free(work->pause);
    }
    mr_list_remove(&work->link);
    if (work->msg->operation == MR_OPERATION_BEGIN) {
        work->target->transactions--;
    }
    work->target->users--;
    work->target->used_at = mr_clock_now(NULL);
    work->target->owner->running--;
    mr_execute_reply_free(work->saved);
    mr_execute_free(work->msg);
    free(work);
}

static void
finish(mr_work_t *work, const mr_msg_execute_reply_t *reply)
{
    mr_execute_fn_t fn = work->fn;
    void *ctx = work->ctx;
    mr_msg_execute_reply_t *copy = mr_execute_reply_copy(reply);

    /* The request is freed first: the callback may close the service. */
    free_work(work);
    fn(ctx, copy);
    mr_execute_reply_free(copy);
}

/* Fills in the primary as this observer sees it. */
static void
set_hint(const mr_work_t *work, mr_msg_execute_reply_t *reply)
{
    int64_t term = 0;
    const char *primary = mr_observer_primary(observer_of(work), &term, false);

    if (primary != NULL) {
        reply->hint = primary;
        reply->hint_term = term;
    }
}

static void
fail(mr_work_t *work, mr_error_kind_t error, const char *message)
{
    mr_msg_execute_reply_t reply;

    mr_execute_reply_init(&reply, error, message);
    set_hint(work, &reply);
    reply.target = work->target->name;
    if (error == MR_ERR_OUTCOME_UNKNOWN) {
        reply.term = work->term;
    }
    finish(work, &reply);
}

static mr_ms_t
time_left(const mr_work_t *work)
{
    return work->deadline - mr_clock_now(NULL);
}

static void
wait_for(mr_work_t *work, mr_observer_wait_kind_t kind, int64_t term,
         int64_t position, mr_ms_t deadline, mr_observer_fn_t fn)
{
    mr_observer_condition_t condition = {
        .kind = kind,
        .term = term,
        .position = position,
        .index = work->target->index,
        .deadline = deadline,
    };

    assert(work->waiting == NULL);
    work->waiting = mr_observer_wait(observer_of(work), &condition, fn, work);
}

static void
restart(mr_work_t *work)
{
    if (is_write(work)) {
        start_write(work);
    }
    else {
        start_read(work);
    }
}

static void
on_pause_over(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    restart(ctx);
}

static void
restart_later(mr_work_t *work)
{
    struct timeval tv = mr_clock_timeval(BUSY_PAUSE_MS);

    if (work->pause == NULL) {
        work->pause = evtimer_new(work->target->owner->options.base,
                                  on_pause_over, work);
    }
    evtimer_add(work->pause, &tv);
}

/* Writes. */

static void
on_primary(void *ctx, bool ok)
{
    mr_work_t *work = ctx;

    work->waiting = NULL;
    if (ok) {
        start_write(work);
    }
    else {
        fail(work, MR_ERR_NO_PRIMARY, "the group has no usable primary");
    }
}

static void
on_slot(void *ctx, mr_error_kind_t error, mr_target_conn_t *conn)
{
    mr_work_t *work = ctx;

    work->queued = NULL;
    if (error != MR_OK) {
        fail(work, error, "the target's queue did not serve the request");
        return;
    }
    work->conn = conn;
    run(work);
}

static void
enter_queue(mr_work_t *work)
{
    work->queued = mr_pool_acquire(
        work->target->pool, work->msg->account,
        mr_owner_weight(work->target->owner, work->msg->account), NULL,
        work->deadline, on_slot, work);
}

/* Another primary has taken over. A write that was sent can still be in the
 * log, but will not be acknowledged under its term any more; telling the
 * caller now lets it go on at the new primary. */
static void
on_replaced(void *ctx, bool ok)
{
    mr_work_t *work = ctx;
    bool sent = work->conn != NULL || work->saved != NULL;

    work->replaced = NULL;
    if (!ok) {
        return;
    }
    if (sent) {
        fail(work, MR_ERR_OUTCOME_UNKNOWN,
             "the primary was replaced before the write was acknowledged");
    }
    else if (work->queued != NULL) {
        mr_pool_cancel(work->queued);
        work->queued = NULL;
        start_write(work);
    }
}

static void
watch_for_replacement(mr_work_t *work)
{
    mr_observer_condition_t condition = {
        .kind = MR_WAIT_PRIMARY,
        .term = work->term,
        .deadline = work->deadline,
    };

    if (work->replaced != NULL) {
        mr_observer_cancel(work->replaced);
    }
    work->replaced =
        mr_observer_wait(observer_of(work), &condition, on_replaced, work);
}

static void
start_write(mr_work_t *work)
{
    int64_t term = 0;
    const char *primary = mr_observer_primary(observer_of(work), &term, false);

    int64_t least =
        work->term > work->msg->min_term ? work->term : work->msg->min_term;
    if (primary == NULL || term < least) {
        wait_for(work, MR_WAIT_PRIMARY, least - 1, 0, work->deadline,
                 on_primary);
        return;
    }
    if (strcmp(primary, work->target->name) != 0) {
        fail(work, MR_ERR_WRONG_OWNER, "another target is the primary");
        return;
    }
    if (term > work->msg->max_term) {
        /* The entry would not know up to which term an unknown outcome may
         * still be decided; it learns the term from this answer. */
        fail(work, MR_ERR_WRONG_OWNER, "the group has a higher term");
        return;
    }
    work->term = term;
    watch_for_replacement(work);
    enter_queue(work);
}

static void
on_acknowledged(void *ctx, bool ok)
{
    mr_work_t *work = ctx;
    mr_msg_execute_reply_t *reply = work->saved;

    work->waiting = NULL;
    if (!ok) {
        reply->error = MR_ERR_OUTCOME_UNKNOWN;
        free((void *)reply->message);
        reply->message =
            mr_strdup("the write ran, but no majority was seen to hold it");
    }
    const mr_view_t *view = mr_observer_view(observer_of(work));
    size_t covering = mr_view_covering(view, reply->term, reply->position,
                                       mr_clock_now(NULL));
    if (covering != MR_VIEW_NONE) {
        free((void *)reply->covering);
        reply->covering =
            mr_strdup(mr_observer_target_name(observer_of(work), covering));
    }
    finish(work, reply);
}

/* Reads. */

static void
on_covered(void *ctx, bool ok)
{
    mr_work_t *work = ctx;

    work->waiting = NULL;
    if (ok) {
        enter_queue(work);
    }
    else {
        fail(work, MR_ERR_NOT_FRESH, "the replica does not hold the session");
    }
}

static void
answer_present_read(mr_work_t *work)
{
    if (work->confirmed && work->saved != NULL) {
        finish(work, work->saved);
    }
}

static void
on_confirmed(void *ctx, bool ok)
{
    mr_work_t *work = ctx;

    work->confirming = NULL;
    if (!ok) {
        fail(work, MR_ERR_NOT_FRESH, "the primary could not be confirmed");
        return;
    }
    work->confirmed = true;
    answer_present_read(work);
}

static void
start_present_read(mr_work_t *work)
{
    int64_t term = 0;
    const char *primary = mr_observer_primary(observer_of(work), &term, true);

    if (primary == NULL) {
        fail(work, MR_ERR_NO_PRIMARY, "the group has no reachable primary");
        return;
    }
    if (strcmp(primary, work->target->name) != 0) {
        fail(work, MR_ERR_WRONG_OWNER, "another target is the primary");
        return;
    }
    work->term = term;
    if (work->confirming == NULL && !work->confirmed) {
        mr_observer_condition_t condition = {
            .kind = MR_WAIT_CONFIRMED,
            .term = term,
            .deadline = work->deadline,
        };
        work->confirming = mr_observer_wait(observer_of(work), &condition,
                                            on_confirmed, work);
    }
    enter_queue(work);
}

/* Names another target that covers the session, and refuses. */
static void
refuse_stale(mr_work_t *work, const char *message)
{
    mr_msg_execute_reply_t reply;
    const mr_view_t *view = mr_observer_view(observer_of(work));
    size_t other =
        mr_view_covering(view, work->msg->token_term,
                         work->msg->token_position, mr_clock_now(NULL));

    mr_execute_reply_init(&reply, MR_ERR_NOT_FRESH, message);
    set_hint(work, &reply);
    if (other != MR_VIEW_NONE && other != work->target->index) {
        reply.covering = mr_observer_target_name(observer_of(work), other);
    }
    finish(work, &reply);
}

static bool
is_young_enough(const mr_work_t *work, const mr_log_state_t *state)
{
    if (work->msg->freshness != MR_FRESHNESS_MAX_AGE) {
        return true;
    }
    mr_ms_t age = mr_view_age(mr_observer_view(observer_of(work)), state,
                              mr_clock_now(NULL));

    return age >= 0 && age <= work->msg->max_age_ms;
}

/* Whether the target does not answer while another of its group does. A wait
 * for a connection to it would use up the caller's deadline. */
static bool
is_cut_off(const mr_work_t *work)
{
    const mr_view_t *view = mr_observer_view(observer_of(work));
    mr_ms_t now = mr_clock_now(NULL);

    if (mr_view_reachable(view, work->target->index, now)) {
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
start_read(mr_work_t *work)
{
    const mr_view_t *view = mr_observer_view(observer_of(work));
    const mr_view_target_t *target = &view->targets[work->target->index];
    int64_t term = work->msg->token_term;
    int64_t position = work->msg->token_position;

    if (is_present_read(work)) {
        start_present_read(work);
        return;
    }
    if (mr_view_leaving(view, work->target->index)) {
        refuse_stale(work, "the target is leaving");
        return;
    }
    if (is_cut_off(work)) {
        fail(work, MR_ERR_UNAVAILABLE, "the target does not answer");
        return;
    }
    if (target->known && !is_young_enough(work, &target->state)) {
        refuse_stale(work, "the replica's data is too old");
        return;
    }
    if (term == 0
        || (target->known
            && mr_log_state_covers(&target->state, term, position))) {
        enter_queue(work);
        return;
    }
    size_t other = mr_view_covering(view, term, position, mr_clock_now(NULL));
    if (other != MR_VIEW_NONE && other != work->target->index) {
        refuse_stale(work, "another replica holds the session");
        return;
    }
    mr_ms_t until = mr_clock_now(NULL) + COVER_WAIT_MS;
    wait_for(work, MR_WAIT_COVERED, term, position,
             until < work->deadline ? until : work->deadline, on_covered);
}

/* Running and answers. */

static void
save_reply(mr_work_t *work, const mr_target_reply_t *reply)
{
    mr_msg_execute_reply_t out;

    mr_execute_reply_init(&out, reply->error, reply->message);
    out.result = reply->result;
    out.target = work->target->name;
    out.primary = reply->state.primary;
    out.term = reply->state.last_term;
    out.position = reply->state.position;
    set_hint(work, &out);
    mr_execute_reply_free(work->saved);
    work->saved = mr_execute_reply_copy(&out);
}

static void
finish_write(mr_work_t *work, const mr_target_reply_t *reply)
{
    save_reply(work, reply);
    work->saved->term = work->term;
    wait_for(work, MR_WAIT_ACKNOWLEDGED, work->term, reply->state.position,
             work->deadline - ANSWER_MARGIN_MS, on_acknowledged);
}

static void
finish_read(mr_work_t *work, const mr_target_reply_t *reply)
{
    const mr_log_state_t *state = &reply->state;

    if (is_present_read(work)) {
        if (!state->primary || state->term != work->term) {
            fail(work, MR_ERR_NOT_FRESH, "the target is no longer primary");
            return;
        }
        save_reply(work, reply);
        answer_present_read(work);
        return;
    }
    /* The view may have been out of date; the answer's own state is not. */
    if (!mr_log_state_covers(state, work->msg->token_term,
                             work->msg->token_position)) {
        refuse_stale(work, "the replica does not hold the session");
        return;
    }
    if (!is_young_enough(work, state)) {
        refuse_stale(work, "the replica's data is too old");
        return;
    }
    save_reply(work, reply);
    finish(work, work->saved);
}

static void
finish_begin(mr_work_t *work, const mr_target_reply_t *reply)
{
    mr_target_conn_t *conn = work->conn;
    const mr_log_state_t *state = &reply->state;

    /* A primary that was replaced unnoticed must not serve the session. */
    if (!mr_log_state_covers(state, work->msg->token_term,
                             work->msg->token_position)) {
        refuse_stale(work, "the target does not hold the session");
        return;
    }
    work->conn = NULL;
    mr_pool_release(work->target->pool, conn, MR_POOL_PIN);
    const char *id = mr_transaction_open(work->target, work->msg, conn,
                                         reply->transaction, work->term);
    save_reply(work, reply);
    if (is_write(work)) {
        work->saved->term = work->term;
    }
    free((void *)work->saved->transaction);
    work->saved->transaction = mr_strdup(id);
    free((void *)work->saved->instance);
    work->saved->instance = mr_strdup(work->target->owner->options.name);
    free((void *)work->saved->address);
    work->saved->address = mr_strdup(work->target->owner->options.address);
    finish(work, work->saved);
}

static void
finish_statement(mr_work_t *work, const mr_target_reply_t *reply)
{
    if (work->msg->operation == MR_OPERATION_BEGIN) {
        finish_begin(work, reply);
        return;
    }
    mr_pool_release(work->target->pool, work->conn, MR_POOL_REUSE);
    work->conn = NULL;
    if (is_write(work)) {
        finish_write(work, reply);
    }
    else {
        finish_read(work, reply);
    }
}

static void
handle_refusal(mr_work_t *work, const mr_target_reply_t *reply)
{
    switch (reply->refusal) {
    case MR_REFUSAL_BUSY:
        restart_later(work);
        return;
    case MR_REFUSAL_WRONG_TERM:
    case MR_REFUSAL_NOT_PRIMARY:
    case MR_REFUSAL_LEAVING:
        mr_observer_report_failure(observer_of(work), work->target->index);
        restart_later(work);
        return;
    case MR_REFUSAL_NONE:
    case MR_REFUSAL_NO_TRANSACTION:
    case MR_REFUSAL_OTHER:
        break;
    }
    fail(work, MR_ERR_TARGET_REFUSED, reply->message);
}

static void
on_target_reply(void *ctx, const mr_target_reply_t *reply)
{
    mr_work_t *work = ctx;

    if (reply->has_state) {
        mr_observer_report(observer_of(work), work->target->index,
                           &reply->state, work->sent_at);
    }
    if (reply->error == MR_OK) {
        finish_statement(work, reply);
        return;
    }
    mr_pool_release(work->target->pool, work->conn, MR_POOL_REUSE);
    work->conn = NULL;
    switch (reply->error) {
    case MR_ERR_STATEMENT_FAILED:
        save_reply(work, reply);
        finish(work, work->saved);
        break;
    case MR_ERR_TARGET_REFUSED:
        handle_refusal(work, reply);
        break;
    case MR_ERR_UNAVAILABLE:
        mr_observer_report_failure(observer_of(work), work->target->index);
        fail(work, MR_ERR_UNAVAILABLE, "no connection to the target");
        break;
    default:
        mr_observer_report_failure(observer_of(work), work->target->index);
        fail(work, MR_ERR_OUTCOME_UNKNOWN, "the target did not answer");
        break;
    }
}

/* Called with a slot. The primary may have changed while queued. */
static void
run(mr_work_t *work)
{
    int64_t term = 0;
    mr_target_request_t request = {
        .operation = work->msg->operation == MR_OPERATION_BEGIN
                         ? MR_TARGET_BEGIN
                         : MR_TARGET_EXECUTE,
        .access = (mr_access_t)work->msg->access,
        .term = work->term,
        .statement = work->msg->statement,
        .timeout = time_left(work) - ANSWER_MARGIN_MS,
    };

    if (request.timeout <= 0) {
        mr_pool_release(work->target->pool, work->conn, MR_POOL_REUSE);
        work->conn = NULL;
        fail(work, MR_ERR_DEADLINE_EXCEEDED, "the deadline passed in a queue");
        return;
    }
    if (is_write(work)) {
        const char *primary =
            mr_observer_primary(observer_of(work), &term, false);
        if (primary == NULL || term != work->term
            || strcmp(primary, work->target->name) != 0) {
            mr_pool_release(work->target->pool, work->conn, MR_POOL_REUSE);
            work->conn = NULL;
            start_write(work);
            return;
        }
    }
    work->sent_at = mr_clock_now(NULL);
    mr_target_conn_send(work->conn, &request, on_target_reply, work);
}

void
mr_work_start(mr_owned_target_t *target, const mr_msg_execute_t *msg,
              mr_execute_fn_t fn, void *ctx)
{
    mr_work_t *work = MR_NEW(mr_work_t);

    work->target = target;
    work->msg = mr_execute_copy(msg);
    work->fn = fn;
    work->ctx = ctx;
    work->deadline = mr_clock_now(NULL) + msg->deadline_ms;
    mr_list_append(&target->owner->works, &work->link);
    target->users++;
    target->used_at = mr_clock_now(NULL);
    target->owner->running++;
    if (msg->operation == MR_OPERATION_BEGIN
        && target->transactions++ >= target->transactions_max) {
        fail(work, MR_ERR_OVERLOADED,
             "the target has no connection left for a transaction");
        return;
    }
    restart(work);
}

bool
mr_work_writing(const mr_owned_target_t *target)
{
    MR_LIST_FOREACH(it, &target->owner->works)
    {
        const mr_work_t *work = MR_LIST_ENTRY(it, mr_work_t, link);
        if (work->target == target && is_write(work)
            && (work->conn != NULL || work->saved != NULL)) {
            return true;
        }
    }
    return false;
}

void
mr_work_abandon(mr_owner_t *owner)
{
    while (!mr_list_empty(&owner->works)) {
        mr_work_t *work = MR_LIST_ENTRY(owner->works.next, mr_work_t, link);
        bool sent = work->conn != NULL || work->saved != NULL;
        fail(work, sent ? MR_ERR_OUTCOME_UNKNOWN : MR_ERR_SHUTTING_DOWN,
             "the instance stopped");
    }
}
