/*
 * Stand-in for the platform: table service, object store and instance list
 * (design section 9), with faults for tests. All data is kept in memory.
 *
 * The real platform has no GET /requests and no DELETE /instances/{name}.
 */

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../precise_loop.h"
#include "common/address.h"
#include "common/clock.h"
#include "common/list.h"
#include "common/mem.h"

enum {
    MAX_BODY_BYTES = 16 << 20,
    /* Clients keep connections open between polls. */
    IDLE_TIMEOUT_S = 3600,
};

typedef struct faults {
    bool down;
    int64_t delay_ms;
    double lose_replies;
    int64_t list_lag_ms;
} faults_t;

typedef struct standin {
    struct event_base *base;
    struct evhttp *http;
    json_t *rows;      /* name -> {row, revision, value} */
    json_t *objects;   /* name -> string with the object's bytes */
    json_t *instances; /* name -> entry, as listed */
    /* Changes of the list: [visible at ms, name, entry or null], in order. */
    json_t *pending_changes;
    json_t *counts; /* "GET /table/" -> number of requests */
    json_int_t revision;
    faults_t faults;
    GRand *random;
    mr_list_t deferred; /* deferred_t, requests received while down */
} standin_t;

/** A request that waits for a delay, a drop or the end of an outage. */
typedef struct deferred {
    mr_list_t link;
    standin_t *standin;
    struct evhttp_request *req;
} deferred_t;

/* Defers a request; @fn, if not NULL, handles it after the delay. */
static deferred_t *
defer_request(standin_t *standin, struct evhttp_request *req,
              event_callback_fn fn, int64_t delay_ms)
{
    deferred_t *deferred = MR_NEW(deferred_t);
    struct timeval tv = mr_clock_timeval(delay_ms);

    deferred->standin = standin;
    deferred->req = req;
    mr_list_init(&deferred->link);
    if (fn != NULL) {
        event_base_once(standin->base, -1, EV_TIMEOUT, fn, deferred, &tv);
    }
    return deferred;
}

/* Closes the connection of a request without an answer. */
static void
drop_request(evutil_socket_t fd, short what, void *ctx)
{
    deferred_t *deferred = ctx;
    struct evhttp_connection *conn =
        evhttp_request_get_connection(deferred->req);

    (void)fd;
    (void)what;
    if (conn != NULL) {
        evhttp_connection_free(conn);
    }
    else {
        evhttp_request_free(deferred->req);
    }
    mr_list_remove(&deferred->link);
    free(deferred);
}

static void
send_json(struct evhttp_request *req, int status, json_t *value)
{
    struct evbuffer *out = evbuffer_new();
    char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);

    evbuffer_add(out, text, strlen(text));
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "application/json");
    evhttp_send_reply(req, status, NULL, out);
    evbuffer_free(out);
    free(text);
    json_decref(value);
}

static void
send_status(struct evhttp_request *req, int status)
{
    send_json(req, status, json_object());
}

/* Answers a change that took effect, or drops the answer at random. */
static void
send_change(standin_t *standin, struct evhttp_request *req, json_t *value)
{
    if (g_rand_double(standin->random) < standin->faults.lose_replies) {
        json_decref(value);
        defer_request(standin, req, drop_request, 0);
        return;
    }
    send_json(req, 200, value);
}

static json_t *
read_json(struct evhttp_request *req)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);

    return json_loadb((const char *)evbuffer_pullup(in, -1), len,
                      JSON_REJECT_DUPLICATES, NULL);
}

static void
get_row(standin_t *standin, struct evhttp_request *req, const char *name)
{
    json_t *row = json_object_get(standin->rows, name);

    send_json(req, row == NULL ? 404 : 200,
              row == NULL ? json_object() : json_incref(row));
}

static void
put_row(standin_t *standin, struct evhttp_request *req, const char *name)
{
    json_t *body = read_json(req);
    json_t *row = json_object_get(standin->rows, name);
    json_t *value = json_object_get(body, "value");
    json_t *expect = json_object_get(body, "expect");
    json_int_t current = json_integer_value(json_object_get(row, "revision"));

    if (!json_is_integer(expect) || value == NULL) {
        send_status(req, 400);
    }
    else if (json_integer_value(expect) != current) {
        send_json(req, 409, json_pack("{s:I}", "revision", current));
    }
    else {
        standin->revision++;
        row = json_pack("{s:s,s:I,s:O}", "row", name, "revision",
                        standin->revision, "value", value);
        json_object_set_new(standin->rows, name, row);
        send_change(standin, req,
                    json_pack("{s:I}", "revision", standin->revision));
    }
    json_decref(body);
}

/* Answers with the values or the names of the entries that start with
 * @prefix. */
static void
send_list(struct evhttp_request *req, json_t *entries, const char *prefix,
          const char *field, bool names)
{
    json_t *list = json_array();
    const char *name;
    json_t *entry;

    json_object_foreach(entries, name, entry)
    {
        if (g_str_has_prefix(name, prefix)) {
            json_array_append_new(list, names ? json_string(name)
                                              : json_incref(entry));
        }
    }
    send_json(req, 200, json_pack("{s:o}", field, list));
}

