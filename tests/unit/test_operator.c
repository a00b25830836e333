/* Tests the operators' library: the output does not depend on the order of
 * calls, a description with errors is not printed, errors name the field, and
 * keys do not appear in the configuration. */

#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "config/model.h"
#include "masticrelay.h"

#define HASH "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

static const mr_op_target_t target_a = {
    "db-0-a", "db-0", "konya", "127.0.0.1:7101", 2, 35, false};
static const mr_op_target_t target_b = {
    "db-0-b", "db-0", "nigde", "[::1]:7102", 2, 35, true};
static const mr_op_target_t target_c = {
    "db-1-a", "db-1", "konya", "127.0.0.1:7103", 2, 35, false};
static const mr_op_account_t coop = {"coop-1", 100, 50, 1};
static const mr_op_account_t board = {"board", 10, 5, 1};
static const mr_op_route_t bookings = {
    .name = "bookings",
    .service = "db",
    .deadline_ms = 2000,
    .offline_limit_s = 3600,
};
static const mr_op_route_t schedule = {
    .name = "schedule",
    .service = "db",
    .open = true,
    .charged_account = "board",
    .freshness = MR_OP_FRESHNESS_MAX_AGE,
    .max_age_ms = 5000,
    .deadline_ms = 2000,
    .offline_limit_s = 3600,
};

enum { ELEMENT_COUNT = 16 };

/* Adds element @index of the sample description. */
static void
add_element(mr_op_t *op, int index)
{
    switch (index) {
    case 0:
        mr_op_data_centre(op, "konya", "ic-anadolu");
        break;
    case 1:
        mr_op_data_centre(op, "nigde", "ic-anadolu");
        break;
    case 2:
        mr_op_service(op, "db");
        break;
    case 3:
        mr_op_group(op, "db", "db-0");
        break;
    case 4:
        mr_op_group(op, "db", "db-1");
        break;
    case 5:
        mr_op_target(op, &target_a);
        break;
    case 6:
        mr_op_target(op, &target_b);
        break;
    case 7:
        mr_op_target(op, &target_c);
        break;
    case 8:
        mr_op_account(op, &coop);
        break;
    case 9:
        mr_op_account(op, &board);
        break;
    case 10:
        mr_op_key(op, "coop-1", "k1", HASH);
        break;
    case 11:
        mr_op_key(op, "coop-1", "k2", HASH);
        break;
    case 12:
        mr_op_route(op, &bookings);
        break;
    case 13:
        mr_op_route(op, &schedule);
        break;
    case 14:
        mr_op_allow(op, "bookings", "coop-1");
        break;
    case 15:
        mr_op_allow(op, "bookings", "board");
        break;
    default:
        ck_abort();
    }
}

static mr_op_t *
create_sample(void)
{
    mr_op_t *op = mr_op_create("ovakoy", 3);

    for (int i = 0; i < ELEMENT_COUNT; i++) {
        add_element(op, i);
    }
    return op;
}

static char *
print_sample(void)
{
    mr_op_t *op = create_sample();
    char *text = mr_op_print(op);

    ck_assert_msg(text != NULL, "%s", mr_op_problem(op, 0));
    mr_op_destroy(op);
    return text;
}

/* Expects that @op is not printed and that one of its errors contains @text;
 * destroys @op. */
static void
expect_problem(mr_op_t *op, const char *text)
{
    bool found = false;
    char *printed = mr_op_print(op);

    ck_assert_ptr_null(printed);
    for (size_t i = 0; i < mr_op_problem_count(op); i++) {
        found = found || strstr(mr_op_problem(op, i), text) != NULL;
    }
    ck_assert_msg(found, "no error contains '%s'; first: %s", text,
                  mr_op_problem_count(op) > 0 ? mr_op_problem(op, 0) : "none");
    mr_op_destroy(op);
}

