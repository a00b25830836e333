/* Links between instances whose other side reads slowly or not at all: what
 * waits is bounded and counted, and callers learn at once what cannot be
 * sent. */

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../common/runner.h"
#include "common/address.h"
#include "common/counters.h"
#include "common/log.h"
#include "wire/peer.h"

enum {
    BODY_BYTES = 4 << 20,
    CALL_TIMEOUT_MS = 20000,
    WAIT_MAX_MS = 10000,
    LOG_MAX_BYTES = 65536,
    /* More than the kernel buffers for a reader that stands still. */
    FILL_BYTES = 16 << 20,
    HELD_MAX = 512,
    RECEIVERS = 8,
};

/* Far below what the kernel buffers, so that a test controls what waits. */
static const mr_peer_limits_t small_limits = {
    .frame_max_bytes = 1 << 20,
    .link_output_max_bytes = 2 << 20,
    .output_max_bytes = 4 << 20,
    .requests_max = 256,
};

/* Each endpoint has an event loop of its own, so that one can stand still. */
typedef struct endpoint {
    struct event_base *base;
    mr_counters_t *counters;
    mr_peer_t *peer;
    char address[32];
    size_t reply_bytes; /* of the replies that it sends */
    bool holds;         /* it keeps requests unanswered */
    mr_peer_request_t *held[HELD_MAX];
    int held_count;
    int handled_count;
    int call_count;
    int reply_count; /* replies that it got */
    int ok_count;
    int unavailable_count;
    mr_error_kind_t last_error;
} endpoint_t;

static endpoint_t caller;
static endpoint_t receiver;
static uint8_t *body;
static int log_fds[2];

static void
reply_to(endpoint_t *endpoint, mr_peer_request_t *request)
{
    mr_msg_t reply = {.type = MR_MSG_EXECUTE_REPLY};

    reply.u.execute_reply.result = (mr_bytes_t){body, endpoint->reply_bytes};
    mr_peer_reply(request, &reply);
}

static void
on_execute(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
           const char *from)
{
    endpoint_t *endpoint = ctx;

    (void)msg;
    (void)from;
    endpoint->handled_count++;
    if (request == NULL) {
        return;
    }
    if (endpoint->holds) {
        ck_assert_int_lt(endpoint->held_count, HELD_MAX);
        endpoint->held[endpoint->held_count++] = request;
        return;
    }
    reply_to(endpoint, request);
}

static void
on_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    endpoint_t *endpoint = ctx;

    (void)reply;
    endpoint->reply_count++;
    endpoint->ok_count += error == MR_OK;
    endpoint->unavailable_count += error == MR_ERR_UNAVAILABLE;
    endpoint->last_error = error;
}

static void
open_endpoint(endpoint_t *endpoint, const char *name,
              const mr_peer_limits_t *limits)
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
        .limits = limits,
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

/* Runs both until @condition holds, and then for a moment, in which a bound
 * might be exceeded. */
#define RUN_UNTIL(condition)                                                  \
    do {                                                                      \
        mr_ms_t end_ = mr_clock_now(NULL) + WAIT_MAX_MS;                      \
        while (!(condition) && mr_clock_now(NULL) < end_) {                   \
            run_both(5);                                                      \
        }                                                                     \
        run_both(50);                                                         \
    } while (0)

static void
run_caller(int ms)
{
    mr_ms_t end = mr_clock_now(NULL) + ms;

    while (mr_clock_now(NULL) < end) {
        run_one(&caller);
        usleep(200);
    }
}

static void
send_call_to(const endpoint_t *to, size_t bytes, mr_ms_t timeout)
{
    mr_msg_t msg = {.type = MR_MSG_EXECUTE};

    msg.u.execute.statement = (mr_bytes_t){body, bytes};
    caller.call_count++;
    mr_peer_call(caller.peer, to->address, &msg, timeout, on_reply, &caller);
}

static void
send_call(size_t bytes)
{
    send_call_to(&receiver, bytes, CALL_TIMEOUT_MS);
}

