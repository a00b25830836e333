/* P13. Guards against an accepted configuration that is not applied, an
 * applied one that reverts, and one without an approval: racing operators,
 * lost replies, daemons restarted while the store is down, delayed messages,
 * and unapproved, vetoed and tampered changes. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/rows.h"
#include "harness.h"

enum {
    SEED = 1131,
    ROUNDS = 3,
    RESTARTS = 3, /* instances in konya */
    ACCEPT_MAX_MS = 15000,
    APPLIED_MAX_MS = 3000, /* same as in trace.c */
    TRACE_INTERVAL_MS = 100,
};

static const char *const data_centres[] = {"konya", "aksaray", NULL};

static harness_t *
start(void)
{
    static const harness_options_t options = {
        .data_centres = data_centres,
        .instances = 3,
        .rate = 1000,
        .burst = 1000,
        .connections = 40,
        .lag_ms = 5,
        .proxied = true,
        .trace = "config.jsonl",
    };

    return harness_start(&options);
}

static void
run_and_trace(harness_t *h, mr_ms_t duration)
{
    mr_ms_t end = mr_clock_now(NULL) + duration;

    while (mr_clock_now(NULL) < end) {
        harness_trace_versions(h);
        harness_run_loop(h->base, TRACE_INTERVAL_MS);
    }
}

static json_t *
read_row(harness_t *h, const char *row)
{
    char path[2 * HARNESS_NAME_BYTES];
    json_t *value = NULL;

    snprintf(path, sizeof(path), "/table/%s", row);
    harness_http(h->base, "GET", h->platform.address, path, NULL, NULL,
                 &value);
    return value;
}

/* Writes a row directly, unlike an operator; takes over the reference to
 * @value. */
static void
write_row(harness_t *h, const char *row, json_t *value)
{
    char path[2 * HARNESS_NAME_BYTES];
    json_t *current = read_row(h, row);
    json_int_t revision =
        json_integer_value(json_object_get(current, "revision"));
    json_t *put = json_pack("{s:I,s:o}", "expect", revision, "value", value);
    char *body = json_dumps(put, JSON_COMPACT);

    snprintf(path, sizeof(path), "/table/%s", row);
    ck_assert_int_eq(harness_http(h->base, "PUT", h->platform.address, path,
                                  NULL, body, NULL),
                     200);
    free(body);
    json_decref(put);
    json_decref(current);
}

/* Asserts that every daemon has applied the accepted version. */
static void
assert_applied(harness_t *h)
{
    const char *accepted = NULL;
    json_t *head = read_row(h, MR_CONFIG_ROW_HEAD);

    ck_assert_int_eq(
        json_unpack(head, "{s:{s:s}}", "value", "hash", &accepted), 0);
    for (size_t i = 0; i < h->instance_count; i++) {
        json_t *status = harness_status(h, &h->instances[i]);
        const char *hash = NULL;
        json_int_t version = 0;
        ck_assert_int_eq(json_unpack(status, "{s:{s:{s:s,s:I}}}", "config",
                                     "current", "hash", &hash, "version",
                                     &version),
                         0);
        ck_assert_msg(strcmp(hash, accepted) == 0 && version == h->version,
                      "%s has version %lld %s, accepted: %lld %s",
                      h->instances[i].process.name, (long long)version, hash,
                      (long long)h->version, accepted);
        json_decref(status);
    }
    json_decref(head);
}

static void
finish(harness_t *h)
{
    assert_applied(h);
    harness_check_and_end(h);
}

/* Returns a copy of the configuration with one more account. */
static mr_op_t *
copy_with_account(harness_t *h, const char *extra)
{
    char problem[MR_OP_PROBLEM_BYTES];
    char *text = mr_op_print(h->config);
    mr_op_t *op = mr_op_read(text, strlen(text), problem);
    const mr_op_account_t account = {extra, 7, 7, 1};

    ck_assert_ptr_nonnull(op);
    mr_op_account(op, &account);
    free(text);
    return op;
}

/* Returns whether @config, with @version, is the staged configuration. */
static bool
is_staged(harness_t *h, mr_op_t *config, int64_t version)
{
    char hash[MR_OP_HASH_BYTES];
    const char *staged = "";
    json_t *row = read_row(h, MR_CONFIG_ROW_STAGED);

    mr_op_set_version(config, version);
    char *text = mr_op_print(config);
    mr_op_hash(text, strlen(text), hash);
    free(text);
    json_unpack(row, "{s:{s:s}}", "value", "hash", &staged);
    bool same = strcmp(staged, hash) == 0;
    json_decref(row);
    return same;
}

/* Both operators propose, approve and accept at about the same time; one of
 * them wins. */
