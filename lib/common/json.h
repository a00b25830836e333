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

/** mr_json_problem_set() - format the reason of a failure. Return: false. */
bool mr_json_problem_set(mr_json_problem_t *problem, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** mr_json_canonical() - encode @value with sorted keys and without spaces;
 * the caller frees the text. */
char *mr_json_canonical(const json_t *value);

#endif
