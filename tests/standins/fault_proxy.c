/*
 * TCP proxy that injects faults into links between processes: delays, cuts,
 * held bytes, refused and reset connections. Faults are set by HTTP on the
 * control address:
 *
 *   POST /links/NAME  {"delay_ms":N,"delay_to_target_ms":N,
 *                      "delay_to_caller_ms":N,
 *                      "cut":"none"|"both"|"to_target"|"to_caller",
 *                      "refuse":bool,"hold":bool,"reset":true}
 *   GET /links        counts; bytes and dropped are [to target, to caller]
 *
 * NAME may be a pattern with '*'. Bytes in a cut
 * direction are dropped and the connection stays open. When the cut ends,
 * connections that lost bytes are reset: a stream never continues with a gap.
 */

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../precise_loop.h"
#include "common/address.h"
#include "common/clock.h"
#include "common/json.h"
#include "common/list.h"
#include "common/mem.h"

enum {
    TO_TARGET,
    TO_CALLER,
    DIRECTIONS,
    READ_MAX_BYTES = 256 << 10,
    PENDING_MAX_BYTES = 64 << 20, /* above this a direction reads no further */
};

typedef struct link {
    mr_list_t link;
    char *name;
    char *listen;
    char *target;
    struct evconnlistener *listener; /* NULL while refusing */
    mr_ms_t delay[DIRECTIONS];
    bool cut[DIRECTIONS];
    bool hold;
    mr_list_t conns;
    int64_t accepted;
    int64_t open;
    int64_t bytes[DIRECTIONS];
    int64_t dropped[DIRECTIONS];
} link_t;

/** Bytes of a stream that are due at the same time. */
typedef struct mark {
    mr_ms_t due;
    size_t len;
} mark_t;

/** One direction of a connection. */
typedef struct stream {
    struct conn *conn;
    int direction;
    struct bufferevent *from;
    struct bufferevent *to;
    struct evbuffer *waiting;
    GQueue marks; /* mark_t of the bytes in waiting, in order */
    struct event *timer;
    bool lost;  /* bytes were dropped; nothing passes any more */
    bool ended; /* the sender closed */
} stream_t;

typedef struct conn {
    mr_list_t link;
    link_t *owner;
    stream_t streams[DIRECTIONS];
} conn_t;

static struct event_base *base;
static mr_list_t links;

static void
free_conn(conn_t *conn, bool reset)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    for (int i = 0; i < DIRECTIONS; i++) {
        stream_t *stream = &conn->streams[i];
        g_queue_clear_full(&stream->marks, free);
        evbuffer_free(stream->waiting);
        event_free(stream->timer);
        if (reset) {
            setsockopt(bufferevent_getfd(stream->from), SOL_SOCKET, SO_LINGER,
                       &linger, sizeof(linger));
        }
        bufferevent_free(stream->from);
    }
    conn->owner->open--;
    mr_list_remove(&conn->link);
    free(conn);
}

/* Drops what the stream holds and all that follows. */
static void
lose(stream_t *stream)
{
    size_t len = evbuffer_get_length(stream->waiting);
    stream->lost = true;
    stream->conn->owner->dropped[stream->direction] += (int64_t)len;
    evbuffer_drain(stream->waiting, len);
    g_queue_clear_full(&stream->marks, free);
    event_del(stream->timer);
}

static size_t
unsent(const stream_t *stream)
{
    return evbuffer_get_length(stream->waiting)
           + evbuffer_get_length(bufferevent_get_output(stream->to));
}

