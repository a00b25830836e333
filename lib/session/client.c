/* Client sessions: messages, values, prepared statements and transactions. */

#include "session/client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "common/log.h"
#include "common/mem.h"

enum {
    /* TCP_USER_TIMEOUT: ends sessions of clients across a network partition.
     */
    USER_TIMEOUT_MS = 10000,
    /* Unsent output of a session from which on no further message is handled.
     */
    OUTPUT_FULL_BYTES = 64 * 1024,
    /* Time until operations refused for lack of memory may return. A quarter
     * of a second is the interval of measurements, before which the level
     * stays the same. Single reads, which hold least, come first, everything
     * else in the second half of the window. */
    RETRY_READ_FIRST_MS = 250,
    RETRY_OTHER_FIRST_MS = 500,
    RETRY_WINDOW_MS = 250,
    RETRY_CRITICAL_FACTOR = 2,
    /* The balancer gives a new session to another instance, so its client does
     * not have to wait for this one. */
    RETRY_OPEN_FIRST_MS = 20,
    RETRY_OPEN_WINDOW_MS = 80,
    /* Has no common factor with the windows, so that successive refusals
     * spread evenly over them. */
    RETRY_STEP_MS = 89,
};

static void
on_read(struct bufferevent *stream, void *ctx)
{
    mr_client_t *session = ctx;

    if (mr_client_input_bytes(session) > MR_CLIENT_SMALL_BYTES) {
        /* Not called directly, as it may end this session. */
        event_active(session->relay->large_input, 0, 0);
        if (session->run.stage != MR_RUN_NONE || session->output_full) {
            session->input_paused = true;
            bufferevent_disable(stream, EV_READ);
        }
    }
    if (session->run.stage == MR_RUN_NONE) {
        mr_client_process_input(session);
    }
}

static void
on_event(struct bufferevent *stream, short what, void *ctx)
{
    (void)stream;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        mr_client_destroy(ctx);
    }
}

void
mr_client_create(mr_relay_t *relay, evutil_socket_t fd)
{
    mr_client_t *session = MR_NEW(mr_client_t);
    int one = 1;
    unsigned int user_timeout = USER_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
               sizeof(user_timeout));
    session->relay = relay;
    session->serial = ++relay->last_serial;
    session->state = mr_session_state_create();
    session->active_at = mr_clock_now(NULL);
    mr_list_append(&relay->sessions, &session->link);
    relay->session_count++;
    session->stream =
        bufferevent_socket_new(relay->options.base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(session->stream, on_read, NULL, on_event, session);
    /* One byte more than the longest message shows that it is too long. */
    bufferevent_setwatermark(session->stream, EV_READ, 0,
                             MR_LINE_MAX_BYTES + 1);
    bufferevent_enable(session->stream, EV_READ | EV_WRITE);
}

void
mr_client_destroy(mr_client_t *session)
{
    mr_run_cancel(session);
    mr_run_end_transaction(session);
    mr_session_state_destroy(session->state);
    mr_list_remove(&session->link);
    session->relay->session_count--;
    mr_catalog_unref(session->catalog);
    if (session->run.timer != NULL) {
        event_free(session->run.timer);
    }
    bufferevent_free(session->stream);
    free(session->database);
    free(session->credential);
    free(session->account);
    free(session);
}

size_t
mr_client_input_bytes(const mr_client_t *session)
{
    return evbuffer_get_length(bufferevent_get_input(session->stream));
}

size_t
mr_client_output_bytes(const mr_client_t *session)
{
    return evbuffer_get_length(bufferevent_get_output(session->stream));
}

size_t
mr_client_buffer_bytes(const mr_client_t *session)
{
    return mr_client_input_bytes(session) + mr_client_output_bytes(session);
}

size_t
mr_client_held_bytes(const mr_client_t *session)
{
    return mr_client_buffer_bytes(session)
           + mr_session_state_bytes(session->state);
}

mr_client_use_t
mr_client_use(const mr_client_t *session)
{
    return (mr_client_use_t){
        .opened = session->database != NULL,
        .running = session->run.stage != MR_RUN_NONE,
        .in_transaction = session->tx_conn != NULL,
        .input = mr_client_input_bytes(session),
        .output = mr_client_output_bytes(session),
        .held = mr_client_held_bytes(session),
        .active_at = session->active_at,
    };
}

