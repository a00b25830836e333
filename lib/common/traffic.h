#ifndef MR_COMMON_TRAFFIC_H
#define MR_COMMON_TRAFFIC_H

#include <event2/bufferevent.h>

#include "common/counters.h"

/** Byte counters of the connections of one kind, without TLS and TCP overhead.
 */
typedef struct mr_traffic {
    mr_counter_t *sent;
    mr_counter_t *received;
} mr_traffic_t;

/**
 * mr_traffic_create() - find or create the two counters of a kind
 * @kind: part of the names masticrelay_KIND_sent_bytes_total and
 *        masticrelay_KIND_received_bytes_total
 */
mr_traffic_t mr_traffic_create(mr_counters_t *counters, const char *kind);

/** mr_traffic_watch() - count the bytes sent and received by @stream from now
 * on. */
void mr_traffic_watch(const mr_traffic_t *traffic, struct bufferevent *stream);

#endif
