#include "trace.h"

#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Upper bounds for "within seconds" in P6, P11 and P13. */
enum {
    REVOCATION_LIMIT_MS = 5000,
    LEAVING_LIMIT_MS = 5000,
    VERSION_LIMIT_MS = 3000,
};

/** Where the value of a write occurs in the final logs. */
typedef struct log_location {
    const char *log;
    int64_t first; /* log position of the first occurrence */
    int64_t last;
    int64_t count;
    const json_t *entry; /* at first */
} log_location_t;

typedef struct request {
    int64_t id;
    int64_t sent;
    int64_t answered; /* -1: no answer yet */
    json_t *event;
    json_t *answer;
    const char *value; /* written */
    /* Of a read: the last value that its session wrote to the key, or NULL. */
    const char *last_own_write;
} request_t;

typedef struct trace {
    GPtrArray *events; /* json_t */
    GHashTable *requests;
    GPtrArray *order;       /* request_t, in send order */
    GHashTable *locations;  /* value -> log_location_t */
    GHashTable *executed;   /* value -> how often, at all targets */
    GHashTable *own_writes; /* "caller key" -> value */
    GHashTable *versions;   /* instance -> version */
    GHashTable *withdrawn;  /* key -> event */
    GHashTable *leaving;    /* target -> event */
    GHashTable *stopping;   /* instance -> event */
    int64_t accepted;
    int64_t required_version; /* must be in force */
    int64_t accepted_at;
    bool has_log;
    json_t *violations;
} trace_t;

static void add_violation(trace_t *trace, const char *guarantee,
                          const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
add_violation(trace_t *trace, const char *guarantee, const char *fmt, ...)
{
    char text[256];
    va_list args;

    va_start(args, fmt);
    vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    json_array_append_new(
        trace->violations,
        json_pack("{s:s,s:s}", "promise", guarantee, "text", text));
}

static const char *
json_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text == NULL ? "" : text;
}