static void
list_rows(standin_t *standin, struct evhttp_request *req, const char *prefix)
{
    send_list(req, standin->rows, prefix, "rows", false);
}

static void
get_object(standin_t *standin, struct evhttp_request *req, const char *name)
{
    json_t *object = json_object_get(standin->objects, name);

    if (object == NULL) {
        send_status(req, 404);
        return;
    }
    struct evbuffer *out = evbuffer_new();
    evbuffer_add(out, json_string_value(object), json_string_length(object));
    evhttp_send_reply(req, 200, NULL, out);
    evbuffer_free(out);
}

static void
put_object(standin_t *standin, struct evhttp_request *req, const char *name)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(in);
    json_t *object =
        json_stringn_nocheck((const char *)evbuffer_pullup(in, -1), len);
    json_t *current = json_object_get(standin->objects, name);

    if (object == NULL || (current != NULL && !json_equal(current, object))) {
        json_decref(object);
        send_status(req, object == NULL ? 400 : 409);
        return;
    }
    json_object_set_new(standin->objects, name, object);
    send_change(standin, req, json_object());
}

static void
list_objects(standin_t *standin, struct evhttp_request *req,
             const char *prefix)
{
    send_list(req, standin->objects, prefix, "names", true);
}

/* A change becomes visible in the list after faults.list_lag_ms. */
static void
list_instances(standin_t *standin, struct evhttp_request *req,
               const char *prefix)
{
    json_t *change;

    while ((change = json_array_get(standin->pending_changes, 0)) != NULL
           && json_integer_value(json_array_get(change, 0))
                  <= mr_clock_now(NULL)) {
        const char *name = json_string_value(json_array_get(change, 1));
        json_t *entry = json_array_get(change, 2);
        if (json_is_null(entry)) {
            json_object_del(standin->instances, name);
        }
        else {
            json_object_set(standin->instances, name, entry);
        }
        json_array_remove(standin->pending_changes, 0);
    }
    send_list(req, standin->instances, prefix, "instances", false);
}

static void
queue_list_change(standin_t *standin, struct evhttp_request *req,
                  const char *name, json_t *entry)
{
    json_int_t at = mr_clock_now(NULL) + standin->faults.list_lag_ms;

    json_array_append_new(standin->pending_changes,
                          json_pack("[I,s,o]", at, name, entry));
    send_change(standin, req, json_object());
}

static void
delete_instance(standin_t *standin, struct evhttp_request *req,
                const char *name)
{
    queue_list_change(standin, req, name, json_null());
}

static void
put_instance(standin_t *standin, struct evhttp_request *req, const char *name)
{
    json_t *body = read_json(req);
    const char *data_centre, *address, *kind, *state;

    if (body == NULL
        || json_unpack(body, "{s:s,s:s,s:s,s:s}", "data_centre", &data_centre,
                       "address", &address, "kind", &kind, "state", &state)
               != 0) {
        json_decref(body);
        send_status(req, 400);
        return;
    }
    json_object_set_new(body, "name", json_string(name));
    queue_list_change(standin, req, name, body);
}

static void
set_faults(standin_t *standin, struct evhttp_request *req)
{
    faults_t *faults = &standin->faults;
    json_t *body = read_json(req);
    json_int_t delay_ms = faults->delay_ms;
    json_int_t list_lag_ms = faults->list_lag_ms;
    int down = faults->down;

    if (body == NULL
        || json_unpack(body, "{s?b,s?I,s?F,s?I!}", "down", &down, "delay_ms",
                       &delay_ms, "lose_replies", &faults->lose_replies,
                       "list_lag_ms", &list_lag_ms)
               != 0) {
        json_decref(body);
        send_status(req, 400);
        return;
    }
    json_decref(body);
    faults->down = down != 0;
    faults->delay_ms = delay_ms;
    faults->list_lag_ms = list_lag_ms;
    if (!faults->down) {
        /* Requests received during the outage get no answer. */
        MR_LIST_FOREACH(it, &standin->deferred)
        {
            drop_request(-1, 0, MR_LIST_ENTRY(it, deferred_t, link));
        }
    }
    send_status(req, 200);
}

typedef struct route {
    enum evhttp_cmd_type method;
    const char *label;
    /* A path that ends with '/' is followed by the name that @fn gets. For
     * other paths, which are listings, @fn gets the prefix parameter. */
    const char *path;
    void (*fn)(standin_t *standin, struct evhttp_request *req,
               const char *name);
} route_t;

static const route_t routes[] = {
    {EVHTTP_REQ_GET, "GET /table", "/table", list_rows},
    {EVHTTP_REQ_GET, "GET /table/", "/table/", get_row},
    {EVHTTP_REQ_PUT, "PUT /table/", "/table/", put_row},
    {EVHTTP_REQ_GET, "GET /objects", "/objects", list_objects},
    {EVHTTP_REQ_GET, "GET /objects/", "/objects/", get_object},
    {EVHTTP_REQ_PUT, "PUT /objects/", "/objects/", put_object},
    {EVHTTP_REQ_GET, "GET /instances", "/instances", list_instances},
    {EVHTTP_REQ_PUT, "PUT /instances/", "/instances/", put_instance},
    {EVHTTP_REQ_DELETE, "DELETE /instances/", "/instances/", delete_instance},
};

