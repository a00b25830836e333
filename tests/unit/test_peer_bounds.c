/* Links between instances whose other side reads slowly or not at all: what
 * waits is bounded and counted, and callers learn at once what cannot be
 * sent. */

#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../common/runner.h"
#include "common/counters.h"
#include "common/log.h"
#include "wire/peer.h"

enum { BODY_BYTES = 1 << 20, CALL_TIMEOUT_MS = 20000, LOG_MAX_BYTES = 65536 };

/* Each endpoint has an event loop of its own, so that one can stand still. */
typedef struct endpoint {
    struct event_base *base;
    mr_counters_t *counters;
    mr_peer_t *peer;
    char address[32];
    int handled_count;
    int reply_count;
    mr_error_kind_t last_error;
} endpoint_t;

static endpoint_t caller;
static endpoint_t receiver;
static uint8_t *body;
static int log_fds[2];

static void
on_execute(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
           const char *from)
{
    endpoint_t *endpoint = ctx;

    (void)msg;
    (void)from;
    endpoint->handled_count++;
    if (request != NULL) {
        mr_peer_reply(request, &(mr_msg_t){.type = MR_MSG_EXECUTE_REPLY});
    }
}

static void
on_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    endpoint_t *endpoint = ctx;

    (void)reply;
    endpoint->reply_count++;
    endpoint->last_error = error;
}

static void
open_endpoint(endpoint_t *endpoint, const char *name)
{
    static const uint8_t secret[MR_PEER_SECRET_BYTES];

    *endpoint = (endpoint_t){
        .base = event_base_new(),
        .counters = mr_counters_create(),
    };
    endpoint->peer = mr_peer_create(&(mr_peer_options_t){
        .base = endpoint->base,
        .counters = endpoint->counters,
        .name = name,
        .data_centre = "konya",
        .incarnation = 1,
        .secret = secret,
    });
    int port = mr_peer_listen(endpoint->peer, "127.0.0.1:0");
    ck_assert_int_gt(port, 0);
    snprintf(endpoint->address, sizeof(endpoint->address), "127.0.0.1:%d",
             port);
    mr_peer_handle(endpoint->peer, MR_MSG_EXECUTE, on_execute, endpoint);
}

static void
close_endpoint(endpoint_t *endpoint)
{
    mr_peer_destroy(endpoint->peer);
    mr_counters_destroy(endpoint->counters);
    event_base_free(endpoint->base);
}

static void
run_one(endpoint_t *endpoint)
{
    event_base_loop(endpoint->base, EVLOOP_NONBLOCK);
}

static void
run_both(int ms)
{
    mr_ms_t end = mr_clock_now(NULL) + ms;

    while (mr_clock_now(NULL) < end) {
        run_one(&caller);
        run_one(&receiver);
        usleep(200);
    }
}

static void
send_call(size_t bytes)
{
    mr_msg_t msg = {.type = MR_MSG_EXECUTE};

    msg.u.execute.statement = (mr_bytes_t){body, bytes};
    mr_peer_call(caller.peer, receiver.address, &msg, CALL_TIMEOUT_MS,
                 on_reply, &caller);
}

static int64_t
metric(const endpoint_t *endpoint, const char *name)
{
    return mr_counter_value(mr_counters_get(endpoint->counters, name, "", ""));
}

static void
set_up(void)
{
    body = calloc(1, BODY_BYTES);
    open_endpoint(&caller, "caller");
    open_endpoint(&receiver, "receiver");
    ck_assert_int_eq(pipe(log_fds), 0);
    fcntl(log_fds[0], F_SETFL, O_NONBLOCK);
    mr_log_setup("test", MR_LOG_INFO);
    mr_log_open(&(mr_log_options_t){
        .base = caller.base, .counters = caller.counters, .fd = log_fds[1]});
    send_call(0);
    run_both(100);
    ck_assert_int_eq(caller.reply_count, 1);
    ck_assert_int_eq(caller.last_error, MR_OK);
}

static void
tear_down(void)
{
    mr_log_close();
    close(log_fds[0]);
    close(log_fds[1]);
    close_endpoint(&caller);
    close_endpoint(&receiver);
    free(body);
}

static char *
read_log(void)
{
    static char text[LOG_MAX_BYTES];

    mr_log_flush();
    ssize_t len = read(log_fds[0], text, sizeof(text) - 1);
    text[len > 0 ? len : 0] = '\0';
    return text;
}

START_TEST(test_gauges_follow_the_buffers)
{
    ck_assert_int_eq(metric(&caller, "masticrelay_peer_links"), 1);
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_links"), 1);
    for (int i = 0; i < 16; i++) {
        send_call(BODY_BYTES);
    }
    int64_t output = metric(&caller, "masticrelay_peer_output_bytes");
    ck_assert_int_ge(output, 16 * BODY_BYTES);
    ck_assert_int_ge(metric(&caller, "masticrelay_peer_output_peak_bytes"),
                     output);
    ck_assert_int_ge(
        metric(&caller, "masticrelay_peer_link_output_peak_bytes"), output);
    run_both(2000);
    ck_assert_int_eq(caller.reply_count, 17);
    ck_assert_int_eq(metric(&caller, "masticrelay_peer_output_bytes"), 0);
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_input_bytes"), 0);
    ck_assert_int_ge(metric(&receiver, "masticrelay_peer_input_peak_bytes"),
                     BODY_BYTES);
    ck_assert_ptr_nonnull(strstr(read_log(), "event=peer_buffers_peak"));
    mr_peer_destroy(receiver.peer);
    receiver.peer = NULL;
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_links"), 0);
    run_both(50);
    ck_assert_int_eq(metric(&caller, "masticrelay_peer_links"), 0);
}
END_TEST

START_TEST(test_full_output_is_logged_once)
{
    for (int i = 0; i < 80; i++) {
        send_call(BODY_BYTES);
    }
    ck_assert_int_gt(metric(&caller, "masticrelay_peer_unsent_total"), 1);
    ck_assert_int_gt(metric(&caller, "masticrelay_peer_unsent_bytes_total"),
                     BODY_BYTES);
    char *full = strstr(read_log(), "event=peer_output_full name=receiver ");
    ck_assert_ptr_nonnull(full);
    ck_assert_ptr_null(strstr(full + 1, "event=peer_output_full"));
    run_both(3000);
    ck_assert_ptr_nonnull(
        strstr(read_log(), "event=peer_output_drained name=receiver "));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_gauges_follow_the_buffers,
        test_full_output_is_logged_once,
    };

    return RUN_TESTS(tests, .suite = "peer_bounds", .setup = set_up,
                     .teardown = tear_down, .timeout_s = 30);
}
