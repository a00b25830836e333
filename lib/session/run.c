/* Executes one statement at the databases, with retries. */

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"
#include "session/run.h"

enum {
    /* Session values and BEGIN need no slot, only one round trip. */
    SETUP_TIMEOUT_MS = 250,
    SILENT_ATTEMPTS_MAX = 2,       /* attempts of a read that give up early */
    RETRY_AFTER_FAILOVER_MS = 500, /* about the time of a failover */
    RETRY_AFTER_BUSY_MS = 50,
    /* Only a change of the desired state, or a promotion, helps. */
    RETRY_AFTER_REGION_MS = 1000,
    /* After a wait for a token of a cold database: the time of one token,
     * within these limits. */
    RETRY_AFTER_COLD_MIN_MS = 200,
    RETRY_AFTER_COLD_MAX_MS = 2000,
    POSITION_POLL_MS = 10, /* of a read that waits for a position */
    /* Statements refused because of an evacuation return spread over this
     * window, in steps that are prime to it. */
    RETRY_EVACUATED_WINDOW_MS = 1000,
    RETRY_EVACUATED_STEP_MS = 37,
};

static void choose_db(mr_client_t *session);
static void on_timer(evutil_socket_t fd, short what, void *ctx);

static void
set_timer(mr_client_t *session, mr_ms_t after)
{
    mr_run_t *run = &session->run;

    if (run->timer == NULL) {
        run->timer =
            evtimer_new(session->relay->options.base, on_timer, session);
    }
    mr_timer_start(run->timer, after);
}

static void
end_cold_wait(mr_run_t *run)
{
    if (run->cold_wait != NULL) {
        mr_cold_tokens_end_wait(run->cold_wait);
        run->cold_wait = NULL;
    }
}

static void
set_stage(mr_client_t *session, mr_run_stage_t stage, mr_ms_t timeout)
{
    if (stage != MR_RUN_COLD_WAIT) {
        end_cold_wait(&session->run);
    }
    session->run.stage = stage;
    set_timer(session, timeout);
}

/* Adds @change to the number of statements that run at the database. */
static void
add_running(mr_run_t *run, int change)
{
    if (run->conn != NULL) {
        mr_db_conn_db(run->conn)->running += change;
    }
}

static void
drop_conn(mr_client_t *session)
{
    mr_run_t *run = &session->run;

    if (run->waiter != NULL) {
        mr_conn_pool_cancel(run->waiter);
        run->waiter = NULL;
    }
    if (run->conn == NULL) {
        return;
    }
    add_running(run, -1);
    mr_db_conn_close(run->conn);
    if (session->tx_conn == run->conn) {
        session->tx_conn = NULL;
    }
    run->conn = NULL;
}

/* Returns whether a statement may be sent to @db now: it is not cold, or there
 * is a token. */
static bool
may_send(const mr_client_t *session, const mr_db_t *db)
{
    mr_ms_t now = mr_clock_now(NULL);

    return !mr_db_is_cold(db, now)
           || mr_cold_tokens_take(session->relay->options.cold_tokens, db->id,
                                  now);
}

/* Returns the connection to the pool, or closes it if that rolls back without
 * a statement that a cold database may not get. */
static void
give_conn(const mr_client_t *session, mr_db_conn_t *conn, bool roll_back)
{
    if (roll_back && !may_send(session, mr_db_conn_db(conn))) {
        mr_db_conn_on_lost(conn, NULL, NULL);
        mr_db_conn_close(conn);
        return;
    }
    if (roll_back) {
        mr_db_conn_query(conn, mr_relay_statement_id, NULL,
                         mr_relay_statement_text(MR_RELAY_ROLLBACK), NULL,
                         NULL);
    }
    mr_conn_pool_give(conn);
}

/* Returns the connection to the pool. */
static void
release_conn(mr_client_t *session, bool roll_back)
{
    mr_run_t *run = &session->run;
    mr_db_conn_t *conn = run->conn;

    add_running(run, -1);
    run->conn = NULL;
    give_conn(session, conn, roll_back);
}

/* Ends the attempt. The connection is kept if its state is known. */
static void
end_attempt(mr_client_t *session)
{
    mr_run_t *run = &session->run;

    if (run->conn == NULL) {
        return;
    }
    if (!run->conn_reusable) {
        drop_conn(session);
    }
    else if (run->conn == session->tx_conn) {
        add_running(run, -1);
        run->conn = NULL;
    }
    else {
        release_conn(session, run->mode == MR_RUN_PRIMARY_READ
                                  || run->mode == MR_RUN_TX_FIRST);
    }
}

/* Clears the statement; the session continues. */
static void
reset_run(mr_run_t *run)
{
    struct event *timer = run->timer;

    if (timer != NULL) {
        evtimer_del(timer);
    }
    mr_line_release(&run->line);
    end_cold_wait(run);
    *run = (mr_run_t){.timer = timer};
}

