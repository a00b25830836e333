#ifndef MR_WIRE_PEER_H
#define MR_WIRE_PEER_H

/*
 * Links between instances: framed msgpack over TCP. A process accepts links
 * and opens links to addresses on demand. The side that opened a link sends
 * requests over it; the replies return over the same link and are matched by
 * call number.
 */

#include <event2/event.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/error.h"
#include "common/tls.h"
#include "wire/msg.h"

enum { MR_PEER_SECRET_BYTES = 32 };

/** All links of one process. */
typedef struct mr_peer mr_peer_t;

/** A call waiting for its reply. */
typedef struct mr_peer_call mr_peer_call_t;

/** A received request, to be answered exactly once. */
typedef struct mr_peer_request mr_peer_request_t;

/**
 * Limits of the links of a process. A message that would exceed one is not
 * queued, and those that are queued stay. The unsent output of a link is also
 * limited to what is left of @output_max_bytes, so that links with short
 * queues find room when others are full.
 */
typedef struct mr_peer_limits {
    size_t frame_max_bytes;       /* one message, with its header */
    size_t link_output_max_bytes; /* unsent output of a link */
    size_t output_max_bytes;      /* unsent output of all links */
    size_t requests_max;          /* unanswered or unsent, on a link */
} mr_peer_limits_t;

/** Limits for links that carry statements and their answers. */
extern const mr_peer_limits_t mr_peer_statement_limits;

/** Limits for links that carry only reports and their replies. */
extern const mr_peer_limits_t mr_peer_report_limits;

/** Limits for links that carry reports and the queries of shared connections.
 */
extern const mr_peer_limits_t mr_peer_sharing_limits;

/** Options of mr_peer_create(). Strings and the secret are copied. */
typedef struct mr_peer_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *name;
    const char *data_centre;
    int64_t incarnation;
    const uint8_t *secret; /* fleet secret, MR_PEER_SECRET_BYTES bytes */
    mr_tls_t *tls;         /* NULL: plain TCP */
    const mr_peer_limits_t *limits; /* NULL: mr_peer_statement_limits */
} mr_peer_options_t;

/** mr_peer_handler_fn_t - handles a request or, with @request NULL, a one-way
 * message; @from is the sender's name. */
typedef void (*mr_peer_handler_fn_t)(void *ctx, mr_peer_request_t *request,
                                     const mr_msg_t *msg, const char *from);

/**
 * mr_peer_reply_fn_t - receives the result of a call
 * @error: MR_OK if @reply is set; MR_ERR_UNAVAILABLE if the request was never
 *         sent; MR_ERR_OUTCOME_UNKNOWN if it may have arrived
 */
typedef void (*mr_peer_reply_fn_t)(void *ctx, mr_error_kind_t error,
                                   const mr_msg_t *reply);

mr_peer_t *mr_peer_create(const mr_peer_options_t *options);

/** mr_peer_destroy() - close all links; calls in progress end without a
 * callback. */
void mr_peer_destroy(mr_peer_t *peer);

/**
 * mr_peer_listen() - accept links
 * @address: "IP:port"; port 0 selects a free one
 *
 * Return: the port, or -1 on failure.
 */
int mr_peer_listen(mr_peer_t *peer, const char *address);

/** mr_peer_set_secret() - replace the fleet secret and close all links, as the
 * other sides may have proved an older one. Calls in progress fail. Not to be
 * called by a handler of the peer. */
void mr_peer_set_secret(mr_peer_t *peer, const uint8_t *secret);

/** mr_peer_handle() - set the handler for messages of @type. */
void mr_peer_handle(mr_peer_t *peer, mr_msg_type_t type,
                    mr_peer_handler_fn_t handler, void *ctx);

/** mr_peer_on_closed() - call @fn when a link that another process opened has
 * closed; @from: its name, or "" before the handshake. Not called by
 * mr_peer_destroy(). NULL removes the callback. */
void mr_peer_on_closed(mr_peer_t *peer,
                       void (*fn)(void *ctx, const char *from), void *ctx);

/**
 * mr_peer_call() - send a request
 * @address: "IP:port" of the receiver
 * @msg: the request; its call number is ignored
 * @timeout: time after which @fn is called with an error
 * @fn: called exactly once, after this function has returned
 *
 * A request that cannot be queued within the limits fails in the next
 * iteration of the event loop. One that is still queued when it times out or
 * is cancelled is not sent.
 */
mr_peer_call_t *mr_peer_call(mr_peer_t *peer, const char *address,
                             const mr_msg_t *msg, mr_ms_t timeout,
                             mr_peer_reply_fn_t fn, void *ctx);

/** mr_peer_call_sent() - return whether the request was passed to a link, so
 * that the other side may have received it. */
bool mr_peer_call_sent(const mr_peer_call_t *call);

/** mr_peer_cancel() - drop a call without calling its callback. */
void mr_peer_cancel(mr_peer_call_t *call);

/** mr_peer_send() - send a one-way message; it may be lost. */
void mr_peer_send(mr_peer_t *peer, const char *address, const mr_msg_t *msg);

/** mr_peer_reply() - answer @request and free it. A reply that cannot be
 * queued within the limits is dropped. */
void mr_peer_reply(mr_peer_request_t *request, const mr_msg_t *reply);

#endif
