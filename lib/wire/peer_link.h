#ifndef MR_WIRE_PEER_LINK_H
#define MR_WIRE_PEER_LINK_H

/* A single link: connection, handshake and framing. Used only by peer.c. */

#include <event2/bufferevent.h>

#include "wire/peer.h"
#include "wire/peer_buffers.h"

enum { MR_PEER_NAME_MAX_BYTES = 128, MR_PEER_NONCE_BYTES = 16 };

typedef struct mr_peer_link mr_peer_link_t;

/** Callbacks of a link to its owner. */
typedef struct mr_peer_link_events {
    /** The handshake is complete. */
    void (*ready)(void *ctx, mr_peer_link_t *link);
    /** A message other than HELLO arrived. */
    void (*message)(void *ctx, mr_peer_link_t *link, const mr_msg_t *msg);
    /** The link has failed; the owner must destroy it. */
    void (*closed)(void *ctx, mr_peer_link_t *link);
} mr_peer_link_events_t;

/** mr_peer_link_open() - connect to @address; returns NULL if the address is
 * invalid or the connection cannot be started. */
mr_peer_link_t *mr_peer_link_open(const mr_peer_options_t *options,
                                  mr_peer_buffers_t *buffers,
                                  const char *address,
                                  const mr_peer_link_events_t *events,
                                  void *ctx);

/** mr_peer_link_accept() - create a link on an accepted socket; returns NULL
 * on failure. */
mr_peer_link_t *mr_peer_link_accept(const mr_peer_options_t *options,
                                    mr_peer_buffers_t *buffers,
                                    evutil_socket_t fd,
                                    const mr_peer_link_events_t *events,
                                    void *ctx);

void mr_peer_link_destroy(mr_peer_link_t *link);

/** mr_peer_link_ready() - return whether the handshake is complete. */
bool mr_peer_link_ready(const mr_peer_link_t *link);

/** mr_peer_link_name() - return the other side's name; "" before the
 * handshake. */
const char *mr_peer_link_name(const mr_peer_link_t *link);

/** mr_peer_link_send() - encode a message and queue it as one frame. */
void mr_peer_link_send(mr_peer_link_t *link, const mr_msg_t *msg);

/** mr_peer_link_send_encoded() - queue an already encoded message as one
 * frame.
 */
void mr_peer_link_send_encoded(mr_peer_link_t *link,
                               const msgpack_sbuffer *msg);

#endif
