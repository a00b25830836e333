#include "common/error.h"

#include <assert.h>

typedef struct error_row {
    const char *name;
    int status;
    mr_outcome_t outcome;
} error_row_t;

#define ERROR_ROW(kind, name, status, outcome)                                \
    [kind] = {name, status, outcome},
static const error_row_t error_rows[MR_ERROR_COUNT] = {
    MR_ERROR_KINDS(ERROR_ROW)};
#undef ERROR_ROW

static const error_row_t *
find_row(mr_error_kind_t kind)
{
    assert(kind >= MR_OK && kind < MR_ERROR_COUNT);
    return &error_rows[kind];
}

const char *
mr_error_name(mr_error_kind_t kind)
{
    return find_row(kind)->name;
}

int
mr_error_status(mr_error_kind_t kind)
{
    return find_row(kind)->status;
}

mr_outcome_t
mr_error_outcome(mr_error_kind_t kind)
{
    return find_row(kind)->outcome;
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
