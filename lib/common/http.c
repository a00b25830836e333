#include "common/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/list.h"
#include "common/log.h"
#include "common/mem.h"
#include "common/timer.h"
#include "common/traffic.h"

enum {
    BODY_MAX_BYTES = 16 << 20,
    /* Calls that wait for a connection. Further calls fail immediately, since
     * their deadline would pass in the queue. */
    QUEUE_MAX = 256,
};

typedef struct conn {
    mr_list_t link; /* in idle_conns */
    struct evhttp_connection *evcon;
    size_t received; /* bytes so far */
    mr_ms_t idle_since;
} conn_t;

struct mr_http_pending {
    mr_list_t link; /* in queue or pending */
    mr_http_t *http;
    conn_t *conn; /* NULL until the call is sent */
    enum evhttp_cmd_type method;
    char *uri;
    struct evhttp_request *req; /* NULL once a connection owns it */
    struct event *timer;
    mr_ms_t progress; /* longest time without any of an answer */
    mr_ms_t ends_at;  /* latest end of a call whose answer arrives */
    size_t received;  /* of the connection, when the timer was started */
    mr_http_fn_t fn;
    void *ctx;
};

struct mr_http {
    struct event_base *base;
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;
    char *name;
    size_t connections_max; /* 0: no limit */
    mr_ms_t lost_after;
    mr_ms_t idle_max;
    size_t running; /* calls with a connection */
    size_t queued;  /* calls without one */
    mr_list_t idle_conns;
    mr_list_t queue;            /* calls that wait for a connection */
    mr_list_t pending;          /* calls taken from or refused by the queue */
    mr_http_pending_t *sending; /* call inside evhttp_make_request() */
    struct evkeyvalq *answer_headers; /* during a callback; else NULL */
    struct event *dispatcher;
    bool reachable;
    mr_ms_t answered_at;
    mr_counter_t *calls;
    mr_counter_t *failures;
    mr_counter_t *queue_full;
    bool counts_traffic;
    mr_traffic_t traffic;
};

static void
free_conn(conn_t *conn)
{
    mr_list_remove(&conn->link);
    evhttp_connection_free(conn->evcon);
    free(conn);
}

static void
close_idle_conns(mr_http_t *http)
{
    mr_list_t *link;

    while ((link = mr_list_pop(&http->idle_conns)) != NULL) {
        free_conn(MR_LIST_ENTRY(link, conn_t, link));
    }
}

/* Returns an idle connection that may be used again; NULL: there is none. */
static conn_t *
take_idle_conn(mr_http_t *http)
{
    mr_ms_t now = mr_clock_now(NULL);
    mr_list_t *link;

    while ((link = mr_list_pop(&http->idle_conns)) != NULL) {
        conn_t *conn = MR_LIST_ENTRY(link, conn_t, link);
        if (http->idle_max == 0 || now - conn->idle_since <= http->idle_max) {
            return conn;
        }
        free_conn(conn);
    }
    return NULL;
}

static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *ctx)
{
    conn_t *conn = ctx;

    (void)buffer;
    conn->received += info->n_added;
}

static conn_t *
take_conn(mr_http_t *http)
{
    conn_t *conn = take_idle_conn(http);

    if (conn != NULL) {
        return conn;
    }
    conn = MR_NEW(conn_t);
    mr_list_init(&conn->link);
    conn->evcon = evhttp_connection_base_new(http->base, NULL, http->ip,
                                             (uint16_t)http->port);
    if (conn->evcon == NULL) {
        free(conn);
        return NULL;
    }
    evhttp_connection_set_max_body_size(conn->evcon, BODY_MAX_BYTES);
    evbuffer_add_cb(
        bufferevent_get_input(evhttp_connection_get_bufferevent(conn->evcon)),
        on_input, conn);
    if (http->counts_traffic) {
        mr_traffic_watch(&http->traffic,
                         evhttp_connection_get_bufferevent(conn->evcon));
    }
    if (mr_address_source() != NULL) {
        evhttp_connection_set_local_address(conn->evcon, mr_address_source());
    }
    return conn;
}

static void
update_reachable(mr_http_t *http, bool answered)
{
    mr_ms_t now = mr_clock_now(NULL);
    bool reachable =
        answered
        || (http->reachable && now < http->answered_at + http->lost_after);

    if (answered) {
        http->answered_at = now;
    }
    if (http->reachable != reachable) {
        http->reachable = reachable;
        mr_log(reachable ? MR_LOG_INFO : MR_LOG_WARNING,
               reachable ? MR_EVENT_DEPENDENCY_REGAINED
                         : MR_EVENT_DEPENDENCY_LOST,
               "name=%s address=%s:%d", http->name, http->ip, http->port);
    }
}