static int64_t
metric(const endpoint_t *endpoint, const char *name)
{
    return mr_counter_value(mr_counters_get(endpoint->counters, name, "", ""));
}

static void
connect_to(const endpoint_t *to)
{
    int before = caller.ok_count;

    send_call_to(to, 0, CALL_TIMEOUT_MS);
    for (int i = 0; i < 1000 && caller.ok_count == before; i++) {
        run_one(&caller);
        event_base_loop(to->base, EVLOOP_NONBLOCK);
        usleep(200);
    }
    ck_assert_int_eq(caller.ok_count, before + 1);
}

static void
open_both(const mr_peer_limits_t *caller_limits,
          const mr_peer_limits_t *receiver_limits)
{
    open_endpoint(&caller, "caller", caller_limits);
    open_endpoint(&receiver, "receiver", receiver_limits);
    mr_log_setup("test", MR_LOG_INFO);
    mr_log_open(&(mr_log_options_t){
        .base = caller.base, .counters = caller.counters, .fd = log_fds[1]});
    connect_to(&receiver);
}

static void
set_up(void)
{
    body = calloc(1, BODY_BYTES);
    ck_assert_int_eq(pipe(log_fds), 0);
    fcntl(log_fds[0], F_SETFL, O_NONBLOCK);
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

/* Sends requests until the link to a receiver that stands still is full. */
static void
fill_link(size_t frame)
{
    int refused = caller.unavailable_count;

    for (size_t sent = 0;
         sent < FILL_BYTES && caller.unavailable_count == refused;
         sent += frame) {
        send_call(frame);
        run_one(&caller);
    }
    run_caller(20);
}

START_TEST(test_gauges_follow_the_buffers)
{
    open_both(NULL, NULL);
    ck_assert_int_eq(metric(&caller, "masticrelay_peer_links"), 1);
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_links"), 1);
    for (int i = 0; i < 4; i++) {
        send_call(BODY_BYTES);
    }
    int64_t output = metric(&caller, "masticrelay_peer_output_bytes");
    ck_assert_int_ge(output, 4 * BODY_BYTES);
    ck_assert_int_ge(metric(&caller, "masticrelay_peer_output_peak_bytes"),
                     output);
    ck_assert_int_ge(
        metric(&caller, "masticrelay_peer_link_output_peak_bytes"), output);
    RUN_UNTIL(caller.ok_count == 5);
    ck_assert_int_eq(caller.ok_count, 5);
    ck_assert_int_eq(metric(&caller, "masticrelay_peer_output_bytes"), 0);
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_input_bytes"), 0);
    ck_assert_int_ge(metric(&receiver, "masticrelay_peer_input_peak_bytes"),
                     BODY_BYTES);
    ck_assert_ptr_nonnull(strstr(read_log(), "event=peer_buffers_peak"));
    mr_peer_destroy(receiver.peer);
    receiver.peer = NULL;
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_links"), 0);
    RUN_UNTIL(metric(&caller, "masticrelay_peer_links") == 0);
    ck_assert_int_eq(metric(&caller, "masticrelay_peer_links"), 0);
}
END_TEST

START_TEST(test_full_output_is_logged_once)
{
    open_both(NULL, NULL);
    for (int i = 0; i < 20; i++) {
        send_call(BODY_BYTES);
    }
    ck_assert_int_gt(metric(&caller, "masticrelay_peer_unsent_total"), 1);
    ck_assert_int_gt(metric(&caller, "masticrelay_peer_unsent_bytes_total"),
                     BODY_BYTES);
    char *full = strstr(read_log(), "event=peer_output_full name=receiver ");
    ck_assert_ptr_nonnull(full);
    ck_assert_ptr_null(strstr(full + 1, "event=peer_output_full"));
    RUN_UNTIL(caller.reply_count == caller.call_count);
    ck_assert_ptr_nonnull(
        strstr(read_log(), "event=peer_output_drained name=receiver "));
}
END_TEST

START_TEST(test_request_to_a_full_link_fails_at_once)
{
    open_both(&small_limits, NULL);
    fill_link(100000);
    ck_assert_int_ge(caller.unavailable_count, 1);
    ck_assert_int_eq(caller.reply_count,
                     caller.unavailable_count + caller.ok_count);
    ck_assert_int_le(metric(&caller, "masticrelay_peer_output_bytes"),
                     (int64_t)small_limits.link_output_max_bytes);
    int refused = caller.unavailable_count;
    send_call(100000);
    run_one(&caller);
    ck_assert_int_eq(caller.unavailable_count, refused + 1);
    RUN_UNTIL(caller.reply_count == caller.call_count);
    ck_assert_int_eq(caller.ok_count, receiver.handled_count);
    ck_assert_int_eq(caller.unavailable_count, refused + 1);
}
END_TEST

START_TEST(test_oversized_request_fails_and_keeps_the_link)
{
    open_both(&small_limits, &small_limits);
    send_call(small_limits.frame_max_bytes);
    run_one(&caller);
    ck_assert_int_eq(caller.unavailable_count, 1);
    ck_assert_ptr_nonnull(strstr(read_log(), "event=peer_output_full"));
    connect_to(&receiver);
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_broken_total"), 0);
}
END_TEST

START_TEST(test_oversized_frame_closes_the_link)
{
    open_both(NULL, &small_limits);
    send_call(small_limits.frame_max_bytes);
    RUN_UNTIL(caller.reply_count == 2);
    ck_assert_int_eq(caller.reply_count, 2);
    ck_assert_int_eq(caller.last_error, MR_ERR_OUTCOME_UNKNOWN);
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_broken_total"), 1);
    ck_assert_int_eq(receiver.handled_count, 1);
}
END_TEST

START_TEST(test_strangers_cannot_fill_the_input)
{
    struct sockaddr_storage address;
    int len;
    uint32_t header = htonl(1 << 20);

    open_both(NULL, NULL);
    ck_assert(mr_address_parse(receiver.address, &address, &len));
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, (socklen_t)len),
                     0);
    ck_assert_int_eq(write(fd, &header, sizeof(header)), sizeof(header));
    RUN_UNTIL(metric(&receiver, "masticrelay_peer_broken_total") == 1);
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_broken_total"), 1);
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_links"), 1);
    close(fd);
}
END_TEST

