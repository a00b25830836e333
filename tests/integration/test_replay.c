/*
 * Runs the trace checker on recorded traces. The first event of a trace,
 * {"event":"expect","violations":[...]}, lists the guarantees that the checker
 * must report as violated: none in traces of correct runs, one in each
 * bad_*.jsonl. Guards against a checker that accepts invalid traces or rejects
 * valid ones.
 */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../common/runner.h"
#include "trace.h"

static const char trace_folder[] = "tests/replay";

/* Returns the distinct guarantees in @violations, in order, separated by
 * spaces. */
static char *
join_names(const json_t *violations)
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
read_expected_violations(const char *path)
{
    FILE *file = fopen(path, "re");

    ck_assert_ptr_nonnull(file);
    json_t *first = json_loadf(file, JSON_DISABLE_EOF_CHECK, NULL);
    fclose(file);
    json_t *expected = json_incref(json_object_get(first, "violations"));
    json_decref(first);
    ck_assert_msg(json_is_array(expected), "%s lists no expected violations",
                  path);
    return expected;
}

START_TEST(test_traces_have_their_stated_outcome)
{
    GDir *dir = g_dir_open(trace_folder, 0, NULL);
    const char *name;
    int bad_traces = 0;

    ck_assert_ptr_nonnull(dir);
    while ((name = g_dir_read_name(dir)) != NULL) {
        if (!g_str_has_suffix(name, ".jsonl")) {
            continue;
        }
        char *path = g_build_filename(trace_folder, name, NULL);
        json_t *expected = read_expected_violations(path);
        json_t *found = trace_check(path);
        ck_assert_msg(found != NULL, "%s cannot be read", path);
        char *want = join_names(expected);
        char *got = join_names(found);
        char *detail = json_dumps(found, 0);
        ck_assert_msg(strcmp(want, got) == 0, "%s: expected '%s', found %s",
                      path, want, detail);
        bad_traces += g_str_has_prefix(name, "bad_") && *want != '\0' ? 1 : 0;
        free(detail);
        g_free(want);
        g_free(got);
        json_decref(found);
        json_decref(expected);
        g_free(path);
    }
    g_dir_close(dir);
    /* There is at least one bad trace for each of the 13 guarantees. */
    ck_assert_int_ge(bad_traces, 13);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_traces_have_their_stated_outcome};

    return RUN_TESTS(tests, .suite = "replay", .timeout_s = 60);
}
