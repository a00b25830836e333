/* Guards against invalid configurations that are accepted, and against errors
 * that do not name the invalid field. */

#include <string.h>

#include "../common/runner.h"
#include "config/model.h"

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const char valid_document[] =
    "{\"format\":1,\"version\":3,\"deployment\":\"d\","
    "\"data_centres\":[{\"name\":\"konya\",\"region\":\"r\"}],"
    "\"services\":[{\"name\":\"s\",\"groups\":[{\"name\":\"g\","
    "\"targets\":[{\"name\":\"t\",\"data_centre\":\"konya\","
    "\"address\":\"127.0.0.1:7101\",\"slots\":2,\"connections\":35}]}]}],"
    "\"accounts\":[{\"name\":\"a\",\"rate\":10,\"burst\":5,"
    "\"keys\":[{\"id\":\"k1\",\"hash\":\"" HASH "\"}]}],"
    "\"routes\":[{\"name\":\"r\",\"service\":\"s\",\"access\":\"keyed\","
    "\"accounts\":[\"a\"],\"freshness\":{\"mode\":\"session\"},"
    "\"deadline_ms\":2000,\"offline_limit_s\":60}]}";

/** A change to the valid document and the text that the error must contain. */
typedef struct invalid_case {
    const char *from;
    const char *to;
    const char *error_text;
} invalid_case_t;

static const invalid_case_t invalid_cases[] = {
    {"\"format\":1", "\"format\":2", "configuration.format"},
    {"\"version\":3", "\"version\":0", "configuration.version"},
    {"\"version\":3", "\"version\":3,\"extra\":1", "configuration.extra"},
    {"\"data_centre\":\"konya\"", "\"data_centre\":\"nowhere\"",
     "targets[0].data_centre"},
    {"127.0.0.1:7101", "db.example:7101", "targets[0].address"},
    {"\"slots\":2", "\"slots\":0", "targets[0].slots"},
    {"\"connections\":35", "\"connections\":\"35\"", "targets[0].connections"},
    {"\"rate\":10", "\"rate\":-1", "accounts[0].rate"},
    {HASH, "12", "keys[0].hash"},
    {"\"service\":\"s\"", "\"service\":\"x\"", "routes[0].service"},
    {"\"accounts\":[\"a\"]", "\"accounts\":[\"b\"]", "routes[0].accounts[0]"},
    {"\"access\":\"keyed\"", "\"access\":\"open\"",
     "routes[0].charged_account"},
    {"\"mode\":\"session\"", "\"mode\":\"any\"", "freshness.mode"},
    {"{\"name\":\"konya\",\"region\":\"r\"}",
     "{\"name\":\"konya\",\"region\":\"r\"},"
     "{\"name\":\"konya\",\"region\":\"r\"}",
     "data_centres[1]"},
    {"\"deadline_ms\":2000", "\"deadline_ms\":2000,\"deadline_ms\":1",
     "malformed JSON"},
};

START_TEST(test_valid_configuration_is_parsed)
{
    mr_json_problem_t problem = {""};
    const mr_config_account_t *account = NULL;
    mr_config_t *config =
        mr_config_parse(valid_document, strlen(valid_document), &problem);

    ck_assert_msg(config != NULL, "%s", problem.text);
    ck_assert_int_eq(config->version, 3);
    ck_assert_ptr_nonnull(mr_config_route(config, "r"));
    ck_assert_ptr_nonnull(mr_config_target(config, "t"));
    ck_assert_ptr_nonnull(mr_config_find_key(config, "k1", &account));
    ck_assert_str_eq(account->name, "a");
    ck_assert_ptr_null(mr_config_find_key(config, "k2", &account));
    ck_assert_int_eq(account->weight, 1);
    mr_config_unref(config);
}
END_TEST

START_TEST(test_error_names_the_field)
{
    const invalid_case_t *invalid_case = &invalid_cases[_i];
    mr_json_problem_t problem = {""};
    char text[sizeof(valid_document) + 256];
    const char *at = strstr(valid_document, invalid_case->from);

    ck_assert_ptr_nonnull(at);
    snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - valid_document),
             valid_document, invalid_case->to,
             at + strlen(invalid_case->from));
    ck_assert_ptr_null(mr_config_parse(text, strlen(text), &problem));
    ck_assert_msg(strstr(problem.text, invalid_case->error_text) != NULL,
                  "'%s' in '%s'", invalid_case->error_text, problem.text);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_valid_configuration_is_parsed};

    return RUN_TESTS(
        tests, .suite = "model",
        .loop = {test_error_names_the_field, 0,
                 sizeof(invalid_cases) / sizeof(invalid_cases[0])});
}