/* The answer was written: continues with the client's next message. */
static void
finish(mr_client_t *session)
{
    reset_run(&session->run);
    /* Limits idle transactions, as they hold a connection. */
    if (session->tx_conn != NULL && session->catalog->tx_idle > 0) {
        set_timer(session, session->catalog->tx_idle);
    }
    mr_client_process_input(session);
}

static void
fail(mr_client_t *session, mr_error_kind_t error, const char *detail,
     mr_ms_t retry_after)
{
    end_attempt(session);
    if (session->tx == MR_TX_OPEN) {
        mr_run_end_transaction(session);
        session->tx_lost = false;
        session->tx = session->run.statement.kind == MR_COMMAND_COMMIT
                          ? MR_TX_IDLE
                          : MR_TX_FAILED;
    }
    mr_run_log_end(session, error, retry_after);
    mr_client_answer_error(session, error, detail, retry_after);
    finish(session);
}

/* Refuses a statement that had no effect, with a time to retry after. */
static void
refuse(mr_client_t *session)
{
    mr_error_kind_t error = session->run.last_error;

    if (error == MR_OK) {
        error = MR_ERR_UNAVAILABLE;
    }
    if (session->tx == MR_TX_OPEN && session->tx_conn != NULL) {
        error = MR_ERR_TRANSACTION_LOST;
    }
    fail(session, error, NULL,
         error == MR_ERR_OVERLOADED ? RETRY_AFTER_BUSY_MS
                                    : RETRY_AFTER_FAILOVER_MS);
}

/* Refuses a statement that only a database in an evacuated data centre could
 * run. */
static void
refuse_evacuated(mr_client_t *session)
{
    mr_relay_t *relay = session->relay;
    mr_ms_t place = (mr_ms_t)relay->refusals++ * RETRY_EVACUATED_STEP_MS
                    % RETRY_EVACUATED_WINDOW_MS;

    mr_counter_add(relay->evacuated, 1);
    fail(session, MR_ERR_UNAVAILABLE, "data centre evacuated",
         RETRY_AFTER_FAILOVER_MS + place);
}

/* Retries after a pause, or refuses the statement, which had no effect. */
static void
retry_later(mr_client_t *session, mr_ms_t pause)
{
    mr_run_t *run = &session->run;
    mr_ms_t now = mr_clock_now(NULL);
    mr_ms_t limit = run->started_at + mr_run_unsent_limit(session);

    if (run->sent_before) {
        limit = mr_run_retry_limit(session);
    }
    if (now + pause >= limit || run->attempts >= MR_RUN_ATTEMPTS_MAX) {
        refuse(session);
        return;
    }
    set_stage(session, MR_RUN_WAITING, pause);
}

/* Retries, or refuses, after an attempt that had no effect. */
static void
retry(mr_client_t *session, mr_error_kind_t error, mr_ms_t pause)
{
    mr_run_t *run = &session->run;

    if (run->conn != NULL) {
        run->failed_db = mr_db_conn_db(run->conn);
    }
    end_attempt(session);
    mr_log_request(MR_LOG_FAILED, MR_EVENT_ATTEMPT_FAILED,
                   "id=%s target=%s stage=%d error=%s tries=%d waited_ms=%lld",
                   run->line.u.query.id, run->target, run->stage,
                   mr_error_name(error), run->attempts,
                   (long long)(mr_clock_now(NULL) - run->started_at));
    run->last_error = error;
    run->attempts++;
    mr_counter_add(session->relay->retries, 1);
    if (pause > 0) {
        retry_later(session, pause);
        return;
    }
    if (run->attempts >= MR_RUN_ATTEMPTS_MAX
        || mr_clock_now(NULL) >= mr_run_deadline(session)) {
        refuse(session);
        return;
    }
    choose_db(session);
}

/* The primary must not be used at present. */
static void
await_lease(mr_client_t *session)
{
    mr_run_t *run = &session->run;

    if (run->attempts++ == 0) {
        mr_counter_add(session->relay->not_leased, 1);
        mr_log_request(MR_LOG_FAILED, MR_EVENT_PRIMARY_NOT_LEASED,
                       "id=%s service=%s", run->line.u.query.id,
                       session->route->service);
    }
    retry_later(session, MR_RUN_RETRY_FIRST_MS);
}

static void
request_refresh(mr_relay_t *relay)
{
    if (relay->options.refresh != NULL) {
        relay->options.refresh(relay->options.ctx);
    }
}

static void
record_failure(mr_client_t *session)
{
    mr_db_record_failure(mr_db_conn_db(session->run.conn), mr_clock_now(NULL));
    request_refresh(session->relay);
}

/* A connection without a pending statement was lost: one of a transaction,
 * which the database rolls back, or one that a statement is resent on. */
