/* Tests reads from the store that take more than one page: no row may be
 * missing or delivered twice. Guards also against answers and conditions from
 * before the store was restored from an older copy. */

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

enum { ROWS = 5, PAGE_ROWS = 2, READ_TIMEOUT_MS = 3000, CALLS_MAX = 8 };

static const char *const keys[ROWS] = {"a", "a b", "a/b", "b", "z"};

static struct event_base *base;
static mr_counters_t *counters;
static struct evhttp *server;
static mr_store_t *store;
static int calls;
static int failing_call; /* number of the call that gets 503; 0: none */
static bool odd_row;     /* the first page ends with a row of another writer */
static const char *eras[CALLS_MAX]; /* header of the answer to each call */
static int eras_reported;
static int64_t last_era;
static mr_revision_t last_written;
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
    if (calls < CALLS_MAX && eras[calls] != NULL) {
        evhttp_add_header(evhttp_request_get_output_headers(req), "Store-Era",
                          eras[calls]);
    }
    if (++calls == failing_call) {
        evhttp_send_reply(req, 503, NULL, NULL);
        return;
    }
    if (evhttp_request_get_command(req) == EVHTTP_REQ_POST) {
        evbuffer_add_printf(out, "{\"ver\":%d}", 40 + calls);
        evhttp_send_reply(req, 200, NULL, NULL);
        return;
    }
    evhttp_parse_query_str(
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req)), &query);
    const char *from = evhttp_find_header(&query, "from");
    while (from != NULL && i < ROWS && strcmp(keys[i], from) < 0) {
        i++;
    }
    bool after_odd_row =
        strstr(evhttp_request_get_uri(req), "from=a%20b%00z%01") != NULL;
    i += after_odd_row;
    evbuffer_add_printf(out, "{\"ver\":%d,\"rows\":[", 40 + calls);
    for (; i < ROWS && written < PAGE_ROWS; i++) {
        evbuffer_add_printf(out,
                            "%s{\"table\":\"t\",\"part\":\"\",\"key\":\"%s\","
                            "\"ver\":7,\"value\":\"YQ==\"}",
                            written++ > 0 ? "," : "", keys[i]);
    }
    if (odd_row && calls == 1) {
        evbuffer_add_printf(out, ",{\"table\":\"t\",\"part\":\"\","
                                 "\"key\":\"a b\\u0000z\",\"ver\":7,"
                                 "\"value\":\"YQ==\"}");
    }
    evbuffer_add_printf(out, "],\"has_more\":%s}",
                        i < ROWS ? "true" : "false");
    evhttp_clear_headers(&query);
    evhttp_send_reply(req, 200, NULL, NULL);
}

static void
on_era(void *ctx, int64_t era)
{
    (void)ctx;
    eras_reported++;
    last_era = era;
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
    mr_store_on_era(store, on_era, NULL);
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
    last_version = answer->revision.version;
    last_count = answer->count;
    for (size_t i = 0; i < answer->count && i <= ROWS; i++) {
        snprintf(last_keys[i], sizeof(last_keys[i]), "%s",
                 answer->rows[i].key);
    }
    event_base_loopbreak(base);
}

static void
run_until_ended(int count)
{
    while (ended < count) {
        struct timeval tv = mr_clock_timeval(READ_TIMEOUT_MS);
        int before = ended;
        event_base_loopexit(base, &tv);
        event_base_dispatch(base);
        ck_assert_int_gt(ended, before);
    }
    ck_assert_int_eq(ended, count);
}

static void
read_all(void)
{
    ended = 0;
    mr_store_get(store, "t", NULL, on_rows, NULL);
    run_until_ended(1);
}

static void
on_written(void *ctx, mr_error_kind_t error, mr_revision_t revision)
{
    (void)ctx;
    ended++;
    last_error = error;
    last_written = revision;
    event_base_loopbreak(base);
}

static void
put(mr_revision_t expect)
{
    ended = 0;
    mr_store_put(store, "t", "a", expect, "x", 1, on_written, NULL);
    ck_assert_int_eq(ended, 0);
    run_until_ended(1);
}

