#ifndef MR_COMMON_HTTP_H
#define MR_COMMON_HTTP_H

/*
 * HTTP client for one address. Connections are kept open and reused; each
 * carries one call at a time. Every call has a deadline and ends with exactly
 * one callback, which never runs before mr_http_call() returns.
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
    const char *name;    /* of the server, in logs and counters */
    size_t connections;  /* maximum; 0: no limit, so that no call waits */
    mr_ms_t unreachable_after; /* time without an answer after which the server
                                  is logged as lost */
    const char *traffic; /* kind of the byte counters; NULL: not counted */
    /* A connection that has been idle for longer is not used again, and a sent
     * call that times out closes all idle ones: connections can be dead
     * without telling. 0: neither. */
    mr_ms_t idle_max;
} mr_http_options_t;

/** One header of a call; an array of headers ends with a NULL name. */
typedef struct mr_http_header {
    const char *name;
    const char *value;
} mr_http_header_t;

/** One call; mr_http_call() copies everything. */
typedef struct mr_http_call {
    enum evhttp_cmd_type method;
    const char *uri;
    const mr_http_header_t *headers; /* NULL: none */
    const void *body;                /* NULL: none */
    size_t body_len;
    mr_ms_t timeout;
    /* An answer that is arriving may take until timeout_max, as long as no
     * stretch of timeout_progress passes without any of it. 0: it may not. */
    mr_ms_t timeout_max;
    mr_ms_t timeout_progress;
} mr_http_call_t;

/**
 * mr_http_fn_t - callback when a call ends
 * @error: MR_OK: answered with any status; MR_ERR_UNAVAILABLE: not sent;
 *         MR_ERR_OUTCOME_UNKNOWN: sent, but not answered
 * @body: borrowed and followed by a NUL byte; NULL without an answer
 */
typedef void (*mr_http_fn_t)(void *ctx, mr_error_kind_t error, int status,
                             const char *body, size_t len);

/** mr_http_create() - create a client; NULL when the address is malformed. */
mr_http_t *mr_http_create(const mr_http_options_t *options);
/** mr_http_destroy() - free the client and drop pending calls without a
 * callback. */
void mr_http_destroy(mr_http_t *http);

/** mr_http_call() - start a call. Return: a handle, valid until the callback.
 */
mr_http_pending_t *mr_http_call(mr_http_t *http, const mr_http_call_t *call,
                                mr_http_fn_t fn, void *ctx);
/** mr_http_answer_header() - header @name of the answer that is passed to the
 * running callback; NULL if it has none, and outside of callbacks. */
const char *mr_http_answer_header(const mr_http_t *http, const char *name);
/** mr_http_cancel() - drop a call without a callback. */
void mr_http_cancel(mr_http_pending_t *pending);

#endif
