#include "wire/peer.h"

#include <assert.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/mem.h"
#include "wire/peer_link.h"

enum {
    HANDLERS_MAX = 128,
    /* Minimum time between two attempts to open a link to an address. Calls
     * made in between fail without waiting for their timeout. */
    RECONNECT_DELAY_MS = 100,
};

/* The largest answer that is read from a target has 8 MiB. */
const mr_peer_limits_t mr_peer_statement_limits = {
    .frame_max_bytes = 16 << 20,
    .link_output_max_bytes = 64 << 20,
    .output_max_bytes = 128 << 20,
    .requests_max = 8192,
};

/* A frame holds a report, or its reply, with 1,900 services and 1,024
 * accounts. */
const mr_peer_limits_t mr_peer_report_limits = {
    .frame_max_bytes = 128 << 10,
    .link_output_max_bytes = 128 << 10,
    .output_max_bytes = 4 << 20,
    .requests_max = 64,
};

/* A frame holds a report, or a statement of the longest size with the other
 * fields of its message. The output of a link holds 64 answers. */
const mr_peer_limits_t mr_peer_sharing_limits = {
    .frame_max_bytes = (1 << 20) + (16 << 10),
    .link_output_max_bytes = 2 << 20,
    .output_max_bytes = 4 << 20,
    .requests_max = 256,
};

typedef struct handler {
    mr_peer_handler_fn_t fn;
    void *ctx;
} handler_t;

struct mr_peer {
    mr_peer_options_t options;
    char *name;
    char *data_centre;
    uint8_t secret[MR_PEER_SECRET_BYTES];
    handler_t handlers[HANDLERS_MAX];
    void (*closed_fn)(void *ctx, const char *from);
    void *closed_ctx;
    mr_peer_buffers_t *buffers;
    struct evconnlistener *listener;
    GHashTable *outgoing;        /* address -> outgoing_t */
    mr_list_t incoming;          /* incoming_t */
    int64_t last_call_number;    /* numbers start at 1 */
    struct event *destroy_event; /* destroys closed_links outside callbacks */
    mr_list_t closed_links;      /* closed_link_t */
};

/** A link that this process opened, with the calls made over it. */
typedef struct outgoing {
    mr_peer_t *peer;
    char *address;
    mr_peer_link_t *link; /* NULL while closed */
    mr_ms_t retry_at;
    mr_list_t waiting; /* mr_peer_call_t, waiting for replies */
    mr_list_t unsent;  /* calls and one-way messages, until the link is
                          writable */
    size_t call_count; /* in both lists */
} outgoing_t;

struct mr_peer_call {
    mr_list_t link;
    outgoing_t *outgoing;
    int64_t number; /* 0: one-way */
    bool queued;    /* false: refused by the limits, or no link */
    bool sent;
    mr_peer_reply_fn_t fn;
    void *ctx;
    struct event *timer;
    mr_msg_type_t type;
    msgpack_sbuffer frame; /* encoded message, until it is sent */
};

/** A link that another process opened, with its unanswered requests. */
typedef struct incoming {
    mr_list_t link;
    mr_peer_t *peer;
    mr_peer_link_t *conn;
    mr_list_t requests;
    size_t request_count;
} incoming_t;

struct mr_peer_request {
    mr_list_t link;
    incoming_t *incoming; /* NULL when the link has closed */
    int64_t call;
};

typedef struct closed_link {
    mr_list_t link;
    mr_peer_link_t *conn;
} closed_link_t;

static void
increment_counter(mr_peer_t *peer, const char *name, const char *help)
{
    mr_counter_add(mr_counters_get(peer->options.counters, name, "", help), 1);
}

static void
destroy_closed_links(evutil_socket_t fd, short what, void *ctx)
{
    mr_peer_t *peer = ctx;
    mr_list_t *link;

    (void)fd;
    (void)what;
    while ((link = mr_list_pop(&peer->closed_links)) != NULL) {
        closed_link_t *closed = MR_LIST_ENTRY(link, closed_link_t, link);
        mr_peer_link_destroy(closed->conn);
        free(closed);
    }
}

