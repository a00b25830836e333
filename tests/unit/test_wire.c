/* Guards against calls that are lost, answered twice or answered to another
 * caller, and against links from processes without the fleet secret. */

#include <string.h>

#include "../common/runner.h"
#include "common/counters.h"
#include "wire/lateness.h"
#include "wire/msg_scan.h"
#include "wire/peer.h"

typedef struct side {
    struct event_base *base;
    mr_counters_t *counters;
    mr_peer_t *peer;
    char address[32];
    int handled;
    int replies;
    mr_error_kind_t error;
    char last[64];
    mr_peer_request_t *held;
} side_t;

static void
on_probe(void *ctx, mr_peer_request_t *request, const mr_msg_t *msg,
         const char *from)
{
    side_t *side = ctx;
    mr_msg_t reply = {.type = MR_MSG_PROBE_REPLY};

    (void)from;
    side->handled++;
    if (strcmp(msg->u.probe.group, "hold") == 0) {
        side->held = request;
        return;
    }
    reply.u.probe_reply.primary = msg->u.probe.group;
    reply.u.probe_reply.term = 7;
    mr_peer_reply(request, &reply);
}

static void
on_reply(void *ctx, mr_error_kind_t error, const mr_msg_t *reply)
{
    side_t *side = ctx;

    side->replies++;
    side->error = error;
    if (error == MR_OK) {
        snprintf(side->last, sizeof(side->last), "%s",
                 reply->u.probe_reply.primary);
    }
}

static void
open_side(side_t *side, struct event_base *base, const char *name, uint8_t key)
{
    uint8_t secret[MR_PEER_SECRET_BYTES];

    memset(side, 0, sizeof(*side));
    memset(secret, key, sizeof(secret));
    side->base = base;
    side->counters = mr_counters_create();
    mr_peer_options_t options = {.base = base,
                                 .counters = side->counters,
                                 .name = name,
                                 .data_centre = "konya",
                                 .incarnation = 1,
                                 .secret = secret};
    side->peer = mr_peer_create(&options);
    int port = mr_peer_listen(side->peer, "127.0.0.1:0");
    ck_assert_int_gt(port, 0);
    snprintf(side->address, sizeof(side->address), "127.0.0.1:%d", port);
    mr_peer_handle(side->peer, MR_MSG_PROBE, on_probe, side);
}

static void
close_side(side_t *side)
{
    mr_peer_destroy(side->peer);
    mr_counters_destroy(side->counters);
}

