#include "wire/peer_link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/mem.h"
#include "common/traffic.h"
#include "wire/lateness.h"

enum {
    /* Of the whole handshake, as a timeout for each read would let a peer that
     * sends single bytes keep its connection. */
    HANDSHAKE_TIMEOUT_S = 3,
    FRAME_HEADER_BYTES = 4,
    /* The TCP timeouts detect partitions and silent connections, on which no
     * reset arrives. */
    TCP_USER_TIMEOUT_MS = 2000,
    TCP_KEEPALIVE_INTERVAL_S = 1,
    TCP_KEEPALIVE_PROBES = 2,
    /* Largest frame of the handshake. */
    HELLO_MAX_BYTES = 4096,
    /* Output that is passed to the connection ahead of what it accepts. */
    WRITE_AHEAD_BYTES = 16 << 10,
};

struct mr_peer_link {
    const mr_peer_options_t *options;
    mr_peer_link_events_t events;
    void *ctx;
    struct bufferevent *bev;
    struct event *handshake_timer; /* NULL after the handshake */
    bool is_initiator;
    bool ready;
    bool hello_sent;
    bool closed;
    bool paused_by_owner;
    bool paused_by_output;
    uint8_t nonce[MR_PEER_NONCE_BYTES];
    uint8_t peer_nonce[MR_PEER_NONCE_BYTES];
    char name[MR_PEER_NAME_MAX_BYTES];
    mr_lateness_t lateness;
    mr_peer_buffer_t buffer;
    mr_counter_t *sent;     /* messages */
    mr_counter_t *received; /* messages */
};

/*
 * Computes the proof that the sender knows the fleet secret: a MAC over both
 * nonces and the sender's role and name. It can neither be replayed on another
 * link nor reflected to the sender.
 */
static void
make_proof(const mr_peer_link_t *link, bool by_initiator, const char *name,
           uint8_t proof[crypto_auth_BYTES])
{
    crypto_auth_hmacsha512256_state state;
    const uint8_t *initiator_nonce =
        link->is_initiator ? link->nonce : link->peer_nonce;
    const uint8_t *responder_nonce =
        link->is_initiator ? link->peer_nonce : link->nonce;
    uint8_t role = by_initiator ? 1 : 2;

    crypto_auth_hmacsha512256_init(&state, link->options->secret,
                                   MR_PEER_SECRET_BYTES);
    crypto_auth_hmacsha512256_update(&state, &role, 1);
    crypto_auth_hmacsha512256_update(&state, initiator_nonce,
                                     MR_PEER_NONCE_BYTES);
    crypto_auth_hmacsha512256_update(&state, responder_nonce,
                                     MR_PEER_NONCE_BYTES);
    crypto_auth_hmacsha512256_update(&state, (const uint8_t *)name,
                                     strlen(name));
    crypto_auth_hmacsha512256_final(&state, proof);
}

bool
mr_peer_link_admit(mr_peer_link_t *link, size_t bytes)
{
    return mr_peer_buffer_admit(&link->buffer, FRAME_HEADER_BYTES + bytes);
}

void
mr_peer_link_add_waiting(mr_peer_link_t *link, size_t bytes)
{
    mr_peer_buffer_add_waiting(&link->buffer,
                               (int64_t)(FRAME_HEADER_BYTES + bytes));
}

void
mr_peer_link_remove_waiting(mr_peer_link_t *link, size_t bytes)
{
    mr_peer_buffer_add_waiting(&link->buffer,
                               -(int64_t)(FRAME_HEADER_BYTES + bytes));
}

bool
mr_peer_link_writable(const mr_peer_link_t *link)
{
    return link->ready && !link->closed
           && evbuffer_get_length(bufferevent_get_output(link->bev))
                  < WRITE_AHEAD_BYTES;
}

/* Reads only while messages may be handled. The callback handles frames that
 * are complete already. */