START_TEST(test_order_of_calls)
{
    char *expected = print_sample();
    mr_json_problem_t problem;

    srand(7);
    for (int round = 0; round < 200; round++) {
        int order[ELEMENT_COUNT] = {0};
        mr_op_t *op = mr_op_create("ovakoy", 3);
        for (int i = 0; i < ELEMENT_COUNT; i++) {
            int j = rand() % (i + 1);
            order[i] = order[j];
            order[j] = i;
        }
        for (int i = 0; i < ELEMENT_COUNT; i++) {
            add_element(op, order[i]);
        }
        char *text = mr_op_print(op);
        ck_assert_ptr_nonnull(text);
        ck_assert_str_eq(text, expected);
        free(text);
        mr_op_destroy(op);
    }
    mr_config_t *config =
        mr_config_parse(expected, strlen(expected), &problem);
    ck_assert_ptr_nonnull(config);
    ck_assert_uint_eq(config->services[0].group_count, 2);
    ck_assert(mr_config_target(config, "db-0-b")->leaving);
    ck_assert_uint_eq(mr_config_route(config, "bookings")->account_count, 2);
    ck_assert_ptr_nonnull(mr_config_route(config, "schedule")->charged);
    mr_config_unref(config);
    free(expected);
}
END_TEST

START_TEST(test_unknown_references)
{
    mr_op_t *op = create_sample();
    mr_op_target_t target = target_a;
    target.name = "db-9-a";
    target.group = "db-9";
    mr_op_target(op, &target);
    expect_problem(op, "targets[db-9-a].group \"db-9\" is not described");

    op = create_sample();
    target.group = "db-0";
    target.data_centre = "ankara";
    mr_op_target(op, &target);
    expect_problem(op, "targets[db-9-a].data_centre \"ankara\"");

    op = create_sample();
    mr_op_group(op, "nowhere", "db-2");
    expect_problem(op, "groups[db-2].service \"nowhere\"");

    op = create_sample();
    mr_op_route_t route = schedule;
    route.name = "other";
    route.service = "nowhere";
    route.charged_account = "nobody";
    mr_op_route(op, &route);
    expect_problem(op, "routes[other].charged_account \"nobody\"");

    op = create_sample();
    mr_op_allow(op, "bookings", "nobody");
    expect_problem(op, "routes[bookings].accounts names \"nobody\"");

    op = create_sample();
    mr_op_key(op, "nobody", "k9", HASH);
    expect_problem(op, "keys[k9].account \"nobody\"");
}
END_TEST

START_TEST(test_duplicates)
{
    static const char *const texts[ELEMENT_COUNT] = {
        "data_centres[konya].name",
        "data_centres[nigde].name",
        "services[db].name",
        "groups[db-0].name",
        "groups[db-1].name",
        "targets[db-0-a].name",
        "targets[db-0-b].name",
        "targets[db-1-a].name",
        "accounts[coop-1].name",
        "accounts[board].name",
        "keys[k1].id",
        "keys[k2].id",
        "routes[bookings].name",
        "routes[schedule].name",
        "\"coop-1\" twice",
        "\"board\" twice",
    };

    for (int i = 0; i < ELEMENT_COUNT; i++) {
        mr_op_t *op = create_sample();
        add_element(op, i);
        expect_problem(op, texts[i]);
    }
}
END_TEST

START_TEST(test_invalid_values)
{
    static const char *const addresses[] = {NULL,           "",
                                            "localhost:1",  "127.0.0.1",
                                            "127.0.0.1:0",  "127.0.0.1:70000",
                                            "127.0.0.1:1x", "1.2.3:1"};
    mr_op_account_t account = coop;
    mr_op_target_t target = target_a;
    mr_op_t *op;

    for (size_t i = 0; i < sizeof(addresses) / sizeof(addresses[0]); i++) {
        op = create_sample();
        target.name = "x";
        target.address = addresses[i];
        mr_op_target(op, &target);
        expect_problem(op, "targets[x].address");
    }
    op = create_sample();
    account.name = "x";
    account.rate = -5;
    mr_op_account(op, &account);
    expect_problem(op, "accounts[x].rate is -5");

    /* Upper bounds are checked by the validation that the daemons use. */
    op = create_sample();
    account.rate = INT64_MAX;
    mr_op_account(op, &account);
    expect_problem(op, ".rate");

    op = create_sample();
    mr_op_account_t nameless = {"a b\n", 1, 1, 1};
    mr_op_account(op, &nameless);
    expect_problem(op, "accounts[a b?].name");

    op = create_sample();
    mr_op_set_version(op, 0);
    expect_problem(op, "version is 0");

    op = create_sample();
    mr_op_route_t route = bookings;
    route.name = "x";
    route.charged_account = "board";
    mr_op_route(op, &route);
    expect_problem(op, "routes[x].charged_account");

    op = create_sample();
    mr_op_service(op, "empty");
    expect_problem(op, "groups is empty");
}
END_TEST