static void
on_unused_conn_lost(void *ctx)
{
    mr_client_t *session = ctx;
    mr_run_t *run = &session->run;

    assert(run->conn == NULL || session->tx_conn == NULL
           || run->conn == session->tx_conn);
    if (run->conn != NULL) {
        add_running(run, -1);
        run->conn = NULL;
    }
    if (session->tx_conn != NULL) {
        session->tx_conn = NULL;
        session->tx_lost = true;
    }
}

/* Whether success of the statement means that a write is committed. */
static bool
commits_write(const mr_client_t *session)
{
    const mr_run_t *run = &session->run;

    return session->tx == MR_TX_OPEN
               ? run->statement.kind == MR_COMMAND_COMMIT && session->tx_wrote
               : run->writes;
}

static void
record_commit(mr_client_t *session, const mr_reply_t *reply)
{
    mr_cluster_t *cluster = mr_db_conn_db(session->run.conn)->cluster;

    if (mr_position_compare(reply->position, session->position) > 0) {
        session->position = reply->position;
    }
    mr_db_record_primary(mr_db_conn_db(session->run.conn));
    mr_cluster_add_sample(cluster, reply->position, reply->sent_at);
}

static void
succeed(mr_client_t *session, const mr_reply_t *reply)
{
    mr_run_t *run = &session->run;
    bool commit = run->statement.kind == MR_COMMAND_COMMIT;

    switch (run->mode) {
    case MR_RUN_WRITE:
        record_commit(session, reply);
        release_conn(session, false);
        break;
    case MR_RUN_PRIMARY_READ:
        release_conn(session, true);
        break;
    case MR_RUN_POSITION_READ:
        release_conn(session, false);
        break;
    case MR_RUN_TX_FIRST:
    case MR_RUN_TX_NEXT:
        session->tx_wrote |= run->writes && !commit;
        if (commit) {
            if (session->tx_wrote) {
                record_commit(session, reply);
            }
            session->tx = MR_TX_IDLE;
            session->tx_conn = NULL;
            release_conn(session, false);
        }
        else {
            add_running(run, -1);
            session->tx_conn = run->conn;
            mr_db_conn_on_lost(run->conn, on_unused_conn_lost, session);
            run->conn = NULL;
        }
        break;
    }
    mr_run_log_end(session, MR_OK, -1);
    mr_client_answer(session, reply->body);
    finish(session);
}

/* The connection ended, or time ran out, before the statement's reply. */
static void
handle_lost_reply(mr_client_t *session, bool timed_out)
{
    mr_run_t *run = &session->run;
    bool commit = run->statement.kind == MR_COMMAND_COMMIT;
    mr_error_kind_t unknown =
        timed_out ? MR_ERR_STATEMENT_TIMEOUT : MR_ERR_OUTCOME_UNKNOWN;

    if (session->tx == MR_TX_OPEN) {
        /* Without COMMIT the database rolls the transaction back. */
        bool in_doubt = commit && session->tx_wrote;
        fail(session, in_doubt ? unknown : MR_ERR_TRANSACTION_LOST,
             in_doubt ? NULL : "connection to the database lost",
             in_doubt ? -1 : 0);
        return;
    }
    if (run->writes) {
        fail(session, unknown, NULL, -1);
        return;
    }
    if (timed_out) {
        fail(session, unknown, NULL, -1);
        return;
    }
    retry(session, MR_ERR_UNAVAILABLE, 0);
}

/* A promotion may have taken effect before the commit, which its log would
 * lack. */
static void
handle_unleased_commit(mr_client_t *session)
{
    mr_counter_add(session->relay->not_leased, 1);
    mr_log_request(MR_LOG_FAILED, MR_EVENT_PRIMARY_NOT_LEASED,
                   "id=%s service=%s", session->run.line.u.query.id,
                   session->route->service);
    drop_conn(session);
    fail(session, MR_ERR_OUTCOME_UNKNOWN, NULL, -1);
}

/* Sends the statement again on the same connection after a pause. */
static void
resend_later(mr_client_t *session)
{
    mr_run_t *run = &session->run;

    run->attempts++;
    run->last_error = MR_ERR_OVERLOADED;
    mr_counter_add(session->relay->retries, 1);
    mr_db_conn_on_lost(run->conn, on_unused_conn_lost, session);
    set_stage(session, MR_RUN_WAITING, mr_run_retry_pause(run));
}

