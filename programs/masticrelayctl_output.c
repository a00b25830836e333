/* Output of masticrelayctl: text and tables, or JSON with --json. */

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/mem.h"
#include "masticrelayctl.h"

ctl_status_t
ctl_error_status(mr_error_kind_t error)
{
    switch (error) {
    case MR_OK:
        return CTL_DONE;
    case MR_ERR_CONFLICT:
        return CTL_CONFLICT;
    case MR_ERR_NOT_FOUND:
        return CTL_NOT_FOUND;
    case MR_ERR_UNAVAILABLE:
    case MR_ERR_DEADLINE_EXCEEDED:
    case MR_ERR_OUTCOME_UNKNOWN:
        return CTL_UNAVAILABLE;
    default:
        return CTL_FAILED;
    }
}

static const char *
status_name(ctl_status_t status)
{
    switch (status) {
    case CTL_DONE:
        return "done";
    case CTL_FAILED:
        return "failed";
    case CTL_USAGE:
        return "usage";
    case CTL_CONFLICT:
        return "conflict";
    case CTL_NOT_FOUND:
        return "not_found";
    case CTL_UNAVAILABLE:
        break;
    }
    return "unavailable";
}

/* Replaces control characters except newlines, so that text from a file or the
 * network cannot inject terminal escape sequences. */
static void
write_sanitized(FILE *file, const char *text)
{
    for (const char *p = text; *p != '\0'; p++) {
        unsigned char c = (unsigned char)*p;
        bool control = (c < 0x20 && c != '\n') || c == 0x7f;
        fputc(control ? '?' : c, file);
    }
}

ctl_status_t
ctl_fail(const ctl_t *ctl, ctl_status_t status, const char *fmt, ...)
{
    va_list args;

    va_start(args, fmt);
    char *text = g_strdup_vprintf(fmt, args);
    va_end(args);
    if (ctl->settings.json) {
        json_t *error =
            json_pack("{s:{s:i,s:s,s:s?}}", "error", "status", (int)status,
                      "kind", status_name(status), "message", text);
        char *line = mr_json_canonical(error);
        fprintf(stderr, "%s\n", line != NULL ? line : "{}");
        free(line);
        json_decref(error);
    }
    else {
        fputs("masticrelayctl: ", stderr);
        write_sanitized(stderr, text);
        fputc('\n', stderr);
    }
    g_free(text);
    return status;
}

void
ctl_print_json(const json_t *value)
{
    char *text = mr_json_canonical(value);

    printf("%s\n", text != NULL ? text : "null");
    free(text);
}

void
ctl_print_text(const char *text)
{
    write_sanitized(stdout, text);
}

static char *
format_cell(const json_t *value)
{
    if (value == NULL || json_is_null(value)) {
        return g_strdup("-");
    }
    if (json_is_string(value)) {
        return g_strdup(json_string_value(value));
    }
    if (json_is_boolean(value)) {
        return g_strdup(json_is_true(value) ? "yes" : "no");
    }
    if (json_is_real(value)) {
        return g_strdup_printf("%.3f", json_real_value(value));
    }
    char *text = mr_json_canonical(value);
    char *copy = g_strdup(text != NULL ? text : "-");
    free(text);
    return copy;
}

static void
print_cell(const char *text, glong width, bool last)
{
    ctl_print_text(text);
    if (last) {
        putchar('\n');
        return;
    }
    for (glong i = g_utf8_strlen(text, -1); i < width + 2; i++) {
        putchar(' ');
    }
}

void
ctl_print_table(const json_t *rows, const ctl_column_t *columns, size_t count)
{
    glong *widths = mr_calloc(count, sizeof(*widths));
    size_t index;
    json_t *row;

    for (size_t c = 0; c < count; c++) {
        widths[c] = g_utf8_strlen(columns[c].title, -1);
        json_array_foreach(rows, index, row)
        {
            char *text = format_cell(json_object_get(row, columns[c].field));
            widths[c] = MAX(widths[c], g_utf8_strlen(text, -1));
            g_free(text);
        }
    }
    for (size_t c = 0; c < count; c++) {
        print_cell(columns[c].title, widths[c], c + 1 == count);
    }
    json_array_foreach(rows, index, row)
    {
        for (size_t c = 0; c < count; c++) {
            char *text = format_cell(json_object_get(row, columns[c].field));
            print_cell(text, widths[c], c + 1 == count);
            g_free(text);
        }
    }
    free(widths);
}
