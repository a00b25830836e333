#include "entry/entry.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/list.h"
#include "common/mem.h"
#include "entry/auth.h"
#include "entry/session.h"
#include "entry/statement.h"
#include "entry/txn.h"
#include "member/rendezvous.h"

enum {
    HEADERS_MAX_BYTES = 16 << 10,
    /* The HTTP library refuses larger bodies with its own error page. Bodies
     * between this limit and MR_STATEMENT_BODY_MAX_BYTES get a JSON error. */
    HTTP_BODY_MAX_BYTES = 4 * MR_STATEMENT_BODY_MAX_BYTES,
    IDLE_TIMEOUT_S = 120,
};

struct mr_entry {
    mr_entry_options_t options;
    mr_listener_t *listener;
    mr_seal_t *session_seal;
    mr_seal_t *txn_seal;
    bool draining;
    size_t request_count;
    mr_list_t requests;
    mr_counter_t *responses[MR_ERROR_COUNT]; /* by error kind */
    mr_counter_t *replica_reads;
    mr_counter_t *primary_reads;
};

/** A caller's request in progress. */
typedef struct request {
    mr_list_t link;
    mr_entry_t *entry; /* NULL after mr_entry_destroy() */
    struct evhttp_request *http;
    mr_statement_kind_t kind;
    mr_config_t *config;
    const mr_config_route_t *route;
    const mr_config_group_t *group;
    mr_auth_t auth;
    mr_statement_t body;
    bool has_body;
    mr_session_t session;
    bool has_session;
    mr_txn_t txn;
    mr_limit_wait_t *limit_wait;
    mr_ms_t deadline;
} request_t;

/* Responses. */

static void
free_request(request_t *request)
{
    if (request->limit_wait != NULL) {
        mr_limit_cancel(request->limit_wait);
    }
    if (request->has_body) {
        mr_statement_release(&request->body);
    }
    mr_config_unref(request->config);
    if (request->entry != NULL) {
        request->entry->request_count--;
    }
    mr_list_remove(&request->link);
    free(request);
}

static void
send_response(request_t *request, int status, struct evbuffer *body)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(request->http);

    evhttp_add_header(headers, "Content-Type", "application/json");
    if (request->entry->draining) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evhttp_send_reply(request->http, status, NULL, body);
    evbuffer_free(body);
    free_request(request);
}

static void
append_json_string(struct evbuffer *out, const char *text)
{
    json_t *string = json_stringn_nocheck(text, strlen(text));
    char *dumped = json_dumps(string, JSON_ENCODE_ANY);

    evbuffer_add_printf(out, "%s", dumped == NULL ? "\"\"" : dumped);
    free(dumped);
    json_decref(string);
}

/* Appends the session token unless the session is empty. */
static void
append_session(request_t *request, struct evbuffer *out)
{
    if (request->session.count == 0) {
        return;
    }
    char *token =
        mr_session_encode(request->entry->session_seal, &request->session);
    evbuffer_add_printf(out, ",\"session\":\"%s\"", token);
    free(token);
}

static void
send_error(request_t *request, mr_error_kind_t error, const char *message)
{
    struct evbuffer *body = evbuffer_new();

    /* Pool owners are internal to the fleet; for a caller, the group was
     * unavailable. */
    if (error == MR_ERR_WRONG_OWNER) {
        error = MR_ERR_UNAVAILABLE;
    }
    mr_counter_add(request->entry->responses[error], 1);
    evbuffer_add_printf(body,
                        "{\"error\":{\"kind\":\"%s\",\"outcome\":\"%s\","
                        "\"message\":",
                        mr_error_name(error),
                        mr_outcome_name(mr_error_outcome(error)));
    append_json_string(body, message);
    evbuffer_add_printf(body, "}");
    if (mr_error_outcome(error) == MR_OUTCOME_UNKNOWN) {
        append_session(request, body);
    }
    evbuffer_add_printf(body, "}");
    send_response(request, mr_error_status(error), body);
}