/* Destroys a link in the next iteration of the event loop, because one of its
 * callbacks may be running. */
static void
destroy_link_later(mr_peer_t *peer, mr_peer_link_t *conn)
{
    closed_link_t *closed = MR_NEW(closed_link_t);

    closed->conn = conn;
    mr_list_append(&peer->closed_links, &closed->link);
    event_active(peer->destroy_event, 0, 0);
}

static void
drop_frame(mr_peer_call_t *call)
{
    if (call->frame.size > 0 && call->outgoing->link != NULL) {
        mr_peer_link_remove_waiting(call->outgoing->link, call->frame.size);
    }
    msgpack_sbuffer_destroy(&call->frame);
    msgpack_sbuffer_init(&call->frame);
}

static void
free_call(mr_peer_call_t *call)
{
    mr_list_remove(&call->link);
    drop_frame(call);
    if (call->queued) {
        call->outgoing->call_count--;
    }
    if (call->timer != NULL) {
        event_free(call->timer);
    }
    free(call);
}

static void
complete_call(mr_peer_call_t *call, mr_error_kind_t error,
              const mr_msg_t *reply)
{
    mr_peer_reply_fn_t fn = call->fn;
    void *ctx = call->ctx;

    free_call(call);
    if (fn != NULL) {
        fn(ctx, error, reply);
    }
}

static void
fail_calls(mr_list_t *calls, mr_error_kind_t error)
{
    mr_list_t failed;
    mr_list_t *link;

    /* Callbacks may append new calls to the list, so it is emptied first. */
    mr_list_init(&failed);
    while ((link = mr_list_pop(calls)) != NULL) {
        mr_list_append(&failed, link);
    }
    while ((link = mr_list_pop(&failed)) != NULL) {
        complete_call(MR_LIST_ENTRY(link, mr_peer_call_t, link), error, NULL);
    }
}

static void
on_call_timeout(evutil_socket_t fd, short what, void *ctx)
{
    mr_peer_call_t *call = ctx;

    (void)fd;
    (void)what;
    complete_call(
        call, call->sent ? MR_ERR_OUTCOME_UNKNOWN : MR_ERR_UNAVAILABLE, NULL);
}

static void
send_call(outgoing_t *out, mr_peer_call_t *call)
{
    mr_peer_link_t *link = out->link;
    msgpack_sbuffer frame = call->frame;

    msgpack_sbuffer_init(&call->frame);
    mr_list_remove(&call->link);
    mr_peer_link_remove_waiting(link, frame.size);
    call->sent = true;
    if (call->number == 0) {
        free_call(call);
    }
    else {
        mr_list_append(&out->waiting, &call->link);
    }
    /* The link may fail here, which ends the call. */
    mr_peer_link_send(link, &frame);
    msgpack_sbuffer_destroy(&frame);
}

static void
send_queued_calls(outgoing_t *out)
{
    while (out->link != NULL && mr_peer_link_writable(out->link)
           && !mr_list_empty(&out->unsent)) {
        send_call(out, MR_LIST_ENTRY(out->unsent.next, mr_peer_call_t, link));
    }
}

static void
on_outgoing_writable(void *ctx, mr_peer_link_t *link)
{
    (void)link;
    send_queued_calls(ctx);
}

static mr_peer_call_t *
find_call(outgoing_t *out, int64_t number)
{
    MR_LIST_FOREACH(it, &out->waiting)
    {
        mr_peer_call_t *call = MR_LIST_ENTRY(it, mr_peer_call_t, link);
        if (call->number == number) {
            return call;
        }
    }
    return NULL;
}

static void
on_outgoing_message(void *ctx, mr_peer_link_t *link, const mr_msg_t *msg)
{
    outgoing_t *out = ctx;
    mr_peer_call_t *call = find_call(out, msg->call);

    (void)link;
    if (call == NULL) {
        increment_counter(out->peer, "masticrelay_peer_late_replies_total",
                          "replies to calls that had ended");
        return;
    }
    if (msg->type != call->type + 1) {
        complete_call(call, MR_ERR_OUTCOME_UNKNOWN, NULL);
        return;
    }
    complete_call(call, MR_OK, msg);
}

