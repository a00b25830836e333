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
    /** The link has become writable. */
    void (*writable)(void *ctx, mr_peer_link_t *link);
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

/** mr_peer_link_writable() - return whether the handshake is complete and
 * little output is unsent, so that the next frame can be passed on. */
bool mr_peer_link_writable(const mr_peer_link_t *link);

/** mr_peer_link_ready() - whether the handshake is complete. */
bool mr_peer_link_ready(const mr_peer_link_t *link);

/** mr_peer_link_name() - return the other side's name; "" before the
 * handshake. */
const char *mr_peer_link_name(const mr_peer_link_t *link);

/** mr_peer_link_admit() - return whether a message of @bytes may be queued
 * within the limits; count it as dropped if not. */
bool mr_peer_link_admit(mr_peer_link_t *link, size_t bytes);

/** mr_peer_link_add_waiting() - count a message of @bytes that the owner has
 * queued for this link. */
void mr_peer_link_add_waiting(mr_peer_link_t *link, size_t bytes);

/** mr_peer_link_remove_waiting() - reverse mr_peer_link_add_waiting(). */
void mr_peer_link_remove_waiting(mr_peer_link_t *link, size_t bytes);

/** mr_peer_link_send() - send an encoded and admitted message as one frame. */
void mr_peer_link_send(mr_peer_link_t *link, const msgpack_sbuffer *msg);

/** mr_peer_link_pause() - stop handling messages, or continue. Reading from
 * the connection stops meanwhile. */
void mr_peer_link_pause(mr_peer_link_t *link, bool paused);

#endif