bool
mr_client_is_idle(const mr_client_t *session)
{
    return session->run.stage == MR_RUN_NONE && session->tx == MR_TX_IDLE
           && !session->closing;
}

static struct evbuffer *
client_output(mr_client_t *session)
{
    return bufferevent_get_output(session->stream);
}

static void
write_ready(mr_client_t *session)
{
    mr_line_write_ready(client_output(session), session->tx,
                        &session->position);
}

void
mr_client_answer_error(mr_client_t *session, mr_error_kind_t error,
                       const char *detail, mr_ms_t retry_after)
{
    session->active_at = mr_clock_now(NULL);
    mr_counter_add(session->relay->answers[error], 1);
    mr_line_write_error(client_output(session), error, detail, retry_after);
    write_ready(session);
}

void
mr_client_refuse(mr_client_t *session, const char *id, mr_error_kind_t error,
                 const char *detail, mr_ms_t retry_after)
{
    mr_log_request(MR_LOG_FAILED, MR_EVENT_REQUEST_REFUSED,
                   "id=%s account=%s database=%s error=%s config=%lld "
                   "retry_after_ms=%lld coordinated=%d waited=%d",
                   id, session->account != NULL ? session->account : "-",
                   session->database, mr_error_name(error),
                   (long long)session->relay->catalog->version,
                   (long long)retry_after,
                   mr_quota_is_coordinated(session->relay->options.quota),
                   session->waited_for_token);
    mr_client_answer_error(session, error, detail, retry_after);
}

void
mr_client_answer(mr_client_t *session, struct evbuffer *body)
{
    session->active_at = mr_clock_now(NULL);
    mr_counter_add(session->relay->answers[MR_OK], 1);
    if (body != NULL) {
        evbuffer_add_buffer(client_output(session), body);
    }
    else {
        mr_line_write_complete(client_output(session));
    }
    write_ready(session);
}

/* Ends the session once its output is written. */
static void
on_output_written(struct bufferevent *stream, void *ctx)
{
    (void)stream;
    mr_client_destroy(ctx);
}

static void
close_after_output(mr_client_t *session)
{
    session->closing = true;
    bufferevent_disable(session->stream, EV_READ);
    bufferevent_setcb(session->stream, NULL, on_output_written, on_event,
                      session);
    if (evbuffer_get_length(client_output(session)) == 0) {
        mr_client_destroy(session);
    }
}

/* Whether a whole message waits in the input. */
static bool
has_request(const mr_client_t *session)
{
    return evbuffer_search_eol(bufferevent_get_input(session->stream), NULL,
                               NULL, EVBUFFER_EOL_CRLF)
               .pos
           >= 0;
}

void
mr_client_abort(mr_client_t *session)
{
    static const char reason[] = "this instance stops";

    if (session->tx != MR_TX_IDLE) {
        mr_run_end_transaction(session);
        session->tx = MR_TX_FAILED;
        if (has_request(session)) {
            mr_client_answer_error(session, MR_ERR_TRANSACTION_LOST, reason,
                                   0);
        }
        else {
            /* Clients take every other message for an answer. */
            mr_line_write_error(client_output(session),
                                MR_ERR_TRANSACTION_LOST, reason, 0);
        }
    }
    close_after_output(session);
}

/* Client account of the caller under the current desired state; NULL: the
 * caller has no valid key and the route requires one. */
static const char *
find_caller(const mr_client_t *session, const mr_catalog_route_t *route)
{
    const mr_catalog_account_t *account =
        mr_catalog_key_owner(session->relay->catalog, session->credential);

    if (account != NULL) {
        return account->name;
    }
    return route != NULL && route->anonymous ? mr_no_account : NULL;
}

/* Refuses an OPEN and ends the session. */
static void
refuse_open(mr_client_t *session, mr_error_kind_t error, mr_ms_t retry_after)
{
    mr_log_request(MR_LOG_FAILED, MR_EVENT_SESSION_REFUSED,
                   "error=%s retry_after_ms=%lld", mr_error_name(error),
                   (long long)retry_after);
    mr_counter_add(session->relay->answers[error], 1);
    mr_line_write_error(client_output(session), error, NULL, retry_after);
    close_after_output(session);
}

