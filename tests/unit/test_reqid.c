/* Request ids: a request never runs twice under the same id, and an id whose
 * record is lost is refused. */

#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "entry/reqid.h"

enum { PENDING_MAX = 4 };

typedef struct fixture {
    struct event_base *base;
    mr_counters_t *counters;
    mr_seal_t *seal;
    mr_clock_t clock;
    mr_reqid_t *reqid;
    int run_count;
    mr_execute_fn_t pending[PENDING_MAX];
    void *pending_ctx[PENDING_MAX];
    int answer_count;
    mr_error_kind_t last_error;
    char last_result[32];
} fixture_t;

static void
on_run(void *run_ctx, const mr_msg_execute_t *msg, mr_execute_fn_t fn,
       void *ctx)
{
    fixture_t *fixture = run_ctx;

    ck_assert_str_eq(msg->request_id, "");
    ck_assert_int_lt(fixture->run_count, PENDING_MAX);
    fixture->pending[fixture->run_count] = fn;
    fixture->pending_ctx[fixture->run_count] = ctx;
    fixture->run_count++;
}

static void
on_answer(void *ctx, const mr_msg_execute_reply_t *reply)
{
    fixture_t *fixture = ctx;

    fixture->answer_count++;
    fixture->last_error = (mr_error_kind_t)reply->error;
    snprintf(fixture->last_result, sizeof(fixture->last_result), "%.*s",
             (int)reply->result.len, (const char *)reply->result.data);
}

static void
create_reqid(fixture_t *fixture, int64_t incarnation)
{
    mr_reqid_options_t options = {.base = fixture->base,
                                  .clock = &fixture->clock,
                                  .counters = fixture->counters,
                                  .seal = fixture->seal,
                                  .name = "i1",
                                  .address = "127.0.0.1:7300",
                                  .incarnation = incarnation,
                                  .run = on_run,
                                  .run_ctx = fixture};

    fixture->reqid = mr_reqid_create(&options);
}

static void
open_fixture(fixture_t *fixture)
{
    uint8_t secret[MR_SEAL_SECRET_BYTES] = {1};

    memset(fixture, 0, sizeof(*fixture));
    fixture->clock.kind = MR_CLOCK_MANUAL;
    fixture->clock.u.manual.now = 1000;
    fixture->base = event_base_new();
    fixture->counters = mr_counters_create();
    fixture->seal = mr_seal_create(secret, MR_SEAL_REQUEST_ID);
    create_reqid(fixture, 1);
}

static void
close_fixture(fixture_t *fixture)
{
    mr_reqid_destroy(fixture->reqid);
    mr_seal_destroy(fixture->seal);
    mr_counters_destroy(fixture->counters);
    event_base_free(fixture->base);
}

static void
execute(fixture_t *fixture, const char *account, const char *id,
        const char *statement)
{
    mr_msg_execute_t msg = {.account = account,
                            .group = "g",
                            .target = "",
                            .request_id = id,
                            .transaction = "",
                            .access = MR_ACCESS_WRITE,
                            .deadline_ms = 1000};

    msg.statement = (mr_bytes_t){statement, strlen(statement)};
    mr_reqid_execute(fixture->reqid, &msg, on_answer, fixture);
}

static void
complete_run(fixture_t *fixture, int run, mr_error_kind_t error,
             const char *result)
{
    mr_msg_execute_reply_t reply;

    mr_execute_reply_init(&reply, error, "");
    reply.result = (mr_bytes_t){result, strlen(result)};
    fixture->pending[run](fixture->pending_ctx[run], &reply);
}

START_TEST(test_repeat_is_answered_from_the_record)
{
    fixture_t fixture;

    open_fixture(&fixture);
    char *id = mr_reqid_issue(fixture.reqid, "a");
    execute(&fixture, "a", id, "{}");
    execute(&fixture, "a", id, "{}");
    ck_assert_int_eq(fixture.run_count, 1);
    complete_run(&fixture, 0, MR_OK, "1");
    ck_assert_int_eq(fixture.answer_count, 2);
    execute(&fixture, "a", id, "{}");
    ck_assert_int_eq(fixture.run_count, 1);
    ck_assert_int_eq(fixture.answer_count, 3);
    ck_assert_int_eq(fixture.last_error, MR_OK);
    ck_assert_str_eq(fixture.last_result, "1");
    free(id);
    close_fixture(&fixture);
}
END_TEST

START_TEST(test_unknown_outcome_is_not_run_again)
{
    fixture_t fixture;

    open_fixture(&fixture);
    char *id = mr_reqid_issue(fixture.reqid, "a");
    execute(&fixture, "a", id, "{}");
    complete_run(&fixture, 0, MR_ERR_OUTCOME_UNKNOWN, "");
    execute(&fixture, "a", id, "{}");
    ck_assert_int_eq(fixture.run_count, 1);
    ck_assert_int_eq(fixture.last_error, MR_ERR_OUTCOME_UNKNOWN);
    free(id);
    close_fixture(&fixture);
}
END_TEST

