#ifndef MR_TESTS_HARNESS_H
#define MR_TESTS_HARNESS_H

/*
 * Runs a fleet of real processes for a test: platform and target stand-ins,
 * daemons and a fault proxy, callers with sessions, and a trace of what the
 * callers sent and got. One event loop; calls that wait run it, so that
 * callers go on meanwhile. Failures of the harness itself abort the test.
 */

#include <check.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/types.h>

#include "../common/runner.h"
#include "common/address.h"
#include "common/clock.h"
#include "common/error.h"
#include "masticrelay.h"

enum {
    HARNESS_NAME_BYTES = 64,
    HARNESS_PATH_BYTES = 256,
    HARNESS_ARGS_MAX = 1024,
    HARNESS_REDIRECT_BYTES = 4096,
    HARNESS_READY_MS = 10000,
    HARNESS_TIMEOUT_S = 60, /* of a test */
    /* Where 0 stands for the default. */
    HARNESS_ZERO = -1,
};

/** HARNESS_TESTS - members of runner_options_t for tests with a fleet */
#define HARNESS_TESTS .timeout_s = HARNESS_TIMEOUT_S, .verbose = true

/* ---------------------------------------------------------- Processes */

typedef struct harness_process {
    char name[HARNESS_NAME_BYTES];
    char address[MR_ADDRESS_MAX_BYTES]; /* that callers use */
    char *args[HARNESS_ARGS_MAX];       /* with the program's path */
    const char *ready;            /* part of the line that says it is ready */
    char log[HARNESS_PATH_BYTES]; /* receives standard output and error */
    char redirect[HARNESS_REDIRECT_BYTES]; /* see standins/redirect.c */
    pid_t pid;                             /* 0: not running */
    bool stopping; /* got SIGTERM: may end, and callers leave it out */
    bool unlisted; /* not healthy yet: callers leave it out as well */
} harness_process_t;

/** harness_port() - a free loopback port outside the range from which the
 * system takes ports of outgoing connections. No other process gets it before
 * this one ends. */
int harness_port(void);

