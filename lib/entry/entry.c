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
    /* The HTTP library refuses larger bodies with a page of its own; bodies
     * between the two limits get a proper answer. */
    TRANSPORT_BODY_MAX_BYTES = 4 * MR_STATEMENT_BODY_MAX_BYTES,
    /* A connection that is idle this long is closed. */
    CONNECTION_TIMEOUT_S = 120,
};

struct mr_entry {
    mr_entry_options_t options;
    mr_listener_t *listener;
    mr_seal_t *session_seal;
    mr_seal_t *txn_seal;
    bool draining;
    size_t running;
    mr_list_t calls;
    mr_counter_t *outcomes[MR_ERROR_COUNT];
    mr_counter_t *replica_reads;
    mr_counter_t *primary_reads;
};

/** One request of a caller. */
typedef struct call {
    mr_list_t link;
    mr_entry_t *entry; /* NULL: the listener was closed meanwhile */
    struct evhttp_request *req;
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
} call_t;

/* Answers. */

static void
free_call(call_t *call)
{
    if (call->limit_wait != NULL) {
        mr_limit_cancel(call->limit_wait);
    }
    if (call->has_body) {
        mr_statement_release(&call->body);
    }
    mr_config_unref(call->config);
    if (call->entry != NULL) {
        call->entry->running--;
    }
    mr_list_remove(&call->link);
    free(call);
}

static void
send_answer(call_t *call, int status, struct evbuffer *body)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(call->req);

    evhttp_add_header(headers, "Content-Type", "application/json");
    if (call->entry->draining) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evhttp_send_reply(call->req, status, NULL, body);
    evbuffer_free(body);
    free_call(call);
}

static void
add_json_text(struct evbuffer *out, const char *text)
{
    json_t *string = json_stringn_nocheck(text, strlen(text));
    char *dumped = json_dumps(string, JSON_ENCODE_ANY);

    evbuffer_add_printf(out, "%s", dumped == NULL ? "\"\"" : dumped);
    free(dumped);
    json_decref(string);
}

/* Appends the session token, if the session has anything to carry. */
static void
add_session(call_t *call, struct evbuffer *out)
{
    if (call->session.count == 0) {
        return;
    }
    char *token = mr_session_close(call->entry->session_seal, &call->session);
    evbuffer_add_printf(out, ",\"session\":\"%s\"", token);
    free(token);
}

static void
answer_error(call_t *call, mr_error_kind_t error, const char *message)
{
    struct evbuffer *body = evbuffer_new();

    /* Owners are the fleet's own business; to a caller the group was out of
     * reach. */
    if (error == MR_ERR_WRONG_OWNER) {
        error = MR_ERR_UNAVAILABLE;
    }
    mr_counter_add(call->entry->outcomes[error], 1);
    evbuffer_add_printf(body,
                        "{\"error\":{\"kind\":\"%s\",\"outcome\":\"%s\","
                        "\"message\":",
                        mr_error_name(error),
                        mr_outcome_name(mr_error_outcome(error)));
    add_json_text(body, message);
    evbuffer_add_printf(body, "}");
    if (mr_error_outcome(error) == MR_OUTCOME_UNKNOWN) {
        add_session(call, body);
    }
    evbuffer_add_printf(body, "}");
    send_answer(call, mr_error_status(error), body);
}

static void
add_request_id(call_t *call, struct evbuffer *body)
{
    char *id =
        mr_reqid_issue(call->entry->options.reqid, call->auth.account->name);

    evbuffer_add_printf(body, ",\"next_request_id\":\"%s\"", id);
    free(id);
}

