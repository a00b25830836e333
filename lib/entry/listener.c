#include "entry/listener.h"

#include <event2/listener.h>
#include <stdlib.h>

#include "common/address.h"
#include "common/clock.h"
#include "common/descriptors.h"
#include "common/mem.h"
#include "entry/connections.h"

enum { RESUME_INTERVAL_MS = 100 };

struct mr_listener {
    mr_listener_options_t options;
    struct evhttp *http;
    struct evhttp_bound_socket *socket;
    struct event *resume_timer;
    mr_connections_t *connections;
    mr_listener_fn_t fn;
    void *ctx;
    mr_counter_t *pauses;
};

/* Returns whether the limit of open descriptors is reached. libevent does not
 * report the end of an HTTP connection, so connections cannot be counted. */
static bool
descriptors_exhausted(const mr_listener_t *listener)
{
    size_t max = listener->options.descriptors_max == SIZE_MAX
                     ? mr_descriptors_kept_limit()
                     : mr_descriptors_client_limit();

    return mr_descriptors_reached(listener->options.descriptors_max < max
                                      ? listener->options.descriptors_max
                                      : max);
}

static void
schedule_resume(mr_listener_t *listener)
{
    struct timeval tv = mr_clock_timeval(RESUME_INTERVAL_MS);

    evtimer_add(listener->resume_timer, &tv);
}

static void
make_room(mr_listener_t *listener)
{
    mr_connections_make_room(listener->connections,
                             evhttp_bound_socket_get_fd(listener->socket));
}

static void
pause_accepting(mr_listener_t *listener)
{
    mr_counter_add(listener->pauses, 1);
    make_room(listener);
    evconnlistener_disable(evhttp_bound_socket_get_listener(listener->socket));
    schedule_resume(listener);
}

static void
on_resume_timer(evutil_socket_t fd, short what, void *ctx)
{
    mr_listener_t *listener = ctx;

    (void)fd;
    (void)what;
    if (listener->socket == NULL) {
        return;
    }
    if (descriptors_exhausted(listener)) {
        make_room(listener);
        schedule_resume(listener);
        return;
    }
    evconnlistener_enable(evhttp_bound_socket_get_listener(listener->socket));
}

static struct bufferevent *
on_connection(struct event_base *base, void *ctx)
{
    mr_listener_t *listener = ctx;

    if (listener->socket != NULL && descriptors_exhausted(listener)) {
        pause_accepting(listener);
    }
    struct bufferevent *stream =
        listener->options.tls != NULL
            ? mr_tls_accept(listener->options.tls, -1)
            : bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (stream != NULL) {
        /* libevent reads on while a request is handled or its answer is
         * written. It needs a whole body in the buffer. */
        bufferevent_setwatermark(stream, EV_READ, 0,
                                 listener->options.headers_max_bytes
                                     + listener->options.body_max_bytes);
    }
    return stream;
}

static void
on_request(struct evhttp_request *request, void *ctx)
{
    mr_listener_t *listener = ctx;

    mr_connections_on_request(listener->connections, request);
    listener->fn(request, listener->ctx);
}

mr_listener_t *
mr_listener_create(const mr_listener_options_t *options, mr_listener_fn_t fn,
                   void *ctx)
{
    mr_listener_t *listener = MR_NEW(mr_listener_t);
    char *labels = mr_asprintf("listener=\"%s\"", options->label);

    listener->options = *options;
    listener->fn = fn;
    listener->ctx = ctx;
    listener->connections =
        mr_connections_create(options->counters, options->label);
    listener->pauses = mr_counters_get(
        options->counters, "masticrelay_listener_full_total", labels,
        "times that a listener paused because too many connections are open");
    free(labels);
    listener->resume_timer =
        evtimer_new(options->base, on_resume_timer, listener);
    listener->http = evhttp_new(options->base);
    evhttp_set_max_headers_size(listener->http,
                                (ev_ssize_t)options->headers_max_bytes);
    evhttp_set_max_body_size(listener->http,
                             (ev_ssize_t)options->body_max_bytes);
    evhttp_set_timeout(listener->http, options->idle_timeout_s);
    evhttp_set_bevcb(listener->http, on_connection, listener);
    evhttp_set_gencb(listener->http, on_request, listener);
    return listener;
}

void
mr_listener_destroy(mr_listener_t *listener)
{
    if (listener == NULL) {
        return;
    }
    mr_listener_close(listener);
    evhttp_free(listener->http);
    event_free(listener->resume_timer);
    mr_connections_destroy(listener->connections);
    free(listener);
}

bool
mr_listener_open(mr_listener_t *listener, const char *address)
{
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;

    if (!mr_address_split(address, ip, &port)) {
        return false;
    }
    listener->socket =
        evhttp_bind_socket_with_handle(listener->http, ip, (ev_uint16_t)port);
    return listener->socket != NULL;
}

void
mr_listener_close(mr_listener_t *listener)
{
    if (listener->socket != NULL) {
        evhttp_del_accept_socket(listener->http, listener->socket);
        listener->socket = NULL;
    }
}