/* Passes on what is due. Returns false when the connection was freed. */
static bool
pump(stream_t *stream)
{
    link_t *owner = stream->conn->owner;
    mr_ms_t now = mr_clock_now(NULL);
    mark_t *mark;

    while (!owner->hold
           && (mark = g_queue_peek_head(&stream->marks)) != NULL) {
        if (mark->due > now) {
            struct timeval tv = mr_clock_timeval(mark->due - now);
            evtimer_add(stream->timer, &tv);
            break;
        }
        owner->bytes[stream->direction] += (int64_t)mark->len;
        evbuffer_remove_buffer(stream->waiting,
                               bufferevent_get_output(stream->to), mark->len);
        free(g_queue_pop_head(&stream->marks));
    }
    /* An end that is cut off is not seen by the other side. */
    if (stream->ended && !stream->lost && !owner->cut[stream->direction]
        && unsent(stream) == 0) {
        free_conn(stream->conn, false);
        return false;
    }
    if (unsent(stream) < PENDING_MAX_BYTES && !stream->ended
        && !stream->lost) {
        bufferevent_enable(stream->from, EV_READ);
    }
    return true;
}

static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    pump(ctx);
}

static void
take(stream_t *stream, struct evbuffer *input)
{
    link_t *owner = stream->conn->owner;
    mr_ms_t due = mr_clock_now(NULL) + owner->delay[stream->direction];
    mark_t *last = g_queue_peek_tail(&stream->marks);

    /* A shorter delay must not let bytes overtake others. */
    if (last == NULL || last->due < due) {
        last = MR_NEW(mark_t);
        last->due = due;
        g_queue_push_tail(&stream->marks, last);
    }
    last->len += evbuffer_get_length(input);
    evbuffer_add_buffer(stream->waiting, input);
}

static void
on_read(struct bufferevent *bev, void *ctx)
{
    conn_t *conn = ctx;
    stream_t *stream = &conn->streams[TO_TARGET];

    if (bev != stream->from) {
        stream = &conn->streams[TO_CALLER];
    }
    take(stream, bufferevent_get_input(bev));
    if (stream->lost || conn->owner->cut[stream->direction]) {
        lose(stream);
    }
    else if (pump(stream) && unsent(stream) >= PENDING_MAX_BYTES) {
        bufferevent_disable(bev, EV_READ);
    }
}

static void
on_written(struct bufferevent *bev, void *ctx)
{
    conn_t *conn = ctx;

    pump(&conn->streams[conn->streams[0].to == bev ? 0 : 1]);
}

static void
on_event(struct bufferevent *bev, short events, void *ctx)
{
    conn_t *conn = ctx;
    int i = conn->streams[TO_TARGET].from == bev ? TO_TARGET : TO_CALLER;
    int on = 1;

    if (events & BEV_EVENT_CONNECTED) {
        setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
                   sizeof(on));
        return;
    }
    conn->streams[i].ended = true;
    bufferevent_disable(bev, EV_READ | EV_WRITE);
    if (conn->streams[1 - i].ended) {
        free_conn(conn, false);
        return;
    }
    if ((events & BEV_EVENT_ERROR) && !conn->owner->cut[i]
        && !conn->owner->hold) {
        free_conn(conn, true);
        return;
    }
    pump(&conn->streams[i]);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *from, int from_len, void *ctx)
{
    link_t *owner = ctx;
    struct bufferevent *ends[DIRECTIONS];
    struct sockaddr_storage addr;
    int len;
    int on = 1;

    (void)listener;
    (void)from;
    (void)from_len;
    mr_address_parse(owner->target, &addr, &len);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    conn_t *conn = MR_NEW(conn_t);
    conn->owner = owner;
    owner->accepted++;
    owner->open++;
    mr_list_append(&owner->conns, &conn->link);
    ends[0] = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    ends[1] = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    for (int i = 0; i < DIRECTIONS; i++) {
        stream_t *stream = &conn->streams[i];
        stream->conn = conn;
        stream->direction = i;
        stream->from = ends[i];
        stream->to = ends[1 - i];
        stream->waiting = evbuffer_new();
        stream->timer = evtimer_new(base, on_timer, stream);
        bufferevent_set_max_single_read(ends[i], READ_MAX_BYTES);
        bufferevent_set_max_single_write(ends[i], READ_MAX_BYTES);
        bufferevent_setcb(ends[i], on_read, on_written, on_event, conn);
        bufferevent_enable(ends[i], EV_READ | EV_WRITE);
    }
    /* A connection that is opened across a cut reaches nobody. */
    if (owner->cut[TO_TARGET] || owner->cut[TO_CALLER]) {
        lose(&conn->streams[TO_TARGET]);
        lose(&conn->streams[TO_CALLER]);
        return;
    }
    if (bufferevent_socket_connect(ends[1], (struct sockaddr *)&addr, len)
        != 0) {
        free_conn(conn, true);
    }
}