static void
answer_ran(call_t *call, const mr_msg_execute_reply_t *reply)
{
    struct evbuffer *body = evbuffer_new();

    mr_counter_add(call->entry->outcomes[MR_OK], 1);
    evbuffer_add_printf(body, "{\"outcome\":\"ran\",\"result\":");
    if (reply->result.len > 0) {
        evbuffer_add(body, reply->result.data, reply->result.len);
    }
    else {
        evbuffer_add_printf(body, "null");
    }
    evbuffer_add_printf(body, ",\"served_by\":");
    add_json_text(body, reply->target);
    evbuffer_add_printf(body, ",\"role\":\"%s\"",
                        reply->primary ? "primary" : "replica");
    add_session(call, body);
    add_request_id(call, body);
    evbuffer_add_printf(body, "}");
    send_answer(call, mr_error_status(MR_OK), body);
}

static void
answer_begun(call_t *call, const mr_msg_execute_reply_t *reply)
{
    struct evbuffer *body = evbuffer_new();

    snprintf(call->txn.id, sizeof(call->txn.id), "%s", reply->transaction);
    snprintf(call->txn.instance, sizeof(call->txn.instance), "%s",
             reply->instance);
    snprintf(call->txn.address, sizeof(call->txn.address), "%s",
             reply->address);
    call->txn.term = reply->term;
    char *handle = mr_txn_close(call->entry->txn_seal, &call->txn);
    mr_counter_add(call->entry->outcomes[MR_OK], 1);
    evbuffer_add_printf(body, "{\"transaction\":\"%s\"}", handle);
    free(handle);
    send_answer(call, mr_error_status(MR_OK), body);
}

static void
answer_issued(call_t *call)
{
    struct evbuffer *body = evbuffer_new();
    char *id =
        mr_reqid_issue(call->entry->options.reqid, call->auth.account->name);

    mr_counter_add(call->entry->outcomes[MR_OK], 1);
    evbuffer_add_printf(body, "{\"next_request_id\":\"%s\"}", id);
    free(id);
    send_answer(call, mr_error_status(MR_OK), body);
}

/* Results. */

static uint8_t
covering_index(const call_t *call, const char *name)
{
    const mr_config_target_t *target =
        mr_config_group_target(call->group, name);

    return target == NULL ? MR_SESSION_NO_TARGET : (uint8_t)target->index;
}

static bool
is_session_write(const call_t *call)
{
    switch (call->kind) {
    case MR_STATEMENT_RUN:
        return call->body.access == MR_ACCESS_WRITE
               && call->body.transaction == NULL;
    case MR_STATEMENT_COMMIT:
        return call->txn.access == MR_ACCESS_WRITE;
    case MR_STATEMENT_BEGIN:
    case MR_STATEMENT_ISSUE_ID:
    case MR_STATEMENT_ROLLBACK:
        break;
    }
    return false;
}

/* The highest term under which a write with unknown outcome may run. A commit
 * runs under the transaction's own. */
static int64_t
unknown_term(const call_t *call, const mr_msg_execute_reply_t *reply)
{
    if (reply->term > 0) {
        return reply->term;
    }
    return call->kind == MR_STATEMENT_COMMIT && call->txn.term > 0
               ? call->txn.term
               : MR_SESSION_ANY_TERM;
}

/* Records in the session what the request did or may have done. */
static void
update_session(call_t *call, const mr_msg_execute_reply_t *reply)
{
    mr_error_kind_t error = (mr_error_kind_t)reply->error;
    uint64_t group = mr_session_group(call->group->name);

    if (is_session_write(call)) {
        if (reply->position > 0
            && (error == MR_OK || error == MR_ERR_OUTCOME_UNKNOWN)) {
            mr_session_wrote(&call->session, group, reply->term,
                             reply->position,
                             covering_index(call, reply->covering));
        }
        else if (mr_error_outcome(error) == MR_OUTCOME_UNKNOWN) {
            mr_session_wrote_unknown(&call->session, group,
                                     unknown_term(call, reply));
        }
        return;
    }
    const mr_session_entry_t *entry = mr_session_find(&call->session, group);
    if (error == MR_OK && entry != NULL && entry->uncertain_term != 0
        && reply->primary && call->kind == MR_STATEMENT_RUN) {
        mr_session_read_present(&call->session, group, reply->term,
                                reply->position);
    }
}

