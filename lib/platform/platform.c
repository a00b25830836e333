#include "platform/platform.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/json.h"
#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "common/traffic.h"

enum {
    CONNECTIONS = 4,
    /* Calls that wait for a connection; further ones fail at once, as the
     * deadline would pass before their turn. */
    QUEUE_MAX = 256,
    BODY_MAX_BYTES = 16 << 20,
    /* Without an answer for this long the platform is out of reach; single
     * calls that fail are counted only. */
    UNREACHABLE_AFTER_MS = 1000,
};

/** What a call does; index of call_kinds. */
typedef enum call_kind {
    CALL_ROW_GET,
    CALL_ROW_PUT,
    CALL_ROWS,
    CALL_OBJECT_GET,
    CALL_OBJECT_PUT,
    CALL_OBJECTS,
    CALL_INSTANCES,
    CALL_REGISTER,
    CALL_KINDS,
} call_kind_t;

typedef struct call_kind_info {
    const char *labels;
    const char *path;
    const char *list; /* field of a listing's answer */
    bool write;
} call_kind_info_t;

static const call_kind_info_t call_kinds[CALL_KINDS] = {
    [CALL_ROW_GET] = {"call=\"row_get\"", "/table/", NULL, false},
    [CALL_ROW_PUT] = {"call=\"row_put\"", "/table/", NULL, true},
    [CALL_ROWS] = {"call=\"rows\"", "/table?prefix=", "rows", false},
    [CALL_OBJECT_GET] = {"call=\"object_get\"", "/objects/", NULL, false},
    [CALL_OBJECT_PUT] = {"call=\"object_put\"", "/objects/", NULL, true},
    [CALL_OBJECTS] = {"call=\"objects\"", "/objects?prefix=", "names", false},
    [CALL_INSTANCES] = {"call=\"instances\"", "/instances", "instances",
                        false},
    [CALL_REGISTER] = {"call=\"register\"", "/instances/", NULL, true},
};

typedef struct conn {
    mr_platform_t *platform;
    struct evhttp_connection *http; /* NULL until it is needed */
    struct call *call;              /* in progress; NULL: idle */
} conn_t;

typedef struct call {
    mr_list_t link; /* in the queue, or in the list of calls in progress */
    mr_platform_t *platform;
    call_kind_t kind;
    conn_t *conn; /* NULL while it waits */
    bool sent;
    char *uri;
    struct evbuffer *body;
    struct event *timer;
    union {
        mr_platform_row_fn_t row;
        mr_platform_json_fn_t json;
        mr_platform_object_fn_t object;
    } fn;
    void *ctx;
} call_t;

/** How a call ended; the fields that its kind uses are set. */
typedef struct answer {
    mr_error_kind_t error;
    int64_t revision;
    json_t *value;
    const void *data;
    size_t len;
} answer_t;

struct mr_platform {
    struct event_base *base;
    char *ip;
    int port;
    mr_ms_t timeout;
    conn_t conns[CONNECTIONS];
    mr_list_t queue;
    size_t queued;
    mr_list_t running;
    struct event *dispatcher;
    bool reachable;
    mr_ms_t answered_at; /* last answer */
    mr_counter_t *calls[CALL_KINDS];
    mr_counter_t *failures[CALL_KINDS];
    mr_counter_t *refused;
    mr_traffic_t traffic;
};

static void
free_call(call_t *call)
{
    mr_list_remove(&call->link);
    if (call->timer != NULL) {
        event_free(call->timer);
    }
    if (call->body != NULL) {
        evbuffer_free(call->body);
    }
    free(call->uri);
    free(call);
}

static void
note_end(mr_platform_t *platform, bool answered)
{
    mr_ms_t now = mr_clock_now(NULL);
    bool reachable =
        answered
        || (platform->reachable
            && now < platform->answered_at + UNREACHABLE_AFTER_MS);

    if (answered) {
        platform->answered_at = now;
    }
    if (platform->reachable != reachable) {
        platform->reachable = reachable;
        mr_log(reachable ? MR_LOG_INFO : MR_LOG_WARNING,
               reachable ? "platform_reachable" : "platform_unreachable",
               "address=%s:%d", platform->ip, platform->port);
    }
}

