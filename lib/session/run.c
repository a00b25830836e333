/* One statement on its way: connection, session values, transaction, attempts
 * and outcome. */

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"
#include "session/run.h"

enum {
    /* Values and BEGIN need no slot: one round trip. */
    SETUP_TIMEOUT_MS = 250,
    SILENT_TRIES = 2,              /* of reads that silent databases get */
    RETRY_AFTER_FAILOVER_MS = 500, /* about one change of primary */
    RETRY_AFTER_BUSY_MS = 50,
    /* Reads that seek a position look for it this often. */
    SEEK_PERIOD_MS = 10,
};

static void choose(mr_client_t *session);
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
set_stage(mr_client_t *session, mr_run_stage_t stage, mr_ms_t timeout)
{
    session->run.stage = stage;
    set_timer(session, timeout);
}

/* A statement or a new connection takes a slot of the database. */
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

/* Puts an unused connection away for the next statement. */
static void
release_conn(mr_client_t *session, bool roll_back)
{
    mr_run_t *run = &session->run;
    mr_db_conn_t *conn = run->conn;

    add_running(run, -1);
    run->conn = NULL;
    if (roll_back) {
        mr_db_conn_query(conn, mr_own_statement_id, NULL,
                         mr_own_statement_text(MR_OWN_ROLLBACK), NULL, NULL);
    }
    mr_conn_pool_give(conn);
}

/* Ends the attempt; a connection in a known state is kept. */
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
        release_conn(session,
                     run->mode == MR_RUN_PRESENT || run->mode == MR_RUN_FIRST);
    }
}

/* Forgets the statement; the session may go on. */
static void
clear(mr_run_t *run)
{
    struct event *timer = run->timer;

    if (timer != NULL) {
        evtimer_del(timer);
    }
    mr_line_release(&run->line);
    *run = (mr_run_t){.timer = timer};
}

/* The answer was written: next message. */
static void
finish(mr_client_t *session)
{
    clear(&session->run);
    /* A transaction that rests holds a connection that others wait for. */
    if (session->tx_conn != NULL && session->catalog->tx_idle > 0) {
        set_timer(session, session->catalog->tx_idle);
    }
    mr_client_next(session);
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

/* Nothing ran: says so, and when to come back. */
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

/* Another attempt after a short pause, or the refusal. Nothing ran so far. */
static void
try_later(mr_client_t *session, mr_ms_t pause)
{
    mr_run_t *run = &session->run;
    mr_ms_t now = mr_clock_now(NULL);
    mr_ms_t limit = run->started_at + mr_run_unoffered_limit(session);

    if (run->sent_before) {
        limit = mr_run_retry_limit(session);
    }
    if (now + pause >= limit || run->attempts >= MR_RUN_TRIES_MAX) {
        refuse(session);
        return;
    }
    set_stage(session, MR_RUN_WAITING, pause);
}

/* The attempt failed before the statement ran. */
static void
try_again(mr_client_t *session, mr_error_kind_t error, mr_ms_t pause)
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
        try_later(session, pause);
        return;
    }
    if (run->attempts >= MR_RUN_TRIES_MAX
        || mr_clock_now(NULL) >= mr_run_deadline_of(session)) {
        refuse(session);
        return;
    }
    choose(session);
}

static void
request_refresh(mr_relay_t *relay)
{
    if (relay->options.refresh != NULL) {
        relay->options.refresh(relay->options.ctx);
    }
}

static void
note_failure(mr_client_t *session)
{
    mr_db_record_failure(mr_db_conn_db(session->run.conn), mr_clock_now(NULL));
    request_refresh(session->relay);
}

/* A connection ended that no statement was sent on: that of a transaction,
 * which the database rolls back, or of a statement that waits to be sent
 * again. */
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

