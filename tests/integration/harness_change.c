#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/json.h"
#include "common/mem.h"
#include "config/change.h"
#include "harness.h"

enum {
    PLATFORM_TIMEOUT_MS = 3000,
    APPROVER_KEY_BYTES = 32,
    RETRY_INTERVAL_MS = 50
};

struct harness_operator {
    harness_t *harness;
    mr_counters_t *counters;
    mr_platform_t *platform;
    mr_change_t *change;
    bool pending; /* a step is in progress */
    mr_error_kind_t error;
    char message[512];
};

harness_operator_t *
harness_operator_open(harness_t *h, const char *who)
{
    harness_operator_t *op = MR_NEW(harness_operator_t);
    uint8_t key[APPROVER_KEY_BYTES];
    size_t len = 0;

    op->harness = h;
    op->counters = mr_counters_create();
    mr_platform_options_t platform = {.base = h->base,
                                      .counters = op->counters,
                                      .address = h->platform.address,
                                      .timeout = PLATFORM_TIMEOUT_MS};
    op->platform = mr_platform_create(&platform);
    sodium_hex2bin(key, sizeof(key), h->approver_public,
                   strlen(h->approver_public), NULL, &len, NULL);
    ck_assert_uint_eq(len, sizeof(key));
    mr_change_options_t change = {
        .platform = op->platform, .who = who, .approver_key = key};
    op->change = mr_change_create(&change);
    ck_assert_ptr_nonnull(op->change);
    return op;
}

void
harness_operator_close(harness_operator_t *op)
{
    mr_change_destroy(op->change);
    mr_platform_destroy(op->platform);
    mr_counters_destroy(op->counters);
    free(op);
}

static void
on_step(void *ctx, mr_error_kind_t error, const char *message, json_t *state)
{
    harness_operator_t *op = ctx;

    (void)state;
    op->pending = false;
    op->error = error;
    snprintf(op->message, sizeof(op->message), "%s", message);
}

mr_error_kind_t
harness_operator_wait(harness_operator_t *op)
{
    while (op->pending) {
        harness_run_loop(op->harness->base, 2);
    }
    return op->error;
}

void
harness_propose(harness_operator_t *op, mr_op_t *config, int64_t version)
{
    mr_json_problem_t problem;

    mr_op_set_version(config, version);
    char *text = mr_op_print(config);
    ck_assert_ptr_nonnull(text);
    json_t *document = mr_json_parse(text, strlen(text), &problem);
    ck_assert_ptr_nonnull(document);
    op->pending = true;
    mr_change_propose(op->change, document, NULL, on_step, op);
    json_decref(document);
    free(text);
}

void
harness_approve(harness_operator_t *op, mr_op_t *config, int64_t version)
{
    char hash[MR_OP_HASH_BYTES];
    char approval[MR_OP_APPROVAL_BYTES];

    mr_op_set_version(config, version);
    char *text = mr_op_print(config);
    ck_assert_ptr_nonnull(text);
    mr_op_hash(text, strlen(text), hash);
    free(text);
    ck_assert(
        mr_op_approve(op->harness->approver_secret, version, hash, approval));
    op->pending = true;
    mr_change_approve(op->change, version, approval, on_step, op);
}

void
harness_veto(harness_operator_t *op, int64_t version)
{
    op->pending = true;
    mr_change_veto(op->change, version, "test", on_step, op);
}

void
harness_accept(harness_operator_t *op, int64_t version, const char *without)
{
    op->pending = true;
    mr_change_accept(op->change, version, &without, without == NULL ? 0 : 1,
                     NULL, on_step, op);
}

/* Returns whether a step that ended with @error is to be repeated: its outcome
 * is unknown, the platform was unreachable, or data centres have not confirmed
 * yet. */
static bool
is_retryable(mr_error_kind_t error)
{
    return error == MR_ERR_OUTCOME_UNKNOWN || error == MR_ERR_UNAVAILABLE
           || error == MR_ERR_CONFIG_STALE;
}

void
harness_stage(harness_operator_t *op)
{
    harness_t *h = op->harness;
    int64_t version = h->version + 1;

    do {
        harness_propose(op, h->config, version);
    } while (is_retryable(harness_operator_wait(op)));
    ck_assert_msg(op->error == MR_OK, "propose: %s", op->message);
    do {
        harness_approve(op, h->config, version);
    } while (is_retryable(harness_operator_wait(op)));
    ck_assert_msg(op->error == MR_OK, "approve: %s", op->message);
}

void
harness_accept_staged(harness_operator_t *op, const char *without, mr_ms_t max)
{
    harness_t *h = op->harness;
    mr_ms_t end = mr_clock_now(NULL) + max;

    harness_accept(op, h->version + 1, without);
    while (is_retryable(harness_operator_wait(op))
           && mr_clock_now(NULL) < end) {
        harness_run_loop(h->base, RETRY_INTERVAL_MS);
        harness_accept(op, h->version + 1, without);
    }
    ck_assert_msg(op->error == MR_OK, "accept: %s", op->message);
    h->version++;
    harness_trace(h, "accepted",
                  json_pack("{s:I}", "version", (json_int_t)h->version));
}
