/* Tests the differences between configurations: a change that is not listed
 * would be approved unseen. */

#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "common/json.h"
#include "common/mem.h"
#include "masticrelay.h"
#include "operator/diff.h"

#define HASH "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

static const char document[] =
    "{\"format\":1,\"version\":3,\"deployment\":\"ovakoy\","
    "\"data_centres\":[{\"name\":\"konya\",\"region\":\"ic-anadolu\"},"
    "{\"name\":\"nigde\",\"region\":\"ic-anadolu\"}],"
    "\"services\":[{\"name\":\"db\",\"groups\":[{\"name\":\"db-0\","
    "\"targets\":[{\"name\":\"db-0-a\",\"data_centre\":\"konya\","
    "\"address\":\"127.0.0.1:7101\",\"slots\":2,\"connections\":35,"
    "\"state\":\"active\"}]}]}],"
    "\"accounts\":[{\"name\":\"board\",\"rate\":7,\"burst\":5,\"weight\":1,"
    "\"keys\":[]},{\"name\":\"coop-1\",\"rate\":100,\"burst\":50,"
    "\"weight\":9,\"keys\":[{\"id\":\"k1\",\"hash\":\"" HASH "\"}]}],"
    "\"routes\":[{\"name\":\"bookings\",\"service\":\"db\","
    "\"access\":\"keyed\",\"accounts\":[\"coop-1\"],"
    "\"freshness\":{\"mode\":\"session\",\"max_age_ms\":0},"
    "\"deadline_ms\":2000,\"offline_limit_s\":3600}]}";

/* Returns a copy of the document with @old, which occurs once, replaced by
 * @new. */
static char *
replace_text(const char *old, const char *new)
{
    const char *at = strstr(document, old);

    ck_assert_msg(at != NULL, "no '%s'", old);
    ck_assert_ptr_null(strstr(at + 1, old));
    return mr_asprintf("%.*s%s%s", (int)(at - document), document, new,
                       at + strlen(old));
}

static char *
diff_with(const char *after)
{
    char problem[MR_OP_PROBLEM_BYTES] = "";
    char *text =
        mr_op_diff(document, strlen(document), after, strlen(after), problem);

    ck_assert_msg(text != NULL, "%s", problem);
    return text;
}

typedef struct change_case {
    const char *old;
    const char *new;
    const char *expected;
} change_case_t;

START_TEST(test_each_kind_of_change)
{
    static const change_case_t changes[] = {
        {"\"rate\":100", "\"rate\":200",
         "Client accounts\n  ~ coop-1: rate 100 -> 200\n"},
        {"\"weight\":9", "\"weight\":2",
         "Client accounts\n  ~ coop-1: weight 9 -> 2\n"},
        {",\"weight\":9", "",
         "Client accounts\n  ~ coop-1: weight 9 -> (none)\n"},
        {"{\"id\":\"k1\",\"hash\":\"" HASH "\"}", "",
         "Keys\n  - k1: account coop-1, hash " HASH "\n"},
        {"\"keys\":[]", "\"keys\":[{\"id\":\"k2\",\"hash\":\"" HASH "\"}]",
         "Keys\n  + k2: account board, hash " HASH "\n"},
        {"\"access\":\"keyed\",\"accounts\":[\"coop-1\"]",
         "\"access\":\"open\",\"charged_account\":\"board\",\"accounts\":[]",
         "Routes\n  ~ bookings: access keyed -> open\n"
         "  ~ bookings: account coop-1 not allowed\n"
         "  ~ bookings: charged_account (none) -> board\n"},
        {"[\"coop-1\"]", "[\"coop-1\",\"board\"]",
         "Routes\n  ~ bookings: account board allowed\n"},
        {"\"mode\":\"session\"", "\"mode\":\"present\"",
         "Routes\n  ~ bookings: freshness.mode session -> present\n"},
        {"127.0.0.1:7101", "127.0.0.1:7999",
         "Targets\n  ~ db-0-a: address 127.0.0.1:7101 -> 127.0.0.1:7999\n"},
        {"\"state\":\"active\"", "\"state\":\"leaving\"",
         "Targets\n  ~ db-0-a: state active -> leaving\n"},
        {"\"name\":\"db-0\"", "\"name\":\"db-1\"",
         "Targets\n  ~ db-0-a: group db-0 -> db-1\n"
         "Groups\n  - db-0: service db\n  + db-1: service db\n"},
        {"{\"name\":\"nigde\",\"region\":\"ic-anadolu\"}",
         "{\"name\":\"nigde\",\"region\":\"x\"}",
         "Data centres\n  ~ nigde: region ic-anadolu -> x\n"},
        {"\"version\":3", "\"version\":4",
         "General\n  ~ configuration: version 3 -> 4\n"},
    };

    for (size_t i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
        char *after = replace_text(changes[i].old, changes[i].new);
        char *text = diff_with(after);
        ck_assert_str_eq(text, changes[i].expected);
        free(text);
        free(after);
    }
}
END_TEST

START_TEST(test_no_difference)
{
    char *text = diff_with(document);

    ck_assert_str_eq(text, "No differences.\n");
    free(text);
}
END_TEST

START_TEST(test_first_version)
{
    char problem[MR_OP_PROBLEM_BYTES];
    char *text = mr_op_diff(NULL, 0, document, strlen(document), problem);

    ck_assert_ptr_nonnull(
        strstr(text, "  + coop-1: burst 50, rate 100, weight 9\n"));
    ck_assert_ptr_nonnull(strstr(text, "Services\n  + db\n"));
    ck_assert_ptr_nonnull(strstr(
        text, "+ bookings: access keyed, account coop-1 allowed, deadline"));
    free(text);
}
END_TEST

START_TEST(test_invalid_document)
{
    char problem[MR_OP_PROBLEM_BYTES] = "";
    char *after = replace_text("\"rate\":100", "\"rate\":-1");

    ck_assert_ptr_null(
        mr_op_diff(document, strlen(document), after, strlen(after), problem));
    ck_assert_ptr_nonnull(strstr(problem, "rate"));
    free(after);
}
END_TEST

/* A change of a field that this version does not know is listed. */
START_TEST(test_unknown_field)
{
    mr_json_problem_t problem;
    char *changed = replace_text("\"slots\":2", "\"slots\":2,\"later\":true");
    json_t *before = mr_json_parse(document, strlen(document), &problem);
    json_t *after = mr_json_parse(changed, strlen(changed), &problem);
    json_t *list = mr_op_diff_list(before, after);

    ck_assert_uint_eq(json_array_size(list), 1);
    const json_t *change = json_array_get(list, 0);
    ck_assert_str_eq(json_string_value(json_object_get(change, "section")),
                     "targets");
    ck_assert_str_eq(json_string_value(json_object_get(change, "field")),
                     "later");
    json_decref(list);
    json_decref(after);
    json_decref(before);
    free(changed);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_each_kind_of_change, test_no_difference,
                                  test_first_version, test_invalid_document,
                                  test_unknown_field};

    return RUN_TESTS(tests, .suite = "diff");
}
