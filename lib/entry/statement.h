#ifndef MR_ENTRY_STATEMENT_H
#define MR_ENTRY_STATEMENT_H

/* Parsing of the bodies of callers' requests. */

#include "config/model.h"

enum {
    MR_STATEMENT_BODY_MAX_BYTES = 256 << 10,
    MR_STATEMENT_DEADLINE_MAX_MS = 60000,
};

/** Kinds of requests, by endpoint. */
typedef enum mr_statement_kind {
    MR_STATEMENT_RUN,      /* .../statements */
    MR_STATEMENT_BEGIN,    /* .../transactions */
    MR_STATEMENT_ISSUE_ID, /* .../request-ids */
    MR_STATEMENT_COMMIT,   /* /v1/transactions/commit */
    MR_STATEMENT_ROLLBACK, /* /v1/transactions/rollback */
} mr_statement_kind_t;

/** A parsed body. Strings other than @statement point into @document. */
typedef struct mr_statement {
    json_t *document;
    mr_access_t access;
    char *statement; /* canonical JSON; NULL without one */
    const char *shard;
    const char *session;
    const char *request_id;
    const char *transaction;
    mr_freshness_t freshness;
    int64_t max_age_ms;
    bool idempotent;
    int64_t deadline_ms; /* 0: the route's deadline applies */
} mr_statement_t;

/**
 * mr_statement_parse() - parse and validate a body
 * @problem: receives the reason of a failure, naming the field
 *
 * Return: true on success; @out must then be released with
 *         mr_statement_release().
 */
bool mr_statement_parse(mr_statement_kind_t kind, const void *data, size_t len,
                        mr_statement_t *out, mr_json_problem_t *problem);
void mr_statement_release(mr_statement_t *statement);

/** mr_statement_apply_route_freshness() - apply the route's minimum freshness.
 * A caller can request fresher data than the route requires, but not staler.
 */
void mr_statement_apply_route_freshness(mr_statement_t *statement,
                                        const mr_config_route_t *route);

#endif
