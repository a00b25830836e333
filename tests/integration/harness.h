#ifndef MR_TESTS_HARNESS_H
#define MR_TESTS_HARNESS_H

/*
 * Integration test harness. Starts a fleet of processes (platform and target
 * stand-ins, daemons, fault proxy), generates load from callers with sessions
 * and records a trace of their requests and answers. There is one event loop;
 * blocking calls run it, so that callers keep sending. Failures of the harness
 * itself abort the test.
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
    HARNESS_TIMEOUT_S = 60, /* per test */
    /* Sets an option to 0 where 0 selects the default. */
    HARNESS_EXPLICIT_ZERO = -1,
};

/** HARNESS_RUNNER_OPTIONS - runner_options_t initializers for tests with a
 * fleet */
#define HARNESS_RUNNER_OPTIONS .timeout_s = HARNESS_TIMEOUT_S, .verbose = true

/* ---------------------------------------------------------- Processes */

typedef struct harness_process {
    char name[HARNESS_NAME_BYTES];
    char address[MR_ADDRESS_MAX_BYTES]; /* of the callers' listener */
    char *args[HARNESS_ARGS_MAX];       /* argv, with the program's path */
    const char *ready; /* substring of the log line that reports readiness */
    char log[HARNESS_PATH_BYTES]; /* path; standard output and error */
    char redirect[HARNESS_REDIRECT_BYTES]; /* see standins/redirect.c */
    pid_t pid;                             /* 0: not running */
    bool stopping;   /* received SIGTERM: may exit; callers skip it */
    bool restarting; /* not healthy yet: callers skip it */
} harness_process_t;

/** harness_port() - allocate a free loopback port outside the ephemeral port
 * range. It stays reserved for this process until the process exits. */
int harness_port(void);