static void
end_call(call_t *call, const answer_t *answer)
{
    mr_platform_t *platform = call->platform;
    call_t ended = *call;
    bool failed = answer->error == MR_ERR_UNAVAILABLE
                  || answer->error == MR_ERR_OUTCOME_UNKNOWN;

    if (call->conn != NULL) {
        call->conn->call = NULL;
        event_active(platform->dispatcher, EV_TIMEOUT, 0);
        note_end(platform, !failed);
    }
    else {
        platform->queued--;
    }
    if (failed) {
        mr_counter_add(platform->failures[call->kind], 1);
    }
    free_call(call);
    switch (ended.kind) {
    case CALL_ROW_GET:
    case CALL_ROW_PUT:
        ended.fn.row(ended.ctx, answer->error, answer->revision,
                     answer->value);
        break;
    case CALL_OBJECT_GET:
    case CALL_OBJECT_PUT:
        ended.fn.object(ended.ctx, answer->error, answer->data, answer->len);
        break;
    case CALL_ROWS:
    case CALL_OBJECTS:
    case CALL_INSTANCES:
    case CALL_REGISTER:
    case CALL_KINDS:
        ended.fn.json(ended.ctx, answer->error, answer->value);
        break;
    }
}

/* A call that was not handed to a connection has certainly no effect. */
static mr_error_kind_t
failure_of(const call_t *call)
{
    return call->sent && call_kinds[call->kind].write ? MR_ERR_OUTCOME_UNKNOWN
                                                      : MR_ERR_UNAVAILABLE;
}

/* Closing keeps a late answer away from the next call. */
static void
close_conn(conn_t *conn)
{
    if (conn != NULL && conn->http != NULL) {
        evhttp_connection_free(conn->http);
        conn->http = NULL;
    }
}

static void
on_timeout(evutil_socket_t fd, short what, void *ctx)
{
    call_t *call = ctx;
    answer_t answer = {.error = failure_of(call)};

    (void)fd;
    (void)what;
    close_conn(call->conn);
    end_call(call, &answer);
}

/* Reads an answer's JSON; NULL when it is malformed. */
static json_t *
read_body(struct evhttp_request *req)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);
    mr_json_problem_t problem;

    return mr_json_parse(evbuffer_pullup(in, -1), len, &problem);
}

static void
read_row(const call_t *call, json_t *body, answer_t *answer)
{
    json_t *revision = json_object_get(body, "revision");

    answer->value = json_object_get(body, "value");
    if (!json_is_integer(revision)
        || (call->kind == CALL_ROW_GET && answer->value == NULL)) {
        answer->error = failure_of(call);
        answer->value = NULL;
        return;
    }
    answer->revision = json_integer_value(revision);
}

static void
read_list(const call_t *call, json_t *body, answer_t *answer)
{
    answer->value = json_object_get(body, call_kinds[call->kind].list);
    if (!json_is_array(answer->value)) {
        answer->error = failure_of(call);
        answer->value = NULL;
    }
}

static mr_error_kind_t
error_of_status(const call_t *call, int status)
{
    switch (status) {
    case 200:
        return MR_OK;
    case 404:
        return MR_ERR_NOT_FOUND;
    case 409:
        return MR_ERR_CONFLICT;
    case 400:
        return MR_ERR_INVALID_REQUEST;
    default:
        return failure_of(call);
    }
}

/* Ends a call that was answered. */
static void
finish(call_t *call, struct evhttp_request *req)
{
    int status = evhttp_request_get_response_code(req);
    answer_t answer = {.error = error_of_status(call, status)};
    json_t *body = NULL;

    if (answer.error == MR_OK && call->kind == CALL_OBJECT_GET) {
        struct evbuffer *in = evhttp_request_get_input_buffer(req);
        answer.len = evbuffer_get_length(in);
        answer.data = evbuffer_pullup(in, -1);
    }
    else if (call->kind == CALL_ROW_GET || call->kind == CALL_ROW_PUT) {
        if (answer.error == MR_OK || answer.error == MR_ERR_CONFLICT) {
            body = read_body(req);
            read_row(call, body, &answer);
        }
    }
    else if (answer.error == MR_OK && call_kinds[call->kind].list != NULL) {
        body = read_body(req);
        read_list(call, body, &answer);
    }
    end_call(call, &answer);
    json_decref(body);
}

static void
on_answer(struct evhttp_request *req, void *ctx)
{
    call_t *call = ctx;

    if (req == NULL) {
        /* The connection closed after the request was sent. */
        end_call(call, &(answer_t){.error = failure_of(call)});
    }
    else if (evhttp_request_get_response_code(req) == 0) {
        /* The connection could not be opened: nothing was sent. */
        end_call(call, &(answer_t){.error = MR_ERR_UNAVAILABLE});
    }
    else {
        finish(call, req);
    }
}

