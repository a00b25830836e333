#ifndef MR_COMMON_HTTP_H
#define MR_COMMON_HTTP_H

/*
 * HTTP calls to one address: one call at a time on each connection, kept
 * connections, a deadline for each call. Every call ends with exactly one
 * callback, never before mr_http_call() returns.
 */

#include <event2/event.h>
#include <event2/http.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"

typedef struct mr_http mr_http_t;
/** A call in progress. */
typedef struct mr_http_pending mr_http_pending_t;

typedef struct mr_http_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *address; /* "IP:port" */
    const char *name;    /* of the other side, in logs and counters */
    size_t connections;  /* at one time; 0: one for each call */
    mr_ms_t lost_after;  /* without an answer, until that is logged */
    const char *traffic; /* kind of its byte counters; NULL: none */
} mr_http_options_t;

/** One header of a call; a table ends with a NULL name. */
typedef struct mr_http_header {
    const char *name;
    const char *value;
} mr_http_header_t;

/** One call; everything is copied by mr_http_call(). */
typedef struct mr_http_call {
    enum evhttp_cmd_type method;
    const char *uri;
    const mr_http_header_t *headers; /* NULL: none */
    const void *body;                /* NULL: none */
    size_t body_len;
    mr_ms_t timeout;
} mr_http_call_t;

/**
 * mr_http_fn_t - a call ended
 * @error: MR_OK when there is an answer; MR_ERR_UNAVAILABLE: not sent;
 *         MR_ERR_OUTCOME_UNKNOWN: sent, not answered
 * @body: borrowed, with a NUL byte behind it; NULL without an answer
 */
typedef void (*mr_http_fn_t)(void *ctx, mr_error_kind_t error, int status,
                             const char *body, size_t len);

/** mr_http_create() - NULL when the address is malformed. */
mr_http_t *mr_http_create(const mr_http_options_t *options);
/** mr_http_destroy() - open calls end without a callback. */
void mr_http_destroy(mr_http_t *http);

/** mr_http_call() - the handle is valid until the callback. */
mr_http_pending_t *mr_http_call(mr_http_t *http, const mr_http_call_t *call,
                                mr_http_fn_t fn, void *ctx);
/** mr_http_cancel() - end a call without a callback. */
void mr_http_cancel(mr_http_pending_t *pending);

#endif