static void
append_request_id(request_t *request, struct evbuffer *body)
{
    char *id = mr_reqid_issue(request->entry->options.reqid,
                              request->auth.account->name);

    evbuffer_add_printf(body, ",\"next_request_id\":\"%s\"", id);
    free(id);
}

static void
send_result(request_t *request, const mr_msg_execute_reply_t *reply)
{
    struct evbuffer *body = evbuffer_new();

    mr_counter_add(request->entry->responses[MR_OK], 1);
    evbuffer_add_printf(body, "{\"outcome\":\"ran\",\"result\":");
    if (reply->result.len > 0) {
        evbuffer_add(body, reply->result.data, reply->result.len);
    }
    else {
        evbuffer_add_printf(body, "null");
    }
    evbuffer_add_printf(body, ",\"served_by\":");
    append_json_string(body, reply->target);
    evbuffer_add_printf(body, ",\"role\":\"%s\"",
                        reply->primary ? "primary" : "replica");
    append_session(request, body);
    append_request_id(request, body);
    evbuffer_add_printf(body, "}");
    send_response(request, mr_error_status(MR_OK), body);
}

static void
send_transaction(request_t *request, const mr_msg_execute_reply_t *reply)
{
    struct evbuffer *body = evbuffer_new();

    snprintf(request->txn.id, sizeof(request->txn.id), "%s",
             reply->transaction);
    snprintf(request->txn.instance, sizeof(request->txn.instance), "%s",
             reply->instance);
    snprintf(request->txn.address, sizeof(request->txn.address), "%s",
             reply->address);
    request->txn.term = reply->term;
    char *handle = mr_txn_encode(request->entry->txn_seal, &request->txn);
    mr_counter_add(request->entry->responses[MR_OK], 1);
    evbuffer_add_printf(body, "{\"transaction\":\"%s\"}", handle);
    free(handle);
    send_response(request, mr_error_status(MR_OK), body);
}

static void
send_request_id(request_t *request)
{
    struct evbuffer *body = evbuffer_new();
    char *id = mr_reqid_issue(request->entry->options.reqid,
                              request->auth.account->name);

    mr_counter_add(request->entry->responses[MR_OK], 1);
    evbuffer_add_printf(body, "{\"next_request_id\":\"%s\"}", id);
    free(id);
    send_response(request, mr_error_status(MR_OK), body);
}

/* Session updates. */

static uint8_t
session_target_index(const request_t *request, const char *name)
{
    const mr_config_target_t *target =
        mr_config_group_target(request->group, name);

    return target == NULL ? MR_SESSION_NO_TARGET : (uint8_t)target->index;
}

static bool
is_session_write(const request_t *request)
{
    switch (request->kind) {
    case MR_STATEMENT_RUN:
        return request->body.access == MR_ACCESS_WRITE
               && request->body.transaction == NULL;
    case MR_STATEMENT_COMMIT:
        return request->txn.access == MR_ACCESS_WRITE;
    case MR_STATEMENT_BEGIN:
    case MR_STATEMENT_ISSUE_ID:
    case MR_STATEMENT_ROLLBACK:
        break;
    }
    return false;
}

/* Returns the highest term under which a write with unknown outcome may run.
 * For a commit, this is the transaction's term. */
static int64_t
uncertain_term_bound(const request_t *request,
                     const mr_msg_execute_reply_t *reply)
{
    if (reply->term > 0) {
        return reply->term;
    }
    return request->kind == MR_STATEMENT_COMMIT && request->txn.term > 0
               ? request->txn.term
               : MR_SESSION_ANY_TERM;
}

/* Records in the session a write that ran or may have run, and a present read
 * that settles an uncertain write. */
