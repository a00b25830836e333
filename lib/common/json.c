#include "common/json.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

bool
mr_json_problem_set(mr_json_problem_t *problem, const char *fmt, ...)
{
    va_list args;

    va_start(args, fmt);
    vsnprintf(problem->text, sizeof(problem->text), fmt, args);
    va_end(args);
    return false;
}

static bool
read_integer(const json_t *value, const char *path,
             const mr_json_field_t *field, mr_json_problem_t *problem)
{
    if (!json_is_integer(value)) {
        return mr_json_problem_set(problem, "%s.%s must be an integer", path,
                                   field->name);
    }
    json_int_t number = json_integer_value(value);
    bool bounded = field->min != 0 || field->max != 0;
    if (bounded && (number < field->min || number > field->max)) {
        return mr_json_problem_set(
            problem, "%s.%s must be between %lld and %lld", path, field->name,
            (long long)field->min, (long long)field->max);
    }
    *(int64_t *)field->out = number;
    return true;
}

static bool
read_field(json_t *value, const char *path, const mr_json_field_t *field,
           mr_json_problem_t *problem)
{
    const char *expected = NULL;

    switch (field->kind) {
    case MR_JSON_INTEGER:
        return read_integer(value, path, field, problem);
    case MR_JSON_STRING:
        if (json_is_string(value)) {
            *(const char **)field->out = json_string_value(value);
            return true;
        }
        expected = "a string";
        break;
    case MR_JSON_BOOL:
        if (json_is_boolean(value)) {
            *(bool *)field->out = json_is_true(value);
            return true;
        }
        expected = "true or false";
        break;
    case MR_JSON_OBJECT:
        if (json_is_object(value)) {
            *(json_t **)field->out = value;
            return true;
        }
        expected = "an object";
        break;
    case MR_JSON_ARRAY:
        if (json_is_array(value)) {
            *(json_t **)field->out = value;
            return true;
        }
        expected = "an array";
        break;
    case MR_JSON_ANY:
        *(json_t **)field->out = value;
        return true;
    }
    return mr_json_problem_set(problem, "%s.%s must be %s", path, field->name,
                               expected);
}

static const mr_json_field_t *
find_field(const char *name, const mr_json_field_t *fields, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(fields[i].name, name) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

bool
mr_json_read(json_t *object, const char *path, const mr_json_field_t *fields,
             size_t count, mr_json_problem_t *problem)
{
    const char *name;
    json_t *value;

    if (!json_is_object(object)) {
        return mr_json_problem_set(problem, "%s must be an object", path);
    }
    json_object_foreach(object, name, value)
    {
        if (find_field(name, fields, count) == NULL) {
            return mr_json_problem_set(
                problem, "%s.%.64s is not a known field", path, name);
        }
    }
    for (size_t i = 0; i < count; i++) {
        value = json_object_get(object, fields[i].name);
        if (value == NULL) {
            if (fields[i].required) {
                return mr_json_problem_set(problem, "%s.%s is missing", path,
                                           fields[i].name);
            }
            continue;
        }
        if (!read_field(value, path, &fields[i], problem)) {
            return false;
        }
    }
    return true;
}

static json_t *
parse(const void *data, size_t len, size_t flags, mr_json_problem_t *problem)
{
    json_error_t error;
    json_t *value =
        json_loadb(data, len, JSON_REJECT_DUPLICATES | flags, &error);

    if (value == NULL) {
        mr_json_problem_set(problem, "malformed JSON: %s (line %d)",
                            error.text, error.line);
    }
    return value;
}

json_t *
mr_json_parse(const void *data, size_t len, mr_json_problem_t *problem)
{
    return parse(data, len, 0, problem);
}

json_t *
mr_json_parse_with_nul(const void *data, size_t len,
                       mr_json_problem_t *problem)
{
    return parse(data, len, JSON_ALLOW_NUL, problem);
}

json_t *
mr_json_parse_value(mr_json_span_t span, mr_json_problem_t *problem)
{
    return parse(span.text, span.len, JSON_DECODE_ANY, problem);
}

static void
skip_space(mr_json_cursor_t *cursor)
{
    while (cursor->at < cursor->end && *cursor->at != '\0'
           && strchr(" \t\r\n", *cursor->at) != NULL) {
        cursor->at++;
    }
}

/* Skips @expected; otherwise, the text is malformed. */
static bool
skip_char(mr_json_cursor_t *cursor, char expected)
{
    if (cursor->at < cursor->end && *cursor->at == expected) {
        cursor->at++;
        return true;
    }
    cursor->malformed = true;
    return false;
}

/* Skips a string, which @cursor is at. */
static bool
skip_string(mr_json_cursor_t *cursor)
{
    for (const char *at = cursor->at + 1; at < cursor->end; at++) {
        if (*at == '\\') {
            at++;
        }
        else if (*at == '"') {
            cursor->at = at + 1;
            return true;
        }
    }
    cursor->malformed = true;
    return false;
}

/* Skips a value and the space behind it, up to the next comma or bracket. */
static bool
skip_value(mr_json_cursor_t *cursor)
{
    const char *start = cursor->at;
    size_t depth = 0;

    while (cursor->at < cursor->end) {
        char c = *cursor->at;
        if (c == '"') {
            if (!skip_string(cursor)) {
                return false;
            }
            continue;
        }
        if (depth == 0 && (c == ',' || c == ']' || c == '}')) {
            break;
        }
        if (c == '[' || c == '{') {
            depth++;
        }
        else if (c == ']' || c == '}') {
            depth--;
        }
        cursor->at++;
    }
    cursor->malformed = cursor->at == start || cursor->at == cursor->end;
    return !cursor->malformed;
}

void
mr_json_cursor_open(mr_json_cursor_t *cursor, mr_json_span_t span, char open)
{
    *cursor = (mr_json_cursor_t){.at = span.text,
                                 .end = span.text + span.len,
                                 .close = open == '[' ? ']' : '}'};
    skip_space(cursor);
    skip_char(cursor, open);
}

static bool
read_key(mr_json_cursor_t *cursor, mr_json_span_t *key)
{
    const char *start = cursor->at;

    if (start == cursor->end || *start != '"' || !skip_string(cursor)) {
        cursor->malformed = true;
        return false;
    }
    *key = (mr_json_span_t){start + 1, (size_t)(cursor->at - start) - 2};
    skip_space(cursor);
    if (!skip_char(cursor, ':')) {
        return false;
    }
    skip_space(cursor);
    return true;
}

bool
mr_json_cursor_next(mr_json_cursor_t *cursor, mr_json_span_t *key,
                    mr_json_span_t *value)
{
    if (cursor->malformed) {
        return false;
    }
    skip_space(cursor);
    if (cursor->at < cursor->end && *cursor->at == cursor->close) {
        cursor->at++;
        skip_space(cursor);
        cursor->malformed = cursor->at != cursor->end;
        return false;
    }
    if (cursor->started) {
        if (!skip_char(cursor, ',')) {
            return false;
        }
        skip_space(cursor);
    }
    cursor->started = true;
    if (key != NULL && !read_key(cursor, key)) {
        return false;
    }
    value->text = cursor->at;
    if (!skip_value(cursor)) {
        return false;
    }
    value->len = (size_t)(cursor->at - value->text);
    return true;
}

char *
mr_json_canonical(const json_t *value)
{
    return json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
}
