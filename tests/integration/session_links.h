#ifndef MR_TESTS_SESSION_LINKS_H
#define MR_TESTS_SESSION_LINKS_H

#include "harness.h"

enum {
    /* Each half of the network connection of a small machine, 10 Mbit/s. */
    RELAY_LINK_BYTES_PER_S = 1250000,
};

/** links_set() - send settings in JSON format to the control address of a
 * fault proxy. */
void links_set(struct event_base *base, const harness_process_t *proxy,
               const char *path, const char *json);
/** links_set_bandwidth() - set the bandwidth of a limit. */
void links_set_bandwidth(struct event_base *base,
                         const harness_process_t *proxy, const char *limit,
                         int bytes_per_s);
/** links_limit_relay() - let the links of relay @index share its network
 * connection: "rN--rM" to each of the @count relays, and "rN--store". */
void links_limit_relay(struct event_base *base, const harness_process_t *proxy,
                       int index, int count);

#endif
