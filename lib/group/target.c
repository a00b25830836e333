#include "group/target.h"

#include <assert.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "common/address.h"
#include "common/json.h"
#include "common/mem.h"

enum {
    HEADERS_MAX_BYTES = 16 << 10,
    /* libevent's own timeout would close idle connections; it is set so high
     * that only request_timer matters. */
    HTTP_TIMEOUT_S = 7 * 24 * 3600,
};

struct mr_target_conn {
    struct event_base *base;
    char address[MR_ADDRESS_MAX_BYTES];
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;
    struct evhttp_connection *http;
    struct event *request_timer; /* timeout of the request */
    struct event *deliver_event; /* makes the callback from the loop */
    bool broken;                 /* closed, or in an unknown state */
    bool answered;   /* at least one complete answer was received */
    bool maybe_sent; /* part of the request may have been sent */
    mr_target_operation_t operation;
    mr_target_reply_fn_t fn; /* NULL: no request */
    void *ctx;
    json_t *body;        /* owns the reply's strings */
    char *result;        /* JSON text */
    const char *message; /* static or owned by body */
    mr_target_reply_t reply;
};

bool
mr_log_state_covers(const mr_log_state_t *state, int64_t term,
                    int64_t position)
{
    if (state->last_term != term) {
        return state->last_term > term;
    }
    return state->position >= position;
}

int
mr_log_state_compare(const mr_log_state_t *a, const mr_log_state_t *b)
{
    if (a->last_term != b->last_term) {
        return a->last_term < b->last_term ? -1 : 1;
    }
    if (a->position != b->position) {
        return a->position < b->position ? -1 : 1;
    }
    return 0;
}

/** close_connection() - close the connection and drop any request on it. */
static void
close_connection(mr_target_conn_t *conn)
{
    struct evhttp_connection *http = conn->http;

    conn->broken = true;
    conn->http = NULL;
    if (http != NULL) {
        evhttp_connection_set_closecb(http, NULL, NULL);
        evhttp_connection_free(http);
    }
}

/** finish() - end the request; the callback is made from the event loop. */
static void
finish(mr_target_conn_t *conn, mr_error_kind_t error, const char *message)
{
    conn->reply.error = error;
    conn->reply.message = message;
    event_del(conn->request_timer);
    event_active(conn->deliver_event, EV_TIMEOUT, 1);
}

/** fail() - end a request without a usable answer. It is unknown what is still
 * to arrive on the connection, so on_deliver() closes it. */
static void
fail(mr_target_conn_t *conn, const char *message)
{
    conn->broken = true;
    finish(conn,
           conn->maybe_sent ? MR_ERR_OUTCOME_UNKNOWN : MR_ERR_UNAVAILABLE,
           message);
}

static void
on_timeout(evutil_socket_t fd, short what, void *ctx)
{
    mr_target_conn_t *conn = ctx;

    (void)fd;
    (void)what;
    close_connection(conn);
    fail(conn, "no answer in time");
}

static void
on_deliver(evutil_socket_t fd, short what, void *ctx)
{
    mr_target_conn_t *conn = ctx;
    mr_target_reply_t reply = conn->reply;
    mr_target_reply_fn_t fn = conn->fn;
    json_t *body = conn->body;
    char *result = conn->result;

    (void)fd;
    (void)what;
    if (conn->broken) {
        close_connection(conn);
    }
    conn->fn = NULL;
    conn->body = NULL;
    conn->result = NULL;
    /* The callback may destroy the connection. */
    fn(conn->ctx, &reply);
    json_decref(body);
    free(result);
}

static bool
read_integer(const json_t *object, const char *name, int64_t *out)
{
    const json_t *value = json_object_get(object, name);

    if (!json_is_integer(value) || json_integer_value(value) < 0) {
        return false;
    }
    *out = json_integer_value(value);
    return true;
}

static const char *
read_string(const json_t *object, const char *name)
{
    return json_string_value(json_object_get(object, name));
}

/** read_state() - read a log state; unknown fields, which newer targets may
 * send, are ignored. */
static bool
read_state(const json_t *object, mr_log_state_t *state)
{
    const char *role = read_string(object, "role");

    if (role == NULL || !read_integer(object, "term", &state->term)
        || !read_integer(object, "last_term", &state->last_term)
        || !read_integer(object, "position", &state->position)) {
        return false;
    }
    state->primary = strcmp(role, "primary") == 0;
    state->leaving = json_is_true(json_object_get(object, "leaving"));
    return state->primary || strcmp(role, "replica") == 0;
}

static mr_target_refusal_t
parse_refusal(const char *name)
{
    static const struct {
        const char *name;
        mr_target_refusal_t refusal;
    } names[] = {
        {"wrong_term", MR_REFUSAL_WRONG_TERM},
        {"not_primary", MR_REFUSAL_NOT_PRIMARY},
        {"leaving", MR_REFUSAL_LEAVING},
        {"busy", MR_REFUSAL_BUSY},
        {"no_transaction", MR_REFUSAL_NO_TRANSACTION},
    };

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strcmp(names[i].name, name) == 0) {
            return names[i].refusal;
        }
    }
    return MR_REFUSAL_OTHER;
}