static void
on_outgoing_closed(void *ctx, mr_peer_link_t *link)
{
    outgoing_t *out = ctx;

    destroy_link_later(out->peer, link);
    if (out->link != link) {
        return;
    }
    MR_LIST_FOREACH(it, &out->unsent)
    {
        drop_frame(MR_LIST_ENTRY(it, mr_peer_call_t, link));
    }
    out->link = NULL;
    out->retry_at = mr_clock_now(NULL) + RECONNECT_DELAY_MS;
    fail_calls(&out->unsent, MR_ERR_UNAVAILABLE);
    fail_calls(&out->waiting, MR_ERR_OUTCOME_UNKNOWN);
}

static const mr_peer_link_events_t outgoing_events = {
    .writable = on_outgoing_writable,
    .message = on_outgoing_message,
    .closed = on_outgoing_closed,
};

static void
free_outgoing(void *data)
{
    outgoing_t *out = data;
    mr_list_t *link;

    while ((link = mr_list_pop(&out->waiting)) != NULL
           || (link = mr_list_pop(&out->unsent)) != NULL) {
        free_call(MR_LIST_ENTRY(link, mr_peer_call_t, link));
    }
    mr_peer_link_destroy(out->link);
    free(out->address);
    free(out);
}

static outgoing_t *
get_outgoing(mr_peer_t *peer, const char *address)
{
    outgoing_t *out = g_hash_table_lookup(peer->outgoing, address);

    if (out == NULL) {
        out = MR_NEW(outgoing_t);
        out->peer = peer;
        out->address = mr_strdup(address);
        mr_list_init(&out->waiting);
        mr_list_init(&out->unsent);
        g_hash_table_insert(peer->outgoing, out->address, out);
    }
    if (out->link == NULL && mr_clock_now(NULL) >= out->retry_at) {
        out->link = mr_peer_link_open(&peer->options, peer->buffers, address,
                                      &outgoing_events, out);
        out->retry_at = mr_clock_now(NULL) + RECONNECT_DELAY_MS;
    }
    return out;
}

static mr_peer_call_t *
create_call(mr_peer_t *peer, const char *address, const mr_msg_t *msg,
            bool wants_reply)
{
    mr_peer_call_t *call = MR_NEW(mr_peer_call_t);

    call->outgoing = get_outgoing(peer, address);
    call->type = msg->type;
    call->number = wants_reply ? ++peer->last_call_number : 0;
    msgpack_sbuffer_init(&call->frame);
    mr_list_init(&call->link);
    return call;
}

/* Queues the message of a call if there is a link and the limits allow it. */
static void
queue_call(mr_peer_call_t *call, const mr_msg_t *msg)
{
    outgoing_t *out = call->outgoing;
    mr_peer_t *peer = out->peer;
    msgpack_sbuffer *frame = &call->frame;
    mr_msg_t copy = *msg;

    if (out->link == NULL) {
        return;
    }
    if (out->call_count >= peer->options.limits->requests_max) {
        increment_counter(peer, "masticrelay_peer_requests_refused_total",
                          "requests refused as too many were unanswered");
        return;
    }
    copy.call = call->number;
    mr_msg_encode(&copy, frame);
    if (!mr_peer_link_admit(out->link, frame->size)) {
        msgpack_sbuffer_destroy(frame);
        msgpack_sbuffer_init(frame);
        return;
    }
    frame->data = mr_realloc(frame->data, frame->size);
    frame->alloc = frame->size;
    mr_peer_link_add_waiting(out->link, frame->size);
    mr_list_append(&out->unsent, &call->link);
    call->queued = true;
    out->call_count++;
}

