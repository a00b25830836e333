#include "common_target_calls.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "common/mem.h"

target_options_t target_options = {.slots = 2, .connections = 35};
target_server_t target_server;

static void
end_transaction(target_connection_t *connection)
{
    g_clear_pointer(&connection->transaction, g_free);
    json_decref(connection->buffered);
    connection->buffered = NULL;
}

static void
on_connection_closed(struct evhttp_connection *http, void *ctx)
{
    target_connection_t *connection = ctx;

    end_transaction(connection);
    target_server.counted_connections -= connection->is_counted;
    g_hash_table_remove(target_server.connections, http);
    free(connection);
}

target_connection_t *
target_find_connection(struct evhttp_connection *http)
{
    target_connection_t *connection =
        g_hash_table_lookup(target_server.connections, http);

    if (connection == NULL) {
        connection = MR_NEW(target_connection_t);
        connection->number = ++target_server.connections_total;
        g_hash_table_insert(target_server.connections, http, connection);
        evhttp_connection_set_closecb(http, on_connection_closed, connection);
    }
    return connection;
}

static void
schedule(mr_ms_t delay, event_callback_fn fn, target_job_t *job)
{
    struct timeval tv = mr_clock_timeval(delay);

    event_base_once(target_server.base, -1, EV_TIMEOUT, fn, job, &tv);
}

void
target_record(const target_job_t *job)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(job->req);
    size_t len = evbuffer_get_length(input);
    json_t *headers = json_array();
    struct evkeyval *header;

    if (target_server.record == NULL) {
        return;
    }
    TAILQ_FOREACH(header, evhttp_request_get_input_headers(job->req), next)
    {
        json_array_append_new(
            headers, json_sprintf("%s: %s", header->key, header->value));
    }
    json_t *line = json_pack(
        "{sI, ss, sI, so, so, so*, ss, si, sO*}", "time",
        (json_int_t)mr_clock_wall(), "target", target_options.name,
        "connection", (json_int_t)job->connection->number, "line",
        json_sprintf("%s %s",
                     evhttp_request_get_command(job->req) == EVHTTP_REQ_GET
                         ? "GET"
                         : "POST",
                     evhttp_request_get_uri(job->req)),
        "headers", headers, "body",
        json_stringn((char *)evbuffer_pullup(input, -1), len), "did", job->did,
        "status", job->status, "reply", job->reply);
    json_dumpf(line, target_server.record, JSON_COMPACT);
    fputc('\n', target_server.record);
    fflush(target_server.record);
    json_decref(line);
}

static void
send_answer(evutil_socket_t fd, short what, void *ctx)
{
    target_job_t *job = ctx;
    struct evbuffer *out = evbuffer_new();
    char *text = json_dumps(job->reply, JSON_COMPACT);

    (void)fd;
    (void)what;
    evbuffer_add(out, text, strlen(text));
    evhttp_add_header(evhttp_request_get_output_headers(job->req),
                      "Content-Type", "application/json");
    if (job->status == HTTP_SERVUNAVAIL) {
        evhttp_add_header(evhttp_request_get_output_headers(job->req),
                          "Connection", "close");
    }
    evhttp_send_reply(job->req, job->status, NULL, out);
    evbuffer_free(out);
    free(text);
    json_decref(job->reply);
    json_decref(job->body);
    free(job);
}

void
target_answer(target_job_t *job, int status, json_t *reply, const char *did)
{
    mr_ms_t delay = target_server.delay_ms;

    if (json_is_object(reply) && json_object_get(reply, "role") == NULL) {
        json_object_set_new(reply, "state",
                            target_log_state(&target_server.log));
    }
    job->status = status;
    job->reply = reply;
    job->did = did;
    target_record(job);
    if (!job->connection->answered) {
        job->connection->answered = true;
        delay += target_options.connect_ms;
    }
    if (delay > 0) {
        schedule(delay, send_answer, job);
    }
    else {
        send_answer(-1, 0, job);
    }
}

static void
refuse(target_job_t *job, const char *why)
{
    target_answer(job, 409, json_pack("{ss}", "refused", why), "refused");
}

static void
fail(target_job_t *job, const char *why)
{
    target_answer(job, 422, json_pack("{ss}", "failed", why), "failed");
}

/* Returns the reason to refuse a write under @term, or NULL. */
static const char *
write_refusal(int64_t term)
{
    if (term != target_server.log.term) {
        return "wrong_term";
    }
    return target_server.log.primary ? NULL : "not_primary";
}

static bool
is_write(const target_job_t *job)
{
    return strcmp(job->access, "write") == 0;
}

/* Whether the job's transaction is open on its connection. */
static bool
holds_transaction(const target_job_t *job)
{
    return job->connection->transaction != NULL
           && strcmp(job->connection->transaction, job->transaction) == 0;
}

static void
commit(target_job_t *job)
{
    target_connection_t *connection = job->connection;
    bool has_writes = json_array_size(connection->buffered) > 0;
    const char *why = has_writes ? write_refusal(job->term) : NULL;

    if (why == NULL && has_writes && connection->term != job->term) {
        why = "wrong_term";
    }
    if (why == NULL && has_writes) {
        json_t *entry = json_pack("{ss, sO}", "op", "batch", "batch",
                                  connection->buffered);

        target_log_append(&target_server.log, job->term, entry);
        json_decref(entry);
    }
    end_transaction(connection);
    if (why != NULL) {
        refuse(job, why);
        return;
    }
    target_answer(job, 200, json_pack("{s{sb}}", "result", "ok", 1),
                  "executed");
}

