/* Tests reads from the store that take more than one page: no row may be
 * missing or delivered twice. */

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "common/clock.h"
#include "session/store.h"

enum { ROWS = 5, PAGE_ROWS = 2, READ_TIMEOUT_MS = 3000 };

static const char *const keys[ROWS] = {"a", "a b", "a/b", "b", "z"};

static struct event_base *base;
static mr_counters_t *counters;
static struct evhttp *server;
static mr_store_t *store;
static int calls;
static int failing_call; /* number of the call that gets 503; 0: none */
static int ended;
static mr_error_kind_t last_error;
static int64_t last_version;
static char last_keys[ROWS + 1][16];
static size_t last_count;

/* Answers with one page of rows, starting at the requested key. */
static void
on_call(struct evhttp_request *req, void *ctx)
{
    struct evbuffer *out = evhttp_request_get_output_buffer(req);
    struct evkeyvalq query;
    int written = 0;
    int i = 0;

    (void)ctx;
    if (++calls == failing_call) {
        evhttp_send_reply(req, 503, NULL, NULL);
        return;
    }
    evhttp_parse_query_str(
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &query);
    const char *from = evhttp_find_header(&query, "from");
    while (from != NULL && i < ROWS && strcmp(keys[i], from) < 0) {
        i++;
    }
    evbuffer_add_printf(out, "{\"ver\":%d,\"rows\":[", 40 + calls);
    for (; i < ROWS && written < PAGE_ROWS; i++) {
        evbuffer_add_printf(out,
                            "%s{\"table\":\"t\",\"part\":\"\",\"key\":\"%s\","
                            "\"ver\":7,\"value\":\"YQ==\"}",
                            written++ > 0 ? "," : "", keys[i]);
    }
    evbuffer_add_printf(out, "],\"has_more\":%s}",
                        i < ROWS ? "true" : "false");
    evhttp_clear_headers(&query);
    evhttp_send_reply(req, 200, NULL, NULL);
}

static void
set_up(void)
{
    char address[32];
    struct sockaddr_in addr = {0};
    socklen_t len = sizeof(addr);

    base = event_base_new();
    counters = mr_counters_create();
    server = evhttp_new(base);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(server, "127.0.0.1", 0);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&addr,
                &len);
    snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(addr.sin_port));
    evhttp_set_gencb(server, on_call, NULL);
    store = mr_store_create(&(mr_store_options_t){
        .base = base, .counters = counters, .address = address});
    ck_assert_ptr_nonnull(store);
}

static void
tear_down(void)
{
    mr_store_destroy(store);
    evhttp_free(server);
    mr_counters_destroy(counters);
    event_base_free(base);
}

static void
on_rows(void *ctx, const mr_store_answer_t *answer)
{
    (void)ctx;
    ended++;
    last_error = answer->error;
    last_version = answer->version;
    last_count = answer->count;
    for (size_t i = 0; i < answer->count && i <= ROWS; i++) {
        snprintf(last_keys[i], sizeof(last_keys[i]), "%s",
                 answer->rows[i].key);
    }
    event_base_loopbreak(base);
}

static void
read_all(void)
{
    struct timeval tv = mr_clock_timeval(READ_TIMEOUT_MS);

    mr_store_get(store, "t", NULL, on_rows, NULL);
    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
    ck_assert_int_eq(ended, 1);
}

START_TEST(test_all_pages_are_read)
{
    read_all();
    ck_assert_int_eq(last_error, MR_OK);
    ck_assert_int_eq(calls, 3);
    ck_assert_uint_eq(last_count, ROWS);
    for (int i = 0; i < ROWS; i++) {
        ck_assert_str_eq(last_keys[i], keys[i]);
    }
    /* The version of the first page: a feed that starts from it includes the
     * changes made between the pages. */
    ck_assert_int_eq(last_version, 41);
}
END_TEST

/* Some of the rows must not be reported as all of them. */
START_TEST(test_a_page_that_fails_fails_the_read)
{
    failing_call = 2;
    read_all();
    ck_assert_int_eq(last_error, MR_ERR_UNAVAILABLE);
    ck_assert_uint_eq(last_count, 0);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_all_pages_are_read,
        test_a_page_that_fails_fails_the_read,
    };

    return RUN_TESTS(tests, .suite = "platform_store", .setup = set_up,
                     .teardown = tear_down);
}