static void
on_executed(void *ctx, const mr_msg_execute_reply_t *reply)
{
    call_t *call = ctx;
    mr_error_kind_t error = (mr_error_kind_t)reply->error;

    if (call->entry == NULL) {
        free_call(call);
        return;
    }
    update_session(call, reply);
    if (error != MR_OK) {
        answer_error(call, error, reply->message);
        return;
    }
    if (call->kind == MR_STATEMENT_BEGIN) {
        answer_begun(call, reply);
        return;
    }
    if (call->kind == MR_STATEMENT_RUN
        && call->body.access == MR_ACCESS_READ) {
        mr_counter_add(reply->primary ? call->entry->primary_reads
                                      : call->entry->replica_reads,
                       1);
    }
    answer_ran(call, reply);
}

/* Running. */

static void
fill_message(call_t *call, mr_msg_execute_t *msg)
{
    const mr_session_entry_t *entry =
        mr_session_find(&call->session, mr_session_group(call->group->name));

    memset(msg, 0, sizeof(*msg));
    msg->account = call->auth.account->name;
    msg->group = call->group->name;
    msg->target = "";
    msg->request_id = "";
    msg->transaction = "";
    msg->access = call->body.access;
    msg->freshness = call->body.freshness;
    msg->max_age_ms = call->body.max_age_ms;
    msg->idempotent = call->body.idempotent;
    msg->deadline_ms = call->deadline - mr_clock_now(NULL);
    if (call->body.statement != NULL) {
        msg->statement =
            (mr_bytes_t){call->body.statement, strlen(call->body.statement)};
    }
    if (entry != NULL) {
        msg->token_term = entry->term;
        msg->token_position = entry->position;
        msg->token_uncertain = entry->uncertain_term != 0;
        if (entry->covering < call->group->target_count) {
            msg->target = call->group->targets[entry->covering].name;
        }
    }
}

static mr_operation_t
operation_of(mr_statement_kind_t kind)
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
run_in_transaction(call_t *call, mr_msg_execute_t *msg)
{
    msg->transaction = call->txn.id;
    mr_route_forward(call->entry->options.route, call->txn.instance,
                     call->txn.address, msg, on_executed, call);
}

static void
run_with_id(call_t *call, mr_msg_execute_t *msg)
{
    mr_entry_t *entry = call->entry;
    mr_reqid_parts_t parts;

    msg->request_id = call->body.request_id;
    if (!mr_reqid_parse(entry->options.reqid, msg->request_id, &parts)
        || strcmp(parts.account, msg->account) != 0) {
        answer_error(call, MR_ERR_INVALID_REQUEST_ID,
                     "the request id was not issued to this account");
        return;
    }
    if (strcmp(parts.instance, entry->options.name) == 0) {
        mr_reqid_execute(entry->options.reqid, msg, on_executed, call);
        return;
    }
    mr_route_forward(entry->options.route, parts.instance, parts.address, msg,
                     on_executed, call);
}

static void
run(call_t *call)
{
    mr_msg_execute_t msg;

    fill_message(call, &msg);
    msg.operation = operation_of(call->kind);
    if (call->kind == MR_STATEMENT_ISSUE_ID) {
        answer_issued(call);
    }
    else if (call->body.transaction != NULL) {
        run_in_transaction(call, &msg);
    }
    else if (call->body.request_id != NULL) {
        run_with_id(call, &msg);
    }
    else {
        mr_route_execute(call->entry->options.route, &msg, on_executed, call);
    }
}

static void
on_admitted(void *ctx, mr_error_kind_t error)
{
    call_t *call = ctx;

    call->limit_wait = NULL;
    if (error != MR_OK) {
        answer_error(call, error, "the account's rate is used up");
        return;
    }
    run(call);
}

