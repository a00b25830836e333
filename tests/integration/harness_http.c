#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

enum { REQUEST_TIMEOUT_S = 10 };

typedef struct exchange {
    struct event_base *base;
    bool completed;
    int status;
    json_t *reply;
    char *text;
} exchange_t;

void
harness_run_loop(struct event_base *base, mr_ms_t ms)
{
    struct timeval tv = mr_clock_timeval(ms);

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

struct evhttp_connection *
harness_connect(struct event_base *base, const char *address, int timeout_s)
{
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;

    ck_assert(mr_address_split(address, ip, &port));
    struct evhttp_connection *conn =
        evhttp_connection_base_new(base, NULL, ip, (uint16_t)port);
    evhttp_connection_set_timeout(conn, timeout_s);
    return conn;
}

bool
harness_send(struct evhttp_connection *conn, struct evhttp_request *req,
             enum evhttp_cmd_type type, const char *path, const char *bearer,
             const char *body)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
    char value[MR_OP_KEY_BYTES + 256];
    char *ip;
    uint16_t port;

    evhttp_connection_get_peer(conn, &ip, &port);
    snprintf(value, sizeof(value), "%s:%d", ip, port);
    evhttp_add_header(headers, "Host", value);
    if (bearer != NULL) {
        snprintf(value, sizeof(value), "Bearer %s", bearer);
        evhttp_add_header(headers, "Authorization", value);
    }
    if (body != NULL) {
        evbuffer_add(evhttp_request_get_output_buffer(req), body,
                     strlen(body));
    }
    return evhttp_make_request(conn, req, type, path) == 0;
}

int
harness_read_reply(struct evhttp_request *req, json_t **body)
{
    *body = NULL;
    if (req == NULL) {
        return 0;
    }
    struct evbuffer *input = evhttp_request_get_input_buffer(req);
    size_t len = evbuffer_get_length(input);
    if (len > 0) {
        *body = json_loadb((char *)evbuffer_pullup(input, -1), len,
                           JSON_DECODE_ANY, NULL);
    }
    return evhttp_request_get_response_code(req);
}

const char *
harness_json_text(const json_t *object, const char *key,
                  const char *default_text)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text == NULL ? default_text : text;
}

static void
on_reply(struct evhttp_request *req, void *ctx)
{
    exchange_t *exchange = ctx;

    exchange->completed = true;
    exchange->status = harness_read_reply(req, &exchange->reply);
    if (req != NULL) {
        struct evbuffer *input = evhttp_request_get_input_buffer(req);
        exchange->text = strndup((char *)evbuffer_pullup(input, -1),
                                 evbuffer_get_length(input));
    }
    event_base_loopbreak(exchange->base);
}

static exchange_t
run_exchange(struct event_base *base, const char *method, const char *address,
             const char *path, const char *bearer, const char *body)
{
    exchange_t exchange = {.base = base};
    enum evhttp_cmd_type type = strcmp(method, "GET") == 0   ? EVHTTP_REQ_GET
                                : strcmp(method, "PUT") == 0 ? EVHTTP_REQ_PUT
                                                             : EVHTTP_REQ_POST;
    struct evhttp_connection *conn =
        harness_connect(base, address, REQUEST_TIMEOUT_S);
    struct evhttp_request *req = evhttp_request_new(on_reply, &exchange);

    evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
                      "close");
    if (harness_send(conn, req, type, path, bearer, body)) {
        while (!exchange.completed) {
            event_base_dispatch(base);
        }
    }
    evhttp_connection_free(conn);
    return exchange;
}

int
harness_http(struct event_base *base, const char *method, const char *address,
             const char *path, const char *bearer, const char *body,
             json_t **reply)
{
    exchange_t exchange =
        run_exchange(base, method, address, path, bearer, body);

    free(exchange.text);
    if (reply != NULL) {
        *reply = exchange.reply;
    }
    else {
        json_decref(exchange.reply);
    }
    return exchange.status;
}

int
harness_http_text(struct event_base *base, const char *address,
                  const char *path, const char *bearer, char **text)
{
    exchange_t exchange =
        run_exchange(base, "GET", address, path, bearer, NULL);

    json_decref(exchange.reply);
    *text = exchange.text;
    return exchange.status;
}