static void
race(harness_t *h, harness_operator_t *const ops[2], GRand *random, int round)
{
    int64_t version = h->version + 1;
    mr_op_t *configs[2];
    mr_error_kind_t results[2];
    int winner = 0;

    for (int i = 0; i < 2; i++) {
        char name[HARNESS_NAME_BYTES];
        snprintf(name, sizeof(name), "extra-%d-%d", round, i);
        configs[i] = copy_with_account(h, name);
        harness_propose(ops[i], configs[i], version);
        harness_run_loop(h->base, g_rand_int_range(random, 0, 8));
    }
    for (int i = 0; i < 2; i++) {
        results[i] = harness_operator_wait(ops[i]);
    }
    ck_assert_msg(results[0] != MR_OK || results[1] != MR_OK,
                  "both proposals won");
    for (int i = 0; i < 2; i++) {
        bool staged = is_staged(h, configs[i], version);
        ck_assert_msg(results[i] != MR_OK || staged,
                      "the winner is not staged");
        ck_assert_msg(results[i] != MR_ERR_CONFLICT || !staged,
                      "the loser is staged");
        if (staged) {
            mr_op_destroy(h->config);
            h->config = configs[i];
            winner = i;
        }
        else {
            mr_op_destroy(configs[i]);
        }
    }
    /* The winner stages again; for the other operator, proposing the same
     * content is a conflict. */
    harness_stage(ops[winner]);
    harness_accept(ops[1 - winner], version, NULL);
    harness_accept_staged(ops[winner], NULL, ACCEPT_MAX_MS);
    harness_operator_wait(ops[1 - winner]);
    run_and_trace(h, 700);
}

static void
run_races(const char *fault)
{
    harness_t *h = start();
    GRand *random = g_rand_new_with_seed(SEED);
    harness_operator_t *ops[2] = {harness_operator_open(h, "ayse"),
                                  harness_operator_open(h, "veli")};

    harness_set_platform_faults(h, fault);
    for (int i = 0; i < ROUNDS; i++) {
        race(h, ops, random, i);
    }
    harness_set_platform_faults(h, "{\"lose_replies\":0.0}");
    run_and_trace(h, APPLIED_MAX_MS);
    g_rand_free(random);
    harness_operator_close(ops[0]);
    harness_operator_close(ops[1]);
    finish(h);
}

START_TEST(test_racing_operators)
{
    run_races("{\"lose_replies\":0.0}");
}
END_TEST

START_TEST(test_lost_replies)
{
    run_races("{\"lose_replies\":0.15}");
}
END_TEST

static void
change_config(harness_t *h, harness_operator_t *op, const char *extra)
{
    const mr_op_account_t account = {extra, 7, 7, 1};

    mr_op_account(h->config, &account);
    harness_stage(op);
    harness_accept_staged(op, NULL, ACCEPT_MAX_MS);
}

START_TEST(test_restarts_without_store)
{
    harness_t *h = start();
    harness_operator_t *op = harness_operator_open(h, "ayse");

    change_config(h, op, "extra-1");
    run_and_trace(h, APPLIED_MAX_MS);
    assert_applied(h);
    harness_set_platform_faults(h, "{\"down\":true}");
    /* Restarts all instances of konya one by one, so that in the end only
     * restarted daemons can pass the version on. */
    for (size_t i = 0; i < RESTARTS; i++) {
        harness_process_kill(&h->instances[i].process);
        run_and_trace(h, 200);
        harness_process_start(&h->instances[i].process);
        run_and_trace(h, APPLIED_MAX_MS / 2);
    }
    run_and_trace(h, APPLIED_MAX_MS / 2);
    for (size_t i = 0; i < h->instance_count; i++) {
        json_t *status = harness_status(h, &h->instances[i]);
        json_int_t version = 0;
        json_unpack(status, "{s:{s:{s:I}}}", "config", "current", "version",
                    &version);
        ck_assert_msg(version == h->version, "%s has version %lld",
                      h->instances[i].process.name, (long long)version);
        json_decref(status);
    }
    harness_set_platform_faults(h, "{\"down\":false}");
    change_config(h, op, "extra-2");
    run_and_trace(h, APPLIED_MAX_MS + 500);
    harness_operator_close(op);
    finish(h);
}
END_TEST

/* Messages between daemons, and replies of the platform to one of them, are
 * delayed until two more versions have been accepted. */
