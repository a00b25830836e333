/*
 * TCP proxy that injects faults into links between processes: delays, cuts
 * (dropped bytes), held bytes, refused and reset connections. Faults are set
 * with HTTP requests to the control address:
 *
 *   POST /links/NAME  {"delay_ms":N,"delay_to_target_ms":N,
 *                      "delay_to_caller_ms":N,
 *                      "cut":"none"|"both"|"to_target"|"to_caller",
 *                      "refuse":bool,"hold":bool,"reset":true,
 *                      "limit_to_target":LIMIT,"limit_to_caller":LIMIT}
 *   POST /limits/LIMIT  {"bytes_per_s":N}
 *   GET /links        counters; bytes and dropped are [to target, to caller]
 *
 * NAME may be a pattern with '*'. During a cut, the bytes of that direction
 * are dropped while the connection stays open. When the cut ends, connections
 * that lost bytes are reset, so that no stream continues with a gap.
 *
 * A limit is the bandwidth that all directions of links naming it share, for
 * example the outgoing half of one machine's network connection. A direction
 * passes up to two limits, named as "FIRST,SECOND". Open connections take
 * turns. "" ends the limits of a direction, N = 0 that of all directions with
 * this limit. Bytes that wait for their turn stay with the
 * sender, except for PENDING_LIMITED_MAX_BYTES of each connection.
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
    PENDING_MAX_BYTES = 64 << 20, /* reading from the sender pauses above it */
    PENDING_LIMITED_MAX_BYTES = 32 << 10, /* the same under a limit */
    LIMITS_MAX = 2,                       /* of one direction of a link */
    TURN_BYTES = 4 << 10,  /* sent by one connection before the next one */
    TURN_LATE_MAX_MS = 10, /* unused time that a limit makes up for */
};

/** Bandwidth shared by directions of links. */
typedef struct limit {
    mr_list_t link;
    char *name;
    int64_t bytes_per_s; /* 0: unlimited */
    double free_at;      /* end of the last reserved turn, ms */
} limit_t;

typedef struct link {
    mr_list_t link;
    char *name;
    char *listen;
    char *target;
    struct evconnlistener *listener; /* NULL while refusing */
    mr_ms_t delay[DIRECTIONS];
    bool cut[DIRECTIONS];
    bool hold;
    limit_t *limits[DIRECTIONS][LIMITS_MAX]; /* NULL: none */
    mr_list_t conns;
    int64_t accepted;
    int64_t open;
    int64_t bytes[DIRECTIONS];
    int64_t dropped[DIRECTIONS];
} link_t;

/** Consecutive bytes of a stream with the same due time. */
typedef struct segment {
    mr_ms_t due;
    size_t len;
} segment_t;

/** One direction of a connection. */
typedef struct stream {
    struct conn *conn;
    int direction;
    struct bufferevent *from;
    struct bufferevent *to;
    struct evbuffer *queued;
    GQueue segments; /* segment_t of the queued bytes, in order */
    struct event *timer;
    size_t turn_len;   /* bytes of the reserved turn; 0: none */
    mr_ms_t turn_ends; /* when they are forwarded */
    bool discarded;    /* bytes were dropped; nothing more is forwarded */
    bool sender_closed;
} stream_t;

typedef struct conn {
    mr_list_t link;
    link_t *owner;
    stream_t streams[DIRECTIONS];
} conn_t;

static struct event_base *base;
static mr_list_t links;
static mr_list_t limits;

