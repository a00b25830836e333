#include "config/rows.h"

#include <string.h>

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static const char *const state_names[] = {
    [MR_CONFIG_PROPOSED] = "proposed",
    [MR_CONFIG_APPROVED] = "approved",
    [MR_CONFIG_VETOED] = "vetoed",
};

const char *
mr_config_staged_state_name(mr_config_staged_state_t state)
{
    return state_names[state];
}

/* Copies exactly @size - 1 lower-case hex digits; with @optional, an empty
 * string is valid too. */
static bool
copy_hex(const char *path, const char *text, char *out, size_t size,
         bool optional, mr_json_problem_t *problem)
{
    size_t len = strlen(text);

    if ((len != size - 1 || strspn(text, "0123456789abcdef") != len)
        && !(optional && len == 0)) {
        return mr_json_problem_set(problem, "%s must be %zu hex digits", path,
                                   size - 1);
    }
    memcpy(out, text, len + 1);
    return true;
}

bool
mr_config_head_read(json_t *value, mr_config_head_t *head,
                    mr_json_problem_t *problem)
{
    const char *hash = "";
    const char *approval = "";
    const char *previous = "";
    const mr_json_field_t fields[] = {
        {"version", MR_JSON_INTEGER, true, &head->version, 1, INT64_MAX},
        {"hash", MR_JSON_STRING, true, &hash, 0, 0},
        {"approval", MR_JSON_STRING, true, &approval, 0, 0},
        {"previous", MR_JSON_STRING, true, &previous, 0, 0},
    };

    return mr_json_read(value, "head", fields, COUNT_OF(fields), problem)
           && copy_hex("head.hash", hash, head->hash, sizeof(head->hash),
                       false, problem)
           && copy_hex("head.approval", approval, head->approval,
                       sizeof(head->approval), false, problem)
           && copy_hex("head.previous", previous, head->previous,
                       sizeof(head->previous), true, problem);
}

json_t *
mr_config_head_write(const mr_config_head_t *head)
{
    return json_pack("{s:I,s:s,s:s,s:s}", "version", (json_int_t)head->version,
                     "hash", head->hash, "approval", head->approval,
                     "previous", head->previous);
}

static bool
read_state(const char *text, mr_config_staged_state_t *state,
           mr_json_problem_t *problem)
{
    for (size_t i = 0; i < COUNT_OF(state_names); i++) {
        if (strcmp(text, state_names[i]) == 0) {
            *state = (mr_config_staged_state_t)i;
            return true;
        }
    }
    return mr_json_problem_set(problem, "staged.state is unknown");
}

bool
mr_config_staged_read(json_t *value, mr_config_staged_t *staged,
                      mr_json_problem_t *problem)
{
    const char *hash = "";
    const char *approval = "";
    const char *state = "";
    const char *proposer = "";
    const mr_json_field_t fields[] = {
        {"version", MR_JSON_INTEGER, true, &staged->version, 1, INT64_MAX},
        {"hash", MR_JSON_STRING, true, &hash, 0, 0},
        {"approval", MR_JSON_STRING, true, &approval, 0, 0},
        {"state", MR_JSON_STRING, true, &state, 0, 0},
        {"proposer", MR_JSON_STRING, true, &proposer, 0, 0},
        {"accepting", MR_JSON_BOOL, false, &staged->accepting, 0, 0},
    };

    staged->accepting = false;
    if (!mr_json_read(value, "staged", fields, COUNT_OF(fields), problem)
        || !copy_hex("staged.hash", hash, staged->hash, sizeof(staged->hash),
                     false, problem)
        || !read_state(state, &staged->state, problem)
        || !copy_hex("staged.approval", approval, staged->approval,
                     sizeof(staged->approval),
                     staged->state != MR_CONFIG_APPROVED, problem)) {
        return false;
    }
    if (strlen(proposer) >= sizeof(staged->proposer)) {
        return mr_json_problem_set(problem, "staged.proposer is too long");
    }
    strcpy(staged->proposer, proposer);
    return true;
}

json_t *
mr_config_staged_write(const mr_config_staged_t *staged)
{
    json_t *value = json_pack(
        "{s:I,s:s,s:s,s:s,s:s}", "version", (json_int_t)staged->version,
        "hash", staged->hash, "approval", staged->approval, "state",
        mr_config_staged_state_name(staged->state), "proposer",
        staged->proposer);

    if (staged->accepting) {
        json_object_set_new(value, "accepting", json_true());
    }
    return value;
}

bool
mr_config_confirm_read(json_t *value, mr_config_confirm_t *confirm,
                       mr_json_problem_t *problem)
{
    const char *hash = "";
    const mr_json_field_t fields[] = {
        {"version", MR_JSON_INTEGER, true, &confirm->version, 1, INT64_MAX},
        {"hash", MR_JSON_STRING, true, &hash, 0, 0},
    };

    return mr_json_read(value, "confirm", fields, COUNT_OF(fields), problem)
           && copy_hex("confirm.hash", hash, confirm->hash,
                       sizeof(confirm->hash), false, problem);
}

json_t *
mr_config_confirm_write(const mr_config_confirm_t *confirm)
{
    return json_pack("{s:I,s:s}", "version", (json_int_t)confirm->version,
                     "hash", confirm->hash);
}