/* Errors that mr_op_print() finds are not kept: a missing reference can be
 * added after a failed print, and the description can then be printed. */
START_TEST(test_problems_are_collected)
{
    mr_op_t *op = create_sample();
    mr_op_account_t account = {"late", 1, 1, 1};

    mr_op_allow(op, "bookings", "late");
    ck_assert_ptr_null(mr_op_print(op));
    ck_assert_uint_eq(mr_op_problem_count(op), 1);
    ck_assert_ptr_null(mr_op_print(op));
    ck_assert_uint_eq(mr_op_problem_count(op), 1);
    mr_op_account(op, &account);
    char *text = mr_op_print(op);
    ck_assert_ptr_nonnull(text);
    free(text);

    account.name = "bad";
    account.rate = 0;
    account.burst = -1;
    account.weight = 0;
    mr_op_account(op, &account);
    ck_assert_uint_eq(mr_op_problem_count(op), 3);
    mr_op_destroy(op);
}
END_TEST

START_TEST(test_key_is_not_printed)
{
    mr_op_t *op = create_sample();
    char key[MR_OP_KEY_BYTES];

    ck_assert(mr_op_key_issue(op, "coop-1", "issued", key));
    char *text = mr_op_print(op);
    ck_assert_ptr_nonnull(text);
    ck_assert_ptr_nonnull(strstr(text, "\"issued\""));
    const char *secret = strrchr(key, '.') + 1;
    ck_assert_uint_eq(strlen(secret), 43);
    ck_assert_ptr_null(strstr(text, secret));
    ck_assert_ptr_null(strstr(text, "mrk."));
    free(text);

    /* A key passed as a hash is rejected, and the message does not contain
     * it. */
    mr_op_key(op, "coop-1", "k9", key);
    ck_assert_ptr_null(mr_op_print(op));
    ck_assert_ptr_nonnull(strstr(mr_op_problem(op, 0), "keys[k9].hash"));
    ck_assert_ptr_null(strstr(mr_op_problem(op, 0), secret));
    mr_op_destroy(op);
}
END_TEST

START_TEST(test_read_and_edit)
{
    char problem[MR_OP_PROBLEM_BYTES];
    char *text = print_sample();
    mr_op_t *op = mr_op_read(text, strlen(text), problem);

    ck_assert_ptr_nonnull(op);
    char *again = mr_op_print(op);
    ck_assert_str_eq(again, text);
    free(again);

    mr_op_set_version(op, mr_op_version(op) + 1);
    ck_assert(mr_op_withdraw_key(op, "k1"));
    ck_assert(!mr_op_withdraw_key(op, "k1"));
    ck_assert(mr_op_set_leaving(op, "db-0-a", true));
    ck_assert(!mr_op_set_leaving(op, "none", true));
    again = mr_op_print(op);
    ck_assert_ptr_nonnull(again);
    mr_json_problem_t error;
    mr_config_t *config = mr_config_parse(again, strlen(again), &error);
    const mr_config_account_t *owner;
    ck_assert_int_eq(config->version, 4);
    ck_assert_ptr_null(mr_config_find_key(config, "k1", &owner));
    ck_assert_ptr_nonnull(mr_config_find_key(config, "k2", &owner));
    ck_assert(mr_config_target(config, "db-0-a")->leaving);
    mr_config_unref(config);
    free(again);
    mr_op_destroy(op);

    ck_assert_ptr_null(mr_op_read("{}", 2, problem));
    ck_assert_ptr_nonnull(strstr(problem, "is missing"));
    free(text);
}
END_TEST

START_TEST(test_finish)
{
    char out[64] = "";
    char err[256] = "";
    FILE *out_file = fmemopen(out, sizeof(out), "w");
    FILE *err_file = fmemopen(err, sizeof(err), "w");
    mr_op_t *op = mr_op_create("", 1);

    ck_assert_int_eq(mr_op_finish(op, out_file, err_file), 1);
    fclose(out_file);
    fclose(err_file);
    ck_assert_str_eq(out, "");
    ck_assert_ptr_nonnull(strstr(err, "deployment is missing"));
    mr_op_destroy(op);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_order_of_calls,
                                  test_unknown_references,
                                  test_duplicates,
                                  test_invalid_values,
                                  test_problems_are_collected,
                                  test_key_is_not_printed,
                                  test_read_and_edit,
                                  test_finish};

    return RUN_TESTS(tests, .suite = "operator");
}
