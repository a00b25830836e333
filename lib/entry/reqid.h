#ifndef MR_ENTRY_REQID_H
#define MR_ENTRY_REQID_H

/*
 * Request ids: a non-idempotent request with an id runs at most once, however
 * often and wherever the caller sends it. The instance that issued an id is
 * the only one that lets it run, and only as long as it remembers it.
 */

#include <event2/event.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/seal.h"
#include "wire/execute.h"

typedef struct mr_reqid mr_reqid_t;

/** What an id says. */
typedef struct mr_reqid_parts {
    char instance[65];
    char address[65]; /* of that instance */
    int64_t incarnation;
    char account[65];
    int64_t issued_at; /* clock of the issuing instance */
} mr_reqid_parts_t;

/** mr_reqid_run_fn_t - runs a request that may run now. */
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

/** mr_reqid_issue() - a new id for @account; the caller frees it. */
char *mr_reqid_issue(const mr_reqid_t *reqid, const char *account);

/** mr_reqid_parse() - read an id; false when it is not genuine. */
bool mr_reqid_parse(const mr_reqid_t *reqid, const char *text,
                    mr_reqid_parts_t *parts);

/** mr_reqid_is_own() - whether this instance, as it runs now, issued it. */
bool mr_reqid_is_own(const mr_reqid_t *reqid, const mr_reqid_parts_t *parts);

/**
 * mr_reqid_execute() - run a request with an id that this instance issued, or
 * answer it from the record
 * @msg: its request_id is set; copied
 * @fn: called exactly once
 */
void mr_reqid_execute(mr_reqid_t *reqid, const mr_msg_execute_t *msg,
                      mr_execute_fn_t fn, void *ctx);

/** mr_reqid_running() - requests in progress. */
size_t mr_reqid_running(const mr_reqid_t *reqid);

#endif