static void
update_session(request_t *request, const mr_msg_execute_reply_t *reply)
{
    mr_error_kind_t error = (mr_error_kind_t)reply->error;
    uint64_t group = mr_session_hash_group(request->group->name);

    if (is_session_write(request)) {
        if (reply->position > 0
            && (error == MR_OK || error == MR_ERR_OUTCOME_UNKNOWN)) {
            mr_session_record_write(
                &request->session, group, reply->term, reply->position,
                session_target_index(request, reply->covering_target));
        }
        else if (mr_error_outcome(error) == MR_OUTCOME_UNKNOWN) {
            mr_session_record_uncertain_write(
                &request->session, group,
                uncertain_term_bound(request, reply));
        }
        return;
    }
    const mr_session_entry_t *entry =
        mr_session_find(&request->session, group);
    if (error == MR_OK && entry != NULL && entry->uncertain_term != 0
        && reply->primary && request->kind == MR_STATEMENT_RUN) {
        mr_session_settle_uncertain_write(&request->session, group,
                                          reply->term, reply->position);
    }
}

static void
on_executed(void *ctx, const mr_msg_execute_reply_t *reply)
{
    request_t *request = ctx;
    mr_error_kind_t error = (mr_error_kind_t)reply->error;

    if (request->entry == NULL) {
        free_request(request);
        return;
    }
    update_session(request, reply);
    if (error != MR_OK) {
        send_error(request, error, reply->message);
        return;
    }
    if (request->kind == MR_STATEMENT_BEGIN) {
        send_transaction(request, reply);
        return;
    }
    if (request->kind == MR_STATEMENT_RUN
        && request->body.access == MR_ACCESS_READ) {
        mr_counter_add(reply->primary ? request->entry->primary_reads
                                      : request->entry->replica_reads,
                       1);
    }
    send_result(request, reply);
}

/* Execution. */

static void
init_message(request_t *request, mr_msg_execute_t *msg)
{
    const mr_session_entry_t *entry = mr_session_find(
        &request->session, mr_session_hash_group(request->group->name));

    memset(msg, 0, sizeof(*msg));
    msg->account = request->auth.account->name;
    msg->group = request->group->name;
    msg->target = "";
    msg->request_id = "";
    msg->transaction = "";
    msg->access = request->body.access;
    msg->freshness = request->body.freshness;
    msg->max_age_ms = request->body.max_age_ms;
    msg->idempotent = request->body.idempotent;
    msg->deadline_ms = request->deadline - mr_clock_now(NULL);
    if (request->body.statement != NULL) {
        msg->statement = (mr_bytes_t){request->body.statement,
                                      strlen(request->body.statement)};
    }
    if (entry != NULL) {
        msg->token_term = entry->term;
        msg->token_position = entry->position;
        msg->token_uncertain = entry->uncertain_term != 0;
        if (entry->covering_target < request->group->target_count) {
            msg->target = request->group->targets[entry->covering_target].name;
        }
    }
}

static mr_operation_t
to_operation(mr_statement_kind_t kind)
{
    switch (kind) {
    case MR_STATEMENT_BEGIN:
        return MR_OPERATION_BEGIN;
    case MR_STATEMENT_COMMIT:
        return MR_OPERATION_COMMIT;
    case MR_STATEMENT_ROLLBACK:
        return MR_OPERATION_ROLLBACK;
    case MR_STATEMENT_RUN:
    case MR_STATEMENT_ISSUE_ID:
        break;
    }
    return MR_OPERATION_STATEMENT;
}

static void
execute_in_transaction(request_t *request, mr_msg_execute_t *msg)
{
    msg->transaction = request->txn.id;
    mr_route_forward(request->entry->options.route, request->txn.instance,
                     request->txn.address, msg, on_executed, request);
}

static void
execute_with_request_id(request_t *request, mr_msg_execute_t *msg)
{
    mr_entry_t *entry = request->entry;
    mr_reqid_parts_t parts;

    msg->request_id = request->body.request_id;
    if (!mr_reqid_parse(entry->options.reqid, msg->request_id, &parts)
        || strcmp(parts.account, msg->account) != 0) {
        send_error(request, MR_ERR_INVALID_REQUEST_ID,
                   "the request id was not issued to this account");
        return;
    }
    if (strcmp(parts.instance, entry->options.name) == 0) {
        mr_reqid_execute(entry->options.reqid, msg, on_executed, request);
        return;
    }
    mr_route_forward(entry->options.route, parts.instance, parts.address, msg,
                     on_executed, request);
}

