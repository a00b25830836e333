/* Guards against statements that are executed twice, answers that are matched
 * with another request, and outcomes reported as "not run" although the target
 * may have executed the statement. */

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <signal.h>
#include <string.h>

#include "../common/runner.h"
#include "common/address.h"
#include "group/target.h"

#define STATE                                                                 \
    "{\"role\":\"primary\",\"term\":3,\"last_term\":2,\"position\":9,"        \
    "\"leaving\":false}"
#define EXECUTED_BODY "{\"result\":{\"value\":1},\"state\":" STATE "}"

/** Fake target: answers each request with the text in @answer. */
static struct {
    struct event_base *base;
    struct evconnlistener *listener;
    struct bufferevent *stream; /* last connection */
    char address[32];
    char request[1024];
    const char *answer; /* NULL: none */
    bool close;         /* after the answer */
    bool answering;
    int connections;
    int requests;
} fake;

static struct {
    int calls;
    mr_target_reply_t reply;
    char result[256];
    char transaction[64];
} got;

static mr_target_conn_t *conn;

static void
on_fake_sent(struct bufferevent *stream, void *ctx)
{
    (void)ctx;
    /* The write callback also comes when the connection opens. */
    if (fake.close && fake.answering) {
        fake.answering = false;
        bufferevent_free(stream);
        fake.stream = NULL;
    }
}

static void
on_fake_event(struct bufferevent *stream, short what, void *ctx)
{
    (void)what;
    (void)ctx;
    bufferevent_free(stream);
    fake.stream = fake.stream == stream ? NULL : fake.stream;
}

static void
on_fake_read(struct bufferevent *stream, void *ctx)
{
    struct evbuffer *input = bufferevent_get_input(stream);
    int len = evbuffer_remove(input, fake.request, sizeof(fake.request) - 1);

    (void)ctx;
    fake.request[len] = '\0';
    fake.requests++;
    fake.answering = true;
    if (fake.answer != NULL) {
        bufferevent_write(stream, fake.answer, strlen(fake.answer));
    }
    else if (fake.close) {
        on_fake_sent(stream, NULL);
    }
}

static void
on_fake_accept(struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *addr, int len, void *ctx)
{
    (void)listener;
    (void)addr;
    (void)len;
    (void)ctx;
    fake.connections++;
    fake.stream = bufferevent_socket_new(fake.base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fake.stream, on_fake_read, on_fake_sent, on_fake_event,
                      NULL);
    bufferevent_enable(fake.stream, EV_READ | EV_WRITE);
}

static void
on_reply(void *ctx, const mr_target_reply_t *reply)
{
    (void)ctx;
    got.calls++;
    got.reply = *reply;
    snprintf(got.result, sizeof(got.result), "%.*s", (int)reply->result.len,
             (const char *)reply->result.data);
    if (reply->transaction != NULL) {
        snprintf(got.transaction, sizeof(got.transaction), "%s",
                 reply->transaction);
    }
}

static void
run_loop(mr_ms_t duration)
{
    struct timeval tv = mr_clock_timeval(duration);

    event_base_loopexit(fake.base, &tv);
    event_base_dispatch(fake.base);
}

/** reply_with() - set a complete answer for the following requests. */
static void
reply_with(int status, const char *body)
{
    static char text[1024];

    snprintf(text, sizeof(text),
             "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n%s", status,
             strlen(body), body);
    fake.answer = text;
}

/** send_and_wait() - send a request and wait until it has ended. */
static mr_error_kind_t
send_and_wait(mr_target_operation_t operation, mr_ms_t timeout)
{
    const char *statement = "{\"op\":\"put\",\"key\":\"k\",\"value\":1}";
    mr_target_request_t request = {
        .operation = operation,
        .access = MR_ACCESS_WRITE,
        .term = 3,
        .statement = {statement, strlen(statement)},
        .timeout = timeout,
    };
    int before = got.calls;

    mr_target_conn_send(conn, &request, on_reply, NULL);
    ck_assert_int_eq(got.calls, before);
    for (int i = 0; i < 100 && got.calls == before; i++) {
        run_loop(10);
    }
    ck_assert_int_eq(got.calls, before + 1);
    return got.reply.error;
}

static void
set_up(void)
{
    struct sockaddr_storage addr;
    int len;

    signal(SIGPIPE, SIG_IGN);
    memset(&fake, 0, sizeof(fake));
    memset(&got, 0, sizeof(got));
    fake.base = event_base_new();
    mr_address_parse("127.0.0.1:0", &addr, &len);
    fake.listener =
        evconnlistener_new_bind(fake.base, on_fake_accept, NULL,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                (struct sockaddr *)&addr, len);
    ck_assert_ptr_nonnull(fake.listener);
    socklen_t size = sizeof(addr);
    getsockname(evconnlistener_get_fd(fake.listener), (struct sockaddr *)&addr,
                &size);
    snprintf(fake.address, sizeof(fake.address), "127.0.0.1:%d",
             mr_address_port(&addr));
    conn = mr_target_conn_create(fake.base, fake.address);
    ck_assert_ptr_nonnull(conn);
    ck_assert(mr_target_conn_usable(conn));
}

