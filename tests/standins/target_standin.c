/*
 * Stand-in for a target (design section 3): HTTP/1.1 with JSON, terms, a log,
 * replication with a delay, transactions bound to connections, and limits on
 * concurrent statements and connections.
 */

#include <event2/buffer.h>
#include <event2/http.h>
#include <signal.h>
#include <string.h>

#include "../precise_loop.h"
#include "common/address.h"
#include "common/json.h"
#include "common/mem.h"
#include "common_target_calls.h"

enum { IDLE_TIMEOUT_S = 3600 };

static const GOptionEntry option_entries[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING, &target_options.listen, "address",
     "IP:port"},
    {"name", 0, 0, G_OPTION_ARG_STRING, &target_options.name, "target's name",
     "NAME"},
    {"peers", 0, 0, G_OPTION_ARG_STRING, &target_options.peers,
     "the group's other targets", "ADDR,ADDR"},
    {"primary", 0, 0, G_OPTION_ARG_NONE, &target_options.primary,
     "start as the primary of term 1", NULL},
    {"slots", 0, 0, G_OPTION_ARG_INT, &target_options.slots,
     "limit of concurrent statements", "N"},
    {"connections", 0, 0, G_OPTION_ARG_INT, &target_options.connections,
     "limit of open connections", "N"},
    {"lag-ms", 0, 0, G_OPTION_ARG_INT, &target_options.lag_ms,
     "replication delay of each entry", "N"},
    {"statement-ms", 0, 0, G_OPTION_ARG_INT, &target_options.statement_ms,
     "time that a statement holds its slot", "N"},
    {"connect-ms", 0, 0, G_OPTION_ARG_INT, &target_options.connect_ms,
     "additional delay of a connection's first answer", "N"},
    {"state-file", 0, 0, G_OPTION_ARG_STRING, &target_options.state_file,
     "file that keeps term and log across restarts", "PATH"},
    {"record", 0, 0, G_OPTION_ARG_STRING, &target_options.record,
     "file that records each request as one JSON line", "PATH"},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

static void process(target_job_t *job);

static void
set_faults(target_job_t *job)
{
    mr_json_problem_t problem;
    const mr_json_field_t fields[] = {
        {"lag_ms", MR_JSON_INTEGER, false, &target_server.replication.lag_ms,
         0, 0},
        {"hold_replication", MR_JSON_BOOL, false,
         &target_server.replication.hold, 0, 0},
        {"leaving", MR_JSON_BOOL, false, &target_server.log.leaving, 0, 0},
        {"delay_ms", MR_JSON_INTEGER, false, &target_server.delay_ms, 0, 0},
        {"stall", MR_JSON_BOOL, false, &target_server.stall, 0, 0},
    };
    bool valid = mr_json_read(job->body, "faults", fields,
                              sizeof(fields) / sizeof(fields[0]), &problem);
    target_job_t *held;

    job->connection->answered = true;
    target_answer(job, valid ? 200 : 400, json_object(), "faults set");
    while (!target_server.stall
           && (held = g_queue_pop_head(&target_server.held)) != NULL) {
        process(held);
    }
    target_replication_notify(&target_server.replication);
}

/** struct call - a path of the protocol and the required fields of its body */
static const struct call {
    const char *path;
    void (*handler)(target_job_t *job);
    bool post;
    bool access;
    bool term;
    bool transaction;
    bool fleet;   /* counts against --connections */
    bool control; /* test interface, not subject to faults */
} calls[] = {
    {"/status", target_status, .fleet = true},
    {"/execute", target_run_in_slot, .post = true, .access = true,
     .fleet = true},
    {"/begin", target_begin, .post = true, .access = true, .fleet = true},
    {"/commit", target_run_in_slot, .post = true, .transaction = true,
     .fleet = true},
    {"/rollback", target_roll_back, .post = true, .transaction = true,
     .fleet = true},
    {"/grant", target_grant, .post = true, .term = true, .fleet = true},
    {"/promote", target_promote, .post = true, .term = true, .fleet = true},
    {"/replicate", target_replicate, .post = true, .term = true},
    {"/faults", set_faults, .post = true, .control = true},
    {"/log", target_send_log, .control = true},
};

static const struct call *
find_call(const target_job_t *job)
{
    for (size_t i = 0; i < sizeof(calls) / sizeof(calls[0]); i++) {
        if (strcmp(calls[i].path, evhttp_request_get_uri(job->req)) == 0
            && calls[i].post
                   == (evhttp_request_get_command(job->req)
                       == EVHTTP_REQ_POST)) {
            return &calls[i];
        }
    }
    return NULL;
}

/* Reads the request body; rejects unknown fields and requires those of @call.
 */