static void
execute(request_t *request)
{
    mr_msg_execute_t msg;

    init_message(request, &msg);
    msg.operation = to_operation(request->kind);
    if (request->kind == MR_STATEMENT_ISSUE_ID) {
        send_request_id(request);
    }
    else if (request->body.transaction != NULL) {
        execute_in_transaction(request, &msg);
    }
    else if (request->body.request_id != NULL) {
        execute_with_request_id(request, &msg);
    }
    else {
        mr_route_execute(request->entry->options.route, &msg, on_executed,
                         request);
    }
}

static void
on_admitted(void *ctx, mr_error_kind_t error)
{
    request_t *request = ctx;

    request->limit_wait = NULL;
    if (error != MR_OK) {
        send_error(request, error, "the account's rate limit is exceeded");
        return;
    }
    execute(request);
}

/*
 * Returns whether the request counts against the account's rate limit here.
 * Ending a transaction does not, so that an account at its limit can release
 * its resources. A request with an id is charged by the instance that keeps
 * its record, so that a repeated one is answered from the record and never
 * refused as not run.
 */
static bool
is_charged(const request_t *request)
{
    switch (request->kind) {
    case MR_STATEMENT_RUN:
        return request->body.request_id == NULL;
    case MR_STATEMENT_BEGIN:
        return true;
    case MR_STATEMENT_ISSUE_ID:
    case MR_STATEMENT_COMMIT:
    case MR_STATEMENT_ROLLBACK:
        break;
    }
    return false;
}

static void
admit_request(request_t *request)
{
    if (is_charged(request)) {
        request->limit_wait =
            mr_limit_admit(request->entry->options.limit,
                           request->auth.account, on_admitted, request);
        if (request->limit_wait != NULL) {
            return;
        }
    }
    execute(request);
}

/* Request checks. */

/* Selects the shard's group by rendezvous hashing over the names of the
 * service's groups, so that an added group takes over only its own share of
 * the shards. */
static const mr_config_group_t *
choose_group(const request_t *request)
{
    const mr_config_service_t *service = request->route->service;
    const char *shard = request->body.shard != NULL
                            ? request->body.shard
                            : request->auth.account->name;
    const mr_config_group_t *best = &service->groups[0];

    for (size_t i = 1; i < service->group_count; i++) {
        if (mr_rendezvous_score(shard, service->groups[i].name)
            > mr_rendezvous_score(shard, best->name)) {
            best = &service->groups[i];
        }
    }
    return best;
}

static bool
check_transaction(request_t *request)
{
    if (strcmp(request->txn.account, request->auth.account->name) != 0
        || strcmp(request->txn.route, request->route->name) != 0) {
        send_error(request, MR_ERR_INVALID_TRANSACTION,
                   "the transaction belongs to another account or route");
        return false;
    }
    request->group = mr_config_group(request->config, request->txn.group);
    if (request->group == NULL) {
        send_error(request, MR_ERR_TRANSACTION_LOST,
                   "the transaction's group is no longer configured");
        return false;
    }
    return true;
}

static bool
check_session(request_t *request)
{
    if (request->body.session != NULL
        && !mr_session_decode(request->entry->session_seal,
                              request->body.session, &request->session)) {
        send_error(request, MR_ERR_INVALID_SESSION,
                   "the session token is invalid");
        return false;
    }
    if (is_session_write(request)
        && !mr_session_has_room(&request->session,
                                mr_session_hash_group(request->group->name))) {
        send_error(request, MR_ERR_SESSION_TOO_WIDE,
                   "the session has written to too many groups");
        return false;
    }
    return true;
}

/* Refuses statements that contain a key, because statements are sent to
 * targets, which must not see keys. */
