#ifndef MR_WIRE_PEER_BUFFERS_H
#define MR_WIRE_PEER_BUFFERS_H

/* Bytes that the links of a process hold, unsent output and unread input, and
 * their limits. Used only by peer.c and peer_link.c. */

#include <event2/bufferevent.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/list.h"
#include "wire/peer.h"

/** The buffers of all links of a process. */
typedef struct mr_peer_buffers mr_peer_buffers_t;

/** A period in which a link drops frames, until all its output is sent. */
typedef struct mr_peer_full_period {
    bool active;
    bool logged;
    mr_ms_t since;
    mr_ms_t logged_at;
    int64_t dropped; /* frames */
} mr_peer_full_period_t;

/** The buffers of one link; a part of the link. */
typedef struct mr_peer_buffer {
    mr_list_t link;
    mr_peer_buffers_t *all;
    struct bufferevent *stream;
    const char *name; /* of the other side */
    size_t waiting;   /* bytes of frames that are not in the stream yet */
    mr_peer_full_period_t full;
    struct evbuffer_cb_entry *output_callback;
    struct evbuffer_cb_entry *input_callback;
} mr_peer_buffer_t;

/** mr_peer_buffers_create() - @limits is borrowed. */
mr_peer_buffers_t *mr_peer_buffers_create(mr_counters_t *counters,
                                          const mr_peer_limits_t *limits);

/** mr_peer_buffers_destroy() - no link may be left. */
void mr_peer_buffers_destroy(mr_peer_buffers_t *all);

/**
 * mr_peer_buffer_init() - count the buffers of a new link
 * @stream: the connection, with nothing in its buffers
 * @name: name of the other side, which may change; borrowed
 */
void mr_peer_buffer_init(mr_peer_buffer_t *buffer, mr_peer_buffers_t *all,
                         struct bufferevent *stream, const char *name);

/** mr_peer_buffer_clear() - count the link's buffers no longer; called before
 * its stream is freed. */
void mr_peer_buffer_clear(mr_peer_buffer_t *buffer);

/** mr_peer_buffer_output() - return the link's unsent bytes. */
size_t mr_peer_buffer_output(const mr_peer_buffer_t *buffer);

/** mr_peer_buffer_admit() - return whether a frame of @bytes may be queued;
 * count and log it as dropped if not. */
bool mr_peer_buffer_admit(mr_peer_buffer_t *buffer, size_t bytes);

/** mr_peer_buffer_add_waiting() - count a frame that waits outside the stream;
 * negative when it waits no longer. */
void mr_peer_buffer_add_waiting(mr_peer_buffer_t *buffer, int64_t bytes);

/** mr_peer_buffer_record_sent() - end the period in which frames are dropped
 * if all output has been sent. */
void mr_peer_buffer_record_sent(mr_peer_buffer_t *buffer);

#endif
