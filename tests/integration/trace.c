#include "trace.h"

#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* What "within seconds" means in P6, P11 and P13. */
enum {
    REVOKED_AFTER_MS = 5000,
    LEAVING_AFTER_MS = 5000,
    IN_FORCE_AFTER_MS = 3000,
};

/** A write's value in the final logs. */
typedef struct place {
    const char *log;
    int64_t first; /* positions */
    int64_t last;
    int64_t count;
    const json_t *entry; /* of the first */
} place_t;

typedef struct request {
    int64_t id;
    int64_t sent;
    int64_t answered; /* -1: not yet */
    json_t *event;
    json_t *answer;
    const char *value;     /* written */
    const char *own_write; /* reads: the session's last on this key, or NULL */
} request_t;

typedef struct trace {
    GPtrArray *events; /* json_t */
    GHashTable *requests;
    GPtrArray *order;       /* request_t in order of sending */
    GHashTable *places;     /* value -> place_t */
    GHashTable *executed;   /* value -> how often, at all targets */
    GHashTable *own_writes; /* "caller key" -> value */
    GHashTable *versions;   /* instance -> version */
    GHashTable *withdrawn;  /* key -> event */
    GHashTable *leaving;    /* target -> event */
    GHashTable *stopping;   /* instance -> event */
    int64_t accepted;
    int64_t accepted_before; /* that must be in force */
    int64_t accepted_at;
    bool has_log;
    json_t *violations;
} trace_t;

static void violate(trace_t *trace, const char *promise, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
violate(trace_t *trace, const char *promise, const char *fmt, ...)
{
    char text[256];
    va_list args;

    va_start(args, fmt);
    vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    json_array_append_new(trace->violations, json_pack("{s:s,s:s}", "promise",
                                                       promise, "text", text));
}

static const char *
text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text == NULL ? "" : text;
}

static int64_t
number_of(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static bool
is_not_false(const json_t *object, const char *key)
{
    return !json_is_false(json_object_get(object, key));
}

static bool
ended(const request_t *request, const char *outcome)
{
    return strcmp(text_of(request->answer, "outcome"), outcome) == 0;
}

/* A statement that failed at its target ran, but without effect or result. */
static bool
failed(const request_t *request)
{
    return strcmp(text_of(request->answer, "kind"), "statement_failed") == 0;
}

static bool
succeeded(const request_t *request)
{
    return ended(request, "ran") && !failed(request);
}

static const json_t *
statement_of(const request_t *request)
{
    return json_object_get(request->event, "statement");
}

/* Notes where the value of @statement stands; a batch is a transaction. */
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
    place_t *place = g_hash_table_lookup(trace->places, value);
    if (place == NULL) {
        place = g_new0(place_t, 1);
        place->log = log;
        place->first = position;
        place->entry = entry;
        g_hash_table_insert(trace->places, (char *)value, place);
    }
    place->last = position;
    place->count++;
}

static void
index_log(trace_t *trace, const json_t *event)
{
    size_t i;
    const json_t *entry;

    trace->has_log = true;
    json_array_foreach(json_object_get(event, "entries"), i, entry)
    {
        index_entry(trace, text_of(event, "target"), (int64_t)i + 1, entry,
                    json_object_get(entry, "statement"));
    }
}

/* P6: a withdrawn key; P4: a key without the permission. */
static void
check_key(trace_t *trace, const request_t *request)
{
    const char *key = text_of(request->event, "key");
    const json_t *withdrawn = g_hash_table_lookup(trace->withdrawn, key);

    if (!ended(request, "ran")) {
        return;
    }
    if (withdrawn != NULL
        && request->sent > number_of(withdrawn, "t") + REVOKED_AFTER_MS) {
        violate(trace, "P6", "request %ld ran with withdrawn key %s",
                (long)request->id, key);
    }
    if (!is_not_false(request->event, "allowed")) {
        violate(trace, "P4", "request %ld ran without permission",
                (long)request->id);
    }
}

/* P8: the answer belongs to the request. */
static void
check_match(trace_t *trace, const request_t *request)
{
    const json_t *result = json_object_get(request->answer, "result");
    const json_t *value = json_object_get(result, "value");
    const char *key = text_of(statement_of(request), "key");
    size_t len = strlen(key);

    if (!succeeded(request) || statement_of(request) == NULL) {
        return;
    }
    bool reads = strcmp(text_of(statement_of(request), "op"), "get") == 0;
    bool good = reads == (value != NULL);
    for (size_t i = 0; good && i < json_array_size(value); i++) {
        const char *text = json_string_value(json_array_get(value, i));
        good =
            text == NULL || (strncmp(text, key, len) == 0 && text[len] == '/');
    }
    if (good && json_is_string(value)) {
        const char *text = json_string_value(value);
        good = strncmp(text, key, len) == 0 && text[len] == '/';
    }
    if (!good) {
        violate(trace, "P8", "request %ld got another request's answer",
                (long)request->id);
    }
}