static void
note_commit(mr_client_t *session, const mr_reply_t *reply)
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
        note_commit(session, reply);
        release_conn(session, false);
        break;
    case MR_RUN_PRESENT:
        release_conn(session, true);
        break;
    case MR_RUN_AGED:
        release_conn(session, false);
        break;
    case MR_RUN_FIRST:
    case MR_RUN_CONTINUE:
        session->tx_wrote |= run->writes && !commit;
        if (commit) {
            if (session->tx_wrote) {
                note_commit(session, reply);
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

/* The connection ended while the database had the statement. */
static void
lose(mr_client_t *session, bool timed_out)
{
    mr_run_t *run = &session->run;
    bool commit = run->statement.kind == MR_COMMAND_COMMIT;
    mr_error_kind_t unknown =
        timed_out ? MR_ERR_STATEMENT_TIMEOUT : MR_ERR_OUTCOME_UNKNOWN;

    if (session->tx == MR_TX_OPEN) {
        /* Without a COMMIT the database rolls back. */
        bool kept = commit && session->tx_wrote;
        fail(session, kept ? unknown : MR_ERR_TRANSACTION_LOST,
             kept ? NULL : "connection to the database lost", kept ? -1 : 0);
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
    try_again(session, MR_ERR_UNAVAILABLE, 0);
}

/* Keeps the connection for another attempt after a pause. */
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
    if (run->mode == MR_RUN_CONTINUE) {
        fail(session, reply->error, reply->detail, RETRY_AFTER_BUSY_MS);
        return;
    }
    bool at_once = run->mode == MR_RUN_AGED && run->attempts < 2;
    try_again(session, reply->error, at_once ? 0 : mr_run_retry_pause(run));
}

static void
on_answer(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    mr_client_t *session = ctx;
    mr_run_t *run = &session->run;
    mr_ms_t now = mr_clock_now(NULL);

    assert(run->conn == conn && run->stage == MR_RUN_SENT);
    if (reply->lost) {
        note_failure(session);
        lose(session, false);
        return;
    }
    run->conn_reusable = true;
    /* A refusal comes fast, but says nothing about the time of an answer. */
    mr_db_record_answer(mr_db_conn_db(conn), now,
                        reply->error == MR_OK ? now - run->sent_at
                                              : mr_db_conn_db(conn)->latency);
    switch (reply->error) {
    case MR_OK:
        mr_conn_pool_reset_pause(mr_db_conn_db(conn));
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
    if (run->mode == MR_RUN_AGED || run->mode == MR_RUN_PRESENT) {
        if (run->attempts == 0) {
            try_again(session, reply->error, 0);
            return;
        }
    }
    fail(session, reply->error, reply->detail, -1);
}

static void
send_statement(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    const mr_position_t *after =
        run->mode == MR_RUN_AGED ? &run->min_position : NULL;
    mr_ms_t now = mr_clock_now(NULL);
    mr_ms_t left = mr_run_deadline_of(session) - now;

    if (left <= 0) {
        refuse(session);
        return;
    }
    /* While nothing is written, another database or another attempt of the
     * client may still be in time. */
    if (run->statement.kind != MR_COMMAND_COMMIT && !run->writes
        && run->attempts < SILENT_TRIES
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
on_begun(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    mr_client_t *session = ctx;
    mr_run_t *run = &session->run;
    mr_db_t *db = mr_db_conn_db(conn);
    mr_ms_t now = mr_clock_now(NULL);

    if (reply->lost) {
        note_failure(session);
        try_again(session, MR_ERR_UNAVAILABLE, 0);
        return;
    }
    if (reply->error != MR_OK || reply->state != MR_TX_OPEN) {
        run->conn_reusable = true;
        handle_refusal(session, reply);
        return;
    }
    if (!run->begin_at_replica) {
        /* Only a primary begins a plain transaction. */
        mr_db_record_answer(db, now, db->latency);
        mr_db_record_primary(db);
        mr_cluster_add_sample(db->cluster, reply->position, reply->sent_at);
    }
    send_statement(session);
}

static void
begin(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    bool aged = run->begin_at_replica;

    if (run->mode == MR_RUN_WRITE || run->mode == MR_RUN_AGED) {
        send_statement(session);
        return;
    }
    set_stage(session, MR_RUN_BEGINNING, SETUP_TIMEOUT_MS);
    mr_db_conn_query(
        run->conn, mr_own_statement_id, aged ? &run->min_position : NULL,
        mr_own_statement_text(aged ? MR_OWN_BEGIN_READ : MR_OWN_BEGIN),
        on_begun, session);
}

static void
on_setup(void *ctx, mr_db_conn_t *conn, const mr_reply_t *reply)
{
    mr_client_t *session = ctx;

    if (reply->lost) {
        note_failure(session);
        try_again(session, MR_ERR_UNAVAILABLE, 0);
        return;
    }
    if (reply->error != MR_OK) {
        mr_log(MR_LOG_WARNING, MR_EVENT_SESSION_VALUE_REFUSED,
               "error=%s detail=%s", mr_error_name(reply->error),
               reply->detail);
        try_again(session, reply->error, mr_run_retry_pause(&session->run));
        return;
    }
    if (--session->run.setup_pending > 0) {
        return;
    }
    *mr_db_conn_state(conn) =
        (mr_db_conn_state_t){session->serial, session->version};
    begin(session);
}

static void
send_setup(mr_client_t *session, const char *statement)
{
    session->run.setup_pending++;
    mr_db_conn_query(session->run.conn, mr_own_statement_id, NULL, statement,
                     on_setup, session);
}

/* Gives the connection the session's values and prepared statements. */
static void
set_up(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    mr_db_conn_state_t *state = mr_db_conn_state(run->conn);

    if (state->session == session->serial
        && state->version == session->version) {
        begin(session);
        return;
    }
    run->setup_pending = 0;
    set_stage(session, MR_RUN_PREPARING, SETUP_TIMEOUT_MS);
    if (state->session != 0) {
        send_setup(session, mr_own_statement_text(MR_OWN_RESET));
    }
    /* Marks the connection as used until all answers are there. */
    *state = (mr_db_conn_state_t){session->serial, UINT64_MAX};
    MR_LIST_FOREACH(it, &session->settings)
    {
        send_setup(session, MR_LIST_ENTRY(it, mr_setting_t, link)->statement);
    }
    if (run->setup_pending == 0) {
        state->version = session->version;
        begin(session);
    }
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
        set_up(session);
        return;
    }
    run->failed_db = run->wait_db;
    if (error == MR_ERR_OVERLOADED) {
        mr_db_record_busy(run->wait_db, mr_clock_now(NULL));
    }
    if (error == MR_ERR_UNAVAILABLE || error == MR_ERR_DEADLINE_EXCEEDED
        || error == MR_ERR_TARGET_REFUSED) {
        /* Or its address belongs to another database by now. */
        mr_db_record_failure(run->wait_db, mr_clock_now(NULL));
        request_refresh(session->relay);
    }
    try_again(session, MR_ERR_OVERLOADED, mr_run_retry_pause(run));
}

/* A read that seeks a position goes to a replica as soon as one is known. */
static void
await_conn(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    mr_ms_t left = run->wait_until - mr_clock_now(NULL);

    set_stage(session, MR_RUN_OPENING,
              run->needs_position && left > SEEK_PERIOD_MS ? SEEK_PERIOD_MS
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
        set_up(session);
        return;
    }
    run->wait_db = db;
    run->wait_until = mr_clock_now(NULL) + mr_run_open_limit(session);
    await_conn(session);
    run->waiter = mr_conn_pool_wait(session->relay->options.base, db,
                                    session->account, on_conn, session);
}

static void
choose(mr_client_t *session)
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
    if (session->tx == MR_TX_OPEN && session->tx_conn != NULL) {
        run->mode = MR_RUN_CONTINUE;
        run->conn = session->tx_conn;
        add_running(run, 1);
        send_statement(session);
        return;
    }
    cluster = mr_clusters_find(session->relay->options.clusters,
                               session->route->service);
    if (cluster != NULL) {
        db = mr_run_choose_db(session, cluster);
    }
    if (db == NULL) {
        run->attempts++;
        request_refresh(session->relay);
        try_later(session, MR_RUN_RETRY_FIRST_MS);
        return;
    }
    if (run->needs_position && !mr_cluster_claim_position_query(cluster, now)
        && now < run->started_at + mr_run_unoffered_limit(session)) {
        set_stage(session, MR_RUN_WAITING, SEEK_PERIOD_MS);
        return;
    }
    connect_to(session, db);
}

/* Waiting for a connection took too long, or a replica can be asked now. */
static void
on_opening_timer(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    bool over = mr_clock_now(NULL) >= run->wait_until;

    if (!over && !mr_run_found_position(session)) {
        await_conn(session);
        return;
    }
    mr_conn_pool_cancel(run->waiter);
    run->waiter = NULL;
    if (!over) {
        choose(session);
        return;
    }
    run->failed_db = run->wait_db;
    /* Past the time for attempts, the pause ends them. */
    try_again(session, MR_ERR_OVERLOADED, MR_RUN_RETRY_FIRST_MS);
}

/* The database did not answer the statement so far. */
static void
on_sent_timeout(mr_client_t *session)
{
    mr_run_t *run = &session->run;
    mr_ms_t now = mr_clock_now(NULL);
    mr_ms_t left = mr_run_deadline_of(session) - now;

    if (left > 0 && mr_db_conn_db(run->conn)->answered_at >= run->sent_at) {
        /* It works for others: this statement takes its time. */
        set_timer(session, left);
        return;
    }
    note_failure(session);
    lose(session, left <= 0);
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
    case MR_RUN_ADMISSION:
        mr_client_admit(session, mr_clock_now(NULL));
        break;
    case MR_RUN_WAITING:
        if (run->conn != NULL) {
            send_statement(session);
        }
        else {
            choose(session);
        }
        break;
    case MR_RUN_OPENING:
        on_opening_timer(session);
        break;
    case MR_RUN_PREPARING:
    case MR_RUN_BEGINNING:
        note_failure(session);
        try_again(session, MR_ERR_UNAVAILABLE, 0);
        break;
    case MR_RUN_SENT:
        on_sent_timeout(session);
        break;
    }
}

void
mr_run_park(mr_client_t *session, mr_line_t *line)
{
    mr_run_t *run = &session->run;

    run->line = *line;
    line->text = NULL;
    run->started_at = mr_clock_now(NULL);
    mr_quota_waiting(session->relay->options.quota, session->account, 1);
    set_stage(session, MR_RUN_ADMISSION, mr_run_unoffered_limit(session));
}

void
mr_run_unpark(mr_client_t *session, mr_line_t *line)
{
    mr_run_t *run = &session->run;

    mr_quota_waiting(session->relay->options.quota, session->account, -1);
    *line = run->line;
    run->line.text = NULL;
    clear(run);
}

void
mr_run_start(mr_client_t *session)
{
    mr_run_t *run = &session->run;

    run->started_at = mr_clock_now(NULL);
    run->stage = MR_RUN_WAITING;
    choose(session);
}

void
mr_run_cancel(mr_client_t *session)
{
    if (session->run.stage == MR_RUN_NONE) {
        return;
    }
    if (session->run.stage == MR_RUN_ADMISSION) {
        mr_quota_waiting(session->relay->options.quota, session->account, -1);
    }
    mr_run_log_abandoned(session);
    drop_conn(session);
    clear(&session->run);
}

void
mr_run_end_transaction(mr_client_t *session)
{
    if (session->run.stage == MR_RUN_NONE && session->run.timer != NULL) {
        evtimer_del(session->run.timer);
    }
    if (session->tx_conn != NULL) {
        /* Closing rolls back as well, but costs a new connection. */
        mr_db_conn_query(session->tx_conn, mr_own_statement_id, NULL,
                         mr_own_statement_text(MR_OWN_ROLLBACK), NULL, NULL);
        mr_conn_pool_give(session->tx_conn);
        session->tx_conn = NULL;
    }
}
