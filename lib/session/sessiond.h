#ifndef MR_SESSION_SESSIOND_H
#define MR_SESSION_SESSIOND_H

/* The session daemon: settings, and life cycle of its modules. */

#include <glib.h>
#include <stdbool.h>

#include "common/clock.h"
#include "common/log.h"
#include "placement/owner.h"

/** Settings from flags and MASTICRELAY_* variables; see --help. */
typedef struct mr_sessiond_settings {
    char *name;
    char *data_centre;
    char *listen;         /* address for clients */
    char *ready;          /* address for readiness probes and counters */
    char *peer;           /* address for other instances */
    char *store;          /* address of the platform's store */
    char *duty;           /* address for promotion orders to the platform */
    mr_ms_t grace;        /* from the stop signal to the kill */
    mr_ms_t apply_max;    /* how long a replaced desired state may be used */
    int64_t memory_limit; /* bytes; 0: not known */
    int64_t link_mbps;    /* of the network link, Mbit/s; 0: not known */
    mr_share_mode_t share_connections;
    mr_log_level_t log_level;
    gboolean check; /* check the settings and exit */
} mr_sessiond_settings_t;

/** mr_sessiond_settings_read() - read the settings from @argv and the
 * environment; false if one is missing or invalid, which a message on standard
 * error names. */
bool mr_sessiond_settings_read(int *argc, char ***argv,
                               mr_sessiond_settings_t *settings);
void mr_sessiond_settings_release(mr_sessiond_settings_t *settings);

typedef struct mr_sessiond mr_sessiond_t;

/** mr_sessiond_create() - NULL if it cannot listen on an address. */
mr_sessiond_t *mr_sessiond_create(const mr_sessiond_settings_t *settings);
void mr_sessiond_destroy(mr_sessiond_t *daemon);

/** mr_sessiond_run() - run until a stop signal; returns the exit status. */
int mr_sessiond_run(mr_sessiond_t *daemon);

#endif
