/* The audit command. */

#include <stdlib.h>
#include <string.h>

#include "config/audit.h"
#include "masticrelayctl.h"
#include "operator/diff.h"

enum { DEFAULT_LIMIT = 20 };

/** A read of the audit trail in progress. */
typedef struct trail_reader {
    bool done;
    mr_error_kind_t error;
    json_t *records;
    size_t limit;         /* newest records to keep; 0: all */
    size_t invalid_count; /* records whose state is not MR_AUDIT_GOOD */
} trail_reader_t;

static void
on_record(void *ctx, int64_t sequence, mr_audit_state_t state, json_t *record)
{
    trail_reader_t *trail = ctx;
    json_t *row = json_is_object(record) ? json_copy(record) : json_object();

    json_object_set_new(row, "sequence", json_integer(sequence));
    json_object_set_new(row, "record",
                        json_string(mr_audit_state_name(state)));
    if (state != MR_AUDIT_GOOD) {
        trail->invalid_count++;
    }
    json_array_append_new(trail->records, row);
    if (trail->limit > 0 && json_array_size(trail->records) > trail->limit) {
        json_array_remove(trail->records, 0);
    }
}

static void
on_end(void *ctx, mr_error_kind_t error)
{
    trail_reader_t *trail = ctx;

    trail->done = true;
    trail->error = error;
}

/* Finds the first sequence to read to get the newest @limit records. Records
 * may be appended meanwhile, so reading from it can give more. */
static mr_error_kind_t
find_first_sequence(ctl_t *ctl, int64_t limit, int64_t *first)
{
    json_t *tail = NULL;
    mr_error_kind_t error = MR_OK;

    *first = 1;
    if (limit == 0) {
        return MR_OK;
    }
    error = ctl_get_row(ctl, "audit/tail", &tail);
    if (error == MR_ERR_NOT_FOUND) {
        return MR_OK;
    }
    if (error == MR_OK) {
        int64_t sequence =
            json_integer_value(json_object_get(tail, "sequence"));
        *first = MAX(1, sequence - limit + 1);
    }
    json_decref(tail);
    return error;
}

static char *
format_time(const json_t *when_ms)
{
    gint64 ms = json_integer_value(when_ms);
    GDateTime *time = json_is_integer(when_ms)
                          ? g_date_time_new_from_unix_utc(ms / 1000)
                          : NULL;

    if (time == NULL) {
        return NULL;
    }
    char *text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
    g_date_time_unref(time);
    return text;
}

/* Summarizes the field "changes", whose format depends on the step (see
 * config/change.h); NULL if the format is unknown. */
static char *
summarize_changes(const json_t *changes)
{
    const char *reason = json_string_value(json_object_get(changes, "reason"));
    const json_t *voided_sequence = json_object_get(changes, "sequence");
    const json_t *without = json_object_get(changes, "without");
    const json_t *accepted = json_object_get(changes, "changes");

    if (json_is_array(changes)) {
        return g_strdup_printf("%zu changes", json_array_size(changes));
    }
    if (reason != NULL) {
        return g_strdup(reason);
    }
    if (json_is_integer(voided_sequence)) {
        return g_strdup_printf("record %" JSON_INTEGER_FORMAT
                               " did not take effect",
                               json_integer_value(voided_sequence));
    }
    if (json_is_array(without)) {
        GString *text = g_string_new(NULL);
        size_t index;
        json_t *name;
        g_string_append_printf(text, "%zu changes", json_array_size(accepted));
        json_array_foreach(without, index, name)
        {
            g_string_append_printf(
                text, "%s%s", index == 0 ? ", without " : ", ",
                json_is_string(name) ? json_string_value(name) : "?");
        }
        return g_string_free(text, FALSE);
    }
    return NULL;
}

static void
print_record_table(const json_t *records)
{
    static const ctl_column_t columns[] = {
        {"SEQUENCE", "sequence"}, {"WHEN", "when"},
        {"WHO", "who"},           {"STEP", "step"},
        {"FROM", "from_version"}, {"TO", "to_version"},
        {"RECORD", "record"},     {"CHANGES", "text"},
    };
    json_t *rows = json_array();
    size_t index;
    json_t *record;

    json_array_foreach(records, index, record)
    {
        json_t *row = json_copy(record);
        char *when = format_time(json_object_get(record, "when_ms"));
        char *text = summarize_changes(json_object_get(record, "changes"));
        if (when != NULL) {
            json_object_set_new(row, "when", json_string(when));
        }
        if (text != NULL) {
            json_object_set_new(row, "text", json_string(text));
        }
        json_array_append_new(rows, row);
        g_free(text);
        g_free(when);
    }
    ctl_print_table(rows, columns, sizeof(columns) / sizeof(columns[0]));
    json_decref(rows);
}

