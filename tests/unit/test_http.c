/* Tests the HTTP client. The callback of a call must run exactly once and not
 * before mr_http_call() returns, and a call that was sent must not be reported
 * as not sent. */

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <string.h>

#include "../common/runner.h"
#include "common/http.h"

enum {
    TIMEOUT_MS = 150,
    CONNECTIONS = 2,
    TEST_TIMEOUT_MS = 5000,
    PIECES = 8, /* of an answer, sent one by one */
    PIECE_MS = 60,
    IDLE_MAX_MS = 100,
};

static struct event_base *base;
static mr_counters_t *counters;
static struct evhttp *server;
static char address[32];
static struct evhttp_request *held[8]; /* requests that get no answer */
static int held_count;
static int conn_count; /* that the server has accepted */
static struct event *answer_timer;
static int pieces_left;
static int ended;
static mr_error_kind_t errors[8];
static mr_error_kind_t last_error;
static int last_status;
static char last_body[64];
static char last_header[64];

/* Sends one more byte of the answer; "/stall" ends in the middle. */
static void
on_answer_timer(evutil_socket_t fd, short what, void *ctx)
{
    struct timeval pause = {.tv_usec = PIECE_MS * 1000};
    struct evbuffer *piece = evbuffer_new();

    (void)fd;
    (void)what;
    evbuffer_add(piece, "x", 1);
    evhttp_send_reply_chunk(ctx, piece);
    evbuffer_free(piece);
    pieces_left--;
    if (pieces_left > 0) {
        evtimer_add(answer_timer, &pause);
    }
    else if (strcmp(evhttp_request_get_uri(ctx), "/slow") == 0) {
        evhttp_send_reply_end(ctx);
    }
}

static void
on_call(struct evhttp_request *req, void *ctx)
{
    const char *path = evhttp_request_get_uri(req);

    (void)ctx;
    if (strcmp(path, "/slow") == 0 || strcmp(path, "/stall") == 0) {
        pieces_left = PIECES;
        evhttp_send_reply_start(req, 200, NULL);
        answer_timer = evtimer_new(base, on_answer_timer, req);
        event_active(answer_timer, EV_TIMEOUT, 0);
        return;
    }
    if (strcmp(evhttp_request_get_uri(req), "/hold") == 0) {
        held[held_count++] = req;
        return;
    }
    evbuffer_add_printf(evhttp_request_get_output_buffer(req), "answer");
    evhttp_add_header(evhttp_request_get_output_headers(req), "Colour",
                      "green");
    evhttp_send_reply(req, 200, NULL, NULL);
}

static struct bufferevent *
on_conn(struct event_base *conn_base, void *ctx)
{
    (void)ctx;
    conn_count++;
    return bufferevent_socket_new(conn_base, -1, 0);
}

static void
set_up(void)
{
    base = event_base_new();
    counters = mr_counters_create();
    server = evhttp_new(base);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    struct sockaddr_in addr = {0};
    socklen_t len = sizeof(addr);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&addr,
                &len);
    snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(addr.sin_port));
    evhttp_set_gencb(server, on_call, NULL);
    evhttp_set_bevcb(server, on_conn, NULL);
    held_count = 0;
    conn_count = 0;
    ended = 0;
    answer_timer = NULL;
}

static void
tear_down(void)
{
    if (answer_timer != NULL) {
        event_free(answer_timer);
    }
    evhttp_free(server);
    mr_counters_destroy(counters);
    event_base_free(base);
}

static mr_http_t *
create_client(const char *server_address)
{
    return mr_http_create(&(mr_http_options_t){.base = base,
                                               .counters = counters,
                                               .address = server_address,
                                               .name = "test",
                                               .connections = CONNECTIONS});
}

static void
on_end(void *ctx, mr_error_kind_t error, int status, const char *body,
       size_t len)
{
    (void)ctx;
    errors[ended++] = error;
    last_error = error;
    last_status = status;
    snprintf(last_body, sizeof(last_body), "%.*s", (int)len,
             body != NULL ? body : "");
}

static void
on_end_with_header(void *ctx, mr_error_kind_t error, int status,
                   const char *body, size_t len)
{
    const char *header = mr_http_answer_header(ctx, "colour");

    ck_assert_ptr_null(mr_http_answer_header(ctx, "shape"));
    snprintf(last_header, sizeof(last_header), "%s",
             header != NULL ? header : "");
    on_end(NULL, error, status, body, len);
}

