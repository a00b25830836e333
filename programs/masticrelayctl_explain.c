/* The explain command: traces a request through the daemons' logs. */

#include <string.h>

#include "masticrelayctl.h"

/** A parsed log line. */
typedef struct log_line {
    char *time;
    char *instance;
    char *event;
    char *text; /* the line from "time=" on */
} log_line_t;

/* Events that change an instance's state or its view of the fleet. The last of
 * each kind before the request is printed, as it shows the state in which the
 * request arrived. */
static const char *const state_events[] = {
    "started",
    "stopping",
    "configuration_applied",
    "coordinator_chosen",
    "instance_lost",
    "instance_regained",
    "dependency_lost",
    "dependency_regained",
    "primary_registered",
    "primary_promoted",
    "database_failing",
    "database_answers",
    "database_gone",
    "promotion_started",
    "promotion_ended",
};

static void
free_line(gpointer data)
{
    log_line_t *line = data;

    g_free(line->time);
    g_free(line->instance);
    g_free(line->event);
    g_free(line->text);
    g_free(line);
}

/* Returns the value of @key in a line of key=value pairs, to be freed with
 * g_free(); NULL if the key is absent. */
static char *
find_value(const char *text, const char *key)
{
    size_t len = strlen(key);

    for (const char *p = strstr(text, key); p != NULL;
         p = strstr(p + 1, key)) {
        if (p[len] == '=' && (p == text || p[-1] == ' ')) {
            const char *value = p + len + 1;
            return g_strndup(value, strcspn(value, " \n"));
        }
    }
    return NULL;
}

/* Returns NULL if @raw is not a daemon's log line. */
static log_line_t *
parse_line(const char *raw)
{
    const char *text = strstr(raw, "time=");
    log_line_t *line;

    if (text == NULL || strstr(text, " event=") == NULL) {
        return NULL;
    }
    line = g_new0(log_line_t, 1);
    line->text = g_strdup(text);
    g_strchomp(line->text);
    line->time = find_value(text, "time");
    line->instance = find_value(text, "instance");
    line->event = find_value(text, "event");
    if (line->instance == NULL) {
        free_line(line);
        return NULL;
    }
    return line;
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    const log_line_t *const *first = a;
    const log_line_t *const *second = b;

    return g_strcmp0((*first)->time, (*second)->time);
}

static bool
is_state_event(const log_line_t *line)
{
    for (size_t i = 0; i < G_N_ELEMENTS(state_events); i++) {
        if (strcmp(line->event, state_events[i]) == 0) {
            return true;
        }
    }
    return false;
}

static bool
has_request_id(const log_line_t *line, const char *id)
{
    char *value = find_value(line->text, "id");
    bool equal = g_strcmp0(value, id) == 0;

    g_free(value);
    return equal;
}

static ctl_status_t
read_logs(const ctl_t *ctl, char **paths, int count, GPtrArray *lines)
{
    static char *const standard_input[] = {"-"};

    for (int i = 0; i < (count > 0 ? count : 1); i++) {
        size_t len;
        char *text =
            ctl_read_file(ctl, count > 0 ? paths[i] : standard_input[0], &len);
        if (text == NULL) {
            return CTL_FAILED;
        }
        char **rows = g_strsplit(text, "\n", -1);
        for (char **row = rows; *row != NULL; row++) {
            log_line_t *line = parse_line(*row);
            if (line != NULL) {
                g_ptr_array_add(lines, line);
            }
        }
        g_strfreev(rows);
        g_free(text);
    }
    g_ptr_array_sort(lines, compare_lines);
    return CTL_DONE;
}

/* Prints, in the order of the log, the last line of each state event and
 * subject (service and name) of @instance before the line @end. */
static void
print_state_events(const GPtrArray *lines, guint end, const char *instance)
{
    GHashTable *last =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    for (guint i = 0; i < end; i++) {
        const log_line_t *line = g_ptr_array_index(lines, i);
        if (!is_state_event(line) || strcmp(line->instance, instance) != 0) {
            continue;
        }
        char *service = find_value(line->text, "service");
        char *name = find_value(line->text, "name");
        char *key = g_strdup_printf("%s %s %s", line->event,
                                    service != NULL ? service : "",
                                    name != NULL ? name : "");
        g_hash_table_replace(last, key, GUINT_TO_POINTER(i + 1));
        g_free(service);
        g_free(name);
    }
    for (guint i = 0; i < end; i++) {
        GHashTableIter it;
        gpointer position;
        g_hash_table_iter_init(&it, last);
        while (g_hash_table_iter_next(&it, NULL, &position)) {
            if (GPOINTER_TO_UINT(position) == i + 1) {
                const log_line_t *line = g_ptr_array_index(lines, i);
                g_print("state    ");
                ctl_print_text(line->text);
                g_print("\n");
            }
        }
    }
    g_hash_table_destroy(last);
}

ctl_status_t
ctl_explain(CTL_PARAMETERS)
{
    GPtrArray *lines = NULL;
    ctl_status_t status = CTL_USAGE;
    guint found = 0;

    if (!ctl_parse_options(ctl, command, NULL, &argc, &argv)) {
        return CTL_USAGE;
    }
    lines = g_ptr_array_new_with_free_func(free_line);
    status = read_logs(ctl, argv + 1, argc - 1, lines);
    for (guint i = 0; status == CTL_DONE && i < lines->len; i++) {
        const log_line_t *line = g_ptr_array_index(lines, i);
        if (!has_request_id(line, argv[0])) {
            continue;
        }
        if (found++ == 0) {
            print_state_events(lines, i, line->instance);
        }
        g_print("request  ");
        ctl_print_text(line->text);
        g_print("\n");
    }
    if (status == CTL_DONE && found == 0) {
        status = ctl_fail(ctl, CTL_NOT_FOUND, "no log line has the id '%s'",
                          argv[0]);
    }
    g_ptr_array_free(lines, TRUE);
    return status;
}