/* P1: a read returns the session's last acknowledged write, or a later one. */
static void
check_own_write(trace_t *trace, const request_t *request)
{
    const json_t *value =
        json_object_get(json_object_get(request->answer, "result"), "value");
    const place_t *own =
        request->own_write == NULL
            ? NULL
            : g_hash_table_lookup(trace->places, request->own_write);
    bool seen = false;

    if (own == NULL || !succeeded(request)) {
        return;
    }
    if (json_is_array(value)) {
        for (size_t i = 0; i < json_array_size(value); i++) {
            const char *item = json_string_value(json_array_get(value, i));
            seen |= item != NULL && strcmp(item, request->own_write) == 0;
        }
    }
    else if (json_is_string(value)) {
        const place_t *got =
            g_hash_table_lookup(trace->places, json_string_value(value));
        /* A value that is not in the log was written behind it and lost. */
        seen = got == NULL || got->last >= own->first;
    }
    if (!seen) {
        violate(trace, "P1", "request %ld did not see the session's write %s",
                (long)request->id, request->own_write);
    }
}

static void
note_own_write(trace_t *trace, const request_t *write)
{
    g_hash_table_replace(
        trace->own_writes,
        g_strdup_printf("%ld %s", (long)number_of(write->event, "caller"),
                        text_of(statement_of(write), "key")),
        (char *)write->value);
}

static bool
same_transaction(const request_t *a, const request_t *b)
{
    int64_t transaction = number_of(b->event, "transaction");

    return transaction != 0
           && number_of(a->event, "transaction") == transaction;
}

/* The writes of a transaction count when its commit has run. */
static void
note_writes(trace_t *trace, const request_t *request)
{
    bool commits = strcmp(text_of(request->event, "operation"), "commit") == 0;

    if (!succeeded(request)) {
        return;
    }
    for (guint i = 0; commits && i < trace->order->len; i++) {
        const request_t *write = g_ptr_array_index(trace->order, i);
        if (write->value != NULL && succeeded(write)
            && same_transaction(write, request)) {
            note_own_write(trace, write);
        }
    }
    if (request->value != NULL
        && number_of(request->event, "transaction") == 0) {
        note_own_write(trace, request);
    }
}

static void
on_request(trace_t *trace, json_t *event)
{
    request_t *request = g_new0(request_t, 1);
    const json_t *statement = json_object_get(event, "statement");
    const char *freshness = text_of(event, "freshness");

    request->id = number_of(event, "id");
    request->sent = number_of(event, "t");
    request->answered = -1;
    request->event = event;
    request->value = json_string_value(json_object_get(statement, "value"));
    if (request->value == NULL && strcmp(freshness, "max_age") != 0
        && number_of(event, "transaction") == 0) {
        char *own = g_strdup_printf("%ld %s", (long)number_of(event, "caller"),
                                    text_of(statement, "key"));
        request->own_write = g_hash_table_lookup(trace->own_writes, own);
        g_free(own);
    }
    g_hash_table_insert(trace->requests, &request->id, request);
    g_ptr_array_add(trace->order, request);
}

static void
on_answer(trace_t *trace, json_t *event)
{
    int64_t id = number_of(event, "id");
    request_t *request = g_hash_table_lookup(trace->requests, &id);
    const char *target = text_of(event, "served_by");
    const json_t *leaving = g_hash_table_lookup(trace->leaving, target);

    if (request == NULL || request->answer != NULL) {
        violate(trace, "P8", "answer %ld belongs to no open request",
                (long)id);
        return;
    }
    request->answer = event;
    request->answered = number_of(event, "t");
    check_key(trace, request);
    check_match(trace, request);
    check_own_write(trace, request);
    note_writes(trace, request);
    if (leaving != NULL
        && request->sent > number_of(leaving, "t") + LEAVING_AFTER_MS) {
        violate(trace, "P11", "request %ld ran at the leaving target %s",
                (long)id, target);
    }
    const char *instance = text_of(request->event, "instance");
    const json_t *stopping = g_hash_table_lookup(trace->stopping, instance);
    if (stopping != NULL && request->sent <= number_of(stopping, "t")
        && (strcmp(text_of(event, "kind"), "connection") == 0
            || strcmp(text_of(event, "kind"), "shutting_down") == 0)) {
        violate(trace, "P12", "request %ld was interrupted by the stop of %s",
                (long)id, instance);
    }
}

