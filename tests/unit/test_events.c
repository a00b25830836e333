/* Checks that log lines have only the events and fields of common/event.h, and
 * that docs/OPERATIONS.md lists every event, as on-call engineers look them up
 * there. Reads the sources and that page. */

#include <glib.h>
#include <string.h>

#include "../common/runner.h"
#include "common/event.h"

/* Matches one call. Groups: the event, or an expression that selects one of
 * two; the format. */
#define LOG_CALL_PATTERN                                                      \
    "mr_log(?:_request)?\\([^;]*?(MR_EVENT_[^;]*?),\\s*"                      \
    "((?:\"(?:[^\"\\\\]|\\\\.)*\"\\s*)+|NULL)"

static int uses[MR_EVENT_COUNT];

static bool
has_word(const char *words, const char *word)
{
    gchar **list = g_strsplit(words, " ", -1);
    bool found = g_strv_contains((const gchar *const *)list, word);

    g_strfreev(list);
    return found;
}

/* Returns the event with this constant; MR_EVENT_COUNT if there is none. */
static mr_event_t
find_event(const char *constant)
{
    gchar *name = g_ascii_strdown(constant + strlen("MR_EVENT_"), -1);
    mr_event_t event = 0;

    while (event < MR_EVENT_COUNT && strcmp(mr_event_name(event), name) != 0) {
        event++;
    }
    g_free(name);
    return event;
}

static void
check_fields(const char *file, mr_event_t event, const char *format)
{
    GRegex *field = g_regex_new("(?:^|[ \"])([a-z_]+)=", 0, 0, NULL);
    GMatchInfo *match;

    for (g_regex_match(field, format, 0, &match); g_match_info_matches(match);
         g_match_info_next(match, NULL)) {
        gchar *name = g_match_info_fetch(match, 1);
        ck_assert_msg(has_word(mr_event_fields(event), name),
                      "%s: event %s has no field %s", file,
                      mr_event_name(event), name);
        g_free(name);
    }
    g_match_info_free(match);
    g_regex_unref(field);
}

static void
check_source(const char *file)
{
    GRegex *call = g_regex_new(LOG_CALL_PATTERN, G_REGEX_DOTALL, 0, NULL);
    GRegex *constant = g_regex_new("MR_EVENT_[A-Z_]+", 0, 0, NULL);
    GMatchInfo *match;
    GMatchInfo *names;
    gchar *text = NULL;

    ck_assert(g_file_get_contents(file, &text, NULL, NULL));
    for (g_regex_match(call, text, 0, &match); g_match_info_matches(match);
         g_match_info_next(match, NULL)) {
        gchar *events = g_match_info_fetch(match, 1);
        gchar *format = g_match_info_fetch(match, 2);
        for (g_regex_match(constant, events, 0, &names);
             g_match_info_matches(names); g_match_info_next(names, NULL)) {
            gchar *name = g_match_info_fetch(names, 0);
            mr_event_t event = find_event(name);
            ck_assert_msg(event < MR_EVENT_COUNT, "%s: %s", file, name);
            uses[event]++;
            check_fields(file, event, format);
            g_free(name);
        }
        g_match_info_free(names);
        g_free(events);
        g_free(format);
    }
    g_match_info_free(match);
    g_regex_unref(call);
    g_regex_unref(constant);
    g_free(text);
}

static void
check_folder(const char *folder)
{
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;

    ck_assert_ptr_nonnull(dir);
    while ((name = g_dir_read_name(dir)) != NULL) {
        gchar *path = g_build_filename(folder, name, NULL);
        if (g_file_test(path, G_FILE_TEST_IS_DIR)) {
            check_folder(path);
        }
        else if (g_str_has_suffix(name, ".c")) {
            check_source(path);
        }
        g_free(path);
    }
    g_dir_close(dir);
}

START_TEST(test_lines_have_only_fields_of_their_events)
{
    check_folder("lib");
    check_folder("platform");
    check_folder("programs");
    for (mr_event_t event = 0; event < MR_EVENT_COUNT; event++) {
        ck_assert_msg(uses[event] > 0, "%s is never logged",
                      mr_event_name(event));
    }
}
END_TEST

START_TEST(test_every_event_is_on_the_operations_page)
{
    gchar *page = NULL;

    ck_assert(g_file_get_contents("docs/OPERATIONS.md", &page, NULL, NULL));
    for (mr_event_t event = 0; event < MR_EVENT_COUNT; event++) {
        gchar *pattern = g_strdup_printf("\\|[^\\n|]*\\b%s\\b[^\\n|]*\\|",
                                         mr_event_name(event));
        ck_assert_msg(g_regex_match_simple(pattern, page, 0, 0),
                      "%s is not in a table", mr_event_name(event));
        g_free(pattern);
    }
    g_free(page);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {
        test_lines_have_only_fields_of_their_events,
        test_every_event_is_on_the_operations_page,
    };

    return RUN_TESTS(tests, .suite = "events");
}