START_TEST(test_full_links_leave_room_for_others)
{
    endpoint_t others[RECEIVERS];

    open_both(&small_limits, NULL);
    for (int i = 0; i < RECEIVERS; i++) {
        open_endpoint(&others[i], "other", NULL);
        connect_to(&others[i]);
    }
    for (int round = 0; round < 100; round++) {
        for (int i = 0; i < RECEIVERS; i++) {
            send_call_to(&others[i], 100000, CALL_TIMEOUT_MS);
        }
        run_one(&caller);
        ck_assert_int_le(metric(&caller, "masticrelay_peer_output_bytes"),
                         (int64_t)small_limits.output_max_bytes);
    }
    ck_assert_int_gt(metric(&caller, "masticrelay_peer_output_bytes"),
                     (int64_t)small_limits.output_max_bytes / 2);
    int refused = caller.unavailable_count;
    ck_assert_int_gt(refused, 0);
    send_call(100000);
    RUN_UNTIL(receiver.handled_count == 2);
    ck_assert_int_eq(receiver.handled_count, 2);
    ck_assert_int_eq(caller.unavailable_count, refused);
    for (int i = 0; i < RECEIVERS; i++) {
        close_endpoint(&others[i]);
    }
}
END_TEST

START_TEST(test_dropped_replies_leave_the_queued_ones)
{
    open_both(NULL, &small_limits);
    receiver.holds = true;
    receiver.reply_bytes = 400000;
    for (int i = 0; i < 64; i++) {
        send_call(0);
    }
    RUN_UNTIL(receiver.held_count == 64);
    ck_assert_int_eq(receiver.held_count, 64);
    for (int i = 0; i < 64; i++) {
        reply_to(&receiver, receiver.held[i]);
        ck_assert_int_le(metric(&receiver, "masticrelay_peer_output_bytes"),
                         (int64_t)small_limits.link_output_max_bytes);
    }
    int64_t dropped = metric(&receiver, "masticrelay_peer_unsent_total");
    ck_assert_int_gt(dropped, 0);
    RUN_UNTIL(caller.ok_count == 1 + 64 - (int)dropped);
    ck_assert_int_eq(caller.ok_count, 1 + 64 - (int)dropped);
}
END_TEST