static struct evhttp_connection *
open_conn(mr_platform_t *platform)
{
    struct evhttp_connection *http = evhttp_connection_base_new(
        platform->base, NULL, platform->ip, (uint16_t)platform->port);

    if (http != NULL) {
        evhttp_connection_set_max_body_size(http, BODY_MAX_BYTES);
        mr_traffic_watch(&platform->traffic,
                         evhttp_connection_get_bufferevent(http));
        if (mr_address_source() != NULL) {
            evhttp_connection_set_local_address(http, mr_address_source());
        }
    }
    return http;
}

static bool
send_call(conn_t *conn, call_t *call)
{
    mr_platform_t *platform = call->platform;
    bool write = call_kinds[call->kind].write;
    char host[MR_ADDRESS_MAX_BYTES + 8];

    if (conn->http == NULL && (conn->http = open_conn(platform)) == NULL) {
        return false;
    }
    struct evhttp_request *req = evhttp_request_new(on_answer, call);
    snprintf(host, sizeof(host),
             strchr(platform->ip, ':') ? "[%s]:%d" : "%s:%d", platform->ip,
             platform->port);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Host", host);
    if (call->body != NULL) {
        evbuffer_add_buffer(evhttp_request_get_output_buffer(req), call->body);
    }
    call->sent = true;
    return evhttp_make_request(conn->http, req,
                               write ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET,
                               call->uri)
           == 0;
}

/* Hands waiting calls to idle connections. It runs from the event loop only,
 * as a connection that fails at once calls back at once. */
static void
on_dispatch(evutil_socket_t fd, short what, void *ctx)
{
    mr_platform_t *platform = ctx;

    (void)fd;
    (void)what;
    for (size_t i = 0; i < CONNECTIONS; i++) {
        conn_t *conn = &platform->conns[i];
        if (conn->call != NULL) {
            continue;
        }
        mr_list_t *link = mr_list_pop(&platform->queue);
        if (link == NULL) {
            return;
        }
        call_t *call = MR_LIST_ENTRY(link, call_t, link);
        platform->queued--;
        mr_list_append(&platform->running, &call->link);
        call->conn = conn;
        conn->call = call;
        if (!send_call(conn, call)) {
            event_active(call->timer, EV_TIMEOUT, 0);
        }
    }
}

/* Path of @name below the call's folder; keeps slashes. */
static char *
make_uri(call_kind_t kind, const char *name)
{
    struct evbuffer *out = evbuffer_new();
    const char *rest = name;

    evbuffer_add_printf(out, "%s", call_kinds[kind].path);
    while (*rest != '\0') {
        size_t len = strcspn(rest, "/");
        char *part = evhttp_uriencode(rest, (ev_ssize_t)len, 0);
        evbuffer_add_printf(out, "%s%s", part, rest[len] == '/' ? "/" : "");
        free(part);
        rest += len + (rest[len] == '/');
    }
    evbuffer_add(out, "", 1);
    char *uri = mr_strdup((char *)evbuffer_pullup(out, -1));
    evbuffer_free(out);
    return uri;
}

static call_t *
new_call(mr_platform_t *platform, call_kind_t kind, const char *name,
         void *ctx)
{
    call_t *call = MR_NEW(call_t);

    call->platform = platform;
    call->kind = kind;
    call->uri = make_uri(kind, name);
    call->ctx = ctx;
    mr_list_init(&call->link);
    mr_counter_add(platform->calls[kind], 1);
    return call;
}

static void
start_call(call_t *call)
{
    mr_platform_t *platform = call->platform;
    struct timeval tv = mr_clock_timeval(platform->timeout);

    call->timer = evtimer_new(platform->base, on_timeout, call);
    platform->queued++;
    if (platform->queued > QUEUE_MAX) {
        mr_counter_add(platform->refused, 1);
        tv = mr_clock_timeval(0);
        mr_list_append(&platform->running, &call->link);
    }
    else {
        mr_list_append(&platform->queue, &call->link);
        event_active(platform->dispatcher, EV_TIMEOUT, 0);
    }
    evtimer_add(call->timer, &tv);
}

static void
set_json_body(call_t *call, json_t *value)
{
    char *text = mr_json_canonical(value);

    call->body = evbuffer_new();
    evbuffer_add(call->body, text, strlen(text));
    free(text);
    json_decref(value);
}

void
mr_platform_row_get(mr_platform_t *platform, const char *row,
                    mr_platform_row_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_ROW_GET, row, ctx);

    call->fn.row = fn;
    start_call(call);
}