static void
update_reading(mr_peer_link_t *link)
{
    if (link->closed) {
        return;
    }
    if (link->paused_by_owner || link->paused_by_output) {
        bufferevent_disable(link->bev, EV_READ);
    }
    else if (!(bufferevent_get_enabled(link->bev) & EV_READ)) {
        bufferevent_enable(link->bev, EV_READ);
        bufferevent_trigger(link->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }
}

void
mr_peer_link_pause(mr_peer_link_t *link, bool paused)
{
    link->paused_by_owner = paused;
    update_reading(link);
}

/* Requests of a peer that does not read its replies are not handled. */
static void
update_output_pause(mr_peer_link_t *link)
{
    size_t bytes = mr_peer_buffer_output(&link->buffer);

    link->paused_by_output =
        !link->is_initiator
        && bytes >= link->options->limits->link_output_max_bytes / 2;
    update_reading(link);
}

/* Called when little output is left. */
static void
on_write(struct bufferevent *bev, void *ctx)
{
    mr_peer_link_t *link = ctx;

    (void)bev;
    mr_peer_buffer_record_sent(&link->buffer);
    update_output_pause(link);
    if (mr_peer_link_writable(link)) {
        link->events.writable(link->ctx, link);
    }
}

void
mr_peer_link_send(mr_peer_link_t *link, const msgpack_sbuffer *msg)
{
    uint32_t header = htonl((uint32_t)msg->size);

    mr_counter_add(link->sent, 1);
    bufferevent_write(link->bev, &header, sizeof(header));
    bufferevent_write(link->bev, msg->data, msg->size);
    update_output_pause(link);
}

static void
send_hello(mr_peer_link_t *link, bool with_proof)
{
    uint8_t proof[crypto_auth_BYTES];
    msgpack_sbuffer frame;
    mr_msg_t msg = {.type = link->is_initiator ? MR_MSG_HELLO
                                               : MR_MSG_HELLO_REPLY};

    msg.u.hello.name = link->options->name;
    msg.u.hello.data_centre = link->options->data_centre;
    msg.u.hello.incarnation = link->options->incarnation;
    msg.u.hello.nonce = (mr_bytes_t){link->nonce, sizeof(link->nonce)};
    if (with_proof) {
        make_proof(link, link->is_initiator, link->options->name, proof);
        msg.u.hello.proof = (mr_bytes_t){proof, sizeof(proof)};
    }
    msgpack_sbuffer_init(&frame);
    mr_msg_encode(&msg, &frame);
    mr_peer_link_send(link, &frame);
    msgpack_sbuffer_destroy(&frame);
}

static bool
proof_is_valid(const mr_peer_link_t *link, const mr_msg_hello_t *hello)
{
    uint8_t expected[crypto_auth_BYTES];

    if (hello->proof.len != sizeof(expected)) {
        return false;
    }
    make_proof(link, !link->is_initiator, hello->name, expected);
    return sodium_memcmp(expected, hello->proof.data, sizeof(expected)) == 0;
}

static void
complete_handshake(mr_peer_link_t *link)
{
    link->ready = true;
    event_free(link->handshake_timer);
    link->handshake_timer = NULL;
    bufferevent_setwatermark(link->bev, EV_READ, 0,
                             link->options->limits->frame_max_bytes);
    link->events.writable(link->ctx, link);
}

/*
 * Handshake, with the initiator on the left:
 *   HELLO(nonce)        ->
 *                       <- HELLO_REPLY(nonce, proof)
 *   HELLO(nonce, proof) ->
 * Each side's proof covers the fresh nonce of the other side.
 */
static bool
handle_hello(mr_peer_link_t *link, const mr_msg_hello_t *hello)
{
    if (hello->nonce.len != MR_PEER_NONCE_BYTES || hello->name[0] == '\0'
        || strlen(hello->name) >= sizeof(link->name)) {
        return false;
    }
    if (!link->is_initiator && !link->hello_sent) {
        memcpy(link->peer_nonce, hello->nonce.data, MR_PEER_NONCE_BYTES);
        link->hello_sent = true;
        send_hello(link, true);
        return true;
    }
    if (link->is_initiator) {
        memcpy(link->peer_nonce, hello->nonce.data, MR_PEER_NONCE_BYTES);
    }
    else if (memcmp(link->peer_nonce, hello->nonce.data, MR_PEER_NONCE_BYTES)
             != 0) {
        return false;
    }
    if (!proof_is_valid(link, hello)) {
        return false;
    }
    memcpy(link->name, hello->name, strlen(hello->name) + 1);
    if (link->is_initiator) {
        send_hello(link, true);
    }
    complete_handshake(link);
    return true;
}

static bool
handle_frame(mr_peer_link_t *link, const void *data, size_t len)
{
    mr_msg_decoded_t holder;
    bool ok = true;

    mr_counter_add(link->received, 1);
    switch (mr_msg_decode(data, len, &holder)) {
    case MR_MSG_MALFORMED:
        return false;
    case MR_MSG_UNKNOWN_TYPE:
        mr_counter_add(mr_counters_get(link->options->counters,
                                       "masticrelay_peer_unknown_total", "",
                                       "peer messages of an unknown type"),
                       1);
        return link->ready;
    case MR_MSG_VALID:
        break;
    }
    bool hello = holder.msg.type == MR_MSG_HELLO
                 || holder.msg.type == MR_MSG_HELLO_REPLY;
    if (!link->ready) {
        ok = hello
             && (holder.msg.type == MR_MSG_HELLO_REPLY) == link->is_initiator
             && handle_hello(link, &holder.msg.u.hello);
    }
    else if (!hello) {
        holder.msg.late_ms = mr_lateness_update(
            &link->lateness, holder.msg.sent_at, mr_clock_now(NULL));
        link->events.message(link->ctx, link, &holder.msg);
    }
    mr_msg_release(&holder);
    return ok;
}

/* Stops reading and writing, and reports the end of the link to its owner
 * exactly once. */
static void
close_link(mr_peer_link_t *link)
{
    if (!link->closed) {
        link->closed = true;
        bufferevent_disable(link->bev, EV_READ | EV_WRITE);
        link->events.closed(link->ctx, link);
    }
}

static void
on_read(struct bufferevent *bev, void *ctx)
{
    mr_peer_link_t *link = ctx;
    struct evbuffer *in = bufferevent_get_input(bev);
    uint32_t header;

    while (!link->closed && !link->paused_by_owner && !link->paused_by_output
           && evbuffer_copyout(in, &header, sizeof(header))
                  == FRAME_HEADER_BYTES) {
        size_t len = ntohl(header);
        size_t max = link->ready ? link->options->limits->frame_max_bytes
                                 : HELLO_MAX_BYTES;
        if (FRAME_HEADER_BYTES + len > max) {
            goto broken;
        }
        if (evbuffer_get_length(in) < FRAME_HEADER_BYTES + len) {
            return;
        }
        evbuffer_drain(in, FRAME_HEADER_BYTES);
        const unsigned char *data = evbuffer_pullup(in, (ev_ssize_t)len);
        if ((data == NULL && len > 0) || !handle_frame(link, data, len)) {
            goto broken;
        }
        evbuffer_drain(in, len);
    }
    return;

broken:
    mr_counter_add(mr_counters_get(link->options->counters,
                                   "masticrelay_peer_broken_total", "",
                                   "peer links closed for bad frames"),
                   1);
    close_link(link);
}

static void
on_handshake_timeout(evutil_socket_t fd, short what, void *ctx)
{
    (void)fd;
    (void)what;
    close_link(ctx);
}

/* Enables the detection of connections on which nothing is acknowledged. */
static void
set_tcp_options(evutil_socket_t fd)
{
    int on = 1;
    int idle = TCP_KEEPALIVE_INTERVAL_S;
    int probes = TCP_KEEPALIVE_PROBES;
    unsigned int user_timeout = TCP_USER_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
               sizeof(user_timeout));
}

