/* The listener for readiness probes: what it answers, and that a request
 * cannot fill the memory of the instance. */

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../common/runner.h"
#include "common/address.h"
#include "session/ready.h"

enum { OVERSIZED_BYTES = 1 << 20, WAIT_MS = 500 };

typedef struct caller {
    struct bufferevent *stream;
    char answer[128]; /* first bytes */
    bool closed;
} caller_t;

static struct event_base *base;
static mr_counters_t *counters;
static mr_ready_t *ready;
static char address[32];
static bool is_ready;

static bool
get_ready(void *ctx)
{
    (void)ctx;
    return is_ready;
}

/* Finds a port that is free now. */
static int
find_port(void)
{
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(addr);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, len), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
    close(fd);
    return ntohs(addr.sin_port);
}

static void
set_up(void)
{
    signal(SIGPIPE, SIG_IGN);
    base = event_base_new();
    counters = mr_counters_create();
    is_ready = true;
    snprintf(address, sizeof(address), "127.0.0.1:%d", find_port());
    ready = mr_ready_create(base, address, counters, get_ready, NULL);
    ck_assert_ptr_nonnull(ready);
}

static void
tear_down(void)
{
    mr_ready_destroy(ready);
    mr_counters_destroy(counters);
    event_base_free(base);
}

static void
on_read(struct bufferevent *stream, void *ctx)
{
    caller_t *caller = ctx;

    if (caller->answer[0] == '\0') {
        bufferevent_read(stream, caller->answer, sizeof(caller->answer) - 1);
    }
}

static void
on_event(struct bufferevent *stream, short what, void *ctx)
{
    caller_t *caller = ctx;

    (void)stream;
    caller->closed =
        caller->closed || (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
}

/* Sends a request and waits for the answer, or for the end of the connection.
 */
static void
call(caller_t *caller, const char *head, size_t filler)
{
    struct sockaddr_storage addr;
    char *text = malloc(filler + 1);
    int len;

    *caller = (caller_t){0};
    ck_assert(mr_address_parse(address, &addr, &len));
    caller->stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(caller->stream, on_read, NULL, on_event, caller);
    bufferevent_enable(caller->stream, EV_READ | EV_WRITE);
    ck_assert_int_eq(bufferevent_socket_connect(caller->stream,
                                                (struct sockaddr *)&addr, len),
                     0);
    memset(text, 'a', filler + 1);
    bufferevent_write(caller->stream, head, strlen(head));
    bufferevent_write(caller->stream, text, filler);
    free(text);
    for (int i = 0;
         i < WAIT_MS && caller->answer[0] == '\0' && !caller->closed; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        usleep(1000);
    }
    bufferevent_free(caller->stream);
}

START_TEST(test_probe_gets_the_state)
{
    const char *probe = "GET /masticrelay/readiness HTTP/1.1\r\n"
                        "Host: x\r\n\r\n";
    caller_t caller;

    call(&caller, probe, 0);
    ck_assert_ptr_nonnull(strstr(caller.answer, " 200 "));
    is_ready = false;
    call(&caller, probe, 0);
    ck_assert_ptr_nonnull(strstr(caller.answer, " 503 "));
}
END_TEST

START_TEST(test_long_header_is_refused)
{
    caller_t caller;

    call(&caller,
         "GET /masticrelay/readiness HTTP/1.1\r\nX: ", OVERSIZED_BYTES);
    ck_assert(caller.closed || strstr(caller.answer, " 4") != NULL);
}
END_TEST

START_TEST(test_long_body_is_refused)
{
    caller_t caller;

    call(&caller,
         "POST /masticrelay/readiness HTTP/1.1\r\nHost: x\r\n"
         "Content-Length: 10000000\r\n\r\n",
         OVERSIZED_BYTES);
    ck_assert(caller.closed || strstr(caller.answer, " 4") != NULL);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_probe_gets_the_state,
        test_long_header_is_refused,
        test_long_body_is_refused,
    };

    return RUN_TESTS(tests, .suite = "ready", .setup = set_up,
                     .teardown = tear_down);
}
