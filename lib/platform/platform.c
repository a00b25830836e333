#include "platform/platform.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#include "common/http.h"
#include "common/json.h"
#include "common/list.h"
#include "common/mem.h"

enum {
    CONNECTIONS = 4,
    /* After this long without an answer, the platform is logged as
     * unreachable. Individual failed calls are only counted. */
    UNREACHABLE_AFTER_MS = 1000,
};

/** Operation of a call; index of call_kinds. */
typedef enum call_kind {
    CALL_ROW_GET,
    CALL_ROW_PUT,
    CALL_ROWS,
    CALL_OBJECT_GET,
    CALL_OBJECT_PUT,
    CALL_OBJECTS,
    CALL_INSTANCES,
    CALL_REGISTER,
    CALL_KIND_COUNT,
} call_kind_t;

typedef struct call_kind_info {
    const char *labels;
    const char *path;
    const char *list; /* field of the response that holds the list, or NULL */
    bool write;
} call_kind_info_t;

static const call_kind_info_t call_kinds[CALL_KIND_COUNT] = {
    [CALL_ROW_GET] = {"call=\"row_get\"", "/table/", NULL, false},
    [CALL_ROW_PUT] = {"call=\"row_put\"", "/table/", NULL, true},
    [CALL_ROWS] = {"call=\"rows\"", "/table?prefix=", "rows", false},
    [CALL_OBJECT_GET] = {"call=\"object_get\"", "/objects/", NULL, false},
    [CALL_OBJECT_PUT] = {"call=\"object_put\"", "/objects/", NULL, true},
    [CALL_OBJECTS] = {"call=\"objects\"", "/objects?prefix=", "names", false},
    [CALL_INSTANCES] = {"call=\"instances\"", "/instances", "instances",
                        false},
    [CALL_REGISTER] = {"call=\"register\"", "/instances/", NULL, true},
};

typedef struct call {
    mr_list_t link;
    mr_platform_t *platform;
    call_kind_t kind;
    mr_http_pending_t *pending;
    union {
        mr_platform_row_fn_t row;
        mr_platform_json_fn_t json;
        mr_platform_object_fn_t object;
    } fn;
    void *ctx;
} call_t;

/** Result of a call; only the fields that its kind uses are set. */
typedef struct result {
    mr_error_kind_t error;
    int64_t revision;
    json_t *value;
    const void *data;
    size_t len;
} result_t;

struct mr_platform {
    mr_http_t *http;
    mr_ms_t timeout;
    mr_list_t pending_calls;
    mr_counter_t *calls[CALL_KIND_COUNT];
    mr_counter_t *failures[CALL_KIND_COUNT];
};

static void
end_call(call_t *call, const result_t *result)
{
    call_t ended = *call;

    if (result->error == MR_ERR_UNAVAILABLE
        || result->error == MR_ERR_OUTCOME_UNKNOWN) {
        mr_counter_add(call->platform->failures[call->kind], 1);
    }
    mr_list_remove(&call->link);
    free(call);
    switch (ended.kind) {
    case CALL_ROW_GET:
    case CALL_ROW_PUT:
        ended.fn.row(ended.ctx, result->error, result->revision,
                     result->value);
        break;
    case CALL_OBJECT_GET:
    case CALL_OBJECT_PUT:
        ended.fn.object(ended.ctx, result->error, result->data, result->len);
        break;
    case CALL_ROWS:
    case CALL_OBJECTS:
    case CALL_INSTANCES:
    case CALL_REGISTER:
    case CALL_KIND_COUNT:
        ended.fn.json(ended.ctx, result->error, result->value);
        break;
    }
}

/* Error of a call that was sent and got no usable answer. */
static mr_error_kind_t
unanswered_error(const call_t *call)
{
    return call_kinds[call->kind].write ? MR_ERR_OUTCOME_UNKNOWN
                                        : MR_ERR_UNAVAILABLE;
}