/* Removes the call from its list and frees it. Returns a copy, whose
 * connection the caller keeps or frees. */
static mr_http_pending_t
remove_call(mr_http_pending_t *pending)
{
    mr_http_pending_t ended = *pending;
    mr_http_t *http = pending->http;

    if (pending->conn != NULL) {
        http->running--;
        event_active(http->dispatcher, EV_TIMEOUT, 0);
    }
    else {
        http->queued--;
    }
    if (pending->req != NULL) {
        evhttp_request_free(pending->req);
    }
    mr_list_remove(&pending->link);
    event_free(pending->timer);
    free(pending->uri);
    free(pending);
    return ended;
}

static void
end_without_answer(mr_http_pending_t *ended, mr_error_kind_t error)
{
    mr_counter_add(ended->http->failures, 1);
    update_reachable(ended->http, false);
    ended->fn(ended->ctx, error, 0, NULL, 0);
}

/* Restarts the timer of a call whose answer is arriving. Returns false if the
 * call has to end. */
static bool
extend_timeout(mr_http_pending_t *pending)
{
    mr_ms_t left = pending->ends_at - mr_clock_now(NULL);

    if (pending->conn == NULL || left <= 0
        || pending->conn->received == pending->received) {
        return false;
    }
    pending->received = pending->conn->received;
    mr_timer_start(pending->timer,
                   left < pending->progress ? left : pending->progress);
    return true;
}

static void
on_timeout(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    if (extend_timeout(ctx)) {
        return;
    }
    mr_http_pending_t ended = remove_call(ctx);
    if (ended.conn == NULL) {
        end_without_answer(&ended, MR_ERR_UNAVAILABLE);
        return;
    }
    /* On a reused connection, a late answer would go to the next call. */
    free_conn(ended.conn);
    if (ended.http->idle_max != 0) {
        close_idle_conns(ended.http);
    }
    end_without_answer(&ended, MR_ERR_OUTCOME_UNKNOWN);
}

static void
on_answer(struct evhttp_request *req, void *ctx)
{
    mr_http_pending_t *pending = ctx;
    bool immediate = pending->http->sending == pending;
    mr_http_pending_t ended = remove_call(pending);
    int status = req != NULL ? evhttp_request_get_response_code(req) : 0;

    /* The connection is not freed here, as libevent may still use it after
     * this callback. */
    ended.conn->idle_since = mr_clock_now(NULL);
    mr_list_append(&ended.http->idle_conns, &ended.conn->link);
    if (status == 0) {
        /* Without a request, the connection was closed after the call was
         * sent. With one, or inside evhttp_make_request(), the connection
         * could not be opened. */
        bool sent = req == NULL && !immediate;
        end_without_answer(&ended,
                           sent ? MR_ERR_OUTCOME_UNKNOWN : MR_ERR_UNAVAILABLE);
        return;
    }
    update_reachable(ended.http, status != 503 && status != 429);
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);
    char *body = mr_calloc(1, len + 1);
    evbuffer_remove(in, body, len);
    ended.http->answer_headers = evhttp_request_get_input_headers(req);
    ended.fn(ended.ctx, MR_OK, status, body, len);
    ended.http->answer_headers = NULL;
    free(body);
}

const char *
mr_http_answer_header(const mr_http_t *http, const char *name)
{
    return http->answer_headers != NULL
               ? evhttp_find_header(http->answer_headers, name)
               : NULL;
}

/* Sends the call on a connection; without one, fails it from its timer. */
static void
send_call(mr_http_pending_t *pending)
{
    mr_http_t *http = pending->http;
    struct evhttp_request *req = pending->req;

    pending->conn = take_conn(http);
    if (pending->conn == NULL) {
        event_active(pending->timer, EV_TIMEOUT, 0);
        return;
    }
    pending->req = NULL; /* the connection owns it */
    pending->received = pending->conn->received;
    http->queued--;
    http->running++;
    http->sending = pending;
    int failed = evhttp_make_request(pending->conn->evcon, req,
                                     pending->method, pending->uri);
    http->sending = NULL;
    if (failed != 0) {
        free_conn(pending->conn);
        pending->conn = NULL;
        http->running--;
        http->queued++;
        event_active(pending->timer, EV_TIMEOUT, 0);
    }
}

/* Sends queued calls while connections are available. Runs only from the event
 * loop, since a connection that fails immediately calls back immediately. */