/* Time after which a refused caller may return: the next place in the window
 * that begins at @first, so that callers do not return together. */
static mr_ms_t
next_return(mr_relay_t *relay, mr_ms_t first, mr_ms_t window)
{
    mr_ms_t place = (mr_ms_t)relay->refusals++ * RETRY_STEP_MS % window;

    return first + place;
}

static mr_memory_level_t
memory_level(const mr_client_t *session)
{
    return mr_memory_level(session->relay->options.memory);
}

/* Refuses a request for lack of memory. */
static void
refuse_for_memory(mr_client_t *session, const char *id, bool single_read)
{
    mr_ms_t wait =
        next_return(session->relay,
                    single_read ? RETRY_READ_FIRST_MS : RETRY_OTHER_FIRST_MS,
                    RETRY_WINDOW_MS);

    if (memory_level(session) == MR_MEMORY_CRITICAL) {
        wait *= RETRY_CRITICAL_FACTOR;
    }
    mr_client_refuse(session, id, MR_ERR_MEMORY_SHORT, NULL, wait);
}

void
mr_client_shed(mr_client_t *session)
{
    struct evbuffer *in = bufferevent_get_input(session->stream);
    size_t input = mr_client_input_bytes(session);
    size_t output = mr_client_output_bytes(session);
    mr_ms_t wait =
        next_return(session->relay, RETRY_OTHER_FIRST_MS, RETRY_WINDOW_MS);

    mr_log_request(MR_LOG_FAILED, MR_EVENT_SESSION_SHED,
                   "account=%s database=%s input=%zu output=%zu values=%zu",
                   session->account != NULL ? session->account : "-",
                   session->database != NULL ? session->database : "-", input,
                   output, mr_session_state_bytes(session->state));
    mr_counter_add(session->relay->shed, 1);
    if (input == 0 || output > 0) {
        mr_client_destroy(session);
        return;
    }
    /* A request has arrived in part. */
    evbuffer_drain(in, input);
    session->searched = 0;
    if (session->database == NULL) {
        refuse_open(session, MR_ERR_MEMORY_SHORT, wait);
        return;
    }
    mr_client_answer_error(session, MR_ERR_MEMORY_SHORT, NULL, wait);
    close_after_output(session);
}

static bool
open_session(mr_client_t *session, const mr_line_t *line)
{
    const mr_catalog_route_t *route =
        mr_catalog_route(session->relay->catalog, line->u.open.database);

    session->credential = mr_strdup(line->u.open.credential);
    if (route == NULL) {
        refuse_open(session, MR_ERR_UNKNOWN_ROUTE, -1);
        return false;
    }
    if (find_caller(session, route) == NULL) {
        refuse_open(session, MR_ERR_UNAUTHENTICATED, -1);
        return false;
    }
    if (memory_level(session) != MR_MEMORY_NORMAL) {
        refuse_open(session, MR_ERR_MEMORY_SHORT,
                    next_return(session->relay, RETRY_OPEN_FIRST_MS,
                                RETRY_OPEN_WINDOW_MS));
        return false;
    }
    session->database = mr_strdup(line->u.open.database);
    mr_counter_add(session->relay->opened, 1);
    write_ready(session);
    return true;
}

/* Whether there is memory for the statement in @line beside the other large
 * ones; refuses it if not. */
static bool
admit_statement(mr_client_t *session, const mr_line_t *line)
{
    mr_client_load_t load = {
        .memory_limit = mr_memory_limit(session->relay->options.memory),
        .in_transaction = session->tx_conn != NULL,
    };
    size_t bytes = strlen(line->u.query.statement);

    if (session->tx_conn == NULL) {
        bytes += mr_session_state_bytes(session->state);
    }
    if (bytes <= MR_CLIENT_COUNTED_BYTES || load.memory_limit <= 0) {
        return true;
    }
    MR_LIST_FOREACH(it, &session->relay->sessions)
    {
        const mr_client_t *other = MR_LIST_ENTRY(it, mr_client_t, link);
        if (other->run.stage != MR_RUN_NONE && other->run_bytes > 0) {
            load.bytes += other->run_bytes;
            load.account_bytes += strcmp(other->account, session->account) == 0
                                      ? other->run_bytes
                                      : 0;
        }
    }
    if (!mr_client_budget_admits(&load, bytes)) {
        refuse_for_memory(session, line->u.query.id, false);
        return false;
    }
    session->run_bytes = bytes;
    return true;
}