static bool
open_listener(link_t *owner)
{
    struct sockaddr_storage addr;
    int len;

    if (mr_address_parse(owner->listen, &addr, &len)) {
        owner->listener = evconnlistener_new_bind(
            base, on_accept, owner,
            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
            1024, (struct sockaddr *)&addr, len);
    }
    return owner->listener != NULL;
}

/* Applies changed delays, cuts and holds to the open connections. */
static void
update_conns(link_t *owner, bool reset)
{
    MR_LIST_FOREACH(it, &owner->conns)
    {
        conn_t *conn = MR_LIST_ENTRY(it, conn_t, link);
        bool lost = false;
        for (int i = 0; i < DIRECTIONS; i++) {
            stream_t *stream = &conn->streams[i];
            if (owner->cut[i] && !g_queue_is_empty(&stream->marks)) {
                lose(stream);
            }
            lost |= stream->lost && !owner->cut[i];
        }
        if (reset || lost) {
            free_conn(conn, true);
            continue;
        }
        if (pump(&conn->streams[TO_TARGET])) {
            pump(&conn->streams[TO_CALLER]);
        }
    }
}

static bool
apply(link_t *owner, json_t *fault, mr_json_problem_t *problem)
{
    int64_t both = -1;
    mr_ms_t *delay = owner->delay;
    const char *cut = NULL;
    bool refuse = owner->listener == NULL;
    bool hold = owner->hold;
    bool reset = false;
    const mr_ms_t max = 600000;
    const mr_json_field_t fields[] = {
        {"delay_ms", MR_JSON_INTEGER, false, &both, 0, max},
        {"delay_to_target_ms", MR_JSON_INTEGER, false, &delay[0], 0, max},
        {"delay_to_caller_ms", MR_JSON_INTEGER, false, &delay[1], 0, max},
        {"cut", MR_JSON_STRING, false, &cut, 0, 0},
        {"refuse", MR_JSON_BOOL, false, &refuse, 0, 0},
        {"hold", MR_JSON_BOOL, false, &hold, 0, 0},
        {"reset", MR_JSON_BOOL, false, &reset, 0, 0},
    };
    if (!mr_json_read(fault, owner->name, fields, G_N_ELEMENTS(fields),
                      problem)) {
        return false;
    }
    if (cut != NULL) {
        bool both_cut = strcmp(cut, "both") == 0;
        owner->cut[TO_TARGET] = both_cut || strcmp(cut, "to_target") == 0;
        owner->cut[TO_CALLER] = both_cut || strcmp(cut, "to_caller") == 0;
        if (!owner->cut[0] && !owner->cut[1] && strcmp(cut, "none") != 0) {
            return mr_json_problem_set(problem, "cut: unknown value");
        }
    }
    if (both >= 0) {
        delay[TO_TARGET] = both;
        delay[TO_CALLER] = both;
    }
    owner->hold = hold;
    if (refuse && owner->listener != NULL) {
        evconnlistener_free(owner->listener);
        owner->listener = NULL;
    }
    else if (!refuse && owner->listener == NULL && !open_listener(owner)) {
        return mr_json_problem_set(problem, "cannot listen on %s",
                                   owner->listen);
    }
    update_conns(owner, reset);
    return true;
}

static json_t *
describe(void)
{
    json_t *array = json_array();

    MR_LIST_FOREACH(it, &links)
    {
        const link_t *owner = MR_LIST_ENTRY(it, link_t, link);
        json_array_append_new(
            array,
            json_pack("{s:s,s:I,s:I,s:[I,I],s:[I,I]}", "name", owner->name,
                      "connections", (json_int_t)owner->open, "accepted",
                      (json_int_t)owner->accepted, "bytes",
                      (json_int_t)owner->bytes[0], (json_int_t)owner->bytes[1],
                      "dropped", (json_int_t)owner->dropped[0],
                      (json_int_t)owner->dropped[1]));
    }
    return json_pack("{s:o}", "links", array);
}