/** harness_process_arg() - append an argument. */
void harness_process_arg(harness_process_t *process, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** harness_process_start() - start the process and wait for its line. */
void harness_process_start(harness_process_t *process);

/** harness_process_signal() - SIGSTOP, SIGCONT, SIGTERM, ... */
void harness_process_signal(harness_process_t *process, int number);

/** harness_process_kill() - SIGKILL, and wait for the end. */
void harness_process_kill(harness_process_t *process);

/** harness_process_wait() - wait for the end while the loop runs; returns the
 * exit status, or -1 when it did not end by itself in time. */
int harness_process_wait(harness_process_t *process, struct event_base *base,
                         mr_ms_t max);

/* --------------------------------------------------------------- Fleet */

/** struct harness_options - numbers that are 0 get their defaults, see
 * harness_default_options() */
typedef struct harness_options {
    const char *const *data_centres; /* ends with NULL */
    int instances;                   /* in each data centre */
    int instances_total;             /* spread evenly, instead of instances */
    int groups;                      /* of three targets each */
    int accounts;
    int64_t rate; /* of each account */
    int64_t burst;
    int large_accounts; /* the first ones, with four times rate and burst */
    int slots;
    int connections;
    int lag_ms; /* these four: HARNESS_ZERO for none */
    int statement_ms;
    int connect_ms;
    int list_lag_ms;
    int64_t offline_limit_s;
    /* All connections between processes pass the fault proxy. */
    bool proxied;
    /* Further arguments of each instance, up to NULL; or NULL. */
    const char *const *instance_args;
    /* File name in the run's own folder, since tests may run side by side; or
     * an absolute path. NULL: no trace. */
    const char *trace;
} harness_options_t;

typedef struct harness_instance {
    harness_process_t process; /* address: callers' listener */
    const char *data_centre;
    char peer[MR_ADDRESS_MAX_BYTES];
    char admin[MR_ADDRESS_MAX_BYTES];
} harness_instance_t;

typedef struct harness_target {
    harness_process_t process;
    const char *data_centre;
    int group;
} harness_target_t;

typedef struct harness_account {
    char name[HARNESS_NAME_BYTES];
    char key_id[HARNESS_NAME_BYTES];
    char key[MR_OP_KEY_BYTES];
    int64_t rate;
    int64_t burst;
} harness_account_t;

typedef struct harness_caller harness_caller_t;

typedef struct harness {
    harness_options_t options;
    struct event_base *base;
    char folder[HARNESS_PATH_BYTES]; /* logs, records and the secret */
    harness_process_t platform;
    harness_process_t proxy;
    harness_instance_t *instances;
    size_t instance_count;
    harness_target_t *targets;
    size_t target_count;
    harness_account_t *accounts;
    mr_op_t *config; /* change it and call harness_put_config() */
    int64_t version; /* in force */
    char approver_public[MR_OP_APPROVER_PUBLIC_BYTES];
    char approver_secret[MR_OP_APPROVER_SECRET_BYTES];
    FILE *trace;
    char trace_path[HARNESS_PATH_BYTES];
    int64_t next_request;
    mr_ms_t started;
} harness_t;

/** harness_default_options() - replace what is 0 by the default. */
void harness_default_options(harness_options_t *options);

/** harness_start() - start the stand-ins and the daemons, put a first
 * configuration in force and wait until every daemon is healthy. Routes:
 * "data" (keyed, all accounts). Names: DATACENTRE-N, g0-a to g0-c, account-N.
 */
harness_t *harness_start(const harness_options_t *wanted);

/** harness_end() - end all processes. The folder is kept after a failure. */
void harness_end(harness_t *harness);

/** harness_put_config() - sign the description with the next version and make
 * it the accepted configuration at the platform. */
void harness_put_config(harness_t *harness);

harness_instance_t *harness_instance(harness_t *harness, const char *name);
harness_target_t *harness_target(harness_t *harness, const char *name);

/** harness_primary() - the running target of @group that is primary under the
 * highest term, asked directly; NULL when there is none. */
harness_target_t *harness_primary(harness_t *harness, int group);

/** harness_instance_start() - start an instance again; callers use it when it
 * says that it is healthy. */
void harness_instance_start(harness_t *harness, harness_instance_t *instance);

/** harness_add_links() - add the links to the proxy's arguments. */
void harness_add_links(harness_t *harness);

/**
 * harness_fault() - set faults of links, see tests/standins/fault_proxy.c
 * @link: "FROM--TO.NAME": from all processes of data centre FROM to the
 *        daemon or target NAME in data centre TO; or "INSTANCE--platform";
 *        may be a pattern
 */
void harness_fault(harness_t *harness, const char *link, const char *json);

/** harness_cut() - drop all bytes between processes of two data centres, or
 * stop to do so. */
void harness_cut(harness_t *harness, const char *one, const char *other,
                 bool cut);

/** harness_platform_fault() - body of POST /faults at the platform. */
void harness_platform_fault(harness_t *harness, const char *json);

/* ------------------------------------------------------------ Operators */

/** One operator; the steps are those of config/change.h. */
typedef struct harness_operator harness_operator_t;

harness_operator_t *harness_operator_open(harness_t *harness, const char *who);
void harness_operator_close(harness_operator_t *op);

/* These start a step and return at once; harness_operator_wait() returns how
 * it ended. */
void harness_propose(harness_operator_t *op, mr_op_t *config, int64_t version);
void harness_approve(harness_operator_t *op, mr_op_t *config, int64_t version);
void harness_veto(harness_operator_t *op, int64_t version);
/** harness_accept() - @without: a data centre or NULL */
void harness_accept(harness_operator_t *op, int64_t version,
                    const char *without);
mr_error_kind_t harness_operator_wait(harness_operator_t *op);

/** harness_stage() - propose and approve the harness's configuration as the
 * next version. */
void harness_stage(harness_operator_t *op);

/** harness_accept_staged() - accept it, as soon as it is confirmed, and trace
 * that; aborts after @max. */
void harness_accept_staged(harness_operator_t *op, const char *without,
                           mr_ms_t max);

/* ----------------------------------------------------------------- TLS */

/** harness_identity() - write NAME.pem, a self-signed certificate for
 * @address, and NAME.key. */
void harness_identity(const char *folder, const char *name,
                      const char *address, long serial);

/* ---------------------------------------------------------------- HTTP */

/** harness_run() - run the loop. */
void harness_run(struct event_base *base, mr_ms_t ms);

/**
 * harness_http() - one request; runs the loop until it ends
 * @path: "/..."
 * @bearer: NULL: no Authorization header
 * @body: NULL: none; text
 * @reply: receives JSON or NULL; may be NULL
 *
 * Return: the HTTP status, or 0 when there was no answer.
 */
int harness_http(struct event_base *base, const char *method,
                 const char *address, const char *path, const char *bearer,
                 const char *body, json_t **reply);

/** harness_connect() - a connection for requests
 * @timeout_s: without an answer
 */
struct evhttp_connection *harness_connect(struct event_base *base,
                                          const char *address, int timeout_s);

/** harness_send() - start one request over a connection; false when it did
 * not start. @bearer and @body may be NULL. */
bool harness_send(struct evhttp_connection *connection,
                  struct evhttp_request *request, enum evhttp_cmd_type type,
                  const char *path, const char *bearer, const char *body);

/** harness_reply() - status of an answered request, with its JSON body or
 * NULL; 0 when @request is NULL, which stands for no answer. */
int harness_reply(struct evhttp_request *request, json_t **body);

/** harness_text() - text field of a JSON object. */
const char *harness_text(const json_t *object, const char *key,
                         const char *otherwise);

/** harness_http_text() - GET of anything but JSON; free @text. */
int harness_http_text(struct event_base *base, const char *address,
                      const char *path, const char *bearer, char **text);

/** harness_metrics() - /metrics of an instance; NULL when it does not answer.
 * Free it. */
char *harness_metrics(harness_t *harness, const harness_instance_t *instance);

/** harness_status() - /status of an instance; NULL when it does not answer. */
json_t *harness_status(harness_t *harness, const harness_instance_t *instance);

/* ------------------------------------------------------------- Callers */

typedef struct harness_load {
    int callers;
    int account; /* index; -1: callers take turns */
    int write_percent;
    int append_percent; /* of writes: not idempotent */
    int keys;           /* of each caller */
    mr_ms_t pause;      /* between an answer and the next request */
    mr_ms_t deadline;   /* 0: the route's */
    uint32_t seed;      /* of instances, kinds and keys */
    /* Requests go to instances of this data centre only; NULL: to any. */
    const char *data_centre;
} harness_load_t;

/** struct harness_counts - what a group of callers saw */
typedef struct harness_counts {
    int64_t sent;
    int64_t ran;
    int64_t not_run;
    int64_t unknown;
    int64_t limited; /* of not_run: rate_limited */
    int64_t from_replicas;
    mr_ms_t longest_gap; /* between two answers that ran */
    mr_ms_t last_ran;
} harness_counts_t;

/** harness_callers_start() - callers with one session each, which send one
 * request after another to changing instances. */
harness_caller_t *harness_callers_start(harness_t *harness,
                                        const harness_load_t *load);

/** harness_callers_stop() - let requests in progress end, and free. */
harness_counts_t harness_callers_stop(harness_caller_t *group);

/** harness_print_counts() - one line to standard output. */
void harness_print_counts(const harness_counts_t *counts);

harness_counts_t harness_callers_counts(const harness_caller_t *group);

/* ------------------------------------------------------- Single requests */

/** A session that a test drives request by request. */
typedef struct harness_session {
    harness_t *harness;
    int index; /* "caller" in the trace */
    const harness_account_t *account;
    char *token; /* last one received, or NULL */
} harness_session_t;

typedef struct harness_request {
    /* "get", "put", "append", "sleep", "begin", "commit" or "rollback"; the
     * value of a write is KEY/NUMBER of the request */
    const char *op;
    const char *key;
    const char *shard; /* NULL: the key */
    bool write;        /* "begin" and "sleep": access is "write" */
    mr_ms_t sleep;     /* time that the statement takes at the target */
    const char *freshness;
    const char *request_id;
    const char *handle;  /* of a transaction */
    int64_t transaction; /* its number in the trace */
    mr_ms_t deadline;
} harness_request_t;

typedef struct harness_answer {
    int64_t id; /* of the request in the trace */
    int status;
    char outcome[HARNESS_NAME_BYTES];
    char kind[HARNESS_NAME_BYTES];
    char served_by[HARNESS_NAME_BYTES];
    char value[HARNESS_NAME_BYTES]; /* text that a "get" returned */
    char handle[HARNESS_PATH_BYTES * 2];
    char request_id[HARNESS_PATH_BYTES * 2];
} harness_answer_t;

/** A request that may be sent several times, which the trace shows as one. */
typedef struct harness_call harness_call_t;

harness_session_t *harness_session_open(harness_t *harness, int account);
void harness_session_close(harness_session_t *session);

/** harness_call() - prepare a request; the texts must outlive it. */
harness_call_t *harness_call(harness_session_t *session,
                             const harness_request_t *request);

/** harness_call_send() - send it to an instance and return at once. */
void harness_call_send(harness_call_t *call, const char *instance);

/** harness_call_wait() - run the loop until every attempt has ended. */
void harness_call_wait(harness_call_t *call);

/** harness_call_answer() - the answer to one attempt, without id and value. */
harness_answer_t harness_call_answer(const harness_call_t *call,
                                     size_t attempt);

/** harness_call_end() - wait, trace what the caller knows from all answers,
 * return that answer and free the call. */
harness_answer_t harness_call_end(harness_call_t *call);

/** harness_ask() - send a request once and wait for its answer. */
harness_answer_t harness_ask(harness_session_t *session, const char *instance,
                             const harness_request_t *request);

/* --------------------------------------------------------------- Trace */

/** harness_trace() - write one line; adds the time. Takes over @event. */
void harness_trace(harness_t *harness, const char *event, json_t *fields);

/** harness_trace_versions() - record the version at each daemon. */
void harness_trace_versions(harness_t *harness);

/** harness_trace_logs() - record the log of each group's primary and whether
 * a target saw a key. */
void harness_trace_logs(harness_t *harness);

/** harness_trace_executed() - record each write that a target's own record
 * shows as executed. */
void harness_trace_executed(harness_t *harness);

/** harness_check_promises() - record versions, logs and executed writes, end
 * the trace and abort the test when a promise was broken. */
void harness_check_promises(harness_t *harness);

/** harness_finish() - harness_check_promises(), then harness_end(). */
void harness_finish(harness_t *harness);

/** harness_target_fault() - body of POST /faults at a target. */
void harness_target_fault(harness_t *harness, const char *target,
                          const char *json);

/** harness_wait_primary() - wait until a target other than @other (may
 * be NULL) is the group's primary. */
harness_target_t *harness_wait_primary(harness_t *harness, int group,
                                       const harness_target_t *other,
                                       mr_ms_t max);

/** harness_check_trace() - end the trace and return the violated promises,
 * an array of {promise, text}; a new reference. */
json_t *harness_check_trace(harness_t *harness);

#endif
