/* Requests to the platform and to the daemons' admin listeners. */

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/json.h"
#include "common/mem.h"
#include "masticrelayctl.h"

enum {
    MAX_STATUS_BYTES = 64 << 20,
    HTTP_UNAUTHORIZED = 401, /* libevent does not define these two */
    HTTP_FORBIDDEN = 403,
};

mr_platform_t *
ctl_open_platform(ctl_t *ctl)
{
    const char *address = ctl->settings.platform_address;
    struct sockaddr_storage addr;
    int len;

    if (ctl->platform != NULL) {
        return ctl->platform;
    }
    if (address == NULL) {
        ctl_fail(ctl, CTL_USAGE,
                 "--platform or MASTICRELAY_PLATFORM is required");
        return NULL;
    }
    if (!mr_address_parse(address, &addr, &len)) {
        ctl_fail(ctl, CTL_USAGE, "--platform '%s' is not IP:port", address);
        return NULL;
    }
    const mr_platform_options_t options = {.base = ctl->base,
                                           .counters = ctl->counters,
                                           .address = address,
                                           .timeout =
                                               ctl->settings.timeout_ms};
    ctl->platform = mr_platform_create(&options);
    return ctl->platform;
}

void
ctl_run_until(ctl_t *ctl, const bool *done)
{
    while (!*done) {
        event_base_loop(ctl->base, EVLOOP_ONCE);
    }
}

/** A read in progress and its result. */
typedef struct pending_read {
    bool done;
    mr_error_kind_t error;
    json_t *value;
    char *data;
    size_t len;
} pending_read_t;

static void
on_row(void *ctx, mr_error_kind_t error, int64_t revision, json_t *value)
{
    pending_read_t *pending = ctx;

    (void)revision;
    pending->done = true;
    pending->error = error;
    pending->value = json_incref(value);
}

static void
on_json(void *ctx, mr_error_kind_t error, json_t *value)
{
    on_row(ctx, error, 0, value);
}

static void
on_object(void *ctx, mr_error_kind_t error, const void *data, size_t len)
{
    pending_read_t *pending = ctx;

    pending->done = true;
    pending->error = error;
    if (error == MR_OK) {
        pending->data = mr_memdup(data, len);
        pending->len = len;
    }
}

/* Waits for a read of JSON to complete. An answer without a value is reported
 * as MR_ERR_INTERNAL. */
static mr_error_kind_t
wait_for_json(ctl_t *ctl, pending_read_t *pending, json_t **value)
{
    ctl_run_until(ctl, &pending->done);
    if (pending->error != MR_OK || pending->value == NULL) {
        json_decref(pending->value);
        return pending->error != MR_OK ? pending->error : MR_ERR_INTERNAL;
    }
    *value = pending->value;
    return MR_OK;
}

mr_error_kind_t
ctl_get_row(ctl_t *ctl, const char *row, json_t **value)
{
    pending_read_t pending = {0};

    mr_platform_row_get(ctl->platform, row, on_row, &pending);
    return wait_for_json(ctl, &pending, value);
}

mr_error_kind_t
ctl_list_rows(ctl_t *ctl, const char *prefix, json_t **rows)
{
    pending_read_t pending = {0};

    mr_platform_list_rows(ctl->platform, prefix, on_json, &pending);
    return wait_for_json(ctl, &pending, rows);
}

mr_error_kind_t
ctl_list_objects(ctl_t *ctl, const char *prefix, json_t **names)
{
    pending_read_t pending = {0};

    mr_platform_list_objects(ctl->platform, prefix, on_json, &pending);
    return wait_for_json(ctl, &pending, names);
}

mr_error_kind_t
ctl_list_instances(ctl_t *ctl, json_t **instances)
{
    pending_read_t pending = {0};

    mr_platform_list_instances(ctl->platform, on_json, &pending);
    return wait_for_json(ctl, &pending, instances);
}