static void
read_row(const call_t *call, json_t *body, result_t *result)
{
    json_t *revision = json_object_get(body, "revision");

    result->value = json_object_get(body, "value");
    if (!json_is_integer(revision)
        || (call->kind == CALL_ROW_GET && result->value == NULL)) {
        result->error = unanswered_error(call);
        result->value = NULL;
        return;
    }
    result->revision = json_integer_value(revision);
}

static void
read_list(const call_t *call, json_t *body, result_t *result)
{
    result->value = json_object_get(body, call_kinds[call->kind].list);
    if (!json_is_array(result->value)) {
        result->error = unanswered_error(call);
        result->value = NULL;
    }
}

static mr_error_kind_t
error_from_status(const call_t *call, int status)
{
    switch (status) {
    case 200:
        return MR_OK;
    case 404:
        return MR_ERR_NOT_FOUND;
    case 409:
        return MR_ERR_CONFLICT;
    case 400:
        return MR_ERR_INVALID_REQUEST;
    default:
        return unanswered_error(call);
    }
}

static void
on_answer(void *ctx, mr_error_kind_t error, int status, const char *text,
          size_t len)
{
    call_t *call = ctx;
    result_t result = {.error = MR_ERR_UNAVAILABLE};
    mr_json_problem_t problem;
    json_t *body = NULL;

    if (error == MR_OK) {
        result.error = error_from_status(call, status);
    }
    else if (error == MR_ERR_OUTCOME_UNKNOWN) {
        result.error = unanswered_error(call);
    }
    if (result.error == MR_OK && call->kind == CALL_OBJECT_GET) {
        result.len = len;
        result.data = text;
    }
    else if (call->kind == CALL_ROW_GET || call->kind == CALL_ROW_PUT) {
        if (result.error == MR_OK || result.error == MR_ERR_CONFLICT) {
            body = mr_json_parse(text, len, &problem);
            read_row(call, body, &result);
        }
    }
    else if (result.error == MR_OK && call_kinds[call->kind].list != NULL) {
        body = mr_json_parse(text, len, &problem);
        read_list(call, body, &result);
    }
    end_call(call, &result);
    json_decref(body);
}

/* Appends the URI-encoded @name to the path of @kind; keeps its slashes. */
static char *
build_uri(call_kind_t kind, const char *name)
{
    struct evbuffer *out = evbuffer_new();
    const char *rest = name;

    evbuffer_add_printf(out, "%s", call_kinds[kind].path);
    while (*rest != '\0') {
        size_t len = strcspn(rest, "/");
        char *part = evhttp_uriencode(rest, (ev_ssize_t)len, 0);
        evbuffer_add_printf(out, "%s%s", part, rest[len] == '/' ? "/" : "");
        free(part);
        rest += len + (rest[len] == '/');
    }
    evbuffer_add(out, "", 1);
    char *uri = mr_strdup((char *)evbuffer_pullup(out, -1));
    evbuffer_free(out);
    return uri;
}

static call_t *
new_call(mr_platform_t *platform, call_kind_t kind, void *ctx)
{
    call_t *call = MR_NEW(call_t);

    call->platform = platform;
    call->kind = kind;
    call->ctx = ctx;
    mr_list_append(&platform->pending_calls, &call->link);
    mr_counter_add(platform->calls[kind], 1);
    return call;
}

static void
start_call(call_t *call, const char *name, const void *body, size_t len)
{
    mr_platform_t *platform = call->platform;
    char *uri = build_uri(call->kind, name);

    call->pending =
        mr_http_call(platform->http,
                     &(mr_http_call_t){.method = call_kinds[call->kind].write
                                                     ? EVHTTP_REQ_PUT
                                                     : EVHTTP_REQ_GET,
                                       .uri = uri,
                                       .body = body,
                                       .body_len = len,
                                       .timeout = platform->timeout},
                     on_answer, call);
    free(uri);
}

/* Takes ownership of @value. */
static void
start_json_call(call_t *call, const char *name, json_t *value)
{
    char *text = mr_json_canonical(value);

    start_call(call, name, text, strlen(text));
    free(text);
    json_decref(value);
}

