/* Guards against a request that runs twice under one id, and against answers
 * that are given for an id nobody remembers. */

#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "entry/reqid.h"

enum { PENDING_MAX = 4 };

typedef struct bench {
    struct event_base *base;
    mr_counters_t *counters;
    mr_seal_t *seal;
    mr_clock_t clock;
    mr_reqid_t *reqid;
    int runs;
    mr_execute_fn_t pending[PENDING_MAX];
    void *pending_ctx[PENDING_MAX];
    int answers;
    mr_error_kind_t last;
    char result[32];
} bench_t;

static void
on_run(void *run_ctx, const mr_msg_execute_t *msg, mr_execute_fn_t fn,
       void *ctx)
{
    bench_t *bench = run_ctx;

    ck_assert_str_eq(msg->request_id, "");
    ck_assert_int_lt(bench->runs, PENDING_MAX);
    bench->pending[bench->runs] = fn;
    bench->pending_ctx[bench->runs] = ctx;
    bench->runs++;
}

static void
on_answer(void *ctx, const mr_msg_execute_reply_t *reply)
{
    bench_t *bench = ctx;

    bench->answers++;
    bench->last = (mr_error_kind_t)reply->error;
    snprintf(bench->result, sizeof(bench->result), "%.*s",
             (int)reply->result.len, (const char *)reply->result.data);
}

static void
open_reqid(bench_t *bench, int64_t incarnation)
{
    mr_reqid_options_t options = {.base = bench->base,
                                  .clock = &bench->clock,
                                  .counters = bench->counters,
                                  .seal = bench->seal,
                                  .name = "i1",
                                  .address = "127.0.0.1:7300",
                                  .incarnation = incarnation,
                                  .run = on_run,
                                  .run_ctx = bench};

    bench->reqid = mr_reqid_create(&options);
}

static void
open_bench(bench_t *bench)
{
    uint8_t secret[MR_SEAL_SECRET_BYTES] = {1};

    memset(bench, 0, sizeof(*bench));
    bench->clock.kind = MR_CLOCK_MANUAL;
    bench->clock.u.manual.now = 1000;
    bench->base = event_base_new();
    bench->counters = mr_counters_create();
    bench->seal = mr_seal_create(secret, MR_SEAL_REQUEST_ID);
    open_reqid(bench, 1);
}

static void
close_bench(bench_t *bench)
{
    mr_reqid_destroy(bench->reqid);
    mr_seal_destroy(bench->seal);
    mr_counters_destroy(bench->counters);
    event_base_free(bench->base);
}

static void
execute(bench_t *bench, const char *account, const char *id,
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
    mr_reqid_execute(bench->reqid, &msg, on_answer, bench);
}

static void
complete(bench_t *bench, int run, mr_error_kind_t error, const char *result)
{
    mr_msg_execute_reply_t reply;

    mr_execute_reply_init(&reply, error, "");
    reply.result = (mr_bytes_t){result, strlen(result)};
    bench->pending[run](bench->pending_ctx[run], &reply);
}

START_TEST(test_repeat_is_answered_from_the_record)
{
    bench_t bench;

    open_bench(&bench);
    char *id = mr_reqid_issue(bench.reqid, "a");
    execute(&bench, "a", id, "{}");
    execute(&bench, "a", id, "{}");
    ck_assert_int_eq(bench.runs, 1);
    complete(&bench, 0, MR_OK, "1");
    ck_assert_int_eq(bench.answers, 2);
    execute(&bench, "a", id, "{}");
    ck_assert_int_eq(bench.runs, 1);
    ck_assert_int_eq(bench.answers, 3);
    ck_assert_int_eq(bench.last, MR_OK);
    ck_assert_str_eq(bench.result, "1");
    free(id);
    close_bench(&bench);
}
END_TEST

START_TEST(test_unknown_outcome_is_not_run_again)
{
    bench_t bench;

    open_bench(&bench);
    char *id = mr_reqid_issue(bench.reqid, "a");
    execute(&bench, "a", id, "{}");
    complete(&bench, 0, MR_ERR_OUTCOME_UNKNOWN, "");
    execute(&bench, "a", id, "{}");
    ck_assert_int_eq(bench.runs, 1);
    ck_assert_int_eq(bench.last, MR_ERR_OUTCOME_UNKNOWN);
    free(id);
    close_bench(&bench);
}
END_TEST

START_TEST(test_refused_request_may_run_later)
{
    bench_t bench;

    open_bench(&bench);
    char *id = mr_reqid_issue(bench.reqid, "a");
    execute(&bench, "a", id, "{}");
    complete(&bench, 0, MR_ERR_NO_PRIMARY, "");
    execute(&bench, "a", id, "{}");
    ck_assert_int_eq(bench.runs, 2);
    free(id);
    close_bench(&bench);
}
END_TEST

START_TEST(test_restarted_instance_does_not_run_old_ids)
{
    bench_t bench;

    open_bench(&bench);
    char *id = mr_reqid_issue(bench.reqid, "a");
    mr_reqid_destroy(bench.reqid);
    open_reqid(&bench, 2);
    execute(&bench, "a", id, "{}");
    ck_assert_int_eq(bench.runs, 0);
    ck_assert_int_eq(bench.last, MR_ERR_REQUEST_ID_EXPIRED);
    free(id);
    close_bench(&bench);
}
END_TEST

/* The record goes when the id expires, so the id must be refused from then
 * on. */
START_TEST(test_expired_id_does_not_run)
{
    bench_t bench;

    open_bench(&bench);
    char *id = mr_reqid_issue(bench.reqid, "a");
    bench.clock.u.manual.now += 120000;
    execute(&bench, "a", id, "{}");
    ck_assert_int_eq(bench.runs, 0);
    ck_assert_int_eq(bench.last, MR_ERR_REQUEST_ID_EXPIRED);
    free(id);
    close_bench(&bench);
}
END_TEST

START_TEST(test_id_belongs_to_its_account_and_request)
{
    bench_t bench;

    open_bench(&bench);
    char *id = mr_reqid_issue(bench.reqid, "a");
    execute(&bench, "b", id, "{}");
    ck_assert_int_eq(bench.runs, 0);
    ck_assert_int_eq(bench.last, MR_ERR_INVALID_REQUEST_ID);
    execute(&bench, "a", id, "{}");
    complete(&bench, 0, MR_OK, "1");
    execute(&bench, "a", id, "{\"other\":1}");
    ck_assert_int_eq(bench.runs, 1);
    ck_assert_int_eq(bench.last, MR_ERR_INVALID_REQUEST_ID);
    execute(&bench, "a", "made up", "{}");
    ck_assert_int_eq(bench.last, MR_ERR_INVALID_REQUEST_ID);
    free(id);
    close_bench(&bench);
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
                                  test_id_belongs_to_its_account_and_request};

    return RUN_TESTS(tests, .suite = "reqid");
}
