#ifndef MR_GROUP_TARGET_H
#define MR_GROUP_TARGET_H

/*
 * Connections to targets. This module alone implements the targets' protocol.
 */

#include <event2/event.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/traffic.h"
#include "wire/msg.h"

/** Maximum length of an answer's body. */
enum { MR_TARGET_BODY_MAX_BYTES = 8 << 20 };

/** Log state of a target, which each of its answers carries. */
typedef struct mr_log_state {
    bool primary;
    int64_t term;      /* highest term known to the target */
    int64_t last_term; /* of the last log entry */
    int64_t position;  /* of the last log entry */
    bool leaving;
} mr_log_state_t;

/** mr_log_state_covers() - whether the log is at or past (@term, @position).
 */
bool mr_log_state_covers(const mr_log_state_t *state, int64_t term,
                         int64_t position);

/** mr_log_state_compare() - order by (last_term, position); returns <0, 0 or
 * >0. */
int mr_log_state_compare(const mr_log_state_t *a, const mr_log_state_t *b);

typedef enum mr_target_operation {
    MR_TARGET_STATUS,
    MR_TARGET_EXECUTE,
    MR_TARGET_BEGIN,
    MR_TARGET_COMMIT,
    MR_TARGET_ROLLBACK,
    MR_TARGET_GRANT,
    MR_TARGET_PROMOTE,
} mr_target_operation_t;

/** Why a target refused a request; the statement was not executed. */
typedef enum mr_target_refusal {
    MR_REFUSAL_NONE,
    MR_REFUSAL_WRONG_TERM,
    MR_REFUSAL_NOT_PRIMARY,
    MR_REFUSAL_LEAVING,
    MR_REFUSAL_BUSY, /* no free slot, or the connection limit is reached */
    MR_REFUSAL_NO_TRANSACTION,
    MR_REFUSAL_OTHER,
} mr_target_refusal_t;

typedef struct mr_target_request {
    mr_target_operation_t operation;
    mr_access_t access;
    int64_t term;            /* writes, GRANT and PROMOTE */
    mr_bytes_t statement;    /* JSON; EXECUTE */
    const char *transaction; /* NULL or "": none */
    mr_ms_t timeout;         /* after which the connection is closed */
} mr_target_request_t;

typedef struct mr_target_reply {
    /**
     * MR_OK; MR_ERR_STATEMENT_FAILED; MR_ERR_TARGET_REFUSED;
     * MR_ERR_UNAVAILABLE when the request was not sent;
     * MR_ERR_OUTCOME_UNKNOWN when the request may have reached the target
     */
    mr_error_kind_t error;
    mr_target_refusal_t refusal;
    bool has_state;
    mr_log_state_t state;
    mr_bytes_t result; /* JSON text */
    const char *message;
    const char *transaction; /* answer to BEGIN; "" otherwise */
    bool granted;            /* answer to GRANT */
} mr_target_reply_t;

/** Called exactly once per request, never from within mr_target_conn_send().
 * The reply is valid during the call only. The callback may destroy the
 * connection. */
typedef void (*mr_target_reply_fn_t)(void *ctx,
                                     const mr_target_reply_t *reply);

/** A connection; carries one request at a time. */
typedef struct mr_target_conn mr_target_conn_t;

/** mr_target_conn_create() - create a connection to "IP:port", which is opened
 * by the first request; NULL when @address is malformed. */
mr_target_conn_t *mr_target_conn_create(struct event_base *base,
                                        const char *address);

/** mr_target_conn_destroy() - close and free a connection; the callback of a
 * pending request is not called. */
void mr_target_conn_destroy(mr_target_conn_t *conn);

/** mr_target_conn_set_traffic() - count the bytes of @conn in @traffic. */
void mr_target_conn_set_traffic(mr_target_conn_t *conn,
                                const mr_traffic_t *traffic);

/** mr_target_conn_send() - send one request; the connection must be idle. */
void mr_target_conn_send(mr_target_conn_t *conn,
                         const mr_target_request_t *request,
                         mr_target_reply_fn_t fn, void *ctx);

/** mr_target_conn_usable() - whether @conn can take a request: it is idle, and
 * open or not opened yet. A connection whose last request had no complete
 * answer is not usable. */
bool mr_target_conn_usable(const mr_target_conn_t *conn);

#endif
