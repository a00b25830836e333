/*
 * Replays recorded traces. Each begins with {"event":"expect","violations":
 * [...]}, the promises that the check must find violated: none in traces of
 * runs, and one in each bad_*.jsonl. Guards against a check that accepts what
 * it must reject, and against runs that break a promise again.
 */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "trace.h"

static const char folder[] = "tests/replay";

/* The promises in @violations, each once, in order. */
static char *
join(const json_t *violations)
{
    GPtrArray *names = g_ptr_array_new();
    size_t i;
    const json_t *item;

    json_array_foreach(violations, i, item)
    {
        const char *name =
            json_is_string(item)
                ? json_string_value(item)
                : json_string_value(json_object_get(item, "promise"));
        if (!g_ptr_array_find_with_equal_func(names, name, g_str_equal,
                                              NULL)) {
            g_ptr_array_add(names, (char *)name);
        }
    }
    g_ptr_array_add(names, NULL);
    char *text = g_strjoinv(" ", (char **)names->pdata);
    g_ptr_array_free(names, TRUE);
    return text;
}

static json_t *
read_expectation(const char *path)
{
    FILE *file = fopen(path, "re");

    ck_assert_ptr_nonnull(file);
    json_t *first = json_loadf(file, JSON_DISABLE_EOF_CHECK, NULL);
    fclose(file);
    json_t *expected = json_incref(json_object_get(first, "violations"));
    json_decref(first);
    ck_assert_msg(json_is_array(expected), "%s states no outcome", path);
    return expected;
}

START_TEST(test_traces_have_their_stated_outcome)
{
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;
    int bad = 0;

    ck_assert_ptr_nonnull(dir);
    while ((name = g_dir_read_name(dir)) != NULL) {
        if (!g_str_has_suffix(name, ".jsonl")) {
            continue;
        }
        char *path = g_build_filename(folder, name, NULL);
        json_t *expected = read_expectation(path);
        json_t *found = trace_check(path);
        ck_assert_msg(found != NULL, "%s cannot be read", path);
        char *want = join(expected);
        char *got = join(found);
        char *detail = json_dumps(found, 0);
        ck_assert_msg(strcmp(want, got) == 0, "%s: expected '%s', found %s",
                      path, want, detail);
        bad += g_str_has_prefix(name, "bad_") && *want != '\0' ? 1 : 0;
        free(detail);
        g_free(want);
        g_free(got);
        json_decref(found);
        json_decref(expected);
        g_free(path);
    }
    g_dir_close(dir);
    /* At least one bad trace for each of the 13 promises. */
    ck_assert_int_ge(bad, 13);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_traces_have_their_stated_outcome};

    return RUN_TESTS(tests, .suite = "replay", .timeout_s = 60);
}
