#include "common/error.h"

#include <assert.h>

typedef struct error_info {
    const char *name;
    int status;
    mr_outcome_t outcome;
} error_info_t;

#define ERROR_INFO(kind, name, status, outcome)                               \
    [kind] = {name, status, outcome},
static const error_info_t error_infos[MR_ERROR_COUNT] = {
    MR_ERROR_KINDS(ERROR_INFO)};
#undef ERROR_INFO

static const error_info_t *
find_info(mr_error_kind_t kind)
{
    assert(kind >= MR_OK && kind < MR_ERROR_COUNT);
    return &error_infos[kind];
}

const char *
mr_error_name(mr_error_kind_t kind)
{
    return find_info(kind)->name;
}

int
mr_error_status(mr_error_kind_t kind)
{
    return find_info(kind)->status;
}

mr_outcome_t
mr_error_outcome(mr_error_kind_t kind)
{
    return find_info(kind)->outcome;
}

const char *
mr_outcome_name(mr_outcome_t outcome)
{
    switch (outcome) {
    case MR_OUTCOME_NOT_RUN:
        return "not_run";
    case MR_OUTCOME_RAN:
        return "ran";
    case MR_OUTCOME_UNKNOWN:
        break;
    }
    return "unknown";
}

mr_error_kind_t
mr_error_from_wire(long long value)
{
    if (value < 0 || value >= MR_ERROR_COUNT) {
        return MR_ERR_INTERNAL;
    }
    return (mr_error_kind_t)value;
}