static void
on_dispatch(evutil_socket_t fd, short what, void *ctx)
{
    mr_http_t *http = ctx;
    mr_list_t *link;

    (void)fd;
    (void)what;
    while (
        (http->connections_max == 0 || http->running < http->connections_max)
        && (link = mr_list_pop(&http->queue)) != NULL) {
        mr_list_append(&http->pending, link);
        send_call(MR_LIST_ENTRY(link, mr_http_pending_t, link));
    }
}

mr_http_t *
mr_http_create(const mr_http_options_t *options)
{
    mr_http_t *http = MR_NEW(mr_http_t);

    http->base = options->base;
    if (!mr_address_split(options->address, http->ip, &http->port)) {
        free(http);
        return NULL;
    }
    http->name = mr_strdup(options->name);
    http->connections_max = options->connections;
    http->lost_after = options->unreachable_after;
    http->idle_max = options->idle_max;
    http->reachable = true;
    http->answered_at = mr_clock_now(NULL);
    mr_list_init(&http->idle_conns);
    mr_list_init(&http->queue);
    mr_list_init(&http->pending);
    http->dispatcher = evtimer_new(http->base, on_dispatch, http);
    char *labels = mr_asprintf("name=\"%s\"", options->name);
    http->calls =
        mr_counters_get(options->counters, "masticrelay_outside_calls_total",
                        labels, "calls to the platform");
    http->failures = mr_counters_get(
        options->counters, "masticrelay_outside_call_failures_total", labels,
        "calls to the platform without an answer");
    http->queue_full = mr_counters_get(
        options->counters, "masticrelay_outside_queue_full_total", labels,
        "calls to the platform refused at a full queue");
    free(labels);
    http->counts_traffic = options->traffic != NULL;
    if (http->counts_traffic) {
        http->traffic = mr_traffic_create(options->counters, options->traffic);
    }
    return http;
}

void
mr_http_cancel(mr_http_pending_t *pending)
{
    mr_http_pending_t ended = remove_call(pending);

    if (ended.conn != NULL) {
        free_conn(ended.conn);
    }
}

void
mr_http_destroy(mr_http_t *http)
{
    if (http == NULL) {
        return;
    }
    while (!mr_list_empty(&http->pending)) {
        mr_http_cancel(
            MR_LIST_ENTRY(http->pending.next, mr_http_pending_t, link));
    }
    while (!mr_list_empty(&http->queue)) {
        mr_http_cancel(
            MR_LIST_ENTRY(http->queue.next, mr_http_pending_t, link));
    }
    close_idle_conns(http);
    event_free(http->dispatcher);
    free(http->name);
    free(http);
}

static struct evhttp_request *
build_request(const mr_http_t *http, const mr_http_call_t *call,
              mr_http_pending_t *pending)
{
    struct evhttp_request *req = evhttp_request_new(on_answer, pending);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
    bool ipv6 = strchr(http->ip, ':') != NULL;
    char *host = mr_asprintf("%s%s%s:%d", ipv6 ? "[" : "", http->ip,
                             ipv6 ? "]" : "", http->port);

    evhttp_add_header(headers, "Host", host);
    free(host);
    for (const mr_http_header_t *it = call->headers;
         it != NULL && it->name != NULL; it++) {
        evhttp_add_header(headers, it->name, it->value);
    }
    if (call->body != NULL) {
        evbuffer_add(evhttp_request_get_output_buffer(req), call->body,
                     call->body_len);
    }
    return req;
}

mr_http_pending_t *
mr_http_call(mr_http_t *http, const mr_http_call_t *call, mr_http_fn_t fn,
             void *ctx)
{
    mr_http_pending_t *pending = MR_NEW(mr_http_pending_t);
    mr_ms_t timeout = call->timeout;

    pending->http = http;
    pending->method = call->method;
    pending->uri = mr_strdup(call->uri);
    pending->req = build_request(http, call, pending);
    pending->timer = evtimer_new(http->base, on_timeout, pending);
    pending->progress = call->timeout_progress;
    pending->ends_at = mr_clock_now(NULL) + call->timeout_max;
    pending->fn = fn;
    pending->ctx = ctx;
    mr_list_init(&pending->link);
    mr_counter_add(http->calls, 1);
    http->queued++;
    if (http->connections_max != 0 && http->queued > QUEUE_MAX) {
        mr_counter_add(http->queue_full, 1);
        mr_list_append(&http->pending, &pending->link);
        timeout = 0;
    }
    else {
        mr_list_append(&http->queue, &pending->link);
        event_active(http->dispatcher, EV_TIMEOUT, 0);
    }
    mr_timer_start(pending->timer, timeout);
    return pending;
}
