#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

/* A small deployment for the scripts of the review: session daemons as
 * processes, each behind a proxy of its own to the platform's store, with the
 * project's stand-ins of store and databases (tests/integration/world.h). */

#include <event2/event.h>
#include <stdbool.h>
#include <sys/types.h>

#include "session_client.h"
#include "world.h"

enum { FLEET_MAX = 18 };

/** A TCP proxy. While silent it forwards nothing and ends nothing; connections
 * that were silent once stay so. */
typedef struct proxy {
    struct event_base *base;
    struct evconnlistener *listener;
    char address[BACKEND_TEXT_BYTES];
    char target[BACKEND_TEXT_BYTES];
    bool silent;
    int silenced; /* counts the silent spans */
} proxy_t;

typedef struct machine {
    relay_process_t process;
    char zone[BACKEND_TEXT_BYTES];
    proxy_t store;
} machine_t;

typedef struct fleet {
    struct event_base *base;
    backend_t *backend;
    machine_t machines[FLEET_MAX];
    int count;
} fleet_t;

/** record() - write a line with the time to record.txt. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** record_open() - begin record.txt in the folder that the environment
 * variable CASE_DIR names. */
void record_open(void);

/** trouble() - whether the disruption is to take place. */
bool trouble(void);

void proxy_open(proxy_t *proxy, struct event_base *base, const char *target);

/** fleet_add() - prepare a machine. @name: edge-ZONE-NUMBER. */
machine_t *fleet_add(fleet_t *fleet, const char *name);
void machine_start(fleet_t *fleet, machine_t *machine);
void machine_kill(machine_t *machine);
/** fleet_start() - start all machines and wait until they are ready. */
void fleet_start(fleet_t *fleet);
/** fleet_stop() - end all processes. */
void fleet_stop(fleet_t *fleet);

#endif
