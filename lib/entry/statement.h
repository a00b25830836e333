#ifndef MR_ENTRY_STATEMENT_H
#define MR_ENTRY_STATEMENT_H

/* Bodies of callers' requests. */

#include "config/model.h"

enum {
    MR_STATEMENT_BODY_MAX_BYTES = 256 << 10,
    MR_STATEMENT_DEADLINE_MAX_MS = 60000,
};

/** What a caller asks on one of the endpoints. */
typedef enum mr_statement_kind {
    MR_STATEMENT_RUN,      /* .../statements */
    MR_STATEMENT_BEGIN,    /* .../transactions */
    MR_STATEMENT_ISSUE_ID, /* .../request-ids */
    MR_STATEMENT_COMMIT,   /* /v1/transactions/commit */
    MR_STATEMENT_ROLLBACK, /* /v1/transactions/rollback */
} mr_statement_kind_t;

/** A checked body; strings are borrowed from @document. */
typedef struct mr_statement {
    json_t *document;
    mr_access_t access;
    char *statement; /* canonical JSON; NULL where there is none */
    const char *shard;
    const char *session;
    const char *request_id;
    const char *transaction;
    mr_freshness_t freshness;
    int64_t max_age_ms;
    bool idempotent;
    int64_t deadline_ms; /* 0: the route's */
} mr_statement_t;

/**
 * mr_statement_parse() - read and check a body
 * @problem: receives the reason, naming the field
 *
 * Return: true when @out must be released with mr_statement_release().
 */
bool mr_statement_parse(mr_statement_kind_t kind, const void *data, size_t len,
                        mr_statement_t *out, mr_json_problem_t *problem);
void mr_statement_release(mr_statement_t *statement);

/** mr_statement_tighten() - apply the route's freshness rule; a caller can
 * ask for fresher data than the route demands, never for older. */
void mr_statement_tighten(mr_statement_t *statement,
                          const mr_config_route_t *route);

#endif