static int64_t
json_number(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static bool
is_true_by_default(const json_t *object, const char *key)
{
    return !json_is_false(json_object_get(object, key));
}

static bool
has_outcome(const request_t *request, const char *outcome)
{
    return strcmp(json_text(request->answer, "outcome"), outcome) == 0;
}

/* A statement that fails at its target has the outcome "ran", but no effect
 * and no result. */
static bool
statement_failed(const request_t *request)
{
    return strcmp(json_text(request->answer, "kind"), "statement_failed") == 0;
}

static bool
succeeded(const request_t *request)
{
    return has_outcome(request, "ran") && !statement_failed(request);
}

static const json_t *
statement_of(const request_t *request)
{
    return json_object_get(request->event, "statement");
}

/* Indexes the location of the value written by @statement. A batch holds the
 * statements of a transaction. */
static void
index_entry(trace_t *trace, const char *log, int64_t position,
            const json_t *entry, const json_t *statement)
{
    const char *value = json_string_value(json_object_get(statement, "value"));
    size_t i;
    const json_t *item;

    json_array_foreach(json_object_get(statement, "batch"), i, item)
    {
        index_entry(trace, log, position, entry, item);
    }
    if (value == NULL) {
        return;
    }
    log_location_t *location = g_hash_table_lookup(trace->locations, value);
    if (location == NULL) {
        location = g_new0(log_location_t, 1);
        location->log = log;
        location->first = position;
        location->entry = entry;
        g_hash_table_insert(trace->locations, (char *)value, location);
    }
    location->last = position;
    location->count++;
}

static void
index_log(trace_t *trace, const json_t *event)
{
    size_t i;
    const json_t *entry;

    trace->has_log = true;
    json_array_foreach(json_object_get(event, "entries"), i, entry)
    {
        index_entry(trace, json_text(event, "target"), (int64_t)i + 1, entry,
                    json_object_get(entry, "statement"));
    }
}

/* P6: no request runs with a withdrawn key. P4: none runs without permission.
 */
static void
check_key_permission(trace_t *trace, const request_t *request)
{
    const char *key = json_text(request->event, "key");
    const json_t *withdrawn = g_hash_table_lookup(trace->withdrawn, key);

    if (!has_outcome(request, "ran")) {
        return;
    }
    if (withdrawn != NULL
        && request->sent > json_number(withdrawn, "t") + REVOCATION_LIMIT_MS) {
        add_violation(trace, "P6", "request %ld ran with withdrawn key %s",
                      (long)request->id, key);
    }
    if (!is_true_by_default(request->event, "allowed")) {
        add_violation(trace, "P4", "request %ld ran without permission",
                      (long)request->id);
    }
}

/* P8: an answer belongs to its request. */
static void
check_answer_matches(trace_t *trace, const request_t *request)
{
    const json_t *result = json_object_get(request->answer, "result");
    const json_t *value = json_object_get(result, "value");
    const char *key = json_text(statement_of(request), "key");
    size_t len = strlen(key);

    if (!succeeded(request) || statement_of(request) == NULL) {
        return;
    }
    bool reads = strcmp(json_text(statement_of(request), "op"), "get") == 0;
    bool valid = reads == (value != NULL);
    for (size_t i = 0; valid && i < json_array_size(value); i++) {
        const char *text = json_string_value(json_array_get(value, i));
        valid =
            text == NULL || (strncmp(text, key, len) == 0 && text[len] == '/');
    }
    if (valid && json_is_string(value)) {
        const char *text = json_string_value(value);
        valid = strncmp(text, key, len) == 0 && text[len] == '/';
    }
    if (!valid) {
        add_violation(trace, "P8", "request %ld got another request's answer",
                      (long)request->id);
    }
}

/* P1: a read returns the session's last acknowledged write, or a later one. */
static void
check_read_your_writes(trace_t *trace, const request_t *request)
{
    const json_t *value =
        json_object_get(json_object_get(request->answer, "result"), "value");
    const log_location_t *own =
        request->last_own_write == NULL
            ? NULL
            : g_hash_table_lookup(trace->locations, request->last_own_write);
    bool seen = false;

    if (own == NULL || !succeeded(request)) {
        return;
    }
    if (json_is_array(value)) {
        for (size_t i = 0; i < json_array_size(value); i++) {
            const char *item = json_string_value(json_array_get(value, i));
            seen |= item != NULL && strcmp(item, request->last_own_write) == 0;
        }
    }
    else if (json_is_string(value)) {
        const log_location_t *got =
            g_hash_table_lookup(trace->locations, json_string_value(value));
        /* A value that is missing from the log came after the log's last
         * position and was lost. */
        seen = got == NULL || got->last >= own->first;
    }
    if (!seen) {
        add_violation(trace, "P1",
                      "request %ld did not see the session's write %s",
                      (long)request->id, request->last_own_write);
    }
}

static void
record_own_write(trace_t *trace, const request_t *write)
{
    g_hash_table_replace(
        trace->own_writes,
        g_strdup_printf("%ld %s", (long)json_number(write->event, "caller"),
                        json_text(statement_of(write), "key")),
        (char *)write->value);
}

static bool
in_same_transaction(const request_t *a, const request_t *b)
{
    int64_t transaction = json_number(b->event, "transaction");

    return transaction != 0
           && json_number(a->event, "transaction") == transaction;
}

/* The writes of a transaction take effect when its commit has run. */
static void
record_writes(trace_t *trace, const request_t *request)
{
    bool commits =
        strcmp(json_text(request->event, "operation"), "commit") == 0;

    if (!succeeded(request)) {
        return;
    }
    for (guint i = 0; commits && i < trace->order->len; i++) {
        const request_t *write = g_ptr_array_index(trace->order, i);
        if (write->value != NULL && succeeded(write)
            && in_same_transaction(write, request)) {
            record_own_write(trace, write);
        }
    }
    if (request->value != NULL
        && json_number(request->event, "transaction") == 0) {
        record_own_write(trace, request);
    }
}

static void
on_request(trace_t *trace, json_t *event)
{
    request_t *request = g_new0(request_t, 1);
    const json_t *statement = json_object_get(event, "statement");
    const char *freshness = json_text(event, "freshness");

    request->id = json_number(event, "id");
    request->sent = json_number(event, "t");
    request->answered = -1;
    request->event = event;
    request->value = json_string_value(json_object_get(statement, "value"));
    if (request->value == NULL && strcmp(freshness, "max_age") != 0
        && json_number(event, "transaction") == 0) {
        char *own =
            g_strdup_printf("%ld %s", (long)json_number(event, "caller"),
                            json_text(statement, "key"));
        request->last_own_write = g_hash_table_lookup(trace->own_writes, own);
        g_free(own);
    }
    g_hash_table_insert(trace->requests, &request->id, request);
    g_ptr_array_add(trace->order, request);
}

static void
on_answer(trace_t *trace, json_t *event)
{
    int64_t id = json_number(event, "id");
    request_t *request = g_hash_table_lookup(trace->requests, &id);
    const char *target = json_text(event, "served_by");
    const json_t *leaving = g_hash_table_lookup(trace->leaving, target);

    if (request == NULL || request->answer != NULL) {
        add_violation(trace, "P8", "answer %ld matches no request in progress",
                      (long)id);
        return;
    }
    request->answer = event;
    request->answered = json_number(event, "t");
    check_key_permission(trace, request);
    check_answer_matches(trace, request);
    check_read_your_writes(trace, request);
    record_writes(trace, request);
    if (leaving != NULL
        && request->sent > json_number(leaving, "t") + LEAVING_LIMIT_MS) {
        add_violation(trace, "P11", "request %ld ran at the leaving target %s",
                      (long)id, target);
    }
    const char *instance = json_text(request->event, "instance");
    const json_t *stopping = g_hash_table_lookup(trace->stopping, instance);
    if (stopping != NULL && request->sent <= json_number(stopping, "t")
        && (strcmp(json_text(event, "kind"), "connection") == 0
            || strcmp(json_text(event, "kind"), "shutting_down") == 0)) {
        add_violation(trace, "P12",
                      "request %ld was interrupted by the stop of %s",
                      (long)id, instance);
    }
}

/* P13: the version of an instance never decreases, and an accepted version is
 * in force at every instance after VERSION_LIMIT_MS. */
static void
on_version(trace_t *trace, const json_t *event)
{
    const char *instance = json_text(event, "instance");
    int64_t version = json_number(event, "version");
    int64_t before =
        (int64_t)(intptr_t)g_hash_table_lookup(trace->versions, instance);
    int64_t required =
        json_number(event, "t") > trace->accepted_at + VERSION_LIMIT_MS
            ? trace->accepted
            : trace->required_version;

    if (version < before || version < required) {
        add_violation(trace, "P13", "%s has version %ld; %ld was in force",
                      instance, (long)version,
                      (long)(before > required ? before : required));
    }
    g_hash_table_insert(trace->versions, (char *)instance,
                        (void *)(intptr_t)version);
}

static void
on_accepted(trace_t *trace, const json_t *event)
{
    int64_t at = json_number(event, "t");

    if (at > trace->accepted_at + VERSION_LIMIT_MS) {
        trace->required_version = trace->accepted;
    }
    trace->accepted = json_number(event, "version");
    trace->accepted_at = at;
}

static void
process_event(trace_t *trace, json_t *event)
{
    const char *name = json_text(event, "event");

    if (strcmp(name, "request") == 0) {
        on_request(trace, event);
    }
    else if (strcmp(name, "answer") == 0) {
        on_answer(trace, event);
    }
    else if (strcmp(name, "version") == 0) {
        on_version(trace, event);
    }
    else if (strcmp(name, "accepted") == 0) {
        on_accepted(trace, event);
    }
    else if (strcmp(name, "withdrawn") == 0) {
        g_hash_table_insert(trace->withdrawn, (char *)json_text(event, "key"),
                            event);
    }
    else if (strcmp(name, "leaving") == 0) {
        g_hash_table_insert(trace->leaving, (char *)json_text(event, "target"),
                            event);
    }
    else if (strcmp(name, "executed") == 0) {
        char *value = (char *)json_text(event, "value");
        int times =
            GPOINTER_TO_INT(g_hash_table_lookup(trace->executed, value));
        g_hash_table_insert(trace->executed, value,
                            GINT_TO_POINTER(times + 1));
    }
    else if (strcmp(name, "stopping") == 0) {
        g_hash_table_insert(trace->stopping,
                            (char *)json_text(event, "instance"), event);
    }
    else if (strcmp(name, "key_seen") == 0) {
        add_violation(trace, "P5", "target %s received key %s",
                      json_text(event, "target"), json_text(event, "key"));
    }
}

/* P2, P3, P9, P10: compares the outcome of each write with the log. */
static void
check_write_in_log(trace_t *trace, const request_t *request,
                   const request_t *commit)
{
    const log_location_t *location =
        g_hash_table_lookup(trace->locations, request->value);
    const request_t *outcome_request = commit == NULL ? request : commit;
    bool in_transaction = json_number(request->event, "transaction") != 0;

    if (location == NULL && succeeded(request) && succeeded(outcome_request)
        && (commit != NULL || !in_transaction)) {
        add_violation(trace, "P2", "acknowledged write %ld is not in the log",
                      (long)request->id);
    }
    if (location != NULL
        && (has_outcome(request, "not_run")
            || has_outcome(outcome_request, "not_run")
            || statement_failed(request)
            || statement_failed(outcome_request))) {
        add_violation(trace, "P9", "write %ld is in the log of %s at %ld",
                      (long)request->id, location->log, (long)location->first);
    }
    if (location != NULL && in_transaction && commit == NULL) {
        add_violation(trace, "P3", "write %ld is in the log without a commit",
                      (long)request->id);
    }
    if (location != NULL && location->count > 1
        && !is_true_by_default(request->event, "idempotent")) {
        add_violation(trace, "P10", "write %ld ran %ld times",
                      (long)request->id, (long)location->count);
    }
}

/* P3: the writes of a transaction are in one log entry, which holds no other
 * writes. */
static void
check_atomicity(trace_t *trace, const request_t *a, const request_t *b)
{
    const log_location_t *at_a =
        g_hash_table_lookup(trace->locations, a->value);
    const log_location_t *at_b =
        g_hash_table_lookup(trace->locations, b->value);

    if (at_a != NULL && at_b != NULL
        && (at_a->entry == at_b->entry) != in_same_transaction(a, b)) {
        add_violation(trace, "P3", "writes %ld and %ld %s in one log entry",
                      (long)a->id, (long)b->id,
                      at_a->entry == at_b->entry ? "are" : "are not");
    }
}

static const request_t *
find_commit(const trace_t *trace, const request_t *request)
{
    for (guint i = 0; i < trace->order->len; i++) {
        const request_t *other = g_ptr_array_index(trace->order, i);
        if (in_same_transaction(other, request)
            && strcmp(json_text(other->event, "operation"), "commit") == 0) {
            return other;
        }
    }
    return NULL;
}

/* P9, P10: compares the outcome of each write with the targets' request
 * records. A write that was executed counts as run even if it was lost with
 * the log of its primary. */
static void
check_executed(trace_t *trace, const request_t *request)
{
    int times =
        GPOINTER_TO_INT(g_hash_table_lookup(trace->executed, request->value));

    if (times > 0 && has_outcome(request, "not_run")) {
        add_violation(trace, "P9", "write %ld was executed %d times",
                      (long)request->id, times);
    }
    if (times > 1 && !is_true_by_default(request->event, "idempotent")) {
        add_violation(trace, "P10", "write %ld was executed %d times",
                      (long)request->id, times);
    }
}

static void
check_writes(trace_t *trace)
{
    GHashTable *entries = g_hash_table_new(NULL, NULL);

    for (guint i = 0; i < trace->order->len && trace->has_log; i++) {
        request_t *request = g_ptr_array_index(trace->order, i);
        bool plain = json_number(request->event, "transaction") == 0;
        if (request->value == NULL) {
            continue;
        }
        check_executed(trace, request);
        check_write_in_log(trace, request,
                           plain ? NULL : find_commit(trace, request));
        const log_location_t *location =
            g_hash_table_lookup(trace->locations, request->value);
        if (location == NULL) {
            continue;
        }
        const request_t *other = g_hash_table_lookup(entries, location->entry);
        if (other != NULL) {
            check_atomicity(trace, other, request);
        }
        g_hash_table_insert(entries, (json_t *)location->entry, request);
        for (guint j = 0; j < i && !plain; j++) {
            const request_t *before = g_ptr_array_index(trace->order, j);
            if (before->value != NULL
                && in_same_transaction(before, request)) {
                check_atomicity(trace, before, request);
            }
        }
    }
    g_hash_table_destroy(entries);
}

static int
compare_answer_times(const void *a, const void *b)
{
    const request_t *first = *(const request_t *const *)a;
    const request_t *second = *(const request_t *const *)b;

    return (first->answered > second->answered)
           - (first->answered < second->answered);
}

/*
 * P7: in no interval [a, b] may an account run more than burst + rate * (b -
 * a) requests. Only requests both sent and answered within the interval count,
 * since they were certainly admitted in it. For each end b, counts[j] is the
 * number of requests in the interval that begins when request j was sent.
 */
static void
check_rate_limit(trace_t *trace, const json_t *account)
{
    const char *name = json_text(account, "name");
    double rate = (double)json_number(account, "rate") / 1000.0;
    double burst = (double)json_number(account, "burst");
    GPtrArray *ran = g_ptr_array_new();

    for (guint i = 0; i < trace->order->len; i++) {
        request_t *request = g_ptr_array_index(trace->order, i);
        if (has_outcome(request, "ran")
            && strcmp(json_text(request->event, "account"), name) == 0
            && json_number(request->event, "transaction") == 0) {
            g_ptr_array_add(ran, request);
        }
    }
    g_ptr_array_sort(ran, compare_answer_times);
    double *counts = g_new0(double, ran->len + 1);
    for (guint i = 0; i < ran->len; i++) {
        const request_t *last = g_ptr_array_index(ran, i);
        for (guint j = 0; j < ran->len; j++) {
            const request_t *first = g_ptr_array_index(ran, j);
            counts[j] += first->sent <= last->sent ? 1.0 : 0.0;
            double span = (double)(last->answered - first->sent);
            if (span >= 0 && counts[j] > burst + rate * span + 1e-6) {
                add_violation(trace, "P7", "%s got %.0f requests in %.0f ms",
                              name, counts[j], span);
                i = ran->len;
                break;
            }
        }
    }
    g_free(counts);
    g_ptr_array_free(ran, TRUE);
}

static bool
read_events(trace_t *trace, const char *path)
{
    FILE *file = fopen(path, "re");
    char *line = NULL;
    size_t size = 0;
    bool valid = file != NULL;

    while (valid && getline(&line, &size, file) > 0) {
        json_t *event = json_loads(line, 0, NULL);
        valid = event != NULL;
        if (valid) {
            g_ptr_array_add(trace->events, event);
        }
    }
    free(line);
    if (file != NULL) {
        fclose(file);
    }
    return valid && trace->events->len > 0;
}

static void
check_events(trace_t *trace)
{
    for (guint i = 0; i < trace->events->len; i++) {
        json_t *event = g_ptr_array_index(trace->events, i);
        if (strcmp(json_text(event, "event"), "log") == 0) {
            index_log(trace, event);
        }
    }
    for (guint i = 0; i < trace->events->len; i++) {
        process_event(trace, g_ptr_array_index(trace->events, i));
    }
    check_writes(trace);
    for (guint i = 0; i < trace->events->len; i++) {
        const json_t *event = g_ptr_array_index(trace->events, i);
        if (strcmp(json_text(event, "event"), "account") == 0) {
            check_rate_limit(trace, event);
        }
    }
}

json_t *
trace_check(const char *path)
{
    trace_t trace = {
        .events = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref),
        .requests = g_hash_table_new(g_int64_hash, g_int64_equal),
        .order = g_ptr_array_new_with_free_func(g_free),
        .locations =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free),
        .executed = g_hash_table_new(g_str_hash, g_str_equal),
        .own_writes =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .versions = g_hash_table_new(g_str_hash, g_str_equal),
        .withdrawn = g_hash_table_new(g_str_hash, g_str_equal),
        .leaving = g_hash_table_new(g_str_hash, g_str_equal),
        .stopping = g_hash_table_new(g_str_hash, g_str_equal),
        .violations = json_array(),
    };

    if (read_events(&trace, path)) {
        check_events(&trace);
    }
    else {
        json_decref(trace.violations);
        trace.violations = NULL;
    }
    g_hash_table_destroy(trace.stopping);
    g_hash_table_destroy(trace.leaving);
    g_hash_table_destroy(trace.withdrawn);
    g_hash_table_destroy(trace.versions);
    g_hash_table_destroy(trace.own_writes);
    g_hash_table_destroy(trace.executed);
    g_hash_table_destroy(trace.locations);
    g_ptr_array_free(trace.order, TRUE);
    g_hash_table_destroy(trace.requests);
    g_ptr_array_free(trace.events, TRUE);
    return trace.violations;
}
