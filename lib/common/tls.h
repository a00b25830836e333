#ifndef MR_COMMON_TLS_H
#define MR_COMMON_TLS_H

/*
 * TLS for the listeners and for links between instances. Certificates are read
 * from files and read again when the files change; connections that are open
 * keep theirs.
 */

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdbool.h>

#include "common/counters.h"

typedef struct mr_tls mr_tls_t;

/** Files of one identity, in PEM form. */
typedef struct mr_tls_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *certificate; /* with its chain */
    const char *key;
    /** Authorities that the other side's certificate must come from; NULL:
     * the other side needs none. */
    const char *authorities;
} mr_tls_options_t;

/**
 * mr_tls_create() - read the files
 * @problem: receives the reason when that fails
 * @size: of @problem
 */
mr_tls_t *mr_tls_create(const mr_tls_options_t *options, char *problem,
                        size_t size);
void mr_tls_destroy(mr_tls_t *tls);

/** mr_tls_accept() - a bufferevent for an accepted socket; -1: set later. */
struct bufferevent *mr_tls_accept(mr_tls_t *tls, evutil_socket_t fd);

/** mr_tls_open() - a bufferevent for a socket that is to be connected. */
struct bufferevent *mr_tls_open(mr_tls_t *tls, evutil_socket_t fd);

#endif
