/* Tests the platform client. A call must end exactly once, and its error must
 * not misreport whether a write took effect. */

#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "platform/platform.h"
#include "platform_process.h"

enum { TIMEOUT_MS = 200 };

typedef struct client {
    struct event_base *base;
    mr_counters_t *counters;
    mr_platform_t *platform;
    platform_process_t process;
    int ended; /* calls that have ended */
    /* Result of the last call. */
    mr_error_kind_t error;
    int64_t revision;
    char text[256];
} client_t;

static void
on_row(void *ctx, mr_error_kind_t error, int64_t revision, json_t *value)
{
    client_t *client = ctx;
    char *text = value == NULL ? NULL : json_dumps(value, JSON_COMPACT);

    client->ended++;
    client->error = error;
    client->revision = revision;
    snprintf(client->text, sizeof(client->text), "%s", text ? text : "");
    free(text);
}

static void
on_json(void *ctx, mr_error_kind_t error, json_t *value)
{
    on_row(ctx, error, 0, value);
}

static void
on_object(void *ctx, mr_error_kind_t error, const void *data, size_t len)
{
    client_t *client = ctx;

    client->ended++;
    client->error = error;
    snprintf(client->text, sizeof(client->text), "%.*s", (int)len,
             data ? (const char *)data : "");
}

static void
start(client_t *client)
{
    memset(client, 0, sizeof(*client));
    platform_process_start(&client->process);
    client->base = event_base_new();
    client->counters = mr_counters_create();
    mr_platform_options_t options = {.base = client->base,
                                     .counters = client->counters,
                                     .address = client->process.address,
                                     .timeout = TIMEOUT_MS};
    client->platform = mr_platform_create(&options);
    ck_assert_ptr_nonnull(client->platform);
}

static void
stop(client_t *client)
{
    mr_platform_destroy(client->platform);
    mr_counters_destroy(client->counters);
    event_base_free(client->base);
    platform_process_stop(&client->process);
}

/* Runs the event loop until @count calls have ended; fails after 2 s. */
static void
wait_for_calls(client_t *client, int count)
{
    for (int i = 0; i < 200 && client->ended < count; i++) {
        run_loop_for(client->base, 10);
    }
    ck_assert_int_eq(client->ended, count);
}

static void
put(client_t *client, const char *row, int64_t expect, const char *json)
{
    json_t *value = json_loads(json, 0, NULL);

    client->ended = 0;
    mr_platform_row_put(client->platform, row, expect, value, on_row, client);
    json_decref(value);
    ck_assert_int_eq(client->ended, 0);
    wait_for_calls(client, 1);
}

static void
get(client_t *client, const char *row)
{
    client->ended = 0;
    mr_platform_row_get(client->platform, row, on_row, client);
    ck_assert_int_eq(client->ended, 0);
    wait_for_calls(client, 1);
}

START_TEST(test_conditional_write_has_one_winner)
{
    client_t client;

    start(&client);
    put(&client, "config/head", 0, "{\"version\":1}");
    ck_assert_int_eq(client.error, MR_OK);
    int64_t revision = client.revision;
    put(&client, "config/head", 0, "{\"version\":2}");
    ck_assert_int_eq(client.error, MR_ERR_CONFLICT);
    ck_assert_int_eq(client.revision, revision);
    get(&client, "config/head");
    ck_assert_int_eq(client.error, MR_OK);
    ck_assert_str_eq(client.text, "{\"version\":1}");
    get(&client, "absent");
    ck_assert_int_eq(client.error, MR_ERR_NOT_FOUND);
    client.ended = 0;
    mr_platform_list_rows(client.platform, "config/", on_json, &client);
    wait_for_calls(&client, 1);
    ck_assert_str_eq(client.text, "[{\"revision\":1,\"row\":\"config/head\","
                                  "\"value\":{\"version\":1}}]");
    stop(&client);
}
END_TEST

START_TEST(test_objects_are_immutable)
{
    client_t client;

    start(&client);
    mr_platform_object_put(client.platform, "audit/a b?", "one", 3, on_object,
                           &client);
    wait_for_calls(&client, 1);
    ck_assert_int_eq(client.error, MR_OK);
    mr_platform_object_put(client.platform, "audit/a b?", "one", 3, on_object,
                           &client);
    wait_for_calls(&client, 2);
    ck_assert_int_eq(client.error, MR_OK);
    mr_platform_object_put(client.platform, "audit/a b?", "two", 3, on_object,
                           &client);
    wait_for_calls(&client, 3);
    ck_assert_int_eq(client.error, MR_ERR_CONFLICT);
    mr_platform_object_get(client.platform, "audit/a b?", on_object, &client);
    wait_for_calls(&client, 4);
    ck_assert_str_eq(client.text, "one");
    mr_platform_list_objects(client.platform, "audit/", on_json, &client);
    wait_for_calls(&client, 5);
    ck_assert_str_eq(client.text, "[\"audit/a b?\"]");
    stop(&client);
}
END_TEST

START_TEST(test_instances_are_listed_with_their_state)
{
    client_t client;

    start(&client);
    mr_platform_register_instance(client.platform, "i1", "konya",
                                  "127.0.0.1:1", "leaving", on_json, &client);
    wait_for_calls(&client, 1);
    ck_assert_int_eq(client.error, MR_OK);
    mr_platform_list_instances(client.platform, on_json, &client);
    wait_for_calls(&client, 2);
    ck_assert_ptr_nonnull(strstr(client.text, "\"state\":\"leaving\""));
    ck_assert_ptr_nonnull(strstr(client.text, "\"name\":\"i1\""));
    stop(&client);
}
END_TEST