/* The database refused the statement without running it. */
static void
handle_refusal(mr_client_t *session, const mr_reply_t *reply)
{
    mr_run_t *run = &session->run;
    mr_db_t *db = mr_db_conn_db(run->conn);

    if (reply->error == MR_ERR_NO_PRIMARY) {
        mr_db_record_not_primary(db, mr_clock_now(NULL));
        request_refresh(session->relay);
    }
    if (reply->error == MR_ERR_NOT_FRESH) {
        mr_db_record_missing_position(db, run->min_position,
                                      mr_clock_now(NULL));
    }
    if (reply->error == MR_ERR_OVERLOADED) {
        mr_db_record_busy(db, mr_clock_now(NULL));
        mr_conn_pool_pause(db, session->relay->options.base);
        if (mr_run_may_resend(session, reply->state)) {
            resend_later(session);
            return;
        }
    }
    if (run->mode == MR_RUN_TX_NEXT) {
        fail(session, reply->error, reply->detail, RETRY_AFTER_BUSY_MS);
        return;
    }
    bool at_once = run->mode == MR_RUN_POSITION_READ && run->attempts < 2;
    retry(session, reply->error, at_once ? 0 : mr_run_retry_pause(run));
}

static void
on_answer(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    mr_client_t *session = ctx;
    mr_run_t *run = &session->run;
    mr_ms_t now = mr_clock_now(NULL);

    assert(run->conn == conn && run->stage == MR_RUN_SENT);
    if (reply->lost) {
        record_failure(session);
        handle_lost_reply(session, false);
        return;
    }
    run->conn_reusable = true;
    /* Refusals come fast and would distort the average answer time. */
    mr_db_record_answer(mr_db_conn_db(conn), now,
                        reply->error == MR_OK ? now - run->sent_at
                                              : mr_db_conn_db(conn)->latency);
    switch (reply->error) {
    case MR_OK:
        mr_conn_pool_reset_pause(mr_db_conn_db(conn));
        if (commits_write(session)
            && !mr_db_is_leased_primary(mr_db_conn_db(conn), now)) {
            handle_unleased_commit(session);
            return;
        }
        succeed(session, reply);
        return;
    case MR_ERR_OVERLOADED:
    case MR_ERR_NOT_FRESH:
    case MR_ERR_NO_PRIMARY:
    case MR_ERR_UNKNOWN_STATEMENT:
    case MR_ERR_RATE_LIMITED:
    case MR_ERR_TARGET_REFUSED:
        handle_refusal(session, reply);
        return;
    default:
        break;
    }
    if (run->mode == MR_RUN_POSITION_READ
        || run->mode == MR_RUN_PRIMARY_READ) {
        if (run->attempts == 0) {
            retry(session, reply->error, 0);
            return;
        }
    }
    fail(session, reply->error, reply->detail, -1);
}

/* Ends a transaction whose next statement was not sent. */
static void
lose_transaction(mr_client_t *session, const char *detail)
{
    drop_conn(session);
    fail(session, MR_ERR_TRANSACTION_LOST, detail, 0);
}

/* Whether nothing may be sent on the connection any more, as the deadline of
 * an evacuation is, or may be, over. Gives it up then; the statement was not
 * sent. */
static bool
give_up_evacuated(mr_client_t *session)
{
    mr_run_t *run = &session->run;

    if (mr_db_may_send(mr_db_conn_db(run->conn), mr_clock_now(NULL))) {
        return false;
    }
    if (run->mode == MR_RUN_TX_NEXT) {
        mr_counter_add(session->relay->evacuated_ended,
                       mr_db_is_evacuated(mr_db_conn_db(run->conn)));
        lose_transaction(session, "the data centre is, or may be, evacuated");
        return true;
    }
    drop_conn(session);
    retry(session, MR_ERR_UNAVAILABLE, 0);
    return true;
}

/* The lease lapsed after the database was chosen; the write was not sent. */
static void
give_up_write(mr_client_t *session)
{
    mr_run_t *run = &session->run;

    if (run->mode == MR_RUN_TX_NEXT) {
        lose_transaction(session, "the database may no longer be the primary");
        return;
    }
    run->conn_reusable = run->mode == MR_RUN_WRITE;
    retry(session, MR_ERR_UNAVAILABLE, MR_RUN_RETRY_FIRST_MS);
}

/* Time until which the statement waits for a token of a cold database. Once
 * something has been sent for it, a refusal would waste that. */
static mr_ms_t
cold_wait_limit(const mr_client_t *session)
{
    const mr_run_t *run = &session->run;

    return run->mode == MR_RUN_TX_NEXT || run->prepared
               ? mr_run_retry_limit(session)
               : run->started_at + mr_run_unsent_limit(session);
}

/* Takes a token if the database is cold. Without one, the statement waits, and
 * then continues with @step. Returns false in that case. */
