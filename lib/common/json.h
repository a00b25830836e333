#ifndef MR_COMMON_JSON_H
#define MR_COMMON_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Type of a JSON field and of the variable that receives it. */
typedef enum mr_json_kind {
    MR_JSON_STRING,  /* const char *, borrowed from the document */
    MR_JSON_INTEGER, /* int64_t */
    MR_JSON_BOOL,    /* bool */
    MR_JSON_OBJECT,  /* json_t *, borrowed */
    MR_JSON_ARRAY,   /* json_t *, borrowed */
    MR_JSON_ANY,     /* json_t *, borrowed */
} mr_json_kind_t;

/** One field that mr_json_read() reads. */
typedef struct mr_json_field {
    const char *name;
    mr_json_kind_t kind;
    bool required;
    void *out;
    int64_t min; /* inclusive bounds of MR_JSON_INTEGER; both 0: none */
    int64_t max;
} mr_json_field_t;

/** Why a document was refused; names the field, if any. */
typedef struct mr_json_problem {
    char text[256];
} mr_json_problem_t;

/**
 * mr_json_read() - read and validate the fields of an object
 * @object: object to read
 * @path: path of the object in the document, for messages
 * @fields: the known fields; the outputs of absent optional fields are left
 *          unchanged
 * @count: number of @fields
 * @problem: receives the reason of a failure
 *
 * A missing required field, a wrong type, a number out of bounds and an
 * unknown field are errors.
 *
 * Return: true on success; on failure some outputs may be set.
 */
bool mr_json_read(json_t *object, const char *path,
                  const mr_json_field_t *fields, size_t count,
                  mr_json_problem_t *problem);

/**
 * mr_json_parse() - parse a JSON document; duplicate keys are an error
 *
 * Return: a new reference, or NULL with @problem set.
 */
json_t *mr_json_parse(const void *data, size_t len,
                      mr_json_problem_t *problem);

/** mr_json_parse_with_nul() - like mr_json_parse(), but texts may contain NUL
 * bytes, which mr_json_parse() takes for malformed. */
json_t *mr_json_parse_with_nul(const void *data, size_t len,
                               mr_json_problem_t *problem);

/** mr_json_problem_set() - format the reason of a failure. Return: false. */
bool mr_json_problem_set(mr_json_problem_t *problem, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** Text of one value in a document. */
typedef struct mr_json_span {
    const char *text;
    size_t len;
} mr_json_span_t;

/** mr_json_parse_value() - like mr_json_parse(), for a value of any type. */
json_t *mr_json_parse_value(mr_json_span_t span, mr_json_problem_t *problem);

/** Position in an array or object whose values are read one by one. */
typedef struct mr_json_cursor {
    const char *at;
    const char *end; /* of the text */
    char close;      /* bracket that ends the array or object */
    bool started;    /* at least one value was read */
    bool malformed;
} mr_json_cursor_t;

/**
 * mr_json_cursor_open() - begin to read the array or object @span
 * @open: '[' or '{'
 *
 * The cursor finds where values end, so that a long list can be parsed in
 * parts; it does not check the values themselves.
 */
void mr_json_cursor_open(mr_json_cursor_t *cursor, mr_json_span_t span,
                         char open);

/**
 * mr_json_cursor_next() - read the next value
 * @key: receives the key of an object's value, without quotes and with its
 *       escapes; NULL for arrays
 *
 * Return: false at the end, or with @cursor->malformed set.
 */
bool mr_json_cursor_next(mr_json_cursor_t *cursor, mr_json_span_t *key,
                         mr_json_span_t *value);

/** mr_json_canonical() - encode @value with sorted keys and without spaces;
 * the caller frees the text. */
char *mr_json_canonical(const json_t *value);

#endif