/* P13: a version in force never reverts, and an accepted one is in force
 * everywhere after a time. */
static void
on_version(trace_t *trace, const json_t *event)
{
    const char *instance = text_of(event, "instance");
    int64_t version = number_of(event, "version");
    int64_t before =
        (int64_t)(intptr_t)g_hash_table_lookup(trace->versions, instance);
    int64_t due =
        number_of(event, "t") > trace->accepted_at + IN_FORCE_AFTER_MS
            ? trace->accepted
            : trace->accepted_before;

    if (version < before || version < due) {
        violate(trace, "P13", "%s has version %ld; %ld was in force", instance,
                (long)version, (long)(before > due ? before : due));
    }
    g_hash_table_insert(trace->versions, (char *)instance,
                        (void *)(intptr_t)version);
}

static void
on_accepted(trace_t *trace, const json_t *event)
{
    int64_t at = number_of(event, "t");

    if (at > trace->accepted_at + IN_FORCE_AFTER_MS) {
        trace->accepted_before = trace->accepted;
    }
    trace->accepted = number_of(event, "version");
    trace->accepted_at = at;
}

static void
replay(trace_t *trace, json_t *event)
{
    const char *name = text_of(event, "event");

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
        g_hash_table_insert(trace->withdrawn, (char *)text_of(event, "key"),
                            event);
    }
    else if (strcmp(name, "leaving") == 0) {
        g_hash_table_insert(trace->leaving, (char *)text_of(event, "target"),
                            event);
    }
    else if (strcmp(name, "executed") == 0) {
        char *value = (char *)text_of(event, "value");
        int times =
            GPOINTER_TO_INT(g_hash_table_lookup(trace->executed, value));
        g_hash_table_insert(trace->executed, value,
                            GINT_TO_POINTER(times + 1));
    }
    else if (strcmp(name, "stopping") == 0) {
        g_hash_table_insert(trace->stopping,
                            (char *)text_of(event, "instance"), event);
    }
    else if (strcmp(name, "key_seen") == 0) {
        violate(trace, "P5", "target %s received key %s",
                text_of(event, "target"), text_of(event, "key"));
    }
}

/* P2, P9, P10: what the log says about each write. */
static void
check_write(trace_t *trace, const request_t *request, const request_t *commit)
{
    const place_t *place = g_hash_table_lookup(trace->places, request->value);
    const request_t *decides = commit == NULL ? request : commit;
    bool in_transaction = number_of(request->event, "transaction") != 0;

    if (place == NULL && succeeded(request) && succeeded(decides)
        && (commit != NULL || !in_transaction)) {
        violate(trace, "P2", "acknowledged write %ld is not in the log",
                (long)request->id);
    }
    if (place != NULL
        && (ended(request, "not_run") || ended(decides, "not_run")
            || failed(request) || failed(decides))) {
        violate(trace, "P9", "write %ld is in the log of %s at %ld",
                (long)request->id, place->log, (long)place->first);
    }
    if (place != NULL && in_transaction && commit == NULL) {
        violate(trace, "P3", "write %ld is in the log without a commit",
                (long)request->id);
    }
    if (place != NULL && place->count > 1
        && !is_not_false(request->event, "idempotent")) {
        violate(trace, "P10", "write %ld ran %ld times", (long)request->id,
                (long)place->count);
    }
}

/* P3: an entry of the log holds writes of one transaction only, and all of
 * them. */
static void
check_entry(trace_t *trace, const request_t *a, const request_t *b)
{
    const place_t *at_a = g_hash_table_lookup(trace->places, a->value);
    const place_t *at_b = g_hash_table_lookup(trace->places, b->value);

    if (at_a != NULL && at_b != NULL
        && (at_a->entry == at_b->entry) != same_transaction(a, b)) {
        violate(trace, "P3", "writes %ld and %ld %s in one log entry",
                (long)a->id, (long)b->id,
                at_a->entry == at_b->entry ? "stand" : "do not stand");
    }
}

static const request_t *
find_commit(const trace_t *trace, const request_t *request)
{
    for (guint i = 0; i < trace->order->len; i++) {
        const request_t *other = g_ptr_array_index(trace->order, i);
        if (same_transaction(other, request)
            && strcmp(text_of(other->event, "operation"), "commit") == 0) {
            return other;
        }
    }
    return NULL;
}

/* P9, P10: what the targets' own records say. A write that was executed and
 * lost with its primary's log still ran. */