START_TEST(test_requests_are_not_handled_for_a_caller_that_does_not_read)
{
    open_both(NULL, &small_limits);
    receiver.reply_bytes = 400000;
    for (int i = 0; i < 200; i++) {
        send_call(0);
    }
    run_caller(20);
    for (int i = 0; i < 500; i++) {
        run_one(&receiver);
        usleep(200);
    }
    ck_assert_int_lt(receiver.handled_count, 200);
    ck_assert_int_eq(metric(&receiver, "masticrelay_peer_unsent_total"), 0);
    ck_assert_int_le(metric(&receiver, "masticrelay_peer_output_bytes"),
                     (int64_t)small_limits.link_output_max_bytes);
    RUN_UNTIL(caller.ok_count == 201);
    ck_assert_int_eq(caller.ok_count, 201);
}
END_TEST

START_TEST(test_timed_out_requests_are_not_sent)
{
    const char *const output = "masticrelay_peer_output_bytes";

    open_both(&small_limits, NULL);
    /* Fills the kernel's buffers, but not the link. */
    int64_t before = 0;
    int64_t previous;
    do {
        while (metric(&caller, output) < 1200000) {
            send_call(60000);
            run_one(&caller);
        }
        previous = before;
        run_caller(100);
        before = metric(&caller, output);
    } while (before != previous);
    for (int i = 0; i < 10; i++) {
        send_call_to(&receiver, 60000, 20);
    }
    ck_assert_int_gt(metric(&caller, output), before);
    run_caller(50);
    ck_assert_int_eq(caller.unavailable_count, 10);
    ck_assert_int_eq(metric(&caller, output), before);
    RUN_UNTIL(caller.reply_count == caller.call_count);
    ck_assert_int_eq(receiver.handled_count, caller.call_count - 10);
    ck_assert_int_eq(caller.ok_count, receiver.handled_count);
}
END_TEST

/* Guards against a receiver that gets seconds of old reports after a pause. */
START_TEST(test_few_bytes_of_timed_out_requests_are_sent)
{
    enum { REPORT_BYTES = 3000, OLD_MAX_BYTES = 24 << 10 };
    const char *const output = "masticrelay_peer_output_bytes";
    mr_peer_limits_t limits = mr_peer_report_limits;
    int64_t before = 0;

    limits.requests_max = 8192;
    open_both(&limits, NULL);
    /* Fills the kernel's buffers. */
    while (before == 0 || metric(&caller, output) != before) {
        before = metric(&caller, output);
        for (int i = 0; i < 1000; i++) {
            send_call_to(&receiver, REPORT_BYTES, 50);
            run_one(&caller);
        }
        run_caller(100);
    }
    ck_assert_int_eq(caller.reply_count, caller.call_count);
    ck_assert_int_le(before, OLD_MAX_BYTES);
}
END_TEST

START_TEST(test_unanswered_requests_are_limited)
{
    int max = (int)small_limits.requests_max;

    open_both(&small_limits, &small_limits);
    receiver.holds = true;
    for (int i = 0; i < max + 10; i++) {
        send_call(0);
    }
    RUN_UNTIL(receiver.held_count == max);
    ck_assert_int_eq(receiver.held_count, max);
    ck_assert_int_eq(caller.unavailable_count, 10);
    for (int i = 0; i < max; i++) {
        reply_to(&receiver, receiver.held[i]);
    }
    RUN_UNTIL(caller.ok_count == 1 + max);
    ck_assert_int_eq(caller.ok_count, 1 + max);
    receiver.holds = false;
    connect_to(&receiver);
}
END_TEST

