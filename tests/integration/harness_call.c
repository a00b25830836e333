#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "harness.h"

enum {
    TIMEOUT_S = 15, /* exceeds every deadline that a test sets */
    ATTEMPTS_MAX = 8,
};

typedef struct attempt {
    harness_call_t *call;
    struct evhttp_connection *conn;
    bool in_progress;
    int status;
    json_t *body;
} attempt_t;

struct harness_call {
    harness_session_t *session;
    harness_request_t request;
    int64_t id;
    char path[HARNESS_NAME_BYTES];
    json_t *body;
    attempt_t attempts[ATTEMPTS_MAX];
    size_t count;
};

static bool
has_op(const harness_request_t *request, const char *op)
{
    return strcmp(request->op, op) == 0;
}

static bool
is_write(const harness_request_t *request)
{
    return has_op(request, "put") || has_op(request, "append")
           || request->write;
}

/* BEGIN, COMMIT and ROLLBACK have no statement. */
static bool
is_statement(const harness_request_t *request)
{
    return !has_op(request, "begin") && !has_op(request, "commit")
           && !has_op(request, "rollback");
}

static void
set_string(json_t *body, const char *key, const char *text)
{
    if (text != NULL) {
        json_object_set_new(body, key, json_string(text));
    }
}

static json_t *
build_statement(const harness_call_t *call)
{
    const harness_request_t *request = &call->request;
    json_t *statement = json_pack("{s:s}", "op", request->op);

    if (request->sleep > 0) {
        json_object_set_new(statement, "ms", json_integer(request->sleep));
    }
    if (request->key != NULL) {
        set_string(statement, "key", request->key);
    }
    if (has_op(request, "put") || has_op(request, "append")) {
        json_object_set_new(
            statement, "value",
            json_sprintf("%s/%lld", request->key, (long long)call->id));
    }
    return statement;
}

static json_t *
build_body(const harness_call_t *call)
{
    const harness_request_t *request = &call->request;
    json_t *body = json_object();

    if (is_statement(request) || has_op(request, "begin")) {
        set_string(body, "access", is_write(request) ? "write" : "read");
    }
    if (is_statement(request)) {
        json_object_set_new(body, "statement", build_statement(call));
        json_object_set_new(body, "idempotent",
                            json_boolean(has_op(request, "put")));
    }
    set_string(body, "transaction", request->handle);
    if (request->handle == NULL) {
        set_string(body, "shard",
                   request->shard != NULL ? request->shard : request->key);
    }
    set_string(body, "request_id", request->request_id);
    set_string(body, "session", call->session->token);
    if (request->freshness != NULL) {
        json_object_set_new(body, "freshness",
                            json_pack("{s:s}", "mode", request->freshness));
    }
    if (request->deadline > 0) {
        json_object_set_new(body, "deadline_ms",
                            json_integer(request->deadline));
    }
    return body;
}

harness_session_t *
harness_session_open(harness_t *h, int account)
{
    /* Disjoint from the session numbers of harness_callers_start(). */
    static int opened = 100000;
    harness_session_t *session = MR_NEW(harness_session_t);

    session->harness = h;
    session->index = ++opened;
    session->account = &h->accounts[account];
    return session;
}

void
harness_session_close(harness_session_t *session)
{
    free(session->token);
    free(session);
}

harness_call_t *
harness_call(harness_session_t *session, const harness_request_t *request)
{
    harness_call_t *call = MR_NEW(harness_call_t);

    call->session = session;
    call->request = *request;
    call->id = ++session->harness->next_request;
    if (has_op(request, "commit") || has_op(request, "rollback")) {
        snprintf(call->path, sizeof(call->path), "/v1/transactions/%s",
                 request->op);
    }
    else {
        snprintf(call->path, sizeof(call->path), "/v1/routes/data/%s",
                 has_op(request, "begin") ? "transactions" : "statements");
    }
    call->body = build_body(call);
    return call;
}

static void
trace_request(harness_call_t *call, const char *instance)
{
    const harness_session_t *session = call->session;
    const harness_request_t *request = &call->request;
    json_t *statement = json_object_get(call->body, "statement");
    json_t *event = json_pack(
        "{s:I,s:i,s:s,s:s,s:s,s:s,s:b,s:s}", "id", (json_int_t)call->id,
        "caller", session->index, "account", session->account->name, "key",
        session->account->key_id, "instance", instance, "access",
        is_write(request) ? "write" : "read", "idempotent",
        has_op(request, "put"), "operation",
        is_statement(request) ? "statement" : request->op);

    if (statement != NULL) {
        json_object_set(event, "statement", statement);
    }
    if (request->transaction != 0) {
        json_object_set_new(event, "transaction",
                            json_integer(request->transaction));
    }
    set_string(event, "freshness", request->freshness);
    harness_trace(session->harness, "request", event);
}