static void
answer(struct evhttp_request *req, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);

    evbuffer_add_printf(evhttp_request_get_output_buffer(req), "%s\n", text);
    evhttp_send_reply(req, status, NULL, NULL);
    free(text);
    json_decref(body);
}

static void
on_control(struct evhttp_request *req, void *ctx)
{
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
    struct evbuffer *input = evhttp_request_get_input_buffer(req);
    mr_json_problem_t problem = {"no such link"};
    bool found = false;
    bool good = true;

    (void)ctx;
    if (evhttp_request_get_command(req) == EVHTTP_REQ_GET
        && strcmp(path, "/links") == 0) {
        answer(req, 200, describe());
        return;
    }
    size_t len = evbuffer_get_length(input);
    json_t *fault =
        mr_json_parse(evbuffer_pullup(input, (ev_ssize_t)len), len, &problem);
    if (fault != NULL && strncmp(path, "/links/", 7) == 0) {
        MR_LIST_FOREACH(it, &links)
        {
            link_t *owner = MR_LIST_ENTRY(it, link_t, link);
            if (good && g_pattern_match_simple(path + 7, owner->name)) {
                found = true;
                good = apply(owner, fault, &problem);
            }
        }
    }
    int status = found && good ? 200 : found || fault == NULL ? 400 : 404;
    answer(req, status,
           json_pack("{s:s}", "error", status == 200 ? "" : problem.text));
    json_decref(fault);
}

/* Reads NAME=LISTEN=TARGET. */
static bool
add_link(const char *text)
{
    gchar **parts = g_strsplit(text, "=", 3);
    struct sockaddr_storage addr;
    int len;
    bool good = false;

    if (g_strv_length(parts) == 3 && mr_address_parse(parts[2], &addr, &len)) {
        link_t *owner = MR_NEW(link_t);
        owner->name = mr_strdup(parts[0]);
        owner->listen = mr_strdup(parts[1]);
        owner->target = mr_strdup(parts[2]);
        mr_list_init(&owner->conns);
        mr_list_append(&links, &owner->link);
        good = open_listener(owner);
    }
    g_strfreev(parts);
    return good;
}

int
main(int argc, char **argv)
{
    gchar **specs = NULL;
    gchar *control = NULL;
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;
    GOptionEntry entries[] = {
        {"link", 0, 0, G_OPTION_ARG_STRING_ARRAY, &specs, "repeatable",
         "NAME=LISTEN=TARGET"},
        {"control", 0, 0, G_OPTION_ARG_STRING, &control, NULL, "IP:PORT"},
        G_OPTION_ENTRY_NULL,
    };
    GOptionContext *options = g_option_context_new("- inject faults into TCP");

    g_option_context_add_main_entries(options, entries, NULL);
    if (!g_option_context_parse(options, &argc, &argv, NULL) || control == NULL
        || !mr_address_split(control, ip, &port)) {
        fprintf(stderr, "fault_proxy: bad flags; see --help\n");
        return EXIT_FAILURE;
    }
    signal(SIGPIPE, SIG_IGN);
    base = precise_loop_create();
    mr_list_init(&links);
    for (gchar **spec = specs; spec != NULL && *spec != NULL; spec++) {
        if (!add_link(*spec)) {
            fprintf(stderr, "fault_proxy: cannot open link %s\n", *spec);
            return EXIT_FAILURE;
        }
    }
    struct evhttp *http = evhttp_new(base);
    if (evhttp_bind_socket(http, ip, (uint16_t)port) != 0) {
        fprintf(stderr, "fault_proxy: cannot listen on %s\n", control);
        return EXIT_FAILURE;
    }
    evhttp_set_gencb(http, on_control, NULL);
    printf("listening on %s\n", control);
    fflush(stdout);
    event_base_dispatch(base);
    return EXIT_SUCCESS;
}