/** read_success() - read the fields that a 200 answer to the operation must
 * have. */
static bool
read_success(mr_target_conn_t *conn)
{
    mr_target_reply_t *reply = &conn->reply;
    const json_t *value;

    switch (conn->operation) {
    case MR_TARGET_EXECUTE:
    case MR_TARGET_COMMIT:
        value = json_object_get(conn->body, "result");
        if (value == NULL) {
            return conn->operation == MR_TARGET_COMMIT;
        }
        conn->result = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
        if (conn->result == NULL) {
            return false;
        }
        reply->result.data = conn->result;
        reply->result.len = strlen(conn->result);
        return true;
    case MR_TARGET_BEGIN:
        reply->transaction = read_string(conn->body, "transaction");
        return reply->transaction != NULL && *reply->transaction != '\0';
    case MR_TARGET_GRANT:
        value = json_object_get(conn->body, "granted");
        reply->granted = json_is_true(value);
        return json_is_boolean(value);
    case MR_TARGET_STATUS:
    case MR_TARGET_ROLLBACK:
    case MR_TARGET_PROMOTE:
        return true;
    }
    return false;
}

/** read_answer() - read a complete answer; false when it does not conform to
 * the protocol. */
static bool
read_answer(mr_target_conn_t *conn, int status)
{
    const char *text;
    const json_t *state = conn->operation == MR_TARGET_STATUS
                              ? conn->body
                              : json_object_get(conn->body, "state");

    conn->reply.has_state = read_state(state, &conn->reply.state);
    if (!conn->reply.has_state) {
        return false;
    }
    switch (status) {
    case 200:
        if (!read_success(conn)) {
            return false;
        }
        finish(conn, MR_OK, "");
        return true;
    case 409:
        text = read_string(conn->body, "refused");
        if (text == NULL) {
            return false;
        }
        conn->reply.refusal = parse_refusal(text);
        finish(conn, MR_ERR_TARGET_REFUSED, text);
        return true;
    case 422:
        text = read_string(conn->body, "failed");
        if (text == NULL) {
            return false;
        }
        finish(conn, MR_ERR_STATEMENT_FAILED, text);
        return true;
    default:
        return false;
    }
}

/** on_http_answer() - libevent has an answer; @req is NULL when the connection
 * failed, and has status 0 when it could not be opened. */
static void
on_http_answer(struct evhttp_request *req, void *ctx)
{
    mr_target_conn_t *conn = ctx;
    mr_json_problem_t problem;
    int status = req == NULL ? 0 : evhttp_request_get_response_code(req);

    if (status == 0) {
        fail(conn, conn->maybe_sent ? "connection lost"
                                    : "cannot open a connection");
        return;
    }
    if (status == HTTP_SERVUNAVAIL && !conn->answered) {
        /* Refused on connect: the target is up, but did not read the request.
         */
        conn->broken = true;
        conn->reply.refusal = MR_REFUSAL_BUSY;
        finish(conn, MR_ERR_TARGET_REFUSED,
               "the target accepts no more connections");
        return;
    }
    struct evbuffer *body = evhttp_request_get_input_buffer(req);
    conn->body = mr_json_parse(evbuffer_pullup(body, -1),
                               evbuffer_get_length(body), &problem);
    if (conn->body == NULL || !read_answer(conn, status)) {
        memset(&conn->reply.state, 0, sizeof(conn->reply.state));
        conn->reply.has_state = false;
        fail(conn, "the answer does not conform to the protocol");
        return;
    }
    conn->answered = true;
}

static void
on_closed(struct evhttp_connection *http, void *ctx)
{
    mr_target_conn_t *conn = ctx;

    (void)http;
    conn->broken = true;
}

/** on_output_added() - libevent writes the request to the output buffer of an
 * open connection. */
static void
on_output_added(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
                void *ctx)
{
    mr_target_conn_t *conn = ctx;

    (void)buffer;
    if (info->n_added > 0) {
        conn->maybe_sent = true;
    }
}

mr_target_conn_t *
mr_target_conn_create(struct event_base *base, const char *address)
{
    struct sockaddr_storage parsed;
    int len;

    if (!mr_address_parse(address, &parsed, &len)) {
        return NULL;
    }
    mr_target_conn_t *conn = MR_NEW(mr_target_conn_t);
    conn->base = base;
    snprintf(conn->address, sizeof(conn->address), "%s", address);
    mr_address_split(address, conn->ip, &conn->port);
    conn->request_timer = evtimer_new(base, on_timeout, conn);
    conn->deliver_event = event_new(base, -1, 0, on_deliver, conn);
    conn->http =
        evhttp_connection_base_new(base, NULL, conn->ip, (uint16_t)conn->port);
    evhttp_connection_set_timeout(conn->http, HTTP_TIMEOUT_S);
    evhttp_connection_set_retries(conn->http, 0);
    if (mr_address_source() != NULL) {
        evhttp_connection_set_local_address(conn->http, mr_address_source());
    }
    evhttp_connection_set_max_headers_size(conn->http, HEADERS_MAX_BYTES);
    evhttp_connection_set_max_body_size(conn->http, MR_TARGET_BODY_MAX_BYTES);
    evhttp_connection_set_closecb(conn->http, on_closed, conn);
    evbuffer_add_cb(
        bufferevent_get_output(evhttp_connection_get_bufferevent(conn->http)),
        on_output_added, conn);
    return conn;
}