/* Takes a token for the operation that @line begins. Returns false if the
 * operation was refused, or waits and @line was taken over. */
static bool
take_token(mr_client_t *session, mr_line_t *line)
{
    mr_relay_t *relay = session->relay;
    mr_quota_t *quota = relay->options.quota;
    mr_ms_t wait =
        mr_quota_admit(quota, session->account, session->waited_for_token);

    if (wait == 0) {
        return true;
    }
    if (!session->waited_for_token && mr_quota_is_coordinated(quota)) {
        mr_log_request(MR_LOG_SUCCEEDED, MR_EVENT_TOKEN_WAIT,
                       "id=%s account=%s", line->u.query.id, session->account);
        mr_run_await_token(session, line);
        relay->options.tokens_needed(relay->options.ctx);
        return false;
    }
    mr_counter_add(relay->limited, 1);
    mr_client_refuse(session, line->u.query.id, MR_ERR_RATE_LIMITED, NULL,
                     wait);
    return false;
}

/* Begins an operation under the current desired state. Returns false if it was
 * refused or has to wait. */
static bool
begin_operation(mr_client_t *session, mr_line_t *line, bool single_read)
{
    mr_relay_t *relay = session->relay;

    mr_catalog_unref(session->catalog);
    session->catalog = mr_catalog_ref(relay->catalog);
    session->route = mr_catalog_route(session->catalog, session->database);
    if (session->route == NULL) {
        mr_client_refuse(session, line->u.query.id, MR_ERR_UNKNOWN_ROUTE, NULL,
                         -1);
        return false;
    }
    if (memory_level(session) != MR_MEMORY_NORMAL) {
        refuse_for_memory(session, line->u.query.id, single_read);
        return false;
    }
    if (!take_token(session, line)) {
        return false;
    }
    mr_counter_add(relay->operations, 1);
    return true;
}

/* Authenticates the caller for each statement, so that withdrawing a key also
 * affects open sessions. */
static bool
authenticate(mr_client_t *session, const mr_line_t *line)
{
    mr_catalog_t *catalog = session->relay->catalog;
    const char *account =
        find_caller(session, mr_catalog_route(catalog, session->database));

    if (account != NULL && session->account != NULL
        && strcmp(account, session->account) == 0) {
        return true;
    }
    if (account == NULL || session->tx != MR_TX_IDLE) {
        mr_run_end_transaction(session);
        if (session->tx == MR_TX_OPEN) {
            session->tx = MR_TX_FAILED;
        }
        mr_client_refuse(session, line->u.query.id, MR_ERR_UNAUTHENTICATED,
                         NULL, -1);
        return false;
    }
    free(session->account);
    session->account = mr_strdup(account);
    return true;
}

static void
handle_setting(mr_client_t *session, const mr_line_t *line,
               const mr_command_t *statement)
{
    if (statement->kind != MR_COMMAND_DEALLOCATE
        && memory_level(session) == MR_MEMORY_CRITICAL) {
        refuse_for_memory(session, line->u.query.id, false);
    }
    else if (!mr_session_state_change(session->state, line->u.query.statement,
                                      statement, session->tx_conn != NULL)) {
        mr_client_refuse(session, line->u.query.id, MR_ERR_PAYLOAD_TOO_LARGE,
                         "the session's values", -1);
    }
    else {
        mr_client_answer(session, NULL);
    }
}

static void
begin_transaction(mr_client_t *session, mr_line_t *line,
                  const mr_command_t *statement)
{
    if (session->tx == MR_TX_OPEN) {
        mr_client_answer_error(session, MR_ERR_INVALID_REQUEST,
                               "a transaction is open", -1);
        return;
    }
    if (!begin_operation(session, line, false)) {
        return;
    }
    session->tx = MR_TX_OPEN;
    session->tx_read_only = statement->read_only;
    session->tx_wrote = false;
    session->tx_lost = false;
    mr_client_answer(session, NULL);
}

static void
roll_back(mr_client_t *session)
{
    mr_run_end_transaction(session);
    session->tx = MR_TX_IDLE;
    session->tx_lost = false;
    mr_client_answer(session, NULL);
}