START_TEST(test_delayed_messages)
{
    harness_t *h = start();
    harness_operator_t *op = harness_operator_open(h, "ayse");

    change_config(h, op, "extra-1");
    harness_set_link_faults(h, "konya--*", "{\"hold\":true}");
    harness_set_link_faults(h, "aksaray--konya.*", "{\"hold\":true}");
    harness_run_loop(h->base, 300);
    harness_set_link_faults(h, "konya-0--platform", "{\"hold\":true}");
    change_config(h, op, "extra-2");
    run_and_trace(h, 1000);
    harness_set_link_faults(h, "konya--*", "{\"hold\":false}");
    run_and_trace(h, 500);
    change_config(h, op, "extra-3");
    run_and_trace(h, 500);
    harness_set_link_faults(h, "aksaray--konya.*", "{\"hold\":false}");
    harness_set_link_faults(h, "konya-0--platform", "{\"hold\":false}");
    run_and_trace(h, APPLIED_MAX_MS + 500);
    harness_operator_close(op);
    finish(h);
}
END_TEST

/* Returns a head for the next version, signed with @secret for
 * @signed_version. With @edited, its object contains another valid
 * configuration. */
static json_t *
make_head(harness_t *h, const char *secret, int64_t signed_version,
          bool edited)
{
    mr_config_head_t head = {.version = h->version + 1};
    char path[2 * HARNESS_NAME_BYTES];
    mr_op_t *config = copy_with_account(h, "forged");
    mr_op_t *other = copy_with_account(h, "edited");

    mr_op_set_version(config, head.version);
    mr_op_set_version(other, head.version);
    char *text = mr_op_print(config);
    char *stored = mr_op_print(edited ? other : config);
    mr_op_hash(text, strlen(text), head.hash);
    ck_assert(mr_op_approve(secret, signed_version, head.hash, head.approval));
    snprintf(path, sizeof(path), "/objects/" MR_CONFIG_OBJECT_PREFIX "%s",
             head.hash);
    harness_http(h->base, "PUT", h->platform.address, path, NULL, stored,
                 NULL);
    free(stored);
    free(text);
    mr_op_destroy(other);
    mr_op_destroy(config);
    return mr_config_head_write(&head);
}

/* Writes @head to the row for a while and asserts that no daemon applies it.
 */
static void
assert_head_refused(harness_t *h, json_t *head)
{
    json_t *row = read_row(h, MR_CONFIG_ROW_HEAD);
    json_t *valid = json_incref(json_object_get(row, "value"));

    json_decref(row);
    write_row(h, MR_CONFIG_ROW_HEAD, head);
    run_and_trace(h, 1100);
    write_row(h, MR_CONFIG_ROW_HEAD, valid);
    assert_applied(h);
}

START_TEST(test_forged_changes)
{
    harness_t *h = start();
    harness_operator_t *op = harness_operator_open(h, "ayse");
    char public_key[MR_OP_APPROVER_PUBLIC_BYTES];
    char other[MR_OP_APPROVER_SECRET_BYTES];
    json_t *row = read_row(h, MR_CONFIG_ROW_HEAD);
    json_t *first = json_incref(json_object_get(row, "value"));

    json_decref(row);
    ck_assert(mr_op_approver_create(public_key, other));
    /* An edited body, a signature with another key, and one of another
     * version. The edited body stays in the store, as objects are immutable.
     */
    assert_head_refused(
        h, make_head(h, h->approver_secret, h->version + 1, "{\"format\":1}"));
    change_config(h, op, "extra-1");
    run_and_trace(h, APPLIED_MAX_MS);
    assert_head_refused(h, make_head(h, other, h->version + 1, false));
    assert_head_refused(h,
                        make_head(h, h->approver_secret, h->version, false));
    /* An earlier valid head: the version never goes down. */
    assert_head_refused(h, first);

    /* A vetoed change cannot be approved or accepted. */
    mr_op_t *vetoed = copy_with_account(h, "vetoed");
    harness_propose(op, vetoed, h->version + 1);
    ck_assert_int_eq(harness_operator_wait(op), MR_OK);
    harness_accept(op, h->version + 1, NULL);
    ck_assert_int_eq(harness_operator_wait(op), MR_ERR_FORBIDDEN);
    harness_veto(op, h->version + 1);
    ck_assert_int_eq(harness_operator_wait(op), MR_OK);
    harness_approve(op, vetoed, h->version + 1);
    ck_assert_int_ne(harness_operator_wait(op), MR_OK);
    harness_accept(op, h->version + 1, NULL);
    ck_assert_int_ne(harness_operator_wait(op), MR_OK);
    run_and_trace(h, 1000);
    assert_applied(h);
    mr_op_destroy(vetoed);
    harness_operator_close(op);
    finish(h);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_racing_operators, test_lost_replies,
                                  test_restarts_without_store,
                                  test_delayed_messages, test_forged_changes};

    return RUN_TESTS(tests, .suite = "config", HARNESS_RUNNER_OPTIONS);
}