void
mr_target_conn_set_traffic(mr_target_conn_t *conn, const mr_traffic_t *traffic)
{
    mr_traffic_watch(traffic, evhttp_connection_get_bufferevent(conn->http));
}

void
mr_target_conn_destroy(mr_target_conn_t *conn)
{
    if (conn == NULL) {
        return;
    }
    close_connection(conn);
    event_free(conn->request_timer);
    event_free(conn->deliver_event);
    json_decref(conn->body);
    free(conn->result);
    free(conn);
}

static const char *
request_path(mr_target_operation_t operation)
{
    switch (operation) {
    case MR_TARGET_STATUS:
        return "/status";
    case MR_TARGET_EXECUTE:
        return "/execute";
    case MR_TARGET_BEGIN:
        return "/begin";
    case MR_TARGET_COMMIT:
        return "/commit";
    case MR_TARGET_ROLLBACK:
        return "/rollback";
    case MR_TARGET_GRANT:
        return "/grant";
    case MR_TARGET_PROMOTE:
        return "/promote";
    }
    return "/";
}

static void
add_string_field(struct evbuffer *out, const char *name, const char *value)
{
    json_t *json = json_string(value);
    char *text = json_dumps(json, JSON_ENCODE_ANY);

    evbuffer_add_printf(out, ",\"%s\":%s", name, text == NULL ? "\"\"" : text);
    free(text);
    json_decref(json);
}

/** write_body() - write the body of a request; the statement is inserted
 * verbatim, as it is JSON already. */
static void
write_body(struct evbuffer *out, const mr_target_request_t *request)
{
    mr_target_operation_t operation = request->operation;
    bool has_access =
        operation == MR_TARGET_EXECUTE || operation == MR_TARGET_BEGIN;

    if (operation == MR_TARGET_STATUS) {
        return;
    }
    evbuffer_add_printf(out, "{\"term\":%lld", (long long)request->term);
    if (has_access) {
        add_string_field(out, "access",
                         request->access == MR_ACCESS_WRITE ? "write"
                                                            : "read");
    }
    if (operation == MR_TARGET_EXECUTE) {
        evbuffer_add_printf(out, ",\"max_ms\":%lld,\"statement\":",
                            (long long)request->timeout);
        evbuffer_add(out, request->statement.data, request->statement.len);
    }
    if (request->transaction != NULL && *request->transaction != '\0') {
        add_string_field(out, "transaction", request->transaction);
    }
    evbuffer_add_printf(out, "}");
}

void
mr_target_conn_send(mr_target_conn_t *conn, const mr_target_request_t *request,
                    mr_target_reply_fn_t fn, void *ctx)
{
    struct timeval limit = mr_clock_timeval(request->timeout);
    bool usable = mr_target_conn_usable(conn);

    assert(conn->fn == NULL);
    conn->fn = fn;
    conn->ctx = ctx;
    conn->operation = request->operation;
    conn->maybe_sent = false;
    memset(&conn->reply, 0, sizeof(conn->reply));
    conn->reply.transaction = "";
    if (!usable) {
        fail(conn, "the connection is closed");
        return;
    }
    struct evhttp_request *req = evhttp_request_new(on_http_answer, conn);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
    evhttp_add_header(headers, "Host", conn->address);
    if (request->operation != MR_TARGET_STATUS) {
        evhttp_add_header(headers, "Content-Type", "application/json");
    }
    write_body(evhttp_request_get_output_buffer(req), request);
    event_add(conn->request_timer, &limit);
    if (evhttp_make_request(conn->http, req,
                            request->operation == MR_TARGET_STATUS
                                ? EVHTTP_REQ_GET
                                : EVHTTP_REQ_POST,
                            request_path(request->operation))
        != 0) {
        fail(conn, "cannot open a connection");
    }
}

bool
mr_target_conn_usable(const mr_target_conn_t *conn)
{
    char byte;

    if (conn->broken || conn->fn != NULL || conn->http == NULL) {
        return false;
    }
    struct bufferevent *stream = evhttp_connection_get_bufferevent(conn->http);
    evutil_socket_t fd = bufferevent_getfd(stream);
    if (fd < 0) {
        return true;
    }
    /* Unsolicited bytes would be taken for the next answer. A close by the
     * target may be pending in the socket before the event loop reports it. */
    return evbuffer_get_length(bufferevent_get_input(stream)) == 0
           && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
           && (errno == EAGAIN || errno == EWOULDBLOCK);
}