static void
tear_down(void)
{
    mr_target_conn_destroy(conn);
    evconnlistener_free(fake.listener);
    if (fake.stream != NULL) {
        bufferevent_free(fake.stream);
    }
    /* The event loop frees the bufferevents. */
    event_base_loop(fake.base, EVLOOP_NONBLOCK);
    event_base_free(fake.base);
}

/* A lost or misread field would break the acknowledgement rule. */
START_TEST(test_answers_are_parsed_completely)
{
    reply_with(200, EXECUTED_BODY);
    ck_assert_int_eq(send_and_wait(MR_TARGET_EXECUTE, 500), MR_OK);
    ck_assert_str_eq(got.result, "{\"value\":1}");
    ck_assert(got.reply.has_state && got.reply.state.primary);
    ck_assert_int_eq(got.reply.state.term, 3);
    ck_assert_int_eq(got.reply.state.last_term, 2);
    ck_assert_int_eq(got.reply.state.position, 9);
    ck_assert_ptr_nonnull(strstr(fake.request, "POST /execute HTTP/1.1\r\n"));
    ck_assert_ptr_nonnull(
        strstr(fake.request, "{\"term\":3,\"access\":\"write\",\"max_ms\":500,"
                             "\"statement\":{\"op\":\"put\",\"key\":\"k\","
                             "\"value\":1}}"));
    reply_with(200, STATE);
    ck_assert_int_eq(send_and_wait(MR_TARGET_STATUS, 500), MR_OK);
    ck_assert_int_eq(got.reply.state.position, 9);
    reply_with(200, "{\"granted\":true,\"state\":" STATE "}");
    ck_assert_int_eq(send_and_wait(MR_TARGET_GRANT, 500), MR_OK);
    ck_assert(got.reply.granted);
    reply_with(200, "{\"transaction\":\"t-1\",\"state\":" STATE "}");
    ck_assert_int_eq(send_and_wait(MR_TARGET_BEGIN, 500), MR_OK);
    ck_assert_str_eq(got.transaction, "t-1");
    reply_with(409, "{\"refused\":\"wrong_term\",\"state\":" STATE "}");
    ck_assert_int_eq(send_and_wait(MR_TARGET_COMMIT, 500),
                     MR_ERR_TARGET_REFUSED);
    ck_assert_int_eq(got.reply.refusal, MR_REFUSAL_WRONG_TERM);
    reply_with(422, "{\"failed\":\"no\",\"state\":" STATE "}");
    ck_assert_int_eq(send_and_wait(MR_TARGET_EXECUTE, 500),
                     MR_ERR_STATEMENT_FAILED);
    ck_assert(mr_target_conn_usable(conn));
    ck_assert_int_eq(fake.connections, 1);
}
END_TEST

/* A late answer must not be matched with the next request. */
START_TEST(test_timeout_closes_the_connection)
{
    ck_assert_int_eq(send_and_wait(MR_TARGET_EXECUTE, 50),
                     MR_ERR_OUTCOME_UNKNOWN);
    ck_assert(!mr_target_conn_usable(conn));
    run_loop(30);
    ck_assert_ptr_null(fake.stream);
    ck_assert_int_eq(got.calls, 1);
    ck_assert_int_eq(send_and_wait(MR_TARGET_EXECUTE, 50), MR_ERR_UNAVAILABLE);
    ck_assert_int_eq(fake.requests, 1);
}
END_TEST

/* Truncated or malformed answers and those of other software prove nothing
 * about the statement, and the request must not be sent again. */