START_TEST(test_refused_request_may_run_later)
{
    fixture_t fixture;

    open_fixture(&fixture);
    char *id = mr_reqid_issue(fixture.reqid, "a");
    execute(&fixture, "a", id, "{}");
    complete_run(&fixture, 0, MR_ERR_NO_PRIMARY, "");
    execute(&fixture, "a", id, "{}");
    ck_assert_int_eq(fixture.run_count, 2);
    free(id);
    close_fixture(&fixture);
}
END_TEST

START_TEST(test_restarted_instance_does_not_run_old_ids)
{
    fixture_t fixture;

    open_fixture(&fixture);
    char *id = mr_reqid_issue(fixture.reqid, "a");
    mr_reqid_destroy(fixture.reqid);
    create_reqid(&fixture, 2);
    execute(&fixture, "a", id, "{}");
    ck_assert_int_eq(fixture.run_count, 0);
    ck_assert_int_eq(fixture.last_error, MR_ERR_REQUEST_ID_EXPIRED);
    free(id);
    close_fixture(&fixture);
}
END_TEST

/* The record of an id is removed when the id expires, so the id must be
 * refused from then on. */
START_TEST(test_expired_id_does_not_run)
{
    fixture_t fixture;

    open_fixture(&fixture);
    char *id = mr_reqid_issue(fixture.reqid, "a");
    fixture.clock.u.manual.now += 120000;
    execute(&fixture, "a", id, "{}");
    ck_assert_int_eq(fixture.run_count, 0);
    ck_assert_int_eq(fixture.last_error, MR_ERR_REQUEST_ID_EXPIRED);
    free(id);
    close_fixture(&fixture);
}
END_TEST

START_TEST(test_id_belongs_to_its_account_and_request)
{
    fixture_t fixture;

    open_fixture(&fixture);
    char *id = mr_reqid_issue(fixture.reqid, "a");
    execute(&fixture, "b", id, "{}");
    ck_assert_int_eq(fixture.run_count, 0);
    ck_assert_int_eq(fixture.last_error, MR_ERR_INVALID_REQUEST_ID);
    execute(&fixture, "a", id, "{}");
    complete_run(&fixture, 0, MR_OK, "1");
    execute(&fixture, "a", id, "{\"other\":1}");
    ck_assert_int_eq(fixture.run_count, 1);
    ck_assert_int_eq(fixture.last_error, MR_ERR_INVALID_REQUEST_ID);
    execute(&fixture, "a", "made up", "{}");
    ck_assert_int_eq(fixture.last_error, MR_ERR_INVALID_REQUEST_ID);
    free(id);
    close_fixture(&fixture);
}
END_TEST

/* Issues an id and runs a request with it; returns the id. */
static char *
run_request(fixture_t *fixture, const char *result)
{
    char *id = mr_reqid_issue(fixture->reqid, "a");

    fixture->run_count = 0;
    execute(fixture, "a", id, "{}");
    complete_run(fixture, 0, MR_OK, result);
    return id;
}

START_TEST(test_stored_results_are_bounded_in_bytes)
{
    enum { RESULT_BYTES = 60 << 10, REQUESTS = 2000, BOUND = 64 << 20 };
    fixture_t fixture;
    char *ids[REQUESTS];
    char *result = malloc(RESULT_BYTES + 1);
    size_t stored = 0;

    memset(result, '1', RESULT_BYTES);
    result[RESULT_BYTES] = '\0';
    open_fixture(&fixture);
    for (int i = 0; i < REQUESTS; i++) {
        ids[i] = run_request(&fixture, result);
    }
    fixture.run_count = 0;
    for (int i = 0; i < REQUESTS; i++) {
        execute(&fixture, "a", ids[i], "{}");
        ck_assert_int_eq(fixture.last_error, MR_OK);
        stored += fixture.last_result[0] == '1' ? RESULT_BYTES : 0;
        free(ids[i]);
    }
    ck_assert_int_eq(fixture.run_count, 0);
    ck_assert_uint_le(stored, BOUND);
    ck_assert_uint_gt(stored, BOUND - 2 * RESULT_BYTES);
    /* Records that expired make room. */
    fixture.clock.u.manual.now += 120000;
    event_base_loopexit(fixture.base, &(struct timeval){.tv_sec = 2});
    event_base_dispatch(fixture.base);
    char *id = run_request(&fixture, result);
    execute(&fixture, "a", id, "{}");
    ck_assert_int_eq(fixture.last_result[0], '1');
    free(id);
    free(result);
    close_fixture(&fixture);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_repeat_is_answered_from_the_record,
                                  test_unknown_outcome_is_not_run_again,
                                  test_refused_request_may_run_later,
                                  test_restarted_instance_does_not_run_old_ids,
                                  test_expired_id_does_not_run,
                                  test_id_belongs_to_its_account_and_request,
                                  test_stored_results_are_bounded_in_bytes};

    return RUN_TESTS(tests, .suite = "reqid");
}