/* The client cannot know that a write whose reply is lost took effect, so it
 * must report neither failure nor success. */
START_TEST(test_lost_reply_is_unknown)
{
    client_t client;

    start(&client);
    platform_process_faults(&client.process, "{\"lose_replies\":1.0}");
    put(&client, "r", 0, "{\"a\":1}");
    ck_assert_int_eq(client.error, MR_ERR_OUTCOME_UNKNOWN);
    get(&client, "r");
    ck_assert_int_eq(client.error, MR_OK);
    ck_assert_str_eq(client.text, "{\"a\":1}");
    stop(&client);
}
END_TEST

START_TEST(test_outage_ends_calls_at_their_deadline)
{
    client_t client;

    start(&client);
    platform_process_faults(&client.process, "{\"down\":true}");
    mr_ms_t begin = mr_clock_now(NULL);
    get(&client, "r");
    ck_assert_int_eq(client.error, MR_ERR_UNAVAILABLE);
    ck_assert_int_lt(mr_clock_now(NULL) - begin, TIMEOUT_MS + 100);
    put(&client, "r", 0, "{}");
    ck_assert_int_eq(client.error, MR_ERR_OUTCOME_UNKNOWN);
    platform_process_faults(&client.process, "{\"down\":false}");
    get(&client, "r");
    ck_assert_int_eq(client.error, MR_ERR_NOT_FOUND);
    stop(&client);
}
END_TEST

START_TEST(test_refused_connection_leaves_writes_without_effect)
{
    client_t client;

    start(&client);
    get(&client, "r");
    platform_process_stop(&client.process);
    run_loop_for(client.base, 20);
    put(&client, "r", 0, "{}");
    ck_assert_int_eq(client.error, MR_ERR_UNAVAILABLE);
    stop(&client);
}
END_TEST

/* The queue is bounded, and each of its calls ends exactly once. */
START_TEST(test_full_queue_refuses_at_once)
{
    client_t client;
    enum { CALLS = 300 };

    start(&client);
    platform_process_faults(&client.process, "{\"down\":true}");
    for (int i = 0; i < CALLS; i++) {
        mr_platform_row_get(client.platform, "r", on_row, &client);
    }
    ck_assert_int_eq(client.ended, 0);
    run_loop_for(client.base, 50);
    ck_assert_int_eq(client.ended, CALLS - 256);
    wait_for_calls(&client, CALLS);
    ck_assert_int_eq(client.error, MR_ERR_UNAVAILABLE);
    platform_process_faults(&client.process, "{\"down\":false}");
    client.ended = 0;
    for (int i = 0; i < 200; i++) {
        mr_platform_row_get(client.platform, "r", on_row, &client);
    }
    wait_for_calls(&client, 200);
    ck_assert_int_eq(client.error, MR_ERR_NOT_FOUND);
    stop(&client);
}
END_TEST

/* A late answer must not be taken for the answer to the next call. */
START_TEST(test_late_answer_is_not_swapped)
{
    client_t client;

    start(&client);
    put(&client, "slow", 0, "{\"slow\":1}");
    put(&client, "fast", 0, "{\"fast\":1}");
    platform_process_faults(&client.process, "{\"delay_ms\":250}");
    get(&client, "slow");
    ck_assert_int_eq(client.error, MR_ERR_UNAVAILABLE);
    platform_process_faults(&client.process, "{\"delay_ms\":100}");
    get(&client, "fast");
    ck_assert_int_eq(client.error, MR_OK);
    ck_assert_str_eq(client.text, "{\"fast\":1}");
    stop(&client);
}
END_TEST

START_TEST(test_destroy_drops_open_calls)
{
    client_t client;

    start(&client);
    platform_process_faults(&client.process, "{\"down\":true}");
    for (int i = 0; i < 300; i++) {
        mr_platform_row_get(client.platform, "r", on_row, &client);
    }
    run_loop_for(client.base, 5);
    int ended = client.ended;
    mr_platform_destroy(client.platform);
    client.platform = NULL;
    run_loop_for(client.base, TIMEOUT_MS + 50);
    ck_assert_int_eq(client.ended, ended);
    stop(&client);
}
END_TEST

/* A restarted module must not receive callbacks of calls that it made before,
 * and the calls of other modules must continue. */
START_TEST(test_cancel_drops_the_calls_of_one_context)
{
    client_t client, other = {0};

    start(&client);
    platform_process_faults(&client.process, "{\"delay_ms\":50}");
    for (int i = 0; i < 20; i++) {
        mr_platform_row_get(client.platform, "r", on_row, &client);
        mr_platform_row_get(client.platform, "r", on_row, &other);
    }
    run_loop_for(client.base, 20);
    mr_platform_cancel(client.platform, &other);
    wait_for_calls(&client, 20);
    run_loop_for(client.base, 100);
    ck_assert_int_eq(other.ended, 0);
    get(&client, "r");
    ck_assert_int_eq(client.error, MR_ERR_NOT_FOUND);
    stop(&client);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_conditional_write_has_one_winner,
        test_objects_are_immutable,
        test_instances_are_listed_with_their_state,
        test_lost_reply_is_unknown,
        test_outage_ends_calls_at_their_deadline,
        test_refused_connection_leaves_writes_without_effect,
        test_full_queue_refuses_at_once,
        test_late_answer_is_not_swapped,
        test_destroy_drops_open_calls,
        test_cancel_drops_the_calls_of_one_context};

    return RUN_TESTS(tests, .suite = "platform");
}