START_TEST(test_bad_answers_leave_the_outcome_unknown)
{
    static const struct {
        const char *answer;
        bool close;
    } cases[] = {
        {NULL, true},
        {"HTTP/1.1 200 OK\r\nContent-Le", true},
        {"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"result\":", true},
        {"HTTP/1.1 200 OK\r\n\r\n{\"result\":{\"va", true},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"result\"", false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"result\":{}}",
         false},
        {"HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}", false},
        {"HTTP/1.1 307 X\r\nLocation: /execute\r\nContent-Length: 0\r\n\r\n",
         false},
        {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", false},
        {"garbage\r\n\r\n", false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        fake.answer = cases[i].answer;
        fake.close = cases[i].close;
        ck_assert_msg(send_and_wait(MR_TARGET_EXECUTE, 500)
                          == MR_ERR_OUTCOME_UNKNOWN,
                      "case %zu: %d", i, got.reply.error);
        ck_assert_msg(!got.reply.has_state, "case %zu", i);
        ck_assert_msg(!mr_target_conn_usable(conn), "case %zu", i);
        run_loop(20);
        ck_assert_msg(fake.requests == (int)i + 1, "case %zu: %d requests", i,
                      fake.requests);
        mr_target_conn_destroy(conn);
        conn = mr_target_conn_create(fake.base, fake.address);
    }
}
END_TEST

/* A close must be noticed both before and after the event loop reports it. */
START_TEST(test_idle_close_makes_the_connection_unusable)
{
    for (int i = 0; i < 2; i++) {
        reply_with(200, STATE);
        ck_assert_int_eq(send_and_wait(MR_TARGET_STATUS, 500), MR_OK);
        ck_assert(mr_target_conn_usable(conn));
        shutdown(bufferevent_getfd(fake.stream), SHUT_RDWR);
        if (i == 0) {
            run_loop(20);
        }
        ck_assert(!mr_target_conn_usable(conn));
        ck_assert_int_eq(send_and_wait(MR_TARGET_EXECUTE, 500),
                         MR_ERR_UNAVAILABLE);
        mr_target_conn_destroy(conn);
        conn = mr_target_conn_create(fake.base, fake.address);
        run_loop(20);
    }
    ck_assert_int_eq(fake.requests, 2);
    ck_assert_int_eq(fake.connections, 2);
}
END_TEST

/* A second answer after the first, or an unsolicited one, would be taken for
 * the answer to the next request. */
START_TEST(test_unsolicited_answers_are_not_used)
{
    char twice[2048];

    reply_with(200, EXECUTED_BODY);
    snprintf(twice, sizeof(twice), "%s%s", fake.answer, fake.answer);
    fake.answer = twice;
    ck_assert_int_eq(send_and_wait(MR_TARGET_EXECUTE, 500), MR_OK);
    ck_assert(!mr_target_conn_usable(conn));
    mr_target_conn_destroy(conn);
    conn = mr_target_conn_create(fake.base, fake.address);
    reply_with(200, EXECUTED_BODY);
    ck_assert_int_eq(send_and_wait(MR_TARGET_EXECUTE, 500), MR_OK);
    ck_assert(mr_target_conn_usable(conn));
    bufferevent_write(fake.stream, fake.answer, strlen(fake.answer));
    run_loop(20);
    ck_assert(!mr_target_conn_usable(conn));
}
END_TEST

/* A request that was certainly not executed must be reported as such, and a
 * target at its connection limit must not be taken for a failed one. */
START_TEST(test_refused_connections_are_reported_as_not_run)
{
    fake.answer = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n"
                  "Connection: close\r\n\r\n";
    ck_assert_int_eq(send_and_wait(MR_TARGET_EXECUTE, 500),
                     MR_ERR_TARGET_REFUSED);
    ck_assert_int_eq(got.reply.refusal, MR_REFUSAL_BUSY);
    ck_assert(!got.reply.has_state);
    ck_assert(!mr_target_conn_usable(conn));
    mr_target_conn_destroy(conn);
    evconnlistener_disable(fake.listener);
    conn = mr_target_conn_create(fake.base, "127.0.0.1:1");
    ck_assert_int_eq(send_and_wait(MR_TARGET_EXECUTE, 500),
                     MR_ERR_UNAVAILABLE);
    ck_assert_ptr_null(mr_target_conn_create(fake.base, "host:1"));
}
END_TEST

/* A 503 on a connection that has answered before says nothing about whether
 * the statement was executed. */
START_TEST(test_later_503_leaves_the_outcome_unknown)
{
    reply_with(200, STATE);
    ck_assert_int_eq(send_and_wait(MR_TARGET_STATUS, 500), MR_OK);
    reply_with(503, "");
    ck_assert_int_eq(send_and_wait(MR_TARGET_EXECUTE, 500),
                     MR_ERR_OUTCOME_UNKNOWN);
}
END_TEST

START_TEST(test_destroyed_connection_does_not_call_back)
{
    mr_target_request_t request = {.operation = MR_TARGET_STATUS,
                                   .timeout = 20};

    mr_target_conn_send(conn, &request, on_reply, NULL);
    run_loop(5);
    mr_target_conn_destroy(conn);
    conn = NULL;
    run_loop(50);
    ck_assert_int_eq(got.calls, 0);
}
END_TEST

/* A divergent log may reach the same position in another term. */
START_TEST(test_coverage_follows_the_term)
{
    mr_log_state_t a = {.last_term = 2, .position = 9};
    mr_log_state_t b = {.last_term = 3, .position = 4};

    ck_assert(mr_log_state_covers(&a, 2, 9));
    ck_assert(mr_log_state_covers(&b, 2, 9));
    ck_assert(!mr_log_state_covers(&a, 2, 10));
    ck_assert(!mr_log_state_covers(&a, 3, 1));
    ck_assert_int_lt(mr_log_state_compare(&a, &b), 0);
    ck_assert_int_gt(mr_log_state_compare(&b, &a), 0);
    ck_assert_int_eq(mr_log_state_compare(&a, &a), 0);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_answers_are_parsed_completely,
        test_timeout_closes_the_connection,
        test_bad_answers_leave_the_outcome_unknown,
        test_idle_close_makes_the_connection_unusable,
        test_unsolicited_answers_are_not_used,
        test_refused_connections_are_reported_as_not_run,
        test_later_503_leaves_the_outcome_unknown,
        test_destroyed_connection_does_not_call_back,
        test_coverage_follows_the_term};

    return RUN_TESTS(tests, .suite = "target", .setup = set_up,
                     .teardown = tear_down);
}