mr_error_kind_t
ctl_get_object(ctl_t *ctl, const char *name, char **data, size_t *len)
{
    pending_read_t pending = {0};

    mr_platform_object_get(ctl->platform, name, on_object, &pending);
    ctl_run_until(ctl, &pending.done);
    *data = pending.data;
    *len = pending.len;
    return pending.error;
}

/** A request for /status to one admin listener. */
typedef struct admin_call {
    bool done;
    bool tls;
    struct evhttp_connection *conn;
    json_t *result; /* element of the array that ctl_admin_status() returns */
} admin_call_t;

static void
set_error(admin_call_t *call, const char *text)
{
    json_object_set_new(call->result, "error", json_string(text));
}

static void
on_status(struct evhttp_request *req, void *ctx)
{
    admin_call_t *call = ctx;
    mr_json_problem_t problem = {""};

    call->done = true;
    if (req == NULL || evhttp_request_get_response_code(req) == 0) {
        set_error(call, call->tls ? "unreachable, or certificate refused"
                                  : "unreachable");
        return;
    }
    int code = evhttp_request_get_response_code(req);
    if (code != HTTP_OK) {
        char *text = code == HTTP_UNAUTHORIZED || code == HTTP_FORBIDDEN
                         ? g_strdup("operator credential refused")
                         : g_strdup_printf("HTTP status %d", code);
        set_error(call, text);
        g_free(text);
        return;
    }
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);
    json_t *status = mr_json_parse(evbuffer_pullup(in, -1), len, &problem);
    if (json_is_object(status)) {
        json_object_set(call->result, "status", status);
    }
    else {
        set_error(call, "malformed answer");
    }
    json_decref(status);
}

static void
start_admin_call(ctl_t *ctl, const char *address, admin_call_t *call)
{
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;

    call->result = json_pack("{s:s}", "address", address);
    if (!mr_address_split(address, ip, &port)) {
        set_error(call, "not IP:port");
        call->done = true;
        return;
    }
    struct bufferevent *bev = NULL;
    call->tls = ctl->tls != NULL;
    if (call->tls) {
        bev = ctl_tls_connection(ctl, ip);
        if (bev == NULL) {
            set_error(call, "cannot set up TLS");
            call->done = true;
            return;
        }
    }
    call->conn = evhttp_connection_base_bufferevent_new(
        ctl->base, NULL, bev, ip, (unsigned short)port);
    struct timeval timeout = mr_clock_timeval(ctl->settings.timeout_ms);
    evhttp_connection_set_timeout_tv(call->conn, &timeout);
    evhttp_connection_set_max_body_size(call->conn, MAX_STATUS_BYTES);
    struct evhttp_request *req = evhttp_request_new(on_status, call);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
    evhttp_add_header(headers, "Host", address);
    evhttp_add_header(headers, "Connection", "close");
    if (ctl->settings.credential != NULL) {
        char *value = g_strdup_printf("Bearer %s", ctl->settings.credential);
        evhttp_add_header(headers, "Authorization", value);
        g_free(value);
    }
    if (evhttp_make_request(call->conn, req, EVHTTP_REQ_GET, "/status") != 0
        && !call->done) {
        set_error(call, "unreachable");
        call->done = true;
    }
}

ctl_status_t
ctl_admin_status(ctl_t *ctl, json_t **answers)
{
    char **addresses = ctl->settings.admin_addresses;
    size_t count = addresses != NULL ? g_strv_length(addresses) : 0;
    ctl_status_t status = ctl_tls_open(ctl);

    *answers = NULL;
    if (status != CTL_DONE) {
        return status;
    }
    admin_call_t *calls = mr_calloc(count, sizeof(*calls));
    *answers = json_array();
    for (size_t i = 0; i < count; i++) {
        start_admin_call(ctl, addresses[i], &calls[i]);
    }
    for (size_t i = 0; i < count; i++) {
        ctl_run_until(ctl, &calls[i].done);
        json_array_append_new(*answers, calls[i].result);
    }
    for (size_t i = 0; i < count; i++) {
        if (calls[i].conn != NULL) {
            evhttp_connection_free(calls[i].conn);
        }
    }
    free(calls);
    return CTL_DONE;
}