static bool
check_statement(request_t *request)
{
    const char *statement = request->body.statement;
    const char *secret = request->auth.secret;

    if (statement != NULL
        && ((secret[0] != '\0' && strstr(statement, secret) != NULL)
            || mr_key_text_contains(statement))) {
        send_error(request, MR_ERR_INVALID_REQUEST,
                   "the statement contains a key");
        return false;
    }
    return true;
}

static void
process_request(request_t *request)
{
    mr_ms_t deadline_ms = request->body.deadline_ms != 0
                              ? request->body.deadline_ms
                              : request->route->deadline_ms;

    request->deadline = mr_clock_now(NULL) + deadline_ms;
    mr_statement_apply_route_freshness(&request->body, request->route);
    if (request->body.transaction != NULL) {
        if (!check_transaction(request)) {
            return;
        }
    }
    else {
        request->group = choose_group(request);
    }
    if (!check_session(request) || !check_statement(request)) {
        return;
    }
    if (request->kind == MR_STATEMENT_BEGIN) {
        snprintf(request->txn.route, sizeof(request->txn.route), "%s",
                 request->route->name);
        snprintf(request->txn.account, sizeof(request->txn.account), "%s",
                 request->auth.account->name);
        snprintf(request->txn.group, sizeof(request->txn.group), "%s",
                 request->group->name);
        request->txn.access = request->body.access;
    }
    admit_request(request);
}

static bool
read_body(request_t *request)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(request->http);
    size_t len = evbuffer_get_length(in);
    mr_json_problem_t problem = {""};

    if (len > MR_STATEMENT_BODY_MAX_BYTES) {
        send_error(request, MR_ERR_PAYLOAD_TOO_LARGE,
                   "the request body is too large");
        return false;
    }
    const void *data = evbuffer_pullup(in, -1);
    if (!mr_statement_parse(request->kind, data, len, &request->body,
                            &problem)) {
        send_error(request, MR_ERR_INVALID_REQUEST, problem.text);
        return false;
    }
    request->has_body = true;
    if (request->body.transaction != NULL
        && !mr_txn_decode(request->entry->txn_seal, request->body.transaction,
                          &request->txn)) {
        send_error(request, MR_ERR_INVALID_TRANSACTION,
                   "the transaction handle is invalid");
        return false;
    }
    return true;
}

static void
handle_request(request_t *request, const char *route_name)
{
    mr_config_t *config =
        mr_config_store_current(request->entry->options.config);

    if (evhttp_request_get_command(request->http) != EVHTTP_REQ_POST) {
        send_error(request, MR_ERR_METHOD_NOT_ALLOWED,
                   "the method must be POST");
        return;
    }
    if (config == NULL) {
        send_error(request, MR_ERR_CONFIG_MISSING,
                   "no configuration has been accepted yet");
        return;
    }
    request->config = mr_config_ref(config);
    if (!read_body(request)) {
        return;
    }
    request->route = mr_config_route(
        config, route_name != NULL ? route_name : request->txn.route);
    if (request->route == NULL) {
        send_error(request, MR_ERR_UNKNOWN_ROUTE, "unknown route");
        return;
    }
    request->auth = mr_auth_check(
        request->entry->options.config, config, request->route,
        evhttp_find_header(evhttp_request_get_input_headers(request->http),
                           "Authorization"));
    if (request->auth.error != MR_OK) {
        send_error(request, request->auth.error, request->auth.message);
        return;
    }
    process_request(request);
}

/* Parses /v1/routes/NAME/KIND into the route's name and the kind. */
static bool
parse_route_path(const char *path, char *route, size_t size,
                 mr_statement_kind_t *kind)
{
    static const char prefix[] = "/v1/routes/";
    static const struct {
        const char *suffix;
        mr_statement_kind_t kind;
    } kinds[] = {
        {"/statements", MR_STATEMENT_RUN},
        {"/transactions", MR_STATEMENT_BEGIN},
        {"/request-ids", MR_STATEMENT_ISSUE_ID},
    };

    if (strncmp(path, prefix, strlen(prefix)) != 0) {
        return false;
    }
    path += strlen(prefix);
    size_t len = strcspn(path, "/");
    if (len == 0 || len >= size) {
        return false;
    }
    memcpy(route, path, len);
    route[len] = '\0';
    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        if (strcmp(path + len, kinds[i].suffix) == 0) {
            *kind = kinds[i].kind;
            return true;
        }
    }
    return false;
}