static void
check_executed(trace_t *trace, const request_t *request)
{
    int times =
        GPOINTER_TO_INT(g_hash_table_lookup(trace->executed, request->value));

    if (times > 0 && ended(request, "not_run")) {
        violate(trace, "P9", "write %ld was executed %d times",
                (long)request->id, times);
    }
    if (times > 1 && !is_not_false(request->event, "idempotent")) {
        violate(trace, "P10", "write %ld was executed %d times",
                (long)request->id, times);
    }
}

static void
check_writes(trace_t *trace)
{
    GHashTable *entries = g_hash_table_new(NULL, NULL);

    for (guint i = 0; i < trace->order->len && trace->has_log; i++) {
        request_t *request = g_ptr_array_index(trace->order, i);
        bool plain = number_of(request->event, "transaction") == 0;
        if (request->value == NULL) {
            continue;
        }
        check_executed(trace, request);
        check_write(trace, request,
                    plain ? NULL : find_commit(trace, request));
        const place_t *place =
            g_hash_table_lookup(trace->places, request->value);
        if (place == NULL) {
            continue;
        }
        const request_t *other = g_hash_table_lookup(entries, place->entry);
        if (other != NULL) {
            check_entry(trace, other, request);
        }
        g_hash_table_insert(entries, (json_t *)place->entry, request);
        for (guint j = 0; j < i && !plain; j++) {
            const request_t *before = g_ptr_array_index(trace->order, j);
            if (before->value != NULL && same_transaction(before, request)) {
                check_entry(trace, before, request);
            }
        }
    }
    g_hash_table_destroy(entries);
}

static int
compare_answered(const void *a, const void *b)
{
    const request_t *first = *(const request_t *const *)a;
    const request_t *second = *(const request_t *const *)b;

    return (first->answered > second->answered)
           - (first->answered < second->answered);
}

/*
 * P7: in no time span [a, b] does an account get more than burst + rate * (b -
 * a). A request counts when it was sent and answered within the span, which is
 * when it was surely admitted there. For each end b, counts[i] is the number
 * of requests within the span that begins when request i was sent.
 */
static void
check_account(trace_t *trace, const json_t *account)
{
    const char *name = text_of(account, "name");
    double rate = (double)number_of(account, "rate") / 1000.0;
    double burst = (double)number_of(account, "burst");
    GPtrArray *ran = g_ptr_array_new();

    for (guint i = 0; i < trace->order->len; i++) {
        request_t *request = g_ptr_array_index(trace->order, i);
        if (ended(request, "ran")
            && strcmp(text_of(request->event, "account"), name) == 0
            && number_of(request->event, "transaction") == 0) {
            g_ptr_array_add(ran, request);
        }
    }
    g_ptr_array_sort(ran, compare_answered);
    double *counts = g_new0(double, ran->len + 1);
    for (guint i = 0; i < ran->len; i++) {
        const request_t *last = g_ptr_array_index(ran, i);
        for (guint j = 0; j < ran->len; j++) {
            const request_t *first = g_ptr_array_index(ran, j);
            counts[j] += first->sent <= last->sent ? 1.0 : 0.0;
            double span = (double)(last->answered - first->sent);
            if (span >= 0 && counts[j] > burst + rate * span + 1e-6) {
                violate(trace, "P7", "%s got %.0f requests in %.0f ms", name,
                        counts[j], span);
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
    bool good = file != NULL;

    while (good && getline(&line, &size, file) > 0) {
        json_t *event = json_loads(line, 0, NULL);
        good = event != NULL;
        if (good) {
            g_ptr_array_add(trace->events, event);
        }
    }
    free(line);
    if (file != NULL) {
        fclose(file);
    }
    return good && trace->events->len > 0;
}

static void
run_checks(trace_t *trace)
{
    for (guint i = 0; i < trace->events->len; i++) {
        json_t *event = g_ptr_array_index(trace->events, i);
        if (strcmp(text_of(event, "event"), "log") == 0) {
            index_log(trace, event);
        }
    }
    for (guint i = 0; i < trace->events->len; i++) {
        replay(trace, g_ptr_array_index(trace->events, i));
    }
    check_writes(trace);
    for (guint i = 0; i < trace->events->len; i++) {
        const json_t *event = g_ptr_array_index(trace->events, i);
        if (strcmp(text_of(event, "event"), "account") == 0) {
            check_account(trace, event);
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
        .places = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free),
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
        run_checks(&trace);
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
    g_hash_table_destroy(trace.places);
    g_ptr_array_free(trace.order, TRUE);
    g_hash_table_destroy(trace.requests);
    g_ptr_array_free(trace.events, TRUE);
    return trace.violations;
}
