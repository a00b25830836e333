#include "entry/admin.h"

#include <stdlib.h>
#include <string.h>

#include "common/mem.h"
#include "entry/auth.h"

enum {
    HEADERS_MAX_BYTES = 16 << 10,
    BODY_MAX_BYTES = 4 << 10,
    IDLE_TIMEOUT_S = 30,
};

struct mr_admin {
    mr_admin_options_t options;
    mr_listener_t *listener;
    bool draining;
};

static void
send_response(struct evhttp_request *req, int status, const char *type,
              struct evbuffer *body)
{
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      type);
    evhttp_send_reply(req, status, NULL, body);
    evbuffer_free(body);
}

static void
send_error(struct evhttp_request *req, mr_error_kind_t error,
           const char *message)
{
    struct evbuffer *body = evbuffer_new();

    evbuffer_add_printf(body,
                        "{\"error\":{\"kind\":\"%s\",\"outcome\":\"%s\","
                        "\"message\":\"%s\"}}",
                        mr_error_name(error),
                        mr_outcome_name(mr_error_outcome(error)), message);
    send_response(req, mr_error_status(error), "application/json", body);
}

static bool
require_operator(const mr_admin_t *admin, struct evhttp_request *req)
{
    const char *authorization = evhttp_find_header(
        evhttp_request_get_input_headers(req), "Authorization");

    if (mr_auth_credential_matches(authorization, admin->options.credential)) {
        return true;
    }
    send_error(req, MR_ERR_UNAUTHENTICATED,
               "an operator credential is required");
    return false;
}

static bool
require_get(struct evhttp_request *req)
{
    if (evhttp_request_get_command(req) == EVHTTP_REQ_GET) {
        return true;
    }
    send_error(req, MR_ERR_METHOD_NOT_ALLOWED, "the method must be GET");
    return false;
}

static void
on_metrics(struct evhttp_request *req, void *ctx)
{
    mr_admin_t *admin = ctx;

    if (!require_get(req) || !require_operator(admin, req)) {
        return;
    }
    struct evbuffer *body = evbuffer_new();
    mr_counters_write(admin->options.counters, body);
    send_response(req, 200, "text/plain; version=0.0.4", body);
}

static void
on_health(struct evhttp_request *req, void *ctx)
{
    mr_admin_t *admin = ctx;

    if (!require_get(req)) {
        return;
    }
    if (admin->draining) {
        send_error(req, MR_ERR_SHUTTING_DOWN, "the instance is shutting down");
        return;
    }
    if (mr_config_store_current(admin->options.config) == NULL) {
        send_error(req, MR_ERR_CONFIG_MISSING,
                   "no configuration has been accepted yet");
        return;
    }
    struct evbuffer *body = evbuffer_new();
    evbuffer_add_printf(body, "ok\n");
    send_response(req, 200, "text/plain", body);
}

static void
on_status(struct evhttp_request *req, void *ctx)
{
    mr_admin_t *admin = ctx;
    const mr_admin_options_t *options = &admin->options;

    if (!require_get(req) || !require_operator(admin, req)) {
        return;
    }
    json_t *status =
        json_pack("{s:s, s:s, s:I, s:o, s:o, s:o, s:o}", "instance",
                  options->name, "data_centre", options->data_centre,
                  "incarnation", (json_int_t)options->incarnation, "config",
                  mr_config_store_status(options->config), "groups",
                  mr_owner_status(options->owner), "accounts",
                  mr_limit_status(options->limit), "members",
                  mr_members_status(options->members));
    char *text = status == NULL ? NULL : mr_json_canonical(status);
    json_decref(status);
    if (text == NULL) {
        send_error(req, MR_ERR_INTERNAL, "the status cannot be encoded");
        return;
    }
    struct evbuffer *body = evbuffer_new();
    evbuffer_add_printf(body, "%s", text);
    free(text);
    send_response(req, 200, "application/json", body);
}

static void
on_request(struct evhttp_request *req, void *ctx)
{
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

    if (path != NULL && strcmp(path, "/metrics") == 0) {
        on_metrics(req, ctx);
    }
    else if (path != NULL && strcmp(path, "/healthz") == 0) {
        on_health(req, ctx);
    }
    else if (path != NULL && strcmp(path, "/status") == 0) {
        on_status(req, ctx);
    }
    else {
        send_error(req, MR_ERR_NOT_FOUND, "unknown path");
    }
}

mr_admin_t *
mr_admin_create(const mr_admin_options_t *options)
{
    mr_admin_t *admin = MR_NEW(mr_admin_t);
    mr_listener_options_t listener = {
        .base = options->base,
        .counters = options->counters,
        .label = "operators",
        .tls = options->tls,
        .headers_max_bytes = HEADERS_MAX_BYTES,
        .body_max_bytes = BODY_MAX_BYTES,
        .idle_timeout_s = IDLE_TIMEOUT_S,
        .descriptors_max = SIZE_MAX,
    };

    admin->options = *options;
    admin->listener = mr_listener_create(&listener, on_request, admin);
    return admin;
}

void
mr_admin_destroy(mr_admin_t *admin)
{
    if (admin == NULL) {
        return;
    }
    mr_listener_destroy(admin->listener);
    free(admin);
}

bool
mr_admin_listen(mr_admin_t *admin, const char *address)
{
    return mr_listener_open(admin->listener, address);
}

void
mr_admin_set_draining(mr_admin_t *admin)
{
    admin->draining = true;
}