static void
execute(target_job_t *job)
{
    bool in_transaction = *job->transaction != '\0';
    target_connection_t *connection = job->connection;
    const char *failure = NULL;
    const char *why = is_write(job) ? write_refusal(job->term) : NULL;

    if (why != NULL) {
        refuse(job, why);
        return;
    }
    json_t *result = target_log_evaluate(
        &target_server.log, in_transaction ? connection->buffered : NULL,
        job->statement, &failure);
    const char *op = json_string_value(json_object_get(job->statement, "op"));
    if (result != NULL && !is_write(job)
        && (strcmp(op, "put") == 0 || strcmp(op, "append") == 0)) {
        failure = "a read may not change data";
    }
    if (result != NULL && in_transaction && is_write(job)
        && !connection->is_write) {
        failure = "the transaction is read-only";
    }
    if (result != NULL && job->expires) {
        failure = "max_ms has passed";
    }
    if (failure != NULL) {
        json_decref(result);
        fail(job, failure);
        return;
    }
    if (is_write(job) && in_transaction) {
        json_array_append(connection->buffered, job->statement);
    }
    else if (is_write(job)) {
        target_log_append(&target_server.log, target_server.log.term,
                          job->statement);
    }
    target_answer(job, 200, json_pack("{so}", "result", result), "executed");
}

static void
on_statement_timer(evutil_socket_t fd, short what, void *ctx)
{
    target_job_t *job = ctx;

    (void)fd;
    (void)what;
    target_server.running_statements--;
    if (*job->transaction != '\0' && !holds_transaction(job)) {
        refuse(job, "no_transaction");
    }
    else if (strcmp(job->path, "/commit") == 0) {
        commit(job);
    }
    else {
        execute(job);
    }
    target_replication_notify(&target_server.replication);
}

void
target_run_in_slot(target_job_t *job)
{
    bool commits = strcmp(job->path, "/commit") == 0;
    mr_ms_t duration =
        target_options.statement_ms
        + json_integer_value(json_object_get(job->statement, "ms"));
    const char *why = NULL;

    if ((commits || *job->transaction != '\0') && !holds_transaction(job)) {
        why = "no_transaction";
    }
    else if (!commits && is_write(job)) {
        why = write_refusal(job->term);
    }
    if (why == NULL
        && target_server.running_statements >= target_options.slots) {
        why = "busy";
    }
    if (why != NULL) {
        refuse(job, why);
        return;
    }
    if (job->max_ms > 0 && duration > job->max_ms) {
        duration = job->max_ms;
        job->expires = true;
    }
    target_server.running_statements++;
    if (duration > 0) {
        schedule(duration, on_statement_timer, job);
    }
    else {
        on_statement_timer(-1, 0, job);
    }
}

void
target_begin(target_job_t *job)
{
    target_connection_t *connection = job->connection;
    const char *why = is_write(job) ? write_refusal(job->term) : NULL;

    if (why != NULL) {
        refuse(job, why);
        return;
    }
    end_transaction(connection);
    connection->transaction =
        g_strdup_printf("%s-%ld", target_options.name,
                        (long)++target_server.transactions_total);
    connection->is_write = is_write(job);
    connection->term = job->term;
    connection->buffered = json_array();
    target_answer(job, 200,
                  json_pack("{ss}", "transaction", connection->transaction),
                  "begun");
}

void
target_roll_back(target_job_t *job)
{
    if (!holds_transaction(job)) {
        refuse(job, "no_transaction");
        return;
    }
    end_transaction(job->connection);
    target_answer(job, 200, json_pack("{s{sb}}", "result", "ok", 1),
                  "rolled back");
}

void
target_grant(target_job_t *job)
{
    bool granted = job->term > target_server.log.term;

    if (granted) {
        target_log_set_term(&target_server.log, job->term, true);
    }
    target_answer(job, 200, json_pack("{sb}", "granted", granted),
                  granted ? "granted" : "refused");
}

void
target_become_primary(int64_t term)
{
    json_t *opening = json_pack("{ss}", "op", "open");

    target_server.log.primary = true;
    target_log_append(&target_server.log, term, opening);
    json_decref(opening);
    target_replication_notify(&target_server.replication);
}

void
target_promote(target_job_t *job)
{
    if (job->term != target_server.log.term
        || job->term != target_server.log.granted) {
        refuse(job, "wrong_term");
        return;
    }
    if (!target_server.log.primary) {
        target_become_primary(job->term);
    }
    target_answer(job, 200, json_object(), "promoted");
}

void
target_replicate(target_job_t *job)
{
    json_t *entries = json_object_get(job->body, "entries");
    int64_t base = json_integer_value(json_object_get(job->body, "base"));
    int64_t base_term =
        json_integer_value(json_object_get(job->body, "base_term"));
    const char *why = target_replication_receive(&target_server.log, job->term,
                                                 base, base_term, entries);

    if (why != NULL) {
        refuse(job, why);
        return;
    }
    target_answer(job, 200, json_object(),
                  json_array_size(entries) > 0 ? "appended"
                                               : "nothing to append");
}

void
target_status(target_job_t *job)
{
    target_answer(job, 200, target_log_state(&target_server.log), "status");
}

void
target_send_log(target_job_t *job)
{
    target_answer(job, 200, target_log_dump(&target_server.log), "log");
}