/* Ending a transaction is free, so that an account at its limit can give back
 * what it holds. A request with an id is charged where its record is kept, so
 * that a repeated one is answered from the record and never refused as not
 * run. */
static bool
is_charged(const call_t *call)
{
    switch (call->kind) {
    case MR_STATEMENT_RUN:
        return call->body.request_id == NULL;
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
admit(call_t *call)
{
    if (is_charged(call)) {
        call->limit_wait = mr_limit_admit(
            call->entry->options.limit, call->auth.account, on_admitted, call);
        if (call->limit_wait != NULL) {
            return;
        }
    }
    run(call);
}

/* Checks. */

/* The group of a shard, by rendezvous over the names of the service's groups:
 * a group that is added takes only its own part of the shards. */
static const mr_config_group_t *
choose_group(const call_t *call)
{
    const mr_config_service_t *service = call->route->service;
    const char *shard =
        call->body.shard != NULL ? call->body.shard : call->auth.account->name;
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
check_transaction(call_t *call)
{
    if (strcmp(call->txn.account, call->auth.account->name) != 0
        || strcmp(call->txn.route, call->route->name) != 0) {
        answer_error(call, MR_ERR_INVALID_TRANSACTION,
                     "the transaction belongs to another account or route");
        return false;
    }
    call->group = mr_config_group(call->config, call->txn.group);
    if (call->group == NULL) {
        answer_error(call, MR_ERR_TRANSACTION_LOST,
                     "the transaction's group is not configured any more");
        return false;
    }
    return true;
}

static bool
check_session(call_t *call)
{
    if (call->body.session != NULL
        && !mr_session_open(call->entry->session_seal, call->body.session,
                            &call->session)) {
        answer_error(call, MR_ERR_INVALID_SESSION,
                     "the session token is not genuine");
        return false;
    }
    if (is_session_write(call)
        && !mr_session_has_room(&call->session,
                                mr_session_group(call->group->name))) {
        answer_error(call, MR_ERR_SESSION_TOO_WIDE,
                     "the session has written to too many groups");
        return false;
    }
    return true;
}

/* A key pasted into a statement would reach a target. */
static bool
check_statement(call_t *call)
{
    const char *statement = call->body.statement;
    const char *secret = call->auth.secret;

    if (statement != NULL
        && ((secret[0] != '\0' && strstr(statement, secret) != NULL)
            || mr_key_occurs(statement))) {
        answer_error(call, MR_ERR_INVALID_REQUEST,
                     "the statement contains a key");
        return false;
    }
    return true;
}

static void
process(call_t *call)
{
    mr_ms_t deadline_ms = call->body.deadline_ms != 0
                              ? call->body.deadline_ms
                              : call->route->deadline_ms;

    call->deadline = mr_clock_now(NULL) + deadline_ms;
    mr_statement_tighten(&call->body, call->route);
    if (call->body.transaction != NULL) {
        if (!check_transaction(call)) {
            return;
        }
    }
    else {
        call->group = choose_group(call);
    }
    if (!check_session(call) || !check_statement(call)) {
        return;
    }
    if (call->kind == MR_STATEMENT_BEGIN) {
        snprintf(call->txn.route, sizeof(call->txn.route), "%s",
                 call->route->name);
        snprintf(call->txn.account, sizeof(call->txn.account), "%s",
                 call->auth.account->name);
        snprintf(call->txn.group, sizeof(call->txn.group), "%s",
                 call->group->name);
        call->txn.access = call->body.access;
    }
    admit(call);
}

static bool
read_body(call_t *call)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(call->req);
    size_t len = evbuffer_get_length(in);
    mr_json_problem_t problem = {""};

    if (len > MR_STATEMENT_BODY_MAX_BYTES) {
        answer_error(call, MR_ERR_PAYLOAD_TOO_LARGE, "the body is too long");
        return false;
    }
    const void *data = evbuffer_pullup(in, -1);
    if (!mr_statement_parse(call->kind, data, len, &call->body, &problem)) {
        answer_error(call, MR_ERR_INVALID_REQUEST, problem.text);
        return false;
    }
    call->has_body = true;
    if (call->body.transaction != NULL
        && !mr_txn_open(call->entry->txn_seal, call->body.transaction,
                        &call->txn)) {
        answer_error(call, MR_ERR_INVALID_TRANSACTION,
                     "the transaction handle is not genuine");
        return false;
    }
    return true;
}

static void
handle(call_t *call, const char *route_name)
{
    mr_config_t *config = mr_config_store_current(call->entry->options.config);

    if (evhttp_request_get_command(call->req) != EVHTTP_REQ_POST) {
        answer_error(call, MR_ERR_METHOD_NOT_ALLOWED, "use POST");
        return;
    }
    if (config == NULL) {
        answer_error(call, MR_ERR_CONFIG_MISSING,
                     "no configuration has been accepted yet");
        return;
    }
    call->config = mr_config_ref(config);
    if (!read_body(call)) {
        return;
    }
    call->route = mr_config_route(
        config, route_name != NULL ? route_name : call->txn.route);
    if (call->route == NULL) {
        answer_error(call, MR_ERR_UNKNOWN_ROUTE, "there is no such route");
        return;
    }
    call->auth = mr_auth_check(
        call->entry->options.config, config, call->route,
        evhttp_find_header(evhttp_request_get_input_headers(call->req),
                           "Authorization"));
    if (call->auth.error != MR_OK) {
        answer_error(call, call->auth.error, call->auth.message);
        return;
    }
    process(call);
}

/* Paths: /v1/routes/NAME/KIND and /v1/transactions/KIND. */

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
    call_t *call = MR_NEW(call_t);
    char route[MR_CONFIG_NAME_MAX + 1];
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

    call->entry = entry;
    call->req = req;
    mr_list_append(&entry->calls, &call->link);
    entry->running++;
    if (path == NULL) {
        path = "";
    }
    if (parse_route_path(path, route, sizeof(route), &call->kind)) {
        handle(call, route);
    }
    else if (strcmp(path, "/v1/transactions/commit") == 0) {
        call->kind = MR_STATEMENT_COMMIT;
        handle(call, NULL);
    }
    else if (strcmp(path, "/v1/transactions/rollback") == 0) {
        call->kind = MR_STATEMENT_ROLLBACK;
        handle(call, NULL);
    }
    else {
        answer_error(call, MR_ERR_NOT_FOUND, "there is no such path");
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
mr_entry_running(const mr_entry_t *entry)
{
    return entry->running;
}

static void
create_counters(mr_entry_t *entry)
{
    mr_counters_t *counters = entry->options.counters;

    for (int i = 0; i < MR_ERROR_COUNT; i++) {
        char labels[64];
        snprintf(labels, sizeof(labels), "kind=\"%s\"",
                 mr_error_name((mr_error_kind_t)i));
        entry->outcomes[i] =
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
        .body_max_bytes = TRANSPORT_BODY_MAX_BYTES,
        .idle_timeout_s = CONNECTION_TIMEOUT_S,
        .descriptors_max = options->descriptors_max,
    };

    entry->options = *options;
    mr_list_init(&entry->calls);
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
    /* Requests that still run end without an answer. */
    MR_LIST_FOREACH(it, &entry->calls)
    {
        call_t *call = MR_LIST_ENTRY(it, call_t, link);
        if (call->limit_wait != NULL) {
            free_call(call);
        }
        else {
            call->entry = NULL;
            mr_list_remove(it);
        }
    }
    mr_listener_destroy(entry->listener);
    mr_seal_destroy(entry->session_seal);
    mr_seal_destroy(entry->txn_seal);
    free(entry);
}