START_TEST(test_unread_input_is_bounded)
{
    int max = (int)small_limits.requests_max;

    open_both(NULL, &small_limits);
    receiver.holds = true;
    for (int i = 0; i < max + 200; i++) {
        send_call(30000);
    }
    RUN_UNTIL(receiver.held_count == max);
    ck_assert_int_eq(receiver.held_count, max);
    ck_assert_int_le(metric(&receiver, "masticrelay_peer_input_peak_bytes"),
                     (int64_t)small_limits.frame_max_bytes);
    for (int i = 0; i < max; i++) {
        reply_to(&receiver, receiver.held[i]);
    }
    RUN_UNTIL(receiver.held_count == max + 200);
    ck_assert_int_eq(receiver.held_count, max + 200);
    for (int i = 0; i < 200; i++) {
        reply_to(&receiver, receiver.held[max + i]);
    }
    RUN_UNTIL(caller.ok_count == 1 + max + 200);
    ck_assert_int_eq(caller.ok_count, 1 + max + 200);
}
END_TEST

static size_t
encoded_size(const mr_msg_t *msg)
{
    msgpack_sbuffer frame;

    msgpack_sbuffer_init(&frame);
    mr_msg_encode(msg, &frame);
    size_t size = frame.size;
    msgpack_sbuffer_destroy(&frame);
    return size;
}

/* A report and its reply at the size that is planned for two years: 1,900
 * services and 1,024 accounts that want tokens. */
START_TEST(test_reports_of_the_planned_size_fit_a_frame)
{
    enum { SERVICES = 1900, ACCOUNTS = 1024 };
    static mr_msg_db_health_t health[SERVICES];
    static mr_msg_primary_t primaries[SERVICES];
    static mr_msg_draw_t draws[ACCOUNTS];
    mr_msg_t report = {.type = MR_MSG_REPORT, .call = 1000000};
    mr_msg_t reply = {.type = MR_MSG_REPORT_REPLY, .call = 1000000};

    for (int i = 0; i < SERVICES; i++) {
        health[i] = (mr_msg_db_health_t){"servicio-db~1900", "i-513976abea",
                                         1000, 1000};
        primaries[i] = (mr_msg_primary_t){
            "servicio-db~1900", "i-513976abea", 100000, 100, 10000000, 1000};
    }
    for (int i = 0; i < ACCOUNTS; i++) {
        draws[i] = (mr_msg_draw_t){"mivo242x5", 1000000};
    }
    report.u.report = (mr_msg_report_t){.address = "10.1.100.100:65535",
                                        .wants = draws,
                                        .want_count = ACCOUNTS,
                                        .health = health,
                                        .health_count = SERVICES};
    reply.u.report_reply = (mr_msg_report_reply_t){.draws = draws,
                                                   .draw_count = ACCOUNTS,
                                                   .primaries = primaries,
                                                   .primary_count = SERVICES};
    open_both(NULL, NULL);
    ck_assert_uint_le(encoded_size(&report),
                      mr_peer_report_limits.frame_max_bytes - 4096);
    ck_assert_uint_le(encoded_size(&reply),
                      mr_peer_report_limits.frame_max_bytes - 4096);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_gauges_follow_the_buffers,
        test_full_output_is_logged_once,
        test_request_to_a_full_link_fails_at_once,
        test_oversized_request_fails_and_keeps_the_link,
        test_oversized_frame_closes_the_link,
        test_strangers_cannot_fill_the_input,
        test_full_links_leave_room_for_others,
        test_dropped_replies_leave_the_queued_ones,
        test_requests_are_not_handled_for_a_caller_that_does_not_read,
        test_timed_out_requests_are_not_sent,
        test_few_bytes_of_timed_out_requests_are_sent,
        test_unanswered_requests_are_limited,
        test_unread_input_is_bounded,
        test_reports_of_the_planned_size_fit_a_frame,
    };

    return RUN_TESTS(tests, .suite = "peer_bounds", .setup = set_up,
                     .teardown = tear_down, .timeout_s = 30);
}