static bool
take_cold_token(mr_client_t *session, mr_run_cold_step_t step)
{
    mr_run_t *run = &session->run;
    mr_relay_t *relay = session->relay;
    mr_db_t *db = mr_db_conn_db(run->conn);

    if (may_send(session, db)) {
        return true;
    }
    mr_counter_add(relay->cold_waits, 1);
    end_cold_wait(run);
    run->cold_step = step;
    run->cold_wait =
        mr_cold_tokens_begin_wait(relay->options.cold_tokens, db->id);
    mr_db_conn_on_lost(run->conn, on_unused_conn_lost, session);
    set_stage(session, MR_RUN_COLD_WAIT,
              cold_wait_limit(session) - mr_clock_now(NULL));
    relay->options.cold_tokens_needed(relay->options.ctx);
    return false;
}

static void
send_statement(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    const mr_position_t *after =
        run->mode == MR_RUN_POSITION_READ ? &run->min_position : NULL;
    mr_ms_t now = mr_clock_now(NULL);
    mr_ms_t left = mr_run_deadline(session) - now;

    if (give_up_evacuated(session)) {
        return;
    }
    if (left <= 0) {
        refuse(session);
        return;
    }
    if (!take_cold_token(session, MR_RUN_COLD_STATEMENT)) {
        return;
    }
    if (commits_write(session)
        && !mr_db_is_leased_primary(mr_db_conn_db(run->conn), now)) {
        give_up_write(session);
        return;
    }
    /* A read is given up early, so that another database, or another attempt
     * of the client, can still succeed in time. */
    if (run->statement.kind != MR_COMMAND_COMMIT && !run->writes
        && run->attempts < SILENT_ATTEMPTS_MAX
        && mr_run_silence_limit(session) < left) {
        left = mr_run_silence_limit(session);
    }
    run->conn_reusable = false;
    run->sent_at = now;
    run->sent_before = true;
    set_stage(session, MR_RUN_SENT, left);
    mr_db_conn_query(run->conn, run->line.u.query.id, after,
                     run->line.u.query.statement, on_answer, session);
}

static void
on_begin_reply(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    mr_client_t *session = ctx;
    mr_run_t *run = &session->run;
    mr_db_t *db = mr_db_conn_db(conn);
    mr_ms_t now = mr_clock_now(NULL);

    if (reply->lost) {
        record_failure(session);
        retry(session, MR_ERR_UNAVAILABLE, 0);
        return;
    }
    if (reply->error != MR_OK || reply->state != MR_TX_OPEN) {
        run->conn_reusable = true;
        handle_refusal(session, reply);
        return;
    }
    if (!run->begin_at_replica) {
        /* Only the primary accepts a plain BEGIN. */
        mr_db_record_answer(db, now, db->latency);
        mr_db_record_primary(db);
        if (!mr_db_is_leased_primary(db, now)) {
            /* Its log may lack commits of a newer primary. */
            retry(session, MR_ERR_UNAVAILABLE, MR_RUN_RETRY_FIRST_MS);
            return;
        }
        mr_cluster_add_sample(db->cluster, reply->position, reply->sent_at);
    }
    send_statement(session);
}

static void
begin_if_needed(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    bool at_replica = run->begin_at_replica;

    if (run->mode == MR_RUN_WRITE || run->mode == MR_RUN_POSITION_READ
        || run->mode == MR_RUN_TX_NEXT) {
        send_statement(session);
        return;
    }
    if (give_up_evacuated(session)) {
        return;
    }
    if (!take_cold_token(session, MR_RUN_COLD_BEGIN)) {
        return;
    }
    run->prepared = true;
    set_stage(session, MR_RUN_BEGINNING, SETUP_TIMEOUT_MS);
    mr_db_conn_query(run->conn, mr_relay_statement_id,
                     at_replica ? &run->min_position : NULL,
                     mr_relay_statement_text(at_replica ? MR_RELAY_BEGIN_READ
                                                        : MR_RELAY_BEGIN),
                     on_begin_reply, session);
}

/* The connection could not be prepared for the statement. An open transaction
 * exists on this connection alone, so it ends. */
static void
handle_failed_setup(mr_client_t *session, mr_error_kind_t error, mr_ms_t pause)
{
    if (session->run.mode == MR_RUN_TX_NEXT) {
        lose_transaction(session, "the session's values were not applied");
        return;
    }
    retry(session, error, pause);
}

/* The connection holds the present values and prepared statements. */
static void
finish_setup(mr_client_t *session)
{
    mr_db_conn_state_t *state = mr_db_conn_state(session->run.conn);

    state->session = session->serial;
    state->version = mr_session_state_version(session->state);
    mr_session_state_clear_changes(session->state);
    begin_if_needed(session);
}

static void
on_setup(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    mr_client_t *session = ctx;

    (void)conn;
    if (reply->lost) {
        record_failure(session);
        handle_failed_setup(session, MR_ERR_UNAVAILABLE, 0);
        return;
    }
    if (reply->error != MR_OK) {
        mr_log(MR_LOG_WARNING, MR_EVENT_SESSION_VALUE_REFUSED,
               "error=%s detail=%s", mr_error_name(reply->error),
               reply->detail);
        handle_failed_setup(session, reply->error,
                            mr_run_retry_pause(&session->run));
        return;
    }
    session->run.setup_pending--;
    if (session->run.stage == MR_RUN_SETUP
        && session->run.setup_pending == 0) {
        finish_setup(session);
    }
}