/* A failed transaction only accepts ROLLBACK and COMMIT, which end it. */
static void
handle_in_failed_tx(mr_client_t *session, const mr_command_t *statement)
{
    if (statement->kind == MR_COMMAND_ROLLBACK) {
        roll_back(session);
    }
    else if (statement->kind == MR_COMMAND_COMMIT) {
        mr_run_end_transaction(session);
        session->tx = MR_TX_IDLE;
        mr_client_answer_error(session, MR_ERR_TRANSACTION_LOST, "rolled back",
                               0);
    }
    else {
        mr_client_answer_error(session, MR_ERR_INVALID_REQUEST,
                               "the transaction failed", -1);
    }
}

/* Starts a statement that runs at a database. Takes over @line. */
static void
start_statement(mr_client_t *session, mr_line_t *line,
                const mr_command_t *statement, bool writes)
{
    session->run.line = *line;
    line->text = NULL;
    session->run.statement = *statement;
    session->run.writes = writes;
    mr_run_start(session);
}

static void
handle_statement(mr_client_t *session, mr_line_t *line,
                 const mr_command_t *statement)
{
    bool writes = statement->kind == MR_COMMAND_WRITE
                  || statement->kind == MR_COMMAND_COMMIT;

    if (statement->kind == MR_COMMAND_EXECUTE) {
        const mr_setting_t *prepared =
            mr_session_state_find(session->state, statement->name);
        if (prepared == NULL) {
            mr_client_answer_error(session, MR_ERR_UNKNOWN_STATEMENT, NULL,
                                   -1);
            return;
        }
        writes = !prepared->read_only;
    }
    /* A COMMIT is never refused, as it ends what the transaction holds. */
    if (statement->kind != MR_COMMAND_COMMIT
        && !admit_statement(session, line)) {
        return;
    }
    if (session->tx == MR_TX_IDLE) {
        if (statement->kind == MR_COMMAND_COMMIT) {
            mr_client_answer_error(session, MR_ERR_INVALID_REQUEST,
                                   "no transaction is open", -1);
            return;
        }
        if (!begin_operation(session, line, !writes)) {
            return;
        }
    }
    start_statement(session, line, statement, writes);
}

static void
handle_query(mr_client_t *session, mr_line_t *line)
{
    mr_command_t statement;

    session->run_bytes = 0;
    mr_command_parse(line->u.query.statement, &statement);
    if (!authenticate(session, line)) {
        return;
    }
    if (session->tx == MR_TX_FAILED) {
        handle_in_failed_tx(session, &statement);
        return;
    }
    switch (statement.kind) {
    case MR_COMMAND_BEGIN:
        begin_transaction(session, line, &statement);
        return;
    case MR_COMMAND_ROLLBACK:
        roll_back(session);
        return;
    case MR_COMMAND_SET:
    case MR_COMMAND_PREPARE:
    case MR_COMMAND_DEALLOCATE:
        handle_setting(session, line, &statement);
        return;
    case MR_COMMAND_READ:
    case MR_COMMAND_WRITE:
    case MR_COMMAND_EXECUTE:
    case MR_COMMAND_COMMIT:
        handle_statement(session, line, &statement);
        return;
    case MR_COMMAND_UNKNOWN:
        break;
    }
    mr_client_answer_error(session, MR_ERR_INVALID_REQUEST,
                           "unknown statement", -1);
}

void
mr_client_on_tokens(mr_client_t *session, int64_t round)
{
    mr_line_t line;

    if (session->run.stage == MR_RUN_COLD_WAIT) {
        mr_run_on_cold_tokens(session);
        return;
    }
    if (session->run.stage != MR_RUN_TOKEN_WAIT
        || session->run.waited_after >= round) {
        return;
    }
    mr_run_end_token_wait(session, &line);
    session->waited_for_token = true;
    handle_query(session, &line);
    session->waited_for_token = false;
    mr_line_release(&line);
    if (session->run.stage == MR_RUN_NONE) {
        mr_client_process_input(session);
    }
}

