/* Guards against a failover that opens new connections although the observer
 * has open ones, and against one that fails because such a connection had been
 * closed by the target unnoticed. */

#include <check.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "group/promotion.h"

enum { TERM = 5, LIMIT_MS = 2000 };

/** A fake target that grants and promotes; the only one of its group. */
static struct {
    struct event_base *base;
    struct evhttp *http;
    struct evhttp_connection *last; /* connection of the last request */
    int connections;
    bool drop_next; /* close the connection instead of the next reply */
    char address[32];
} fake;

static struct {
    mr_target_conn_t *offered;
    mr_target_conn_t *released;
    bool ended;
    mr_promotion_result_t result;
} got;

static void
on_request(struct evhttp_request *req, void *ctx)
{
    struct evbuffer *out = evbuffer_new();
    struct evhttp_connection *http = evhttp_request_get_connection(req);

    (void)ctx;
    if (http != fake.last) {
        fake.last = http;
        fake.connections++;
    }
    if (fake.drop_next) {
        fake.drop_next = false;
        fake.last = NULL;
        evbuffer_free(out);
        evhttp_connection_free(http);
        return;
    }
    bool status = strcmp(evhttp_request_get_uri(req), "/status") == 0;
    evbuffer_add_printf(
        out, status ? "%s" : "{\"granted\":true,\"state\":%s}",
        "{\"role\":\"replica\",\"term\":5,\"last_term\":4,\"position\":9,"
        "\"leaving\":false}");
    evhttp_send_reply(req, 200, NULL, out);
    evbuffer_free(out);
}

static void
on_status(void *ctx, const mr_target_reply_t *reply)
{
    (void)ctx;
    ck_assert_int_eq(reply->error, MR_OK);
    event_base_loopbreak(fake.base);
}

/* Returns an open, idle connection, as a probe leaves it. */
static mr_target_conn_t *
open_connection(void)
{
    mr_target_request_t request = {.operation = MR_TARGET_STATUS,
                                   .timeout = LIMIT_MS};
    mr_target_conn_t *conn = mr_target_conn_create(fake.base, fake.address);

    mr_target_conn_send(conn, &request, on_status, NULL);
    event_base_dispatch(fake.base);
    return conn;
}

static mr_target_conn_t *
acquire_conn(void *ctx, size_t index)
{
    mr_target_conn_t *conn = got.offered;

    (void)ctx;
    (void)index;
    got.offered = NULL;
    return conn;
}

static void
release_conn(void *ctx, size_t index, mr_target_conn_t *conn)
{
    (void)ctx;
    (void)index;
    got.released = conn;
}

static void
on_state(void *ctx, size_t index, const mr_log_state_t *state, mr_ms_t sent_at)
{
    (void)ctx;
    (void)index;
    (void)state;
    (void)sent_at;
}

static void
on_done(void *ctx, const mr_promotion_result_t *result)
{
    (void)ctx;
    got.ended = true;
    got.result = *result;
    event_base_loopbreak(fake.base);
}

static void
promote(void)
{
    const char *addresses[] = {fake.address};
    const bool leaving[] = {false};
    const mr_promotion_options_t options = {
        .base = fake.base,
        .addresses = addresses,
        .leaving = leaving,
        .count = 1,
        .term = TERM,
        .fn = on_done,
        .on_state = on_state,
        .acquire_conn = acquire_conn,
        .release_conn = release_conn,
    };
    struct timeval limit = mr_clock_timeval(LIMIT_MS);
    mr_promotion_t *promotion = mr_promotion_start(&options);

    event_base_loopexit(fake.base, &limit);
    event_base_dispatch(fake.base);
    ck_assert(got.ended && got.result.promoted);
    mr_promotion_destroy(promotion);
}

static void
set_up(void)
{
    struct sockaddr_storage addr;
    socklen_t size = sizeof(addr);

    signal(SIGPIPE, SIG_IGN);
    memset(&fake, 0, sizeof(fake));
    memset(&got, 0, sizeof(got));
    fake.base = event_base_new();
    fake.http = evhttp_new(fake.base);
    evhttp_set_gencb(fake.http, on_request, NULL);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(fake.http, "127.0.0.1", 0);
    ck_assert_ptr_nonnull(bound);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&addr,
                &size);
    snprintf(fake.address, sizeof(fake.address), "127.0.0.1:%d",
             mr_address_port(&addr));
}

static void
tear_down(void)
{
    mr_target_conn_destroy(got.offered);
    mr_target_conn_destroy(got.released);
    evhttp_free(fake.http);
    event_base_loop(fake.base, EVLOOP_NONBLOCK);
    event_base_free(fake.base);
}

START_TEST(test_offered_connection_is_used_and_released)
{
    mr_target_conn_t *conn = open_connection();

    got.offered = conn;
    promote();
    ck_assert_int_eq(fake.connections, 1);
    ck_assert_ptr_eq(got.released, conn);
}
END_TEST

START_TEST(test_lost_connection_is_replaced)
{
    got.offered = open_connection();
    fake.drop_next = true;
    promote();
    ck_assert_int_eq(fake.connections, 2);
    ck_assert_ptr_nonnull(got.released);
}
END_TEST

START_TEST(test_connection_is_opened_when_none_is_offered)
{
    promote();
    ck_assert_int_eq(fake.connections, 1);
    ck_assert_ptr_nonnull(got.released);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("promotion");
    TCase *tc = tcase_create("promotion");

    tcase_add_checked_fixture(tc, set_up, tear_down);
    tcase_add_test(tc, test_offered_connection_is_used_and_released);
    tcase_add_test(tc, test_lost_connection_is_replaced);
    tcase_add_test(tc, test_connection_is_opened_when_none_is_offered);
    suite_add_tcase(suite, tc);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