static void
on_reply(struct evhttp_request *req, void *ctx)
{
    attempt_t *attempt = ctx;
    harness_session_t *session = attempt->call->session;

    attempt->in_progress = false;
    attempt->status = harness_read_reply(req, &attempt->body);
    const char *token = harness_json_text(attempt->body, "session", NULL);
    if (token != NULL) {
        free(session->token);
        session->token = mr_strdup(token);
    }
}

void
harness_call_send(harness_call_t *call, const char *instance)
{
    harness_t *h = call->session->harness;
    const char *address = harness_instance(h, instance)->process.address;
    attempt_t *attempt = &call->attempts[call->count];

    ck_assert_uint_lt(call->count, ATTEMPTS_MAX);
    if (call->count++ == 0) {
        trace_request(call, instance);
    }
    attempt->call = call;
    attempt->conn = harness_connect(h->base, address, TIMEOUT_S);
    attempt->in_progress = true;
    char *text = json_dumps(call->body, JSON_COMPACT);
    if (!harness_send(attempt->conn, evhttp_request_new(on_reply, attempt),
                      EVHTTP_REQ_POST, call->path, call->session->account->key,
                      text)) {
        attempt->in_progress = false;
    }
    free(text);
}

void
harness_call_wait(harness_call_t *call)
{
    for (size_t i = 0; i < call->count; i++) {
        while (call->attempts[i].in_progress) {
            harness_run_loop(call->session->harness->base, 2);
        }
    }
}

static void
read_answer(const attempt_t *attempt, harness_answer_t *answer)
{
    const json_t *error = json_object_get(attempt->body, "error");

    answer->status = attempt->status;
    snprintf(answer->outcome, sizeof(answer->outcome), "%s",
             attempt->status == 200
                 ? "ran"
                 : harness_json_text(error, "outcome", "unknown"));
    snprintf(answer->kind, sizeof(answer->kind), "%s",
             attempt->status == 200
                 ? "ok"
                 : harness_json_text(error, "kind", "connection"));
    snprintf(answer->served_by, sizeof(answer->served_by), "%s",
             harness_json_text(attempt->body, "served_by", ""));
    snprintf(answer->handle, sizeof(answer->handle), "%s",
             harness_json_text(attempt->body, "transaction", ""));
    snprintf(answer->request_id, sizeof(answer->request_id), "%s",
             harness_json_text(attempt->body, "next_request_id", ""));
}

harness_answer_t
harness_call_answer(const harness_call_t *call, size_t attempt)
{
    harness_answer_t answer = {0};

    ck_assert_uint_lt(attempt, call->count);
    read_answer(&call->attempts[attempt], &answer);
    return answer;
}

/* Returns the attempt whose outcome is that of the whole request: "ran" if any
 * attempt ran, "not_run" only if none ran or may have run. */
static size_t
select_attempt(const harness_call_t *call)
{
    size_t selected = 0;
    int best = -1;

    for (size_t i = 0; i < call->count; i++) {
        harness_answer_t answer = harness_call_answer(call, i);
        int rank = strcmp(answer.outcome, "ran") == 0       ? 2
                   : strcmp(answer.outcome, "unknown") == 0 ? 1
                                                            : 0;
        if (rank > best) {
            best = rank;
            selected = i;
        }
    }
    return selected;
}

harness_answer_t
harness_call_end(harness_call_t *call)
{
    harness_call_wait(call);
    size_t selected = select_attempt(call);
    const attempt_t *attempt = &call->attempts[selected];
    harness_answer_t answer = harness_call_answer(call, selected);
    json_t *result = json_object_get(attempt->body, "result");
    json_t *value = json_object_get(result, "value");

    answer.id = call->id;
    if (json_is_string(value)) {
        snprintf(answer.value, sizeof(answer.value), "%s",
                 json_string_value(value));
    }
    harness_trace(call->session->harness, "answer",
                  json_pack("{s:I,s:i,s:s,s:s,s:s,s:s,s:O*}", "id",
                            (json_int_t)call->id, "status", answer.status,
                            "outcome", answer.outcome, "kind", answer.kind,
                            "served_by", answer.served_by, "role",
                            harness_json_text(attempt->body, "role", ""),
                            "result", result));
    for (size_t i = 0; i < call->count; i++) {
        evhttp_connection_free(call->attempts[i].conn);
        json_decref(call->attempts[i].body);
    }
    json_decref(call->body);
    free(call);
    return answer;
}

harness_answer_t
harness_call_once(harness_session_t *session, const char *instance,
                  const harness_request_t *request)
{
    harness_call_t *call = harness_call(session, request);

    harness_call_send(call, instance);
    return harness_call_end(call);
}