void
mr_platform_row_put(mr_platform_t *platform, const char *row, int64_t expect,
                    json_t *value, mr_platform_row_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_ROW_PUT, row, ctx);

    call->fn.row = fn;
    set_json_body(call, json_pack("{s:I,s:O}", "expect", (json_int_t)expect,
                                  "value", value));
    start_call(call);
}

void
mr_platform_rows(mr_platform_t *platform, const char *prefix,
                 mr_platform_json_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_ROWS, prefix, ctx);

    call->fn.json = fn;
    start_call(call);
}

void
mr_platform_object_get(mr_platform_t *platform, const char *name,
                       mr_platform_object_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_OBJECT_GET, name, ctx);

    call->fn.object = fn;
    start_call(call);
}

void
mr_platform_object_put(mr_platform_t *platform, const char *name,
                       const void *data, size_t len,
                       mr_platform_object_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_OBJECT_PUT, name, ctx);

    call->fn.object = fn;
    call->body = evbuffer_new();
    evbuffer_add(call->body, data, len);
    start_call(call);
}

void
mr_platform_objects(mr_platform_t *platform, const char *prefix,
                    mr_platform_json_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_OBJECTS, prefix, ctx);

    call->fn.json = fn;
    start_call(call);
}

void
mr_platform_instances(mr_platform_t *platform, mr_platform_json_fn_t fn,
                      void *ctx)
{
    call_t *call = new_call(platform, CALL_INSTANCES, "", ctx);

    call->fn.json = fn;
    start_call(call);
}

void
mr_platform_register(mr_platform_t *platform, const char *name,
                     const char *data_centre, const char *address,
                     const char *state, mr_platform_json_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_REGISTER, name, ctx);

    call->fn.json = fn;
    set_json_body(call, json_pack("{s:s,s:s,s:s,s:s}", "data_centre",
                                  data_centre, "address", address, "kind",
                                  "instance", "state", state));
    start_call(call);
}

static void
cancel_calls(mr_list_t *calls, const void *ctx)
{
    MR_LIST_FOREACH(it, calls)
    {
        call_t *call = MR_LIST_ENTRY(it, call_t, link);
        if (call->ctx != ctx) {
            continue;
        }
        close_conn(call->conn);
        if (call->conn == NULL) {
            call->platform->queued--;
        }
        else {
            call->conn->call = NULL;
            event_active(call->platform->dispatcher, EV_TIMEOUT, 0);
        }
        free_call(call);
    }
}

void
mr_platform_cancel(mr_platform_t *platform, const void *ctx)
{
    cancel_calls(&platform->queue, ctx);
    cancel_calls(&platform->running, ctx);
}

mr_platform_t *
mr_platform_create(const mr_platform_options_t *options)
{
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;

    assert(options->timeout > 0);
    if (!mr_address_split(options->address, ip, &port)) {
        return NULL;
    }
    mr_platform_t *platform = MR_NEW(mr_platform_t);
    platform->base = options->base;
    platform->ip = mr_strdup(ip);
    platform->port = port;
    platform->timeout = options->timeout;
    platform->reachable = true;
    platform->answered_at = mr_clock_now(NULL);
    mr_list_init(&platform->queue);
    mr_list_init(&platform->running);
    platform->dispatcher = evtimer_new(platform->base, on_dispatch, platform);
    for (size_t i = 0; i < CALL_KINDS; i++) {
        platform->calls[i] = mr_counters_get(
            options->counters, "masticrelay_platform_calls_total",
            call_kinds[i].labels, "calls to the platform");
        platform->failures[i] = mr_counters_get(
            options->counters, "masticrelay_platform_failures_total",
            call_kinds[i].labels,
            "calls to the platform without a usable answer");
    }
    platform->traffic = mr_traffic_create(options->counters, "platform");
    platform->refused = mr_counters_get(
        options->counters, "masticrelay_platform_queue_full_total", "",
        "calls to the platform refused at a full queue");
    return platform;
}

void
mr_platform_destroy(mr_platform_t *platform)
{
    mr_list_t *link;

    if (platform == NULL) {
        return;
    }
    for (size_t i = 0; i < CONNECTIONS; i++) {
        if (platform->conns[i].http != NULL) {
            evhttp_connection_free(platform->conns[i].http);
        }
    }
    while ((link = mr_list_pop(&platform->queue)) != NULL
           || (link = mr_list_pop(&platform->running)) != NULL) {
        free_call(MR_LIST_ENTRY(link, call_t, link));
    }
    event_free(platform->dispatcher);
    free(platform->ip);
    free(platform);
}