static void
send_setup(mr_client_t *session, const char *statement)
{
    session->run.setup_pending++;
    session->run.prepared = true;
    mr_db_conn_query(session->run.conn, mr_relay_statement_id, NULL, statement,
                     on_setup, session);
}

/* Statement that applies the session value, or change, at @it. */
static const char *
setup_statement(const mr_run_t *run, mr_list_t *it)
{
    return run->mode == MR_RUN_TX_NEXT
               ? MR_LIST_ENTRY(it, mr_state_change_t, link)->statement
               : MR_LIST_ENTRY(it, mr_setting_t, link)->statement;
}

/* Sends what is left of the session's values and prepared statements. */
static void
continue_setup(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    const mr_list_t *end = run->mode == MR_RUN_TX_NEXT
                               ? mr_session_state_changes(session->state)
                               : mr_session_state_settings(session->state);

    set_stage(session, MR_RUN_SETUP,
              run->mode == MR_RUN_TX_NEXT
                  ? mr_run_deadline(session) - mr_clock_now(NULL)
                  : SETUP_TIMEOUT_MS);
    if (run->setup_resets) {
        if (!take_cold_token(session, MR_RUN_COLD_SETUP)) {
            return;
        }
        run->setup_resets = false;
        send_setup(session, mr_relay_statement_text(MR_RELAY_RESET));
    }
    while (run->setup_next != end) {
        if (!take_cold_token(session, MR_RUN_COLD_SETUP)) {
            return;
        }
        send_setup(session, setup_statement(run, run->setup_next));
        run->setup_next = run->setup_next->next;
    }
    if (run->setup_pending == 0) {
        finish_setup(session);
    }
}

/* Applies the session's values and prepared statements to the connection. On
 * the connection of an open transaction, a reset could end the transaction, so
 * only the changes are sent. */
static void
apply_settings(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    mr_db_conn_state_t *state = mr_db_conn_state(run->conn);

    if (give_up_evacuated(session)) {
        return;
    }
    run->prepared = false;
    if (state->session == session->serial
        && state->version == mr_session_state_version(session->state)) {
        begin_if_needed(session);
        return;
    }
    run->setup_pending = 0;
    if (run->mode == MR_RUN_TX_NEXT) {
        assert(state->version == mr_session_state_logged_from(session->state));
        run->setup_resets = false;
        run->setup_next = mr_session_state_changes(session->state)->next;
    }
    else {
        run->setup_resets = state->session != 0;
        run->setup_next = mr_session_state_settings(session->state)->next;
    }
    /* Marks the connection's state as partial until all replies arrive. */
    *state = (mr_db_conn_state_t){session->serial, UINT64_MAX};
    continue_setup(session);
}

/* No token of the cold database came in time. Nothing but session values and
 * BEGIN has been sent. */
static void
refuse_for_cold(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    int64_t rate = mr_db_conn_db(run->conn)->cluster->cold_rate;
    int64_t wait = rate > 0 ? 1000 * 1000 / rate : 0;

    mr_counter_add(session->relay->cold_refused, 1);
    if (run->mode == MR_RUN_TX_NEXT) {
        lose_transaction(session, "the database is cold");
        return;
    }
    if (run->setup_pending > 0) {
        drop_conn(session);
    }
    else if (run->cold_step != MR_RUN_COLD_STATEMENT) {
        release_conn(session, false);
    }
    run->conn_reusable = true;
    wait = wait > RETRY_AFTER_COLD_MIN_MS ? wait : RETRY_AFTER_COLD_MIN_MS;
    wait = wait < RETRY_AFTER_COLD_MAX_MS ? wait : RETRY_AFTER_COLD_MAX_MS;
    fail(session, MR_ERR_OVERLOADED, "the database is cold",
         mr_timer_jitter(wait));
}

/* Continues a statement that has waited for a token, if there is one or the
 * database is no longer cold. @over: it does not wait any longer */
static void
continue_cold(mr_client_t *session, bool over)
{
    mr_run_t *run = &session->run;
    mr_ms_t now = mr_clock_now(NULL);

    if (run->conn == NULL) {
        /* The connection was lost in the meantime. */
        end_cold_wait(run);
        choose_db(session);
        return;
    }
    if (mr_db_is_cold(mr_db_conn_db(run->conn), now)
        && !mr_cold_tokens_reaches(run->cold_wait, now)) {
        if (over) {
            end_cold_wait(run);
            refuse_for_cold(session);
        }
        return;
    }
    end_cold_wait(run);
    switch (run->cold_step) {
    case MR_RUN_COLD_SETUP:
        continue_setup(session);
        break;
    case MR_RUN_COLD_BEGIN:
        begin_if_needed(session);
        break;
    case MR_RUN_COLD_STATEMENT:
        send_statement(session);
        break;
    }
}