static void
on_request(struct evhttp_request *req, void *ctx)
{
    mr_entry_t *entry = ctx;
    request_t *request = MR_NEW(request_t);
    char route[MR_CONFIG_NAME_MAX + 1];
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

    request->entry = entry;
    request->http = req;
    mr_list_append(&entry->requests, &request->link);
    entry->request_count++;
    if (path == NULL) {
        path = "";
    }
    if (parse_route_path(path, route, sizeof(route), &request->kind)) {
        handle_request(request, route);
    }
    else if (strcmp(path, "/v1/transactions/commit") == 0) {
        request->kind = MR_STATEMENT_COMMIT;
        handle_request(request, NULL);
    }
    else if (strcmp(path, "/v1/transactions/rollback") == 0) {
        request->kind = MR_STATEMENT_ROLLBACK;
        handle_request(request, NULL);
    }
    else {
        send_error(request, MR_ERR_NOT_FOUND, "unknown path");
    }
}

bool
mr_entry_listen(mr_entry_t *entry, const char *address)
{
    return mr_listener_open(entry->listener, address);
}

void
mr_entry_drain(mr_entry_t *entry)
{
    mr_listener_close(entry->listener);
    entry->draining = true;
}

size_t
mr_entry_request_count(const mr_entry_t *entry)
{
    return entry->request_count;
}

static void
create_counters(mr_entry_t *entry)
{
    mr_counters_t *counters = entry->options.counters;

    for (int i = 0; i < MR_ERROR_COUNT; i++) {
        char labels[64];
        snprintf(labels, sizeof(labels), "kind=\"%s\"",
                 mr_error_name((mr_error_kind_t)i));
        entry->responses[i] =
            mr_counters_get(counters, "masticrelay_answers_total", labels,
                            "answers to callers by kind");
    }
    entry->replica_reads =
        mr_counters_get(counters, "masticrelay_reads_total",
                        "role=\"replica\"", "reads by serving role");
    entry->primary_reads =
        mr_counters_get(counters, "masticrelay_reads_total",
                        "role=\"primary\"", "reads by serving role");
}

mr_entry_t *
mr_entry_create(const mr_entry_options_t *options)
{
    mr_entry_t *entry = MR_NEW(mr_entry_t);
    mr_listener_options_t listener = {
        .base = options->base,
        .counters = options->counters,
        .label = "callers",
        .tls = options->tls,
        .headers_max_bytes = HEADERS_MAX_BYTES,
        .body_max_bytes = HTTP_BODY_MAX_BYTES,
        .idle_timeout_s = IDLE_TIMEOUT_S,
        .descriptors_max = options->descriptors_max,
    };

    entry->options = *options;
    mr_list_init(&entry->requests);
    entry->session_seal = mr_seal_create(options->secret, MR_SEAL_SESSION);
    entry->txn_seal = mr_seal_create(options->secret, MR_SEAL_TRANSACTION);
    entry->listener = mr_listener_create(&listener, on_request, entry);
    create_counters(entry);
    return entry;
}

void
mr_entry_destroy(mr_entry_t *entry)
{
    if (entry == NULL) {
        return;
    }
    /* Requests in progress end without a response. Those passed on for
     * execution are freed by their callback. */
    MR_LIST_FOREACH(it, &entry->requests)
    {
        request_t *request = MR_LIST_ENTRY(it, request_t, link);
        if (request->limit_wait != NULL) {
            free_request(request);
        }
        else {
            request->entry = NULL;
            mr_list_remove(it);
        }
    }
    mr_listener_destroy(entry->listener);
    mr_seal_destroy(entry->session_seal);
    mr_seal_destroy(entry->txn_seal);
    free(entry);
}
