#ifndef MR_WIRE_PEER_BUFFERS_H
#define MR_WIRE_PEER_BUFFERS_H

/* Bytes that the links of a process hold: unsent output and unread input. Used
 * only by peer.c and peer_link.c. */

#include <event2/bufferevent.h>

#include "common/counters.h"
#include "common/list.h"

/** The buffers of all links of a process. */
typedef struct mr_peer_buffers mr_peer_buffers_t;

/** The buffers of one link; a part of the link. */
typedef struct mr_peer_buffer {
    mr_list_t link;
    mr_peer_buffers_t *all;
    struct bufferevent *stream;
    const char *name; /* of the other side */
    struct evbuffer_cb_entry *output_callback;
    struct evbuffer_cb_entry *input_callback;
} mr_peer_buffer_t;

mr_peer_buffers_t *mr_peer_buffers_create(mr_counters_t *counters);

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

/** mr_peer_buffers_record_drop() - count a frame that was not queued. */
void mr_peer_buffers_record_drop(mr_peer_buffers_t *all, size_t bytes);

#endif