void
mr_platform_row_get(mr_platform_t *platform, const char *row,
                    mr_platform_row_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_ROW_GET, ctx);

    call->fn.row = fn;
    start_call(call, row, NULL, 0);
}

void
mr_platform_row_put(mr_platform_t *platform, const char *row, int64_t expect,
                    json_t *value, mr_platform_row_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_ROW_PUT, ctx);

    call->fn.row = fn;
    start_json_call(
        call, row,
        json_pack("{s:I,s:O}", "expect", (json_int_t)expect, "value", value));
}

void
mr_platform_list_rows(mr_platform_t *platform, const char *prefix,
                      mr_platform_json_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_ROWS, ctx);

    call->fn.json = fn;
    start_call(call, prefix, NULL, 0);
}

void
mr_platform_object_get(mr_platform_t *platform, const char *name,
                       mr_platform_object_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_OBJECT_GET, ctx);

    call->fn.object = fn;
    start_call(call, name, NULL, 0);
}

void
mr_platform_object_put(mr_platform_t *platform, const char *name,
                       const void *data, size_t len,
                       mr_platform_object_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_OBJECT_PUT, ctx);

    call->fn.object = fn;
    start_call(call, name, data, len);
}

void
mr_platform_list_objects(mr_platform_t *platform, const char *prefix,
                         mr_platform_json_fn_t fn, void *ctx)
{
    call_t *call = new_call(platform, CALL_OBJECTS, ctx);

    call->fn.json = fn;
    start_call(call, prefix, NULL, 0);
}

void
mr_platform_list_instances(mr_platform_t *platform, mr_platform_json_fn_t fn,
                           void *ctx)
{
    call_t *call = new_call(platform, CALL_INSTANCES, ctx);

    call->fn.json = fn;
    start_call(call, "", NULL, 0);
}

void
mr_platform_register_instance(mr_platform_t *platform, const char *name,
                              const char *data_centre, const char *address,
                              const char *state, mr_platform_json_fn_t fn,
                              void *ctx)
{
    call_t *call = new_call(platform, CALL_REGISTER, ctx);

    call->fn.json = fn;
    start_json_call(call, name,
                    json_pack("{s:s,s:s,s:s,s:s}", "data_centre", data_centre,
                              "address", address, "kind", "instance", "state",
                              state));
}

void
mr_platform_cancel(mr_platform_t *platform, const void *ctx)
{
    MR_LIST_FOREACH(it, &platform->pending_calls)
    {
        call_t *call = MR_LIST_ENTRY(it, call_t, link);
        if (call->ctx == ctx) {
            mr_http_cancel(call->pending);
            mr_list_remove(&call->link);
            free(call);
        }
    }
}

mr_platform_t *
mr_platform_create(const mr_platform_options_t *options)
{
    mr_platform_t *platform = MR_NEW(mr_platform_t);

    assert(options->timeout > 0);
    platform->http = mr_http_create(
        &(mr_http_options_t){.base = options->base,
                             .counters = options->counters,
                             .address = options->address,
                             .name = "platform",
                             .connections = CONNECTIONS,
                             .unreachable_after = UNREACHABLE_AFTER_MS,
                             .traffic = "platform"});
    if (platform->http == NULL) {
        free(platform);
        return NULL;
    }
    platform->timeout = options->timeout;
    mr_list_init(&platform->pending_calls);
    for (size_t i = 0; i < CALL_KIND_COUNT; i++) {
        platform->calls[i] = mr_counters_get(
            options->counters, "masticrelay_platform_calls_total",
            call_kinds[i].labels, "calls to the platform");
        platform->failures[i] = mr_counters_get(
            options->counters, "masticrelay_platform_failures_total",
            call_kinds[i].labels,
            "calls to the platform without a usable answer");
    }
    return platform;
}

void
mr_platform_destroy(mr_platform_t *platform)
{
    mr_list_t *link;

    if (platform == NULL) {
        return;
    }
    mr_http_destroy(platform->http);
    while ((link = mr_list_pop(&platform->pending_calls)) != NULL) {
        free(MR_LIST_ENTRY(link, call_t, link));
    }
    free(platform);
}
