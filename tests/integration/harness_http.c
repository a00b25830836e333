#include <check.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

enum { TIMEOUT_S = 10 };

typedef struct exchange {
    struct event_base *base;
    bool done;
    int status;
    json_t *reply;
    char *text;
} exchange_t;

void
harness_run(struct event_base *base, mr_ms_t ms)
{
    struct timeval tv = mr_clock_timeval(ms);

    event_base_loopexit(base, &tv);
    event_base_dispatch(base);
}

static void
on_reply(struct evhttp_request *req, void *ctx)
{
    exchange_t *exchange = ctx;

    exchange->done = true;
    if (req != NULL) {
        struct evbuffer *input = evhttp_request_get_input_buffer(req);
        size_t len = evbuffer_get_length(input);
        exchange->status = evhttp_request_get_response_code(req);
        exchange->text = strndup((char *)evbuffer_pullup(input, -1), len);
        exchange->reply = len == 0
                              ? NULL
                              : json_loadb((char *)evbuffer_pullup(input, -1),
                                           len, JSON_DECODE_ANY, NULL);
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
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;

    ck_assert(mr_address_split(address, ip, &port));
    struct evhttp_connection *conn =
        evhttp_connection_base_new(base, NULL, ip, (uint16_t)port);
    struct evhttp_request *req = evhttp_request_new(on_reply, &exchange);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
    evhttp_connection_set_timeout(conn, TIMEOUT_S);
    evhttp_add_header(headers, "Host", address);
    evhttp_add_header(headers, "Connection", "close");
    if (bearer != NULL) {
        char value[256];
        snprintf(value, sizeof(value), "Bearer %s", bearer);
        evhttp_add_header(headers, "Authorization", value);
    }
    if (body != NULL) {
        evbuffer_add(evhttp_request_get_output_buffer(req), body,
                     strlen(body));
    }
    if (evhttp_make_request(conn, req, type, path) == 0) {
        while (!exchange.done) {
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
