#include "entry/connections.h"

#include <event2/bufferevent.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "admission/client_budget.h"
#include "common/descriptors.h"
#include "common/log.h"
#include "common/mem.h"

/** What is known of the connection on one descriptor. */
typedef struct entry {
    struct sockaddr_storage peer; /* tells connections on it apart */
    int running;                  /* requests without a complete answer */
    bool had_request;
    mr_ms_t active_at; /* of the last answer, or when it was first seen */
} entry_t;

struct mr_connections {
    char *label;
    entry_t *entries; /* by descriptor */
    size_t count;
    mr_counter_t *closed[MR_CLIENT_STATES];
};

/** A connection that may be closed. */
typedef struct candidate {
    int fd;
    mr_client_use_t use;
} candidate_t;

mr_connections_t *
mr_connections_create(mr_counters_t *counters, const char *label)
{
    mr_connections_t *connections = MR_NEW(mr_connections_t);

    connections->label = mr_strdup(label);
    for (int i = MR_CLIENT_IDLE; i < MR_CLIENT_STATES; i++) {
        char *labels =
            mr_asprintf("listener=\"%s\",reason=\"%s\"", label,
                        mr_client_budget_state_name((mr_client_state_t)i));
        connections->closed[i] =
            mr_counters_get(counters, "masticrelay_listener_closed_total",
                            labels, "connections closed to free descriptors");
        free(labels);
    }
    return connections;
}

void
mr_connections_destroy(mr_connections_t *connections)
{
    free(connections->label);
    free(connections->entries);
    free(connections);
}

/* Returns the entry of the connection on @fd; NULL if there is none. */
static entry_t *
find_entry(mr_connections_t *connections, int fd)
{
    struct sockaddr_storage peer;
    socklen_t len = sizeof(peer);

    memset(&peer, 0, sizeof(peer));
    if (fd < 0 || getpeername(fd, (struct sockaddr *)&peer, &len) != 0) {
        return NULL;
    }
    if ((size_t)fd >= connections->count) {
        size_t count = (size_t)fd + 64;
        connections->entries =
            mr_realloc(connections->entries, count * sizeof(entry_t));
        memset(connections->entries + connections->count, 0,
               (count - connections->count) * sizeof(entry_t));
        connections->count = count;
    }
    entry_t *entry = &connections->entries[fd];
    if (memcmp(&entry->peer, &peer, sizeof(peer)) != 0) {
        *entry = (entry_t){.peer = peer, .active_at = mr_clock_now(NULL)};
    }
    return entry;
}

static entry_t *
find_request_entry(mr_connections_t *connections,
                   struct evhttp_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);

    return connection == NULL
               ? NULL
               : find_entry(connections, bufferevent_getfd(
                                             evhttp_connection_get_bufferevent(
                                                 connection)));
}

static void
on_answered(struct evhttp_request *request, void *ctx)
{
    entry_t *entry = find_request_entry(ctx, request);

    if (entry != NULL && entry->running > 0) {
        entry->running--;
        entry->active_at = mr_clock_now(NULL);
    }
}

void
mr_connections_on_request(mr_connections_t *connections,
                          struct evhttp_request *request)
{
    entry_t *entry = find_request_entry(connections, request);

    if (entry != NULL) {
        entry->had_request = true;
        entry->running++;
        evhttp_request_set_on_complete_cb(request, on_answered, connections);
    }
}

static gint
compare_candidates(gconstpointer a, gconstpointer b, gpointer now)
{
    const candidate_t *one = a;
    const candidate_t *other = b;

    return mr_client_budget_compare(&one->use, &other->use,
                                    *(const mr_ms_t *)now);
}

/* Whether @fd is a connection that was accepted at @local. */
static bool
is_accepted_at(int fd, const struct sockaddr_storage *local)
{
    struct sockaddr_storage address;
    socklen_t len = sizeof(address);

    memset(&address, 0, sizeof(address));
    if (getsockname(fd, (struct sockaddr *)&address, &len) != 0
        || address.ss_family != local->ss_family) {
        return false;
    }
    /* The listener may be bound to all addresses of the machine. */
    return local->ss_family == AF_INET6
               ? ((struct sockaddr_in6 *)&address)->sin6_port
                     == ((const struct sockaddr_in6 *)local)->sin6_port
               : ((struct sockaddr_in *)&address)->sin_port
                     == ((const struct sockaddr_in *)local)->sin_port;
}

/* Returns the connections that may be closed, in their order. @all: receives
 * the number of all connections. */
static GArray *
find_candidates(mr_connections_t *connections, int listener, mr_ms_t now,
                size_t *all)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
    struct sockaddr_storage local;
    socklen_t len = sizeof(local);
    /* The limit may be a million. */
    size_t limit = mr_descriptors_in_use();

    memset(&local, 0, sizeof(local));
    *all = 0;
    if (getsockname(listener, (struct sockaddr *)&local, &len) != 0) {
        return candidates;
    }
    for (int fd = 0; (size_t)fd < limit; fd++) {
        const entry_t *entry =
            is_accepted_at(fd, &local) ? find_entry(connections, fd) : NULL;
        if (entry == NULL) {
            continue;
        }
        ++*all;
        candidate_t candidate = {fd,
                                 {.opened = entry->had_request,
                                  .running = entry->running > 0,
                                  .active_at = entry->active_at}};
        if (mr_client_budget_state(&candidate.use, now) != MR_CLIENT_BUSY) {
            g_array_append_val(candidates, candidate);
        }
    }
    g_array_sort_with_data(candidates, compare_candidates, &now);
    return candidates;
}

void
mr_connections_make_room(mr_connections_t *connections, int listener)
{
    mr_ms_t now = mr_clock_now(NULL);
    mr_client_state_t state = MR_CLIENT_BUSY;
    size_t batch = 0;
    size_t count = 0;
    size_t all;
    GArray *candidates = find_candidates(connections, listener, now, &all);

    if (candidates->len > 0) {
        const candidate_t *first = &g_array_index(candidates, candidate_t, 0);
        state = mr_client_budget_state(&first->use, now);
        batch = mr_client_budget_batch(state, all);
    }
    for (; count < batch && count < candidates->len; count++) {
        const candidate_t *it = &g_array_index(candidates, candidate_t, count);
        if (mr_client_budget_state(&it->use, now) != state) {
            break;
        }
        /* libevent reads the end of the connection and frees it. */
        shutdown(it->fd, SHUT_RDWR);
    }
    g_array_free(candidates, TRUE);
    if (count > 0) {
        mr_counter_add(connections->closed[state], (int64_t)count);
        mr_log(MR_LOG_WARNING, MR_EVENT_CLIENTS_DISCONNECTED,
               "reason=%s count=%zu sessions=%zu",
               mr_client_budget_state_name(state), count, all);
    }
}
