#ifndef MR_LIMIT_LOCAL_H
#define MR_LIMIT_LOCAL_H

/*
 * One account at one entry instance: the grants held, the recent demand, and
 * when to ask the limiter. No I/O.
 */

#include "limit/grant.h"

enum {
    MR_LIMIT_HOLD_MS = 50, /* a request is held at most this long */
};

typedef struct mr_limit_local {
    mr_held_grants_t hold;
    mr_limit_amount_t limit; /* the account's, as last configured */
    int64_t demand;          /* thousandths of a request per second */
    int64_t window_arrivals; /* in the current window */
    mr_ms_t window_start;    /* start of the window */
    mr_ms_t requested_at;
    mr_ms_t last_arrival;
    bool unconfirmed; /* a long grant arrived since the last ask */
    int outstanding;  /* asks without a reply */
} mr_limit_local_t;

void mr_limit_local_init(mr_limit_local_t *local, mr_ms_t now);

/** mr_limit_local_configure() - the account's limit is now @limit. */
void mr_limit_local_configure(mr_limit_local_t *local, mr_limit_amount_t limit,
                              mr_ms_t now);

/** mr_limit_local_arrive() - count a request and take a token if there is
 * one. */
bool mr_limit_local_arrive(mr_limit_local_t *local, mr_ms_t now);

/**
 * mr_limit_local_ask() - whether to ask the limiter now
 * @waiting: requests that are held
 * @ask: receives what to ask, apart from the names
 *
 * The caller sends the ask and reports its end with mr_limit_local_reply().
 */
bool mr_limit_local_ask(mr_limit_local_t *local, size_t waiting, mr_ms_t now,
                        mr_grant_ask_t *ask);

/** mr_limit_local_reply() - an ask sent at @sent ended with @count grants. */
void mr_limit_local_reply(mr_limit_local_t *local,
                          const mr_msg_grant_item_t *items, size_t count,
                          mr_ms_t sent, mr_ms_t now);

#endif