static void
on_event(struct bufferevent *bev, short events, void *ctx)
{
    mr_peer_link_t *link = ctx;

    (void)bev;
    if (events & BEV_EVENT_CONNECTED) {
        set_tcp_options(bufferevent_getfd(bev));
        /* With TLS, the accepting side gets this event too, but waits for the
         * initiator's HELLO. */
        if (link->is_initiator) {
            send_hello(link, false);
        }
        return;
    }
    close_link(link);
}

static struct bufferevent *
create_bufferevent(const mr_peer_options_t *options, evutil_socket_t fd,
                   bool is_initiator)
{
    if (options->tls == NULL) {
        return bufferevent_socket_new(options->base, fd,
                                      BEV_OPT_CLOSE_ON_FREE);
    }
    return is_initiator ? mr_tls_connect(options->tls, fd)
                        : mr_tls_accept(options->tls, fd);
}

static mr_peer_link_t *
create_link(const mr_peer_options_t *options, mr_peer_buffers_t *buffers,
            evutil_socket_t fd, bool is_initiator,
            const mr_peer_link_events_t *events, void *ctx)
{
    struct bufferevent *bev = create_bufferevent(options, fd, is_initiator);
    struct timeval timeout = {.tv_sec = HANDSHAKE_TIMEOUT_S};
    mr_traffic_t traffic = mr_traffic_create(options->counters, "peer");

    if (bev == NULL) {
        return NULL;
    }
    mr_peer_link_t *link = MR_NEW(mr_peer_link_t);
    link->options = options;
    link->events = *events;
    link->ctx = ctx;
    link->bev = bev;
    link->is_initiator = is_initiator;
    randombytes_buf(link->nonce, sizeof(link->nonce));
    link->sent = mr_counters_get(options->counters,
                                 "masticrelay_peer_sent_messages_total", "",
                                 "peer messages sent");
    link->received = mr_counters_get(
        options->counters, "masticrelay_peer_received_messages_total", "",
        "peer messages received");
    mr_traffic_watch(&traffic, bev);
    mr_peer_buffer_init(&link->buffer, buffers, bev, link->name);
    bufferevent_setcb(bev, on_read, on_write, on_event, link);
    bufferevent_setwatermark(bev, EV_READ, 0, HELLO_MAX_BYTES);
    bufferevent_setwatermark(bev, EV_WRITE, WRITE_AHEAD_BYTES / 2, 0);
    link->handshake_timer =
        evtimer_new(options->base, on_handshake_timeout, link);
    evtimer_add(link->handshake_timer, &timeout);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    return link;
}