void
mr_run_on_cold_tokens(mr_client_t *session)
{
    continue_cold(session, false);
}

static void
on_conn(void *ctx, mr_db_conn_t *conn, mr_error_kind_t error)
{
    mr_client_t *session = ctx;
    mr_run_t *run = &session->run;

    run->waiter = NULL;
    if (conn != NULL) {
        run->conn = conn;
        add_running(run, 1);
        apply_settings(session);
        return;
    }
    run->failed_db = run->wait_db;
    if (!mr_db_may_send(run->wait_db, mr_clock_now(NULL))) {
        retry(session, MR_ERR_UNAVAILABLE, 0);
        return;
    }
    if (error == MR_ERR_OVERLOADED) {
        mr_db_record_busy(run->wait_db, mr_clock_now(NULL));
    }
    if (error == MR_ERR_UNAVAILABLE || error == MR_ERR_DEADLINE_EXCEEDED
        || error == MR_ERR_TARGET_REFUSED) {
        /* It failed, or its address now belongs to another database. */
        mr_db_record_failure(run->wait_db, mr_clock_now(NULL));
        request_refresh(session->relay);
    }
    retry(session, MR_ERR_OVERLOADED, mr_run_retry_pause(run));
}

/* Waits for a connection. A read that needs a position checks for one. */
static void
await_conn(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    mr_ms_t left = run->wait_until - mr_clock_now(NULL);

    set_stage(session, MR_RUN_CONNECTING,
              run->needs_position && left > POSITION_POLL_MS ? POSITION_POLL_MS
                                                             : left);
}

static void
connect_to(mr_client_t *session, mr_db_t *db)
{
    mr_run_t *run = &session->run;

    snprintf(run->target, sizeof(run->target), "%s", db->id);
    run->conn = mr_conn_pool_take(db, session->account, session->serial);
    if (run->conn != NULL) {
        add_running(run, 1);
        apply_settings(session);
        return;
    }
    run->wait_db = db;
    run->wait_until = mr_clock_now(NULL) + mr_run_open_limit(session);
    await_conn(session);
    run->waiter = mr_conn_pool_wait(session->relay->options.base, db,
                                    session->account, on_conn, session);
}

/* No database that can run the statement is in an allowed region. */
static void
refuse_for_region(mr_client_t *session)
{
    mr_counter_add(session->relay->outside_regions, 1);
    fail(session, MR_ERR_UNAVAILABLE, "no database in an allowed region",
         mr_timer_jitter(RETRY_AFTER_REGION_MS));
}

/* Sends the next statement of a transaction on its connection. */
static void
continue_transaction(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    mr_region_filter_t regions = mr_run_regions(session);

    run->mode = MR_RUN_TX_NEXT;
    run->conn = session->tx_conn;
    add_running(run, 1);
    if (!mr_db_is_in_region(mr_db_conn_db(run->conn), &regions)) {
        mr_counter_add(session->relay->outside_regions, 1);
        lose_transaction(session, "the database is in no allowed region");
        return;
    }
    apply_settings(session);
}

static void
choose_db(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    mr_ms_t now = mr_clock_now(NULL);
    mr_cluster_t *cluster;
    mr_db_t *db = NULL;

    run->conn_reusable = false;
    if (session->tx_lost) {
        fail(session, MR_ERR_TRANSACTION_LOST,
             "the transaction ended between statements", 0);
        return;
    }
    if (!mr_clusters_certain(session->relay->options.clusters, now)) {
        run->attempts++;
        retry_later(session, MR_RUN_RETRY_FIRST_MS);
        return;
    }
    if (session->tx == MR_TX_OPEN && session->tx_conn != NULL) {
        continue_transaction(session);
        return;
    }
    cluster = mr_clusters_find(session->relay->options.clusters,
                               session->route->service);
    if (cluster != NULL) {
        db = mr_run_choose_db(session, cluster);
    }
    if (db == NULL && run->evacuated) {
        refuse_evacuated(session);
        return;
    }
    if (db == NULL && run->outside_regions) {
        refuse_for_region(session);
        return;
    }
    if (db == NULL && run->needs_lease) {
        await_lease(session);
        return;
    }
    if (db == NULL) {
        run->attempts++;
        request_refresh(session->relay);
        retry_later(session, MR_RUN_RETRY_FIRST_MS);
        return;
    }
    if (run->needs_position && !mr_cluster_claim_position_query(cluster, now)
        && now < run->started_at + mr_run_unsent_limit(session)) {
        set_stage(session, MR_RUN_WAITING, POSITION_POLL_MS);
        return;
    }
    connect_to(session, db);
}