/* Handles one message. Returns false if the session has ended. */
static bool
handle_line(mr_client_t *session, mr_line_t *line)
{
    if (session->database == NULL) {
        if (line->kind != MR_LINE_OPEN) {
            refuse_open(session, MR_ERR_INVALID_REQUEST, -1);
            return false;
        }
        return open_session(session, line);
    }
    if (line->kind == MR_LINE_QUERY) {
        handle_query(session, line);
        return true;
    }
    if (line->kind != MR_LINE_CLOSE) {
        mr_client_answer_error(session, MR_ERR_INVALID_REQUEST, NULL, -1);
    }
    close_after_output(session);
    return false;
}

/* Answers a malformed message. Returns false if the session has ended. */
static bool
refuse_malformed(mr_client_t *session, mr_line_result_t result)
{
    mr_error_kind_t error = result == MR_LINE_TOO_LONG
                                ? MR_ERR_PAYLOAD_TOO_LARGE
                                : MR_ERR_INVALID_REQUEST;

    if (session->database == NULL || result == MR_LINE_TOO_LONG) {
        refuse_open(session, error, -1);
        return false;
    }
    mr_client_answer_error(session, error, NULL, -1);
    return true;
}

/* Releases the desired state of an operation that has ended, as an idle
 * session would keep an old version in memory, and the changes for its
 * transaction's connection. */
static void
release_operation(mr_client_t *session)
{
    if (session->run.stage == MR_RUN_NONE && session->tx != MR_TX_OPEN) {
        mr_session_state_clear_changes(session->state);
        mr_catalog_unref(session->catalog);
        session->catalog = NULL;
        session->route = NULL;
    }
}

static void
on_output_empty(struct bufferevent *stream, void *ctx)
{
    mr_client_t *session = ctx;

    session->output_full = false;
    bufferevent_setcb(stream, on_read, NULL, on_event, session);
    mr_client_process_input(session);
}

/* Whether the client has to read answers before its next message is handled.
 */
static bool
is_output_full(mr_client_t *session)
{
    if (!session->output_full
        && mr_client_output_bytes(session) >= OUTPUT_FULL_BYTES) {
        session->output_full = true;
        bufferevent_setcb(session->stream, on_read, on_output_empty, on_event,
                          session);
    }
    return session->output_full;
}

static void
resume_input(mr_client_t *session)
{
    if (session->input_paused && session->run.stage == MR_RUN_NONE
        && !session->output_full && !session->closing) {
        session->input_paused = false;
        bufferevent_enable(session->stream, EV_READ);
    }
}

/* Whether what arrived since the last search does not complete the message.
 * Without this, a long message that arrives byte by byte is searched from its
 * beginning for each of them. */
static bool
lacks_end(mr_client_t *session)
{
    struct evbuffer *in = bufferevent_get_input(session->stream);
    size_t len = evbuffer_get_length(in);
    struct evbuffer_ptr from;

    if (session->searched == 0 || session->searched > len
        || len > MR_LINE_MAX_BYTES
        || evbuffer_ptr_set(in, &from, session->searched - 1, EVBUFFER_PTR_SET)
               != 0
        || evbuffer_search_eol(in, &from, NULL, EVBUFFER_EOL_CRLF_STRICT).pos
               >= 0) {
        return false;
    }
    session->searched = len;
    return true;
}

void
mr_client_process_input(mr_client_t *session)
{
    struct evbuffer *in = bufferevent_get_input(session->stream);
    bool alive = true;

    while (alive && !session->closing && session->run.stage == MR_RUN_NONE
           && session->relay->catalog != NULL && !is_output_full(session)) {
        mr_line_t line;
        if (session->relay->ending_transactions && session->tx != MR_TX_IDLE
            && has_request(session)) {
            mr_client_abort(session);
            return;
        }
        if (lacks_end(session)) {
            break;
        }
        mr_line_result_t result = mr_line_read(in, &line, NULL);
        if (result == MR_LINE_PARTIAL) {
            session->searched = evbuffer_get_length(in);
            break;
        }
        session->searched = 0;
        session->idle_before = false;
        session->active_at = mr_clock_now(NULL);
        alive = result == MR_LINE_VALID ? handle_line(session, &line)
                                        : refuse_malformed(session, result);
        mr_line_release(&line);
    }
    if (!alive) {
        return;
    }
    release_operation(session);
    resume_input(session);
    if (mr_client_is_idle(session) && session->relay->draining
        && session->database != NULL && !session->output_full) {
        close_after_output(session);
    }
}
