/* Fuzz target for the strict JSON reader of request bodies. A failed parse
 * must give an error message, and read fields must be within their limits. */

#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
    const char *text = "";
    int64_t number = 1;
    bool flag = false;
    json_t *object = NULL;
    json_t *array = NULL;
    json_t *any = NULL;
    const mr_json_field_t fields[] = {
        {"text", MR_JSON_STRING, true, &text, 0, 0},
        {"number", MR_JSON_INTEGER, false, &number, 1, 9},
        {"flag", MR_JSON_BOOL, false, &flag, 0, 0},
        {"object", MR_JSON_OBJECT, false, &object, 0, 0},
        {"array", MR_JSON_ARRAY, false, &array, 0, 0},
        {"any", MR_JSON_ANY, false, &any, 0, 0},
    };
    mr_json_problem_t problem = {{0}};
    json_t *value = mr_json_parse(data, len, &problem);

    if (value == NULL) {
        return problem.text[0] == '\0' ? (abort(), 0) : 0;
    }
    bool read = mr_json_read(value, "body", fields,
                             sizeof(fields) / sizeof(fields[0]), &problem);
    if (read && (number < 1 || number > 9 || strlen(text) > len)) {
        abort();
    }
    char *canonical = mr_json_canonical(value);
    free(canonical);
    json_decref(value);
    return 0;
}
