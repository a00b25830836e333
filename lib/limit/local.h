#ifndef MR_LIMIT_LOCAL_H
#define MR_LIMIT_LOCAL_H

/*
 * One account at an instance that serves clients: the grants it holds, its
 * recent demand, and when to send a grant request. No I/O is done here.
 */

#include "limit/grant.h"

enum {
    MR_LIMIT_HOLD_MS = 50, /* a client request is held at most this long */
};

typedef struct mr_limit_local {
    mr_held_grants_t grants;
    mr_limit_amount_t limit; /* of the account, as last configured */
    int64_t demand;          /* thousandths of a request per second */
    int64_t window_arrivals; /* in the current window */
    mr_ms_t window_start;    /* start of the window */
    mr_ms_t requested_at;
    mr_ms_t last_arrival;
    bool must_report; /* a change has to be reported to the limiter */
    int outstanding;  /* grant requests without a reply */
} mr_limit_local_t;

void mr_limit_local_init(mr_limit_local_t *local, mr_ms_t now);

/** mr_limit_local_configure() - set the account's limit. */
void mr_limit_local_configure(mr_limit_local_t *local, mr_limit_amount_t limit,
                              mr_ms_t now);

/** mr_limit_local_arrive() - count a client request and take a token if one is
 * available. */
bool mr_limit_local_arrive(mr_limit_local_t *local, mr_ms_t now);

/**
 * mr_limit_local_prepare_request() - whether a grant request is due
 * @waiting: number of client requests that are held
 * @request: receives the request, except the instance and process
 *
 * The caller sends the request and reports its result with
 * mr_limit_local_reply().
 */
bool mr_limit_local_prepare_request(mr_limit_local_t *local, size_t waiting,
                                    mr_ms_t now, mr_grant_request_t *request);

/**
 * mr_limit_local_reply() - process the reply to a grant request
 * @count: number of grants in the reply; 0 if the request failed
 * @sent: when the request was sent
 */
void mr_limit_local_reply(mr_limit_local_t *local,
                          const mr_msg_grant_item_t *items, size_t count,
                          mr_ms_t sent, mr_ms_t now);

#endif