static void
set_eras(const char *const *list)
{
    for (int i = 0; list[i] != NULL; i++) {
        eras[i] = list[i];
    }
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

/* Guards against a row of another writer that stops the reading of all rows:
 * its key has a NUL byte. */
START_TEST(test_a_key_with_a_nul_byte_hides_no_other_row)
{
    odd_row = true;
    read_all();
    ck_assert_int_eq(last_error, MR_OK);
    ck_assert_int_eq(calls, 3);
    ck_assert_uint_eq(last_count, ROWS);
    for (int i = 0; i < ROWS; i++) {
        ck_assert_str_eq(last_keys[i], keys[i]);
    }
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

/* Refusals tell the era, too. */
START_TEST(test_each_rise_of_the_era_is_reported_once)
{
    set_eras((const char *[]){"3", "3", "3", "5", "5", "5", "5", NULL});
    read_all();
    ck_assert_int_eq(eras_reported, 0);
    ck_assert_int_eq(mr_store_era(store), 3);
    failing_call = 4;
    read_all();
    ck_assert_int_eq(last_error, MR_ERR_UNAVAILABLE);
    read_all();
    ck_assert_int_eq(last_error, MR_OK);
    ck_assert_int_eq(eras_reported, 1);
    ck_assert_int_eq(last_era, 5);
    ck_assert_int_eq(mr_counter_value(mr_counters_get(
                         counters, "masticrelay_store_era", "", "")),
                     5);
}
END_TEST

START_TEST(test_a_read_across_a_restoration_fails)
{
    set_eras((const char *[]){"1", "2", "2", "2", "2", NULL});
    read_all();
    ck_assert_int_eq(last_error, MR_ERR_UNAVAILABLE);
    ck_assert_uint_eq(last_count, 0);
    read_all();
    ck_assert_int_eq(last_error, MR_OK);
    ck_assert_uint_eq(last_count, ROWS);
}
END_TEST

START_TEST(test_an_answer_from_before_a_restoration_is_not_delivered)
{
    set_eras((const char *[]){"2", "2", "2", "1", "1", "1", NULL});
    read_all();
    ck_assert_int_eq(last_error, MR_OK);
    read_all();
    ck_assert_int_eq(last_error, MR_ERR_UNAVAILABLE);
    ck_assert_uint_eq(last_count, 0);
    ck_assert_int_eq(mr_store_era(store), 2);
    put((mr_revision_t){0});
    ck_assert_int_eq(last_error, MR_ERR_OUTCOME_UNKNOWN);
    ck_assert_int_eq(eras_reported, 0);
}
END_TEST

START_TEST(test_a_malformed_era_is_counted_and_ignored)
{
    set_eras((const char *[]){"x", "-7", "99999999999999999999", "4", "4", "4",
                              NULL});
    read_all();
    ck_assert_int_eq(last_error, MR_OK);
    ck_assert_int_eq(mr_store_era(store), 0);
    ck_assert_int_eq(
        mr_counter_value(mr_counters_get(
            counters, "masticrelay_store_eras_malformed_total", "", "")),
        3);
    read_all();
    ck_assert_int_eq(last_error, MR_OK);
    ck_assert_int_eq(mr_store_era(store), 4);
    ck_assert_int_eq(eras_reported, 0);
}
END_TEST

START_TEST(test_a_condition_from_before_a_restoration_is_not_sent)
{
    set_eras((const char *[]){"1", "1", "2", "2", NULL});
    put((mr_revision_t){0});
    ck_assert_int_eq(last_error, MR_OK);
    ck_assert_int_eq(last_written.era, 1);
    ck_assert_int_eq(last_written.version, 41);
    mr_revision_t before = last_written;
    put(before);
    ck_assert_int_eq(last_error, MR_OK);
    /* The store evaluates this condition after it was restored. */
    put(before);
    ck_assert_int_eq(last_error, MR_ERR_OUTCOME_UNKNOWN);
    ck_assert_int_eq(last_written.version, 0);
    put(before);
    ck_assert_int_eq(last_error, MR_ERR_CONFLICT);
    ck_assert_int_eq(last_written.version, 0);
    ck_assert_int_eq(calls, 3);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_all_pages_are_read,
        test_a_key_with_a_nul_byte_hides_no_other_row,
        test_a_page_that_fails_fails_the_read,
        test_each_rise_of_the_era_is_reported_once,
        test_a_read_across_a_restoration_fails,
        test_an_answer_from_before_a_restoration_is_not_delivered,
        test_a_malformed_era_is_counted_and_ignored,
        test_a_condition_from_before_a_restoration_is_not_sent,
    };

    return RUN_TESTS(tests, .suite = "platform_store", .setup = set_up,
                     .teardown = tear_down);
}