static void
run_for(struct event_base *base, int ms)
{
    struct timeval tv = {.tv_usec = ms * 1000};

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

static void
probe(side_t *from, const side_t *to, const char *group, mr_ms_t timeout)
{
    mr_msg_t msg = {.type = MR_MSG_PROBE};

    msg.u.probe.group = group;
    mr_peer_call(from->peer, to->address, &msg, timeout, on_reply, from);
}

START_TEST(test_call_gets_its_reply)
{
    struct event_base *base = event_base_new();
    side_t a, b;

    open_side(&a, base, "a", 1);
    open_side(&b, base, "b", 1);
    probe(&a, &b, "g", 500);
    run_for(base, 100);
    ck_assert_int_eq(a.replies, 1);
    ck_assert_int_eq(a.error, MR_OK);
    ck_assert_str_eq(a.last, "g");
    close_side(&a);
    close_side(&b);
    event_base_free(base);
}
END_TEST

START_TEST(test_wrong_secret_is_refused)
{
    struct event_base *base = event_base_new();
    side_t a, b;

    open_side(&a, base, "a", 1);
    open_side(&b, base, "b", 2);
    probe(&a, &b, "g", 300);
    run_for(base, 400);
    ck_assert_int_eq(a.replies, 1);
    ck_assert_int_eq(a.error, MR_ERR_UNAVAILABLE);
    ck_assert_int_eq(b.handled, 0);
    close_side(&a);
    close_side(&b);
    event_base_free(base);
}
END_TEST

START_TEST(test_late_reply_is_dropped)
{
    struct event_base *base = event_base_new();
    mr_msg_t reply = {.type = MR_MSG_PROBE_REPLY};
    side_t a, b;

    open_side(&a, base, "a", 1);
    open_side(&b, base, "b", 1);
    probe(&a, &b, "hold", 50);
    run_for(base, 100);
    ck_assert_int_eq(a.replies, 1);
    ck_assert_int_eq(a.error, MR_ERR_OUTCOME_UNKNOWN);
    probe(&a, &b, "second", 500);
    reply.u.probe_reply.primary = "late";
    mr_peer_reply(b.held, &reply);
    run_for(base, 100);
    ck_assert_int_eq(a.replies, 2);
    ck_assert_str_eq(a.last, "second");
    close_side(&a);
    close_side(&b);
    event_base_free(base);
}
END_TEST

START_TEST(test_closed_port_is_unavailable)
{
    struct event_base *base = event_base_new();
    side_t a, b;

    open_side(&a, base, "a", 1);
    open_side(&b, base, "b", 1);
    close_side(&b);
    probe(&a, &b, "g", 500);
    probe(&a, &b, "g", 500);
    run_for(base, 100);
    ck_assert_int_eq(a.replies, 2);
    ck_assert_int_eq(a.error, MR_ERR_UNAVAILABLE);
    close_side(&a);
    event_base_free(base);
}
END_TEST

START_TEST(test_peer_death_makes_calls_unknown)
{
    struct event_base *base = event_base_new();
    side_t a, b;

    open_side(&a, base, "a", 1);
    open_side(&b, base, "b", 1);
    probe(&a, &b, "hold", 5000);
    run_for(base, 50);
    mr_peer_destroy(b.peer);
    run_for(base, 50);
    ck_assert_int_eq(a.replies, 1);
    ck_assert_int_eq(a.error, MR_ERR_OUTCOME_UNKNOWN);
    mr_peer_reply(b.held, &(mr_msg_t){.type = MR_MSG_PROBE_REPLY});
    mr_counters_destroy(b.counters);
    close_side(&a);
    event_base_free(base);
}
END_TEST

START_TEST(test_messages_survive_encoding)
{
    mr_msg_member_t members[2] = {
        {"m1", "konya", "127.0.0.1:1", 3, 1},
        {"m2", "nigde", "127.0.0.1:2", -4, 2},
    };
    mr_msg_t msg = {.type = MR_MSG_PING, .call = 9};
    mr_msg_holder_t holder;
    msgpack_sbuffer buf;

    msg.u.ping.incarnation = 5;
    msg.u.ping.changes = members;
    msg.u.ping.change_count = 2;
    msgpack_sbuffer_init(&buf);
    mr_msg_encode(&msg, &buf);
    ck_assert_int_eq(mr_msg_decode(buf.data, buf.size, &holder), MR_MSG_GOOD);
    ck_assert_int_eq(holder.msg.call, 9);
    ck_assert_uint_eq(holder.msg.u.ping.change_count, 2);
    ck_assert_str_eq(holder.msg.u.ping.changes[1].data_centre, "nigde");
    ck_assert_int_eq(holder.msg.u.ping.changes[1].incarnation, -4);
    mr_msg_release(&holder);
    for (size_t len = 0; len < buf.size; len++) {
        ck_assert_int_eq(mr_msg_decode(buf.data, len, &holder),
                         MR_MSG_MALFORMED);
    }
    msgpack_sbuffer_destroy(&buf);
}
END_TEST

/* A request that a paused process or a broken link held back must show its
 * age, whatever the two clocks started from. */
START_TEST(test_held_message_is_late)
{
    mr_lateness_t lateness = {0};
    mr_ms_t offset = 5000000;

    for (mr_ms_t now = 1000; now < 200000; now += 100) {
        mr_ms_t travel = 2 + now / 100 % 3;
        ck_assert_int_le(
            mr_lateness_update(&lateness, now + offset, now + travel), 2);
    }
    ck_assert_int_ge(mr_lateness_update(&lateness, 200000 + offset, 204000),
                     3990);
    ck_assert_int_ge(mr_lateness_update(&lateness, 200100 + offset, 204000),
                     3890);
    /* The held ones must not become the new normal. */
    ck_assert_int_le(mr_lateness_update(&lateness, 204000 + offset, 204003),
                     2);
}
END_TEST

/* A small frame must not make the decoder allocate what it announces. */
START_TEST(test_announced_sizes_are_checked)
{
    static const struct {
        const char *data;
        size_t len;
        bool good;
    } cases[] = {
        {"\x92\x14\x00", 3, true},
        {"\x92\x14", 2, false},
        {"\x92\x14\x00\x00", 4, false},
        {"\xdf\xdf\xdf\xdf\x0a\xdf\xdf\xdf\xdf\xdf\xdf", 11, false},
        {"\xdd\x00\x01\x00\x00\xc0", 6, false},
        {"\xc6\xff\xff\xff\xff\x00", 6, false},
        {"\xd9\x02hi", 4, true},
        {"\x81\xa1k\xcb\x00\x00\x00\x00\x00\x00\x00\x00", 12, true},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        ck_assert_msg(mr_msg_scan(cases[i].data, cases[i].len, 100)
                          == cases[i].good,
                      "case %zu", i);
    }
    ck_assert(!mr_msg_scan("\x93\xc0\xc0\xc0", 4, 3));
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_call_gets_its_reply,
                                  test_wrong_secret_is_refused,
                                  test_late_reply_is_dropped,
                                  test_closed_port_is_unavailable,
                                  test_peer_death_makes_calls_unknown,
                                  test_messages_survive_encoding,
                                  test_held_message_is_late,
                                  test_announced_sizes_are_checked};

    return RUN_TESTS(tests, .suite = "wire");
}
