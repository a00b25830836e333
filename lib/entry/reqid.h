#ifndef MR_ENTRY_REQID_H
#define MR_ENTRY_REQID_H

/*
 * Request ids. A non-idempotent request with an id runs at most once, no
 * matter how often and to which instance the caller sends it. Only the
 * instance that issued the id lets the request run, and only until the id
 * expires or the instance restarts.
 */

#include <event2/event.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/seal.h"
#include "wire/execute.h"

typedef struct mr_reqid mr_reqid_t;

/** Decoded request id. */
typedef struct mr_reqid_parts {
    char instance[65]; /* that issued the id */
    char address[65];  /* of that instance's peer listener */
    int64_t incarnation;
    char account[65];
    int64_t issued_at; /* clock of the issuing instance */
} mr_reqid_parts_t;

/** mr_reqid_run_fn_t - executes a request whose id was not used before. */
typedef void (*mr_reqid_run_fn_t)(void *run_ctx, const mr_msg_execute_t *msg,
                                  mr_execute_fn_t fn, void *ctx);

typedef struct mr_reqid_options {
    struct event_base *base;
    const mr_clock_t *clock;
    mr_counters_t *counters;
    const mr_seal_t *seal;
    const char *name;
    const char *address; /* of this instance's peer listener */
    int64_t incarnation;
    mr_reqid_run_fn_t run;
    void *run_ctx;
} mr_reqid_options_t;

mr_reqid_t *mr_reqid_create(const mr_reqid_options_t *options);
void mr_reqid_destroy(mr_reqid_t *reqid);

/** mr_reqid_issue() - create an id for @account; the caller frees it. */
char *mr_reqid_issue(const mr_reqid_t *reqid, const char *account);

/** mr_reqid_parse() - decode an id; returns false if it is invalid. */
bool mr_reqid_parse(const mr_reqid_t *reqid, const char *text,
                    mr_reqid_parts_t *parts);

/** mr_reqid_is_own() - return whether the current incarnation of this instance
 * issued the id. */
bool mr_reqid_is_own(const mr_reqid_t *reqid, const mr_reqid_parts_t *parts);

/**
 * mr_reqid_execute() - execute a request with an id that this instance issued,
 * or answer it from the id's record
 * @msg: copied; its request_id is set
 * @fn: called exactly once
 */
void mr_reqid_execute(mr_reqid_t *reqid, const mr_msg_execute_t *msg,
                      mr_execute_fn_t fn, void *ctx);

/** mr_reqid_request_count() - number of requests in progress. */
size_t mr_reqid_request_count(const mr_reqid_t *reqid);

#endif
