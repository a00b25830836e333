#ifndef MR_COMMON_ERROR_H
#define MR_COMMON_ERROR_H

/** Whether the statement of a request ran. */
typedef enum mr_outcome {
    MR_OUTCOME_NOT_RUN,
    MR_OUTCOME_RAN,
    MR_OUTCOME_UNKNOWN,
} mr_outcome_t;

/**
 * MR_ERROR_KINDS() - list of all error kinds
 *
 * Each entry has a constant, the name in answers, the HTTP status and the
 * outcome. Instances exchange the numeric values, so new kinds are added at
 * the end.
 */
#define MR_ERROR_KINDS(X)                                                     \
    X(MR_OK, "ok", 200, MR_OUTCOME_RAN)                                       \
    X(MR_ERR_INVALID_REQUEST, "invalid_request", 400, MR_OUTCOME_NOT_RUN)     \
    X(MR_ERR_INVALID_SESSION, "invalid_session", 400, MR_OUTCOME_NOT_RUN)     \
    X(MR_ERR_INVALID_REQUEST_ID, "invalid_request_id", 400,                   \
      MR_OUTCOME_NOT_RUN)                                                     \
    X(MR_ERR_UNAUTHENTICATED, "unauthenticated", 401, MR_OUTCOME_NOT_RUN)     \
    X(MR_ERR_FORBIDDEN, "forbidden", 403, MR_OUTCOME_NOT_RUN)                 \
    X(MR_ERR_UNKNOWN_ROUTE, "unknown_route", 404, MR_OUTCOME_NOT_RUN)         \
    X(MR_ERR_NOT_FOUND, "not_found", 404, MR_OUTCOME_NOT_RUN)                 \
    X(MR_ERR_METHOD_NOT_ALLOWED, "method_not_allowed", 405,                   \
      MR_OUTCOME_NOT_RUN)                                                     \
    X(MR_ERR_CONFLICT, "conflict", 409, MR_OUTCOME_NOT_RUN)                   \
    X(MR_ERR_INVALID_TRANSACTION, "invalid_transaction", 409,                 \
      MR_OUTCOME_NOT_RUN)                                                     \
    X(MR_ERR_TRANSACTION_LOST, "transaction_lost", 409, MR_OUTCOME_NOT_RUN)   \
    X(MR_ERR_TRANSACTION_BUSY, "transaction_busy", 409, MR_OUTCOME_NOT_RUN)   \
    X(MR_ERR_SESSION_TOO_WIDE, "session_too_wide", 409, MR_OUTCOME_NOT_RUN)   \
    X(MR_ERR_PAYLOAD_TOO_LARGE, "payload_too_large", 413, MR_OUTCOME_NOT_RUN) \
    X(MR_ERR_STATEMENT_FAILED, "statement_failed", 422, MR_OUTCOME_RAN)       \
    X(MR_ERR_RATE_LIMITED, "rate_limited", 429, MR_OUTCOME_NOT_RUN)           \
    X(MR_ERR_INTERNAL, "internal", 500, MR_OUTCOME_UNKNOWN)                   \
    X(MR_ERR_TARGET_REFUSED, "target_refused", 502, MR_OUTCOME_NOT_RUN)       \
    X(MR_ERR_OVERLOADED, "overloaded", 503, MR_OUTCOME_NOT_RUN)               \
    X(MR_ERR_NO_PRIMARY, "no_primary", 503, MR_OUTCOME_NOT_RUN)               \
    X(MR_ERR_NOT_FRESH, "not_fresh", 503, MR_OUTCOME_NOT_RUN)                 \
    X(MR_ERR_UNAVAILABLE, "unavailable", 503, MR_OUTCOME_NOT_RUN)             \
    X(MR_ERR_CONFIG_MISSING, "config_missing", 503, MR_OUTCOME_NOT_RUN)       \
    X(MR_ERR_CONFIG_STALE, "config_stale", 503, MR_OUTCOME_NOT_RUN)           \
    X(MR_ERR_SHUTTING_DOWN, "shutting_down", 503, MR_OUTCOME_NOT_RUN)         \
    X(MR_ERR_WRONG_OWNER, "wrong_owner", 503, MR_OUTCOME_NOT_RUN)             \
    X(MR_ERR_DEADLINE_EXCEEDED, "deadline_exceeded", 504, MR_OUTCOME_NOT_RUN) \
    X(MR_ERR_OUTCOME_UNKNOWN, "outcome_unknown", 504, MR_OUTCOME_UNKNOWN)     \
    X(MR_ERR_REQUEST_ID_EXPIRED, "request_id_expired", 504,                   \
      MR_OUTCOME_UNKNOWN)                                                     \
    X(MR_ERR_UNKNOWN_STATEMENT, "unknown_statement", 404, MR_OUTCOME_NOT_RUN) \
    X(MR_ERR_STATEMENT_TIMEOUT, "statement_timeout", 504, MR_OUTCOME_UNKNOWN) \
    X(MR_ERR_MEMORY_SHORT, "memory_short", 503, MR_OUTCOME_NOT_RUN)

#define MR_ERROR_ENUM(kind, name, status, outcome) kind,
/** Kind of an error; see MR_ERROR_KINDS(). */
typedef enum mr_error_kind {
    MR_ERROR_KINDS(MR_ERROR_ENUM) MR_ERROR_COUNT
} mr_error_kind_t;
#undef MR_ERROR_ENUM

/** mr_error_name() - return the name of @kind in answers, which never
 * changes. */
const char *mr_error_name(mr_error_kind_t kind);

/** mr_error_status() - return the HTTP status of answers with @kind. */
int mr_error_status(mr_error_kind_t kind);

/** mr_error_outcome() - return the outcome that @kind implies. */
mr_outcome_t mr_error_outcome(mr_error_kind_t kind);

/** mr_outcome_name() - return "not_run", "ran" or "unknown". */
const char *mr_outcome_name(mr_outcome_t outcome);

/** mr_error_from_wire() - convert a received value to an error kind;
 * MR_ERR_INTERNAL if it is unknown. */
mr_error_kind_t mr_error_from_wire(long long value);

#endif