static bool
read_body(target_job_t *job, const struct call *call,
          mr_json_problem_t *problem)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(job->req);
    json_t *ignored;
    int64_t number;
    const mr_json_field_t fields[] = {
        {"term", MR_JSON_INTEGER, call->term, &job->term, 0, INT64_MAX},
        {"access", MR_JSON_STRING, call->access, &job->access, 0, 0},
        {"transaction", MR_JSON_STRING, call->transaction, &job->transaction,
         0, 0},
        {"statement", MR_JSON_OBJECT,
         call->handler == target_run_in_slot && call->access, &job->statement,
         0, 0},
        {"max_ms", MR_JSON_INTEGER, false, &job->max_ms, 0, INT64_MAX},
        {"base", MR_JSON_INTEGER, false, &number, 0, INT64_MAX},
        {"base_term", MR_JSON_INTEGER, false, &number, 0, INT64_MAX},
        {"entries", MR_JSON_ARRAY, false, &ignored, 0, 0},
    };

    if (!call->post) {
        return true;
    }
    job->body = mr_json_parse(evbuffer_pullup(input, -1),
                              evbuffer_get_length(input), problem);
    if (job->body == NULL || call->control) {
        return job->body != NULL;
    }
    return mr_json_read(job->body, "body", fields,
                        sizeof(fields) / sizeof(fields[0]), problem);
}

static void
process(target_job_t *job)
{
    const struct call *call = find_call(job);
    mr_json_problem_t problem = {{0}};

    if (call == NULL) {
        target_answer(job, 404, json_object(), "unknown path");
        return;
    }
    if (call->fleet && !job->connection->is_counted) {
        if (target_server.counted_connections >= target_options.connections) {
            target_answer(job, 503, json_pack("{ss}", "error", "connections"),
                          "connection refused");
            return;
        }
        job->connection->is_counted = true;
        target_server.counted_connections++;
    }
    job->path = call->path;
    if (!read_body(job, call, &problem)) {
        target_answer(job, 400, json_pack("{ss}", "error", problem.text),
                      "malformed");
        return;
    }
    call->handler(job);
}

static void
on_request(struct evhttp_request *req, void *ctx)
{
    target_job_t *job = MR_NEW(target_job_t);
    const struct call *call;

    (void)ctx;
    job->req = req;
    job->connection =
        target_find_connection(evhttp_request_get_connection(req));
    job->access = "read";
    job->transaction = "";
    call = find_call(job);
    if (target_server.stall && (call == NULL || !call->control)) {
        job->did = "held by the stall";
        target_record(job);
        g_queue_push_tail(&target_server.held, job);
        return;
    }
    process(job);
}

static bool
start(void)
{
    struct evhttp *http;
    struct sockaddr_storage bound;
    socklen_t len = sizeof(bound);
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;

    target_server.base = precise_loop_create();
    http = evhttp_new(target_server.base);
    target_server.connections = g_hash_table_new(NULL, NULL);
    g_queue_init(&target_server.held);
    evhttp_set_timeout(http, IDLE_TIMEOUT_S);
    evhttp_set_gencb(http, on_request, NULL);
    if (!target_log_open(&target_server.log, target_options.state_file)
        || !mr_address_split(target_options.listen, ip, &port)) {
        return false;
    }
    if (target_options.record != NULL) {
        target_server.record = fopen(target_options.record, "ae");
    }
    struct evhttp_bound_socket *socket =
        evhttp_bind_socket_with_handle(http, ip, (uint16_t)port);
    if (socket == NULL) {
        return false;
    }
    target_server.replication.base = target_server.base;
    target_server.replication.log = &target_server.log;
    target_server.replication.lag_ms = target_options.lag_ms;
    if (target_options.peers != NULL
        && !target_replication_start(&target_server.replication,
                                     target_options.peers)) {
        return false;
    }
    if (target_options.primary && target_server.log.term == 0) {
        target_log_set_term(&target_server.log, 1, true);
        target_become_primary(1);
    }
    getsockname(evhttp_bound_socket_get_fd(socket), (struct sockaddr *)&bound,
                &len);
    printf("listening on %s:%d\n", ip, mr_address_port(&bound));
    fflush(stdout);
    return true;
}

int
main(int argc, char **argv)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- target stand-in");

    g_option_context_add_main_entries(context, option_entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)
        || target_options.listen == NULL) {
        fprintf(stderr, "target_standin: %s\n",
                error != NULL ? error->message : "--listen is required");
        return 2;
    }
    /* Callers may close a connection before its answer is written. */
    signal(SIGPIPE, SIG_IGN);
    if (target_options.name == NULL) {
        target_options.name = target_options.listen;
    }
    if (!start()) {
        fprintf(stderr, "target_standin: cannot start on %s\n",
                target_options.listen);
        return 1;
    }
    event_base_dispatch(target_server.base);
    return 0;
}