/* Returns the list of changes in a propose or accept record, else NULL. */
static const json_t *
record_changes(const json_t *record)
{
    const json_t *changes = json_object_get(record, "changes");
    const json_t *nested = json_object_get(changes, "changes");

    if (json_is_array(changes)) {
        return changes;
    }
    return json_is_array(nested) ? nested : NULL;
}

static void
print_records(const ctl_t *ctl, const json_t *records, bool show_changes)
{
    if (ctl->settings.json) {
        ctl_print_json(records);
        return;
    }
    print_record_table(records);
    const json_t *changes =
        show_changes ? record_changes(json_array_get(records, 0)) : NULL;
    if (changes != NULL) {
        char *text = mr_op_diff_format(changes);
        putchar('\n');
        ctl_print_text(text);
        free(text);
    }
}

/* Reads the records from @first on; if @single, stops once one was read. */
static ctl_status_t
read_trail(ctl_t *ctl, trail_reader_t *trail, int64_t first, bool single)
{
    mr_audit_reader_t *reader =
        mr_audit_read(ctl->platform, first, on_record, on_end, trail);

    while (!trail->done) {
        if (single && json_array_size(trail->records) > 0) {
            mr_audit_read_cancel(reader);
            trail->error = MR_OK;
            break;
        }
        event_base_loop(ctl->base, EVLOOP_ONCE);
    }
    if (trail->error != MR_OK) {
        return ctl_fail(ctl, ctl_error_status(trail->error), "audit trail: %s",
                        mr_error_name(trail->error));
    }
    if (single && json_array_size(trail->records) == 0) {
        return ctl_fail(ctl, CTL_NOT_FOUND,
                        "audit record %" G_GINT64_FORMAT " does not exist",
                        (gint64)first);
    }
    return CTL_DONE;
}

static ctl_status_t
show_trail(ctl_t *ctl, int64_t first, int64_t limit, bool single)
{
    trail_reader_t trail = {.records = json_array(), .limit = (size_t)limit};
    ctl_status_t status = read_trail(ctl, &trail, first, single);

    if (status == CTL_DONE) {
        while (single && json_array_size(trail.records) > 1) {
            json_array_remove(trail.records, 1);
        }
        print_records(ctl, trail.records, single);
        if (trail.invalid_count > 0) {
            status = ctl_fail(ctl, CTL_FAILED,
                              "%zu audit records are missing, malformed or do "
                              "not match their predecessor",
                              trail.invalid_count);
        }
    }
    json_decref(trail.records);
    return status;
}

ctl_status_t
ctl_show_audit(CTL_PARAMETERS)
{
    gint64 limit = DEFAULT_LIMIT;
    const GOptionEntry entries[] = {
        {"limit", 0, 0, G_OPTION_ARG_INT64, &limit,
         "Print the newest N records (default 20); 0: print and check "
         "all",
         "N"},
        G_OPTION_ENTRY_NULL,
    };
    int64_t first = 1;

    if (!ctl_parse_options(ctl, command, entries, &argc, &argv)
        || ctl_open_platform(ctl) == NULL) {
        return CTL_USAGE;
    }
    if (limit < 0) {
        return ctl_fail(ctl, CTL_USAGE, "--limit must not be negative");
    }
    if (argc > 0) {
        char *end = NULL;
        first = g_ascii_strtoll(argv[0], &end, 10);
        if (first < 1 || *end != '\0') {
            return ctl_fail(ctl, CTL_USAGE,
                            "audit: '%s' is not a sequence number", argv[0]);
        }
        return show_trail(ctl, first, 0, true);
    }
    mr_error_kind_t error = find_first_sequence(ctl, limit, &first);
    if (error != MR_OK) {
        return ctl_fail(ctl, ctl_error_status(error), "audit trail: %s",
                        mr_error_name(error));
    }
    return show_trail(ctl, first, limit, false);
}