static const route_t *
find_route(enum evhttp_cmd_type method, const char *path)
{
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        const char *known = routes[i].path;
        bool has_name = g_str_has_suffix(known, "/");
        if (routes[i].method == method
            && (has_name ? g_str_has_prefix(path, known)
                         : strcmp(path, known) == 0)) {
            return &routes[i];
        }
    }
    return NULL;
}

static void
handle_request(standin_t *standin, struct evhttp_request *req)
{
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
    char *path = evhttp_uridecode(evhttp_uri_get_path(uri), 0, NULL);
    const char *query = evhttp_uri_get_query(uri);
    struct evkeyvalq params = {0};
    const char *prefix = NULL;
    const route_t *route = find_route(evhttp_request_get_command(req), path);

    if (query != NULL && evhttp_parse_query_str(query, &params) == 0) {
        prefix = evhttp_find_header(&params, "prefix");
    }
    if (route == NULL) {
        send_status(req, 404);
    }
    else if (g_str_has_suffix(route->path, "/")) {
        route->fn(standin, req, path + strlen(route->path));
    }
    else {
        route->fn(standin, req, prefix == NULL ? "" : prefix);
    }
    evhttp_clear_headers(&params);
    free(path);
}

static void
on_delay_timer(evutil_socket_t fd, short what, void *ctx)
{
    deferred_t *deferred = ctx;

    (void)fd;
    (void)what;
    handle_request(deferred->standin, deferred->req);
    free(deferred);
}

static void
on_request(struct evhttp_request *req, void *ctx)
{
    standin_t *standin = ctx;
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

    if (strcmp(path, "/faults") == 0) {
        set_faults(standin, req);
        return;
    }
    if (strcmp(path, "/requests") == 0) {
        send_json(req, 200, json_incref(standin->counts));
        return;
    }
    const route_t *route = find_route(evhttp_request_get_command(req), path);
    const char *label = route == NULL ? "other" : route->label;
    json_t *count = json_object_get(standin->counts, label);
    json_object_set_new(standin->counts, label,
                        json_integer(json_integer_value(count) + 1));
    if (standin->faults.down) {
        deferred_t *deferred = defer_request(standin, req, NULL, 0);
        mr_list_append(&standin->deferred, &deferred->link);
    }
    else if (standin->faults.delay_ms > 0) {
        defer_request(standin, req, on_delay_timer, standin->faults.delay_ms);
    }
    else {
        handle_request(standin, req);
    }
}

static bool
start_listening(standin_t *standin, const char *address)
{
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;
    struct sockaddr_storage addr = {0};
    socklen_t len = sizeof(addr);

    if (!mr_address_split(address, ip, &port)) {
        return false;
    }
    evhttp_set_max_body_size(standin->http, MAX_BODY_BYTES);
    evhttp_set_timeout(standin->http, IDLE_TIMEOUT_S);
    evhttp_set_gencb(standin->http, on_request, standin);
    struct evhttp_bound_socket *sock =
        evhttp_bind_socket_with_handle(standin->http, ip, (uint16_t)port);
    if (sock == NULL
        || getsockname(evhttp_bound_socket_get_fd(sock),
                       (struct sockaddr *)&addr, &len)
               != 0) {
        return false;
    }
    printf("listening on %s:%d\n", ip, mr_address_port(&addr));
    fflush(stdout);
    return true;
}

int
main(int argc, char **argv)
{
    char *listen = NULL;
    int list_lag_ms = 0;
    int seed = 1;
    GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &listen, "address", "IP:port"},
        {"list-lag-ms", 0, 0, G_OPTION_ARG_INT, &list_lag_ms,
         "delay of changes in the instance list, ms", "N"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of random faults", "N"},
        {0}};
    GOptionContext *options = g_option_context_new(NULL);
    GError *error = NULL;

    g_option_context_add_main_entries(options, entries, NULL);
    if (!g_option_context_parse(options, &argc, &argv, &error)) {
        fprintf(stderr, "platform_standin: %s\n", error->message);
        return 2;
    }
    g_option_context_free(options);
    signal(SIGPIPE, SIG_IGN);
    standin_t standin = {
        .rows = json_object(),
        .objects = json_object(),
        .instances = json_object(),
        .pending_changes = json_array(),
        .counts = json_object(),
        .faults = {.list_lag_ms = list_lag_ms},
        .random = g_rand_new_with_seed((guint32)seed),
        .base = precise_loop_create(),
    };
    mr_list_init(&standin.deferred);
    standin.http = evhttp_new(standin.base);
    if (!start_listening(&standin, listen ? listen : "127.0.0.1:0")) {
        fputs("platform_standin: cannot listen\n", stderr);
        return 1;
    }
    event_base_dispatch(standin.base);
    return 0;
}
