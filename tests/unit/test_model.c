/* Guards against faulty configurations that are taken in, and against refusals
 * that do not say which field is wrong. */

#include <string.h>

#include "../common/runner.h"
#include "config/model.h"

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const char good[] =
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

/** A change to the good document and the text that the refusal must have. */
typedef struct fault {
    const char *from;
    const char *to;
    const char *says;
} fault_t;

static const fault_t faults[] = {
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

START_TEST(test_good_configuration_is_read)
{
    mr_json_problem_t problem = {""};
    const mr_config_account_t *account = NULL;
    mr_config_t *config = mr_config_parse(good, strlen(good), &problem);

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

START_TEST(test_fault_names_its_field)
{
    const fault_t *fault = &faults[_i];
    mr_json_problem_t problem = {""};
    char text[sizeof(good) + 256];
    const char *at = strstr(good, fault->from);

    ck_assert_ptr_nonnull(at);
    snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - good), good, fault->to,
             at + strlen(fault->from));
    ck_assert_ptr_null(mr_config_parse(text, strlen(text), &problem));
    ck_assert_msg(strstr(problem.text, fault->says) != NULL, "'%s' in '%s'",
                  fault->says, problem.text);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_good_configuration_is_read};

    return RUN_TESTS(tests, .suite = "model",
                     .loop = {test_fault_names_its_field, 0,
                              sizeof(faults) / sizeof(faults[0])});
}