mr_peer_link_t *
mr_peer_link_open(const mr_peer_options_t *options, mr_peer_buffers_t *buffers,
                  const char *address, const mr_peer_link_events_t *events,
                  void *ctx)
{
    struct sockaddr_storage addr;
    int len;

    if (!mr_address_parse(address, &addr, &len)) {
        return NULL;
    }
    int fd = mr_address_socket(&addr);
    if (fd < 0) {
        return NULL;
    }
    mr_peer_link_t *link =
        create_link(options, buffers, fd, true, events, ctx);
    if (link == NULL) {
        evutil_closesocket(fd);
        return NULL;
    }
    if (bufferevent_socket_connect(link->bev, (struct sockaddr *)&addr, len)
        != 0) {
        mr_peer_link_destroy(link);
        return NULL;
    }
    return link;
}

mr_peer_link_t *
mr_peer_link_accept(const mr_peer_options_t *options,
                    mr_peer_buffers_t *buffers, evutil_socket_t fd,
                    const mr_peer_link_events_t *events, void *ctx)
{
    set_tcp_options(fd);
    return create_link(options, buffers, fd, false, events, ctx);
}

void
mr_peer_link_destroy(mr_peer_link_t *link)
{
    if (link == NULL) {
        return;
    }
    mr_peer_buffer_clear(&link->buffer);
    if (link->handshake_timer != NULL) {
        event_free(link->handshake_timer);
    }
    bufferevent_free(link->bev);
    free(link);
}

bool
mr_peer_link_ready(const mr_peer_link_t *link)
{
    return link->ready;
}

const char *
mr_peer_link_name(const mr_peer_link_t *link)
{
    return link->name;
}