static void
free_conn(conn_t *conn, bool reset)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    for (int i = 0; i < DIRECTIONS; i++) {
        stream_t *stream = &conn->streams[i];
        g_queue_clear_full(&stream->segments, free);
        evbuffer_free(stream->queued);
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

/* Drops the queued bytes; the stream forwards nothing from then on. */
static void
discard(stream_t *stream)
{
    size_t len = evbuffer_get_length(stream->queued);
    stream->discarded = true;
    stream->conn->owner->dropped[stream->direction] += (int64_t)len;
    evbuffer_drain(stream->queued, len);
    g_queue_clear_full(&stream->segments, free);
    stream->turn_len = 0;
    event_del(stream->timer);
}

static limit_t *
get_limit(const char *name)
{
    MR_LIST_FOREACH(it, &limits)
    {
        limit_t *limit = MR_LIST_ENTRY(it, limit_t, link);
        if (strcmp(limit->name, name) == 0) {
            return limit;
        }
    }
    limit_t *limit = MR_NEW(limit_t);
    limit->name = mr_strdup(name);
    mr_list_append(&limits, &limit->link);
    return limit;
}

static bool
is_limited(const link_t *owner, int direction)
{
    for (int i = 0; i < LIMITS_MAX; i++) {
        const limit_t *limit = owner->limits[direction][i];
        if (limit != NULL && limit->bytes_per_s > 0) {
            return true;
        }
    }
    return false;
}

/* Reserves @len bytes; returns when they have passed. */
static mr_ms_t
reserve(limit_t *limit, size_t len, mr_ms_t now)
{
    if (limit->free_at < (double)(now - TURN_LATE_MAX_MS)) {
        limit->free_at = (double)(now - TURN_LATE_MAX_MS);
    }
    limit->free_at += (double)len * 1000 / (double)limit->bytes_per_s;
    return (mr_ms_t)limit->free_at;
}

/* Reserves the bandwidth for the next bytes of the first segment. */
static void
reserve_turn(stream_t *stream, const segment_t *segment, mr_ms_t now)
{
    stream->turn_len = segment->len < TURN_BYTES ? segment->len : TURN_BYTES;
    stream->turn_ends = now;
    for (int i = 0; i < LIMITS_MAX; i++) {
        limit_t *limit = stream->conn->owner->limits[stream->direction][i];
        if (limit != NULL && limit->bytes_per_s > 0) {
            mr_ms_t passed = reserve(limit, stream->turn_len, now);
            stream->turn_ends = MAX(stream->turn_ends, passed);
        }
    }
}

static size_t
pending_max(const stream_t *stream)
{
    return is_limited(stream->conn->owner, stream->direction)
               ? PENDING_LIMITED_MAX_BYTES
               : PENDING_MAX_BYTES;
}

static size_t
pending_bytes(const stream_t *stream)
{
    return evbuffer_get_length(stream->queued)
           + evbuffer_get_length(bufferevent_get_output(stream->to));
}

/* Forwards the bytes that are due. Returns false if the connection was freed.
 */
static bool
forward_due(stream_t *stream)
{
    link_t *owner = stream->conn->owner;
    mr_ms_t now = mr_clock_now(NULL);
    segment_t *segment;

    while (!owner->hold
           && (segment = g_queue_peek_head(&stream->segments)) != NULL) {
        bool limited = is_limited(owner, stream->direction);
        mr_ms_t due = segment->due;
        if (limited && due <= now) {
            if (stream->turn_len == 0) {
                reserve_turn(stream, segment, now);
            }
            due = stream->turn_ends;
        }
        if (due > now) {
            struct timeval tv = mr_clock_timeval(due - now);
            evtimer_add(stream->timer, &tv);
            break;
        }
        size_t len = limited ? stream->turn_len : segment->len;
        stream->turn_len = 0;
        owner->bytes[stream->direction] += (int64_t)len;
        evbuffer_remove_buffer(stream->queued,
                               bufferevent_get_output(stream->to), len);
        segment->len -= len;
        if (segment->len == 0) {
            free(g_queue_pop_head(&stream->segments));
        }
    }
    /* The receiver does not see a close that happens during a cut. */
    if (stream->sender_closed && !stream->discarded
        && !owner->cut[stream->direction] && pending_bytes(stream) == 0) {
        free_conn(stream->conn, false);
        return false;
    }
    if (pending_bytes(stream) < pending_max(stream) && !stream->sender_closed
        && !stream->discarded) {
        bufferevent_enable(stream->from, EV_READ);
    }
    return true;
}

static void
on_timer(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    forward_due(ctx);
}

static void
enqueue(stream_t *stream, struct evbuffer *input)
{
    link_t *owner = stream->conn->owner;
    mr_ms_t due = mr_clock_now(NULL) + owner->delay[stream->direction];
    segment_t *last = g_queue_peek_tail(&stream->segments);

    /* Keeps the byte order when the delay has been shortened. */
    if (last == NULL || last->due < due) {
        last = MR_NEW(segment_t);
        last->due = due;
        g_queue_push_tail(&stream->segments, last);
    }
    last->len += evbuffer_get_length(input);
    evbuffer_add_buffer(stream->queued, input);
}

static void
on_read(struct bufferevent *bev, void *ctx)
{
    conn_t *conn = ctx;
    stream_t *stream = &conn->streams[TO_TARGET];

    if (bev != stream->from) {
        stream = &conn->streams[TO_CALLER];
    }
    enqueue(stream, bufferevent_get_input(bev));
    if (stream->discarded || conn->owner->cut[stream->direction]) {
        discard(stream);
    }
    else if (forward_due(stream)
             && pending_bytes(stream) >= pending_max(stream)) {
        bufferevent_disable(bev, EV_READ);
    }
}

static void
on_write(struct bufferevent *bev, void *ctx)
{
    conn_t *conn = ctx;

    forward_due(&conn->streams[conn->streams[0].to == bev ? 0 : 1]);
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
    conn->streams[i].sender_closed = true;
    bufferevent_disable(bev, EV_READ | EV_WRITE);
    if (conn->streams[1 - i].sender_closed) {
        free_conn(conn, false);
        return;
    }
    if ((events & BEV_EVENT_ERROR) && !conn->owner->cut[i]
        && !conn->owner->hold) {
        free_conn(conn, true);
        return;
    }
    forward_due(&conn->streams[i]);
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
    int limited = PENDING_LIMITED_MAX_BYTES;

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
    ends[1] = bufferevent_socket_new(base, mr_address_socket(&addr),
                                     BEV_OPT_CLOSE_ON_FREE);
    for (int i = 0; i < DIRECTIONS; i++) {
        stream_t *stream = &conn->streams[i];
        stream->conn = conn;
        stream->direction = i;
        stream->from = ends[i];
        stream->to = ends[1 - i];
        stream->queued = evbuffer_new();
        stream->timer = evtimer_new(base, on_timer, stream);
        if (is_limited(owner, i)) {
            setsockopt(bufferevent_getfd(ends[i]), SOL_SOCKET, SO_RCVBUF,
                       &limited, sizeof(limited));
        }
        bufferevent_set_max_single_read(ends[i], READ_MAX_BYTES);
        bufferevent_set_max_single_write(ends[i], READ_MAX_BYTES);
        bufferevent_setcb(ends[i], on_read, on_write, on_event, conn);
        bufferevent_enable(ends[i], EV_READ | EV_WRITE);
    }
    /* A connection opened during a cut is accepted, but not forwarded. */
    if (owner->cut[TO_TARGET] || owner->cut[TO_CALLER]) {
        discard(&conn->streams[TO_TARGET]);
        discard(&conn->streams[TO_CALLER]);
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

/* Applies changed faults to the open connections of a link. */
static void
apply_to_connections(link_t *owner, bool reset)
{
    MR_LIST_FOREACH(it, &owner->conns)
    {
        conn_t *conn = MR_LIST_ENTRY(it, conn_t, link);
        bool has_gap = false;
        for (int i = 0; i < DIRECTIONS; i++) {
            stream_t *stream = &conn->streams[i];
            if (owner->cut[i] && !g_queue_is_empty(&stream->segments)) {
                discard(stream);
            }
            has_gap |= stream->discarded && !owner->cut[i];
        }
        if (reset || has_gap) {
            free_conn(conn, true);
            continue;
        }
        if (forward_due(&conn->streams[TO_TARGET])) {
            forward_due(&conn->streams[TO_CALLER]);
        }
    }
}

/* Sets the limits of a direction. @names: NULL: unchanged, "": none. */
static bool
set_limits(link_t *owner, int direction, const char *names,
           mr_json_problem_t *problem)
{
    if (names == NULL) {
        return true;
    }
    gchar **list = g_strsplit(names, ",", -1);
    guint count = g_strv_length(list);
    for (guint i = 0; i < LIMITS_MAX && count <= LIMITS_MAX; i++) {
        owner->limits[direction][i] = i < count ? get_limit(list[i]) : NULL;
    }
    g_strfreev(list);
    return count <= LIMITS_MAX
           || mr_json_problem_set(problem, "limit: too many names");
}

static bool
apply_faults(link_t *owner, json_t *fault, mr_json_problem_t *problem)
{
    int64_t both = -1;
    mr_ms_t *delay = owner->delay;
    const char *cut = NULL;
    const char *limit[DIRECTIONS] = {NULL, NULL};
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
        {"limit_to_target", MR_JSON_STRING, false, &limit[0], 0, 0},
        {"limit_to_caller", MR_JSON_STRING, false, &limit[1], 0, 0},
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
    if (!set_limits(owner, TO_TARGET, limit[TO_TARGET], problem)
        || !set_limits(owner, TO_CALLER, limit[TO_CALLER], problem)) {
        return false;
    }
    if (refuse && owner->listener != NULL) {
        evconnlistener_free(owner->listener);
        owner->listener = NULL;
    }
    else if (!refuse && owner->listener == NULL && !open_listener(owner)) {
        return mr_json_problem_set(problem, "cannot listen on %s",
                                   owner->listen);
    }
    apply_to_connections(owner, reset);
    return true;
}

/* Sets the bandwidth of a limit. */
static bool
change_limit(const char *name, json_t *doc, mr_json_problem_t *problem)
{
    int64_t bytes_per_s = 0;
    const mr_json_field_t fields[] = {
        {"bytes_per_s", MR_JSON_INTEGER, true, &bytes_per_s, 0,
         INT64_C(1) << 40},
    };

    if (!mr_json_read(doc, name, fields, G_N_ELEMENTS(fields), problem)) {
        return false;
    }
    get_limit(name)->bytes_per_s = bytes_per_s;
    MR_LIST_FOREACH(it, &links)
    {
        apply_to_connections(MR_LIST_ENTRY(it, link_t, link), false);
    }
    return true;
}

static json_t *
describe_links(void)
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
send_answer(struct evhttp_request *req, int status, json_t *body)
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
    bool valid = true;

    (void)ctx;
    if (evhttp_request_get_command(req) == EVHTTP_REQ_GET
        && strcmp(path, "/links") == 0) {
        send_answer(req, 200, describe_links());
        return;
    }
    size_t len = evbuffer_get_length(input);
    json_t *fault =
        mr_json_parse(evbuffer_pullup(input, (ev_ssize_t)len), len, &problem);
    if (fault != NULL && strncmp(path, "/links/", 7) == 0) {
        MR_LIST_FOREACH(it, &links)
        {
            link_t *owner = MR_LIST_ENTRY(it, link_t, link);
            if (valid && g_pattern_match_simple(path + 7, owner->name)) {
                found = true;
                valid = apply_faults(owner, fault, &problem);
            }
        }
    }
    else if (fault != NULL && strncmp(path, "/limits/", 8) == 0) {
        found = true;
        valid = change_limit(path + 8, fault, &problem);
    }
    int status = found && valid ? 200 : found || fault == NULL ? 400 : 404;
    send_answer(
        req, status,
        json_pack("{s:s}", "error", status == 200 ? "" : problem.text));
    json_decref(fault);
}

/* Adds a link from the option text NAME=LISTEN=TARGET. */
static bool
add_link(const char *text)
{
    gchar **parts = g_strsplit(text, "=", 3);
    struct sockaddr_storage addr;
    int len;
    bool valid = false;

    if (g_strv_length(parts) == 3 && mr_address_parse(parts[2], &addr, &len)) {
        link_t *owner = MR_NEW(link_t);
        owner->name = mr_strdup(parts[0]);
        owner->listen = mr_strdup(parts[1]);
        owner->target = mr_strdup(parts[2]);
        mr_list_init(&owner->conns);
        mr_list_append(&links, &owner->link);
        valid = open_listener(owner);
    }
    g_strfreev(parts);
    return valid;
}

int
main(int argc, char **argv)
{
    gchar **specs = NULL;
    gchar *control = NULL;
    char ip[MR_ADDRESS_MAX_BYTES];
    int port;
    GOptionEntry entries[] = {
        {"link", 0, 0, G_OPTION_ARG_STRING_ARRAY, &specs,
         "add a link; repeatable", "NAME=LISTEN=TARGET"},
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
    mr_list_init(&limits);
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