/** harness_process_arg() - append a formatted argument. */
void harness_process_arg(harness_process_t *process, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** harness_process_start() - start the process and wait until its log reports
 * readiness. */
void harness_process_start(harness_process_t *process);

/** harness_process_signal() - send a signal, such as SIGSTOP or SIGTERM. */
void harness_process_signal(harness_process_t *process, int number);

/** harness_process_kill() - send SIGKILL and wait for the exit. */
void harness_process_kill(harness_process_t *process);

/** harness_process_wait() - run the loop until the process exits; returns the
 * exit status, or -1 after a signal or when @max has passed. */
int harness_process_wait(harness_process_t *process, struct event_base *base,
                         mr_ms_t max);

/* --------------------------------------------------------------- Fleet */

/** struct harness_options - numbers that are 0 take their default, see
 * harness_default_options() */
typedef struct harness_options {
    const char *const *data_centres; /* NULL-terminated */
    int instances;                   /* per data centre */
    int instances_total;             /* spread evenly; replaces instances */
    int groups;                      /* of three targets each */
    int accounts;
    int64_t rate; /* per account, requests a second */
    int64_t burst;
    int large_accounts; /* the first N have four times rate and burst */
    int slots;
    int connections;
    int lag_ms; /* of these four, HARNESS_EXPLICIT_ZERO sets 0 */
    int statement_ms;
    int connect_ms;
    int list_lag_ms;
    int64_t offline_limit_s;
    /* Routes all connections between processes through the fault proxy. */
    bool proxied;
    /* Additional arguments of each instance, NULL-terminated; may be NULL. */
    const char *const *instance_args;
    /* Absolute path, or a file name in the run's own folder, so that tests can
     * run in parallel. NULL: no trace. */
    const char *trace;
} harness_options_t;

typedef struct harness_instance {
    harness_process_t process; /* address is the callers' listener */
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

typedef struct harness_caller_group harness_caller_group_t;

typedef struct harness {
    harness_options_t options;
    struct event_base *base;
    char folder[HARNESS_PATH_BYTES]; /* logs, request records, secret */
    harness_process_t platform;
    harness_process_t proxy;
    harness_instance_t *instances;
    size_t instance_count;
    harness_target_t *targets;
    size_t target_count;
    harness_account_t *accounts;
    mr_op_t *config; /* published by harness_publish_config() */
    int64_t version; /* last published */
    char approver_public[MR_OP_APPROVER_PUBLIC_BYTES];
    char approver_secret[MR_OP_APPROVER_SECRET_BYTES];
    FILE *trace;
    char trace_path[HARNESS_PATH_BYTES];
    int64_t next_request;
    mr_ms_t started;
} harness_t;

/** harness_default_options() - replace 0 by the default of each option. */
void harness_default_options(harness_options_t *options);

/** harness_start() - start the stand-ins and the daemons, publish the first
 * configuration and wait until every daemon serves requests. The only route
 * is "data" (keyed, all accounts). Names: instances DATACENTRE-N, targets g0-a
 * to g0-c, accounts account-N. */
harness_t *harness_start(const harness_options_t *requested);

/** harness_end() - kill all processes and remove the folder. A test that
 * aborts earlier leaves the folder in place. */
void harness_end(harness_t *harness);

/** harness_publish_config() - approve the configuration as the next version
 * and store it as the accepted one at the platform. */
void harness_publish_config(harness_t *harness);

harness_instance_t *harness_instance(harness_t *harness, const char *name);
harness_target_t *harness_target(harness_t *harness, const char *name);

/** harness_primary() - query the running targets of @group and return the
 * primary with the highest term, or NULL. */
harness_target_t *harness_primary(harness_t *harness, int group);

/** harness_instance_start() - restart an instance and wait until it is
 * healthy; callers use it from then on. */
void harness_instance_start(harness_t *harness, harness_instance_t *instance);

/** harness_add_links() - add a link for each pair of data centre and process
 * to the proxy's arguments, and redirect connections to them. */
void harness_add_links(harness_t *harness);

/**
 * harness_set_link_faults() - set the faults of links
 * @link: "FROM--TO.NAME" is the link from all processes of data centre FROM to
 *        the daemon or target NAME in data centre TO; "INSTANCE--platform" is
 *        the link of an instance to the platform. May be a pattern.
 * @json: see tests/standins/fault_proxy.c
 */
void harness_set_link_faults(harness_t *harness, const char *link,
                             const char *json);

/** harness_cut_links() - start or stop dropping all bytes between the
 * processes of two data centres. */
void harness_cut_links(harness_t *harness, const char *one, const char *other,
                       bool cut);

/** harness_set_platform_faults() - send @json as POST /faults to the
 * platform. */
void harness_set_platform_faults(harness_t *harness, const char *json);

/* ------------------------------------------------------------ Operators */

/** An operator that carries out the steps of config/change.h. */
typedef struct harness_operator harness_operator_t;

harness_operator_t *harness_operator_open(harness_t *harness, const char *who);
void harness_operator_close(harness_operator_t *op);

/* These start a step and return immediately; harness_operator_wait() returns
 * the result. */
void harness_propose(harness_operator_t *op, mr_op_t *config, int64_t version);
void harness_approve(harness_operator_t *op, mr_op_t *config, int64_t version);
void harness_veto(harness_operator_t *op, int64_t version);
/** harness_accept() - @without: data centre whose confirmation is not
 * required, or NULL */
void harness_accept(harness_operator_t *op, int64_t version,
                    const char *without);
mr_error_kind_t harness_operator_wait(harness_operator_t *op);

/** harness_stage() - propose and approve the harness's configuration as the
 * next version. */
void harness_stage(harness_operator_t *op);

/** harness_accept_staged() - accept the staged configuration once it is
 * confirmed and record that in the trace; aborts the test after @max. */
void harness_accept_staged(harness_operator_t *op, const char *without,
                           mr_ms_t max);

/* ----------------------------------------------------------------- TLS */

/** harness_write_certificate() - write NAME.pem, a self-signed certificate for
 * @address, and NAME.key. */
void harness_write_certificate(const char *folder, const char *name,
                               const char *address, long serial);

/* ---------------------------------------------------------------- HTTP */

/** harness_run_loop() - run the event loop for @ms. */
void harness_run_loop(struct event_base *base, mr_ms_t ms);

/**
 * harness_http() - send one request and run the loop until it completes
 * @path: starts with "/"
 * @bearer: bearer token, or NULL for no Authorization header
 * @body: text, or NULL
 * @reply: receives the JSON body or NULL; may be NULL
 *
 * Return: the HTTP status, or 0 without an answer.
 */
int harness_http(struct event_base *base, const char *method,
                 const char *address, const char *path, const char *bearer,
                 const char *body, json_t **reply);

/** harness_connect() - create an HTTP connection
 * @timeout_s: limit of connecting and of each wait for data
 */
struct evhttp_connection *harness_connect(struct event_base *base,
                                          const char *address, int timeout_s);

/** harness_send() - start a request on a connection; false when it could not
 * be started. @bearer and @body may be NULL. */
bool harness_send(struct evhttp_connection *connection,
                  struct evhttp_request *request, enum evhttp_cmd_type type,
                  const char *path, const char *bearer, const char *body);

/** harness_read_reply() - return the status of a completed request and its
 * JSON body or NULL; 0 when @request is NULL, that is, without an answer. */
int harness_read_reply(struct evhttp_request *request, json_t **body);

/** harness_json_text() - string field of a JSON object, or @default_text. */
const char *harness_json_text(const json_t *object, const char *key,
                              const char *default_text);

/** harness_http_text() - GET a text resource and return the HTTP status; the
 * caller frees @text. */
int harness_http_text(struct event_base *base, const char *address,
                      const char *path, const char *bearer, char **text);

/** harness_metrics() - /metrics of an instance, freed by the caller; NULL
 * without an answer. */
char *harness_metrics(harness_t *harness, const harness_instance_t *instance);

/** harness_status() - /status of an instance, a new reference; NULL without an
 * answer. */
json_t *harness_status(harness_t *harness, const harness_instance_t *instance);

/* ------------------------------------------------------------- Callers */

typedef struct harness_load {
    int callers;
    int account; /* index; -1: distribute the callers over all accounts */
    int write_percent;
    int append_percent; /* share of writes that are not idempotent */
    int keys;           /* per caller */
    mr_ms_t pause;      /* between an answer and the next request */
    mr_ms_t deadline;   /* 0: deadline of the route */
    uint32_t seed;      /* selects instances, operations and keys */
    /* Send only to instances of this data centre; NULL: to all. */
    const char *data_centre;
} harness_load_t;

/** struct harness_counts - request counters of a group of callers */
typedef struct harness_counts {
    int64_t sent;
    int64_t ran;
    int64_t not_run;
    int64_t unknown;
    int64_t rate_limited; /* part of not_run with error kind rate_limited */
    int64_t from_replicas;
    mr_ms_t longest_gap; /* between answers with outcome "ran" */
    mr_ms_t last_ran;    /* time of the last one */
} harness_counts_t;

/** harness_callers_start() - start callers with one session each, which send
 * one request at a time, each to a random instance. */
harness_caller_group_t *harness_callers_start(harness_t *harness,
                                              const harness_load_t *load);

/** harness_callers_stop() - wait for requests in progress, free the group and
 * return its counters. */
harness_counts_t harness_callers_stop(harness_caller_group_t *group);

/** harness_print_counts() - print the counters as one line to stdout. */
void harness_print_counts(const harness_counts_t *counts);

harness_counts_t harness_callers_counts(const harness_caller_group_t *group);

/* ------------------------------------------------------- Single requests */

/** A session whose requests are sent one by one by the test. */
typedef struct harness_session {
    harness_t *harness;
    int index; /* "caller" in the trace */
    const harness_account_t *account;
    char *token; /* last session token received, or NULL */
} harness_session_t;

typedef struct harness_request {
    /* "get", "put", "append", "sleep", "begin", "commit" or "rollback". A
     * write stores the value KEY/ID with the request's id. */
    const char *op;
    const char *key;
    const char *shard; /* NULL: same as the key */
    bool write;        /* declares "begin" or "sleep" as a write */
    mr_ms_t sleep;     /* execution time of the statement at the target */
    const char *freshness;
    const char *request_id;
    const char *handle;  /* transaction handle */
    int64_t transaction; /* number of the transaction in the trace */
    mr_ms_t deadline;
} harness_request_t;

typedef struct harness_answer {
    int64_t id; /* request id in the trace */
    int status;
    char outcome[HARNESS_NAME_BYTES];
    char kind[HARNESS_NAME_BYTES];
    char served_by[HARNESS_NAME_BYTES];
    char value[HARNESS_NAME_BYTES]; /* result of a "get" */
    char handle[HARNESS_PATH_BYTES * 2];
    char request_id[HARNESS_PATH_BYTES * 2];
} harness_answer_t;

/** A request that may be sent several times; it is one request in the trace.
 */
typedef struct harness_call harness_call_t;

harness_session_t *harness_session_open(harness_t *harness, int account);
void harness_session_close(harness_session_t *session);

/** harness_call() - prepare a request; the strings of @request must outlive
 * it. */
harness_call_t *harness_call(harness_session_t *session,
                             const harness_request_t *request);

/** harness_call_send() - start an attempt at an instance and return
 * immediately. */
void harness_call_send(harness_call_t *call, const char *instance);

/** harness_call_wait() - run the loop until all attempts are complete. */
void harness_call_wait(harness_call_t *call);

/** harness_call_answer() - answer to one attempt, without id and value. */
harness_answer_t harness_call_answer(const harness_call_t *call,
                                     size_t attempt);

/** harness_call_end() - wait for all attempts, record the combined answer in
 * the trace and return it; frees the call. */
harness_answer_t harness_call_end(harness_call_t *call);

/** harness_call_once() - send a request once and wait for its answer. */
harness_answer_t harness_call_once(harness_session_t *session,
                                   const char *instance,
                                   const harness_request_t *request);

/* --------------------------------------------------------------- Trace */

/** harness_trace() - write one trace event with the current time; takes
 * ownership of @fields. */
void harness_trace(harness_t *harness, const char *event, json_t *fields);

/** harness_trace_versions() - record the configuration version of each daemon.
 */
void harness_trace_versions(harness_t *harness);

/** harness_trace_logs() - record the log of each group's primary, and each
 * occurrence of an account's secret key in a request received by a target. */
void harness_trace_logs(harness_t *harness);

/** harness_trace_executed() - record each write that a target executed
 * according to its request record. */
void harness_trace_executed(harness_t *harness);

/** harness_check_guarantees() - record versions, logs and executed writes,
 * close the trace and abort the test if it shows a violated guarantee. */
void harness_check_guarantees(harness_t *harness);

/** harness_check_and_end() - harness_check_guarantees(), then
 * harness_end(). */
void harness_check_and_end(harness_t *harness);

/** harness_set_target_faults() - send @json as POST /faults to a target. */
void harness_set_target_faults(harness_t *harness, const char *target,
                               const char *json);

/** harness_wait_primary() - wait until the group has a primary other than
 * @other, which may be NULL; aborts the test after @max. */
harness_target_t *harness_wait_primary(harness_t *harness, int group,
                                       const harness_target_t *other,
                                       mr_ms_t max);

/** harness_check_trace() - close the trace and return the violated guarantees
 * as an array of {promise, text}; a new reference. */
json_t *harness_check_trace(harness_t *harness);

#endif
