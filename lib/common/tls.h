#ifndef MR_COMMON_TLS_H
#define MR_COMMON_TLS_H

/*
 * TLS for listeners and for links between instances. Certificates are loaded
 * from files and reloaded when the files change; open connections keep theirs.
 */

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdbool.h>

#include "common/counters.h"

typedef struct mr_tls mr_tls_t;

/** Files of one identity, in PEM format. */
typedef struct mr_tls_options {
    struct event_base *base;
    mr_counters_t *counters;
    const char *certificate; /* with its chain */
    const char *key;
    /** Certificate authorities of the remote side; NULL: no certificate is
     * required of it. */
    const char *authorities;
} mr_tls_options_t;

/**
 * mr_tls_create() - load the files
 * @problem: receives the reason of a failure
 * @size: size of @problem
 *
 * Return: NULL when a file cannot be used.
 */
mr_tls_t *mr_tls_create(const mr_tls_options_t *options, char *problem,
                        size_t size);
void mr_tls_destroy(mr_tls_t *tls);

/** mr_tls_accept() - create a bufferevent for an accepted socket; @fd -1: it
 * is set later. */
struct bufferevent *mr_tls_accept(mr_tls_t *tls, evutil_socket_t fd);

/** mr_tls_connect() - create a bufferevent for a socket that is to be
 * connected. */
struct bufferevent *mr_tls_connect(mr_tls_t *tls, evutil_socket_t fd);

#endif