mr_peer_call_t *
mr_peer_call(mr_peer_t *peer, const char *address, const mr_msg_t *msg,
             mr_ms_t timeout, mr_peer_reply_fn_t fn, void *ctx)
{
    mr_peer_call_t *call = create_call(peer, address, msg, true);

    queue_call(call, msg);
    /* A call that is not queued fails in the next iteration of the event
     * loop. */
    if (!call->queued || timeout < 0) {
        timeout = 0;
    }
    struct timeval tv = mr_clock_timeval(timeout);

    call->fn = fn;
    call->ctx = ctx;
    call->timer = evtimer_new(peer->options.base, on_call_timeout, call);
    evtimer_add(call->timer, &tv);
    send_queued_calls(call->outgoing);
    return call;
}

bool
mr_peer_call_sent(const mr_peer_call_t *call)
{
    return call->sent;
}

void
mr_peer_cancel(mr_peer_call_t *call)
{
    free_call(call);
}

void
mr_peer_send(mr_peer_t *peer, const char *address, const mr_msg_t *msg)
{
    mr_peer_call_t *call = create_call(peer, address, msg, false);
    outgoing_t *out = call->outgoing;

    queue_call(call, msg);
    if (!call->queued) {
        free_call(call);
    }
    send_queued_calls(out);
}

static void
on_incoming_writable(void *ctx, mr_peer_link_t *link)
{
    (void)ctx;
    (void)link;
}

static void
update_incoming_pause(incoming_t *in)
{
    size_t max = in->peer->options.limits->requests_max;

    mr_peer_link_pause(in->conn, in->request_count >= max);
}

static void
on_incoming_message(void *ctx, mr_peer_link_t *link, const mr_msg_t *msg)
{
    incoming_t *in = ctx;
    handler_t *handler = &in->peer->handlers[msg->type % HANDLERS_MAX];
    mr_peer_request_t *request = NULL;

    if (handler->fn == NULL) {
        increment_counter(in->peer, "masticrelay_peer_unhandled_total",
                          "peer messages without a handler");
        return;
    }
    if (msg->call != 0) {
        request = MR_NEW(mr_peer_request_t);
        request->incoming = in;
        request->call = msg->call;
        mr_list_append(&in->requests, &request->link);
        in->request_count++;
        update_incoming_pause(in);
    }
    handler->fn(handler->ctx, request, msg, mr_peer_link_name(link));
}

static void
free_incoming(incoming_t *in)
{
    MR_LIST_FOREACH(it, &in->requests)
    {
        mr_peer_request_t *request =
            MR_LIST_ENTRY(it, mr_peer_request_t, link);
        request->incoming = NULL;
        mr_list_remove(it);
    }
    mr_list_remove(&in->link);
    free(in);
}

static void
report_closed(mr_peer_t *peer, const mr_peer_link_t *link)
{
    if (peer->closed_fn != NULL) {
        peer->closed_fn(peer->closed_ctx, mr_peer_link_name(link));
    }
}

static void
on_incoming_closed(void *ctx, mr_peer_link_t *link)
{
    incoming_t *in = ctx;
    mr_peer_t *peer = in->peer;

    destroy_link_later(peer, link);
    free_incoming(in);
    report_closed(peer, link);
}

static const mr_peer_link_events_t incoming_events = {
    .writable = on_incoming_writable,
    .message = on_incoming_message,
    .closed = on_incoming_closed,
};

void
mr_peer_reply(mr_peer_request_t *request, const mr_msg_t *reply)
{
    incoming_t *in = request->incoming;

    mr_list_remove(&request->link);
    if (in != NULL) {
        mr_msg_t copy = *reply;
        msgpack_sbuffer frame;
        copy.call = request->call;
        msgpack_sbuffer_init(&frame);
        mr_msg_encode(&copy, &frame);
        in->request_count--;
        update_incoming_pause(in);
        if (mr_peer_link_admit(in->conn, frame.size)) {
            mr_peer_link_send(in->conn, &frame);
        }
        msgpack_sbuffer_destroy(&frame);
    }
    free(request);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *addr, int len, void *ctx)
{
    mr_peer_t *peer = ctx;
    incoming_t *in = MR_NEW(incoming_t);

    (void)listener;
    (void)addr;
    (void)len;
    in->peer = peer;
    mr_list_init(&in->requests);
    mr_list_append(&peer->incoming, &in->link);
    in->conn = mr_peer_link_accept(&peer->options, peer->buffers, fd,
                                   &incoming_events, in);
    if (in->conn == NULL) {
        evutil_closesocket(fd);
        free_incoming(in);
    }
}