static mr_http_pending_t *
call_with_timeout(mr_http_t *http, const char *uri, mr_ms_t timeout)
{
    return mr_http_call(http,
                        &(mr_http_call_t){.method = EVHTTP_REQ_GET,
                                          .uri = uri,
                                          .timeout = timeout},
                        on_end, NULL);
}

static mr_http_pending_t *
call(mr_http_t *http, const char *uri)
{
    return call_with_timeout(http, uri, TIMEOUT_MS);
}

static void
run_for(mr_ms_t ms)
{
    struct timeval tv = mr_clock_timeval(ms);

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

static void
wait_for_calls(int count)
{
    mr_ms_t end = mr_clock_now(NULL) + TEST_TIMEOUT_MS;

    while (ended < count && mr_clock_now(NULL) < end) {
        run_for(5);
    }
    ck_assert_int_eq(ended, count);
}

START_TEST(test_calls_are_answered_on_kept_connections)
{
    mr_http_t *http = create_client(address);

    for (int i = 0; i < 5; i++) {
        call_with_timeout(http, "/", TEST_TIMEOUT_MS);
    }
    ck_assert_int_eq(ended, 0);
    wait_for_calls(5);
    ck_assert_int_eq(last_error, MR_OK);
    ck_assert_int_eq(last_status, 200);
    ck_assert_str_eq(last_body, "answer");
    mr_http_destroy(http);
}
END_TEST

START_TEST(test_headers_of_an_answer_are_available_in_its_callback)
{
    mr_http_t *http = create_client(address);
    mr_http_call_t request = {
        .method = EVHTTP_REQ_GET, .uri = "/", .timeout = TEST_TIMEOUT_MS};

    mr_http_call(http, &request, on_end_with_header, http);
    wait_for_calls(1);
    ck_assert_str_eq(last_header, "green");
    ck_assert_ptr_null(mr_http_answer_header(http, "colour"));
    request.uri = "/hold";
    request.timeout = TIMEOUT_MS;
    mr_http_call(http, &request, on_end_with_header, http);
    wait_for_calls(2);
    ck_assert_str_eq(last_header, "");
    mr_http_destroy(http);
}
END_TEST

/* libevent reports an address that cannot be connected to from inside
 * evhttp_make_request(). */
START_TEST(test_an_address_without_a_route_ends_calls_later)
{
    mr_http_t *http = create_client("255.255.255.255:1");

    call(http, "/");
    ck_assert_int_eq(ended, 0);
    wait_for_calls(1);
    ck_assert_int_eq(last_error, MR_ERR_UNAVAILABLE);
    mr_http_destroy(http);
}
END_TEST

START_TEST(test_outcome_is_unknown_only_for_sent_calls)
{
    mr_http_t *http = create_client(address);

    call(http, "/hold");
    call(http, "/hold");
    run_for(20);
    /* The deadline of the first of these passes before a connection is free.
     */
    call_with_timeout(http, "/", TIMEOUT_MS / 3);
    call_with_timeout(http, "/", TEST_TIMEOUT_MS);
    wait_for_calls(4);
    ck_assert_int_eq(errors[0], MR_ERR_UNAVAILABLE);
    ck_assert_int_eq(errors[1], MR_ERR_OUTCOME_UNKNOWN);
    ck_assert_int_eq(errors[2], MR_ERR_OUTCOME_UNKNOWN);
    ck_assert_int_eq(errors[3], MR_OK);
    mr_http_destroy(http);
}
END_TEST

START_TEST(test_a_cancelled_call_ends_without_a_callback)
{
    mr_http_t *http = create_client(address);
    mr_http_pending_t *sent = call(http, "/hold");
    mr_http_pending_t *other = call(http, "/hold");

    run_for(30);
    mr_http_pending_t *waiting = call(http, "/");
    mr_http_cancel(waiting);
    mr_http_cancel(sent);
    mr_http_cancel(other);
    run_for(2 * TIMEOUT_MS);
    ck_assert_int_eq(ended, 0);
    /* The connections of the calls are free again. */
    call_with_timeout(http, "/", TEST_TIMEOUT_MS);
    wait_for_calls(1);
    ck_assert_int_eq(last_error, MR_OK);
    mr_http_destroy(http);
}
END_TEST

static void
call_with_progress(mr_http_t *http, const char *uri, mr_ms_t timeout_max)
{
    mr_http_call(http,
                 &(mr_http_call_t){.method = EVHTTP_REQ_GET,
                                   .uri = uri,
                                   .timeout = TIMEOUT_MS,
                                   .timeout_max = timeout_max,
                                   .timeout_progress = TIMEOUT_MS},
                 on_end, NULL);
}

START_TEST(test_a_large_answer_over_a_slow_link_is_not_given_up)
{
    mr_http_t *http = create_client(address);

    call_with_progress(http, "/slow", TEST_TIMEOUT_MS);
    run_for(3 * PIECES * PIECE_MS);
    ck_assert_int_eq(ended, 1);
    ck_assert_int_eq(last_error, MR_OK);
    ck_assert_str_eq(last_body, "xxxxxxxx");
    mr_http_destroy(http);
}
END_TEST

START_TEST(test_an_answer_that_stalls_ends_the_call)
{
    mr_http_t *http = create_client(address);

    call_with_progress(http, "/stall", TEST_TIMEOUT_MS);
    run_for(PIECES * PIECE_MS + 3 * TIMEOUT_MS);
    ck_assert_int_eq(ended, 1);
    ck_assert_int_eq(last_error, MR_ERR_OUTCOME_UNKNOWN);
    mr_http_destroy(http);
}
END_TEST

START_TEST(test_an_answer_that_trickles_ends_at_the_latest_time)
{
    mr_http_t *http = create_client(address);

    call_with_progress(http, "/slow", 2 * TIMEOUT_MS);
    run_for(3 * TIMEOUT_MS);
    ck_assert_int_eq(ended, 1);
    ck_assert_int_eq(last_error, MR_ERR_OUTCOME_UNKNOWN);
    mr_http_destroy(http);
}
END_TEST

static mr_http_t *
create_client_with_idle_max(mr_ms_t idle_max)
{
    return mr_http_create(&(mr_http_options_t){.base = base,
                                               .counters = counters,
                                               .address = address,
                                               .name = "test",
                                               .idle_max = idle_max});
}

/* Guards against calls that wait for their time limit on a kept connection
 * which is dead without telling. */
START_TEST(test_a_connection_that_was_idle_for_long_is_not_used_again)
{
    const mr_ms_t limits[] = {0, IDLE_MAX_MS};
    const int conns[] = {1, 2};

    for (int i = 0; i < 2; i++) {
        mr_http_t *http = create_client_with_idle_max(limits[i]);
        conn_count = 0;
        ended = 0;
        call_with_timeout(http, "/", TEST_TIMEOUT_MS);
        wait_for_calls(1);
        call_with_timeout(http, "/", TEST_TIMEOUT_MS);
        wait_for_calls(2);
        ck_assert_int_eq(conn_count, 1);
        run_for(2 * IDLE_MAX_MS);
        call_with_timeout(http, "/", TEST_TIMEOUT_MS);
        wait_for_calls(3);
        ck_assert_int_eq(last_error, MR_OK);
        ck_assert_int_eq(conn_count, conns[i]);
        mr_http_destroy(http);
    }
}
END_TEST

START_TEST(test_a_call_without_an_answer_closes_the_idle_connections)
{
    mr_http_t *http = create_client_with_idle_max(TEST_TIMEOUT_MS);

    call_with_timeout(http, "/", TEST_TIMEOUT_MS);
    call_with_timeout(http, "/", TEST_TIMEOUT_MS);
    wait_for_calls(2);
    ck_assert_int_eq(conn_count, 2);
    call(http, "/hold");
    wait_for_calls(3);
    ck_assert_int_eq(last_error, MR_ERR_OUTCOME_UNKNOWN);
    ck_assert_int_eq(conn_count, 2);
    call_with_timeout(http, "/", TEST_TIMEOUT_MS);
    wait_for_calls(4);
    ck_assert_int_eq(last_error, MR_OK);
    ck_assert_int_eq(conn_count, 3);
    mr_http_destroy(http);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_calls_are_answered_on_kept_connections,
        test_headers_of_an_answer_are_available_in_its_callback,
        test_an_address_without_a_route_ends_calls_later,
        test_outcome_is_unknown_only_for_sent_calls,
        test_a_cancelled_call_ends_without_a_callback,
        test_a_large_answer_over_a_slow_link_is_not_given_up,
        test_an_answer_that_stalls_ends_the_call,
        test_an_answer_that_trickles_ends_at_the_latest_time,
        test_a_connection_that_was_idle_for_long_is_not_used_again,
        test_a_call_without_an_answer_closes_the_idle_connections,
    };

    return RUN_TESTS(tests, .suite = "http", .setup = set_up,
                     .teardown = tear_down);
}
