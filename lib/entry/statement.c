#include "entry/statement.h"

#include <stdlib.h>
#include <string.h>

enum { MAX_AGE_MAX_MS = 86400000 };

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static bool
parse_access(const char *text, mr_statement_t *out, mr_json_problem_t *problem)
{
    if (strcmp(text, "read") == 0) {
        out->access = MR_ACCESS_READ;
        return true;
    }
    if (strcmp(text, "write") == 0) {
        out->access = MR_ACCESS_WRITE;
        return true;
    }
    return mr_json_problem_set(problem,
                               "body.access must be 'read' or 'write'");
}

static bool
parse_freshness(json_t *freshness, mr_statement_t *out,
                mr_json_problem_t *problem)
{
    const char *mode = NULL;
    const mr_json_field_t fields[] = {
        {"mode", MR_JSON_STRING, true, &mode, 0, 0},
        {"max_age_ms", MR_JSON_INTEGER, false, &out->max_age_ms, 0,
         MAX_AGE_MAX_MS},
    };

    if (!mr_json_read(freshness, "body.freshness", fields, COUNT_OF(fields),
                      problem)) {
        return false;
    }
    if (!mr_freshness_parse(mode, &out->freshness)) {
        return mr_json_problem_set(
            problem,
            "body.freshness.mode must be 'session', 'max_age' or 'present'");
    }
    if (out->freshness == MR_FRESHNESS_MAX_AGE
        && json_object_get(freshness, "max_age_ms") == NULL) {
        return mr_json_problem_set(problem,
                                   "body.freshness.max_age_ms is missing");
    }
    return true;
}

static bool
parse_run(mr_statement_t *out, mr_json_problem_t *problem)
{
    const char *access = NULL;
    json_t *statement = NULL;
    json_t *freshness = NULL;
    const mr_json_field_t fields[] = {
        {"access", MR_JSON_STRING, true, &access, 0, 0},
        {"statement", MR_JSON_OBJECT, true, &statement, 0, 0},
        {"shard", MR_JSON_STRING, false, &out->shard, 0, 0},
        {"session", MR_JSON_STRING, false, &out->session, 0, 0},
        {"freshness", MR_JSON_OBJECT, false, &freshness, 0, 0},
        {"idempotent", MR_JSON_BOOL, false, &out->idempotent, 0, 0},
        {"request_id", MR_JSON_STRING, false, &out->request_id, 0, 0},
        {"deadline_ms", MR_JSON_INTEGER, false, &out->deadline_ms, 1,
         MR_STATEMENT_DEADLINE_MAX_MS},
        {"transaction", MR_JSON_STRING, false, &out->transaction, 0, 0},
    };

    if (!mr_json_read(out->document, "body", fields, COUNT_OF(fields), problem)
        || !parse_access(access, out, problem)) {
        return false;
    }
    if (freshness != NULL && !parse_freshness(freshness, out, problem)) {
        return false;
    }
    if (out->transaction != NULL
        && (out->request_id != NULL || out->shard != NULL
            || freshness != NULL)) {
        return mr_json_problem_set(problem,
                                   "body.transaction cannot be combined with "
                                   "shard, request_id or freshness");
    }
    if (out->request_id != NULL
        && (out->access == MR_ACCESS_READ || out->idempotent)) {
        return mr_json_problem_set(
            problem,
            "body.request_id is only allowed for non-idempotent writes");
    }
    out->statement = mr_json_canonical(statement);
    return out->statement != NULL
           || mr_json_problem_set(problem, "body.statement cannot be encoded");
}

static bool
parse_begin(mr_statement_t *out, mr_json_problem_t *problem)
{
    const char *access = NULL;
    const mr_json_field_t fields[] = {
        {"access", MR_JSON_STRING, true, &access, 0, 0},
        {"shard", MR_JSON_STRING, false, &out->shard, 0, 0},
        {"session", MR_JSON_STRING, false, &out->session, 0, 0},
        {"deadline_ms", MR_JSON_INTEGER, false, &out->deadline_ms, 1,
         MR_STATEMENT_DEADLINE_MAX_MS},
    };

    return mr_json_read(out->document, "body", fields, COUNT_OF(fields),
                        problem)
           && parse_access(access, out, problem);
}

static bool
parse_transaction_end(mr_statement_t *out, mr_json_problem_t *problem)
{
    const mr_json_field_t fields[] = {
        {"transaction", MR_JSON_STRING, true, &out->transaction, 0, 0},
        {"session", MR_JSON_STRING, false, &out->session, 0, 0},
        {"deadline_ms", MR_JSON_INTEGER, false, &out->deadline_ms, 1,
         MR_STATEMENT_DEADLINE_MAX_MS},
    };

    return mr_json_read(out->document, "body", fields, COUNT_OF(fields),
                        problem);
}

static bool
parse_fields(mr_statement_kind_t kind, mr_statement_t *out,
             mr_json_problem_t *problem)
{
    switch (kind) {
    case MR_STATEMENT_RUN:
        return parse_run(out, problem);
    case MR_STATEMENT_BEGIN:
        return parse_begin(out, problem);
    case MR_STATEMENT_ISSUE_ID:
        return mr_json_read(out->document, "body", NULL, 0, problem);
    case MR_STATEMENT_COMMIT:
    case MR_STATEMENT_ROLLBACK:
        return parse_transaction_end(out, problem);
    }
    return false;
}

bool
mr_statement_parse(mr_statement_kind_t kind, const void *data, size_t len,
                   mr_statement_t *out, mr_json_problem_t *problem)
{
    memset(out, 0, sizeof(*out));
    out->freshness = MR_FRESHNESS_SESSION;
    out->document =
        mr_json_parse(len == 0 ? "{}" : data, len == 0 ? 2 : len, problem);
    if (out->document == NULL) {
        return false;
    }
    if (!parse_fields(kind, out, problem)) {
        mr_statement_release(out);
        return false;
    }
    return true;
}

void
mr_statement_release(mr_statement_t *statement)
{
    json_decref(statement->document);
    free(statement->statement);
    memset(statement, 0, sizeof(*statement));
}

void
mr_statement_apply_route_freshness(mr_statement_t *statement,
                                   const mr_config_route_t *route)
{
    if (statement->freshness == MR_FRESHNESS_PRESENT) {
        return;
    }
    switch (route->freshness) {
    case MR_FRESHNESS_SESSION:
        break;
    case MR_FRESHNESS_MAX_AGE:
        if (statement->freshness == MR_FRESHNESS_SESSION
            || statement->max_age_ms > route->max_age_ms) {
            statement->max_age_ms = route->max_age_ms;
        }
        statement->freshness = MR_FRESHNESS_MAX_AGE;
        break;
    case MR_FRESHNESS_PRESENT:
        statement->freshness = MR_FRESHNESS_PRESENT;
        break;
    }
}