int
mr_peer_listen(mr_peer_t *peer, const char *address)
{
    struct sockaddr_storage addr;
    int len;
    socklen_t bound = sizeof(addr);

    if (!mr_address_parse(address, &addr, &len)) {
        return -1;
    }
    peer->listener =
        evconnlistener_new_bind(peer->options.base, on_accept, peer,
                                LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                (struct sockaddr *)&addr, len);
    if (peer->listener == NULL) {
        return -1;
    }
    if (getsockname(evconnlistener_get_fd(peer->listener),
                    (struct sockaddr *)&addr, &bound)
        != 0) {
        return -1;
    }
    return mr_address_port(&addr);
}

void
mr_peer_handle(mr_peer_t *peer, mr_msg_type_t type,
               mr_peer_handler_fn_t handler, void *ctx)
{
    assert((int)type < HANDLERS_MAX);
    peer->handlers[type] = (handler_t){handler, ctx};
}

void
mr_peer_on_closed(mr_peer_t *peer, void (*fn)(void *ctx, const char *from),
                  void *ctx)
{
    peer->closed_fn = fn;
    peer->closed_ctx = ctx;
}

mr_peer_t *
mr_peer_create(const mr_peer_options_t *options)
{
    mr_peer_t *peer = MR_NEW(mr_peer_t);

    peer->options = *options;
    peer->name = mr_strdup(options->name);
    peer->data_centre = mr_strdup(options->data_centre);
    memcpy(peer->secret, options->secret, sizeof(peer->secret));
    peer->options.name = peer->name;
    peer->options.data_centre = peer->data_centre;
    peer->options.secret = peer->secret;
    if (options->limits == NULL) {
        peer->options.limits = &mr_peer_statement_limits;
    }
    peer->buffers =
        mr_peer_buffers_create(options->counters, peer->options.limits);
    peer->outgoing =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_outgoing);
    mr_list_init(&peer->incoming);
    mr_list_init(&peer->closed_links);
    peer->destroy_event =
        event_new(options->base, -1, 0, destroy_closed_links, peer);
    return peer;
}

void
mr_peer_set_secret(mr_peer_t *peer, const uint8_t *secret)
{
    GList *all = g_hash_table_get_values(peer->outgoing);

    memcpy(peer->secret, secret, sizeof(peer->secret));
    MR_LIST_FOREACH(it, &peer->incoming)
    {
        incoming_t *in = MR_LIST_ENTRY(it, incoming_t, link);
        mr_peer_link_t *conn = in->conn;
        free_incoming(in);
        report_closed(peer, conn);
        mr_peer_link_destroy(conn);
    }
    for (GList *it = all; it != NULL; it = it->next) {
        outgoing_t *out = it->data;
        MR_LIST_FOREACH(jt, &out->unsent)
        {
            drop_frame(MR_LIST_ENTRY(jt, mr_peer_call_t, link));
        }
        mr_peer_link_destroy(out->link);
        out->link = NULL;
        out->retry_at = 0;
        fail_calls(&out->unsent, MR_ERR_UNAVAILABLE);
        fail_calls(&out->waiting, MR_ERR_OUTCOME_UNKNOWN);
    }
    g_list_free(all);
}

void
mr_peer_destroy(mr_peer_t *peer)
{
    if (peer == NULL) {
        return;
    }
    if (peer->listener != NULL) {
        evconnlistener_free(peer->listener);
    }
    g_hash_table_destroy(peer->outgoing);
    MR_LIST_FOREACH(it, &peer->incoming)
    {
        incoming_t *in = MR_LIST_ENTRY(it, incoming_t, link);
        mr_peer_link_destroy(in->conn);
        free_incoming(in);
    }
    destroy_closed_links(-1, 0, peer);
    event_free(peer->destroy_event);
    mr_peer_buffers_destroy(peer->buffers);
    free(peer->name);
    free(peer->data_centre);
    free(peer);
}