/* The wait for a connection timed out, or a replica may be usable now. */
static void
on_connecting_timer(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    bool over = mr_clock_now(NULL) >= run->wait_until;

    if (!over && !mr_run_has_position(session)) {
        await_conn(session);
        return;
    }
    mr_conn_pool_cancel(run->waiter);
    run->waiter = NULL;
    if (!over) {
        choose_db(session);
        return;
    }
    run->failed_db = run->wait_db;
    /* A pause above 0 makes retry() refuse once the time limit is over. */
    retry(session, MR_ERR_OVERLOADED, MR_RUN_RETRY_FIRST_MS);
}

/* The database has not replied to the statement in time. */
static void
on_sent_timeout(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    mr_ms_t now = mr_clock_now(NULL);
    mr_ms_t left = mr_run_deadline(session) - now;

    if (left > 0 && mr_db_conn_db(run->conn)->answered_at >= run->sent_at) {
        /* The database replies to others: this statement just takes long. */
        set_timer(session, left);
        return;
    }
    record_failure(session);
    handle_lost_reply(session, left <= 0);
}

static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_client_t *session = ctx;
    mr_run_t *run = &session->run;

    (void)fd;
    (void)what;
    switch (run->stage) {
    case MR_RUN_NONE:
        mr_log_request(MR_LOG_FAILED, MR_EVENT_TRANSACTION_IDLE,
                       "account=%s database=%s limit_ms=%lld",
                       session->account, session->database,
                       (long long)session->catalog->tx_idle);
        mr_run_end_transaction(session);
        session->tx_lost = true;
        break;
    case MR_RUN_TOKEN_WAIT:
        mr_client_on_tokens(session, INT64_MAX);
        break;
    case MR_RUN_WAITING:
        if (run->conn != NULL) {
            send_statement(session);
        }
        else {
            choose_db(session);
        }
        break;
    case MR_RUN_CONNECTING:
        on_connecting_timer(session);
        break;
    case MR_RUN_SETUP:
    case MR_RUN_BEGINNING:
        record_failure(session);
        handle_failed_setup(session, MR_ERR_UNAVAILABLE, 0);
        break;
    case MR_RUN_SENT:
        on_sent_timeout(session);
        break;
    case MR_RUN_COLD_WAIT:
        continue_cold(session, true);
        break;
    }
}

void
mr_run_await_token(mr_client_t *session, mr_line_t *line)
{
    mr_run_t *run = &session->run;

    run->line = *line;
    line->text = NULL;
    run->started_at = mr_clock_now(NULL);
    run->waited_after = mr_quota_round(session->relay->options.quota);
    mr_quota_add_waiting(session->relay->options.quota, session->account, 1);
    set_stage(session, MR_RUN_TOKEN_WAIT, mr_run_unsent_limit(session));
}

void
mr_run_end_token_wait(mr_client_t *session, mr_line_t *line)
{
    mr_run_t *run = &session->run;

    mr_quota_add_waiting(session->relay->options.quota, session->account, -1);
    *line = run->line;
    run->line.text = NULL;
    reset_run(run);
}

void
mr_run_start(mr_client_t *session)
{
    mr_run_t *run = &session->run;

    run->started_at = mr_clock_now(NULL);
    run->stage = MR_RUN_WAITING;
    choose_db(session);
}

void
mr_run_cancel(mr_client_t *session)
{
    if (session->run.stage == MR_RUN_NONE) {
        return;
    }
    if (session->run.stage == MR_RUN_TOKEN_WAIT) {
        mr_quota_add_waiting(session->relay->options.quota, session->account,
                             -1);
    }
    mr_run_log_abandoned(session);
    drop_conn(session);
    reset_run(&session->run);
}

void
mr_run_end_transaction(mr_client_t *session)
{
    if (session->run.stage == MR_RUN_NONE && session->run.timer != NULL) {
        evtimer_del(session->run.timer);
    }
    if (session->tx_conn != NULL
        && !mr_db_may_send(mr_db_conn_db(session->tx_conn),
                           mr_clock_now(NULL))) {
        mr_db_conn_close(session->tx_conn);
        session->tx_conn = NULL;
    }
    if (session->tx_conn != NULL) {
        /* Closing the connection would also roll back, but waste it. */
        give_conn(session, session->tx_conn, true);
        session->tx_conn = NULL;
    }
}

bool
mr_run_end_evacuated(mr_client_t *session, mr_ms_t now)
{
    if (session->run.stage != MR_RUN_NONE || session->tx_conn == NULL
        || !mr_db_is_closed(mr_db_conn_db(session->tx_conn), now)) {
        return false;
    }
    mr_run_end_transaction(session);
    session->tx_lost = true;
    mr_counter_add(session->relay->evacuated_ended, 1);
    return true;
}
